//! Replication and commit of log entries, and heartbeat rounds that confirm reads.

use super::node::{RaftNode, RaftRole, ReadTicket, StartedRound};
use super::progress::{PeerProgress, SendMode};
use super::replicas::ReplicaSet;
use super::{LogConflict, LogPosition, ReplicaBody, RoundNumber};
use crate::control::commands::LogPayload;
use crate::control::interface::{LogEntry, LogIndex};
use crate::control::raft::ProposeError;
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

impl RaftNode {
    pub(super) fn tick_leader(&mut self, now: MonotonicTime) {
        let (_, set) = self.replicas.current();
        let Some(leader) = self.leader_state() else { return };
        let last_response_at = set.quorum_value(|voter| match leader.peers.get(&voter) {
            Some(peer) => peer.last_response_at,
            None => now,
        });
        if self.has_timed_out(last_response_at, now) {
            self.become_follower(now, self.hard.term, None);
            return self.reset_election(now);
        }
        let heartbeat = self.settings.heartbeat;
        let Some(leader) = self.leader_state_mut() else { return };
        leader.quorum_contact_at = last_response_at;
        if leader.heartbeat_at <= now {
            leader.heartbeat_at = now + heartbeat;
            self.start_round(now);
        }
    }

    /// Starts a linearizable read. It may be answered when [`Self::is_confirmed`] returns `true` for the ticket.
    pub fn request_read(&mut self) -> Result<ReadTicket, ProposeError> {
        let commit = self.commit;
        let Some(leader) = self.leader_state_mut() else { return Err(ProposeError::NotLeader) };
        leader.round_requested = true;
        let index = commit.max(leader.term_start);
        Ok(ReadTicket { round: leader.round.next(), index })
    }

    /// Returns whether a read that was requested in the current term may be answered.
    pub fn is_confirmed(&self, ticket: ReadTicket) -> bool {
        self.applied >= ticket.index
            && self.leader_state().is_some_and(|leader| leader.confirmed_round >= ticket.round)
    }

    /// Proposes a new replica set. Fails with `Busy` while another change is uncommitted, and before this leader has
    /// committed an entry of its own term.
    pub fn propose_replicas(&mut self, set: ReplicaSet) -> Result<LogIndex, ProposeError> {
        if !self.is_ready_leader() || !self.replica_set().1 {
            return Err(ProposeError::Busy);
        }
        self.propose(&LogPayload::Replicas(set))
    }

    fn start_round(&mut self, now: MonotonicTime) {
        self.drop_old_rounds(now);
        let base = self.log.base();
        let Some(leader) = self.leader_state_mut() else { return };
        leader.round = leader.round.next();
        leader.round_requested = false;
        leader.fresh_rounds.push_back(StartedRound { round: leader.round, began_at: now });
        let peers: Vec<(ReplicaId, LogIndex)> = leader
            .peers
            .iter_mut()
            .map(|(replica, peer)| {
                if let SendMode::Probe { sent_at } = &mut peer.mode {
                    *sent_at = Some(now);
                }
                (*replica, LogIndex(peer.next.0.saturating_sub(1)))
            })
            .collect();
        for (replica, previous) in peers {
            let term = self.log.term_at(previous);
            let previous = term.map_or(base, |term| LogPosition { term, index: previous });
            self.send_append(replica, previous, Vec::new());
        }
        self.confirm_rounds();
    }

    fn send_append(&mut self, to: ReplicaId, previous: LogPosition, entries: Vec<LogEntry>) {
        let round = self.leader_state().map_or(RoundNumber::default(), |leader| leader.round);
        let commit = self.commit;
        self.send(to, ReplicaBody::Append { previous, entries, commit, round });
    }

    /// Sends entries to all replicas as far as their send windows allow.
    pub(super) fn replicate(&mut self, now: MonotonicTime) {
        self.sync_peers(now);
        let Some(leader) = self.leader_state() else { return };
        if leader.round_requested && leader.confirmed_round == leader.round {
            self.start_round(now);
        }
        let Some(leader) = self.leader_state() else { return };
        let replicas: Vec<ReplicaId> = leader.peers.keys().copied().collect();
        for replica in replicas {
            self.replicate_to(now, replica);
        }
        self.continue_transfer(now);
    }

