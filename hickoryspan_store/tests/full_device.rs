//! Tests with a device that has no space: some files of the folder lead to `/dev/full`, which refuses each write as a full
//! disk does.

#![cfg(target_os = "linux")]
// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::os::unix::fs::symlink;
use std::path::Path;

use hickoryspan_core::control::interface::{DurableLog, HardState, PersistBatch, PersistError};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::FileLog;
use rstest::rstest;
use support::*;

/// Lets the next writes of a file find no space.
fn fill(folder: &Path, name: &str) {
    symlink("/dev/full", folder.join(name)).unwrap();
}

/// Removes what `fill` has made, unless the log has removed it after the refused write.
fn free(folder: &Path, name: &str) {
    if folder.join(name).is_symlink() {
        std::fs::remove_file(folder.join(name)).unwrap();
    }
}

fn assert_refused(log: &mut FileLog, batch: &PersistBatch, name: &str) {
    let error = log.persist(batch).unwrap_err();
    let PersistError::NoSpace { file, .. } = &error else { panic!("{name}: {error}") };
    assert_eq!(&**file, name);
}

/// Guards against a replica that needs a restart, or lacks a batch, after the system refused a write for lack of space.
#[rstest]
#[case::hard_state("hardstate.tmp")]
#[case::snapshot("snapshot-00000000000000000002.tmp")]
#[case::segment("log-0000000000000002.seg")]
fn a_log_goes_on_after_the_system_refused_a_write(#[case] name: &str) {
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 4, 1)).unwrap();
    // The snapshot seals the first segment, so that the entries begin the second one.
    let hard_state = HardState { term: TermNumber(1), voted_for: Some(ReplicaId(1)) };
    let batch = PersistBatch {
        snapshot: Some(snapshot(2, 1)),
        hard_state: Some(hard_state),
        ..entries(5, 6, 1)
    };
    fill(folder.path(), name);
    assert_refused(&mut log, &batch, name);
    free(folder.path(), name);
    let again = PersistBatch { truncate_from: Some(batch.entries[0].index), ..batch };
    log.persist(&again).unwrap();
    log.persist(&entries(7, 7, 1)).unwrap();
    drop(log);
    let recovered = open(folder.path()).unwrap().recovered;
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.snapshot, Some(snapshot(2, 1)));
    assert_eq!(recovered.entries, entries(3, 7, 1).entries);
}
