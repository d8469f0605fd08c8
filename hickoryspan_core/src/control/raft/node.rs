//! State machine of one Raft replica: its role, its timers and its event handlers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use serde::{Deserialize, Serialize};

use super::log::LogBuffer;
use super::persistence::{BatchInFlight, OutgoingMessage, PersistPipeline};
use super::progress::PeerProgress;
use super::replicas::{ReplicaHistory, ReplicaSet};
use super::transfer::IncomingSnapshot;
use super::{ElectionRange, LogPosition, RaftSettings, ReplicaBody, ReplicaMessage, RoundNumber};
use crate::control::commands::{self, LogPayload};
use crate::control::interface::{
    ControlAction, HardState, LogEntry, LogIndex, PersistError, PersistSequence, RecoveredState,
    ReplicaRecord, SnapshotRecord,
};
use crate::types::{MonotonicTime, ReplicaId, TermNumber};

/// Maximum number of remembered addresses of message senders. A replica that has just been added does not know
/// the replica set yet and replies to the address in the leader's message.
const MAX_LEARNED_ADDRESSES: usize = 16;

/// Reason for which a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader.
    NotLeader,
    /// Too many entries are uncommitted, the disk is full, or leadership is being handed over.
    Busy,
}

/// Identifies a linearizable read that waits until a quorum has confirmed the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadTicket {
    /// Heartbeat round that confirms that this replica was still the leader when the read arrived.
    pub round: RoundNumber,
    /// Index that must be applied before the read is answered.
    pub index: LogIndex,
}

/// A heartbeat round and its start time.
#[derive(Debug)]
pub(super) struct StartedRound {
    pub round: RoundNumber,
    pub began_at: MonotonicTime,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub term_start: LogIndex,
    pub peers: BTreeMap<ReplicaId, PeerProgress>,
    pub round: RoundNumber,
    pub confirmed_round: RoundNumber,
    pub round_requested: bool,
    // Recent rounds; answers to older ones are ignored.
    pub fresh_rounds: VecDeque<StartedRound>,
    pub heartbeat_at: MonotonicTime,
    pub quorum_contact_at: MonotonicTime,
    pub transfer_to: Option<ReplicaId>,
    pub transfer_until: MonotonicTime,
    pub uncommitted_bytes: u64,
    /// Replicas that are about to stop.
    pub leaving: BTreeMap<ReplicaId, LeaveRequest>,
}

/// The latest request of a replica that is about to stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaveRequest {
    pub received_at: MonotonicTime,
    pub is_answered: bool,
}

/// Votes or pre-votes that a candidate has received.
#[derive(Debug, Default)]
pub(super) struct VoteTally {
    pub granted: BTreeSet<ReplicaId>,
    // Set when a quorum has granted the pre-votes: the time at which the election starts.
    pub campaign_at: Option<MonotonicTime>,
    // Latest end of the pledges of this replica and of those that have granted a pre-vote.
    pub blocked_until: MonotonicTime,
}

#[derive(Debug)]
pub(super) enum RaftRole {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// Serialized content of a snapshot: the replicated state and the replica set.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct SnapshotContent {
    replicas: ReplicaSet,
    #[serde(with = "super::bytes")]
    state: Arc<[u8]>,
}

/// One Raft replica.
#[derive(Debug)]
pub struct RaftNode {
    pub(super) identity: ReplicaId,
    pub(super) address: SocketAddr,
    pub(super) settings: RaftSettings,
    generator: ChaCha12Rng,
    pub(super) role: RaftRole,
    pub(super) hard: HardState,
    pub(super) log: LogBuffer,
    pub(super) replicas: ReplicaHistory,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    // Highest commit index that a leader has named since the start.
    pub(super) named_commit: Option<LogIndex>,
    pub(super) leader: Option<ReplicaId>,
    pub(super) last_leader_contact: Option<MonotonicTime>,
    // Highest heartbeat round received from the current leader.
    pub(super) leader_round: RoundNumber,
    // Entries up to this index are known to match the log of the current leader.
    pub(super) verified: LogIndex,
    // Index that was last acknowledged to the current leader.
    pub(super) acknowledged: LogIndex,
    pub(super) election_at: MonotonicTime,
    // Whether the leader has allowed this replica to stop.
    pub(super) released: bool,
    pub(super) pledged_until: MonotonicTime,
    pub(super) no_pledge_before: MonotonicTime,
    pub(super) pipeline: PersistPipeline,
    pub(super) incoming: Option<IncomingSnapshot>,
    // Whether `snapshot` must still replace the applied state, with `take_installed_state`.
    installed: bool,
    bootstrap: Option<ReplicaRecord>,
    started: bool,
    pub(super) fault: Option<Arc<str>>,
    // Addresses of message senders, used for replicas that are not in the replica set.
    addresses: BTreeMap<ReplicaId, SocketAddr>,
    pub(super) outbox: Vec<OutgoingMessage>,
}

