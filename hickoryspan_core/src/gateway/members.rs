//! Lets the replica set follow the control hosts that report themselves, one change at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::interface::ReplicaRecord;
use crate::control::raft::ReplicaSet;
use crate::types::{MonotonicTime, ReplicaId};

/// A host that has not reported itself for this long is not added and not promoted.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Learners at once; each one costs the leader a transfer of the state.
const MAX_LEARNERS: usize = 4;

/// How the replica set follows the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// The number of voters to reach and to keep.
    pub voters: usize,
    /// Silence after which a voter may be replaced by a host that has caught up.
    pub replace_after: Duration,
    /// Silence after which a learner is dropped.
    pub remove_after: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            voters: 5,
            replace_after: Duration::from_secs(6),
            remove_after: Duration::from_secs(10),
        }
    }
}

/// A control host that reported itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedReplica {
    /// What it reported.
    pub record: ReplicaRecord,
    /// When it reported last.
    pub seen_at: MonotonicTime,
}

/// What the leader knows about the progress of the replicas.
pub trait ReplicaProgress {
    /// Whether a replica has everything that is committed, and answers.
    fn is_caught_up(&self, replica: ReplicaId) -> bool;
    /// How long ago a replica answered the leader.
    fn since_answer(&self, replica: ReplicaId) -> Duration;
}

/// The hosts that reported themselves to this leader.
#[derive(Clone, Debug, Default)]
pub struct ReplicaReports {
    reports: BTreeMap<ReplicaId, ReportedReplica>,
}

impl ReplicaReports {
    /// Takes a report. A host at the address of an earlier one has a new disk, so the earlier one is gone.
    pub fn note(&mut self, now: MonotonicTime, record: ReplicaRecord) {
        self.reports.retain(|replica, report| {
            report.record.peer_address != record.peer_address || *replica == record.replica
        });
        self.reports.insert(record.replica, ReportedReplica { record, seen_at: now });
    }

    /// The hosts that reported lately.
    pub fn current(&self, now: MonotonicTime) -> impl Iterator<Item = &ReplicaRecord> {
        self.reports
            .values()
            .filter(move |report| now.since(report.seen_at) <= REPORT_LIFETIME)
            .map(|report| &report.record)
    }

    /// The next single change of the replica set, if one is due.
    pub fn next_change(
        &self,
        now: MonotonicTime,
        set: &ReplicaSet,
        leader: ReplicaId,
        settings: &MemberSettings,
        progress: &dyn ReplicaProgress,
    ) -> Option<ReplicaSet> {
        self.replace_lost_disk(now, set, leader)
            .or_else(|| self.update_address(now, set))
            .or_else(|| promote(set, settings, progress))
            .or_else(|| self.add_learner(now, set))
            .or_else(|| remove_unresponsive(set, leader, settings, progress))
    }

    fn replace_lost_disk(
        &self,
        now: MonotonicTime,
        set: &ReplicaSet,
        leader: ReplicaId,
    ) -> Option<ReplicaSet> {
        self.current(now).filter(|record| set.find(record.replica).is_none()).find_map(|record| {
            let old = set.records().find(|known| known.peer_address == record.peer_address)?;
            let learner = ReplicaRecord { voter: false, ..record.clone() };
            (old.replica != leader).then(|| set.without(old.replica).with(learner))
        })
    }

    fn update_address(&self, now: MonotonicTime, set: &ReplicaSet) -> Option<ReplicaSet> {
        self.current(now).find_map(|record| {
            let known = set.find(record.replica)?;
            let moved = ReplicaRecord { voter: known.voter, ..record.clone() };
            (moved != *known).then(|| set.with(moved))
        })
    }

    fn add_learner(&self, now: MonotonicTime, set: &ReplicaSet) -> Option<ReplicaSet> {
        if set.records().filter(|record| !record.voter).count() >= MAX_LEARNERS {
            return None;
        }
        let new = self.current(now).find(|record| set.find(record.replica).is_none())?;
        Some(set.with(ReplicaRecord { voter: false, ..new.clone() }))
    }
}

fn ready_learner<'a>(
    set: &'a ReplicaSet,
    progress: &dyn ReplicaProgress,
) -> Option<&'a ReplicaRecord> {
    set.records().find(|record| !record.voter && progress.is_caught_up(record.replica))
}

fn promote(
    set: &ReplicaSet,
    settings: &MemberSettings,
    progress: &dyn ReplicaProgress,
) -> Option<ReplicaSet> {
    if set.voters().count() >= settings.voters {
        return None;
    }
    let learner = ready_learner(set, progress)?;
    Some(set.with(ReplicaRecord { voter: true, ..learner.clone() }))
}

// A silent voter is removed only when a learner can take its place at once, so that a host that is down for a
// while keeps its vote.
fn remove_unresponsive(
    set: &ReplicaSet,
    leader: ReplicaId,
    settings: &MemberSettings,
    progress: &dyn ReplicaProgress,
) -> Option<ReplicaSet> {
    let others = || set.records().filter(|record| record.replica != leader);
    if let Some(learner) = others()
        .find(|peer| !peer.voter && progress.since_answer(peer.replica) > settings.remove_after)
    {
        return Some(set.without(learner.replica));
    }
    ready_learner(set, progress)?;
    let silent = others()
        .filter(|peer| peer.voter && progress.since_answer(peer.replica) > settings.replace_after)
        .max_by_key(|peer| progress.since_answer(peer.replica))?;
    Some(set.without(silent.replica))
}
