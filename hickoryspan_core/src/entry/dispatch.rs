//! Sends attempts to targets and queues requests that wait for capacity.

use std::cmp::Reverse;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::types::{AttemptId, FailureDomain, MonotonicTime, ShardId, SnapshotVersion, TargetId};

use super::arena::{GenerationalArena, QueryKey};
use super::engine::EngineSettings;
use super::fleet::Fleet;
use super::interface::{AttemptRequest, AttemptWork, EntryAction, EntryMetric};
use super::latency::LatencyQuantiles;
use super::queries::{AttemptKind, AttemptState, PartitionStatus, QueryState};
use super::routing::{RouteRequest, TargetRouter};
use super::snapshots::{GroupIndex, ServiceDirectory, ServiceIndex};
use super::targets::{TargetIndex, WaitingRequest};
use super::timers::{TimerKey, TimerQueue};

/// Number of reroute tries that use only connections that were active since the oldest running
/// attempt was sent. Later tries use any connection.
const MAX_ACTIVE_REROUTE_TRIES: u8 = 3;

/// Result of a request to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DispatchOutcome {
    /// The attempt was sent.
    Started,
    /// The partition was queued until a target has capacity.
    Waiting,
    /// The remaining time is too short for an answer.
    TooLate,
    /// The budget for hedges and retries is used up.
    NoBudget,
    /// Too many requests of the service are waiting.
    QueueFull,
    /// No target serves the partition and accepts work.
    NoTarget,
    /// No target has capacity now. Hedges and reroutes are not queued.
    NoCapacity,
}

/// Identifies one partition of a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionRef {
    /// Key of the query.
    pub query: QueryKey,
    /// Index of the partition in the query's layout.
    pub partition: u32,
}

/// State that attempts share: targets, connections, attempts in flight, budgets and timers.
#[derive(Debug)]
pub(super) struct RequestDispatcher {
    pub settings: EngineSettings,
    pub fleet: Fleet,
    pub directory: ServiceDirectory,
    pub attempts: GenerationalArena<AttemptId, AttemptState>,
    pub timers: TimerQueue,
    pub generator: ChaCha12Rng,
    router: TargetRouter,
    sequence: u64,
    /// Targets to check for free capacity and missing connections.
    pub dirty_targets: Vec<TargetIndex>,
    any_shard: ShardId,
}

