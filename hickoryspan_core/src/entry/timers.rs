//! Wake-up times of queries, targets and cancelled attempts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::{AttemptId, MonotonicTime};

use super::arena::QueryKey;
use super::targets::TargetIndex;

/// What a timer wakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// A search or order inspects its partitions.
    Query(QueryKey),
    /// A target opens connections, serves waiting sub-requests or reports a crash.
    Target(TargetIndex),
    /// A cancelled attempt has not been answered.
    Attempt(AttemptId),
}

/// A timer that fires at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerEntry {
    /// When it fires.
    pub at: MonotonicTime,
    /// What it wakes.
    pub key: TimerKey,
}

/// Timers by time. An entry whose owner has ended or was rescheduled is dropped when it fires.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<TimerEntry>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn schedule(&mut self, at: MonotonicTime, key: TimerKey) {
        self.heap.push(Reverse(TimerEntry { at, key }));
    }

    /// The next timer, whether due or not.
    pub fn peek(&self) -> Option<TimerEntry> {
        self.heap.peek().map(|entry| entry.0)
    }

    /// Removes the next timer.
    pub fn pop(&mut self) -> Option<TimerEntry> {
        self.heap.pop().map(|entry| entry.0)
    }
}
