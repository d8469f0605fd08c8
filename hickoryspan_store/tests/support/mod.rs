//! Batches, data folders and a model of the expected state for the tests of the store.

// Each test file uses only some of the helpers. The lint allows `unwrap` in test functions but not in their helpers.
#![allow(dead_code, clippy::unwrap_used)]

pub mod disk_model;

use std::path::Path;
use std::sync::Arc;

use hickoryspan_core::control::interface::{
    LogEntry, LogIndex, PersistBatch, RecoveredState, SnapshotRecord,
};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::{DataFolder, FileLog, OpenedLog, StoreError};

pub const IDENTITY: ReplicaId = ReplicaId(77);

pub fn create(path: &Path) -> FileLog {
    DataFolder::create(path, IDENTITY).unwrap().into_log().unwrap().log
}

pub fn open(path: &Path) -> Result<OpenedLog, StoreError> {
    DataFolder::open(path)?.into_log()
}

pub fn entries(first: u64, last: u64, term: u64) -> PersistBatch {
    let entry = |index: u64| {
        let payload: Arc<[u8]> = format!("entry {index} of term {term}").into_bytes().into();
        LogEntry { index: LogIndex(index), term: TermNumber(term), payload }
    };
    PersistBatch { entries: (first..=last).map(entry).collect(), ..PersistBatch::default() }
}

pub fn snapshot(index: u64, term: u64) -> SnapshotRecord {
    let state = format!("state at {index}").into_bytes().into();
    SnapshotRecord { index: LogIndex(index), term: TermNumber(term), state }
}

/// Returns the sorted names in a folder that begin with a prefix.
pub fn list(path: &Path, prefix: &str) -> Vec<String> {
    let entries = std::fs::read_dir(path).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name.starts_with(prefix)).collect();
    names.sort();
    names
}

/// State that a data folder must hold after some batches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model(pub RecoveredState);

impl Model {
    /// Returns the state before a batch and after each of its steps. A crash may leave any of them.
    pub fn possible_states(&self, batch: &PersistBatch) -> Vec<Self> {
        let mut states = vec![self.clone()];
        let mut state = self.clone();
        let truncate = |state: &mut Self| {
            let from = batch.truncate_from.unwrap_or(LogIndex(u64::MAX));
            state.0.entries.retain(|entry| entry.index < from);
        };
        if let Some(snapshot) = &batch.snapshot {
            truncate(&mut state);
            states.push(state.clone());
            state.0.entries.retain(|entry| entry.index > snapshot.index);
            state.0.snapshot = Some(snapshot.clone());
            states.push(state.clone());
        }
        truncate(&mut state);
        state.0.entries.extend(batch.entries.iter().cloned());
        states.push(state.clone());
        state.0.hard_state = batch.hard_state.unwrap_or(state.0.hard_state);
        states.push(state);
        states
    }

    /// Returns the indexes and terms, without the payloads.
    pub fn describe(&self) -> String {
        let snapshot = self.0.snapshot.as_ref().map(|snapshot| (snapshot.index.0, snapshot.term.0));
        let entries = self.0.entries.iter().map(|entry| (entry.index.0, entry.term.0));
        let hard = self.0.hard_state;
        let entries: Vec<_> = entries.collect();
        format!("{:?}, snapshot {snapshot:?}, entries {entries:?}", (hard.term.0, hard.voted_for))
    }

    pub fn apply(&mut self, batch: &PersistBatch) {
        *self = self.possible_states(batch).pop().unwrap();
    }
}
