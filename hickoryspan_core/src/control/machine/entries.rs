//! Handling of messages from entry processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::ControlMachine;
use super::leadership::{CommandWaiter, WaitingRead, entry_lease};
use crate::control::claims::bound_outcome;
use crate::control::commands::{CommandBody, EntryProcess};
use crate::control::dissemination::LinkSession;
use crate::control::interface::{ControlAction, LinkId};
use crate::control::registry::find_entry;
use crate::membership::{CrashEvidence, QuarantineLevel};
use crate::messages::{
    CallerDemand, ClaimKey, ClaimVerdict, ControlMessage, EntryMessage, EntryRegistration,
    LookupVerdict, OrderOutcome,
};
use crate::types::{
    ClockReading, EntryId, IncarnationNumber, MonotonicTime, OrdinalNumber, QueryToken,
    RequestFingerprint, RevisionNumber, StateDigest,
};

/// Maximum number of fingerprints used from one crash report; a target runs far fewer requests concurrently.
const MAX_REPORTED_FINGERPRINTS: usize = 1_024;

/// Idle time reported to the first holder of an ordinal. It is longer than any rate limit takes to refill.
const NEVER_HELD_IDLE_TIME: Duration = Duration::from_secs(3600);

impl ControlMachine {
    pub(super) fn handle_entry_message(
        &mut self,
        now: ClockReading,
        link: LinkId,
        message: EntryMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        if self.leadership.is_none() {
            return self.answer_not_leader(now.monotonic, link, &message, actions);
        }
        match message {
            EntryMessage::Hello { registration, revision } => {
                self.handle_hello(now, link, registration, revision, actions);
            }
            EntryMessage::Renew { sequence, revision, digest, draining, demand } => {
                let report = RenewalReport { revision, digest, draining, demand };
                self.handle_renewal(now, link, sequence, report, actions);
            }
            EntryMessage::Release => self.handle_release(now, link),
            EntryMessage::Resync => {
                // If the read is rejected, the entry sends the request again.
                let _ = self.wait_for_read(WaitingRead::View(link));
            }
            EntryMessage::Claim { token, key, fingerprint } => {
                self.handle_claim(now, link, token, key, fingerprint, actions);
            }
            EntryMessage::Settle { key, outcome } => self.handle_settle(now, link, key, outcome),
            EntryMessage::Lookup { token, key } => {
                let read = WaitingRead::Lookup(link, token, key.clone());
                if self.wait_for_read(read).is_err() {
                    self.fail_read(WaitingRead::Lookup(link, token, key), actions);
                }
            }
            EntryMessage::ReportCrash { evidence, fingerprints } => {
                self.handle_crash_report(now, link, evidence, fingerprints);
            }
            EntryMessage::ClearSuspect(fingerprint) => self.clear_suspect(now, link, fingerprint),
        }
    }

    fn answer_not_leader(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        message: &EntryMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        let answer = match message {
            EntryMessage::Claim { token, .. } => {
                let verdict = ClaimVerdict::Unavailable;
                Some(ControlMessage::ClaimAnswer { token: *token, verdict })
            }
            EntryMessage::Lookup { token, .. } => {
                let verdict = LookupVerdict::Unavailable;
                Some(ControlMessage::LookupAnswer { token: *token, verdict, fingerprint: None })
            }
            _ => None,
        };
        actions.extend(answer.map(|answer| ControlAction::SendEntry(link, answer)));
        let leader = self.raft.leader_record().map(|record| record.peer_address);
        let pledge = if leader.is_some() { Duration::ZERO } else { self.raft.pledge(now) };
        let message = ControlMessage::NotLeader { leader, pledge };
        actions.push(ControlAction::SendEntry(link, message));
    }

