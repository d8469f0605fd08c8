//! State that all requests of one entry share.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use hickoryspan_core::entry::latency::{LatencyDistribution, LatencySettings};
use hickoryspan_core::gateway::account_labels::AccountLabels;
use hickoryspan_core::gateway::admission::budget::{EntryCount, RetryBudget};
use hickoryspan_core::gateway::admission::cold_targets::ColdGate;
use hickoryspan_core::gateway::admission::fair_share::FairShares;
use hickoryspan_core::gateway::admission::quota_gate::QuotaGate;
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, DocumentVersion, RouteDestination, RouteRule, ShardSpread, WeightedService,
};
use hickoryspan_core::gateway::documents::document_change::{DocumentChange, DocumentFetch};
use hickoryspan_core::gateway::documents::document_parts::PartAssembly;
use hickoryspan_core::gateway::documents::routes::{RouteTable, WeightedRoundRobin};
use hickoryspan_core::gateway::fanouts::fanout_groups::{
    GroupCache, GroupKey, ShardGroup, TargetPlaces, divide_shards,
};
use hickoryspan_core::gateway::fanouts::relays::{RelayAssignment, RelaySelector};
use hickoryspan_core::gateway::log_limit::{LogLimiter, LogPriority};
use hickoryspan_core::gateway::membership::entry_list::EntryList;
use hickoryspan_core::gateway::planned_stop::StopSchedule;
use hickoryspan_core::gateway::processor_lag::{LagMonitor, LagSettings};
use hickoryspan_core::gateway::targets::directory::TargetDirectory;
use hickoryspan_core::gateway::targets::evacuations::EvacuationState;
use hickoryspan_core::gateway::targets::liveness::LivenessTable;
use hickoryspan_core::gateway::targets::poison::PoisonTable;
use hickoryspan_core::gateway::targets::selection::{ChosenTarget, TargetSelector};
use hickoryspan_core::gateway::targets::send_check::SendBarrier;
use hickoryspan_core::types::{FailureDomain, MonotonicTime, ServiceId, TargetId};
use hickoryspan_runtime::clock::SystemClock;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::attempt::{AttemptScope, GatewayJob};
use crate::caller_connection::CallerCounts;
use crate::fanout_links::FanoutLinks;
use crate::quota_permits::PermitLinks;
use crate::settings::GatewaySettings;
use crate::target_pool::TargetPool;

/// Quantile of a route's latency after which an attempt is hedged.
const HEDGE_QUANTILE: f64 = 0.9;
/// Initially assumed latency of a route: its objective divided by this.
pub(crate) const INITIAL_LATENCY_DIVISOR: u32 = 3;
/// Number of requests that must be measured before the measured latency of a route replaces the assumed one.
const MIN_LATENCY_RECORDS: u32 = 40;

/// Number of connections that a target is assumed to accept if the configuration states no limit.
const DEFAULT_CONNECTIONS: u32 = 16;

/// The state of the decision logic, which all requests share behind one lock. The lock must not be held across an await
/// point.
pub(crate) struct SharedDecisions {
    pub(crate) routes: Option<Arc<RouteTable>>,
    /// The limits for callers of the active document, or the usual ones before there is any.
    pub(crate) limits: watch::Sender<CallerLimits>,
    pub(crate) document_fetch: DocumentFetch,
    pub(crate) document_parts: PartAssembly,
    pub(crate) directory: TargetDirectory,
    /// Which control hosts report which targets as alive.
    pub(crate) liveness: LivenessTable,
    /// The entries that accept callers.
    pub(crate) entry_list: EntryList,
    pub(crate) lag: LagMonitor,
    pub(crate) selector: TargetSelector,
    pub(crate) poison: PoisonTable,
    pub(crate) relays: RelaySelector,
    /// Number of entries that share the connections of the targets.
    pub(crate) entries: u32,
    /// The number of entries that divide the retry budgets among themselves.
    pub(crate) budget_entries: EntryCount,
    /// Which requests of accounts with a quota are admitted.
    pub(crate) quotas: QuotaGate,
    /// The shard groups of the wide routes in the active document, as the known targets and entries divide them.
    pub(crate) groups: GroupCache,
    /// What client accounts ask of services, as this entry sees it.
    pub(crate) shares: FairShares,
    /// The accounts that are labels of metrics.
    pub(crate) account_labels: AccountLabels,
    budgets: HashMap<ServiceId, RetryBudget>,
    latencies: HashMap<Arc<str>, LatencyDistribution>,
    splits: HashMap<Arc<str>, WeightedRoundRobin>,
    generator: ChaCha12Rng,
}

/// Where targets and entries are, as this entry knows it.
struct KnownPlaces<'a> {
    selector: &'a TargetSelector,
    relays: &'a RelaySelector,
}

