//! Sends requests to the control replicas: tries the addresses in turn, follows the redirect to the leader and
//! repeats undecided requests until the timeout.
//!
//! Repeating is safe: questions change nothing, and a command carries its id (`docs/design.md`, section 9).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hickoryspan_core::control::interface::{AdminCommand, AdminOutcome};
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection, SendError};
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, LOCATION};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use crate::exit_status::ExitStatus;
use crate::pages::ErrorBody;
use crate::settings::ControlAccess;

/// Path of operator commands.
const COMMAND_PATH: &str = "/v1/admin/commands";
/// Redirects that one attempt follows; the leader may change while they are followed.
const MAX_REDIRECTS: usize = 2;
/// Time for opening a connection, so that a host that is down does not use up the timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for one attempt, so that a silent host leaves time for the other addresses.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a round over all addresses without a decision; an election takes a few of them.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Largest answer, far above the targets of the design scale.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request without a usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// Control refused the request; nothing changed.
    #[error("{step}: control {peer}: refused: {detail}")]
    Refused {
        /// The step that failed.
        step: Arc<str>,
        /// The replica that answered.
        peer: SocketAddr,
        /// The reason.
        detail: Arc<str>,
    },
    /// The request was sent and no decision arrived; it may have taken effect or may still do so.
    #[error("{step}: outcome unknown: {detail}")]
    Undecided {
        /// The step that failed.
        step: Arc<str>,
        /// The last fault of each address.
        detail: Arc<str>,
    },
    /// No replica took the request; nothing changed.
    #[error("{step}: not sent: {detail}")]
    Unreached {
        /// The step that failed.
        step: Arc<str>,
        /// The last fault of each address.
        detail: Arc<str>,
    },
    /// A question was sent and no answer arrived.
    #[error("{step}: no answer: {detail}")]
    Unanswered {
        /// The step that failed.
        step: Arc<str>,
        /// The last fault of each address.
        detail: Arc<str>,
    },
}

impl ClientError {
    /// The exit status of a run that ends with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused { .. } => ExitStatus::Refused,
            Self::Undecided { .. } => ExitStatus::OutcomeUnknown,
            Self::Unreached { .. } | Self::Unanswered { .. } => ExitStatus::Unreached,
        }
    }

    // A question changes nothing, so that its outcome cannot be unknown.
    fn of_question(self) -> Self {
        match self {
            Self::Undecided { step, detail } => Self::Unanswered { step, detail },
            other => other,
        }
    }
}

/// One request, with its step for errors.
struct ControlRequest {
    step: Arc<str>,
    method: Method,
    path: String,
    body: Bytes,
}

/// An answer other than a redirect or a lack of decision.
struct DecidedAnswer {
    peer: SocketAddr,
    answer: HttpAnswer,
}

/// What the attempts of one request met.
#[derive(Default)]
struct AttemptTrail {
    may_have_run: bool,
    faults: Vec<(SocketAddr, String)>,
}

impl AttemptTrail {
    fn note(&mut self, peer: SocketAddr, fault: impl ToString) {
        let fault = fault.to_string();
        match self.faults.iter_mut().find(|(known, _)| *known == peer) {
            Some((_, known)) => *known = fault,
            None => self.faults.push((peer, fault)),
        }
    }

    fn note_sent(&mut self, peer: SocketAddr, fault: impl ToString) {
        self.may_have_run = true;
        self.note(peer, fault);
    }

    fn into_error(self, step: Arc<str>) -> ClientError {
        let faults: Vec<String> =
            self.faults.iter().map(|(peer, fault)| format!("control {peer}: {fault}")).collect();
        let detail = match faults.is_empty() {
            true => "the timeout passed before the first attempt".into(),
            false => faults.join("; ").into(),
        };
        match self.may_have_run {
            true => ClientError::Undecided { step, detail },
            false => ClientError::Unreached { step, detail },
        }
    }
}

/// A client of the control replicas; its timeout runs from its creation.
pub struct ControlClient {
    access: ControlAccess,
    deadline: Instant,
}

impl ControlClient {
    /// A client whose requests together take at most the timeout.
    pub fn new(access: ControlAccess) -> Self {
        let deadline = Instant::now() + access.timeout;
        Self { access, deadline }
    }

