//! Selects targets by the latencies and failures that this entry has observed and by the load that
//! targets report.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use super::directory::{TargetAnnouncement, TargetPhase, TargetProcess};
use super::evacuations::EvacuationState;
use super::outcomes::{AttemptFailure, AttemptOutcome, ReportedLoad};
use super::send_check::SendBarrier;
use super::target_notices::NoticeTable;
use crate::gateway::admission::cold_targets::{ColdGate, ColdTarget};
use crate::gateway::admission::limit_gate::LimitGate;
use crate::types::{FailureDomain, MonotonicTime, RequestRate, ServiceId, TargetId, WallTime};

/// Settings of the target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionSettings {
    /// Time after which the observations of a target lose half of their weight.
    pub half_life: Duration,
    /// How long an unanswered request keeps other requests away from a target. The time doubles
    /// each time that this happens again without an answer in between.
    pub overdue_backoff: Duration,
    /// Number of consecutive failures after which a target is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection. Each further ejection without a success in between doubles
    /// it.
    pub eject_min: Duration,
    /// Longest duration of an ejection or an overdue back-off.
    pub eject_max: Duration,
    /// Cost factor for targets in other failure domains.
    pub remote_factor: f64,
    /// Cost factor for targets that have just started.
    pub cold_factor: f64,
    /// Age after which a reported load or queue is ignored.
    pub load_lifetime: Duration,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(6),
            overdue_backoff: Duration::from_millis(150),
            eject_after: 3,
            eject_min: Duration::from_millis(1_000),
            eject_max: Duration::from_secs(8),
            remote_factor: 2.0,
            cold_factor: 1.8,
            load_lifetime: Duration::from_millis(500),
        }
    }
}

/// Weight of a new observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.25;
/// Cost of an expected failure, relative to the cost of the work itself.
const FAILURE_COST: f64 = 8.0;
/// Cost factor for a target that has left a request unanswered.
const OVERDUE_FACTOR: f64 = 20.0;
/// Lower bound of a route's median latency in seconds, which bounds the relative latency.
const MIN_MEDIAN_SECONDS: f64 = 1e-4;
/// Largest number of doublings of a back-off or an ejection. More would only overflow.
const MAX_DOUBLINGS: u32 = 8;
/// Queued requests per slot up to which a target is used for a hedge.
const MAX_HEDGE_QUEUE: f64 = 2.0;
/// Smallest relative latency that is expected of a target.
const MIN_RELATIVE_LATENCY: f64 = 0.2;
/// Cost of each busy slot, relative to the work, because a busy slot may still be busy for a moment
/// when the next request arrives.
const SHARING_COST: f64 = 0.25;
/// Largest relative latency that a single observation counts as.
const MAX_RELATIVE_LATENCY: f64 = 30.0;

/// A selected target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenTarget {
    /// The target.
    pub target: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Start time of its process, by its own clock.
    pub started: WallTime,
    /// When a permit for a cold target was taken; `None` if the target needed none.
    pub cold_permit_at: Option<MonotonicTime>,
}

impl ChosenTarget {
    /// Returns the process that the request is sent to.
    pub fn process(&self) -> TargetProcess {
        TargetProcess { target: self.target.clone(), started: self.started }
    }
}

#[derive(Clone, Debug)]
struct TargetState {
    announcement: TargetAnnouncement,
    cold_until: MonotonicTime,
    in_flight: u32,
    // Moving average of the latency divided by the route's median latency.
    relative_latency: f64,
    failure_rate: f64,
    observed_at: MonotonicTime,
    failures: u32,
    ejections: u32,
    ejected_until: MonotonicTime,
    overdue_until: MonotonicTime,
    overdue_count: u32,
    load: Option<ReportedLoad>,
    load_at: MonotonicTime,
}

impl TargetState {
    fn new(now: MonotonicTime, announcement: TargetAnnouncement) -> Self {
        let cold_until = now + announcement.cold;
        Self {
            announcement,
            cold_until,
            in_flight: 0,
            relative_latency: 1.0,
            failure_rate: 0.0,
            observed_at: now,
            failures: 0,
            ejections: 0,
            ejected_until: MonotonicTime(0),
            overdue_until: MonotonicTime(0),
            overdue_count: 0,
            load: None,
            load_at: now,
        }
    }

