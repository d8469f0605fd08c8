//! Measures how costs grow with size. `docs/CAPACITY.md` extrapolates each role's needs at the design scale from it.

pub mod fan_out;
pub mod fit;
pub mod messages;
pub mod state;
