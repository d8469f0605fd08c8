//! The actor that owns the entry machine. It passes messages and wake-ups to the machine as events
//! and performs the actions that the machine returns.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::entry::interface::{
    AddressAnswer, AttemptFailure, AttemptRequest, AttemptWork, CallerRequest, CallerResponse,
    EntryAction, EntryEvent, RequestKind,
};
use hickoryspan_core::entry::machine::EntryMachine;
use hickoryspan_core::messages::EntryMessage;
use hickoryspan_core::types::{
    AttemptId, CallerId, ConnectionId, EntryId, MonotonicTime, QueryToken, RequestId, TargetId,
};
use hickoryspan_runtime::clock::SystemClock;
use hickoryspan_runtime::credential::SharedCredential;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;
use xtra::{Address, Context, Handler, Mailbox};

use crate::control_link::{
    LINK_QUEUE_CAPACITY, LinkConfig, LinkEvent, LinkNumber, LinkReport, run_link,
};
use crate::entry_metrics::{record_connections, record_metric};
use crate::readiness::ReadinessState;
use crate::settings::TargetClientSettings;
use crate::target_client::{
    AnswerBudgets, COMMAND_QUEUE_CAPACITY, ConnectionCommand, ConnectionConfig, ConnectionEvent,
    ConnectionReport, PreparedAttempt, run_connection,
};
use crate::target_protocol::{AnswerKind, CallContent, RequestBuilder, TargetAnswer};

/// Time limit for sending the last messages to control after a drain. A working link needs one
/// round trip.
const LINK_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Message to the controller that submits a search, an order or a lookup.
pub(crate) struct CallerCall {
    pub(crate) token: QueryToken,
    pub(crate) request: Box<CallerRequest>,
    pub(crate) content: CallContent,
    pub(crate) reply: oneshot::Sender<CallerReply>,
}

/// Response of the machine and the bodies of its parts in key order.
pub(crate) struct CallerReply {
    pub(crate) response: Box<CallerResponse>,
    pub(crate) parts: Vec<Bytes>,
}

/// Message to the controller that requests the addresses of entries for a caller.
pub(crate) struct AddressCall {
    pub(crate) token: QueryToken,
    pub(crate) caller: CallerId,
    pub(crate) reply: oneshot::Sender<AddressAnswer>,
}

/// Message to the controller that starts the drain before a graceful shutdown.
pub(crate) struct BeginDrain;

struct ActiveCall {
    content: CallContent,
    is_order: bool,
    reply: oneshot::Sender<CallerReply>,
    attempts: Vec<AttemptId>,
}

struct ActiveAttempt {
    /// Request id of the caller, used in logs.
    request_id: RequestId,
    connection: ConnectionId,
    kind: AnswerKind,
    /// Whether to store the body of the answer until the response is sent.
    keep_body: bool,
    body: Option<Bytes>,
}

struct ActiveConnection {
    target: TargetId,
    address: SocketAddr,
    open: bool,
    attempt: Option<AttemptId>,
    commands: mpsc::Sender<ConnectionCommand>,
    task: AbortHandle,
}

struct ActiveLink {
    number: LinkNumber,
    outgoing: mpsc::Sender<EntryMessage>,
    task: AbortHandle,
    /// Cancelled when the link task has ended.
    ended: CancellationToken,
}

/// Dependencies of the controller, apart from the machine.
pub(crate) struct ControllerParts {
    pub(crate) clock: SystemClock,
    pub(crate) entry: EntryId,
    pub(crate) credential: SharedCredential,
    pub(crate) requests: RequestBuilder,
    pub(crate) target_client: Arc<TargetClientSettings>,
    pub(crate) answers: AnswerBudgets,
    pub(crate) readiness: Arc<ReadinessState>,
    /// Cancelled when the drain is complete.
    pub(crate) drained: CancellationToken,
    /// Receives the tokens of calls whose caller disconnected before the reply.
    pub(crate) disconnects: mpsc::UnboundedReceiver<QueryToken>,
}

