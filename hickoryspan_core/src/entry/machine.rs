//! The entry machine: takes callers' requests through the filter chain and answers them truthfully.
//!
//! It connects the policies of this module's siblings; see `docs/design.md`, sections 5 to 8.

mod refusals;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::messages::{ClaimKey, ControlMessage, EntryMessage, RequestOutcome};
use crate::sheet::SheetDocument;
use crate::types::{
    CallerId, ClockReading, CostUnits, MonotonicTime, QueryToken, RequestFingerprint,
};

use super::addresses::{AddressBook, AddressSettings, OwnCondition};
use super::admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, AdmissionSettings, WorkEnd,
};
use super::configuration::{ConfigurationSettings, ViewConfiguration, ViewUpdate};
use super::drain::{DrainControl, DrainSettings};
use super::engine::{EngineSettings, FanoutEngine, OrdinalShare};
use super::interface::{
    CallerRequest, CallerResponse, EntryAction, EntryEvent, EntryIdentity, EntryMeasure,
    RequestKind, ResponseReason,
};
use super::limits::{CallerLimits, LimitKey, LimitSettings};
use super::orders::{OrderBook, OrderEffect, OrderLookup, OrderReply, OrderRequest, OrderSettings};
use super::plan::{EngineReport, FanoutMode, SearchResult};
use super::quarantine::{CrashQuarantine, QuarantineSettings, QuarantineVerdict};
use super::requests::{ActiveRequest, ActiveWork, PaidWork, WorkPlan, make_plan};
use super::responses::{blank_response, can_run_elsewhere, search_response};
use super::search_engine::SearchEngine;
use super::session::{ControlSession, RenewalReport, SessionSettings, SessionStanding};

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
    orders: OrderBook,
    quarantine: CrashQuarantine,
    addresses: AddressBook,
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
        let orders =
            OrderBook::new(settings.orders, registration.entry.clone(), registration.incarnation);
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
            addresses: AddressBook::new(settings.addresses),
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
            EntryEvent::Hangup(token) => self.on_hangup(now, token, actions),
            EntryEvent::Addresses(token, caller) => {
                self.on_addresses(now, token, &caller, actions);
            }
            EntryEvent::Drain => {
                self.drain.begin(now.monotonic);
                self.session.hasten_renewal(now.monotonic);
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
            self.drain.next_wakeup(self.own_address_end()),
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

    fn own_address_end(&self) -> Option<MonotonicTime> {
        self.addresses.latest_end(self.identity.registration.caller_address)
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
        let own_end = self.own_address_end();
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
        let share = self.session.standing(now.monotonic).share();
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
                    self.after_update(now, ViewUpdate::Unfit, actions);
                }
            }
            ControlMessage::ClaimAnswer { token, verdict } => {
                let standing = self.session.standing(now.monotonic);
                let may_start = matches!(standing, SessionStanding::Held(_));
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
                actions.push(EntryAction::Measure(EntryMeasure::Revision(revision)));
            }
            ViewUpdate::Unfit if self.configuration.may_resync(now.monotonic) => {
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

    fn on_request(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        match &request.kind {
            RequestKind::Lookup { .. } => self.on_lookup(now, token, request, actions),
            RequestKind::Search { .. } | RequestKind::Order { .. } => {
                self.on_work(now, token, request, actions);
            }
        }
    }

    fn on_work(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let resolved = match self.configuration.resolve(&request) {
            Ok(resolved) => resolved,
            Err(reason) => return self.refuse_unresolved(now, token, &request, reason, actions),
        };
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            class: resolved.class.clone(),
            arrival: now.monotonic,
            deadline: now.monotonic + resolved.deadline,
            is_measured: true,
            work: ActiveWork::Unpaid,
        };
        let priority = resolved.class_spec.priority;
        let weight = resolved.weight;
        let plan = make_plan(&request, resolved, active.deadline);
        if let WorkPlan::Order(order) = &plan
            && self.orders.shares_run(&order.key)
        {
            // The run was paid for and admitted with its first request. It comes before all refusals,
            // because `not_run` would be untrue for an order that runs or ran here.
            let order = order.clone();
            self.accept(token, active, plan, CostUnits::default());
            return self.submit_order(now, token, order, actions);
        }
        let cost = match self.charge(now, &request, &active.limit, &plan, weight) {
            Ok(cost) => cost,
            Err(response) => {
                return self.refuse_request(now, token, &request, active, *response, actions);
            }
        };
        let service = plan.service().clone();
        let deadline = active.deadline;
        self.accept(token, active, plan, cost);
        let ask = AdmissionRequest { token, service, priority, deadline };
        let decision = self.admission.arrive(now.monotonic, ask);
        self.perform_decision(now, decision, actions);
    }

    fn accept(
        &mut self,
        token: QueryToken,
        active: ActiveRequest,
        plan: WorkPlan,
        cost: CostUnits,
    ) {
        let work = ActiveWork::Paid(Box::new(PaidWork { plan, cost, started: None }));
        self.requests.insert(token, ActiveRequest { work, ..active });
    }

    /// Takes the cost of a request from its caller's limit, or gives the response that refuses it.
    fn charge(
        &mut self,
        now: ClockReading,
        request: &CallerRequest,
        key: &LimitKey,
        plan: &WorkPlan,
        weight: CostUnits,
    ) -> Result<CostUnits, Box<CallerResponse>> {
        if let Some(reason) = self.refusal(now, request) {
            return Err(Box::new(self.refused_response(now, reason, &request.caller)));
        }
        if self.verdict(now, &request.fingerprint) == QuarantineVerdict::Condemned {
            let reason = ResponseReason::Quarantined;
            return Err(Box::new(self.refused_response(now, reason, &request.caller)));
        }
        let cost = self.cost_of(plan, weight);
        self.limits.spend(now.monotonic, key, cost).map(|()| cost).map_err(|hint| {
            let reason = ResponseReason::LimitExceeded;
            let mut response = self.refused_response(now, reason, &request.caller);
            response.retry_after = Some(hint);
            Box::new(response)
        })
    }

    fn cost_of(&self, plan: &WorkPlan, weight: CostUnits) -> CostUnits {
        match plan {
            WorkPlan::Search(plan) => {
                CostUnits(weight.0 * f64::from(self.engine.fanout_width(plan)))
            }
            WorkPlan::Order(_) => weight,
        }
    }

    fn perform_decision(
        &mut self,
        now: ClockReading,
        decision: AdmissionDecision,
        actions: &mut Vec<EntryAction>,
    ) {
        match decision {
            AdmissionDecision::Start(token) => self.start_work(now, token, actions),
            AdmissionDecision::Wait(_) => {}
            AdmissionDecision::Shed(token, hint) => {
                let reason = ResponseReason::Overloaded;
                self.refuse_paid(now, token, reason, Some(hint), actions);
            }
        }
    }

    /// Ends a paid request for which nothing was sent; its cost is given back.
    fn refuse_paid(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        reason: ResponseReason,
        hint: Option<Duration>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(active) = self.end_work(now, token, WorkEnd::Neutral) else { return };
        if let ActiveWork::Paid(paid) = &active.work {
            self.limits.refund(now.monotonic, &active.limit, paid.cost);
        }
        let mut response = self.refused_response(now, reason, &active.limit.caller);
        response.retry_after = hint;
        let order = match &active.work {
            ActiveWork::Paid(paid) => paid.plan.to_order_content(),
            _ => None,
        };
        match order {
            Some(order) => self.refuse_order(now, token, active, order, response, actions),
            None => self.finish(now, &active, token, response, actions),
        }
    }

    fn verdict(&self, now: ClockReading, fingerprint: &RequestFingerprint) -> QuarantineVerdict {
        self.quarantine.verdict(now, self.configuration.view(), fingerprint)
    }

    fn start_work(&mut self, now: ClockReading, token: QueryToken, actions: &mut Vec<EntryAction>) {
        let Some(active) = self.requests.get_mut(&token) else { return };
        let deadline = active.deadline;
        let ActiveWork::Paid(paid) = &mut active.work else { return };
        paid.started = Some(now.monotonic);
        let mut plan = paid.plan.clone();
        // Both may have changed while the request waited for admission.
        if self.session.standing(now.monotonic) == SessionStanding::Ended {
            return self.refuse_paid(now, token, ResponseReason::CutOff, None, actions);
        }
        let verdict = self.verdict(now, plan.fingerprint());
        if verdict == QuarantineVerdict::Condemned {
            return self.refuse_paid(now, token, ResponseReason::Quarantined, None, actions);
        }
        if let WorkPlan::Search(search) = &mut plan
            && verdict == QuarantineVerdict::Suspect
        {
            if !self.quarantine.begin_canary(search.fingerprint) {
                let jitter = self.generator.random_range(1.0..2.0);
                let hint = Some(self.quarantine.canary_hint().mul_f64(jitter));
                return self.refuse_paid(now, token, ResponseReason::Quarantined, hint, actions);
            }
            search.mode = FanoutMode::Canary;
            self.note_canary(token);
        }
        match plan {
            WorkPlan::Search(plan) => {
                self.deadlines.insert((deadline, token));
                self.engine.start_search(now, token, plan, actions);
            }
            WorkPlan::Order(order) => self.submit_order(now, token, order, actions),
        }
    }

    fn note_canary(&mut self, token: QueryToken) {
        let active = self.requests.get_mut(&token);
        if let Some(ActiveWork::Paid(paid)) = active.map(|active| &mut active.work)
            && let WorkPlan::Search(plan) = &mut paid.plan
        {
            plan.mode = FanoutMode::Canary;
        }
    }

    fn submit_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        order: OrderRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        self.with_orders(now, actions, |orders, send, effects| {
            orders.submit(now.monotonic, token, order, send, effects);
        });
    }

    /// Takes a request out of the books and tells admission how it ended.
    fn end_work(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        end: WorkEnd,
    ) -> Option<ActiveRequest> {
        let active = self.requests.remove(&token)?;
        self.deadlines.remove(&(active.deadline, token));
        if let ActiveWork::Paid(paid) = &active.work
            && let Some(started) = paid.started
        {
            let latency = now.monotonic.since(started);
            self.admission.release(now.monotonic, paid.plan.service(), end, latency);
        }
        if let ActiveWork::Paid(paid) = &active.work
            && let WorkPlan::Search(plan) = &paid.plan
            && plan.mode == FanoutMode::Canary
        {
            self.quarantine.end_canary(&plan.fingerprint);
        }
        Some(active)
    }

    fn take_decisions(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        while let Some(decision) = self.admission.next_decision(now.monotonic) {
            self.perform_decision(now, decision, actions);
        }
    }

    /// Why a request is refused before anything is done for it.
    fn refusal(&self, now: ClockReading, request: &CallerRequest) -> Option<ResponseReason> {
        let standing = self.session.standing(now.monotonic);
        if self.drain.is_refusing() {
            return Some(ResponseReason::Draining);
        }
        match &request.kind {
            RequestKind::Order { issued_at, .. } => {
                if !self.orders.accepts_issue_time(now.wall, *issued_at) {
                    Some(ResponseReason::Malformed)
                } else if !matches!(standing, SessionStanding::Held(_)) {
                    Some(ResponseReason::CutOff)
                } else if self.orders.is_full() {
                    Some(ResponseReason::Overloaded)
                } else {
                    None
                }
            }
            _ => (standing == SessionStanding::Ended).then_some(ResponseReason::CutOff),
        }
    }

    fn on_lookup(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let (class, time) = match self.configuration.resolve_lookup(&request) {
            Ok(resolved) => resolved,
            Err(reason) => return self.refuse_unresolved(now, token, &request, reason, actions),
        };
        let RequestKind::Lookup { request: id, issued_at } = request.kind else { return };
        let deadline = now.monotonic + time;
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            class,
            arrival: now.monotonic,
            deadline,
            is_measured: true,
            work: ActiveWork::Unpaid,
        };
        let key =
            ClaimKey { tenant: request.tenant, caller: request.caller, request: id, issued_at };
        let is_ended = self.session.standing(now.monotonic) == SessionStanding::Ended;
        let is_known = self.orders.known_state(&key).is_some();
        if !is_known && (is_ended || self.drain.is_refusing()) {
            let reason = if is_ended { ResponseReason::CutOff } else { ResponseReason::Draining };
            let mut response = self.refused_response(now, reason, &key.caller);
            // Nothing is known here about the order that is asked about.
            response.outcome = RequestOutcome::Unknown;
            return self.finish(now, &active, token, response, actions);
        }
        self.requests.insert(token, active);
        self.with_orders(now, actions, |orders, send, effects| {
            let lookup = OrderLookup { key, fingerprint: None, deadline };
            orders.look_up(now.monotonic, token, lookup, send, effects);
        });
    }

    fn on_hangup(&mut self, now: ClockReading, token: QueryToken, actions: &mut Vec<EntryAction>) {
        let Some(active) = self.requests.get(&token) else { return };
        if active.is_search() {
            let was_waiting = self.admission.forget(token);
            let Some(active) = self.end_work(now, token, WorkEnd::Neutral) else { return };
            match &active.work {
                ActiveWork::Paid(paid) if was_waiting => {
                    self.limits.refund(now.monotonic, &active.limit, paid.cost);
                }
                _ => self.engine.cancel(now, token, actions),
            }
        } else if matches!(active.work, ActiveWork::Unpaid | ActiveWork::Refused(_)) {
            self.orders.forget_lookup(token);
            self.requests.remove(&token);
        }
        // An order goes on, and its response tells the driver when its body is no longer needed.
    }

    fn on_addresses(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        caller: &CallerId,
        actions: &mut Vec<EntryAction>,
    ) {
        let own = self.own_condition(now);
        let view = self.configuration.view();
        let answer = self.addresses.answer(now.monotonic, view, caller, &own);
        actions.push(EntryAction::RespondAddresses(token, answer));
    }

    fn own_condition(&self, now: ClockReading) -> OwnCondition {
        let is_confirmed = self.session.standing(now.monotonic) != SessionStanding::Ended;
        OwnCondition {
            entry: self.identity.entry().clone(),
            address: self.identity.registration.caller_address,
            is_loaded: self.admission.shed_within(now.monotonic, LOAD_MEMORY),
            is_leaving: self.drain.is_draining() || !is_confirmed,
            is_confirmed,
        }
    }

    fn take_reports(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        while let Some(report) = self.engine.next_report() {
            match report {
                EngineReport::Search(token, result) => {
                    self.search_ended(now, token, result, actions);
                }
                EngineReport::Order(token, result) => {
                    self.with_orders(now, actions, |orders, send, effects| {
                        orders.run_ended(now.monotonic, token, result, send, effects);
                    });
                }
                EngineReport::SubrequestLatency(service, latency) => {
                    self.admission.note_latency(now.monotonic, &service, latency);
                }
                EngineReport::Crash { evidence, fingerprints } => {
                    self.quarantine.note_crash(now.monotonic, evidence, fingerprints);
                }
                EngineReport::CanaryPassed(fingerprint) => self.quarantine.note_passed(fingerprint),
            }
        }
    }

    fn search_ended(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        result: SearchResult,
        actions: &mut Vec<EntryAction>,
    ) {
        let end = match result.reason {
            Some(ResponseReason::Deadline) => WorkEnd::DeadlineMissed,
            _ => WorkEnd::InTime,
        };
        let Some(active) = self.end_work(now, token, end) else { return };
        let response = search_response(result, self.configuration.revision());
        self.finish(now, &active, token, response, actions);
    }

    /// Ends searches that the engine did not end in time, so that no caller waits for ever.
    fn expire_searches(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        let is_due = self.deadlines.first().is_some_and(|(deadline, _)| *deadline <= now.monotonic);
        if !is_due {
            return;
        }
        // The engine may not have had a wake-up since the deadline, and knows what has arrived.
        self.engine.handle(now, &EntryEvent::Tick, actions);
        self.take_reports(now, actions);
        while let Some(&(deadline, token)) = self.deadlines.first() {
            if now.monotonic < deadline {
                return;
            }
            self.deadlines.pop_first();
            let Some(active) = self.end_work(now, token, WorkEnd::DeadlineMissed) else { continue };
            self.engine.cancel(now, token, actions);
            let reason = Some(ResponseReason::Deadline);
            let revision = self.configuration.revision();
            let response = blank_response(RequestOutcome::Failed, reason, revision);
            self.finish(now, &active, token, response, actions);
        }
    }

    /// Lets the order book act, then performs what it asks for.
    fn with_orders(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<EntryAction>,
        act: impl FnOnce(&mut OrderBook, &mut dyn FnMut(EntryMessage) -> bool, &mut Vec<OrderEffect>),
    ) {
        let mut effects = Vec::new();
        let session = &self.session;
        act(&mut self.orders, &mut |message| session.send(message, actions), &mut effects);
        for effect in effects {
            match effect {
                OrderEffect::Start(token, plan) => {
                    self.engine.start_order(now, token, plan, actions);
                }
                OrderEffect::Reply(token, reply) => self.order_ended(now, token, reply, actions),
            }
        }
    }

    fn order_ended(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        reply: OrderReply,
        actions: &mut Vec<EntryAction>,
    ) {
        let end = match reply.reason {
            Some(ResponseReason::Deadline) => WorkEnd::DeadlineMissed,
            Some(_) => WorkEnd::Neutral,
            None => WorkEnd::InTime,
        };
        let Some(active) = self.end_work(now, token, end) else { return };
        let response = self.settled_response(&active, reply);
        self.finish(now, &active, token, response, actions);
    }

    fn finish(
        &mut self,
        now: ClockReading,
        active: &ActiveRequest,
        token: QueryToken,
        response: CallerResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        if active.is_measured {
            actions.push(EntryAction::Measure(EntryMeasure::Request {
                tenant: active.limit.tenant.clone(),
                class: active.class.clone(),
                outcome: response.outcome,
                latency: now.monotonic.since(active.arrival),
                coverage: response.coverage,
            }));
        }
        actions.push(EntryAction::Respond(token, Box::new(response)));
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
            let own = self.own_condition(now);
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
