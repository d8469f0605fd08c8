//! A stand-in target for tests and load runs. It implements the API in `docs/TARGETS.md` with generated documents and
//! supports fault injection.

#![warn(missing_docs)]

mod announce;
pub mod arguments;
pub mod documents;
pub mod faults;
mod handler;
mod listener;
pub mod record;
mod server;
pub mod settings;
mod state;

pub use server::{TargetHandle, TargetServer};
pub use settings::TargetSettings;
