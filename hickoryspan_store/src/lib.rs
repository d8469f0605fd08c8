//! Durable storage of a control replica: log segments, snapshots, hard state and a lock file in one data folder.
//!
//! `docs/design/storage.md` describes the file formats and the recovery.

#![warn(missing_docs)]

mod error;
mod file_log;
mod file_ops;
mod folder;
mod record;
mod segment;

pub use error::StoreError;
pub use file_log::FileLog;
pub use file_ops::{DISK_FAIL_POINT, FAIL_POINTS};
pub use folder::{DataFolder, OpenedLog};
