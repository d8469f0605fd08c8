//! Selects targets by the latencies and failures that this entry has observed and by the load that
//! targets report.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use super::cost_model::{CostModel, WorkEstimate};
use super::directory::{TargetAnnouncement, TargetPhase, TargetProcess};
use super::evacuations::EvacuationState;
use super::outcomes::{AttemptFailure, AttemptOutcome, ReportedLoad};
use super::send_check::SendBarrier;
use super::target_notices::NoticeTable;
use super::target_state::TargetState;
use super::work_choice::{ChoiceReason, ExpectedCompletion, WorkPlacement};
use super::work_left::{AssumedLoad, ExpectedStart, WorkTicket};
use crate::gateway::admission::cold_targets::ColdGate;
use crate::gateway::admission::limit_gate::LimitGate;
use crate::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};

/// By what targets are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetPolicy {
    /// Recent latency relative to the route's median, and the number of requests in flight.
    #[default]
    Latency,
    /// When each target is expected to have done the request: its expected work, the work that is left on the target and
    /// the target's speed.
    ExpectedWork,
}

impl TargetPolicy {
    /// Returns the name used in settings and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::ExpectedWork => "expected-work",
        }
    }
}

impl fmt::Display for TargetPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A text names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("target policy {0:?}: expected latency or expected-work")]
pub struct PolicyError(String);

impl FromStr for TargetPolicy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = [Self::Latency, Self::ExpectedWork];
        let policy = known.into_iter().find(|policy| policy.as_str() == text);
        policy.ok_or_else(|| PolicyError(text.to_owned()))
    }
}

/// Settings of the target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionSettings {
    /// By what targets are compared.
    pub policy: TargetPolicy,
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
            policy: TargetPolicy::default(),
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

/// Queued requests per slot up to which a target is used for a hedge.
const MAX_HEDGE_QUEUE: f64 = 2.0;

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

/// All targets and what this entry has observed of them.
#[derive(Debug)]
pub struct TargetSelector {
    pub(super) settings: SelectionSettings,
    pub(super) domain: FailureDomain,
    pub(super) generator: ChaCha12Rng,
    pub(super) targets: HashMap<TargetId, TargetState>,
    pub(super) by_service: BTreeMap<ServiceId, Vec<TargetId>>,
    // Shortest queues by service, as reported by other entries that send to the service.
    queues: HashMap<ServiceId, ReportedQueue>,
    pub(super) limits: LimitGate,
    pub(super) notices: NoticeTable,
    pub(super) evacuations: EvacuationState,
    pub(super) cold: ColdGate,
    pub(super) costs: CostModel,
    next_ticket: u64,
}

/// A selected target, and what was expected of the request there if targets are compared by work.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRequest {
    /// The target.
    pub target: ChosenTarget,
    /// What was expected.
    pub placement: Option<WorkPlacement>,
}

/// A target that a request may be sent to, with its cost.
pub(super) struct RatedTarget {
    target: TargetId,
    pub(super) cost: f64,
    pub(super) completion: Option<ExpectedCompletion>,
}

/// The best target for a request.
struct Candidate {
    target: TargetId,
    completion: Option<ExpectedCompletion>,
    reason: ChoiceReason,
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
            costs: CostModel::default(),
            next_ticket: 0,
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

    pub(super) fn is_usable(&self, state: &TargetState) -> bool {
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

    pub(super) fn is_open(&self, now: MonotonicTime, state: &TargetState) -> bool {
        self.is_usable(state)
            && (self.notices.is_empty()
                || self.notices.admits(now, &state.process(), state.in_flight))
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

    pub(super) fn states(&self, service: &ServiceId) -> impl Iterator<Item = &TargetState> {
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
        self.choose_placed(now, service, tried, None).map(|placed| placed.target)
    }

    /// Selects a target like [`Self::choose`], by the expected work of the request if it is given.
    pub fn choose_placed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
        estimate: Option<&WorkEstimate>,
    ) -> Option<PlacedRequest> {
        let Candidate { target: chosen, completion, reason } =
            self.find_best(now, service, tried, estimate)?;
        let ticket = WorkTicket(self.next_ticket);
        self.next_ticket += 1;
        let is_cold =
            self.targets.get(&chosen).is_some_and(|state| self.cold_rate(now, state).is_some());
        let state = self.targets.get_mut(&chosen)?;
        state.in_flight += 1;
        let process = state.process();
        self.limits.take_permit(&process);
        if is_cold {
            self.cold.take_permit(&process);
        }
        let target = ChosenTarget {
            target: chosen,
            address: state.announcement.address,
            started: process.started,
            cold_permit_at: is_cold.then_some(now),
        };
        let placement = completion.zip(estimate).map(|(completion, estimate)| {
            let knowledge = state.work.knowledge(now, state.announcement.slots);
            let start = ExpectedStart { wait: completion.wait, knowledge };
            state.work.note_sent(now, ticket, estimate, start);
            WorkPlacement { ticket, completion, reason }
        });
        Some(PlacedRequest { target, placement })
    }

    fn find_best(
        &mut self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
        estimate: Option<&WorkEstimate>,
    ) -> Option<Candidate> {
        let permitted = self.has_limits().then(|| self.permitted(now, service));
        let is_permitted =
            |target: &TargetId| permitted.as_ref().is_none_or(|known| known.contains(target));
        let untried = |state: &&TargetState| {
            let target = &state.announcement.target;
            self.is_open(now, state) && !tried.contains(target) && is_permitted(target)
        };
        let healthy = self.states(service).filter(untried).any(|state| state.ejected_until <= now);
        let candidates: Vec<RatedTarget> = self
            .states(service)
            .filter(untried)
            // If all targets are ejected, the fault may be on this side, so all of them are used.
            .filter(|state| !healthy || state.ejected_until <= now)
            .map(|state| self.rate(now, state, estimate))
            .collect();
        let mut rated: Vec<RatedTarget> = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            // A random factor spreads requests over targets with equal cost.
            let cost = candidate.cost * (1.0 + self.generator.random::<f64>() * 0.1);
            rated.push(RatedTarget { cost, ..candidate });
        }
        rated.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let completions: Vec<ExpectedCompletion> =
            rated.iter().filter_map(|rated| rated.completion).take(2).collect();
        let best = rated.into_iter().next()?;
        let reason = ChoiceReason::of(&completions);
        Some(Candidate { target: best.target, completion: best.completion, reason })
    }

    pub(super) fn rate(
        &self,
        now: MonotonicTime,
        state: &TargetState,
        estimate: Option<&WorkEstimate>,
    ) -> RatedTarget {
        let target = state.announcement.target.clone();
        let completion = estimate.map(|estimate| {
            state.completion(now, &self.settings, &self.domain, estimate, AssumedLoad::Usual)
        });
        let cost = match &completion {
            Some(completion) => completion.cost(),
            None => state.cost(now, &self.settings, &self.domain),
        };
        RatedTarget { target, cost, completion }
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

    pub(super) fn is_limited(&self, state: &TargetState) -> bool {
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
            AttemptOutcome::Cancelled(_) | AttemptOutcome::Failure(AttemptFailure::Displaced) => {}
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
        state.work.note_load(now, load);
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
