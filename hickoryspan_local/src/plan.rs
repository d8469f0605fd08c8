//! Which stand-in targets a local deployment runs.

use std::time::Duration;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{
    ConnectionCount, DocumentCount, FailureDomain, KeyRange, ParseValueError, ServiceId, ShardId,
    SlotCount, SnapshotVersion, TargetId, TenantId,
};

/// Documents in one partition of the generated index.
const PARTITION_DOCUMENTS: DocumentCount = DocumentCount(1000);
/// Service time of targets whose plan states none; short, so that tests are fast.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
/// The snapshot that all targets serve at first.
pub const INITIAL_SNAPSHOT: SnapshotVersion = SnapshotVersion(1);

/// The targets of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The tenant.
    pub tenant: TenantId,
    /// The service.
    pub service: ServiceId,
    /// Shards of its index; one for a service whose targets all hold everything.
    pub shards: u32,
    /// Targets that hold each shard.
    pub replicas: u32,
    /// Slots of each target.
    pub slots: SlotCount,
    /// Connections that each target accepts.
    pub connections: ConnectionCount,
    /// Median time that a request occupies its slot.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub service_spread: f64,
    /// Round trip between an entry and a target.
    pub network_delay: Duration,
    /// Extra time of the first request on a new connection.
    pub connection_cost: Duration,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Its name.
    pub target: TargetId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The partition that it holds.
    pub partition: PartitionRecord,
}

impl ServicePlan {
    /// A service of the example sheet.
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

    /// The targets; replicas of one shard are spread over the failure domains.
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

/// A small version of the services in `docs/examples/sheet.csv`.
pub fn default_services() -> Result<Vec<ServicePlan>, ParseValueError> {
    Ok(vec![
        ServicePlan::new("quindio", "sales-console", 20, 2)?,
        ServicePlan::new("quindio", "print-shop", 1, 4)?,
        ServicePlan::new("vestera", "reading-room", 10, 2)?,
        ServicePlan::new("vestera", "restorers-desk", 1, 5)?,
    ])
}
