//! Decisions of an entry process: the request path under load and faults (`docs/design.md`, section 6).

pub mod engine;
pub mod interface;
pub mod plan;
