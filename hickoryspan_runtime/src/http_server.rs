//! An HTTP/1.1 and HTTP/2 server with limits on size, time and concurrency. A stop lets requests in flight finish.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::accept_queue::AcceptQueue;
use crate::body_buffer::BodyBuffer;
use crate::caller_budget::{CallerBudget, CallerBudgetSettings, RequestCharge};
use crate::caller_stream::listen;
use crate::server_connection::ServerConnection;
use crate::tasks::join_all;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to send the last answers after the drain time.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Limits of a server, which are settings of the process that owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size in bytes of all headers of a request.
    pub header_bytes: usize,
    /// Maximum size in bytes of a request body.
    pub body_bytes: usize,
    /// Maximum number of open connections. For further ones, connections without a complete request are ended.
    pub connections: usize,
    /// Memory of the process in bytes, of which callers may occupy a part.
    pub memory_bytes: usize,
    /// Whether connections may speak HTTP/2. If not, one that tries to is closed.
    pub http2: bool,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub streams: u32,
    /// Timeout for the headers and, separately, for the body of a request. A connection also fails if its response
    /// makes no progress for this long.
    pub read_time: Duration,
    /// Time that requests in flight have to finish after a stop. Those that need longer are answered with status 504.
    pub drain_time: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            connections: 1024,
            memory_bytes: 1024 * 1024 * 1024,
            http2: true,
            streams: 100,
            read_time: Duration::from_secs(5),
            drain_time: Duration::from_secs(30),
        }
    }
}

/// Body type of all responses.
pub type ResponseBody = Full<Bytes>;
/// The future that [`HttpHandler::handle`] returns.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send + 'a>>;

/// Handles requests. The server drops the future of a request if the client disconnects or the drain time ends.
pub trait HttpHandler: Send + Sync {
    /// Handles one request from `peer` and returns its response.
    fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> ResponseFuture<'_>;
}

/// A server that is bound to an address and not yet serving.
pub struct HttpServer {
    listener: TcpListener,
    limits: HttpLimits,
    budget: Arc<CallerBudget>,
}

impl HttpServer {
    /// Binds to an address; port zero selects a free port.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> anyhow::Result<Self> {
        let listener = listen(address).with_context(|| format!("bind HTTP server: {address}"))?;
        let budget = CallerBudget::new(CallerBudgetSettings {
            connections: limits.connections,
            ..CallerBudgetSettings::new(limits.memory_bytes, usize::MAX)
        });
        Ok(Self { listener, limits, budget })
    }

    /// Charges connections, requests and answers to a budget that several servers share, in place of
    /// [`HttpLimits::connections`] and [`HttpLimits::memory_bytes`].
    pub fn with_budget(self, budget: Arc<CallerBudget>) -> Self {
        Self { budget, ..self }
    }

    /// Returns the bound address with the actual port.
    pub fn local_address(&self) -> anyhow::Result<SocketAddr> {
        self.listener.local_addr().context("read the bound address")
    }

    /// Serves until `stop` is cancelled, then accepts no more connections and finishes the requests in flight and those
    /// that are already on their way. Those that exceed the drain time are answered with status 504.
    pub async fn serve(self, handler: Arc<dyn HttpHandler>, stop: CancellationToken) {
        let finish = CancellationToken::new();
        let settings =
            ServerConnection { limits: self.limits.clone(), handler, stop, finish: finish.clone() };
        let mut connections = JoinSet::new();
        while let Some(stream) = self.accept(&settings.stop).await {
            settings.spawn(stream, &self.budget, &mut connections);
            while connections.try_join_next().is_some() {}
        }
        for stream in AcceptQueue::close(self.listener) {
            settings.spawn(stream, &self.budget, &mut connections);
        }
        if tokio::time::timeout(self.limits.drain_time, join_all(&mut connections)).await.is_err() {
            spdlog::warn!("HTTP server: {} connections exceeded the drain time", connections.len());
            finish.cancel();
            if tokio::time::timeout(LAST_ANSWER_TIME, join_all(&mut connections)).await.is_err() {
                spdlog::warn!("HTTP server: closing {} open connections", connections.len());
            }
        }
        connections.shutdown().await;
    }

    async fn accept(&self, stop: &CancellationToken) -> Option<TcpStream> {
        let next = async {
            loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => return Some(stream),
                    Err(error) => {
                        spdlog::warn!("HTTP server: accept: {}", error);
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        tokio::select! {
            biased;
            () = stop.cancelled() => None,
            accepted = next => accepted,
        }
    }
}

/// A failure to read a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds this limit in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The complete body did not arrive within the read time.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The client disconnected or the body was malformed.
    #[error("the body ended early")]
    Incomplete,
    /// There is no room for the body.
    #[error("there is no room for the body")]
    NoRoom,
    /// The connection was ended to make room for others, because the body did not arrive.
    #[error("the body did not arrive before its room was needed")]
    Displaced,
}

impl BodyError {
    /// Returns the status code of the response to the request.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow(_) | Self::Displaced => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Incomplete => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete request body, subject to the limits on size and read time, and charges it.
pub async fn read_body(
    body: Incoming,
    limits: &HttpLimits,
    charge: Option<&RequestCharge>,
) -> Result<Bytes, BodyError> {
    let collected = tokio::time::timeout(limits.read_time, collect_body(body, limits, charge));
    let displaced = async {
        match charge {
            Some(charge) => charge.evicted().await,
            None => std::future::pending().await,
        }
    };
    let body = tokio::select! {
        biased;
        collected = collected => collected.map_err(|_| BodyError::TooSlow(limits.read_time))??,
        () = displaced => return Err(BodyError::Displaced),
    };
    if let Some(charge) = charge {
        charge.complete();
        // Once it is complete, its connection is not chosen any more, but it may have been before.
        if charge.is_evicted() {
            return Err(BodyError::Displaced);
        }
    }
    Ok(body)
}

async fn collect_body(
    mut body: Incoming,
    limits: &HttpLimits,
    charge: Option<&RequestCharge>,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact().map_or(limits.body_bytes, |bytes| bytes as usize);
    let mut buffer = BodyBuffer::new(announced.min(limits.body_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.length_with(data.len());
        if length > limits.body_bytes {
            return Err(BodyError::TooLarge(limits.body_bytes));
        }
        let capacity = buffer.next_capacity(length);
        if let (Some(capacity), Some(charge)) = (capacity, charge) {
            charge.add(capacity - buffer.capacity()).map_err(|_| BodyError::NoRoom)?;
            charge.await_room().await;
        }
        buffer.push(&data, capacity);
    }
    Ok(buffer.into_bytes())
}

/// Returns what the request of these headers occupies, if its connection has a budget.
pub fn charge_of(parts: &http::request::Parts) -> Option<Arc<RequestCharge>> {
    parts.extensions.get().cloned()
}

/// Builds a response with a JSON body. If the value cannot be encoded, the response is an empty one with status 500.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => body_response(status, "application/json", bytes),
        Err(error) => {
            spdlog::error!("encode response: {}", error);
            body_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Bytes::new())
        }
    }
}

/// Builds a response with a plain text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<ResponseBody> {
    body_response(status, "text/plain; charset=utf-8", text.into())
}

/// Builds a response with a body of the given content type.
pub fn body_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
