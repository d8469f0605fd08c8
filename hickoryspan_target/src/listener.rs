//! Accepts connections up to the connection limit and applies the active connection faults.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::handler::TargetHandler;
use crate::state::TargetState;

/// Delay after a failed accept or bind. It prevents a busy loop while resources are exhausted.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping target keeps connections open to refuse requests that were sent before the stop was known.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Cancellation tokens for the two ways to stop a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopTokens {
    /// Ends the accept loop. Requests in flight may finish within the drain time.
    pub(crate) graceful: CancellationToken,
    /// Closes all connections immediately.
    pub(crate) abrupt: CancellationToken,
}

enum ListenerExit {
    Stopped,
    Crashed,
}

/// Serves connections until the target stops.
///
/// A simulated crash closes the listener, and the target binds the same address again after the restart time. The fault
/// `refuse_connections` also closes it, and the target binds again when the fault ends.
pub(crate) async fn run_listener(
    state: Arc<TargetState>,
    listener: TcpListener,
    address: SocketAddr,
    stop: StopTokens,
) {
    let mut listener = Some(listener);
    loop {
        let mut connections = JoinSet::new();
        let exit = listen(&state, &mut listener, address, &stop, &mut connections).await;
        drop(listener.take());
        match exit {
            ListenerExit::Stopped => return finish_connections(&state, connections, &stop).await,
            ListenerExit::Crashed => {
                connections.shutdown().await;
                tokio::select! {
                    () = stop.graceful.cancelled() => return,
                    () = tokio::time::sleep(state.settings.restart_time) => {}
                }
                listener = bind(address, &stop).await;
                state.restart();
            }
        }
    }
}

/// Binds the address, with retries. Returns `None` only if the target stops.
async fn bind(address: SocketAddr, stop: &StopTokens) -> Option<TcpListener> {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(error) => spdlog::warn!("bind target listener: {}: {}", address, error),
        }
        tokio::select! {
            () = stop.graceful.cancelled() => return None,
            () = tokio::time::sleep(RETRY_DELAY) => {}
        }
    }
}

async fn listen(
    state: &Arc<TargetState>,
    listener: &mut Option<TcpListener>,
    address: SocketAddr,
    stop: &StopTokens,
    connections: &mut JoinSet<()>,
) -> ListenerExit {
    let crash = state.crash_token();
    let mut faults = state.watch_faults();
    loop {
        while connections.try_join_next().is_some() {}
        let is_refusing = faults.borrow_and_update().refuse_connections;
        if is_refusing {
            drop(listener.take());
        } else if listener.is_none() {
            *listener = bind(address, stop).await;
        }
        let accepted = async {
            match listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = stop.graceful.cancelled() => return ListenerExit::Stopped,
            () = crash.cancelled() => return ListenerExit::Crashed,
            _ = faults.changed() => {}
            accepted = accepted => match accepted {
                Ok((stream, peer)) => accept(state, stream, peer, stop, connections),
                Err(error) => {
                    spdlog::warn!("target listener: accept: {}", error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
        }
    }
}

fn accept(
    state: &Arc<TargetState>,
    stream: TcpStream,
    peer: SocketAddr,
    stop: &StopTokens,
    connections: &mut JoinSet<()>,
) {
    let Some(connection) = state.open_connection() else {
        spdlog::debug!("target listener: {}: closed because of the connection limit", peer);
        return;
    };
    let guard = ConnectionGuard(Arc::clone(state));
    let handler = Arc::new(TargetHandler { state: Arc::clone(state), connection });
    let stop = stop.clone();
    connections.spawn(async move {
        let state = &guard.0;
        tokio::time::sleep(state.settings.connection_cost).await;
        serve_connection(stream, peer, handler, stop).await;
    });
}

/// Decrements the number of open connections on drop, also if the connection's task is aborted.
struct ConnectionGuard(Arc<TargetState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.close_connection();
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<TargetHandler>,
    stop: StopTokens,
) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("target listener: {}: set TCP_NODELAY: {}", peer, error);
    }
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    // Idle connections are not closed: if one were closed while a request arrives, the entry would report a crash.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let close = async {
        stop.graceful.cancelled().await;
        tokio::time::sleep(LAST_REQUEST_TIME).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        spdlog::debug!("target listener: {}: {}", peer, error);
    }
}

async fn finish_connections(state: &TargetState, mut connections: JoinSet<()>, stop: &StopTokens) {
    let finish = async { while connections.join_next().await.is_some() {} };
    tokio::select! {
        () = finish => return,
        () = stop.abrupt.cancelled() => {}
        () = tokio::time::sleep(state.settings.drain_time) => {
            spdlog::warn!("target: requests in flight exceeded the drain time");
        }
    }
    connections.shutdown().await;
}
