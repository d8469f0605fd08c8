//! Members of the system, and the view of them that control replicas distribute (`docs/design.md`,
//! section 5).

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

/// One partition of one snapshot, as served by a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartitionRecord {
    /// The snapshot to which the partition belongs.
    pub snapshot: SnapshotVersion,
    /// The shard that holds it.
    pub shard: ShardId,
    /// The range of keys that it covers.
    pub range: KeyRange,
    /// Number of documents in the partition.
    pub documents: DocumentCount,
}

/// The properties that a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetRecord {
    /// Name of the target.
    pub target: TargetId,
    /// Incarnation of the target's process.
    pub incarnation: IncarnationNumber,
    /// Address at which it accepts queries.
    pub address: SocketAddr,
    /// The tenant that runs it.
    pub tenant: TenantId,
    /// The service it implements.
    pub service: ServiceId,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs at the same time.
    pub slots: SlotCount,
    /// Number of connections that it accepts from all entry hosts together.
    pub connections: ConnectionCount,
    /// The partitions that it serves, of all its snapshots.
    pub partitions: Vec<PartitionRecord>,
    /// Whether it is leaving and accepts no new work.
    pub draining: bool,
}

/// An entry process as seen by other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRecord {
    /// Name of the entry.
    pub entry: EntryId,
    /// Incarnation of the entry's process.
    pub incarnation: IncarnationNumber,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// The exclusive ordinal, which determines its connection shares.
    pub ordinal: OrdinalNumber,
    /// Whether it is leaving. Callers that ask for addresses are then not directed to it.
    pub draining: bool,
}

/// The partitions of one snapshot of a service. A partition is kept even while no target serves it.
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
    /// Tenant that owns the service.
    pub tenant: TenantId,
    /// Name of the service within the tenant.
    pub service: ServiceId,
}

/// Level of restriction for a request that was running on a target when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineLevel {
    /// The request ran on a target that crashed. A resend runs on a single target first.
    Suspect,
    /// The request crashed several targets and is refused.
    Condemned,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineRecord {
    /// Level of restriction.
    pub level: QuarantineLevel,
    /// Time at which the quarantine ends.
    pub expires_at: WallTime,
    /// The target incarnations that crashed while they ran the request.
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

/// One change of the view. Changes are applied in the order of their revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewChange {
    /// A target joined or changed.
    PutTarget(TargetRecord),
    /// A target left or its lease expired.
    RemoveTarget(TargetId),
    /// A partition of a snapshot became known or changed.
    PutPartition(ServiceKey, PartitionRecord),
    /// A snapshot is no longer served by any target.
    RemoveSnapshot(ServiceKey, SnapshotVersion),
    /// An entry joined or changed.
    PutEntry(EntryRecord),
    /// An entry process left or its lease expired.
    RemoveEntry(EntryId, IncarnationNumber),
    /// A request was quarantined, or its quarantine changed.
    PutQuarantine(RequestFingerprint, QuarantineRecord),
    /// The quarantine of a request ended.
    RemoveQuarantine(RequestFingerprint),
    /// A sheet was accepted.
    PutSheet(Arc<SheetDocument>),
    /// An operator started (`true`) or ended (`false`) the drain of a failure domain.
    DrainDomain(FailureDomain, bool),
}

/// Everything that an entry process needs to know about the system, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct MembershipView {
    /// The revision of the view.
    pub revision: RevisionNumber,
    /// Digest chained over all changes up to the revision.
    pub digest: StateDigest,
    /// The accepted sheet, if any.
    pub sheet: Option<Arc<SheetDocument>>,
    /// The targets by name.
    pub targets: BTreeMap<TargetId, TargetRecord>,
    /// The snapshots by service and version.
    pub snapshots: BTreeMap<ServiceKey, BTreeMap<SnapshotVersion, SnapshotManifest>>,
    /// The entry processes by name and incarnation. Two incarnations of one entry may overlap
    /// during a restart.
    pub entries: BTreeMap<EntryId, BTreeMap<IncarnationNumber, EntryRecord>>,
    /// The quarantined requests by fingerprint.
    pub quarantines: BTreeMap<RequestFingerprint, QuarantineRecord>,
    /// The failure domains that operators have drained.
    pub drained_domains: BTreeSet<FailureDomain>,
}

impl MembershipView {
    /// Applies the changes that lead to `revision`. The new digest covers the changes and the
    /// previous digest.
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

    /// Returns the digest that results from the changes, so that they can be verified before they
    /// are applied.
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
