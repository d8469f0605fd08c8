//! The number of requests that this entry keeps in flight on one target.
//!
//! Several entry hosts share a target's slots without talking to each other. Each raises its limit additively while
//! answers show no queue and lowers it multiplicatively when the target sheds or reports a queue.

use std::time::Duration;

use crate::types::{MonotonicTime, SlotCount};

use super::interface::LoadReport;

/// Largest increase after one answer.
const MAX_STEP: f64 = 0.25;

/// Settings of the per-target concurrency limit.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencySettings {
    /// Factor on the limit when a target sheds.
    pub shed_factor: f64,
    /// Factor on the limit when a target reports a queue.
    pub queue_factor: f64,
    /// Queued requests per slot above which a target counts as queueing; a shorter queue keeps its slots busy.
    pub queue_share: f64,
    /// Increase of the limit per round trip. It does not depend on the number of answers, because an entry with a
    /// low limit would otherwise stay behind the others.
    pub increase: f64,
    /// The lowest limit; below one, the entry waits between two requests.
    pub floor: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self { shed_factor: 0.5, queue_factor: 0.8, queue_share: 0.5, increase: 0.1, floor: 0.1 }
    }
}

/// The limit of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    slots: f64,
    decreased_at: MonotonicTime,
    paused_until: MonotonicTime,
}

impl ConcurrencyLimit {
    /// Starts at the target's slots.
    pub fn new(slots: SlotCount) -> Self {
        let slots = f64::from(slots.0.max(1));
        let never = MonotonicTime::default();
        Self { limit: slots, slots, decreased_at: never, paused_until: never }
    }

    /// Follows a changed number of slots.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = f64::from(slots.0.max(1));
        self.limit = self.limit.min(self.slots);
    }

    /// Whether one more request may be sent.
    pub fn allows(&self, in_flight: u32, now: MonotonicTime) -> bool {
        f64::from(in_flight) < self.limit.floor().max(1.0) && now >= self.paused_until
    }

    /// When a paused target may be used again.
    pub fn paused_until(&self) -> MonotonicTime {
        self.paused_until
    }

    /// The most requests that may be in flight now.
    pub fn max_in_flight(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Adapts to an answer that ran, with the load reported along.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        started: MonotonicTime,
        load: Option<LoadReport>,
        settings: &ConcurrencySettings,
    ) {
        let bound = self.slots * settings.queue_share;
        let queued = load.is_some_and(|load| f64::from(load.queued) > bound);
        if queued {
            self.decrease(now, started, settings.queue_factor, settings);
        } else {
            // An answer arrives every `1 / limit` round trips.
            let step = (settings.increase / self.limit).min(MAX_STEP);
            self.limit = (self.limit + step).min(self.slots);
        }
        self.pause(now, now.since(started));
    }

    /// Adapts to a shed request.
    pub fn record_shed(
        &mut self,
        now: MonotonicTime,
        started: MonotonicTime,
        typical: Duration,
        settings: &ConcurrencySettings,
    ) {
        self.decrease(now, started, settings.shed_factor, settings);
        self.pause(now, typical);
    }

    fn decrease(
        &mut self,
        now: MonotonicTime,
        started: MonotonicTime,
        factor: f64,
        settings: &ConcurrencySettings,
    ) {
        // One overload is answered by many requests; only those sent after the last decrease count again.
        if started < self.decreased_at {
            return;
        }
        self.limit = (self.limit * factor).max(settings.floor);
        self.decreased_at = now;
    }

    fn pause(&mut self, now: MonotonicTime, typical: Duration) {
        // A limit below one is reached by waiting: one request in flight for `limit` of the time.
        if self.limit < 1.0 {
            self.paused_until = now + typical.mul_f64(1.0 / self.limit - 1.0);
        }
    }
}