impl TargetPlaces for KnownPlaces<'_> {
    fn domains_of(&self, shard: &ServiceId) -> BTreeSet<&FailureDomain> {
        self.selector.usable_domains(shard)
    }

    fn has_entries(&self, domain: &FailureDomain) -> bool {
        self.relays.has_entries(domain)
    }
}

/// Quantiles of a route's latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteLatency {
    pub(crate) median: Duration,
    pub(crate) hedge: Duration,
}

fn initial_latency(route: &RouteRule) -> LatencyDistribution {
    LatencyDistribution::new(LatencySettings {
        hedge_quantile: HEDGE_QUANTILE,
        min_records: MIN_LATENCY_RECORDS,
        initial: route.objective / INITIAL_LATENCY_DIVISOR,
    })
}

impl SharedDecisions {
    /// Returns the version of the active document.
    pub(crate) fn version(&self) -> Option<DocumentVersion> {
        self.routes.as_ref().map(|routes| routes.document().version)
    }

    /// Applies a change and activates the resulting document. Returns false if the document is not newer than the
    /// active one, or if the change does not apply to it.
    pub(crate) fn install_change(&mut self, change: &DocumentChange) -> bool {
        if self.version().is_some_and(|current| current >= change.version) {
            return false;
        }
        let held = self.routes.as_ref().map(|routes| &**routes.document());
        let Some(document) = change.apply(held) else { return false };
        let limits = document.limits;
        self.limits.send_if_modified(|in_force| std::mem::replace(in_force, limits) != limits);
        let routes = RouteTable::new(Arc::new(document));
        self.selector.cold_mut().set_rates(routes.cold_rates().clone());
        self.shares.retain(|service| routes.connections(service).is_some());
        self.routes = Some(Arc::new(routes));
        self.groups.clear();
        true
    }

    /// Takes over the evacuated failure domains unless a newer state is known. Returns whether it did.
    pub(crate) fn set_evacuations(&mut self, evacuations: &EvacuationState) -> bool {
        let earlier = self.selector.evacuations().domains.clone();
        if !self.selector.set_evacuations(evacuations) {
            return false;
        }
        // Groups are made where targets are used.
        self.groups.clear();
        for domain in earlier.union(&evacuations.domains) {
            let value = if evacuations.covers(domain) { 1.0 } else { 0.0 };
            metrics::gauge!("hickoryspan_gateway_domain_evacuated", "domain" => domain.to_string())
                .set(value);
        }
        true
    }

