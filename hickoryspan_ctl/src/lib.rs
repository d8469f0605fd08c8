//! Command line tool for operators: validates and submits sheets, and shows and changes members and control replicas.
//!
//! The pages under `docs/operations` describe its use.

#![warn(missing_docs)]

pub mod arguments;
mod changes;
pub mod control_client;
pub mod exit_status;
mod explain_command;
mod member_commands;
mod pages;
mod program;
mod report;
pub mod settings;
mod sheet_commands;
mod wait;

pub use program::{CommandConsole, run};
