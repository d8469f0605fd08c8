//! Measures the slopes from which `docs/CAPACITY.md` works out each role's needs at the design scale.

pub mod fan_out;
pub mod fit;
pub mod messages;
pub mod state;