    fn handle_hello(
        &mut self,
        now: ClockReading,
        link: LinkId,
        registration: EntryRegistration,
        revision: RevisionNumber,
        actions: &mut Vec<ControlAction>,
    ) {
        let (entry, incarnation) = (registration.entry.clone(), registration.incarnation);
        let process = EntryProcess { entry, incarnation };
        let known = find_entry(self.state.view(), &process).is_some_and(|record| {
            record.caller_address == registration.caller_address
                && record.failure_domain == registration.failure_domain
        });
        let expires_at = now.monotonic + entry_lease(&self.settings);
        let Some(leadership) = &mut self.leadership else { return };
        let keeps_ordinal = known && !leadership.expiring.contains(&process);
        if keeps_ordinal {
            leadership.entries.renew(process.clone(), expires_at);
            leadership.reported.insert(process.clone(), revision);
        }
        self.links.insert(link, LinkSession { process, sent: None, draining: false });
        let accepted = if keeps_ordinal {
            self.wait_for_read(WaitingRead::Welcome(link)).is_ok()
        } else {
            let max_ordinals = self.settings.max_ordinals;
            let body = CommandBody::RegisterEntry { registration, max_ordinals };
            self.propose_for(now, body, CommandWaiter::Registration(link)).is_ok()
        };
        if !accepted {
            self.links.remove(&link);
            // The replica is overloaded. `Refused` would make the process give up an ordinal that it still holds.
            let message = ControlMessage::NotLeader { leader: None, pledge: Duration::ZERO };
            actions.push(ControlAction::SendEntry(link, message));
        }
    }

    pub(super) fn answer_registration(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        result: Result<OrdinalNumber, Arc<str>>,
        actions: &mut Vec<ControlAction>,
    ) {
        match result {
            // The registration was committed in this term, so no quorum read is needed to confirm the state.
            Ok(ordinal) => {
                let idle = self.ordinal_idle_time(link, ordinal);
                self.welcome(now, link, idle, actions);
            }
            Err(reason) => {
                self.links.remove(&link);
                actions.push(ControlAction::SendEntry(link, ControlMessage::Refused(reason)));
            }
        }
    }

    /// Returns how long the ordinal of a newly registered process was free before.
    fn ordinal_idle_time(&mut self, link: LinkId, ordinal: OrdinalNumber) -> Duration {
        if self.state.registry().is_first_holder(ordinal) {
            return NEVER_HELD_IDLE_TIME;
        }
        let (Some(session), Some(leadership)) = (self.links.get(&link), &mut self.leadership)
        else {
            return Duration::ZERO;
        };
        leadership.take_ordinal_idle_time(&session.process)
    }

    /// Answers a process that keeps its ordinal. The idle time is zero, because its rate limits remain in use.
    pub(super) fn answer_hello(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        actions: &mut Vec<ControlAction>,
    ) {
        self.welcome(now, link, Duration::ZERO, actions);
    }

    fn welcome(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        idle: Duration,
        actions: &mut Vec<ControlAction>,
    ) {
        let view = self.state.view();
        let Some(session) = self.links.get_mut(&link) else { return };
        let Some(leadership) = &mut self.leadership else { return };
        let record = find_entry(view, &session.process);
        let Some(record) = record.filter(|_| !leadership.expiring.contains(&session.process))
        else {
            self.links.remove(&link);
            let reason = "the ordinal's lease ended".into();
            actions.push(ControlAction::SendEntry(link, ControlMessage::Refused(reason)));
            return;
        };
        leadership.entries.renew(session.process.clone(), now + entry_lease(&self.settings));
        session.sent = Some(view.revision);
        session.draining = self.state.registry().is_leaving(&session.process);
        let message = ControlMessage::Welcome {
            ordinal: record.ordinal,
            max_ordinals: self.state.registry().max_ordinals(),
            idle,
            view: Box::new(view.clone()),
        };
        actions.push(ControlAction::SendEntry(link, message));
    }

