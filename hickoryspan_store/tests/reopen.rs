//! Tests of the state that is recovered when a data folder is opened again.

mod support;

use hickoryspan_core::control::interface::{DurableLog, HardState, LogIndex, PersistBatch};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::{DataFolder, StoreError};
use support::*;

// Guards against acknowledged batches that are lost by a restart.
#[test]
fn batches_are_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    let hard_state = HardState { term: TermNumber(3), voted_for: Some(ReplicaId(9)) };
    let batch = PersistBatch { hard_state: Some(hard_state), ..entries(1, 4, 3) };
    log.persist(&batch).unwrap();
    log.persist(&entries(5, 6, 3)).unwrap();
    drop(log);
    let opened = open(folder.path()).unwrap();
    assert_eq!(opened.log.identity(), IDENTITY);
    assert_eq!(opened.recovered.hard_state, hard_state);
    assert_eq!(opened.recovered.entries, entries(1, 6, 3).entries);
}

// Guards against truncated entries that reappear after a restart and contradict committed ones.
#[test]
fn truncated_entries_do_not_reappear() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 6, 1)).unwrap();
    let batch = PersistBatch { truncate_from: Some(LogIndex(4)), ..entries(4, 5, 2) };
    log.persist(&batch).unwrap();
    drop(log);
    let recovered = open(folder.path()).unwrap().recovered;
    let mut expected = entries(1, 3, 1).entries;
    expected.extend(entries(4, 5, 2).entries);
    assert_eq!(recovered.entries, expected);
}

// Guards against a log that a snapshot does not compact: restart time would grow without bound.
#[test]
fn a_snapshot_replaces_the_log_and_later_entries_stay() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 10, 1)).unwrap();
    log.persist(&PersistBatch { snapshot: Some(snapshot(8, 1)), ..entries(11, 12, 1) }).unwrap();
    drop(log);
    let mut opened = open(folder.path()).unwrap();
    assert_eq!(opened.recovered.snapshot, Some(snapshot(8, 1)));
    assert_eq!(opened.recovered.entries, entries(9, 12, 1).entries);
    let batch = PersistBatch { snapshot: Some(snapshot(12, 1)), ..PersistBatch::default() };
    opened.log.persist(&batch).unwrap();
    opened.log.persist(&entries(13, 13, 1)).unwrap();
    let segments = list(folder.path(), "log-");
    assert_eq!(segments.len(), 1, "{segments:?}");
    assert_eq!(list(folder.path(), "snapshot-").len(), 1);
    drop(opened);
    assert_eq!(open(folder.path()).unwrap().recovered.entries, entries(13, 13, 1).entries);
}

// Two processes that append to the same log would corrupt it. Creating the folder again would discard the votes of
// the first identity.
#[test]
fn a_folder_has_one_user_and_is_created_once() {
    let folder = tempfile::tempdir().unwrap();
    let log = create(folder.path());
    assert!(matches!(DataFolder::open(folder.path()), Err(StoreError::Locked(_))));
    drop(log);
    let again = DataFolder::create(folder.path(), ReplicaId(5));
    assert!(matches!(again, Err(StoreError::Exists(_))));
    let empty = tempfile::tempdir().unwrap();
    assert!(matches!(DataFolder::open(empty.path()), Err(StoreError::Missing(_))));
}

// Guards against reading the folder of a later release with the rules of this one.
#[test]
fn another_format_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    drop(create(folder.path()));
    std::fs::write(folder.path().join("FORMAT"), "hickoryspan data 2\n").unwrap();
    assert!(matches!(DataFolder::open(folder.path()), Err(StoreError::Format { .. })));
}
