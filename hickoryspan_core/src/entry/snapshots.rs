//! Services with their snapshots, and the targets that serve each partition.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::membership::{PartitionRecord, ServiceKey, SnapshotManifest};
use crate::sheet::{ServiceKind, ShardScope};
use crate::types::{KeyRange, ShardId, SnapshotVersion, TenantId};

use super::budgets::{BudgetSettings, RetryBudget};
use super::coverage::{CoverageBase, CoverageCounter, partition_weights};
use super::fleet::Fleet;
use super::latency::{LatencyDistribution, LatencySettings};
use super::queries::QueryState;
use super::targets::TargetIndex;

/// Maximum number of shard lists per snapshot whose layouts are cached. The sheet names only a few.
const MAX_LISTED_SCOPES: usize = 64;

/// Index of a service inside the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServiceIndex(pub u32);

/// Index of a tenant inside the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TenantIndex(pub u32);

/// Index of a target group inside the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct GroupIndex(pub u32);

/// Property that the targets of a group share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GroupKey {
    /// The targets serve the same key range of a shard of a snapshot. A shard whose range changed
    /// is another partition.
    Partition(ServiceIndex, SnapshotVersion, ShardId, KeyRange),
    /// The targets serve any partition of a snapshot.
    Snapshot(ServiceIndex, SnapshotVersion),
    /// The targets belong to the service.
    Service(ServiceIndex),
}

/// Targets that are interchangeable for some work.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetGroup {
    /// Targets sorted by name.
    pub replicas: Vec<TargetIndex>,
}

/// Partition of a layout.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LayoutPartition {
    /// Group of the targets that serve the partition.
    pub group: GroupIndex,
    /// Shard of the partition; `None` if any partition of the target is suitable.
    pub shard: Option<ShardId>,
    /// Weight of the partition in the coverage.
    pub weight: f64,
}

/// Partitions that a search spans, in key order and without overlap. A query keeps its layout when
/// the manifest changes, so that no key is searched twice or silently left out.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SnapshotLayout {
    /// Snapshot of the partitions; `None` if the service has no snapshots.
    pub version: Option<SnapshotVersion>,
    /// Partitions in key order.
    pub partitions: Vec<LayoutPartition>,
    /// Total weight, to which the coverage is relative.
    pub base: CoverageBase,
}

/// Layout with the coverage that is reachable now.
#[derive(Clone, Debug)]
pub(super) struct LayoutChoice {
    /// Chosen layout.
    pub layout: Arc<SnapshotLayout>,
    /// Coverage that is reached if every partition with an available target answers.
    pub reachable: f64,
}

#[derive(Debug)]
struct SnapshotEntry {
    version: SnapshotVersion,
    /// Layout of all partitions, for sharded services.
    sharded: LayoutChoice,
    /// Layout for services whose searches use a single target.
    single: LayoutChoice,
    /// Cached layouts of listed shards.
    listed: BTreeMap<Vec<ShardId>, LayoutChoice>,
}

/// State of a service and its snapshots.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Tenant and name of the service.
    pub key: ServiceKey,
    /// Tenant that owns the service.
    pub tenant: TenantIndex,
    /// Latencies of the service's sub-requests.
    pub latency: LatencyDistribution,
    /// Number of sub-requests that wait for capacity.
    pub waiting: usize,
    /// Targets of the service, sorted by name.
    pub targets: Vec<TargetIndex>,
    manifests: BTreeMap<SnapshotVersion, SnapshotManifest>,
    /// Snapshots in ascending order of their versions.
    snapshots: Vec<SnapshotEntry>,
    /// Layout for orders, and for searches of a single-target service without snapshots.
    service_layout: Arc<SnapshotLayout>,
    /// Layouts that running queries may use, but that are no longer current or were not cached.
    /// Their target groups must be kept.
    retired: Vec<Arc<SnapshotLayout>>,
}

/// All services, with the target groups that they use.
#[derive(Debug, Default)]
pub(super) struct ServiceDirectory {
    services: Vec<ServiceState>,
    by_key: BTreeMap<ServiceKey, ServiceIndex>,
    tenants: Vec<RetryBudget>,
    tenant_index: BTreeMap<TenantId, TenantIndex>,
    groups: Vec<TargetGroup>,
    group_index: BTreeMap<GroupKey, GroupIndex>,
    free_groups: Vec<GroupIndex>,
}

