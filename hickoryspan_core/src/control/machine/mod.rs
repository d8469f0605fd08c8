//! State machine of a control replica. It connects Raft, the replicated state and the leader's volatile state, and
//! performs no I/O itself.

mod entries;
mod leadership;
mod members;
mod operators;
mod targets;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand_chacha::ChaCha12Rng;

use super::commands::{self, CommandOutcome, LogCommand, LogPayload};
use super::dissemination::{DeltaHistory, LinkSession};
use super::interface::{ControlAction, ControlEvent, LinkId, LogEntry, LogIndex, RecoveredState};
use super::raft::RaftNode;
use super::settings::ControlSettings;
use super::state::ReplicatedState;
use crate::gateway::membership::members::ReplicaReports;
use crate::membership::ViewChange;
use crate::types::{ClockReading, MonotonicTime, ReplicaId, RevisionNumber};
use leadership::{Leadership, PlannedStop};

/// One control replica; [`super::interface`] defines its events and actions.
#[derive(Debug)]
pub struct ControlMachine {
    settings: ControlSettings,
    raft: RaftNode,
    state: ReplicatedState,
    history: DeltaHistory,
    links: BTreeMap<LinkId, LinkSession>,
    // The revision that has been sent to the links of all registered processes.
    broadcast_revision: RevisionNumber,
    leadership: Option<Leadership>,
    drain: Option<PlannedStop>,
    stopped: bool,
    reports: ReplicaReports,
    fault: Option<Arc<str>>,
    bytes_since_snapshot: u64,
    entries_since_snapshot: u64,
    snapshot_bytes: u64,
}

impl ControlMachine {
    /// Creates a replica from the recovered state. If that cannot be decoded, the first event returns
    /// [`ControlAction::Stop`].
    pub fn new(
        identity: ReplicaId,
        recovered: RecoveredState,
        settings: ControlSettings,
        generator: ChaCha12Rng,
    ) -> Self {
        let bootstrap = settings.bootstrap.then(|| settings.to_record(identity));
        let address = settings.peer_address;
        let raft_settings = settings.raft.clone();
        let raft = RaftNode::new(identity, address, recovered, bootstrap, raft_settings, generator);
        let history = DeltaHistory::new(Default::default(), settings.max_delta_changes);
        let mut machine = Self {
            settings,
            raft,
            state: ReplicatedState::default(),
            history,
            links: BTreeMap::new(),
            broadcast_revision: RevisionNumber(0),
            leadership: None,
            drain: None,
            stopped: false,
            reports: ReplicaReports::default(),
            fault: None,
            bytes_since_snapshot: 0,
            entries_since_snapshot: 0,
            snapshot_bytes: 0,
        };
        machine.install_state();
        machine
    }

