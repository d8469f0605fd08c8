//! Settings of the entry daemon and their defaults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hickoryspan_core::entry::machine::EntrySettings;
use hickoryspan_core::types::{ByteCount, EntryId, FailureDomain, IncarnationNumber};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;

/// Limits of the connections to targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetClientSettings {
    /// Maximum size of a target's answer.
    pub answer_bytes: ByteCount,
    /// Timeout of a cancellation request. The connection is closed when it expires.
    pub cancel_time: Duration,
}

impl Default for TargetClientSettings {
    fn default() -> Self {
        Self { answer_bytes: ByteCount(1024 * 1024), cancel_time: Duration::from_millis(500) }
    }
}

/// Settings of an entry daemon.
#[derive(Clone, Debug)]
pub struct EntryDaemonSettings {
    /// Id of the entry, stable over restarts.
    pub entry: EntryId,
    /// Incarnation number of the process; derived from the wall clock if `None`.
    pub incarnation: Option<IncarnationNumber>,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address to bind for callers. Port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// Address that is advertised to callers, if it differs from the bound one.
    pub advertised_address: Option<SocketAddr>,
    /// Address to bind for metrics and health checks. Port 0 selects a free port.
    pub admin_address: SocketAddr,
    /// Addresses of the control replicas.
    pub control_addresses: Vec<SocketAddr>,
    /// Shared credential of the system's processes.
    pub credential: SharedCredential,
    /// Limits of the HTTP server for callers.
    pub caller_limits: HttpLimits,
    /// Maximum number of concurrent requests of callers.
    pub caller_requests: usize,
    /// Limits of the HTTP server for metrics and health checks.
    pub admin_limits: HttpLimits,
    /// Limits of the connections to targets.
    pub target_client: TargetClientSettings,
    /// Settings of the entry machine: policies for routing, retries and limits.
    pub machine: EntrySettings,
    /// Seed of the machine's random number generator; random if `None`.
    pub seed: Option<u64>,
}

impl EntryDaemonSettings {
    /// Creates settings with the given credential, and with defaults for a process on the loopback
    /// interface.
    pub fn with_credential(credential: SharedCredential) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // Bodies are stored until the response is sent, so this limit and `caller_requests` bound
        // the memory use.
        let caller_limits = HttpLimits { body_bytes: 64 * 1024, ..HttpLimits::default() };
        let admin_limits = HttpLimits {
            body_bytes: 0,
            connections: 32,
            drain_time: Duration::from_secs(1),
            ..HttpLimits::default()
        };
        Self {
            entry: EntryId::new("entry").expect("the default name is valid"),
            incarnation: None,
            failure_domain: FailureDomain::new("domain").expect("the default name is valid"),
            caller_address: any_port,
            advertised_address: None,
            admin_address: any_port,
            control_addresses: Vec::new(),
            credential,
            caller_limits,
            caller_requests: 4096,
            admin_limits,
            target_client: TargetClientSettings::default(),
            machine: EntrySettings::default(),
            seed: None,
        }
    }
}
