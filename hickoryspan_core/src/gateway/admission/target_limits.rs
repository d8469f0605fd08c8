//! The request rates to which targets in need limit all entries together.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use crate::gateway::targets::directory::TargetProcess;
use crate::types::{MonotonicTime, RequestRate};

/// Time for which the end of a limit is remembered, so that older reports do not bring it back.
const END_MEMORY: Duration = Duration::from_secs(60);

/// Smallest change of a limit, as a part of it, of which other hosts are told. A target may name another limit with every
/// response.
const MIN_TOLD_CHANGE: f64 = 0.1;

/// What one host last heard of the limit of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitRecord {
    /// The process of the target.
    pub process: TargetProcess,
    /// Requests per second that it takes from all entries together; `None` if its limit has ended.
    pub limit: Option<RequestRate>,
    /// Time since a response of the target said so.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LimitState {
    limit: Option<RequestRate>,
    // The limit of which other hosts were told last.
    told: Option<RequestRate>,
    heard_at: MonotonicTime,
    changed: ChangeNumber,
    // Whether this process heard it from the target itself.
    is_own: bool,
}

/// The limits of all targets that have named one.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: HashMap<TargetProcess, LimitState>,
    newest: ChangeNumber,
}

impl LimitTable {
    /// Records the limit that a response named, or that it named none. Returns whether other hosts must be told.
    pub fn note_response(
        &mut self,
        now: MonotonicTime,
        process: &TargetProcess,
        limit: Option<RequestRate>,
    ) -> bool {
        match self.limits.get_mut(process) {
            Some(state) if !is_told_change(state.told, limit) => {
                state.limit = limit;
                state.heard_at = now;
                false
            }
            None if limit.is_none() => false,
            Some(_) | None => {
                self.put(process.clone(), limit, now, true);
                true
            }
        }
    }

    fn put(
        &mut self,
        process: TargetProcess,
        limit: Option<RequestRate>,
        heard_at: MonotonicTime,
        is_own: bool,
    ) {
        self.newest.0 += 1;
        let state = LimitState { limit, told: limit, heard_at, changed: self.newest, is_own };
        self.limits.insert(process, state);
    }

    fn records(
        &self,
        now: MonotonicTime,
        is_wanted: impl Fn(&LimitState) -> bool,
    ) -> Vec<LimitRecord> {
        let wanted = self.limits.iter().filter(|(_, state)| is_wanted(state));
        let to_record = |(process, state): (&TargetProcess, &LimitState)| LimitRecord {
            process: process.clone(),
            limit: state.limit,
            age: now.since(state.heard_at),
        };
        wanted.map(to_record).collect()
    }

    /// Returns the processes that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = &TargetProcess> {
        self.limits.iter().filter(|(_, state)| state.limit.is_some()).map(|(process, _)| process)
    }

    /// Returns the limit of a target; `None` if it has none.
    pub fn find(&self, process: &TargetProcess) -> Option<RequestRate> {
        self.limits.get(process).and_then(|state| state.limit)
    }

    /// Returns whether any target has or had a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Forgets limits that ended long ago and the targets for which `keep` returns false.
    pub fn retain(&mut self, now: MonotonicTime, keep: impl Fn(&TargetProcess) -> bool) {
        self.limits.retain(|process, state| {
            let is_current = state.limit.is_some() || now.since(state.heard_at) < END_MEMORY;
            is_current && keep(process)
        });
    }
}

impl SharedTable for LimitTable {
    type Record = LimitRecord;

    fn newest(&self) -> ChangeNumber {
        self.newest
    }

    fn changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<LimitRecord> {
        self.records(now, |state| state.changed > known)
    }

    fn own_changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<LimitRecord> {
        self.records(now, |state| state.is_own && state.changed > known)
    }

    /// A record counts unless this host heard from the target later.
    fn merge(&mut self, now: MonotonicTime, record: LimitRecord) -> bool {
        let heard_at = now - record.age;
        let known = self.limits.get(&record.process);
        if known.is_some_and(|known| known.heard_at >= heard_at) {
            return false;
        }
        let is_old_end = record.limit.is_none() && record.age >= END_MEMORY;
        let is_same = known.is_some_and(|known| !is_told_change(known.told, record.limit));
        if is_same || known.is_none() && is_old_end {
            return false;
        }
        self.put(record.process, record.limit, heard_at, false);
        true
    }
}

fn is_told_change(told: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (told, limit) {
        (Some(told), Some(limit)) => (limit.0 - told.0).abs() > told.0 * MIN_TOLD_CHANGE,
        (told, limit) => told.is_some() != limit.is_some(),
    }
}
