//! Measures the encoded sizes of the messages that replicate state to entries.

use std::sync::Arc;

use hickoryspan_core::membership::{
    EntryRecord, MembershipView, PartitionRecord, ServiceKey, TargetRecord, ViewChange,
};
use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::{
    ConnectionCount, DocumentCount, IncarnationNumber, KeyRange, OrdinalNumber, RevisionNumber,
    SlotCount, SnapshotVersion, StateDigest,
};
use hickoryspan_local::example_sheet;
use hickoryspan_wire::encode_message;

/// Encoded message sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageSizes {
    /// Lease renewal of an entry without demand.
    pub renew: usize,
    /// Response to a lease renewal.
    pub renewed: usize,
    /// Delta with one changed target that has one partition.
    pub put_target: usize,
    /// Delta with one removed target.
    pub remove_target: usize,
    /// Delta with one changed entry.
    pub put_entry: usize,
    /// Delta with the whole example sheet.
    pub put_sheet: usize,
}

/// Returns a target with names and values as they occur at the design scale.
pub fn sample_target(number: u32) -> anyhow::Result<TargetRecord> {
    Ok(TargetRecord {
        target: format!("quindio/sales-console-{number}/0").parse()?,
        incarnation: IncarnationNumber(1_800_000_000_000),
        address: "127.0.0.1:40000".parse()?,
        tenant: "quindio".parse()?,
        service: "sales-console".parse()?,
        failure_domain: format!("domain-{}", number % 9).parse()?,
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        partitions: vec![sample_partition(number)?],
        draining: false,
    })
}

/// Returns the partition of a sample target.
pub fn sample_partition(number: u32) -> anyhow::Result<PartitionRecord> {
    Ok(PartitionRecord {
        snapshot: SnapshotVersion(1),
        shard: format!("sales-console-{number}").parse()?,
        range: KeyRange { first: u64::from(number) << 32, last: (u64::from(number) << 32) + 9 },
        documents: DocumentCount(1000),
    })
}

/// Returns an entry with names and values as they occur at the design scale.
pub fn sample_entry(number: u32) -> anyhow::Result<EntryRecord> {
    Ok(EntryRecord {
        entry: format!("entry-{number}").parse()?,
        incarnation: IncarnationNumber(1_800_000_000_000),
        caller_address: "127.0.0.1:40000".parse()?,
        failure_domain: format!("domain-{}", number % 9).parse()?,
        ordinal: OrdinalNumber(u64::from(number)),
        draining: false,
    })
}

/// Returns the service of the sample targets.
pub fn sample_service() -> anyhow::Result<ServiceKey> {
    Ok(ServiceKey { tenant: "quindio".parse()?, service: "sales-console".parse()? })
}

/// Returns a view with the example sheet and the given numbers of targets and entries.
pub fn sample_view(targets: u32, entries: u32) -> anyhow::Result<MembershipView> {
    let mut view = MembershipView::default();
    let mut changes = vec![ViewChange::PutSheet(Arc::new(example_sheet()?))];
    for number in 0..targets {
        changes.push(ViewChange::PutTarget(sample_target(number)?));
        changes.push(ViewChange::PutPartition(sample_service()?, sample_partition(number)?));
    }
    for number in 0..entries {
        changes.push(ViewChange::PutEntry(sample_entry(number)?));
    }
    view.apply(RevisionNumber(1), changes);
    Ok(view)
}

fn delta(changes: Vec<ViewChange>) -> anyhow::Result<usize> {
    let message = ControlMessage::Delta {
        from: RevisionNumber(1_000_000),
        to: RevisionNumber(1_000_001),
        changes,
        digest: StateDigest::default(),
    };
    Ok(encode_message(&message)?.len())
}

/// Encodes one message of each kind and returns the sizes.
pub fn measure_messages() -> anyhow::Result<MessageSizes> {
    let renew = EntryMessage::Renew {
        sequence: 1_000_000,
        revision: RevisionNumber(1_000_000),
        digest: StateDigest::default(),
        draining: false,
        demand: Vec::new(),
    };
    let renewed = ControlMessage::Renewed {
        sequence: 1_000_000,
        lease: std::time::Duration::from_secs(5),
        committed: RevisionNumber(1_000_000),
        shares: Vec::new(),
        share_lease: std::time::Duration::from_secs(2),
    };
    let target = sample_target(1)?;
    Ok(MessageSizes {
        renew: encode_message(&renew)?.len(),
        renewed: encode_message(&renewed)?.len(),
        put_target: delta(vec![
            ViewChange::PutTarget(target.clone()),
            ViewChange::PutPartition(sample_service()?, sample_partition(1)?),
        ])?,
        remove_target: delta(vec![ViewChange::RemoveTarget(target.target)])?,
        put_entry: delta(vec![ViewChange::PutEntry(sample_entry(1)?)])?,
        put_sheet: delta(vec![ViewChange::PutSheet(Arc::new(example_sheet()?))])?,
    })
}

/// Returns the encoded size of a full view, in bytes.
pub fn measure_view(targets: u32, entries: u32) -> anyhow::Result<usize> {
    let view = sample_view(targets, entries)?;
    Ok(encode_message(&ControlMessage::View(Box::new(view)))?.len())
}
