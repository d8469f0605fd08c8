//! The concurrency limit of one service, which follows the measured latency of its sub-requests.
//!
//! See `docs/design/limits_and_admission.md`.

use std::time::Duration;

use crate::types::MonotonicTime;

use super::admission::AdmissionSettings;
use super::pacing::RetryPacer;

/// Most samples kept for one window; their median hardly moves with more.
const MAX_WINDOW_SAMPLES: usize = 256;

/// Weight of a new request latency in its moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight of a window's median in the baseline. While the limit is used up, only lower medians count, and
/// less, because higher ones contain the queueing that the limit itself allows.
const BASELINE_WEIGHT: f64 = 0.1;
const BASELINE_WEIGHT_LOADED: f64 = 0.05;
const BASELINE_WEIGHT_PROBED: f64 = 0.5;

/// Part of the limit from which on it counts as used up.
const USED_FRACTION: f64 = 0.8;

/// Part of the requests of a window that may miss their deadline before the limit falls.
const MISS_FRACTION: f64 = 0.05;

/// Factor of the limit after a window with too many misses.
const MISS_FACTOR: f64 = 0.8;

/// Smallest factor by which latency alone reduces the limit in one window.
const MIN_GRADIENT: f64 = 0.5;

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// In time.
    InTime,
    /// Its deadline passed first.
    TimedOut,
    /// Without a statement about load, for example because the caller went away.
    Neutral,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    Idle { next: MonotonicTime },
    Draining { until: MonotonicTime, end: MonotonicTime },
    Measuring { end: MonotonicTime },
}

/// The limit of one service.
#[derive(Debug)]
pub(super) struct ServiceLimit {
    limit: f64,
    baseline: Option<f64>,
    samples: Vec<f64>,
    window_start: MonotonicTime,
    peak: usize,
    ended: usize,
    missed: usize,
    in_flight: usize,
    latency: f64,
    probe: ProbeState,
    pub(super) pacer: RetryPacer,
}

impl ServiceLimit {
    /// A limit without measurements.
    pub(super) fn new(now: MonotonicTime, settings: &AdmissionSettings) -> Self {
        Self {
            limit: settings.initial_limit,
            baseline: None,
            samples: Vec::new(),
            window_start: now,
            peak: 0,
            ended: 0,
            missed: 0,
            in_flight: 0,
            latency: 0.0,
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

    /// Whether another request may start.
    pub(super) fn has_room(&self, settings: &AdmissionSettings) -> bool {
        self.in_flight < self.effective_limit(settings)
    }

    /// Requests that end each second while the limit is used up; infinite before any has ended.
    pub(super) fn throughput(&self, settings: &AdmissionSettings) -> f64 {
        self.effective_limit(settings) as f64 / self.latency
    }

    /// A request starts.
    pub(super) fn start(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// A sub-request took this many seconds.
    pub(super) fn note_sample(
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

    /// A request ended after this many seconds.
    pub(super) fn note_end(
        &mut self,
        now: MonotonicTime,
        end: WorkOutcome,
        latency: f64,
        settings: &AdmissionSettings,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if end == WorkOutcome::Neutral {
            return;
        }
        let weight = if self.latency == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency += weight * (latency - self.latency);
        self.ended += 1;
        self.missed += usize::from(end == WorkOutcome::TimedOut);
        self.close_window(now, settings);
    }

    fn close_window(&mut self, now: MonotonicTime, settings: &AdmissionSettings) {
        self.advance_probe(now);
        let is_full = self.samples.len().max(self.ended) >= settings.window_samples;
        if now.since(self.window_start) < settings.window || !is_full {
            return;
        }
        let median = median_of(&mut self.samples);
        let is_used = self.peak as f64 >= USED_FRACTION * self.effective_limit(settings) as f64;
        let misses_many = self.missed as f64 > MISS_FRACTION * self.ended as f64;
        match self.probe {
            ProbeState::Idle { .. } if misses_many => self.limit *= MISS_FACTOR,
            ProbeState::Idle { .. } => self.follow_latency(median, is_used, settings),
            ProbeState::Draining { .. } => {}
            ProbeState::Measuring { end } => {
                self.blend_baseline(median, BASELINE_WEIGHT_PROBED);
                if now >= end {
                    self.probe = ProbeState::Idle { next: now + settings.probe_interval };
                }
            }
        }
        self.limit = self.limit.clamp(settings.min_limit, settings.max_limit);
        self.begin_probe(now, median, is_used, settings);
        self.begin_window(now);
    }

    /// Gradient step: the limit shrinks by the ratio of tolerated to measured latency, and grows by its
    /// square root, which allows a short queue and probes for more capacity.
    fn follow_latency(&mut self, median: Option<f64>, is_used: bool, settings: &AdmissionSettings) {
        let Some(measured) = median else { return };
        let baseline = *self.baseline.get_or_insert(measured);
        if !is_used {
            self.blend_baseline(median, BASELINE_WEIGHT);
        } else if measured < baseline {
            self.blend_baseline(median, BASELINE_WEIGHT_LOADED);
        }
        let gradient = (settings.tolerance * baseline / measured).clamp(MIN_GRADIENT, 1.0);
        if is_used || gradient < 1.0 {
            self.limit = self.limit * gradient + self.limit.sqrt();
        }
    }

    fn blend_baseline(&mut self, median: Option<f64>, weight: f64) {
        let Some(measured) = median else { return };
        let baseline = self.baseline.get_or_insert(measured);
        *baseline += weight * (measured - *baseline);
    }

    /// A probe begins only while the limit is used up: otherwise every window measures without queueing.
    fn begin_probe(
        &mut self,
        now: MonotonicTime,
        median: Option<f64>,
        is_used: bool,
        settings: &AdmissionSettings,
    ) {
        let (ProbeState::Idle { next }, Some(median)) = (self.probe, median) else { return };
        if now < next || !is_used || self.limit < 2.0 * settings.min_limit {
            return;
        }
        let phase = settings.window.max(Duration::from_secs_f64(3.0 * median));
        self.probe = ProbeState::Draining { until: now + phase, end: now + phase * 2 };
    }

    /// Measurements of the draining phase still contain the queueing of before, so they are dropped.
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
        self.peak = self.in_flight;
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
    // A latency of zero would make the gradient meaningless.
    Some(median.max(1e-6))
}
