//! Kept connections to targets, bounded by this entry's share of what a target accepts.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryspan_core::types::TargetId;
use hickoryspan_runtime::http_client::HttpConnection;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Time to open a connection; longer ones would not leave time for the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Taken off the idle time that a target states, for the way of a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

struct IdleConnection {
    connection: HttpConnection,
    usable_until: Instant,
}

struct TargetConnections {
    address: SocketAddr,
    // One for each request in flight. A request takes a kept connection if there is one, so that kept and used
    // connections together never exceed the share; a kept connection holds no permit, or waiting requests would not
    // see that it was put back.
    permits: Arc<Semaphore>,
    share: usize,
    idle: Vec<IdleConnection>,
}

/// A connection that is in use; dropping it closes it.
pub(crate) struct PooledConnection {
    pub(crate) connection: HttpConnection,
    /// Whether it was used before, so that the target may have closed it meanwhile.
    pub(crate) reused: bool,
    _permit: OwnedSemaphorePermit,
}

/// Connections to all targets.
#[derive(Default)]
pub(crate) struct TargetPool {
    targets: Mutex<HashMap<TargetId, TargetConnections>>,
}

impl TargetPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, TargetConnections>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection, or a new one; waits while the share of the target is in use. The share of a known target
    /// never shrinks.
    pub(crate) async fn acquire(
        &self,
        target: &TargetId,
        address: SocketAddr,
        share: usize,
        allow_reuse: bool,
    ) -> io::Result<PooledConnection> {
        let permits = self.permits(target, address, share);
        let permit = permits.acquire_owned().await.map_err(io::Error::other)?;
        if let Some(connection) = self.take_idle(target, allow_reuse) {
            return Ok(PooledConnection { connection, reused: true, _permit: permit });
        }
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await?;
        metrics::counter!("hickoryspan_gateway_connections_opened_total").increment(1);
        Ok(PooledConnection { connection, reused: false, _permit: permit })
    }

    fn permits(&self, target: &TargetId, address: SocketAddr, share: usize) -> Arc<Semaphore> {
        let mut targets = self.lock();
        let entry = targets.entry(target.clone()).or_insert_with(|| TargetConnections {
            address,
            permits: Arc::new(Semaphore::new(share)),
            share,
            idle: Vec::new(),
        });
        if entry.address != address {
            entry.address = address;
            entry.idle.clear();
        }
        // It only grows: permits in use cannot be taken back.
        if share > entry.share {
            entry.permits.add_permits(share - entry.share);
            entry.share = share;
        }
        Arc::clone(&entry.permits)
    }

    /// The kept connection that was used last; without `allow_reuse`, all of them are closed.
    fn take_idle(&self, target: &TargetId, allow_reuse: bool) -> Option<HttpConnection> {
        let mut targets = self.lock();
        let entry = targets.get_mut(target)?;
        if !allow_reuse {
            entry.idle.clear();
        }
        let now = Instant::now();
        while let Some(idle) = entry.idle.pop() {
            if idle.usable_until > now && !idle.connection.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole.
    pub(crate) fn put_back(&self, target: &TargetId, pooled: PooledConnection, idle: Duration) {
        let keep_for = idle.saturating_sub(IDLE_MARGIN);
        if keep_for.is_zero() || pooled.connection.is_closed() {
            return;
        }
        if let Some(entry) = self.lock().get_mut(target) {
            entry.idle.push(IdleConnection {
                connection: pooled.connection,
                usable_until: Instant::now() + keep_for,
            });
        }
    }

    /// Closes the kept connections to targets that are not wanted any more, and those that were idle too long.
    pub(crate) fn sweep(&self, is_wanted: impl Fn(&TargetId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|target, entry| {
            entry.idle.retain(|idle| idle.usable_until > now && !idle.connection.is_closed());
            is_wanted(target) || !entry.idle.is_empty()
        });
    }

    /// Closes all kept connections to a target.
    pub(crate) fn remove(&self, target: &TargetId) {
        self.lock().remove(target);
    }
}
