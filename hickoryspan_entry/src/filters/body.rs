//! Filters that read and decode request bodies.

use std::time::Instant;

use bytes::Bytes;
use hickoryspan_core::types::{ParseValueError, SearchId};
use hickoryspan_runtime::http_server::{HttpLimits, charge_of, read_body};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{CONTINUE, CallerExchange, CallerRoute, DecodedBody, FilterFuture, RequestFilter};
use crate::answers::PageToken;
use crate::errors::{CallerError, CallerErrorKind};

/// Reads the body and enforces the limits on its size and read time, and the caller's deadline.
pub(crate) struct BodyFilter {
    pub(crate) limits: HttpLimits,
}

impl RequestFilter for BodyFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let Some(incoming) = exchange.incoming.take() else { return CONTINUE };
            let charge = charge_of(&exchange.parts);
            exchange.body = read_body(incoming, &self.limits, charge.as_deref()).await?;
            let elapsed = Instant::now().saturating_duration_since(exchange.arrival);
            if exchange.headers.deadline.is_some_and(|deadline| deadline <= elapsed) {
                let detail = "the deadline passed while the body arrived";
                return Err(CallerError::new(CallerErrorKind::DeadlinePassed, detail));
            }
            CONTINUE
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
struct SearchBody<'a> {
    search: SearchId,
    #[serde(borrow)]
    query: &'a RawValue,
    page_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
struct OrderBody<'a> {
    order: SearchId,
    #[serde(borrow)]
    content: &'a RawValue,
}

/// Decodes the JSON body of searches and orders. The query or content in it stays unparsed JSON
/// text.
pub(crate) struct DecodeFilter;

impl RequestFilter for DecodeFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            exchange.decoded = match exchange.route {
                Some(CallerRoute::Search) => Some(decode_search(&exchange.body)?),
                Some(CallerRoute::Order) => Some(decode_order(&exchange.body)?),
                _ => None,
            };
            CONTINUE
        })
    }
}

fn malformed_body(error: &serde_json::Error) -> CallerError {
    CallerError::new(CallerErrorKind::MalformedBody, error.to_string())
}

fn decode_search(body: &Bytes) -> Result<DecodedBody, CallerError> {
    let decoded: SearchBody<'_> =
        serde_json::from_slice(body).map_err(|error| malformed_body(&error))?;
    let pinned = match decoded.page_token {
        Some(text) => {
            let to_error = |error: ParseValueError| {
                CallerError::new(CallerErrorKind::MalformedPageToken, error.to_string())
            };
            Some(text.parse::<PageToken>().map_err(to_error)?.0)
        }
        None => None,
    };
    let content = body.slice_ref(decoded.query.get().as_bytes());
    Ok(DecodedBody { search: decoded.search, content, pinned })
}

fn decode_order(body: &Bytes) -> Result<DecodedBody, CallerError> {
    let decoded: OrderBody<'_> =
        serde_json::from_slice(body).map_err(|error| malformed_body(&error))?;
    let content = body.slice_ref(decoded.content.get().as_bytes());
    Ok(DecodedBody { search: decoded.order, content, pinned: None })
}
