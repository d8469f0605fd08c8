//! Random tests with fixed seeds against combinations of faults: targets drop, delay, duplicate and
//! reorder answers while members, snapshots and connections change.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

use hickoryspan_core::entry::engine::{EngineSettings, OrdinalShare};
use hickoryspan_core::entry::interface::{
    AnswerStatus, AttemptFailure, AttemptWork, EntryEvent, LoadReport,
};
use hickoryspan_core::entry::plan::{
    EngineReport, FanoutMode, OrderResult, SearchPlan, SearchResult,
};
use hickoryspan_core::membership::SnapshotManifest;
use hickoryspan_core::sheet::CompletionPolicy;
use hickoryspan_core::types::{
    AttemptId, ConnectionCount, ConnectionId, CoverageShare, DocumentCount, KeyRange,
    MonotonicTime, OrdinalNumber, QueryToken, ShardId, SlotCount, SnapshotVersion,
};
use support::*;

const QUERIES: u32 = 120;

/// Scheduled event of the simulated targets.
#[derive(Clone, Copy, Debug)]
enum FakeStep {
    Answer(AttemptId, AnswerStatus, Option<SnapshotVersion>),
    Close(ConnectionId),
    NotSent(AttemptId),
    Open(ConnectionId),
}

struct FakeRun {
    harness: EngineHarness,
    generator: ChaCha12Rng,
    steps: BTreeMap<(MonotonicTime, u64), FakeStep>,
    sequence: u64,
    handled: usize,
    deadlines: BTreeMap<QueryToken, MonotonicTime>,
    orders: BTreeSet<QueryToken>,
    /// Attempts that were answered `Done` with the right snapshot before they were cancelled.
    answered: BTreeSet<AttemptId>,
    not_sent: BTreeSet<AttemptId>,
    /// Manifests of all snapshots. They never change in this test, so results can be checked
    /// against them at the end.
    manifests: BTreeMap<SnapshotVersion, SnapshotManifest>,
    ended: BTreeSet<QueryToken>,
}

