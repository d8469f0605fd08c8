//! Targets: which exist and live, what they say of themselves, which one gets a request, and which requests crash them.

pub mod directory;
pub mod evacuations;
pub mod liveness;
pub mod loss_witness;
pub mod outcomes;
pub mod poison;
pub mod selection;
pub mod send_check;
pub mod target_notices;
