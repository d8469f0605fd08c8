//! Which requests are admitted: limits of targets, retry budgets and overload.

pub mod budget;
pub mod fair_share;
pub mod limit_gate;
pub mod overload;
pub mod target_limits;
