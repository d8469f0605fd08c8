//! File operations as named steps, each with a fail point of the same name.
//!
//! The value that a fail point returns selects the error: `nospace` for a full disk, `broken` for any other
//! error, and `torn N` for a write that fails after its first N bytes. [`DISK_FAIL_POINT`] belongs to all steps; there
//! `nospace N` refuses what follows the first N bytes of a write.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::StepError;

/// Names of the steps that have a fail point, in the order in which a new data folder first reaches them.
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
    "segment_cut_sync",
    "segment_remove",
    "snapshot_write",
    "snapshot_sync",
    "snapshot_rename",
    "snapshot_remove",
    "hardstate_write",
    "hardstate_sync",
    "hardstate_rename",
];

/// Fail point of the whole disk, which each step reaches after its own.
pub const DISK_FAIL_POINT: &str = "disk";

/// Step names for the atomic replacement of a small file.
pub struct ReplaceSteps {
    pub write: &'static str,
    pub sync: &'static str,
    pub rename: &'static str,
}

// Only fail points call this function, and they are compiled into test builds only.
#[allow(dead_code)]
fn injected_error(action: Option<String>) -> io::Error {
    match action.as_deref() {
        Some(action) if action.starts_with("nospace") => {
            io::Error::new(io::ErrorKind::StorageFull, "injected")
        }
        _ => io::Error::other("injected"),
    }
}

fn check_fail_point(step: &'static str) -> io::Result<()> {
    fail::fail_point!(step, |action| Err(injected_error(action)));
    fail::fail_point!(DISK_FAIL_POINT, |action| Err(injected_error(action)));
    // Avoids a warning about an unused argument in builds without fail points.
    let _ = step;
    Ok(())
}

/// A write that a fail point interrupts after `bytes` bytes.
struct TornWrite {
    bytes: usize,
    cause: io::Error,
}

fn torn_write(step: &'static str) -> Option<TornWrite> {
    fail::fail_point!(step, |action| Some(to_torn_write(action)));
    fail::fail_point!(DISK_FAIL_POINT, |action| Some(to_torn_write(action)));
    let _ = step;
    None
}

// Only fail points call this function.
#[allow(dead_code)]
fn to_torn_write(action: Option<String>) -> TornWrite {
    let words = action.as_deref().and_then(|action| action.split_once(' '));
    let bytes = words.and_then(|(_, count)| count.parse().ok()).unwrap_or(0);
    TornWrite { bytes, cause: injected_error(action) }
}

fn with_step<T>(step: &'static str, file: &Path, result: io::Result<T>) -> Result<T, StepError> {
    result.map_err(|cause| StepError { step, file: file.to_owned(), cause })
}

/// Writes all bytes at an offset of a file.
pub fn write_at(
    step: &'static str,
    path: &Path,
    file: &mut File,
    offset: u64,
    bytes: &[u8],
) -> Result<(), StepError> {
    if let Some(TornWrite { bytes: count, cause }) = torn_write(step) {
        let part = &bytes[..count.min(bytes.len())];
        return with_step(step, path, seek_and_write(file, offset, part).and(Err(cause)));
    }
    with_step(step, path, seek_and_write(file, offset, bytes))
}

fn seek_and_write(file: &mut File, offset: u64, bytes: &[u8]) -> io::Result<()> {
    file.seek(SeekFrom::Start(offset))?;
    file.write_all(bytes)
}

/// Syncs the content and the metadata of a file to disk.
pub fn sync(step: &'static str, path: &Path, file: &File) -> Result<(), StepError> {
    with_step(step, path, check_fail_point(step).and_then(|()| file.sync_all()))
}

/// Syncs a folder, so that created, renamed and removed names in it are durable.
pub fn sync_folder(path: &Path) -> Result<(), StepError> {
    let step = "folder_sync";
    with_step(step, path, check_fail_point(step).and_then(|()| File::open(path)?.sync_all()))
}

/// Creates a file for reading and writing. An existing file is emptied.
pub fn create(step: &'static str, path: &Path) -> Result<File, StepError> {
    let open = || OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path);
    with_step(step, path, check_fail_point(step).and_then(|()| open()))
}

/// Truncates a file to a length in bytes.
pub fn truncate(
    step: &'static str,
    path: &Path,
    file: &File,
    length: u64,
) -> Result<(), StepError> {
    with_step(step, path, check_fail_point(step).and_then(|()| file.set_len(length)))
}

/// Removes a file. The folder is not synced, so the file may reappear after a crash.
pub fn remove(step: &'static str, path: &Path) -> Result<(), StepError> {
    with_step(step, path, check_fail_point(step).and_then(|()| fs::remove_file(path)))
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
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
    let renamed = check_fail_point(steps.rename).and_then(|()| fs::rename(&temporary, &path));
    with_step(steps.rename, &path, renamed)?;
    sync_folder(folder)
}

/// Returns the path of the file to which [`replace`] writes the new content before it is renamed.
pub fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.tmp"))
}
