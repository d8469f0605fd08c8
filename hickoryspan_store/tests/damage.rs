//! Tests of truncated and modified files: a torn tail is truncated, and any other damage is an error.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::path::{Path, PathBuf};

use hickoryspan_core::control::interface::{DurableLog, HardState, LogEntry, PersistBatch};
use hickoryspan_core::types::TermNumber;
use hickoryspan_store::StoreError;
use support::*;

/// A data folder with three batches, and the end offset of the record of each batch.
struct Sample {
    folder: tempfile::TempDir,
    segment: PathBuf,
    bytes: Vec<u8>,
    ends: Vec<usize>,
}

fn sample() -> Sample {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    let mut ends = Vec::new();
    let mut segment = PathBuf::new();
    for batch in [entries(1, 1, 1), entries(2, 3, 1), entries(4, 4, 2)] {
        log.persist(&batch).unwrap();
        segment = folder.path().join(&list(folder.path(), "log-")[0]);
        ends.push(fs::read(&segment).unwrap().len());
    }
    let hard_state = Some(HardState { term: TermNumber(2), voted_for: None });
    log.persist(&PersistBatch { hard_state, ..PersistBatch::default() }).unwrap();
    drop(log);
    let bytes = fs::read(&segment).unwrap();
    Sample { folder, segment, bytes, ends }
}

fn expected(sample: &Sample, intact: usize) -> Vec<LogEntry> {
    let batches = [entries(1, 1, 1), entries(2, 3, 1), entries(4, 4, 2)];
    let whole = sample.ends.iter().filter(|end| **end <= intact).count();
    batches.into_iter().take(whole).flat_map(|batch| batch.entries).collect()
}

// Guards against a replica that cannot start, or that recovers half a batch, after a crash during a write.
#[test]
fn a_log_cut_at_any_offset_opens_with_its_whole_batches() {
    let sample = sample();
    for length in 0..=sample.bytes.len() {
        fs::write(&sample.segment, &sample.bytes[..length]).unwrap();
        let mut opened = open(sample.folder.path()).unwrap();
        let mut kept = expected(&sample, length);
        assert_eq!(opened.recovered.entries, kept, "truncated to {length} bytes");
        let next = kept.last().map_or(1, |entry| entry.index.0 + 1);
        opened.log.persist(&entries(next, next, 3)).unwrap();
        drop(opened);
        kept.extend(entries(next, next, 3).entries);
        let again = open(sample.folder.path()).unwrap();
        assert_eq!(again.recovered.entries, kept, "truncated to {length} bytes, second start");
        drop(again);
        for name in list(sample.folder.path(), "log-") {
            fs::remove_file(sample.folder.path().join(name)).unwrap();
        }
    }
}

// A changed byte before the last record must not be treated as a torn tail, since truncating there would lose
// acknowledged data.
#[test]
fn a_flipped_byte_is_refused_or_drops_only_the_last_batch() {
    let sample = sample();
    let last_record = sample.ends[1];
    for offset in 0..sample.bytes.len() {
        let mut bytes = sample.bytes.clone();
        bytes[offset] ^= 0x40;
        fs::write(&sample.segment, &bytes).unwrap();
        match open(sample.folder.path()) {
            Ok(opened) => {
                assert!(offset >= last_record, "offset {offset} was accepted");
                assert_eq!(opened.recovered.entries, expected(&sample, last_record));
            }
            Err(StoreError::Corrupt { file, offset: named, .. }) => {
                assert!(offset < last_record, "offset {offset} was refused");
                assert_eq!(file, sample.segment);
                assert!(named <= offset as u64);
            }
            Err(other) => panic!("offset {offset}: {other}"),
        }
    }
}

fn assert_each_flip_is_refused(folder: &Path, name: &str) {
    let path = folder.join(name);
    let bytes = fs::read(&path).unwrap();
    for offset in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[offset] ^= 0x01;
        fs::write(&path, &changed).unwrap();
        let fault = open(folder).err();
        let named = match &fault {
            Some(StoreError::Corrupt { file, .. } | StoreError::Format { file, .. }) => {
                file == &path
            }
            _ => false,
        };
        assert!(named, "{name} at {offset}: {fault:?}");
    }
    fs::write(&path, &bytes).unwrap();
}

// Guards against the use of a damaged vote, identity or snapshot.
#[test]
fn a_flipped_byte_in_any_other_file_is_refused() {
    let sample = sample();
    let folder = sample.folder.path();
    let mut log = open(folder).unwrap().log;
    log.persist(&PersistBatch { snapshot: Some(snapshot(4, 2)), ..PersistBatch::default() })
        .unwrap();
    drop(log);
    let snapshot = list(folder, "snapshot-").remove(0);
    for name in ["FORMAT", "identity", "hardstate", &snapshot] {
        assert_each_flip_is_refused(folder, name);
    }
}

// Guards against a log that silently lacks the entries of a missing segment.
#[test]
fn a_missing_segment_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 3, 1)).unwrap();
    log.persist(&PersistBatch { snapshot: Some(snapshot(2, 1)), ..entries(4, 5, 1) }).unwrap();
    drop(log);
    let names = list(folder.path(), "log-");
    assert_eq!(names.len(), 2);
    fs::remove_file(folder.path().join(&names[0])).unwrap();
    assert!(matches!(open(folder.path()), Err(StoreError::Corrupt { .. })));
}

// A payload may contain a copy of a record of the same log. If it counted as a later record, the torn tail around
// it would be refused as corruption.
#[test]
fn record_bytes_inside_a_payload_do_not_count_as_a_later_record() {
    let sample = sample();
    let mut batch = entries(5, 5, 2);
    batch.entries[0].payload = sample.bytes[sample.ends[0]..sample.ends[1]].into();
    let mut log = open(sample.folder.path()).unwrap().log;
    log.persist(&batch).unwrap();
    drop(log);
    let bytes = fs::read(&sample.segment).unwrap();
    fs::write(&sample.segment, &bytes[..bytes.len() - 1]).unwrap();
    let recovered = open(sample.folder.path()).unwrap().recovered;
    assert_eq!(recovered.entries, expected(&sample, sample.bytes.len()));
}
