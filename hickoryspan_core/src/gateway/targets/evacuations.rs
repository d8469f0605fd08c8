//! The failure domains to whose targets nothing is sent, by order of an operator (`docs/design/evacuations.md`).

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::types::{FailureDomain, ParseValueError};

/// Number of changes of the evacuated domains since the first start of the deployment. All hosts order the states that
/// they hear by it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EvacuationRevision(pub u64);

impl fmt::Display for EvacuationRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for EvacuationRevision {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_| ParseValueError::new("EvacuationRevision", text, "a whole number");
        text.parse().map(Self).map_err(error)
    }
}

/// What an operator orders for a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuationAction {
    /// Nothing is sent to the targets of the domain any more.
    Start,
    /// The targets of the domain are used again.
    Finish,
}

impl EvacuationAction {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Finish => "finish",
        }
    }
}

/// An operator's order to start or finish the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EvacuationOrder {
    /// The failure domain.
    pub domain: FailureDomain,
    /// What is ordered for it.
    pub action: EvacuationAction,
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct EvacuationState {
    /// Number of changes that led to this state.
    pub revision: EvacuationRevision,
    /// The evacuated domains.
    pub domains: BTreeSet<FailureDomain>,
}

impl EvacuationState {
    /// Applies an order. One that was applied before, or that changes nothing, leaves the revision as it is.
    pub fn apply(&mut self, order: EvacuationOrder) {
        let EvacuationOrder { domain, action } = order;
        let has_changed = match action {
            EvacuationAction::Start => self.domains.insert(domain),
            EvacuationAction::Finish => self.domains.remove(&domain),
        };
        self.revision.0 += u64::from(has_changed);
    }

    /// Takes over a newer state. Returns false and changes nothing if this one is as new.
    pub fn advance(&mut self, newer: &Self) -> bool {
        let is_newer = newer.revision > self.revision;
        if is_newer {
            self.clone_from(newer);
        }
        is_newer
    }

    /// Returns whether a failure domain is evacuated.
    pub fn covers(&self, domain: &FailureDomain) -> bool {
        self.domains.contains(domain)
    }
}

impl fmt::Display for EvacuationState {
    /// Writes the evacuated domains, or a dash if there are none.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.domains.is_empty() {
            return formatter.write_str("-");
        }
        let names: Vec<&str> = self.domains.iter().map(FailureDomain::as_str).collect();
        formatter.write_str(&names.join(" "))
    }
}
