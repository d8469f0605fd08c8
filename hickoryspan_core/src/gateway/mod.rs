//! Decision logic of the gateway, which forwards HTTP requests by route and merges the records of
//! many shards (`docs/design/gateway.md`).

pub mod account_labels;
pub mod admission;
pub mod documents;
pub mod explanation;
pub mod fanouts;
pub mod log_limit;
pub mod membership;
pub mod planned_stop;
pub mod processor_lag;
pub mod stable_rank;
pub mod targets;
