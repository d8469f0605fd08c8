//! Registration of targets and entries: incarnations, drains, ordinals and snapshot manifests
//! (`docs/design.md`, section 5).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::commands::{EntryProcess, TargetProcess};
use crate::membership::{
    EntryRecord, MembershipView, PartitionRecord, ServiceKey, TargetRecord, ViewChange,
};
use crate::messages::EntryRegistration;
use crate::types::{
    EntryId, FailureDomain, IncarnationNumber, OrdinalNumber, ShardId, SnapshotVersion, TargetId,
    WallTime,
};

/// Maximum number of partitions of one target over all its snapshots; limits the size of an announcement.
pub const MAX_PARTITIONS_PER_TARGET: usize = 1_024;
/// Maximum number of removed targets whose incarnations are remembered.
const MAX_DEPARTED_TARGETS: usize = 16_384;
/// Time for which the incarnation of a removed target is remembered, in milliseconds. Delayed announcements of an
/// older process arrive well before that.
const DEPARTED_RETENTION_MILLIS: u64 = 60 * 60 * 1_000;

/// Applies changes to a view and collects them. All changes of one editor share the next revision.
#[derive(Debug)]
pub struct ViewEditor<'a> {
    /// The view with all changes applied so far.
    pub view: &'a mut MembershipView,
    changes: Vec<ViewChange>,
}

impl<'a> ViewEditor<'a> {
    /// Creates an editor without changes.
    pub fn new(view: &'a mut MembershipView) -> Self {
        Self { view, changes: Vec::new() }
    }

    /// Applies one change. The first change increments the revision.
    pub fn push(&mut self, change: ViewChange) {
        let revision =
            if self.changes.is_empty() { self.view.revision.next() } else { self.view.revision };
        self.view.apply(revision, [change.clone()]);
        self.changes.push(change);
    }

    /// Returns the applied changes in order.
    pub fn into_changes(self) -> Vec<ViewChange> {
        self.changes
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct DepartedTarget {
    incarnation: IncarnationNumber,
    failure_domain: FailureDomain,
    at: WallTime,
    // A process that withdrew may not register again, but one whose lease expired may.
    withdrawn: bool,
}

type ServedSnapshots = BTreeMap<SnapshotVersion, BTreeMap<ShardId, u32>>;

/// State of targets and entries that is not part of the view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct MemberRegistry {
    // Targets and entries that operators have drained.
    drained_targets: BTreeSet<TargetId>,
    drained_entries: BTreeSet<EntryId>,
    // Targets and entry processes that report that they are draining.
    leaving_targets: BTreeSet<TargetId>,
    leaving_entries: BTreeSet<EntryProcess>,
    departed: BTreeMap<TargetId, DepartedTarget>,
    max_ordinals: u32,
    // Sequence number of the last release of each ordinal; an ordinal that was never held is absent.
    freed: BTreeMap<OrdinalNumber, u64>,
    // Number of releases so far.
    frees: u64,
    // Number of targets that serve each partition, so that the loss of the last one is found without a scan.
    #[serde(skip)]
    served: BTreeMap<ServiceKey, ServedSnapshots>,
}

impl MemberRegistry {
    /// Rebuilds the fields that are not serialized.
    pub fn rebuild(&mut self, view: &MembershipView) {
        self.served.clear();
        for record in view.targets.values() {
            self.count_partitions(record);
        }
    }

    /// Returns the current number of ordinals; 0 before the first registration of an entry.
    pub fn max_ordinals(&self) -> u32 {
        self.max_ordinals
    }

    /// Returns the failure domain of a target that is registered or was removed recently.
    pub fn failure_domain(
        &self,
        view: &MembershipView,
        target: &TargetId,
    ) -> Option<FailureDomain> {
        let registered = view.targets.get(target).map(|record| &record.failure_domain);
        let departed = self.departed.get(target).map(|departed| &departed.failure_domain);
        registered.or(departed).cloned()
    }

    /// Returns whether the announcement equals the registered record and therefore needs no command.
    pub fn is_unchanged(&self, view: &MembershipView, announced: &TargetRecord) -> bool {
        let Some(registered) = view.targets.get(&announced.target) else { return false };
        if self.leaving_targets.contains(&announced.target) != announced.draining {
            return false;
        }
        let mut announced = announced.clone();
        announced.draining = registered.draining;
        *registered == announced
    }

