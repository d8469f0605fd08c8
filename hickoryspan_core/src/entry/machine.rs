//! The entry machine: passes callers' requests through limits, quarantine and admission to the fan-out engine.
//!
//! Each policy is a sibling module; the machine connects them. See `docs/design.md`, sections 5 to 8.

mod arrivals;
mod completion;
mod refusals;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::messages::{ControlMessage, EntryMessage, RequestOutcome};
use crate::sheet::SheetDocument;
use crate::types::{CallerId, ClockReading, MonotonicTime, QueryToken};

use super::addresses::{AddressSelector, AddressSettings, OwnStatus};
use super::admission::{AdmissionControl, AdmissionSettings};
use super::configuration::{ConfigurationSettings, ViewConfiguration, ViewUpdate};
use super::drain::{DrainControl, DrainSettings};
use super::engine::{EngineSettings, FanoutEngine, OrdinalShare};
use super::interface::{
    CallerResponse, EntryAction, EntryEvent, EntryIdentity, EntryMetric, ResponseReason,
};
use super::limits::{CallerLimits, LimitSettings};
use super::orders::{OrderSettings, OrderTracker};
use super::quarantine::{CrashQuarantine, QuarantineSettings};
use super::requests::ActiveRequest;
use super::responses::{blank_response, can_run_elsewhere};
use super::search_engine::SearchEngine;
use super::session::{ControlSession, LeaseStatus, RenewalReport, SessionSettings};

/// Time for which this entry counts as overloaded after it shed a request. The admission limit reacts a few
/// times in it.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Settings of all policies of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntrySettings {
    /// Session with control.
    pub session: SessionSettings,
    /// Configuration view.
    pub configuration: ConfigurationSettings,
    /// Rate limits of callers.
    pub limits: LimitSettings,
    /// Admission control.
    pub admission: AdmissionSettings,
    /// Non-idempotent orders.
    pub orders: OrderSettings,
    /// Quarantine of requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Selection of entry addresses for callers.
    pub addresses: AddressSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
    /// Fan-out engine.
    pub engine: EngineSettings,
}

/// State machine of one entry process. It performs no I/O and reads no clock.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    session: ControlSession,
    configuration: ViewConfiguration,
    limits: CallerLimits,
    sheet: Option<Arc<SheetDocument>>,
    admission: AdmissionControl,
    orders: OrderTracker,
    quarantine: CrashQuarantine,
    addresses: AddressSelector,
    drain: DrainControl,
    generator: ChaCha12Rng,
    engine: Box<dyn SearchEngine>,
    engine_share: Option<OrdinalShare>,
    /// Time for which no process held the ordinal before this one. Reset once it is passed to the limits.
    ordinal_idle: Duration,
    requests: BTreeMap<QueryToken, ActiveRequest>,
    deadlines: BTreeSet<(MonotonicTime, QueryToken)>,
}

impl EntryMachine {
    /// Creates a machine with the fan-out engine.
    pub fn new(
        identity: EntryIdentity,
        settings: EntrySettings,
        mut generator: ChaCha12Rng,
    ) -> Self {
        let domain = identity.registration.failure_domain.clone();
        let engine_generator = split_generator(&mut generator);
        let engine = FanoutEngine::new(settings.engine, domain, engine_generator);
        Self::with_engine(identity, settings, generator, Box::new(engine))
    }