impl RaftNode {
    /// Creates a replica from the recovered state. `bootstrap` is the only voter of a new cluster and is used only
    /// if the recovered state is empty.
    pub fn new(
        identity: ReplicaId,
        address: SocketAddr,
        recovered: RecoveredState,
        bootstrap: Option<ReplicaRecord>,
        settings: RaftSettings,
        generator: ChaCha12Rng,
    ) -> Self {
        let RecoveredState { hard_state, snapshot, entries } = recovered;
        let base = snapshot.as_ref().map_or(LogPosition::default(), to_position);
        let mut node = Self {
            identity,
            address,
            settings,
            generator,
            role: RaftRole::Follower,
            hard: hard_state,
            log: LogBuffer::new(base, entries),
            replicas: ReplicaHistory::new(base.index, ReplicaSet::default()),
            snapshot,
            commit: base.index,
            applied: base.index,
            named_commit: None,
            leader: None,
            last_leader_contact: None,
            leader_round: RoundNumber::default(),
            verified: LogIndex(0),
            acknowledged: LogIndex(0),
            election_at: MonotonicTime(0),
            released: false,
            pledged_until: MonotonicTime(0),
            no_pledge_before: MonotonicTime(0),
            pipeline: PersistPipeline::default(),
            incoming: None,
            installed: false,
            bootstrap: None,
            started: false,
            fault: None,
            addresses: BTreeMap::new(),
            outbox: Vec::new(),
        };
        node.recover(bootstrap);
        node
    }

