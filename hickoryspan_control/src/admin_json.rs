//! JSON bodies of the administration API (`docs/openapi-admin.yaml`).

use std::sync::Arc;

use hickoryspan_core::control::interface::{AdminCommand, AuditRecord, QuarantineStatus};
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::{IncarnationNumber, TargetId};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/admin/commands`.
pub type CommandRequest = AdminCommand;

/// The body of `GET /v1/admin/history`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HistoryPage {
    /// Audit records, newest first.
    pub records: Vec<AuditRecord>,
}

/// The body of `GET /v1/admin/targets`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetPage {
    /// The registered targets.
    pub targets: Vec<TargetRecord>,
}

/// The body of `GET /v1/admin/quarantines`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantinePage {
    /// The quarantined requests.
    pub quarantines: Vec<QuarantineStatus>,
}

/// The body of `POST /v1/targets/withdraw`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct WithdrawRequest {
    pub(crate) target: TargetId,
    pub(crate) incarnation: IncarnationNumber,
}

/// The response to an announcement, with the target's lease in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct AnnounceAnswer {
    pub(crate) lease_ms: u64,
}

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ErrorBody {
    /// Stable error name for programs.
    pub(crate) error: Arc<str>,
    /// Description of the error for people.
    pub(crate) detail: Arc<str>,
}