    /// Creates a machine with the given engine.
    pub fn with_engine(
        identity: EntryIdentity,
        settings: EntrySettings,
        mut generator: ChaCha12Rng,
        engine: Box<dyn SearchEngine>,
    ) -> Self {
        let session_generator = split_generator(&mut generator);
        let limit_generator = split_generator(&mut generator);
        let admission_generator = split_generator(&mut generator);
        let registration = &identity.registration;
        let orders = OrderTracker::new(
            settings.orders,
            registration.entry.clone(),
            registration.incarnation,
        );
        Self {
            session: ControlSession::new(settings.session, identity.clone(), session_generator),
            identity,
            configuration: ViewConfiguration::new(settings.configuration),
            limits: CallerLimits::new(settings.limits, limit_generator),
            sheet: None,
            admission: AdmissionControl::new(settings.admission, admission_generator),
            orders,
            quarantine: CrashQuarantine::new(settings.quarantine),
            drain: DrainControl::new(settings.drain, settings.addresses.lifetime),
            addresses: AddressSelector::new(settings.addresses),
            generator,
            engine,
            engine_share: None,
            ordinal_idle: Duration::ZERO,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Handles one event and appends the actions that the driver must perform, in order.
    pub fn handle(&mut self, now: ClockReading, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        if self.drain.is_stopped() {
            return self.handle_stopped(now, event, actions);
        }
        self.refresh_share(now, actions);
        match event {
            EntryEvent::ControlOpened(address) => {
                let revision = self.configuration.revision();
                self.session.opened(now.monotonic, address, revision, actions);
            }
            EntryEvent::ControlClosed => self.session.closed(now.monotonic),
            EntryEvent::Control(message) => self.on_control(now, message, actions),
            EntryEvent::Request(token, request) => self.on_request(now, token, *request, actions),
            EntryEvent::CallerDisconnected(token) => self.on_disconnect(now, token, actions),
            EntryEvent::Addresses(token, caller) => {
                self.on_addresses(now, token, &caller, actions);
            }
            EntryEvent::Drain => {
                self.drain.begin(now.monotonic);
                self.session.make_renewal_due(now.monotonic);
            }
            EntryEvent::Tick
            | EntryEvent::ConnectionOpened(_)
            | EntryEvent::ConnectionClosed(_)
            | EntryEvent::Answered { .. }
            | EntryEvent::Failed { .. } => self.engine.handle(now, &event, actions),
        }
        self.process_reports(now, actions);
        self.advance(now, actions);
    }

    /// Refers callers to other entries after the shutdown is complete.
    fn handle_stopped(
        &mut self,
        now: ClockReading,
        event: EntryEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        match event {
            EntryEvent::Request(token, request) => {
                self.refuse_unresolved(now, token, &request, ResponseReason::Draining, actions);
            }
            EntryEvent::Addresses(token, caller) => {
                self.on_addresses(now, token, &caller, actions);
            }
            _ => {}
        }
    }

    /// Returns the time at which the driver should send a `Tick`. A time in the past means immediately; `None`
    /// means never again.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        if self.drain.is_stopped() {
            return None;
        }
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        [
            Some(self.session.next_wakeup()),
            self.orders.next_wakeup(),
            self.admission.next_wakeup(),
            self.engine.next_wakeup(),
            self.drain.next_wakeup(self.own_address_expiry()),
            deadline,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn advance(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        self.session.advance(now.monotonic, actions);
        if self.session.is_renewal_due(now.monotonic) {
            let report = RenewalReport {
                revision: self.configuration.revision(),
                digest: self.configuration.view().digest,
                draining: self.drain.is_draining(),
                demand: self.limits.demand(now.monotonic),
            };
            self.session.renew(now.monotonic, report, actions);
        }
        self.refresh_share(now, actions);
        self.with_orders(now, actions, |orders, send, effects| {
            orders.advance(now.monotonic, send, effects);
        });
        self.expire_searches(now, actions);
        self.process_until_idle(now, actions);
        self.send_reports(now, actions);
        self.advance_drain(now, actions);
    }

    fn send_reports(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        if !self.session.is_established() || !self.quarantine.has_unsent() {
            return;
        }
        for message in self.quarantine.take_unsent(now.monotonic) {
            self.session.send(message, actions);
        }
    }

    fn own_address_expiry(&self) -> Option<MonotonicTime> {
        self.addresses.latest_expiry(self.identity.registration.caller_address)
    }

    /// Returns whether entries give out this process's address under the view in force.
    fn is_advertised(&self) -> bool {
        let registration = &self.identity.registration;
        let incarnations = self.configuration.view().entries.get(&registration.entry);
        incarnations
            .and_then(|incarnations| incarnations.get(&registration.incarnation))
            .is_some_and(|record| !record.draining)
    }

    fn advance_drain(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        if !self.drain.is_draining() {
            return;
        }
        let is_advertised = self.is_advertised();
        self.drain.observe_view(now.monotonic, is_advertised);
        let own_expiry = self.own_address_expiry();
        self.drain.advance(now.monotonic, own_expiry);
        let has_requests = !self.requests.is_empty() || self.engine.in_flight() > 0;
        if self.drain.complete(now.monotonic, has_requests, self.orders.unsettled() > 0) {
            self.engine_share = None;
            self.engine.set_share(now, None, actions);
            self.session.send(EntryMessage::Release, actions);
            actions.push(EntryAction::Stopped);
        }
    }

    /// Processes engine reports and admission decisions until neither causes another.
    fn process_until_idle(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        loop {
            self.process_reports(now, actions);
            let before = self.admission.in_flight();
            self.process_decisions(now, actions);
            if self.admission.in_flight() == before {
                return self.process_reports(now, actions);
            }
        }
    }

    /// Passes a change of the usable ordinal share to the limits and the engine.
    fn refresh_share(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        let share = self.session.lease_status(now.monotonic).share();
        if share != self.engine_share {
            self.engine_share = share;
            let idle = std::mem::take(&mut self.ordinal_idle);
            self.limits.set_share(now.monotonic, share, idle);
            self.engine.set_share(now, share, actions);
            self.process_reports(now, actions);
        }
    }

    fn on_control(
        &mut self,
        now: ClockReading,
        message: ControlMessage,
        actions: &mut Vec<EntryAction>,
    ) {
        if !self.session.accepts_messages() {
            return;
        }
        match message {
            ControlMessage::Welcome { ordinal, max_ordinals, idle, view } => {
                let update = self.configuration.replace(*view);
                if update == ViewUpdate::Regressed {
                    // Control lost committed state. An older configuration must not come into force.
                    self.session.refused(now.monotonic);
                    return;
                }
                self.session.welcome(now.monotonic, ordinal, max_ordinals);
                self.ordinal_idle = idle;
                self.after_update(now, update, actions);
                self.quarantine.mark_all_unsent();
                self.with_orders(now, actions, |orders, send, effects| {
                    orders.resend_all(now.monotonic, send, effects);
                });
            }
            ControlMessage::View(view) => {
                let update = self.configuration.replace(*view);
                self.after_update(now, update, actions);
            }
            ControlMessage::Delta { from, to, changes, digest } => {
                let update = self.configuration.apply(from, to, changes, digest);
                self.after_update(now, update, actions);
            }
            ControlMessage::Renewed { sequence, lease, committed, shares, share_lease } => {
                if let Some(sent) = self.session.renewed(now.monotonic, sequence, lease) {
                    // A change of the share empties the buckets, so it must precede the grants.
                    self.refresh_share(now, actions);
                    self.limits.set_grants(now.monotonic, sent + share_lease, &shares);
                    self.quarantine.confirm(sent);
                }
                if self.configuration.lags_behind(committed) {
                    self.after_update(now, ViewUpdate::ResyncNeeded, actions);
                }
            }
            ControlMessage::ClaimAnswer { token, verdict } => {
                let lease_status = self.session.lease_status(now.monotonic);
                let may_start = matches!(lease_status, LeaseStatus::Held(_));
                self.with_orders(now, actions, |orders, send, effects| {
                    orders.claim_answered(now.monotonic, token, verdict, may_start, send, effects);
                });
            }
            ControlMessage::Settled(key) => {
                self.with_orders(now, actions, |orders, _, effects| orders.settled(&key, effects));
            }
            ControlMessage::LookupAnswer { token, verdict, fingerprint } => {
                self.with_orders(now, actions, |orders, send, effects| {
                    orders.lookup_answered(
                        now.monotonic,
                        token,
                        verdict,
                        fingerprint,
                        send,
                        effects,
                    );
                });
            }
            ControlMessage::NotLeader { leader, pledge } => {
                self.session.not_leader(now.monotonic, leader, pledge, actions);
            }
            ControlMessage::Refused(_) => self.session.refused(now.monotonic),
        }
    }

    fn after_update(
        &mut self,
        now: ClockReading,
        update: ViewUpdate,
        actions: &mut Vec<EntryAction>,
    ) {
        match update {
            ViewUpdate::Changed => {
                self.apply_sheet(now);
                self.engine.update_view(now, self.configuration.view(), actions);
                let revision = self.configuration.revision();
                actions.push(EntryAction::RecordMetric(EntryMetric::Revision(revision)));
            }
            ViewUpdate::ResyncNeeded if self.configuration.may_resync(now.monotonic) => {
                self.session.send(EntryMessage::Resync, actions);
            }
            _ => {}
        }
    }

    fn apply_sheet(&mut self, now: ClockReading) {
        let Some(sheet) = self.configuration.view().sheet.clone() else { return };
        if self.sheet.as_ref().is_some_and(|known| Arc::ptr_eq(known, &sheet)) {
            return;
        }
        self.limits.update_sheet(now.monotonic, &sheet);
        self.sheet = Some(sheet);
    }

    fn on_addresses(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        caller: &CallerId,
        actions: &mut Vec<EntryAction>,
    ) {
        let own = self.own_status(now);
        let view = self.configuration.view();
        let answer = self.addresses.answer(now.monotonic, view, caller, &own);
        actions.push(EntryAction::RespondAddresses(token, answer));
    }

    fn own_status(&self, now: ClockReading) -> OwnStatus {
        let is_confirmed = self.session.lease_status(now.monotonic) != LeaseStatus::Ended;
        OwnStatus {
            entry: self.identity.entry().clone(),
            address: self.identity.registration.caller_address,
            is_overloaded: self.admission.shed_within(now.monotonic, OVERLOAD_WINDOW),
            is_excluded: self.drain.is_draining() || !is_confirmed,
            is_confirmed,
        }
    }

    /// Creates the response to a refused request. It lists other entries if they could serve the request.
    fn refused_response(
        &self,
        now: ClockReading,
        reason: ResponseReason,
        caller: &CallerId,
    ) -> CallerResponse {
        let mut response =
            blank_response(RequestOutcome::NotRun, Some(reason), self.configuration.revision());
        if can_run_elsewhere(reason) {
            let own = self.own_status(now);
            response.other_addresses =
                self.addresses.others(self.configuration.view(), caller, &own);
        }
        response
    }
}

/// Derives a separate generator for a policy, so that draws of one policy do not change those of another.
fn split_generator(generator: &mut ChaCha12Rng) -> ChaCha12Rng {
    ChaCha12Rng::seed_from_u64(generator.next_u64())
}
