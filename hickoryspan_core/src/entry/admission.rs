//! Admission: a concurrency limit for each service that follows measured latency, a bound for the whole
//! entry, and a short wait queue ordered by priority and fair between tenants.
//!
//! See `docs/design/limits_and_admission.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use crate::membership::ServiceKey;
use crate::types::{MonotonicTime, QueryToken, TenantId};

use super::service_limit::ServiceLimit;

pub use super::service_limit::WorkOutcome;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Limit of a service without measurements.
    pub initial_limit: f64,
    /// Smallest limit; it keeps measurements coming.
    pub min_limit: f64,
    /// Largest limit of a service.
    pub max_limit: f64,
    /// Requests in flight over all services, which bounds the entry's own memory and processor time.
    pub entry_limit: usize,
    /// Shortest time between two changes of a limit.
    pub window: Duration,
    /// Fewest measurements for a change.
    pub window_samples: usize,
    /// Latency at which the limit stops growing, as a multiple of the baseline.
    pub tolerance: f64,
    /// Time between probes, in which the limit is halved to measure the latency without queueing.
    pub probe_interval: Duration,
    /// Time until the first probe; the first measurements may contain queueing.
    pub first_probe: Duration,
    /// Requests that may wait.
    pub queue_capacity: usize,
    /// Longest wait.
    pub wait_limit: Duration,
    /// Longest wait as a part of the time to the deadline.
    pub wait_fraction: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            initial_limit: 32.0,
            min_limit: 4.0,
            max_limit: 1000.0,
            entry_limit: 1024,
            window: Duration::from_millis(100),
            window_samples: 16,
            tolerance: 1.5,
            probe_interval: Duration::from_secs(15),
            first_probe: Duration::from_secs(1),
            queue_capacity: 128,
            wait_limit: Duration::from_millis(100),
            wait_fraction: 0.2,
        }
    }
}

/// A request that asks to be started.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub token: QueryToken,
    /// The service that runs it.
    pub service: ServiceKey,
    /// Its class's priority.
    pub priority: u8,
    /// When its response must be given.
    pub deadline: MonotonicTime,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now.
    Start(QueryToken),
    /// It waits; a later decision follows.
    Wait(QueryToken),
    /// It is shed.
    Shed(QueryToken, Duration),
}

#[derive(Debug)]
struct WaitingRequest {
    request: AdmissionRequest,
    until: MonotonicTime,
}

/// Decides which requests start, wait or are shed.
#[derive(Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    generator: ChaCha12Rng,
    services: BTreeMap<ServiceKey, ServiceLimit>,
    tenants: BTreeMap<TenantId, usize>,
    in_flight: usize,
    waiting: Vec<WaitingRequest>,
    shed: VecDeque<AdmissionDecision>,
    last_shed: Option<MonotonicTime>,
}

