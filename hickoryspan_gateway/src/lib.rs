//! The gateway: forwards HTTP requests by route, merges the records of many shards, and maintains the directory of
//! targets on the control hosts. The decision logic, which does no I/O, is in `hickoryspan_core::gateway`; see
//! `docs/design/gateway.md`.

#![warn(missing_docs)]

mod attempt;
mod caller_answer;
mod caller_connection;
mod caller_server;
mod directory_cache;
mod directory_hub;
mod directory_links;
mod directory_server;
mod document_history;
mod entry_daemon;
mod entry_link_handler;
mod expected_work;
mod explainer;
mod fanout_links;
mod fanout_messages;
mod fanout_server;
mod forward;
mod gateway_state;
mod headers;
mod host_list;
mod hub_state;
mod link_listener;
mod load_checks;
mod quota_permits;
mod refusal;
mod relayed_groups;
mod run;
mod run_outcome;
mod settings;
mod socket_budget;
mod target_answer;
mod target_pool;

pub use directory_hub::{AnnounceVerdict, DirectoryHub};
pub use directory_links::{DirectoryLinks, KnownChanges, LinkHandler};
pub use directory_server::DirectoryServer;
pub use entry_daemon::{EntryListView, FanoutCounts, GatewayEntry, ReadinessView};
pub use explainer::EntryExplainer;
pub use headers::GatewayHeaders;
pub use host_list::HostList;
pub use settings::{DirectorySettings, GatewaySettings};
