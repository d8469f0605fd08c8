//! What an entry has observed of one target.

use std::time::Duration;

use super::directory::{TargetAnnouncement, TargetPhase, TargetProcess};
use super::outcomes::{AttemptFailure, ReportedLoad};
use super::selection::SelectionSettings;
use super::work_left::TargetWork;
use crate::types::MonotonicTime;

/// Weight of a new observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.25;
/// Lower bound of a route's median latency in seconds, which bounds the relative latency.
const MIN_MEDIAN_SECONDS: f64 = 1e-4;
/// Largest number of doublings of a back-off or an ejection. More would only overflow.
const MAX_DOUBLINGS: u32 = 8;
/// Largest relative latency that a single observation counts as.
const MAX_RELATIVE_LATENCY: f64 = 30.0;

#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) announcement: TargetAnnouncement,
    pub(super) cold_until: MonotonicTime,
    pub(super) in_flight: u32,
    // Moving average of the latency divided by the route's median latency.
    pub(super) relative_latency: f64,
    pub(super) failure_rate: f64,
    pub(super) observed_at: MonotonicTime,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: MonotonicTime,
    pub(super) overdue_until: MonotonicTime,
    pub(super) overdue_count: u32,
    pub(super) load: Option<ReportedLoad>,
    pub(super) load_at: MonotonicTime,
    pub(super) work: TargetWork,
}

impl TargetState {
    pub(super) fn new(now: MonotonicTime, announcement: TargetAnnouncement) -> Self {
        let cold_until = now + announcement.cold;
        Self {
            announcement,
            cold_until,
            in_flight: 0,
            relative_latency: 1.0,
            failure_rate: 0.0,
            observed_at: now,
            failures: 0,
            ejections: 0,
            ejected_until: MonotonicTime(0),
            overdue_until: MonotonicTime(0),
            overdue_count: 0,
            load: None,
            load_at: now,
            work: TargetWork::new(now),
        }
    }

    pub(super) fn decay(&self, now: MonotonicTime, half_life: Duration) -> f64 {
        0.5_f64.powf(now.since(self.observed_at).as_secs_f64() / half_life.as_secs_f64())
    }

    fn observe(&mut self, now: MonotonicTime, settings: &SelectionSettings, failed: bool) {
        let decay = self.decay(now, settings.half_life);
        self.relative_latency = 1.0 + (self.relative_latency - 1.0) * decay;
        let rate = self.failure_rate * decay;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * OBSERVATION_WEIGHT;
        self.observed_at = now;
    }

    pub(super) fn process(&self) -> TargetProcess {
        let TargetAnnouncement { target, age, .. } = &self.announcement;
        TargetProcess { target: target.clone(), started: age.started }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.announcement.phase == TargetPhase::Ready
    }

    pub(super) fn back_off(&mut self, now: MonotonicTime, settings: &SelectionSettings) {
        // Requests that were sent before the back-off started carry no new information.
        if self.overdue_until > now {
            return;
        }
        let doubled = settings.overdue_backoff * 2_u32.pow(self.overdue_count.min(MAX_DOUBLINGS));
        self.overdue_until = now + doubled.min(settings.eject_max);
        self.overdue_count += 1;
    }

    pub(super) fn observe_latency(
        &mut self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        latency: Duration,
        median: Duration,
    ) {
        self.observe(now, settings, false);
        let relative_latency = latency.as_secs_f64() / median.as_secs_f64().max(MIN_MEDIAN_SECONDS);
        self.relative_latency += (relative_latency.min(MAX_RELATIVE_LATENCY)
            - self.relative_latency)
            * OBSERVATION_WEIGHT;
    }

    pub(super) fn note_failure(
        &mut self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        failure: AttemptFailure,
    ) {
        self.observe(now, settings, true);
        if failure == AttemptFailure::Timeout {
            self.back_off(now, settings);
        }
        self.failures += 1;
        let certain = matches!(failure, AttemptFailure::Unreachable | AttemptFailure::OtherTarget);
        if self.failures < settings.eject_after && !certain {
            return;
        }
        let doubled = settings.eject_min * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + doubled.min(settings.eject_max);
        self.ejections += 1;
        // After the ejection, the next result decides: a single failure ejects the target again.
        self.failures = settings.eject_after.saturating_sub(1);
    }
}