/// Selects disjoint partitions with the largest served key range. Overlaps appear while the
/// partitions of a snapshot are split or merged, and counting both sides would count documents
/// twice.
fn select_disjoint(
    mut records: Vec<&PartitionRecord>,
    is_served: impl Fn(&PartitionRecord) -> bool,
) -> Vec<&PartitionRecord> {
    records.retain(|record| record.range.first <= record.range.last);
    records.sort_by_key(|record| (record.range.last, record.range.first));
    if records.windows(2).all(|pair| pair[0].range.last < pair[1].range.first) {
        return records;
    }
    // Weighted interval scheduling: `best[n]` is the largest weight of the first n records.
    let weight = |record: &PartitionRecord| {
        record.range.share() * if is_served(record) { 1.0 } else { 1e-6 }
    };
    let before = |record: &PartitionRecord| {
        records.partition_point(|other| other.range.last < record.range.first)
    };
    let mut best = vec![0.0; records.len() + 1];
    for (index, record) in records.iter().enumerate() {
        best[index + 1] = f64::max(best[index], best[before(record)] + weight(record));
    }
    let mut chosen = Vec::new();
    let mut index = records.len();
    while index > 0 {
        let record = records[index - 1];
        if best[index] > best[index - 1] {
            chosen.push(record);
            index = before(record);
        } else {
            index -= 1;
        }
    }
    chosen.reverse();
    chosen
}

impl ServiceDirectory {
    /// Returns the index of a service, or `None` if the service is unknown.
    pub fn find(&self, key: &ServiceKey) -> Option<ServiceIndex> {
        self.by_key.get(key).copied()
    }

    /// Returns the index of a service, which is added if it is unknown.
    pub fn ensure(
        &mut self,
        key: &ServiceKey,
        latency: LatencySettings,
        budgets: &BudgetSettings,
    ) -> ServiceIndex {
        if let Some(index) = self.find(key) {
            return index;
        }
        let index = ServiceIndex(self.services.len() as u32);
        let group = self.ensure_group(GroupKey::Service(index));
        let service_layout = single_layout(None, group);
        let tenant = *self.tenant_index.entry(key.tenant.clone()).or_insert_with(|| {
            self.tenants.push(RetryBudget::of_tenant(budgets));
            TenantIndex(self.tenants.len() as u32 - 1)
        });
        self.services.push(ServiceState {
            key: key.clone(),
            tenant,
            latency: LatencyDistribution::new(latency),
            waiting: 0,
            targets: Vec::new(),
            manifests: BTreeMap::new(),
            snapshots: Vec::new(),
            service_layout,
            retired: Vec::new(),
        });
        self.by_key.insert(key.clone(), index);
        index
    }

    /// Returns the indexes of all services.
    pub fn indexes(&self) -> impl Iterator<Item = ServiceIndex> + use<> {
        (0..self.services.len() as u32).map(ServiceIndex)
    }

    /// Returns the state of a service.
    pub fn service(&self, index: ServiceIndex) -> &ServiceState {
        &self.services[index.0 as usize]
    }

    /// Returns the state of a service.
    pub fn service_mut(&mut self, index: ServiceIndex) -> &mut ServiceState {
        &mut self.services[index.0 as usize]
    }

    /// Returns the budget of the service's tenant.
    pub fn tenant_budget(&mut self, service: ServiceIndex) -> &mut RetryBudget {
        let tenant = self.service(service).tenant;
        &mut self.tenants[tenant.0 as usize]
    }

    /// Returns the targets of a group.
    pub fn replicas(&self, group: GroupIndex) -> &[TargetIndex] {
        &self.groups[group.0 as usize].replicas
    }

    /// Returns whether a target serves a partition of a query's layout.
    pub fn serves(&self, query: &QueryState, partition: u32, target: TargetIndex) -> bool {
        self.replicas(query.layout.partitions[partition as usize].group).contains(&target)
    }

    /// Returns the layout for orders of a service.
    pub fn service_layout(&self, service: ServiceIndex) -> Arc<SnapshotLayout> {
        Arc::clone(&self.service(service).service_layout)
    }

