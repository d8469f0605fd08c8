//! Guards against goodput that collapses under load, standing overload, and unfair shedding, in a queueing
//! model with an injected clock: an open loop of arrivals, a target pool with slots, and a FIFO queue.

mod entry_support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use entry_support::*;
use hickoryspan_core::entry::admission::*;
use hickoryspan_core::entry::interface::*;
use hickoryspan_core::entry::machine::EntrySettings;
use hickoryspan_core::entry::plan::EngineReport;
use hickoryspan_core::membership::ServiceKey;
use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::*;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

const SLOTS: usize = 20;
const SERVICE_SECONDS: f64 = 0.02;
/// Requests per second that one pool can run.
const CAPACITY: f64 = SLOTS as f64 / SERVICE_SECONDS;
const DEADLINE: Duration = Duration::from_millis(200);

/// One stream of arrivals.
#[derive(Clone, Copy)]
struct Stream {
    tenant: &'static str,
    priority: u8,
    rate: f64,
}

struct ModelRequest {
    stream: usize,
    arrival: MonotonicTime,
    started: MonotonicTime,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Finish(u64),
    Expire(u64),
    Wake,
}

#[derive(Default)]
struct TargetPool {
    busy: usize,
    queue: VecDeque<u64>,
}

/// The model: admission in front of one pool for each tenant.
struct QueueModel {
    admission: AdmissionControl,
    generator: ChaCha12Rng,
    streams: Vec<Stream>,
    pools: BTreeMap<&'static str, TargetPool>,
    stall: (MonotonicTime, MonotonicTime),
    requests: BTreeMap<u64, ModelRequest>,
    events: BinaryHeap<Reverse<(MonotonicTime, ModelEvent)>>,
    next_token: u64,
    wakeup: MonotonicTime,
    /// Times at which requests of each stream ended within their deadline.
    good: Vec<Vec<MonotonicTime>>,
    hints: Vec<Duration>,
    latencies: Vec<(MonotonicTime, Duration)>,
}

fn service(tenant: &str) -> ServiceKey {
    ServiceKey { tenant: id(tenant), service: id("console") }
}

fn seconds(count: f64) -> MonotonicTime {
    MonotonicTime((count * 1e6) as u64)
}

