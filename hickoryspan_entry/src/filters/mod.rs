//! Filter chain for caller requests (`docs/design.md`, section 6). Each filter adds data to the
//! exchange or ends it with a response or an error.

mod body;
mod headers;
mod limits;
mod prepare;
mod route;
mod run;

use std::ops::ControlFlow;
use std::pin::Pin;
use std::time::Instant;

use bytes::Bytes;
use hickoryspan_core::entry::interface::CallerRequest;
use hickoryspan_core::types::{CallerId, RequestId, SearchId, SnapshotVersion};
use hickoryspan_runtime::http_server::ResponseBody;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;

use crate::errors::CallerError;
use crate::target_protocol::CallContent;

pub(crate) use body::{BodyFilter, DecodeFilter};
pub(crate) use headers::{CallerHeaders, HeaderFilter};
pub(crate) use limits::LimitFilter;
pub(crate) use prepare::PrepareFilter;
pub(crate) use route::{CallerRoute, ROUTES, RouteFilter};
pub(crate) use run::{ControllerHandle, RunFilter};

/// State of a caller's request while it passes through the filter chain.
pub(crate) struct CallerExchange {
    /// Time at which the headers were received. The caller's deadline counts from here.
    pub(crate) arrival: Instant,
    pub(crate) parts: Parts,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) permit: Option<OwnedSemaphorePermit>,
    pub(crate) route: Option<CallerRoute>,
    pub(crate) request_id: Option<RequestId>,
    pub(crate) headers: CallerHeaders,
    pub(crate) body: Bytes,
    pub(crate) decoded: Option<DecodedBody>,
    pub(crate) call: Option<PreparedCall>,
}

/// Decoded body of a search or an order.
pub(crate) struct DecodedBody {
    pub(crate) search: SearchId,
    /// Query of a search, or content of an order, as JSON text.
    pub(crate) content: Bytes,
    pub(crate) pinned: Option<SnapshotVersion>,
}

/// Request that is ready for the controller.
pub(crate) enum PreparedCall {
    Request(Box<CallerRequest>, CallContent),
    Addresses(CallerId),
}

impl CallerExchange {
    pub(crate) fn new(parts: Parts, incoming: Incoming) -> Self {
        Self {
            arrival: Instant::now(),
            parts,
            incoming: Some(incoming),
            permit: None,
            route: None,
            request_id: None,
            headers: CallerHeaders::default(),
            body: Bytes::new(),
            decoded: None,
            call: None,
        }
    }
}

/// Result of a filter: `Continue` runs the next filter, and `Break` ends the exchange with a
/// response.
pub(crate) type FilterResult = Result<ControlFlow<Response<ResponseBody>>, CallerError>;
/// Future of a filter that runs on one exchange.
pub(crate) type FilterFuture<'a> = Pin<Box<dyn Future<Output = FilterResult> + Send + 'a>>;

/// Step of the filter chain.
pub(crate) trait RequestFilter: Send + Sync {
    /// Adds data to the exchange, ends it with a response, or rejects the request with an error.
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a>;
}

/// Filter result that runs the next filter.
pub(crate) const CONTINUE: FilterResult = Ok(ControlFlow::Continue(()));
