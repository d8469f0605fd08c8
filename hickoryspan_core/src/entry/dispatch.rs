//! Sends attempts and keeps the requests that wait for capacity.

use std::cmp::Reverse;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::types::{AttemptId, FailureDomain, MonotonicTime, ShardId, SnapshotVersion, TargetId};

use super::engine::EngineSettings;
use super::fleet::Fleet;
use super::interface::{AttemptRequest, AttemptWork, EntryAction, EntryMetric};
use super::latency::LatencyQuantiles;
use super::queries::{AttemptKind, AttemptState, PartitionStatus, QueryState};
use super::routing::{RouteRequest, TargetRouter};
use super::slab::{KeyedSlab, QueryKey};
use super::snapshots::{GroupIndex, ServiceDirectory, ServiceIndex};
use super::targets::{TargetIndex, WaitingRequest};
use super::timers::{TimerKey, TimerQueue};

/// Tries to move to a connection that is known to work, before any other one will do.
const PROVEN_MOVE_TRIES: u8 = 3;

/// What became of a request for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DispatchOutcome {
    /// It was sent.
    Started,
    /// It waits for capacity.
    Waiting,
    /// It could not finish in time.
    TooLate,
    /// The budget of hedges and retries is used up.
    NoBudget,
    /// Too many requests wait.
    QueueFull,
    /// No target may get it.
    NoTarget,
    /// No other target has capacity now; hedges do not wait.
    NoCapacity,
}

/// One partition of one query.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionRef {
    /// The query.
    pub query: QueryKey,
    /// The partition in its layout.
    pub partition: u32,
}

/// Everything that attempts need: targets, connections, attempts in flight, budgets and timers.
#[derive(Debug)]
pub(super) struct RequestDispatcher {
    pub settings: EngineSettings,
    pub fleet: Fleet,
    pub directory: ServiceDirectory,
    pub attempts: KeyedSlab<AttemptId, AttemptState>,
    pub timers: TimerQueue,
    pub generator: ChaCha12Rng,
    router: TargetRouter,
    sequence: u64,
    /// Targets that may serve waiting requests or lack connections.
    pub touched: Vec<TargetIndex>,
    any_shard: ShardId,
}

impl RequestDispatcher {
    /// A dispatcher without targets.
    pub fn new(settings: EngineSettings, home: FailureDomain, generator: ChaCha12Rng) -> Self {
        Self {
            fleet: Fleet::new(home, settings.connections, settings.budgets),
            directory: ServiceDirectory::default(),
            attempts: KeyedSlab::default(),
            timers: TimerQueue::default(),
            router: TargetRouter::new(settings.routing, settings.outliers),
            generator,
            sequence: 0,
            touched: Vec::new(),
            any_shard: ShardId::new("any").expect("the text consists of letters"),
            settings,
        }
    }

    /// The latency quantiles of a service.
    pub fn quantiles(&self, service: ServiceIndex) -> LatencyQuantiles {
        self.directory.service(service).latency.quantiles()
    }

    /// How long an attempt of a service may run before its connection is suspect.
    pub fn silence(&self, service: ServiceIndex) -> Duration {
        let connections = &self.settings.connections;
        let slowest = self.quantiles(service).slowest;
        slowest.mul_f64(connections.silence_factor).max(connections.silence_floor)
    }

    /// The time that must remain for an attempt to finish.
    pub fn least_time(&self, service: ServiceIndex) -> Duration {
        self.quantiles(service).fastest.max(self.settings.queries.min_budget)
    }

    /// The time that must remain for an answer of a target to return in time.
    pub fn least_time_at(&self, target: TargetIndex) -> Duration {
        self.fleet.target(target).return_trip() + self.settings.queries.min_budget
    }

