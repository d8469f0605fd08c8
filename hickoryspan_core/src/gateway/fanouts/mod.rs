//! Requests to many shards, and their division among entries.

pub mod fanout;
pub mod fanout_groups;
pub mod relays;