    pub(crate) fn budget(
        &mut self,
        settings: &GatewaySettings,
        service: &ServiceId,
    ) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let started_at = MonotonicTime(0);
            self.budgets.insert(service.clone(), RetryBudget::new(started_at, settings.budget));
        }
        // The block above inserts a missing budget.
        self.budgets.get_mut(service).expect("the budget exists")
    }

    /// Takes one extra request from the retry budget of a service. Returns false if the budget is exhausted.
    pub(crate) fn try_take_extra(
        &mut self,
        now: MonotonicTime,
        settings: &GatewaySettings,
        service: &ServiceId,
    ) -> bool {
        let entries = self.budget_entries.highest(now, settings.budget.window);
        self.budget(settings, service).try_take(now, entries)
    }

    /// Returns whether the retry budget of a service allows one more extra request.
    pub(crate) fn has_extra_room(
        &mut self,
        now: MonotonicTime,
        settings: &GatewaySettings,
        service: &ServiceId,
    ) -> bool {
        let entries = self.budget_entries.highest(now, settings.budget.window);
        self.budget(settings, service).has_room(now, entries)
    }

    fn latency(&mut self, route: &RouteRule) -> &mut LatencyDistribution {
        let latencies = self.latencies.entry(route.name.clone());
        latencies.or_insert_with(|| initial_latency(route))
    }

    /// Returns the latency of a route like [`Self::route_latency`], without creating a record of it.
    pub(crate) fn known_latency(&self, route: &RouteRule) -> RouteLatency {
        let known = self.latencies.get(&route.name).map(LatencyDistribution::quantiles);
        let quantiles = known.unwrap_or_else(|| initial_latency(route).quantiles());
        RouteLatency { median: quantiles.median, hedge: quantiles.hedge }
    }

    pub(crate) fn record_latency(&mut self, route: &RouteRule, latency: Duration) {
        self.latency(route).record(latency);
    }

    pub(crate) fn route_latency(&mut self, route: &RouteRule) -> RouteLatency {
        let quantiles = self.latency(route).quantiles();
        RouteLatency { median: quantiles.median, hedge: quantiles.hedge }
    }

    /// Returns the shard groups of a route; empty if the route has too few shards to be divided.
    pub(crate) fn shard_groups(
        &mut self,
        settings: &GatewaySettings,
        spread: &ShardSpread,
    ) -> Arc<[ShardGroup]> {
        let Self { groups, selector, relays, .. } = self;
        let places = KnownPlaces { selector, relays };
        groups.groups(spread.shards.as_shared(), |shards| {
            let GatewaySettings { relays, entry, domain, .. } = settings;
            divide_shards(relays, entry, domain, shards, &places)
        })
    }

    /// Takes over the list of open entries. Returns whether the entries that accept parts of wide fan-outs have changed.
    pub(crate) fn update_entries(&mut self, now: MonotonicTime) -> bool {
        let is_linked = self.liveness.is_linked();
        self.selector.cold_mut().set_entries(now, is_linked, self.entry_list.entries());
        let has_changed = self.relays.set_peers(self.entry_list.relays());
        if has_changed {
            self.groups.clear();
        }
        has_changed
    }

    /// Returns the entry to which this group is sent, or `None` if this entry sends to the shards itself.
    pub(crate) fn assign_group(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
    ) -> Option<RelayAssignment> {
        let draw = self.draw();
        self.relays.assign(now, key, draw)
    }

    /// Returns the number of entries that usually send to the same target of a service on behalf of others: those of the
    /// groups in each failure domain that has targets of it.
    fn relay_users(&self, service: &ServiceId) -> u32 {
        let domains = self.selector.usable_domains(service).len().max(1) as u32;
        let choices = self.relays.settings().choices as u32;
        // Doubled, because entries that know different peers rank them differently for a while.
        (domains * choices * 2).min(self.entries)
    }

    /// Returns a random number in the range from 0 to 1, without 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.generator.random()
    }

    /// Returns the service for the next request of a route that splits its requests by weight.
    pub(crate) fn next_service(
        &mut self,
        route: &RouteRule,
        parts: &[WeightedService],
    ) -> Option<ServiceId> {
        let phase = self.generator.random::<f64>();
        let round_robin = self.splits.entry(route.name.clone());
        let round_robin =
            round_robin.or_insert_with(|| WeightedRoundRobin::with_phase(parts, phase));
        round_robin.next(parts).cloned()
    }
}

