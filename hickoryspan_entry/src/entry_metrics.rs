//! Records the metrics of the entry machine and of the daemon for the metrics endpoint.

use hickoryspan_core::entry::interface::EntryMetric;
use metrics::{counter, gauge, histogram};

/// Name of the coverage histogram. Its suffix selects the buckets that
/// `hickoryspan_runtime::metrics_page` sets for ratios.
const COVERAGE: &str = "hickoryspan_request_coverage_ratio";

pub(crate) fn record_metric(metric: EntryMetric) {
    match metric {
        EntryMetric::Request { tenant, class, outcome, latency, coverage } => {
            let labels = [("tenant", tenant.to_string()), ("class", class.to_string())];
            histogram!("hickoryspan_request_latency_seconds", &labels)
                .record(latency.as_secs_f64());
            histogram!(COVERAGE, &labels).record(coverage.value());
            let outcome = ("outcome", crate::answers::outcome_name(outcome).to_owned());
            let [tenant, class] = labels;
            counter!("hickoryspan_requests_total", &[tenant, class, outcome]).increment(1);
        }
        EntryMetric::Attempt { service, latency } => {
            let labels =
                [("tenant", service.tenant.to_string()), ("service", service.service.to_string())];
            counter!("hickoryspan_attempts_total", &labels).increment(1);
            histogram!("hickoryspan_attempt_latency_seconds", &labels)
                .record(latency.as_secs_f64());
        }
        EntryMetric::ExtraAttempt { service } => {
            let labels =
                [("tenant", service.tenant.to_string()), ("service", service.service.to_string())];
            counter!("hickoryspan_extra_attempts_total", &labels).increment(1);
        }
        EntryMetric::SilentConnection { target } => {
            // The target is logged instead of being a label, because thousands of targets would
            // create too many time series.
            spdlog::warn!("target {}: closing a connection that stopped answering", target);
            counter!("hickoryspan_silent_connections_total").increment(1);
        }
        EntryMetric::Revision(revision) => {
            gauge!("hickoryspan_revision").set(revision.0 as f64);
        }
    }
}

pub(crate) fn record_connections(open: usize) {
    gauge!("hickoryspan_target_connections").set(open as f64);
}

pub(crate) fn record_refusal(error: &'static str) {
    counter!("hickoryspan_refused_requests_total", "error" => error).increment(1);
}
