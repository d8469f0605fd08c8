//! Elections, pre-votes and pledges. A pledge is a promise of a replica not to take part in any commit for a
//! fixed time; entries serve their current state while a majority of pledges is valid.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::node::{LeaderState, RaftNode, RaftRole, VoteTally};
use super::persistence::OutgoingMessage;
use super::progress::PeerProgress;
use super::{LogPosition, ReplicaBody, RoundNumber};
use crate::control::interface::{HardState, LogIndex};
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

/// Factor of the longest election timeout during which no pledges are given after an election has become possible:
/// one timeout for the election and one for a second attempt after a split vote.
const PLEDGE_PAUSE_FACTOR: u32 = 2;

impl RaftNode {
    /// Returns whether a pledge of this replica is valid. Until it ends, this replica grants no vote, starts no
    /// election and acknowledges no leader, so a majority of pledges proves that nothing is committed meanwhile.
    pub(super) fn is_pledged(&self, now: MonotonicTime) -> bool {
        now < self.pledged_until
    }

    /// Gives a pledge and returns its duration. Returns zero and gives none if this replica has a leader or expects
    /// an election.
    pub fn pledge(&mut self, now: MonotonicTime) -> Duration {
        let (_, set) = self.replicas.current();
        let can_pledge = set.is_voter(self.identity) && set.voters().count() > 1;
        let has_leader = self.last_leader_contact.is_some_and(|at| !self.has_timed_out(at, now));
        if !can_pledge || has_leader || self.is_leader() || now < self.no_pledge_before {
            return Duration::ZERO;
        }
        if let RaftRole::Candidate(_) = self.role {
            self.role = RaftRole::Follower;
        }
        self.pledged_until = self.pledged_until.max(now + self.settings.pledge);
        self.settings.pledge
    }

    /// Gives no pledges for some time, so that an election can complete.
    pub(super) fn pause_pledges(&mut self, now: MonotonicTime) {
        self.no_pledge_before = now + self.settings.election_max * PLEDGE_PAUSE_FACTOR;
    }

    pub(super) fn start_pre_vote(&mut self, now: MonotonicTime) {
        self.reset_election(now);
        self.role = RaftRole::Follower;
        self.leader = None;
        let (_, set) = self.replicas.current();
        if !set.is_voter(self.identity) || self.pipeline.is_disk_full() {
            return;
        }
        let granted = BTreeSet::from([self.identity]);
        let tally = VoteTally { granted, campaign_at: None, blocked_until: self.pledged_until };
        let others = self.other_voters();
        self.role = RaftRole::PreCandidate(tally);
        let last = self.log.last();
        for voter in others {
            let (term, body) = (self.hard.term.next(), ReplicaBody::PreVote { last });
            self.outbox.push(OutgoingMessage { to: voter, term, body });
        }
        self.check_pre_votes(now);
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let (_, set) = self.replicas.current();
        set.voters().filter(|voter| *voter != self.identity).collect()
    }

