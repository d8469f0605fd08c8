//! The replica set, and its earlier versions that a truncation of the log may restore.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::control::interface::{LogIndex, ReplicaRecord};
use crate::types::ReplicaId;

/// The replicas of the cluster with their addresses and roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaSet {
    // The replica that initialised the cluster. Its identity is random and therefore identifies the cluster.
    founder: Option<ReplicaId>,
    records: BTreeMap<ReplicaId, ReplicaRecord>,
}

impl ReplicaSet {
    /// Returns the set of a new cluster, with one voter.
    pub fn single(record: ReplicaRecord) -> Self {
        let founder = Some(record.replica);
        let record = ReplicaRecord { voter: true, ..record };
        Self { founder, records: BTreeMap::from([(record.replica, record)]) }
    }

    /// Returns the replica that initialised the cluster, or `None` for the empty set.
    pub fn founder(&self) -> Option<ReplicaId> {
        self.founder
    }

    /// Returns whether the set has no replica.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Iterates over the records of voters and learners.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.records.values()
    }

    /// Returns the record of a replica, or `None` if it is not in the set.
    pub fn find(&self, replica: ReplicaId) -> Option<&ReplicaRecord> {
        self.records.get(&replica)
    }

    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.find(replica).is_some_and(|record| record.voter)
    }

    /// Iterates over the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        self.records.values().filter(|record| record.voter).map(|record| record.replica)
    }

    /// Returns whether `replicas` include a majority of the voters.
    pub fn is_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let voters = self.voters().count();
        let present = self.voters().filter(|voter| replicas.contains(voter)).count();
        2 * present > voters
    }

    /// Returns the largest value that a majority of the voters has reached.
    pub fn quorum_value<T: Ord + Copy + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable();
        let below_majority = values.len().saturating_sub(1) / 2;
        values.get(below_majority).copied().unwrap_or_default()
    }

    /// Returns a copy with this record added or replaced.
    pub fn with(&self, record: ReplicaRecord) -> Self {
        let mut set = self.clone();
        set.records.insert(record.replica, record);
        set
    }

    /// Returns a copy without this replica.
    pub fn without(&self, replica: ReplicaId) -> Self {
        let mut set = self.clone();
        set.records.remove(&replica);
        set
    }

    /// Returns the next single change towards the wanted replicas, or `None` if no change is due.
    ///
    /// Learners are added first, so that they receive the state while other changes wait. A responsive voter is
    /// removed only when every wanted learner has become a voter, so that a replacement never reduces the number of
    /// voters. An unresponsive voter is removed earlier, because it only raises the required majority. The leader is
    /// removed last.
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
        let all_promoted = learners().next().is_none();
        let removable = |record: &&ReplicaRecord| {
            let may_remove_voter =
                self.voters().count() > 1 && (all_promoted || !is_responsive(record.replica));
            !record.voter || may_remove_voter
        };
        let unwanted = || self.records().filter(|record| !is_wanted(record)).filter(removable);
        let other = unwanted().find(|record| record.replica != leader);
        other.or_else(|| unwanted().next()).map(|record| self.without(record.replica))
    }
}

/// Replica sets with the index of their log entry, in ascending order. The last one is in effect, even before it
/// is committed.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHistory(Vec<(LogIndex, ReplicaSet)>);

impl ReplicaHistory {
    /// Creates a history with one set.
    pub fn new(index: LogIndex, set: ReplicaSet) -> Self {
        Self(vec![(index, set)])
    }

    /// Returns the current set and the index of its log entry.
    pub fn current(&self) -> (LogIndex, &ReplicaSet) {
        // The history starts with one set, and every operation leaves at least one.
        let (index, set) = self.0.last().expect("the replica history is never empty");
        (*index, set)
    }

    /// Returns the set that was in effect at an index.
    pub fn at(&self, index: LogIndex) -> &ReplicaSet {
        let known = self.0.iter().rev().find(|(start, _)| *start <= index);
        known.map_or(self.current().1, |(_, set)| set)
    }

    /// Adds the set of an appended log entry.
    pub fn push(&mut self, index: LogIndex, set: ReplicaSet) {
        self.0.push((index, set));
    }

    /// Removes the sets of log entries from this index on, which were truncated.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self.0.len() > 1 && self.0.last().is_some_and(|(start, _)| *start >= index) {
            self.0.pop();
        }
    }

    /// Removes the sets that were superseded at or before this index.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.0.len() > 1 && self.0[1].0 <= index {
            self.0.remove(0);
        }
    }
}
