//! Decision logic of hickoryspan as state machines that use no sockets, files, clocks or global
//! randomness.
//!
//! Every state machine takes a typed event and the current time and returns typed actions, so that a
//! daemon, a test or a benchmark can drive it unchanged. See `docs/design.md`, section 2.

#![warn(missing_docs)]

pub mod control;
pub mod entry;
pub mod gateway;
pub mod membership;
pub mod messages;
pub mod reconnect;
pub mod sheet;
pub mod types;
