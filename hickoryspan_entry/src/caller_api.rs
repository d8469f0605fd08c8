//! HTTP API for callers.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;

use hickoryspan_core::types::EntryId;
use hickoryspan_runtime::http_server::{
    HttpHandler, HttpLimits, ResponseBody, ResponseFuture, body_response,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::errors::CallerError;
use crate::filters::{
    BodyFilter, CallerExchange, ControllerHandle, DecodeFilter, FilterResult, HeaderFilter,
    LimitFilter, PrepareFilter, ROUTES, RequestFilter, RouteFilter, RunFilter,
};

/// Method and path of each route for callers, as described in `docs/openapi.yaml`.
pub const CALLER_ROUTES: [(&str, &str); 4] = ROUTES;

/// Handles callers' requests by running the filter chain.
pub(crate) struct CallerApi {
    entry: EntryId,
    filters: Vec<Box<dyn RequestFilter>>,
}

impl CallerApi {
    pub(crate) fn new(handle: ControllerHandle, limits: HttpLimits, requests: usize) -> Self {
        let entry = handle.entry.clone();
        let filters: Vec<Box<dyn RequestFilter>> = vec![
            Box::new(LimitFilter::new(requests)),
            Box::new(RouteFilter),
            Box::new(HeaderFilter),
            Box::new(BodyFilter { limits }),
            Box::new(DecodeFilter),
            Box::new(PrepareFilter),
            Box::new(RunFilter { handle: Arc::new(handle) }),
        ];
        Self { entry, filters }
    }

    async fn run_filters(&self, exchange: &mut CallerExchange) -> FilterResult {
        for filter in &self.filters {
            if let ControlFlow::Break(response) = filter.apply(exchange).await? {
                return Ok(ControlFlow::Break(response));
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    fn reject(
        &self,
        error: &CallerError,
        exchange: &CallerExchange,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        let request_id = exchange.request_id.as_ref();
        let request_text = request_id.map(ToString::to_string).unwrap_or_default();
        let (_, name) = error.kind.describe();
        spdlog::debug!("request {}: caller {}: {}: {}", request_text, peer, name, error.detail);
        error.to_response(&self.entry, request_id)
    }
}

impl HttpHandler for CallerApi {
    fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move {
            let (parts, incoming) = request.into_parts();
            let mut exchange = CallerExchange::new(parts, incoming);
            match self.run_filters(&mut exchange).await {
                Ok(ControlFlow::Break(response)) => response,
                Ok(ControlFlow::Continue(())) => {
                    spdlog::error!("caller {}: no filter produced a response", peer);
                    body_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "")
                }
                Err(error) => self.reject(&error, &exchange, peer),
            }
        })
    }
}
