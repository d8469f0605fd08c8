//! Settings of a gateway entry and of the directory links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::admission::budget::BudgetSettings;
use hickoryspan_core::gateway::admission::cold_targets::ColdBounds;
use hickoryspan_core::gateway::admission::quota::QuotaSettings;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::gateway::targets::selection::SelectionSettings;
use hickoryspan_core::types::{EntryId, FailureDomain};
use hickoryspan_runtime::caller_budget::{
    CallerBudget, CallerBudgetSettings, DEFAULT_MEMORY_BYTES,
};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::response_budget::ResponseBudget;

use crate::headers::GatewayHeaders;

/// Timing and credential of directory links.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Interval of the reports from both ends of a link.
    pub report_interval: Duration,
    /// Time without received messages after which a link is replaced.
    pub receive_timeout: Duration,
    /// How long a target stays known after its last announcement.
    pub target_lease: Duration,
    /// How long a control host waits for entries to confirm that a target drains or leaves.
    pub confirm_timeout: Duration,
    /// How quotas of accounts are counted, on entries and on control hosts.
    pub quotas: QuotaSettings,
    /// Number of targets that a control host or an entry knows at most. Announcements of further ones are refused, and
    /// left out where another host passes them on. As many departures are remembered.
    pub max_targets: usize,
    /// Bytes of earlier documents that a control host keeps, so that entries need only the changes from them.
    pub document_bytes: usize,
    /// Connections to each port for links that have not shown the credential yet.
    pub handshakes: usize,
    /// The credential that all processes share.
    pub credential: SharedCredential,
}

impl DirectorySettings {
    /// Creates the default settings with this credential.
    pub fn new(credential: SharedCredential) -> Self {
        Self {
            report_interval: Duration::from_millis(400),
            receive_timeout: Duration::from_millis(1_500),
            target_lease: Duration::from_secs(6),
            confirm_timeout: Duration::from_millis(700),
            quotas: QuotaSettings::default(),
            max_targets: 64 * 1024,
            document_bytes: 16 * 1024 * 1024,
            handshakes: DEFAULT_HANDSHAKES,
            credential,
        }
    }
}

/// Settings of a gateway entry.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the entry.
    pub entry: EntryId,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Names of the gateway's headers.
    pub headers: GatewayHeaders,
    /// Settings of the target selection.
    pub selection: SelectionSettings,
    /// Budget for retries and hedges to one service.
    pub budget: BudgetSettings,
    /// Bounds of the requests to cold targets, for services that state how many these tolerate.
    pub cold: ColdBounds,
    /// Address that other entries connect to for wide fan-outs; `None` if this entry takes no part in them.
    pub fanout_address: Option<SocketAddr>,
    /// How a wide fan-out is divided among entries.
    pub relays: RelaySettings,
    /// Settings of the directory links.
    pub directory: DirectorySettings,
    /// Largest response body of a target, in bytes.
    pub answer_bytes: usize,
    /// Subtracted from the objective of every request: the network delay from and to the caller.
    pub caller_delay: Duration,
    /// Also subtracted from the objective of the first request on a connection, which the caller had to open first.
    pub connect_delay: Duration,
    /// How long a stopping entry still accepts connections.
    pub accept_after_stop: Duration,
    /// How long a stopping entry waits for requests in flight, counted from the start of the stop. Those that are left
    /// then get an answer of the entry.
    pub finish_after_stop: Duration,
    /// What callers may occupy together, on all ports of the process.
    pub caller_budget: Arc<CallerBudget>,
    /// Number of connections to all targets together, busy and idle ones.
    pub target_connections: usize,
    /// Room for large heads of targets' answers, of all connections together.
    pub answer_heads: Arc<ResponseBudget>,
    /// Idle timeout of connections to targets that state none themselves.
    pub target_idle: Duration,
}

impl GatewaySettings {
    /// Creates the default settings for an entry at this address.
    pub fn new(
        entry: EntryId,
        caller_address: SocketAddr,
        domain: FailureDomain,
        directory: DirectorySettings,
    ) -> Self {
        Self {
            entry,
            caller_address,
            domain,
            headers: GatewayHeaders::default(),
            selection: SelectionSettings::default(),
            budget: BudgetSettings::default(),
            cold: ColdBounds::default(),
            fanout_address: None,
            relays: RelaySettings::default(),
            directory,
            answer_bytes: 4 * 1024 * 1024,
            caller_delay: Duration::from_millis(15),
            connect_delay: Duration::from_millis(7),
            accept_after_stop: Duration::from_millis(4_600),
            finish_after_stop: Duration::from_millis(5_300),
            caller_budget: CallerBudget::new(CallerBudgetSettings::default()),
            target_connections: 4_096,
            answer_heads: ResponseBudget::for_heads(DEFAULT_MEMORY_BYTES),
            target_idle: Duration::from_secs(4),
        }
    }
}
