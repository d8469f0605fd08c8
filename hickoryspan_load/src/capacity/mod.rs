//! Measures how costs grow with size. `docs/CAPACITY.md` extrapolates the needs of each role at the design scale from
//! the results.

pub mod fan_out;
pub mod fit;
pub mod messages;
pub mod state;
