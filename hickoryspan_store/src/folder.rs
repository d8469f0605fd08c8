//! The data folder: lock, format, identity, and what is found at open.

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
/// What `FORMAT` contains; a version that cannot read this must refuse the folder.
const FORMAT_TEXT: &str = "hickoryspan data 1\n";

const IDENTITY_STEPS: ReplaceSteps =
    ReplaceSteps { write: "identity_write", sync: "identity_sync", rename: "identity_rename" };
const FORMAT_STEPS: ReplaceSteps =
    ReplaceSteps { write: "format_write", sync: "format_sync", rename: "format_rename" };

/// A locked data folder; the lock ends when this or the log made from it is dropped.
#[derive(Debug)]
pub struct DataFolder {
    pub(crate) path: PathBuf,
    pub(crate) identity: ReplicaId,
    // Held for the lifetime of the process's use of the folder.
    _lock: File,
}

/// A log that is ready for use, and what it contains.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log.
    pub log: FileLog,
    /// What was found.
    pub recovered: RecoveredState,
}

impl DataFolder {
    /// Creates the folder of a new replica; the caller draws the identity at random. `FORMAT` is written
    /// last, so a folder whose creation was cut off can be created again. Fails if the folder is complete.
    pub fn create(path: impl AsRef<Path>, identity: ReplicaId) -> Result<Self, StoreError> {
        let path = path.as_ref();
        fs::create_dir_all(path).map_err(|cause| step("folder_create", path, cause))?;
        let lock = lock_folder(path)?;
        if path.join(FORMAT_NAME).exists() || has_data(path)? {
            return Err(StoreError::Exists(path.to_owned()));
        }
        let text = record::to_record(ReplicaId(0), 0, identity.to_string().as_bytes());
        file_ops::replace(&IDENTITY_STEPS, path, IDENTITY_NAME, &text)?;
        file_ops::replace(&FORMAT_STEPS, path, FORMAT_NAME, FORMAT_TEXT.as_bytes())?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            file_ops::sync_folder(parent)?;
        }
        Ok(Self { path: path.to_owned(), identity, _lock: lock })
    }

    /// Whether the path has a complete data folder; the format file is its last part.
    pub fn exists(path: impl AsRef<Path>) -> bool {
        path.as_ref().join(FORMAT_NAME).exists()
    }

    /// Locks an existing folder and reads its identity.
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

    /// The replica's identity.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Reads everything and returns the log for appending. A torn tail is cut off; any other fault is
    /// refused with file and offset.
    pub fn into_log(self) -> Result<OpenedLog, StoreError> {
        let names = list_names(&self.path)?;
        remove_temporaries(&self.path, &names)?;
        let hard_state = self.read_hard_state()?;
        let snapshot = self.read_snapshot(&names)?;
        let base = snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        let (segments, entries) = self.read_segments(&names, base)?;
        let recovered = RecoveredState { hard_state, snapshot, entries };
        let log = FileLog::open(self, segments, base)?;
        Ok(OpenedLog { log, recovered })
    }

    fn read_hard_state(&self) -> Result<HardState, StoreError> {
        let path = self.path.join(HARD_STATE_NAME);
        if !path.exists() {
            return Ok(HardState::default());
        }
        let bytes = read_file(&path)?;
        let payload = read_single(self.identity, &path, &bytes)?;
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
        let payload = read_single(self.identity, &path, &bytes)?;
        let snapshot: SnapshotRecord = ciborium::from_reader(payload)
            .map_err(|cause| StoreError::corrupt(&path, 0, cause.to_string()))?;
        if snapshot.index != newest {
            return Err(StoreError::corrupt(&path, 0, "the snapshot has another index"));
        }
        for older in indexes {
            file_ops::remove("snapshot_remove", &snapshot_path(&self.path, older))?;
        }
        Ok(Some(snapshot))
    }

    fn read_segments(
        &self,
        names: &[String],
        base: LogIndex,
    ) -> Result<(Vec<SegmentFile>, Vec<LogEntry>), StoreError> {
        let mut numbers: Vec<u64> =
            names.iter().filter_map(|name| segment::parse_name(name)).collect();
        numbers.sort_unstable();
        let mut segments: Vec<SegmentFile> = Vec::new();
        let mut entries = Vec::new();
        for (position, number) in numbers.iter().enumerate() {
            let path = segment::segment_path(&self.path, *number);
            if segments.last().is_some_and(|former| former.number + 1 != *number) {
                return Err(StoreError::corrupt(&path, 0, "the segment before it is missing"));
            }
            let last = position + 1 == numbers.len();
            let Some(loaded) = segment::load(&self.path, self.identity, *number, last)? else {
                file_ops::remove("segment_remove", &path)?;
                continue;
            };
            for record in loaded.records {
                replay(&path, base, &mut entries, record)?;
            }
            segments.push(loaded.segment);
        }
        Ok((segments, entries))
    }
}

