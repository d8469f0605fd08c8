//! Faults that a test or the load tool switches on while the target runs.

use hickoryspan_core::entry::interface::LoadReport;
use serde::{Deserialize, Serialize};

/// The faults in force; `Default` is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Factor on every service time.
    pub straggler_factor: f64,
    /// Every connection accepts bytes and never answers, also new ones.
    pub silent: bool,
    /// A request whose body contains this text crashes the target when it starts to run.
    pub crash_marker: Option<String>,
    /// Connections are refused; open ones go on.
    pub refuse_connections: bool,
    /// Replies report this load instead of the real one.
    pub reported_load: Option<LoadReport>,
    /// Requests that start to run fail with an error.
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

/// A fault that occurs once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultEvent {
    /// The connections that are open now accept bytes and never answer; new ones work.
    SilenceConnections,
    /// The target drops all connections and restarts with a new incarnation.
    Crash,
    /// The cold start begins again.
    SlowStart,
}

/// The body of `POST /v1/faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct FaultCommand {
    /// Replaces the faults in force.
    pub settings: Option<FaultSettings>,
    /// Occurs once.
    pub event: Option<FaultEvent>,
}
