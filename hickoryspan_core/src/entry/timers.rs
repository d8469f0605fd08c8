//! Timers of queries, targets and abandoned attempts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::{AttemptId, MonotonicTime};

use super::arena::QueryKey;
use super::targets::TargetIndex;

/// Owner of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// Inspects the partitions of a search or order.
    Query(QueryKey),
    /// Opens connections of a target, serves its waiting requests or reports its crash.
    Target(TargetIndex),
    /// Closes the connection of an abandoned attempt that has not been answered.
    Attempt(AttemptId),
}

/// Scheduled timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerEntry {
    /// Time at which the timer fires.
    pub at: MonotonicTime,
    /// Owner of the timer.
    pub key: TimerKey,
}

/// Timers ordered by time. An entry whose owner has ended or was rescheduled is stale and is
/// dropped when it fires.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<TimerEntry>>,
}

impl TimerQueue {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: MonotonicTime, key: TimerKey) {
        self.heap.push(Reverse(TimerEntry { at, key }));
    }

    /// Returns the earliest timer without removing it.
    pub fn peek(&self) -> Option<TimerEntry> {
        self.heap.peek().map(|entry| entry.0)
    }

    /// Removes and returns the earliest timer.
    pub fn pop(&mut self) -> Option<TimerEntry> {
        self.heap.pop().map(|entry| entry.0)
    }
}
