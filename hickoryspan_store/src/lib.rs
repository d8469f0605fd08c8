//! The durable log of a control replica: segments, snapshots, hard state and lock under one data folder
//! (`docs/design/storage.md`).

#![warn(missing_docs)]

mod error;
mod file_log;
mod file_ops;
mod folder;
mod record;
mod segment;

pub use error::StoreError;
pub use file_log::FileLog;
pub use file_ops::FAIL_POINTS;
pub use folder::{DataFolder, OpenedLog};
