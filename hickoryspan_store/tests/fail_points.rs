//! Tests of every write, sync and rename of the store with a full disk, an I/O error, a torn write and a kill.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::panic::AssertUnwindSafe;
use std::path::Path;

use fail::FailScenario;
use hickoryspan_core::control::interface::{
    DurableLog, HardState, LogIndex, PersistBatch, PersistError,
};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::{DataFolder, FAIL_POINTS, FileLog, StoreError};
use rstest::rstest;
use support::*;

fn hard_state(term: u64) -> Option<HardState> {
    Some(HardState { term: TermNumber(term), voted_for: Some(ReplicaId(term)) })
}

/// Returns batches that reach every step: appends, conflicts, and snapshots with and without entries.
fn test_batches() -> Vec<PersistBatch> {
    let truncate_from = |index| Some(LogIndex(index));
    vec![
        PersistBatch { hard_state: hard_state(1), ..entries(1, 4, 1) },
        entries(5, 6, 1),
        PersistBatch { truncate_from: truncate_from(4), ..entries(4, 5, 2) },
        PersistBatch { hard_state: hard_state(3), ..PersistBatch::default() },
        PersistBatch { snapshot: Some(snapshot(4, 2)), ..entries(6, 6, 2) },
        PersistBatch { snapshot: Some(snapshot(6, 2)), ..entries(7, 9, 3) },
        PersistBatch {
            snapshot: Some(snapshot(20, 4)),
            truncate_from: truncate_from(8),
            hard_state: hard_state(4),
            ..entries(21, 22, 4)
        },
    ]
}

/// State of a run over the test batches.
struct Progress {
    /// State after all acknowledged batches.
    model: Model,
    /// Index of the first batch that is not acknowledged.
    next: usize,
    /// Whether the last run ended before the last batch.
    failed: bool,
}

fn open_or_create(path: &Path) -> Result<FileLog, StoreError> {
    match DataFolder::open(path) {
        Ok(folder) => Ok(folder.into_log()?.log),
        Err(StoreError::Missing(_)) => Ok(DataFolder::create(path, IDENTITY)?.into_log()?.log),
        Err(other) => Err(other),
    }
}

// Persists the remaining batches until the first failure. A batch that finds the disk full is retried once, as if
// space had been freed.
fn run(path: &Path, progress: &mut Progress) {
    progress.failed = true;
    let Ok(mut log) = open_or_create(path) else { return };
    let test_batches = test_batches();
    while let Some(batch) = test_batches.get(progress.next) {
        let mut result = log.persist(batch);
        if matches!(result, Err(PersistError::NoSpace { .. })) {
            result = log.persist(batch);
        }
        if let Err(error) = result {
            assert_eq!(log.persist(batch), Err(error), "a broken log must repeat its error");
            return;
        }
        progress.model.apply(batch);
        progress.next += 1;
    }
    progress.failed = false;
}

// After a fault the folder must hold all acknowledged batches, and at most some steps of the failed one.
fn check_recovered(path: &Path, progress: &mut Progress, context: &str) {
    let folder = match DataFolder::open(path) {
        Err(StoreError::Missing(_)) => {
            assert_eq!(progress.next, 0, "{context}: the data folder is missing");
            return;
        }
        folder => folder.unwrap_or_else(|fault| panic!("{context}: {fault}")),
    };
    let opened = folder.into_log().unwrap_or_else(|fault| panic!("{context}: {fault}"));
    let found = Model(opened.recovered);
    let batch = test_batches().into_iter().nth(progress.next).unwrap_or_default();
    let allowed = progress.model.possible_states(&batch);
    assert!(allowed.contains(&found), "{context}: {found:?} is not one of {allowed:?}");
}

fn run_with_fault(point: &str, action: &str, hits: u32) -> bool {
    let context = format!("{point}: {action} after {hits}");
    let folder = tempfile::tempdir().unwrap();
    let mut progress = Progress { model: Model::default(), next: 0, failed: false };
    fail::cfg(point, &format!("{hits}*off->1*{action}->off")).unwrap();
    run(folder.path(), &mut progress);
    fail::remove(point);
    let failed = progress.failed;
    check_recovered(folder.path(), &mut progress, &context);
    run(folder.path(), &mut progress);
    assert!(!progress.failed, "{context}: the folder cannot be used after the fault");
    let recovered = DataFolder::open(folder.path()).unwrap().into_log().unwrap().recovered;
    assert_eq!(Model(recovered), progress.model, "{context}");
    failed
}

