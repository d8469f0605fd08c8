//! Handles a caller's request: reads it, finds its route and runs it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::documents::accounts::KeyDigest;
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, DocumentVersion, RepeatRule, RouteDestination, RouteRule, ShardSpread,
};
use hickoryspan_core::gateway::documents::routes::RouteTable;
use hickoryspan_core::gateway::fanouts::fanout::{FanoutMachine, FanoutSettings};
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::planned_stop::StopVerdict;
use hickoryspan_core::gateway::targets::cost_model::WorkEstimate;
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint, ServiceId};
use hickoryspan_runtime::http_server::{self, BodyError, HttpLimits, charge_of};
use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request};
use hyper::body::Incoming;

use crate::attempt::{AttemptScope, CallerIdentity, GatewayJob};
use crate::caller_answer::{failure_response, find_direct_answer, forward_answer, merge_answers};
use crate::expected_work::expect_work;
use crate::gateway_state::GatewayState;
use crate::headers::remove_connection_headers;
use crate::load_checks::{exceeds_limits, has_enough_targets, is_overloaded};
use crate::quota_permits::{admit, give_back};
use crate::refusal::{
    GatewayResponse, MIN_RETRY_DELAY, RefusalReason, refuse, refuse_job, refuse_without_target,
};
use crate::relayed_groups::RelayedGroups;
use crate::run::run_fanout;
use crate::run_outcome::{AnswerRule, RunEnd, RunOutcome};

/// Subtracted from a caller's deadline so that the response still arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(8);
/// Deadline of requests that state none, while the configuration is not known.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(600);
/// Share of a caller's deadline for which an entry that has just started keeps a request until it can serve it. The rest
/// is left for another try elsewhere.
const START_PATIENCE: f64 = 0.5;
/// Shortest delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(4);
/// Longest hedge delay, as a share of the time for an answer. Below one half, because the hedge takes as long again as
/// the first attempt.
const MAX_HEDGE_SHARE: f64 = 0.45;
/// Position of a request on its connection. The caller's time for the first request includes opening the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPosition {
    First,
    Later,
}

/// Answers one request. A run for it ends by itself at the end of a planned stop; what happens before it, mostly reading the
/// body, is ended here.
pub(crate) async fn answer_until_finish(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    position: ConnectionPosition,
) -> GatewayResponse {
    let id = request.headers().get(&state.settings.headers.request).cloned();
    let answer = answer_request(Arc::clone(&state), request, position);
    tokio::select! {
        biased;
        response = answer => response,
        () = state.finish.cancelled() => {
            let id = id.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-");
            refuse(&state, id, RefusalReason::StopTimedOut, Duration::ZERO)
        }
    }
}

/// Answers one request. Dropping the future cancels all attempts for it.
async fn answer_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    position: ConnectionPosition,
) -> GatewayResponse {
    let received_at = state.now();
    let (mut parts, body) = request.into_parts();
    let id = parts.headers.get(&state.settings.headers.request).cloned();
    let id_text = id.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-").to_owned();
    let Ok(deadline) = deadline_of(&state, &parts.headers) else {
        return refuse(&state, &id_text, RefusalReason::MalformedDeadline, MIN_RETRY_DELAY);
    };
    let deadline = deadline.unwrap_or(DEFAULT_DEADLINE);
    if !await_informed(&state, &parts, deadline.mul_f64(START_PATIENCE)).await {
        return refuse(&state, &id_text, RefusalReason::NoRoom, MIN_RETRY_DELAY);
    }
    let Some(routes) = state.decisions().routes.clone() else {
        let left = deadline.saturating_sub(state.now().since(received_at));
        let retry_after = left.mul_f64(START_PATIENCE / 2.0).max(MIN_RETRY_DELAY);
        return refuse(&state, &id_text, RefusalReason::NoConfiguration, retry_after);
    };
    let Some(host) = host_of(&parts) else {
        return refuse(&state, &id_text, RefusalReason::NoHost, MIN_RETRY_DELAY);
    };
    let Some(route) = routes.find(&host, parts.uri.path()).cloned() else {
        return refuse(&state, &id_text, RefusalReason::NoRoute, MIN_RETRY_DELAY);
    };
    let identity = match identify_caller(&state, &routes, &route, &mut parts.headers) {
        Ok(identity) => identity,
        Err(reason) => return refuse(&state, &id_text, reason, MIN_RETRY_DELAY),
    };
    let limits = routes.document().limits;
    let body = match read_body(&parts, body, &limits, route.timeout).await {
        Ok(body) => body,
        Err(reason) => return refuse(&state, &id_text, reason, MIN_RETRY_DELAY),
    };
    let accepted_by = AcceptedBy {
        route,
        identity,
        keys_checked: routes.requires_keys(),
        version: routes.document().version,
    };
    let job = to_job(&state, parts, body, accepted_by, id, position, received_at);
    if state.decisions().poison.is_condemned(received_at, &job.fingerprint) {
        return refuse(&state, &id_text, RefusalReason::Poisoned, Duration::from_secs(1));
    }
    if ends_too_late(&state, &job) {
        // Another entry can take the request at once.
        return refuse(&state, &id_text, RefusalReason::Stopping, MIN_RETRY_DELAY);
    }
    if let Err(retry_after) = admit(&state, &job).await {
        return refuse(&state, &id_text, RefusalReason::QuotaExceeded, retry_after);
    }
    run_unless_displaced(state, routes, Arc::new(job)).await
}

