//! Admission control: an adaptive concurrency limit for each service, a limit for the whole entry, and a short wait
//! queue that is ordered by priority and fair between tenants.
//!
//! See `docs/design/limits_and_admission.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use crate::membership::ServiceKey;
use crate::types::{MonotonicTime, QueryToken, TenantId};

use super::service_limit::ServiceLimit;

pub use super::service_limit::WorkOutcome;

/// Settings of admission control.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Concurrency limit of a service before its first measurement.
    pub initial_limit: f64,
    /// Lower bound of a service's limit. It lets enough requests through to measure latency.
    pub min_limit: f64,
    /// Upper bound of a service's limit.
    pub max_limit: f64,
    /// Maximum number of requests in flight over all services. It bounds the entry's own memory and CPU time.
    pub entry_limit: usize,
    /// Minimum time between two changes of a limit.
    pub window: Duration,
    /// Minimum number of measurements for a change.
    pub window_samples: usize,
    /// Latency up to which the limit grows, as a multiple of the baseline latency.
    pub tolerance: f64,
    /// Time between probes. A probe halves the limit to measure the latency without queueing.
    pub probe_interval: Duration,
    /// Time until the first probe, which comes early because the first measurements may contain queueing.
    pub first_probe: Duration,
    /// Maximum number of waiting requests.
    pub queue_capacity: usize,
    /// Maximum time that a request waits.
    pub max_wait: Duration,
    /// Maximum wait as a fraction of the time left until the deadline.
    pub max_wait_fraction: f64,
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
            max_wait: Duration::from_millis(100),
            max_wait_fraction: 0.2,
        }
    }
}

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Token of the caller's request. Tokens increase in order of arrival.
    pub token: QueryToken,
    /// Service that runs the request.
    pub service: ServiceKey,
    /// Priority of the request's class; higher values are served first.
    pub priority: u8,
    /// Time by which the caller must get a response.
    pub deadline: MonotonicTime,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may start now.
    Start(QueryToken),
    /// The request waits in the queue. A later decision starts or sheds it.
    Wait(QueryToken),
    /// The request is shed. The caller should retry after the stated delay.
    Shed(QueryToken, Duration),
}

#[derive(Debug)]
struct WaitingRequest {
    request: AdmissionRequest,
    until: MonotonicTime,
}

/// Decides which requests start, wait, or are shed.
#[derive(Debug)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    generator: ChaCha12Rng,
    services: BTreeMap<ServiceKey, ServiceLimit>,
    /// Number of requests in flight, by tenant.
    tenants: BTreeMap<TenantId, usize>,
    in_flight: usize,
    waiting: Vec<WaitingRequest>,
    /// Decisions on requests evicted from the queue, not yet returned.
    evicted: VecDeque<AdmissionDecision>,
    last_shed: Option<MonotonicTime>,
}