impl FakeRun {
    fn new(seed: u64) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut view = even_view(generator.random_range(2..8), 2);
        for record in view.targets.values_mut() {
            record.slots = SlotCount(generator.random_range(1..4));
            record.connections = ConnectionCount(generator.random_range(2..8));
        }
        let mut run = Self {
            harness: EngineHarness::unopened(view, EngineSettings::default(), seed),
            generator,
            steps: BTreeMap::new(),
            sequence: 0,
            handled: 0,
            deadlines: BTreeMap::new(),
            orders: BTreeSet::new(),
            answered: BTreeSet::new(),
            not_sent: BTreeSet::new(),
            manifests: BTreeMap::new(),
            ended: BTreeSet::new(),
        };
        run.record_manifests();
        run
    }

    fn record_manifests(&mut self) {
        let manifests = self.harness.view.snapshots.get(&service()).cloned().unwrap_or_default();
        self.manifests.extend(manifests);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.generator.random_range(0..100) < percent
    }

    fn schedule(&mut self, delay: Duration, step: FakeStep) {
        self.sequence += 1;
        self.steps.insert((self.harness.now + delay, self.sequence), step);
    }

    /// Schedules the outcomes of new attempts and connections, and checks new reports.
    fn react(&mut self) {
        for connection in std::mem::take(&mut self.harness.opening) {
            let delay = Duration::from_micros(self.generator.random_range(200..8000));
            let fails = self.chance(5);
            let step = if fails { FakeStep::Close(connection) } else { FakeStep::Open(connection) };
            self.schedule(delay, step);
        }
        for attempt in std::mem::take(&mut self.harness.new_attempts) {
            self.plan_attempt(attempt);
        }
        while self.handled < self.harness.reports.len() {
            let report = self.harness.reports[self.handled].clone();
            self.handled += 1;
            match report {
                EngineReport::Search(token, result) => self.check_search(token, &result),
                EngineReport::Order(token, result) => self.check_order(token, &result),
                _ => {}
            }
        }
    }

    fn plan_attempt(&mut self, attempt: AttemptId) {
        let request = self.harness.sent[&attempt].clone();
        let mut delay = Duration::from_micros(self.generator.random_range(500..6000));
        if self.chance(4) {
            delay *= 20;
        }
        let snapshot = match request.work {
            AttemptWork::Search { snapshot, .. } => Some(snapshot),
            AttemptWork::Order => None,
        };
        let status = match self.generator.random_range(0..100) {
            0..=80 => AnswerStatus::Done,
            81..=84 => AnswerStatus::Shed,
            85..=87 => AnswerStatus::Error,
            88 => AnswerStatus::Late,
            89 => AnswerStatus::Draining,
            90 => AnswerStatus::SnapshotGone,
            91 => return,
            92 => return self.schedule(delay, FakeStep::Close(request.connection)),
            93..=95 => return self.schedule(delay / 50, FakeStep::NotSent(attempt)),
            _ => {
                // A repartitioned target answers with another snapshot.
                let other = snapshot.map(SnapshotVersion::next);
                return self.schedule(delay, FakeStep::Answer(attempt, AnswerStatus::Done, other));
            }
        };
        self.schedule(delay, FakeStep::Answer(attempt, status, snapshot));
        if self.chance(5) {
            self.schedule(delay * 2, FakeStep::Answer(attempt, status, snapshot));
        }
    }

    fn perform(&mut self, step: FakeStep) {
        match step {
            FakeStep::Answer(attempt, status, snapshot) => {
                let request = self.harness.sent[&attempt].clone();
                let counts =
                    self.harness.attempts.get(&attempt).is_some_and(|sent| !sent.cancelled);
                let is_valid = match &request.work {
                    AttemptWork::Search { snapshot: pinned, .. } => snapshot == Some(*pinned),
                    AttemptWork::Order => true,
                };
                if counts && is_valid && status == AnswerStatus::Done {
                    self.answered.insert(attempt);
                }
                let load = LoadReport {
                    running: self.generator.random_range(0..6),
                    queued: self.generator.random_range(0..4),
                };
                self.harness.answer_with(attempt, status, snapshot, Some(load));
            }
            FakeStep::Close(connection) => self.harness.close(connection),
            FakeStep::NotSent(attempt) => {
                if self.harness.attempts.contains_key(&attempt) {
                    self.not_sent.insert(attempt);
                    self.harness.fail(attempt, AttemptFailure::NotSent);
                }
            }
            FakeStep::Open(connection) => self.harness.open(connection),
        }
        self.react();
    }

    fn run_until(&mut self, end: MonotonicTime) {
        loop {
            let step = self.steps.first_key_value().map(|(key, _)| key.0);
            let wakeup = self.harness.engine.next_wakeup();
            let Some(at) = step.into_iter().chain(wakeup).min().filter(|at| *at <= end) else {
                break;
            };
            self.harness.now = self.harness.now.max(at);
            if wakeup.is_some_and(|wakeup| wakeup <= at) {
                self.harness.event(EntryEvent::Tick);
                self.react();
            } else if let Some((_, step)) = self.steps.pop_first() {
                self.perform(step);
            }
        }
        self.harness.now = end;
    }

    fn start_query(&mut self) {
        let time = ms(self.generator.random_range(5..400));
        let deadline = self.harness.now + time;
        let token = if self.chance(15) {
            let token = self.harness.order(time);
            self.orders.insert(token);
            token
        } else {
            let policy = match self.chance(30) {
                true => CompletionPolicy::CoverageFirst,
                false => CompletionPolicy::DeadlineFirst,
            };
            let mode = match self.chance(10) {
                true => FanoutMode::Canary,
                false => FanoutMode::Normal,
            };
            let number = self.generator.random_range(0..1000);
            let fingerprint = fingerprint(number);
            let plan = SearchPlan { deadline, policy, fingerprint, mode, ..plan(self.harness.now) };
            self.harness.search(plan)
        };
        self.deadlines.insert(token, deadline);
        self.react();
    }

    /// Applies one random change of the targets, snapshots or connection share.
    fn change_view(&mut self) {
        let names: Vec<_> = self.harness.view.targets.keys().cloned().collect();
        if names.len() < 2 {
            return;
        }
        let name = names[self.generator.random_range(0..names.len())].clone();
        let choice = self.generator.random_range(0..7);
        let view = &mut self.harness.view;
        let record = view.targets.get_mut(&name).expect("a name from the view");
        match choice {
            0 => record.draining = !record.draining,
            1 => record.incarnation = record.incarnation.next(),
            2 => {
                view.targets.remove(&name);
            }
            3 => {
                let domain = record.failure_domain.clone();
                if !view.drained_domains.remove(&domain) {
                    view.drained_domains.insert(domain);
                }
            }
            4 => {
                let mut joined = record.clone();
                joined.target = format!("j{}", self.sequence).parse().expect("letters and digits");
                view.targets.insert(joined.target.clone(), joined);
            }
            5 => self.repartition(),
            _ => {
                let share = OrdinalShare { ordinal: OrdinalNumber(1), max_ordinals: 2 };
                let whole = OrdinalShare { ordinal: OrdinalNumber(0), max_ordinals: 1 };
                let share = if self.harness.share == Some(whole) { share } else { whole };
                self.harness.set_share(Some(share));
            }
        }
        self.harness.update_view();
        self.react();
    }

    /// Adds a snapshot with another number of partitions, and removes the oldest snapshot from some
    /// targets.
    fn repartition(&mut self) {
        let version = *self.manifests.keys().next_back().expect("a first snapshot");
        let next = version.next();
        let count = self.generator.random_range(1..9);
        let ranges = KeyRange::split_evenly(count);
        let records: Vec<_> = self.harness.view.targets.values().cloned().collect();
        for (index, mut record) in records.into_iter().enumerate() {
            let shard = index % count as usize;
            let mut new = partition(next.0, &format!("s{shard}"), ranges[shard]);
            new.documents = DocumentCount(50 + 10 * shard as u64);
            record.partitions.push(new);
            if record.partitions.len() > 2 {
                record.partitions.remove(0);
            }
            put(&mut self.harness.view, record);
        }
        self.record_manifests();
    }

    fn check_search(&mut self, token: QueryToken, result: &SearchResult) {
        assert!(self.ended.insert(token), "{token} ended twice");
        assert!(self.harness.now <= self.deadlines[&token], "{token} ended late");
        let none = SnapshotManifest::default();
        let manifest = match result.snapshot {
            Some(snapshot) => &self.manifests[&snapshot],
            None => &none,
        };
        let mut last_key = None;
        let mut shards: BTreeSet<ShardId> = BTreeSet::new();
        let mut documents = 0;
        for part in &result.parts {
            let request = &self.harness.sent[part];
            assert_eq!(request.token, token, "a part of another request");
            assert!(self.answered.contains(part), "a part that was not answered");
            assert!(!self.harness.discarded.contains(part), "the body of a part was discarded");
            let AttemptWork::Search { shard, snapshot } = &request.work else { panic!("an order") };
            assert_eq!(Some(*snapshot), result.snapshot, "two snapshots in one result");
            assert!(shards.insert(shard.clone()), "two parts of one partition");
            let record = &manifest.partitions[shard];
            assert!(last_key.is_none_or(|last| last < record.range.first), "not in key order");
            last_key = Some(record.range.last);
            documents += record.documents.0;
        }
        for attempt in &self.answered {
            let request = &self.harness.sent[attempt];
            let AttemptWork::Search { shard, snapshot } = &request.work else { continue };
            if request.token == token && Some(*snapshot) == result.snapshot {
                assert!(shards.contains(shard), "{token}: an answer of {shard} was lost");
            }
        }
        let all: u64 = manifest.partitions.values().map(|record| record.documents.0).sum();
        // With fewer targets than partitions, part of the key space is unknown.
        let known: f64 = manifest.partitions.values().map(|record| record.range.share()).sum();
        let expected = if all == 0 { 0.0 } else { documents as f64 / all as f64 * known };
        assert!((result.coverage.value() - expected).abs() < 1e-9, "{token}: wrong coverage");
        let is_whole = all > 0 && (known - 1.0).abs() < 1e-12;
        let complete = result.parts.len() == manifest.partitions.len() && is_whole;
        assert_eq!(result.coverage == CoverageShare::FULL, complete);
        assert_eq!(result.reason.is_none(), complete);
    }

    fn check_order(&mut self, token: QueryToken, result: &OrderResult) {
        assert!(self.ended.insert(token), "{token} ended twice");
        assert!(self.harness.now <= self.deadlines[&token], "{token} ended late");
        let of_order = self.harness.sent.values().filter(|request| request.token == token);
        let sent = of_order.filter(|request| !self.not_sent.contains(&request.attempt)).count();
        assert!(sent <= 1, "an order was sent twice");
        assert_eq!(matches!(result, OrderResult::NotSent(_)), sent == 0);
    }

    fn check_end(&self) {
        assert_eq!(self.ended.len(), self.deadlines.len(), "a query did not end");
        assert_eq!(self.harness.engine.in_flight(), 0);
        for token in &self.orders {
            let of_order = self.harness.sent.values().filter(|request| request.token == *token);
            let sent = of_order.filter(|request| !self.not_sent.contains(&request.attempt)).count();
            assert!(sent <= 1, "an order was sent again after its end");
        }
        let first = self.harness.sent.len() as u32 - self.harness.extra;
        let allowed = first / 20 + 20;
        assert!(self.harness.extra <= allowed, "{} extra attempts for {first}", self.harness.extra);
    }
}

fn run(seed: u64, view_changes: bool) -> EngineHarness {
    let mut run = FakeRun::new(seed);
    run.react();
    run.run_until(run.harness.now + ms(20));
    for _ in 0..QUERIES {
        run.start_query();
        let pause = Duration::from_micros(run.generator.random_range(0..20_000));
        run.run_until(run.harness.now + pause);
        if view_changes && run.chance(10) {
            run.change_view();
        }
    }
    run.run_until(run.harness.now + ms(2000));
    run.check_end();
    run.harness
}

#[rstest]
fn searches_and_orders_stay_correct_with_faulty_targets(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] first: u64,
    #[values(false, true)] view_changes: bool,
) {
    (0..6).for_each(|step| drop(run(first * 100 + step, view_changes)));
}

/// A run must be reproducible from its seed, so that failures can be debugged.
#[test]
fn equal_seeds_give_equal_decisions() {
    let (first, second) = (run(4711, true), run(4711, true));
    assert_eq!(first.sent, second.sent);
    assert_eq!(first.reports, second.reports);
}