impl QueueModel {
    fn new(seed: u64, settings: AdmissionSettings, streams: &[Stream]) -> Self {
        Self {
            admission: AdmissionControl::new(settings, ChaCha12Rng::seed_from_u64(seed)),
            generator: ChaCha12Rng::seed_from_u64(seed + 1),
            streams: streams.to_vec(),
            pools: BTreeMap::new(),
            stall: (MonotonicTime(u64::MAX), MonotonicTime(u64::MAX)),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            next_token: 0,
            wakeup: MonotonicTime(0),
            good: vec![Vec::new(); streams.len()],
            hints: Vec::new(),
            latencies: Vec::new(),
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn run(&mut self, until: f64) {
        for stream in 0..self.streams.len() {
            self.events.push(Reverse((MonotonicTime(0), ModelEvent::Arrive(stream))));
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now >= seconds(until) {
                return;
            }
            match event {
                ModelEvent::Arrive(stream) => self.arrive(now, stream),
                ModelEvent::Finish(token) => self.finish(now, token),
                ModelEvent::Expire(token) => self.expire(now, token),
                ModelEvent::Wake => {}
            }
            while let Some(decision) = self.admission.next_decision(now) {
                self.perform(now, decision);
            }
            if let Some(wakeup) = self.admission.next_wakeup()
                && (self.wakeup <= now || wakeup < self.wakeup)
            {
                self.wakeup = wakeup.max(now);
                self.events.push(Reverse((self.wakeup, ModelEvent::Wake)));
            }
        }
    }

    fn arrive(&mut self, now: MonotonicTime, stream: usize) {
        let Stream { tenant, priority, rate } = self.streams[stream];
        let next = now + self.exponential(1.0 / rate);
        self.events.push(Reverse((next, ModelEvent::Arrive(stream))));
        let token = self.next_token;
        self.next_token += 1;
        self.requests.insert(token, ModelRequest { stream, arrival: now, started: now });
        let request = AdmissionRequest {
            token: QueryToken(token),
            service: service(tenant),
            priority,
            deadline: now + DEADLINE,
        };
        let decision = self.admission.arrive(now, request);
        self.perform(now, decision);
    }

    fn perform(&mut self, now: MonotonicTime, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Wait(_) => {}
            AdmissionDecision::Shed(token, hint) => {
                self.requests.remove(&token.0);
                self.hints.push(hint);
            }
            AdmissionDecision::Start(token) => {
                let request = self.requests.get_mut(&token.0).expect("a known request");
                request.started = now;
                self.events
                    .push(Reverse((request.arrival + DEADLINE, ModelEvent::Expire(token.0))));
                let tenant = self.streams[request.stream].tenant;
                self.pools.entry(tenant).or_default().queue.push_back(token.0);
                self.serve(now, tenant);
            }
        }
    }

    fn serve(&mut self, now: MonotonicTime, tenant: &'static str) {
        loop {
            let Some(pool) = self.pools.get_mut(tenant) else { return };
            if pool.busy >= SLOTS {
                return;
            }
            let Some(token) = pool.queue.pop_front() else { return };
            if !self.requests.contains_key(&token) {
                continue;
            }
            pool.busy += 1;
            let mut end = now + self.exponential(SERVICE_SECONDS);
            if now < self.stall.1 && end > self.stall.0 {
                end = self.stall.1 + end.since(self.stall.0.max(now));
            }
            self.events.push(Reverse((end, ModelEvent::Finish(token))));
        }
    }

    /// A slot is free again; the answer of a request whose deadline passed is worth nothing.
    fn finish(&mut self, now: MonotonicTime, token: u64) {
        let tenant = match self.requests.remove(&token) {
            Some(request) => {
                let tenant = self.streams[request.stream].tenant;
                let latency = now.since(request.started);
                self.admission.note_latency(now, &service(tenant), latency);
                self.admission.release(now, &service(tenant), WorkEnd::InTime, latency);
                self.good[request.stream].push(now);
                self.latencies.push((now, now.since(request.arrival)));
                tenant
            }
            // One pool exists in the tests in which requests expire.
            None => self.streams[0].tenant,
        };
        let pool = self.pools.get_mut(tenant).expect("a pool");
        pool.busy -= 1;
        self.serve(now, tenant);
    }

    fn expire(&mut self, now: MonotonicTime, token: u64) {
        let Some(request) = self.requests.remove(&token) else { return };
        let tenant = self.streams[request.stream].tenant;
        let latency = now.since(request.started);
        self.admission.release(now, &service(tenant), WorkEnd::DeadlineMissed, latency);
    }

    /// Requests per second that ended in time between two moments.
    fn goodput(&self, stream: usize, from: f64, to: f64) -> f64 {
        let range = seconds(from)..seconds(to);
        self.good[stream].iter().filter(|end| range.contains(end)).count() as f64 / (to - from)
    }
}

fn single(rate: f64) -> Stream {
    Stream { tenant: "quindio", priority: 5, rate }
}

fn goodput_at(seed: u64, settings: &AdmissionSettings, load: f64) -> f64 {
    let mut model = QueueModel::new(seed, settings.clone(), &[single(load * CAPACITY)]);
    model.run(30.0);
    model.goodput(0, 5.0, 30.0)
}

/// Guards against goodput that falls when more arrives than can be served.
#[rstest]
#[case(21)]
#[case(22)]
#[case(23)]
fn goodput_stays_near_its_peak_at_two_and_five_times_capacity(#[case] seed: u64) {
    let settings = AdmissionSettings::default();
    let loads = [0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 5.0];
    let goodputs = loads.map(|load| goodput_at(seed, &settings, load));
    println!("seed {seed}: goodput by load {loads:?}: {goodputs:.0?}");
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    assert!(peak >= 0.95 * CAPACITY, "peak {peak}");
    assert!(goodputs[6] >= 0.95 * peak, "at 2x: {goodputs:?}");
    assert!(goodputs[7] >= 0.95 * peak, "at 5x: {goodputs:?}");
}

/// Guards against a model that cannot show a collapse: without a limit, goodput must collapse in it.
#[test]
fn the_model_collapses_without_admission() {
    let unlimited = AdmissionSettings {
        initial_limit: 1e9,
        min_limit: 1e9,
        max_limit: 1e9,
        entry_limit: usize::MAX,
        ..AdmissionSettings::default()
    };
    let goodput = goodput_at(21, &unlimited, 2.0);
    assert!(goodput < 0.5 * CAPACITY, "goodput {goodput}");
}

/// Guards against overload that stands after its cause has ended.
#[rstest]
#[case(0.9)]
#[case(2.0)]
fn ten_seconds_of_stall_leave_no_overload(#[case] load: f64) {
    let mut model = QueueModel::new(31, AdmissionSettings::default(), &[single(load * CAPACITY)]);
    model.stall = (seconds(20.0), seconds(30.0));
    model.run(45.0);
    let before = model.goodput(0, 10.0, 20.0);
    let after = model.goodput(0, 33.0, 45.0);
    println!("load {load}: goodput {before:.0} before and {after:.0} after the stall");
    assert!(after >= 0.95 * before, "{before} before, {after} after");
}

/// Guards against a high priority that is shed while a low one is served.
#[test]
fn high_priority_is_shed_last() {
    let high = Stream { tenant: "quindio", priority: 9, rate: 0.8 * CAPACITY };
    let low = Stream { tenant: "quindio", priority: 1, rate: 1.2 * CAPACITY };
    let mut model = QueueModel::new(41, AdmissionSettings::default(), &[high, low]);
    model.run(30.0);
    let goodput = model.goodput(0, 5.0, 30.0);
    assert!(goodput >= 0.95 * high.rate, "high priority: {goodput} of {}", high.rate);
    assert!(model.goodput(1, 5.0, 30.0) > 0.0, "the rest is used");
}

/// Guards against a tenant that takes the whole entry from another one of the same priority.
#[test]
fn a_flooding_tenant_does_not_starve_another() {
    let settings = AdmissionSettings { entry_limit: 24, ..AdmissionSettings::default() };
    let flood = Stream { tenant: "quindio", priority: 5, rate: 5.0 * CAPACITY };
    let modest = Stream { tenant: "vestera", priority: 5, rate: 0.3 * CAPACITY };
    let mut model = QueueModel::new(51, settings, &[flood, modest]);
    model.run(30.0);
    let goodput = model.goodput(1, 5.0, 30.0);
    assert!(goodput >= 0.95 * modest.rate, "{goodput} of {}", modest.rate);
}

/// Guards against waits that use up the time in which the request could have run.
#[test]
fn no_request_waits_longer_than_the_bound() {
    let mut model = QueueModel::new(61, AdmissionSettings::default(), &[single(5.0 * CAPACITY)]);
    model.run(20.0);
    let mut latencies: Vec<_> = model.latencies.iter().map(|(_, latency)| *latency).collect();
    latencies.sort_unstable();
    let p99 = latencies[latencies.len() * 99 / 100];
    assert!(p99 <= DEADLINE, "p99 of served requests: {p99:?}");
    assert!(model.hints.iter().all(|hint| *hint >= millis(10)));
    let distinct: std::collections::BTreeSet<_> = model.hints.iter().collect();
    assert!(distinct.len() > model.hints.len() / 2, "the hints are jittered");
}

/// Guards against shed requests that cost their caller, and against responses without a hint.
#[test]
fn the_machine_sheds_with_reason_hint_and_refund() {
    let settings = EntrySettings {
        admission: AdmissionSettings { initial_limit: 4.0, ..AdmissionSettings::default() },
        ..EntrySettings::default()
    };
    // Base share of 100 units/s, so that the refund decides whether later requests are admitted.
    let mut bench = EntryBench::with_settings(1, settings, sheet(2800.0, 2800.0));
    bench.advance(millis(600));
    bench.take();
    bench.engine.script().width = 5;
    let running: Vec<_> = (0..4).map(|_| bench.search()).collect();
    assert_eq!(bench.engine.script().searches.len(), 4);
    let waiting: Vec<_> = (0..4).map(|_| bench.search()).collect();
    bench.advance(millis(150));
    for token in waiting {
        let response = bench.response(token).expect("a response");
        assert_eq!(response.outcome, RequestOutcome::NotRun);
        assert_eq!(response.reason, Some(ResponseReason::Overloaded));
        assert!(response.retry_after.is_some());
    }
    for token in running {
        bench.report(EngineReport::Search(token, search_result(1.0, &[token.0])));
    }
    // 60 earned, 20 spent: eight more cost 40.
    let admitted = (0..4).filter(|_| bench.probe_search().is_none()).count();
    assert_eq!(admitted, 4);
}

/// Guards against a waiting request that starts after its caller went away.
#[test]
fn a_hangup_leaves_the_queue() {
    let settings = EntrySettings {
        admission: AdmissionSettings { initial_limit: 4.0, ..AdmissionSettings::default() },
        ..EntrySettings::default()
    };
    let mut bench = EntryBench::with_settings(1, settings, sheet(1e9, 1e9));
    bench.advance(millis(100));
    let running: Vec<_> = (0..4).map(|_| bench.search()).collect();
    let waiting = bench.search();
    bench.event(EntryEvent::Hangup(waiting));
    bench.report(EngineReport::Search(running[0], search_result(1.0, &[1])));
    assert_eq!(bench.engine.script().searches.len(), 4);
    assert!(bench.engine.script().cancelled.is_empty());
}
