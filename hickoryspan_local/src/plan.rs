//! Layout of the services and stand-in targets of a local deployment.

use std::time::Duration;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{
    ConnectionCount, DocumentCount, FailureDomain, KeyRange, ParseValueError, ServiceId, ShardId,
    SlotCount, SnapshotVersion, TargetId, TenantId,
};

/// Number of documents in each partition of the generated index.
const PARTITION_DOCUMENTS: DocumentCount = DocumentCount(1000);
/// Default service time; short, so that tests run fast.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
/// Snapshot that all targets serve when the deployment starts.
pub const INITIAL_SNAPSHOT: SnapshotVersion = SnapshotVersion(1);

/// Layout of one service and the settings of its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Tenant that owns the service.
    pub tenant: TenantId,
    /// Id of the service.
    pub service: ServiceId,
    /// Number of shards of the index; 1 if every target has the whole index.
    pub shards: u32,
    /// Number of targets per shard.
    pub replicas: u32,
    /// Number of requests that each target runs concurrently.
    pub slots: SlotCount,
    /// Maximum number of open connections to each target.
    pub connections: ConnectionCount,
    /// Median service time, during which a request occupies a slot.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; 0 makes the service time constant.
    pub service_spread: f64,
    /// Simulated network round trip between an entry and a target.
    pub network_delay: Duration,
    /// Simulated cost of opening a connection, added before its first request is served.
    pub connection_cost: Duration,
}

/// A target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Id of the target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Partition that the target serves.
    pub partition: PartitionRecord,
}

impl ServicePlan {
    /// Creates the plan of a service with default target settings. The names must exist in the example sheet.
    pub fn new(
        tenant: &str,
        service: &str,
        shards: u32,
        replicas: u32,
    ) -> Result<Self, ParseValueError> {
        Ok(Self {
            tenant: tenant.parse()?,
            service: service.parse()?,
            shards,
            replicas,
            slots: SlotCount(2),
            connections: ConnectionCount(25),
            service_time: DEFAULT_SERVICE_TIME,
            service_spread: 0.0,
            network_delay: Duration::ZERO,
            connection_cost: Duration::ZERO,
        })
    }

    /// Returns the targets of the service. Replicas of the same shard are distributed across the failure domains.
    pub fn targets(&self, domains: &[FailureDomain]) -> Result<Vec<TargetPlan>, ParseValueError> {
        let mut targets = Vec::new();
        for (index, range) in KeyRange::split_evenly(self.shards).into_iter().enumerate() {
            let shard: ShardId = format!("{}-{}", self.service, index + 1).parse()?;
            for replica in 0..self.replicas as usize {
                let domain = &domains[(index + replica) % domains.len()];
                targets.push(TargetPlan {
                    target: format!("{}/{shard}/{replica}", self.tenant).parse()?,
                    failure_domain: domain.clone(),
                    partition: PartitionRecord {
                        snapshot: INITIAL_SNAPSHOT,
                        shard: shard.clone(),
                        range,
                        documents: PARTITION_DOCUMENTS,
                    },
                });
            }
        }
        Ok(targets)
    }
}

/// Returns a small version of the services in `docs/examples/sheet.csv`.
pub fn default_services() -> Result<Vec<ServicePlan>, ParseValueError> {
    Ok(vec![
        ServicePlan::new("quindio", "sales-console", 20, 2)?,
        ServicePlan::new("quindio", "print-shop", 1, 4)?,
        ServicePlan::new("vestera", "reading-room", 10, 2)?,
        ServicePlan::new("vestera", "restorers-desk", 1, 5)?,
    ])
}
