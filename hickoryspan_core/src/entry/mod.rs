//! Decisions of an entry process: the request path under load and faults (`docs/design.md`, section 6).

mod answers;
pub mod budgets;
pub mod concurrency;
pub mod connections;
mod coverage;
pub mod crashes;
mod dispatch;
mod endings;
pub mod engine;
mod fleet;
pub mod hedging;
pub mod interface;
pub mod latency;
mod lifecycle;
mod losses;
pub mod outliers;
pub mod plan;
pub mod queries;
pub mod routing;
mod slab;
mod snapshots;
mod targets;
mod timers;
mod waiting;
