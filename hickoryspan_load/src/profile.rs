//! Load profiles: deployment and traffic of each tenant (`docs/design.md`, section 1).

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::sheet::{CallerSpec, SheetDocument};
use hickoryspan_core::types::{
    ConnectionCount, CostRate, CostUnits, FailureDomain, ParseValueError, SlotCount,
};
use hickoryspan_local::{LocalSettings, ServicePlan, example_sheet};

/// Tenant whose deployment and traffic are simulated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadProfile {
    /// The plant: four failure domains, optimized for tail latency.
    #[default]
    Quindio,
    /// The archive: three failure domains, optimized for coverage.
    Vestera,
}

impl fmt::Display for LoadProfile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Quindio => "quindio",
            Self::Vestera => "vestera",
        })
    }
}

impl FromStr for LoadProfile {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "quindio" => Ok(Self::Quindio),
            "vestera" => Ok(Self::Vestera),
            _ => Err(ParseValueError::new("LoadProfile", text, "quindio or vestera")),
        }
    }
}

/// Kind of a request, which decides whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Idempotent search.
    Search,
    /// Non-idempotent order, which runs at most once.
    Order,
}

/// One kind of request in the traffic mix.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficPlan {
    /// Tenant that the request belongs to.
    pub tenant: &'static str,
    /// Client account that sends the request.
    pub caller: &'static str,
    /// Request class, which sets deadline and completion policy.
    pub class: &'static str,
    /// Name of the search or order.
    pub name: &'static str,
    /// Service that runs the request.
    pub service: &'static str,
    /// Kind of the request.
    pub kind: TrafficKind,
    /// Weight of this kind in the traffic mix.
    pub weight: f64,
}

/// Deployment and traffic of a profile.
#[derive(Clone, Debug)]
pub struct ProfilePlan {
    /// Settings of the local deployment.
    pub deployment: LocalSettings,
    /// Traffic mix.
    pub traffic: Vec<TrafficPlan>,
}

/// Median service time of a sub-request. The design states no value, so it is a setting of the experiment.
pub const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(4);
/// Standard deviation of the logarithm of the service time: the 99th percentile is about 2.5 times the median.
const SERVICE_SPREAD: f64 = 0.4;
/// Number of searchers (replicas) of one instance of a large service. Each instance holds one shard.
const SEARCHERS_PER_INSTANCE: u32 = 2;
/// Rate limit that is never reached, so that it does not affect the compared policies.
const UNLIMITED_RATE: CostRate = CostRate(1e8);

struct ServiceShape {
    service: &'static str,
    shards: u32,
    replicas: u32,
    slots: u32,
    connections: u32,
    connection_cost: Duration,
}

impl ServiceShape {
    const fn large(service: &'static str, instances: u32) -> Self {
        Self {
            service,
            shards: instances,
            replicas: SEARCHERS_PER_INSTANCE,
            slots: 2,
            connections: 25,
            connection_cost: Duration::from_millis(6),
        }
    }

    const fn small(service: &'static str, searchers: u32, slots: u32, connections: u32) -> Self {
        Self {
            service,
            shards: 1,
            replicas: searchers,
            slots,
            connections,
            connection_cost: Duration::from_millis(1),
        }
    }

    fn to_plan(&self, tenant: &str, round_trip: Duration) -> Result<ServicePlan, ParseValueError> {
        Ok(ServicePlan {
            slots: SlotCount(self.slots),
            connections: ConnectionCount(self.connections),
            service_time: DEFAULT_SERVICE_TIME,
            service_spread: SERVICE_SPREAD,
            network_delay: round_trip,
            connection_cost: self.connection_cost,
            ..ServicePlan::new(tenant, self.service, self.shards, self.replicas)?
        })
    }
}

const QUINDIO_SERVICES: [ServiceShape; 4] = [
    ServiceShape::large("sales-console", 20),
    ServiceShape::large("dispatch-scheduler", 30),
    ServiceShape::small("print-shop", 4, 3, 100),
    ServiceShape::small("billing", 4, 3, 100),
];
const VESTERA_SERVICES: [ServiceShape; 4] = [
    ServiceShape::large("reading-room", 20),
    ServiceShape::large("scanning-intake", 30),
    ServiceShape::small("restorers-desk", 5, 6, 50),
    ServiceShape::small("transcription", 3, 6, 50),
];