    fn decay(&self, now: MonotonicTime, half_life: Duration) -> f64 {
        0.5_f64.powf(now.since(self.observed_at).as_secs_f64() / half_life.as_secs_f64())
    }

    fn observe(&mut self, now: MonotonicTime, settings: &SelectionSettings, failed: bool) {
        let decay = self.decay(now, settings.half_life);
        self.relative_latency = 1.0 + (self.relative_latency - 1.0) * decay;
        let rate = self.failure_rate * decay;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * OBSERVATION_WEIGHT;
        self.observed_at = now;
    }

    fn process(&self) -> TargetProcess {
        let TargetAnnouncement { target, age, .. } = &self.announcement;
        TargetProcess { target: target.clone(), started: age.started }
    }

    fn is_ready(&self) -> bool {
        self.announcement.phase == TargetPhase::Ready
    }

    /// Returns the expected latency, relative to the median latency of the same route.
    fn expected_latency(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let decay = self.decay(now, settings.half_life);
        let relative_latency = 1.0 + (self.relative_latency - 1.0) * decay;
        let load = self.load.filter(|_| now.since(self.load_at) < settings.load_lifetime);
        let reported_latency =
            load.map_or(1.0, |load| f64::from(load.latency_percent.max(100)) / 100.0);
        // The report includes the request whose response carried it.
        let reported =
            load.map_or(0, |load| load.running.saturating_add(load.waiting).saturating_sub(1));
        let ahead = f64::from(self.in_flight.max(reported));
        let slots = f64::from(self.announcement.slots.max(1));
        let waiting = (ahead + 1.0 - slots).max(0.0) / slots;
        let sharing = SHARING_COST * ahead / slots;
        let mut expected = relative_latency.max(reported_latency).max(MIN_RELATIVE_LATENCY)
            * (1.0 + waiting + sharing);
        if self.cold_until > now {
            expected *= settings.cold_factor;
        }
        expected
    }

    /// Returns the queued requests per slot, or zero without a recent report.
    fn queue(&self, now: MonotonicTime, settings: &SelectionSettings) -> f64 {
        let load = self.load.filter(|_| now.since(self.load_at) < settings.load_lifetime);
        let slots = f64::from(self.announcement.slots.max(1));
        load.map_or(0.0, |load| f64::from(load.waiting) / slots)
    }

    fn cost(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        domain: &FailureDomain,
    ) -> f64 {
        let decay = self.decay(now, settings.half_life);
        let mut cost = self.expected_latency(now, settings);
        cost *= 1.0 + FAILURE_COST * self.failure_rate * decay;
        if self.announcement.domain != *domain {
            cost *= settings.remote_factor;
        }
        if self.overdue_until > now {
            cost *= OVERDUE_FACTOR;
        }
        cost
    }
}

/// All targets and what this entry has observed of them.
#[derive(Debug)]
pub struct TargetSelector {
    settings: SelectionSettings,
    domain: FailureDomain,
    generator: ChaCha12Rng,
    targets: HashMap<TargetId, TargetState>,
    by_service: BTreeMap<ServiceId, Vec<TargetId>>,
    // Shortest queues by service, as reported by other entries that send to the service.
    queues: HashMap<ServiceId, ReportedQueue>,
    limits: LimitGate,
    notices: NoticeTable,
    evacuations: EvacuationState,
    cold: ColdGate,
}

#[derive(Clone, Copy, Debug)]
struct ReportedQueue {
    waiting_per_slot: f64,
    seen_at: MonotonicTime,
}