fn replay(
    path: &Path,
    base: LogIndex,
    entries: &mut Vec<LogEntry>,
    record: SegmentRecord,
) -> Result<(), StoreError> {
    let SegmentRecord::Batch { truncate_from, entries: added } = record else { return Ok(()) };
    if let Some(from) = truncate_from {
        let kept = entries.partition_point(|entry| entry.index < from);
        entries.truncate(kept);
    }
    for entry in added.into_iter().filter(|entry| entry.index > base) {
        let expected = LogIndex(entries.last().map_or(base, |last| last.index).0 + 1);
        if entry.index != expected {
            let cause = format!("entry {} follows where {expected} is expected", entry.index);
            return Err(StoreError::corrupt(path, 0, cause));
        }
        entries.push(entry);
    }
    Ok(())
}

/// The path of a snapshot.
pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(snapshot_name(index))
}

/// The name of a snapshot.
pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", index.0)
}

fn parse_snapshot_name(name: &str) -> Option<LogIndex> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok().map(LogIndex)
}

fn step(step: &'static str, file: &Path, cause: std::io::Error) -> StepError {
    StepError { step, file: file.to_owned(), cause }
}

fn read_file(path: &Path) -> Result<Vec<u8>, StoreError> {
    fs::read(path).map_err(|cause| step("file_read", path, cause).into())
}

fn lock_folder(path: &Path) -> Result<File, StoreError> {
    let lock_path = path.join(LOCK_NAME);
    let opened = OpenOptions::new().write(true).create(true).truncate(false).open(&lock_path);
    let lock = opened.map_err(|cause| step("lock_open", &lock_path, cause))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked(lock_path)),
        Err(TryLockError::Error(cause)) => Err(step("lock_take", &lock_path, cause).into()),
    }
}

fn list_names(path: &Path) -> Result<Vec<String>, StoreError> {
    let fault = |cause| step("folder_read", path, cause);
    let mut names = Vec::new();
    for entry in fs::read_dir(path).map_err(fault)? {
        names.push(entry.map_err(fault)?.file_name().to_string_lossy().into_owned());
    }
    Ok(names)
}

fn has_data(path: &Path) -> Result<bool, StoreError> {
    let names = list_names(path)?;
    Ok(names.iter().any(|name| {
        name == HARD_STATE_NAME
            || segment::parse_name(name).is_some()
            || parse_snapshot_name(name).is_some()
    }))
}

// Only files whose rename did not happen have this ending; nothing in them was acknowledged.
fn remove_temporaries(path: &Path, names: &[String]) -> Result<(), StoreError> {
    for name in names.iter().filter(|name| name.ends_with(".tmp")) {
        let path = path.join(name);
        fs::remove_file(&path).map_err(|cause| step("temporary_remove", &path, cause))?;
    }
    Ok(())
}

fn read_identity(path: &Path) -> Result<ReplicaId, StoreError> {
    let bytes = read_file(path)?;
    let payload = read_single(ReplicaId(0), path, &bytes)?;
    let text = String::from_utf8_lossy(payload);
    text.parse().map_err(|cause| StoreError::corrupt(path, 0, format!("{cause}")))
}

fn read_single<'a>(
    identity: ReplicaId,
    path: &Path,
    bytes: &'a [u8],
) -> Result<&'a [u8], StoreError> {
    match record::read_record(identity, bytes, 0) {
        ReadRecord::Valid { payload, end } if end == bytes.len() => Ok(payload),
        ReadRecord::Valid { end, .. } => {
            Err(StoreError::corrupt(path, end as u64, "bytes follow the record"))
        }
        ReadRecord::End => Err(StoreError::corrupt(path, 0, "the file is empty")),
        ReadRecord::Invalid(cause) => Err(StoreError::corrupt(path, 0, cause)),
    }
}
