//! The data folder of a control replica: lock, format version, identity, and recovery of the stored state.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

use hickoryspan_core::control::interface::{
    HardState, LogEntry, LogIndex, RecoveredState, SnapshotRecord,
};
use hickoryspan_core::types::ReplicaId;

use crate::error::{StepError, StoreError};
use crate::file_log::FileLog;
use crate::file_ops::{self, ReplaceSteps};
use crate::record::{self, ReadRecord};
use crate::segment::{self, SegmentFile, SegmentRecord};

const LOCK_NAME: &str = "LOCK";
const FORMAT_NAME: &str = "FORMAT";
const IDENTITY_NAME: &str = "identity";
pub(crate) const HARD_STATE_NAME: &str = "hardstate";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Content of `FORMAT`. A release that does not know it must refuse the folder.
const FORMAT_TEXT: &str = "hickoryspan data 1\n";

const IDENTITY_STEPS: ReplaceSteps =
    ReplaceSteps { write: "identity_write", sync: "identity_sync", rename: "identity_rename" };
const FORMAT_STEPS: ReplaceSteps =
    ReplaceSteps { write: "format_write", sync: "format_sync", rename: "format_rename" };

/// A locked data folder. The lock is released when this value, or the log made from it, is dropped.
#[derive(Debug)]
pub struct DataFolder {
    pub(crate) path: PathBuf,
    pub(crate) identity: ReplicaId,
    // Holds the file lock for as long as the process uses the folder.
    _lock: File,
}

/// A log that is ready for appending, with the state recovered from it.
#[derive(Debug)]
pub struct OpenedLog {
    /// Log that accepts further batches.
    pub log: FileLog,
    /// Hard state, snapshot and log entries found in the folder.
    pub recovered: RecoveredState,
}

impl DataFolder {
    /// Creates and locks the data folder of a new replica. The caller chooses a random identity.
    ///
    /// `FORMAT` is written last, so that an interrupted creation can be repeated. Returns [`StoreError::Exists`]
    /// if the folder is complete or contains data.
    pub fn create(path: impl AsRef<Path>, identity: ReplicaId) -> Result<Self, StoreError> {
        Self::create_with(path, identity, |_| Ok(()))
    }

