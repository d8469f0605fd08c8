//! Gateway configuration as a single versioned document. The highest accepted version is in force.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::accounts::{ClientAccount, InvalidAccounts, check_accounts};
use super::shard_list::ShardList;
use crate::sheet::duration_millis;
use crate::types::{ParseValueError, RequestRate, ServiceId};

/// Version number of a configuration document. Higher versions replace lower ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DocumentVersion(pub u64);

impl fmt::Display for DocumentVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for DocumentVersion {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault = |_| ParseValueError::new("DocumentVersion", text, "a whole number");
        text.parse().map(Self).map_err(fault)
    }
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of a caller.
    AtMostOnce,
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight. Its share is the weight divided by the sum of all weights.
    pub weight: f64,
}

/// The shards to which each request of a route is sent in parallel.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShardSpread {
    /// One service for each shard. Routes over the same shards share the list.
    pub shards: ShardList,
    /// Largest number of records in an answer.
    pub result_limit: usize,
    /// Smallest share of the shards in a successful answer, from 0 to 1.
    pub minimum_share: f64,
}

impl ShardSpread {
    /// Returns the smallest number of parts in a successful answer, which is at least 1.
    pub fn min_parts(&self) -> usize {
        let exact = self.minimum_share * self.shards.len() as f64;
        // Without this margin, a share of 0.9 of 20 could become 19 parts because of its binary
        // representation.
        ((exact - 1e-9).ceil().max(1.0)) as usize
    }
}

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteDestination {
    /// One target of a service.
    Service(ServiceId),
    /// One target of one of several services, chosen by weight.
    Split(Vec<WeightedService>),
    /// One target of each shard.
    Shards(ShardSpread),
}

impl RouteDestination {
    /// Returns all services that requests of the route may reach.
    pub fn services(&self) -> Vec<&ServiceId> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Shards(spread) => spread.shards.iter().collect(),
        }
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Maximum time until the caller gets an answer.
    #[serde(with = "duration_millis")]
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    #[serde(with = "duration_millis")]
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Destination of the requests.
    pub destination: RouteDestination,
    /// Largest number of targets, for each shard, that one attempt of a caller may reach.
    pub max_attempts: u32,
    /// Whether requests need no key, if the document names accounts.
    #[serde(default)]
    pub public: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceRule {
    /// Name of the service.
    pub service: ServiceId,
    /// Number of connections that each of its targets accepts from all callers together.
    pub connections: u32,
    /// Requests per second that each of its targets tolerates from all entries together while it is cold; `None` if any
    /// number.
    #[serde(default)]
    pub cold_rate: Option<RequestRate>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerLimits {
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's headers.
    #[serde(with = "duration_millis")]
    pub header_time: Duration,
    /// Maximum time that a connection may stay idle.
    #[serde(with = "duration_millis")]
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfigurationDocument {
    /// Version of the document.
    pub version: DocumentVersion,
    /// The routes. Successive documents share the routes that did not change.
    pub routes: Vec<Arc<RouteRule>>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The client accounts; `None` if requests need no key.
    #[serde(default)]
    pub accounts: Option<Vec<ClientAccount>>,
    /// The submitted text, which reads return unchanged.
    pub source: Arc<str>,
}

impl fmt::Debug for ConfigurationDocument {
    /// Leaves out the source, which contains the keys of accounts.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigurationDocument")
            .field("version", &self.version)
            .field("routes", &self.routes)
            .field("services", &self.services)
            .field("limits", &self.limits)
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}

/// The reason why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDocument {
    /// A route refers to a service that the document does not contain.
    #[error("route {route}: service {service} is not in the document")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and path prefix.
    #[error("route {route}: another route has the host {host} and the prefix {prefix}")]
    DuplicateRoute {
        /// The second route.
        route: Arc<str>,
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// The weights of a split are negative, not finite, or add up to zero.
    #[error("route {0}: the weights add up to nothing")]
    ZeroWeight(Arc<str>),
    /// A timeout is zero.
    #[error("route {0}: the timeout is zero")]
    ZeroTimeout(Arc<str>),
    /// A list of shards is empty.
    #[error("route {0}: the list of shards is empty")]
    EmptyShards(Arc<str>),
    /// The accounts contradict each other.
    #[error(transparent)]
    Accounts(#[from] InvalidAccounts),
}

impl ConfigurationDocument {
    /// Checks the constraints that the types cannot express and returns the first violation.
    pub fn check(&self) -> Result<(), InvalidDocument> {
        let known: BTreeSet<&ServiceId> = self.services.iter().map(|rule| &rule.service).collect();
        let mut keys = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &known)?;
            if !keys.insert((&route.host, &route.path_prefix)) {
                return Err(InvalidDocument::DuplicateRoute {
                    route: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.path_prefix.clone(),
                });
            }
        }
        check_accounts(self.accounts.as_deref().unwrap_or_default())?;
        Ok(())
    }
}

fn check_route(route: &RouteRule, known: &BTreeSet<&ServiceId>) -> Result<(), InvalidDocument> {
    let name = || route.name.clone();
    if route.timeout.is_zero() {
        return Err(InvalidDocument::ZeroTimeout(name()));
    }
    match &route.destination {
        RouteDestination::Split(parts) => {
            let valid = parts.iter().all(|part| part.weight.is_finite() && part.weight >= 0.0);
            if !valid || parts.iter().map(|part| part.weight).sum::<f64>() <= 0.0 {
                return Err(InvalidDocument::ZeroWeight(name()));
            }
        }
        RouteDestination::Shards(spread) if spread.shards.is_empty() => {
            return Err(InvalidDocument::EmptyShards(name()));
        }
        RouteDestination::Service(_) | RouteDestination::Shards(_) => {}
    }
    match route.destination.services().into_iter().find(|service| !known.contains(service)) {
        Some(service) => {
            Err(InvalidDocument::UnknownService { route: name(), service: service.clone() })
        }
        None => Ok(()),
    }
}

/// The decision on a submitted document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentOutcome {
    /// The document is durable and in force.
    Accepted,
    /// The same or a higher version is already in force, so nothing changed.
    Overtaken {
        /// The version in force.
        current: DocumentVersion,
    },
    /// A document with the same version but different content is in force.
    Conflict {
        /// The version in force.
        current: DocumentVersion,
    },
}

/// Decides whether a submitted document replaces the one in force.
pub fn decide_document(
    current: Option<&ConfigurationDocument>,
    next: &ConfigurationDocument,
) -> DocumentOutcome {
    let Some(current) = current else { return DocumentOutcome::Accepted };
    let version = current.version;
    if next.version > version {
        return DocumentOutcome::Accepted;
    }
    if next.version == version && next.source != current.source {
        return DocumentOutcome::Conflict { current: version };
    }
    DocumentOutcome::Overtaken { current: version }
}