    // Leader stickiness: a replica that is cut off from the leader, or was removed, must not depose it.
    fn is_leader_alive(&self, now: MonotonicTime) -> bool {
        match self.leader_state() {
            Some(leader) => !self.has_timed_out(leader.quorum_contact_at, now),
            None => self.last_leader_contact.is_some_and(|at| !self.has_timed_out(at, now)),
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        last: LogPosition,
    ) {
        // A replica with an empty disk may have lost an earlier vote, so it never votes.
        if self.replicas.current().1.is_empty() || self.pipeline.is_disk_full() {
            return;
        }
        let granted =
            term > self.hard.term && !self.is_leader_alive(now) && last >= self.log.last();
        let answer_term = if granted { term } else { self.hard.term };
        if granted {
            self.pause_pledges(now);
        }
        let pledged = self.pledged_until.since(now);
        let body = ReplicaBody::PreVoteAnswer { granted, pledged };
        self.outbox.push(OutgoingMessage { to: from, term: answer_term, body });
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        granted: bool,
        pledged: Duration,
    ) {
        if !granted {
            if term > self.hard.term && !self.is_leader_alive(now) {
                self.become_follower(now, term, None);
            }
            return;
        }
        let next_term = self.hard.term.next();
        let RaftRole::PreCandidate(tally) = &mut self.role else { return };
        if term != next_term {
            return;
        }
        tally.granted.insert(from);
        tally.blocked_until = tally.blocked_until.max(now + pledged);
        self.check_pre_votes(now);
    }

    fn check_pre_votes(&mut self, now: MonotonicTime) {
        let set = self.replicas.current().1.clone();
        let RaftRole::PreCandidate(tally) = &mut self.role else { return };
        if tally.campaign_at.is_some() || !set.is_quorum(&tally.granted) {
            return;
        }
        let campaign_at = tally.blocked_until.max(now);
        tally.campaign_at = Some(campaign_at);
        self.pause_pledges(campaign_at);
        if campaign_at <= now {
            return self.campaign(now, false);
        }
        self.reset_election(campaign_at);
    }

    pub(super) fn campaign(&mut self, now: MonotonicTime, transfer: bool) {
        self.reset_election(now);
        if self.is_pledged(now) || self.pipeline.is_disk_full() {
            self.role = RaftRole::Follower;
            return;
        }
        self.hard = HardState { term: self.hard.term.next(), voted_for: Some(self.identity) };
        self.pipeline.hard_state_dirty = true;
        self.leader = None;
        self.role = RaftRole::Candidate(VoteTally::default());
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_durable(voter, ReplicaBody::Vote { last, transfer });
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        last: LogPosition,
        transfer: bool,
    ) {
        let empty = self.replicas.current().1.is_empty();
        if empty || self.is_pledged(now) || self.pipeline.is_disk_full() {
            return;
        }
        if term < self.hard.term {
            return self.send_durable(from, ReplicaBody::VoteAnswer { granted: false });
        }
        if term > self.hard.term {
            if self.is_leader_alive(now) && !transfer {
                return;
            }
            self.become_follower(now, term, None);
        }
        let can_vote = self.hard.voted_for.is_none_or(|voted| voted == from);
        let follows = matches!(self.role, RaftRole::Follower | RaftRole::PreCandidate(_));
        let granted = can_vote && follows && last >= self.log.last();
        if granted {
            self.pipeline.hard_state_dirty |= self.hard.voted_for.is_none();
            self.hard.voted_for = Some(from);
            self.role = RaftRole::Follower;
            self.reset_election(now);
        }
        self.send_durable(from, ReplicaBody::VoteAnswer { granted });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        granted: bool,
    ) {
        if term > self.hard.term {
            return self.become_follower(now, term, None);
        }
        if term == self.hard.term && granted {
            self.count_vote(now, from);
        }
    }

    /// Counts this replica's own vote, after it has become durable.
    pub(super) fn count_own_vote(&mut self, now: MonotonicTime) {
        if self.hard.voted_for == Some(self.identity) {
            self.count_vote(now, self.identity);
        }
    }

    fn count_vote(&mut self, now: MonotonicTime, from: ReplicaId) {
        let set = self.replicas.current().1.clone();
        let RaftRole::Candidate(tally) = &mut self.role else { return };
        tally.granted.insert(from);
        if set.is_quorum(&tally.granted) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: MonotonicTime) {
        let last = self.log.last().index;
        let others = self.replicas.current().1.records().map(|record| record.replica);
        let peers = others
            .filter(|replica| *replica != self.identity)
            .map(|replica| (replica, PeerProgress::new(last, now)))
            .collect();
        let uncommitted = (self.commit.0 + 1..=last.0)
            .filter_map(|index| self.log.get(LogIndex(index)))
            .map(|entry| entry.payload.len() as u64)
            .sum();
        self.leader = None;
        self.role = RaftRole::Leader(Box::new(LeaderState {
            term_start: LogIndex(last.0 + 1),
            peers,
            round: RoundNumber::default(),
            confirmed_round: RoundNumber::default(),
            round_requested: true,
            fresh_rounds: VecDeque::new(),
            heartbeat_at: now,
            quorum_contact_at: now,
            transfer_to: None,
            transfer_until: now,
            uncommitted_bytes: uncommitted,
            leaving: BTreeMap::new(),
        }));
        let payload = self.term_start_payload();
        self.append_local(&payload);
    }
}
