//! Transfer of snapshots to replicas that are too far behind, and transfer of leadership.

use std::time::Duration;

use super::node::{RaftNode, to_position};
use super::progress::{SendMode, SnapshotTransfer};
use super::{LogPosition, ReplicaBody};
use crate::control::interface::{LogIndex, SnapshotRecord};
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

/// Time after which an unacknowledged snapshot chunk is sent again.
const CHUNK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: ReplicaId,
    term: TermNumber,
    last: LogPosition,
    state: Vec<u8>,
}

impl RaftNode {
    pub(super) fn start_snapshot(&mut self, now: MonotonicTime, to: ReplicaId) {
        let Some(snapshot) = &self.snapshot else { return };
        let transfer = SnapshotTransfer {
            last: to_position(snapshot),
            state: snapshot.state.clone(),
            received: 0,
            sent_at: now,
        };
        self.set_mode(to, SendMode::Snapshot(transfer));
        self.send_chunk(now, to);
    }

    pub(super) fn continue_snapshot(&mut self, now: MonotonicTime, to: ReplicaId) {
        let peer = self.leader_state().and_then(|leader| leader.peers.get(&to));
        let Some(SendMode::Snapshot(transfer)) = peer.map(|peer| &peer.mode) else { return };
        if now.since(transfer.sent_at) >= CHUNK_RETRY_INTERVAL {
            self.send_chunk(now, to);
        }
    }

    fn send_chunk(&mut self, now: MonotonicTime, to: ReplicaId) {
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let peer = self.leader_state_mut().and_then(|leader| leader.peers.get_mut(&to));
        let Some(SendMode::Snapshot(transfer)) = peer.map(|peer| &mut peer.mode) else { return };
        transfer.sent_at = now;
        let size = transfer.state.len();
        let start = usize::try_from(transfer.received).unwrap_or(size).min(size);
        let end = (start + chunk_bytes).min(size);
        let body = ReplicaBody::Snapshot {
            last: transfer.last,
            size: size as u64,
            offset: start as u64,
            part: transfer.state[start..end].into(),
        };
        self.send(to, body);
    }

    // The parameters are the fields of one message.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        last: LogPosition,
        size: u64,
        offset: u64,
        part: &[u8],
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        if self.pipeline.is_disk_full() || size > self.settings.max_snapshot_bytes {
            return;
        }
        if last.index <= self.commit {
            self.incoming = None;
            // The snapshot covers only committed entries, which are the same on all replicas.
            self.verified = self.verified.max(last.index);
            let body = ReplicaBody::SnapshotAnswer { index: last.index, received: size };
            self.send_durable(from, body);
            self.acknowledged = LogIndex(0);
            return self.acknowledge_persisted();
        }
        let incoming = self.incoming.take().filter(|incoming| {
            incoming.from == from && incoming.term == term && incoming.last == last
        });
        let mut incoming =
            incoming.unwrap_or(IncomingSnapshot { from, term, last, state: Vec::new() });
        if incoming.state.len() as u64 == offset && offset + part.len() as u64 <= size {
            incoming.state.extend_from_slice(part);
        }
        let received = incoming.state.len() as u64;
        if received == size {
            let state = incoming.state.into();
            self.install(SnapshotRecord { index: last.index, term: last.term, state });
            return;
        }
        self.incoming = Some(incoming);
        self.send_durable(from, ReplicaBody::SnapshotAnswer { index: last.index, received });
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
        index: LogIndex,
        received: u64,
    ) {
        if !self.note_response(now, from, term) {
            return;
        }
        let peer = self.leader_state_mut().and_then(|leader| leader.peers.get_mut(&from));
        let Some(SendMode::Snapshot(transfer)) = peer.map(|peer| &mut peer.mode) else { return };
        // A replica that restarted begins again at zero, so the received length may also decrease.
        if transfer.last.index != index || transfer.received == received {
            return;
        }
        transfer.received = received;
        if received < transfer.state.len() as u64 {
            self.send_chunk(now, from);
        }
    }

    /// Starts to hand over leadership to the voter that answered most recently. Proposals are rejected meanwhile. If
    /// no other replica has become the leader at `until`, this one continues as the leader.
    pub fn start_transfer(&mut self, now: MonotonicTime, until: MonotonicTime) {
        let Some(leader) = self.leader_state().filter(|leader| leader.transfer_to.is_none()) else {
            return;
        };
        // A replica that is about to stop would have to hand over again.
        let is_leaving = |replica: ReplicaId| {
            let since = self.time_since_leave(replica, now);
            since.is_some_and(|since| since < self.settings.election_min)
        };
        let set = self.replicas.current().1;
        let voters = leader.peers.iter().filter(|(replica, _)| set.is_voter(**replica));
        let best = voters.max_by_key(|(replica, peer)| {
            (!is_leaving(**replica), peer.last_response_at, peer.matched)
        });
        let best = best.map(|(replica, _)| *replica);
        let Some(leader) = self.leader_state_mut() else { return };
        leader.transfer_to = best;
        leader.transfer_until = until;
    }

    pub(super) fn continue_transfer(&mut self, now: MonotonicTime) {
        if let Some(leader) = self.leader_state_mut().filter(|leader| leader.transfer_until <= now)
        {
            leader.transfer_to = None;
        }
        let last = self.log.last().index;
        if self.commit < last {
            return;
        }
        let Some(leader) = self.leader_state_mut() else { return };
        let Some(to) = leader.transfer_to else { return };
        let ready = leader.peers.get(&to).is_some_and(|peer| peer.matched == last);
        if ready {
            self.send(to, ReplicaBody::TimeoutNow);
        }
    }

    pub(super) fn handle_timeout_now(
        &mut self,
        now: MonotonicTime,
        from: ReplicaId,
        term: TermNumber,
    ) {
        let voter = self.replicas.current().1.is_voter(self.identity);
        if voter && term == self.hard.term && self.leader == Some(from) {
            self.campaign(now, true);
        }
    }
}
