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
const CONNECT_TIME: Duration = Duration::from_millis(1_000);
/// Taken off the idle time that a target states, for the way of a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

struct IdleConnection {
    connection: HttpConnection,
    permit: OwnedSemaphorePermit,
    usable_until: Instant,
}

struct TargetConnections {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Vec<IdleConnection>,
}

/// A connection that is in use; dropping it closes it.
pub(crate) struct PooledConnection {
    pub(crate) connection: HttpConnection,
    /// Whether it was used before, so that the target may have closed it meanwhile.
    pub(crate) reused: bool,
    permit: OwnedSemaphorePermit,
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

    /// A kept connection, or a new one; waits while the share of the target is in use.
    pub(crate) async fn acquire(
        &self,
        target: &TargetId,
        address: SocketAddr,
        share: usize,
        allow_kept: bool,
    ) -> io::Result<PooledConnection> {
        let permits = match self.take_idle(target, address, share, allow_kept) {
            Ok(connection) => return Ok(connection),
            Err(permits) => permits,
        };
        let permit = permits.acquire_owned().await.map_err(io::Error::other)?;
        // Another request may have put a connection back while this one waited.
        if allow_kept && let Ok(connection) = self.take_idle(target, address, share, true) {
            return Ok(connection);
        }
        let connection = HttpConnection::open(address, CONNECT_TIME).await?;
        metrics::counter!("hickoryspan_gateway_connections_opened_total").increment(1);
        Ok(PooledConnection { connection, reused: false, permit })
    }

    fn take_idle(
        &self,
        target: &TargetId,
        address: SocketAddr,
        share: usize,
        allow_kept: bool,
    ) -> Result<PooledConnection, Arc<Semaphore>> {
        let mut targets = self.lock();
        let entry = targets.entry(target.clone()).or_insert_with(|| TargetConnections {
            address,
            permits: Arc::new(Semaphore::new(share)),
            idle: Vec::new(),
        });
        if entry.address != address {
            entry.address = address;
            entry.idle.clear();
        }
        let now = Instant::now();
        while let Some(idle) = entry.idle.pop() {
            let usable = idle.usable_until > now && !idle.connection.is_closed();
            if usable && allow_kept {
                let IdleConnection { connection, permit, .. } = idle;
                return Ok(PooledConnection { connection, reused: true, permit });
            }
        }
        Err(Arc::clone(&entry.permits))
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
                permit: pooled.permit,
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
    pub(crate) fn forget(&self, target: &TargetId) {
        self.lock().remove(target);
    }
}
