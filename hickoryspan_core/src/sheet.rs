//! Configuration of all tenants, as read from a sheet (`docs/design.md`, section 9).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::types::{
    CallerId, ClassId, CostRate, CostUnits, CoverageShare, SearchId, ServiceId, ShardId,
    SheetNumber, StateDigest, TenantId,
};

/// A complete sheet. Accepting one replaces the configuration of every tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetDocument {
    /// Number that the planners assigned to the sheet.
    pub number: SheetNumber,
    /// Day for which the sheet is valid, as `YYYY-MM-DD`.
    pub date: Arc<str>,
    /// The tenants by id.
    pub tenants: BTreeMap<TenantId, TenantSheet>,
}

impl SheetDocument {
    /// Returns the digest of the content, which distinguishes a resend from a conflicting sheet
    /// with the same number.
    pub fn digest(&self) -> StateDigest {
        // The derived Debug text lists every field in a fixed order, because all maps are ordered.
        StateDigest::of_parts([format!("{self:?}").as_bytes()])
    }
}

/// Configuration of one tenant.
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

/// How the data of a service is divided among its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Every query spans many shards.
    #[default]
    Sharded,
    /// Any single target of the service can answer a query.
    Single,
}

/// Configuration of a tenant's service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct ServiceSpec {
    /// How the data is divided among the targets.
    pub kind: ServiceKind,
}

/// The shards that a search may span.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardScope {
    /// All shards of the pinned snapshot.
    #[default]
    All,
    /// Only the named shards.
    Listed(Vec<ShardId>),
}

/// A search or order that callers may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SearchSpec {
    /// Service that runs it.
    pub service: ServiceId,
    /// Shards that it may span.
    pub scope: ShardScope,
    /// Cost units of one sub-request.
    pub weight: CostUnits,
    /// Whether it may run more than once. A search that is not idempotent is an order.
    pub idempotent: bool,
}

/// Rate limit of a caller, over all entry hosts together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerSpec {
    /// Cost units per second on targets.
    pub rate: CostRate,
    /// Largest number of cost units that may be spent at once.
    pub burst: CostUnits,
}

/// Policy for an answer that is still incomplete when its deadline is near.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CompletionPolicy {
    /// The answer is sent at the deadline with the parts that have arrived.
    #[default]
    DeadlineFirst,
    /// The answer waits for the coverage floor, within the time bound of the class.
    CoverageFirst,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClassSpec {
    /// Requests of a class with a higher number are shed later.
    pub priority: u8,
    /// Time for an answer if the caller specifies none, and the longest time that it may specify.
    #[serde(with = "duration_millis")]
    pub deadline: Duration,
    /// Policy for an answer that is still incomplete when its deadline is near.
    pub policy: CompletionPolicy,
    /// Coverage below which an answer counts as having missed the objective of its class.
    pub coverage_floor: CoverageShare,
}

/// Serializes durations as whole milliseconds.
pub mod duration_millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes a duration as whole milliseconds.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads a duration from whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