    fn handle_renewal(
        &mut self,
        now: ClockReading,
        link: LinkId,
        sequence: u64,
        report: RenewalReport,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(process) = self.registered_process(link) else {
            return self.request_hello(link, actions);
        };
        let expires_at = now.monotonic + entry_lease(&self.settings);
        let sheet = self.state.view().sheet.clone();
        let Some(leadership) = &mut self.leadership else { return };
        // The release of this ordinal is already proposed; the process is notified when it is committed.
        if leadership.expiring.contains(&process) {
            return;
        }
        leadership.entries.renew(process.clone(), expires_at);
        leadership.reported.insert(process.clone(), report.revision);
        leadership.shares.record_demand(now.monotonic, &process, &report.demand, sheet.as_deref());
        self.check_digest(link, &report, actions);
        self.note_draining(now, link, &process, report.draining);
        // If the read is rejected, the entry gets no answer and renews again.
        let _ = self.wait_for_read(WaitingRead::Renewal(link, sequence));
    }

    // The link may date from an earlier term in which this replica was the leader. `Refused` would make the process
    // give up an ordinal that it still holds, so it is redirected to the leader, which is this replica, and sends
    // `Hello` again.
    fn request_hello(&self, link: LinkId, actions: &mut Vec<ControlAction>) {
        if self.links.contains_key(&link) {
            return;
        }
        let leader = Some(self.settings.peer_address);
        let message = ControlMessage::NotLeader { leader, pledge: Duration::ZERO };
        actions.push(ControlAction::SendEntry(link, message));
    }

    // A differing digest means that the entry's view is wrong, so it gets the whole view. The entry accepts that
    // only if it is newer than its own view, so this helps only if there were changes since the report.
    fn check_digest(
        &mut self,
        link: LinkId,
        report: &RenewalReport,
        actions: &mut Vec<ControlAction>,
    ) {
        let digest = self.history.digest_at(report.revision);
        if digest.is_some_and(|digest| digest != report.digest) {
            self.answer_resync(link, actions);
        }
    }

    fn note_draining(
        &mut self,
        now: ClockReading,
        link: LinkId,
        process: &EntryProcess,
        draining: bool,
    ) {
        let reported = self.links.get(&link).map(|session| session.draining);
        if reported == Some(draining) {
            return;
        }
        let body = CommandBody::MarkEntry { process: process.clone(), draining };
        if self.propose(now, body).is_ok()
            && let Some(session) = self.links.get_mut(&link)
        {
            session.draining = draining;
        }
    }

    pub(super) fn answer_renewal(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        sequence: u64,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(process) = self.registered_process(link) else { return };
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.expiring.contains(&process) {
            return;
        }
        let view = self.state.view();
        let message = ControlMessage::Renewed {
            sequence,
            lease: self.settings.entry_lease,
            committed: view.revision,
            shares: leadership.shares.grant(now, &process, view.sheet.as_deref()),
            share_lease: self.settings.share_lease,
        };
        actions.push(ControlAction::SendEntry(link, message));
    }

    pub(super) fn answer_resync(&mut self, link: LinkId, actions: &mut Vec<ControlAction>) {
        let view = self.state.view();
        let Some(session) = self.links.get_mut(&link).filter(|session| session.sent.is_some())
        else {
            return;
        };
        session.sent = Some(view.revision);
        let message = ControlMessage::View(Box::new(view.clone()));
        actions.push(ControlAction::SendEntry(link, message));
    }

    fn handle_release(&mut self, now: ClockReading, link: LinkId) {
        let Some(process) = self.registered_process(link) else { return };
        let body = CommandBody::ReleaseEntries(vec![process.clone()]);
        let index = self.propose_for(now, body, CommandWaiter::Release(link));
        if let (Some(leadership), Ok(index)) = (&mut self.leadership, index) {
            leadership.entry_expiry = index;
            leadership.expiring.insert(process);
            self.links.remove(&link);
        }
    }

