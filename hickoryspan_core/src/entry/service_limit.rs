//! Adaptive concurrency limit of one service, based on the measured latency of its sub-requests.
//!
//! See `docs/design/limits_and_admission.md`.

use std::time::Duration;

use crate::types::MonotonicTime;

use super::admission::AdmissionSettings;
use super::pacer::RetryPacer;

/// Maximum number of samples kept for one window. More samples hardly change the median.
const MAX_WINDOW_SAMPLES: usize = 256;

/// Weight of a new request latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weights of a window's median in the baseline latency: normally, while the limit is reached, and in a probe.
/// While the limit is reached, only lower medians count, and with less weight, because higher ones contain the
/// queueing that the limit itself allows.
const BASELINE_WEIGHT: f64 = 0.1;
const BASELINE_WEIGHT_LOADED: f64 = 0.05;
const BASELINE_WEIGHT_PROBED: f64 = 0.5;

/// Fraction of the limit from which on the limit counts as reached.
const REACHED_FRACTION: f64 = 0.8;

/// Fraction of a window's requests that may miss their deadline before the limit is lowered.
const MISS_FRACTION: f64 = 0.05;

/// Factor applied to the limit after a window with too many missed deadlines.
const MISS_FACTOR: f64 = 0.8;

/// Smallest factor that latency alone may apply to the limit in one window.
const MIN_GRADIENT: f64 = 0.5;

/// Outcome of a started request, as far as it matters for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The request ended before its deadline.
    InTime,
    /// The deadline passed before the request ended.
    TimedOut,
    /// The end says nothing about load, for example because the caller disconnected.
    Neutral,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// No probe is running. `next` is the earliest start of the next one.
    Idle { next: MonotonicTime },
    /// The limit is halved, and queues at the targets drain until `until`.
    Draining { until: MonotonicTime, end: MonotonicTime },
    /// The limit is halved, and the latency without queueing is measured.
    Measuring { end: MonotonicTime },
}

/// Concurrency limit of one service.
#[derive(Debug)]
pub(super) struct ServiceLimit {
    limit: f64,
    /// Estimated latency of a sub-request without queueing, in seconds.
    baseline: Option<f64>,
    /// Latencies of sub-requests in the current window, in seconds.
    samples: Vec<f64>,
    window_start: MonotonicTime,
    /// Maximum number of requests in flight in the current window.
    peak_in_flight: usize,
    /// Number of requests that ended in the current window.
    ended: usize,
    /// Number of those that missed their deadline.
    missed: usize,
    in_flight: usize,
    /// Moving average of the latency of whole requests, in seconds; zero before the first one.
    mean_latency: f64,
    probe: ProbeState,
    pub(super) pacer: RetryPacer,
}

impl ServiceLimit {
    /// Creates a limit without measurements.
    pub(super) fn new(now: MonotonicTime, settings: &AdmissionSettings) -> Self {
        Self {
            limit: settings.initial_limit,
            baseline: None,
            samples: Vec::new(),
            window_start: now,
            peak_in_flight: 0,
            ended: 0,
            missed: 0,
            in_flight: 0,
            mean_latency: 0.0,
            probe: ProbeState::Idle { next: now + settings.first_probe },
            pacer: RetryPacer::default(),
        }
    }

    fn effective_limit(&self, settings: &AdmissionSettings) -> usize {
        let limit = match self.probe {
            ProbeState::Idle { .. } => self.limit,
            _ => (self.limit / 2.0).max(settings.min_limit),
        };
        (limit as usize).max(1)
    }

    /// Returns whether another request may start.
    pub(super) fn has_room(&self, settings: &AdmissionSettings) -> bool {
        self.in_flight < self.effective_limit(settings)
    }

    /// Returns the number of requests that end each second while the limit is reached. It is infinite before
    /// the first request has ended.
    pub(super) fn throughput(&self, settings: &AdmissionSettings) -> f64 {
        self.effective_limit(settings) as f64 / self.mean_latency
    }

    /// Counts a started request.
    pub(super) fn start(&mut self) {
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
    }

    /// Records the latency of a sub-request, in seconds.
    pub(super) fn record_sample(
        &mut self,
        now: MonotonicTime,
        latency: f64,
        settings: &AdmissionSettings,
    ) {
        if self.samples.len() < MAX_WINDOW_SAMPLES {
            self.samples.push(latency);
        }
        self.close_window(now, settings);
    }

