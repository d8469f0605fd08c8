//! Replication progress of one follower, as tracked by the leader.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{LogConflict, LogPosition, RoundNumber};
use crate::control::interface::LogIndex;
use crate::types::MonotonicTime;

/// Transfer of a snapshot to a replica. It keeps its own reference to the state, so that a newer snapshot does
/// not interrupt it.
#[derive(Clone, Debug)]
pub struct SnapshotTransfer {
    /// Last entry that the snapshot includes.
    pub last: LogPosition,
    /// Bytes of the complete snapshot.
    pub state: Arc<[u8]>,
    /// Number of bytes that the replica has acknowledged.
    pub received: u64,
    /// Time at which the last chunk was sent.
    pub sent_at: MonotonicTime,
}

/// Mode in which entries are sent to a replica.
#[derive(Clone, Debug)]
pub enum SendMode {
    /// Searches for the last matching entry, with one message at a time.
    Probe {
        /// Time at which the unanswered probe was sent, or `None` if none is pending.
        sent_at: Option<MonotonicTime>,
    },
    /// Pipelines entries within the send window.
    Replicate,
    /// Sends a snapshot, because the log no longer has the entries that the replica needs.
    Snapshot(SnapshotTransfer),
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub struct PeerProgress {
    /// Highest index that is known to match and to be durable on the replica.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Current send mode.
    pub mode: SendMode,
    /// Last index of each unacknowledged append message, oldest first.
    pub in_flight: VecDeque<LogIndex>,
    /// Time of the last answer.
    pub last_response_at: MonotonicTime,
    /// Highest heartbeat round that the replica has confirmed.
    pub round: RoundNumber,
}

impl PeerProgress {
    /// Creates the progress of a replica whose log is unknown. The time of its last answer starts at `now`, so that
    /// it has a full timeout to answer.
    pub fn new(last: LogIndex, now: MonotonicTime) -> Self {
        Self {
            matched: LogIndex(0),
            next: LogIndex(last.0 + 1),
            mode: SendMode::Probe { sent_at: None },
            in_flight: VecDeque::new(),
            last_response_at: now,
            round: RoundNumber::default(),
        }
    }

    /// Records an acknowledged index.
    pub fn note_matched(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        while self.in_flight.front().is_some_and(|last| *last <= self.matched) {
            self.in_flight.pop_front();
        }
        if matches!(self.mode, SendMode::Probe { .. }) {
            self.mode = SendMode::Replicate;
        }
        if let SendMode::Snapshot(transfer) = &self.mode
            && transfer.last.index <= self.matched
        {
            self.mode = SendMode::Replicate;
        }
    }

    /// Moves back after a rejected append and probes again. Late rejections of entries that have been acknowledged
    /// since are ignored.
    pub fn note_refused(&mut self, conflict: LogConflict) {
        let LogConflict { refused, hint } = conflict;
        if refused <= self.matched || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        self.next = hint.min(refused).max(LogIndex(self.matched.0 + 1));
        self.in_flight.clear();
        self.mode = SendMode::Probe { sent_at: None };
    }
}
