//! Fan-out engine, which runs admitted searches and claimed orders on targets
//! (`docs/design/request_path.md`).

use std::collections::{BTreeMap, VecDeque};

use rand_chacha::ChaCha12Rng;

use crate::membership::{MembershipView, ServiceKey};
use crate::sheet::CompletionPolicy;
use crate::types::{ClockReading, FailureDomain, MonotonicTime, QueryToken, RequestFingerprint};

use super::answers::AttemptAnswer;
use super::arena::{GenerationalArena, QueryKey};
use super::budgets::BudgetSettings;
use super::concurrency::ConcurrencySettings;
use super::connections::ConnectionSettings;
pub use super::connections::OrdinalShare;
use super::coverage::CoverageCounter;
use super::crash_detection::{CrashSettings, DomainOutcomes};
use super::dispatch::{PartitionRef, RequestDispatcher};
use super::hedging::HedgeSettings;
use super::interface::{EntryAction, EntryEvent, ResponseReason};
use super::latency::LatencySettings;
use super::lifecycle::refused_search;
use super::outliers::OutlierSettings;
use super::plan::{EngineReport, FanoutMode, OrderPlan, OrderResult, SearchPlan};
use super::queries::{CanaryStage, PartitionState, QueryKind, QuerySettings, QueryState};
use super::routing::RoutingSettings;
use super::snapshots::{LayoutChoice, SearchScope, ServiceIndex};
use super::timers::TimerKey;

/// Settings of the fan-out engine. Hedging, load-aware routing, budgets and outlier ejection can
/// each be disabled for experiments.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSettings {
    /// Settings of the target selection.
    pub routing: RoutingSettings,
    /// Settings of the ejection of unhealthy targets.
    pub outliers: OutlierSettings,
    /// Settings of the connections to targets.
    pub connections: ConnectionSettings,
    /// Settings of the concurrency limit of each target.
    pub concurrency: ConcurrencySettings,
    /// Settings of hedges and retries.
    pub hedging: HedgeSettings,
    /// Settings of the budgets that bound hedges and retries.
    pub budgets: BudgetSettings,
    /// Settings of the latency estimate.
    pub latency: LatencySettings,
    /// Settings of crash detection.
    pub crashes: CrashSettings,
    /// Settings of deadlines and of waiting for capacity.
    pub queries: QuerySettings,
}

/// Runs searches and orders on targets. Emits actions for the driver and reports for the entry
/// machine.
#[derive(Debug)]
pub struct FanoutEngine {
    pub(super) dispatcher: RequestDispatcher,
    pub(super) queries: GenerationalArena<QueryKey, QueryState>,
    pub(super) by_token: BTreeMap<QueryToken, QueryKey>,
    pub(super) reports: VecDeque<EngineReport>,
    pub(super) partition_pool: Vec<Vec<PartitionState>>,
}

/// Parameters of a query that is about to start.
struct QueryStart {
    token: QueryToken,
    kind: QueryKind,
    service: ServiceIndex,
    fingerprint: RequestFingerprint,
    end_at: MonotonicTime,
    choice: LayoutChoice,
    mode: FanoutMode,
}

impl FanoutEngine {
    /// Creates an engine without targets. It opens no connection before it is given a share.
    pub fn new(
        settings: EngineSettings,
        failure_domain: FailureDomain,
        generator: ChaCha12Rng,
    ) -> Self {
        Self {
            dispatcher: RequestDispatcher::new(settings, failure_domain, generator),
            queries: GenerationalArena::default(),
            by_token: BTreeMap::new(),
            reports: VecDeque::new(),
            partition_pool: Vec::new(),
        }
    }