/// The state of one entry.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: SystemClock,
    pub(crate) pool: TargetPool,
    pub(crate) fanout: FanoutLinks,
    pub(crate) permits: PermitLinks,
    pub(crate) caller_counts: CallerCounts,
    /// Number of tasks of other entries since the start.
    pub(crate) tasks_served: AtomicU64,
    /// Whether this entry has learned, since its start, what it needs to serve requests: a document, and the targets that
    /// a control host reports.
    pub(crate) informed: watch::Sender<bool>,
    /// Causes an immediate report over all directory links.
    pub(crate) report_trigger: watch::Sender<u64>,
    /// Set when a planned stop begins.
    pub(crate) stop_schedule: OnceLock<StopSchedule>,
    /// Cancelled at the end of a planned stop. Requests in flight then end with what they have.
    pub(crate) finish: CancellationToken,
    decisions: Mutex<SharedDecisions>,
    log_limiter: Mutex<LogLimiter>,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, seed: u64) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut selector = TargetSelector::new(
            settings.selection,
            settings.domain.clone(),
            ChaCha12Rng::seed_from_u64(generator.random()),
        );
        let quotas = QuotaGate::new(
            MonotonicTime(0),
            settings.directory.quotas,
            ChaCha12Rng::seed_from_u64(generator.random()),
        );
        selector.set_cold_gate(ColdGate::new(settings.caller_address, settings.cold));
        let decisions = SharedDecisions {
            routes: None,
            limits: watch::Sender::new(CallerLimits::default()),
            document_fetch: DocumentFetch::default(),
            document_parts: PartAssembly::default(),
            directory: TargetDirectory::new(settings.directory.max_targets),
            liveness: LivenessTable::default(),
            entry_list: EntryList::default(),
            lag: LagMonitor::new(LagSettings::default()),
            selector,
            poison: PoisonTable::default(),
            relays: RelaySelector::new(
                settings.relays,
                settings.entry.clone(),
                settings.domain.clone(),
            ),
            groups: GroupCache::default(),
            entries: 1,
            budget_entries: EntryCount::default(),
            quotas,
            shares: FairShares::default(),
            account_labels: AccountLabels::default(),
            budgets: HashMap::new(),
            latencies: HashMap::new(),
            splits: HashMap::new(),
            generator,
        };
        let fanout = FanoutLinks::new(settings.directory.credential.clone());
        let pool = TargetPool::new(settings.target_connections, Arc::clone(&settings.answer_heads));
        Self {
            settings,
            fanout,
            permits: PermitLinks::default(),
            caller_counts: CallerCounts::default(),
            tasks_served: AtomicU64::new(0),
            informed: watch::Sender::new(false),
            report_trigger: watch::Sender::new(0),
            stop_schedule: OnceLock::new(),
            finish: CancellationToken::new(),
            clock: SystemClock::start(),
            pool,
            decisions: Mutex::new(decisions),
            log_limiter: Mutex::default(),
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.reading().monotonic
    }

    pub(crate) fn decisions(&self) -> MutexGuard<'_, SharedDecisions> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a log line about a request may be written. Logs the number of suppressed lines.
    pub(crate) fn admits_log_line(&self, priority: LogPriority) -> bool {
        let mut log_limiter = self.log_limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = log_limiter.admit(self.now(), priority);
        drop(log_limiter);
        if verdict.suppressed > 0 {
            spdlog::warn!("request log lines suppressed", kv: { count: = verdict.suppressed });
        }
        verdict.write
    }

    /// Returns the number of connections that this entry may open to one target of a service.
    pub(crate) fn connection_share(&self, service: &ServiceId, scope: AttemptScope) -> usize {
        let decisions = self.decisions();
        let limit = decisions.routes.as_ref().and_then(|routes| routes.connections(service));
        // A tenth is kept free, because targets still count closed connections for a while.
        let usable = u64::from(limit.unwrap_or(DEFAULT_CONNECTIONS)) * 9 / 10;
        let users = match scope {
            AttemptScope::Direct => decisions.entries,
            AttemptScope::Relayed => decisions.relay_users(service),
        };
        let share = usable / u64::from(users.max(1));
        usize::try_from(share.max(1)).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS)
    }

    /// Opens the links to the entries that usually send the groups of the wide routes. A request only uses links that are
    /// up, and an entry has too few requests to open them by requests alone.
    pub(crate) fn open_fanout_links(&self) {
        for address in self.usual_relays() {
            self.fanout.ensure_up(address);
        }
    }

    /// Returns the addresses of the entries that usually send the groups of the wide routes.
    pub(crate) fn usual_relays(&self) -> BTreeSet<SocketAddr> {
        let mut guard = self.decisions();
        let Some(routes) = guard.routes.clone() else { return BTreeSet::new() };
        let mut lists = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for route in &routes.document().routes {
            let RouteDestination::Shards(spread) = &route.destination else { continue };
            // Many routes share a list of shards.
            if !lists.insert(spread.shards.as_ptr()) {
                continue;
            }
            for group in &*guard.shard_groups(&self.settings, spread) {
                addresses.extend(guard.relays.usual_addresses(&group.key));
            }
        }
        addresses
    }

    /// Waits until this entry knows what it needs to serve requests, but no longer than `patience`.
    pub(crate) async fn await_informed(&self, patience: Duration) {
        if *self.informed.borrow() {
            return;
        }
        let mut informed = self.informed.subscribe();
        let wait = informed.wait_for(|informed| *informed);
        // Without the document, the request is refused after this time.
        let _ = tokio::time::timeout(patience, wait).await;
    }

    /// Sends a report over all directory links now instead of at the next interval.
    pub(crate) fn trigger_report(&self) {
        self.report_trigger.send_modify(|count| *count += 1);
    }

    /// Decides whether a request may still be sent to a target. Every path passes here right before it sends.
    pub(crate) fn check_send(
        &self,
        job: &GatewayJob,
        service: &ServiceId,
        target: &ChosenTarget,
    ) -> Result<(), SendBarrier> {
        let now = self.now();
        if now >= job.give_up_at {
            return Err(SendBarrier::DeadlinePassed);
        }
        let decisions = self.decisions();
        decisions.selector.check_target(now, target, service)?;
        if decisions.poison.is_condemned(now, &job.fingerprint) {
            return Err(SendBarrier::Condemned);
        }
        if decisions.routes.as_ref().is_some_and(|routes| !job.is_authorized(routes)) {
            return Err(SendBarrier::Revoked);
        }
        match decisions.routes.as_ref().is_none_or(|routes| job.is_routed_to(routes, service)) {
            true => Ok(()),
            false => Err(SendBarrier::Rerouted),
        }
    }

    /// Returns whether this entry lags and callers are already directed to others.
    pub(crate) fn should_leave_callers(&self) -> bool {
        let now = self.now();
        let decisions = self.decisions();
        let own_address = self.settings.caller_address;
        decisions.lag.is_lagging(now) && decisions.entry_list.prefers_others(own_address)
    }

    pub(crate) fn is_known(&self, target: &TargetId) -> bool {
        self.decisions().directory.find(target).is_some()
    }
}
