//! Retry budget of a service, which bounds retries and hedges over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Number of slots of the window. One more is kept, so that the sum over them never covers less
/// than the window.
const WINDOW_SLOTS: u64 = 10;

/// Part of its share of the fixed budget that a process may use during its first window.
const NEW_PROCESS_PART: f64 = 0.3;
/// Part of the fixed budget that is divided. The rest is for processes that restart and whose predecessors have spent
/// their shares: with both parts, a common restart of all entries stays within the budget.
const DIVIDED_PART: f64 = 0.75;

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
    /// Fraction of the allowance for caller requests that is used, as a margin for requests that the
    /// window still covers and others no longer count.
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
    /// restart, so it gets only a part of the fixed budget during the first window.
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

    /// Takes one extra request from the budget, which is shared by `entries` entries (see
    /// [`EntryCount`]). Returns false if the budget is exhausted.
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
        let is_first_window = now.since(self.started_at) < self.settings.window;
        let part = if is_first_window { NEW_PROCESS_PART } else { 1.0 };
        let fixed = self.settings.fixed * DIVIDED_PART * part / f64::from(entries.max(1));
        let allowed = self.settings.ratio * f64::from(requests) * self.settings.safety + fixed;
        f64::from(extra) + 1.0 <= allowed
    }
}

/// The number of entries among which the fixed budget is divided: the highest of the last window, because an entry that
/// is gone may have spent its share just before.
#[derive(Clone, Debug, Default)]
pub struct EntryCount {
    // Counts with the time until which each was seen, in ascending order of time and descending order of count.
    counts: VecDeque<(MonotonicTime, u32)>,
}

impl EntryCount {
    /// Records that there are `count` entries.
    pub fn note(&mut self, now: MonotonicTime, count: u32) {
        // The count before was true until now.
        if let Some((seen_at, _)) = self.counts.back_mut() {
            *seen_at = now;
        }
        while self.counts.back().is_some_and(|(_, older)| *older <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
    }

    /// Returns the highest count of the last `window`, or 1 before the first count.
    pub fn highest(&mut self, now: MonotonicTime, window: Duration) -> u32 {
        while self.counts.len() > 1
            && self.counts.front().is_some_and(|(seen_at, _)| now.since(*seen_at) > window)
        {
            self.counts.pop_front();
        }
        self.counts.front().map_or(1, |(_, count)| *count)
    }
}
