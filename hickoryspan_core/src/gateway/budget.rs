//! Retry budget of a service, which bounds retries and hedges over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Number of slots of the window. One more is kept, so that the sum over them never covers less
/// than the window.
const WINDOW_SLOTS: u64 = 10;

/// Share of the fixed budget that is available as soon as the process starts.
const INITIAL_FIXED_SHARE: f64 = 0.3;

/// Limits on the extra requests (retries and hedges) that a service may get from all entries
/// together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra requests allowed for each caller request in the window.
    pub ratio: f64,
    /// Further extra requests allowed in each window, over all entries.
    pub fixed: f64,
    /// Fraction of the allowance that is used, as a margin for counts that differ between hosts.
    pub safety: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { window: Duration::from_secs(10), ratio: 0.2, fixed: 50.0, safety: 0.9 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    number: u64,
    requests: u32,
    extra: u32,
}

/// One entry's share of a service's retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    slots: VecDeque<WindowSlot>,
    started_at: MonotonicTime,
}

impl RetryBudget {
    /// Creates a budget with an empty window. The process may have spent its share just before a
    /// restart, so the fixed budget grows to its full size only during the first window.
    pub fn new(started_at: MonotonicTime, settings: BudgetSettings) -> Self {
        Self { settings, slots: VecDeque::new(), started_at }
    }

    fn slot(&mut self, now: MonotonicTime) -> &mut WindowSlot {
        let width = (self.settings.window.as_micros() as u64 / WINDOW_SLOTS).max(1);
        let number = now.0 / width;
        // One slot more than the window is kept, so that every sliding window is covered.
        while self.slots.front().is_some_and(|slot| slot.number + WINDOW_SLOTS < number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number != number) {
            self.slots.push_back(WindowSlot { number, ..WindowSlot::default() });
        }
        // A slot has been pushed above if there was none.
        self.slots.back_mut().expect("the window has a slot")
    }

    /// Counts a caller's request for the service.
    pub fn note_request(&mut self, now: MonotonicTime) {
        self.slot(now).requests += 1;
    }

    /// Takes one extra request from the budget, which is shared by `entries` entries. Returns false
    /// if the budget is exhausted.
    pub fn try_take(&mut self, now: MonotonicTime, entries: u32) -> bool {
        let has_room = self.has_room(now, entries);
        if has_room {
            self.slot(now).extra += 1;
        }
        has_room
    }

    /// Returns whether the budget allows one more extra request.
    pub fn has_room(&mut self, now: MonotonicTime, entries: u32) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let extra: u32 = self.slots.iter().map(|slot| slot.extra).sum();
        let age = now.since(self.started_at).as_secs_f64() / self.settings.window.as_secs_f64();
        let earned = (INITIAL_FIXED_SHARE + age).min(1.0);
        let fixed = self.settings.fixed * earned / f64::from(entries.max(1));
        let allowed = (self.settings.ratio * f64::from(requests) + fixed) * self.settings.safety;
        f64::from(extra) + 1.0 <= allowed
    }
}