    /// Returns the replicated state as applied on this replica. It may be stale, because no quorum has confirmed it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the Raft replica.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: ClockReading,
        event: ControlEvent,
        actions: &mut Vec<ControlAction>,
    ) {
        if self.stopped {
            return;
        }
        self.raft.start(now.monotonic);
        self.dispatch(now, event, actions);
        self.advance(now, actions);
        self.report_stop(now, actions);
    }

    /// Returns the time of the next [`ControlEvent::Tick`], or `None` after the replica has stopped.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        if self.stopped {
            return None;
        }
        let mut wakeup = self.raft.next_wakeup();
        if let Some(leadership) = &self.leadership {
            wakeup = wakeup.min(leadership.sweep_at);
        }
        if let Some(drain) = &self.drain {
            wakeup = wakeup.min(drain.until);
            if self.waits_for_release() {
                wakeup = wakeup.min(drain.ask_at);
            }
        }
        Some(wakeup)
    }

    fn dispatch(
        &mut self,
        now: ClockReading,
        event: ControlEvent,
        actions: &mut Vec<ControlAction>,
    ) {
        match event {
            ControlEvent::Tick => {
                self.raft.tick(now.monotonic);
                self.sweep(now);
            }
            ControlEvent::Replica(from, message) => {
                self.raft.receive(now.monotonic, from, message);
            }
            ControlEvent::Persisted(sequence) => self.raft.persisted(now.monotonic, sequence),
            ControlEvent::PersistFailed(error) => {
                self.raft.persist_failed(now.monotonic, &error);
            }
            ControlEvent::Entry(link, message) => {
                self.handle_entry_message(now, link, message, actions);
            }
            ControlEvent::LinkClosed(link) => {
                self.links.remove(&link);
            }
            ControlEvent::Announce(token, record) => {
                self.handle_announcement(now, token, *record, actions);
            }
            ControlEvent::Withdraw(token, target, incarnation) => {
                self.handle_withdrawal(now, token, target, incarnation, actions);
            }
            ControlEvent::Admin(token, command) => {
                self.handle_admin(now, token, *command, actions);
            }
            ControlEvent::Query(token, query) => self.handle_query(token, query, actions),
            ControlEvent::ReplaceDocument(token, document) => {
                self.handle_document(now, token, document, actions);
            }
            ControlEvent::Evacuate(token, order) => {
                self.handle_evacuation(now, token, order, actions);
            }
            ControlEvent::ReplicaSeen(record) => self.reports.note(now.monotonic, *record),
            ControlEvent::Drain => self.begin_drain(now.monotonic),
        }
    }

    fn advance(&mut self, now: ClockReading, actions: &mut Vec<ControlAction>) {
        self.install_state();
        self.sync_leadership(now, actions);
        self.apply_committed(now, actions);
        self.raft.step_down_if_removed(now.monotonic);
        self.sync_leadership(now, actions);
        self.start_serving(now);
        self.propose_announcements(now);
        self.propose_replica_change(now.monotonic);
        self.continue_drain(now.monotonic);
        self.compact_log();
        self.raft.flush(now.monotonic, actions);
        // If this replica is the only voter, the flush may have confirmed a heartbeat round.
        self.answer_reads(now, actions);
        self.broadcast_changes(actions);
        self.raft.flush(now.monotonic, actions);
    }

    fn report_stop(&mut self, now: ClockReading, actions: &mut Vec<ControlAction>) {
        let fault = self.fault.as_ref().or(self.raft.fault()).cloned();
        if let Some(fault) = fault {
            self.stopped = true;
            actions.push(ControlAction::Stop(fault));
        } else if self.is_drained(now.monotonic) {
            self.stopped = true;
            actions.push(ControlAction::Stopped);
        }
    }

    fn install_state(&mut self) {
        let Some(installed) = self.raft.take_installed_state() else { return };
        let decoded = installed.and_then(|bytes| {
            self.snapshot_bytes = bytes.len() as u64;
            commands::decode::<ReplicatedState>("replicated state", &bytes)
                .map_err(|cause| cause.to_string().into())
        });
        match decoded {
            Ok(mut state) => {
                state.rebuild();
                let revision = state.view().revision;
                self.history = DeltaHistory::new(revision, self.settings.max_delta_changes);
                self.state = state;
                self.bytes_since_snapshot = 0;
                self.entries_since_snapshot = 0;
            }
            Err(cause) => self.fault = Some(cause),
        }
    }

    fn apply_committed(&mut self, now: ClockReading, actions: &mut Vec<ControlAction>) {
        while let Some(entry) = self.raft.next_committed() {
            self.bytes_since_snapshot += entry.payload.len() as u64;
            self.entries_since_snapshot += 1;
            match LogPayload::from_bytes(&entry.payload) {
                Ok(LogPayload::Noop) => {}
                Ok(LogPayload::Replicas(set)) => self.state.note_replica_set(&set),
                Ok(LogPayload::Command(command)) => {
                    self.apply_command(now, &entry, *command, actions);
                }
                Err(cause) => {
                    self.fault = Some(format!("log entry {}: {cause}", entry.index).into());
                    return;
                }
            }
        }
    }

    fn apply_command(
        &mut self,
        now: ClockReading,
        entry: &LogEntry,
        command: LogCommand,
        actions: &mut Vec<ControlAction>,
    ) {
        let applied = self.state.apply(command);
        if !applied.changes.is_empty() {
            self.note_changes(now.monotonic, &applied.changes, actions);
            self.history.push(self.state.view(), applied.changes);
        }
        self.complete_waiter(now, entry.index, applied.outcome, actions);
    }

    fn note_changes(
        &mut self,
        now: MonotonicTime,
        changes: &[ViewChange],
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        for change in changes {
            leadership.note_change(now, &self.settings, change);
            if let ViewChange::RemoveEntry(entry, incarnation) = change {
                entries::refuse_links(&mut self.links, entry, *incarnation, actions);
            }
        }
    }

    fn compact_log(&mut self) {
        // Encoding a snapshot blocks the replica, so the thresholds differ by identity to keep replicas from doing it
        // at the same time.
        let stagger = |limit: u64| limit + limit / 2 * (self.raft.identity().0 % 8) / 8;
        let bytes = stagger(self.settings.raft.snapshot_log_bytes.max(self.snapshot_bytes));
        let due = self.bytes_since_snapshot >= bytes
            || self.entries_since_snapshot >= stagger(self.settings.snapshot_log_entries);
        if !due || self.raft.is_disk_full() || self.fault.is_some() {
            return;
        }
        let state: Arc<[u8]> = commands::encode(&self.state).into();
        self.snapshot_bytes = state.len() as u64;
        self.bytes_since_snapshot = 0;
        self.entries_since_snapshot = 0;
        self.raft.compact(state);
    }

    fn propose_replica_change(&mut self, now: MonotonicTime) {
        if let Some(settings) = self.settings.members {
            return self.propose_member_change(now, &settings);
        }
        let (set, committed) = self.raft.replica_set();
        if !self.raft.is_ready_leader() || !committed || self.state.replicas().is_empty() {
            return;
        }
        let commit = self.raft.commit();
        // Promoting an unresponsive learner would only raise the required majority.
        let caught_up =
            |replica| self.raft.matched(replica) >= commit && self.raft.is_responsive(replica, now);
        let identity = self.raft.identity();
        let responsive = |replica| replica == identity || self.raft.is_responsive(replica, now);
        let next = set.next_change(identity, self.state.replicas(), caught_up, responsive);
        let Some(next) = next else { return };
        if !next.is_voter(identity) {
            // A leader does not remove itself; it hands over first. If it alone had the entry that removes it, it
            // would start no election after a restart, and its longer log would keep the others from winning one.
            self.raft.start_transfer(now, now + self.settings.drain_timeout);
            return;
        }
        // A rejected proposal needs no handling: the change is derived from the state again at the next event.
        let _ = self.raft.propose_replicas(next);
    }

    fn complete_waiter(
        &mut self,
        now: ClockReading,
        index: LogIndex,
        outcome: CommandOutcome,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(waiter) = leadership.waiters.remove(&index) else { return };
        self.answer_waiter(now, waiter, outcome, actions);
    }
}
