//! The log of a control replica, which writes batches to segment, snapshot and hard state files.

use std::fs::{self, File};

use hickoryspan_core::control::interface::{
    DurableLog, HardState, LogEntry, LogIndex, PersistBatch, PersistError, SnapshotRecord,
};
use hickoryspan_core::types::ReplicaId;

use crate::error::{StepError, StoreError};
use crate::file_ops::{self, ReplaceSteps};
use crate::folder::{DataFolder, HARD_STATE_NAME, snapshot_name, snapshot_path};
use crate::record;
use crate::segment::{self, SegmentFile, SegmentRecord};

/// Segment size in bytes from which the next batch starts a new segment. Bounds the memory that opening a
/// folder needs, because a segment is read as a whole.
const SEGMENT_ROLL_BYTES: u64 = 8 << 20;

const SNAPSHOT_STEPS: ReplaceSteps =
    ReplaceSteps { write: "snapshot_write", sync: "snapshot_sync", rename: "snapshot_rename" };
const HARD_STATE_STEPS: ReplaceSteps =
    ReplaceSteps { write: "hardstate_write", sync: "hardstate_sync", rename: "hardstate_rename" };

/// The durable log of one replica. [`DataFolder::into_log`] opens it.
#[derive(Debug)]
pub struct FileLog {
    folder: DataFolder,
    // Segments that receive no more records, oldest first.
    sealed: Vec<SegmentFile>,
    // The segment for the next batch; `None` means that the next batch creates one.
    active: Option<ActiveSegment>,
    next_number: u64,
    // Index of the current snapshot, or zero without one.
    snapshot: LogIndex,
    // The error after which the content of the disk is unknown; it is returned for every later batch.
    broken: Option<PersistError>,
}

#[derive(Debug)]
struct ActiveSegment {
    segment: SegmentFile,
    file: File,
}

// A failed step, classified by whether the data written before it is still intact.
enum BatchError {
    Intact(StepError),
    Broken(StepError),
}

// After a failed sync the content of the disk is unknown, even if the cause is a full disk.
impl From<StepError> for BatchError {
    fn from(error: StepError) -> Self {
        let intact = error.is_no_space() && !error.step.ends_with("_sync");
        if intact { Self::Intact(error) } else { Self::Broken(error) }
    }
}

impl FileLog {
    pub(crate) fn open(
        folder: DataFolder,
        mut segments: Vec<SegmentFile>,
        snapshot: LogIndex,
    ) -> Result<Self, StoreError> {
        let next_number = segments.last().map_or(1, |segment| segment.number + 1);
        let active = match segments.pop() {
            Some(segment) => {
                let file = segment::reopen(&segment)?;
                // The last process may have ended between a write and its sync. What is recovered counts as durable.
                file_ops::sync("segment_sync", &segment.path, &file)?;
                Some(ActiveSegment { file, segment })
            }
            None => None,
        };
        let mut log =
            Self { folder, sealed: segments, active, next_number, snapshot, broken: None };
        log.remove_compacted_segments()?;
        Ok(log)
    }

    /// Returns the identity of the replica that owns the log.
    pub fn identity(&self) -> ReplicaId {
        self.folder.identity
    }

    fn write(&mut self, batch: &PersistBatch) -> Result<(), BatchError> {
        let mut truncate_from = batch.truncate_from;
        if let Some(snapshot) = &batch.snapshot {
            // Conflicting entries are removed before the snapshot is written. After a crash in between they
            // would otherwise follow a snapshot that has replaced the entries before them.
            if let Some(from) = truncate_from.take() {
                self.append(Some(from), &[])?;
            }
            self.save_snapshot(snapshot)?;
        }
        if truncate_from.is_some() || !batch.entries.is_empty() {
            self.append(truncate_from, &batch.entries)?;
        }
        if let Some(hard_state) = &batch.hard_state {
            self.save_hard_state(hard_state)?;
        }
        Ok(())
    }

