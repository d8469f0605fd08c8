//! HTTP routes of a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{ShardId, SnapshotVersion};
use hickoryspan_runtime::clock::wall_time;
use hickoryspan_runtime::http_server::{
    HttpLimits, ResponseBody, json_response, read_body, text_response,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::documents::{DocumentHit, find_hits};
use crate::faults::{FaultCommand, FaultEvent};
use crate::record::{RunEnd, RunKind, RunRecord};
use crate::state::{AdmitRefusal, ConnectionIndex, QueueTicket, TargetState};

/// Response header with the load report.
const LOAD_HEADER: &str = "hs-load";
/// Header that names the attempt, in requests and in their answers.
const ATTEMPT_HEADER: &str = "hs-attempt-id";

/// Body of a response; fields that are `None` are omitted.
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
struct ReplyBody<'a> {
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot: Option<SnapshotVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hits: Option<Vec<DocumentHit>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<OrderReceipt<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct OrderReceipt<'a> {
    request: &'a str,
    target: &'a str,
}

fn reply(status: StatusCode, body: &ReplyBody<'_>) -> Response<ResponseBody> {
    json_response(status, body)
}

fn status_reply(status: StatusCode, name: &'static str) -> Response<ResponseBody> {
    reply(status, &ReplyBody { status: name, ..ReplyBody::default() })
}

fn error_reply(status: StatusCode, detail: &str) -> Response<ResponseBody> {
    let body = ReplyBody { status: "error", detail: Some(detail), ..ReplyBody::default() };
    reply(status, &body)
}

fn find_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parsed headers of a query or order.
struct WorkHeaders {
    request: String,
    attempt: String,
    deadline: Instant,
    shard: Option<ShardId>,
    snapshot: Option<SnapshotVersion>,
}

impl WorkHeaders {
    fn parse(headers: &HeaderMap) -> Result<Self, &'static str> {
        let attempt = find_header(headers, ATTEMPT_HEADER).ok_or("hs-attempt-id is missing")?;
        let remaining_ms = find_header(headers, "hs-deadline-ms")
            .and_then(|text| text.parse().ok())
            .ok_or("hs-deadline-ms is missing or not a whole number")?;
        let deadline = Instant::now()
            .checked_add(Duration::from_millis(remaining_ms))
            .ok_or("hs-deadline-ms is too large")?;
        Ok(Self {
            request: find_header(headers, "hs-request-id").unwrap_or_default().to_owned(),
            attempt: attempt.to_owned(),
            deadline,
            shard: parse_optional(headers, "hs-shard").ok_or("hs-shard is not valid")?,
            snapshot: parse_optional(headers, "hs-snapshot").ok_or("hs-snapshot is not valid")?,
        })
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Parses a header that may be absent.
///
/// Returns `Some(None)` if the header is absent, and `None` if it is present but invalid.
fn parse_optional<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<Option<T>> {
    let Some(value) = headers.get(name) else { return Some(None) };
    value.to_str().ok()?.parse().ok().map(Some)
}

/// A running request with its slot.
struct SlotGrant {
    ticket: QueueTicket,
    cancelled: CancellationToken,
    partition: Option<PartitionRecord>,
}

/// Reason why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunRefusal {
    Draining,
    Shed,
    SnapshotGone,
    Late,
}

