//! The answer to where a request would go now and why. Nothing is sent or counted for it; see
//! `docs/design/expected_cost.md`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{FailureDomain, ServiceId, TargetId};

/// Path of the call with a question, on the metrics address of an entry.
pub const EXPLAIN_PATH: &str = "/explain";

/// The request in question. Its body is taken to be empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ExplainQuestion {
    /// HTTP method.
    pub method: Arc<str>,
    /// Host that the caller names.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Key of the caller, if it has one.
    #[serde(default)]
    pub key: Option<Arc<str>>,
}

/// Where a request would go, as one entry knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestExplanation {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// By what targets are compared.
    pub policy: Arc<str>,
    /// Name of the route.
    pub route: Option<Arc<str>>,
    /// Name of the account that holds the key.
    pub account: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The checks in the order in which a request passes them, up to the first that refuses it.
    pub checks: Vec<CheckExplanation>,
    /// Expected work, if targets are compared by it.
    pub work: Option<WorkExplanation>,
    /// Time in milliseconds after which an attempt would be hedged.
    pub hedge_after_ms: Option<f64>,
    /// The first services that the request may go to.
    pub services: Vec<ServiceExplanation>,
    /// Number of further services.
    pub further_services: usize,
}

/// The outcome of one check.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CheckExplanation {
    /// Name of the check.
    pub check: Arc<str>,
    /// Whether the request passes it.
    pub passed: bool,
    /// What the outcome is based on.
    pub detail: Arc<str>,
}

/// The expected work of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WorkExplanation {
    /// Mean in milliseconds of a target at usual speed.
    pub mean_ms: f64,
    /// Work that 95% of such requests stay below, in milliseconds.
    pub high_ms: f64,
    /// What the estimate is based on.
    pub source: Arc<str>,
    /// Share of the variance of the route's work that is known before sending.
    pub explained: f64,
}

/// A service and its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceExplanation {
    /// The service.
    pub service: ServiceId,
    /// Shortest queue in requests per slot; `None` without an open target.
    pub queue: Option<f64>,
    /// Its targets: first those that are considered, by cost, then those that are excluded.
    pub targets: Vec<TargetExplanation>,
}

/// What speaks for and against one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetExplanation {
    /// The target.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Why it is not considered.
    pub excluded: Option<ExclusionReason>,
    /// The cost by which it is compared; the lowest is preferred, up to a random factor of 10%.
    pub cost: f64,
    /// Factor for failures, another failure domain and an unanswered request.
    pub aversion: f64,
    /// Requests of this entry in flight on it.
    pub in_flight: u32,
    /// Expected time in milliseconds until a request starts.
    pub wait_ms: Option<f64>,
    /// Expected time in milliseconds that the request takes from then on.
    pub service_ms: Option<f64>,
    /// Time in milliseconds since it last reported its load.
    pub report_age_ms: Option<u64>,
    /// Whether it has just started and is still slow.
    pub cold: bool,
    /// Whether it has left a request unanswered.
    pub overdue: bool,
    /// Whether it has a limit of requests a second, because it names one or is cold, which decides about each request anew.
    pub limited: bool,
}

/// Why a target is not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// It accepts no new work.
    Draining,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It said that it leaves.
    Leaving,
    /// It wants no requests for a while, or no more than it has.
    Closed,
    /// It was ejected after failures, and another target is healthy.
    Ejected,
}

impl ExclusionReason {
    /// Returns the name used in texts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Closed => "closed",
            Self::Ejected => "ejected",
        }
    }
}
