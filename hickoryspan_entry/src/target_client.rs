//! Connections to targets. Each runs in a task of its own and carries one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::entry::interface::AttemptFailure;
use hickoryspan_core::types::{AttemptId, ConnectionId, RequestId};
use hickoryspan_runtime::http_client::{
    BodyRoom, HttpAnswer, HttpConnection, ResponseReading, SendError,
};
use hickoryspan_runtime::response_budget::ResponseBudget;
use http::HeaderValue;
use tokio::sync::mpsc;
use xtra::Address;

use crate::controller::EntryController;
use crate::settings::TargetClientSettings;
use crate::target_protocol::{AnswerKind, TargetAnswer, TargetRequest, named_attempt};

/// Capacity of a connection's command queue: its own attempt and a few cancellations of attempts
/// that run on other connections.
pub(crate) const COMMAND_QUEUE_CAPACITY: usize = 4;

/// Request that starts or cancels an attempt, ready to be sent.
pub(crate) struct PreparedAttempt {
    pub(crate) attempt: AttemptId,
    /// Request id of the caller, used in logs.
    pub(crate) request_id: RequestId,
    pub(crate) kind: AnswerKind,
    pub(crate) request: TargetRequest,
}

/// Command to the task of a connection.
pub(crate) enum ConnectionCommand {
    /// Sends an attempt and reports its answer or failure.
    Attempt(PreparedAttempt),
    /// Sends the cancellation of an attempt that runs on another connection.
    Cancel(PreparedAttempt),
}

/// Change of a connection or of the attempt that runs on it.
pub(crate) enum ConnectionEvent {
    Opened,
    Answered(AttemptId, TargetAnswer),
    Failed(AttemptId, AttemptFailure),
    Closed,
}

/// Message from the task of a connection to the controller.
pub(crate) struct ConnectionReport {
    pub(crate) connection: ConnectionId,
    pub(crate) event: ConnectionEvent,
}

/// Room for the answers of all targets.
#[derive(Clone, Debug)]
pub(crate) struct AnswerBudgets {
    /// For heads beyond the buffer of a connection.
    heads: Arc<ResponseBudget>,
    /// For bodies, as long as they are kept.
    bodies: Arc<ResponseBudget>,
}

impl AnswerBudgets {
    /// Creates the budgets of a process with this much memory, in bytes.
    pub(crate) fn of_memory(memory_bytes: usize) -> Self {
        Self {
            heads: ResponseBudget::for_heads(memory_bytes),
            bodies: ResponseBudget::for_bodies(memory_bytes),
        }
    }
}

/// Parameters of a connection to open.
pub(crate) struct ConnectionConfig {
    pub(crate) connection: ConnectionId,
    pub(crate) address: SocketAddr,
    pub(crate) timeout: Duration,
}

/// Whether a connection can be reused for another request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReuseState {
    Usable,
    Broken,
}

/// Opens a connection and executes commands until it closes. [`ConnectionEvent::Closed`] is always
/// the last report.
pub(crate) async fn run_connection(
    config: ConnectionConfig,
    settings: Arc<TargetClientSettings>,
    answers: AnswerBudgets,
    commands: mpsc::Receiver<ConnectionCommand>,
    controller: Address<EntryController>,
) {
    let reporter = ConnectionReporter { connection: config.connection, controller };
    match HttpConnection::open_within(config.address, config.timeout, &answers.heads).await {
        Ok(connection) => {
            reporter.report(ConnectionEvent::Opened).await;
            let bodies = answers.bodies;
            let target = TargetConnection { connection, settings, bodies, reporter: &reporter };
            target.serve(commands).await;
        }
        Err(error) => {
            spdlog::debug!("connecting to target {} failed: {}", config.address, error);
            fail_pending(&reporter, commands).await;
        }
    }
    reporter.report(ConnectionEvent::Closed).await;
}

/// Closes the command queue and reports the queued attempts as not sent.
async fn fail_pending(
    reporter: &ConnectionReporter,
    mut commands: mpsc::Receiver<ConnectionCommand>,
) {
    commands.close();
    while let Some(command) = commands.recv().await {
        if let ConnectionCommand::Attempt(PreparedAttempt { attempt, .. }) = command {
            reporter.report(ConnectionEvent::Failed(attempt, AttemptFailure::NotSent)).await;
        }
    }
}

/// Returns whether an answer belongs to another attempt than the one that was sent.
fn is_late(answer: &HttpAnswer, sent: Option<&HeaderValue>) -> bool {
    named_attempt(&answer.headers).is_some_and(|answered| Some(answered) != sent)
}

struct ConnectionReporter {
    connection: ConnectionId,
    controller: Address<EntryController>,
}

