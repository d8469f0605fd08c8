//! Adapts the replica set to the control hosts that report themselves.

use std::time::Duration;

use super::ControlMachine;
use crate::control::interface::LogIndex;
use crate::control::raft::RaftNode;
use crate::gateway::membership::members::{MemberSettings, ReplicaProgress};
use crate::types::{MonotonicTime, ReplicaId};

/// Time for which a new leader rejects configuration documents until the configured number of voters is reached.
/// After that it accepts them with fewer voters.
const MAX_VOTER_WAIT: Duration = Duration::from_secs(5);

struct LeaderProgress<'a> {
    raft: &'a RaftNode,
    now: MonotonicTime,
    commit: LogIndex,
    // Time for which the announcement of a planned stop holds.
    leave_lifetime: Duration,
    // Whether the leader itself is about to stop.
    is_draining: bool,
}

impl ReplicaProgress for LeaderProgress<'_> {
    fn is_caught_up(&self, replica: ReplicaId) -> bool {
        self.raft.matched(replica) >= self.commit && self.raft.is_responsive(replica, self.now)
    }

    fn since_response(&self, replica: ReplicaId) -> Duration {
        if replica == self.raft.identity() {
            return Duration::ZERO;
        }
        self.raft.time_since_response(replica, self.now)
    }

    fn is_responsive(&self, replica: ReplicaId) -> bool {
        self.raft.is_responsive(replica, self.now)
    }

    fn is_leaving(&self, replica: ReplicaId) -> bool {
        if replica == self.raft.identity() {
            return self.is_draining;
        }
        let since = self.raft.time_since_leave(replica, self.now);
        since.is_some_and(|since| since <= self.leave_lifetime)
    }
}

impl ControlMachine {
    pub(super) fn propose_member_change(&mut self, now: MonotonicTime, settings: &MemberSettings) {
        let (set, committed) = self.raft.replica_set();
        if !self.raft.is_ready_leader() || !committed {
            return;
        }
        let progress = self.leader_progress(now, settings);
        let identity = self.raft.identity();
        let next = self.reports.next_change(now, set, identity, settings, &progress);
        let may_stop =
            |replica: &ReplicaId| self.reports.may_stop(now, *replica, set, settings, &progress);
        let requests = self.raft.leave_requests().into_iter();
        let verdicts: Vec<(ReplicaId, bool)> =
            requests.map(|replica| (replica, may_stop(&replica))).collect();
        for (replica, released) in verdicts {
            self.raft.answer_leave(replica, released);
        }
        if let Some(next) = next {
            // A rejected proposal needs no handling: the change is derived from the reports again at the next event.
            let _ = self.raft.propose_replicas(next);
        }
    }

    fn leader_progress(&self, now: MonotonicTime, settings: &MemberSettings) -> LeaderProgress<'_> {
        LeaderProgress {
            raft: &self.raft,
            now,
            commit: self.raft.commit(),
            leave_lifetime: settings.replace_after,
            is_draining: self.drain.is_some(),
        }
    }

    /// Returns whether this replica, the only voter, may stop. If another host is there, it becomes a voter first.
    pub(super) fn may_stop_as_only_voter(&self, now: MonotonicTime) -> bool {
        let Some(settings) = &self.settings.members else { return true };
        let progress = self.leader_progress(now, settings);
        let set = self.raft.replica_set().0;
        self.reports.may_stop(now, self.raft.identity(), set, settings, &progress)
    }

    /// Returns whether a configuration document may be accepted. With the configured number of voters, a document that
    /// is durable on a majority survives the loss of as many disks as that number allows. If some hosts are missing,
    /// documents are accepted after [`MAX_VOTER_WAIT`], but never by fewer hosts than a majority of that number: the
    /// missing ones are then not more than may be lost. A host that starts alone could be the only one to lose its disk.
    pub(super) fn has_enough_voters(&self, now: MonotonicTime) -> bool {
        let Some(settings) = self.settings.members else { return true };
        let voters = self.raft.replica_set().0.voters().count();
        let Some(leadership) = &self.leadership else { return false };
        let has_waited = now.since(leadership.began_at) >= MAX_VOTER_WAIT;
        voters >= settings.voters || (has_waited && voters > settings.voters / 2)
    }
}
