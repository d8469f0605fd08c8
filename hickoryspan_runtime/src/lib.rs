//! Infrastructure shared by all processes: settings, logs, metrics, HTTP client and server, peer links and the
//! shared credential.

#![warn(missing_docs)]

pub mod accept_queue;
mod body_buffer;
mod body_room;
mod bounded_socket;
pub mod caller_budget;
pub mod caller_stream;
pub mod clock;
pub mod credential;
mod exchange_progress;
pub mod http_client;
pub mod http_server;
mod line_queue;
pub mod logs;
mod metered_stream;
pub mod metrics_page;
mod metrics_recorder;
mod partial_read;
pub mod peer_link;
pub mod pending_link;
pub mod process;
pub mod response_budget;
mod server_connection;
pub mod settings;
pub mod tasks;
pub mod write_timeout;
