//! Persistence of the log and hard state in batches, and messages that wait until a batch is durable.

use super::ReplicaBody;
use super::log::LogBuffer;
use crate::control::interface::{LogIndex, PersistBatch, PersistSequence};
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

/// A message to another replica. Some must not be sent before the state that they report is durable.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Receiver of the message.
    pub to: ReplicaId,
    /// The sender's term when the message was created.
    pub term: TermNumber,
    /// The message itself.
    pub body: ReplicaBody,
}

/// A batch that the store is writing.
#[derive(Debug)]
pub struct BatchInFlight {
    /// Sequence number of the batch.
    pub sequence: PersistSequence,
    /// Entries up to this index are durable after the batch; lowered if the log is truncated meanwhile.
    pub end: LogIndex,
    /// Whether the batch contains a snapshot.
    pub snapshot: bool,
    /// Term of the hard state in the batch, or `None` if the batch contains none.
    pub hard_state_term: Option<TermNumber>,
    /// Messages that are sent when the batch is durable.
    pub deferred: Vec<OutgoingMessage>,
}

/// Schedules batches. The store writes one batch at a time; all changes made meanwhile form the next batch.
#[derive(Debug, Default)]
pub struct PersistPipeline {
    /// Sequence number of the last batch.
    pub sequence: PersistSequence,
    /// The batch that the store is writing.
    pub in_flight: Option<BatchInFlight>,
    /// Entries up to this index are durable, as far as they are still in the log.
    pub persisted: LogIndex,
    /// Entries up to this index are durable or in the batch that is being written.
    pub submitted: LogIndex,
    /// Index from which the next batch must truncate the stored log.
    pub truncate_from: Option<LogIndex>,
    /// Whether the hard state has changed since the last batch.
    pub hard_state_dirty: bool,
    /// Whether the snapshot has changed since the last batch.
    pub snapshot_dirty: bool,
    /// Messages that are sent when the next batch is durable.
    pub deferred: Vec<OutgoingMessage>,
    /// Time of the next attempt after the disk was full; `None` once a batch has succeeded.
    pub retry_at: Option<MonotonicTime>,
}

impl PersistPipeline {
    /// Returns whether the log up to `last` and all other state is durable.
    pub fn is_idle(&self, last: LogIndex) -> bool {
        self.in_flight.is_none() && !self.is_dirty(last)
    }

    /// Returns whether there is anything to write that is not in the current batch.
    pub fn is_dirty(&self, last: LogIndex) -> bool {
        self.hard_state_dirty
            || self.snapshot_dirty
            || self.truncate_from.is_some()
            || !self.deferred.is_empty()
            || self.submitted < last
    }

    /// Returns whether the last batch failed because the disk is full.
    pub fn is_disk_full(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Returns whether the current term and vote are durable.
    pub fn is_hard_state_durable(&self) -> bool {
        let writing = self.in_flight.as_ref().is_some_and(|batch| batch.hard_state_term.is_some());
        !self.hard_state_dirty && !writing
    }

    /// Records that the log was truncated from this index on.
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

    /// Starts the next batch with the entries that are due. The caller adds the snapshot and hard state if they are
    /// dirty.
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

    /// Handles the completion of all batches up to `sequence`. Returns the current batch if it is among them.
    pub fn finish(&mut self, sequence: PersistSequence) -> Option<BatchInFlight> {
        if self.in_flight.as_ref().is_none_or(|batch| batch.sequence > sequence) {
            return None;
        }
        let batch = self.in_flight.take()?;
        self.retry_at = None;
        self.persisted = self.persisted.max(batch.end);
        Some(batch)
    }

    /// Handles a batch that failed for lack of disk space: everything that is not durable is written again later.
    pub fn fail(&mut self, retry_at: MonotonicTime) {
        self.retry_at = Some(retry_at);
        self.submitted = self.persisted;
        self.truncate_from = Some(LogIndex(self.persisted.0 + 1));
        self.hard_state_dirty = true;
        if let Some(batch) = self.in_flight.take() {
            self.snapshot_dirty |= batch.snapshot;
            let newer = std::mem::replace(&mut self.deferred, batch.deferred);
            self.deferred.extend(newer);
        }
    }
}
