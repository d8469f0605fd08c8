//! Measures the time of one query in the engine. The reports divide it by the number of
//! sub-requests (`Throughput::Elements`).

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use hickoryspan_core::entry::engine::{EngineSettings, FanoutEngine, OrdinalShare};
use hickoryspan_core::entry::interface::{AnswerStatus, EntryAction, EntryEvent, LoadReport};
use hickoryspan_core::entry::plan::{FanoutMode, SearchPlan};
use hickoryspan_core::membership::{MembershipView, PartitionRecord, ServiceKey, TargetRecord};
use hickoryspan_core::sheet::{CompletionPolicy, ServiceKind, ShardScope};
use hickoryspan_core::types::{
    AttemptId, ClockReading, ConnectionCount, ConnectionId, CoverageShare, DocumentCount,
    IncarnationNumber, KeyRange, MonotonicTime, OrdinalNumber, QueryToken, RequestFingerprint,
    SlotCount, SnapshotVersion, WallTime,
};

/// Seed of the engine's random number generator.
const SEED: u64 = 11;

/// Number of searches before the measurement, so that latencies are measured and connections are
/// open.
const WARM_UP: u64 = 200;

/// Parses an identifier or address. The texts are constants, so parsing cannot fail.
fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid identifier")
}

fn service() -> ServiceKey {
    ServiceKey { tenant: named("quindio"), service: named("console") }
}

/// Returns a view with `shards` shards of two targets each, in four failure domains.
fn view(shards: u32) -> MembershipView {
    let mut view = MembershipView::default();
    for (shard, range) in KeyRange::split_evenly(shards).into_iter().enumerate() {
        let partition = PartitionRecord {
            snapshot: SnapshotVersion(1),
            shard: named(&format!("s{shard:04}")),
            range,
            documents: DocumentCount(1000),
        };
        let manifests = view.snapshots.entry(service()).or_default();
        let manifest = manifests.entry(SnapshotVersion(1)).or_default();
        manifest.partitions.insert(partition.shard.clone(), partition.clone());
        for replica in 0..2 {
            let record = TargetRecord {
                target: named(&format!("t{shard:04}-{replica}")),
                incarnation: IncarnationNumber(1),
                address: named("127.0.0.1:7300"),
                tenant: service().tenant,
                service: service().service,
                failure_domain: named(&format!("d{}", (shard + replica) % 4)),
                slots: SlotCount(2),
                connections: ConnectionCount(25),
                partitions: vec![partition.clone()],
                draining: false,
            };
            view.targets.insert(record.target.clone(), record);
        }
    }
    view
}

/// Engine with its clock and the attempts in flight.
struct Driver {
    engine: FanoutEngine,
    now: MonotonicTime,
    actions: Vec<EntryAction>,
    attempts: Vec<AttemptId>,
    opening: Vec<ConnectionId>,
    token: u64,
    scope: ShardScope,
}

impl Driver {
    fn new(shards: u32, settings: EngineSettings) -> Self {
        let generator = ChaCha12Rng::seed_from_u64(SEED);
        let mut driver = Self {
            engine: FanoutEngine::new(settings, named("d0"), generator),
            now: MonotonicTime(1_000_000),
            actions: Vec::new(),
            attempts: Vec::new(),
            opening: Vec::new(),
            token: 0,
            scope: ShardScope::All,
        };
        let share = OrdinalShare { ordinal: OrdinalNumber(0), max_ordinals: 14 };
        driver.engine.set_share(driver.clock(), Some(share), &mut driver.actions);
        driver.engine.update_view(driver.clock(), &view(shards), &mut driver.actions);
        driver.perform();
        driver.open();
        for _ in 0..WARM_UP {
            driver.search();
        }
        driver
    }

    fn clock(&self) -> ClockReading {
        ClockReading { monotonic: self.now, wall: WallTime(0) }
    }

