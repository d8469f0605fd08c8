//! The control daemon: runs the control state machine with real sockets, files and clocks.
//!
//! All decisions are made in `hickoryspan_core::control`; see `docs/design.md`, sections 2 to 5.

#![warn(missing_docs)]

mod actor;
mod admin_json;
mod control_handle;
mod daemon;
mod folder_setup;
mod http_routes;
mod link_server;
mod persistence;
mod replica_links;
mod settings;

pub use admin_json::{CommandRequest, HistoryPage, QuarantinePage, TargetPage};
pub use control_handle::{ControlHandle, ControlView};
pub use daemon::ControlDaemon;
pub use folder_setup::{FolderRole, has_folder, initialize_folder, interrupted_role};
pub use http_routes::ROUTES;
pub use settings::{ControlDaemonSettings, ControlOptions};
