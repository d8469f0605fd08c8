//! Serves callers over HTTP/1.1, and shuts down without interrupting requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::documents::document::CallerLimits;
use hickoryspan_runtime::accept_queue::AcceptQueue;
use hickoryspan_runtime::caller_budget::CallerAccount;
use hickoryspan_runtime::caller_stream::CallerStream;
use hickoryspan_runtime::tasks::join_all;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller_connection::CallerConnection;
use crate::forward::{ConnectionPosition, answer_until_finish};
use crate::gateway_state::GatewayState;
use crate::refusal::GatewayResponse;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping entry waits for the first request on a connection. Shorter than the time between the end of
/// accepting and the end of the process.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Shortest time that a caller has to read the next part of an answer, whatever idle time is configured.
const MIN_WRITE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 100;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// The phases of a graceful shutdown, in this order. Between the last two, [`GatewayState::finish`] ends the requests in
/// flight.
#[derive(Clone, Default)]
pub(crate) struct ShutdownSignals {
    /// Connections close after their next answer, which says so.
    pub(crate) drain: CancellationToken,
    /// No further connections are accepted, and idle ones are closed.
    pub(crate) close_listener: CancellationToken,
    /// Connections that are still open are closed.
    pub(crate) abort: CancellationToken,
}

/// Serves callers until `abort` is cancelled, or until `close_listener` is cancelled and no request is in flight.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    state: Arc<GatewayState>,
    shutdown: ShutdownSignals,
) {
    let mut connections = JoinSet::new();
    let serve = |stream: TcpStream| {
        // Without room for the connection it is closed; nothing was read.
        let account = state.settings.caller_budget.open(stream.peer_addr().ok()?)?;
        Some(serve_connection(stream, account, Arc::clone(&state), shutdown.clone()))
    };
    loop {
        let accepted = tokio::select! {
            () = shutdown.abort.cancelled() => break,
            () = shutdown.close_listener.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = serve(stream) {
                    connections.spawn(connection);
                }
            }
            Err(error) => {
                spdlog::warn!("caller port: accept: {}", error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for connection in AcceptQueue::close(listener).filter_map(serve) {
        connections.spawn(connection);
    }
    tokio::select! {
        () = join_all(&mut connections) => {}
        () = shutdown.abort.cancelled() => {
            spdlog::warn!("caller port: shutdown timeout expired, closing open connections");
        }
    }
    connections.shutdown().await;
}

async fn serve_connection(
    stream: TcpStream,
    account: Arc<CallerAccount>,
    state: Arc<GatewayState>,
    shutdown: ShutdownSignals,
) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("caller port: set TCP_NODELAY: {}", error);
    }
    let mut limits = state.decisions().limits.subscribe();
    let Lifetimes { head, write, .. } = Lifetimes::of(&limits.borrow());
    let mut stream = CallerStream::new(stream, Arc::clone(&account), head, write);
    let requests = Arc::clone(&account);
    let has_request = CancellationToken::new();
    let first_request = has_request.clone();
    let caller = Arc::new(CallerConnection::open(Arc::clone(&state)));
    let exchanges = Arc::clone(&caller);
    let service_shutdown = shutdown.clone();
    let mut service = service_fn(move |request| {
        let state = Arc::clone(&state);
        let shutdown = service_shutdown.clone();
        let (caller, account) = (Arc::clone(&exchanges), Arc::clone(&requests));
        let position = match first_request.is_cancelled() {
            true => ConnectionPosition::Later,
            false => ConnectionPosition::First,
        };
        first_request.cancel();
        async move {
            let answer = answer_caller(shutdown, state, &caller, &account, request, position);
            Ok::<_, Infallible>(answer.await)
        }
    });
    let mut close = std::pin::pin!(await_close(&shutdown.close_listener, &has_request));
    let mut connection = loop {
        let in_force = *limits.borrow_and_update();
        let times = Lifetimes::of(&in_force);
        stream.set_times(times.head, times.write);
        let mut connection =
            to_builder(&in_force, &times).serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            ended = &mut connection => return caller.finish(ended),
            () = account.await_end() => return,
            () = close.as_mut() => break connection,
            () = await_other_limits(&mut limits, &account) => {}
        }
        // The library takes its limits at the start only, so that it starts anew with what has arrived of the next head.
        let parts = connection.into_parts();
        stream = parts.io.into_inner();
        stream.put_back(parts.read_buf);
        service = parts.service;
    };
    Pin::new(&mut connection).graceful_shutdown();
    tokio::select! {
        biased;
        ended = connection => caller.finish(ended),
        () = account.await_end() => {}
    }
}

/// How long a connection may wait for its caller.
struct Lifetimes {
    /// For the rest of a head.
    head: Duration,
    /// For the next request. The timeout of the HTTP library for a head also applies to connections between requests.
    idle: Duration,
    /// Until the caller reads the next part of an answer.
    write: Duration,
}

impl Lifetimes {
    fn of(limits: &CallerLimits) -> Self {
        let idle = limits.idle_time.max(limits.header_time);
        Self { head: limits.header_time, idle, write: idle.max(MIN_WRITE_TIME) }
    }
}

fn to_builder(limits: &CallerLimits, times: &Lifetimes) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(times.idle)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Waits until other limits are in force than the connection is handled by, and it is between two requests.
async fn await_other_limits(limits: &mut watch::Receiver<CallerLimits>, account: &CallerAccount) {
    if limits.changed().await.is_err() {
        // The state of the entry is gone, so there will be no other limits.
        std::future::pending::<()>().await;
    }
    account.between_requests().await;
}

/// Waits until the connection may be closed for a shutdown. An idle connection is not closed before that, because a
/// request may be on its way on it. A connection that was accepted last is closed only after its first request, which
/// would otherwise end without an answer.
async fn await_close(close: &CancellationToken, has_request: &CancellationToken) {
    close.cancelled().await;
    // A caller that sends nothing within this time is not waited for.
    let _ = tokio::time::timeout(FIRST_REQUEST_TIME, has_request.cancelled()).await;
}

/// Answers a request, and asks the caller to use another entry for the next one if this entry lags or stops.
async fn answer_caller(
    shutdown: ShutdownSignals,
    state: Arc<GatewayState>,
    caller: &CallerConnection,
    account: &Arc<CallerAccount>,
    request: Request<Incoming>,
    position: ConnectionPosition,
) -> GatewayResponse {
    let (mut parts, body) = request.into_parts();
    let charge = account.begin_request(&parts);
    let has_body = !body.is_end_stream();
    parts.extensions.insert(Arc::clone(&charge));
    let request = Request::from_parts(parts, body);
    caller.note_request(request.headers().get(&state.settings.headers.request).cloned());
    let mut response = answer_until_finish(Arc::clone(&state), request, position).await;
    caller.note_answer();
    let is_read = !has_body || charge.is_complete();
    if is_read {
        account.end_request();
    }
    charge.note_answer(response.body().size_hint().lower() as usize);
    // The rest of a body that was not read cannot be told from the next request.
    if !is_read
        || charge.is_evicted()
        || shutdown.drain.is_cancelled()
        || state.should_leave_callers()
    {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
