//! Adjusts the replica set to the control hosts that report themselves, one change at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::interface::ReplicaRecord;
use crate::control::raft::ReplicaSet;
use crate::types::{MonotonicTime, ReplicaId};

/// Time without a report after which a host is no longer considered for the replica set, at most.
const MAX_REPORT_LIFETIME: Duration = Duration::from_secs(3);
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

impl MemberSettings {
    /// Returns the time without a report after which a host is no longer considered for the replica set. Shorter than
    /// the time after which a silent voter is replaced, whose last report would otherwise add it again.
    pub fn report_lifetime(&self) -> Duration {
        MAX_REPORT_LIFETIME.min(self.replace_after * 3 / 4)
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
    /// Returns whether a replica answers the leader.
    fn is_responsive(&self, replica: ReplicaId) -> bool;
    /// Returns whether a replica has announced that it is about to stop.
    fn is_leaving(&self, replica: ReplicaId) -> bool;
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
    pub fn current(
        &self,
        now: MonotonicTime,
        settings: &MemberSettings,
    ) -> impl Iterator<Item = &ReplicaRecord> {
        let lifetime = settings.report_lifetime();
        self.reports
            .values()
            .filter(move |report| now.since(report.seen_at) <= lifetime)
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
        self.replace_lost_disk(now, set, leader, settings)
            .or_else(|| self.update_address(now, set, settings))
            .or_else(|| promote(set, settings, progress))
            .or_else(|| remove_excess_voter(set, leader, settings, progress))
            .or_else(|| self.add_learner(now, set, settings, progress))
            .or_else(|| remove_unresponsive(set, leader, settings, progress))
    }

    /// Returns whether a replica that is about to stop may do so: it has no vote, or no other host could take it over.
    /// Without a successor the replica keeps its vote, because it may come back, and fewer voters could lose what is
    /// acknowledged with fewer disks.
    pub fn may_stop(
        &self,
        now: MonotonicTime,
        replica: ReplicaId,
        set: &ReplicaSet,
        settings: &MemberSettings,
        progress: &dyn ReplicaProgress,
    ) -> bool {
        if !set.is_voter(replica) {
            return true;
        }
        let is_successor = |record: &&ReplicaRecord| {
            !set.is_voter(record.replica) && !progress.is_leaving(record.replica)
        };
        let mut learners = set.records().filter(is_successor);
        let mut reported = self.current(now, settings).filter(is_successor);
        !learners.any(|record| progress.is_responsive(record.replica)) && reported.next().is_none()
    }

    fn replace_lost_disk(
        &self,
        now: MonotonicTime,
        set: &ReplicaSet,
        leader: ReplicaId,
        settings: &MemberSettings,
    ) -> Option<ReplicaSet> {
        self.current(now, settings).filter(|record| set.find(record.replica).is_none()).find_map(
            |record| {
                let old = set.records().find(|known| known.peer_address == record.peer_address)?;
                let learner = ReplicaRecord { voter: false, ..record.clone() };
                (old.replica != leader).then(|| set.without(old.replica).with(learner))
            },
        )
    }

    fn update_address(
        &self,
        now: MonotonicTime,
        set: &ReplicaSet,
        settings: &MemberSettings,
    ) -> Option<ReplicaSet> {
        self.current(now, settings).find_map(|record| {
            let known = set.find(record.replica)?;
            let moved = ReplicaRecord { voter: known.voter, ..record.clone() };
            (moved != *known).then(|| set.with(moved))
        })
    }

    fn add_learner(
        &self,
        now: MonotonicTime,
        set: &ReplicaSet,
        settings: &MemberSettings,
        progress: &dyn ReplicaProgress,
    ) -> Option<ReplicaSet> {
        let new = self.current(now, settings).find(|record| {
            set.find(record.replica).is_none() && !progress.is_leaving(record.replica)
        })?;
        let learners = || set.records().filter(|record| !record.voter);
        if learners().count() >= MAX_LEARNERS {
            // A learner that is gone must not keep a host out that could take over a vote.
            let silent = learners().find(|record| !progress.is_responsive(record.replica))?;
            return Some(set.without(silent.replica));
        }
        Some(set.with(ReplicaRecord { voter: false, ..new.clone() }))
    }
}

fn caught_up_learner<'a>(
    set: &'a ReplicaSet,
    progress: &dyn ReplicaProgress,
) -> Option<&'a ReplicaRecord> {
    set.records().find(|record| {
        !record.voter
            && progress.is_caught_up(record.replica)
            && !progress.is_leaving(record.replica)
    })
}

fn promote(
    set: &ReplicaSet,
    settings: &MemberSettings,
    progress: &dyn ReplicaProgress,
) -> Option<ReplicaSet> {
    // The successor of a voter that leaves is promoted while that voter still answers, so that neither a majority nor a
    // copy of what is acknowledged is missing in between.
    let leaving = set.voters().filter(|voter| progress.is_leaving(*voter)).count();
    let staying = set.voters().count() - leaving;
    let limit = settings.voters + usize::from(leaving > 0);
    if staying >= settings.voters || set.voters().count() >= limit {
        return None;
    }
    let learner = caught_up_learner(set, progress)?;
    Some(set.with(ReplicaRecord { voter: true, ..learner.clone() }))
}

// One voter too many raises the required majority. The one that leaves is removed, or the one that is gone.
fn remove_excess_voter(
    set: &ReplicaSet,
    leader: ReplicaId,
    settings: &MemberSettings,
    progress: &dyn ReplicaProgress,
) -> Option<ReplicaSet> {
    if set.voters().count() <= settings.voters {
        return None;
    }
    let others = || set.voters().filter(|voter| *voter != leader);
    let leaving = others().find(|voter| progress.is_leaving(*voter));
    let gone = || others().find(|voter| progress.since_response(*voter) > settings.replace_after);
    Some(set.without(leaving.or_else(gone)?))
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
