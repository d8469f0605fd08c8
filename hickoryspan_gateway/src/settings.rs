//! Settings of the gateway's entry and of the directory links.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryspan_core::gateway::budget::BudgetSettings;
use hickoryspan_core::gateway::relays::RelaySettings;
use hickoryspan_core::gateway::selection::SelectionSettings;
use hickoryspan_core::types::{EntryId, FailureDomain};
use hickoryspan_runtime::credential::SharedCredential;

use crate::headers::GatewayHeaders;

/// How hosts keep their directory links.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// How often both ends of a link report.
    pub report_interval: Duration,
    /// Silence after which a link is replaced.
    pub receive_timeout: Duration,
    /// How long a target is kept after its last announcement.
    pub target_lease: Duration,
    /// How long a control host waits for entries to confirm that a target leaves.
    pub confirm_timeout: Duration,
    /// The credential that all processes share.
    pub credential: SharedCredential,
}

impl DirectorySettings {
    /// Default settings with this credential.
    pub fn new(credential: SharedCredential) -> Self {
        Self {
            report_interval: Duration::from_millis(400),
            receive_timeout: Duration::from_millis(1_500),
            target_lease: Duration::from_secs(6),
            confirm_timeout: Duration::from_millis(700),
            credential,
        }
    }
}

/// Settings of a gateway entry.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Its name.
    pub entry: EntryId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The names of headers.
    pub headers: GatewayHeaders,
    /// The choice of targets.
    pub selection: SelectionSettings,
    /// Extra requests to one service.
    pub budget: BudgetSettings,
    /// Where other entries connect to divide a wide fan-out; nothing if this entry takes no part in it.
    pub fanout_address: Option<SocketAddr>,
    /// How a wide fan-out is divided.
    pub relays: RelaySettings,
    /// The directory links.
    pub directory: DirectorySettings,
    /// Longest answer of a target.
    pub answer_bytes: usize,
    /// Taken off the objective of a request on a kept connection: its way here and the answer's way back.
    pub caller_delay: Duration,
    /// Taken off the objective in addition for the first request on a connection: the caller opened it for it.
    pub connect_delay: Duration,
    /// How long a stopping entry still accepts connections.
    pub accept_after_stop: Duration,
    /// How long a stopping entry finishes requests.
    pub finish_after_stop: Duration,
    /// Idle connections to a target are closed after this time, unless the target states a shorter one.
    pub target_idle: Duration,
}

impl GatewaySettings {
    /// Default settings for an entry at this address.
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
            fanout_address: None,
            relays: RelaySettings::default(),
            directory,
            answer_bytes: 4 * 1024 * 1024,
            caller_delay: Duration::from_millis(15),
            connect_delay: Duration::from_millis(7),
            accept_after_stop: Duration::from_millis(4_600),
            finish_after_stop: Duration::from_millis(5_300),
            target_idle: Duration::from_secs(4),
        }
    }
}
