//! A queue per target with slots, on a seeded clock, to compare target policies on the same requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::entry::latency::{LatencyDistribution, LatencySettings};
use hickoryspan_core::gateway::targets::cost_model::{RequestTraits, WorkEstimate};
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetPhase,
};
use hickoryspan_core::gateway::targets::outcomes::{AttemptFailure, AttemptOutcome, ReportedLoad};
use hickoryspan_core::gateway::targets::selection::{
    PlacedRequest, SelectionSettings, TargetPolicy, TargetSelector,
};
use hickoryspan_core::types::{
    FailureDomain, MonotonicTime, RequestFingerprint, ServiceId, TargetId, WallTime,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

pub const SLOTS: usize = 2;
const QUEUE_LENGTH: usize = 12;
const TARGETS: usize = 3;
const MAX_ATTEMPTS: usize = 3;
const NEAR_MILLIS: f64 = 0.3;
const FAR_MILLIS: f64 = 1.2;
/// Retry budget: share of the requests, and attempts a second beside it.
const BUDGET_SHARE: f64 = 0.2;
const BUDGET_PER_SECOND: f64 = 20.0;

/// Requests of one route.
#[derive(Clone)]
pub struct ClassLoad {
    pub route: &'static str,
    pub mean: f64,
    pub objective: f64,
    /// Share of all requests.
    pub share: f64,
    /// Part of the requests that are of one account, and how much heavier these are.
    pub heavy_account: (f64, f64),
    /// Factor on the rate between two times in seconds.
    pub burst: Option<(f64, f64, f64)>,
}

/// A part of the time in which a target works at another speed; each target at its own times.
#[derive(Clone, Copy)]
pub struct Disturbance {
    pub every: f64,
    pub length: f64,
    /// Factor on the time that work takes; infinite in a pause.
    pub factor: f64,
}

#[derive(Clone)]
pub struct Pattern {
    pub classes: Vec<ClassLoad>,
    pub entries: usize,
    pub per_second: f64,
    pub seconds: f64,
    pub speeds: [f64; TARGETS],
    pub disturbances: Vec<Disturbance>,
    /// Amplitude and period in seconds of the rate.
    pub wave: (f64, f64),
    /// Time in seconds at which the first target restarts cold, and for how long it is cold.
    pub cold: Option<(f64, f64)>,
}

#[derive(Clone)]
struct Query {
    at: f64,
    entry: usize,
    class: usize,
    work: f64,
    heavy: bool,
}

/// What callers of one route saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    pub p50: f64,
    pub p99: f64,
    pub in_time: f64,
    /// Attempts beyond the first, per request.
    pub extra: f64,
    /// Share of the variance of the work that was known before sending.
    pub explained: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Done(usize),
    Answer(usize),
    Hedge(usize),
}

#[derive(PartialEq)]
struct Timed(f64, usize, Event);

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct Attempt {
    query: usize,
    target: usize,
    placed: PlacedRequest,
    sent_at: f64,
    ended: bool,
    shed: bool,
    load: Option<ReportedLoad>,
}

#[derive(Default)]
struct Queue {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

#[derive(Default)]
struct Progress {
    answered_at: Option<f64>,
    attempts: Vec<usize>,
    estimate: Option<WorkEstimate>,
}

struct Entry {
    selector: TargetSelector,
    latencies: Vec<LatencyDistribution>,
}

pub struct Model {
    pattern: Pattern,
    policy: TargetPolicy,
    queries: Vec<Query>,
    progress: Vec<Progress>,
    attempts: Vec<Attempt>,
    queues: [Queue; TARGETS],
    entries: Vec<Entry>,
    events: BinaryHeap<Reverse<Timed>>,
    count: usize,
    extra: Vec<usize>,
}

fn clock(millis: f64) -> MonotonicTime {
    MonotonicTime((millis * 1_000.0) as u64)
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

fn service() -> ServiceId {
    ServiceId::new("search").expect("a service name")
}

fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(format!("d{}", index % TARGETS)).expect("a domain name")
}

fn announcement(index: usize, started: u64, cold: Duration) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId::new(format!("t{index}")).expect("a target name"),
        age: AnnouncementAge { started: WallTime(started), sequence: 1 },
        service: service(),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        domain: domain(index),
        slots: SLOTS as u32,
        phase: TargetPhase::Ready,
        cold,
    }
}