    /// Sends an attempt, or lets its partition wait for capacity.
    pub fn dispatch(
        &mut self,
        query: &mut QueryState,
        place: PartitionRef,
        kind: AttemptKind,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> DispatchOutcome {
        if query.end_at.since(now) < self.least_time(query.service) {
            return DispatchOutcome::TooLate;
        }
        if kind.is_extra() && !self.directory.tenant_budget(query.service).allows() {
            return DispatchOutcome::NoBudget;
        }
        let outcome = match (self.choose(query, place.partition, kind, now), kind) {
            (Some(target), _) if query.end_at.since(now) < self.least_time_at(target) => {
                DispatchOutcome::TooLate
            }
            (Some(target), _) => {
                self.start(query, place, target, kind, now, actions);
                DispatchOutcome::Started
            }
            (None, AttemptKind::Hedge | AttemptKind::Move) => DispatchOutcome::NoCapacity,
            (None, AttemptKind::First | AttemptKind::Retry) => self.enlist(query, place, kind, now),
        };
        let goes_on = matches!(outcome, DispatchOutcome::Started | DispatchOutcome::Waiting);
        if kind.is_extra() && goes_on {
            // A waiting retry is counted now: otherwise many could wait for one token and all be sent later.
            self.directory.tenant_budget(query.service).spend();
        }
        outcome
    }

    fn choose(
        &mut self,
        query: &QueryState,
        partition: u32,
        kind: AttemptKind,
        now: MonotonicTime,
    ) -> Option<TargetIndex> {
        let group = query.layout.partitions[partition as usize].group;
        let replicas = self.directory.replicas(group);
        let state = &query.partitions[partition as usize];
        let exclude = if kind == AttemptKind::First { &[] } else { state.tried() };
        let mut request = RouteRequest { now, exclude, extra: kind.is_extra(), proven_since: None };
        if kind == AttemptKind::Move && state.move_tries <= PROVEN_MOVE_TRIES {
            let started = |id| Some(self.attempts.get(id)?.started);
            request.proven_since = state.running().filter_map(started).min();
        }
        let choice = self.router.choose(&self.fleet, replicas, &request, &mut self.generator);
        if choice.is_some() || kind == AttemptKind::First || kind == AttemptKind::Hedge {
            return choice;
        }
        // A tried target is used again only if there is no other one.
        let untried = |target: &TargetIndex| {
            !exclude.contains(target) && self.fleet.target(*target).takes_work()
        };
        if kind == AttemptKind::Retry && replicas.iter().any(untried) {
            return None;
        }
        request.exclude = &[];
        self.router.choose(&self.fleet, replicas, &request, &mut self.generator)
    }

    /// Sends an attempt to a target that has capacity.
    pub fn start(
        &mut self,
        query: &mut QueryState,
        place: PartitionRef,
        target: TargetIndex,
        kind: AttemptKind,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let state = &mut query.partitions[place.partition as usize];
        let is_first = state.sent == 0 && state.not_sent == 0;
        let group = query.layout.partitions[place.partition as usize].group;
        if !kind.is_extra() && is_first {
            self.fill_budgets(query.service, group);
        }
        if kind.is_extra() {
            self.fleet.target_mut(target).budget.spend();
            state.retries = state.retries.saturating_add(1);
            let service = self.directory.service(query.service).key.clone();
            actions.push(EntryAction::RecordMetric(EntryMetric::ExtraAttempt { service }));
        }
        let attempt = self.attempts.insert(AttemptState {
            query: place.query,
            partition: place.partition,
            target,
            connection: Default::default(),
            started: now,
            fingerprint: query.fingerprint,
            abandoned: false,
        });
        let Some(connection) = self.fleet.take_connection(target, attempt) else {
            // Callers check the capacity first.
            self.attempts.remove(attempt);
            return;
        };
        if let Some(state) = self.attempts.get_mut(attempt) {
            state.connection = connection;
        }
        // The target may now lack a spare connection.
        self.touched.push(target);
        state.status = PartitionStatus::Running;
        state.add_attempt(attempt);
        state.remember(target);
        state.sent += 1;
        query.attempts += 1;
        let record = &self.fleet.target(target).record;
        let work = if query.is_order() {
            AttemptWork::Order
        } else {
            let version = query.layout.version;
            let shard = query.layout.partitions[place.partition as usize].shard.clone();
            AttemptWork::Search {
                shard: shard.unwrap_or_else(|| self.any_shard_of(target, version)),
                snapshot: version.unwrap_or_default(),
            }
        };
        actions.push(EntryAction::StartAttempt(AttemptRequest {
            attempt,
            token: query.token,
            connection,
            target: TargetId::clone(&record.target),
            work,
            budget: query.end_at.since(now).saturating_sub(self.fleet.target(target).return_trip()),
        }));
    }

    /// Counts a first attempt for the tenant and for every target that could have got it. A target that gets only
    /// hedges, because others are preferred, would otherwise have no budget for them.
    fn fill_budgets(&mut self, service: ServiceIndex, group: GroupIndex) {
        self.directory.tenant_budget(service).fill();
        for target in self.directory.replicas(group) {
            self.fleet.target_mut(*target).budget.fill();
        }
    }

    /// Any shard that a target serves of a snapshot.
    fn any_shard_of(&self, target: TargetIndex, version: Option<SnapshotVersion>) -> ShardId {
        let mut served = self.fleet.target(target).served_partitions();
        let record = served.find(|record| version.is_none_or(|version| record.snapshot == version));
        record.map_or_else(|| self.any_shard.clone(), |record| record.shard.clone())
    }

    fn enlist(
        &mut self,
        query: &mut QueryState,
        place: PartitionRef,
        kind: AttemptKind,
        now: MonotonicTime,
    ) -> DispatchOutcome {
        let group = query.layout.partitions[place.partition as usize].group;
        if !self.directory.is_reachable(group, &self.fleet) {
            return DispatchOutcome::NoTarget;
        }
        if self.queues_for(query, place.partition, kind, now).next().is_none() {
            return DispatchOutcome::NoBudget;
        }
        let service = self.directory.service_mut(query.service);
        if service.waiting >= self.settings.queries.max_waiting {
            return DispatchOutcome::QueueFull;
        }
        service.waiting += 1;
        self.sequence += 1;
        let state = &mut query.partitions[place.partition as usize];
        state.status = PartitionStatus::Waiting(kind);
        state.sequence = self.sequence;
        self.join_queues(query, place, now);
        DispatchOutcome::Waiting
    }

    /// The targets for which a partition may wait: not ejected ones, and for a retry not those already tried, if
    /// there are others, nor those whose budget is used up.
    fn queues_for<'a>(
        &'a self,
        query: &'a QueryState,
        partition: u32,
        kind: AttemptKind,
        now: MonotonicTime,
    ) -> impl Iterator<Item = TargetIndex> + 'a {
        let replicas = self.directory.replicas(query.layout.partitions[partition as usize].group);
        let ejects = self.router.ejects(&self.fleet, replicas, now);
        let tried = query.partitions[partition as usize].tried();
        let open = move |index: &TargetIndex| {
            let target = self.fleet.target(*index);
            target.takes_work() && !(ejects && target.health.is_unhealthy(now))
        };
        let untried = replicas.iter().any(|index| open(index) && !tried.contains(index));
        replicas.iter().copied().filter(move |index| {
            let elsewhere = untried && tried.contains(index);
            let budget = &self.fleet.target(*index).budget;
            open(index) && !(kind.is_extra() && (elsewhere || !budget.allows()))
        })
    }

    /// Puts a waiting partition into the queues of its targets; it leaves them when one of them serves it.
    pub fn join_queues(&mut self, query: &QueryState, place: PartitionRef, now: MonotonicTime) {
        let state = &query.partitions[place.partition as usize];
        let PartitionStatus::Waiting(kind) = state.status else { return };
        let (deadline, sequence) = (query.end_at, state.sequence);
        let entry =
            WaitingRequest { deadline, sequence, query: place.query, partition: place.partition };
        let former = self.touched.len();
        let mut touched = std::mem::take(&mut self.touched);
        touched.extend(self.queues_for(query, place.partition, kind, now));
        for index in &touched[former..] {
            let waiting = &mut self.fleet.target_mut(*index).waiting;
            // Entries of ended waits stay until their turn; a long queue is cleared of overdue ones.
            if waiting.len() >= self.settings.queries.max_waiting {
                waiting.retain(|entry| entry.0.deadline > now);
            }
            waiting.push(Reverse(entry));
        }
        self.touched = touched;
    }

    /// Notes that a partition no longer waits.
    pub fn end_wait(&mut self, query: &QueryState, partition: u32) {
        let state = &query.partitions[partition as usize];
        if matches!(state.status, PartitionStatus::Waiting(_)) {
            self.directory.service_mut(query.service).waiting -= 1;
        }
    }

    /// Gives up an attempt whose answer no longer counts. It occupies its connection until it is answered or
    /// its connection is closed as silent.
    pub fn abandon(
        &mut self,
        id: AttemptId,
        cancels: bool,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.abandoned = true;
        let service = self.fleet.target(attempt.target).service;
        if cancels {
            actions.push(EntryAction::CancelAttempt(id));
        }
        actions.push(EntryAction::DiscardAttempt(id));
        let at = now + self.silence(service);
        self.timers.schedule(at, TimerKey::Attempt(id));
    }

    /// Counts that an attempt took at least the time until now without an answer.
    pub fn record_slow(&mut self, id: AttemptId, now: MonotonicTime) {
        let Some(attempt) = self.attempts.get(id).copied() else { return };
        let elapsed = now.since(attempt.started);
        let service = self.fleet.target(attempt.target).service;
        let quantiles = self.quantiles(service);
        let outliers = self.settings.outliers;
        let health = &mut self.fleet.target_mut(attempt.target).health;
        if elapsed > quantiles.hedge {
            health.record_unanswered(now, elapsed, quantiles, &outliers);
        }
        if elapsed > quantiles.slowest {
            health.record_failure(now, &outliers);
        }
    }

    /// Adds the time of an unanswered attempt to the service's latencies. It is a lower bound; without it, hedges
    /// and deadlines would hide the slow part of the distribution.
    pub fn record_censored(&mut self, id: AttemptId, now: MonotonicTime) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let elapsed = now.since(attempt.started);
        let service = self.fleet.target(attempt.target).service;
        let latency = &mut self.directory.service_mut(service).latency;
        // Attempts sent shortly before the end say nothing about the slow part.
        if elapsed >= latency.quantiles().median {
            latency.record(elapsed);
        }
    }

    /// Closes the idle connections beside an attempt's one that have not worked since it was sent.
    pub fn retire_unproven(&mut self, id: AttemptId, actions: &mut Vec<EntryAction>) {
        let Some(attempt) = self.attempts.get(id) else { return };
        self.fleet.retire_unproven(attempt.target, attempt.started, actions);
        self.touched.push(attempt.target);
    }

    /// Closes a connection that has gone silent, with its attempt.
    pub fn close_silent(&mut self, id: AttemptId, actions: &mut Vec<EntryAction>) {
        self.retire_unproven(id, actions);
        let Some(attempt) = self.attempts.remove(id) else { return };
        self.fleet.close_connection(attempt.connection, actions);
        let target = self.fleet.target(attempt.target).record.target.clone();
        actions.push(EntryAction::RecordMetric(EntryMetric::SilentConnection { target }));
        self.touched.push(attempt.target);
    }

    /// A random wait around the mean that doubles with each try, up to the limit.
    pub fn backoff(&mut self, tries: u8) -> Duration {
        let hedging = &self.settings.hedging;
        let mean = hedging.retry_delay * (1 << tries.min(10));
        mean.min(hedging.max_retry_delay).mul_f64(self.generator.random_range(0.5..1.5))
    }
}
