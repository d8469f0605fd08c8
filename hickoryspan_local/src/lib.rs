//! A whole deployment in one process, for development and for tests of the whole path.
//!
//! It runs the same daemons as the separate programs, on loopback, with a data folder that ends with the process.

#![warn(missing_docs)]

mod caller;
mod deployment;
mod operator;
mod plan;

pub use caller::{CallerAnswer, LocalCaller};
pub use deployment::{LocalDeployment, LocalSettings, LostTarget, RoleRuntimes, example_sheet};
pub use operator::LocalOperator;
pub use plan::{INITIAL_SNAPSHOT, ServicePlan, TargetPlan, default_services};
