//! Accepts fan-out links and sends the shard requests that other entries delegate.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bytes::Bytes;
use hickoryspan_core::gateway::documents::document::{
    DocumentVersion, RepeatRule, RouteDestination, RouteRule, ShardSpread,
};
use hickoryspan_core::gateway::fanouts::fanout::{
    FanoutMachine, FanoutSettings, ShardIndex, merge_records, records_above,
};
use hickoryspan_core::gateway::fanouts::relays::RetryGate;
use hickoryspan_core::gateway::targets::directory::TargetProcess;
use hickoryspan_core::types::{MonotonicTime, ServiceId};
use hickoryspan_runtime::caller_budget::RequestCharge;
use hickoryspan_runtime::http_client::HttpAnswer;
use hickoryspan_runtime::pending_link::PendingLink;
use http::Method;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::attempt::{AttemptScope, GatewayJob};
use crate::caller_server::ShutdownSignals;
use crate::fanout_links::{FANOUT_PATH, lock};
use crate::fanout_messages::{
    FanoutBatch, FanoutPart, FanoutReply, FanoutRequest, FanoutTask, TaskNumber, from_fields,
};
use crate::forward::{ConnectionPosition, fingerprint, hedge_delay};
use crate::gateway_state::GatewayState;
use crate::link_listener::serve_links;
use crate::relayed_groups::RelayedGroups;
use crate::run::run_fanout;
use crate::run_outcome::{AnswerRule, RunEvent, RunSink};

/// Maximum number of replies in the queue of one link.
const QUEUE_CAPACITY: usize = 256;

/// Serves fan-out links until `abort` is cancelled, or until `close_listener` is cancelled and no task is in flight.
pub(crate) async fn serve_fanouts(
    listener: TcpListener,
    state: Arc<GatewayState>,
    shutdown: ShutdownSignals,
) {
    let (stop, abort) = (shutdown.close_listener.clone(), shutdown.abort.clone());
    let serve = |pending| serve_link(pending, Arc::clone(&state), shutdown.clone());
    let handshakes = state.settings.directory.handshakes;
    serve_links(listener, handshakes, stop, abort, "fan-out", serve).await;
}

async fn serve_link(
    pending: PendingLink,
    state: Arc<GatewayState>,
    shutdown: ShutdownSignals,
) -> anyhow::Result<()> {
    let accept = pending.accept(&state.settings.directory.credential);
    let Some(accepted) = shutdown.close_listener.run_until_cancelled(accept).await else {
        return Ok(());
    };
    let accepted = accepted?;
    if accepted.path != FANOUT_PATH {
        bail!("{}: unknown path {:?}", accepted.link.peer(), accepted.path);
    }
    let (replies, outgoing) = mpsc::channel(QUEUE_CAPACITY);
    let mut tasks = LinkTasks::new(state, accepted.link.peer(), replies.downgrade());
    let run = accepted.link.run(outgoing, |request| tasks.receive(request));
    let ended = run_until_idle(run, &shutdown.close_listener, replies).await;
    tasks.jobs.shutdown().await;
    ended
}

/// Runs a link. Once `close` is cancelled, the link is closed after the last batch of the last task, because only the
/// tasks hold `replies` open then.
async fn run_until_idle(
    run: impl Future<Output = anyhow::Result<()>>,
    close: &CancellationToken,
    replies: mpsc::Sender<FanoutReply>,
) -> anyhow::Result<()> {
    tokio::pin!(run);
    tokio::select! {
        ended = run.as_mut() => return ended,
        () = close.cancelled() => {}
    }
    drop(replies);
    run.await
}

/// The tasks of one link.
struct LinkTasks {
    state: Arc<GatewayState>,
    peer: SocketAddr,
    replies: mpsc::WeakSender<FanoutReply>,
    jobs: JoinSet<()>,
    running: HashMap<TaskNumber, RunningTask>,
}

/// A task of the other entry.
struct RunningTask {
    job: AbortHandle,
    retry_gate: Arc<Mutex<RetryGate>>,
}

impl LinkTasks {
    fn new(
        state: Arc<GatewayState>,
        peer: SocketAddr,
        replies: mpsc::WeakSender<FanoutReply>,
    ) -> Self {
        Self { state, peer, replies, jobs: JoinSet::new(), running: HashMap::new() }
    }

    /// Handles a message. Returns true, since none ends the link.
    fn receive(&mut self, request: FanoutRequest) -> bool {
        while self.jobs.try_join_next().is_some() {}
        match request {
            FanoutRequest::Run(task) => self.start(*task),
            FanoutRequest::Cancel(number) => {
                if let Some(task) = self.running.remove(&number) {
                    task.job.abort();
                }
            }
            FanoutRequest::GrantRetries(number) => {
                if let Some(task) = self.running.get(&number) {
                    lock(&task.retry_gate).grant();
                }
            }
        }
        true
    }

