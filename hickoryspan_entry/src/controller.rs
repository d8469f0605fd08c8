//! The actor that owns the entry machine: it turns what happens into events and performs the actions.

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

use crate::control_link::{LINK_QUEUE, LinkNotice, LinkNumber, LinkPlan, LinkReport, run_link};
use crate::measures::{record_connections, record_measure};
use crate::readiness::ReadinessState;
use crate::settings::TargetClientSettings;
use crate::target_client::{
    COMMAND_QUEUE, ConnectionCommand, ConnectionNotice, ConnectionPlan, ConnectionReport,
    PreparedAttempt, run_connection,
};
use crate::target_protocol::{AnswerKind, CallContent, RequestBuilder, TargetAnswer};

/// Time for the last messages to control at a planned stop; a live link needs one round trip.
const LINK_FLUSH_TIME: Duration = Duration::from_secs(1);

/// A caller's request.
pub(crate) struct CallerCall {
    pub(crate) token: QueryToken,
    pub(crate) request: Box<CallerRequest>,
    pub(crate) content: CallContent,
    pub(crate) reply: oneshot::Sender<CallerReply>,
}

/// The response to a caller, with the bodies of its parts in key order.
pub(crate) struct CallerReply {
    pub(crate) response: Box<CallerResponse>,
    pub(crate) parts: Vec<Bytes>,
}

/// A caller's question for entry addresses.
pub(crate) struct AddressCall {
    pub(crate) token: QueryToken,
    pub(crate) caller: CallerId,
    pub(crate) reply: oneshot::Sender<AddressAnswer>,
}

/// The start of a planned stop.
pub(crate) struct BeginDrain;

struct ActiveCall {
    content: CallContent,
    is_order: bool,
    reply: oneshot::Sender<CallerReply>,
    attempts: Vec<AttemptId>,
}

struct ActiveAttempt {
    /// The caller's name for the request, for logs.
    name: RequestId,
    connection: ConnectionId,
    kind: AnswerKind,
    /// Whether the body is kept when it arrives.
    keep: bool,
    answer: Option<Bytes>,
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
    /// Cancelled when the link's task has ended.
    ended: CancellationToken,
}

/// What the controller needs beside the machine.
pub(crate) struct ControllerParts {
    pub(crate) clock: SystemClock,
    pub(crate) entry: EntryId,
    pub(crate) credential: SharedCredential,
    pub(crate) requests: RequestBuilder,
    pub(crate) target_client: Arc<TargetClientSettings>,
    pub(crate) readiness: Arc<ReadinessState>,
    /// Cancelled when the planned stop is complete.
    pub(crate) drained: CancellationToken,
    /// Calls whose caller went away.
    pub(crate) hangups: mpsc::UnboundedReceiver<QueryToken>,
}

/// Owns the entry machine.
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
    /// Attempts to cancel as soon as a connection to their target is free.
    waiting_cancels: HashMap<TargetId, Vec<AttemptId>>,
    link: Option<ActiveLink>,
    last_link: LinkNumber,
    tasks: JoinSet<()>,
}

/// What the controller's loop does next; the library does not export the type of a received message.
enum LoopStep<M> {
    Message(M),
    Hangup(QueryToken),
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
            waiting_cancels: HashMap::new(),
            link: None,
            last_link: LinkNumber::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Handles messages and wake-ups until `stop` is cancelled, then ends all connections and joins their tasks.
    pub(crate) async fn run(mut self, mailbox: Mailbox<Self>, stop: CancellationToken) {
        self.dispatch(EntryEvent::Tick);
        // The same future is polled until it yields a message, because dropping it may reorder messages.
        let mut next = Box::pin(mailbox.next());
        loop {
            let wakeup = self.machine.next_wakeup();
            let step = tokio::select! {
                () = stop.cancelled() => LoopStep::Stop,
                message = next.as_mut() => LoopStep::Message(message),
                Some(token) = self.parts.hangups.recv() => LoopStep::Hangup(token),
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
                LoopStep::Hangup(token) => self.hang_up(token),
                LoopStep::Wakeup => self.dispatch(EntryEvent::Tick),
                LoopStep::TaskEnded => {}
                LoopStep::Stop => break,
            }
        }
        self.flush_link().await;
        self.tasks.shutdown().await;
    }

