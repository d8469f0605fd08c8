//! Adaptive limit on the requests that this entry keeps in flight on one target.
//!
//! Several entry hosts share a target's slots without coordination. Each one raises its limit
//! additively while answers report no queue, and lowers it multiplicatively when the target sheds a
//! request or reports a queue.

use std::time::Duration;

use crate::types::{MonotonicTime, SlotCount};

use super::interface::LoadReport;

/// Maximum increase of the limit after one answer, in requests.
const MAX_STEP: f64 = 0.25;

/// Settings of the per-target concurrency limit.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencySettings {
    /// Factor applied to the limit when a target sheds a request.
    pub shed_factor: f64,
    /// Factor applied to the limit when a target reports a queue.
    pub queue_factor: f64,
    /// Queued requests per slot above which a target counts as queueing. A shorter queue is
    /// allowed, because it keeps the slots busy.
    pub queue_share: f64,
    /// Increase of the limit per round trip, in requests. It does not depend on the number of
    /// answers, because otherwise an entry with a low limit would stay behind the others.
    pub increase: f64,
    /// Minimum limit. With a limit below one, the entry pauses between two requests.
    pub floor: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self { shed_factor: 0.5, queue_factor: 0.8, queue_share: 0.5, increase: 0.1, floor: 0.1 }
    }
}

/// Concurrency limit of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    slots: f64,
    decreased_at: MonotonicTime,
    paused_until: MonotonicTime,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of the target's slots.
    pub fn new(slots: SlotCount) -> Self {
        let slots = f64::from(slots.0.max(1));
        let never = MonotonicTime::default();
        Self { limit: slots, slots, decreased_at: never, paused_until: never }
    }

    /// Updates the number of slots, which bounds the limit.
    pub fn set_slots(&mut self, slots: SlotCount) {
        self.slots = f64::from(slots.0.max(1));
        self.limit = self.limit.min(self.slots);
    }

    /// Returns whether one more request may be sent.
    pub fn allows(&self, in_flight: u32, now: MonotonicTime) -> bool {
        f64::from(in_flight) < self.limit.floor().max(1.0) && now >= self.paused_until
    }

    /// Returns the time from which a paused target may be used again.
    pub fn paused_until(&self) -> MonotonicTime {
        self.paused_until
    }

    /// Returns the maximum number of requests in flight, ignoring pauses.
    pub fn max_in_flight(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Adapts the limit to an answer of an executed request and the load that was reported with it.
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
            // `limit` answers arrive per round trip, and each contributes its part of the increase.
            let step = (settings.increase / self.limit).min(MAX_STEP);
            self.limit = (self.limit + step).min(self.slots);
        }
        self.pause(now, now.since(started));
    }

    /// Adapts the limit to a shed request.
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
        // A single overload can shed many requests. Only those sent after the last decrease count
        // again.
        if started < self.decreased_at {
            return;
        }
        self.limit = (self.limit * factor).max(settings.floor);
        self.decreased_at = now;
    }

    fn pause(&mut self, now: MonotonicTime, typical: Duration) {
        // A limit below one is enforced by pauses: one request is in flight for the share `limit`
        // of the time.
        if self.limit < 1.0 {
            self.paused_until = now + typical.mul_f64(1.0 / self.limit - 1.0);
        }
    }
}