    fn start(&mut self, task: FanoutTask) {
        self.running.retain(|_, task| !task.job.is_finished());
        // The link is about to close after the last reply, which tells the other entry that this task was not begun.
        let Some(replies) = self.replies.upgrade() else { return };
        let number = task.number;
        let retry_gate = Arc::<Mutex<RetryGate>>::default();
        let run =
            run_task(Arc::clone(&self.state), self.peer, task, Arc::clone(&retry_gate), replies);
        self.running.insert(number, RunningTask { job: self.jobs.spawn(run), retry_gate });
    }
}

async fn run_task(
    state: Arc<GatewayState>,
    peer: SocketAddr,
    task: FanoutTask,
    retry_gate: Arc<Mutex<RetryGate>>,
    replies: mpsc::Sender<FanoutReply>,
) {
    let number = task.number;
    if let Err(error) = serve_task(state, peer, task, retry_gate, &replies).await {
        spdlog::warn!("fan-out task failed: {:#}", error);
        let batch = FanoutBatch { last: true, ..FanoutBatch::empty(number) };
        // The link may have closed in the meantime, which also ends the task.
        let _ = replies.send(FanoutReply::Batch(batch)).await;
    }
}

async fn serve_task(
    state: Arc<GatewayState>,
    peer: SocketAddr,
    task: FanoutTask,
    retry_gate: Arc<Mutex<RetryGate>>,
    replies: &mpsc::Sender<FanoutReply>,
) -> anyhow::Result<()> {
    state.tasks_served.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("hickoryspan_gateway_fanout_tasks_total").increment(1);
    let now = state.now();
    let budget = &state.settings.caller_budget;
    let charge = match outlasts_stop(&state, now + task.give_up_in) {
        true => None,
        false => budget.begin_task(peer, task.body.len()).ok(),
    };
    let Some(charge) = charge else {
        metrics::counter!("hickoryspan_gateway_fanout_refusals_total").increment(1);
        let refusal = FanoutReply::Batch(FanoutBatch::refusal(&task));
        return replies.send(refusal).await.context("the link ended");
    };
    let services: Arc<[ServiceId]> = task.shards.as_slice().into();
    let mut run = TaskRun {
        batch_times: VecDeque::from([now + task.first_batch_in, now + task.answer_in]),
        batcher: TaskBatcher::new(&task),
        answer_in: task.answer_in,
        retry_gate,
        state: Arc::clone(&state),
        replies,
    };
    let job = to_job(&state, task, charge, now)?;
    let condemned = state.decisions().poison.is_condemned(now, &job.fingerprint);
    let mut batch = match condemned {
        true => run.batcher.take_batch(),
        false => run.run_to_end(job, Arc::clone(&services)).await?,
    };
    batch.last = true;
    batch.queues = shortest_queues(&state, &services);
    batch.leaving = leaving_targets(&state, &services);
    replies.send(FanoutReply::Batch(batch)).await.context("the link ended")
}

/// Returns whether this entry is stopping and may end before a task that ends at `give_up_at` at the latest.
fn outlasts_stop(state: &GatewayState, give_up_at: MonotonicTime) -> bool {
    state.stop_schedule.get().is_some_and(|schedule| !schedule.covers(give_up_at))
}

fn leaving_targets(state: &GatewayState, services: &[ServiceId]) -> Vec<TargetProcess> {
    let now = state.now();
    let decisions = state.decisions();
    services.iter().flat_map(|service| decisions.selector.leaving(now, service)).collect()
}

fn shortest_queues(state: &GatewayState, services: &[ServiceId]) -> Vec<Option<f32>> {
    let now = state.now();
    let decisions = state.decisions();
    let queue = |service| decisions.selector.shortest_queue(now, service);
    services.iter().map(|service| queue(service).map(|waiting| waiting as f32)).collect()
}

/// A delegated task while its shard requests run.
struct TaskRun<'a> {
    state: Arc<GatewayState>,
    batcher: TaskBatcher,
    answer_in: Duration,
    retry_gate: Arc<Mutex<RetryGate>>,
    // Times at which batches are sent. After the last one, each part is sent at once.
    batch_times: VecDeque<MonotonicTime>,
    replies: &'a mpsc::Sender<FanoutReply>,
}

