//! Volatile state of the leader: pending commands and reads, leases, limit shares and periodic sweeps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::ControlMachine;
use super::targets::WaitingAnnouncement;
use crate::control::commands::{CommandBody, CommandOutcome, EntryProcess, LogCommand, LogPayload};
use crate::control::interface::{
    AdminQuery, ControlAction, ControlReply, LinkId, LogIndex, ReplyToken,
};
use crate::control::leases::{LeaseTable, sweep_targets};
use crate::control::raft::{ProposeError, ReadTicket};
use crate::control::settings::ControlSettings;
use crate::control::shares::ShareAllocator;
use crate::membership::ViewChange;
use crate::messages::{ClaimKey, ClaimVerdict, ControlMessage, LookupVerdict};
use crate::types::{
    ClockReading, IncarnationNumber, MonotonicTime, OrdinalNumber, QueryToken, RevisionNumber,
    TargetId, TermNumber, WallTime,
};

/// Interval at which the claim horizon advances.
const HORIZON_INTERVAL: Duration = Duration::from_secs(5 * 60);
/// Maximum advance of the claim horizon at one time, in milliseconds. If the wall clock jumps ahead, claims are
/// dropped slowly, which leaves operators time to correct it.
const MAX_HORIZON_STEP_MILLIS: u64 = 60 * 60 * 1_000;
/// Maximum number of reads that wait for a quorum; further reads are rejected.
const MAX_WAITING_READS: usize = 16_384;

/// A target in an announcement command, with the requests to answer.
#[derive(Debug)]
pub(super) struct AnnouncedTarget {
    pub target: TargetId,
    pub incarnation: IncarnationNumber,
    pub tokens: Vec<ReplyToken>,
}

/// Client that waits until a log entry is applied.
#[derive(Debug)]
pub(super) enum CommandWaiter {
    Announcements(Vec<AnnouncedTarget>),
    Withdrawal(ReplyToken),
    Admin(ReplyToken),
    /// An order about documents or evacuations.
    Order(ReplyToken),
    Registration(LinkId),
    Release(LinkId),
    Claim(LinkId, QueryToken),
    Settlement(LinkId, ClaimKey),
}

/// Read that waits until a quorum has confirmed the leader.
#[derive(Debug)]
pub(super) enum WaitingRead {
    Welcome(LinkId),
    Renewal(LinkId, u64),
    View(LinkId),
    Lookup(LinkId, QueryToken, ClaimKey),
    Query(ReplyToken, AdminQuery),
}

/// A planned stop of this replica.
#[derive(Debug)]
pub(super) struct PlannedStop {
    /// When the replica stops at the latest.
    pub until: MonotonicTime,
    /// When the leader is asked again for permission to stop.
    pub ask_at: MonotonicTime,
}

#[derive(Debug)]
pub(super) struct Leadership {
    pub term: TermNumber,
    // Whether the state includes everything that earlier leaders committed.
    pub serving: bool,
    pub waiters: BTreeMap<LogIndex, CommandWaiter>,
    pub reads: Vec<(ReadTicket, WaitingRead)>,
    pub targets: LeaseTable<TargetId>,
    pub entries: LeaseTable<EntryProcess>,
    pub shares: ShareAllocator,
    pub announcements: BTreeMap<TargetId, WaitingAnnouncement>,
    // Revision that each entry process last reported.
    pub reported: BTreeMap<EntryProcess, RevisionNumber>,
    // Entry processes whose release is proposed but not yet applied.
    pub expiring: BTreeSet<EntryProcess>,
    pub sweep_at: MonotonicTime,
    pub last_tick_at: MonotonicTime,
    pub began_at: MonotonicTime,
    // Time at which the claim horizon advances next.
    horizon_at: MonotonicTime,
    // Index of the last command of each kind of sweep; the next one waits until it is applied.
    target_expiry: LogIndex,
    pub entry_expiry: LogIndex,
    quarantine_expiry: LogIndex,
    // Idle times are known only for ordinals that were released under this leader; others count as zero.
    ordinals: BTreeMap<EntryProcess, OrdinalNumber>,
    freed_at: BTreeMap<OrdinalNumber, MonotonicTime>,
    idle: BTreeMap<EntryProcess, Duration>,
}

