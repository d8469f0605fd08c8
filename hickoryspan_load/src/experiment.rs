//! Experiments that compare policy variants on the same schedule.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::entry::machine::EntrySettings;
use hickoryspan_core::types::ParseValueError;
use hickoryspan_local::{LocalDeployment, LocalSettings};

use crate::arrivals::plan_arrivals;
use crate::driver::run_schedule;
use crate::fault_plan::FaultKind;
use crate::profile::{DEFAULT_SERVICE_TIME, LoadProfile};
use crate::summary::{RunSummary, summarize};

/// Combination of routing policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyVariant {
    /// All policies enabled, as in production.
    Full,
    /// Random routing, no hedging, no outlier ejection.
    Baseline,
    /// All policies enabled except hedging.
    NoHedging,
    /// All policies enabled except load-aware routing.
    RandomRouting,
    /// All policies enabled except outlier ejection.
    NoEjection,
}

impl PolicyVariant {
    const NAMES: [(Self, &'static str); 5] = [
        (Self::Full, "full"),
        (Self::Baseline, "baseline"),
        (Self::NoHedging, "no-hedging"),
        (Self::RandomRouting, "random-routing"),
        (Self::NoEjection, "no-ejection"),
    ];

    fn to_settings(self) -> EntrySettings {
        let mut settings = EntrySettings::default();
        let engine = &mut settings.engine;
        match self {
            Self::Full => {}
            Self::Baseline => {
                engine.hedging.enabled = false;
                engine.routing.load_aware = false;
                engine.outliers.enabled = false;
            }
            Self::NoHedging => engine.hedging.enabled = false,
            Self::RandomRouting => engine.routing.load_aware = false,
            Self::NoEjection => engine.outliers.enabled = false,
        }
        settings
    }
}

impl fmt::Display for PolicyVariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::NAMES.iter().find(|(variant, _)| variant == self).map(|(_, name)| *name);
        formatter.write_str(name.unwrap_or_default())
    }
}

impl FromStr for PolicyVariant {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(variant, _)| *variant).ok_or_else(|| {
            ParseValueError::new(
                "PolicyVariant",
                text,
                "full, baseline, no-hedging, random-routing or no-ejection",
            )
        })
    }
}

/// Settings of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentSettings {
    /// Deployment and traffic to simulate.
    pub profile: LoadProfile,
    /// Mean arrival rate in requests per second.
    pub requests_per_second: f64,
    /// Median service time of a sub-request.
    pub service_time: Duration,
    /// Duration of the run of each variant.
    pub duration: Duration,
    /// Seed of the arrivals, the choice of faulty targets and the deployment.
    pub seed: u64,
    /// Variants to compare, in order. The report's ratios refer to the first one.
    pub variants: Vec<PolicyVariant>,
    /// Faults to inject in the run of every variant.
    pub faults: Vec<FaultKind>,
}

impl Default for ExperimentSettings {
    fn default() -> Self {
        Self {
            profile: LoadProfile::default(),
            requests_per_second: 40.0,
            service_time: DEFAULT_SERVICE_TIME,
            duration: Duration::from_secs(15),
            seed: 41,
            variants: vec![PolicyVariant::Baseline, PolicyVariant::Full],
            faults: Vec::new(),
        }
    }
}

/// Runs all variants one after another, each on a new deployment with the same schedule.
pub async fn run_experiment(settings: &ExperimentSettings) -> anyhow::Result<Vec<RunSummary>> {
    let mut summaries = Vec::new();
    for variant in &settings.variants {
        let name = variant.to_string();
        let mut plan = settings.profile.to_plan(settings.seed)?;
        for service in &mut plan.deployment.services {
            service.service_time = settings.service_time;
        }
        let requests = plan_arrivals(
            &plan.traffic,
            settings.requests_per_second,
            settings.duration,
            settings.seed,
        )?;
        let deployment = LocalDeployment::start(LocalSettings {
            machine: variant.to_settings(),
            ..plan.deployment
        })
        .await?;
        let traffic = plan.traffic;
        let outcome = run_schedule(
            deployment,
            traffic.clone(),
            &requests,
            &settings.faults,
            settings.seed,
            &name,
        )
        .await?;
        summaries.push(summarize(&name, &traffic, &outcome, settings.duration)?);
    }
    Ok(summaries)
}
