//! What this entry expects of a request's work, if its targets are chosen by that.

use std::sync::Arc;

use hickoryspan_core::gateway::targets::cost_model::{RequestTraits, WorkEstimate};
use hickoryspan_core::gateway::targets::selection::TargetPolicy;
use hickoryspan_core::gateway::targets::work_choice::WorkPlacement;
use hickoryspan_core::gateway::targets::work_left::WorkTicket;

use crate::attempt::GatewayJob;
use crate::gateway_state::{GatewayState, INITIAL_LATENCY_DIVISOR};

/// The expected work of a request, and what the expectation is based on.
#[derive(Clone)]
pub(crate) struct ExpectedWork {
    pub(crate) traits: Arc<RequestTraits>,
    pub(crate) estimate: WorkEstimate,
}

/// An attempt as the selector counts it.
pub(crate) struct AttemptWork {
    pub(crate) ticket: WorkTicket,
    pub(crate) traits: Arc<RequestTraits>,
}

/// Returns the expected work of a request, or `None` if targets are not chosen by it.
pub(crate) fn expect_work(state: &GatewayState, job: &GatewayJob) -> Option<ExpectedWork> {
    if state.settings.selection.policy == TargetPolicy::Latency {
        return None;
    }
    let account = job.headers.get(&state.settings.headers.account);
    let traits = RequestTraits {
        route: job.route.name.clone(),
        // Requests of other entries have the account in their headers only.
        account: account.and_then(|name| name.to_str().ok()).map(Arc::from),
        body_bytes: job.body.len(),
        fingerprint: job.fingerprint,
        prior: job.route.objective / INITIAL_LATENCY_DIVISOR,
    };
    let estimate = state.decisions().selector.estimate(state.now(), &traits)?;
    Some(ExpectedWork { traits: Arc::new(traits), estimate })
}

impl ExpectedWork {
    /// Records what is expected of a request that starts now.
    pub(crate) fn record_metrics(&self, state: &GatewayState) {
        let route = &self.traits.route;
        let explained = state.decisions().selector.explained_variance(route);
        metrics::gauge!("hickoryspan_gateway_work_explained_ratio", "route" => route.to_string())
            .set(explained);
        metrics::histogram!("hickoryspan_gateway_expected_work_seconds", "route" => route.to_string())
            .record(self.estimate.mean.as_secs_f64());
    }
}

/// What the choices of targets for one request were based on, for the log.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkReport {
    pub(crate) estimate: Option<WorkEstimate>,
    /// The last choice of a target.
    pub(crate) placement: Option<WorkPlacement>,
}

impl WorkReport {
    /// Returns the expected work in milliseconds, or `-` if it was not estimated.
    pub(crate) fn expected_text(&self) -> String {
        self.estimate.map_or_else(|| "-".to_owned(), |known| known.mean.as_millis().to_string())
    }

    /// Returns what the estimate is based on.
    pub(crate) fn source_text(&self) -> &'static str {
        self.estimate.map_or("-", |known| known.source.as_str())
    }

    /// Returns the work that was left on the last target, as the expected wait in milliseconds.
    pub(crate) fn wait_text(&self) -> String {
        let wait = self.placement.map(|placement| placement.completion.wait.as_millis());
        wait.map_or_else(|| "-".to_owned(), |wait| wait.to_string())
    }

    /// Returns why the last target was chosen.
    pub(crate) fn reason_text(&self) -> &'static str {
        self.placement.map_or("-", |placement| placement.reason.as_str())
    }
}
