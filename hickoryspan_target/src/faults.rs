//! Faults that tests and the load tool inject while the target runs.

use hickoryspan_core::entry::interface::LoadReport;
use serde::{Deserialize, Serialize};

/// Faults that stay active until they are replaced; the default has none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Factor on every service time; 1 is normal speed.
    pub straggler_factor: f64,
    /// All connections, including new ones, accept requests and never respond.
    pub silent: bool,
    /// The target crashes when a request whose body contains this text starts to run.
    pub crash_marker: Option<String>,
    /// New connections are refused; open connections continue to work.
    pub refuse_connections: bool,
    /// Load that responses report instead of the actual load.
    pub reported_load: Option<LoadReport>,
    /// Requests occupy their slot and then fail with an error.
    pub fail_requests: bool,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            straggler_factor: 1.0,
            silent: false,
            crash_marker: None,
            refuse_connections: false,
            reported_load: None,
            fail_requests: false,
        }
    }
}

/// A one-time fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultEvent {
    /// Connections that are open at this moment accept requests and never respond. New connections work.
    SilenceConnections,
    /// The target closes all connections and restarts with a new incarnation.
    Crash,
    /// The cold start begins again, as after a restart.
    SlowStart,
}

/// Body of `POST /v1/faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FaultCommand {
    /// Replacement for the active faults; `None` leaves them unchanged.
    pub settings: Option<FaultSettings>,
    /// Fault to inject once.
    pub event: Option<FaultEvent>,
}
