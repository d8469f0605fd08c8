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

/// Everything that a stand-in target needs to know; `Default` is a fast target without partitions or control.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The target's name.
    pub target: TargetId,
    /// The tenant that runs it.
    pub tenant: TenantId,
    /// The service it implements.
    pub service: ServiceId,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Where it listens; port zero takes a free port.
    pub listen_address: SocketAddr,
    /// The address it announces, if it differs from the bound one.
    pub advertised_address: Option<SocketAddr>,
    /// The control replicas; without any it announces itself to nobody.
    pub control_addresses: Vec<SocketAddr>,
    /// The shared credential; without one, requests need none and announcements carry none.
    pub credential: Option<SharedCredential>,
    /// The start of the process; the wall clock if absent.
    pub incarnation: Option<IncarnationNumber>,
    /// Requests that run at the same time.
    pub slots: SlotCount,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue: SlotCount,
    /// Connections it accepts; further ones are closed at once.
    pub connections: ConnectionCount,
    /// The partitions it serves, over all snapshots it holds.
    pub partitions: Vec<PartitionRecord>,
    /// Median time that a request occupies its slot.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; zero makes it constant.
    pub service_spread: f64,
    /// Seed of the service times.
    pub seed: u64,
    /// Round trip between an entry and this target, half of it before and half after the work; it occupies no slot.
    pub network_delay: Duration,
    /// Delay before the first request on a new connection is served.
    pub connection_cost: Duration,
    /// Time after the start during which the target is slower.
    pub cold_time: Duration,
    /// Factor on the service time right after the start; it declines to 1 over the cold time.
    pub cold_factor: f64,
    /// Most hits of one query in one partition.
    pub max_hits: u32,
    /// Longest accepted request body.
    pub body_bytes: ByteCount,
    /// Time for the body of one request.
    pub read_time: Duration,
    /// Time between announcements.
    pub renewal: Duration,
    /// Whether replies carry the load report.
    pub reports_load: bool,
    /// Whether `POST /v1/faults` is served.
    pub allow_faults: bool,
    /// Time between a crash and the restart.
    pub restart_time: Duration,
    /// Time that a stop leaves to requests in flight.
    pub drain_time: Duration,
    /// Runs kept in the record; the oldest are dropped first.
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

/// A partition as text: `snapshot=shard=first-last=documents`, with hexadecimal keys.
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
