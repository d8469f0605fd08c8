//! Connections to targets: one task for each, with one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::entry::interface::AttemptFailure;
use hickoryspan_core::types::{AttemptId, ConnectionId, RequestId};
use hickoryspan_runtime::http_client::{HttpConnection, SendError};
use tokio::sync::mpsc;
use xtra::Address;

use crate::controller::EntryController;
use crate::settings::TargetClientSettings;
use crate::target_protocol::{AnswerKind, TargetAnswer, TargetRequest};

/// Commands that wait for a connection: its attempt and a few cancellations of attempts on others.
pub(crate) const COMMAND_QUEUE: usize = 4;

/// The request of an attempt, or of its cancellation, that is ready to be sent.
pub(crate) struct PreparedAttempt {
    pub(crate) attempt: AttemptId,
    /// The caller's name for the request, for logs.
    pub(crate) name: RequestId,
    pub(crate) kind: AnswerKind,
    pub(crate) request: TargetRequest,
}

/// What a connection is asked to do.
pub(crate) enum ConnectionCommand {
    /// Sends an attempt and reports its end.
    Attempt(PreparedAttempt),
    /// Sends the cancellation of an attempt that runs on another connection.
    Cancel(PreparedAttempt),
}

/// What happened on a connection.
pub(crate) enum ConnectionNotice {
    Opened,
    Answered(AttemptId, TargetAnswer),
    Failed(AttemptId, AttemptFailure),
    Closed,
}

/// A message from a connection's task to the controller.
pub(crate) struct ConnectionReport {
    pub(crate) connection: ConnectionId,
    pub(crate) notice: ConnectionNotice,
}

/// A connection that is to be opened.
pub(crate) struct ConnectionPlan {
    pub(crate) connection: ConnectionId,
    pub(crate) address: SocketAddr,
    pub(crate) timeout: Duration,
}

/// Whether a connection can carry a further request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Usable,
    Broken,
}

/// Opens a connection and serves commands until it ends; the end is reported last.
pub(crate) async fn run_connection(
    plan: ConnectionPlan,
    settings: Arc<TargetClientSettings>,
    commands: mpsc::Receiver<ConnectionCommand>,
    controller: Address<EntryController>,
) {
    let reporter = ConnectionReporter { connection: plan.connection, controller };
    match HttpConnection::open(plan.address, plan.timeout).await {
        Ok(link) => {
            reporter.report(ConnectionNotice::Opened).await;
            TargetConnection { link, settings, reporter: &reporter }.serve(commands).await;
        }
        Err(error) => {
            spdlog::debug!("connect target: {}: {}", plan.address, error);
            fail_waiting(&reporter, commands).await;
        }
    }
    reporter.report(ConnectionNotice::Closed).await;
}

/// Reports that the commands still waiting were not sent.
async fn fail_waiting(
    reporter: &ConnectionReporter,
    mut commands: mpsc::Receiver<ConnectionCommand>,
) {
    commands.close();
    while let Some(command) = commands.recv().await {
        if let ConnectionCommand::Attempt(PreparedAttempt { attempt, .. }) = command {
            reporter.report(ConnectionNotice::Failed(attempt, AttemptFailure::NotSent)).await;
        }
    }
}

struct ConnectionReporter {
    connection: ConnectionId,
    controller: Address<EntryController>,
}

impl ConnectionReporter {
    async fn report(&self, notice: ConnectionNotice) {
        let report = ConnectionReport { connection: self.connection, notice };
        // The controller outlives its connections; only a stop makes this fail, and then nobody needs the report.
        let _ = self.controller.send(report).detach().await;
    }
}

struct TargetConnection<'a> {
    link: HttpConnection,
    settings: Arc<TargetClientSettings>,
    reporter: &'a ConnectionReporter,
}

impl TargetConnection<'_> {
    async fn serve(mut self, mut commands: mpsc::Receiver<ConnectionCommand>) {
        let ended = self.link.ended();
        loop {
            let command = tokio::select! {
                biased;
                // An idle connection that the target closed is reported at once, so that it is not used.
                () = ended.cancelled() => break,
                command = commands.recv() => command,
            };
            let state = match command {
                Some(ConnectionCommand::Attempt(prepared)) => self.attempt(prepared).await,
                Some(ConnectionCommand::Cancel(prepared)) => self.cancel(prepared).await,
                None => break,
            };
            if state == LinkState::Broken {
                break;
            }
        }
        self.link.close().await;
        fail_waiting(self.reporter, commands).await;
    }

    async fn attempt(&mut self, prepared: PreparedAttempt) -> LinkState {
        let PreparedAttempt { attempt, name, kind, request } = prepared;
        let peer = self.link.peer();
        let limit = usize::try_from(self.settings.answer_bytes.0).unwrap_or(usize::MAX);
        let (notice, state) = match self.link.send(request, limit).await {
            Ok(answer) => match TargetAnswer::parse(&answer, kind) {
                Some(answer) => (ConnectionNotice::Answered(attempt, answer), LinkState::Usable),
                None => {
                    spdlog::warn!(
                        "request {}: attempt {}: target {}: status {}: the answer does not follow the API",
                        name,
                        attempt,
                        peer,
                        answer.status
                    );
                    let failure = AttemptFailure::Malformed;
                    (ConnectionNotice::Failed(attempt, failure), LinkState::Usable)
                }
            },
            Err(error) => {
                spdlog::debug!("request {}: attempt {}: target {}: {}", name, attempt, peer, error);
                let failure = match error {
                    SendError::NotSent(_) => AttemptFailure::NotSent,
                    SendError::ConnectionLost(_) => AttemptFailure::ConnectionLost,
                    SendError::TooLarge(_) => AttemptFailure::Malformed,
                };
                (ConnectionNotice::Failed(attempt, failure), LinkState::Broken)
            }
        };
        self.reporter.report(notice).await;
        state
    }

    async fn cancel(&mut self, prepared: PreparedAttempt) -> LinkState {
        let PreparedAttempt { attempt, name, request, .. } = prepared;
        let peer = self.link.peer();
        let limit = usize::try_from(self.settings.answer_bytes.0).unwrap_or(usize::MAX);
        let sent = self.link.send(request, limit);
        let cause = match tokio::time::timeout(self.settings.cancel_time, sent).await {
            Ok(Ok(_)) => return LinkState::Usable,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        spdlog::debug!("request {}: cancel attempt {}: target {}: {}", name, attempt, peer, cause);
        LinkState::Broken
    }
}
