//! The record of everything that ran on a target, for checkers of invariants.

use std::collections::VecDeque;

use hickoryspan_core::types::{IncarnationNumber, SnapshotVersion, WallTime};
use serde::{Deserialize, Serialize};

/// The kind of request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    /// An idempotent query.
    Query,
    /// A non-idempotent request.
    Order,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It finished.
    Done,
    /// It reported an error.
    Error,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    DeadlinePassed,
    /// Its connection ended, or the target crashed.
    Abandoned,
}

/// One run; a request that never got a slot has none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunRecord {
    /// The caller's name for the request.
    pub request: String,
    /// The attempt.
    pub attempt: String,
    /// The kind.
    pub kind: RunKind,
    /// The shard that was searched.
    pub shard: Option<String>,
    /// The snapshot that was searched.
    pub snapshot: Option<SnapshotVersion>,
    /// The process that ran it.
    pub incarnation: IncarnationNumber,
    /// The start.
    pub started: WallTime,
    /// The end, unless it still runs.
    pub ended: Option<WallTime>,
    /// How it ended, unless it still runs.
    pub end: Option<RunEnd>,
}

/// The body of `GET /v1/record`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct RecordPage {
    /// Runs that were dropped because the record was full.
    pub dropped: u64,
    /// Runs in the order of their start.
    pub runs: Vec<RunRecord>,
}

/// Names a run in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunNumber(u64);

/// The bounded record.
#[derive(Debug)]
pub(crate) struct RunLog {
    limit: usize,
    dropped: u64,
    runs: VecDeque<RunRecord>,
}

impl RunLog {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), dropped: 0, runs: VecDeque::new() }
    }

    pub(crate) fn start(&mut self, run: RunRecord) -> RunNumber {
        if self.runs.len() == self.limit {
            self.runs.pop_front();
            self.dropped += 1;
        }
        self.runs.push_back(run);
        RunNumber(self.dropped + self.runs.len() as u64 - 1)
    }

    pub(crate) fn finish(&mut self, number: RunNumber, ended: WallTime, end: RunEnd) {
        let Some(index) = number.0.checked_sub(self.dropped) else { return };
        let Some(run) = self.runs.get_mut(index as usize) else { return };
        run.ended = Some(ended);
        run.end = Some(end);
    }

    pub(crate) fn to_page(&self) -> RecordPage {
        RecordPage { dropped: self.dropped, runs: self.runs.iter().cloned().collect() }
    }
}