    /// Sets the manifests of a service. Returns whether they changed.
    pub fn set_manifests(
        &mut self,
        service: ServiceIndex,
        manifests: Option<&BTreeMap<SnapshotVersion, SnapshotManifest>>,
    ) -> bool {
        let state = self.service_mut(service);
        match manifests {
            Some(manifests) if *manifests != state.manifests => {
                state.manifests.clone_from(manifests);
                true
            }
            None if !state.manifests.is_empty() => {
                state.manifests.clear();
                true
            }
            _ => false,
        }
    }

    /// Recomputes the groups and layouts of a service after its targets or manifests changed.
    pub fn rebuild(&mut self, service: ServiceIndex, fleet: &Fleet) {
        let targets = fleet.targets_of(service);
        let groups = self.group_index.iter().filter(|(key, _)| key.service() == service);
        for group in groups.map(|(_, group)| *group) {
            self.groups[group.0 as usize].replicas.clear();
        }
        for target in &targets {
            self.add_to_groups(service, *target, fleet);
        }
        self.service_mut(service).targets = targets;
        self.rebuild_layouts(service, fleet);
        self.drop_unused_groups(service);
        self.refresh_reachable(service, fleet);
    }

    fn add_to_groups(&mut self, service: ServiceIndex, target: TargetIndex, fleet: &Fleet) {
        let mut keys = BTreeSet::new();
        self.add_to_group(GroupKey::Service(service), target);
        for record in fleet.target(target).served_partitions() {
            let key =
                GroupKey::Partition(service, record.snapshot, record.shard.clone(), record.range);
            self.add_to_group(key, target);
            if keys.insert(record.snapshot) {
                self.add_to_group(GroupKey::Snapshot(service, record.snapshot), target);
            }
        }
    }

    fn add_to_group(&mut self, key: GroupKey, target: TargetIndex) {
        let group = self.ensure_group(key);
        let replicas = &mut self.groups[group.0 as usize].replicas;
        if !replicas.contains(&target) {
            replicas.push(target);
        }
    }

    fn ensure_group(&mut self, key: GroupKey) -> GroupIndex {
        if let Some(group) = self.group_index.get(&key) {
            return *group;
        }
        let group = self.free_groups.pop().unwrap_or_else(|| {
            self.groups.push(TargetGroup::default());
            GroupIndex(self.groups.len() as u32 - 1)
        });
        self.group_index.insert(key, group);
        group
    }

    fn rebuild_layouts(&mut self, service: ServiceIndex, fleet: &Fleet) {
        let manifests = std::mem::take(&mut self.service_mut(service).manifests);
        let mut former = std::mem::take(&mut self.service_mut(service).snapshots);
        for (version, manifest) in &manifests {
            let sharded = self.layout(service, *version, manifest, &ShardScope::All, fleet);
            let group = self.ensure_group(GroupKey::Snapshot(service, *version));
            let single = single_layout(Some(*version), group);
            let old = former.iter().position(|entry| entry.version == *version);
            let old = old.map(|position| former.swap_remove(position));
            let entry = SnapshotEntry {
                version: *version,
                sharded: reuse_if_equal(old.as_ref().map(|entry| &entry.sharded), sharded),
                single: reuse_if_equal(old.as_ref().map(|entry| &entry.single), single),
                listed: BTreeMap::new(),
            };
            former.extend(old);
            self.service_mut(service).snapshots.push(entry);
        }
        let state = self.service_mut(service);
        state.manifests = manifests;
        for entry in former {
            let listed = entry.listed.into_values().map(|choice| choice.layout);
            for layout in [entry.sharded.layout, entry.single.layout].into_iter().chain(listed) {
                let kept = |entry: &SnapshotEntry| {
                    Arc::ptr_eq(&entry.sharded.layout, &layout)
                        || Arc::ptr_eq(&entry.single.layout, &layout)
                };
                if !state.snapshots.iter().any(kept) {
                    state.retired.push(layout);
                }
            }
        }
        // Drops layouts that only this list references, because no query uses them.
        state.retired.retain(|layout| Arc::strong_count(layout) > 1);
    }

