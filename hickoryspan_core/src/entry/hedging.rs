//! When a sub-request is sent a second time.

use std::time::Duration;

use super::latency::LatencyQuantiles;

/// Settings of hedges and retries.
#[derive(Clone, Copy, Debug)]
pub struct HedgeSettings {
    /// Whether slow sub-requests are hedged.
    pub enabled: bool,
    /// The shortest wait before a hedge, so that fast services are not hedged for jitter.
    pub min_delay: Duration,
    /// Retries of one partition of a `DeadlineFirst` search.
    pub max_retries: u8,
    /// Attempts of one partition that were not sent, before it counts as failed.
    pub max_not_sent: u8,
    /// Mean wait before a `CoverageFirst` search tries a failed partition again; doubles with each try.
    pub retry_delay: Duration,
    /// The longest such wait.
    pub max_retry_delay: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            min_delay: Duration::from_millis(1),
            max_retries: 2,
            max_not_sent: 4,
            retry_delay: Duration::from_millis(20),
            max_retry_delay: Duration::from_millis(500),
        }
    }
}

impl HedgeSettings {
    /// How long an attempt may run before it is hedged.
    pub(super) fn delay(&self, quantiles: LatencyQuantiles) -> Duration {
        quantiles.hedge.max(self.min_delay)
    }
}