/// Runs a request. If its room is needed for other callers, its attempts are cancelled.
async fn run_unless_displaced(
    state: Arc<GatewayState>,
    routes: Arc<RouteTable>,
    job: Arc<GatewayJob>,
) -> GatewayResponse {
    let Some(charge) = job.charge.clone() else { return run_job(state, routes, job).await };
    tokio::select! {
        biased;
        response = run_job(Arc::clone(&state), routes, Arc::clone(&job)) => response,
        // A target may have run it.
        () = charge.evicted() => refuse_job(&state, &job, RefusalReason::MayHaveRun),
    }
}

/// Waits until this entry can serve requests, for `patience` at most. Returns false if the room of the request is needed
/// for others before that.
async fn await_informed(state: &GatewayState, parts: &Parts, patience: Duration) -> bool {
    let informed = state.await_informed(patience);
    match charge_of(parts) {
        Some(charge) => tokio::select! {
            biased;
            () = informed => true,
            () = charge.evicted() => false,
        },
        None => {
            informed.await;
            true
        }
    }
}

/// Returns whether this entry is stopping and ends before the request would.
fn ends_too_late(state: &GatewayState, job: &GatewayJob) -> bool {
    let Some(schedule) = state.stop_schedule.get() else { return false };
    let latency = state.decisions().route_latency(&job.route).hedge;
    let (now, give_up_at) = (state.now(), job.give_up_at);
    schedule.verdict(now, give_up_at, job.route.repeat, latency) == StopVerdict::Refuse
}

/// Returns the host that a request is for; `None` if it names none or several.
fn host_of(parts: &Parts) -> Option<String> {
    if parts.headers.get_all(HOST).iter().count() > 1 {
        return None;
    }
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.host().to_owned());
    }
    parts.headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// Finds the account of the caller's key. If the document names accounts, the key is removed from the headers, so that
/// it goes no further, and so is an account that the caller names itself.
fn identify_caller(
    state: &GatewayState,
    routes: &RouteTable,
    route: &RouteRule,
    headers: &mut HeaderMap,
) -> Result<Option<CallerIdentity>, RefusalReason> {
    if !routes.requires_keys() {
        return Ok(None);
    }
    let names = &state.settings.headers;
    let mut keys = headers.get_all(&names.key).iter();
    let key = keys.next().map(|key| KeyDigest::of(key.as_bytes()));
    // Of several keys, none is known to be meant.
    let key = key.filter(|_| keys.next().is_none());
    let identity = key.and_then(|key| {
        let account = Arc::clone(routes.find_account(&key)?);
        // Names of accounts contain only characters that headers may contain.
        let name = HeaderValue::from_str(account.account.as_str()).ok()?;
        Some(CallerIdentity { account, key, name })
    });
    headers.remove(&names.key);
    headers.remove(&names.account);
    if identity.is_none() && !route.public {
        return Err(RefusalReason::UnknownKey);
    }
    Ok(identity)
}

async fn read_body(
    parts: &Parts,
    body: Incoming,
    limits: &CallerLimits,
    time: Duration,
) -> Result<Bytes, RefusalReason> {
    let content_length = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let content_length = content_length.and_then(|text| text.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limits.body_bytes) {
        return Err(RefusalReason::BodyTooLarge);
    }
    let limits =
        HttpLimits { body_bytes: limits.body_bytes, read_time: time, ..HttpLimits::default() };
    let charge = charge_of(parts);
    let body = http_server::read_body(body, &limits, charge.as_deref());
    body.await.map_err(|error| match error {
        BodyError::TooLarge(_) => RefusalReason::BodyTooLarge,
        BodyError::TooSlow(_) | BodyError::Displaced => RefusalReason::BodyTooSlow,
        BodyError::NoRoom => RefusalReason::NoRoom,
        BodyError::Incomplete => RefusalReason::BodyIncomplete,
    })
}

/// A caller says how long it waits in a way that is not understood.
struct MalformedDeadline;

