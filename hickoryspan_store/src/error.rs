//! Errors found when a data folder is created or opened.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use hickoryspan_core::control::interface::PersistError;

/// Why a data folder cannot be used; each names the file.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process uses the folder.
    #[error("{0}: another process holds the lock")]
    Locked(PathBuf),
    /// The folder was created before.
    #[error("{0}: the data folder exists already")]
    Exists(PathBuf),
    /// The folder holds no complete data folder.
    #[error("{0}: not a data folder")]
    Missing(PathBuf),
    /// The folder was written by another version.
    #[error("{file}: format {found:?}, this version reads {expected:?}")]
    Format {
        /// The file.
        file: PathBuf,
        /// What it says.
        found: String,
        /// What this version writes.
        expected: String,
    },
    /// The file does not hold what was written; it must not be used.
    #[error("{file}: offset {offset}: {cause}")]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Where the fault begins.
        offset: u64,
        /// What is wrong there.
        cause: String,
    },
    /// The system refused an operation.
    #[error("{step}: {file}: {cause}")]
    Io {
        /// The step that failed.
        step: &'static str,
        /// The file.
        file: PathBuf,
        /// The system's report.
        cause: io::Error,
    },
}

impl StoreError {
    pub(crate) fn corrupt(file: &Path, offset: u64, cause: impl Into<String>) -> Self {
        Self::Corrupt { file: file.to_owned(), offset, cause: cause.into() }
    }
}

/// A failed step on a file, before it is known what it means for the caller.
#[derive(Debug)]
pub(crate) struct StepError {
    pub step: &'static str,
    pub file: PathBuf,
    pub cause: io::Error,
}

impl From<StepError> for StoreError {
    fn from(error: StepError) -> Self {
        let StepError { step, file, cause } = error;
        Self::Io { step, file, cause }
    }
}

impl StepError {
    /// Whether the disk had no room.
    pub fn is_no_space(&self) -> bool {
        matches!(self.cause.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }

    fn file_name(&self) -> Arc<str> {
        let name = self.file.file_name().unwrap_or(self.file.as_os_str());
        name.to_string_lossy().into()
    }

    /// The error of a step after which the data is intact.
    pub fn into_no_space(self) -> PersistError {
        PersistError::NoSpace { step: self.step, file: self.file_name() }
    }

    /// The error of a step after which the log must not be used.
    pub fn into_broken(self) -> PersistError {
        let cause = self.cause.to_string().into();
        PersistError::Broken { step: self.step, file: self.file_name(), cause }
    }
}
