//! Handles a caller's request: reads it, finds its route, runs it and builds the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::admission::overload::{ShardQueues, shed_fraction};
use hickoryspan_core::gateway::documents::accounts::KeyDigest;
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, DocumentVersion, RepeatRule, RouteDestination, RouteRule, ShardSpread,
};
use hickoryspan_core::gateway::documents::routes::RouteTable;
use hickoryspan_core::gateway::fanouts::fanout::{FanoutMachine, FanoutSettings, merge_records};
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::planned_stop::StopVerdict;
use hickoryspan_core::gateway::targets::cost_model::WorkEstimate;
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint, ServiceId};
use hickoryspan_runtime::http_client::HttpAnswer;
use hickoryspan_runtime::http_server::{self, BodyError, HttpLimits};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::attempt::{AttemptScope, CallerIdentity, GatewayJob};
use crate::expected_work::expect_work;
use crate::gateway_state::GatewayState;
use crate::headers::remove_connection_headers;
use crate::refusal::{GatewayResponse, MIN_RETRY_DELAY, RefusalReason, refuse, refuse_job};
use crate::relayed_groups::RelayedGroups;
use crate::run::run_fanout;
use crate::run_outcome::{AnswerRule, RunEnd, RunOutcome, ShardAnswer};
use crate::target_answer::claims_not_run;

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
/// Content type of merged shard answers.
const RECORDS_TYPE: &str = "application/octet-stream";

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
    let deadline = deadline_of(&state, &parts.headers).unwrap_or(DEFAULT_DEADLINE);
    state.await_informed(deadline.mul_f64(START_PATIENCE)).await;
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
    let version = routes.document().version;
    let job = to_job(&state, parts, body, RoutedBy { route, version }, id, position, received_at);
    let job = GatewayJob { identity, ..job };
    if state.decisions().poison.is_condemned(received_at, &job.fingerprint) {
        return refuse(&state, &id_text, RefusalReason::Poisoned, Duration::from_secs(1));
    }
    if ends_too_late(&state, &job) {
        // Another entry can take the request at once.
        return refuse(&state, &id_text, RefusalReason::Stopping, MIN_RETRY_DELAY);
    }
    run_job(state, routes, Arc::new(job)).await
}

/// Returns whether this entry is stopping and ends before the request would.
fn ends_too_late(state: &GatewayState, job: &GatewayJob) -> bool {
    let Some(schedule) = state.stop_schedule.get() else { return false };
    let latency = state.decisions().route_latency(&job.route).hedge;
    let (now, give_up_at) = (state.now(), job.give_up_at);
    schedule.verdict(now, give_up_at, job.route.repeat, latency) == StopVerdict::Refuse
}

fn host_of(parts: &Parts) -> Option<String> {
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.host().to_owned());
    }
    parts.headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// Finds the account of the caller's key. If the document names accounts, the key is removed from the headers and replaced
/// by the name of the account, so that it goes no further.
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
        Some(CallerIdentity { account, key })
    });
    headers.remove(&names.key);
    headers.remove(&names.account);
    if let Some(identity) = &identity {
        let name = HeaderValue::from_str(identity.account.account.as_str());
        // Names of accounts contain only characters that headers may contain.
        let name = name.map_err(|_| RefusalReason::UnknownKey)?;
        headers.insert(names.account.clone(), name);
    }
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
    http_server::read_body(body, &limits).await.map_err(|error| match error {
        BodyError::TooLarge(_) => RefusalReason::BodyTooLarge,
        BodyError::TooSlow(_) => RefusalReason::BodyTooSlow,
        BodyError::Incomplete => RefusalReason::BodyIncomplete,
    })
}

/// Returns how long the caller waits, if it says so.
fn deadline_of(state: &GatewayState, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&state.settings.headers.deadline)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// The route of a request and the version of the configuration that contains it.
struct RoutedBy {
    route: Arc<RouteRule>,
    version: DocumentVersion,
}

