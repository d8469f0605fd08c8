//! Filter that turns a decoded request into a request to the entry machine.

use std::time::Instant;

use bytes::Bytes;
use hickoryspan_core::entry::interface::{CallerRequest, RequestKind};
use hickoryspan_core::types::{
    CallerId, ClassId, RequestFingerprint, RequestId, SearchId, TenantId, WallTime,
};

use super::{
    CONTINUE, CallerExchange, CallerRoute, DecodedBody, FilterFuture, PreparedCall, RequestFilter,
};
use crate::errors::{CallerError, CallerErrorKind};
use crate::target_protocol::CallContent;

/// Class of a request without the `hs-class` header. No sheet defines it, so the class with the
/// lowest priority applies.
const UNSPECIFIED_CLASS: &str = "unstated";
/// Placeholder for the search name in lookups, which do not use it.
const LOOKUP_SEARCH: &str = "lookup";

/// Builds the request to the entry machine: tenant, caller, class, search, fingerprint and
/// deadline.
pub(crate) struct PrepareFilter;

impl RequestFilter for PrepareFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            exchange.call = Some(prepare_call(exchange)?);
            CONTINUE
        })
    }
}

/// Values that earlier filters have already validated.
struct CallerIdentity {
    tenant: TenantId,
    caller: CallerId,
    request: RequestId,
    issued_at: WallTime,
}

fn require<T>(value: Option<T>, name: &'static str) -> Result<T, CallerError> {
    value.ok_or_else(|| CallerError::new(CallerErrorKind::MissingHeader, name))
}

fn prepare_call(exchange: &mut CallerExchange) -> Result<PreparedCall, CallerError> {
    let headers = &exchange.headers;
    let identity = CallerIdentity {
        tenant: require(headers.tenant.clone(), "hs-tenant")?,
        caller: require(headers.caller.clone(), "hs-caller")?,
        request: require(exchange.request_id.clone(), "hs-request-id")?,
        issued_at: headers.issued_at.unwrap_or_default(),
    };
    let CallerIdentity { request, issued_at, .. } = &identity;
    let (kind, body) = match &exchange.route {
        Some(CallerRoute::Addresses) => return Ok(PreparedCall::Addresses(identity.caller)),
        Some(CallerRoute::Lookup(order)) => {
            let kind = RequestKind::Lookup { request: order.clone(), issued_at: *issued_at };
            (kind, None)
        }
        Some(CallerRoute::Order) => {
            let kind = RequestKind::Order { request: request.clone(), issued_at: *issued_at };
            (kind, exchange.decoded.take())
        }
        Some(CallerRoute::Search) | None => {
            let body = exchange.decoded.take();
            (RequestKind::Search { pinned: body.as_ref().and_then(|body| body.pinned) }, body)
        }
    };
    let body = body.unwrap_or_else(|| DecodedBody {
        search: SearchId::new(LOOKUP_SEARCH).expect("the name is valid"),
        content: Bytes::new(),
        pinned: None,
    });
    let class = headers.class.clone();
    let class =
        class.unwrap_or_else(|| ClassId::new(UNSPECIFIED_CLASS).expect("the name is valid"));
    let elapsed = Instant::now().saturating_duration_since(exchange.arrival);
    let caller_request = CallerRequest {
        fingerprint: fingerprint(&identity.tenant, &body),
        tenant: identity.tenant.clone(),
        caller: identity.caller,
        class,
        search: body.search.clone(),
        kind,
        deadline: headers.deadline.map(|deadline| deadline.saturating_sub(elapsed)),
    };
    let content = CallContent {
        tenant: identity.tenant,
        search: body.search,
        request: identity.request,
        body: body.content,
    };
    Ok(PreparedCall::Request(Box::new(caller_request), content))
}

/// Computes the fingerprint. The service is not hashed, because tenant and search determine it.
fn fingerprint(tenant: &TenantId, body: &DecodedBody) -> RequestFingerprint {
    RequestFingerprint::of_parts([
        tenant.as_str().as_bytes(),
        body.search.as_str().as_bytes(),
        body.content.as_ref(),
    ])
}
