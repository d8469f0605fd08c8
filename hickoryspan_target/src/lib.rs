//! A small stand-in target: it implements the API that `docs/TARGETS.md` describes, with generated documents and
//! faults that tests and the load tool switch on.

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
