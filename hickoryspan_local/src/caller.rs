//! Client for sending requests to the entries of a local deployment.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hickoryspan_runtime::clock::wall_time;
use hickoryspan_runtime::http_client::HttpConnection;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

/// Timeout for opening a connection on the loopback interface.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP response of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Decoded JSON body.
    pub body: Value,
}

/// Client that sends every request with the same tenant, caller and class.
#[derive(Clone, Debug)]
pub struct LocalCaller {
    tenant: String,
    caller: String,
    class: String,
}

impl LocalCaller {
    /// Creates a client for a tenant, caller and class of the example sheet.
    pub fn new(
        tenant: impl Into<String>,
        caller: impl Into<String>,
        class: impl Into<String>,
    ) -> Self {
        Self { tenant: tenant.into(), caller: caller.into(), class: class.into() }
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: &Value,
    ) -> anyhow::Result<CallerAnswer> {
        let error_context = || format!("{method} {path}: entry {entry}");
        let mut connection =
            HttpConnection::open(entry, CONNECT_TIMEOUT).await.with_context(error_context)?;
        let mut request = Request::builder()
            .method(method.clone())
            .uri(path)
            .header(HOST, entry.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header("hs-tenant", &self.tenant)
            .header("hs-caller", &self.caller)
            .header("hs-class", &self.class);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let bytes = if body.is_null() { Vec::new() } else { serde_json::to_vec(body)? };
        let request = request.body(Full::new(Bytes::from(bytes))).with_context(error_context)?;
        let answer = connection.send(request, MAX_RESPONSE_BYTES).await.with_context(error_context);
        connection.close().await;
        let answer = answer?;
        let body = serde_json::from_slice(&answer.body).with_context(error_context)?;
        Ok(CallerAnswer { status: answer.status, body })
    }

    /// Runs a search and returns its response, also if the HTTP status is an error.
    pub async fn search(
        &self,
        entry: SocketAddr,
        search: &str,
        query: &Value,
    ) -> anyhow::Result<CallerAnswer> {
        let body = json!({ "search": search, "query": query });
        self.send(entry, Method::POST, "/v1/search", &[], &body).await
    }

    /// Runs an order with the current time as its issue time.
    pub async fn order(
        &self,
        entry: SocketAddr,
        order: &str,
        request: &str,
        content: &Value,
    ) -> anyhow::Result<CallerAnswer> {
        self.order_issued_at(entry, order, request, wall_time().0, content).await
    }

    /// Runs an order with the given issue time, in milliseconds since the Unix epoch.
    ///
    /// A resent order must keep its original request id and issue time.
    pub async fn order_issued_at(
        &self,
        entry: SocketAddr,
        order: &str,
        request: &str,
        issued_at: u64,
        content: &Value,
    ) -> anyhow::Result<CallerAnswer> {
        let body = json!({ "order": order, "content": content });
        let headers =
            [("hs-request-id", request.to_owned()), ("hs-issued-at", issued_at.to_string())];
        self.send(entry, Method::POST, "/v1/orders", &headers, &body).await
    }

    /// Fetches the entry addresses that the caller should use.
    pub async fn addresses(&self, entry: SocketAddr) -> anyhow::Result<CallerAnswer> {
        self.send(entry, Method::GET, "/v1/addresses", &[], &Value::Null).await
    }
}
