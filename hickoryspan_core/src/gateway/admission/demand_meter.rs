//! Measures a rate of requests, in which recent requests count more.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Shortest time over which a rate is measured. The first requests after a shorter one would count for too much.
const MIN_METERED_TIME: Duration = Duration::from_secs(1);

/// The rate of requests since the start of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    // Time after which a request counts half.
    half_life: Duration,
    // Requests since the start, each halved for every half-life since.
    weight: f64,
    started_at: MonotonicTime,
    updated_at: MonotonicTime,
}

impl DemandMeter {
    /// Starts a measurement in which a request counts half after `half_life`.
    pub fn start(now: MonotonicTime, half_life: Duration) -> Self {
        Self { half_life, weight: 0.0, started_at: now, updated_at: now }
    }

    fn remaining_part(&self, elapsed: Duration) -> f64 {
        0.5_f64.powf(elapsed.as_secs_f64() / self.half_life.as_secs_f64())
    }

    fn weight_at(&self, now: MonotonicTime) -> f64 {
        self.weight * self.remaining_part(now.since(self.updated_at))
    }

    /// Counts requests.
    pub fn note(&mut self, now: MonotonicTime, count: f64) {
        self.weight = self.weight_at(now) + count;
        self.updated_at = now;
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.started_at).max(MIN_METERED_TIME);
        let metered = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.weight_at(now) / (metered * (1.0 - self.remaining_part(elapsed)))
    }
}
