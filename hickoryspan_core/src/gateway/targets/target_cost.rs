//! The cost of sending a request to one target: its expected latency, increased by what speaks against it.

use super::selection::SelectionSettings;
use super::target_state::TargetState;
use crate::types::{FailureDomain, MonotonicTime};

/// Cost of an expected failure, relative to the cost of the work itself.
const FAILURE_COST: f64 = 8.0;
/// Cost factor for a target that has left a request unanswered.
const OVERDUE_FACTOR: f64 = 20.0;
/// Smallest relative latency that is expected of a target.
const MIN_RELATIVE_LATENCY: f64 = 0.2;
/// Cost of each busy slot, relative to the work, because a busy slot may still be busy for a moment
/// when the next request arrives.
const SHARING_COST: f64 = 0.25;

impl TargetState {
    /// Returns the expected latency, relative to the median latency of the same route.
    fn expected_latency(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let decay = self.decay(now, settings.half_life);
        let relative_latency = 1.0 + (self.relative_latency - 1.0) * decay;
        let load = self.load.filter(|_| now.since(self.load_at) < settings.load_lifetime);
        let reported_latency =
            load.map_or(1.0, |load| f64::from(load.latency_percent.max(100)) / 100.0);
        // The report includes the request whose response carried it.
        let reported =
            load.map_or(0, |load| load.running.saturating_add(load.waiting).saturating_sub(1));
        let ahead = f64::from(self.in_flight.max(reported));
        let slots = f64::from(self.announcement.slots.max(1));
        let waiting = (ahead + 1.0 - slots).max(0.0) / slots;
        let sharing = SHARING_COST * ahead / slots;
        let mut expected = relative_latency.max(reported_latency).max(MIN_RELATIVE_LATENCY)
            * (1.0 + waiting + sharing);
        if self.cold_until > now {
            expected *= settings.cold_factor;
        }
        expected
    }

    /// Returns the queued requests per slot, or zero without a recent report.
    pub(super) fn queue(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let load = self.load.filter(|_| now.since(self.load_at) < settings.load_lifetime);
        let slots = f64::from(self.announcement.slots.max(1));
        load.map_or(0.0, |load| f64::from(load.waiting) / slots)
    }

    pub(super) fn cost(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        domain: &FailureDomain,
    ) -> f64 {
        let decay = self.decay(now, settings.half_life);
        let mut cost = self.expected_latency(now, settings);
        cost *= 1.0 + FAILURE_COST * self.failure_rate * decay;
        if self.announcement.domain != *domain {
            cost *= settings.remote_factor;
        }
        if self.overdue_until > now {
            cost *= OVERDUE_FACTOR;
        }
        cost
    }
}
