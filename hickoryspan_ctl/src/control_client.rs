//! HTTP client for the control replicas. Tries their addresses in turn, follows redirects to the leader and retries
//! until the timeout.
//!
//! Retries are safe: reads change nothing, and commands are idempotent by their command id (`docs/design.md`, section
//! 9).

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

/// Path for submitting commands.
const COMMAND_PATH: &str = "/v1/admin/commands";
/// Maximum number of redirects per attempt. More than one is needed if the leader changes in between.
const MAX_REDIRECTS: usize = 2;
/// Timeout for opening a connection, so that a host that is down does not use up the timeout of the run.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one request, so that an unresponsive host leaves time for the other addresses.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before all addresses are tried again. A leader election takes a few of these delays.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum size of a response body, far above the list of targets at the design scale.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Error of a request to the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// A control replica rejected the request; nothing changed.
    #[error("{step}: control {peer}: refused: {detail}")]
    Refused {
        /// Name of the failed step.
        step: Arc<str>,
        /// Address of the replica that responded.
        peer: SocketAddr,
        /// Reason given by the replica.
        detail: Arc<str>,
    },
    /// The request was sent, but no decision was received. It may have taken effect or may still do so.
    #[error("{step}: outcome unknown: {detail}")]
    OutcomeUnknown {
        /// Name of the failed step.
        step: Arc<str>,
        /// Last error of each replica.
        detail: Arc<str>,
    },
    /// No replica handled the request; nothing changed.
    #[error("{step}: not sent: {detail}")]
    NotSent {
        /// Name of the failed step.
        step: Arc<str>,
        /// Last error of each replica.
        detail: Arc<str>,
    },
    /// A read was sent, but no response was received.
    #[error("{step}: no answer: {detail}")]
    NoResponse {
        /// Name of the failed step.
        step: Arc<str>,
        /// Last error of each replica.
        detail: Arc<str>,
    },
}

impl ClientError {
    /// Returns the exit status of a run that ends with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused { .. } => ExitStatus::Refused,
            Self::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            Self::NotSent { .. } | Self::NoResponse { .. } => ExitStatus::Unavailable,
        }
    }

    // A read changes nothing, so its outcome cannot be unknown.
    fn for_read(self) -> Self {
        match self {
            Self::OutcomeUnknown { step, detail } => Self::NoResponse { step, detail },
            other => other,
        }
    }
}

/// A request and the name of its step, which appears in errors.
struct ControlRequest {
    step: Arc<str>,
    method: Method,
    path: String,
    body: Bytes,
}

/// A response that is neither a redirect nor a server error, and the replica that sent it.
struct FinalResponse {
    peer: SocketAddr,
    answer: HttpAnswer,
}

/// Errors of the attempts of one request.
#[derive(Default)]
struct AttemptErrors {
    /// Whether an attempt without a decision may have reached a replica.
    may_have_run: bool,
    /// Last error of each replica.
    last_errors: Vec<(SocketAddr, String)>,
}

impl AttemptErrors {
    fn record(&mut self, peer: SocketAddr, error: impl ToString) {
        let error = error.to_string();
        match self.last_errors.iter_mut().find(|(known, _)| *known == peer) {
            Some((_, known)) => *known = error,
            None => self.last_errors.push((peer, error)),
        }
    }

    /// Records an error of a request that may have reached the replica.
    fn record_sent(&mut self, peer: SocketAddr, error: impl ToString) {
        self.may_have_run = true;
        self.record(peer, error);
    }

    fn into_error(self, step: Arc<str>) -> ClientError {
        let errors: Vec<String> = self
            .last_errors
            .iter()
            .map(|(peer, error)| format!("control {peer}: {error}"))
            .collect();
        let detail = match errors.is_empty() {
            true => "the timeout passed before the first attempt".into(),
            false => errors.join("; ").into(),
        };
        match self.may_have_run {
            true => ClientError::OutcomeUnknown { step, detail },
            false => ClientError::NotSent { step, detail },
        }
    }
}

/// Client of the control replicas. Its timeout starts when it is created.
pub struct ControlClient {
    access: ControlAccess,
    deadline: Instant,
}

impl ControlClient {
    /// Creates a client. The timeout applies to all its requests together.
    pub fn new(access: ControlAccess) -> Self {
        let deadline = Instant::now() + access.timeout;
        Self { access, deadline }
    }

