//! Test harness for the entry machine, with a scripted engine, a scripted control replica and an injected clock.

#![allow(dead_code, unused_imports)] // Each test file uses only a part of the harness.

pub use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use std::net::SocketAddr;
pub use std::sync::{Arc, Mutex};
pub use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
pub use rand::RngExt;
pub use rand_chacha::ChaCha12Rng;
pub use rand_chacha::rand_core::SeedableRng;
pub use rstest::rstest;
use serde_json::json;

pub use hickoryspan_core::entry::engine::OrdinalShare;
pub use hickoryspan_core::entry::interface::*;
pub use hickoryspan_core::entry::machine::{EntryMachine, EntrySettings};
pub use hickoryspan_core::entry::plan::*;
pub use hickoryspan_core::entry::search_engine::SearchEngine;
pub use hickoryspan_core::membership::*;
pub use hickoryspan_core::messages::*;
pub use hickoryspan_core::sheet::*;
pub use hickoryspan_core::types::*;

pub const LEASE: Duration = Duration::from_secs(5);
pub const SHARE_LEASE: Duration = Duration::from_secs(2);
pub const MAX_ORDINALS: u32 = 14;
pub const START_WALL_MS: u64 = 1_800_000_000_000;

/// Outcome and reason of a response.
pub type OutcomeReason = (RequestOutcome, Option<ResponseReason>);

pub fn refused(reason: ResponseReason) -> Option<OutcomeReason> {
    Some((RequestOutcome::NotRun, Some(reason)))
}

pub fn unknown(reason: ResponseReason) -> Option<OutcomeReason> {
    Some((RequestOutcome::Unknown, Some(reason)))
}

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid identifier")
}

/// Step of a property test: a kind and two random numbers, which the test maps to its own ranges.
pub type RawStep = (u8, usize, u64);

/// Checks a property for random sequences of steps, with a fixed seed.
pub fn check_steps(seed: u8, cases: u32, kinds: u8, length: usize, test: impl Fn(Vec<RawStep>)) {
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let steps = prop::collection::vec((0..kinds, 0..1000_usize, 0..1_000_000_u64), 1..length);
    let outcome = TestRunner::new_with_rng(config, generator).run(&steps, |steps| {
        test(steps);
        Ok(())
    });
    outcome.expect("the property holds");
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Calls that the scripted engine received, and the reports that it returns next.
#[derive(Debug, Default)]
pub struct EngineScript {
    pub searches: Vec<(QueryToken, SearchPlan)>,
    pub orders: Vec<(QueryToken, OrderPlan)>,
    pub cancelled: Vec<QueryToken>,
    pub shares: Vec<Option<OrdinalShare>>,
    pub reports: VecDeque<EngineReport>,
    /// Reports to return after the next wake-up.
    pub tick_reports: VecDeque<EngineReport>,
    pub width: u32,
    pub revision: RevisionNumber,
}

/// An engine that records calls and returns the reports that the test queued.
#[derive(Clone, Debug, Default)]
pub struct FakeEngine(pub Arc<Mutex<EngineScript>>);

impl FakeEngine {
    pub fn script(&self) -> std::sync::MutexGuard<'_, EngineScript> {
        self.0.lock().expect("no test thread panicked")
    }
}

type Actions<'a> = &'a mut Vec<EntryAction>;

impl SearchEngine for FakeEngine {
    fn update_view(&mut self, _: ClockReading, view: &MembershipView, _: Actions<'_>) {
        self.script().revision = view.revision;
    }
    fn set_share(&mut self, _: ClockReading, share: Option<OrdinalShare>, _: Actions<'_>) {
        self.script().shares.push(share);
    }
    fn start_search(
        &mut self,
        _: ClockReading,
        token: QueryToken,
        plan: SearchPlan,
        _: Actions<'_>,
    ) {
        self.script().searches.push((token, plan));
    }
    fn start_order(&mut self, _: ClockReading, token: QueryToken, plan: OrderPlan, _: Actions<'_>) {
        self.script().orders.push((token, plan));
    }
    fn cancel(&mut self, _: ClockReading, token: QueryToken, _: Actions<'_>) {
        self.script().cancelled.push(token);
    }
    fn handle(&mut self, _: ClockReading, event: &EntryEvent, _: Actions<'_>) {
        let mut script = self.script();
        if matches!(event, EntryEvent::Tick) {
            let reports = std::mem::take(&mut script.tick_reports);
            script.reports.extend(reports);
        }
    }
    fn next_report(&mut self) -> Option<EngineReport> {
        self.script().reports.pop_front()
    }
    fn fanout_width(&self, _: &SearchPlan) -> u32 {
        self.script().width
    }
    fn next_wakeup(&self) -> Option<MonotonicTime> {
        None
    }
    fn in_flight(&self) -> usize {
        0
    }
}

