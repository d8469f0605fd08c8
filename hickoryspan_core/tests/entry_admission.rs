//! Goodput under overload, recovery from overload, and fairness of shedding, in a queueing model with an injected
//! clock: open-loop arrivals, a target pool with a fixed number of slots, and a FIFO queue.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::admission::*;

const SLOTS: usize = 20;
const SERVICE_SECONDS: f64 = 0.02;
/// Requests per second that one pool can serve.
const CAPACITY: f64 = SLOTS as f64 / SERVICE_SECONDS;
const DEADLINE: Duration = Duration::from_millis(200);

/// Time step of the model, small compared to service times.
const STEP: Duration = Duration::from_micros(500);

/// A stream of arriving requests. Each tenant has its own target pool.
#[derive(Clone, Copy)]
struct Stream {
    tenant: &'static str,
    priority: u8,
    rate: f64,
}

struct Job {
    stream: usize,
    arrival: MonotonicTime,
    started: MonotonicTime,
    /// Remaining service time. Jobs take free slots in order.
    left: Duration,
    /// Whether the deadline has passed. An expired job keeps its slot, but does not count as goodput.
    is_expired: bool,
}

struct QueueModel {
    admission: AdmissionControl,
    generator: ChaCha12Rng,
    streams: Vec<Stream>,
    next_arrivals: Vec<MonotonicTime>,
    now: MonotonicTime,
    stall: std::ops::Range<MonotonicTime>,
    offered: BTreeMap<QueryToken, (usize, MonotonicTime)>,
    jobs: Vec<Job>,
    next_token: u64,
    /// Times at which jobs ended before their deadline, by stream.
    good: Vec<Vec<MonotonicTime>>,
    retry_delays: Vec<Duration>,
    waits: Vec<Duration>,
    /// Number of requests shed on arrival, and after a wait.
    shed: [usize; 2],
    sojourns: Vec<Duration>,
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
            next_arrivals: vec![MonotonicTime(0); streams.len()],
            now: MonotonicTime(0),
            stall: MonotonicTime(0)..MonotonicTime(0),
            offered: BTreeMap::new(),
            jobs: Vec::new(),
            next_token: 0,
            good: vec![Vec::new(); streams.len()],
            retry_delays: Vec::new(),
            waits: Vec::new(),
            shed: [0; 2],
            sojourns: Vec::new(),
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn service(&self, stream: usize) -> ServiceKey {
        ServiceKey { tenant: id(self.streams[stream].tenant), service: id("console") }
    }

    fn run(&mut self, until: f64) {
        while self.now < seconds(until) {
            self.now = self.now + STEP;
            self.serve();
            self.expire();
            for stream in 0..self.streams.len() {
                while self.next_arrivals[stream] <= self.now {
                    let gap = self.exponential(1.0 / self.streams[stream].rate);
                    self.next_arrivals[stream] = self.next_arrivals[stream] + gap;
                    self.arrive(stream);
                }
            }
            while let Some(decision) = self.admission.next_decision(self.now) {
                self.perform(decision);
            }
        }
    }

    fn arrive(&mut self, stream: usize) {
        let token = QueryToken(self.next_token);
        self.next_token += 1;
        self.offered.insert(token, (stream, self.now));
        let request = AdmissionRequest {
            token,
            service: self.service(stream),
            priority: self.streams[stream].priority,
            deadline: self.now + DEADLINE,
        };
        let decision = self.admission.admit(self.now, request);
        self.perform(decision);
    }

