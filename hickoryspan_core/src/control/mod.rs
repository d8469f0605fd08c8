//! Decisions of a control replica: log replication, membership, claims and leases (`docs/design.md`).

pub mod interface;
pub mod raft;