    fn handle_claim(
        &mut self,
        now: ClockReading,
        link: LinkId,
        token: QueryToken,
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        actions: &mut Vec<ControlAction>,
    ) {
        let waiter = CommandWaiter::Claim(link, token);
        let retention = self.settings.claim_retention.as_millis();
        let newest = u128::from(now.wall.0) + retention;
        // An issue time far in the future would keep the claim long after its retention period.
        let plausible = u128::from(key.issued_at.0) <= newest;
        let Some(process) = self.registered_process(link).filter(|_| plausible) else {
            return self.fail_waiter(waiter, actions);
        };
        let capacity = self.settings.max_claims;
        let body = CommandBody::Claim { process, key, fingerprint, capacity };
        if self.propose_for(now, body, waiter).is_err() {
            self.fail_waiter(CommandWaiter::Claim(link, token), actions);
        }
    }

    fn handle_settle(
        &mut self,
        now: ClockReading,
        link: LinkId,
        key: ClaimKey,
        outcome: OrderOutcome,
    ) {
        let Some(process) = self.registered_process(link) else { return };
        let outcome = bound_outcome(outcome, self.settings.max_outcome_bytes);
        let body = CommandBody::Settle { process, key: key.clone(), outcome };
        // If the proposal is rejected, the entry gets no answer and sends the settlement again.
        let _ = self.propose_for(now, body, CommandWaiter::Settlement(link, key));
    }

    fn handle_crash_report(
        &mut self,
        now: ClockReading,
        link: LinkId,
        evidence: CrashEvidence,
        mut fingerprints: Vec<RequestFingerprint>,
    ) {
        if self.registered_process(link).is_none() {
            return;
        }
        fingerprints.truncate(MAX_REPORTED_FINGERPRINTS);
        let body = CommandBody::ReportCrash { evidence, fingerprints };
        // Losing a report is acceptable: it only delays the quarantine until the next crash.
        let _ = self.propose(now, body);
    }

    fn clear_suspect(&mut self, now: ClockReading, link: LinkId, fingerprint: RequestFingerprint) {
        let record = self.state.view().quarantines.get(&fingerprint);
        let suspect = record.is_some_and(|record| record.level == QuarantineLevel::Suspect);
        if suspect && self.registered_process(link).is_some() {
            // If the proposal is rejected, the quarantine record still expires.
            let _ = self.propose(now, CommandBody::ClearSuspect(fingerprint));
        }
    }

    /// Sends all registered processes the changes that they do not have yet.
    pub(super) fn broadcast_changes(&mut self, actions: &mut Vec<ControlAction>) {
        let view = self.state.view();
        if !self.is_serving() || self.broadcast_revision == view.revision {
            return;
        }
        self.broadcast_revision = view.revision;
        for (link, session) in &mut self.links {
            let Some(sent) = session.sent.filter(|sent| *sent != view.revision) else { continue };
            if let Some(message) = self.history.update(sent, view) {
                actions.push(ControlAction::SendEntry(*link, message));
            }
            session.sent = Some(view.revision);
        }
    }

    fn registered_process(&self, link: LinkId) -> Option<EntryProcess> {
        let session = self.links.get(&link)?;
        session.sent.map(|_| session.process.clone())
    }
}

struct RenewalReport {
    revision: RevisionNumber,
    digest: StateDigest,
    draining: bool,
    demand: Vec<CallerDemand>,
}

/// Notifies a process whose ordinal was released and removes its links.
pub(super) fn refuse_links(
    links: &mut BTreeMap<LinkId, LinkSession>,
    entry: &EntryId,
    incarnation: IncarnationNumber,
    actions: &mut Vec<ControlAction>,
) {
    links.retain(|link, session| {
        let process = &session.process;
        if process.entry != *entry || process.incarnation != incarnation || session.sent.is_none() {
            return true;
        }
        let reason = "the ordinal's lease ended".into();
        actions.push(ControlAction::SendEntry(*link, ControlMessage::Refused(reason)));
        false
    });
}
