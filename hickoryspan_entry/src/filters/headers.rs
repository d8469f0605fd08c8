//! Reads the `hs-` headers.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::types::{CallerId, ClassId, RequestId, TenantId, WallTime};
use http::HeaderMap;
use http::header::CONTENT_TYPE;

use super::{CallerExchange, CallerRoute, FilterFuture, NEXT, RequestFilter};
use crate::errors::{CallerError, CallerErrorKind};

/// The prefix of the headers that the API defines.
const HEADER_PREFIX: &str = "hs-";
const REQUEST_ID: &str = "hs-request-id";
/// Random bits in a generated request id; enough that ids do not repeat within the time that logs are kept.
const GENERATED_BITS: usize = 64;

/// The values of the `hs-` headers.
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

/// Refuses repeated, unreadable and missing headers, and gives the request an id.
pub(crate) struct HeaderFilter;

impl RequestFilter for HeaderFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let headers = &exchange.parts.headers;
            check_repeats(headers)?;
            let given: Option<RequestId> = read_header(headers, REQUEST_ID)?;
            let is_order = exchange.route == Some(CallerRoute::Order);
            if is_order && given.is_none() {
                return Err(missing(REQUEST_ID));
            }
            exchange.request_id = Some(given.unwrap_or_else(generate_request_id));
            exchange.headers = CallerHeaders::read(headers)?;
            check_present(exchange)?;
            check_media_type(&exchange.parts.headers)?;
            NEXT
        })
    }
}

fn check_present(exchange: &CallerExchange) -> Result<(), CallerError> {
    let headers = &exchange.headers;
    if headers.tenant.is_none() {
        return Err(missing("hs-tenant"));
    }
    if headers.caller.is_none() {
        return Err(missing("hs-caller"));
    }
    let needs_issue_time =
        matches!(exchange.route, Some(CallerRoute::Order | CallerRoute::Lookup(_)));
    if needs_issue_time && headers.issued_at.is_none() {
        return Err(missing("hs-issued-at"));
    }
    if headers.deadline == Some(Duration::ZERO) {
        let detail = "hs-deadline-ms leaves no time";
        return Err(CallerError::new(CallerErrorKind::DeadlinePassed, detail));
    }
    Ok(())
}

fn missing(name: &'static str) -> CallerError {
    CallerError::new(CallerErrorKind::MissingHeader, name)
}

/// Two values would let two processes on the path disagree about which one counts.
fn check_repeats(headers: &HeaderMap) -> Result<(), CallerError> {
    let repeated = headers.keys().find(|name| {
        let is_own = name.as_str().starts_with(HEADER_PREFIX) || *name == CONTENT_TYPE;
        is_own && headers.get_all(*name).iter().nth(1).is_some()
    });
    match repeated {
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
    let fault = |cause: &dyn Display| {
        CallerError::new(CallerErrorKind::InvalidHeader, format!("{name}: {cause}"))
    };
    let text = value.to_str().map_err(|_| fault(&"not visible ASCII text"))?;
    text.parse().map(Some).map_err(|error| fault(&error))
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
    let digits = GENERATED_BITS / 4;
    let text = format!("g-{:0digits$x}", rand::random::<u64>());
    RequestId::new(text).expect("hexadecimal digits are valid")
}