/// One entry machine with a scripted engine and control.
pub struct EntryHarness {
    pub machine: EntryMachine,
    pub engine: FakeEngine,
    pub now: ClockReading,
    /// Actions that the test has not taken yet.
    pub actions: Vec<EntryAction>,
    /// Whether control automatically accepts connections and answers `Hello`, `Resync` and `Renew`.
    pub auto_reply: bool,
    pub view: MembershipView,
    pub grants: Vec<ShareGrant>,
    next_token: u64,
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn control_addresses() -> Vec<SocketAddr> {
    vec![address(7100), address(7101), address(7102)]
}

pub fn identity(entry: &str) -> EntryIdentity {
    EntryIdentity {
        registration: EntryRegistration {
            entry: id(entry),
            incarnation: IncarnationNumber(1),
            caller_address: address(8000),
            failure_domain: id("north"),
        },
        control_addresses: control_addresses(),
    }
}

pub fn entry_record(entry: &str, port: u16, domain: &str) -> EntryRecord {
    EntryRecord {
        entry: id(entry),
        incarnation: IncarnationNumber(1),
        caller_address: address(port),
        failure_domain: id(domain),
        ordinal: OrdinalNumber(u64::from(port % 100)),
        draining: false,
    }
}

/// Creates a sheet of two tenants with a search, an order, two classes and one caller each.
pub fn sheet(rate: f64, burst: f64) -> SheetDocument {
    let class = |priority: u8, deadline: u64| {
        json!({ "priority": priority, "deadline": deadline, "policy": "deadline_first",
            "coverage_floor": 1.0 })
    };
    let search = |service: &str, idempotent: bool| json!({ "service": service, "scope": "all", "weight": 1.0, "idempotent": idempotent });
    let tenant = json!({
        "services": { "console": { "kind": "sharded" }, "print": { "kind": "single" } },
        "searches": { "history": search("console", true), "order": search("print", false) },
        "callers": { "desk": { "rate": rate, "burst": burst } },
        "classes": { "phone": class(9, 1000), "batch": class(1, 2000) },
    });
    let tenants = json!({ "quindio": tenant, "vestera": tenant });
    let document = json!({ "number": 1, "date": "2026-12-04", "tenants": tenants });
    serde_json::from_value(document).expect("a valid sheet")
}

pub fn view_of(entries: &[(&str, u16, &str)]) -> MembershipView {
    let mut view = MembershipView::default();
    let records = entries.iter().map(|(entry, port, domain)| entry_record(entry, *port, domain));
    view.apply(RevisionNumber(4), records.map(ViewChange::PutEntry));
    view
}

pub fn view_with(document: SheetDocument) -> MembershipView {
    let mut view = view_of(&[("e0", 8000, "north"), ("e1", 8001, "south"), ("e2", 8002, "east")]);
    view.apply(RevisionNumber(5), [ViewChange::PutSheet(Arc::new(document))]);
    view
}

impl EntryHarness {
    pub fn new(seed: u64) -> Self {
        Self::with_settings(seed, EntrySettings::default(), sheet(1e9, 1e9))
    }

    pub fn with_settings(seed: u64, settings: EntrySettings, document: SheetDocument) -> Self {
        let engine = FakeEngine::default();
        engine.script().width = 1;
        let machine = EntryMachine::with_engine(
            identity("e0"),
            settings,
            ChaCha12Rng::seed_from_u64(seed),
            Box::new(engine.clone()),
        );
        Self {
            machine,
            engine,
            now: ClockReading {
                monotonic: MonotonicTime(1_000_000),
                wall: WallTime(START_WALL_MS),
            },
            actions: Vec::new(),
            auto_reply: true,
            view: view_with(document),
            grants: Vec::new(),
            next_token: 1,
        }
    }

    /// Creates a harness whose entry has a lease and a view, after enough time to fill its token buckets.
    pub fn ready(seed: u64) -> Self {
        let mut harness = Self::new(seed);
        harness.advance(millis(2000));
        assert!(harness.has_share());
        harness.take();
        harness
    }

    pub fn event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        let replies = if self.auto_reply { self.replies(&actions) } else { Vec::new() };
        self.actions.extend(actions);
        for reply in replies {
            self.event(reply);
        }
    }

    fn replies(&self, actions: &[EntryAction]) -> Vec<EntryEvent> {
        actions
            .iter()
            .filter_map(|action| match action {
                EntryAction::ConnectControl(address) => Some(EntryEvent::ControlOpened(*address)),
                EntryAction::SendControl(EntryMessage::Hello { .. }) => Some(self.welcome(3)),
                EntryAction::SendControl(EntryMessage::Resync) => {
                    Some(EntryEvent::Control(ControlMessage::View(Box::new(self.view.clone()))))
                }
                EntryAction::SendControl(EntryMessage::Renew { sequence, .. }) => {
                    Some(self.renewed(*sequence))
                }
                _ => None,
            })
            .collect()
    }

    pub fn welcome(&self, ordinal: u64) -> EntryEvent {
        EntryEvent::Control(ControlMessage::Welcome {
            ordinal: OrdinalNumber(ordinal),
            max_ordinals: MAX_ORDINALS,
            idle: std::time::Duration::ZERO,
            view: Box::new(self.view.clone()),
        })
    }

    pub fn renewed(&self, sequence: u64) -> EntryEvent {
        EntryEvent::Control(ControlMessage::Renewed {
            sequence,
            lease: LEASE,
            committed: self.view.revision,
            shares: self.grants.clone(),
            share_lease: SHARE_LEASE,
        })
    }