/// Returns how long the caller waits, if it says so: in milliseconds, which may have a fraction. A number that is too large
/// counts as the largest one.
fn deadline_of(
    state: &GatewayState,
    headers: &HeaderMap,
) -> Result<Option<Duration>, MalformedDeadline> {
    let mut values = headers.get_all(&state.settings.headers.deadline).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| MalformedDeadline)?.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |digits: &str| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if values.next().is_some() || !is_number(whole) || !is_number(fraction) {
        return Err(MalformedDeadline);
    }
    // Only a number that is too large is left to fail.
    Ok(Some(Duration::from_millis(whole.parse().unwrap_or(u64::MAX))))
}

/// The parts of the configuration by which a request was accepted.
struct AcceptedBy {
    route: Arc<RouteRule>,
    identity: Option<CallerIdentity>,
    keys_checked: bool,
    version: DocumentVersion,
}

fn to_job(
    state: &GatewayState,
    parts: Parts,
    body: Bytes,
    accepted_by: AcceptedBy,
    request: Option<HeaderValue>,
    position: ConnectionPosition,
    received_at: MonotonicTime,
) -> GatewayJob {
    let AcceptedBy { route, identity, keys_checked, version } = accepted_by;
    let deadline = deadline_of(state, &parts.headers).ok().flatten();
    let timeout = deadline.map_or(route.timeout, |deadline| {
        deadline.saturating_sub(RESPONSE_MARGIN).min(route.timeout)
    });
    let target_path =
        parts.uri.path_and_query().map_or_else(|| "/".to_owned(), |path| path.to_string());
    let fingerprint = fingerprint(&route.host, parts.method.as_str(), &target_path, &body);
    let charge = charge_of(&parts);
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    // Only now, because a caller may name this header in `Connection` to have it removed.
    if let Some(identity) = &identity {
        headers.insert(state.settings.headers.account.clone(), identity.name.clone());
    }
    GatewayJob {
        charge,
        give_up_at: received_at + timeout,
        route,
        method: parts.method,
        target_path,
        headers,
        body,
        request,
        fingerprint,
        position,
        scope: AttemptScope::Direct,
        identity,
        keys_checked,
        version,
        received_at,
    }
}

