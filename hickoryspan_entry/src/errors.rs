//! Typed errors for requests that are refused before anything is sent to a target.

use std::borrow::Cow;

use hickoryspan_core::types::{EntryId, RequestId};
use hickoryspan_runtime::http_server::{BodyError, ResponseBody, json_response};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::measures::record_refusal;

/// The kinds of errors; the names in answers are stable.
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
}

impl CallerErrorKind {
    /// The status and the name, which also labels the metrics.
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
        }
    }
}

/// A refused request.
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
            BodyError::TooSlow(_) => CallerErrorKind::BodyTooSlow,
            BodyError::Incomplete => CallerErrorKind::BodyIncomplete,
        };
        Self::new(kind, error.to_string())
    }
}

/// Nothing ran, which the outcome states in the same words as in other answers.
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
    /// The response; `request_id` is absent if the request failed before its id was read.
    pub(crate) fn to_response(
        &self,
        entry: &EntryId,
        request_id: Option<&RequestId>,
    ) -> Response<ResponseBody> {
        let (status, name) = self.kind.describe();
        record_refusal(name);
        let body = ErrorBody {
            outcome: "not_run",
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
            // The rest of the body is still on its way, so the connection cannot be used further.
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        insert_request_id(&mut response, request_id);
        response
    }
}

/// Repeats the request id in the response's headers.
pub(crate) fn insert_request_id(
    response: &mut Response<ResponseBody>,
    request_id: Option<&RequestId>,
) {
    let value = request_id.and_then(|request_id| HeaderValue::from_str(request_id.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(HeaderName::from_static("hs-request-id"), value);
    }
}