    /// Like [`Self::create`], and first calls `prepare` for further files of the owner. They are complete once `FORMAT`
    /// exists.
    pub fn create_with(
        path: impl AsRef<Path>,
        identity: ReplicaId,
        prepare: impl FnOnce(&Path) -> std::io::Result<()>,
    ) -> Result<Self, StoreError> {
        let path = path.as_ref();
        fs::create_dir_all(path).map_err(|cause| step_error("folder_create", path, cause))?;
        let lock = lock_folder(path)?;
        if path.join(FORMAT_NAME).exists() || contains_data(path)? {
            return Err(StoreError::Exists(path.to_owned()));
        }
        prepare(path).map_err(|cause| step_error("folder_prepare", path, cause))?;
        let text = record::to_record(ReplicaId(0), 0, identity.to_string().as_bytes());
        file_ops::replace(&IDENTITY_STEPS, path, IDENTITY_NAME, &text)?;
        file_ops::replace(&FORMAT_STEPS, path, FORMAT_NAME, FORMAT_TEXT.as_bytes())?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            file_ops::sync_folder(parent)?;
        }
        Ok(Self { path: path.to_owned(), identity, _lock: lock })
    }

    /// Returns whether the path contains a complete data folder. The format file is written last, so its presence
    /// shows that the creation was completed.
    pub fn exists(path: impl AsRef<Path>) -> bool {
        path.as_ref().join(FORMAT_NAME).exists()
    }

    /// Locks an existing data folder, checks its format and reads its identity.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StoreError> {
        let path = path.as_ref();
        let format = path.join(FORMAT_NAME);
        if !format.exists() {
            return Err(StoreError::Missing(path.to_owned()));
        }
        let lock = lock_folder(path)?;
        let found = read_file(&format)?;
        if found != FORMAT_TEXT.as_bytes() {
            let found = String::from_utf8_lossy(&found).trim_end().to_owned();
            let expected = FORMAT_TEXT.trim_end().to_owned();
            return Err(StoreError::Format { file: format, found, expected });
        }
        let identity = read_identity(&path.join(IDENTITY_NAME))?;
        Ok(Self { path: path.to_owned(), identity, _lock: lock })
    }

    /// Returns the identity of the replica that owns the folder.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Recovers the stored state and returns it with the log for appending. A torn record at the end of the last
    /// segment is truncated; any other fault is returned as an error with file and offset.
    pub fn into_log(self) -> Result<OpenedLog, StoreError> {
        // The last process may have ended between a rename and the sync of the folder. What the new name replaces is removed
        // below, and must not be gone before the new name is durable.
        file_ops::sync_folder(&self.path)?;
        let names = list_names(&self.path)?;
        remove_temporary_files(&self.path, &names)?;
        let hard_state = self.read_hard_state()?;
        let snapshot = self.read_snapshot(&names)?;
        let snapshot_index = snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        let (segments, entries) = self.read_segments(&names, snapshot_index)?;
        // Names that were removed here or by the last process must not reappear beside new ones with equal numbers.
        file_ops::sync_folder(&self.path)?;
        let recovered = RecoveredState { hard_state, snapshot, entries };
        let log = FileLog::open(self, segments, snapshot_index)?;
        Ok(OpenedLog { log, recovered })
    }

    fn read_hard_state(&self) -> Result<HardState, StoreError> {
        let path = self.path.join(HARD_STATE_NAME);
        if !path.exists() {
            return Ok(HardState::default());
        }
        let bytes = read_file(&path)?;
        let payload = read_single_record(self.identity, &path, &bytes)?;
        ciborium::from_reader(payload)
            .map_err(|cause| StoreError::corrupt(&path, 0, cause.to_string()))
    }

    fn read_snapshot(&self, names: &[String]) -> Result<Option<SnapshotRecord>, StoreError> {
        let mut indexes: Vec<LogIndex> =
            names.iter().filter_map(|name| parse_snapshot_name(name)).collect();
        indexes.sort_unstable();
        let Some(newest) = indexes.pop() else { return Ok(None) };
        let path = snapshot_path(&self.path, newest);
        let bytes = read_file(&path)?;
        let payload = read_single_record(self.identity, &path, &bytes)?;
        let snapshot: SnapshotRecord = ciborium::from_reader(payload)
            .map_err(|cause| StoreError::corrupt(&path, 0, cause.to_string()))?;
        if snapshot.index != newest {
            return Err(StoreError::corrupt(
                &path,
                0,
                "snapshot index does not match the file name",
            ));
        }
        for older in indexes {
            file_ops::remove("snapshot_remove", &snapshot_path(&self.path, older))?;
        }
        Ok(Some(snapshot))
    }

    fn read_segments(
        &self,
        names: &[String],
        snapshot_index: LogIndex,
    ) -> Result<(Vec<SegmentFile>, Vec<LogEntry>), StoreError> {
        let mut numbers: Vec<u64> =
            names.iter().filter_map(|name| segment::parse_name(name)).collect();
        numbers.sort_unstable();
        let mut segments: Vec<SegmentFile> = Vec::new();
        let mut entries = Vec::new();
        for (position, number) in numbers.iter().enumerate() {
            let path = segment::segment_path(&self.path, *number);
            let last = position + 1 == numbers.len();
            let Some(loaded) = segment::load(&self.path, self.identity, *number, last)? else {
                file_ops::remove("segment_remove", &path)?;
                continue;
            };
            if segments.last().is_some_and(|previous| previous.number + 1 != *number) {
                if !is_compacted(&segments, &loaded.segment, snapshot_index) {
                    return Err(StoreError::corrupt(&path, 0, "previous segment is missing"));
                }
                for leftover in segments.drain(..) {
                    file_ops::remove("segment_remove", &leftover.path)?;
                }
            }
            for record in loaded.records {
                replay(&path, snapshot_index, &mut entries, record)?;
            }
            segments.push(loaded.segment);
        }
        Ok((segments, entries))
    }
}

