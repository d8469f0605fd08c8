//! Summary of a run: latency percentiles by tenant and class, coverage, extra load, goodput and violated invariants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryspan_core::messages::RequestOutcome;
use serde::{Deserialize, Serialize};

use crate::driver::RunOutcome;
use crate::invariants::{InvariantViolation, check_history};
use crate::profile::TrafficPlan;

/// Upper bound of the latency histograms, in microseconds; longer than any caller waits.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Number of significant decimal digits in the latency histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LatencyFigures {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl LatencyFigures {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// Results for one request class of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClassFigures {
    /// Tenant that the class belongs to.
    pub tenant: Arc<str>,
    /// Name of the request class.
    pub class: Arc<str>,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests by outcome; `cut` counts requests without a response.
    pub outcomes: BTreeMap<Arc<str>, u64>,
    /// Latency percentiles of all requests, including those without a response.
    pub latency_ms: LatencyFigures,
    /// Mean coverage of searches; a search without a response counts as zero.
    pub mean_coverage: f64,
}

/// Results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunSummary {
    /// Name of the policy variant.
    pub variant: Arc<str>,
    /// Results by class, in the order of the traffic mix.
    pub classes: Vec<ClassFigures>,
    /// Ratio of additional attempts, such as hedges and retries, to first attempts.
    pub extra_load: f64,
    /// Complete responses per second.
    pub goodput: f64,
    /// Highest ratio of open connections to the connection limit over all targets, at the end of the run.
    pub connection_share: f64,
    /// Violated invariants; a correct run has none.
    pub breaches: Vec<Arc<str>>,
}

fn outcome_name(outcome: Option<RequestOutcome>) -> &'static str {
    match outcome {
        Some(RequestOutcome::Complete) => "complete",
        Some(RequestOutcome::Partial) => "partial",
        Some(RequestOutcome::NotRun) => "not_run",
        Some(RequestOutcome::Failed) => "failed",
        Some(RequestOutcome::Unknown) => "unknown",
        None => "cut",
    }
}

/// Computes the results of a run and runs all invariant checkers.
///
/// # Errors
///
/// Fails if a latency histogram cannot be created.
pub fn summarize(
    variant: &str,
    traffic: &[TrafficPlan],
    outcome: &RunOutcome,
    duration: Duration,
) -> anyhow::Result<RunSummary> {
    let classes: anyhow::Result<Vec<_>> = traffic
        .iter()
        .enumerate()
        .map(|(index, plan)| summarize_class(index, plan, outcome))
        .collect();
    let attempts: u64 = outcome.samples.iter().map(|sample| u64::from(sample.attempts)).sum();
    let extra: u64 = outcome.samples.iter().map(|sample| u64::from(sample.extra_attempts)).sum();
    let first = attempts.saturating_sub(extra).max(1);
    let complete = outcome
        .samples
        .iter()
        .filter(|sample| sample.answer.outcome == Some(RequestOutcome::Complete))
        .count();
    let breaches = check_history(&outcome.history);
    Ok(RunSummary {
        variant: variant.into(),
        classes: classes?,
        extra_load: extra as f64 / first as f64,
        goodput: complete as f64 / duration.as_secs_f64(),
        connection_share: outcome.connection_share,
        breaches: breaches.iter().map(InvariantViolation::to_string).map(Arc::from).collect(),
    })
}

fn summarize_class(
    index: usize,
    plan: &TrafficPlan,
    outcome: &RunOutcome,
) -> anyhow::Result<ClassFigures> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, HISTOGRAM_DIGITS)?;
    let mut outcomes: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    let mut coverage = 0.0;
    let samples = outcome.samples.iter().filter(|sample| sample.traffic == index);
    for sample in samples {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
        *outcomes.entry(outcome_name(sample.answer.outcome).into()).or_default() += 1;
        coverage += sample.answer.coverage.value();
    }
    let requests = histogram.len();
    Ok(ClassFigures {
        tenant: plan.tenant.into(),
        class: plan.class.into(),
        requests,
        outcomes,
        latency_ms: LatencyFigures::of(&histogram),
        mean_coverage: coverage / (requests.max(1) as f64),
    })
}
