//! Which requests are admitted: limits of targets, cold targets, quotas and fair shares of accounts, retry budgets and
//! overload.

pub mod budget;
pub mod cold_targets;
pub mod demand_meter;
pub mod fair_share;
pub mod limit_gate;
pub mod overload;
pub mod quota;
pub mod quota_gate;
pub mod quota_ledger;
pub mod target_limits;
pub mod usage_class;
pub mod usage_window;