impl TargetSelector {
    /// Creates a selector without targets for an entry in `domain`.
    pub fn new(settings: SelectionSettings, domain: FailureDomain, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            domain,
            generator,
            targets: HashMap::new(),
            by_service: BTreeMap::new(),
            queues: HashMap::new(),
            limits: LimitGate::default(),
            notices: NoticeTable::default(),
            evacuations: EvacuationState::default(),
            cold: ColdGate::default(),
        }
    }

    /// Takes over the evacuated failure domains unless a newer state is known. Returns whether it did.
    pub fn set_evacuations(&mut self, state: &EvacuationState) -> bool {
        self.evacuations.advance(state)
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &EvacuationState {
        &self.evacuations
    }

    /// Returns whether a service gets no requests only because the failure domains of its targets are evacuated.
    pub fn is_evacuated(&self, service: &ServiceId) -> bool {
        let has_ready = self.states(service).any(TargetState::is_ready);
        has_ready && self.count_usable(service) == 0
    }

    fn is_usable(&self, state: &TargetState) -> bool {
        state.is_ready() && !self.evacuations.covers(&state.announcement.domain)
    }

    /// Returns what targets have said of themselves with their answers.
    pub fn notices_mut(&mut self) -> &mut NoticeTable {
        &mut self.notices
    }

    /// Forgets notices that have ended.
    pub fn expire_notices(&mut self, now: MonotonicTime) {
        let mut notices = std::mem::take(&mut self.notices);
        notices.expire(now, |process| {
            self.targets.get(&process.target).map(|state| state.announcement.age.started)
        });
        self.notices = notices;
    }

    /// Returns the failure domain of a target, if it is known.
    pub fn domain_of(&self, target: &TargetId) -> Option<&FailureDomain> {
        self.targets.get(target).map(|state| &state.announcement.domain)
    }

    /// Records that a target served a request.
    pub fn note_served(&mut self, now: MonotonicTime, target: &ChosenTarget) {
        if !self.notices.is_empty() {
            self.notices.note_served(now, &target.process());
        }
    }

    /// Returns the processes of a service's targets that leave.
    pub fn leaving(&self, now: MonotonicTime, service: &ServiceId) -> Vec<TargetProcess> {
        if self.notices.is_empty() {
            return Vec::new();
        }
        let processes = self.states(service).map(TargetState::process);
        processes.filter(|process| self.notices.is_leaving(now, process)).collect()
    }

    /// Returns when the first target of a service opens again, if all that are left want no requests for a while.
    pub fn opens_at(&self, now: MonotonicTime, service: &ServiceId) -> Option<MonotonicTime> {
        if self.count_open(now, service) > 0 {
            return None;
        }
        let usable = self.states(service).filter(|state| self.is_usable(state));
        usable.filter_map(|state| self.notices.closed_until(now, &state.process())).min()
    }

    /// Returns the number of a service's targets to which a request may be sent now, whether healthy or not.
    pub fn count_open(&self, now: MonotonicTime, service: &ServiceId) -> usize {
        self.states(service).filter(|state| self.is_open(now, state)).count()
    }

    fn is_open(&self, now: MonotonicTime, state: &TargetState) -> bool {
        self.is_usable(state)
            && (self.notices.is_empty()
                || self.notices.admits(now, &state.process(), state.in_flight))
    }

    /// Returns the limits of the targets.
    pub fn limits(&self) -> &LimitGate {
        &self.limits
    }

    /// Returns the limits of the targets, to record what was heard of them.
    pub fn limits_mut(&mut self) -> &mut LimitGate {
        &mut self.limits
    }

    /// Replaces the gate of cold targets, which lets nothing through to begin with.
    pub fn set_cold_gate(&mut self, gate: ColdGate) {
        self.cold = gate;
    }

    /// Returns the gate of cold targets.
    pub fn cold_mut(&mut self) -> &mut ColdGate {
        &mut self.cold
    }

    /// Returns whether limits of targets, or of cold ones, may hold back requests.
    pub fn has_limits(&self) -> bool {
        self.limits.is_active() || self.cold.is_active()
    }

    /// Returns the targets that are cold and whose service states how many requests they tolerate.
    pub fn cold_targets(&self, now: MonotonicTime) -> impl Iterator<Item = &TargetId> {
        let states =
            self.targets.values().filter(move |state| self.cold_rate(now, state).is_some());
        states.map(|state| &state.announcement.target)
    }

    /// Returns how many requests a target tolerates while it is cold; `None` if any number.
    fn cold_rate(&self, now: MonotonicTime, state: &TargetState) -> Option<RequestRate> {
        let is_cold = self.cold.is_active() && state.cold_until > now;
        is_cold.then(|| self.cold.rate(&state.announcement.service)).flatten()
    }

    /// Returns the services that have a limited target.
    pub fn limited_services(&self) -> BTreeSet<&ServiceId> {
        let states = self.limits.table.limited().filter_map(|process| self.find(process));
        states.map(|state| &state.announcement.service).collect()
    }

    fn find(&self, process: &TargetProcess) -> Option<&TargetState> {
        let state = self.targets.get(&process.target)?;
        (state.announcement.age.started == process.started).then_some(state)
    }

    /// Counts a request for a service if any of its targets is limited.
    pub fn note_request(&mut self, now: MonotonicTime, service: &ServiceId) {
        if self.states(service).any(|state| self.is_limited(state)) {
            self.limits.note_request(now, service);
        }
    }

    /// Forgets the limits of targets that are gone and the demand for services without a limited target.
    pub fn sweep_limits(&mut self, now: MonotonicTime) {
        let mut cold = std::mem::take(&mut self.cold);
        cold.retain(|process| self.find(process).is_some());
        self.cold = cold;
        if !self.limits.is_active() {
            return;
        }
        let limited: BTreeSet<ServiceId> = self.limited_services().into_iter().cloned().collect();
        let mut limits = std::mem::take(&mut self.limits);
        let is_known = |process: &TargetProcess| self.find(process).is_some();
        limits.retain(now, is_known, |service| limited.contains(service));
        self.limits = limits;
    }

    /// Returns whether a request may be sent to any usable target of a service now.
    pub fn has_permitted_target(&mut self, now: MonotonicTime, service: &ServiceId) -> bool {
        !self.has_limits() || !self.permitted(now, service).is_empty()
    }

    /// Returns the usable targets of a service to which a request may be sent now.
    fn permitted(&mut self, now: MonotonicTime, service: &ServiceId) -> Vec<TargetId> {
        let share = self.limits.share(now, service);
        let mut permitted = Vec::new();
        for target in self.by_service.get(service).into_iter().flatten() {
            let Some(state) = self.targets.get(target) else { continue };
            if !self.is_open(now, state) {
                continue;
            }
            let draw = self.generator.random();
            let process = state.process();
            let cold_rate = self.cold_rate(now, state);
            let has_cold_permit = cold_rate.is_none_or(|rate| {
                let domain = &state.announcement.domain;
                self.cold.has_permit(now, &ColdTarget { process: process.clone(), domain, rate })
            });
            if has_cold_permit && self.limits.has_permit(now, &process, share, draw) {
                permitted.push(target.clone());
            }
        }
        permitted
    }

    /// Adds or updates a target. Observations are discarded if its process, address or service has
    /// changed.
    pub fn put(&mut self, now: MonotonicTime, announcement: TargetAnnouncement) {
        let target = announcement.target.clone();
        let service = announcement.service.clone();
        match self.targets.get_mut(&target) {
            Some(state)
                if state.announcement.age.started == announcement.age.started
                    && state.announcement.address == announcement.address
                    && state.announcement.service == service =>
            {
                state.cold_until = now + announcement.cold;
                state.announcement = announcement;
            }
            _ => {
                self.remove(&target);
                self.targets.insert(target.clone(), TargetState::new(now, announcement));
                self.by_service.entry(service).or_default().push(target);
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        let Some(state) = self.targets.remove(target) else { return };
        if let Some(targets) = self.by_service.get_mut(&state.announcement.service) {
            targets.retain(|known| known != target);
        }
    }

    /// Returns the number of targets.
    pub fn count(&self) -> usize {
        self.targets.len()
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        let gone: Vec<TargetId> =
            self.targets.keys().filter(|target| !keep(target)).cloned().collect();
        for target in gone {
            self.remove(&target);
        }
    }

    /// Returns the number of a service's targets that accept new work, whether healthy or not.
    pub fn count_usable(&self, service: &ServiceId) -> usize {
        self.states(service).filter(|state| self.is_usable(state)).count()
    }

    /// Returns the failure domains of a service's targets that accept new work.
    pub fn usable_domains(&self, service: &ServiceId) -> BTreeSet<&FailureDomain> {
        let usable = self.states(service).filter(|state| self.is_usable(state));
        usable.map(|state| &state.announcement.domain).collect()
    }

    fn states(&self, service: &ServiceId) -> impl Iterator<Item = &TargetState> {
        let targets = self.by_service.get(service).into_iter().flatten();
        targets.filter_map(|target| self.targets.get(target))
    }

    /// Selects the target with the lowest cost, leaving out `tried`, and counts a request in flight
    /// on it. Returns `None` if no target is left.
    pub fn choose(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Option<ChosenTarget> {
        let chosen = self.find_best(now, service, tried)?;
        let is_cold =
            self.targets.get(&chosen).is_some_and(|state| self.cold_rate(now, state).is_some());
        let state = self.targets.get_mut(&chosen)?;
        state.in_flight += 1;
        let process = state.process();
        self.limits.take_permit(&process);
        if is_cold {
            self.cold.take_permit(&process);
        }
        Some(ChosenTarget {
            target: chosen,
            address: state.announcement.address,
            started: process.started,
            cold_permit_at: is_cold.then_some(now),
        })
    }

    fn find_best(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Option<TargetId> {
        let permitted = self.has_limits().then(|| self.permitted(now, service));
        let is_permitted =
            |target: &TargetId| permitted.as_ref().is_none_or(|known| known.contains(target));
        let untried = |state: &&TargetState| {
            let target = &state.announcement.target;
            self.is_open(now, state) && !tried.contains(target) && is_permitted(target)
        };
        let healthy = self.states(service).filter(untried).any(|state| state.ejected_until <= now);
        let costs: Vec<(TargetId, f64)> = self
            .states(service)
            .filter(untried)
            // If all targets are ejected, the fault may be on this side, so all of them are used.
            .filter(|state| !healthy || state.ejected_until <= now)
            .map(|state| {
                let cost = state.cost(now, &self.settings, &self.domain);
                (state.announcement.target.clone(), cost)
            })
            .collect();
        let mut best: Option<(TargetId, f64)> = None;
        for (target, cost) in costs {
            // A random factor spreads requests over targets with equal cost.
            let cost = cost * (1.0 + self.generator.random::<f64>() * 0.1);
            if best.as_ref().is_none_or(|(_, lowest)| cost < *lowest) {
                best = Some((target, cost));
            }
        }
        best.map(|(target, _)| target)
    }

    /// Releases a selected target to which no request was sent.
    pub fn release(&mut self, target: &TargetId) {
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight = state.in_flight.saturating_sub(1);
            self.limits.return_permit(&state.process());
        }
    }

    /// Returns why a request must not be sent to a chosen target any more.
    pub fn check_target(
        &self,
        now: MonotonicTime,
        chosen: &ChosenTarget,
        service: &ServiceId,
    ) -> Result<(), SendBarrier> {
        let Some(state) = self.targets.get(&chosen.target) else { return Err(SendBarrier::Gone) };
        let announcement = &state.announcement;
        if announcement.age.started != chosen.started {
            return Err(SendBarrier::Restarted);
        }
        if announcement.address != chosen.address || announcement.service != *service {
            return Err(SendBarrier::Moved);
        }
        if self.evacuations.covers(&announcement.domain) {
            return Err(SendBarrier::Evacuated);
        }
        let is_permitted = chosen.cold_permit_at.is_some_and(|at| ColdGate::is_fresh(now, at));
        if !is_permitted && self.cold_rate(now, state).is_some() {
            return Err(SendBarrier::Cold);
        }
        self.check_notices(now, state)?;
        match announcement.phase {
            TargetPhase::Ready => Ok(()),
            TargetPhase::Draining => Err(SendBarrier::Draining),
            TargetPhase::Left => Err(SendBarrier::Gone),
        }
    }

    fn check_notices(&self, now: MonotonicTime, state: &TargetState) -> Result<(), SendBarrier> {
        if self.notices.is_empty() {
            return Ok(());
        }
        let process = state.process();
        if self.notices.is_leaving(now, &process) {
            return Err(SendBarrier::Leaving);
        }
        match self.notices.closed_until(now, &process) {
            Some(_) => Err(SendBarrier::Closed),
            None => Ok(()),
        }
    }

    /// Returns whether a hedge is worthwhile: another target exists that is neither ejected nor
    /// limited nor has a long queue.
    pub fn has_alternative(
        &self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> bool {
        self.states(service).any(|state| {
            let untried = self.is_open(now, state) && !tried.contains(&state.announcement.target);
            let free = state.queue(now, &self.settings) <= MAX_HEDGE_QUEUE;
            let is_limited = self.is_limited(state) || self.cold_rate(now, state).is_some();
            untried && free && state.ejected_until <= now && !is_limited
        })
    }

    fn is_limited(&self, state: &TargetState) -> bool {
        self.limits.is_active() && self.limits.table.find(&state.process()).is_some()
    }

    /// Returns the shortest queue among a service's targets, in queued requests per slot, or `None`
    /// without a usable target. A longer queue that another entry has recently reported takes
    /// precedence.
    pub fn shortest_queue(&self, now: MonotonicTime, service: &ServiceId) -> Option<f64> {
        // A cold target has no queue because it gets few requests, so it says nothing about the others.
        let usable = self
            .states(service)
            .filter(|state| self.is_open(now, state) && self.cold_rate(now, state).is_none());
        let own = usable.map(|state| state.queue(now, &self.settings)).reduce(f64::min)?;
        let reported = self.queues.get(service);
        let reported =
            reported.filter(|queue| now.since(queue.seen_at) < self.settings.load_lifetime);
        Some(reported.map_or(own, |queue| queue.waiting_per_slot.max(own)))
    }

    /// Records the shortest queue of a service as reported by another entry, or removes it.
    pub fn note_queue(&mut self, now: MonotonicTime, service: &ServiceId, queue: Option<f64>) {
        match queue {
            Some(waiting_per_slot) => {
                let queue = ReportedQueue { waiting_per_slot, seen_at: now };
                self.queues.insert(service.clone(), queue);
            }
            None => drop(self.queues.remove(service)),
        }
    }

    /// Records the outcome of an attempt. `median` is the route's median latency.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        target: &TargetId,
        outcome: AttemptOutcome,
        median: Duration,
    ) {
        let settings = self.settings;
        let Some(state) = self.targets.get_mut(target) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            // An attempt that was cancelled late would have taken at least that long.
            AttemptOutcome::Cancelled(elapsed) if elapsed > median * 2 => {
                state.observe_latency(now, &settings, elapsed, median);
            }
            AttemptOutcome::Cancelled(_) => {}
            AttemptOutcome::Success(latency) => {
                state.observe_latency(now, &settings, latency, median);
                state.failures = 0;
                state.ejections = 0;
                state.overdue_until = now;
                state.overdue_count = 0;
            }
            // This says nothing about the target's health.
            AttemptOutcome::Failure(AttemptFailure::Withheld(_) | AttemptFailure::Closed) => {
                self.limits.return_permit(&state.process());
            }
            AttemptOutcome::Failure(failure) => state.note_failure(now, &settings, failure),
        }
    }

    /// Records the load that a target reported with a response.
    pub fn note_load(&mut self, now: MonotonicTime, target: &TargetId, load: ReportedLoad) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.load = Some(load);
        state.load_at = now;
    }

    /// Returns whether other requests are kept away from a target that has left one unanswered.
    pub fn is_overdue(&self, now: MonotonicTime, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|state| state.overdue_until > now)
    }

    /// Records that a request to the target is still unanswered after the time in which nearly all
    /// are answered.
    pub fn note_overdue(&mut self, now: MonotonicTime, target: &TargetId) {
        if let Some(state) = self.targets.get_mut(target) {
            state.back_off(now, &self.settings);
        }
    }
}

