//! Which requests are admitted: limits of targets, quotas of accounts, retry budgets and overload.

pub mod budget;
pub mod demand_meter;
pub mod limit_gate;
pub mod overload;
pub mod quota;
pub mod quota_gate;
pub mod quota_ledger;
pub mod target_limits;
pub mod usage_class;
pub mod usage_window;
