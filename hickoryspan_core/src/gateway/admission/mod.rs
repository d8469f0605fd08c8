//! Which requests are admitted: limits of targets, cold targets, retry budgets and overload.

pub mod budget;
pub mod cold_targets;
pub mod limit_gate;
pub mod overload;
pub mod target_limits;
