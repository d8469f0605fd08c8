//! What a leader knows about one other replica.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{LogConflict, LogPosition, RoundNumber};
use crate::control::interface::LogIndex;
use crate::types::MonotonicTime;

/// A snapshot on its way to a replica; the state is shared, so that a newer snapshot does not disturb it.
#[derive(Clone, Debug)]
pub struct SnapshotTransfer {
    /// The snapshot's last entry.
    pub last: LogPosition,
    /// The whole state.
    pub state: Arc<[u8]>,
    /// The bytes that the replica has received.
    pub received: u64,
    /// When the last part was sent.
    pub sent_at: MonotonicTime,
}

/// How entries are sent to a replica.
#[derive(Clone, Debug)]
pub enum SendMode {
    /// Finding the last equal entry, with one message at a time.
    Probe {
        /// When the unanswered message was sent.
        sent_at: Option<MonotonicTime>,
    },
    /// Sending ahead within the window.
    Replicate,
    /// Sending a snapshot.
    Snapshot(SnapshotTransfer),
}

/// What a leader knows about one other replica.
#[derive(Clone, Debug)]
pub struct PeerProgress {
    /// Entries up to here are durable there.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// How entries are sent.
    pub mode: SendMode,
    /// The last entries of unanswered messages.
    pub in_flight: VecDeque<LogIndex>,
    /// When it answered last.
    pub last_response_at: MonotonicTime,
    /// The newest read round that it confirmed.
    pub round: RoundNumber,
}

impl PeerProgress {
    /// A replica about which nothing is known; it counts as heard now.
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

    /// Takes a confirmed position.
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

    /// Goes back after a refusal; late refusals of positions that are durable there are ignored.
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