    fn perform(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                EntryAction::StartAttempt(request) => self.attempts.push(request.attempt),
                EntryAction::OpenConnection { connection, .. } => self.opening.push(connection),
                action => {
                    black_box(action);
                }
            }
        }
        while let Some(report) = self.engine.next_report() {
            black_box(report);
        }
    }

    fn open(&mut self) {
        while let Some(connection) = self.opening.pop() {
            let event = EntryEvent::ConnectionOpened(connection);
            self.engine.handle(self.clock(), &event, &mut self.actions);
            self.perform();
        }
    }

    fn start(&mut self) {
        self.token += 1;
        let plan = SearchPlan {
            service: service(),
            kind: ServiceKind::Sharded,
            scope: self.scope.clone(),
            pinned: None,
            fingerprint: RequestFingerprint::default(),
            deadline: self.now + Duration::from_millis(76),
            policy: CompletionPolicy::DeadlineFirst,
            coverage_floor: CoverageShare::FULL,
            mode: FanoutMode::Normal,
        };
        let now = self.clock();
        self.engine.start_search(now, QueryToken(self.token), plan, &mut self.actions);
        self.perform();
    }

    fn answer(&mut self, attempt: AttemptId) {
        let event = EntryEvent::Answered {
            attempt,
            status: AnswerStatus::Done,
            load: Some(LoadReport { running: 1, queued: 0 }),
            snapshot: Some(SnapshotVersion(1)),
            body: None,
        };
        self.engine.handle(self.clock(), &event, &mut self.actions);
        self.perform();
    }

    /// Runs one search whose answers arrive after 5 ms, 3 µs apart.
    fn search(&mut self) {
        self.start();
        self.now = self.now + Duration::from_millis(5);
        let mut answered = 0;
        while answered < self.attempts.len() {
            self.now = self.now + Duration::from_micros(3);
            self.answer(self.attempts[answered]);
            self.open();
            answered += 1;
        }
        self.attempts.clear();
    }

    /// Runs one search of which one answer in 40 is slow, so that hedges are sent.
    fn search_with_stragglers(&mut self) {
        self.start();
        let attempts = std::mem::take(&mut self.attempts);
        self.now = self.now + Duration::from_millis(5);
        for (index, attempt) in attempts.iter().enumerate() {
            if index % 40 != 7 {
                self.now = self.now + Duration::from_micros(3);
                self.answer(*attempt);
            }
        }
        self.now = self.now + Duration::from_millis(10);
        self.engine.handle(self.clock(), &EntryEvent::Tick, &mut self.actions);
        self.perform();
        self.open();
        for attempt in std::mem::take(&mut self.attempts) {
            self.answer(attempt);
        }
        for attempt in attempts.iter().skip(7).step_by(40) {
            self.answer(*attempt);
        }
        self.open();
        self.attempts.clear();
    }
}

fn fan_out(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fan_out");
    for shards in [40, 340] {
        group.throughput(Throughput::Elements(u64::from(shards)));
        let mut driver = Driver::new(shards, EngineSettings::default());
        group.bench_function(BenchmarkId::new("answered", shards), |bencher| {
            bencher.iter(|| driver.search());
        });
        let mut driver = Driver::new(shards, EngineSettings::default());
        group.bench_function(BenchmarkId::new("stragglers", shards), |bencher| {
            bencher.iter(|| driver.search_with_stragglers());
        });
    }
    group.finish();
}

/// Measures a query while many others are in flight, to detect events that scan all queries.
fn beside_others(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("beside_others");
    group.throughput(Throughput::Elements(40));
    for others in [0, 1000] {
        let mut driver = Driver::new(41, EngineSettings::default());
        let shards = (0..40).map(|shard| named(&format!("s{shard:04}")));
        driver.scope = ShardScope::Listed(shards.collect());
        for _ in 0..others {
            driver.token += 1;
            let plan = SearchPlan {
                service: service(),
                kind: ServiceKind::Sharded,
                scope: ShardScope::Listed(vec![named("s0040")]),
                pinned: None,
                fingerprint: RequestFingerprint::default(),
                deadline: driver.now + Duration::from_secs(1_000_000),
                policy: CompletionPolicy::CoverageFirst,
                coverage_floor: CoverageShare::FULL,
                mode: FanoutMode::Normal,
            };
            let now = driver.clock();
            driver.engine.start_search(now, QueryToken(driver.token), plan, &mut driver.actions);
        }
        driver.perform();
        driver.open();
        driver.attempts.clear();
        group.bench_function(BenchmarkId::new("waiting", others), |bencher| {
            bencher.iter(|| driver.search());
        });
    }
    group.finish();
}

fn membership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership");
    let mut driver = Driver::new(340, EngineSettings::default());
    let mut changed = view(340);
    group.bench_function("one_target_changed_of_680", |bencher| {
        bencher.iter(|| {
            let record = changed.targets.values_mut().next().expect("a target");
            record.draining = !record.draining;
            driver.engine.update_view(driver.clock(), &changed, &mut driver.actions);
            driver.perform();
            driver.opening.clear();
        });
    });
    group.finish();
}

criterion_group!(benches, fan_out, beside_others, membership);
criterion_main!(benches);
