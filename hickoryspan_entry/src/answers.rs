//! Builds the HTTP responses to callers, as `docs/openapi.yaml` describes them.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::entry::interface::{AddressAnswer, ResponseReason};
use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{
    CoverageShare, EntryId, ParseValueError, RequestId, RevisionNumber, SnapshotVersion,
};
use hickoryspan_runtime::http_server::{ResponseBody, body_response, json_response};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::controller::CallerReply;
use crate::errors::insert_request_id;

const JSON: &str = "application/json";
/// Prefix that identifies the format version of a page token, so that later releases can change it.
const PAGE_TOKEN_PREFIX: &str = "1-";

/// Returns the name of an outcome in answers, logs and metrics.
pub(crate) fn outcome_name(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Complete => "complete",
        RequestOutcome::Partial => "partial",
        RequestOutcome::NotRun => "not_run",
        RequestOutcome::Failed => "failed",
        RequestOutcome::Unknown => "unknown",
    }
}

/// Token that pins the snapshot of an earlier page. It is opaque to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PageToken(pub(crate) SnapshotVersion);

impl fmt::Display for PageToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PAGE_TOKEN_PREFIX}{}", self.0)
    }
}

impl FromStr for PageToken {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let to_error = || ParseValueError::new("PageToken", text, "the page_token of an answer");
        let number = text.strip_prefix(PAGE_TOKEN_PREFIX).ok_or_else(to_error)?;
        number.parse().map(Self).map_err(|_| to_error())
    }
}

/// Fields of every answer to a search or an order, except for the hits or the result.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct AnswerHead<'a> {
    outcome: RequestOutcome,
    reason: Option<ResponseReason>,
    snapshot: Option<SnapshotVersion>,
    coverage: CoverageShare,
    entry: &'a EntryId,
    attempts: u32,
    extra_load: u32,
    retry_after_ms: Option<u64>,
    other_addresses: &'a [SocketAddr],
    revision: RevisionNumber,
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    page_token: Option<String>,
}

/// Content of an answer: the hits of a search, or the result of an order or a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContentKind {
    Search,
    Order,
}

/// Names of the entry and the request, which every answer contains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerContext<'a> {
    pub(crate) entry: &'a EntryId,
    pub(crate) request_id: &'a RequestId,
}

/// Returns the HTTP status for an outcome and its reason, as listed in `docs/openapi.yaml`.
pub(crate) fn answer_status(outcome: RequestOutcome, reason: Option<ResponseReason>) -> StatusCode {
    match (outcome, reason) {
        (RequestOutcome::Complete | RequestOutcome::Partial, _) => StatusCode::OK,
        (RequestOutcome::Failed, _) => StatusCode::BAD_GATEWAY,
        (RequestOutcome::Unknown, Some(ResponseReason::InProgress)) => StatusCode::ACCEPTED,
        (RequestOutcome::Unknown, Some(ResponseReason::Expired)) => StatusCode::GONE,
        (RequestOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (RequestOutcome::NotRun, Some(reason)) => refusal_status(reason),
        (RequestOutcome::NotRun, None) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_status(reason: ResponseReason) -> StatusCode {
    match reason {
        ResponseReason::Malformed => StatusCode::BAD_REQUEST,
        ResponseReason::UnknownName | ResponseReason::NotFound => StatusCode::NOT_FOUND,
        ResponseReason::Conflict => StatusCode::CONFLICT,
        ResponseReason::SnapshotGone | ResponseReason::Expired => StatusCode::GONE,
        ResponseReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        ResponseReason::LimitExceeded => StatusCode::TOO_MANY_REQUESTS,
        ResponseReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Builds the answer to a search, an order or a lookup.
pub(crate) fn build_answer(
    reply: &CallerReply,
    kind: ContentKind,
    context: AnswerContext<'_>,
) -> Response<ResponseBody> {
    let response = &reply.response;
    let page_snapshot = (kind == ContentKind::Search).then_some(response.snapshot).flatten();
    let head = AnswerHead {
        outcome: response.outcome,
        reason: response.reason,
        snapshot: response.snapshot,
        coverage: response.coverage,
        entry: context.entry,
        attempts: response.attempts,
        extra_load: response.extra_attempts,
        retry_after_ms: response.retry_after.map(to_millis),
        other_addresses: &response.other_addresses,
        revision: response.revision,
        request_id: context.request_id,
        page_token: page_snapshot.map(|snapshot| PageToken(snapshot).to_string()),
    };
    let status = answer_status(response.outcome, response.reason);
    let mut answer = match serde_json::to_vec(&head) {
        Ok(head) => body_response(status, JSON, append_content(head, reply, kind)),
        Err(error) => {
            spdlog::error!("request {}: encode answer: {}", context.request_id, error);
            body_response(StatusCode::INTERNAL_SERVER_ERROR, JSON, Bytes::from_static(b"{}"))
        }
    };
    insert_request_id(&mut answer, Some(context.request_id));
    if let Some(retry_after) = response.retry_after {
        // The header has a resolution of one second; `retry_after_ms` in the body is exact.
        let seconds = to_millis(retry_after).div_ceil(1000).max(1);
        answer.headers_mut().insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

/// Appends the hits or the result to the JSON object in `head`. Their JSON was validated when the
/// answers of the targets were parsed.
fn append_content(mut head: Vec<u8>, reply: &CallerReply, kind: ContentKind) -> Bytes {
    // Remove the closing brace, which is appended again after the content.
    head.pop();
    match kind {
        ContentKind::Search => {
            head.extend_from_slice(b",\"hits\":[");
            append_hits(&mut head, &reply.parts);
            head.push(b']');
        }
        ContentKind::Order => {
            head.extend_from_slice(b",\"result\":");
            head.extend_from_slice(order_result(reply));
        }
    }
    head.push(b'}');
    head.into()
}

/// Returns the result as JSON text, or `null` if the order did not complete. A recorded result
/// comes from another process, so it is validated again.
fn order_result(reply: &CallerReply) -> &[u8] {
    let part = reply.parts.first().map(Bytes::as_ref).filter(|part| !part.is_empty());
    let recorded = reply.response.recorded_body.as_deref();
    let recorded = recorded.filter(|text| serde_json::from_str::<&RawValue>(text).is_ok());
    part.or(recorded.map(str::as_bytes)).unwrap_or(b"null")
}

/// Appends the items of all parts, each a JSON array. The parts are in key order, so the hits are
/// too.
fn append_hits(head: &mut Vec<u8>, parts: &[Bytes]) {
    let mut is_first = true;
    for part in parts {
        let items = part.get(1..part.len().saturating_sub(1)).unwrap_or_default().trim_ascii();
        if items.is_empty() {
            continue;
        }
        if !is_first {
            head.push(b',');
        }
        head.extend_from_slice(items);
        is_first = false;
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct AddressBody<'a> {
    addresses: &'a [SocketAddr],
    lifetime_ms: u64,
    entry: &'a EntryId,
}

/// Builds the answer to a request for entry addresses.
pub(crate) fn build_addresses(
    answer: &AddressAnswer,
    context: AnswerContext<'_>,
) -> Response<ResponseBody> {
    let lifetime_ms = to_millis(answer.lifetime);
    let body = AddressBody { addresses: &answer.addresses, lifetime_ms, entry: context.entry };
    let mut response = json_response(StatusCode::OK, &body);
    insert_request_id(&mut response, Some(context.request_id));
    response
}
