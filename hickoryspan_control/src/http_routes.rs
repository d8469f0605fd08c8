//! HTTP routes for operators, targets and monitoring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::control::interface::{
    AdminCommand, AdminOutcome, AdminQuery, ControlEvent, ControlReply, ReplicaRecord,
};
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::SheetNumber;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::{
    HttpHandler, HttpLimits, ResponseBody, ResponseFuture, body_response, charge_of, json_response,
    read_body, text_response,
};
use hickoryspan_runtime::metrics_page::MetricsPage;
use http::header::{HeaderValue, LOCATION, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::actor::ControlInbox;
use crate::admin_json::{
    AnnounceAnswer, ErrorBody, HistoryPage, QuarantinePage, TargetPage, WithdrawRequest,
};

/// Number of audit records in a response to a request without a limit.
const DEFAULT_HISTORY_RECORDS: u32 = 50;
/// Maximum number of audit records in one response.
const MAX_HISTORY_RECORDS: u32 = 1000;
/// Longest time to wait for a decision. After that, an operator's tool repeats the request with the same command ID.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Method and path of every route of the HTTP port. A test compares the list with `docs/openapi-admin.yaml`.
pub const ROUTES: [(&str, &str); 11] = [
    ("GET", "/healthz"),
    ("GET", "/readyz"),
    ("GET", "/metrics"),
    ("POST", "/v1/targets/announce"),
    ("POST", "/v1/targets/withdraw"),
    ("POST", "/v1/admin/commands"),
    ("GET", "/v1/admin/status"),
    ("GET", "/v1/admin/sheet"),
    ("GET", "/v1/admin/history"),
    ("GET", "/v1/admin/targets"),
    ("GET", "/v1/admin/quarantines"),
];

type RouteResponse = Response<ResponseBody>;
/// Boxed, because a large error type makes every `Result` as large.
type RouteError = Box<RouteResponse>;

/// Handles the requests of the HTTP port.
pub(crate) struct ControlRoutes {
    pub(crate) inbox: ControlInbox,
    pub(crate) credential: SharedCredential,
    pub(crate) limits: HttpLimits,
    pub(crate) metrics: MetricsPage,
}

impl HttpHandler for ControlRoutes {
    fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move {
            let answer = tokio::time::timeout(DECISION_TIMEOUT, self.route(request)).await;
            answer.unwrap_or_else(|_| unavailable(DECISION_TIMEOUT))
        })
    }
}

impl ControlRoutes {
    async fn route(&self, request: Request<Incoming>) -> RouteResponse {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => return text_response(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => return self.readiness().await,
            _ => {}
        }
        if !self.credential.matches_headers(request.headers()) {
            return refuse(StatusCode::UNAUTHORIZED, "unauthorized", "credential missing or wrong");
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/metrics") => {
                body_response(StatusCode::OK, METRICS_TYPE, self.metrics.render())
            }
            (&Method::POST, "/v1/targets/announce") => self.announce(request).await,
            (&Method::POST, "/v1/targets/withdraw") => self.withdraw(request).await,
            (&Method::POST, "/v1/admin/commands") => self.command(request).await,
            (&Method::GET, "/v1/admin/status") => self.query(AdminQuery::Status, &path).await,
            (&Method::GET, "/v1/admin/sheet") => self.sheet(&request).await,
            (&Method::GET, "/v1/admin/history") => self.history(&request).await,
            (&Method::GET, "/v1/admin/targets") => self.query(AdminQuery::Targets, &path).await,
            (&Method::GET, "/v1/admin/quarantines") => {
                self.query(AdminQuery::Quarantines, &path).await
            }
            (_, path) if ROUTES.iter().any(|(_, known)| *known == path) => refuse(
                StatusCode::METHOD_NOT_ALLOWED,
                "wrong_method",
                "see docs/openapi-admin.yaml",
            ),
            _ => refuse(StatusCode::NOT_FOUND, "unknown_route", "see docs/openapi-admin.yaml"),
        }
    }

    async fn readiness(&self) -> RouteResponse {
        let reply = self.inbox.ask(|token| ControlEvent::Query(token, AdminQuery::Status)).await;
        match reply {
            Some(ControlReply::Status(_) | ControlReply::NotLeader(Some(_))) => {
                text_response(StatusCode::OK, "ready\n")
            }
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "no leader is known\n"),
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> RouteResponse {
        let path = request.uri().path().to_owned();
        match self.read_json::<TargetRecord>(request).await {
            Ok(record) => {
                let event = |token| ControlEvent::Announce(token, Box::new(record));
                respond(self.inbox.ask(event).await, &path)
            }
            Err(response) => *response,
        }
    }

    async fn withdraw(&self, request: Request<Incoming>) -> RouteResponse {
        let path = request.uri().path().to_owned();
        match self.read_json::<WithdrawRequest>(request).await {
            Ok(body) => {
                let event = |token| ControlEvent::Withdraw(token, body.target, body.incarnation);
                respond(self.inbox.ask(event).await, &path)
            }
            Err(response) => *response,
        }
    }

    async fn command(&self, request: Request<Incoming>) -> RouteResponse {
        let path = request.uri().path().to_owned();
        match self.read_json::<AdminCommand>(request).await {
            Ok(command) => {
                spdlog::info!(
                    "operator command",
                    kv: { operator: = command.operator, command: = command.command }
                );
                let event = |token| ControlEvent::Admin(token, Box::new(command));
                respond(self.inbox.ask(event).await, &path)
            }
            Err(response) => *response,
        }
    }

    async fn sheet(&self, request: &Request<Incoming>) -> RouteResponse {
        match query_number::<SheetNumber>(request, "number") {
            Ok(number) => self.query(AdminQuery::Sheet(number), &path_of(request)).await,
            Err(response) => *response,
        }
    }

    async fn history(&self, request: &Request<Incoming>) -> RouteResponse {
        match query_number::<u32>(request, "limit") {
            Ok(limit) => {
                let limit = limit.unwrap_or(DEFAULT_HISTORY_RECORDS).min(MAX_HISTORY_RECORDS);
                self.query(AdminQuery::History { limit }, &path_of(request)).await
            }
            Err(response) => *response,
        }
    }

    async fn query(&self, query: AdminQuery, path: &str) -> RouteResponse {
        respond(self.inbox.ask(|token| ControlEvent::Query(token, query)).await, path)
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        request: Request<Incoming>,
    ) -> Result<T, RouteError> {
        let (parts, body) = request.into_parts();
        let charge = charge_of(&parts);
        let body = read_body(body, &self.limits, charge.as_deref())
            .await
            .map_err(|error| Box::new(refuse(error.status(), "bad_body", error.to_string())))?;
        serde_json::from_slice(&body).map_err(|error| {
            Box::new(refuse(StatusCode::BAD_REQUEST, "bad_json", error.to_string()))
        })
    }
}

