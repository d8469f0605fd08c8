//! Single steps on files, each with a fail point of the step's name.
//!
//! A fail point returns `nospace`, `broken`, or `torn N`, which does the first N bytes of a write.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::StepError;

/// Steps that have a fail point, in the order of their first use in the life of a folder.
pub const FAIL_POINTS: &[&str] = &[
    "identity_write",
    "identity_sync",
    "identity_rename",
    "format_write",
    "format_sync",
    "format_rename",
    "folder_sync",
    "segment_create",
    "segment_header_write",
    "segment_header_sync",
    "segment_write",
    "segment_sync",
    "segment_cut",
    "segment_remove",
    "snapshot_write",
    "snapshot_sync",
    "snapshot_rename",
    "snapshot_remove",
    "hardstate_write",
    "hardstate_sync",
    "hardstate_rename",
];

/// The steps of replacing a small file as a whole.
pub struct ReplaceSteps {
    pub write: &'static str,
    pub sync: &'static str,
    pub rename: &'static str,
}

// Only fail points call it, and builds without tests leave them out.
#[allow(dead_code)]
fn injected(action: Option<String>) -> io::Error {
    match action.as_deref() {
        Some("nospace") => io::Error::new(io::ErrorKind::StorageFull, "injected"),
        _ => io::Error::other("injected"),
    }
}

fn check(step: &'static str) -> io::Result<()> {
    fail::fail_point!(step, |action| Err(injected(action)));
    // Without fail points the name of the step is not used.
    let _ = step;
    Ok(())
}

/// What a fail point makes of a write.
struct TornWrite {
    bytes: usize,
    cause: io::Error,
}

fn torn_write(step: &'static str) -> Option<TornWrite> {
    fail::fail_point!(step, |action| {
        let count = action.as_deref().and_then(|action| action.strip_prefix("torn "));
        let bytes = count.and_then(|count| count.parse().ok()).unwrap_or(0);
        Some(TornWrite { bytes, cause: injected(action) })
    });
    let _ = step;
    None
}

fn at<T>(step: &'static str, file: &Path, result: io::Result<T>) -> Result<T, StepError> {
    result.map_err(|cause| StepError { step, file: file.to_owned(), cause })
}

/// Writes all bytes at a position.
pub fn write_at(
    step: &'static str,
    path: &Path,
    file: &mut File,
    offset: u64,
    bytes: &[u8],
) -> Result<(), StepError> {
    if let Some(TornWrite { bytes: count, cause }) = torn_write(step) {
        let part = &bytes[..count.min(bytes.len())];
        return at(step, path, write_plain(file, offset, part).and(Err(cause)));
    }
    at(step, path, write_plain(file, offset, bytes))
}

fn write_plain(file: &mut File, offset: u64, bytes: &[u8]) -> io::Result<()> {
    file.seek(SeekFrom::Start(offset))?;
    file.write_all(bytes)
}

/// Syncs a file's data and size.
pub fn sync(step: &'static str, path: &Path, file: &File) -> Result<(), StepError> {
    at(step, path, check(step).and_then(|()| file.sync_all()))
}

/// Syncs a folder, so that its names are durable.
pub fn sync_folder(path: &Path) -> Result<(), StepError> {
    let step = "folder_sync";
    at(step, path, check(step).and_then(|()| File::open(path)?.sync_all()))
}

/// Opens a new, empty file.
pub fn create(step: &'static str, path: &Path) -> Result<File, StepError> {
    let open = || OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path);
    at(step, path, check(step).and_then(|()| open()))
}

/// Cuts a file to a length.
pub fn cut(step: &'static str, path: &Path, file: &File, length: u64) -> Result<(), StepError> {
    at(step, path, check(step).and_then(|()| file.set_len(length)))
}

/// Removes a file.
pub fn remove(step: &'static str, path: &Path) -> Result<(), StepError> {
    at(step, path, check(step).and_then(|()| fs::remove_file(path)))
}

/// Replaces a file as a whole: after a crash it has either the old or the new content.
pub fn replace(
    steps: &ReplaceSteps,
    folder: &Path,
    name: &str,
    bytes: &[u8],
) -> Result<(), StepError> {
    let path = folder.join(name);
    let temporary = temporary_path(folder, name);
    let mut file = create(steps.write, &temporary)?;
    write_at(steps.write, &temporary, &mut file, 0, bytes)?;
    sync(steps.sync, &temporary, &file)?;
    let renamed = check(steps.rename).and_then(|()| fs::rename(&temporary, &path));
    at(steps.rename, &path, renamed)?;
    sync_folder(folder)
}

/// Where a file's next content is written.
pub fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.tmp"))
}
