//! Retry budgets: token buckets that limit hedges and retries to a fraction of the first attempts.

/// Settings of the retry budgets.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Whether budgets are enforced. They are disabled only in experiments.
    pub enabled: bool,
    /// Extra attempts earned by each first attempt, for its tenant and for each target that could serve it.
    pub ratio: f64,
    /// Maximum budget of a tenant, in attempts; also its initial budget.
    pub tenant_burst: f64,
    /// Maximum budget of a target, in attempts; also its initial budget.
    pub target_burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { enabled: true, ratio: 0.05, tenant_burst: 20.0, target_burst: 3.0 }
    }
}

/// Budget of extra attempts for a tenant or a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    burst: f64,
    ratio: f64,
    enabled: bool,
}

impl RetryBudget {
    /// Creates a full budget for a tenant.
    pub fn of_tenant(settings: &BudgetSettings) -> Self {
        Self::new(settings, settings.tenant_burst)
    }

    /// Creates a full budget for a target.
    pub fn of_target(settings: &BudgetSettings) -> Self {
        Self::new(settings, settings.target_burst)
    }

    fn new(settings: &BudgetSettings, burst: f64) -> Self {
        Self { tokens: burst, burst, ratio: settings.ratio, enabled: settings.enabled }
    }

    /// Adds the tokens that a first attempt earns.
    pub fn credit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Returns whether an extra attempt is allowed.
    pub fn allows(&self) -> bool {
        !self.enabled || self.tokens >= 1.0
    }

    /// Takes the token for an extra attempt.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
