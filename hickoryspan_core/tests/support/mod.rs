//! Test harness that drives a fan-out engine with an injected clock: opens connections, records
//! attempts and checks each action.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]
#![allow(clippy::unwrap_used, reason = "a failed helper has to fail its test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use hickoryspan_core::entry::engine::{EngineSettings, FanoutEngine, OrdinalShare};
use hickoryspan_core::entry::interface::{
    AnswerStatus, AttemptFailure, AttemptRequest, AttemptWork, EntryAction, EntryEvent,
    EntryMetric, LoadReport,
};
use hickoryspan_core::entry::plan::{
    EngineReport, FanoutMode, OrderPlan, OrderResult, SearchPlan, SearchResult,
};
use hickoryspan_core::membership::{MembershipView, PartitionRecord, ServiceKey, TargetRecord};
use hickoryspan_core::sheet::{CompletionPolicy, ServiceKind, ShardScope};
use hickoryspan_core::types::{
    AttemptId, ClockReading, ConnectionCount, ConnectionId, CoverageShare, DocumentCount,
    FailureDomain, IncarnationNumber, KeyRange, MonotonicTime, OrdinalNumber, QueryToken,
    RequestFingerprint, SlotCount, SnapshotVersion, TargetId, WallTime,
};

/// Key of the only service.
pub fn service() -> ServiceKey {
    ServiceKey { tenant: "quindio".parse().unwrap(), service: "console".parse().unwrap() }
}

/// Returns a duration in milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the fingerprint of a numbered request.
pub fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of_parts([number.to_le_bytes().as_slice()])
}

/// Returns a partition of a snapshot with 100 documents.
pub fn partition(snapshot: u64, shard: &str, range: KeyRange) -> PartitionRecord {
    PartitionRecord {
        snapshot: SnapshotVersion(snapshot),
        shard: shard.parse().unwrap(),
        range,
        documents: DocumentCount(100),
    }
}

/// Returns a target without partitions, with 4 slots and 4 connections.
pub fn target(name: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        target: name.parse().unwrap(),
        incarnation: IncarnationNumber(1),
        address: "127.0.0.1:7300".parse().unwrap(),
        tenant: service().tenant,
        service: service().service,
        failure_domain: domain.parse().unwrap(),
        slots: SlotCount(4),
        connections: ConnectionCount(4),
        partitions: Vec::new(),
        draining: false,
    }
}

/// Adds a target and its partitions to a view.
pub fn put(view: &mut MembershipView, record: TargetRecord) {
    for partition in &record.partitions {
        let manifests = view.snapshots.entry(service()).or_default();
        let manifest = manifests.entry(partition.snapshot).or_default();
        manifest.partitions.insert(partition.shard.clone(), partition.clone());
    }
    view.targets.insert(record.target.clone(), record);
}

/// Returns a view of snapshot 1 with `shards` shards and `replicas` targets for each. Target
/// `t<shard>-<replica>` is in failure domain `d<replica>`.
pub fn even_view(shards: u32, replicas: u32) -> MembershipView {
    let mut view = MembershipView::default();
    for (shard, range) in KeyRange::split_evenly(shards).into_iter().enumerate() {
        for replica in 0..replicas {
            let mut record = target(&format!("t{shard}-{replica}"), &format!("d{replica}"));
            record.partitions = vec![partition(1, &format!("s{shard}"), range)];
            put(&mut view, record);
        }
    }
    view
}

/// Adds a snapshot of `shards` shards, served by the given replicas of an even view.
pub fn add_snapshot(view: &mut MembershipView, snapshot: u64, shards: u32, replicas: &[u32]) {
    for (shard, range) in KeyRange::split_evenly(shards).into_iter().enumerate() {
        for replica in replicas {
            let name = format!("t{shard}-{replica}");
            let mut record = view.targets[&name.parse().unwrap()].clone();
            record.partitions.push(partition(snapshot, &format!("s{shard}"), range));
            put(view, record);
        }
    }
}

/// Returns a search of all shards with a deadline in 500 ms.
pub fn plan(now: MonotonicTime) -> SearchPlan {
    SearchPlan {
        service: service(),
        kind: ServiceKind::Sharded,
        scope: ShardScope::All,
        pinned: None,
        fingerprint: fingerprint(1),
        deadline: now + ms(500),
        policy: CompletionPolicy::DeadlineFirst,
        coverage_floor: CoverageShare::FULL,
        mode: FanoutMode::Normal,
    }
}

/// Attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub request: AttemptRequest,
    pub sent_at: MonotonicTime,
    pub cancelled: bool,
}

/// Connection as seen by the driver.
#[derive(Clone, Debug)]
pub struct DriverConnection {
    pub target: TargetId,
    pub opened_at: MonotonicTime,
    pub busy: Option<AttemptId>,
    pub open: bool,
}

/// Engine with a simulated driver.
pub struct EngineHarness {
    pub engine: FanoutEngine,
    pub now: MonotonicTime,
    pub view: MembershipView,
    pub share: Option<OrdinalShare>,
    pub connections: BTreeMap<ConnectionId, DriverConnection>,
    pub attempts: BTreeMap<AttemptId, SentAttempt>,
    /// All attempts since the start.
    pub sent: BTreeMap<AttemptId, AttemptRequest>,
    /// Connections that the engine asked to open and that are not open yet.
    pub opening: Vec<ConnectionId>,
    /// Time and target of each connection attempt.
    pub opens: Vec<(MonotonicTime, TargetId)>,
    /// Attempts that the test has not processed yet.
    pub new_attempts: Vec<AttemptId>,
    pub reports: Vec<EngineReport>,
    pub discarded: BTreeSet<AttemptId>,
    /// Targets of the connections that the engine closed as stalled.
    pub stalled: Vec<TargetId>,
    /// Number of hedges, retries and reroutes.
    pub extra: u32,
    /// Whether connections open immediately.
    pub opens_at_once: bool,
    next_token: u64,
}

impl EngineHarness {
    /// Creates a harness with an engine in failure domain `d0` that may open all connections of the
    /// view's targets. They open immediately.
    pub fn new(view: MembershipView) -> Self {
        Self::with_settings(view, EngineSettings::default())
    }

    pub fn with_settings(view: MembershipView, settings: EngineSettings) -> Self {
        let mut harness = Self::unopened(view, settings, 7);
        harness.opens_at_once = true;
        harness.open_all();
        harness
    }

    /// Creates a harness whose connections open only when the test calls `open` or `open_all`.
    pub fn unopened(view: MembershipView, settings: EngineSettings, seed: u64) -> Self {
        let home: FailureDomain = "d0".parse().unwrap();
        let generator = ChaCha12Rng::seed_from_u64(seed);
        let mut harness = Self {
            engine: FanoutEngine::new(settings, home, generator),
            now: MonotonicTime(1_000_000),
            view,
            share: None,
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent: BTreeMap::new(),
            opening: Vec::new(),
            opens: Vec::new(),
            new_attempts: Vec::new(),
            reports: Vec::new(),
            discarded: BTreeSet::new(),
            stalled: Vec::new(),
            extra: 0,
            opens_at_once: false,
            next_token: 0,
        };
        harness.set_share(Some(OrdinalShare { ordinal: OrdinalNumber(0), max_ordinals: 1 }));
        harness.update_view();
        harness
    }

    pub fn clock(&self) -> ClockReading {
        ClockReading { monotonic: self.now, wall: WallTime(0) }
    }

