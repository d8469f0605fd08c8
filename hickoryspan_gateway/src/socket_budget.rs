//! The connections that an entry may have to all targets together; see docs/design/caller_memory.md.
//!
//! Without a free one, those who came last are served first, and the request that has kept a connection busy for longest
//! gives it up. Otherwise a crowd of requests that are never answered would keep all others waiting.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryspan_core::gateway::targets::connection_shares::ConnectionShares;
use hickoryspan_core::types::TargetId;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Time for which a request may keep a connection busy before it gives it up for others. Few requests take so long.
const USE_TIME: Duration = Duration::from_secs(1);

/// A request that waits for a connection.
struct SocketWaiter {
    target: TargetId,
    reply_to: oneshot::Sender<SocketPermit>,
}

/// A request that has a connection.
struct SocketUse {
    since: Instant,
    needed: CancellationToken,
}

struct SocketState {
    shares: ConnectionShares,
    /// In the order in which they came.
    waiters: BTreeMap<u64, SocketWaiter>,
    /// In the order in which they began.
    uses: BTreeMap<u64, SocketUse>,
    next_number: u64,
}

impl SocketState {
    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

/// The number of connections that there may be, those who use them and those who wait.
pub(crate) struct SocketBudget(Mutex<SocketState>);

impl SocketBudget {
    /// Creates a budget of this many connections.
    pub(crate) fn new(max_connections: usize) -> Arc<Self> {
        let shares = ConnectionShares::new(max_connections);
        let state =
            SocketState { shares, waiters: BTreeMap::new(), uses: BTreeMap::new(), next_number: 0 };
        Arc::new(Self(Mutex::new(state)))
    }

    fn lock(&self) -> MutexGuard<'_, SocketState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a connection to the target, if there may be another one.
    pub(crate) fn try_acquire(self: &Arc<Self>, target: &TargetId) -> Option<SocketPermit> {
        let is_open = self.lock().shares.try_open(target);
        is_open.then(|| SocketPermit::new(Arc::clone(self), target.clone()))
    }

    /// Waits for a connection to the target. Cancel safe.
    pub(crate) async fn acquire(self: &Arc<Self>, target: &TargetId) -> SocketPermit {
        metrics::counter!("hickoryspan_gateway_socket_waits_total").increment(1);
        loop {
            if let Some(permit) = self.try_acquire(target) {
                return permit;
            }
            let (entry, reply) = WaiterEntry::new(self, target);
            let next_look = self.end_longest_use();
            let granted = tokio::time::timeout(next_look, reply).await;
            drop(entry);
            if let Ok(Ok(permit)) = granted {
                return permit;
            }
        }
    }

    /// Ends the longest use, if it has lasted long enough. Returns the time until the next one has.
    fn end_longest_use(&self) -> Duration {
        let mut state = self.lock();
        let Some((_, longest)) = state.uses.first_key_value() else { return USE_TIME };
        let lasted = longest.since.elapsed();
        if lasted < USE_TIME {
            return USE_TIME - lasted;
        }
        if let Some((_, ended)) = state.uses.pop_first() {
            ended.needed.cancel();
            metrics::counter!("hickoryspan_gateway_attempts_displaced_total").increment(1);
        }
        USE_TIME
    }

    /// Returns whether requests wait for a connection.
    pub(crate) fn has_waiters(&self) -> bool {
        !self.lock().waiters.is_empty()
    }

    /// Forgets targets that are not wanted any more.
    pub(crate) fn retain(&self, is_wanted: impl Fn(&TargetId) -> bool) {
        self.lock().shares.retain(is_wanted);
    }

    /// Gives a connection that has closed to the waiter that came last, of those whose target may have another one.
    fn hand_on(self: &Arc<Self>, closed: &TargetId) {
        let mut state = self.lock();
        state.shares.close(closed);
        let SocketState { shares, waiters, .. } = &mut *state;
        let mut newest_first = waiters.iter().rev();
        let next = newest_first.find(|(_, waiter)| shares.try_open(&waiter.target));
        let number = next.map(|(number, _)| *number);
        let Some(waiter) = number.and_then(|number| waiters.remove(&number)) else { return };
        drop(state);
        let SocketWaiter { target, reply_to } = waiter;
        // If the waiter has just gone, the permit comes back at once and goes to the next one.
        let _ = reply_to.send(SocketPermit::new(Arc::clone(self), target));
    }
}

/// A place in the list of those who wait, until it is dropped.
struct WaiterEntry<'a> {
    budget: &'a SocketBudget,
    number: u64,
}

impl<'a> WaiterEntry<'a> {
    fn new(budget: &'a SocketBudget, target: &TargetId) -> (Self, oneshot::Receiver<SocketPermit>) {
        let (reply_to, reply) = oneshot::channel();
        let mut state = budget.lock();
        let number = state.take_number();
        state.waiters.insert(number, SocketWaiter { target: target.clone(), reply_to });
        drop(state);
        (Self { budget, number }, reply)
    }
}

impl Drop for WaiterEntry<'_> {
    fn drop(&mut self) {
        self.budget.lock().waiters.remove(&self.number);
    }
}

/// Allows one connection to a target. It is given back when this is dropped.
pub(crate) struct SocketPermit {
    budget: Arc<SocketBudget>,
    target: TargetId,
    use_number: u64,
    needed: CancellationToken,
}

impl SocketPermit {
    fn new(budget: Arc<SocketBudget>, target: TargetId) -> Self {
        let mut permit = Self { budget, target, use_number: 0, needed: CancellationToken::new() };
        permit.begin_use();
        permit
    }

    /// Notes that a request uses the connection from now on.
    pub(crate) fn begin_use(&mut self) {
        self.needed = CancellationToken::new();
        let needed = self.needed.clone();
        let mut state = self.budget.lock();
        self.use_number = state.take_number();
        state.uses.insert(self.use_number, SocketUse { since: Instant::now(), needed });
    }

    /// Notes that no request uses the connection.
    pub(crate) fn end_use(&mut self) {
        self.budget.lock().uses.remove(&self.use_number);
    }

    /// Returns a token that is cancelled when the request that uses the connection is to give it up.
    pub(crate) fn needed(&self) -> CancellationToken {
        self.needed.clone()
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.end_use();
        self.budget.hand_on(&self.target);
    }
}
