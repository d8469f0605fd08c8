//! Builds the responses to callers. A response states an outcome only if the result proves it: for
//! example, a search is reported as not run only if no target can have run it.

use crate::messages::RequestOutcome;
use crate::types::{CoverageShare, RevisionNumber};

use super::interface::{CallerResponse, ResponseReason};
use super::orders::OrderReply;
use super::plan::SearchResult;

/// Returns a response without results.
pub(super) fn blank_response(
    outcome: RequestOutcome,
    reason: Option<ResponseReason>,
    revision: RevisionNumber,
) -> CallerResponse {
    CallerResponse {
        outcome,
        reason,
        snapshot: None,
        coverage: CoverageShare::NONE,
        parts: Vec::new(),
        recorded_body: None,
        attempts: 0,
        extra_attempts: 0,
        retry_after: None,
        other_addresses: Vec::new(),
        revision,
    }
}

/// Returns the response to a search that the engine has finished.
pub(super) fn search_response(result: SearchResult, revision: RevisionNumber) -> CallerResponse {
    let outcome = search_outcome(&result);
    let reason = result.reason.filter(|_| outcome != RequestOutcome::Complete);
    CallerResponse {
        snapshot: result.snapshot,
        coverage: result.coverage,
        parts: result.parts,
        attempts: result.attempts,
        extra_attempts: result.extra_attempts,
        ..blank_response(outcome, reason, revision)
    }
}

fn search_outcome(result: &SearchResult) -> RequestOutcome {
    if result.coverage == CoverageShare::FULL {
        return RequestOutcome::Complete;
    }
    // Answered partitions without documents do not add to the coverage.
    if !result.parts.is_empty() || result.coverage != CoverageShare::NONE {
        return RequestOutcome::Partial;
    }
    if result.may_have_run { RequestOutcome::Failed } else { RequestOutcome::NotRun }
}

/// Returns the response to an order or lookup.
pub(super) fn order_response(reply: OrderReply, revision: RevisionNumber) -> CallerResponse {
    let is_complete = reply.outcome == RequestOutcome::Complete;
    CallerResponse {
        coverage: if is_complete { CoverageShare::FULL } else { CoverageShare::NONE },
        parts: reply.part.into_iter().collect(),
        recorded_body: reply.recorded_body,
        attempts: reply.attempts,
        ..blank_response(reply.outcome, reply.reason, revision)
    }
}

/// Returns whether a request that this entry refuses for the given reason may succeed at another
/// entry.
pub(super) fn can_run_elsewhere(reason: ResponseReason) -> bool {
    matches!(
        reason,
        ResponseReason::CutOff | ResponseReason::Draining | ResponseReason::NoConfiguration
    )
}
