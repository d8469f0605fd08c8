//! Reads the answers of targets: whether one is a valid answer to the request, and what it says of its target.

use std::time::Duration;

use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::targets::outcomes::{AttemptFailure, ReportedLoad};
use hickoryspan_core::gateway::targets::selection::ChosenTarget;
use hickoryspan_core::gateway::targets::target_notices::read_retry_time;
use hickoryspan_core::types::RequestRate;
use hickoryspan_runtime::http_client::HttpAnswer;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::attempt::{AttemptResult, GatewayJob};
use crate::gateway_state::GatewayState;
use crate::target_pool::PooledConnection;

/// Longest idle timeout of a target that is believed. Connections are closed long before that.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Largest number of running or waiting requests, or slots, that a target is believed to have.
const MAX_REPORTED_REQUESTS: u32 = 1_000_000;

/// Decides what an answer means, records what it says of its target, and returns its connection to the pool.
pub(crate) fn classify_answer(
    state: &GatewayState,
    job: &GatewayJob,
    target: &ChosenTarget,
    pooled: PooledConnection,
    answer: HttpAnswer,
) -> AttemptResult {
    let names = &state.settings.headers;
    let is_closed = note_notices(state, target, &answer);
    let echoed = answer.headers.get(&names.request);
    // This is a late answer to an earlier request, so the connection cannot be reused.
    if echoed.is_some() && echoed != job.request.as_ref() {
        return AttemptResult::Failure(AttemptFailure::Malformed, None);
    }
    note_limit(state, target, &answer);
    if let Some(load) = answer.headers.get(&names.load).and_then(parse_load) {
        let now = state.now();
        state.decisions().selector.note_load(now, &target.target, load);
    }
    if let Some(idle) = keep_alive_time(&answer.headers, state.settings.target_idle) {
        state.pool.put_back(&target.target, pooled, idle);
    }
    let not_run = answer.headers.contains_key(&names.not_run);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptResult::Failure(AttemptFailure::OtherTarget, None);
    }
    if not_run {
        let failure = if is_closed { AttemptFailure::Closed } else { AttemptFailure::Shed };
        return AttemptResult::Failure(failure, None);
    }
    let stamped = answer.headers.contains_key(&names.stamp);
    if answer.status.is_success() && !stamped {
        return AttemptResult::Failure(AttemptFailure::Malformed, None);
    }
    if answer.status.is_server_error() || claims_not_run(answer.status) {
        return AttemptResult::Failure(AttemptFailure::Failed, Some(answer));
    }
    AttemptResult::Answer(answer)
}

/// Records what a target says of itself with any answer, also with a late one or a failure. Returns whether it wants no
/// requests for a while.
fn note_notices(state: &GatewayState, target: &ChosenTarget, answer: &HttpAnswer) -> bool {
    let leaving = answer.headers.get(&state.settings.headers.leaving);
    if leaving.is_some_and(|value| value.as_bytes() == b"1") {
        let now = state.now();
        if state.decisions().selector.notices_mut().note_leaving(now, &target.process()) {
            state.pool.remove(&target.target);
            log_notice(state, target, "leaving", Duration::ZERO);
        }
    }
    let Some(time) = closed_time(target, answer) else { return false };
    let now = state.now();
    if state.decisions().selector.notices_mut().note_closed(now, &target.process(), time) {
        log_notice(state, target, "closed", time);
    }
    true
}

/// Returns for how long the target wants no requests, if it says so.
fn closed_time(target: &ChosenTarget, answer: &HttpAnswer) -> Option<Duration> {
    if answer.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = answer.headers.get(RETRY_AFTER)?;
    match read_retry_time(value.to_str().unwrap_or_default()) {
        Ok(time) => Some(time).filter(|time| !time.is_zero()),
        Err(error) => {
            spdlog::debug!("retry time of {}: {}", target.address, error);
            None
        }
    }
}

fn log_notice(state: &GatewayState, target: &ChosenTarget, notice: &str, time: Duration) {
    if state.admits_log_line(LogPriority::Important) {
        spdlog::info!(
            "target notice",
            kv: { target: = target.target, notice: = notice, for_ms: = time.as_millis() }
        );
    }
}

/// Records the limit that a target names with a response, or that it no longer names one.
fn note_limit(state: &GatewayState, target: &ChosenTarget, answer: &HttpAnswer) {
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let header = answer.headers.get(&state.settings.headers.limit);
    let limit = header.and_then(|value| value.to_str().ok()?.trim().parse::<RequestRate>().ok());
    if header.is_some() && limit.is_none() {
        spdlog::debug!("limit of {}: not a rate", target.address);
        return;
    }
    let now = state.now();
    let mut decisions = state.decisions();
    let limits = decisions.selector.limits_mut();
    if limit.is_none() && !limits.is_active() {
        return;
    }
    let changed = limits.table.note_response(now, &target.process(), limit);
    drop(decisions);
    if changed {
        state.trigger_report();
    }
    if changed && state.admits_log_line(LogPriority::Important) {
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        spdlog::info!("target limit changed", kv: { target: = target.target, per_second: = limit });
    }
}

/// Returns whether callers take this status to mean that their request did not run.
pub(crate) fn claims_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn parse_load(value: &HeaderValue) -> Option<ReportedLoad> {
    let text = value.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let slots = figures.next()??;
    let latency_percent = figures.next().flatten().unwrap_or(100);
    if [running, waiting, slots].into_iter().any(|figure| figure > MAX_REPORTED_REQUESTS) {
        return None;
    }
    Some(ReportedLoad { running, waiting, slots, latency_percent })
}

/// Returns how long the target keeps the connection open; `None` if it closes it.
fn keep_alive_time(headers: &HeaderMap, default: Duration) -> Option<Duration> {
    let close = headers.get_all(CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
    });
    if close {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|text| {
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    Some(stated.map_or(default, |seconds: u64| Duration::from_secs(seconds).min(MAX_IDLE_TIME)))
}