    /// Applies a new membership view. Targets that left or are draining get no new work from now
    /// on.
    pub fn update_view(
        &mut self,
        now: ClockReading,
        view: &MembershipView,
        actions: &mut Vec<EntryAction>,
    ) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        let RequestDispatcher { fleet, directory, settings, .. } = &mut self.dispatcher;
        let mut change = fleet.update(now, view, |record| {
            let (tenant, service) = (record.tenant.clone(), record.service.clone());
            let key = ServiceKey { tenant, service };
            directory.ensure(&key, settings.latency, &settings.budgets)
        });
        for key in view.snapshots.keys() {
            directory.ensure(key, settings.latency, &settings.budgets);
        }
        for service in directory.indexes() {
            let manifests = view.snapshots.get(&directory.service(service).key);
            if directory.set_manifests(service, manifests) {
                change.services.push(service);
            }
        }
        change.services.sort_unstable();
        change.services.dedup();
        for service in &change.services {
            directory.rebuild(*service, fleet);
        }
        for restarted in &change.restarted {
            self.drop_former_incarnation(restarted, now, actions);
        }
        for target in change.left {
            self.confirm_connection_loss(target, now);
        }
        for target in &change.dirty_targets {
            self.close_surplus(*target, now, actions);
            self.drop_changed_partitions(*target, now, actions);
        }
        self.dispatcher.dirty_targets.extend(change.dirty_targets);
        self.requeue_waiting(&change.services, now);
        self.dispatcher.fleet.release_departed();
        self.finish_event(now, actions);
    }

    /// Abandons attempts on partitions whose key range changed under the same name, because their
    /// answers may cover either range.
    fn drop_changed_partitions(
        &mut self,
        index: super::targets::TargetIndex,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.attempts_on(index) {
            let Some(attempt) = self.dispatcher.attempts.get(id).copied() else { continue };
            let Some(query) = self.queries.get_mut(attempt.query) else { continue };
            let Some(partition) = query.layout.partitions.get(attempt.partition as usize) else {
                continue;
            };
            let dispatcher = &mut self.dispatcher;
            let is_named = dispatcher.fleet.target(index).served_partitions().any(|record| {
                Some(record.snapshot) == query.layout.version
                    && Some(&record.shard) == partition.shard.as_ref()
            });
            let replicas = dispatcher.directory.replicas(partition.group);
            let present = dispatcher.fleet.target(index).present;
            if !present || !is_named || replicas.contains(&index) {
                continue;
            }
            let state = &mut query.partitions[attempt.partition as usize];
            if state.remove_attempt(id) {
                dispatcher.abandon(id, true, now, actions);
                let place = PartitionRef { query: attempt.query, partition: attempt.partition };
                self.after_failure(place, ResponseReason::SnapshotGone, now, actions);
            }
        }
    }

    /// Sets the connection share. Without a share, all connections are closed and nothing is sent.
    pub fn set_share(
        &mut self,
        now: ClockReading,
        share: Option<OrdinalShare>,
        actions: &mut Vec<EntryAction>,
    ) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        if share == self.dispatcher.fleet.share {
            return;
        }
        if share.is_none() {
            for key in self.queries.keys() {
                self.finish(key, ResponseReason::CutOff, now, actions);
            }
        }
        let dispatcher = &mut self.dispatcher;
        dispatcher.fleet.set_share(share);
        for service in dispatcher.directory.indexes() {
            dispatcher.directory.refresh_reachable(service, &dispatcher.fleet);
        }
        for target in self.dispatcher.fleet.indexes() {
            self.close_surplus(target, now, actions);
            self.dispatcher.dirty_targets.push(target);
        }
        let services: Vec<ServiceIndex> = self.dispatcher.directory.indexes().collect();
        self.requeue_waiting(&services, now);
        self.finish_event(now, actions);
    }

    /// Starts a search. Its result is reported through `next_report`, possibly at once.
    pub fn start_search(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: SearchPlan,
        actions: &mut Vec<EntryAction>,
    ) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        let margin = self.dispatcher.settings.queries.response_margin;
        let end_at = match plan.policy {
            CompletionPolicy::DeadlineFirst => plan.deadline - margin,
            CompletionPolicy::CoverageFirst => plan.deadline,
        };
        let choice = match self.choose_layout(&plan) {
            Ok(choice) => choice,
            Err(reason) => {
                let result = refused_search(None, reason);
                self.reports.push_back(EngineReport::Search(token, result));
                return;
            }
        };
        let service = choice.service;
        if end_at.since(now) < self.dispatcher.min_remaining_time(service) {
            let result = refused_search(choice.layout.layout.version, ResponseReason::Deadline);
            self.reports.push_back(EngineReport::Search(token, result));
            return;
        }
        let kind = QueryKind::Search {
            kind: plan.kind,
            scope: plan.scope,
            pinned: plan.pinned,
            policy: plan.policy,
            floor: plan.coverage_floor,
        };
        let start = QueryStart {
            token,
            kind,
            service,
            fingerprint: plan.fingerprint,
            end_at,
            choice: choice.layout,
            mode: plan.mode,
        };
        self.add_query(start, now, actions);
        self.finish_event(now, actions);
    }

    fn choose_layout(&mut self, plan: &SearchPlan) -> Result<ServiceChoice, ResponseReason> {
        if self.dispatcher.fleet.share.is_none() {
            return Err(ResponseReason::CutOff);
        }
        let dispatcher = &mut self.dispatcher;
        let service = dispatcher.directory.find(&plan.service).ok_or(ResponseReason::NoTarget)?;
        let scope = SearchScope { kind: plan.kind, shards: &plan.scope, pinned: plan.pinned };
        let layout = dispatcher.directory.choose(service, &scope, None, &dispatcher.fleet);
        let missing = match plan.pinned {
            Some(_) => ResponseReason::SnapshotGone,
            None => ResponseReason::NoTarget,
        };
        Ok(ServiceChoice { service, layout: layout.ok_or(missing)? })
    }

    fn add_query(&mut self, start: QueryStart, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let layout = start.choice.layout;
        let mut partitions = self.partition_pool.pop().unwrap_or_default();
        partitions.resize(layout.partitions.len(), PartitionState::default());
        let canary = match start.mode {
            FanoutMode::Normal => CanaryStage::NotNeeded,
            FanoutMode::Canary => CanaryStage::Testing,
        };
        let key = self.queries.insert(QueryState {
            token: start.token,
            kind: start.kind,
            service: start.service,
            fingerprint: start.fingerprint,
            started_at: now,
            end_at: start.end_at,
            open: partitions.len() as u32,
            layout,
            partitions,
            coverage: CoverageCounter::default(),
            attempts: 0,
            unexecuted: 0,
            canary,
            is_launch_pending: canary == CanaryStage::Testing,
            crash_suspected: false,
            classify_at: None,
            outcomes: DomainOutcomes::default(),
            restarted: false,
            timer_at: None,
        });
        self.by_token.insert(start.token, key);
        self.launch(key, now, actions);
    }

    /// Starts an order, which gets a single attempt.
    pub fn start_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: OrderPlan,
        actions: &mut Vec<EntryAction>,
    ) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        let refused = match self.dispatcher.directory.find(&plan.service) {
            _ if self.dispatcher.fleet.share.is_none() => Err(ResponseReason::CutOff),
            None => Err(ResponseReason::NoTarget),
            Some(service)
                if plan.deadline.since(now) < self.dispatcher.min_remaining_time(service) =>
            {
                Err(ResponseReason::Deadline)
            }
            Some(service) => Ok(service),
        };
        let service = match refused {
            Ok(service) => service,
            Err(reason) => {
                let result = OrderResult::NotSent(reason);
                self.reports.push_back(EngineReport::Order(token, result));
                return;
            }
        };
        let layout = self.dispatcher.directory.service_layout(service);
        let start = QueryStart {
            token,
            kind: QueryKind::Order,
            service,
            fingerprint: plan.fingerprint,
            end_at: plan.deadline,
            choice: LayoutChoice { layout, reachable: 1.0 },
            mode: FanoutMode::Normal,
        };
        self.add_query(start, now, actions);
        self.finish_event(now, actions);
    }

    /// Cancels a search and its attempts; nothing more is reported about it. Orders are not
    /// cancelled.
    pub fn cancel(&mut self, now: ClockReading, token: QueryToken, actions: &mut Vec<EntryAction>) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        let Some(key) = self.by_token.get(&token).copied() else { return };
        if self.queries.get(key).is_some_and(|query| !query.is_order()) {
            self.drop_query(key, false, now, actions);
        }
        self.finish_event(now, actions);
    }

    /// Handles connection and attempt events and clock ticks. Other events are ignored.
    pub fn handle(
        &mut self,
        now: ClockReading,
        event: &EntryEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        let now = now.monotonic;
        self.fire_due_timers(now, actions);
        match event {
            EntryEvent::Answered { attempt, status, load, snapshot, body } => {
                let (status, load, snapshot) = (*status, *load, *snapshot);
                let answer = AttemptAnswer { status, load, snapshot, body: body.as_ref() };
                self.handle_answer(*attempt, answer, now, actions);
            }
            EntryEvent::Failed { attempt, failure } => {
                self.handle_failure(*attempt, *failure, now, actions);
            }
            EntryEvent::ConnectionOpened(connection) => self.handle_opened(*connection, now),
            EntryEvent::ConnectionClosed(connection) => {
                self.handle_closed(*connection, now, actions);
            }
            _ => {}
        }
        self.finish_event(now, actions);
    }

    fn fire_due_timers(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        while let Some(entry) = self.dispatcher.timers.peek().filter(|entry| entry.at <= now) {
            self.dispatcher.timers.pop();
            if !self.is_timer_valid(entry.key, entry.at) {
                continue;
            }
            match entry.key {
                TimerKey::Query(key) => self.inspect(key, now, actions),
                TimerKey::Target(index) => {
                    let dispatcher = &mut self.dispatcher;
                    let service = dispatcher.fleet.target(index).service;
                    if dispatcher.fleet.expire_leaving(now, index) {
                        dispatcher.directory.refresh_reachable(service, &dispatcher.fleet);
                    }
                    if dispatcher.fleet.expire_denials(now, index) {
                        dispatcher.directory.rebuild(service, &dispatcher.fleet);
                    }
                    dispatcher.fleet.take_timer(index, &mut dispatcher.timers);
                    self.inspect_connection_loss(index, now);
                    self.dispatcher.dirty_targets.push(index);
                }
                TimerKey::Attempt(id) => self.handle_unanswered(id, now, actions),
            }
        }
        self.serve_dirty_targets(now, actions);
    }

    /// Sends waiting requests to targets with free capacity, and removes timers whose owners have
    /// ended.
    fn finish_event(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        self.serve_dirty_targets(now, actions);
        while let Some(entry) = self.dispatcher.timers.peek() {
            if self.is_timer_valid(entry.key, entry.at) {
                return;
            }
            self.dispatcher.timers.pop();
        }
    }

    /// Returns the next report, or `None` if all reports were taken.
    pub fn next_report(&mut self) -> Option<EngineReport> {
        self.reports.pop_front()
    }

    /// Returns the number of partitions that a search would span now, from which admission computes
    /// its cost. Zero if no partition is known.
    pub fn fanout_width(&self, plan: &SearchPlan) -> u32 {
        let scope = SearchScope { kind: plan.kind, shards: &plan.scope, pinned: plan.pinned };
        self.dispatcher.directory.width(&plan.service, &scope)
    }

    /// Returns the time of the next timer, at which the driver must send a tick.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        self.dispatcher.timers.peek().map(|entry| entry.at)
    }

    /// Returns the number of searches and orders in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }
}

/// Layout chosen for a search, with the service that it belongs to.
struct ServiceChoice {
    service: ServiceIndex,
    layout: LayoutChoice,
}
