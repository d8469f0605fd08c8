//! Which parts of the log and hard state are handed to the store, and which messages wait for them.

use super::ReplicaBody;
use super::log::LogBuffer;
use crate::control::interface::{LogIndex, PersistBatch, PersistSequence};
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

/// A message to another replica; some must not leave before the batch that makes them true.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term when the message was made.
    pub term: TermNumber,
    /// The content.
    pub body: ReplicaBody,
}

/// A batch at the store.
#[derive(Debug)]
pub struct BatchInFlight {
    /// Its sequence.
    pub sequence: PersistSequence,
    /// Entries up to here are durable after it; lowered when the log drops entries meanwhile.
    pub end: LogIndex,
    /// Whether it contains a snapshot.
    pub snapshot: bool,
    /// The term that it makes durable.
    pub hard_term: Option<TermNumber>,
    /// The messages that wait for it.
    pub deferred: Vec<OutgoingMessage>,
}

/// The order of batches; one is at the store at a time, and everything that comes meanwhile is the next one.
#[derive(Debug, Default)]
pub struct PersistPipeline {
    /// The sequence of the newest batch.
    pub sequence: PersistSequence,
    /// The batch at the store.
    pub in_flight: Option<BatchInFlight>,
    /// Entries up to here are durable, if they are still in the log.
    pub persisted: LogIndex,
    /// Entries up to here are durable or in the batch at the store.
    pub submitted: LogIndex,
    /// Entries at the store from here on must be dropped.
    pub truncate_from: Option<LogIndex>,
    /// Whether the hard state must be written.
    pub hard_dirty: bool,
    /// Whether the snapshot must be written.
    pub snapshot_dirty: bool,
    /// Messages for the next batch.
    pub deferred: Vec<OutgoingMessage>,
    /// The disk is full until a batch succeeds; when to try again.
    pub retry_at: Option<MonotonicTime>,
}

impl PersistPipeline {
    /// Whether everything so far is durable.
    pub fn is_idle(&self, last: LogIndex) -> bool {
        self.in_flight.is_none() && !self.is_dirty(last)
    }

    /// Whether something must be handed to the store.
    pub fn is_dirty(&self, last: LogIndex) -> bool {
        self.hard_dirty
            || self.snapshot_dirty
            || self.truncate_from.is_some()
            || !self.deferred.is_empty()
            || self.submitted < last
    }

    /// Whether the disk is full.
    pub fn is_disk_full(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Whether the current term and vote are durable.
    pub fn is_hard_durable(&self) -> bool {
        let writing = self.in_flight.as_ref().is_some_and(|batch| batch.hard_term.is_some());
        !self.hard_dirty && !writing
    }

    /// The log dropped its entries from this index on.
    pub fn note_truncated(&mut self, index: LogIndex) {
        let before = LogIndex(index.0.saturating_sub(1));
        if index <= self.submitted {
            let earlier = self.truncate_from.map_or(index, |known| known.min(index));
            self.truncate_from = Some(earlier);
        }
        self.submitted = self.submitted.min(before);
        self.persisted = self.persisted.min(before);
        if let Some(batch) = &mut self.in_flight {
            batch.end = batch.end.min(before);
        }
    }

    /// Starts the next batch; the caller adds the snapshot and hard state that it asks for.
    pub fn start(&mut self, log: &LogBuffer, max_bytes: usize) -> PersistBatch {
        let first = LogIndex(self.submitted.0 + 1);
        let entries = log.slice(first, log.last().index, usize::MAX, max_bytes);
        if let Some(entry) = entries.last() {
            self.submitted = entry.index;
        }
        self.sequence = PersistSequence(self.sequence.0 + 1);
        PersistBatch {
            snapshot: None,
            truncate_from: self.truncate_from.take(),
            entries,
            hard_state: None,
        }
    }

    /// Takes a finished batch.
    pub fn finish(&mut self, sequence: PersistSequence) -> Option<BatchInFlight> {
        if self.in_flight.as_ref().is_none_or(|batch| batch.sequence > sequence) {
            return None;
        }
        let batch = self.in_flight.take()?;
        self.retry_at = None;
        self.persisted = self.persisted.max(batch.end);
        Some(batch)
    }

    /// The batch at the store found no space: everything that is not durable is handed over again later.
    pub fn fail(&mut self, retry_at: MonotonicTime) {
        self.retry_at = Some(retry_at);
        self.submitted = self.persisted;
        self.truncate_from = Some(LogIndex(self.persisted.0 + 1));
        self.hard_dirty = true;
        if let Some(batch) = self.in_flight.take() {
            self.snapshot_dirty |= batch.snapshot;
            let newer = std::mem::replace(&mut self.deferred, batch.deferred);
            self.deferred.extend(newer);
        }
    }
}