impl TargetState {
    fn back_off(&mut self, now: MonotonicTime, settings: &SelectionSettings) {
        // Requests that were sent before the back-off started carry no new information.
        if self.overdue_until > now {
            return;
        }
        let doubled = settings.overdue_backoff * 2_u32.pow(self.overdue_count.min(MAX_DOUBLINGS));
        self.overdue_until = now + doubled.min(settings.eject_max);
        self.overdue_count += 1;
    }

    fn observe_latency(
        &mut self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        latency: Duration,
        median: Duration,
    ) {
        self.observe(now, settings, false);
        let relative_latency = latency.as_secs_f64() / median.as_secs_f64().max(MIN_MEDIAN_SECONDS);
        self.relative_latency += (relative_latency.min(MAX_RELATIVE_LATENCY)
            - self.relative_latency)
            * OBSERVATION_WEIGHT;
    }

    fn note_failure(
        &mut self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        failure: AttemptFailure,
    ) {
        self.observe(now, settings, true);
        if failure == AttemptFailure::Timeout {
            self.back_off(now, settings);
        }
        self.failures += 1;
        let certain = matches!(failure, AttemptFailure::Unreachable | AttemptFailure::OtherTarget);
        if self.failures < settings.eject_after && !certain {
            return;
        }
        let doubled = settings.eject_min * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + doubled.min(settings.eject_max);
        self.ejections += 1;
        // After the ejection, the next result decides: a single failure ejects the target again.
        self.failures = settings.eject_after.saturating_sub(1);
    }
}
