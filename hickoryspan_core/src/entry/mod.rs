//! Decisions of an entry process: the request path under load and faults (`docs/design.md`, section 6).

pub mod addresses;
pub mod admission;
pub mod configuration;
pub mod drain;
pub mod engine;
pub mod interface;
pub mod limits;
pub mod machine;
mod order_run;
pub mod orders;
pub mod pacing;
pub mod plan;
pub mod quarantine;
mod requests;
mod responses;
pub mod search_engine;
mod service_limit;
pub mod session;
