//! Log segments: files of records, each of which holds the entries of one batch.

use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

use hickoryspan_core::control::interface::{LogEntry, LogIndex};
use hickoryspan_core::types::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::error::{StepError, StoreError};
use crate::file_ops;
use crate::record::{self, ReadRecord};

const NAME_PREFIX: &str = "log-";
const NAME_SUFFIX: &str = ".seg";

/// A record of a segment. A batch is written as one record, so that a crash leaves all of it or nothing.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SegmentRecord {
    /// The first record of a segment.
    Header {
        /// Number of the segment. Consecutive segments have consecutive numbers.
        number: u64,
        /// Largest index of any entry before this segment; `None` if an older version created it.
        #[serde(default)]
        preceding: Option<LogIndex>,
    },
    /// One change of the log: a truncation, new entries, or both.
    Batch {
        /// If set, entries from this index on are removed before `entries` are added.
        truncate_from: Option<LogIndex>,
        /// Entries to add, in the order of their indexes.
        entries: Vec<LogEntry>,
    },
}

/// A sealed or active segment file.
#[derive(Debug)]
pub struct SegmentFile {
    pub number: u64,
    pub path: PathBuf,
    /// Length of all valid records in bytes, which is the offset of the next one.
    pub length: u64,
    /// Largest index of any entry in the segment, including entries that a later record removes.
    pub max_index: LogIndex,
    /// Largest index of any entry before the segment; `None` if an older version created it.
    pub preceding: Option<LogIndex>,
}

/// A segment with the records read from it.
pub struct LoadedSegment {
    pub segment: SegmentFile,
    pub records: Vec<SegmentRecord>,
}

/// Returns the path of the segment with the given number.
pub fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{number:016}{NAME_SUFFIX}"))
}

/// Returns the segment number in a file name, or `None` if the file is not a segment.
pub fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.strip_suffix(NAME_SUFFIX)?.parse().ok()
}

/// Encodes a value in CBOR, as the payload of a record.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail, and all record types can be represented in CBOR.
    ciborium::into_writer(record, &mut bytes).expect("record types can be represented in CBOR");
    bytes
}

/// Creates a segment that contains only its header, and syncs the file and the folder.
pub fn create(
    folder: &Path,
    identity: ReplicaId,
    number: u64,
    preceding: LogIndex,
) -> Result<(SegmentFile, File), StepError> {
    let path = segment_path(folder, number);
    let mut file = file_ops::create("segment_create", &path)?;
    let preceding = Some(preceding);
    let header = SegmentRecord::Header { number, preceding };
    let header = record::to_record(identity, 0, &encode(&header));
    file_ops::write_at("segment_header_write", &path, &mut file, 0, &header)?;
    file_ops::sync("segment_header_sync", &path, &file)?;
    file_ops::sync_folder(folder)?;
    let length = header.len() as u64;
    Ok((SegmentFile { number, path, length, max_index: LogIndex(0), preceding }, file))
}

/// Opens a segment for appending.
pub fn reopen(segment: &SegmentFile) -> Result<File, StepError> {
    let opened = OpenOptions::new().read(true).write(true).open(&segment.path);
    opened.map_err(|cause| StepError { step: "segment_open", file: segment.path.clone(), cause })
}

/// Reads a segment. If it is the `last` one, an incomplete record at its end is truncated.
///
/// Returns `None` if even the header of the last segment is incomplete; the caller must then remove the file.
pub fn load(
    folder: &Path,
    identity: ReplicaId,
    number: u64,
    last: bool,
) -> Result<Option<LoadedSegment>, StoreError> {
    let path = segment_path(folder, number);
    let bytes = fs::read(&path).map_err(|cause| StepError {
        step: "segment_read",
        file: path.clone(),
        cause,
    })?;
    let mut records = Vec::new();
    let mut max_index = LogIndex(0);
    let mut preceding = None;
    let mut offset = 0;
    loop {
        match record::read_record(identity, &bytes, offset) {
            ReadRecord::End => break,
            ReadRecord::Valid { payload, end } => {
                let record = decode(&path, offset, payload)?;
                check_position(&path, offset, number, &record)?;
                match &record {
                    SegmentRecord::Header { preceding: found, .. } => preceding = *found,
                    SegmentRecord::Batch { entries, .. } => {
                        let indexes = entries.iter().map(|entry| entry.index);
                        max_index = indexes.fold(max_index, LogIndex::max);
                    }
                }
                records.push(record);
                offset = end;
            }
            ReadRecord::Invalid(cause) => {
                if !last || record::has_later_record(identity, &bytes, offset) {
                    return Err(StoreError::corrupt(&path, offset as u64, cause));
                }
                break;
            }
        }
    }
    if records.is_empty() {
        if !last {
            return Err(StoreError::corrupt(&path, 0, "segment has no header"));
        }
        return Ok(None);
    }
    let segment = SegmentFile { number, path, length: offset as u64, max_index, preceding };
    if offset < bytes.len() {
        truncate_torn_tail(&segment)?;
    }
    Ok(Some(LoadedSegment { segment, records }))
}

fn truncate_torn_tail(segment: &SegmentFile) -> Result<(), StoreError> {
    let file = reopen(segment)?;
    file_ops::truncate("segment_cut", &segment.path, &file, segment.length)?;
    file_ops::sync("segment_sync", &segment.path, &file)?;
    Ok(())
}

fn decode(path: &Path, offset: usize, payload: &[u8]) -> Result<SegmentRecord, StoreError> {
    ciborium::from_reader(payload)
        .map_err(|cause| StoreError::corrupt(path, offset as u64, cause.to_string()))
}

fn check_position(
    path: &Path,
    offset: usize,
    number: u64,
    record: &SegmentRecord,
) -> Result<(), StoreError> {
    match record {
        SegmentRecord::Header { number: found, .. } if offset == 0 && *found == number => Ok(()),
        SegmentRecord::Batch { .. } if offset > 0 => Ok(()),
        _ => Err(StoreError::corrupt(
            path,
            offset as u64,
            "unexpected record type or segment number",
        )),
    }
}