    pub fn control(&mut self, message: ControlMessage) {
        self.event(EntryEvent::Control(message));
    }

    /// Advances the clock and sends a `Tick` at each wake-up time that the machine requests.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now.monotonic + duration;
        let mut idle_ticks = 0;
        while let Some(wakeup) = self.machine.next_wakeup().filter(|&wakeup| wakeup <= end) {
            idle_ticks = if wakeup <= self.now.monotonic { idle_ticks + 1 } else { 0 };
            assert!(idle_ticks < 20, "the machine requests a wake-up that was already delivered");
            self.set_time(wakeup.max(self.now.monotonic));
            self.event(EntryEvent::Tick);
        }
        self.set_time(end);
    }

    pub fn set_time(&mut self, time: MonotonicTime) {
        let passed = time.since(self.now.monotonic);
        self.now.wall.0 += passed.as_millis() as u64;
        self.now.monotonic = time;
    }

    pub fn take(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    pub fn request(
        &mut self,
        kind: RequestKind,
        change: impl FnOnce(&mut CallerRequest),
    ) -> QueryToken {
        let token = QueryToken(self.next_token);
        self.next_token += 1;
        let search = if matches!(kind, RequestKind::Search { .. }) { "history" } else { "order" };
        let mut request = CallerRequest {
            tenant: id("quindio"),
            caller: id("desk"),
            class: id("phone"),
            search: id(search),
            kind,
            fingerprint: fingerprint(1),
            deadline: None,
        };
        change(&mut request);
        self.event(EntryEvent::Request(token, Box::new(request)));
        token
    }

    pub fn search(&mut self) -> QueryToken {
        self.request(RequestKind::Search { pinned: None }, |_| {})
    }

    pub fn order(&mut self, name: &str) -> QueryToken {
        let issued_at = WallTime(START_WALL_MS);
        self.request(RequestKind::Order { request: id(name), issued_at }, |_| {})
    }

    pub fn report(&mut self, report: EngineReport) {
        self.engine.script().reports.push_back(report);
        self.event(EntryEvent::Tick);
    }

    /// Removes and returns the actions that `pick` selects.
    fn pick<T>(&mut self, pick: impl Fn(&EntryAction) -> Option<T>) -> Vec<T> {
        let picked = self.actions.iter().filter_map(&pick).collect();
        self.actions.retain(|action| pick(action).is_none());
        picked
    }

    /// Removes and returns the response to a request.
    pub fn response(&mut self, token: QueryToken) -> Option<CallerResponse> {
        let responses = self.pick(|action| match action {
            EntryAction::Respond(other, response) if *other == token => Some((**response).clone()),
            _ => None,
        });
        assert!(responses.len() <= 1, "two responses to one request");
        responses.into_iter().next()
    }

    /// Removes the response to a request and returns its outcome and reason.
    pub fn outcome_of(&mut self, token: QueryToken) -> Option<OutcomeReason> {
        self.response(token).map(|response| (response.outcome, response.reason))
    }

    /// Removes and returns the control addresses to which connections were opened.
    pub fn connects(&mut self) -> Vec<SocketAddr> {
        self.pick(|action| match action {
            EntryAction::ConnectControl(address) => Some(*address),
            _ => None,
        })
    }

    /// Removes and returns the messages sent to control.
    pub fn sent(&mut self) -> Vec<EntryMessage> {
        self.pick(|action| match action {
            EntryAction::SendControl(message) => Some(message.clone()),
            _ => None,
        })
    }

    /// Answers every lookup among the sent messages with this verdict.
    pub fn answer_lookups(&mut self, sent: &[EntryMessage], verdict: &LookupVerdict) {
        for message in sent {
            if let EntryMessage::Lookup { token, .. } = message {
                let (token, verdict) = (*token, verdict.clone());
                self.control(ControlMessage::LookupAnswer { token, verdict, fingerprint: None });
            }
        }
    }

    /// Returns whether the engine has an ordinal share, so that it may use connections.
    pub fn has_share(&self) -> bool {
        self.engine.script().shares.last().is_some_and(Option::is_some)
    }

    /// Sends a search and returns its outcome and reason if it is refused. Otherwise the search keeps running.
    pub fn probe_search(&mut self) -> Option<OutcomeReason> {
        let token = self.search();
        self.outcome_of(token)
    }
}

pub fn fingerprint(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 32])
}

pub fn claim_key(name: &str) -> ClaimKey {
    ClaimKey {
        tenant: id("quindio"),
        caller: id("desk"),
        request: id(name),
        issued_at: WallTime(START_WALL_MS),
    }
}

pub fn search_result(coverage: f64, parts: &[u64]) -> SearchResult {
    SearchResult {
        snapshot: Some(SnapshotVersion(4)),
        coverage: CoverageShare::new(coverage),
        parts: parts.iter().copied().map(AttemptId).collect(),
        attempts: parts.len() as u32,
        extra_attempts: 0,
        may_have_run: !parts.is_empty(),
        reason: None,
    }
}