    /// Registers a target or replaces its record. The error is the reason for a rejection.
    pub fn announce(
        &mut self,
        editor: &mut ViewEditor<'_>,
        announced: TargetRecord,
    ) -> Result<(), Arc<str>> {
        check_announcement(&announced)?;
        self.check_incarnation(editor.view, &announced)?;
        self.check_ranges(editor.view, &announced)?;
        let target = announced.target.clone();
        self.departed.remove(&target);
        if announced.draining {
            self.leaving_targets.insert(target.clone());
        } else {
            self.leaving_targets.remove(&target);
        }
        let mut record = announced;
        record.draining |= self.drained_targets.contains(&target);
        let former = editor.view.targets.get(&target).cloned();
        if former.as_ref() == Some(&record) {
            return Ok(());
        }
        self.count_partitions(&record);
        put_partitions(editor, &record);
        editor.push(ViewChange::PutTarget(record));
        if let Some(former) = former {
            self.release_partitions(editor, &former);
        }
        Ok(())
    }

    /// Removes a target. The error is the reason why it remains registered.
    pub fn remove_target(
        &mut self,
        editor: &mut ViewEditor<'_>,
        process: &TargetProcess,
        at: WallTime,
        withdrawn: bool,
    ) -> Result<(), Arc<str>> {
        let Some(record) = editor.view.targets.get(&process.target).cloned() else {
            return Ok(());
        };
        if record.incarnation > process.incarnation {
            return Err(newer_incarnation(&process.target, record.incarnation));
        }
        editor.push(ViewChange::RemoveTarget(process.target.clone()));
        self.release_partitions(editor, &record);
        self.leaving_targets.remove(&process.target);
        self.record_departed(&record, at, withdrawn);
        Ok(())
    }

    /// Starts or ends an operator's drain of a target.
    pub fn drain_target(
        &mut self,
        editor: &mut ViewEditor<'_>,
        target: &TargetId,
        draining: bool,
    ) -> Result<(), Arc<str>> {
        let known = editor.view.targets.contains_key(target) || self.departed.contains_key(target);
        if draining && !known {
            return Err(format!("target {target} is not registered").into());
        }
        if draining {
            self.drained_targets.insert(target.clone());
        } else if !self.drained_targets.remove(target) {
            return Err(format!("target {target} is not drained by an operator").into());
        }
        let draining = draining || self.leaving_targets.contains(target);
        let Some(record) = editor.view.targets.get(target) else { return Ok(()) };
        if record.draining != draining {
            let record = TargetRecord { draining, ..record.clone() };
            editor.push(ViewChange::PutTarget(record));
        }
        Ok(())
    }

    /// Starts or ends an operator's drain of an entry, for all its processes.
    pub fn drain_entry(
        &mut self,
        editor: &mut ViewEditor<'_>,
        entry: &EntryId,
        draining: bool,
    ) -> Result<(), Arc<str>> {
        if draining && !editor.view.entries.contains_key(entry) {
            return Err(format!("entry {entry} is not registered").into());
        }
        if draining {
            self.drained_entries.insert(entry.clone());
        } else if !self.drained_entries.remove(entry) {
            return Err(format!("entry {entry} is not drained by an operator").into());
        }
        let records = editor.view.entries.get(entry).cloned().unwrap_or_default();
        for record in records.into_values() {
            self.put_entry(editor, record);
        }
        Ok(())
    }

    /// Registers a process and returns its ordinal. A process that is already registered keeps its ordinal. The error
    /// is the reason for a rejection.
    pub fn register_entry(
        &mut self,
        editor: &mut ViewEditor<'_>,
        registration: &EntryRegistration,
        max_ordinals: u32,
    ) -> Result<OrdinalNumber, Arc<str>> {
        let EntryRegistration { entry, incarnation, .. } = registration;
        let processes = editor.view.entries.get(entry);
        let registered = processes.and_then(|processes| processes.get(incarnation));
        let newest = processes.and_then(|processes| processes.keys().next_back());
        let ordinal = match (registered, newest) {
            (Some(record), _) => record.ordinal,
            (None, Some(newest)) if newest > incarnation => {
                return Err(format!("a newer process of entry {entry} is registered").into());
            }
            (None, _) => self.find_free_ordinal(editor.view, max_ordinals)?,
        };
        let record = EntryRecord {
            entry: entry.clone(),
            incarnation: *incarnation,
            caller_address: registration.caller_address,
            failure_domain: registration.failure_domain.clone(),
            ordinal,
            draining: false,
        };
        self.put_entry(editor, record);
        Ok(ordinal)
    }

    /// Records whether a process reports that it is draining.
    pub fn mark_entry(
        &mut self,
        editor: &mut ViewEditor<'_>,
        process: &EntryProcess,
        draining: bool,
    ) {
        let Some(record) = find_entry(editor.view, process).cloned() else { return };
        if draining {
            self.leaving_entries.insert(process.clone());
        } else {
            self.leaving_entries.remove(process);
        }
        self.put_entry(editor, record);
    }

