//! Entry daemon: serves callers over HTTP and performs the actions of the entry machine.
//!
//! The entry machine makes all decisions; see `docs/design.md`, sections 2 and 6.

#![warn(missing_docs)]

mod admin_api;
mod answers;
pub mod arguments;
mod caller_api;
mod control_link;
mod controller;
mod daemon;
mod entry_metrics;
mod errors;
mod filters;
mod readiness;
pub mod settings;
mod target_client;
mod target_protocol;

pub use admin_api::HEALTH_ROUTES;
pub use caller_api::CALLER_ROUTES;
pub use daemon::{EntryDaemon, EntryHandle};
pub use settings::EntryDaemonSettings;