    /// Returns the time left until the timeout expires.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Reads an object. Returns `None` if the requested sheet does not exist.
    pub async fn read_optional<T: DeserializeOwned>(
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
        let response = self.send_with_retries(&request).await.map_err(ClientError::for_read)?;
        let FinalResponse { peer, answer } = response.0;
        let refused = |detail: Arc<str>| ClientError::Refused { step: step.clone(), peer, detail };
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map(Some)
                .map_err(|error| refused(format!("the answer does not decode: {error}").into())),
            StatusCode::NOT_FOUND if error_code(&answer).as_deref() == Some("no_sheet") => Ok(None),
            _ => Err(refused(describe(&answer).into())),
        }
    }

    /// Reads an object that always exists.
    pub async fn read<T: DeserializeOwned>(
        &self,
        step: &str,
        path: impl Into<String>,
    ) -> Result<T, ClientError> {
        let missing = || ClientError::NotSent { step: step.into(), detail: "no content".into() };
        self.read_optional(step, path).await?.ok_or_else(missing)
    }

    /// Submits a command and returns its outcome.
    pub async fn submit(&self, command: &AdminCommand) -> Result<AdminOutcome, ClientError> {
        let step: Arc<str> = format!("submit command {}", command.command).into();
        let body = match serde_json::to_vec(command) {
            Ok(body) => body.into(),
            Err(error) => {
                let detail = format!("encode: {error}").into();
                return Err(ClientError::NotSent { step, detail });
            }
        };
        let request =
            ControlRequest { step, method: Method::POST, path: COMMAND_PATH.into(), body };
        let (FinalResponse { peer, answer }, errors) = self.send_with_retries(&request).await?;
        let step = request.step;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                serde_json::from_slice(&answer.body).map_err(|error| {
                    let detail = format!("control {peer}: the answer does not decode: {error}");
                    ClientError::OutcomeUnknown { step, detail: detail.into() }
                })
            }
            // The rejection of this attempt says nothing about the earlier ones.
            _ if errors.may_have_run => {
                let mut errors = errors;
                errors.record(peer, describe(&answer));
                Err(errors.into_error(step))
            }
            _ => Err(ClientError::Refused { step, peer, detail: describe(&answer).into() }),
        }
    }

    async fn send_with_retries(
        &self,
        request: &ControlRequest,
    ) -> Result<(FinalResponse, AttemptErrors), ClientError> {
        let mut errors = AttemptErrors::default();
        while !self.remaining().is_zero() {
            for address in &self.access.addresses {
                if let Some(answer) = self.follow_redirects(*address, request, &mut errors).await {
                    return Ok((answer, errors));
                }
            }
            sleep(RETRY_DELAY.min(self.remaining())).await;
        }
        Err(errors.into_error(request.step.clone()))
    }

    async fn follow_redirects(
        &self,
        first: SocketAddr,
        request: &ControlRequest,
        errors: &mut AttemptErrors,
    ) -> Option<FinalResponse> {
        let mut peer = first;
        for _ in 0..=MAX_REDIRECTS {
            let answer = self.send_once(peer, request, errors).await?;
            if answer.status == StatusCode::TEMPORARY_REDIRECT {
                let Some(leader) = leader_address(&answer) else {
                    errors.record(peer, "redirect without an IP address and port");
                    return None;
                };
                errors.record(peer, format!("redirect to {leader}"));
                peer = leader;
                continue;
            }
            if answer.status.is_server_error() {
                errors.record_sent(peer, describe(&answer));
                return None;
            }
            return Some(FinalResponse { peer, answer });
        }
        None
    }

    async fn send_once(
        &self,
        peer: SocketAddr,
        request: &ControlRequest,
        errors: &mut AttemptErrors,
    ) -> Option<HttpAnswer> {
        let message = match self.build_message(peer, request) {
            Ok(message) => message,
            Err(error) => {
                errors.record(peer, format!("{error:#}"));
                return None;
            }
        };
        let connect_time = CONNECT_TIMEOUT.min(self.remaining());
        let mut connection = match HttpConnection::open(peer, connect_time).await {
            Ok(connection) => connection,
            Err(error) => {
                errors.record(peer, format!("connect: {error}"));
                return None;
            }
        };
        let limit = ATTEMPT_TIMEOUT.min(self.remaining());
        let answer = timeout(limit, connection.send(message, MAX_RESPONSE_BYTES)).await;
        connection.close().await;
        match answer {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(error @ SendError::NotSent(_))) => errors.record(peer, error),
            Ok(Err(error)) => errors.record_sent(peer, error),
            // The request may not have been written yet. An unknown outcome is the safe assumption.
            Err(_) => errors.record_sent(peer, format!("no answer within {limit:?}")),
        }
        None
    }

    fn build_message(
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

fn error_code(answer: &HttpAnswer) -> Option<Arc<str>> {
    serde_json::from_slice::<ErrorBody>(&answer.body).ok().map(|body| body.error)
}

fn describe(answer: &HttpAnswer) -> String {
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => format!("{}: {}", answer.status, body.detail),
        Err(_) => answer.status.to_string(),
    }
}