    /// Returns whether a process has reported that it is draining.
    pub fn is_leaving(&self, process: &EntryProcess) -> bool {
        self.leaving_entries.contains(process)
    }

    /// Removes a process and frees its ordinal.
    pub fn release_entry(&mut self, editor: &mut ViewEditor<'_>, process: &EntryProcess) {
        self.leaving_entries.remove(process);
        if let Some(record) = find_entry(editor.view, process) {
            self.frees += 1;
            self.freed.insert(record.ordinal, self.frees);
            editor.push(ViewChange::RemoveEntry(process.entry.clone(), process.incarnation));
        }
    }

    fn put_entry(&self, editor: &mut ViewEditor<'_>, record: EntryRecord) {
        let process = EntryProcess { entry: record.entry.clone(), incarnation: record.incarnation };
        let draining =
            self.drained_entries.contains(&record.entry) || self.leaving_entries.contains(&process);
        let record = EntryRecord { draining, ..record };
        if find_entry(editor.view, &process) != Some(&record) {
            editor.push(ViewChange::PutEntry(record));
        }
    }

    // Each process may open `connections / max_ordinals` connections to a target. Processes with different values
    // of `max_ordinals` could exceed the target's limit, so it changes only while no process is registered.
    fn find_free_ordinal(
        &mut self,
        view: &MembershipView,
        max_ordinals: u32,
    ) -> Result<OrdinalNumber, Arc<str>> {
        let processes = || view.entries.values().flat_map(|processes| processes.values());
        if self.max_ordinals == 0 || processes().next().is_none() {
            self.set_max_ordinals(max_ordinals);
        }
        let used: BTreeSet<OrdinalNumber> = processes().map(|record| record.ordinal).collect();
        (0..u64::from(self.max_ordinals))
            .map(OrdinalNumber)
            .filter(|ordinal| !used.contains(ordinal))
            // Prefers the ordinal that has been free for the longest time, because its share of each rate limit is most
            // likely unspent.
            .min_by_key(|ordinal| self.freed.get(ordinal).copied().unwrap_or_default())
            .ok_or_else(|| format!("all {} ordinals are in use", self.max_ordinals).into())
    }

    fn set_max_ordinals(&mut self, max_ordinals: u32) {
        if self.max_ordinals != 0 && self.max_ordinals != max_ordinals {
            // The shares of a limit depend on the number of ordinals, so after a change none is known to be unspent.
            self.frees += 1;
            let all = (0..u64::from(max_ordinals)).map(OrdinalNumber);
            self.freed = all.map(|ordinal| (ordinal, self.frees)).collect();
        }
        self.max_ordinals = max_ordinals;
    }

    /// Returns whether the ordinal has never been released, so that its present holder is the first one.
    pub fn is_first_holder(&self, ordinal: OrdinalNumber) -> bool {
        !self.freed.contains_key(&ordinal)
    }

    fn check_incarnation(
        &self,
        view: &MembershipView,
        announced: &TargetRecord,
    ) -> Result<(), Arc<str>> {
        let target = &announced.target;
        if let Some(registered) = view.targets.get(target)
            && registered.incarnation > announced.incarnation
        {
            return Err(newer_incarnation(target, registered.incarnation));
        }
        let Some(departed) = self.departed.get(target) else { return Ok(()) };
        if departed.incarnation > announced.incarnation {
            return Err(newer_incarnation(target, departed.incarnation));
        }
        if departed.incarnation == announced.incarnation && departed.withdrawn {
            return Err(format!("target {target} withdrew in this incarnation").into());
        }
        Ok(())
    }

    // All targets of a snapshot must announce the same key range for a shard.
    fn check_ranges(
        &self,
        view: &MembershipView,
        announced: &TargetRecord,
    ) -> Result<(), Arc<str>> {
        let key = service_key(announced);
        let former = view.targets.get(&announced.target);
        let own = |partition: &PartitionRecord| {
            former.is_some_and(|record| {
                service_key(record) == key && find_partition(record, partition).is_some()
            })
        };
        for partition in &announced.partitions {
            let PartitionRecord { snapshot, shard, .. } = partition;
            let manifest = view.snapshots.get(&key).and_then(|manifests| manifests.get(snapshot));
            let Some(known) = manifest.and_then(|manifest| manifest.partitions.get(shard)) else {
                continue;
            };
            let others = self.served_count(&key, partition) - u32::from(own(partition));
            if known.range != partition.range && others > 0 {
                return Err(format!(
                    "shard {shard} of snapshot {snapshot} covers {}, other targets say {}",
                    partition.range, known.range
                )
                .into());
            }
        }
        Ok(())
    }

