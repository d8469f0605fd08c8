//! An HTTP/1.1 and HTTP/2 server with limits on size, time and concurrency. A stop lets requests in flight finish.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::write_timeout::WriteTimeoutStream;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of header lines in an HTTP/1.1 request.
const MAX_HEADERS: usize = 64;
/// Smallest connection buffer in bytes that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits of a server, which are settings of the process that owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size in bytes of all headers of a request.
    pub header_bytes: usize,
    /// Maximum size in bytes of a request body.
    pub body_bytes: usize,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub streams: u32,
    /// Timeout for the headers and, separately, for the body of a request. A connection also fails if its response
    /// makes no progress for this long.
    pub read_time: Duration,
    /// Time that requests in flight have to finish after a stop.
    pub drain_time: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            connections: 1024,
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

/// Handles requests. The server drops the future of a request if the client disconnects.
pub trait HttpHandler: Send + Sync {
    /// Handles one request from `peer` and returns its response.
    fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> ResponseFuture<'_>;
}

/// A server that is bound to an address and not yet serving.
pub struct HttpServer {
    listener: TcpListener,
    limits: HttpLimits,
}

impl HttpServer {
    /// Binds to an address; port zero selects a free port.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("bind HTTP server: {address}"))?;
        Ok(Self { listener, limits })
    }

    /// Returns the bound address with the actual port.
    pub fn local_address(&self) -> anyhow::Result<SocketAddr> {
        self.listener.local_addr().context("read the bound address")
    }

    /// Serves until `stop` is cancelled, then accepts no more connections and finishes the requests in flight. Those
    /// that exceed the drain time are aborted.
    pub async fn serve(self, handler: Arc<dyn HttpHandler>, stop: CancellationToken) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut connections = JoinSet::new();
        while let Some((stream, permit)) = self.accept(&permits, &stop).await {
            let peer = stream.peer_addr();
            let Ok(peer) = peer else { continue };
            let watcher = graceful.watcher();
            let task =
                serve_connection(stream, peer, self.limits.clone(), Arc::clone(&handler), watcher);
            connections.spawn(async move {
                task.await;
                drop(permit);
            });
            while connections.try_join_next().is_some() {}
        }
        drop(self.listener);
        let drain = async {
            graceful.shutdown().await;
            while connections.join_next().await.is_some() {}
        };
        if tokio::time::timeout(self.limits.drain_time, drain).await.is_err() {
            spdlog::warn!("HTTP server: requests in flight exceeded the drain time");
            connections.shutdown().await;
        }
    }

    async fn accept(
        &self,
        permits: &Arc<Semaphore>,
        stop: &CancellationToken,
    ) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let next = async {
            let permit = Arc::clone(permits).acquire_owned().await.ok()?;
            loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => return Some((stream, permit)),
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

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: HttpLimits,
    handler: Arc<dyn HttpHandler>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // Without TCP_NODELAY, small responses could wait for the acknowledgement of earlier ones.
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("HTTP server: {}: set TCP_NODELAY: {}", peer, error);
    }
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.read_time)
        .keep_alive_timeout(limits.read_time);
    let first_request = CancellationToken::new();
    let arrived = first_request.clone();
    let service = service_fn(move |request| {
        arrived.cancel();
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let stream = WriteTimeoutStream::new(stream, limits.read_time);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // The library's header timeout starts only once the protocol version is known.
    let first_request_timeout = async {
        tokio::select! {
            () = first_request.cancelled() => std::future::pending().await,
            () = tokio::time::sleep(limits.read_time) => {}
        }
    };
    tokio::select! {
        ended = watcher.watch(connection.into_owned()) => {
            if let Err(error) = ended {
                spdlog::debug!("HTTP server: {}: {}", peer, error);
            }
        }
        () = first_request_timeout =>
            spdlog::debug!("HTTP server: {}: no request within the read time", peer),
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
}

impl BodyError {
    /// Returns the status code of the response to the request.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Incomplete => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete request body, subject to the limits on size and read time.
pub async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, limits.body_bytes);
    let collected = tokio::time::timeout(limits.read_time, limited.collect()).await;
    match collected {
        Err(_) => Err(BodyError::TooSlow(limits.read_time)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge(limits.body_bytes))
        }
        Ok(Err(_)) => Err(BodyError::Incomplete),
    }
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