pub(crate) fn fingerprint(host: &str, method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [host.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    RequestFingerprint(*hasher.finalize().as_bytes())
}

async fn run_job(
    state: Arc<GatewayState>,
    routes: Arc<RouteTable>,
    job: Arc<GatewayJob>,
) -> GatewayResponse {
    let spread = match &job.route.destination {
        RouteDestination::Shards(spread) => Some(spread.clone()),
        RouteDestination::Service(_) | RouteDestination::Split(_) => None,
    };
    let Some(services) = choose_services(&state, &job) else {
        return refuse_without_target(&state, &job);
    };
    if let Some(spread) = &spread
        && !has_enough_targets(&state, spread)
    {
        return refuse_without_target(&state, &job);
    }
    let settings = fanout_settings(&state, &job, spread.as_ref());
    if exceeds_limits(&state, &services, spread.as_ref(), &settings) {
        return refuse_unsent(&state, &job, RefusalReason::Limited);
    }
    if is_overloaded(&state, &job, &services, &settings) {
        return refuse_unsent(&state, &job, RefusalReason::Overloaded);
    }
    let rule = if spread.is_some() { AnswerRule::SuccessOnly } else { AnswerRule::Any };
    let relayed = relay_groups(&state, &job, &services, spread.as_ref(), &settings);
    let machine = FanoutMachine::new(settings);
    let run =
        run_fanout(Arc::clone(&state), Arc::clone(&job), services, machine, rule, relayed, None);
    let outcome = run.await;
    record_outcome(&state, routes.document().version, &job, &outcome);
    match outcome.end {
        RunEnd::Answered => match spread {
            Some(spread) => merge_answers(&state, &spread, outcome),
            None => forward_answer(&state, find_direct_answer(outcome.answers)),
        },
        RunEnd::Failed | RunEnd::TimedOut | RunEnd::Stopped => {
            failure_response(&state, &job, outcome)
        }
    }
}

/// Refuses a request that no target got. It does not count towards the quota of its account.
fn refuse_unsent(state: &GatewayState, job: &GatewayJob, reason: RefusalReason) -> GatewayResponse {
    give_back(state, job);
    refuse_job(state, job, reason)
}

/// Hands groups of shards to other entries if the fan-out is wide enough.
fn relay_groups(
    state: &Arc<GatewayState>,
    job: &GatewayJob,
    services: &[ServiceId],
    spread: Option<&ShardSpread>,
    settings: &FanoutSettings,
) -> RelayedGroups {
    let shard_groups = spread.map(|spread| state.decisions().shard_groups(&state.settings, spread));
    match (shard_groups, spread) {
        (Some(shard_groups), Some(spread)) if !shard_groups.is_empty() => RelayedGroups::start(
            Arc::clone(state),
            job,
            services,
            &shard_groups,
            settings,
            spread.result_limit,
        ),
        _ => RelayedGroups::empty(Arc::clone(state)),
    }
}

fn choose_services(state: &GatewayState, job: &GatewayJob) -> Option<Arc<[ServiceId]>> {
    match &job.route.destination {
        RouteDestination::Service(service) => Some(Arc::from([service.clone()])),
        RouteDestination::Split(parts) => {
            state.decisions().next_service(&job.route, parts).map(|service| Arc::from([service]))
        }
        RouteDestination::Shards(spread) => Some(Arc::clone(spread.shards.as_shared())),
    }
}

fn fanout_settings(
    state: &GatewayState,
    job: &GatewayJob,
    spread: Option<&ShardSpread>,
) -> FanoutSettings {
    let objective = job.route.objective;
    let connect = match job.position {
        ConnectionPosition::First => state.settings.connect_delay,
        ConnectionPosition::Later => Duration::ZERO,
    };
    let delay = state.settings.caller_delay + connect;
    let answer_in = answer_time(objective, delay);
    let answer_by = (job.received_at + answer_in).min(job.give_up_at);
    let hedge_after = hedge_delay(state, job, answer_in);
    let max_attempts = match job.route.repeat {
        RepeatRule::Idempotent => job.route.max_attempts.max(1),
        RepeatRule::AtMostOnce => 1,
    };
    FanoutSettings {
        shards: spread.map_or(1, |spread| spread.shards.len()),
        min_parts: spread.map_or(1, ShardSpread::min_parts),
        max_attempts,
        answer_by: if spread.is_some() { answer_by } else { job.give_up_at },
        give_up_at: job.give_up_at,
        hedge_after,
    }
}

/// Returns the time for an answer, for callers whose connection and network take `delay` of the objective.
pub(crate) fn answer_time(objective: Duration, delay: Duration) -> Duration {
    objective.saturating_sub(delay).max(objective / 3)
}

/// Returns how long an attempt may run before it is hedged. `answer_in` is the time for an answer.
pub(crate) fn hedge_delay(state: &GatewayState, job: &GatewayJob, answer_in: Duration) -> Duration {
    let usual = state.decisions().route_latency(&job.route).hedge;
    let work = expect_work(state, job);
    clamp_hedge_delay(usual, work.as_ref().map(|work| &work.estimate), answer_in)
}

/// Returns the delay for a route whose attempts are usually hedged after `usual`.
pub(crate) fn clamp_hedge_delay(
    usual: Duration,
    estimate: Option<&WorkEstimate>,
    answer_in: Duration,
) -> Duration {
    let latest = answer_in.mul_f64(MAX_HEDGE_SHARE).max(MIN_HEDGE_DELAY);
    let delay = estimate.map_or(usual, |estimate| estimate.hedge_delay(usual));
    delay.clamp(MIN_HEDGE_DELAY, latest)
}

fn record_outcome(
    state: &GatewayState,
    version: DocumentVersion,
    job: &GatewayJob,
    outcome: &RunOutcome,
) {
    let elapsed = state.now().since(job.received_at);
    let missing = outcome.answers.iter().filter(|answer| answer.is_none()).count();
    metrics::histogram!("hickoryspan_gateway_request_seconds", "route" => job.route.name.to_string())
        .record(elapsed.as_secs_f64());
    let latency = state.decisions().route_latency(&job.route);
    let complete = missing == 0 && outcome.end == RunEnd::Answered;
    let priority = match outcome.end {
        RunEnd::Answered => LogPriority::Ordinary,
        RunEnd::Failed | RunEnd::TimedOut | RunEnd::Stopped => LogPriority::Important,
    };
    if (complete && elapsed <= job.route.objective) || !state.admits_log_line(priority) {
        return;
    }
    let entries = state.decisions().entries;
    spdlog::info!(
        "request outcome",
        kv: {
            request: = job.request_text(),
            route: = job.route.name,
            end: ? = outcome.end,
            missing: = missing,
            missing_shards: = missing_text(outcome),
            entries: = entries,
            version: = version,
            attempts: = outcome.attempts,
            hedges: = outcome.hedges,
            relayed_groups: = outcome.relayed_groups,
            hedge_after_ms: = latency.hedge.as_millis(),
            expected_ms: = outcome.work.expected_text(),
            cost_source: = outcome.work.source_text(),
            target_wait_ms: = outcome.work.wait_text(),
            target_reason: = outcome.work.reason_text(),
            failure: = outcome.last_failure.map_or("-", |failure| failure.as_str()),
            elapsed_ms: = elapsed.as_millis()
        }
    );
}

/// Returns the missing shards with the targets that were asked last, for the log.
fn missing_text(outcome: &RunOutcome) -> String {
    let missing: Vec<String> = outcome.missing.iter().map(ToString::to_string).collect();
    if missing.is_empty() { "-".to_owned() } else { missing.join(" ") }
}
