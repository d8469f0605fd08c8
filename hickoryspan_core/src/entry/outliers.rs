//! Ejection of targets that fail or are far slower than their peers.

use std::time::Duration;

use crate::types::MonotonicTime;

use super::latency::LatencyQuantiles;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierSettings {
    /// Whether targets are ejected at all.
    pub enabled: bool,
    /// Failures in a row that eject a target.
    pub consecutive_failures: u32,
    /// A mean latency above this multiple of the service's median ejects a target. Higher quantiles are not used,
    /// because one slow target among few moves them itself.
    pub latency_factor: f64,
    /// Latencies below this never eject, because differences between fast targets do no harm.
    pub latency_floor: Duration,
    /// Answers before a target's latency can eject it.
    pub min_answers: u32,
    /// The first ejection's length; each further one is longer by as much.
    pub ejection: Duration,
    /// The longest ejection.
    pub max_ejection: Duration,
    /// The largest share of a partition's targets that may be ejected; if more appear unhealthy, none is.
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
            ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            max_ejected_share: 0.5,
        }
    }
}

/// What an entry knows about a target's health from its own requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetHealth {
    failures: u32,
    answers: u32,
    /// Mean latency in microseconds, with exponential weights.
    latency: f64,
    measured_at: MonotonicTime,
    ejected_until: MonotonicTime,
    ejections: u32,
}

/// Weight of the newest latency in the mean; about the last ten answers count.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time after which a measured latency says nothing about the target any more.
const LATENCY_LIFETIME: Duration = Duration::from_secs(2);

impl TargetHealth {
    /// Whether the target appears unhealthy now.
    pub fn is_unhealthy(&self, now: MonotonicTime) -> bool {
        now < self.ejected_until
    }

    /// The mean latency in microseconds, if it was measured lately. An old one does not count, because a target that
    /// was slow once would get no work that shows its recovery.
    pub fn latency(&self, now: MonotonicTime) -> Option<f64> {
        let is_recent = now.since(self.measured_at) < LATENCY_LIFETIME;
        (self.answers > 0 && is_recent).then_some(self.latency)
    }

    /// Counts a latency: of an answer, or the time without an answer so far.
    pub fn record_latency(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
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
        if settings.enabled && self.answers >= settings.min_answers && self.latency > bound {
            self.eject(now, settings);
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure.
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
        // Repeated ejections get longer; a long healthy time resets that.
        let healthy = now.since(self.ejected_until);
        self.ejections = if healthy > settings.max_ejection { 1 } else { self.ejections + 1 };
        let length = (settings.ejection * self.ejections).min(settings.max_ejection);
        self.ejected_until = now + length;
        self.failures = 0;
        self.answers = 0;
    }
}
