//! Settings for hedges and retries of sub-requests.

use std::time::Duration;

use super::latency::LatencyQuantiles;

/// Settings of hedges and retries.
#[derive(Clone, Copy, Debug)]
pub struct HedgeSettings {
    /// Whether slow sub-requests are hedged.
    pub enabled: bool,
    /// Minimum delay before a hedge, so that jitter of fast services causes no hedges.
    pub min_delay: Duration,
    /// Maximum number of retries of one partition. A `CoverageFirst` search below its floor
    /// continues beyond it.
    pub max_retries: u8,
    /// Number of unsent attempts after which a partition fails.
    pub max_not_sent: u8,
    /// Mean back-off before a `CoverageFirst` search retries a failed partition. Doubles with each
    /// try.
    pub retry_delay: Duration,
    /// Maximum mean back-off.
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
    /// Returns the delay after which an attempt is hedged.
    pub(super) fn delay(&self, quantiles: LatencyQuantiles) -> Duration {
        quantiles.hedge.max(self.min_delay)
    }
}
