//! A complete deployment in one process, for development and for end-to-end tests.
//!
//! It runs the same daemons as the separate programs on the loopback interface. The data folder is temporary.

#![warn(missing_docs)]

mod caller;
mod deployment;
mod operator;
mod plan;

pub use caller::{CallerAnswer, LocalCaller};
pub use deployment::{LocalDeployment, LocalSettings, LostTarget, RoleRuntimes, example_sheet};
pub use operator::LocalOperator;
pub use plan::{INITIAL_SNAPSHOT, ServicePlan, TargetPlan, default_services};
