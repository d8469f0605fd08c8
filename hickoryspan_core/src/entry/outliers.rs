//! Outlier ejection: excludes targets that fail or are much slower than their peers.

use std::time::Duration;

use crate::types::MonotonicTime;

use super::latency::LatencyQuantiles;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierSettings {
    /// Whether targets are ejected.
    pub enabled: bool,
    /// Consecutive failures after which a target is ejected.
    pub consecutive_failures: u32,
    /// Multiple of the service's median latency above which the mean latency of a target ejects it.
    /// Higher quantiles are not used, because a single slow target among few would shift them
    /// itself.
    pub latency_factor: f64,
    /// Latency below which no target is ejected, because differences between fast targets do no
    /// harm.
    pub latency_floor: Duration,
    /// Minimum number of answers before the mean latency of a target can eject it.
    pub min_answers: u32,
    /// Consecutive slow answers after which a target is ejected. With the minimum number of answers
    /// alone, entries with few requests would need many seconds to detect a straggler, and three
    /// consecutive answers above the bound are no coincidence.
    pub consecutive_slow: u32,
    /// Duration of the first ejection. Each further one is longer by the same time.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum share of a partition's targets that are ejected. If more appear unhealthy, none is
    /// ejected.
    pub max_ejected_share: f64,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            consecutive_failures: 5,
            latency_factor: 5.0,
            latency_floor: Duration::from_millis(20),
            min_answers: 20,
            consecutive_slow: 3,
            ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            max_ejected_share: 0.5,
        }
    }
}

/// Health of a target as observed by this entry's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetHealth {
    failures: u32,
    answers: u32,
    slow_answers: u32,
    /// Exponentially weighted mean latency in microseconds.
    latency: f64,
    measured_at: MonotonicTime,
    ejected_until: MonotonicTime,
    ejections: u32,
}

/// Weight of the newest latency in the mean, which covers about the last ten answers.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time after which a measured latency is outdated.
const LATENCY_LIFETIME: Duration = Duration::from_secs(2);

impl TargetHealth {
    /// Returns whether the target appears unhealthy now.
    pub fn is_unhealthy(&self, now: MonotonicTime) -> bool {
        now < self.ejected_until
    }

    /// Returns the mean latency in microseconds, or `None` if there is no recent measurement.
    /// Outdated ones are ignored, because a target that was slow once would otherwise get no work
    /// that shows its recovery.
    pub fn latency(&self, now: MonotonicTime) -> Option<f64> {
        let is_recent = now.since(self.measured_at) < LATENCY_LIFETIME;
        (self.answers > 0 && is_recent).then_some(self.latency)
    }

    /// Records the latency of an answer.
    pub fn record_latency(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        peers: LatencyQuantiles,
        settings: &OutlierSettings,
    ) {
        self.record(now, latency, false, peers, settings);
    }

    /// Records the elapsed time of an attempt that was abandoned without an answer. It counts as
    /// slow even if it is short: the attempt was slower than its hedge, which hides how long it
    /// would have taken.
    pub fn record_unanswered(
        &mut self,
        now: MonotonicTime,
        elapsed: Duration,
        peers: LatencyQuantiles,
        settings: &OutlierSettings,
    ) {
        self.record(now, elapsed, true, peers, settings);
    }

    fn record(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        is_unanswered: bool,
        peers: LatencyQuantiles,
        settings: &OutlierSettings,
    ) {
        let micros = latency.as_secs_f64() * 1e6;
        self.latency = match self.answers {
            0 => micros,
            _ => self.latency + (micros - self.latency) * LATENCY_WEIGHT,
        };
        self.answers += 1;
        self.measured_at = now;
        let median = peers.median.as_secs_f64() * 1e6;
        let floor = settings.latency_floor.as_secs_f64() * 1e6;
        let bound = (median * settings.latency_factor).max(floor);
        self.slow_answers = if is_unanswered || micros > bound { self.slow_answers + 1 } else { 0 };
        let is_slow_on_average = self.answers >= settings.min_answers && self.latency > bound;
        let is_slow_in_a_row = self.slow_answers >= self.slow_answers_to_eject(now, settings);
        if settings.enabled && (is_slow_on_average || is_slow_in_a_row) {
            self.eject(now, settings);
        }
    }

    /// Returns the number of consecutive slow answers that eject the target. A target that was
    /// ejected recently is ejected again at its first slow answer.
    fn slow_answers_to_eject(&self, now: MonotonicTime, settings: &OutlierSettings) -> u32 {
        let was_ejected = self.ejections > 0;
        let is_recent = now.since(self.ejected_until) < settings.max_ejection;
        if was_ejected && is_recent { 1 } else { settings.consecutive_slow.max(1) }
    }

    /// Returns whether the newest answer was slow and is recent. Such a target is not preferred.
    pub fn is_slow(&self, now: MonotonicTime) -> bool {
        self.slow_answers > 0 && now.since(self.measured_at) < LATENCY_LIFETIME
    }

    /// Records a success, which resets the consecutive failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure, which may eject the target.
    pub fn record_failure(&mut self, now: MonotonicTime, settings: &OutlierSettings) {
        self.failures += 1;
        if settings.enabled && self.failures >= settings.consecutive_failures {
            self.eject(now, settings);
        }
    }

    fn eject(&mut self, now: MonotonicTime, settings: &OutlierSettings) {
        if self.is_unhealthy(now) {
            return;
        }
        // Repeated ejections get longer, until the target was healthy for a long time.
        let healthy = now.since(self.ejected_until);
        self.ejections = if healthy > settings.max_ejection { 1 } else { self.ejections + 1 };
        let length = (settings.ejection * self.ejections).min(settings.max_ejection);
        self.ejected_until = now + length;
        self.failures = 0;
        self.answers = 0;
        self.slow_answers = 0;
    }
}