/// Actor that owns the entry machine and the tasks of its connections.
#[derive(xtra::Actor)]
pub(crate) struct EntryController {
    machine: EntryMachine,
    parts: ControllerParts,
    address: Address<EntryController>,
    events: VecDeque<EntryEvent>,
    actions: Vec<EntryAction>,
    calls: HashMap<QueryToken, ActiveCall>,
    address_calls: HashMap<QueryToken, oneshot::Sender<AddressAnswer>>,
    attempts: HashMap<AttemptId, ActiveAttempt>,
    connections: HashMap<ConnectionId, ActiveConnection>,
    open_connections: usize,
    target_connections: HashMap<TargetId, BTreeSet<ConnectionId>>,
    /// Attempts to cancel as soon as a connection to their target becomes free.
    pending_cancels: HashMap<TargetId, Vec<AttemptId>>,
    link: Option<ActiveLink>,
    last_link: LinkNumber,
    tasks: JoinSet<()>,
}

/// Next step of the controller's loop. `M` is the type of a received message, which `xtra` does not
/// export.
enum LoopStep<M> {
    Message(M),
    CallerDisconnected(QueryToken),
    Wakeup,
    TaskEnded,
    Stop,
}

impl EntryController {
    pub(crate) fn new(
        machine: EntryMachine,
        parts: ControllerParts,
        address: Address<EntryController>,
    ) -> Self {
        Self {
            machine,
            parts,
            address,
            events: VecDeque::new(),
            actions: Vec::new(),
            calls: HashMap::new(),
            address_calls: HashMap::new(),
            attempts: HashMap::new(),
            connections: HashMap::new(),
            open_connections: 0,
            target_connections: HashMap::new(),
            pending_cancels: HashMap::new(),
            link: None,
            last_link: LinkNumber::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Handles messages and wake-ups until `stop` is cancelled, then closes all connections and
    /// joins their tasks.
    pub(crate) async fn run(mut self, mailbox: Mailbox<Self>, stop: CancellationToken) {
        self.dispatch(EntryEvent::Tick);
        // The same future is polled until it yields a message, because dropping it may reorder
        // messages.
        let mut next = Box::pin(mailbox.next());
        loop {
            let wakeup = self.machine.next_wakeup();
            let step = tokio::select! {
                () = stop.cancelled() => LoopStep::Stop,
                message = next.as_mut() => LoopStep::Message(message),
                Some(token) = self.parts.disconnects.recv() => LoopStep::CallerDisconnected(token),
                () = sleep_until(self.parts.clock, wakeup) => LoopStep::Wakeup,
                Some(_) = self.tasks.join_next() => LoopStep::TaskEnded,
            };
            match step {
                LoopStep::Message(message) => {
                    next.set(mailbox.next());
                    if let ControlFlow::Break(()) = message.dispatch_to(&mut self).await {
                        break;
                    }
                }
                LoopStep::CallerDisconnected(token) => self.handle_disconnect(token),
                LoopStep::Wakeup => self.dispatch(EntryEvent::Tick),
                LoopStep::TaskEnded => {}
                LoopStep::Stop => break,
            }
        }
        self.flush_link().await;
        self.tasks.shutdown().await;
    }

    /// After a drain, waits until the link has sent the queued messages, such as the release of the
    /// ordinal.
    async fn flush_link(&mut self) {
        let Some(ActiveLink { outgoing, ended, .. }) = self.link.take() else { return };
        if !self.parts.drained.is_cancelled() {
            return;
        }
        // Closing the channel makes the link task send the queued messages and end.
        drop(outgoing);
        if tokio::time::timeout(LINK_FLUSH_TIMEOUT, ended.cancelled()).await.is_err() {
            spdlog::warn!("stop: timed out while sending the last messages to control");
        }
    }

    fn dispatch(&mut self, event: EntryEvent) {
        self.events.push_back(event);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            let now = self.parts.clock.reading();
            self.machine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::ConnectControl(address) => self.connect_control(address),
            EntryAction::SendControl(message) => self.send_control(message),
            EntryAction::OpenConnection { connection, target, address, timeout } => {
                self.open_connection(ConnectionConfig { connection, address, timeout }, target);
            }
            EntryAction::CloseConnection(connection) => self.close_connection(connection),
            EntryAction::StartAttempt(attempt_request) => self.start_attempt(attempt_request),
            EntryAction::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            EntryAction::DiscardAttempt(attempt) => self.discard_attempt(attempt),
            EntryAction::Respond(token, response) => self.respond(token, response),
            EntryAction::RespondAddresses(token, answer) => {
                if let Some(reply) = self.address_calls.remove(&token) {
                    // Fails if the caller has disconnected.
                    let _ = reply.send(answer);
                }
            }
            EntryAction::RecordMetric(metric) => record_metric(metric),
            EntryAction::Stopped => self.parts.drained.cancel(),
        }
    }

    fn connect_control(&mut self, address: SocketAddr) {
        if let Some(link) = self.link.take() {
            link.task.abort();
        }
        self.last_link = LinkNumber(self.last_link.0 + 1);
        let config = LinkConfig {
            link: self.last_link,
            address,
            entry: self.parts.entry.clone(),
            credential: self.parts.credential.clone(),
        };
        spdlog::info!("connecting to control at {}", address);
        let (outgoing, queue) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let controller = self.address.clone();
        let task = self.tasks.spawn(async move {
            let _guard = guard;
            run_link(config, queue, controller).await;
        });
        self.link = Some(ActiveLink { number: self.last_link, outgoing, task, ended });
    }

    fn send_control(&mut self, message: EntryMessage) {
        let Some(link) = &self.link else {
            spdlog::debug!("message to control dropped: not connected");
            return;
        };
        if link.outgoing.try_send(message).is_ok() {
            return;
        }
        spdlog::warn!(
            "closing the link to control: more than {} messages are queued",
            LINK_QUEUE_CAPACITY
        );
        link.task.abort();
        self.link = None;
        self.events.push_back(EntryEvent::ControlClosed);
    }

    fn open_connection(&mut self, config: ConnectionConfig, target: TargetId) {
        let ConnectionConfig { connection, address, .. } = config;
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let settings = Arc::clone(&self.parts.target_client);
        let answers = self.parts.answers.clone();
        let run = run_connection(config, settings, answers, queue, self.address.clone());
        let task = self.tasks.spawn(run);
        self.target_connections.entry(target.clone()).or_default().insert(connection);
        let active =
            ActiveConnection { target, address, open: false, attempt: None, commands, task };
        self.connections.insert(connection, active);
    }

    /// Closes a connection. Its attempt is dropped, and the machine gets no event for either.
    fn close_connection(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.remove(&connection) else { return };
        active.task.abort();
        if let Some(attempt) = active.attempt {
            self.attempts.remove(&attempt);
        }
        self.remove_target_connection(&active.target, connection);
        self.count_connection_end(active.open);
    }

    fn remove_target_connection(&mut self, target: &TargetId, connection: ConnectionId) {
        let Some(connections) = self.target_connections.get_mut(target) else { return };
        connections.remove(&connection);
        if connections.is_empty() {
            self.target_connections.remove(target);
            self.pending_cancels.remove(target);
        }
    }

    fn count_connection_end(&mut self, was_open: bool) {
        self.open_connections -= usize::from(was_open);
        record_connections(self.open_connections);
    }

    fn start_attempt(&mut self, attempt_request: AttemptRequest) {
        if let Err(cause) = self.send_attempt(&attempt_request) {
            spdlog::warn!(
                "target {}: attempt {} not sent: {}",
                attempt_request.target,
                attempt_request.attempt,
                cause
            );
            self.attempts.remove(&attempt_request.attempt);
            let failure = AttemptFailure::NotSent;
            self.events.push_back(EntryEvent::Failed { attempt: attempt_request.attempt, failure });
        }
    }

    fn send_attempt(&mut self, attempt_request: &AttemptRequest) -> Result<(), &'static str> {
        let call = self.calls.get_mut(&attempt_request.token).ok_or("the request has ended")?;
        let connection = self
            .connections
            .get_mut(&attempt_request.connection)
            .ok_or("the connection has ended")?;
        let request = self
            .parts
            .requests
            .build_attempt(attempt_request, &call.content, connection.address)
            .map_err(|_| "the request could not be encoded as HTTP")?;
        let kind = match attempt_request.work {
            AttemptWork::Search { .. } => AnswerKind::Hits,
            AttemptWork::Order => AnswerKind::Result,
        };
        spdlog::debug!(
            "request {}: attempt {}: target {}",
            call.content.request,
            attempt_request.attempt,
            attempt_request.target
        );
        let attempt = attempt_request.attempt;
        let request_id = call.content.request.clone();
        let prepared = PreparedAttempt { attempt, request_id: request_id.clone(), kind, request };
        connection
            .commands
            .try_send(ConnectionCommand::Attempt(prepared))
            .map_err(|_| "the connection has closed or its queue is full")?;
        connection.attempt = Some(attempt);
        call.attempts.push(attempt);
        let active = ActiveAttempt {
            request_id,
            connection: attempt_request.connection,
            kind,
            keep_body: true,
            body: None,
        };
        self.attempts.insert(attempt, active);
        Ok(())
    }

