//! State machine of a control replica: log replication, membership, claims and leases (`docs/design.md`). It
//! performs no I/O.

pub mod audit;
pub mod bytes;
pub mod claims;
pub mod commands;
pub mod dissemination;
pub mod interface;
pub mod leases;
pub mod machine;
pub mod quarantine;
pub mod raft;
pub mod registry;
pub mod settings;
pub mod shares;
pub mod sheets;
pub mod state;