// Returns whether the snapshot covers all entries before a segment. A missing one was then removed together with those
// before it, some of which have reappeared after a loss of power.
fn is_compacted(before: &[SegmentFile], segment: &SegmentFile, snapshot_index: LogIndex) -> bool {
    let indexes = before.iter().map(|segment| segment.max_index).chain(segment.preceding);
    indexes.max().is_none_or(|newest| newest <= snapshot_index)
}

fn replay(
    path: &Path,
    snapshot_index: LogIndex,
    entries: &mut Vec<LogEntry>,
    record: SegmentRecord,
) -> Result<(), StoreError> {
    let SegmentRecord::Batch { truncate_from, entries: added } = record else { return Ok(()) };
    if let Some(from) = truncate_from {
        let kept = entries.partition_point(|entry| entry.index < from);
        entries.truncate(kept);
    }
    for entry in added.into_iter().filter(|entry| entry.index > snapshot_index) {
        let expected = LogIndex(entries.last().map_or(snapshot_index, |last| last.index).0 + 1);
        if entry.index != expected {
            let cause = format!("found entry {}, expected {expected}", entry.index);
            return Err(StoreError::corrupt(path, 0, cause));
        }
        entries.push(entry);
    }
    Ok(())
}

/// Returns the path of the snapshot of a log index.
pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(snapshot_name(index))
}

/// Returns the file name of the snapshot of a log index. Zero padding keeps names in the order of indexes.
pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", index.0)
}

fn parse_snapshot_name(name: &str) -> Option<LogIndex> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok().map(LogIndex)
}

fn step_error(step: &'static str, file: &Path, cause: std::io::Error) -> StepError {
    StepError { step, file: file.to_owned(), cause }
}

fn read_file(path: &Path) -> Result<Vec<u8>, StoreError> {
    fs::read(path).map_err(|cause| step_error("file_read", path, cause).into())
}

fn lock_folder(path: &Path) -> Result<File, StoreError> {
    let lock_path = path.join(LOCK_NAME);
    let opened = OpenOptions::new().write(true).create(true).truncate(false).open(&lock_path);
    let lock = opened.map_err(|cause| step_error("lock_open", &lock_path, cause))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked(lock_path)),
        Err(TryLockError::Error(cause)) => Err(step_error("lock_take", &lock_path, cause).into()),
    }
}

fn list_names(path: &Path) -> Result<Vec<String>, StoreError> {
    let fault = |cause| step_error("folder_read", path, cause);
    let mut names = Vec::new();
    for entry in fs::read_dir(path).map_err(fault)? {
        names.push(entry.map_err(fault)?.file_name().to_string_lossy().into_owned());
    }
    Ok(names)
}

fn contains_data(path: &Path) -> Result<bool, StoreError> {
    let names = list_names(path)?;
    Ok(names.iter().any(|name| {
        name == HARD_STATE_NAME
            || segment::parse_name(name).is_some()
            || parse_snapshot_name(name).is_some()
    }))
}

// Temporary files are left over from replacements that failed before the rename, so nothing in them was
// acknowledged.
fn remove_temporary_files(path: &Path, names: &[String]) -> Result<(), StoreError> {
    for name in names.iter().filter(|name| name.ends_with(".tmp")) {
        let path = path.join(name);
        fs::remove_file(&path).map_err(|cause| step_error("temporary_remove", &path, cause))?;
    }
    Ok(())
}

fn read_identity(path: &Path) -> Result<ReplicaId, StoreError> {
    let bytes = read_file(path)?;
    let payload = read_single_record(ReplicaId(0), path, &bytes)?;
    let text = String::from_utf8_lossy(payload);
    text.parse().map_err(|cause| StoreError::corrupt(path, 0, format!("{cause}")))
}

fn read_single_record<'a>(
    identity: ReplicaId,
    path: &Path,
    bytes: &'a [u8],
) -> Result<&'a [u8], StoreError> {
    match record::read_record(identity, bytes, 0) {
        ReadRecord::Valid { payload, end } if end == bytes.len() => Ok(payload),
        ReadRecord::Valid { end, .. } => {
            Err(StoreError::corrupt(path, end as u64, "trailing bytes after the record"))
        }
        ReadRecord::End => Err(StoreError::corrupt(path, 0, "the file is empty")),
        ReadRecord::Invalid(cause) => Err(StoreError::corrupt(path, 0, cause)),
    }
}