    fn append(
        &mut self,
        truncate_from: Option<LogIndex>,
        entries: &[LogEntry],
    ) -> Result<(), BatchError> {
        if self.active.as_ref().is_some_and(|active| active.segment.length >= SEGMENT_ROLL_BYTES) {
            self.seal_segment();
        }
        let identity = self.folder.identity;
        let active = match self.active.take() {
            Some(active) => self.active.insert(active),
            None => {
                let active = self.create_segment()?;
                self.active.insert(active)
            }
        };
        let ActiveSegment { segment, file } = active;
        let batch = SegmentRecord::Batch { truncate_from, entries: entries.to_vec() };
        let bytes = record::to_record(identity, segment.length, &segment::encode(&batch));
        let written =
            file_ops::write_at("segment_write", &segment.path, file, segment.length, &bytes);
        if let Err(error) = written {
            if error.is_no_space() {
                // A partially written record counts as corruption once other records follow it.
                file_ops::truncate("segment_cut", &segment.path, file, segment.length)
                    .and_then(|()| file_ops::sync("segment_cut_sync", &segment.path, file))
                    .map_err(BatchError::Broken)?;
            }
            return Err(error.into());
        }
        if let Err(error) = file_ops::sync("segment_sync", &segment.path, file) {
            // The next process must not recover the record: its pages may be in memory only, and a later sync may succeed
            // without writing them. If the cut fails as well, nothing more can be done here.
            let _ = file.set_len(segment.length);
            return Err(error.into());
        }
        segment.length += bytes.len() as u64;
        let indexes = entries.iter().map(|entry| entry.index);
        segment.max_index = indexes.fold(segment.max_index, LogIndex::max);
        Ok(())
    }

    fn create_segment(&mut self) -> Result<ActiveSegment, BatchError> {
        let (folder, number) = (&self.folder.path, self.next_number);
        let indexes = self.sealed.iter().map(|segment| segment.max_index);
        let preceding = indexes.fold(self.snapshot, LogIndex::max);
        // If this fails, the next attempt overwrites the incomplete file, or the next open removes it.
        let (segment, file) = segment::create(folder, self.folder.identity, number, preceding)?;
        self.next_number += 1;
        Ok(ActiveSegment { segment, file })
    }

    fn seal_segment(&mut self) {
        if let Some(active) = self.active.take() {
            self.sealed.push(active.segment);
        }
    }

    fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), BatchError> {
        let payload = segment::encode(snapshot);
        let bytes = record::to_record(self.folder.identity, 0, &payload);
        let name = snapshot_name(snapshot.index);
        self.replace(&SNAPSHOT_STEPS, &name, &bytes)?;
        let previous = std::mem::replace(&mut self.snapshot, snapshot.index);
        if previous != LogIndex(0) && previous != snapshot.index {
            file_ops::remove("snapshot_remove", &snapshot_path(&self.folder.path, previous))
                .map_err(BatchError::Broken)?;
        }
        self.seal_segment();
        self.remove_compacted_segments().map_err(BatchError::Broken)
    }

    // Removes segments from the oldest on, as long as the snapshot covers all their entries. The folder is not synced:
    // after a loss of power any of them may reappear, and reading the folder removes them again.
    fn remove_compacted_segments(&mut self) -> Result<(), StepError> {
        while let Some(oldest) = self.sealed.first() {
            if oldest.max_index > self.snapshot || self.snapshot == LogIndex(0) {
                break;
            }
            file_ops::remove("segment_remove", &oldest.path)?;
            self.sealed.remove(0);
        }
        Ok(())
    }

    fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), BatchError> {
        let payload = segment::encode(hard_state);
        let bytes = record::to_record(self.folder.identity, 0, &payload);
        self.replace(&HARD_STATE_STEPS, HARD_STATE_NAME, &bytes)
    }

    fn replace(
        &mut self,
        steps: &ReplaceSteps,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), BatchError> {
        let folder = &self.folder.path;
        let Err(error) = file_ops::replace(steps, folder, name, bytes) else { return Ok(()) };
        if error.is_no_space() && error.step == steps.write {
            // The old file is unchanged; the temporary file would only use up space.
            let _ = fs::remove_file(file_ops::temporary_path(folder, name));
            return Err(BatchError::Intact(error));
        }
        Err(BatchError::Broken(error))
    }
}

impl DurableLog for FileLog {
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), PersistError> {
        if let Some(error) = &self.broken {
            return Err(error.clone());
        }
        match self.write(batch) {
            Ok(()) => Ok(()),
            Err(BatchError::Intact(error)) => Err(error.into_no_space()),
            Err(BatchError::Broken(error)) => {
                let error = error.into_broken();
                self.broken = Some(error.clone());
                Err(error)
            }
        }
    }
}