/// Number of entry hosts of each tenant.
const ENTRIES: usize = 7;

const QUINDIO_TRAFFIC: [TrafficPlan; 4] = [
    TrafficPlan {
        tenant: "quindio",
        caller: "sales-phone",
        class: "phone",
        name: "order-history",
        service: "sales-console",
        kind: TrafficKind::Search,
        weight: 0.6,
    },
    TrafficPlan {
        tenant: "quindio",
        caller: "dispatch-board",
        class: "dispatch",
        name: "dispatch-status",
        service: "dispatch-scheduler",
        kind: TrafficKind::Search,
        weight: 0.25,
    },
    TrafficPlan {
        tenant: "quindio",
        caller: "plant-floor",
        class: "plant",
        name: "machine-sheet",
        service: "print-shop",
        kind: TrafficKind::Search,
        weight: 0.1,
    },
    TrafficPlan {
        tenant: "quindio",
        caller: "print-queue",
        class: "print",
        name: "print-order",
        service: "print-shop",
        kind: TrafficKind::Order,
        weight: 0.05,
    },
];

const VESTERA_TRAFFIC: [TrafficPlan; 4] = [
    TrafficPlan {
        tenant: "vestera",
        caller: "archivists",
        class: "thorough",
        name: "full-search",
        service: "reading-room",
        kind: TrafficKind::Search,
        weight: 0.4,
    },
    TrafficPlan {
        tenant: "vestera",
        caller: "help-desk",
        class: "help-desk",
        name: "quick-search",
        service: "reading-room",
        kind: TrafficKind::Search,
        weight: 0.4,
    },
    TrafficPlan {
        tenant: "vestera",
        caller: "intake-line",
        class: "intake",
        name: "intake-status",
        service: "scanning-intake",
        kind: TrafficKind::Search,
        weight: 0.15,
    },
    TrafficPlan {
        tenant: "vestera",
        caller: "restorers",
        class: "restorers",
        name: "plate-pull",
        service: "restorers-desk",
        kind: TrafficKind::Order,
        weight: 0.05,
    },
];

impl LoadProfile {
    /// Returns the deployment and the traffic of the profile.
    pub fn to_plan(self, seed: u64) -> anyhow::Result<ProfilePlan> {
        let tenant = self.to_string();
        let (services, domains, round_trip, traffic) = match self {
            Self::Quindio => (
                QUINDIO_SERVICES,
                ["armenia-1", "armenia-2", "calarca-1", "montenegro-1"].as_slice(),
                Duration::from_micros(3000),
                QUINDIO_TRAFFIC,
            ),
            Self::Vestera => (
                VESTERA_SERVICES,
                ["herning-1", "ikast-1", "silkeborg-1"].as_slice(),
                Duration::from_micros(1000),
                VESTERA_TRAFFIC,
            ),
        };
        let services: Result<Vec<_>, _> =
            services.iter().map(|shape| shape.to_plan(&tenant, round_trip)).collect();
        let domains: Result<Vec<FailureDomain>, _> =
            domains.iter().map(|domain| domain.parse()).collect();
        let deployment = LocalSettings {
            entries: ENTRIES,
            services: services?,
            failure_domains: domains?,
            sheet: Arc::new(unlimited_sheet()?),
            seed,
            ..LocalSettings::from_example()?
        };
        Ok(ProfilePlan { deployment, traffic: traffic.to_vec() })
    }
}

/// Returns the example sheet with rate limits that are never reached.
fn unlimited_sheet() -> anyhow::Result<SheetDocument> {
    let mut sheet = example_sheet()?;
    for tenant in sheet.tenants.values_mut() {
        for caller in tenant.callers.values_mut() {
            *caller = CallerSpec { rate: UNLIMITED_RATE, burst: CostUnits(UNLIMITED_RATE.0) };
        }
    }
    Ok(sheet)
}
