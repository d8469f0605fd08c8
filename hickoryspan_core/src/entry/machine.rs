//! The entry machine: takes callers' requests through the filter chain and answers them truthfully.
//!
//! It connects the policies of this module's siblings; see `docs/design.md`, sections 5 to 8.

mod arrivals;
mod endings;
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

/// How long this entry counts as loaded after it shed a request; a few reactions of the admission limit.
const LOAD_MEMORY: Duration = Duration::from_secs(1);

/// Settings of all policies of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntrySettings {
    /// The link to control.
    pub session: SessionSettings,
    /// The configuration.
    pub configuration: ConfigurationSettings,
    /// The limits of callers.
    pub limits: LimitSettings,
    /// Admission.
    pub admission: AdmissionSettings,
    /// The orders.
    pub orders: OrderSettings,
    /// Requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Address answers.
    pub addresses: AddressSettings,
    /// The planned stop.
    pub drain: DrainSettings,
    /// The fan-out engine.
    pub engine: EngineSettings,
}

/// The decisions of one entry process.
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
    /// How long nobody held the ordinal before this process, until the limits have taken it over.
    ordinal_idle: Duration,
    requests: BTreeMap<QueryToken, ActiveRequest>,
    deadlines: BTreeSet<(MonotonicTime, QueryToken)>,
}

impl EntryMachine {
    /// A machine with the fan-out engine.
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

    /// A machine with another engine.
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

    /// Handles one event; the driver performs the actions in order.
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
            EntryEvent::CallerDisconnected(token) => self.on_hangup(now, token, actions),
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
        self.take_reports(now, actions);
        self.advance(now, actions);
    }

    /// After the planned stop, callers are only referred to other entries.
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

    /// When a `Tick` should be sent; a time in the past means at once, none means never again.
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
        self.settle_down(now, actions);
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

    /// Whether the view in force lets entries hand out this process's address.
    fn is_offered(&self) -> bool {
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
        let is_offered = self.is_offered();
        self.drain.observe(now.monotonic, is_offered);
        let own_end = self.own_address_expiry();
        self.drain.advance(now.monotonic, own_end);
        let has_requests = !self.requests.is_empty() || self.engine.in_flight() > 0;
        if self.drain.complete(now.monotonic, has_requests, self.orders.unsettled() > 0) {
            self.engine_share = None;
            self.engine.set_share(now, None, actions);
            self.session.send(EntryMessage::Release, actions);
            actions.push(EntryAction::Stopped);
        }
    }

    /// Performs reports and decisions until neither causes another.
    fn settle_down(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        loop {
            self.take_reports(now, actions);
            let before = self.admission.in_flight();
            self.take_decisions(now, actions);
            if self.admission.in_flight() == before {
                return self.take_reports(now, actions);
            }
        }
    }

    /// Tells the engine when the ordinal may no longer, or may again, be used.
    fn refresh_share(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        let share = self.session.lease_status(now.monotonic).share();
        if share != self.engine_share {
            self.engine_share = share;
            let idle = std::mem::take(&mut self.ordinal_idle);
            self.limits.set_share(now.monotonic, share, idle);
            self.engine.set_share(now, share, actions);
            self.take_reports(now, actions);
        }
    }

    fn on_control(
        &mut self,
        now: ClockReading,
        message: ControlMessage,
        actions: &mut Vec<EntryAction>,
    ) {
        if !self.session.is_listening() {
            return;
        }
        match message {
            ControlMessage::Welcome { ordinal, max_ordinals, idle, view } => {
                let update = self.configuration.replace(*view);
                if update == ViewUpdate::Regressed {
                    // Control lost committed state; an older configuration must not come into force.
                    self.session.refused(now.monotonic);
                    return;
                }
                self.session.welcome(now.monotonic, ordinal, max_ordinals);
                self.ordinal_idle = idle;
                self.after_update(now, update, actions);
                self.quarantine.reconnected();
                self.with_orders(now, actions, |orders, send, effects| {
                    orders.reconnected(now.monotonic, send, effects);
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
                    // A new share empties the buckets, so it is set before the grants.
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
                self.take_sheet(now);
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

    fn take_sheet(&mut self, now: ClockReading) {
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
            is_overloaded: self.admission.shed_within(now.monotonic, LOAD_MEMORY),
            is_leaving: self.drain.is_draining() || !is_confirmed,
            is_confirmed,
        }
    }

    /// The response to a request that is refused here; other entries are named if they could serve it.
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

/// A generator of its own for each policy, so that one policy's draws do not shift another's.
fn split_generator(generator: &mut ChaCha12Rng) -> ChaCha12Rng {
    ChaCha12Rng::seed_from_u64(generator.next_u64())
}
