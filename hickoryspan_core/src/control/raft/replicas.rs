//! The replica set, and its history as far as entries may still be dropped.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::control::interface::{LogIndex, ReplicaRecord};
use crate::types::ReplicaId;

/// The replicas with their addresses and roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaSet {
    // The replica that initialised the cluster; its random identity tells clusters apart.
    founder: Option<ReplicaId>,
    records: BTreeMap<ReplicaId, ReplicaRecord>,
}

impl ReplicaSet {
    /// The set of a new cluster: one voter.
    pub fn single(record: ReplicaRecord) -> Self {
        let founder = Some(record.replica);
        let record = ReplicaRecord { voter: true, ..record };
        Self { founder, records: BTreeMap::from([(record.replica, record)]) }
    }

    /// The replica that initialised the cluster.
    pub fn founder(&self) -> Option<ReplicaId> {
        self.founder
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All replicas.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.records.values()
    }

    /// The record of a replica.
    pub fn find(&self, replica: ReplicaId) -> Option<&ReplicaRecord> {
        self.records.get(&replica)
    }

    /// Whether a replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.find(replica).is_some_and(|record| record.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.records.values().filter(|record| record.voter).map(|record| record.replica)
    }

    /// Whether these replicas include a majority of the voters.
    pub fn is_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let voters = self.voters().count();
        let present = self.voters().filter(|voter| replicas.contains(voter)).count();
        2 * present > voters
    }

    /// The largest value that a majority of the voters has reached.
    pub fn quorum_value<T: Ord + Copy + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable();
        let below_majority = values.len().saturating_sub(1) / 2;
        values.get(below_majority).copied().unwrap_or_default()
    }

    /// The set with this record added or replaced.
    pub fn with(&self, record: ReplicaRecord) -> Self {
        let mut set = self.clone();
        set.records.insert(record.replica, record);
        set
    }

    /// The set without this replica.
    pub fn without(&self, replica: ReplicaId) -> Self {
        let mut set = self.clone();
        set.records.remove(&replica);
        set
    }

    /// The next single change towards the wanted replicas. Learners come first, so that their transfer runs
    /// while other changes wait. A voter that answers is removed only when every wanted learner votes, so
    /// that a replacement never leaves fewer voters than before; a silent one only raises the majority. The
    /// leader is the last one to be removed.
    pub fn next_change(
        &self,
        leader: ReplicaId,
        wanted: &BTreeMap<ReplicaId, ReplicaRecord>,
        is_caught_up: impl Fn(ReplicaId) -> bool,
        is_responsive: impl Fn(ReplicaId) -> bool,
    ) -> Option<Self> {
        for record in wanted.values() {
            match self.find(record.replica) {
                None => return Some(self.with(ReplicaRecord { voter: false, ..record.clone() })),
                Some(known) => {
                    let moved = ReplicaRecord { voter: known.voter, ..record.clone() };
                    if moved != *known {
                        return Some(self.with(moved));
                    }
                }
            }
        }
        let is_wanted = |record: &&ReplicaRecord| wanted.contains_key(&record.replica);
        let learners = || self.records().filter(|record| !record.voter).filter(is_wanted);
        if let Some(record) = learners().find(|record| is_caught_up(record.replica)) {
            return Some(self.with(ReplicaRecord { voter: true, ..record.clone() }));
        }
        let complete = learners().next().is_none();
        let removable = |record: &&ReplicaRecord| {
            let spare = self.voters().count() > 1 && (complete || !is_responsive(record.replica));
            !record.voter || spare
        };
        let unwanted = || self.records().filter(|record| !is_wanted(record)).filter(removable);
        let other = unwanted().find(|record| record.replica != leader);
        other.or_else(|| unwanted().next()).map(|record| self.without(record.replica))
    }
}

/// Replica sets by the index of their entry; the newest one is in force, committed or not.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHistory(Vec<(LogIndex, ReplicaSet)>);

impl ReplicaHistory {
    /// Starts with one set.
    pub fn new(index: LogIndex, set: ReplicaSet) -> Self {
        Self(vec![(index, set)])
    }

    /// The set in force and the index of its entry.
    pub fn current(&self) -> (LogIndex, &ReplicaSet) {
        // The history starts with one set, and no operation removes the oldest one.
        let (index, set) = self.0.last().expect("the replica history is never empty");
        (*index, set)
    }

    /// The set that was in force at an index.
    pub fn at(&self, index: LogIndex) -> &ReplicaSet {
        let known = self.0.iter().rev().find(|(start, _)| *start <= index);
        known.map_or(self.current().1, |(_, set)| set)
    }

    /// Adds the set of a new entry.
    pub fn push(&mut self, index: LogIndex, set: ReplicaSet) {
        self.0.push((index, set));
    }

    /// Forgets the sets of dropped entries.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self.0.len() > 1 && self.0.last().is_some_and(|(start, _)| *start >= index) {
            self.0.pop();
        }
    }

    /// Forgets the sets that a set committed at or before this index replaced.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.0.len() > 1 && self.0[1].0 <= index {
            self.0.remove(0);
        }
    }
}