impl ConnectionReporter {
    async fn report(&self, event: ConnectionEvent) {
        let report = ConnectionReport { connection: self.connection, event };
        // The controller outlives its connections, so this fails only during shutdown, when the
        // report is no longer needed.
        let _ = self.controller.send(report).detach().await;
    }
}

struct TargetConnection<'a> {
    connection: HttpConnection,
    settings: Arc<TargetClientSettings>,
    bodies: Arc<ResponseBudget>,
    reporter: &'a ConnectionReporter,
}

impl TargetConnection<'_> {
    /// Sends a request and reads its answer. The answer takes room as long as any part of it is kept.
    async fn send(&mut self, request: TargetRequest) -> Result<HttpAnswer, SendError> {
        let reading = ResponseReading {
            max_bytes: usize::try_from(self.settings.answer_bytes.0).unwrap_or(usize::MAX),
            room: BodyRoom::Budgeted(&self.bodies),
            reduce: None,
        };
        self.connection.send_and_read(request, reading).await
    }

    async fn serve(mut self, mut commands: mpsc::Receiver<ConnectionCommand>) {
        let ended = self.connection.ended();
        loop {
            let command = tokio::select! {
                biased;
                // Check for a closed connection first, so that it is reported before another
                // request is sent on it.
                () = ended.cancelled() => break,
                command = commands.recv() => command,
            };
            let state = match command {
                Some(ConnectionCommand::Attempt(prepared)) => self.attempt(prepared).await,
                Some(ConnectionCommand::Cancel(prepared)) => self.cancel(prepared).await,
                None => break,
            };
            if state == ReuseState::Broken {
                break;
            }
        }
        self.connection.close().await;
        fail_pending(self.reporter, commands).await;
    }

    async fn attempt(&mut self, prepared: PreparedAttempt) -> ReuseState {
        let PreparedAttempt { attempt, request_id, kind, request } = prepared;
        let peer = self.connection.peer();
        let sent_attempt = named_attempt(request.headers()).cloned();
        let (event, state) = match self.send(request).await {
            Ok(answer) if is_late(&answer, sent_attempt.as_ref()) => {
                spdlog::warn!(
                    "request {}: attempt {}: target {}: late answer to another attempt",
                    request_id,
                    attempt,
                    peer
                );
                // The answer to this attempt may still come, so the connection cannot be used again.
                let failure = AttemptFailure::Malformed;
                (ConnectionEvent::Failed(attempt, failure), ReuseState::Broken)
            }
            Ok(answer) => match TargetAnswer::parse(&answer, kind) {
                Some(answer) => (ConnectionEvent::Answered(attempt, answer), ReuseState::Usable),
                None => {
                    spdlog::warn!(
                        "request {}: attempt {}: target {}: malformed answer with status {}",
                        request_id,
                        attempt,
                        peer,
                        answer.status
                    );
                    let failure = AttemptFailure::Malformed;
                    (ConnectionEvent::Failed(attempt, failure), ReuseState::Usable)
                }
            },
            Err(error) => {
                spdlog::debug!(
                    "request {}: attempt {}: target {}: {}",
                    request_id,
                    attempt,
                    peer,
                    error
                );
                let failure = match error {
                    SendError::NotSent(_) => AttemptFailure::NotSent,
                    SendError::ConnectionLost(_) => AttemptFailure::ConnectionLost,
                    // Nothing is concluded from a lack of room, but the target may have run the request.
                    SendError::TooLarge(_)
                    | SendError::NoRoom
                    | SendError::InvalidResponse(_)
                    | SendError::InvalidStatus(_) => AttemptFailure::Malformed,
                };
                (ConnectionEvent::Failed(attempt, failure), ReuseState::Broken)
            }
        };
        self.reporter.report(event).await;
        state
    }

    async fn cancel(&mut self, prepared: PreparedAttempt) -> ReuseState {
        let PreparedAttempt { attempt, request_id, request, .. } = prepared;
        let peer = self.connection.peer();
        let sent_attempt = named_attempt(request.headers()).cloned();
        let time = self.settings.cancel_time;
        let cause = match tokio::time::timeout(time, self.send(request)).await {
            Ok(Ok(answer)) if is_late(&answer, sent_attempt.as_ref()) => {
                "late answer to another attempt".to_owned()
            }
            Ok(Ok(_)) => return ReuseState::Usable,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the answer timed out".to_owned(),
        };
        spdlog::debug!(
            "request {}: cancelling attempt {} on target {} failed: {}",
            request_id,
            attempt,
            peer,
            cause
        );
        ReuseState::Broken
    }
}
