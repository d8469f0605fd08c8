//! One connection of the HTTP server. A stop closes it only after the requests that were already on their way.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller_budget::{CallerAccount, CallerBudget};
use crate::caller_stream::CallerStream;
use crate::http_server::{HttpHandler, HttpLimits, ResponseBody, text_response};

/// Maximum number of header lines in an HTTP/1.1 request.
const MAX_HEADERS: usize = 64;
/// Smallest connection buffer in bytes that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// How long a connection without a request stays open after a stop. It covers the way of a request that was sent before
/// the client could know of the stop.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Window of the bytes that an HTTP/2 connection, or a stream on it, may send ahead, in bytes.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;

/// What all connections of a server have in common.
#[derive(Clone)]
pub(crate) struct ServerConnection {
    pub(crate) limits: HttpLimits,
    pub(crate) handler: Arc<dyn HttpHandler>,
    /// Cancelled when the server stops.
    pub(crate) stop: CancellationToken,
    /// Cancelled when requests in flight are no longer waited for.
    pub(crate) finish: CancellationToken,
}

impl ServerConnection {
    /// Serves a connection in a task of its own. It is closed at once if there is no room for it.
    pub(crate) fn spawn(
        &self,
        stream: TcpStream,
        budget: &Arc<CallerBudget>,
        tasks: &mut JoinSet<()>,
    ) {
        let Ok(peer) = stream.peer_addr() else { return };
        let Some(account) = budget.open(peer) else { return };
        let connection = self.clone();
        tasks.spawn(async move {
            connection.serve(stream, account, peer).await;
        });
    }

    async fn serve(self, stream: TcpStream, account: Arc<CallerAccount>, peer: SocketAddr) {
        // Without TCP_NODELAY, small responses could wait for the acknowledgement of earlier ones.
        if let Err(error) = stream.set_nodelay(true) {
            spdlog::debug!("HTTP server: {}: set TCP_NODELAY: {}", peer, error);
        }
        let read_time = self.limits.read_time;
        let (stop, finish) = (self.stop.clone(), self.finish.clone());
        let builder = self.to_builder();
        let first_request = CancellationToken::new();
        let arrived = first_request.clone();
        let stream = CallerStream::new(stream, Arc::clone(&account), read_time, read_time);
        let evicted = Arc::clone(&account);
        let service = service_fn(move |request| {
            arrived.cancel();
            let (connection, account) = (self.clone(), Arc::clone(&account));
            async move {
                let answer = connection.answer_charged(request, &account, peer);
                Ok::<_, Infallible>(answer.await)
            }
        });
        let stream = TokioIo::new(stream);
        let mut connection = pin!(builder.serve_connection(stream, service));
        let served = async {
            tokio::select! {
                // Requests that have arrived are read before the connection is closed.
                biased;
                ended = connection.as_mut() => return ended,
                () = await_close(&stop, &finish) => connection.as_mut().graceful_shutdown(),
            }
            connection.await
        };
        // The library's header timeout starts only once the protocol version is known.
        let first_request_timeout = async {
            tokio::select! {
                () = first_request.cancelled() => std::future::pending().await,
                () = tokio::time::sleep(read_time) => {}
            }
        };
        tokio::select! {
            biased;
            ended = served => {
                if let Err(error) = ended {
                    spdlog::debug!("HTTP server: {}: {}", peer, error);
                }
            }
            () = first_request_timeout =>
                spdlog::debug!("HTTP server: {}: no request within the read time", peer),
            () = evicted.await_end() =>
                spdlog::debug!("HTTP server: {}: ended to make room", peer),
        }
    }

    fn to_builder(&self) -> auto::Builder<TokioExecutor> {
        let limits = &self.limits;
        let builder = auto::Builder::new(TokioExecutor::new());
        let mut builder = if limits.http2 { builder } else { builder.http1_only() };
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.read_time)
            .max_headers(MAX_HEADERS)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
            .keep_alive_interval(limits.read_time)
            .keep_alive_timeout(limits.read_time);
        builder
    }

    /// Answers a request and charges the request and its answer to the account of the connection.
    async fn answer_charged(
        &self,
        request: Request<Incoming>,
        account: &Arc<CallerAccount>,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        let (mut parts, body) = request.into_parts();
        let charge = account.begin_request(&parts);
        if parts.version == Version::HTTP_2 && (charge.admit().is_err() || charge.is_evicted()) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "no room for the request");
        }
        parts.extensions.insert(Arc::clone(&charge));
        let mut response = self.answer(Request::from_parts(parts, body), peer).await;
        charge.note_answer(response.body().size_hint().lower() as usize);
        if charge.is_evicted() && response.version() != Version::HTTP_2 {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers a request. After a stop, the answer is the last one of an HTTP/1.1 connection.
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<ResponseBody> {
        let is_http2 = request.version() == Version::HTTP_2;
        let mut response = tokio::select! {
            biased;
            response = self.handler.handle(request, peer) => response,
            () = self.finish.cancelled() => {
                spdlog::warn!("HTTP server: {}: request interrupted by the stop", peer);
                interrupted()
            }
        };
        if self.stop.is_cancelled() && !is_http2 {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Waits until a connection without a request may be closed for a stop.
async fn await_close(stop: &CancellationToken, finish: &CancellationToken) {
    stop.cancelled().await;
    // A request that comes after `finish` would be answered with a refusal only.
    let _ = tokio::time::timeout(LAST_REQUEST_TIME, finish.cancelled()).await;
}

/// Returns the answer to a request that the server stops to work on. Parts of it may have taken effect.
fn interrupted() -> Response<ResponseBody> {
    let text = "the server stopped before the request was completed; it may have taken effect";
    text_response(StatusCode::GATEWAY_TIMEOUT, text)
}
