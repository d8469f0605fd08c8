//! Builds the answer that a caller gets from what the run of its request brought.

use bytes::Bytes;
use hickoryspan_core::gateway::documents::document::{RouteDestination, ShardSpread};
use hickoryspan_core::gateway::fanouts::fanout::merge_records;
use hickoryspan_runtime::http_client::HttpAnswer;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::attempt::GatewayJob;
use crate::gateway_state::GatewayState;
use crate::headers::remove_connection_headers;
use crate::refusal::{GatewayResponse, RefusalReason, refuse_job, refuse_without_target};
use crate::run_outcome::{RunEnd, RunOutcome, ShardAnswer};
use crate::target_answer::claims_not_run;

/// Content type of merged shard answers.
const RECORDS_TYPE: &str = "application/octet-stream";

/// Returns the merged answer of all shards, with the stamps of the parts that it has and the number of those that are missing.
pub(crate) fn merge_answers(
    state: &GatewayState,
    spread: &ShardSpread,
    outcome: RunOutcome,
) -> GatewayResponse {
    let names = &state.settings.headers;
    let missing = outcome.answers.iter().filter(|answer| answer.is_none()).count();
    let answers = || outcome.answers.iter().flatten();
    let direct = answers().filter_map(|answer| match answer {
        ShardAnswer::Direct(answer) => Some(&*answer.body),
        ShardAnswer::Relayed(_) => None,
    });
    let relayed = outcome.relayed_records.iter().map(|records| &**records);
    let records = merge_records(direct.chain(relayed), spread.result_limit);
    let stamps: Vec<&str> = answers()
        .filter_map(|answer| match answer {
            ShardAnswer::Direct(answer) => answer.headers.get(&names.stamp)?.to_str().ok(),
            ShardAnswer::Relayed(stamp) => Some(&**stamp),
        })
        .collect();
    let mut response = Response::new(Full::new(Bytes::from(records)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(RECORDS_TYPE));
    match HeaderValue::from_str(&stamps.join(", ")) {
        Ok(stamps) => headers.insert(names.part_stamps.clone(), stamps),
        Err(error) => {
            // Unreachable, since the stamps were read from valid header values.
            spdlog::error!("cannot encode part stamps: {}", error);
            None
        }
    };
    headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
    response
}

/// Returns the answer of the only shard of a request.
pub(crate) fn find_direct_answer(answers: Vec<Option<ShardAnswer>>) -> Option<HttpAnswer> {
    answers.into_iter().flatten().find_map(|answer| match answer {
        ShardAnswer::Direct(answer) => Some(answer),
        ShardAnswer::Relayed(_) => None,
    })
}

/// Returns the answer of a target as its caller gets it.
pub(crate) fn forward_answer(state: &GatewayState, answer: Option<HttpAnswer>) -> GatewayResponse {
    let Some(HttpAnswer { status, headers, body, .. }) = answer else {
        // Unreachable: a run for a single shard is `Answered` only with the answer of that shard.
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        return response;
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let mut headers: HeaderMap = headers;
    remove_connection_headers(&mut headers);
    // It concerns the entry's choice of targets; callers choose none.
    headers.remove(&state.settings.headers.leaving);
    *response.headers_mut() = headers;
    response
}

/// Returns the answer to a request whose run brought none that counts: that of the target, or a refusal that says whether it
/// may have run.
pub(crate) fn failure_response(
    state: &GatewayState,
    job: &GatewayJob,
    outcome: RunOutcome,
) -> GatewayResponse {
    let single = !matches!(job.route.destination, RouteDestination::Shards(_));
    if single && let Some(answer) = outcome.failure_answer {
        // Statuses which say that the request did not run are not forwarded, because the target may have run it.
        if !claims_not_run(answer.status) {
            return forward_answer(state, Some(answer));
        }
    }
    let reason = match (outcome.end, outcome.may_have_run) {
        (_, false) => return refuse_without_target(state, job),
        (RunEnd::TimedOut, true) => RefusalReason::TimedOut,
        (RunEnd::Stopped, true) => RefusalReason::StopTimedOut,
        (_, true) => RefusalReason::MayHaveRun,
    };
    refuse_job(state, job, reason)
}
