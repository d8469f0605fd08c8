//! Decision logic of the gateway, which forwards HTTP requests by route and merges the records of
//! many shards (`docs/design/gateway.md`).

pub mod budget;
pub mod directory;
pub mod document;
pub mod document_change;
pub mod document_parts;
pub mod entry_list;
pub mod fanout;
pub mod fanout_groups;
pub mod limit_gate;
pub mod liveness;
pub mod log_limit;
pub mod loss_witness;
pub mod members;
pub mod messages;
pub mod outcomes;
pub mod overload;
pub mod planned_stop;
pub mod poison;
pub mod processor_lag;
pub mod relays;
pub mod report_history;
pub mod routes;
pub mod selection;
pub mod send_check;
pub mod shared_table;
pub mod target_limits;
pub mod target_notices;
