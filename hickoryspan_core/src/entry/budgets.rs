//! Token buckets that bound hedges and retries to a share of the first attempts.

/// Settings of the budgets of hedges and retries.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Whether budgets are applied; switched off only in experiments.
    pub enabled: bool,
    /// Extra attempts allowed for each first attempt, for a tenant and for a target.
    pub ratio: f64,
    /// Extra attempts that a tenant may save up; also its budget at the start.
    pub tenant_burst: f64,
    /// Extra attempts that a target may save up; also its budget at the start.
    pub target_burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { enabled: true, ratio: 0.05, tenant_burst: 20.0, target_burst: 3.0 }
    }
}

/// Permission for extra attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    burst: f64,
    ratio: f64,
    enabled: bool,
}

impl RetryBudget {
    /// A full budget of a tenant.
    pub fn of_tenant(settings: &BudgetSettings) -> Self {
        Self::new(settings, settings.tenant_burst)
    }

    /// A full budget of a target.
    pub fn of_target(settings: &BudgetSettings) -> Self {
        Self::new(settings, settings.target_burst)
    }

    fn new(settings: &BudgetSettings, burst: f64) -> Self {
        Self { tokens: burst, burst, ratio: settings.ratio, enabled: settings.enabled }
    }

    /// Counts a first attempt.
    pub fn fill(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Whether an extra attempt is allowed.
    pub fn allows(&self) -> bool {
        !self.enabled || self.tokens >= 1.0
    }

    /// Counts an extra attempt.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
