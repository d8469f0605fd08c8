//! Retry delays for refused requests, spread over the time in which capacity becomes available.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::types::MonotonicTime;

/// Minimum retry delay. A shorter one would be below the round trip to the caller.
pub const MIN_DELAY: Duration = Duration::from_millis(10);

/// Maximum retry delay before jitter. Limits and load are likely to have changed by then, so the
/// caller should ask again.
pub const MAX_DELAY: Duration = Duration::from_secs(5);

/// Tracks the capacity that earlier delays have reserved, so that callers refused at the same time
/// do not all retry at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPacer {
    reserved: f64,
    updated: MonotonicTime,
}

impl RetryPacer {
    /// Returns a randomized retry delay for a request that needs `units` of capacity, while
    /// `missing` units are lacking and `rate` units become available each second.
    pub fn retry_delay(
        &mut self,
        now: MonotonicTime,
        units: f64,
        missing: f64,
        rate: f64,
        generator: &mut ChaCha12Rng,
    ) -> Duration {
        let max_seconds = MAX_DELAY.as_secs_f64();
        let jitter = generator.random_range(1.0..1.5);
        if rate <= 0.0 || !rate.is_finite() {
            return MAX_DELAY.mul_f64(jitter);
        }
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.reserved = (self.reserved - rate * passed).max(0.0);
        let seconds = ((missing.max(0.0) + self.reserved) / rate).min(max_seconds);
        self.reserved = (self.reserved + units).min(rate * max_seconds);
        Duration::from_secs_f64(seconds).max(MIN_DELAY).mul_f64(jitter)
    }
}
