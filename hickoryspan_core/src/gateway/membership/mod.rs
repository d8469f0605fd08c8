//! Control hosts and entries: who belongs to the system, and the messages between them.

pub mod entry_list;
pub mod members;
pub mod messages;
pub mod report_history;
pub mod shared_table;