    /// Sends a cancellation over a free connection to the same target, or queues it until one
    /// becomes free. The connection of the attempt stays open, as the machine requires, and no
    /// connection beyond the entry's share is opened.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(active) = self.attempts.get(&attempt) else { return };
        if active.body.is_some() {
            return;
        }
        let Some(connection) = self.connections.get(&active.connection) else { return };
        let target = connection.target.clone();
        if !self.send_cancel(&target, attempt) {
            self.pending_cancels.entry(target).or_default().push(attempt);
        }
    }

    /// Sends a cancellation over a free connection to the target. Returns `false` if none is free.
    fn send_cancel(&self, target: &TargetId, attempt: AttemptId) -> bool {
        // An attempt that has already ended needs no cancellation.
        let Some(ActiveAttempt { request_id, kind, .. }) = self.attempts.get(&attempt) else {
            return true;
        };
        let kind = *kind;
        let mut candidates = self.target_connections.get(target).into_iter().flatten();
        candidates.any(|connection| {
            let Some(active) = self.connections.get(connection) else { return false };
            if !active.open || active.attempt.is_some() {
                return false;
            }
            let Ok(request) = self.parts.requests.build_cancel(attempt, active.address) else {
                return false;
            };
            let prepared =
                PreparedAttempt { attempt, request_id: request_id.clone(), kind, request };
            active.commands.try_send(ConnectionCommand::Cancel(prepared)).is_ok()
        })
    }

    /// Sends the pending cancellations for this target and drops those whose attempt has ended.
    fn send_pending_cancels(&mut self, target: &TargetId) {
        let Some(pending) = self.pending_cancels.remove(target) else { return };
        let unsent: Vec<AttemptId> =
            pending.into_iter().filter(|attempt| !self.send_cancel(target, *attempt)).collect();
        if !unsent.is_empty() {
            self.pending_cancels.insert(target.clone(), unsent);
        }
    }

    fn discard_attempt(&mut self, attempt: AttemptId) {
        let Some(active) = self.attempts.get_mut(&attempt) else { return };
        active.keep_body = false;
        if active.body.is_some() {
            self.attempts.remove(&attempt);
        }
    }

    fn discard_attempts(&mut self, attempts: &[AttemptId]) {
        attempts.iter().for_each(|attempt| self.discard_attempt(*attempt));
    }

    fn respond(&mut self, token: QueryToken, response: Box<CallerResponse>) {
        let Some(call) = self.calls.remove(&token) else { return };
        let body = |attempt: &AttemptId| {
            let body = self.attempts.get(attempt).and_then(|active| active.body.clone());
            if body.is_none() {
                spdlog::error!(
                    "request {}: the body of attempt {} is missing",
                    call.content.request,
                    attempt
                );
            }
            body
        };
        let parts = response.parts.iter().filter_map(body).collect();
        spdlog::debug!(
            "request {}: outcome {}, coverage {}, attempts {}",
            call.content.request,
            crate::answers::outcome_name(response.outcome),
            response.coverage,
            response.attempts
        );
        self.discard_attempts(&call.attempts);
        // Fails if the caller has disconnected.
        let _ = call.reply.send(CallerReply { response, parts });
    }

    fn handle_disconnect(&mut self, token: QueryToken) {
        self.address_calls.remove(&token);
        if !self.calls.contains_key(&token) {
            return;
        }
        self.dispatch(EntryEvent::CallerDisconnected(token));
        // An order continues after its caller disconnects, and the machine still needs the body of
        // its answer.
        if self.calls.get(&token).is_some_and(|call| call.is_order) {
            return;
        }
        if let Some(call) = self.calls.remove(&token) {
            spdlog::debug!("request {}: the caller disconnected", call.content.request);
            self.discard_attempts(&call.attempts);
        }
    }

    fn connection_opened(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.get_mut(&connection) else { return };
        active.open = true;
        self.open_connections += 1;
        record_connections(self.open_connections);
        self.dispatch(EntryEvent::ConnectionOpened(connection));
        self.flush_cancels(connection);
    }

    /// Sends pending cancellations over a connection, unless the machine has already used it for an
    /// attempt.
    fn flush_cancels(&mut self, connection: ConnectionId) {
        if let Some(active) = self.connections.get(&connection) {
            let target = active.target.clone();
            self.send_pending_cancels(&target);
        }
    }

    fn attempt_answered(
        &mut self,
        connection: ConnectionId,
        attempt: AttemptId,
        answer: TargetAnswer,
    ) {
        self.free_connection(connection, attempt);
        let Some(active) = self.attempts.get_mut(&attempt) else { return };
        let body = match active.kind {
            AnswerKind::Result if !answer.content.is_empty() => {
                std::str::from_utf8(&answer.content).ok().map(Into::into)
            }
            _ => None,
        };
        if active.keep_body {
            active.body = Some(answer.content);
        } else {
            self.attempts.remove(&attempt);
        }
        let TargetAnswer { status, load, snapshot, .. } = answer;
        self.dispatch(EntryEvent::Answered { attempt, status, load, snapshot, body });
        self.flush_cancels(connection);
    }

    fn attempt_failed(
        &mut self,
        connection: ConnectionId,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) {
        self.free_connection(connection, attempt);
        self.attempts.remove(&attempt);
        self.dispatch(EntryEvent::Failed { attempt, failure });
        self.flush_cancels(connection);
    }

    fn free_connection(&mut self, connection: ConnectionId, attempt: AttemptId) {
        let Some(active) = self.connections.get_mut(&connection) else { return };
        if active.attempt == Some(attempt) {
            active.attempt = None;
        }
    }

    fn connection_closed(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.remove(&connection) else { return };
        self.remove_target_connection(&active.target, connection);
        self.count_connection_end(active.open);
        self.dispatch(EntryEvent::ConnectionClosed(connection));
    }
}