impl RequestDispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(settings: EngineSettings, home: FailureDomain, generator: ChaCha12Rng) -> Self {
        Self {
            fleet: Fleet::new(home, settings.connections, settings.budgets),
            directory: ServiceDirectory::default(),
            attempts: GenerationalArena::default(),
            timers: TimerQueue::default(),
            router: TargetRouter::new(settings.routing, settings.outliers),
            generator,
            sequence: 0,
            dirty_targets: Vec::new(),
            any_shard: ShardId::new("any").expect("the text consists of letters"),
            settings,
        }
    }

    /// Returns the latency quantiles of a service.
    pub fn quantiles(&self, service: ServiceIndex) -> LatencyQuantiles {
        self.directory.service(service).latency.quantiles()
    }

    /// Returns the time after which an attempt without an answer marks its connection as stalled.
    pub fn stall_timeout(&self, service: ServiceIndex) -> Duration {
        let connections = &self.settings.connections;
        let slowest = self.quantiles(service).slowest;
        slowest.mul_f64(connections.stall_factor).max(connections.min_stall_timeout)
    }

    /// Returns the minimum time to the deadline with which an attempt of a service is sent.
    pub fn min_remaining_time(&self, service: ServiceIndex) -> Duration {
        self.quantiles(service).fastest.max(self.settings.queries.min_attempt_time)
    }

    /// Returns the minimum time to the deadline with which an attempt is sent to a target, so that
    /// its answer can return in time.
    pub fn min_remaining_time_at(&self, target: TargetIndex) -> Duration {
        self.fleet.target(target).one_way_delay() + self.settings.queries.min_attempt_time
    }

    /// Sends an attempt, or queues its partition until a target has capacity.
    pub fn dispatch(
        &mut self,
        query: &mut QueryState,
        place: PartitionRef,
        kind: AttemptKind,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> DispatchOutcome {
        if query.end_at.since(now) < self.min_remaining_time(query.service) {
            return DispatchOutcome::TooLate;
        }
        if kind.is_extra() && !self.directory.tenant_budget(query.service).allows() {
            return DispatchOutcome::NoBudget;
        }
        let outcome = match (self.choose(query, place.partition, kind, now), kind) {
            (Some(target), _) if query.end_at.since(now) < self.min_remaining_time_at(target) => {
                DispatchOutcome::TooLate
            }
            (Some(target), _) => {
                self.start(query, place, target, kind, now, actions);
                DispatchOutcome::Started
            }
            (None, AttemptKind::Hedge | AttemptKind::Reroute) => DispatchOutcome::NoCapacity,
            (None, AttemptKind::First | AttemptKind::Retry) => self.queue(query, place, kind, now),
        };
        let is_accepted = matches!(outcome, DispatchOutcome::Started | DispatchOutcome::Waiting);
        if kind.is_extra() && is_accepted {
            // A queued retry is charged now. Otherwise many retries could wait for one token and
            // all be sent later.
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
        let mut request = RouteRequest { now, exclude, extra: kind.is_extra(), active_since: None };
        if kind == AttemptKind::Reroute && state.reroute_tries <= MAX_ACTIVE_REROUTE_TRIES {
            let started = |id| Some(self.attempts.get(id)?.started);
            request.active_since = state.running().filter_map(started).min();
        }
        let choice = self.router.choose(&self.fleet, replicas, &request, &mut self.generator);
        if choice.is_some() || kind == AttemptKind::First || kind == AttemptKind::Hedge {
            return choice;
        }
        // A target that was already tried is used again only if there is no other one.
        let untried = |target: &TargetIndex| {
            !exclude.contains(target) && self.fleet.target(*target).accepts_work()
        };
        if kind == AttemptKind::Retry && replicas.iter().any(untried) {
            return None;
        }
        request.exclude = &[];
        self.router.choose(&self.fleet, replicas, &request, &mut self.generator)
    }

    /// Sends an attempt to a target. The caller has checked that the target has capacity.
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
            self.credit_budgets(query.service, group);
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
            // Unreachable as long as callers check the capacity first.
            self.attempts.remove(attempt);
            return;
        };
        if let Some(state) = self.attempts.get_mut(attempt) {
            state.connection = connection;
        }
        // The target may need another spare connection.
        self.dirty_targets.push(target);
        state.status = PartitionStatus::Running;
        state.add_attempt(attempt);
        state.record_tried(target);
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
            budget: query
                .end_at
                .since(now)
                .saturating_sub(self.fleet.target(target).one_way_delay()),
        }));
    }

    /// Credits a first attempt to the tenant and to every target that could have received it.
    /// Otherwise a target that gets only hedges, because others are preferred, would have no budget
    /// for them.
    fn credit_budgets(&mut self, service: ServiceIndex, group: GroupIndex) {
        self.directory.tenant_budget(service).credit();
        for target in self.directory.replicas(group) {
            self.fleet.target_mut(*target).budget.credit();
        }
    }

    /// Returns any shard of a snapshot that the target serves.
    fn any_shard_of(&self, target: TargetIndex, version: Option<SnapshotVersion>) -> ShardId {
        let mut served = self.fleet.target(target).served_partitions();
        let record = served.find(|record| version.is_none_or(|version| record.snapshot == version));
        record.map_or_else(|| self.any_shard.clone(), |record| record.shard.clone())
    }

    fn queue(
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
        if self.eligible_targets(query, place.partition, kind, now).next().is_none() {
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

    /// Returns the targets in whose queues a partition may wait. Ejected targets are left out. A
    /// retry also leaves out targets without budget, and targets that were already tried if there
    /// are others.
    fn eligible_targets<'a>(
        &'a self,
        query: &'a QueryState,
        partition: u32,
        kind: AttemptKind,
        now: MonotonicTime,
    ) -> impl Iterator<Item = TargetIndex> + 'a {
        let replicas = self.directory.replicas(query.layout.partitions[partition as usize].group);
        let applies_ejection = self.router.applies_ejection(&self.fleet, replicas, now);
        let tried = query.partitions[partition as usize].tried();
        let eligible = move |index: &TargetIndex| {
            let target = self.fleet.target(*index);
            target.accepts_work() && !(applies_ejection && target.health.is_unhealthy(now))
        };
        let untried = replicas.iter().any(|index| eligible(index) && !tried.contains(index));
        replicas.iter().copied().filter(move |index| {
            let is_skipped = untried && tried.contains(index);
            let budget = &self.fleet.target(*index).budget;
            eligible(index) && !(kind.is_extra() && (is_skipped || !budget.allows()))
        })
    }

    /// Adds a waiting partition to the queues of its targets. The entries become stale when one of
    /// the targets serves it.
    pub fn join_queues(&mut self, query: &QueryState, place: PartitionRef, now: MonotonicTime) {
        let state = &query.partitions[place.partition as usize];
        let PartitionStatus::Waiting(kind) = state.status else { return };
        let (deadline, sequence) = (query.end_at, state.sequence);
        let entry =
            WaitingRequest { deadline, sequence, query: place.query, partition: place.partition };
        let former = self.dirty_targets.len();
        let mut dirty_targets = std::mem::take(&mut self.dirty_targets);
        dirty_targets.extend(self.eligible_targets(query, place.partition, kind, now));
        for index in &dirty_targets[former..] {
            let waiting = &mut self.fleet.target_mut(*index).waiting;
            // Stale entries stay until they reach the head of the queue. Overdue ones are removed
            // when the queue is long.
            if waiting.len() >= self.settings.queries.max_waiting {
                waiting.retain(|entry| entry.0.deadline > now);
            }
            waiting.push(Reverse(entry));
        }
        self.dirty_targets = dirty_targets;
    }

    /// Decrements the service's number of waiting requests if the partition is waiting.
    pub fn end_wait(&mut self, query: &QueryState, partition: u32) {
        let state = &query.partitions[partition as usize];
        if matches!(state.status, PartitionStatus::Waiting(_)) {
            self.directory.service_mut(query.service).waiting -= 1;
        }
    }

    /// Abandons an attempt, so that its answer no longer counts. The attempt occupies its
    /// connection until it is answered or the connection is closed as stalled.
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
        let at = now + self.stall_timeout(service);
        self.timers.schedule(at, TimerKey::Attempt(id));
    }

    /// Records that an attempt has had no answer for the time since it was sent.
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

    /// Records the elapsed time of an unanswered attempt as a censored latency of the service. It
    /// is a lower bound; without it, hedges and deadlines would hide the slow part of the
    /// distribution.
    pub fn record_censored(&mut self, id: AttemptId, now: MonotonicTime) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let elapsed = now.since(attempt.started);
        let service = self.fleet.target(attempt.target).service;
        let latency = &mut self.directory.service_mut(service).latency;
        // Attempts that were sent shortly before the end carry no information about slow answers.
        if elapsed >= latency.quantiles().median {
            latency.record(elapsed);
        }
    }

    /// Closes idle connections to the attempt's target that were not active since the attempt was
    /// sent.
    pub fn close_inactive(&mut self, id: AttemptId, actions: &mut Vec<EntryAction>) {
        let Some(attempt) = self.attempts.get(id) else { return };
        self.fleet.close_inactive(attempt.target, attempt.started, actions);
        self.dirty_targets.push(attempt.target);
    }

    /// Closes a stalled connection and removes the attempt on it.
    pub fn close_stalled(&mut self, id: AttemptId, actions: &mut Vec<EntryAction>) {
        self.close_inactive(id, actions);
        let Some(attempt) = self.attempts.remove(id) else { return };
        self.fleet.close_connection(attempt.connection, actions);
        let target = self.fleet.target(attempt.target).record.target.clone();
        actions.push(EntryAction::RecordMetric(EntryMetric::SilentConnection { target }));
        self.dirty_targets.push(attempt.target);
    }

    /// Returns a random back-off around a mean that doubles with each try, up to the limit.
    pub fn backoff(&mut self, tries: u8) -> Duration {
        let hedging = &self.settings.hedging;
        let mean = hedging.retry_delay * (1 << tries.min(10));
        mean.min(hedging.max_retry_delay).mul_f64(self.generator.random_range(0.5..1.5))
    }
}
