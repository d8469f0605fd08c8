//! Bounded log of the requests that ran on a target, used by invariant checkers.

use std::collections::VecDeque;

use hickoryspan_core::types::{IncarnationNumber, SnapshotVersion, WallTime};
use serde::{Deserialize, Serialize};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    /// An idempotent query.
    Query,
    /// A non-idempotent request.
    Order,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The request completed.
    Done,
    /// The request failed with an injected error.
    Error,
    /// The entry cancelled the attempt.
    Cancelled,
    /// The deadline passed before the request completed.
    DeadlinePassed,
    /// The connection closed or the target crashed before the request completed.
    Abandoned,
}

/// Execution of one attempt. An attempt that never got a slot has no record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunRecord {
    /// Request id assigned by the caller; empty if the request had none.
    pub request: String,
    /// Attempt id assigned by the entry.
    pub attempt: String,
    /// Kind of the request.
    pub kind: RunKind,
    /// Shard that the request named, if any.
    pub shard: Option<String>,
    /// Snapshot that the request named, if any.
    pub snapshot: Option<SnapshotVersion>,
    /// Incarnation of the target that ran the request.
    pub incarnation: IncarnationNumber,
    /// Start time.
    pub started: WallTime,
    /// End time; `None` while the request runs.
    pub ended: Option<WallTime>,
    /// Outcome; `None` while the request runs.
    pub end: Option<RunEnd>,
}

/// Body of the response to `GET /v1/record`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct RecordPage {
    /// Number of runs that were dropped because the log was full.
    pub dropped: u64,
    /// Runs in start order, oldest first.
    pub runs: Vec<RunRecord>,
}

/// Sequence number of a run, counted from zero and including dropped runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunNumber(u64);

/// Bounded log of runs; the oldest runs are dropped first.
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