impl Leadership {
    fn new(now: MonotonicTime, term: TermNumber, settings: &ControlSettings) -> Self {
        Self {
            term,
            serving: false,
            waiters: BTreeMap::new(),
            reads: Vec::new(),
            targets: LeaseTable::default(),
            entries: LeaseTable::default(),
            shares: ShareAllocator::new(now, settings.share_lease, settings.lease_guard),
            announcements: BTreeMap::new(),
            reported: BTreeMap::new(),
            expiring: BTreeSet::new(),
            sweep_at: now + settings.sweep_interval,
            last_tick_at: now,
            began_at: now,
            horizon_at: now,
            target_expiry: LogIndex(0),
            entry_expiry: LogIndex(0),
            quarantine_expiry: LogIndex(0),
            ordinals: BTreeMap::new(),
            freed_at: BTreeMap::new(),
            idle: BTreeMap::new(),
        }
    }

    /// Updates the leases and idle times for an applied change.
    pub fn note_change(
        &mut self,
        now: MonotonicTime,
        settings: &ControlSettings,
        change: &ViewChange,
    ) {
        match change {
            ViewChange::PutTarget(record) if !self.targets.is_held(&record.target, now) => {
                self.targets.renew(record.target.clone(), now + settings.target_lease);
            }
            ViewChange::RemoveTarget(target) => self.targets.remove(target),
            ViewChange::PutEntry(record) => {
                let (entry, incarnation) = (record.entry.clone(), record.incarnation);
                let process = EntryProcess { entry, incarnation };
                self.note_ordinal(now, &process, record.ordinal);
                if !self.entries.is_held(&process, now) {
                    self.entries.renew(process, now + entry_lease(settings));
                }
            }
            ViewChange::RemoveEntry(entry, incarnation) => {
                let process = EntryProcess { entry: entry.clone(), incarnation: *incarnation };
                self.entries.remove(&process);
                self.reported.remove(&process);
                self.expiring.remove(&process);
                self.idle.remove(&process);
                if let Some(ordinal) = self.ordinals.remove(&process) {
                    self.freed_at.insert(ordinal, now);
                }
            }
            _ => {}
        }
    }

    fn note_ordinal(&mut self, now: MonotonicTime, process: &EntryProcess, ordinal: OrdinalNumber) {
        if self.ordinals.insert(process.clone(), ordinal).is_some() {
            return;
        }
        if let Some(freed_at) = self.freed_at.remove(&ordinal) {
            self.idle.insert(process.clone(), now.since(freed_at));
        }
    }

    /// Takes the time for which the process's ordinal was free before its registration. Returns zero if it is
    /// unknown to this leader or was taken before.
    pub fn take_ordinal_idle_time(&mut self, process: &EntryProcess) -> Duration {
        self.idle.remove(process).unwrap_or_default()
    }
}

/// Duration after which the leader treats an entry's lease as expired. It includes the guard time.
pub(super) fn entry_lease(settings: &ControlSettings) -> Duration {
    settings.entry_lease + settings.lease_guard
}

impl ControlMachine {
    pub(super) fn propose(
        &mut self,
        now: ClockReading,
        body: CommandBody,
    ) -> Result<LogIndex, ProposeError> {
        let command = LogCommand { at: now.wall, body };
        self.raft.propose(&LogPayload::Command(Box::new(command)))
    }

    pub(super) fn propose_for(
        &mut self,
        now: ClockReading,
        body: CommandBody,
        waiter: CommandWaiter,
    ) -> Result<LogIndex, ProposeError> {
        let index = self.propose(now, body)?;
        if let Some(leadership) = &mut self.leadership {
            leadership.waiters.insert(index, waiter);
        }
        Ok(index)
    }

    pub(super) fn wait_for_read(&mut self, read: WaitingRead) -> Result<(), ProposeError> {
        let Some(leadership) = &mut self.leadership else { return Err(ProposeError::NotLeader) };
        if leadership.reads.len() >= MAX_WAITING_READS {
            return Err(ProposeError::Busy);
        }
        let ticket = self.raft.request_read()?;
        leadership.reads.push((ticket, read));
        Ok(())
    }