/// Draws the requests of a pattern. Both policies get the same ones.
fn draw_queries(pattern: &Pattern, seed: u64) -> Vec<Query> {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let peak = 1.0 + pattern.wave.0;
    let highest =
        |class: &ClassLoad| class.share * class.burst.map_or(1.0, |burst| burst.2.max(1.0));
    let total: f64 = pattern.classes.iter().map(highest).sum::<f64>() * peak;
    let mut queries = Vec::new();
    let mut at = 0.0;
    while at < pattern.seconds {
        at -= generator.random::<f64>().max(1e-12).ln() / (pattern.per_second * total);
        let phase = std::f64::consts::TAU * at / pattern.wave.1;
        let level = (1.0 + pattern.wave.0 * phase.sin()) / peak;
        let mut draw = generator.random::<f64>() * total / peak;
        let in_wave = generator.random::<f64>() < level;
        let rate = |class: &ClassLoad| {
            let burst = class.burst.filter(|(from, to, _)| (*from..*to).contains(&at));
            class.share * burst.map_or(1.0, |burst| burst.2)
        };
        let class = pattern.classes.iter().position(|class| {
            draw -= rate(class);
            draw < 0.0
        });
        let (Some(class), true) = (class, in_wave) else { continue };
        let load = &pattern.classes[class];
        let heavy = generator.random::<f64>() < load.heavy_account.0;
        let normal = (-2.0 * generator.random::<f64>().max(1e-12).ln()).sqrt()
            * (std::f64::consts::TAU * generator.random::<f64>()).cos();
        let tail = if generator.random::<f64>() < 0.01 { 5.0 } else { 1.0 };
        let account = if heavy { load.heavy_account.1 } else { 1.0 };
        let work = load.mean * account * tail * (0.35 * normal - 0.35 * 0.35 / 2.0).exp();
        let entry = generator.random_range(0..pattern.entries);
        queries.push(Query { at: at * 1_000.0, entry, class, work, heavy });
    }
    queries
}

impl Model {
    pub fn new(pattern: &Pattern, policy: TargetPolicy, seed: u64) -> Self {
        let queries = draw_queries(pattern, seed);
        let entries = (0..pattern.entries).map(|index| {
            let settings = SelectionSettings { policy, ..Default::default() };
            let generator = ChaCha12Rng::seed_from_u64(seed * 1_000 + index as u64);
            let mut selector = TargetSelector::new(settings, domain(index), generator);
            for target in 0..TARGETS {
                selector.put(clock(0.0), announcement(target, 1, Duration::ZERO));
            }
            let latency = |class: &ClassLoad| {
                LatencyDistribution::new(LatencySettings {
                    hedge_quantile: 0.9,
                    min_records: 40,
                    initial: span(class.objective / 3.0),
                })
            };
            Entry { selector, latencies: pattern.classes.iter().map(latency).collect() }
        });
        Self {
            policy,
            progress: queries.iter().map(|_| Progress::default()).collect(),
            attempts: Vec::new(),
            queues: Default::default(),
            entries: entries.collect(),
            events: BinaryHeap::new(),
            count: 0,
            extra: vec![0; pattern.classes.len()],
            queries,
            pattern: pattern.clone(),
        }
    }

    pub fn run(mut self) -> Vec<ClassResult> {
        for index in 0..self.queries.len() {
            self.push(self.queries[index].at, Event::Arrive(index));
        }
        let mut restart = self.pattern.cold;
        while let Some(Reverse(Timed(now, _, event))) = self.events.pop() {
            if let Some((at, length)) = restart.filter(|(at, _)| now >= at * 1_000.0) {
                for entry in &mut self.entries {
                    let cold = announcement(0, 2, span(length * 1_000.0));
                    entry.selector.put(clock(at * 1_000.0), cold);
                }
                restart = None;
            }
            match event {
                Event::Arrive(query) => self.arrive(now, query),
                Event::Reach(attempt) => self.reach(now, attempt),
                Event::Done(attempt) => self.done(now, attempt),
                Event::Answer(attempt) => self.answer(now, attempt),
                Event::Hedge(query) => self.hedge(now, query),
            }
        }
        self.results()
    }

    fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.events.push(Reverse(Timed(at, self.count, event)));
    }

    fn traits(&self, query: &Query) -> RequestTraits {
        let class = &self.pattern.classes[query.class];
        let account = if query.heavy { "heavy" } else { "usual" };
        // Requests are not repeated, as with look-ups that differ from caller to caller.
        let mut fingerprint = [0; 32];
        fingerprint[..8].copy_from_slice(&query.at.to_bits().to_le_bytes());
        RequestTraits {
            route: class.route.into(),
            account: Some(Arc::from(account)),
            body_bytes: 0,
            fingerprint: RequestFingerprint(fingerprint),
            prior: span(class.objective / 3.0),
        }
    }

    fn network(&self, query: usize, target: usize) -> f64 {
        let near = self.queries[query].entry % TARGETS == target;
        if near { NEAR_MILLIS } else { FAR_MILLIS }
    }

    fn arrive(&mut self, now: f64, query: usize) {
        let traits = self.traits(&self.queries[query]);
        let entry = &mut self.entries[self.queries[query].entry];
        self.progress[query].estimate = entry.selector.estimate(clock(now), &traits);
        self.send(now, query);
    }

    fn send(&mut self, now: f64, query: usize) {
        let Query { entry, class, .. } = self.queries[query];
        let progress = &self.progress[query];
        let tried = self.tried(query);
        let selector = &mut self.entries[entry].selector;
        let placed =
            selector.choose_placed(clock(now), &service(), &tried, progress.estimate.as_ref());
        let Some(placed) = placed else { return };
        let name = placed.target.target.as_str();
        let target = name[1..].parse().expect("the number of a target");
        let attempt = self.attempts.len();
        self.extra[class] += usize::from(!tried.is_empty());
        self.progress[query].attempts.push(attempt);
        let (ended, shed, load) = (false, false, None);
        self.attempts.push(Attempt { query, target, placed, sent_at: now, ended, shed, load });
        self.push(now + self.network(query, target), Event::Reach(attempt));
        let hedge_at = now + self.hedge_delay(query);
        self.push(hedge_at, Event::Hedge(query));
    }

    fn tried(&self, query: usize) -> Vec<TargetId> {
        let attempts = self.progress[query].attempts.iter();
        attempts.map(|attempt| self.attempts[*attempt].placed.target.target.clone()).collect()
    }

    fn hedge_delay(&self, query: usize) -> f64 {
        let Query { entry, class, .. } = self.queries[query];
        let route = self.entries[entry].latencies[class].quantiles().hedge;
        let own =
            self.progress[query].estimate.map_or(route, |estimate| estimate.hedge_delay(route));
        let latest = self.pattern.classes[class].objective * 0.45;
        (own.as_secs_f64() * 1_000.0).clamp(4.0, latest)
    }

    fn hedge(&mut self, now: f64, query: usize) {
        let Query { entry, .. } = self.queries[query];
        let progress = &self.progress[query];
        let is_open = progress.attempts.iter().any(|attempt| !self.attempts[*attempt].ended);
        let extra: usize = self.extra.iter().sum();
        let budget = BUDGET_SHARE * query as f64 + BUDGET_PER_SECOND * now / 1_000.0;
        let has_budget = extra as f64 <= budget;
        if progress.answered_at.is_some() || !is_open || progress.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        let tried = self.tried(query);
        let Some(last) = progress.attempts.last() else { return };
        let last = &self.attempts[*last];
        let selector = &mut self.entries[entry].selector;
        selector.note_overdue(clock(now), &last.placed.target.target);
        let pays = match (&progress.estimate, &last.placed.placement) {
            (Some(estimate), Some(placement)) => {
                selector.hedge_pays(clock(now), &service(), &tried, estimate, placement.ticket)
            }
            _ => true,
        };
        if has_budget && pays && selector.has_alternative(clock(now), &service(), &tried) {
            self.send(now, query);
        } else {
            let delay = self.hedge_delay(query);
            let next = now + if pays { delay } else { delay / 4.0 };
            self.push(next, Event::Hedge(query));
        }
    }

    fn reach(&mut self, now: f64, attempt: usize) {
        let Attempt { query, target, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        if self.queues[target].waiting.len() >= QUEUE_LENGTH {
            self.attempts[attempt].shed = true;
            self.push(now + self.network(query, target), Event::Answer(attempt));
            return;
        }
        self.queues[target].waiting.push_back(attempt);
        self.start_next(now, target);
    }

    fn start_next(&mut self, now: f64, target: usize) {
        while self.queues[target].running.len() < SLOTS
            && let Some(attempt) = self.queues[target].waiting.pop_front()
        {
            self.queues[target].running.push(attempt);
            let work = self.queries[self.attempts[attempt].query].work;
            self.push(self.finish_time(now, target, work), Event::Done(attempt));
        }
    }

    /// Returns when a target has done work that starts now.
    fn finish_time(&self, now: f64, target: usize, work: f64) -> f64 {
        let mut left = work;
        let mut at = now;
        while left > 0.0 {
            left -= 1.0 / self.slowness(at, target);
            at += 1.0;
        }
        at + left * self.slowness(at - 1.0, target).min(1e6)
    }

    fn slowness(&self, now: f64, target: usize) -> f64 {
        let seconds = now / 1_000.0;
        let mut slowness = self.pattern.speeds[target];
        for (index, disturbance) in self.pattern.disturbances.iter().enumerate() {
            let Disturbance { every, length, factor } = *disturbance;
            let offset = every * (0.17 + 0.31 * target as f64 + 0.13 * index as f64);
            if (seconds + offset) % every < length {
                slowness *= factor;
            }
        }
        let is_cold =
            |(at, length): (f64, f64)| target == 0 && (at..at + length).contains(&seconds);
        if self.pattern.cold.is_some_and(is_cold) { slowness * 1.6 } else { slowness }
    }

    fn done(&mut self, now: f64, attempt: usize) {
        let Attempt { query, target, .. } = self.attempts[attempt];
        let queue = &mut self.queues[target];
        let Some(index) = queue.running.iter().position(|running| *running == attempt) else {
            return;
        };
        let (running, waiting) = (queue.running.len() as u32, queue.waiting.len() as u32);
        let slots = SLOTS as u32;
        let load = ReportedLoad { running, waiting, slots, latency_percent: 100 };
        self.attempts[attempt].load = Some(load);
        queue.running.swap_remove(index);
        self.start_next(now, target);
        self.push(now + self.network(query, target), Event::Answer(attempt));
    }

    fn answer(&mut self, now: f64, attempt: usize) {
        let Attempt { query, shed, ended, load, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        if shed {
            self.end(now, attempt, AttemptOutcome::Failure(AttemptFailure::Shed));
            if self.progress[query].attempts.len() < MAX_ATTEMPTS {
                self.send(now, query);
            }
            return;
        }
        let elapsed = span(now - self.attempts[attempt].sent_at);
        let Query { entry, class, .. } = self.queries[query];
        let entry = &mut self.entries[entry];
        if let Some(load) = load {
            let target = &self.attempts[attempt].placed.target.target;
            entry.selector.note_load(clock(now), target, load);
        }
        entry.latencies[class].record(elapsed);
        self.end(now, attempt, AttemptOutcome::Success(elapsed));
        self.progress[query].answered_at.get_or_insert(now);
        for other in self.progress[query].attempts.clone() {
            if !self.attempts[other].ended {
                self.cancel(now, other);
            }
        }
    }

    fn cancel(&mut self, now: f64, attempt: usize) {
        let elapsed = span(now - self.attempts[attempt].sent_at);
        self.end(now, attempt, AttemptOutcome::Cancelled(elapsed));
        let target = self.attempts[attempt].target;
        self.queues[target].running.retain(|running| *running != attempt);
        self.queues[target].waiting.retain(|waiting| *waiting != attempt);
        self.start_next(now, target);
    }

    fn end(&mut self, now: f64, attempt: usize, outcome: AttemptOutcome) {
        self.attempts[attempt].ended = true;
        let Attempt { query, placed, .. } = &self.attempts[attempt];
        let query = &self.queries[*query];
        let traits = self.traits(query);
        let Entry { selector, latencies } = &mut self.entries[query.entry];
        let median = latencies[query.class].quantiles().median;
        if let Some(placement) = &placed.placement {
            let target = &placed.target.target;
            selector.end_work(clock(now), target, placement.ticket, &traits, Some(outcome));
        }
        selector.finish(clock(now), &placed.target.target, outcome, median);
    }

    fn results(&self) -> Vec<ClassResult> {
        let classes = self.pattern.classes.iter().enumerate();
        classes.map(|(index, class)| self.class_result(index, class)).collect()
    }

    fn class_result(&self, index: usize, class: &ClassLoad) -> ClassResult {
        let of_class = self.queries.iter().zip(&self.progress);
        let of_class = of_class.filter(|(query, _)| query.class == index);
        let mut times: Vec<f64> = of_class
            .map(|(query, progress)| progress.answered_at.map_or(1e5, |at| at - query.at))
            .collect();
        times.sort_by(f64::total_cmp);
        let count = times.len().max(1);
        let in_time = times.partition_point(|time| *time <= class.objective);
        let explained =
            self.entries.iter().map(|entry| entry.selector.explained_variance(class.route));
        ClassResult {
            p50: times[count / 2],
            p99: times[count * 99 / 100],
            in_time: in_time as f64 / count as f64,
            extra: self.extra[index] as f64 / count as f64,
            explained: match self.policy {
                TargetPolicy::Latency => 0.0,
                TargetPolicy::ExpectedWork => explained.sum::<f64>() / self.entries.len() as f64,
            },
        }
    }
}
