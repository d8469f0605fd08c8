//! Streaming latency quantiles of a service.
//!
//! Latencies are counted in logarithmic buckets. The counts are halved regularly, so that the
//! estimate follows the load. No library is used because `docs/design.md`, section 2, limits the
//! dependencies of this crate.

use std::time::Duration;

/// Buckets per factor of two. A quantile is at most an eighth too high.
const BUCKETS_PER_OCTAVE: u64 = 8;
/// Number of buckets. 33 octaves of microseconds reach beyond two hours.
const BUCKET_COUNT: usize = 33 * BUCKETS_PER_OCTAVE as usize;
/// Records between two computations of the quantiles, so that recording takes only a few
/// nanoseconds.
const REFRESH_RECORDS: u32 = 64;
/// Records after which all counts are halved, so that older latencies weigh at most as much as
/// newer ones.
const HALVING_RECORDS: u32 = 8192;

/// Settings of the latency estimate.
#[derive(Clone, Copy, Debug)]
pub struct LatencySettings {
    /// Quantile of the latency after which a hedge is sent, from 0 to 1.
    pub hedge_quantile: f64,
    /// Number of records from which on the measured quantiles replace `initial`.
    pub min_records: u32,
    /// Hedge quantile that is assumed until enough latencies were recorded.
    pub initial: Duration,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self { hedge_quantile: 0.95, min_records: 50, initial: Duration::from_millis(50) }
    }
}

/// Latency quantiles of a service.
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantiles {
    /// Half of the 1st percentile. Sub-requests with less remaining time are not sent.
    pub fastest: Duration,
    /// Median latency.
    pub median: Duration,
    /// Quantile after which a hedge is sent.
    pub hedge: Duration,
    /// 99th percentile.
    pub slowest: Duration,
}

/// Latency distribution of one service.
#[derive(Debug)]
pub struct LatencyDistribution {
    settings: LatencySettings,
    counts: Vec<u32>,
    total: u32,
    since_refresh: u32,
    quantiles: LatencyQuantiles,
}

fn bucket_of(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if micros < BUCKETS_PER_OCTAVE {
        return micros as usize;
    }
    let octave = u64::from(micros.ilog2());
    let step = (micros >> (octave - 3)) - BUCKETS_PER_OCTAVE;
    (((octave - 2) * BUCKETS_PER_OCTAVE + step) as usize).min(BUCKET_COUNT - 1)
}

/// Returns the upper bound of a bucket.
fn bucket_end(bucket: usize) -> Duration {
    let bucket = bucket as u64;
    if bucket < BUCKETS_PER_OCTAVE {
        return Duration::from_micros(bucket + 1);
    }
    let octave = bucket / BUCKETS_PER_OCTAVE + 2;
    let step = bucket % BUCKETS_PER_OCTAVE;
    Duration::from_micros((BUCKETS_PER_OCTAVE + step + 1) << (octave - 3))
}

impl LatencyDistribution {
    /// Creates an empty distribution that assumes the initial latency.
    pub fn new(settings: LatencySettings) -> Self {
        let quantiles = LatencyQuantiles {
            fastest: Duration::ZERO,
            median: settings.initial / 2,
            hedge: settings.initial,
            slowest: settings.initial * 2,
        };
        Self { settings, counts: vec![0; BUCKET_COUNT], total: 0, since_refresh: 0, quantiles }
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= HALVING_RECORDS {
            self.halve();
        }
        let first = self.total == self.settings.min_records;
        if self.total >= self.settings.min_records
            && (first || self.since_refresh >= REFRESH_RECORDS)
        {
            self.refresh();
        }
    }

    /// Returns the current quantiles.
    pub fn quantiles(&self) -> LatencyQuantiles {
        self.quantiles
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.quantiles = LatencyQuantiles {
            fastest: self.quantile(0.01) / 2,
            median: self.quantile(0.5),
            hedge: self.quantile(self.settings.hedge_quantile),
            slowest: self.quantile(0.99),
        };
    }

    fn quantile(&self, quantile: f64) -> Duration {
        let rank = (f64::from(self.total) * quantile).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return bucket_end(bucket);
            }
        }
        bucket_end(BUCKET_COUNT - 1)
    }
}