impl AdmissionControl {
    /// Creates admission control without measurements.
    pub fn new(settings: AdmissionSettings, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            generator,
            services: BTreeMap::new(),
            tenants: BTreeMap::new(),
            in_flight: 0,
            waiting: Vec::new(),
            evicted: VecDeque::new(),
            last_shed: None,
        }
    }

    /// Decides on a new request. A waiting request may be evicted in its favour; `next_decision` then returns it as
    /// shed.
    pub fn admit(&mut self, now: MonotonicTime, request: AdmissionRequest) -> AdmissionDecision {
        let settings = &self.settings;
        let service = self
            .services
            .entry(request.service.clone())
            .or_insert_with(|| ServiceLimit::new(now, settings));
        let has_room = service.has_room(settings) && self.in_flight < settings.entry_limit;
        if has_room && !self.has_waiting_ahead(&request) {
            return self.start(&request);
        }
        let until = now + self.max_wait(now, request.deadline);
        if now + self.estimated_wait(&request) > until || !self.make_room(now, &request) {
            return self.shed(now, &request);
        }
        let token = request.token;
        self.waiting.push(WaitingRequest { request, until });
        AdmissionDecision::Wait(token)
    }

    /// Returns the next decision on a waiting request, or `None` if no request can be started or shed now.
    pub fn next_decision(&mut self, now: MonotonicTime) -> Option<AdmissionDecision> {
        if let Some(decision) = self.evicted.pop_front() {
            return Some(decision);
        }
        if let Some(position) = self.waiting.iter().position(|waiting| now >= waiting.until) {
            let waiting = self.waiting.swap_remove(position);
            return Some(self.shed(now, &waiting.request));
        }
        let position = self.next_to_start()?;
        let waiting = self.waiting.swap_remove(position);
        Some(self.start(&waiting.request))
    }

    /// Records the end of a started request and its latency, which frees its place.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        service: &ServiceKey,
        outcome: WorkOutcome,
        latency: Duration,
    ) {
        let Some(limit) = self.services.get_mut(service) else { return };
        limit.record_end(now, outcome, latency.as_secs_f64(), &self.settings);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.tenants.get_mut(&service.tenant) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records the latency of one sub-request of a service.
    pub fn record_latency(&mut self, now: MonotonicTime, service: &ServiceKey, latency: Duration) {
        if let Some(limit) = self.services.get_mut(service) {
            limit.record_sample(now, latency.as_secs_f64(), &self.settings);
        }
    }

    /// Removes a request from the queue after its caller disconnected. Returns whether it was waiting.
    pub fn cancel_waiting(&mut self, token: QueryToken) -> bool {
        let position = self.waiting.iter().position(|waiting| waiting.request.token == token);
        position.map(|position| self.waiting.swap_remove(position)).is_some()
    }

    /// Returns the number of started requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns whether a request was shed within the last `time`.
    pub fn shed_within(&self, now: MonotonicTime, time: Duration) -> bool {
        self.last_shed.is_some_and(|at| now.since(at) < time)
    }

    /// Returns the time at which the next waiting request reaches its maximum wait.
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

    fn shed(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> AdmissionDecision {
        self.last_shed = Some(now);
        let waiting = self.ahead_of(request) as f64;
        let Some(limit) = self.services.get_mut(&request.service) else {
            return AdmissionDecision::Shed(request.token, super::pacer::MAX_DELAY);
        };
        let rate = limit.throughput(&self.settings);
        let retry_after =
            limit.pacer.retry_delay(now, 1.0, waiting + 1.0, rate, &mut self.generator);
        AdmissionDecision::Shed(request.token, retry_after)
    }

    fn max_wait(&self, now: MonotonicTime, deadline: MonotonicTime) -> Duration {
        self.settings.max_wait.min(deadline.since(now).mul_f64(self.settings.max_wait_fraction))
    }

    /// Returns the number of waiting requests of the same service that would start before this one.
    fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                waiting.request.service == request.service
                    && waiting.request.priority >= request.priority
            })
            .count()
    }

    fn has_waiting_ahead(&self, request: &AdmissionRequest) -> bool {
        self.ahead_of(request) > 0
    }

    fn estimated_wait(&self, request: &AdmissionRequest) -> Duration {
        let Some(limit) = self.services.get(&request.service) else { return Duration::ZERO };
        let seconds = (self.ahead_of(request) + 1) as f64 / limit.throughput(&self.settings);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Makes room in the queue. If it is full, evicts a request of lower priority, or one of equal priority
    /// whose tenant has more requests waiting. Returns whether there is room.
    fn make_room(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> bool {
        if self.waiting.len() < self.settings.queue_capacity {
            return true;
        }
        let Some(position) = self.eviction_candidate() else { return false };
        let worst = &self.waiting[position].request;
        let own = self.waiting_count(&request.service.tenant, request.priority);
        let others = self.waiting_count(&worst.service.tenant, worst.priority);
        let is_preferred = request.priority > worst.priority
            || (request.priority == worst.priority && own + 1 < others);
        if is_preferred {
            let waiting = self.waiting.swap_remove(position);
            let decision = self.shed(now, &waiting.request);
            self.evicted.push_back(decision);
        }
        is_preferred
    }

    fn waiting_count(&self, tenant: &TenantId, priority: u8) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| {
                waiting.request.service.tenant == *tenant && waiting.request.priority == priority
            })
            .count()
    }

    /// Returns the position of the request to evict: the newest one of the lowest priority, of the tenant that
    /// has most such requests waiting.
    fn eviction_candidate(&self) -> Option<usize> {
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

    /// Returns the position of the waiting request to start next: highest priority first, then the tenant with
    /// the fewest requests in flight, so that no tenant starves another, then the oldest.
    fn next_to_start(&self) -> Option<usize> {
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