fn path_of(request: &Request<Incoming>) -> String {
    let uri = request.uri();
    uri.path_and_query().map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

fn query_number<T: std::str::FromStr>(
    request: &Request<Incoming>,
    name: &str,
) -> Result<Option<T>, RouteError> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let mut found = None;
    for pair in pairs {
        match pair.split_once('=') {
            Some((key, value)) if key == name => found = value.parse().ok(),
            _ => found = None,
        }
        if found.is_none() {
            let detail = format!("only {name}=<number> is accepted");
            return Err(Box::new(refuse(StatusCode::BAD_REQUEST, "bad_query", detail)));
        }
    }
    Ok(found)
}

fn respond(reply: Option<ControlReply>, path: &str) -> RouteResponse {
    let Some(reply) = reply else { return unavailable(Duration::from_secs(1)) };
    match reply {
        ControlReply::Announced { lease } => {
            let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
            json_response(StatusCode::OK, &AnnounceAnswer { lease_ms })
        }
        ControlReply::AnnounceRefused(detail) => {
            refuse(StatusCode::CONFLICT, "announcement_refused", detail)
        }
        ControlReply::Withdrawn => json_response(StatusCode::OK, &serde_json::json!({})),
        ControlReply::Admin(outcome) => json_response(outcome_status(&outcome), &outcome),
        ControlReply::Status(report) => json_response(StatusCode::OK, &report),
        ControlReply::Sheet(Some(sheet)) => json_response(StatusCode::OK, &sheet),
        ControlReply::Sheet(None) => {
            refuse(StatusCode::NOT_FOUND, "no_sheet", "no such sheet was accepted")
        }
        ControlReply::History(records) => json_response(StatusCode::OK, &HistoryPage { records }),
        ControlReply::Targets(targets) => json_response(StatusCode::OK, &TargetPage { targets }),
        ControlReply::Quarantines(quarantines) => {
            json_response(StatusCode::OK, &QuarantinePage { quarantines })
        }
        ControlReply::Document(Some(document)) => json_response(StatusCode::OK, &document),
        ControlReply::Document(None) => {
            text_response(StatusCode::NOT_FOUND, "no configuration document was accepted")
        }
        ControlReply::DocumentDecided(outcome) => json_response(StatusCode::OK, &outcome),
        ControlReply::Evacuated(state) => json_response(StatusCode::OK, &state),
        ControlReply::NotLeader(Some(leader)) => redirect(&leader, path),
        ControlReply::NotLeader(None) => unavailable(Duration::from_secs(1)),
        ControlReply::Unavailable { retry_after } => unavailable(retry_after),
    }
}

fn outcome_status(outcome: &AdminOutcome) -> StatusCode {
    match outcome {
        AdminOutcome::Accepted { .. } => StatusCode::OK,
        AdminOutcome::NumberTaken { .. }
        | AdminOutcome::NumberTooLow { .. }
        | AdminOutcome::CommandConflict => StatusCode::CONFLICT,
        AdminOutcome::RemovalsUnconfirmed(_) | AdminOutcome::Rejected(_) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
    }
}

fn redirect(leader: &ReplicaRecord, path: &str) -> RouteResponse {
    let location = format!("http://{}{path}", leader.http_address);
    let mut response =
        refuse(StatusCode::TEMPORARY_REDIRECT, "not_leader", "repeat the request at location");
    if let Ok(value) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, value);
    }
    response
}

fn unavailable(retry_after: Duration) -> RouteResponse {
    let mut response = refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        "unavailable",
        "not decided in time; a command may still take effect, repeat it with the same command id",
    );
    let seconds = retry_after.as_secs().max(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

fn refuse(status: StatusCode, error: &str, detail: impl Into<Arc<str>>) -> RouteResponse {
    json_response(status, &ErrorBody { error: error.into(), detail: detail.into() })
}