    /// The time left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Asks a question; `None` if control has no such object.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        step: &str,
        path: impl Into<String>,
    ) -> Result<Option<T>, ClientError> {
        let step: Arc<str> = step.into();
        let request = ControlRequest {
            step: step.clone(),
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        };
        let exchanged = self.exchange(&request).await.map_err(ClientError::of_question)?;
        let DecidedAnswer { peer, answer } = exchanged.0;
        let refused = |detail: Arc<str>| ClientError::Refused { step: step.clone(), peer, detail };
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map(Some)
                .map_err(|error| refused(format!("the answer does not decode: {error}").into())),
            StatusCode::NOT_FOUND if error_word(&answer).as_deref() == Some("no_sheet") => Ok(None),
            _ => Err(refused(describe(&answer).into())),
        }
    }

    /// Asks a question about something that always exists.
    pub async fn read<T: DeserializeOwned>(
        &self,
        step: &str,
        path: impl Into<String>,
    ) -> Result<T, ClientError> {
        let missing = || ClientError::Unreached { step: step.into(), detail: "no content".into() };
        self.ask(step, path).await?.ok_or_else(missing)
    }

    /// Submits a command and returns control's decision.
    pub async fn submit(&self, command: &AdminCommand) -> Result<AdminOutcome, ClientError> {
        let step: Arc<str> = format!("submit command {}", command.command).into();
        let body = match serde_json::to_vec(command) {
            Ok(body) => body.into(),
            Err(error) => {
                let detail = format!("encode: {error}").into();
                return Err(ClientError::Unreached { step, detail });
            }
        };
        let request =
            ControlRequest { step, method: Method::POST, path: COMMAND_PATH.into(), body };
        let (DecidedAnswer { peer, answer }, trail) = self.exchange(&request).await?;
        let step = request.step;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                serde_json::from_slice(&answer.body).map_err(|error| {
                    let detail = format!("control {peer}: the answer does not decode: {error}");
                    ClientError::Undecided { step, detail: detail.into() }
                })
            }
            // A refusal of this attempt says nothing about an earlier one.
            _ if trail.may_have_run => {
                let mut trail = trail;
                trail.note(peer, describe(&answer));
                Err(trail.into_error(step))
            }
            _ => Err(ClientError::Refused { step, peer, detail: describe(&answer).into() }),
        }
    }

    async fn exchange(
        &self,
        request: &ControlRequest,
    ) -> Result<(DecidedAnswer, AttemptTrail), ClientError> {
        let mut trail = AttemptTrail::default();
        while !self.remaining().is_zero() {
            for address in &self.access.addresses {
                if let Some(answer) = self.attempt(*address, request, &mut trail).await {
                    return Ok((answer, trail));
                }
            }
            sleep(ROUND_PAUSE.min(self.remaining())).await;
        }
        Err(trail.into_error(request.step.clone()))
    }

    async fn attempt(
        &self,
        first: SocketAddr,
        request: &ControlRequest,
        trail: &mut AttemptTrail,
    ) -> Option<DecidedAnswer> {
        let mut peer = first;
        for _ in 0..=MAX_REDIRECTS {
            let answer = self.send(peer, request, trail).await?;
            if answer.status == StatusCode::TEMPORARY_REDIRECT {
                let Some(leader) = leader_address(&answer) else {
                    trail.note(peer, "redirect without an IP address and port");
                    return None;
                };
                trail.note(peer, format!("redirect to {leader}"));
                peer = leader;
                continue;
            }
            if answer.status.is_server_error() {
                trail.note_sent(peer, describe(&answer));
                return None;
            }
            return Some(DecidedAnswer { peer, answer });
        }
        None
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: &ControlRequest,
        trail: &mut AttemptTrail,
    ) -> Option<HttpAnswer> {
        let message = match self.encode(peer, request) {
            Ok(message) => message,
            Err(error) => {
                trail.note(peer, format!("{error:#}"));
                return None;
            }
        };
        let connect_time = CONNECT_TIMEOUT.min(self.remaining());
        let mut connection = match HttpConnection::open(peer, connect_time).await {
            Ok(connection) => connection,
            Err(error) => {
                trail.note(peer, format!("connect: {error}"));
                return None;
            }
        };
        let limit = ATTEMPT_TIMEOUT.min(self.remaining());
        let answer = timeout(limit, connection.send(message, MAX_ANSWER_BYTES)).await;
        connection.close().await;
        match answer {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(error @ SendError::NotSent(_))) => trail.note(peer, error),
            Ok(Err(error)) => trail.note_sent(peer, error),
            // Whether a byte was written is not asked: an unknown outcome is the careful report.
            Err(_) => trail.note_sent(peer, format!("no answer within {limit:?}")),
        }
        None
    }

    fn encode(
        &self,
        peer: SocketAddr,
        request: &ControlRequest,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(HOST, peer.to_string())
            .header(AUTHORIZATION, self.access.credential.to_header())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))
            .with_context(|| format!("encode request {}", request.path))
    }
}

fn leader_address(answer: &HttpAnswer) -> Option<SocketAddr> {
    let location = answer.headers.get(LOCATION)?.to_str().ok()?;
    let uri: Uri = location.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}

fn error_word(answer: &HttpAnswer) -> Option<Arc<str>> {
    serde_json::from_slice::<ErrorBody>(&answer.body).ok().map(|body| body.error)
}

fn describe(answer: &HttpAnswer) -> String {
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => format!("{}: {}", answer.status, body.detail),
        Err(_) => answer.status.to_string(),
    }
}
