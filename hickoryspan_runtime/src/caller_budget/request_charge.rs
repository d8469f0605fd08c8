//! What one request of a caller occupies.

use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::ledger::{ANSWER_GRACE, Holding};
use super::{BudgetExhausted, CallerAccount, ENDING_DIVISOR};

#[derive(Debug, Default)]
struct ChargeState {
    bytes: usize,
    reserved_bytes: usize,
    running: bool,
}

/// What one request occupies. It is given back when the charge is dropped.
#[derive(Debug)]
pub struct RequestCharge {
    account: Arc<CallerAccount>,
    state: Mutex<ChargeState>,
}

impl RequestCharge {
    /// Creates the charge of a request whose head occupies this many bytes, which are charged already.
    pub(super) fn new(account: Arc<CallerAccount>, bytes: usize) -> Self {
        let state = ChargeState { bytes, ..ChargeState::default() };
        Self { account, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, ChargeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection is to be ended because there is no room.
    pub async fn evicted(&self) {
        self.account.evicted().await;
    }

    /// Returns whether the connection is being ended because there is no room.
    pub fn is_evicted(&self) -> bool {
        self.account.evicted.is_cancelled()
    }

    /// Makes room for the head of one of several requests on a connection, which is charged when it is complete. That of a
    /// single request has been charged as it arrived.
    pub fn admit(&self) -> Result<(), BudgetExhausted> {
        self.account.budget.make_room(self.account.number)
    }

    /// Charges further bytes of the request.
    pub fn add(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.lock().bytes += bytes;
        self.account.change(|holding| holding.request_bytes += bytes);
        self.account.budget.make_room(self.account.number)
    }

    /// Waits until connections that were ended have dropped most of what they held. Memory for bytes that were charged is
    /// taken only after that.
    pub async fn await_room(&self) {
        let budget = &self.account.budget;
        let most = budget.settings.large_bytes / ENDING_DIVISOR;
        loop {
            let mut freed = std::pin::pin!(budget.freed.notified());
            freed.as_mut().enable();
            if budget.lock().ending_bytes <= most {
                return;
            }
            freed.await;
        }
    }

    /// Notes that the request is complete. Its connection is not ended any more until it has an answer.
    pub fn complete(&self) {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.running, true) {
            self.account.change(|holding| holding.running += 1);
        }
    }

    /// Takes room for an answer of a target, or for a part of one. Waits for room if the request holds no other answer;
    /// otherwise requests could wait for each other.
    pub async fn reserve_answer(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let budget = &self.account.budget;
        loop {
            let mut freed = std::pin::pin!(budget.freed.notified());
            freed.as_mut().enable();
            if budget.try_reserve_answer(self.account.number, bytes) {
                self.lock().reserved_bytes += bytes;
                return Ok(());
            }
            if self.lock().reserved_bytes > 0 {
                budget.lock().note_loss("answers");
                return Err(BudgetExhausted);
            }
            // Unread answers may be given up after a while, which nothing announces.
            let _ = tokio::time::timeout(ANSWER_GRACE, freed).await;
        }
    }

    /// Notes that there is an answer of this size, which waits to be sent. The request occupies nothing any more.
    pub fn note_answer(&self, bytes: usize) {
        let now = Instant::now();
        self.give_back(|holding| {
            holding.unsent_bytes += bytes;
            holding.since = now;
        });
    }

    fn give_back(&self, then: impl FnOnce(&mut Holding)) {
        let mut state = self.lock();
        let ChargeState { bytes, reserved_bytes, running } = std::mem::take(&mut *state);
        drop(state);
        self.account.change(|holding| {
            // An evicted connection has given back everything already.
            holding.request_bytes = holding.request_bytes.saturating_sub(bytes);
            holding.reserved_bytes = holding.reserved_bytes.saturating_sub(reserved_bytes);
            holding.running -= usize::from(running);
            holding.ending_bytes = 0;
            then(holding);
        });
        self.account.budget.freed.notify_waiters();
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        self.account.requests.fetch_sub(1, Relaxed);
        self.give_back(|_| {});
    }
}
