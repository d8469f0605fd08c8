//! Room for what peers respond, for all connections of a process together; see docs/design/caller_memory.md.
//!
//! Without room, the incomplete response that has had room for longest is given up: a sound peer sends its response at
//! once when it has begun.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Part of a process's memory for large heads of responses.
const HEAD_DIVISOR: usize = 32;
/// Part of a process's memory for bodies of responses.
const BODY_DIVISOR: usize = 8;
/// Part of the room that responses may still hold in addition after they were given up, until their readers drop them.
const ENDING_DIVISOR: usize = 4;

/// There is no room for a response, and none can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room is left for a response")]
pub struct NoResponseRoom;

#[derive(Debug)]
struct AwaitedResponse {
    bytes: usize,
    given_up: CancellationToken,
}

#[derive(Debug, Default)]
struct ResponseLedger {
    /// Bytes of all responses, also of those that are complete.
    bytes: usize,
    /// Bytes of responses that were given up and are not dropped yet.
    ending_bytes: usize,
    /// The incomplete responses, in the order in which they took room.
    awaited: BTreeMap<u64, AwaitedResponse>,
    next_number: u64,
}

impl ResponseLedger {
    /// Gives up the incomplete response that has had room for longest. Returns false if that is this one.
    fn give_up_oldest(&mut self, number: u64) -> bool {
        let Some(oldest) = self.awaited.first_entry().filter(|oldest| *oldest.key() != number)
        else {
            return false;
        };
        let AwaitedResponse { bytes, given_up } = oldest.remove();
        self.bytes -= bytes;
        self.ending_bytes += bytes;
        given_up.cancel();
        metrics::counter!("hickoryspan_responses_given_up_total").increment(1);
        true
    }
}

/// The room for all responses.
#[derive(Debug)]
pub struct ResponseBudget {
    max_bytes: usize,
    ledger: Mutex<ResponseLedger>,
}

impl ResponseBudget {
    /// Creates the budget for large heads in a process with this much memory, in bytes.
    pub fn for_heads(memory_bytes: usize) -> Arc<Self> {
        Self::new(memory_bytes / HEAD_DIVISOR)
    }

    /// Creates the budget for bodies in a process with this much memory, in bytes.
    pub fn for_bodies(memory_bytes: usize) -> Arc<Self> {
        Self::new(memory_bytes / BODY_DIVISOR)
    }

    fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes, ledger: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, ResponseLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the room of a response. It has no bytes yet.
    pub(crate) fn begin(self: &Arc<Self>) -> ResponseRoom {
        let given_up = CancellationToken::new();
        let mut ledger = self.lock();
        let number = ledger.next_number;
        ledger.next_number += 1;
        ledger.awaited.insert(number, AwaitedResponse { bytes: 0, given_up: given_up.clone() });
        drop(ledger);
        ResponseRoom { budget: Arc::clone(self), number, bytes: 0, given_up }
    }
}

/// The room of one response. It is given back when this is dropped.
#[derive(Debug)]
pub struct ResponseRoom {
    budget: Arc<ResponseBudget>,
    number: u64,
    bytes: usize,
    given_up: CancellationToken,
}

impl ResponseRoom {
    /// Takes room for an incomplete response of this size. Others are given up for it. One that is larger than all room
    /// gets it while it is alone.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), NoResponseRoom> {
        let further = bytes.saturating_sub(self.bytes);
        let mut ledger = self.budget.lock();
        while ledger.bytes > self.bytes && ledger.bytes + further > self.budget.max_bytes {
            let has_too_many_ending = ledger.ending_bytes > self.budget.max_bytes / ENDING_DIVISOR;
            if has_too_many_ending || !ledger.give_up_oldest(self.number) {
                return Err(NoResponseRoom);
            }
        }
        // It may have been given up itself, which its reader learns soon.
        let Some(awaited) = ledger.awaited.get_mut(&self.number) else {
            return Err(NoResponseRoom);
        };
        awaited.bytes += further;
        ledger.bytes += further;
        self.bytes += further;
        Ok(())
    }

    /// Notes that the response is complete. It is not given up any more.
    pub(crate) fn complete(&self) {
        self.budget.lock().awaited.remove(&self.number);
    }

    /// Returns a token that is cancelled when the response is given up.
    pub(crate) fn given_up(&self) -> CancellationToken {
        self.given_up.clone()
    }
}

impl Drop for ResponseRoom {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        ledger.awaited.remove(&self.number);
        match self.given_up.is_cancelled() {
            true => ledger.ending_bytes -= self.bytes,
            false => ledger.bytes -= self.bytes,
        }
    }
}
