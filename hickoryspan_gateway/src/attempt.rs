//! One attempt to run a request on one target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::documents::accounts::{ClientAccount, KeyDigest};
use hickoryspan_core::gateway::documents::document::{
    DocumentVersion, RouteDestination, RouteRule,
};
use hickoryspan_core::gateway::documents::routes::RouteTable;
use hickoryspan_core::gateway::fanouts::fanout::{RECORD_BYTES, ShardIndex, merge_records};
use hickoryspan_core::gateway::targets::outcomes::{AttemptFailure, AttemptOutcome};
use hickoryspan_core::gateway::targets::selection::ChosenTarget;
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint, ServiceId};
use hickoryspan_runtime::caller_budget::RequestCharge;
use hickoryspan_runtime::http_client::{BodyRoom, HttpAnswer, ResponseReading, SendError};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;

use crate::expected_work::AttemptWork;
use crate::forward::ConnectionPosition;
use crate::gateway_state::GatewayState;
use crate::target_answer::classify_answer;
use crate::target_pool::{ConnectionNumber, IdleReuse};

/// Subtracted from the deadline that a target gets, so that its answer still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// On whose behalf attempts are sent, which determines how many connections to a target they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptScope {
    /// For a caller of this entry.
    Direct,
    /// For another entry. Few entries send to the same targets on behalf of others, so each may use more connections.
    Relayed,
}

/// The account of a caller and the key by which it was recognized.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    pub(crate) account: Arc<ClientAccount>,
    pub(crate) key: KeyDigest,
    /// Name of the account as targets get it.
    pub(crate) name: HeaderValue,
}

/// A caller's request with its whole body.
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
    /// The account of the caller, if it sent a key that is known.
    pub(crate) identity: Option<CallerIdentity>,
    /// Whether the configuration by which the request was accepted names accounts. Otherwise its headers are as the
    /// caller sent them and may contain a key.
    pub(crate) keys_checked: bool,
    /// What the request occupies on this entry; `None` in tests without callers.
    pub(crate) charge: Option<Arc<RequestCharge>>,
    /// Version of the configuration by which the route was chosen.
    pub(crate) version: DocumentVersion,
    pub(crate) received_at: MonotonicTime,
    pub(crate) give_up_at: MonotonicTime,
}

impl GatewayJob {
    /// Returns whether the routes in force send this request to the service. For a request of another entry, that entry
    /// has chosen the services.
    pub(crate) fn is_routed_to(&self, routes: &RouteTable, service: &ServiceId) -> bool {
        if self.scope == AttemptScope::Relayed || routes.document().version == self.version {
            return true;
        }
        let route = self.find_route(routes);
        route.is_some_and(|route| route.destination.services().contains(&service))
    }

    fn find_route<'a>(&self, routes: &'a RouteTable) -> Option<&'a Arc<RouteRule>> {
        let path = self.target_path.split('?').next().unwrap_or_default();
        routes.find(&self.route.host, path)
    }

    /// Returns the priority of the request; 0 is the most urgent. That of the account goes before that of the route.
    pub(crate) fn priority(&self) -> u32 {
        let account = self.identity.as_ref().and_then(|identity| identity.account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Returns whether the accounts in force allow this request as it was accepted. For a request of another entry,
    /// that entry has recognized the caller.
    pub(crate) fn is_authorized(&self, routes: &RouteTable) -> bool {
        let is_current = routes.document().version == self.version;
        if is_current || self.scope == AttemptScope::Relayed || !routes.requires_keys() {
            return true;
        }
        match &self.identity {
            // Also on a public route, since the target is told the account.
            Some(identity) => routes
                .find_account(&identity.key)
                .is_some_and(|holder| holder.account == identity.account.account),
            None => self.keys_checked && self.find_route(routes).is_some_and(|route| route.public),
        }
    }

    /// Returns how many records the merged answer of a request to several shards has at most.
    fn result_limit(&self) -> Option<usize> {
        match &self.route.destination {
            RouteDestination::Shards(spread) => Some(spread.result_limit),
            RouteDestination::Service(_) | RouteDestination::Split(_) => None,
        }
    }

    /// Returns the caller's account for logs, or `-` if it has none.
    pub(crate) fn account_text(&self) -> &str {
        self.identity.as_ref().map_or("-", |identity| identity.account.account.as_str())
    }

    /// Returns the caller's request ID for logs, or `-` if it has none.
    pub(crate) fn request_text(&self) -> &str {
        self.request.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-")
    }
}

/// The result of an attempt.
pub(crate) enum AttemptResult {
    /// An answer that may be forwarded.
    Answer(HttpAnswer),
    /// A failure, with the target's response if the target ran the request and reported the failure itself.
    Failure(AttemptFailure, Option<HttpAnswer>),
}

/// The connection on which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsedConnection {
    pub(crate) number: ConnectionNumber,
    /// When it was established.
    pub(crate) connected_at: MonotonicTime,
}