impl TaskRun<'_> {
    /// Sends batches while the shard requests run, and returns the last batch.
    async fn run_to_end(
        &mut self,
        job: GatewayJob,
        services: Arc<[ServiceId]>,
    ) -> anyhow::Result<FanoutBatch> {
        let machine =
            FanoutMachine::new(fanout_settings(&self.state, &job, services.len(), self.answer_in));
        let (events, mut reports) = mpsc::unbounded_channel();
        let run = run_fanout(
            Arc::clone(&self.state),
            Arc::new(job),
            services,
            machine,
            AnswerRule::SuccessOnly,
            RelayedGroups::empty(Arc::clone(&self.state)),
            Some(RunSink { events, retry_gate: Arc::clone(&self.retry_gate) }),
        );
        tokio::pin!(run);
        let outcome = loop {
            let due = self.batch_times.front().copied();
            let due_at = due.map(|due| self.state.clock.instant(due));
            tokio::select! {
                biased;
                outcome = run.as_mut() => break outcome,
                Some(event) = reports.recv() => {
                    let is_due = matches!(event, RunEvent::SecondAttempt) || due.is_none();
                    self.handle_event(event);
                    if is_due {
                        self.send_batch().await?;
                    }
                }
                () = sleep_until(due_at) => {
                    self.batch_times.pop_front();
                    self.send_batch().await?;
                }
            }
        };
        while let Ok(event) = reports.try_recv() {
            self.handle_event(event);
        }
        let unsent = outcome.unsent.iter().map(|shard| shard.0).collect();
        let lost = u32::try_from(outcome.crashes.len()).unwrap_or(u32::MAX);
        let batch = self.batcher.take_batch();
        let crashes = outcome.crashes.into_iter().map(|noticed| noticed.crash).collect();
        let cut = self.state.finish.is_cancelled();
        Ok(FanoutBatch { cut, crashes, lost, unsent, ..batch })
    }

    fn handle_event(&mut self, event: RunEvent) {
        match event {
            RunEvent::Part(shard, answer) => self.batcher.add(&self.state, shard, answer),
            RunEvent::SecondAttempt => {}
        }
    }

    async fn send_batch(&mut self) -> anyhow::Result<()> {
        lock(&self.retry_gate).note_batch(self.state.now());
        let batch = self.batcher.take_batch();
        self.replies.send(FanoutReply::Batch(batch)).await.context("the link ended")
    }
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}

fn to_job(
    state: &GatewayState,
    task: FanoutTask,
    charge: Arc<RequestCharge>,
    now: MonotonicTime,
) -> anyhow::Result<GatewayJob> {
    let mut headers = from_fields(task.headers)?;
    let requires_keys =
        state.decisions().routes.as_ref().is_some_and(|routes| routes.requires_keys());
    if requires_keys {
        // An entry of an earlier release, or with an earlier configuration, passes on what its caller sent.
        headers.remove(&state.settings.headers.key);
    }
    let method = Method::from_bytes(task.method.as_bytes())?;
    let host = headers.get(http::header::HOST).and_then(|value| value.to_str().ok());
    let route = RouteRule {
        name: task.route,
        host: host.unwrap_or_default().into(),
        path_prefix: "/".into(),
        repeat: RepeatRule::Idempotent,
        timeout: task.give_up_in,
        objective: task.objective,
        priority: 0,
        destination: RouteDestination::Shards(ShardSpread {
            shards: task.shards.into(),
            result_limit: task.result_limit,
            minimum_share: 0.0,
        }),
        max_attempts: task.max_attempts,
        public: false,
    };
    Ok(GatewayJob {
        fingerprint: fingerprint(&route.host, method.as_str(), &task.target_path, &task.body),
        route: Arc::new(route),
        method,
        target_path: task.target_path.to_string(),
        request: headers.get(&state.settings.headers.request).cloned(),
        headers,
        body: task.body,
        position: ConnectionPosition::Later,
        scope: AttemptScope::Relayed,
        // The entry that has the request has recognized the caller.
        identity: None,
        keys_checked: requires_keys,
        charge: Some(charge),
        version: DocumentVersion::default(),
        received_at: now,
        give_up_at: now + task.give_up_in,
    })
}

fn fanout_settings(
    state: &GatewayState,
    job: &GatewayJob,
    shards: usize,
    answer_in: Duration,
) -> FanoutSettings {
    FanoutSettings {
        shards,
        min_parts: 1,
        max_attempts: job.route.max_attempts,
        // The times of the batches bound the answer here; the run ends when no further part can arrive.
        answer_by: job.give_up_at,
        give_up_at: job.give_up_at,
        hedge_after: hedge_delay(state, job, answer_in),
    }
}

/// Collects the parts of one task between two batches.
struct TaskBatcher {
    number: TaskNumber,
    result_limit: usize,
    parts: Vec<FanoutPart>,
    bodies: Vec<Bytes>,
    // The greatest records of all parts sent so far.
    sent: Vec<u8>,
}

impl TaskBatcher {
    fn new(task: &FanoutTask) -> Self {
        Self {
            number: task.number,
            result_limit: task.result_limit,
            parts: Vec::new(),
            bodies: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn add(&mut self, state: &GatewayState, shard: ShardIndex, answer: HttpAnswer) {
        let stamp = answer.headers.get(&state.settings.headers.stamp);
        // A response without a stamp does not count as a success, so this does not occur.
        let Some(stamp) = stamp.and_then(|value| value.to_str().ok()) else { return };
        self.parts.push(FanoutPart { shard: shard.0, stamp: stamp.into() });
        self.bodies.push(answer.body);
    }

    fn take_batch(&mut self) -> FanoutBatch {
        let bodies = std::mem::take(&mut self.bodies);
        let greatest = merge_records(bodies.iter().map(|body| &**body), self.result_limit);
        let records = records_above(&greatest, &self.sent, self.result_limit);
        self.sent = merge_records([records, &self.sent], self.result_limit);
        let records = records.to_vec();
        FanoutBatch {
            parts: std::mem::take(&mut self.parts),
            records: records.into(),
            ..FanoutBatch::empty(self.number)
        }
    }
}
