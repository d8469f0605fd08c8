//! Planned stops of replicas. A replica that is about to stop asks the leader first, so that its vote can be given to
//! another replica while it still answers.

use std::time::Duration;

use super::ReplicaBody;
use super::node::{LeaveRequest, RaftNode};
use crate::types::{MonotonicTime, ReplicaId};

impl RaftNode {
    /// Asks the leader for permission to stop. Must be repeated until [`Self::is_released`] returns `true`.
    pub fn request_leave(&mut self) {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.identity) {
            self.send(leader, ReplicaBody::Leave);
        }
    }

    /// Returns whether the leader has allowed this replica to stop.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns the time since a replica last announced to this leader that it is about to stop; `None` if it has not.
    pub fn time_since_leave(&self, replica: ReplicaId, now: MonotonicTime) -> Option<Duration> {
        let request = self.leader_state()?.leaving.get(&replica)?;
        Some(now.since(request.received_at))
    }

    /// Returns the replicas that wait for permission to stop; empty if this replica is not the leader.
    pub fn leave_requests(&self) -> Vec<ReplicaId> {
        let Some(leader) = self.leader_state() else { return Vec::new() };
        let waiting = leader.leaving.iter().filter(|(_, request)| !request.is_answered);
        waiting.map(|(replica, _)| *replica).collect()
    }

    /// Answers the latest request of a replica that is about to stop.
    pub fn answer_leave(&mut self, replica: ReplicaId, released: bool) {
        let Some(leader) = self.leader_state_mut() else { return };
        if let Some(request) = leader.leaving.get_mut(&replica) {
            request.is_answered = true;
        }
        self.send(replica, ReplicaBody::LeaveAnswer { released });
    }

    pub(super) fn handle_leave(&mut self, now: MonotonicTime, from: ReplicaId) {
        if let Some(leader) = self.leader_state_mut() {
            let request = LeaveRequest { received_at: now, is_answered: false };
            leader.leaving.insert(from, request);
        }
    }

    pub(super) fn handle_leave_reply(&mut self, from: ReplicaId, released: bool) {
        self.released |= released && self.leader == Some(from);
    }
}