    /// Records the end of a request and its latency, in seconds.
    pub(super) fn record_end(
        &mut self,
        now: MonotonicTime,
        outcome: WorkOutcome,
        latency: f64,
        settings: &AdmissionSettings,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == WorkOutcome::Neutral {
            return;
        }
        let weight = if self.mean_latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.mean_latency += weight * (latency - self.mean_latency);
        self.ended += 1;
        self.missed += usize::from(outcome == WorkOutcome::TimedOut);
        self.close_window(now, settings);
    }

    fn close_window(&mut self, now: MonotonicTime, settings: &AdmissionSettings) {
        self.advance_probe(now);
        let is_full = self.samples.len().max(self.ended) >= settings.window_samples;
        if now.since(self.window_start) < settings.window || !is_full {
            return;
        }
        let median = median_of(&mut self.samples);
        let is_reached =
            self.peak_in_flight as f64 >= REACHED_FRACTION * self.effective_limit(settings) as f64;
        let has_many_misses = self.missed as f64 > MISS_FRACTION * self.ended as f64;
        match self.probe {
            ProbeState::Idle { .. } if has_many_misses => self.limit *= MISS_FACTOR,
            ProbeState::Idle { .. } => self.apply_gradient(median, is_reached, settings),
            ProbeState::Draining { .. } => {}
            ProbeState::Measuring { end } => {
                self.update_baseline(median, BASELINE_WEIGHT_PROBED);
                if now >= end {
                    self.probe = ProbeState::Idle { next: now + settings.probe_interval };
                }
            }
        }
        self.limit = self.limit.clamp(settings.min_limit, settings.max_limit);
        self.begin_probe(now, median, is_reached, settings);
        self.begin_window(now);
    }

    /// Gradient step: the limit is multiplied by the ratio of tolerated to measured latency, if that is below
    /// 1, and grows by its square root, which allows a short queue and probes for more capacity.
    fn apply_gradient(
        &mut self,
        median: Option<f64>,
        is_reached: bool,
        settings: &AdmissionSettings,
    ) {
        let Some(measured) = median else { return };
        let baseline = *self.baseline.get_or_insert(measured);
        if !is_reached {
            self.update_baseline(median, BASELINE_WEIGHT);
        } else if measured < baseline {
            self.update_baseline(median, BASELINE_WEIGHT_LOADED);
        }
        let gradient = (settings.tolerance * baseline / measured).clamp(MIN_GRADIENT, 1.0);
        if is_reached || gradient < 1.0 {
            self.limit = self.limit * gradient + self.limit.sqrt();
        }
    }

    fn update_baseline(&mut self, median: Option<f64>, weight: f64) {
        let Some(measured) = median else { return };
        let baseline = self.baseline.get_or_insert(measured);
        *baseline += weight * (measured - *baseline);
    }

    /// Begins a probe if one is due and the limit is reached. While the limit is not reached, every window
    /// measures the latency without queueing anyway.
    fn begin_probe(
        &mut self,
        now: MonotonicTime,
        median: Option<f64>,
        is_reached: bool,
        settings: &AdmissionSettings,
    ) {
        let (ProbeState::Idle { next }, Some(median)) = (self.probe, median) else { return };
        if now < next || !is_reached || self.limit < 2.0 * settings.min_limit {
            return;
        }
        let phase = settings.window.max(Duration::from_secs_f64(3.0 * median));
        self.probe = ProbeState::Draining { until: now + phase, end: now + phase * 2 };
    }

    /// Ends the draining phase of a probe. Its measurements are dropped, because they contain the queueing from
    /// before.
    fn advance_probe(&mut self, now: MonotonicTime) {
        if let ProbeState::Draining { until, end } = self.probe
            && now >= until
        {
            self.probe = ProbeState::Measuring { end };
            self.begin_window(now);
        }
    }

    fn begin_window(&mut self, now: MonotonicTime) {
        self.samples.clear();
        self.window_start = now;
        self.peak_in_flight = self.in_flight;
        self.ended = 0;
        self.missed = 0;
    }
}

fn median_of(samples: &mut [f64]) -> Option<f64> {
    if samples.is_empty() {
        return None;
    }
    let middle = samples.len() / 2;
    let (_, median, _) = samples.select_nth_unstable_by(middle, f64::total_cmp);
    // A median of zero would make the gradient infinite or undefined.
    Some(median.max(1e-6))
}
