//! Connections to targets, bounded by this entry's share of the connections that a target accepts, and together by the
//! descriptors of the process.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryspan_core::types::{MonotonicTime, TargetId};
use hickoryspan_runtime::clock::SystemClock;
use hickoryspan_runtime::http_client::HttpConnection;
use hickoryspan_runtime::response_budget::ResponseBudget;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::socket_budget::{SocketBudget, SocketPermit};

/// Longest time for opening a connection; with more, no time would be left for the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Subtracted from the idle timeout of a target, so that no request arrives after the target closed the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Number of a connection to a target, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionNumber(u64);

/// Which of a target's idle connections a request may be sent on.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IdleReuse<'a> {
    /// All but these.
    Except(&'a [ConnectionNumber]),
    /// None; they are closed.
    Never,
}

struct IdleConnection {
    number: ConnectionNumber,
    connection: HttpConnection,
    connected_at: MonotonicTime,
    returned_at: Instant,
    usable_until: Instant,
    socket: SocketPermit,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_until > now && !self.connection.is_closed()
    }
}

struct TargetConnections {
    address: SocketAddr,
    // One permit for each request in flight. A request reuses an idle connection if there is one, so idle and busy
    // connections together never exceed the share. Idle connections hold no permit, because waiting requests would not
    // notice that one was returned.
    permits: Arc<Semaphore>,
    share: usize,
    idle: Vec<IdleConnection>,
}

/// A connection in use. Dropping it closes the connection.
pub(crate) struct PooledConnection {
    pub(crate) number: ConnectionNumber,
    pub(crate) connection: HttpConnection,
    /// Whether the connection was used before, in which case the target may have closed it in the meantime.
    pub(crate) reused: bool,
    /// When the connection was established. The target's process is at least as old.
    pub(crate) connected_at: MonotonicTime,
    _permit: OwnedSemaphorePermit,
    socket: SocketPermit,
}

impl PooledConnection {
    /// Returns a token that is cancelled when others need the connection more.
    pub(crate) fn needed(&self) -> CancellationToken {
        self.socket.needed()
    }
}

/// The connections to all targets.
pub(crate) struct TargetPool {
    targets: Mutex<HashMap<TargetId, TargetConnections>>,
    sockets: Arc<SocketBudget>,
    heads: Arc<ResponseBudget>,
    // Number of connections that were opened.
    opened: AtomicU64,
}

impl TargetPool {
    /// Creates a pool of this many connections to all targets together. Large heads of answers take their room from
    /// `heads`.
    pub(crate) fn new(max_connections: usize, heads: Arc<ResponseBudget>) -> Self {
        Self {
            targets: Mutex::default(),
            sockets: SocketBudget::new(max_connections),
            heads,
            opened: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, TargetConnections>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle or a new connection. Waits while the share of the target is in use. The share of a known target
    /// never shrinks.
    pub(crate) async fn acquire(
        &self,
        target: &TargetId,
        address: SocketAddr,
        share: usize,
        reuse: IdleReuse<'_>,
        clock: &SystemClock,
    ) -> io::Result<PooledConnection> {
        let permits = self.permits(target, address, share);
        let permit = permits.acquire_owned().await.map_err(io::Error::other)?;
        if let Some(idle) = self.take_idle(target, reuse) {
            let IdleConnection { number, connection, connected_at, mut socket, .. } = idle;
            socket.begin_use();
            return Ok(PooledConnection {
                number,
                connection,
                reused: true,
                connected_at,
                _permit: permit,
                socket,
            });
        }
        let socket = self.acquire_socket(target).await;
        let connection = HttpConnection::open_within(address, CONNECT_TIMEOUT, &self.heads).await?;
        metrics::counter!("hickoryspan_gateway_connections_opened_total").increment(1);
        Ok(PooledConnection {
            number: ConnectionNumber(self.opened.fetch_add(1, Ordering::Relaxed)),
            connection,
            reused: false,
            connected_at: clock.reading().monotonic,
            _permit: permit,
            socket,
        })
    }

    /// Waits until there may be another connection to the target. Idle ones are closed for it, those first that were not
    /// used for longest.
    async fn acquire_socket(&self, target: &TargetId) -> SocketPermit {
        loop {
            if let Some(socket) = self.sockets.try_acquire(target) {
                return socket;
            }
            if !self.close_oldest_idle() {
                return self.sockets.acquire(target).await;
            }
        }
    }

    /// Closes the idle connection that was not used for longest. Returns false if there is none.
    fn close_oldest_idle(&self) -> bool {
        let mut targets = self.lock();
        // The idle connections of a target are in the order in which they were returned.
        let oldest = targets
            .values_mut()
            .filter(|connections| !connections.idle.is_empty())
            .min_by_key(|connections| connections.idle[0].returned_at);
        let Some(oldest) = oldest else { return false };
        drop(oldest.idle.remove(0));
        true
    }

    fn permits(&self, target: &TargetId, address: SocketAddr, share: usize) -> Arc<Semaphore> {
        let mut targets = self.lock();
        let connections = targets.entry(target.clone()).or_insert_with(|| TargetConnections {
            address,
            permits: Arc::new(Semaphore::new(share)),
            share,
            idle: Vec::new(),
        });
        if connections.address != address {
            connections.address = address;
            connections.idle.clear();
        }
        // The share can only grow, since permits in use cannot be withdrawn.
        if share > connections.share {
            connections.permits.add_permits(share - connections.share);
            connections.share = share;
        }
        Arc::clone(&connections.permits)
    }

    /// Returns the most recently used idle connection that may be reused. If there is none, another one is closed, so that
    /// a new connection does not exceed the share.
    fn take_idle(&self, target: &TargetId, reuse: IdleReuse<'_>) -> Option<IdleConnection> {
        let mut targets = self.lock();
        let connections = targets.get_mut(target)?;
        let now = Instant::now();
        connections.idle.retain(|idle| idle.is_usable(now));
        let IdleReuse::Except(avoided) = reuse else {
            connections.idle.clear();
            return None;
        };
        let allowed = connections.idle.iter().rposition(|idle| !avoided.contains(&idle.number));
        if allowed.is_none() {
            connections.idle.pop();
        }
        allowed.map(|position| connections.idle.remove(position))
    }

    /// Puts a connection back into the pool after a complete response.
    pub(crate) fn put_back(&self, target: &TargetId, pooled: PooledConnection, idle: Duration) {
        let keep_for = idle.saturating_sub(IDLE_MARGIN);
        if keep_for.is_zero() || pooled.connection.is_closed() {
            return;
        }
        if self.sockets.has_waiters() {
            // Its socket goes to a request for another target.
            return;
        }
        let PooledConnection { number, connection, connected_at, mut socket, .. } = pooled;
        socket.end_use();
        let now = Instant::now();
        if let Some(connections) = self.lock().get_mut(target) {
            connections.idle.push(IdleConnection {
                number,
                connection,
                connected_at,
                returned_at: now,
                usable_until: now + keep_for,
                socket,
            });
        }
    }

    /// Closes connections that were idle for too long, and removes unwanted targets that have no idle connections.
    pub(crate) fn sweep(&self, is_wanted: impl Fn(&TargetId) -> bool) {
        let now = Instant::now();
        let mut targets = self.lock();
        targets.retain(|target, connections| {
            connections.idle.retain(|idle| idle.is_usable(now));
            is_wanted(target) || !connections.idle.is_empty()
        });
        self.sockets.retain(|target| targets.contains_key(target));
    }

    /// Removes a target and closes its idle connections.
    pub(crate) fn remove(&self, target: &TargetId) {
        self.lock().remove(target);
    }
}