/// Waits until the wake-up time of the machine, or forever if `wakeup` is `None`.
async fn sleep_until(clock: SystemClock, wakeup: Option<MonotonicTime>) {
    match wakeup {
        Some(time) => tokio::time::sleep_until(clock.instant(time).into()).await,
        None => std::future::pending().await,
    }
}

impl Handler<CallerCall> for EntryController {
    type Return = ();

    async fn handle(&mut self, call: CallerCall, _context: &mut Context<Self>) {
        let CallerCall { token, request, content, reply } = call;
        // If the caller disconnected while this message was queued, the disconnect has already been
        // handled.
        if reply.is_closed() {
            return;
        }
        let is_order = matches!(request.kind, RequestKind::Order { .. });
        self.calls.insert(token, ActiveCall { content, is_order, reply, attempts: Vec::new() });
        self.dispatch(EntryEvent::Request(token, request));
    }
}

impl Handler<AddressCall> for EntryController {
    type Return = ();

    async fn handle(&mut self, call: AddressCall, _context: &mut Context<Self>) {
        self.address_calls.insert(call.token, call.reply);
        self.dispatch(EntryEvent::Addresses(call.token, call.caller));
    }
}

impl Handler<ConnectionReport> for EntryController {
    type Return = ();

    async fn handle(&mut self, report: ConnectionReport, _context: &mut Context<Self>) {
        let ConnectionReport { connection, event } = report;
        // Ignore late reports of a connection that the controller has already closed.
        if !self.connections.contains_key(&connection) {
            return;
        }
        match event {
            ConnectionEvent::Opened => self.connection_opened(connection),
            ConnectionEvent::Answered(attempt, answer) => {
                self.attempt_answered(connection, attempt, answer);
            }
            ConnectionEvent::Failed(attempt, failure) => {
                self.attempt_failed(connection, attempt, failure);
            }
            ConnectionEvent::Closed => self.connection_closed(connection),
        }
    }
}

impl Handler<LinkReport> for EntryController {
    type Return = ();

    async fn handle(&mut self, report: LinkReport, _context: &mut Context<Self>) {
        if self.link.as_ref().is_none_or(|link| link.number != report.link) {
            return;
        }
        match report.event {
            LinkEvent::Opened(address) => self.dispatch(EntryEvent::ControlOpened(address)),
            LinkEvent::Message(message) => {
                self.parts.readiness.observe(&message);
                self.dispatch(EntryEvent::Control(*message));
            }
            LinkEvent::Closed => {
                self.link = None;
                self.dispatch(EntryEvent::ControlClosed);
            }
        }
    }
}

impl Handler<BeginDrain> for EntryController {
    type Return = ();

    async fn handle(&mut self, _drain: BeginDrain, _context: &mut Context<Self>) {
        self.parts.readiness.start_drain();
        self.dispatch(EntryEvent::Drain);
    }
}
