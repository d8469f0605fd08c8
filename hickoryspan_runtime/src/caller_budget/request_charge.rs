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

    /// Returns whether the whole request has arrived.
    pub fn is_complete(&self) -> bool {
        self.lock().running
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

/// The room that one answer of a target takes while it is read. It is given back when this is dropped, unless it is kept.
#[derive(Debug)]
pub struct AnswerRoom<'a> {
    charge: &'a RequestCharge,
    bytes: usize,
}

impl<'a> AnswerRoom<'a> {
    /// Creates the room of an answer to this request, which takes none yet.
    pub fn new(charge: &'a RequestCharge) -> Self {
        Self { charge, bytes: 0 }
    }

    /// Takes room for the answer or for a further part of it. The first time it waits for room, since what other answers
    /// hold is given back without it. A further part is not waited for: answers that have arrived in part could otherwise
    /// wait for each other.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let budget = &self.charge.account.budget;
        loop {
            let mut freed = std::pin::pin!(budget.freed.notified());
            freed.as_mut().enable();
            if budget.try_reserve_answer(self.charge.account.number, bytes) {
                self.charge.lock().reserved_bytes += bytes;
                self.bytes += bytes;
                return Ok(());
            }
            if self.bytes > 0 {
                budget.lock().note_loss("answers");
                return Err(BudgetExhausted);
            }
            // Unread answers may be given up after a while, which nothing announces.
            let _ = tokio::time::timeout(ANSWER_GRACE, freed).await;
        }
    }

    /// Waits as [`RequestCharge::await_room`] does.
    pub async fn await_room(&self) {
        self.charge.await_room().await;
    }

    /// Leaves this many bytes to the request until it has an answer, and gives the rest back.
    pub fn keep(mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

impl Drop for AnswerRoom<'_> {
    fn drop(&mut self) {
        let bytes = self.bytes;
        if bytes == 0 {
            return;
        }
        let mut state = self.charge.lock();
        state.reserved_bytes = state.reserved_bytes.saturating_sub(bytes);
        drop(state);
        self.charge.account.change(|holding| {
            // A connection that is being ended has given back everything already.
            holding.reserved_bytes = holding.reserved_bytes.saturating_sub(bytes);
        });
        self.charge.account.budget.freed.notify_waiters();
    }
}
