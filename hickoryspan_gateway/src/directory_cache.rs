//! Saves the known targets on disk, so that control hosts that all restart need not wait for the next announcement of
//! every target. Loaded targets expire soon unless they announce themselves again. Requests that crash targets are saved
//! too, so that a common restart of all hosts does not let them run again.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::Context;
use hickoryspan_core::gateway::targets::directory::{TargetAnnouncement, TargetDeparture};
use hickoryspan_core::gateway::targets::poison::SuspicionRecord;
use serde::{Deserialize, Serialize};

/// File name in the folder.
const FILE_NAME: &str = "targets";
/// File name while the file is being written.
const TEMPORARY_NAME: &str = "targets.new";

/// The content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub(crate) struct CachedDirectory {
    pub(crate) targets: Vec<TargetAnnouncement>,
    pub(crate) departures: Vec<TargetDeparture>,
    pub(crate) suspicions: Vec<SuspicionRecord>,
}

/// The file that holds the known targets.
#[derive(Clone, Debug)]
pub(crate) struct DirectoryCache {
    folder: PathBuf,
}

impl DirectoryCache {
    pub(crate) fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    /// Replaces the file. The new content is synced before it is renamed.
    pub(crate) fn save(&self, directory: &CachedDirectory) -> anyhow::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(directory, &mut bytes).context("encode targets")?;
        let temporary = self.folder.join(TEMPORARY_NAME);
        let target = self.folder.join(FILE_NAME);
        let write = || -> std::io::Result<()> {
            let mut file = File::create(&temporary)?;
            file.write_all(&bytes)?;
            file.sync_data()?;
            fs::rename(&temporary, &target)?;
            File::open(&self.folder)?.sync_all()
        };
        write().with_context(|| format!("save targets: {}", target.display()))
    }

    /// Loads the file; `None` if there is none.
    pub(crate) fn load(&self) -> anyhow::Result<Option<CachedDirectory>> {
        let path = self.folder.join(FILE_NAME);
        if !Path::exists(&path) {
            return Ok(None);
        }
        let step = || format!("load targets: {}", path.display());
        let bytes = fs::read(&path).with_context(step)?;
        ciborium::from_reader(bytes.as_slice()).map(Some).with_context(step)
    }
}