    fn recover(&mut self, bootstrap: Option<ReplicaRecord>) {
        let base = self.log.base().index;
        if let Some(snapshot) = &self.snapshot {
            match decode_snapshot(snapshot) {
                Ok(content) => self.replicas = ReplicaHistory::new(base, content.replicas),
                Err(cause) => self.fault = Some(cause),
            }
            self.installed = true;
        }
        let last = self.log.last().index;
        for index in base.0 + 1..=last.0 {
            self.note_replica_set(LogIndex(index));
        }
        self.pipeline.persisted = last;
        self.pipeline.submitted = last;
        // A crash may have interrupted a batch after its entries and before its hard state.
        let term = self.log.last().term;
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: None };
        }
        if last.0 == 0 && self.replicas.current().1.is_empty() {
            if let Some(record) = &bootstrap {
                let set = ReplicaSet::single(record.clone());
                self.replicas = ReplicaHistory::new(LogIndex(0), set);
            }
            self.bootstrap = bootstrap;
        }
    }

    /// Returns the identity of this replica, which is stored in its data folder.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader(_))
    }

    /// Returns whether this replica is the leader and has committed an entry of its own term. Its state then
    /// includes everything that earlier leaders committed.
    pub fn is_ready_leader(&self) -> bool {
        self.leader_state().is_some_and(|leader| self.commit >= leader.term_start)
    }

    /// Returns the current term.
    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    /// Returns the current leader, or `None` if it is not known.
    pub fn leader(&self) -> Option<ReplicaId> {
        if self.is_leader() { Some(self.identity) } else { self.leader }
    }

    /// Returns the record of the current leader, or `None` if the leader is not known.
    pub fn leader_record(&self) -> Option<&ReplicaRecord> {
        self.replicas.current().1.find(self.leader()?)
    }

    /// Returns the current replica set and whether it is committed.
    pub fn replica_set(&self) -> (&ReplicaSet, bool) {
        let (index, set) = self.replicas.current();
        (set, index <= self.commit)
    }

    /// Returns the commit index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns a log entry, or `None` if it is no longer in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Returns the index of the last entry that [`Self::next_committed`] returned.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns whether everything is applied that was acknowledged before the leader's last message. A leader starts its
    /// term with an entry of its own, after which it knows what was committed in earlier terms.
    pub fn has_caught_up(&self) -> bool {
        let commit = if self.is_leader() { Some(self.commit) } else { self.named_commit };
        let is_applied = commit.is_some_and(|commit| self.applied >= commit);
        is_applied && self.log.term_at(self.applied) == Some(self.term())
    }

    /// Returns whether the last batch failed because the disk is full.
    pub fn is_disk_full(&self) -> bool {
        self.pipeline.is_disk_full()
    }

    /// Returns whether the log, the hard state and the snapshot are completely durable.
    pub fn is_idle(&self) -> bool {
        self.pipeline.is_idle(self.log.last().index)
    }

    /// Returns the highest index that is known to be durable on a replica; 0 if this replica is not the leader.
    pub fn matched(&self, replica: ReplicaId) -> LogIndex {
        if replica == self.identity {
            return self.pipeline.persisted;
        }
        let peer = self.leader_state().and_then(|leader| leader.peers.get(&replica));
        peer.map_or(LogIndex(0), |peer| peer.matched)
    }

    /// Returns whether a replica has answered this leader within the shortest election timeout.
    pub fn is_responsive(&self, replica: ReplicaId, now: MonotonicTime) -> bool {
        let peer = self.leader_state().and_then(|leader| leader.peers.get(&replica));
        peer.is_some_and(|peer| !self.has_timed_out(peer.last_response_at, now))
    }

    /// Returns the time since a replica last answered this leader; `Duration::MAX` for an unknown replica.
    pub fn time_since_response(&self, replica: ReplicaId, now: MonotonicTime) -> Duration {
        let peer = self.leader_state().and_then(|leader| leader.peers.get(&replica));
        peer.map_or(Duration::MAX, |peer| now.since(peer.last_response_at))
    }

    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            RaftRole::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RaftRole::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Starts the timers. Must be called before any other event, with the time of the first event; later calls have
    /// no effect.
    pub fn start(&mut self, now: MonotonicTime) {
        if self.started {
            return;
        }
        self.started = true;
        self.reset_election(now);
        let set = self.replicas.current().1;
        let only_voter = set.voters().count() <= 1 && set.is_voter(self.identity);
        if only_voter {
            // No other replica can become the leader, so there is no need to wait for one.
            self.election_at = now;
            return;
        }
        if !set.is_empty() {
            // The previous process may have given a pledge just before it ended.
            self.pledged_until = now + self.settings.pledge;
            // It may also have acknowledged a leader just before it ended. A replica gives no pledge within the
            // shortest election timeout after that.
            self.no_pledge_before = now + self.settings.election_min;
        }
        self.reset_election(now);
    }

    pub(super) fn reset_election(&mut self, now: MonotonicTime) {
        let (min, max) = (self.settings.election_min, self.settings.election_max);
        let usual = ElectionRange { min, max };
        // The short timeout also applies after a split vote, until a first leader is known.
        let first = self.settings.first_election.filter(|_| self.last_leader_contact.is_none());
        self.election_at = now + self.draw(first.unwrap_or(usual));
    }

    fn draw(&mut self, range: ElectionRange) -> Duration {
        let micros = range.min.as_micros() as u64..=range.max.as_micros() as u64;
        Duration::from_micros(self.generator.random_range(micros))
    }

    /// Handles the timers that have expired.
    pub fn tick(&mut self, now: MonotonicTime) {
        if self.is_leader() {
            return self.tick_leader(now);
        }
        let expired = self.last_leader_contact.is_none_or(|at| self.has_timed_out(at, now));
        if expired {
            self.leader = None;
        }
        match &self.role {
            RaftRole::PreCandidate(tally) if tally.campaign_at.is_some_and(|at| at <= now) => {
                self.campaign(now, false);
            }
            _ if self.election_at <= now => self.start_pre_vote(now),
            _ => {}
        }
    }

    pub(super) fn has_timed_out(&self, last_contact: MonotonicTime, now: MonotonicTime) -> bool {
        now.since(last_contact) >= self.settings.election_min
    }

    /// Returns the time of the next call of [`Self::tick`].
    pub fn next_wakeup(&self) -> MonotonicTime {
        let mut wakeup = match &self.role {
            RaftRole::Leader(leader) => leader.heartbeat_at,
            RaftRole::PreCandidate(VoteTally { campaign_at: Some(at), .. }) => *at,
            _ => self.election_at,
        };
        if let Some(retry_at) = self.pipeline.retry_at
            && self.pipeline.in_flight.is_none()
        {
            wakeup = wakeup.min(retry_at);
        }
        wakeup
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: MonotonicTime, from: ReplicaId, message: ReplicaMessage) {
        if from == self.identity || self.fault.is_some() {
            return;
        }
        // Another cluster has different committed entries under the same indexes, so its messages are ignored.
        let founder = self.replicas.current().1.founder();
        if founder.is_some() && message.founder.is_some() && founder != message.founder {
            return;
        }
        self.learn_address(from, message.address);
        let term = message.term;
        match message.body {
            ReplicaBody::PreVote { last } => self.handle_pre_vote(now, from, term, last),
            ReplicaBody::Vote { last, transfer } => {
                self.handle_vote(now, from, term, last, transfer);
            }
            ReplicaBody::PreVoteAnswer { granted, pledged } => {
                self.handle_pre_vote_reply(now, from, term, granted, pledged);
            }
            ReplicaBody::VoteAnswer { granted } => self.handle_vote_reply(now, from, term, granted),
            ReplicaBody::Append { previous, entries, commit, round } => {
                self.handle_append(now, from, term, previous, entries, commit, round);
            }
            ReplicaBody::AppendAnswer { round, matched } => {
                self.handle_append_reply(now, from, term, round, Ok(matched));
            }
            ReplicaBody::AppendRefused { round, conflict } => {
                self.handle_append_reply(now, from, term, round, Err(conflict));
            }
            ReplicaBody::Snapshot { last, size, offset, part } => {
                self.handle_snapshot_chunk(now, from, term, last, size, offset, &part);
            }
            ReplicaBody::SnapshotAnswer { index, received } => {
                self.handle_snapshot_reply(now, from, term, index, received);
            }
            ReplicaBody::TimeoutNow => self.handle_timeout_now(now, from, term),
            ReplicaBody::Leave => self.handle_leave(now, from),
            ReplicaBody::LeaveAnswer { released } => self.handle_leave_reply(from, released),
        }
    }

    fn learn_address(&mut self, from: ReplicaId, address: SocketAddr) {
        let known = self.addresses.contains_key(&from);
        if !known && self.addresses.len() >= MAX_LEARNED_ADDRESSES {
            self.addresses.pop_first();
        }
        self.addresses.insert(from, address);
    }

    /// Becomes a follower in `term`, of `leader` if it is known.
    pub(super) fn become_follower(
        &mut self,
        now: MonotonicTime,
        term: TermNumber,
        leader: Option<ReplicaId>,
    ) {
        let newer = term > self.hard.term;
        if newer {
            self.hard = HardState { term, voted_for: None };
            self.pipeline.hard_state_dirty = true;
        }
        if self.is_leader() {
            self.reset_election(now);
        }
        self.role = RaftRole::Follower;
        // Entries that match the log of an earlier leader may differ from the log of the new one.
        if newer || self.leader != leader {
            self.verified = self.commit;
            self.acknowledged = LogIndex(0);
            self.leader_round = RoundNumber::default();
        }
        self.leader = leader;
    }

    /// Appends an entry to the log if this replica is the leader, and returns its index.
    pub fn propose(&mut self, payload: &LogPayload) -> Result<LogIndex, ProposeError> {
        let last = self.log.last().index;
        let uncommitted = last.0 - self.commit.0;
        let full = self.pipeline.is_disk_full();
        let max_entries = self.settings.max_uncommitted_entries;
        let max_bytes = self.settings.max_uncommitted_bytes;
        let RaftRole::Leader(leader) = &mut self.role else {
            return Err(ProposeError::NotLeader);
        };
        let busy = uncommitted >= max_entries || leader.uncommitted_bytes >= max_bytes;
        if full || busy || leader.transfer_to.is_some() {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_local(payload))
    }

    pub(super) fn append_local(&mut self, payload: &LogPayload) -> LogIndex {
        let index = LogIndex(self.log.last().index.0 + 1);
        let payload = payload.to_bytes();
        if let Some(leader) = self.leader_state_mut() {
            leader.uncommitted_bytes += payload.len() as u64;
        }
        self.log.push(LogEntry { index, term: self.hard.term, payload });
        self.note_replica_set(index);
        index
    }

    /// Returns the payload of a leader's first entry. The first entry of a new cluster contains the initial replica
    /// set; all others are no-ops.
    pub(super) fn term_start_payload(&mut self) -> LogPayload {
        match self.bootstrap.take() {
            Some(record) if self.log.last().index.0 == 0 => {
                LogPayload::Replicas(ReplicaSet::single(record))
            }
            _ => LogPayload::Noop,
        }
    }

    pub(super) fn note_replica_set(&mut self, index: LogIndex) {
        let Some(entry) = self.log.get(index) else { return };
        match LogPayload::replica_set(&entry.payload) {
            Ok(Some(set)) => self.replicas.push(index, set),
            Ok(None) => {}
            Err(cause) => self.fault = Some(format!("log entry {index}: {cause}").into()),
        }
    }

    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.replicas.truncate_from(index);
        self.pipeline.note_truncated(index);
    }

    /// Returns the next committed entry to apply, or `None` if all are applied.
    pub fn next_committed(&mut self) -> Option<LogEntry> {
        if self.applied >= self.commit {
            return None;
        }
        let entry = self.log.get(LogIndex(self.applied.0 + 1))?.clone();
        self.applied = entry.index;
        Some(entry)
    }

    /// Takes the state of a snapshot that was recovered or received since the last call. It replaces the applied
    /// state; the entries after the snapshot follow from [`Self::next_committed`].
    pub fn take_installed_state(&mut self) -> Option<Result<Arc<[u8]>, Arc<str>>> {
        if !std::mem::take(&mut self.installed) {
            return None;
        }
        let snapshot = self.snapshot.as_ref()?;
        Some(decode_snapshot(snapshot).map(|content| content.state))
    }

    /// Replaces the log up to the applied index by a snapshot of this state.
    pub fn compact(&mut self, state: Arc<[u8]>) {
        let Some(term) = self.log.term_at(self.applied) else { return };
        let index = self.applied;
        let content = SnapshotContent { replicas: self.replicas.at(index).clone(), state };
        let state = commands::encode(&content).into();
        self.snapshot = Some(SnapshotRecord { index, term, state });
        self.pipeline.snapshot_dirty = true;
        self.replicas.compact_to(index);
        let entries = usize::try_from(self.settings.retained_entries).unwrap_or(usize::MAX);
        let kept = self.log.tail_start(index, entries, self.settings.retained_bytes);
        self.log.compact_to(LogIndex(kept.0 - 1));
    }

    /// Installs a complete snapshot that the leader sent.
    pub(super) fn install(&mut self, snapshot: SnapshotRecord) {
        let position = to_position(&snapshot);
        if position.index <= self.commit {
            return;
        }
        let content = match decode_snapshot(&snapshot) {
            Ok(content) => content,
            Err(cause) => {
                self.fault = Some(cause);
                return;
            }
        };
        if self.log.term_at(position.index) == Some(position.term) {
            self.log.compact_to(position.index);
        } else {
            self.truncate_from(LogIndex(self.commit.0 + 1));
            self.log = LogBuffer::new(position, Vec::new());
        }
        self.replicas.truncate_from(LogIndex(self.commit.0 + 1));
        self.replicas = rebuild_history(position.index, content.replicas, &self.log);
        self.commit = position.index;
        self.applied = position.index;
        self.verified = self.verified.max(position.index);
        self.pipeline.submitted = self.pipeline.submitted.max(position.index);
        self.pipeline.snapshot_dirty = true;
        self.snapshot = Some(snapshot);
        self.installed = true;
    }

    /// Handles the completion of all batches up to `sequence`.
    pub fn persisted(&mut self, now: MonotonicTime, sequence: PersistSequence) {
        let Some(batch) = self.pipeline.finish(sequence) else { return };
        let BatchInFlight { hard_state_term, deferred, .. } = batch;
        for message in deferred {
            // Messages of an older term have no effect at their receivers any more.
            if message.term == self.hard.term {
                self.outbox.push(message);
            }
        }
        if hard_state_term == Some(self.hard.term) {
            self.count_own_vote(now);
        }
        // During a pledge this replica must not acknowledge entries; it answers the first append after the pledge.
        if !self.is_pledged(now) {
            self.acknowledge_persisted();
        }
        self.advance_commit();
    }

    /// Handles the failure of a batch. A full disk is retried; any other error stops the replica.
    pub fn persist_failed(&mut self, now: MonotonicTime, error: &PersistError) {
        match error {
            PersistError::NoSpace { .. } => {
                self.pipeline.fail(now + self.settings.space_retry);
                if !matches!(self.role, RaftRole::Follower) {
                    self.become_follower(now, self.hard.term, None);
                    self.reset_election(now);
                }
            }
            PersistError::Broken { .. } => self.fault = Some(error.to_string().into()),
        }
    }

    /// Returns the error that forces this replica to stop, if there is one.
    pub fn fault(&self) -> Option<&Arc<str>> {
        self.fault.as_ref()
    }

    pub(super) fn send(&mut self, to: ReplicaId, body: ReplicaBody) {
        self.outbox.push(OutgoingMessage { to, term: self.hard.term, body });
    }

    /// Sends a message as soon as the current hard state is durable.
    pub(super) fn send_durable(&mut self, to: ReplicaId, body: ReplicaBody) {
        if self.pipeline.is_hard_state_durable() && !self.pipeline.is_disk_full() {
            return self.send(to, body);
        }
        let message = OutgoingMessage { to, term: self.hard.term, body };
        match &mut self.pipeline.in_flight {
            Some(batch) if !self.pipeline.hard_state_dirty => batch.deferred.push(message),
            _ => self.pipeline.deferred.push(message),
        }
    }

    /// Emits the actions for pending messages, entries and batches.
    pub fn flush(&mut self, now: MonotonicTime, actions: &mut Vec<ControlAction>) {
        if self.fault.is_some() {
            self.outbox.clear();
            return;
        }
        self.replicate(now);
        self.flush_batch(now, actions);
        let founder = self.replicas.current().1.founder();
        for OutgoingMessage { to, term, body } in std::mem::take(&mut self.outbox) {
            let known = self.replicas.current().1.find(to).map(|record| record.peer_address);
            let Some(address) = known.or_else(|| self.addresses.get(&to).copied()) else {
                continue;
            };
            let message = ReplicaMessage { term, address: self.address, founder, body };
            actions.push(ControlAction::SendReplica { to, address, message });
        }
    }

    fn flush_batch(&mut self, now: MonotonicTime, actions: &mut Vec<ControlAction>) {
        let waiting = self.pipeline.retry_at.is_some_and(|at| at > now);
        if waiting || self.pipeline.in_flight.is_some() {
            return;
        }
        if !self.pipeline.is_dirty(self.log.last().index) {
            return;
        }
        let mut batch = self.pipeline.start(&self.log, self.settings.max_batch_bytes);
        if std::mem::take(&mut self.pipeline.snapshot_dirty) {
            batch.snapshot = self.snapshot.clone();
            // Entries that the snapshot includes need not be written separately.
            let index = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
            batch.entries.retain(|entry| entry.index > index);
            self.pipeline.submitted = self.pipeline.submitted.max(index);
        }
        let hard_state_dirty = std::mem::take(&mut self.pipeline.hard_state_dirty);
        batch.hard_state = hard_state_dirty.then_some(self.hard);
        let sequence = self.pipeline.sequence;
        self.pipeline.in_flight = Some(BatchInFlight {
            sequence,
            end: self.pipeline.submitted,
            snapshot: batch.snapshot.is_some(),
            hard_state_term: batch.hard_state.map(|hard| hard.term),
            deferred: std::mem::take(&mut self.pipeline.deferred),
        });
        actions.push(ControlAction::Persist(sequence, batch));
    }
}

fn rebuild_history(index: LogIndex, set: ReplicaSet, log: &LogBuffer) -> ReplicaHistory {
    let mut history = ReplicaHistory::new(index, set);
    let mut next = LogIndex(index.0 + 1);
    while let Some(entry) = log.get(next) {
        if let Ok(Some(set)) = LogPayload::replica_set(&entry.payload) {
            history.push(next, set);
        }
        next = LogIndex(next.0 + 1);
    }
    history
}

pub(super) fn to_position(snapshot: &SnapshotRecord) -> LogPosition {
    LogPosition { term: snapshot.term, index: snapshot.index }
}

fn decode_snapshot(snapshot: &SnapshotRecord) -> Result<SnapshotContent, Arc<str>> {
    commands::decode("snapshot", &snapshot.state)
        .map_err(|cause| format!("snapshot at {}: {cause}", snapshot.index).into())
}
