//! Filter that validates and parses the `hs-` headers.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::types::{CallerId, ClassId, RequestId, TenantId, WallTime};
use http::HeaderMap;
use http::header::CONTENT_TYPE;

use super::{CONTINUE, CallerExchange, CallerRoute, FilterFuture, RequestFilter};
use crate::errors::{CallerError, CallerErrorKind};

/// Prefix of the headers that the API defines.
const HEADER_PREFIX: &str = "hs-";
const REQUEST_ID: &str = "hs-request-id";
/// Random bits in a generated request id, enough to avoid collisions within the retention time of
/// the logs.
const GENERATED_ID_BITS: usize = 64;

/// Parsed values of the `hs-` headers; `None` if a header is missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerHeaders {
    pub(crate) tenant: Option<TenantId>,
    pub(crate) caller: Option<CallerId>,
    pub(crate) class: Option<ClassId>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) issued_at: Option<WallTime>,
}

impl CallerHeaders {
    fn read(headers: &HeaderMap) -> Result<Self, CallerError> {
        let millis: Option<u64> = read_header(headers, "hs-deadline-ms")?;
        Ok(Self {
            tenant: read_header(headers, "hs-tenant")?,
            caller: read_header(headers, "hs-caller")?,
            class: read_header(headers, "hs-class")?,
            deadline: millis.map(Duration::from_millis),
            issued_at: read_header(headers, "hs-issued-at")?,
        })
    }
}

/// Rejects duplicate, invalid and missing headers, and generates a request id if the caller sent
/// none.
pub(crate) struct HeaderFilter;

impl RequestFilter for HeaderFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let headers = &exchange.parts.headers;
            check_duplicates(headers)?;
            let sent_id: Option<RequestId> = read_header(headers, REQUEST_ID)?;
            let is_order = exchange.route == Some(CallerRoute::Order);
            if is_order && sent_id.is_none() {
                return Err(missing_header(REQUEST_ID));
            }
            exchange.request_id = Some(sent_id.unwrap_or_else(generate_request_id));
            exchange.headers = CallerHeaders::read(headers)?;
            check_present(exchange)?;
            check_media_type(&exchange.parts.headers)?;
            CONTINUE
        })
    }
}

fn check_present(exchange: &CallerExchange) -> Result<(), CallerError> {
    let headers = &exchange.headers;
    if headers.tenant.is_none() {
        return Err(missing_header("hs-tenant"));
    }
    if headers.caller.is_none() {
        return Err(missing_header("hs-caller"));
    }
    let needs_issue_time =
        matches!(exchange.route, Some(CallerRoute::Order | CallerRoute::Lookup(_)));
    if needs_issue_time && headers.issued_at.is_none() {
        return Err(missing_header("hs-issued-at"));
    }
    if headers.deadline == Some(Duration::ZERO) {
        let detail = "hs-deadline-ms leaves no time";
        return Err(CallerError::new(CallerErrorKind::DeadlinePassed, detail));
    }
    Ok(())
}

fn missing_header(name: &'static str) -> CallerError {
    CallerError::new(CallerErrorKind::MissingHeader, name)
}

/// Rejects duplicate headers, because two processes on the path could use different values.
fn check_duplicates(headers: &HeaderMap) -> Result<(), CallerError> {
    let duplicate = headers.keys().find(|name| {
        let is_own = name.as_str().starts_with(HEADER_PREFIX) || *name == CONTENT_TYPE;
        is_own && headers.get_all(*name).iter().nth(1).is_some()
    });
    match duplicate {
        Some(name) => Err(CallerError::new(CallerErrorKind::DuplicateHeader, name.to_string())),
        None => Ok(()),
    }
}

fn read_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, CallerError>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(value) = headers.get(name) else { return Ok(None) };
    let to_error = |cause: &dyn Display| {
        CallerError::new(CallerErrorKind::InvalidHeader, format!("{name}: {cause}"))
    };
    let text = value.to_str().map_err(|_| to_error(&"not visible ASCII text"))?;
    text.parse().map(Some).map_err(|error| to_error(&error))
}

fn check_media_type(headers: &HeaderMap) -> Result<(), CallerError> {
    let Some(value) = headers.get(CONTENT_TYPE) else { return Ok(()) };
    let essence = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    if essence.trim_ascii().eq_ignore_ascii_case(b"application/json") {
        return Ok(());
    }
    Err(CallerError::new(
        CallerErrorKind::UnsupportedMediaType,
        "the body must be application/json",
    ))
}

fn generate_request_id() -> RequestId {
    let digits = GENERATED_ID_BITS / 4;
    let text = format!("g-{:0digits$x}", rand::random::<u64>());
    RequestId::new(text).expect("hexadecimal digits are valid")
}
