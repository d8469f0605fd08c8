//! Settings of a stand-in target.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{
    ByteCount, ConnectionCount, DocumentCount, FailureDomain, IncarnationNumber, KeyRange,
    ParseValueError, ServiceId, ShardId, SlotCount, SnapshotVersion, TargetId, TenantId,
};
use hickoryspan_runtime::credential::SharedCredential;

/// Settings of a stand-in target. The default is a fast target without partitions and without control replicas.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Id of the target.
    pub target: TargetId,
    /// Tenant that owns the target.
    pub tenant: TenantId,
    /// Service that the target implements.
    pub service: ServiceId,
    /// Failure domain of the target's host.
    pub failure_domain: FailureDomain,
    /// Listen address; port 0 selects a free port.
    pub listen_address: SocketAddr,
    /// Address to announce; `None` announces the bound address.
    pub advertised_address: Option<SocketAddr>,
    /// HTTP addresses of the control replicas. If empty, the target does not announce itself.
    pub control_addresses: Vec<SocketAddr>,
    /// Shared credential. If `None`, requests are not authenticated and announcements carry no credential.
    pub credential: Option<SharedCredential>,
    /// Incarnation of the process; `None` derives it from the wall clock.
    pub incarnation: Option<IncarnationNumber>,
    /// Number of requests that run concurrently.
    pub slots: SlotCount,
    /// Number of requests that may wait for a slot; further requests are shed.
    pub queue: SlotCount,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: ConnectionCount,
    /// Partitions that the target serves, of all its snapshots.
    pub partitions: Vec<PartitionRecord>,
    /// Median service time, during which a request occupies a slot.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; 0 makes the service time constant.
    pub service_spread: f64,
    /// Seed of the generator of service times.
    pub seed: u64,
    /// Simulated network round trip between an entry and the target. Half of it is added before and half after each
    /// request, without occupying a slot.
    pub network_delay: Duration,
    /// Simulated cost of opening a connection, added before its first request is served.
    pub connection_cost: Duration,
    /// Duration of the cold start, during which the target is slower.
    pub cold_time: Duration,
    /// Factor on the service time right after the start. It decreases linearly to 1 over the cold time.
    pub cold_factor: f64,
    /// Maximum number of hits of one query in one partition.
    pub max_hits: u32,
    /// Maximum size of a request body.
    pub body_bytes: ByteCount,
    /// Timeout for receiving the body of one request.
    pub read_time: Duration,
    /// Interval between announcements.
    pub renewal: Duration,
    /// Whether responses carry the load report in the `hs-load` header.
    pub reports_load: bool,
    /// Whether faults can be injected with `POST /v1/faults`.
    pub allow_faults: bool,
    /// Time between a simulated crash and the restart.
    pub restart_time: Duration,
    /// Time that requests in flight have to finish on shutdown.
    pub drain_time: Duration,
    /// Maximum number of runs in the log; the oldest are dropped first.
    pub record_limit: usize,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            target: TargetId::new("target").expect("the default name is valid"),
            tenant: TenantId::new("tenant").expect("the default name is valid"),
            service: ServiceId::new("service").expect("the default name is valid"),
            failure_domain: FailureDomain::new("domain").expect("the default name is valid"),
            listen_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            advertised_address: None,
            control_addresses: Vec::new(),
            credential: None,
            incarnation: None,
            slots: SlotCount(2),
            queue: SlotCount(16),
            connections: ConnectionCount(25),
            partitions: Vec::new(),
            service_time: Duration::from_millis(2),
            service_spread: 0.0,
            seed: 1,
            network_delay: Duration::ZERO,
            connection_cost: Duration::ZERO,
            cold_time: Duration::ZERO,
            cold_factor: 1.0,
            max_hits: 3,
            body_bytes: ByteCount(256 * 1024),
            read_time: Duration::from_secs(5),
            renewal: Duration::from_secs(2),
            reports_load: true,
            allow_faults: false,
            restart_time: Duration::from_millis(200),
            drain_time: Duration::from_secs(10),
            record_limit: 100_000,
        }
    }
}

/// Text form of a partition: `snapshot=shard=first-last=documents`, with hexadecimal keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionText(pub PartitionRecord);

impl fmt::Display for PartitionText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PartitionRecord { snapshot, shard, range, documents } = &self.0;
        write!(formatter, "{snapshot}={shard}={range}={documents}")
    }
}

impl FromStr for PartitionText {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault =
            || ParseValueError::new("PartitionText", text, "snapshot=shard=range=documents");
        let fields: Vec<&str> = text.split('=').collect();
        let [snapshot, shard, range, documents] = fields[..] else { return Err(fault()) };
        Ok(Self(PartitionRecord {
            snapshot: snapshot.parse::<SnapshotVersion>()?,
            shard: shard.parse::<ShardId>()?,
            range: range.parse::<KeyRange>()?,
            documents: documents.parse::<DocumentCount>()?,
        }))
    }
}
