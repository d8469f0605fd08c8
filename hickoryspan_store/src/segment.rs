//! Segments of the log: files of records, each of which holds the entries of one batch.

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

/// One record of a segment. A batch is one record, so that a crash leaves all of it or none.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SegmentRecord {
    /// The first record of a segment.
    Header {
        /// The segment's number; numbers have no gaps.
        number: u64,
    },
    /// A change of the log.
    Batch {
        /// Entries from here on are dropped first.
        truncate_from: Option<LogIndex>,
        /// Then these are added.
        entries: Vec<LogEntry>,
    },
}

/// A segment that is complete or being written.
#[derive(Debug)]
pub struct SegmentFile {
    pub number: u64,
    pub path: PathBuf,
    pub length: u64,
    /// The largest index of any entry in it, dropped or not.
    pub max_index: LogIndex,
}

/// What a segment holds.
pub struct LoadedSegment {
    pub segment: SegmentFile,
    pub records: Vec<SegmentRecord>,
}

/// The path of a segment.
pub fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{number:016}{NAME_SUFFIX}"))
}

/// The number in a segment's name.
pub fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.strip_suffix(NAME_SUFFIX)?.parse().ok()
}

/// Encodes a record's payload.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector does not fail, and these types all have a CBOR form.
    ciborium::into_writer(record, &mut bytes).expect("records have a CBOR form");
    bytes
}

/// Creates an empty segment and makes it durable.
pub fn create(
    folder: &Path,
    identity: ReplicaId,
    number: u64,
) -> Result<(SegmentFile, File), StepError> {
    let path = segment_path(folder, number);
    let mut file = file_ops::create("segment_create", &path)?;
    let header = record::to_record(identity, 0, &encode(&SegmentRecord::Header { number }));
    file_ops::write_at("segment_header_write", &path, &mut file, 0, &header)?;
    file_ops::sync("segment_header_sync", &path, &file)?;
    file_ops::sync_folder(folder)?;
    let length = header.len() as u64;
    Ok((SegmentFile { number, path, length, max_index: LogIndex(0) }, file))
}

/// Opens a segment for appending.
pub fn reopen(segment: &SegmentFile) -> Result<File, StepError> {
    let opened = OpenOptions::new().read(true).write(true).open(&segment.path);
    opened.map_err(|cause| StepError { step: "segment_open", file: segment.path.clone(), cause })
}

/// Reads a segment. In the last one an incomplete last record is cut off; `None` means that not even the
/// header was complete, and that the file must be removed.
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
    let mut offset = 0;
    loop {
        match record::read_record(identity, &bytes, offset) {
            ReadRecord::End => break,
            ReadRecord::Valid { payload, end } => {
                let record = decode(&path, offset, payload)?;
                check_place(&path, offset, number, &record)?;
                if let SegmentRecord::Batch { entries, .. } = &record {
                    let indexes = entries.iter().map(|entry| entry.index);
                    max_index = indexes.fold(max_index, LogIndex::max);
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
            return Err(StoreError::corrupt(&path, 0, "the segment has no header"));
        }
        return Ok(None);
    }
    let segment = SegmentFile { number, path, length: offset as u64, max_index };
    if offset < bytes.len() {
        cut_tail(&segment)?;
    }
    Ok(Some(LoadedSegment { segment, records }))
}

fn cut_tail(segment: &SegmentFile) -> Result<(), StoreError> {
    let file = reopen(segment)?;
    file_ops::cut("segment_cut", &segment.path, &file, segment.length)?;
    file_ops::sync("segment_sync", &segment.path, &file)?;
    Ok(())
}

fn decode(path: &Path, offset: usize, payload: &[u8]) -> Result<SegmentRecord, StoreError> {
    ciborium::from_reader(payload)
        .map_err(|cause| StoreError::corrupt(path, offset as u64, cause.to_string()))
}

fn check_place(
    path: &Path,
    offset: usize,
    number: u64,
    record: &SegmentRecord,
) -> Result<(), StoreError> {
    match record {
        SegmentRecord::Header { number: found } if offset == 0 && *found == number => Ok(()),
        SegmentRecord::Batch { .. } if offset > 0 => Ok(()),
        _ => Err(StoreError::corrupt(path, offset as u64, "the record is out of place")),
    }
}