fn to_job(
    state: &GatewayState,
    parts: Parts,
    body: Bytes,
    routed_by: RoutedBy,
    request: Option<HeaderValue>,
    position: ConnectionPosition,
    received_at: MonotonicTime,
) -> GatewayJob {
    let RoutedBy { route, version } = routed_by;
    let timeout = deadline_of(state, &parts.headers).map_or(route.timeout, |deadline| {
        deadline.saturating_sub(RESPONSE_MARGIN).min(route.timeout)
    });
    let target_path =
        parts.uri.path_and_query().map_or_else(|| "/".to_owned(), |path| path.to_string());
    let fingerprint = fingerprint(&route.host, parts.method.as_str(), &target_path, &body);
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    GatewayJob {
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
        identity: None,
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
        return refuse_job(&state, &job, RefusalReason::NoTarget);
    };
    if let Some(spread) = &spread
        && !has_enough_targets(&state, spread)
    {
        return refuse_job(&state, &job, RefusalReason::NoTarget);
    }
    let settings = fanout_settings(&state, &job, spread.as_ref());
    if exceeds_limits(&state, &services, spread.as_ref(), &settings) {
        return refuse_job(&state, &job, RefusalReason::Limited);
    }
    if is_overloaded(&state, &job, &services, &settings) {
        return refuse_job(&state, &job, RefusalReason::Overloaded);
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
        RouteDestination::Shards(spread) => Some(Arc::clone(&spread.shards)),
    }
}

/// Returns whether enough shards have a usable target. If not, the request is refused before anything is sent.
fn has_enough_targets(state: &GatewayState, spread: &ShardSpread) -> bool {
    let now = state.now();
    let decisions = state.decisions();
    let reachable = |shard: &&ServiceId| decisions.selector.count_open(now, shard) > 0;
    spread.shards.iter().filter(reachable).count() >= spread.min_parts()
}

/// Returns whether the limits of targets leave too few of them for an answer. If so, the request is refused before
/// anything is sent. Shards that other entries send to are left to these.
fn exceeds_limits(
    state: &GatewayState,
    services: &[ServiceId],
    spread: Option<&ShardSpread>,
    settings: &FanoutSettings,
) -> bool {
    let now = state.now();
    let mut decisions = state.decisions();
    if !decisions.selector.limits().is_active() {
        return false;
    }
    let is_divided =
        spread.is_some_and(|spread| !decisions.shard_groups(&state.settings, spread).is_empty());
    let selector = &mut decisions.selector;
    let closed = |service: &&ServiceId| {
        selector.count_usable(service) > 0 && !selector.has_permitted_target(now, service)
    };
    let closed = services.iter().filter(closed).count();
    if is_divided || closed == 0 || services.len() - closed >= settings.min_parts {
        return false;
    }
    for service in services {
        decisions.selector.note_request(now, service);
    }
    true
}

/// Returns whether admission control sheds this request because the queues of its targets are too long.
fn is_overloaded(
    state: &GatewayState,
    job: &GatewayJob,
    services: &[ServiceId],
    settings: &FanoutSettings,
) -> bool {
    let now = state.now();
    let mut decisions = state.decisions();
    let queue = |service| decisions.selector.shortest_queue(now, service);
    let queues = ShardQueues::new(services.iter().filter_map(queue));
    let queue = queues.limiting_queue(settings.min_parts);
    let fraction = shed_fraction(queue, job.priority());
    let shed = fraction > 0.0 && decisions.draw() < fraction;
    drop(decisions);
    if shed && state.admits_log_line(LogPriority::Important) {
        spdlog::info!(
            "request shed, target queues are long",
            kv: {
                request: = job.request_text(),
                route: = job.route.name,
                waiting_per_slot: = queue,
                refused_part: = fraction
            }
        );
    }
    shed
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

fn merge_answers(
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

fn find_direct_answer(answers: Vec<Option<ShardAnswer>>) -> Option<HttpAnswer> {
    answers.into_iter().flatten().find_map(|answer| match answer {
        ShardAnswer::Direct(answer) => Some(answer),
        ShardAnswer::Relayed(_) => None,
    })
}

fn forward_answer(state: &GatewayState, answer: Option<HttpAnswer>) -> GatewayResponse {
    let Some(HttpAnswer { status, headers, body }) = answer else {
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

fn failure_response(
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
        (_, false) => RefusalReason::NoTarget,
        (RunEnd::TimedOut, true) => RefusalReason::TimedOut,
        (RunEnd::Stopped, true) => RefusalReason::StopTimedOut,
        (_, true) => RefusalReason::MayHaveRun,
    };
    refuse_job(state, job, reason)
}
