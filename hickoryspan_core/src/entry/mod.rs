//! Decisions of an entry process: the request path under load and faults (`docs/design.md`, section 6).

mod answers;
pub mod budgets;
pub mod concurrency;
pub mod configuration;
pub mod connections;
mod coverage;
pub mod crashes;
mod dispatch;
pub mod engine;
mod fleet;
pub mod hedging;
pub mod interface;
pub mod latency;
mod lifecycle;
pub mod machine;
pub mod orders;
pub mod outliers;
pub mod plan;
pub mod queries;
pub mod routing;
pub mod search_engine;
pub mod session;
mod slab;
mod snapshots;
mod timers;