    fn run(&mut self, step: impl FnOnce(&mut FanoutEngine, ClockReading, &mut Vec<EntryAction>)) {
        let mut actions = Vec::new();
        let now = self.clock();
        step(&mut self.engine, now, &mut actions);
        for action in actions {
            self.perform(action);
        }
        while let Some(report) = self.engine.next_report() {
            self.reports.push(report);
        }
        if self.opens_at_once {
            self.open_all();
        }
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::OpenConnection { connection, target, .. } => {
                self.opens.push((self.now, target.clone()));
                self.opening.push(connection);
                let record = self.view.targets.get(&target).expect("a target in the view");
                let share = self.share.expect("a share").connections(&target, record.connections);
                let count = self.connections.values().filter(|state| state.target == target);
                assert!(count.count() < share.0 as usize, "{target}: more than its share");
                let state =
                    DriverConnection { target, opened_at: self.now, busy: None, open: false };
                assert!(self.connections.insert(connection, state).is_none(), "id used twice");
            }
            EntryAction::CloseConnection(connection) => {
                self.opening.retain(|other| *other != connection);
                if let Some(state) = self.connections.remove(&connection) {
                    state.busy.map(|attempt| self.attempts.remove(&attempt));
                }
            }
            EntryAction::StartAttempt(request) => self.start_attempt(request),
            EntryAction::CancelAttempt(attempt) => {
                if let Some(sent) = self.attempts.get_mut(&attempt) {
                    sent.cancelled = true;
                }
            }
            EntryAction::DiscardAttempt(attempt) => {
                self.discarded.insert(attempt);
            }
            EntryAction::RecordMetric(EntryMetric::SilentConnection { target }) => {
                self.stalled.push(target);
            }
            EntryAction::RecordMetric(EntryMetric::ExtraAttempt { .. }) => self.extra += 1,
            _ => {}
        }
    }

    fn start_attempt(&mut self, request: AttemptRequest) {
        let connection = self.connections.get_mut(&request.connection).expect("a known connection");
        assert!(connection.open, "an attempt on a connection that is not open");
        assert_eq!(connection.busy, None, "two attempts on one connection");
        assert_eq!(connection.target, request.target);
        let record = self.view.targets.get(&request.target).expect("a target in the view");
        assert!(!record.draining, "new work for a draining target");
        assert!(!self.view.drained_domains.contains(&record.failure_domain));
        connection.busy = Some(request.attempt);
        self.new_attempts.push(request.attempt);
        assert!(self.sent.insert(request.attempt, request.clone()).is_none(), "id used twice");
        let sent = SentAttempt { sent_at: self.now, cancelled: false, request };
        self.attempts.insert(sent.request.attempt, sent);
    }

    pub fn set_share(&mut self, share: Option<OrdinalShare>) {
        self.share = share;
        self.run(|engine, now, actions| engine.set_share(now, share, actions));
        self.check_shares();
    }

    /// Passes the harness's view to the engine.
    pub fn update_view(&mut self) {
        let view = self.view.clone();
        self.run(|engine, now, actions| engine.update_view(now, &view, actions));
        self.check_shares();
    }

    /// Asserts that no target has more connections than its share.
    pub fn check_shares(&self) {
        for (target, record) in &self.view.targets {
            let share =
                self.share.map_or(0, |share| share.connections(target, record.connections).0);
            let count = self.connections.values().filter(|state| state.target == *target).count();
            assert!(count <= share as usize, "{target}: {count} connections, share {share}");
        }
    }

    pub fn event(&mut self, event: EntryEvent) {
        self.run(|engine, now, actions| engine.handle(now, &event, actions));
    }

    /// Opens all connections that are being opened.
    pub fn open_all(&mut self) {
        while let Some(connection) = self.opening.pop() {
            self.open(connection);
        }
    }

    pub fn open(&mut self, connection: ConnectionId) {
        self.opening.retain(|other| *other != connection);
        if let Some(state) = self.connections.get_mut(&connection) {
            state.open = true;
            self.event(EntryEvent::ConnectionOpened(connection));
        }
    }

    /// Closes a connection from the target's side. An attempt on it is reported as lost first.
    pub fn close(&mut self, connection: ConnectionId) {
        self.opening.retain(|other| *other != connection);
        let Some(state) = self.connections.remove(&connection) else { return };
        if let Some(attempt) = state.busy {
            self.attempts.remove(&attempt);
            let failure = AttemptFailure::ConnectionLost;
            self.event(EntryEvent::Failed { attempt, failure });
        }
        self.event(EntryEvent::ConnectionClosed(connection));
    }

    /// Closes all connections of a target, as a crash of its process does.
    pub fn crash(&mut self, target: &str) {
        for connection in self.connections_of(target) {
            self.close(connection);
        }
    }

    pub fn connections_of(&self, target: &str) -> Vec<ConnectionId> {
        let all = self.connections.iter();
        all.filter(|(_, state)| state.target.as_str() == target).map(|(id, _)| *id).collect()
    }

    /// Advances the clock, with a tick at each time that the engine requests.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut ticks = 0;
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.event(EntryEvent::Tick);
            ticks += 1;
            assert!(ticks < 100_000, "the engine keeps requesting immediate ticks");
        }
        self.now = end;
    }

    pub fn search(&mut self, plan: SearchPlan) -> QueryToken {
        self.next_token += 1;
        let token = QueryToken(self.next_token);
        self.run(|engine, now, actions| engine.start_search(now, token, plan, actions));
        token
    }

    /// Starts a search of all shards.
    pub fn search_all(&mut self) -> QueryToken {
        self.search(plan(self.now))
    }

    pub fn order(&mut self, deadline: Duration) -> QueryToken {
        self.next_token += 1;
        let token = QueryToken(self.next_token);
        let deadline = self.now + deadline;
        let plan = OrderPlan { service: service(), fingerprint: fingerprint(9), deadline };
        self.run(|engine, now, actions| engine.start_order(now, token, plan, actions));
        token
    }

    pub fn cancel(&mut self, token: QueryToken) {
        self.run(|engine, now, actions| engine.cancel(now, token, actions));
    }

    /// Answers an attempt as done, with the requested snapshot.
    pub fn done(&mut self, attempt: AttemptId) {
        self.answer(attempt, AnswerStatus::Done);
    }

    pub fn answer(&mut self, attempt: AttemptId, status: AnswerStatus) {
        let snapshot = match self.sent[&attempt].work {
            AttemptWork::Search { snapshot, .. } => Some(snapshot),
            AttemptWork::Order => None,
        };
        self.answer_with(attempt, status, snapshot, None);
    }

    pub fn answer_with(
        &mut self,
        attempt: AttemptId,
        status: AnswerStatus,
        snapshot: Option<SnapshotVersion>,
        load: Option<LoadReport>,
    ) {
        if let Some(sent) = self.attempts.remove(&attempt)
            && let Some(state) = self.connections.get_mut(&sent.request.connection)
        {
            state.busy = None;
        }
        self.event(EntryEvent::Answered { attempt, status, load, snapshot, body: None });
    }

    pub fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        if let Some(sent) = self.attempts.remove(&attempt) {
            self.connections.remove(&sent.request.connection);
        }
        self.event(EntryEvent::Failed { attempt, failure });
    }

    /// Answers all attempts until none is in flight.
    pub fn done_all(&mut self) {
        while let Some(attempt) = self.attempts.keys().next().copied() {
            self.done(attempt);
        }
    }

    /// Runs searches that are answered after `latency`, so that the engine has measured the
    /// service's latency.
    pub fn warm_up(&mut self, latency: Duration) {
        for _ in 0..100 {
            self.search_all();
            self.advance(latency);
            self.done_all();
        }
        self.reports.clear();
        self.extra = 0;
    }

    /// Returns the attempts in flight on a shard.
    pub fn running_on(&self, shard: &str) -> Vec<AttemptId> {
        let on_shard = |sent: &&SentAttempt| match &sent.request.work {
            AttemptWork::Search { shard: other, .. } => other.as_str() == shard,
            AttemptWork::Order => false,
        };
        self.attempts.values().filter(on_shard).map(|sent| sent.request.attempt).collect()
    }

    pub fn target_of(&self, attempt: AttemptId) -> String {
        self.sent[&attempt].target.to_string()
    }

    /// Returns the result of a search, or `None` if it has not ended.
    pub fn result(&self, token: QueryToken) -> Option<SearchResult> {
        let mut results = self.reports.iter().filter_map(|report| match report {
            EngineReport::Search(other, result) if *other == token => Some(result.clone()),
            _ => None,
        });
        let result = results.next();
        assert!(results.next().is_none(), "{token}: reported twice");
        result
    }

    pub fn order_result(&self, token: QueryToken) -> Option<OrderResult> {
        self.reports.iter().find_map(|report| match report {
            EngineReport::Order(other, result) if *other == token => Some(result.clone()),
            _ => None,
        })
    }

    pub fn crashes(&self) -> Vec<(TargetId, Vec<RequestFingerprint>)> {
        let crash = |report: &EngineReport| match report {
            EngineReport::Crash { evidence, fingerprints } => {
                Some((evidence.target.clone(), fingerprints.clone()))
            }
            _ => None,
        };
        self.reports.iter().filter_map(crash).collect()
    }
}

/// How a view shows that a target's process ended.
#[derive(Clone, Copy, Debug)]
pub enum Evidence {
    Restarted,
    Gone,
}

/// Updates the view to show that a target's process ended.
pub fn show_in_view(harness: &mut EngineHarness, target: &str, evidence: Evidence) {
    let name: TargetId = target.parse().unwrap();
    match evidence {
        Evidence::Restarted => {
            let record = harness.view.targets.get_mut(&name).unwrap();
            record.incarnation = record.incarnation.next();
        }
        Evidence::Gone => {
            harness.view.targets.remove(&name);
        }
    }
    harness.update_view();
}

/// Closes all connections of the targets in a failure domain, and returns these targets.
pub fn lose_domain(harness: &mut EngineHarness, domain: &str) -> Vec<TargetId> {
    let domain: FailureDomain = domain.parse().unwrap();
    let records = harness.view.targets.values();
    let lost = records.filter(|record| record.failure_domain == domain);
    let lost: Vec<TargetId> = lost.map(|record| record.target.clone()).collect();
    lost.iter().for_each(|target| harness.crash(target.as_str()));
    lost
}
