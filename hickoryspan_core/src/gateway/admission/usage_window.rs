//! Counts requests in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Requests within this time are counted together.
const SLOT: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct WindowSlot {
    started_at: MonotonicTime,
    count: f64,
}

/// The number of requests in the last window. A request counts for up to one slot longer than the window.
#[derive(Clone, Debug, Default)]
pub struct UsageWindow {
    slots: VecDeque<WindowSlot>,
    total: f64,
}

impl UsageWindow {
    /// Creates a window in which requests came at this rate in each second of the last `length`.
    pub fn filled(now: MonotonicTime, length: Duration, rate: f64) -> Self {
        let mut window = Self::default();
        let mut age = length;
        while !age.is_zero() {
            window.add(now - age, rate * SLOT.min(age).as_secs_f64());
            age = age.saturating_sub(SLOT);
        }
        window
    }

    /// Counts requests.
    pub fn add(&mut self, now: MonotonicTime, count: f64) {
        self.total += count;
        match self.slots.back_mut() {
            Some(slot) if now.since(slot.started_at) < SLOT => slot.count += count,
            _ => self.slots.push_back(WindowSlot { started_at: now, count }),
        }
    }

    /// Takes back requests that were counted and did not run, the latest first.
    pub fn take_back(&mut self, count: f64) {
        let mut left = count;
        for slot in self.slots.iter_mut().rev() {
            let taken = slot.count.min(left);
            slot.count -= taken;
            left -= taken;
            self.total -= taken;
        }
    }

    /// Returns the number of requests in the window of this length that ends now.
    pub fn count(&mut self, now: MonotonicTime, length: Duration) -> f64 {
        while let Some(slot) = self.slots.front()
            && now.since(slot.started_at) > length + SLOT
        {
            self.total -= slot.count;
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            // Differences of floating-point numbers leave a remainder.
            self.total = 0.0;
        }
        self.total
    }

    /// Returns when the oldest requests leave the window; zero if there are none.
    pub fn time_to_room(&self, now: MonotonicTime, length: Duration) -> Duration {
        let Some(slot) = self.slots.front() else { return Duration::ZERO };
        (length + SLOT).saturating_sub(now.since(slot.started_at))
    }
}