    fn perform(&mut self, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Wait(_) => {}
            AdmissionDecision::Shed(token, delay) => {
                let (_, arrival) = self.offered.remove(&token).expect("an offered request");
                self.shed[usize::from(self.now > arrival)] += 1;
                self.retry_delays.push(delay);
            }
            AdmissionDecision::Start(token) => {
                let (stream, arrival) = self.offered.remove(&token).expect("an offered request");
                let left = self.exponential(SERVICE_SECONDS);
                let started = self.now;
                self.waits.push(started.since(arrival));
                self.jobs.push(Job { stream, arrival, started, left, is_expired: false });
            }
        }
    }

    /// Serves the first jobs of each pool, which have its slots. Expired jobs without a slot were already removed.
    fn serve(&mut self) {
        if self.stall.contains(&self.now) {
            return;
        }
        let mut busy: BTreeMap<&str, usize> = BTreeMap::new();
        for job in &mut self.jobs {
            let slots = busy.entry(self.streams[job.stream].tenant).or_default();
            *slots += 1;
            if *slots <= SLOTS {
                job.left = job.left.saturating_sub(STEP);
            }
        }
        let ended: Vec<Job> = self.jobs.extract_if(.., |job| job.left.is_zero()).collect();
        for job in ended.into_iter().filter(|job| !job.is_expired) {
            let latency = self.now.since(job.started);
            let service = self.service(job.stream);
            self.admission.record_latency(self.now, &service, latency);
            self.admission.release(self.now, &service, WorkOutcome::InTime, latency);
            self.good[job.stream].push(self.now);
            self.sojourns.push(latency);
        }
    }

    fn expire(&mut self) {
        let mut busy: BTreeMap<&str, usize> = BTreeMap::new();
        let mut late = Vec::new();
        let (now, streams) = (self.now, &self.streams);
        self.jobs.retain_mut(|job| {
            let slots = busy.entry(streams[job.stream].tenant).or_default();
            let is_late = now >= job.arrival + DEADLINE;
            if is_late && !job.is_expired {
                late.push((job.stream, now.since(job.started)));
                job.is_expired = true;
            }
            let keeps_slot = *slots < SLOTS;
            *slots += usize::from(keeps_slot || !is_late);
            keeps_slot || !is_late
        });
        for (stream, latency) in late {
            let service = self.service(stream);
            self.admission.release(now, &service, WorkOutcome::TimedOut, latency);
        }
    }

    /// Returns the rate of requests that ended before their deadline between two times.
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

/// Guards against goodput that falls when more requests arrive than can be served.
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

/// Checks the model itself: without a concurrency limit, goodput must collapse.
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

/// Guards against overload that persists after its cause has ended.
#[rstest]
#[case(0.9)]
#[case(2.0)]
fn ten_seconds_of_stall_leave_no_overload(#[case] load: f64) {
    let mut model = QueueModel::new(31, AdmissionSettings::default(), &[single(load * CAPACITY)]);
    model.stall = seconds(20.0)..seconds(30.0);
    model.run(45.0);
    let before = model.goodput(0, 10.0, 20.0);
    let after = model.goodput(0, 33.0, 45.0);
    println!("load {load}: goodput {before:.0} before and {after:.0} after the stall");
    assert!(after >= 0.95 * before, "{before} before, {after} after");
}

/// Guards against shedding requests of high priority while those of low priority are served.
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

/// Guards against a tenant that uses up the entry's limit at the expense of another tenant of the same priority.
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

/// Guards against waits that leave too little time to run the request, and against retry delays that make all
/// callers retry at once.
#[test]
fn waits_are_bounded_and_retry_delays_are_spread() {
    let mut model = QueueModel::new(61, AdmissionSettings::default(), &[single(5.0 * CAPACITY)]);
    model.run(20.0);
    let longest = model.waits.iter().max().expect("started requests");
    assert!(*longest <= DEADLINE / 5 + STEP, "a wait of {longest:?}");
    assert!(*longest > Duration::ZERO, "some requests waited");
    assert!(model.shed[0] > 9 * model.shed[1], "shed on arrival, after a wait: {:?}", model.shed);
    assert!(model.retry_delays.iter().all(|delay| *delay >= millis(10)));
    let distinct: BTreeSet<_> = model.retry_delays.iter().collect();
    assert!(distinct.len() > model.retry_delays.len() / 2, "the retry delays are jittered");
}

