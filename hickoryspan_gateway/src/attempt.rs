//! One attempt to run a request on one target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::document::RouteRule;
use hickoryspan_core::gateway::fanout::ShardIndex;
use hickoryspan_core::gateway::outcomes::{AttemptFailure, AttemptOutcome, ReportedLoad};
use hickoryspan_core::gateway::selection::ChosenTarget;
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint, ServiceId};
use hickoryspan_runtime::http_client::{HttpAnswer, SendError};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;

use crate::forward::ConnectionPosition;
use crate::gateway_state::GatewayState;
use crate::target_pool::PooledConnection;

/// Taken off the deadline that a target gets, for the way of its answer.
const ANSWER_WAY: Duration = Duration::from_millis(2);

/// On whose behalf attempts are made, which decides how many connections they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptScope {
    /// This entry has the caller's request.
    Own,
    /// Another entry has it, and few entries send to the same targets.
    Relayed,
}

/// A caller's request, read whole.
pub(crate) struct GatewayJob {
    pub(crate) route: Arc<RouteRule>,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target_path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request: Option<HeaderValue>,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) position: ConnectionPosition,
    pub(crate) scope: AttemptScope,
    pub(crate) received_at: MonotonicTime,
    pub(crate) give_up_at: MonotonicTime,
}

impl GatewayJob {
    /// The caller's name for the request, for logs.
    pub(crate) fn request_text(&self) -> &str {
        self.request.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-")
    }
}

/// What an attempt brought.
pub(crate) enum AttemptResult {
    /// An answer that may be passed on.
    Answer(HttpAnswer),
    /// A failure, with the target's answer if it ran the request and said so.
    Failure(AttemptFailure, Option<HttpAnswer>),
}

/// The end of an attempt.
pub(crate) struct AttemptReport {
    pub(crate) shard: ShardIndex,
    pub(crate) target: ChosenTarget,
    pub(crate) result: AttemptResult,
}

/// Tells the selector how an attempt ended, also when it is dropped.
struct EndGuard {
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    target: ChosenTarget,
    began_at: MonotonicTime,
    end: Option<AttemptOutcome>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let elapsed = now.since(self.began_at);
        let mut decisions = self.state.decisions();
        let usual = decisions.route_latency(&self.job.route).median;
        let end = self.end.unwrap_or(AttemptOutcome::Cancelled(elapsed));
        decisions.selector.finish(now, &self.target.target, end, usual);
    }
}

/// Runs one attempt; dropping the future closes its connection, which makes targets stop the work.
pub(crate) async fn run_attempt(
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    service: ServiceId,
    shard: ShardIndex,
    target: ChosenTarget,
) -> AttemptReport {
    let began_at = state.now();
    let mut guard = EndGuard {
        state: Arc::clone(&state),
        job: Arc::clone(&job),
        target: target.clone(),
        began_at,
        end: None,
    };
    let result = exchange(&state, &job, &service, &target).await;
    let now = state.now();
    guard.end = Some(match &result {
        AttemptResult::Answer(_) => AttemptOutcome::Success(now.since(began_at)),
        AttemptResult::Failure(failure, _) => AttemptOutcome::Failure(*failure),
    });
    if let AttemptResult::Answer(_) = &result {
        state.decisions().record_latency(&job.route, now.since(began_at));
    }
    drop(guard);
    AttemptReport { shard, target, result }
}

async fn exchange(
    state: &GatewayState,
    job: &GatewayJob,
    service: &ServiceId,
    target: &ChosenTarget,
) -> AttemptResult {
    let share = state.connection_share(service, job.scope);
    let mut allow_kept = true;
    loop {
        let acquired = state.pool.acquire(&target.target, target.address, share, allow_kept);
        let mut pooled = match acquired.await {
            Ok(pooled) => pooled,
            Err(error) => {
                spdlog::debug!("open connection: {}: {}", target.address, error);
                return AttemptResult::Failure(AttemptFailure::Unreachable, None);
            }
        };
        let request = match build_request(state, job, target) {
            Ok(request) => request,
            Err(error) => {
                spdlog::error!("build request for {}: {}", target.address, error);
                return AttemptResult::Failure(AttemptFailure::Unreachable, None);
            }
        };
        let sent = pooled.connection.send(request, state.settings.answer_bytes).await;
        match sent {
            Ok(answer) => return take_answer(state, job, target, pooled, answer),
            // The target closed a kept connection before the request was written to it.
            Err(SendError::NotSent(_)) if pooled.reused && allow_kept => allow_kept = false,
            Err(SendError::NotSent(cause)) => {
                spdlog::debug!("send to {}: {}", target.address, cause);
                return AttemptResult::Failure(AttemptFailure::Unreachable, None);
            }
            Err(error) => {
                spdlog::debug!("answer of {}: {}", target.address, error);
                return AttemptResult::Failure(AttemptFailure::Lost, None);
            }
        }
    }
}

fn build_request(
    state: &GatewayState,
    job: &GatewayJob,
    target: &ChosenTarget,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = &state.settings.headers;
    let left = job.give_up_at.since(state.now()).saturating_sub(ANSWER_WAY);
    let left = HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1));
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(job.target_path.as_str())
        .body(Full::new(job.body.clone()))?;
    let headers = request.headers_mut();
    *headers = job.headers.clone();
    headers.insert(names.deadline.clone(), left);
    headers.insert(names.expected_target.clone(), HeaderValue::from_str(target.target.as_str())?);
    Ok(request)
}

fn take_answer(
    state: &GatewayState,
    job: &GatewayJob,
    target: &ChosenTarget,
    pooled: PooledConnection,
    answer: HttpAnswer,
) -> AttemptResult {
    let names = &state.settings.headers;
    let echoed = answer.headers.get(&names.request);
    // A late answer to an earlier request may stand where this one's is expected. The connection is then of no use.
    if echoed.is_some() && echoed != job.request.as_ref() {
        return AttemptResult::Failure(AttemptFailure::Lost, None);
    }
    if let Some(load) = answer.headers.get(&names.load).and_then(parse_load) {
        let now = state.now();
        state.decisions().selector.note_load(now, &target.target, load);
    }
    if let Some(idle) = kept_time(&answer.headers, state.settings.target_idle) {
        state.pool.put_back(&target.target, pooled, idle);
    }
    let not_run = answer.headers.contains_key(&names.not_run);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptResult::Failure(AttemptFailure::OtherTarget, None);
    }
    if not_run {
        return AttemptResult::Failure(AttemptFailure::Shed, None);
    }
    let stamped = answer.headers.contains_key(&names.stamp);
    if answer.status.is_success() && !stamped {
        return AttemptResult::Failure(AttemptFailure::Lost, None);
    }
    if answer.status.is_server_error() || is_promise(answer.status) {
        return AttemptResult::Failure(AttemptFailure::Failed, Some(answer));
    }
    AttemptResult::Answer(answer)
}

/// Whether callers read from this status that their request did not run.
pub(crate) fn is_promise(status: StatusCode) -> bool {
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
    Some(ReportedLoad { running, waiting, slots, latency_percent })
}

/// How long the target keeps the connection; nothing if it closes it.
fn kept_time(headers: &HeaderMap, default: Duration) -> Option<Duration> {
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
    Some(stated.map_or(default, |seconds: u64| Duration::from_secs(seconds)))
}
