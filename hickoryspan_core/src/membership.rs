//! Members of the system and the view of them that control replicas spread (`docs/design.md`, section 5).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::sheet::SheetDocument;
use crate::types::{
    ConnectionCount, DocumentCount, EntryId, FailureDomain, IncarnationNumber, KeyRange,
    OrdinalNumber, RequestFingerprint, RevisionNumber, ServiceId, ShardId, SlotCount,
    SnapshotVersion, StateDigest, TargetId, TenantId, WallTime,
};

/// One partition of one snapshot, as a target holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartitionRecord {
    /// The snapshot to which the partition belongs.
    pub snapshot: SnapshotVersion,
    /// The shard that holds it.
    pub shard: ShardId,
    /// The keys it covers.
    pub range: KeyRange,
    /// The documents it holds.
    pub documents: DocumentCount,
}

/// What a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetRecord {
    /// The target's name.
    pub target: TargetId,
    /// The start of the target's process.
    pub incarnation: IncarnationNumber,
    /// Where it listens for queries.
    pub address: SocketAddr,
    /// The tenant that runs it.
    pub tenant: TenantId,
    /// The service it implements.
    pub service: ServiceId,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Requests it runs at the same time.
    pub slots: SlotCount,
    /// Connections it accepts, over all entry hosts together.
    pub connections: ConnectionCount,
    /// The partitions it serves, over all snapshots it holds.
    pub partitions: Vec<PartitionRecord>,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}

/// An entry process as other members see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRecord {
    /// The entry's name.
    pub entry: EntryId,
    /// The start of the entry's process.
    pub incarnation: IncarnationNumber,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// The exclusive ordinal from which its connection shares follow.
    pub ordinal: OrdinalNumber,
    /// Whether it is leaving; it is then left out of address answers.
    pub draining: bool,
}

/// A snapshot of one service: its partitions, kept also while no target of one of them lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct SnapshotManifest {
    /// Partitions by shard.
    pub partitions: BTreeMap<ShardId, PartitionRecord>,
}

/// A service of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceKey {
    /// The tenant.
    pub tenant: TenantId,
    /// Its service.
    pub service: ServiceId,
}

/// How strictly a request that crashed targets is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineLevel {
    /// Ran on a target that crashed: a resend runs on one target first.
    Suspect,
    /// Crashed several targets: refused.
    Condemned,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineRecord {
    /// How strictly it is held back.
    pub level: QuarantineLevel,
    /// When the record ends.
    pub expires_at: WallTime,
    /// The target incarnations that crashed while they ran it.
    pub evidence: BTreeSet<CrashEvidence>,
}

/// One crash of one target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashEvidence {
    /// The target that crashed.
    pub target: TargetId,
    /// The incarnation that crashed.
    pub incarnation: IncarnationNumber,
}

/// One change of the view; changes apply in revision order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewChange {
    /// A target joined or changed.
    PutTarget(TargetRecord),
    /// A target left or its lease ended.
    RemoveTarget(TargetId),
    /// A partition of a snapshot became known or changed.
    PutPartition(ServiceKey, PartitionRecord),
    /// A snapshot is no longer served by anyone.
    RemoveSnapshot(ServiceKey, SnapshotVersion),
    /// An entry joined or changed.
    PutEntry(EntryRecord),
    /// An entry process left or its lease ended.
    RemoveEntry(EntryId, IncarnationNumber),
    /// A request is held back.
    PutQuarantine(RequestFingerprint, QuarantineRecord),
    /// A request is free again.
    RemoveQuarantine(RequestFingerprint),
    /// A sheet was accepted.
    PutSheet(Arc<SheetDocument>),
    /// An operator drains a failure domain, or ends that.
    DrainDomain(FailureDomain, bool),
}

/// Everything that an entry process needs to know, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct MembershipView {
    /// The revision of the view.
    pub revision: RevisionNumber,
    /// Digest chained over all changes up to the revision.
    pub digest: StateDigest,
    /// The accepted sheet, if any.
    pub sheet: Option<Arc<SheetDocument>>,
    /// The targets.
    pub targets: BTreeMap<TargetId, TargetRecord>,
    /// The snapshots by service.
    pub snapshots: BTreeMap<ServiceKey, BTreeMap<SnapshotVersion, SnapshotManifest>>,
    /// The entry processes; two incarnations of one entry may overlap during a restart.
    pub entries: BTreeMap<EntryId, BTreeMap<IncarnationNumber, EntryRecord>>,
    /// The requests held back.
    pub quarantines: BTreeMap<RequestFingerprint, QuarantineRecord>,
    /// The failure domains that operators drain.
    pub drained_domains: BTreeSet<FailureDomain>,
}

impl MembershipView {
    /// Applies the changes that lead to `revision`; the digest covers the changes and the former digest.
    pub fn apply(
        &mut self,
        revision: RevisionNumber,
        changes: impl IntoIterator<Item = ViewChange>,
    ) {
        for change in changes {
            self.digest = chain_digest(self.digest, &change);
            self.apply_change(change);
        }
        self.revision = revision;
    }

    /// The digest that results from the changes, so that they can be checked before they are applied.
    pub fn digest_after<'a>(
        &self,
        changes: impl IntoIterator<Item = &'a ViewChange>,
    ) -> StateDigest {
        changes.into_iter().fold(self.digest, chain_digest)
    }

    fn apply_change(&mut self, change: ViewChange) {
        match change {
            ViewChange::PutTarget(record) => {
                self.targets.insert(record.target.clone(), record);
            }
            ViewChange::RemoveTarget(target) => {
                self.targets.remove(&target);
            }
            ViewChange::PutPartition(key, partition) => {
                let manifests = self.snapshots.entry(key).or_default();
                let manifest = manifests.entry(partition.snapshot).or_default();
                manifest.partitions.insert(partition.shard.clone(), partition);
            }
            ViewChange::RemoveSnapshot(key, snapshot) => self.remove_snapshot(&key, snapshot),
            ViewChange::PutEntry(record) => {
                let incarnations = self.entries.entry(record.entry.clone()).or_default();
                incarnations.insert(record.incarnation, record);
            }
            ViewChange::RemoveEntry(entry, incarnation) => self.remove_entry(&entry, incarnation),
            ViewChange::PutQuarantine(fingerprint, record) => {
                self.quarantines.insert(fingerprint, record);
            }
            ViewChange::RemoveQuarantine(fingerprint) => {
                self.quarantines.remove(&fingerprint);
            }
            ViewChange::PutSheet(sheet) => self.sheet = Some(sheet),
            ViewChange::DrainDomain(domain, true) => {
                self.drained_domains.insert(domain);
            }
            ViewChange::DrainDomain(domain, false) => {
                self.drained_domains.remove(&domain);
            }
        }
    }

    fn remove_snapshot(&mut self, key: &ServiceKey, snapshot: SnapshotVersion) {
        let Some(manifests) = self.snapshots.get_mut(key) else { return };
        manifests.remove(&snapshot);
        if manifests.is_empty() {
            self.snapshots.remove(key);
        }
    }

    fn remove_entry(&mut self, entry: &EntryId, incarnation: IncarnationNumber) {
        let Some(incarnations) = self.entries.get_mut(entry) else { return };
        incarnations.remove(&incarnation);
        if incarnations.is_empty() {
            self.entries.remove(entry);
        }
    }
}

fn chain_digest(digest: StateDigest, change: &ViewChange) -> StateDigest {
    let text = format!("{change:?}");
    StateDigest::of_parts([digest.0.as_slice(), text.as_bytes()])
}