impl AdmissionControl {
    /// Admission without measurements.
    pub fn new(settings: AdmissionSettings, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            generator,
            services: BTreeMap::new(),
            tenants: BTreeMap::new(),
            in_flight: 0,
            waiting: Vec::new(),
            shed: VecDeque::new(),
            last_shed: None,
        }
    }

    /// Decides on a new request; other requests may be shed for it, which later decisions tell.
    pub fn admit(&mut self, now: MonotonicTime, request: AdmissionRequest) -> AdmissionDecision {
        let settings = &self.settings;
        let service = self
            .services
            .entry(request.service.clone())
            .or_insert_with(|| ServiceLimit::new(now, settings));
        let has_room = service.has_room(settings) && self.in_flight < settings.entry_limit;
        if has_room && !self.is_awaited(&request) {
            return self.start(&request);
        }
        let until = now + self.longest_wait(now, request.deadline);
        if now + self.estimated_wait(&request) > until || !self.make_place(now, &request) {
            return self.refuse(now, &request);
        }
        let token = request.token;
        self.waiting.push(WaitingRequest { request, until });
        AdmissionDecision::Wait(token)
    }

    /// The next request that starts or is shed, until there is none.
    pub fn next_decision(&mut self, now: MonotonicTime) -> Option<AdmissionDecision> {
        if let Some(decision) = self.shed.pop_front() {
            return Some(decision);
        }
        if let Some(position) = self.waiting.iter().position(|waiting| now >= waiting.until) {
            let waiting = self.waiting.swap_remove(position);
            return Some(self.refuse(now, &waiting.request));
        }
        let position = self.best_waiting()?;
        let waiting = self.waiting.swap_remove(position);
        Some(self.start(&waiting.request))
    }

    /// A started request ended after `latency`.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        service: &ServiceKey,
        end: WorkOutcome,
        latency: Duration,
    ) {
        let Some(limit) = self.services.get_mut(service) else { return };
        limit.note_end(now, end, latency.as_secs_f64(), &self.settings);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.tenants.get_mut(&service.tenant) {
            *count = count.saturating_sub(1);
        }
    }

    /// A sub-request of a service took this long.
    pub fn record_latency(&mut self, now: MonotonicTime, service: &ServiceKey, latency: Duration) {
        if let Some(limit) = self.services.get_mut(service) {
            limit.note_sample(now, latency.as_secs_f64(), &self.settings);
        }
    }

    /// A waiting request's caller went away; returns whether it was waiting.
    pub fn cancel_waiting(&mut self, token: QueryToken) -> bool {
        let position = self.waiting.iter().position(|waiting| waiting.request.token == token);
        position.map(|position| self.waiting.swap_remove(position)).is_some()
    }

    /// Started requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether a request was shed within this time.
    pub fn shed_within(&self, now: MonotonicTime, time: Duration) -> bool {
        self.last_shed.is_some_and(|at| now.since(at) < time)
    }

    /// When a waiting request must be decided.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    fn start(&mut self, request: &AdmissionRequest) -> AdmissionDecision {
        if let Some(limit) = self.services.get_mut(&request.service) {
            limit.start();
        }
        self.in_flight += 1;
        *self.tenants.entry(request.service.tenant.clone()).or_default() += 1;
        AdmissionDecision::Start(request.token)
    }

    fn refuse(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> AdmissionDecision {
        self.last_shed = Some(now);
        let waiting = self.ahead_of(request) as f64;
        let Some(limit) = self.services.get_mut(&request.service) else {
            return AdmissionDecision::Shed(request.token, super::pacing::MAX_HINT);
        };
        let rate = limit.throughput(&self.settings);
        let hint = limit.pacer.hint(now, 1.0, waiting + 1.0, rate, &mut self.generator);
        AdmissionDecision::Shed(request.token, hint)
    }

    fn longest_wait(&self, now: MonotonicTime, deadline: MonotonicTime) -> Duration {
        self.settings.wait_limit.min(deadline.since(now).mul_f64(self.settings.wait_fraction))
    }

    /// Waiting requests that start before a new one with this service and priority.
    fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                waiting.request.service == request.service
                    && waiting.request.priority >= request.priority
            })
            .count()
    }

    fn is_awaited(&self, request: &AdmissionRequest) -> bool {
        self.ahead_of(request) > 0
    }

    fn estimated_wait(&self, request: &AdmissionRequest) -> Duration {
        let Some(limit) = self.services.get(&request.service) else { return Duration::ZERO };
        let seconds = (self.ahead_of(request) + 1) as f64 / limit.throughput(&self.settings);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Makes a place in the queue if the request has a better claim to it than one that waits.
    fn make_place(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> bool {
        if self.waiting.len() < self.settings.queue_capacity {
            return true;
        }
        let Some(position) = self.worst_waiting() else { return false };
        let worst = &self.waiting[position].request;
        let own = self.waiting_of(&request.service.tenant, request.priority);
        let others = self.waiting_of(&worst.service.tenant, worst.priority);
        let is_better = request.priority > worst.priority
            || (request.priority == worst.priority && own + 1 < others);
        if is_better {
            let waiting = self.waiting.swap_remove(position);
            let decision = self.refuse(now, &waiting.request);
            self.shed.push_back(decision);
        }
        is_better
    }

    fn waiting_of(&self, tenant: &TenantId, priority: u8) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                waiting.request.service.tenant == *tenant && waiting.request.priority == priority
            })
            .count()
    }

    /// The newest request of the lowest priority, of the tenant that has most of them waiting.
    fn worst_waiting(&self) -> Option<usize> {
        let lowest = self.waiting.iter().map(|waiting| waiting.request.priority).min()?;
        let mut counts: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for waiting in &self.waiting {
            if waiting.request.priority == lowest {
                *counts.entry(&waiting.request.service.tenant).or_default() += 1;
            }
        }
        let candidates = self.waiting.iter().enumerate();
        candidates
            .filter(|(_, waiting)| waiting.request.priority == lowest)
            .max_by_key(|(_, waiting)| {
                (counts.get(&waiting.request.service.tenant), waiting.request.token)
            })
            .map(|(position, _)| position)
    }

    /// The waiting request to start: highest priority, then the tenant with the fewest in flight, so that
    /// no tenant starves another, then the oldest.
    fn best_waiting(&self) -> Option<usize> {
        if self.in_flight >= self.settings.entry_limit {
            return None;
        }
        self.waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| {
                let limit = self.services.get(&waiting.request.service);
                limit.is_some_and(|limit| limit.has_room(&self.settings))
            })
            .min_by_key(|(_, waiting)| {
                let request = &waiting.request;
                let started = self.tenants.get(&request.service.tenant).copied().unwrap_or(0);
                (std::cmp::Reverse(request.priority), started, request.token)
            })
            .map(|(position, _)| position)
    }
}
