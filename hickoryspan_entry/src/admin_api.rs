//! HTTP API for metrics and health checks, served on a separate address.

use std::net::SocketAddr;
use std::sync::Arc;

use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::{
    HttpHandler, ResponseBody, ResponseFuture, body_response, text_response,
};
use hickoryspan_runtime::metrics_page::MetricsPage;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::readiness::ReadinessState;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Method and path of each route for metrics and health checks, as described in
/// `docs/openapi.yaml`.
pub const HEALTH_ROUTES: [(&str, &str); 3] =
    [("GET", "/metrics"), ("GET", "/healthz"), ("GET", "/readyz")];

/// Serves `/metrics`, `/healthz` and `/readyz`. Only `/metrics` requires the credential: the health
/// routes return nothing but a status, and the probes of the platform send no credential.
pub(crate) struct AdminApi {
    pub(crate) metrics: MetricsPage,
    pub(crate) credential: SharedCredential,
    pub(crate) readiness: Arc<ReadinessState>,
}

impl AdminApi {
    fn answer(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is accepted");
        }
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "ok"),
            "/readyz" => match self.readiness.check() {
                Ok(()) => text_response(StatusCode::OK, "ready"),
                Err(cause) => text_response(StatusCode::SERVICE_UNAVAILABLE, cause.to_string()),
            },
            "/metrics" if self.credential.matches_headers(request.headers()) => {
                body_response(StatusCode::OK, METRICS_TYPE, self.metrics.render())
            }
            "/metrics" => {
                text_response(StatusCode::UNAUTHORIZED, "the credential is missing or wrong")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such route"),
        }
    }
}

impl HttpHandler for AdminApi {
    fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move { self.answer(&request) })
    }
}