/// An attempt that was decided on.
pub(crate) struct PlannedAttempt {
    pub(crate) service: ServiceId,
    pub(crate) shard: ShardIndex,
    pub(crate) target: ChosenTarget,
    pub(crate) work: Option<AttemptWork>,
    /// Connections on which the request was sent before. On these, a late answer to the earlier send could not be told from
    /// the answer to this one, because both have the same request ID.
    pub(crate) avoided: Vec<ConnectionNumber>,
    pub(crate) launched_at: MonotonicTime,
}

/// The result of an attempt with the shard and the target that it was for.
pub(crate) struct AttemptReport {
    pub(crate) shard: ShardIndex,
    pub(crate) target: ChosenTarget,
    /// Time between the launch of the attempt and its start, in which this process did other work.
    pub(crate) start_delay: Duration,
    /// `None` if the request was not sent.
    pub(crate) connection: Option<UsedConnection>,
    pub(crate) result: AttemptResult,
}

/// Reports the end of an attempt to the selector when it is dropped, also if the attempt is cancelled.
struct AttemptGuard {
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    target: ChosenTarget,
    work: Option<AttemptWork>,
    started_at: MonotonicTime,
    outcome: Option<AttemptOutcome>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let elapsed = now.since(self.started_at);
        let mut decisions = self.state.decisions();
        let median = decisions.route_latency(&self.job.route).median;
        let outcome = self.outcome.unwrap_or(AttemptOutcome::Cancelled(elapsed));
        let target = &self.target.target;
        if let Some(AttemptWork { ticket, traits }) = &self.work {
            decisions.selector.end_work(now, target, *ticket, traits, Some(outcome));
        }
        decisions.selector.finish(now, target, outcome, median);
    }
}

/// Returns the run of one attempt. Dropping the future closes the connection, upon which the target stops the work. The
/// selector learns of the end also if the future is dropped before it starts.
pub(crate) fn run_attempt(
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    planned: PlannedAttempt,
) -> impl Future<Output = AttemptReport> + Send {
    let PlannedAttempt { service, shard, target, work, avoided, launched_at } = planned;
    let mut guard =
        AttemptGuard { state, job, target, work, started_at: launched_at, outcome: None };
    async move {
        guard.started_at = guard.state.now();
        let mut connection = None;
        let result = guard.run(&service, &avoided, &mut connection).await;
        let start_delay = guard.started_at.since(launched_at);
        let target = guard.target.clone();
        AttemptReport { shard, target, start_delay, connection, result }
    }
}

impl AttemptGuard {
    async fn run(
        &mut self,
        service: &ServiceId,
        avoided: &[ConnectionNumber],
        connection: &mut Option<UsedConnection>,
    ) -> AttemptResult {
        let Self { state, job, target, started_at, .. } = self;
        let result = exchange(state, job, service, target, avoided, connection).await;
        let now = state.now();
        let elapsed = now.since(*started_at);
        if let AttemptResult::Answer(_) = &result {
            let mut decisions = state.decisions();
            decisions.record_latency(&job.route, elapsed);
            decisions.selector.note_served(now, target);
            if let Some(used) = connection.filter(|_| decisions.poison.has_crashes()) {
                decisions.poison.note_response(&target.process(), used.connected_at, *started_at);
            }
        }
        self.outcome = Some(match &result {
            AttemptResult::Answer(_) => AttemptOutcome::Success(elapsed),
            AttemptResult::Failure(failure, _) => AttemptOutcome::Failure(*failure),
        });
        result
    }
}