// A fault at any step must lose no acknowledged data and leave a folder that can be opened. The log runs no step
// after an error, so an error before a step has the same effect as a kill between that step and the previous one.
#[test]
fn every_step_may_fail() {
    let scenario = FailScenario::setup();
    for point in FAIL_POINTS {
        let actions = ["return(broken)", "return(torn 5)"];
        let count = if point.ends_with("_write") { 2 } else { 1 };
        let mut failures = 0;
        for action in &actions[..count] {
            failures += (0..).take_while(|hits| run_with_fault(point, action, *hits)).count();
        }
        // These steps run only after another fault and have their own test.
        assert!(failures > 0 || point.starts_with("segment_cut"), "{point} was never reached");
    }
    scenario.teardown();
}

// Guards against a replica that needs a restart after its disk was full for a while.
#[test]
fn every_write_may_find_no_space() {
    let scenario = FailScenario::setup();
    for point in [
        "segment_create",
        "segment_header_write",
        "segment_write",
        "snapshot_write",
        "hardstate_write",
    ] {
        for hits in 0..4 {
            assert!(!run_with_fault(point, "return(nospace)", hits), "{point} after {hits}");
        }
    }
    scenario.teardown();
}

// If a partial record cannot be truncated after a failed write, the log must not be used again. The truncation is synced:
// bytes that come back after a loss of power would make a segment unreadable that is not the last one any more.
#[rstest]
fn a_failed_truncation_after_a_full_disk_breaks_the_log(
    #[values("segment_cut", "segment_cut_sync")] point: &'static str,
) {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 1, 1)).unwrap();
    fail::cfg("segment_write", "1*return(nospace)->off").unwrap();
    fail::cfg(point, "1*return(broken)->off").unwrap();
    let broken = log.persist(&entries(2, 2, 1)).unwrap_err();
    assert!(matches!(broken, PersistError::Broken { step, .. } if step == point), "{broken}");
    assert_eq!(log.persist(&entries(2, 2, 1)), Err(broken));
    scenario.teardown();
}

// After a sync that fails with a full disk, the content of the disk is unknown, so the log must not be used again.
#[test]
fn a_sync_that_finds_no_space_breaks_the_log() {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    fail::cfg("segment_sync", "1*return(nospace)->off").unwrap();
    let broken = log.persist(&entries(1, 1, 1)).unwrap_err();
    assert!(matches!(broken, PersistError::Broken { step: "segment_sync", .. }), "{broken}");
    assert_eq!(log.persist(&entries(1, 1, 1)), Err(broken));
    scenario.teardown();
}

/// Guards against acknowledged entries that are lost with the power, because a restart reads what its predecessor has
/// written and not synced, and counts it as durable.
#[test]
fn a_log_opens_only_once_what_it_recovers_is_synced() {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 1, 1)).unwrap();
    // The process ends between the write and the sync.
    fail::cfg("segment_sync", "panic").unwrap();
    let persist = AssertUnwindSafe(|| log.persist(&entries(2, 2, 1)));
    std::panic::catch_unwind(persist).unwrap_err();
    drop(log);
    fail::cfg("segment_sync", "return(broken)").unwrap();
    open(folder.path()).map(|opened| opened.recovered).unwrap_err();
    fail::remove("segment_sync");
    assert_eq!(open(folder.path()).unwrap().recovered.entries, entries(1, 2, 1).entries);
    scenario.teardown();
}

/// Guards against a replica that ends at every start, because a restart has removed the older snapshot before the name of
/// the newer one was durable, and the power was lost then.
#[test]
fn no_snapshot_is_removed_before_its_successor_is_durable() {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 6, 1)).unwrap();
    let batch = |index| PersistBatch { snapshot: Some(snapshot(index, 1)), ..Default::default() };
    log.persist(&batch(2)).unwrap();
    fail::cfg("folder_sync", "return(broken)").unwrap();
    log.persist(&batch(4)).unwrap_err();
    drop(log);
    open(folder.path()).map(|opened| opened.recovered).unwrap_err();
    assert_eq!(list(folder.path(), "snapshot-").len(), 2, "a snapshot was removed too early");
    fail::remove("folder_sync");
    assert_eq!(open(folder.path()).unwrap().recovered.snapshot, Some(snapshot(4, 1)));
    assert_eq!(list(folder.path(), "snapshot-").len(), 1);
    scenario.teardown();
}

/// Guards against acknowledged entries that are lost with the power, because a restart reads a batch whose sync failed: the
/// system may keep its pages in memory, not write them, and report success for the next sync.
#[test]
fn a_batch_whose_sync_failed_is_not_recovered() {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let mut log = create(folder.path());
    log.persist(&entries(1, 1, 1)).unwrap();
    fail::cfg("segment_sync", "1*return(nospace)->off").unwrap();
    log.persist(&entries(2, 2, 1)).unwrap_err();
    drop(log);
    assert_eq!(open(folder.path()).unwrap().recovered.entries, entries(1, 1, 1).entries);
    scenario.teardown();
}