    fn layout(
        &mut self,
        service: ServiceIndex,
        version: SnapshotVersion,
        manifest: &SnapshotManifest,
        scope: &ShardScope,
        fleet: &Fleet,
    ) -> Arc<SnapshotLayout> {
        let records: Vec<&PartitionRecord> = match scope {
            ShardScope::All => manifest.partitions.values().collect(),
            ShardScope::Listed(shards) => {
                let shards: BTreeSet<&ShardId> = shards.iter().collect();
                shards.into_iter().filter_map(|shard| manifest.partitions.get(shard)).collect()
            }
        };
        let key = |record: &PartitionRecord| {
            GroupKey::Partition(service, version, record.shard.clone(), record.range)
        };
        let records = select_disjoint(records, |record| {
            let group = self.group_index.get(&key(record));
            group.is_some_and(|group| self.is_reachable(*group, fleet))
        });
        let weights = partition_weights(&records);
        let base = CoverageBase::new(&records, &weights, scope);
        let partition = |(record, weight): (&&PartitionRecord, f64)| LayoutPartition {
            group: self.ensure_group(key(record)),
            shard: Some(record.shard.clone()),
            weight,
        };
        let partitions = records.iter().zip(weights).map(partition).collect();
        Arc::new(SnapshotLayout { version: Some(version), partitions, base })
    }

    fn drop_unused_groups(&mut self, service: ServiceIndex) {
        let state = self.service(service);
        let current = state.snapshots.iter().flat_map(|entry| {
            let listed = entry.listed.values().map(|choice| &choice.layout);
            [&entry.sharded.layout, &entry.single.layout].into_iter().chain(listed)
        });
        let layouts = current.chain(&state.retired).chain([&state.service_layout]);
        let used: BTreeSet<GroupIndex> =
            layouts.flat_map(|layout| layout.partitions.iter().map(|part| part.group)).collect();
        let mut freed = Vec::new();
        self.group_index.retain(|key, group| {
            let keep = key.service() != service || used.contains(group);
            if !keep {
                freed.push(*group);
            }
            keep
        });
        for group in freed {
            self.groups[group.0 as usize].replicas.clear();
            self.free_groups.push(group);
        }
    }

    /// Returns whether any target of the group accepts work.
    pub fn is_reachable(&self, group: GroupIndex, fleet: &Fleet) -> bool {
        self.replicas(group).iter().any(|target| fleet.target(*target).accepts_work())
    }

    /// Updates the reachable coverage of a service's layouts after targets became available or
    /// unavailable.
    pub fn refresh_reachable(&mut self, service: ServiceIndex, fleet: &Fleet) {
        let mut entries = std::mem::take(&mut self.service_mut(service).snapshots);
        for entry in &mut entries {
            let listed = entry.listed.values_mut();
            for choice in [&mut entry.sharded, &mut entry.single].into_iter().chain(listed) {
                choice.reachable = self.reachable(&choice.layout, fleet);
            }
        }
        self.service_mut(service).snapshots = entries;
    }

    /// Returns the coverage that is reached if every partition with an available target answers.
    pub fn reachable(&self, layout: &SnapshotLayout, fleet: &Fleet) -> f64 {
        let mut counter = CoverageCounter::default();
        for partition in &layout.partitions {
            if self.is_reachable(partition.group, fleet) {
                counter.add(partition.weight);
            }
        }
        counter.share(&layout.base).value()
    }

    /// Removes a target from a group after it denied the group's partition.
    pub fn remove_replica(
        &mut self,
        service: ServiceIndex,
        target: TargetIndex,
        group: GroupIndex,
        fleet: &Fleet,
    ) {
        self.groups[group.0 as usize].replicas.retain(|replica| *replica != target);
        self.refresh_reachable(service, fleet);
    }

