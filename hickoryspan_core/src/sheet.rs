//! The accepted configuration of both tenants, as read from a morning sheet (`docs/design.md`, section 9).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{
    CallerId, ClassId, CostRate, CostUnits, CoverageShare, SearchId, ServiceId, ShardId,
    SheetNumber, StateDigest, TenantId,
};

/// A complete sheet; accepting one replaces the configuration of every tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetDocument {
    /// The number that the planners gave the sheet.
    pub number: SheetNumber,
    /// The day for which the sheet holds, as `YYYY-MM-DD`.
    pub date: Arc<str>,
    /// The tenants by id.
    pub tenants: BTreeMap<TenantId, TenantSheet>,
}

impl SheetDocument {
    /// Digest of the content, to tell a resend from a conflicting sheet with the same number.
    pub fn digest(&self) -> StateDigest {
        // The derived Debug text lists every field in a fixed order, because all maps are ordered.
        StateDigest::of_parts([format!("{self:?}").as_bytes()])
    }
}

/// What one tenant runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct TenantSheet {
    /// The services of the tenant.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// The searches and orders that callers may run.
    pub searches: BTreeMap<SearchId, SearchSpec>,
    /// The callers and their limits.
    pub callers: BTreeMap<CallerId, CallerSpec>,
    /// The classes of requests.
    pub classes: BTreeMap<ClassId, ClassSpec>,
}

/// How a service's targets divide its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Every query spans many shards.
    #[default]
    Sharded,
    /// Any one target of the service can answer.
    Single,
}

/// One service of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct ServiceSpec {
    /// How targets divide the data.
    pub kind: ServiceKind,
}

/// Which shards a search may span.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardScope {
    /// Every shard of the pinned snapshot.
    #[default]
    All,
    /// Only the named shards.
    Listed(Vec<ShardId>),
}

/// A search or order that callers may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SearchSpec {
    /// The service that runs it.
    pub service: ServiceId,
    /// The shards it may span.
    pub scope: ShardScope,
    /// Cost units of one sub-request.
    pub weight: CostUnits,
    /// Whether it may run more than once; a non-idempotent one is an order.
    pub idempotent: bool,
}

/// A caller's limit, over all entry hosts together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerSpec {
    /// Cost units per second on targets.
    pub rate: CostRate,
    /// Cost units that may be spent at once.
    pub burst: CostUnits,
}

/// What an answer does when its time is nearly over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CompletionPolicy {
    /// Answers at the deadline with what has arrived.
    #[default]
    DeadlineFirst,
    /// Waits for the coverage floor within the class's bound.
    CoverageFirst,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClassSpec {
    /// Requests with a higher number are shed later.
    pub priority: u8,
    /// Time for an answer when the caller states none, and the longest it may state.
    #[serde(with = "duration_millis")]
    pub deadline: Duration,
    /// What to do at the deadline.
    pub policy: CompletionPolicy,
    /// Coverage below which the answer counts as failed its class's aim.
    pub coverage_floor: CoverageShare,
}

/// Durations as whole milliseconds in serialized form.
pub mod duration_millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes whole milliseconds.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
