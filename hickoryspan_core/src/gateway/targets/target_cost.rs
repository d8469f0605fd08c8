//! The cost of sending a request to one target: its expected latency, increased by what speaks against it.

use super::outcomes::ReportedLoad;
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
        let load = self.recent_load(now, settings);
        let reported_latency = self.reported_latency(now, settings);
        // The report includes the request whose response carried it.
        let reported =
            load.map_or(0, |load| load.running.saturating_add(load.waiting).saturating_sub(1));
        let ahead = f64::from(self.in_flight.max(reported));
        let slots = f64::from(self.announcement.slots.max(1));
        let waiting = (ahead + 1.0 - slots).max(0.0) / slots;
        let sharing = SHARING_COST * ahead / slots;
        relative_latency.max(reported_latency).max(MIN_RELATIVE_LATENCY)
            * (1.0 + waiting + sharing)
            * self.cold_factor(now, settings)
    }

    fn recent_load(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
    ) -> Option<ReportedLoad> {
        self.load.filter(|_| now.since(self.load_at) < settings.load_lifetime)
    }

    /// Returns the time that work takes on the target's host by its own report, relative to the usual time.
    pub(super) fn reported_latency(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let load = self.recent_load(now, settings);
        load.map_or(1.0, |load| f64::from(load.latency_percent.max(100)) / 100.0)
    }

    pub(super) fn cold_factor(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        if self.cold_until > now { settings.cold_factor } else { 1.0 }
    }

    /// Returns the queued requests per slot, or zero without a recent report.
    pub(super) fn queue(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let load = self.recent_load(now, settings);
        let slots = f64::from(self.announcement.slots.max(1));
        load.map_or(0.0, |load| f64::from(load.waiting) / slots)
    }

    pub(super) fn cost(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        domain: &FailureDomain,
    ) -> f64 {
        self.expected_latency(now, settings) * self.aversion(now, settings, domain)
    }

    /// Returns the factor for what speaks against the target besides its latency.
    pub(super) fn aversion(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        domain: &FailureDomain,
    ) -> f64 {
        let decay = self.decay(now, settings.half_life);
        let mut aversion = 1.0 + FAILURE_COST * self.failure_rate * decay;
        if self.announcement.domain != *domain {
            aversion *= settings.remote_factor;
        }
        if self.overdue_until > now {
            aversion *= OVERDUE_FACTOR;
        }
        aversion
    }
}
