//! Targets: which exist and live, what they say of themselves, which one gets a request, and which requests crash them.

pub mod connection_shares;
pub mod cost_model;
mod departures;
pub mod directory;
pub mod evacuations;
pub mod liveness;
pub mod loss_witness;
pub mod outcomes;
pub mod poison;
pub mod selection;
mod selection_limits;
pub mod send_check;
mod target_cost;
mod target_explanation;
pub mod target_notices;
mod target_state;
pub mod work_choice;
pub mod work_left;