    fn served_count(&self, key: &ServiceKey, partition: &PartitionRecord) -> u32 {
        let snapshots = self.served.get(key);
        let shards = snapshots.and_then(|snapshots| snapshots.get(&partition.snapshot));
        shards.and_then(|shards| shards.get(&partition.shard)).copied().unwrap_or(0)
    }

    fn count_partitions(&mut self, record: &TargetRecord) {
        let snapshots = self.served.entry(service_key(record)).or_default();
        for partition in &record.partitions {
            let shards = snapshots.entry(partition.snapshot).or_default();
            *shards.entry(partition.shard.clone()).or_default() += 1;
        }
    }

    fn release_partitions(&mut self, editor: &mut ViewEditor<'_>, record: &TargetRecord) {
        let key = service_key(record);
        let Some(snapshots) = self.served.get_mut(&key) else { return };
        for partition in &record.partitions {
            let Some(shards) = snapshots.get_mut(&partition.snapshot) else { continue };
            if let Some(count) = shards.get_mut(&partition.shard) {
                *count = count.saturating_sub(1);
            }
            shards.retain(|_, count| *count > 0);
            if shards.is_empty() {
                snapshots.remove(&partition.snapshot);
                editor.push(ViewChange::RemoveSnapshot(key.clone(), partition.snapshot));
            }
        }
        if snapshots.is_empty() {
            self.served.remove(&key);
        }
    }

    fn record_departed(&mut self, record: &TargetRecord, at: WallTime, withdrawn: bool) {
        let oldest = WallTime(at.0.saturating_sub(DEPARTED_RETENTION_MILLIS));
        if self.departed.len() >= MAX_DEPARTED_TARGETS {
            self.departed.retain(|_, departed| departed.at > oldest);
        }
        if self.departed.len() >= MAX_DEPARTED_TARGETS {
            self.departed.pop_first();
        }
        let departed = DepartedTarget {
            incarnation: record.incarnation,
            failure_domain: record.failure_domain.clone(),
            at,
            withdrawn,
        };
        self.departed.insert(record.target.clone(), departed);
    }
}

/// Returns the key of the target's service.
pub fn service_key(record: &TargetRecord) -> ServiceKey {
    ServiceKey { tenant: record.tenant.clone(), service: record.service.clone() }
}

/// Returns the record of an entry process, or `None` if it is not registered.
pub fn find_entry<'a>(view: &'a MembershipView, process: &EntryProcess) -> Option<&'a EntryRecord> {
    view.entries.get(&process.entry)?.get(&process.incarnation)
}

/// Validates an announcement by itself, without the registry. The error is the reason for a rejection.
pub fn check_announcement(announced: &TargetRecord) -> Result<(), Arc<str>> {
    if announced.partitions.len() > MAX_PARTITIONS_PER_TARGET {
        return Err(format!(
            "{} partitions announced, at most {MAX_PARTITIONS_PER_TARGET} are accepted",
            announced.partitions.len()
        )
        .into());
    }
    if announced.slots.0 == 0 || announced.connections.0 == 0 {
        return Err("a target needs at least one slot and one connection".into());
    }
    let mut seen = BTreeSet::new();
    for partition in &announced.partitions {
        if partition.range.last < partition.range.first {
            return Err(format!("shard {} has an empty key range", partition.shard).into());
        }
        if !seen.insert((partition.snapshot, &partition.shard)) {
            return Err(format!("shard {} is announced twice", partition.shard).into());
        }
    }
    Ok(())
}

// Replicas of a shard may report different document counts. The larger one is used, so that coverage is not
// overstated.
fn put_partitions(editor: &mut ViewEditor<'_>, record: &TargetRecord) {
    let key = service_key(record);
    for partition in &record.partitions {
        let manifests = editor.view.snapshots.get(&key);
        let manifest = manifests.and_then(|manifests| manifests.get(&partition.snapshot));
        let known = manifest.and_then(|manifest| manifest.partitions.get(&partition.shard));
        let unchanged = known.is_some_and(|known| {
            known.range == partition.range && known.documents >= partition.documents
        });
        if !unchanged {
            editor.push(ViewChange::PutPartition(key.clone(), partition.clone()));
        }
    }
}

fn find_partition<'a>(
    record: &'a TargetRecord,
    partition: &PartitionRecord,
) -> Option<&'a PartitionRecord> {
    record
        .partitions
        .iter()
        .find(|own| own.snapshot == partition.snapshot && own.shard == partition.shard)
}

fn newer_incarnation(target: &TargetId, incarnation: IncarnationNumber) -> Arc<str> {
    format!("incarnation {incarnation} of target {target} is known").into()
}
