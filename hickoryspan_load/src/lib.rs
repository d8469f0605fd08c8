//! Open-loop load generation, experiments that compare routing policies, checkers of the system's invariants, and
//! capacity measurements.

#![warn(missing_docs)]

pub mod arrivals;
pub mod capacity;
pub mod driver;
pub mod expectation;
pub mod experiment;
pub mod fault_plan;
pub mod invariants;
pub mod profile;
pub mod report;
pub mod summary;
