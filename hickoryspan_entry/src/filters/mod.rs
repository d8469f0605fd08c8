//! The filter chain of caller requests (`docs/design.md`, section 6): each filter adds to the exchange or ends it.

mod body;
mod headers;
mod identity;
mod limits;
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
pub(crate) use identity::IdentityFilter;
pub(crate) use limits::LimitFilter;
pub(crate) use route::{CallerRoute, ROUTES, RouteFilter};
pub(crate) use run::{CallerPort, RunFilter};

/// A caller's request on its way through the chain.
pub(crate) struct CallerExchange {
    /// When the headers had arrived; the caller's remaining time counts from here.
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

/// The fields of a search's or an order's body.
pub(crate) struct DecodedBody {
    pub(crate) search: SearchId,
    /// The query or the order's content as JSON text.
    pub(crate) content: Bytes,
    pub(crate) pinned: Option<SnapshotVersion>,
}

/// What the machine is asked.
pub(crate) enum PreparedCall {
    Work(Box<CallerRequest>, CallContent),
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

/// The end of an exchange, or permission to go on.
pub(crate) type FilterResult = Result<ControlFlow<Response<ResponseBody>>, CallerError>;
/// The work of a filter on one exchange.
pub(crate) type FilterFuture<'a> = Pin<Box<dyn Future<Output = FilterResult> + Send + 'a>>;

/// One step of the chain.
pub(crate) trait RequestFilter: Send + Sync {
    /// Adds to the exchange, answers it, or refuses it.
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a>;
}

/// Lets the next filter go on.
pub(crate) const NEXT: FilterResult = Ok(ControlFlow::Continue(()));