async fn exchange(
    state: &GatewayState,
    job: &GatewayJob,
    service: &ServiceId,
    target: &ChosenTarget,
    avoided: &[ConnectionNumber],
    connection: &mut Option<UsedConnection>,
) -> AttemptResult {
    let share = state.connection_share(service, job.scope);
    let mut reuse = IdleReuse::Except(avoided);
    loop {
        let (pool, clock) = (&state.pool, &state.clock);
        let acquired = pool.acquire(&target.target, target.address, share, reuse, clock);
        let mut pooled = match acquired.await {
            Ok(pooled) => pooled,
            Err(error) => {
                spdlog::debug!("open connection: {}: {}", target.address, error);
                return AttemptResult::Failure(AttemptFailure::Unreachable, None);
            }
        };
        if let Err(barrier) = state.check_send(job, service, target) {
            metrics::counter!("hickoryspan_gateway_withheld_total", "reason" => barrier.as_str())
                .increment(1);
            return AttemptResult::Failure(AttemptFailure::Withheld(barrier), None);
        }
        *connection =
            Some(UsedConnection { number: pooled.number, connected_at: pooled.connected_at });
        let request = match build_request(state, job, target) {
            Ok(request) => request,
            Err(error) => {
                spdlog::error!("build request for {}: {}", target.address, error);
                return AttemptResult::Failure(AttemptFailure::Unreachable, None);
            }
        };
        let reduce = job.result_limit().map(|limit| move |part| keep_records(part, limit));
        let reading = ResponseReading {
            max_bytes: state.settings.answer_bytes,
            room: job.charge.as_deref().map_or(BodyRoom::Unbounded, BodyRoom::Charged),
            reduce: reduce.as_ref().map(|reduce| reduce as _),
        };
        let needed = pooled.needed();
        let exchange = pooled.connection.send_and_read(request, reading);
        let sent = tokio::select! {
            biased;
            sent = exchange => sent,
            () = needed.cancelled() => {
                return AttemptResult::Failure(AttemptFailure::Displaced, None);
            }
        };
        match sent {
            Ok(answer) => return classify_answer(state, job, target, pooled, answer),
            // The target closed an idle connection before the request was written to it.
            Err(SendError::NotSent(_)) if pooled.reused => reuse = IdleReuse::Never,
            Err(error) => {
                spdlog::debug!("exchange with {}: {}", target.address, error);
                return AttemptResult::Failure(to_failure(&error), None);
            }
        }
    }
}

fn to_failure(error: &SendError) -> AttemptFailure {
    match error {
        SendError::NotSent(_) => AttemptFailure::Unreachable,
        SendError::ConnectionLost(_) => AttemptFailure::Lost,
        SendError::NoRoom => AttemptFailure::Displaced,
        SendError::TooLarge(_) | SendError::InvalidResponse(_) | SendError::InvalidStatus(_) => {
            AttemptFailure::Malformed
        }
    }
}

/// Returns the records of a shard's part that can be among the `limit` ones of the merged answer. A part may be much larger,
/// and parts are kept until all shards have answered.
fn keep_records(part: Bytes, limit: usize) -> Bytes {
    if part.len() / RECORD_BYTES <= limit {
        return part;
    }
    merge_records([&*part], limit).into()
}

fn build_request(
    state: &GatewayState,
    job: &GatewayJob,
    target: &ChosenTarget,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = &state.settings.headers;
    let remaining = job.give_up_at.since(state.now()).saturating_sub(ANSWER_MARGIN);
    let remaining =
        HeaderValue::from(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1));
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(job.target_path.as_str())
        .body(Full::new(job.body.clone()))?;
    let headers = request.headers_mut();
    *headers = job.headers.clone();
    headers.insert(names.deadline.clone(), remaining);
    headers.insert(names.expected_target.clone(), HeaderValue::from_str(target.target.as_str())?);
    Ok(request)
}
