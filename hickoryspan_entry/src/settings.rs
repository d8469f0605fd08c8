//! Settings of an entry daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hickoryspan_core::entry::machine::EntrySettings;
use hickoryspan_core::types::{ByteCount, EntryId, FailureDomain, IncarnationNumber};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;

/// The bounds of the connections to targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetClientSettings {
    /// Largest accepted answer of a target.
    pub answer_bytes: ByteCount,
    /// Time for the answer to a cancellation; the connection is closed afterwards.
    pub cancel_time: Duration,
}

impl Default for TargetClientSettings {
    fn default() -> Self {
        Self { answer_bytes: ByteCount(1024 * 1024), cancel_time: Duration::from_millis(500) }
    }
}

/// Everything that an entry daemon needs to know.
#[derive(Clone, Debug)]
pub struct EntryDaemonSettings {
    /// The entry's name.
    pub entry: EntryId,
    /// The start of the process; the wall clock if absent.
    pub incarnation: Option<IncarnationNumber>,
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Where callers connect; port zero takes a free port.
    pub caller_address: SocketAddr,
    /// The address that callers are told, if it differs from the bound one.
    pub advertised_address: Option<SocketAddr>,
    /// Where metrics and health are served.
    pub admin_address: SocketAddr,
    /// The control replicas.
    pub control_addresses: Vec<SocketAddr>,
    /// The shared credential.
    pub credential: SharedCredential,
    /// The limits of the callers' port.
    pub caller_limits: HttpLimits,
    /// Caller requests at the same time.
    pub caller_requests: usize,
    /// The limits of the metrics and health port.
    pub admin_limits: HttpLimits,
    /// The bounds of the connections to targets.
    pub target_client: TargetClientSettings,
    /// The policies.
    pub machine: EntrySettings,
    /// Seed of the machine's generator; taken from the system if absent.
    pub seed: Option<u64>,
}

impl EntryDaemonSettings {
    /// Settings with the given credential, and defaults that suit a process on the loopback interface.
    pub fn with_credential(credential: SharedCredential) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // Bodies are kept until the response, so the limit bounds memory together with `caller_requests`.
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
