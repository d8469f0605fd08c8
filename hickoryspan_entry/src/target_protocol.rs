//! Client side of the targets' HTTP API, which `docs/TARGETS.md` describes: builds requests and
//! parses answers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hickoryspan_core::entry::interface::{AnswerStatus, AttemptRequest, AttemptWork, LoadReport};
use hickoryspan_core::types::{
    AttemptId, EntryId, IncarnationNumber, RequestId, SearchId, SnapshotVersion, TenantId,
};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_client::HttpAnswer;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::request::Builder;
use http::{HeaderMap, HeaderValue, Request};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::value::RawValue;

const QUERY_PATH: &str = "/v1/query";
const EXECUTE_PATH: &str = "/v1/execute";
const CANCEL_PATH: &str = "/v1/cancel";
/// Header that names the attempt, in requests and in their answers.
const ATTEMPT_HEADER: &str = "hs-attempt-id";

/// HTTP request to a target.
pub(crate) type TargetRequest = Request<Full<Bytes>>;

/// Data of a caller's request that is sent with each of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct CallContent {
    pub(crate) tenant: TenantId,
    pub(crate) search: SearchId,
    pub(crate) request: RequestId,
    /// JSON text that is passed to targets unchanged.
    pub(crate) body: Bytes,
}

/// Builds the requests that this entry process sends to targets.
#[derive(Clone, Debug)]
pub(crate) struct RequestBuilder {
    authorization: HeaderValue,
    /// Prefix that makes attempt ids unique across all entry processes.
    prefix: Arc<str>,
}

impl RequestBuilder {
    pub(crate) fn new(
        credential: &SharedCredential,
        entry: &EntryId,
        incarnation: IncarnationNumber,
    ) -> anyhow::Result<Self> {
        let mut authorization = HeaderValue::from_str(&credential.to_header())?;
        authorization.set_sensitive(true);
        Ok(Self { authorization, prefix: format!("{entry}/{incarnation}").into() })
    }

    fn start(&self, path: &str, address: SocketAddr, attempt: AttemptId) -> Builder {
        Request::post(path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, self.authorization.clone())
            .header(ATTEMPT_HEADER, format!("{}/{attempt}", self.prefix))
    }

    /// Builds the request that starts an attempt of a search or an order.
    pub(crate) fn build_attempt(
        &self,
        attempt_request: &AttemptRequest,
        content: &CallContent,
        address: SocketAddr,
    ) -> http::Result<TargetRequest> {
        let path = match attempt_request.work {
            AttemptWork::Search { .. } => QUERY_PATH,
            AttemptWork::Order => EXECUTE_PATH,
        };
        let mut builder = self
            .start(path, address, attempt_request.attempt)
            .header(CONTENT_TYPE, "application/json")
            .header("hs-deadline-ms", attempt_request.budget.as_millis().to_string())
            .header("hs-request-id", content.request.as_str())
            .header("hs-tenant", content.tenant.as_str())
            .header("hs-search", content.search.as_str());
        if let AttemptWork::Search { shard, snapshot } = &attempt_request.work {
            builder = builder
                .header("hs-shard", shard.as_str())
                .header("hs-snapshot", snapshot.to_string());
        }
        builder.body(Full::new(content.body.clone()))
    }

    /// Builds the request that cancels an attempt.
    pub(crate) fn build_cancel(
        &self,
        attempt: AttemptId,
        address: SocketAddr,
    ) -> http::Result<TargetRequest> {
        self.start(CANCEL_PATH, address, attempt).body(Full::default())
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StatusName {
    Done,
    Shed,
    Draining,
    SnapshotGone,
    Late,
    Error,
}

impl From<StatusName> for AnswerStatus {
    fn from(name: StatusName) -> Self {
        match name {
            StatusName::Done => Self::Done,
            StatusName::Shed => Self::Shed,
            StatusName::Draining => Self::Draining,
            StatusName::SnapshotGone => Self::SnapshotGone,
            StatusName::Late => Self::Late,
            StatusName::Error => Self::Error,
        }
    }
}

/// Fields of a target's answer that an entry reads. The hits and the result stay unparsed JSON
/// text.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct AnswerBody<'a> {
    status: StatusName,
    snapshot: Option<SnapshotVersion>,
    #[serde(borrow)]
    hits: Option<&'a RawValue>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

/// Parsed answer of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: AnswerStatus,
    pub(crate) load: Option<LoadReport>,
    pub(crate) snapshot: Option<SnapshotVersion>,
    /// Hits as a JSON array, or the result of an order as any JSON value; empty unless the status
    /// is `Done`.
    pub(crate) content: Bytes,
}

/// Part of an answer that is used as its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    Hits,
    Result,
}

impl TargetAnswer {
    /// Parses an answer. Returns `None` if it does not conform to the API.
    pub(crate) fn parse(answer: &HttpAnswer, kind: AnswerKind) -> Option<Self> {
        let body: AnswerBody<'_> = serde_json::from_slice(&answer.body).ok()?;
        let status = AnswerStatus::from(body.status);
        let part = match kind {
            AnswerKind::Hits => body.hits.map(RawValue::get).filter(|text| text.starts_with('[')),
            AnswerKind::Result => body.result.map(RawValue::get),
        };
        let content = match (status, part) {
            // Share the received buffer instead of copying large answers.
            (AnswerStatus::Done, Some(text)) => answer.body.slice_ref(text.as_bytes()),
            (AnswerStatus::Done, None) => return None,
            _ => Bytes::new(),
        };
        let load = parse_load(&answer.headers);
        Some(Self { status, load, snapshot: body.snapshot, content })
    }
}

/// Returns the name of the attempt in the headers of a request or of an answer. Targets of earlier releases do not name it.
pub(crate) fn named_attempt(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(ATTEMPT_HEADER)
}

/// Parses a load report such as `hs-load: running=2,queued=5`. Returns `None` if the header is
/// missing or malformed.
fn parse_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get("hs-load")?.to_str().ok()?;
    let (mut running, mut queued) = (None, None);
    for field in text.split(',') {
        let (name, value) = field.trim().split_once('=')?;
        match name {
            "running" => running = Some(value.parse().ok()?),
            "queued" => queued = Some(value.parse().ok()?),
            _ => {}
        }
    }
    Some(LoadReport { running: running?, queued: queued? })
}
