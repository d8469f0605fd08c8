//! Records the metrics of a process in memory, for the metrics endpoint.
//!
//! The usual exporter reads a clock that calibrates itself for up to 200 ms when it is created. That would delay the
//! first requests after a start, and nothing here needs a clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};
use metrics_util::registry::{Registry, Storage};

/// Upper bounds of the buckets of latency histograms in seconds. They extend from well below to well above the
/// deadlines of both tenants.
const LATENCY_BUCKETS_SECONDS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.076, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Upper bounds of the buckets of ratio histograms. They are close together near 1, where missing parts of a response
/// show.
const RATIO_BUCKETS: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1.0];
/// Name suffix of metrics that are ratios.
const RATIO_SUFFIX: &str = "_ratio";

/// A histogram with fixed buckets.
pub(crate) struct BucketHistogram {
    bounds: &'static [f64],
    // One count for each bound, of the values up to it and above the previous one, and one for larger values.
    counts: Vec<AtomicU64>,
    // Bits of the sum as a floating-point number.
    sum: AtomicU64,
}

impl BucketHistogram {
    fn new(bounds: &'static [f64]) -> Self {
        let counts = (0..=bounds.len()).map(|_| AtomicU64::new(0)).collect();
        Self { bounds, counts, sum: AtomicU64::new(0.0_f64.to_bits()) }
    }

    /// Returns each upper bound with the number of values up to it.
    pub(crate) fn cumulative(&self) -> impl Iterator<Item = (f64, u64)> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let totals = counts.scan(0, |total, count| {
            *total += count;
            Some(*total)
        });
        self.bounds.iter().copied().chain([f64::INFINITY]).zip(totals)
    }

    pub(crate) fn sum(&self) -> f64 {
        f64::from_bits(self.sum.load(Ordering::Relaxed))
    }
}

impl HistogramFn for BucketHistogram {
    fn record(&self, value: f64) {
        let bucket = self.bounds.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        let add = |bits| Some((f64::from_bits(bits) + value).to_bits());
        // Never fails, because `add` always returns a value.
        let _ = self.sum.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

/// Creates the memory of each metric.
pub(crate) struct PageStorage;

impl Storage<Key> for PageStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<BucketHistogram>;

    fn counter(&self, _key: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _key: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, key: &Key) -> Self::Histogram {
        let is_ratio = key.name().ends_with(RATIO_SUFFIX);
        let bounds: &[f64] = if is_ratio { &RATIO_BUCKETS } else { &LATENCY_BUCKETS_SECONDS };
        Arc::new(BucketHistogram::new(bounds))
    }
}

/// All metrics that were recorded so far.
pub(crate) type PageRegistry = Registry<Key, PageStorage>;

/// Passes the metrics of the process to a registry.
pub(crate) struct PageRecorder(pub(crate) Arc<PageRegistry>);

impl Recorder for PageRecorder {
    fn describe_counter(&self, _name: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_gauge(&self, _name: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_histogram(&self, _name: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn register_counter(&self, key: &Key, _metadata: &Metadata<'_>) -> Counter {
        self.0.get_or_create_counter(key, |counter| Counter::from_arc(Arc::clone(counter)))
    }

    fn register_gauge(&self, key: &Key, _metadata: &Metadata<'_>) -> Gauge {
        self.0.get_or_create_gauge(key, |gauge| Gauge::from_arc(Arc::clone(gauge)))
    }

    fn register_histogram(&self, key: &Key, _metadata: &Metadata<'_>) -> Histogram {
        self.0.get_or_create_histogram(key, |histogram| Histogram::from_arc(Arc::clone(histogram)))
    }
}
