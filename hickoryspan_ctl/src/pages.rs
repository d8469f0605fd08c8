//! JSON bodies of the administration API, which `docs/openapi-admin.yaml` describes.

use std::sync::Arc;

use hickoryspan_core::control::interface::{AuditRecord, QuarantineStatus};
use hickoryspan_core::membership::TargetRecord;
use serde::{Deserialize, Serialize};

/// Response body of `GET /v1/admin/history`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HistoryPage {
    pub(crate) records: Vec<AuditRecord>,
}

/// Response body of `GET /v1/admin/targets`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct TargetPage {
    pub(crate) targets: Vec<TargetRecord>,
}

/// Response body of `GET /v1/admin/quarantines`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct QuarantinePage {
    pub(crate) quarantines: Vec<QuarantineStatus>,
}

/// Response body of every rejected request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ErrorBody {
    pub(crate) error: Arc<str>,
    pub(crate) detail: Arc<str>,
}
