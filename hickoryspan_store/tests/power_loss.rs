//! Tests of single losses of power: names that were removed since the last sync of their folder are kept or lost
//! independently.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::path::Path;

use hickoryspan_core::control::interface::{DurableLog, PersistBatch};
use hickoryspan_store::StoreError;
use rstest::rstest;
use support::*;

/// Creates a log whose last snapshot has just removed four segments, and returns their content by name.
fn log_with_removed_segments(path: &Path) -> Vec<(String, Vec<u8>)> {
    let mut log = create(path);
    log.persist(&entries(1, 4, 1)).unwrap();
    for (index, first) in [(1, 5), (2, 7), (3, 9)] {
        let batch =
            PersistBatch { snapshot: Some(snapshot(index, 1)), ..entries(first, first + 1, 1) };
        log.persist(&batch).unwrap();
    }
    let names = list(path, "log-");
    assert_eq!(names.len(), 4);
    let content = |name: &String| (name.clone(), fs::read(path.join(name)).unwrap());
    let segments = names.iter().map(content).collect();
    log.persist(&PersistBatch { snapshot: Some(snapshot(10, 1)), ..PersistBatch::default() })
        .unwrap();
    assert!(list(path, "log-").is_empty());
    segments
}

/// Guards against a replica that ends at every start, because of removed segments some reappeared and others did not.
#[rstest]
fn any_of_the_removed_segments_may_reappear(#[values(false, true)] twice: bool) {
    for kept in 0..16_u32 {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path();
        let segments = log_with_removed_segments(path);
        let restore = || {
            let chosen = segments.iter().enumerate().filter(|(bit, _)| kept >> bit & 1 == 1);
            chosen.for_each(|(_, (name, bytes))| fs::write(path.join(name), bytes).unwrap());
        };
        restore();
        let mut opened = open(path).unwrap_or_else(|error| panic!("kept {kept:04b}: {error}"));
        assert_eq!(opened.recovered.snapshot, Some(snapshot(10, 1)));
        assert_eq!(opened.recovered.entries, [], "kept {kept:04b}");
        if twice {
            // The process ends before it has written anything; the names that it removed reappear again.
            drop(opened);
            restore();
            opened = open(path).unwrap();
        }
        opened.log.persist(&entries(11, 12, 2)).unwrap();
        drop(opened);
        assert_eq!(open(path).unwrap().recovered.entries, entries(11, 12, 2).entries);
    }
}

/// Guards against taking the loss of a needed segment for removed segments that reappeared in part.
#[rstest]
fn a_missing_segment_with_needed_entries_is_refused(#[values(1, 2)] missing: usize) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    let mut log = create(path);
    log.persist(&entries(1, 4, 1)).unwrap();
    for (index, first) in [(1, 5), (2, 7)] {
        let batch =
            PersistBatch { snapshot: Some(snapshot(index, 1)), ..entries(first, first + 1, 1) };
        log.persist(&batch).unwrap();
    }
    // The last segment has a header only, as after a loss of power between its creation and its first batch.
    log.persist(&PersistBatch { snapshot: Some(snapshot(3, 1)), ..entries(9, 9, 1) }).unwrap();
    drop(log);
    let names = list(path, "log-");
    let last = path.join(names.last().unwrap());
    let whole = fs::read(&last).unwrap();
    let header = (1..whole.len()).find(|length| {
        fs::write(&last, &whole[..*length]).unwrap();
        let found = open(path);
        found.is_ok() && last.exists() && fs::read(&last).unwrap().len() == *length
    });
    fs::write(&last, &whole[..header.unwrap()]).unwrap();
    fs::remove_file(path.join(&names[missing])).unwrap();
    assert!(matches!(open(path), Err(StoreError::Corrupt { .. })));
}
