//! Typed errors for requests that are rejected before anything is sent to a target, or that the end of the entry
//! interrupts.

use std::borrow::Cow;

use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{EntryId, RequestId};
use hickoryspan_runtime::http_server::{BodyError, ResponseBody, json_response};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::answers::outcome_name;
use crate::entry_metrics::record_refusal;

/// Kinds of request errors. Their names are part of the API and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallerErrorKind {
    UnknownRoute,
    MethodNotAllowed,
    MissingHeader,
    InvalidHeader,
    DuplicateHeader,
    UnsupportedMediaType,
    BodyTooLarge,
    BodyTooSlow,
    BodyIncomplete,
    MalformedBody,
    MalformedPageToken,
    DeadlinePassed,
    TooManyRequests,
    Stopping,
    /// The entry ended while the request was in work, so that its outcome is unknown.
    Interrupted,
}

impl CallerErrorKind {
    /// Returns the HTTP status and the error name, which also serves as a metric label.
    pub(crate) fn describe(self) -> (StatusCode, &'static str) {
        match self {
            Self::UnknownRoute => (StatusCode::NOT_FOUND, "unknown_route"),
            Self::MethodNotAllowed => (StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed"),
            Self::MissingHeader => (StatusCode::BAD_REQUEST, "missing_header"),
            Self::InvalidHeader => (StatusCode::BAD_REQUEST, "invalid_header"),
            Self::DuplicateHeader => (StatusCode::BAD_REQUEST, "duplicate_header"),
            Self::UnsupportedMediaType => {
                (StatusCode::UNSUPPORTED_MEDIA_TYPE, "unsupported_media_type")
            }
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Self::BodyTooSlow => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
            Self::BodyIncomplete => (StatusCode::BAD_REQUEST, "body_incomplete"),
            Self::MalformedBody => (StatusCode::BAD_REQUEST, "malformed_body"),
            Self::MalformedPageToken => (StatusCode::BAD_REQUEST, "malformed_page_token"),
            Self::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
            Self::TooManyRequests => (StatusCode::SERVICE_UNAVAILABLE, "too_many_requests"),
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Self::Interrupted => (StatusCode::GATEWAY_TIMEOUT, "interrupted"),
        }
    }

    fn outcome(self) -> RequestOutcome {
        match self {
            Self::Interrupted => RequestOutcome::Unknown,
            _ => RequestOutcome::NotRun,
        }
    }
}

/// Error that rejects a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerError {
    pub(crate) kind: CallerErrorKind,
    pub(crate) detail: Cow<'static, str>,
    pub(crate) allow: Option<&'static str>,
}

impl CallerError {
    pub(crate) fn new(kind: CallerErrorKind, detail: impl Into<Cow<'static, str>>) -> Self {
        Self { kind, detail: detail.into(), allow: None }
    }
}

impl From<BodyError> for CallerError {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::TooLarge(_) => CallerErrorKind::BodyTooLarge,
            BodyError::TooSlow(_) | BodyError::Displaced => CallerErrorKind::BodyTooSlow,
            BodyError::NoRoom => CallerErrorKind::TooManyRequests,
            BodyError::Incomplete => CallerErrorKind::BodyIncomplete,
        };
        Self::new(kind, error.to_string())
    }
}

/// Body of an error response. The outcome has the same name as in other answers.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorBody<'a> {
    outcome: &'static str,
    error: CallerErrorKind,
    detail: &'a str,
    entry: &'a EntryId,
    request_id: Option<&'a RequestId>,
}

impl CallerError {
    /// Builds the response. `request_id` is `None` if the request was rejected before its id was
    /// read.
    pub(crate) fn to_response(
        &self,
        entry: &EntryId,
        request_id: Option<&RequestId>,
    ) -> Response<ResponseBody> {
        let (status, name) = self.kind.describe();
        record_refusal(name);
        let body = ErrorBody {
            outcome: outcome_name(self.kind.outcome()),
            error: self.kind,
            detail: &self.detail,
            entry,
            request_id,
        };
        let mut response = json_response(status, &body);
        let headers = response.headers_mut();
        if let Some(allow) = self.allow {
            headers.insert(http::header::ALLOW, HeaderValue::from_static(allow));
        }
        if matches!(self.kind, CallerErrorKind::BodyTooSlow | CallerErrorKind::BodyTooLarge) {
            // The rest of the body has not been read, so the connection cannot be reused.
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        insert_request_id(&mut response, request_id);
        response
    }
}

/// Adds the request id to the headers of the response.
pub(crate) fn insert_request_id(
    response: &mut Response<ResponseBody>,
    request_id: Option<&RequestId>,
) {
    let value = request_id.and_then(|request_id| HeaderValue::from_str(request_id.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(HeaderName::from_static("hs-request-id"), value);
    }
}