    /// Returns whether this replica is the leader and its state includes everything that earlier leaders
    /// committed.
    pub(super) fn is_serving(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.serving)
    }

    pub(super) fn sync_leadership(&mut self, now: ClockReading, actions: &mut Vec<ControlAction>) {
        let term = self.raft.term();
        let leads = self.raft.is_leader();
        let current = self.leadership.as_ref().map(|leadership| leadership.term);
        if leads && current == Some(term) || !leads && current.is_none() {
            return;
        }
        if let Some(leadership) = self.leadership.take() {
            self.end_leadership(leadership, actions);
        }
        if leads {
            self.leadership = Some(Leadership::new(now.monotonic, term, &self.settings));
        }
    }

    /// Starts serving as soon as everything that earlier leaders committed is applied. All leases start anew, because
    /// a new leader has not seen earlier renewals.
    pub(super) fn start_serving(&mut self, now: ClockReading) {
        if self.is_serving() || !self.raft.is_ready_leader() {
            return;
        }
        if self.raft.applied() < self.raft.commit() {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let now = now.monotonic;
        leadership.serving = true;
        leadership.last_tick_at = now;
        let view = self.state.view();
        for target in view.targets.keys() {
            leadership.targets.renew(target.clone(), now + self.settings.target_lease);
        }
        for record in view.entries.values().flat_map(|processes| processes.values()) {
            let (entry, incarnation) = (record.entry.clone(), record.incarnation);
            let process = EntryProcess { entry, incarnation };
            leadership.entries.renew(process, now + entry_lease(&self.settings));
        }
    }

    fn end_leadership(&mut self, leadership: Leadership, actions: &mut Vec<ControlAction>) {
        for waiter in leadership.waiters.into_values() {
            self.fail_waiter(waiter, actions);
        }
        for waiting in leadership.announcements.into_values() {
            for token in waiting.tokens {
                self.reply_unavailable(token, actions);
            }
        }
        for (_, read) in leadership.reads {
            self.fail_read(read, actions);
        }
        for link in std::mem::take(&mut self.links).into_keys() {
            let message = ControlMessage::NotLeader { leader: None, pledge: Duration::ZERO };
            actions.push(ControlAction::SendEntry(link, message));
        }
    }

    pub(super) fn fail_waiter(&self, waiter: CommandWaiter, actions: &mut Vec<ControlAction>) {
        match waiter {
            CommandWaiter::Announcements(targets) => {
                for token in targets.into_iter().flat_map(|target| target.tokens) {
                    self.reply_unavailable(token, actions);
                }
            }
            CommandWaiter::Withdrawal(token)
            | CommandWaiter::Admin(token)
            | CommandWaiter::Order(token) => {
                self.reply_unavailable(token, actions);
            }
            CommandWaiter::Claim(link, token) => {
                let verdict = ClaimVerdict::Unavailable;
                let message = ControlMessage::ClaimAnswer { token, verdict };
                actions.push(ControlAction::SendEntry(link, message));
            }
            CommandWaiter::Registration(_)
            | CommandWaiter::Release(_)
            | CommandWaiter::Settlement(..) => {}
        }
    }

    pub(super) fn fail_read(&self, read: WaitingRead, actions: &mut Vec<ControlAction>) {
        match read {
            WaitingRead::Lookup(link, token, _) => {
                let verdict = LookupVerdict::Unavailable;
                let message = ControlMessage::LookupAnswer { token, verdict, fingerprint: None };
                actions.push(ControlAction::SendEntry(link, message));
            }
            WaitingRead::Query(token, _) => self.reply_unavailable(token, actions),
            WaitingRead::Welcome(_) | WaitingRead::Renewal(..) | WaitingRead::View(_) => {}
        }
    }

    pub(super) fn reply_unavailable(&self, token: ReplyToken, actions: &mut Vec<ControlAction>) {
        let retry_after = self.settings.retry_after;
        actions.push(ControlAction::Reply(token, ControlReply::Unavailable { retry_after }));
    }

    pub(super) fn answer_waiter(
        &mut self,
        now: ClockReading,
        waiter: CommandWaiter,
        outcome: CommandOutcome,
        actions: &mut Vec<ControlAction>,
    ) {
        match (waiter, outcome) {
            (CommandWaiter::Announcements(targets), CommandOutcome::Announced(results)) => {
                self.answer_announcements(now.monotonic, targets, results, actions);
            }
            (CommandWaiter::Withdrawal(token), CommandOutcome::Withdrawn(result)) => {
                let reply = match result {
                    Ok(()) => ControlReply::Withdrawn,
                    Err(reason) => ControlReply::AnnounceRefused(reason),
                };
                actions.push(ControlAction::Reply(token, reply));
            }
            (CommandWaiter::Admin(token), CommandOutcome::Decided(outcome)) => {
                actions.push(ControlAction::Reply(token, ControlReply::Admin(outcome)));
            }
            (CommandWaiter::Order(token), CommandOutcome::DocumentDecided(outcome)) => {
                let reply = ControlReply::DocumentDecided(outcome);
                actions.push(ControlAction::Reply(token, reply));
            }
            (CommandWaiter::Order(token), CommandOutcome::Evacuated(state)) => {
                actions.push(ControlAction::Reply(token, ControlReply::Evacuated(state)));
            }
            (CommandWaiter::Registration(link), CommandOutcome::Registered(result)) => {
                self.answer_registration(now.monotonic, link, result, actions);
            }
            (CommandWaiter::Release(link), _) => {
                actions.push(ControlAction::CloseLink(link));
            }
            (CommandWaiter::Claim(link, token), CommandOutcome::Claimed(verdict)) => {
                let message = ControlMessage::ClaimAnswer { token, verdict };
                actions.push(ControlAction::SendEntry(link, message));
            }
            (CommandWaiter::Settlement(link, key), CommandOutcome::Settled(true)) => {
                actions.push(ControlAction::SendEntry(link, ControlMessage::Settled(key)));
            }
            // A process that settles a claim of another process gets no answer. Other combinations do not occur,
            // because the waiter and the command are created together.
            (waiter, _) => self.fail_waiter(waiter, actions),
        }
    }

    pub(super) fn answer_reads(&mut self, now: ClockReading, actions: &mut Vec<ControlAction>) {
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.serving {
            return;
        }
        let confirmed = |ticket| self.raft.is_confirmed(ticket);
        // Tickets are in ascending order, so no read is ready before the oldest one.
        if leadership.reads.first().is_none_or(|(oldest, _)| !confirmed(*oldest)) {
            return;
        }
        let reads = std::mem::take(&mut leadership.reads);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            reads.into_iter().partition(|(ticket, _)| confirmed(*ticket));
        leadership.reads = waiting;
        for (_, read) in ready {
            match read {
                WaitingRead::Welcome(link) => self.answer_hello(now.monotonic, link, actions),
                WaitingRead::Renewal(link, sequence) => {
                    self.answer_renewal(now.monotonic, link, sequence, actions);
                }
                WaitingRead::View(link) => self.answer_resync(link, actions),
                WaitingRead::Lookup(link, token, key) => {
                    let verdict = self.state.claims().lookup(&key);
                    let fingerprint = self.state.claims().fingerprint(&key);
                    let message = ControlMessage::LookupAnswer { token, verdict, fingerprint };
                    actions.push(ControlAction::SendEntry(link, message));
                }
                WaitingRead::Query(token, query) => self.answer_query(token, query, actions),
            }
        }
    }

    /// Proposes the removal of expired members, quarantines and claims.
    pub(super) fn sweep(&mut self, now: ClockReading) {
        self.extend_after_stall(now.monotonic);
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.serving || leadership.sweep_at > now.monotonic {
            return;
        }
        leadership.sweep_at = now.monotonic + self.settings.sweep_interval;
        self.expire_targets(now);
        self.expire_entries(now);
        self.expire_quarantines(now);
        self.advance_horizon(now);
    }

    fn extend_after_stall(&mut self, now: MonotonicTime) {
        let Some(leadership) = &mut self.leadership else { return };
        let stall = now.since(leadership.last_tick_at);
        leadership.last_tick_at = now;
        if stall <= self.settings.sweep_interval * 2 {
            return;
        }
        leadership.targets.extend_after_stall(now, stall, self.settings.target_lease);
        leadership.entries.extend_after_stall(now, stall, entry_lease(&self.settings));
    }

    fn expire_targets(&mut self, now: ClockReading) {
        let applied = self.raft.applied();
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.target_expiry > applied {
            return;
        }
        let expired = sweep_targets(
            &mut leadership.targets,
            self.state.view(),
            now.monotonic,
            self.settings.target_lease,
            self.settings.max_expiries_per_domain,
        );
        if expired.is_empty() {
            return;
        }
        let index = self.propose(now, CommandBody::ExpireTargets(expired));
        if let (Some(leadership), Ok(index)) = (&mut self.leadership, index) {
            leadership.target_expiry = index;
        }
    }

    fn expire_entries(&mut self, now: ClockReading) {
        let applied = self.raft.applied();
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.entry_expiry > applied {
            return;
        }
        leadership.expiring.clear();
        let expired: Vec<EntryProcess> =
            leadership.entries.expired(now.monotonic).cloned().collect();
        if expired.is_empty() {
            return;
        }
        let index = self.propose(now, CommandBody::ReleaseEntries(expired.clone()));
        if let (Some(leadership), Ok(index)) = (&mut self.leadership, index) {
            leadership.entry_expiry = index;
            leadership.expiring.extend(expired);
        }
    }

    fn expire_quarantines(&mut self, now: ClockReading) {
        let applied = self.raft.applied();
        let mut records = self.state.view().quarantines.values();
        let due = records.any(|record| record.expires_at <= now.wall);
        let waiting =
            self.leadership.as_ref().is_some_and(|leader| leader.quarantine_expiry > applied);
        if !due || waiting {
            return;
        }
        let index = self.propose(now, CommandBody::ExpireQuarantines);
        if let (Some(leadership), Ok(index)) = (&mut self.leadership, index) {
            leadership.quarantine_expiry = index;
        }
    }

    fn advance_horizon(&mut self, now: ClockReading) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.horizon_at > now.monotonic {
            return;
        }
        leadership.horizon_at = now.monotonic + HORIZON_INTERVAL;
        let retention = u64::try_from(self.settings.claim_retention.as_millis());
        let wanted = now.wall.0.saturating_sub(retention.unwrap_or(u64::MAX));
        let current = self.state.claims().horizon().0;
        let furthest =
            if current == 0 { wanted } else { current.saturating_add(MAX_HORIZON_STEP_MILLIS) };
        let horizon = WallTime(wanted.min(furthest));
        if horizon.0 > current {
            // A rejected proposal is repeated after the next interval.
            let _ = self.propose(now, CommandBody::AdvanceHorizon(horizon));
        }
    }

    pub(super) fn begin_drain(&mut self, now: MonotonicTime) {
        let until = now + self.settings.drain_timeout;
        self.drain = Some(PlannedStop { until, ask_at: now });
    }

    /// Hands over leadership and then, if the replica set follows the reports of the hosts, asks the new leader for
    /// permission to stop.
    pub(super) fn continue_drain(&mut self, now: MonotonicTime) {
        let asks = self.waits_for_release();
        let Some(drain) = &mut self.drain else { return };
        if self.raft.is_leader() {
            return self.raft.start_transfer(now, drain.until);
        }
        if asks && drain.ask_at <= now {
            drain.ask_at = now + self.settings.raft.heartbeat;
            self.raft.request_leave();
        }
    }

    /// Returns whether this replica needs the leader's permission to stop and does not have it yet.
    pub(super) fn waits_for_release(&self) -> bool {
        self.settings.members.is_some() && !self.raft.is_leader() && !self.raft.is_released()
    }

    /// Returns whether a planned stop is complete: leadership was handed over, the leader has allowed it, or, if this
    /// is the only voter, all pending commands were answered, and everything is durable; or the drain timeout has
    /// passed.
    pub(super) fn is_drained(&self, now: MonotonicTime) -> bool {
        let Some(drain) = &self.drain else { return false };
        let set = self.raft.replica_set().0;
        let only_voter = set.voters().count() <= 1 && set.is_voter(self.raft.identity());
        let has_waiters = self.leadership.as_ref().is_some_and(|leader| !leader.waiters.is_empty());
        let done = match only_voter {
            true => !has_waiters && self.may_stop_as_only_voter(now),
            false => !self.raft.is_leader() && !self.waits_for_release(),
        };
        drain.until <= now || (done && self.raft.is_idle())
    }
}
