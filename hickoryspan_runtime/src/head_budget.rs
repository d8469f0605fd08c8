//! Room for large heads of responses, for all connections of a process together; see docs/design/caller_memory.md.
//!
//! Without room, the head that has been awaited for longest is given up: a sound peer sends its head at once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Part of a process's memory for large heads of responses.
const MEMORY_DIVISOR: usize = 32;

/// There is no room for a head, and none can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room is left for the head of a response")]
pub struct HeadsExhausted;

#[derive(Debug)]
struct AwaitedHead {
    bytes: usize,
    given_up: CancellationToken,
}

#[derive(Debug, Default)]
struct HeadLedger {
    /// Bytes of all heads, also of those that are complete.
    bytes: usize,
    /// The incomplete heads, in the order in which they became large.
    awaited: BTreeMap<u64, AwaitedHead>,
    next_number: u64,
}

impl HeadLedger {
    /// Gives up the incomplete head that has been awaited for longest. Returns false if that is this one.
    fn give_up_oldest(&mut self, number: u64) -> bool {
        let Some(oldest) = self.awaited.first_entry().filter(|oldest| *oldest.key() != number)
        else {
            return false;
        };
        let AwaitedHead { bytes, given_up } = oldest.remove();
        self.bytes -= bytes;
        given_up.cancel();
        metrics::counter!("hickoryspan_response_heads_given_up_total").increment(1);
        true
    }
}

/// The room for all large heads of responses.
#[derive(Debug)]
pub struct HeadBudget {
    max_bytes: usize,
    ledger: Mutex<HeadLedger>,
}

impl HeadBudget {
    /// Creates the budget of a process with this much memory, in bytes.
    pub fn of_memory(memory_bytes: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes: memory_bytes / MEMORY_DIVISOR, ledger: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, HeadLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the room of a head that has just become large. It has no bytes yet.
    pub(crate) fn begin(self: &Arc<Self>) -> HeadRoom {
        let given_up = CancellationToken::new();
        let mut ledger = self.lock();
        let number = ledger.next_number;
        ledger.next_number += 1;
        ledger.awaited.insert(number, AwaitedHead { bytes: 0, given_up: given_up.clone() });
        drop(ledger);
        HeadRoom { budget: Arc::clone(self), number, bytes: 0, given_up }
    }
}

/// The room of one head. It is given back when this is dropped.
#[derive(Debug)]
pub struct HeadRoom {
    budget: Arc<HeadBudget>,
    number: u64,
    bytes: usize,
    given_up: CancellationToken,
}

impl HeadRoom {
    /// Takes room for an incomplete head of this size. Others are given up for it.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), HeadsExhausted> {
        let further = bytes.saturating_sub(self.bytes);
        let mut ledger = self.budget.lock();
        while ledger.bytes + further > self.budget.max_bytes {
            if !ledger.give_up_oldest(self.number) {
                return Err(HeadsExhausted);
            }
        }
        // It may have been given up itself, which its connection learns soon.
        let Some(awaited) = ledger.awaited.get_mut(&self.number) else {
            return Err(HeadsExhausted);
        };
        awaited.bytes += further;
        ledger.bytes += further;
        self.bytes += further;
        Ok(())
    }

    /// Notes that the head is complete. It is not given up any more.
    pub(crate) fn complete(&self) {
        self.budget.lock().awaited.remove(&self.number);
    }

    /// Returns a token that is cancelled when the head is given up.
    pub(crate) fn given_up(&self) -> CancellationToken {
        self.given_up.clone()
    }
}

impl Drop for HeadRoom {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        ledger.awaited.remove(&self.number);
        // What was given up has been given back.
        if !self.given_up.is_cancelled() {
            ledger.bytes -= self.bytes;
        }
    }
}