    fn sync_peers(&mut self, now: MonotonicTime) {
        let set = self.replicas.current().1;
        let last = self.log.last().index;
        let identity = self.identity;
        let RaftRole::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|replica, _| set.find(*replica).is_some());
        for record in set.records().filter(|record| record.replica != identity) {
            let peer = leader.peers.entry(record.replica);
            peer.or_insert_with(|| PeerProgress::new(last, now));
        }
    }

    fn replicate_to(&mut self, now: MonotonicTime, to: ReplicaId) {
        let last = self.log.last().index;
        let window = self.settings.append_window;
        loop {
            let Some(peer) = self.leader_state().and_then(|leader| leader.peers.get(&to)) else {
                return;
            };
            let previous = LogIndex(peer.next.0.saturating_sub(1));
            let in_flight = peer.in_flight.len();
            if matches!(peer.mode, SendMode::Snapshot(_)) {
                return self.continue_snapshot(now, to);
            }
            let Some(term) = self.log.term_at(previous) else {
                return self.start_snapshot(now, to);
            };
            let previous = LogPosition { term, index: previous };
            match &peer.mode {
                SendMode::Probe { sent_at: None } => {
                    self.set_mode(to, SendMode::Probe { sent_at: Some(now) });
                    return self.send_append(to, previous, Vec::new());
                }
                SendMode::Replicate if in_flight < window && previous.index < last => {}
                _ => return,
            }
            let first = LogIndex(previous.index.0 + 1);
            let max_entries = self.settings.max_append_entries;
            let entries = self.log.slice(first, last, max_entries, self.settings.max_append_bytes);
            let end = LogIndex(previous.index.0 + entries.len() as u64);
            self.send_append(to, previous, entries);
            let peer = self.leader_state_mut().and_then(|leader| leader.peers.get_mut(&to));
            let Some(peer) = peer else { return };
            peer.next = LogIndex(end.0 + 1);
            peer.in_flight.push_back(end);
        }
    }

    pub(super) fn set_mode(&mut self, replica: ReplicaId, mode: SendMode) {
        let peer = self.leader_state_mut().and_then(|leader| leader.peers.get_mut(&replica));
        if let Some(peer) = peer {
            peer.mode = mode;
        }
    }

    // The parameters are the fields of one message.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_append(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: LogIndex,
        round: RoundNumber,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        self.leader_round = self.leader_round.max(round);
        self.named_commit = self.named_commit.max(Some(commit));
        if self.pipeline.is_disk_full() {
            return;
        }
        let Some((previous, entries)) = self.skip_committed(previous, entries) else {
            return self.acknowledge_append();
        };
        if self.log.term_at(previous.index) != Some(previous.term) {
            return self.reject_append(previous.index);
        }
        let end = LogIndex(previous.index.0 + entries.len() as u64);
        for entry in entries {
            if !self.store_entry(entry) {
                return;
            }
        }
        self.verified = self.verified.max(end);
        self.commit = self.commit.max(commit.min(end));
        self.acknowledge_append();
    }

    /// Returns whether the sender is the leader of the current term; this replica then becomes its follower.
    pub(super) fn accept_leader(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
    ) -> bool {
        if term < self.hard.term {
            // The reply carries the newer term, which makes the old leader step down.
            let conflict = LogConflict { refused: LogIndex(0), hint: LogIndex(1) };
            let body = ReplicaBody::AppendRefused { round: RoundNumber::default(), conflict };
            self.send_durable(from, body);
            return false;
        }
        if self.is_pledged(now) {
            self.pause_pledges(now);
            return false;
        }
        if self.is_leader() && term == self.hard.term {
            self.fault = Some(format!("replica {from} also leads term {term}").into());
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.last_leader_contact = Some(now);
        self.reset_election(now);
        true
    }

    // Committed entries are the same on all replicas and may already be compacted here, so they are not compared.
    fn skip_committed(
        &mut self,
        previous: LogPosition,
        mut entries: Vec<LogEntry>,
    ) -> Option<(LogPosition, Vec<LogEntry>)> {
        if previous.index >= self.commit {
            return Some((previous, entries));
        }
        let commit = self.commit;
        self.verified =
            self.verified.max(commit.min(LogIndex(previous.index.0 + entries.len() as u64)));
        entries.retain(|entry| entry.index > commit);
        if entries.is_empty() {
            return None;
        }
        let term = self.log.term_at(commit)?;
        Some((LogPosition { term, index: commit }, entries))
    }

    fn store_entry(&mut self, entry: LogEntry) -> bool {
        let index = entry.index;
        if index.0 != self.log.last().index.0 + 1 {
            if self.log.term_at(index) == Some(entry.term) {
                return true;
            }
            if index <= self.commit || index > self.log.last().index {
                self.fault = Some(format!("log entry {index} contradicts a committed one").into());
                return false;
            }
            self.truncate_from(index);
        }
        self.log.push(entry);
        self.note_replica_set(index);
        true
    }

    fn reject_append(&mut self, refused: LogIndex) {
        let last = self.log.last().index;
        let hint = if last < refused {
            LogIndex(last.0 + 1)
        } else {
            self.log.first_of_term(refused).max(LogIndex(self.commit.0 + 1))
        };
        let round = self.leader_round;
        let Some(leader) = self.leader else { return };
        let conflict = LogConflict { refused, hint };
        self.send_durable(leader, ReplicaBody::AppendRefused { round, conflict });
    }

    fn acknowledge_append(&mut self) {
        let Some(leader) = self.leader else { return };
        let matched = self.verified.min(self.pipeline.persisted);
        self.acknowledged = matched;
        let round = self.leader_round;
        self.send_durable(leader, ReplicaBody::AppendAnswer { round, matched });
    }

    /// Acknowledges entries that have become durable since the last acknowledgement.
    pub(super) fn acknowledge_persisted(&mut self) {
        if self.verified.min(self.pipeline.persisted) > self.acknowledged {
            self.acknowledge_append();
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        round: RoundNumber,
        result: Result<LogIndex, LogConflict>,
    ) {
        let last = self.log.last().index;
        let stale = term == self.hard.term && !self.is_fresh(now, round);
        if stale || !self.note_response(now, from, term) {
            return;
        }
        let Some(leader) = self.leader_state_mut() else { return };
        let newest_round = leader.round;
        let Some(peer) = leader.peers.get_mut(&from) else { return };
        peer.round = peer.round.max(round.min(newest_round));
        match result {
            Ok(matched) => peer.note_matched(matched.min(last)),
            Err(conflict) => peer.note_refused(conflict),
        }
        self.confirm_rounds();
        self.advance_commit();
    }

    // A replica pledges only after it has received nothing from its leader for the shortest election timeout.
    // Answers that it sent before could complete a commit during the pledge, so they are ignored. The bound is one
    // heartbeat shorter, because clock rates differ.
    fn is_fresh(&mut self, now: MonotonicTime, round: RoundNumber) -> bool {
        self.drop_old_rounds(now);
        let oldest = self.leader_state().and_then(|leader| leader.fresh_rounds.front());
        oldest.is_some_and(|oldest| round >= oldest.round)
    }

    fn drop_old_rounds(&mut self, now: MonotonicTime) {
        let bound = self.settings.election_min.saturating_sub(self.settings.heartbeat);
        let Some(leader) = self.leader_state_mut() else { return };
        let rounds = &mut leader.fresh_rounds;
        while rounds.front().is_some_and(|oldest| now.since(oldest.began_at) >= bound) {
            rounds.pop_front();
        }
    }

    /// Records an answer and returns whether it belongs to the current term of this leader.
    pub(super) fn note_response(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
    ) -> bool {
        if term > self.hard.term {
            if self.replicas.current().1.find(from).is_some() {
                self.become_follower(now, term, None);
            }
            return false;
        }
        let current = term == self.hard.term;
        let Some(leader) = self.leader_state_mut().filter(|_| current) else { return false };
        let Some(peer) = leader.peers.get_mut(&from) else { return false };
        peer.last_response_at = now;
        true
    }

    fn confirm_rounds(&mut self) {
        let (_, set) = self.replicas.current();
        let Some(leader) = self.leader_state() else { return };
        let round = set.quorum_value(|voter| {
            leader.peers.get(&voter).map_or(leader.round, |progress| progress.round)
        });
        if let Some(leader) = self.leader_state_mut() {
            leader.confirmed_round = leader.confirmed_round.max(round);
        }
    }

    /// Commits the entries that are durable on a majority. The leader counts its own entries only when they are
    /// durable.
    pub(super) fn advance_commit(&mut self) {
        let (_, set) = self.replicas.current();
        let Some(leader) = self.leader_state() else { return };
        let persisted = self.pipeline.persisted;
        let matched = set
            .quorum_value(|voter| leader.peers.get(&voter).map_or(persisted, |peer| peer.matched));
        if matched <= self.commit || self.log.term_at(matched) != Some(self.hard.term) {
            return;
        }
        let bytes: u64 = (self.commit.0 + 1..=matched.0)
            .filter_map(|index| self.log.get(LogIndex(index)))
            .map(|entry| entry.payload.len() as u64)
            .sum();
        self.commit = matched;
        if let Some(leader) = self.leader_state_mut() {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
    }

    /// Steps down if a committed change has removed this replica from the voters.
    pub fn step_down_if_removed(&mut self, now: MonotonicTime) {
        let (set, committed) = self.replica_set();
        if self.is_leader() && committed && !set.is_voter(self.identity) {
            self.become_follower(now, self.hard.term, None);
        }
    }
}