/// Guards against a baseline latency that includes queueing because there was a queue from the start.
#[test]
fn a_queue_at_the_start_is_not_the_baseline() {
    let settings = AdmissionSettings { initial_limit: 100.0, ..AdmissionSettings::default() };
    let mut model = QueueModel::new(71, settings, &[single(2.0 * CAPACITY)]);
    model.run(10.0);
    model.sojourns.clear();
    model.run(20.0);
    let total: Duration = model.sojourns.iter().sum();
    let mean = total / model.sojourns.len() as u32;
    assert!(mean.as_secs_f64() <= 2.5 * SERVICE_SECONDS, "mean time at the targets: {mean:?}");
}

/// Guards against a limit that stays high while targets are stalled and no latency can be measured.
#[test]
fn missed_deadlines_alone_lower_the_limit() {
    let settings = AdmissionSettings { queue_capacity: 0, ..AdmissionSettings::default() };
    let mut admission = AdmissionControl::new(settings, ChaCha12Rng::seed_from_u64(81));
    let service = ServiceKey { tenant: id("quindio"), service: id("console") };
    let mut started = 0;
    for round in 0..30 {
        let now = MonotonicTime(round * 200_000);
        let decisions = (0..100).map(|index| {
            let token = QueryToken(round * 100 + index);
            let (service, deadline) = (service.clone(), now + DEADLINE);
            admission.admit(now, AdmissionRequest { token, service, priority: 5, deadline })
        });
        let is_start = |decision: &_| matches!(decision, AdmissionDecision::Start(_));
        started = decisions.filter(is_start).count();
        for _ in 0..started {
            admission.release(now + DEADLINE, &service, WorkOutcome::TimedOut, DEADLINE);
        }
    }
    assert!(started <= 16, "{started} at once after 6 s without an answer in time");
}

/// Guards against shed requests that are charged to their caller, and against refusals without a retry delay.
#[test]
fn the_machine_sheds_with_reason_retry_delay_and_refund() {
    let settings = EntrySettings {
        admission: AdmissionSettings { initial_limit: 4.0, ..AdmissionSettings::default() },
        ..EntrySettings::default()
    };
    // The base share is 100 units/s, so that later requests are admitted only with the refund.
    let mut harness = EntryHarness::with_settings(1, settings, sheet(2800.0, 2800.0));
    harness.advance(millis(600));
    harness.take();
    harness.engine.script().width = 5;
    let running: Vec<_> = (0..4).map(|_| harness.search()).collect();
    assert_eq!(harness.engine.script().searches.len(), 4);
    let waiting: Vec<_> = (0..4).map(|_| harness.search()).collect();
    harness.advance(millis(150));
    for token in waiting {
        let response = harness.response(token).expect("a response");
        assert_eq!(response.outcome, RequestOutcome::NotRun);
        assert_eq!(response.reason, Some(ResponseReason::Overloaded));
        assert!(response.retry_after.is_some());
    }
    for token in running {
        harness.report(EngineReport::Search(token, search_result(1.0, &[token.0])));
    }
    // 75 units earned, 20 spent and 20 refunded. Four more requests cost 40, which are available only with the
    // refund.
    harness.engine.script().width = 10;
    let admitted = (0..4).filter(|_| harness.probe_search().is_none()).count();
    assert_eq!(admitted, 4);
}

/// Guards against a waiting request that starts after its caller disconnected.
#[test]
fn a_disconnect_removes_a_waiting_request() {
    let settings = EntrySettings {
        admission: AdmissionSettings { initial_limit: 4.0, ..AdmissionSettings::default() },
        ..EntrySettings::default()
    };
    let mut harness = EntryHarness::with_settings(1, settings, sheet(1e9, 1e9));
    harness.advance(millis(100));
    let running: Vec<_> = (0..4).map(|_| harness.search()).collect();
    let waiting = harness.search();
    harness.event(EntryEvent::CallerDisconnected(waiting));
    harness.report(EngineReport::Search(running[0], search_result(1.0, &[1])));
    assert_eq!(harness.engine.script().searches.len(), 4);
    assert!(harness.engine.script().cancelled.is_empty());
}
