//! Errors of the data folder and of single steps on its files.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use hickoryspan_core::control::interface::PersistError;

/// An error while a data folder is created or opened. Every variant names the file or folder concerned.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process holds the lock of the data folder.
    #[error("{0}: another process holds the lock")]
    Locked(PathBuf),
    /// The folder to be created already exists as a data folder or contains data of one.
    #[error("{0}: the data folder exists already")]
    Exists(PathBuf),
    /// The path contains no data folder, or one whose creation was not completed.
    #[error("{0}: not a data folder")]
    Missing(PathBuf),
    /// The folder has a format that this release cannot read.
    #[error("{file}: format {found:?}, this version reads {expected:?}")]
    Format {
        /// Path of the format file.
        file: PathBuf,
        /// Format stated in the file.
        found: String,
        /// Format that this release reads and writes.
        expected: String,
    },
    /// The content of a file is damaged or inconsistent, so the folder must not be used.
    #[error("{file}: offset {offset}: {cause}")]
    Corrupt {
        /// Path of the corrupt file.
        file: PathBuf,
        /// Byte offset at which the fault begins.
        offset: u64,
        /// Description of the fault.
        cause: String,
    },
    /// The operating system reported an error.
    #[error("{step}: {file}: {cause}")]
    Io {
        /// Name of the failed step, such as `segment_sync`.
        step: &'static str,
        /// Path of the file or folder concerned.
        file: PathBuf,
        /// Error reported by the operating system.
        cause: io::Error,
    },
}

impl StoreError {
    pub(crate) fn corrupt(file: &Path, offset: u64, cause: impl Into<String>) -> Self {
        Self::Corrupt { file: file.to_owned(), offset, cause: cause.into() }
    }
}

/// An I/O error of a single step. The caller decides whether the stored data is still intact.
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
    /// Returns whether the step failed because the disk is full or a quota is used up.
    pub fn is_no_space(&self) -> bool {
        matches!(self.cause.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }

    fn file_name(&self) -> Arc<str> {
        let name = self.file.file_name().unwrap_or(self.file.as_os_str());
        name.to_string_lossy().into()
    }

    /// Converts into the error of a step that left the stored data intact.
    pub fn into_no_space(self) -> PersistError {
        PersistError::NoSpace { step: self.step, file: self.file_name() }
    }

    /// Converts into the error of a step after which the log must not be used any more.
    pub fn into_broken(self) -> PersistError {
        let cause = self.cause.to_string().into();
        PersistError::Broken { step: self.step, file: self.file_name(), cause }
    }
}