impl RunRefusal {
    fn to_response(self) -> Response<ResponseBody> {
        match self {
            Self::Draining => status_reply(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            Self::Shed => status_reply(StatusCode::SERVICE_UNAVAILABLE, "shed"),
            Self::SnapshotGone => status_reply(StatusCode::GONE, "snapshot_gone"),
            Self::Late => status_reply(StatusCode::GATEWAY_TIMEOUT, "late"),
        }
    }
}

impl From<AdmitRefusal> for RunRefusal {
    fn from(refusal: AdmitRefusal) -> Self {
        match refusal {
            AdmitRefusal::Draining => Self::Draining,
            AdmitRefusal::Shed => Self::Shed,
        }
    }
}

/// Handles the requests of one connection.
pub(crate) struct TargetHandler {
    pub(crate) state: Arc<TargetState>,
    pub(crate) connection: ConnectionIndex,
}

impl TargetHandler {
    /// Handles one request. On a stalled connection, it never returns.
    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        self.state.count_request();
        self.block_if_stalled().await;
        self.simulate_network_delay().await;
        let mut response = self.route(request).await;
        self.simulate_network_delay().await;
        // The connection may have been stalled while the request ran.
        self.block_if_stalled().await;
        spdlog::debug!("target: {}: status {}", peer, response.status());
        if self.state.settings.reports_load {
            let load = self.state.load();
            let text = format!("running={},queued={}", load.running, load.queued);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(LOAD_HEADER, value);
            }
        }
        response
    }

    async fn simulate_network_delay(&self) {
        let one_way = self.state.settings.network_delay / 2;
        if !one_way.is_zero() {
            tokio::time::sleep(one_way).await;
        }
    }

    async fn block_if_stalled(&self) {
        if self.state.is_stalled(self.connection) {
            std::future::pending::<()>().await;
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let settings = &self.state.settings;
        if settings
            .credential
            .as_ref()
            .is_some_and(|secret| !secret.matches_headers(&parts.headers))
        {
            return error_reply(StatusCode::UNAUTHORIZED, "the credential is missing or wrong");
        }
        let limits = HttpLimits {
            body_bytes: usize::try_from(settings.body_bytes.0).unwrap_or(usize::MAX),
            read_time: settings.read_time,
            ..HttpLimits::default()
        };
        let body = match read_body(body, &limits, None).await {
            Ok(body) => body,
            Err(error) => return error_reply(error.status(), &error.to_string()),
        };
        let mut response = match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/query") => self.run(RunKind::Query, &parts.headers, body).await,
            (&Method::POST, "/v1/execute") => self.run(RunKind::Order, &parts.headers, body).await,
            (&Method::POST, "/v1/cancel") => self.cancel(&parts.headers),
            (&Method::POST, "/v1/drain") => {
                self.state.drain();
                status_reply(StatusCode::OK, "draining")
            }
            (&Method::GET, "/v1/record") => {
                json_response(StatusCode::OK, &self.state.record_page())
            }
            (&Method::POST, "/v1/faults") if settings.allow_faults => self.set_faults(&body),
            _ => text_response(StatusCode::NOT_FOUND, "no such route"),
        };
        // Tells a late answer from the one that is due.
        if let Some(attempt) = parts.headers.get(ATTEMPT_HEADER) {
            response.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
        }
        response
    }

    fn cancel(&self, headers: &HeaderMap) -> Response<ResponseBody> {
        let Some(attempt) = find_header(headers, ATTEMPT_HEADER) else {
            return error_reply(StatusCode::BAD_REQUEST, "hs-attempt-id is missing");
        };
        let status = if self.state.cancel(attempt) { "cancelled" } else { "absent" };
        status_reply(StatusCode::OK, status)
    }

    fn set_faults(&self, body: &Bytes) -> Response<ResponseBody> {
        let command: FaultCommand = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(settings) = command.settings {
            self.state.set_faults(settings);
        }
        if let Some(event) = command.event {
            self.state.inject_event(event);
        }
        json_response(StatusCode::OK, &self.state.faults())
    }

    /// Runs a query or order if it gets a slot, and returns the response.
    async fn run(&self, kind: RunKind, headers: &HeaderMap, body: Bytes) -> Response<ResponseBody> {
        let work = match WorkHeaders::parse(headers) {
            Ok(work) => work,
            Err(detail) => return error_reply(StatusCode::BAD_REQUEST, detail),
        };
        let SlotGrant { ticket, cancelled, partition } = match self.acquire_slot(kind, &work).await
        {
            Ok(grant) => grant,
            Err(refusal) => return refusal.to_response(),
        };
        self.crash_on_marker(&body).await;
        let end = self.occupy_slot(kind, &work, &cancelled).await;
        ticket.finish(end);
        match end {
            RunEnd::Done => self.answer(kind, &work, &body, partition),
            RunEnd::Cancelled => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "cancelled"),
            RunEnd::DeadlinePassed => {
                error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the deadline passed")
            }
            _ => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the run failed"),
        }
    }

    /// Waits for a slot and records the start of the run. A refused request is never recorded.
    async fn acquire_slot(
        &self,
        kind: RunKind,
        work: &WorkHeaders,
    ) -> Result<SlotGrant, RunRefusal> {
        if work.remaining() < self.state.settings.service_time {
            return Err(RunRefusal::Late);
        }
        let mut ticket = self.state.admit(&work.attempt)?;
        let cancelled = ticket.cancelled();
        let permit = tokio::select! {
            biased;
            () = cancelled.cancelled() => return Err(RunRefusal::Shed),
            () = tokio::time::sleep(work.remaining()) => return Err(RunRefusal::Late),
            permit = ticket.wait() => permit.ok_or(RunRefusal::Draining)?,
        };
        let partition = match (kind, &work.shard, work.snapshot) {
            (RunKind::Query, Some(shard), Some(snapshot)) => {
                let found = self.state.find_partition(shard, snapshot);
                Some(found.ok_or(RunRefusal::SnapshotGone)?)
            }
            _ => None,
        };
        ticket.start(permit, self.run_record(kind, work));
        Ok(SlotGrant { ticket, cancelled, partition })
    }

    fn answer(
        &self,
        kind: RunKind,
        work: &WorkHeaders,
        body: &Bytes,
        partition: Option<PartitionRecord>,
    ) -> Response<ResponseBody> {
        let max_hits = self.state.settings.max_hits;
        let hits = || partition.iter().flat_map(|part| find_hits(body, part, max_hits)).collect();
        let receipt =
            || OrderReceipt { request: &work.request, target: self.state.settings.target.as_str() };
        let answer = ReplyBody {
            status: "done",
            snapshot: work.snapshot,
            hits: (kind == RunKind::Query).then(hits),
            result: (kind == RunKind::Order).then(receipt),
            detail: None,
        };
        reply(StatusCode::OK, &answer)
    }

    fn run_record(&self, kind: RunKind, work: &WorkHeaders) -> RunRecord {
        RunRecord {
            request: work.request.clone(),
            attempt: work.attempt.clone(),
            kind,
            shard: work.shard.as_ref().map(ToString::to_string),
            snapshot: work.snapshot,
            incarnation: self.state.incarnation(),
            started: wall_time(),
            ended: None,
            end: None,
        }
    }

    async fn crash_on_marker(&self, body: &Bytes) {
        let Some(marker) = self.state.faults().crash_marker else { return };
        if marker.is_empty() || !body.windows(marker.len()).any(|part| part == marker.as_bytes()) {
            return;
        }
        self.state.inject_event(FaultEvent::Crash);
        // The simulated crash closes the connection, which drops this future.
        std::future::pending::<()>().await;
    }

    /// Occupies the slot for the service time.
    ///
    /// A started order always runs to completion, because it must not be left partially executed.
    async fn occupy_slot(
        &self,
        kind: RunKind,
        work: &WorkHeaders,
        cancelled: &CancellationToken,
    ) -> RunEnd {
        let service_time = tokio::time::sleep(self.state.sample_service_time());
        let end = match kind {
            RunKind::Order => {
                service_time.await;
                RunEnd::Done
            }
            RunKind::Query => tokio::select! {
                biased;
                () = cancelled.cancelled() => RunEnd::Cancelled,
                () = service_time => RunEnd::Done,
                () = tokio::time::sleep(work.remaining()) => RunEnd::DeadlinePassed,
            },
        };
        match end {
            RunEnd::Done if self.state.faults().fail_requests => RunEnd::Error,
            end => end,
        }
    }
}