    /// Chooses the layout for a search. Prefers the pinned snapshot if there is one, otherwise the
    /// newest snapshot that is fully reachable, otherwise the one with the highest reachable
    /// coverage, and the newest on ties. Only snapshots newer than `newer_than` are considered.
    ///
    /// Returns `None` if nothing is reachable.
    pub fn choose(
        &mut self,
        service: ServiceIndex,
        scope: &SearchScope<'_>,
        newer_than: Option<SnapshotVersion>,
        fleet: &Fleet,
    ) -> Option<LayoutChoice> {
        let mut best: Option<LayoutChoice> = None;
        for position in (0..self.service(service).snapshots.len()).rev() {
            let version = self.service(service).snapshots[position].version;
            if newer_than.is_some_and(|bound| version <= bound)
                || scope.pinned.is_some_and(|pinned| version != pinned)
            {
                continue;
            }
            let choice = self.choice(service, position, scope, fleet);
            if choice.reachable >= 1.0 {
                return Some(choice);
            }
            if best.as_ref().is_none_or(|best| choice.reachable > best.reachable) {
                best = Some(choice);
            }
        }
        let without_snapshots = best.is_none()
            && scope.kind == ServiceKind::Single
            && scope.pinned.is_none()
            && self.service(service).snapshots.is_empty();
        if without_snapshots {
            let layout = self.service_layout(service);
            let reachable = self.reachable(&layout, fleet);
            best = Some(LayoutChoice { layout, reachable });
        }
        best.filter(|choice| choice.reachable > 0.0)
    }

    fn choice(
        &mut self,
        service: ServiceIndex,
        position: usize,
        scope: &SearchScope<'_>,
        fleet: &Fleet,
    ) -> LayoutChoice {
        let entry = &self.service(service).snapshots[position];
        let shards = match (scope.kind, scope.shards) {
            (ServiceKind::Single, _) => return entry.single.clone(),
            (ServiceKind::Sharded, ShardScope::All) => return entry.sharded.clone(),
            (ServiceKind::Sharded, ShardScope::Listed(shards)) => shards,
        };
        if let Some(choice) = entry.listed.get(shards) {
            return choice.clone();
        }
        let version = entry.version;
        let manifest = self.service(service).manifests.get(&version).cloned().unwrap_or_default();
        let layout = self.layout(service, version, &manifest, scope.shards, fleet);
        let choice = LayoutChoice { reachable: self.reachable(&layout, fleet), layout };
        let listed = &mut self.service_mut(service).snapshots[position].listed;
        if listed.len() < MAX_LISTED_SCOPES {
            listed.insert(shards.clone(), choice.clone());
        } else {
            let layout = Arc::clone(&choice.layout);
            self.service_mut(service).retired.push(layout);
        }
        choice
    }

    /// Returns the number of partitions that a search would span now, whether they are reachable or
    /// not.
    pub fn width(&self, key: &ServiceKey, scope: &SearchScope<'_>) -> u32 {
        let Some(service) = self.find(key).map(|index| self.service(index)) else { return 0 };
        if scope.kind == ServiceKind::Single {
            return u32::from(!service.targets.is_empty());
        }
        let entries = service.snapshots.iter().rev();
        let mut entries =
            entries.filter(|entry| scope.pinned.is_none_or(|pin| pin == entry.version));
        let full = entries.clone().find(|entry| entry.sharded.reachable >= 1.0);
        let Some(entry) = full.or_else(|| entries.next()) else { return 0 };
        let width = match scope.shards {
            ShardScope::All => entry.sharded.layout.partitions.len(),
            ShardScope::Listed(shards) => shards.iter().collect::<BTreeSet<_>>().len(),
        };
        u32::try_from(width).unwrap_or(u32::MAX)
    }
}

/// Part of a service's data that a search may span.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchScope<'a> {
    /// How the service partitions its data.
    pub kind: ServiceKind,
    /// Shards that the search may span.
    pub shards: &'a ShardScope,
    /// Snapshot of an earlier result page, which must be used again.
    pub pinned: Option<SnapshotVersion>,
}

impl GroupKey {
    fn service(&self) -> ServiceIndex {
        match self {
            Self::Partition(service, ..) | Self::Snapshot(service, _) | Self::Service(service) => {
                *service
            }
        }
    }
}

fn single_layout(version: Option<SnapshotVersion>, group: GroupIndex) -> Arc<SnapshotLayout> {
    let partitions = vec![LayoutPartition { group, shard: None, weight: 1.0 }];
    Arc::new(SnapshotLayout { version, partitions, base: CoverageBase::single() })
}

/// Reuses the former layout if the new one is equal, so that queries and the directory share it.
fn reuse_if_equal(old: Option<&LayoutChoice>, layout: Arc<SnapshotLayout>) -> LayoutChoice {
    let layout = match old {
        Some(old) if *old.layout == *layout => Arc::clone(&old.layout),
        _ => layout,
    };
    LayoutChoice { layout, reachable: 0.0 }
}