    /// After a planned stop, lets the link send what waits, such as the release of the ordinal.
    async fn flush_link(&mut self) {
        let Some(ActiveLink { outgoing, ended, .. }) = self.link.take() else { return };
        if !self.parts.drained.is_cancelled() {
            return;
        }
        // Without a sender the link sends what waits, and ends.
        drop(outgoing);
        if tokio::time::timeout(LINK_FLUSH_TIME, ended.cancelled()).await.is_err() {
            spdlog::warn!("stop: the link to control did not take the last messages in time");
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
                self.open_connection(ConnectionPlan { connection, address, timeout }, target);
            }
            EntryAction::CloseConnection(connection) => self.close_connection(connection),
            EntryAction::StartAttempt(order) => self.start_attempt(order),
            EntryAction::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            EntryAction::DiscardAttempt(attempt) => self.discard_attempt(attempt),
            EntryAction::Respond(token, response) => self.respond(token, response),
            EntryAction::RespondAddresses(token, answer) => {
                if let Some(reply) = self.address_calls.remove(&token) {
                    // The caller may have gone away.
                    let _ = reply.send(answer);
                }
            }
            EntryAction::RecordMetric(measure) => record_measure(measure),
            EntryAction::Stopped => self.parts.drained.cancel(),
        }
    }

    fn connect_control(&mut self, address: SocketAddr) {
        if let Some(link) = self.link.take() {
            link.task.abort();
        }
        self.last_link = LinkNumber(self.last_link.0 + 1);
        let plan = LinkPlan {
            link: self.last_link,
            address,
            entry: self.parts.entry.clone(),
            credential: self.parts.credential.clone(),
        };
        spdlog::info!("connect control: {}", address);
        let (outgoing, queue) = mpsc::channel(LINK_QUEUE);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let controller = self.address.clone();
        let task = self.tasks.spawn(async move {
            let _guard = guard;
            run_link(plan, queue, controller).await;
        });
        self.link = Some(ActiveLink { number: self.last_link, outgoing, task, ended });
    }

    fn send_control(&mut self, message: EntryMessage) {
        let Some(link) = &self.link else {
            spdlog::debug!("send to control: no link");
            return;
        };
        if link.outgoing.try_send(message).is_ok() {
            return;
        }
        spdlog::warn!("send to control: more than {} messages wait; link closed", LINK_QUEUE);
        link.task.abort();
        self.link = None;
        self.events.push_back(EntryEvent::ControlClosed);
    }

    fn open_connection(&mut self, plan: ConnectionPlan, target: TargetId) {
        let ConnectionPlan { connection, address, .. } = plan;
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
        let settings = Arc::clone(&self.parts.target_client);
        let task = self.tasks.spawn(run_connection(plan, settings, queue, self.address.clone()));
        self.target_connections.entry(target.clone()).or_default().insert(connection);
        let active =
            ActiveConnection { target, address, open: false, attempt: None, commands, task };
        self.connections.insert(connection, active);
    }

    /// Forgets a connection; attempts on it are no longer reported.
    fn close_connection(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.remove(&connection) else { return };
        active.task.abort();
        if let Some(attempt) = active.attempt {
            self.attempts.remove(&attempt);
        }
        self.forget_target_connection(&active.target, connection);
        self.count_connection_end(active.open);
    }

    fn forget_target_connection(&mut self, target: &TargetId, connection: ConnectionId) {
        let Some(connections) = self.target_connections.get_mut(target) else { return };
        connections.remove(&connection);
        if connections.is_empty() {
            self.target_connections.remove(target);
            self.waiting_cancels.remove(target);
        }
    }

    fn count_connection_end(&mut self, was_open: bool) {
        self.open_connections -= usize::from(was_open);
        record_connections(self.open_connections);
    }

    fn start_attempt(&mut self, order: AttemptRequest) {
        if let Err(cause) = self.send_attempt(&order) {
            spdlog::warn!(
                "target {}: attempt {}: not sent: {}",
                order.target,
                order.attempt,
                cause
            );
            self.attempts.remove(&order.attempt);
            let failure = AttemptFailure::NotSent;
            self.events.push_back(EntryEvent::Failed { attempt: order.attempt, failure });
        }
    }

    fn send_attempt(&mut self, order: &AttemptRequest) -> Result<(), &'static str> {
        let call = self.calls.get_mut(&order.token).ok_or("the request has ended")?;
        let connection =
            self.connections.get_mut(&order.connection).ok_or("the connection has ended")?;
        let request = self
            .parts
            .requests
            .build_attempt(order, &call.content, connection.address)
            .map_err(|_| "the request cannot be represented")?;
        let kind = match order.work {
            AttemptWork::Search { .. } => AnswerKind::Hits,
            AttemptWork::Order => AnswerKind::Result,
        };
        spdlog::debug!(
            "request {}: attempt {}: target {}",
            call.content.request,
            order.attempt,
            order.target
        );
        let attempt = order.attempt;
        let name = call.content.request.clone();
        let prepared = PreparedAttempt { attempt, name: name.clone(), kind, request };
        connection
            .commands
            .try_send(ConnectionCommand::Attempt(prepared))
            .map_err(|_| "the connection does not take it")?;
        connection.attempt = Some(attempt);
        call.attempts.push(attempt);
        let active =
            ActiveAttempt { name, connection: order.connection, kind, keep: true, answer: None };
        self.attempts.insert(attempt, active);
        Ok(())
    }

    /// Sends the cancellation over a free connection to the same target, now or as soon as there is one. The
    /// attempt's own connection stays open, as the action demands, and no connection beyond the share is opened.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(active) = self.attempts.get(&attempt) else { return };
        if active.answer.is_some() {
            return;
        }
        let Some(connection) = self.connections.get(&active.connection) else { return };
        let target = connection.target.clone();
        if !self.send_cancel(&target, attempt) {
            self.waiting_cancels.entry(target).or_default().push(attempt);
        }
    }

    /// False if no connection to the target is free.
    fn send_cancel(&self, target: &TargetId, attempt: AttemptId) -> bool {
        // An attempt that has ended needs no cancellation.
        let Some(ActiveAttempt { name, kind, .. }) = self.attempts.get(&attempt) else {
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
            let prepared = PreparedAttempt { attempt, name: name.clone(), kind, request };
            active.commands.try_send(ConnectionCommand::Cancel(prepared)).is_ok()
        })
    }

    /// Sends what waited for a connection to this target, unless it ended in the meantime.
    fn send_waiting_cancels(&mut self, target: &TargetId) {
        let Some(waiting) = self.waiting_cancels.remove(target) else { return };
        let unsent: Vec<AttemptId> =
            waiting.into_iter().filter(|attempt| !self.send_cancel(target, *attempt)).collect();
        if !unsent.is_empty() {
            self.waiting_cancels.insert(target.clone(), unsent);
        }
    }

    fn discard_attempt(&mut self, attempt: AttemptId) {
        let Some(active) = self.attempts.get_mut(&attempt) else { return };
        active.keep = false;
        if active.answer.is_some() {
            self.attempts.remove(&attempt);
        }
    }

    fn discard_attempts(&mut self, attempts: &[AttemptId]) {
        attempts.iter().for_each(|attempt| self.discard_attempt(*attempt));
    }

    fn respond(&mut self, token: QueryToken, response: Box<CallerResponse>) {
        let Some(call) = self.calls.remove(&token) else { return };
        let body = |attempt: &AttemptId| {
            let body = self.attempts.get(attempt).and_then(|active| active.answer.clone());
            if body.is_none() {
                spdlog::error!("request {}: no body of attempt {}", call.content.request, attempt);
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
        // The caller may have gone away.
        let _ = call.reply.send(CallerReply { response, parts });
    }

    fn hang_up(&mut self, token: QueryToken) {
        self.address_calls.remove(&token);
        if !self.calls.contains_key(&token) {
            return;
        }
        self.dispatch(EntryEvent::CallerDisconnected(token));
        // An order goes on without its caller, and its body is needed until the machine responds.
        if self.calls.get(&token).is_some_and(|call| call.is_order) {
            return;
        }
        if let Some(call) = self.calls.remove(&token) {
            spdlog::debug!("request {}: the caller went away", call.content.request);
            self.discard_attempts(&call.attempts);
        }
    }

    fn connection_opened(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.get_mut(&connection) else { return };
        active.open = true;
        self.open_connections += 1;
        record_connections(self.open_connections);
        self.dispatch(EntryEvent::ConnectionOpened(connection));
        self.release_cancels(connection);
    }

    /// Uses a connection for waiting cancellations, if the machine did not take it at once.
    fn release_cancels(&mut self, connection: ConnectionId) {
        if let Some(active) = self.connections.get(&connection) {
            let target = active.target.clone();
            self.send_waiting_cancels(&target);
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
        if active.keep {
            active.answer = Some(answer.content);
        } else {
            self.attempts.remove(&attempt);
        }
        let TargetAnswer { status, load, snapshot, .. } = answer;
        self.dispatch(EntryEvent::Answered { attempt, status, load, snapshot, body });
        self.release_cancels(connection);
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
        self.release_cancels(connection);
    }

    fn free_connection(&mut self, connection: ConnectionId, attempt: AttemptId) {
        let Some(active) = self.connections.get_mut(&connection) else { return };
        if active.attempt == Some(attempt) {
            active.attempt = None;
        }
    }

    fn connection_closed(&mut self, connection: ConnectionId) {
        let Some(active) = self.connections.remove(&connection) else { return };
        self.forget_target_connection(&active.target, connection);
        self.count_connection_end(active.open);
        self.dispatch(EntryEvent::ConnectionClosed(connection));
    }
}

/// Waits for the machine's wake-up time; for ever if it has none.
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
        // The caller may have gone away while the call waited; its hang-up is then already handled.
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
        let ConnectionReport { connection, notice } = report;
        // Reports of a connection that was closed here are not of interest any more.
        if !self.connections.contains_key(&connection) {
            return;
        }
        match notice {
            ConnectionNotice::Opened => self.connection_opened(connection),
            ConnectionNotice::Answered(attempt, answer) => {
                self.attempt_answered(connection, attempt, answer);
            }
            ConnectionNotice::Failed(attempt, failure) => {
                self.attempt_failed(connection, attempt, failure);
            }
            ConnectionNotice::Closed => self.connection_closed(connection),
        }
    }
}

impl Handler<LinkReport> for EntryController {
    type Return = ();

    async fn handle(&mut self, report: LinkReport, _context: &mut Context<Self>) {
        if self.link.as_ref().is_none_or(|link| link.number != report.link) {
            return;
        }
        match report.notice {
            LinkNotice::Opened(address) => self.dispatch(EntryEvent::ControlOpened(address)),
            LinkNotice::Message(message) => {
                self.parts.readiness.observe(&message);
                self.dispatch(EntryEvent::Control(*message));
            }
            LinkNotice::Closed => {
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
