//! Adjusts the replica set to the control hosts that report themselves, one change at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::interface::ReplicaRecord;
use crate::control::raft::ReplicaSet;
use crate::types::{MonotonicTime, ReplicaId};

/// Time without a report after which a host is no longer considered for the replica set.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Largest number of learners at the same time. The leader transfers its whole state to each of
/// them.
const MAX_LEARNERS: usize = 4;

/// Settings for adjusting the replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Number of voters to reach and to keep.
    pub voters: usize,
    /// Time without an answer after which a voter may be replaced by a host that has caught up.
    pub replace_after: Duration,
    /// Time without an answer after which a learner is removed.
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

/// The latest report of a control host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedReplica {
    /// The reported record.
    pub record: ReplicaRecord,
    /// When the report was received.
    pub seen_at: MonotonicTime,
}

/// The progress of the replicas as known to the leader.
pub trait ReplicaProgress {
    /// Returns whether a replica has all committed entries and answers.
    fn is_caught_up(&self, replica: ReplicaId) -> bool;
    /// Returns the time since a replica last answered the leader.
    fn since_response(&self, replica: ReplicaId) -> Duration;
}

/// Reports of the control hosts that this leader has received.
#[derive(Clone, Debug, Default)]
pub struct ReplicaReports {
    reports: BTreeMap<ReplicaId, ReportedReplica>,
}

impl ReplicaReports {
    /// Records a report. A new replica ID at a known address means that the host has a new disk, so
    /// the report with the earlier ID is removed.
    pub fn note(&mut self, now: MonotonicTime, record: ReplicaRecord) {
        self.reports.retain(|replica, report| {
            report.record.peer_address != record.peer_address || *replica == record.replica
        });
        self.reports.insert(record.replica, ReportedReplica { record, seen_at: now });
    }

    /// Returns the hosts that have reported recently.
    pub fn current(&self, now: MonotonicTime) -> impl Iterator<Item = &ReplicaRecord> {
        self.reports
            .values()
            .filter(move |report| now.since(report.seen_at) <= REPORT_LIFETIME)
            .map(|report| &report.record)
    }

    /// Returns the next single change of the replica set, or `None` if no change is due.
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

fn caught_up_learner<'a>(
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
    let learner = caught_up_learner(set, progress)?;
    Some(set.with(ReplicaRecord { voter: true, ..learner.clone() }))
}

// An unresponsive voter is removed only if a learner can replace it at once, so that a host that is
// down for a while keeps its vote.
fn remove_unresponsive(
    set: &ReplicaSet,
    leader: ReplicaId,
    settings: &MemberSettings,
    progress: &dyn ReplicaProgress,
) -> Option<ReplicaSet> {
    let others = || set.records().filter(|record| record.replica != leader);
    if let Some(learner) = others()
        .find(|peer| !peer.voter && progress.since_response(peer.replica) > settings.remove_after)
    {
        return Some(set.without(learner.replica));
    }
    caught_up_learner(set, progress)?;
    let voter = others()
        .filter(|peer| peer.voter && progress.since_response(peer.replica) > settings.replace_after)
        .max_by_key(|peer| progress.since_response(peer.replica))?;
    Some(set.without(voter.replica))
}
