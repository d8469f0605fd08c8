//! Creates and opens the data folder.
//!
//! Creation is a separate command: a replica that has lost its disk must never start a new deployment on its own,
//! because two deployments would then accept contradicting sheets.

use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::str::FromStr;

use anyhow::Context;
use hickoryspan_core::types::{ParseValueError, ReplicaId};
use hickoryspan_store::{DataFolder, OpenedLog};

/// File that marks the data folder of a deployment's first replica. It has an effect only while the log is empty.
const FIRST_REPLICA_MARKER: &str = "first-replica";

/// Role of the replica for which a data folder is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderRole {
    /// The first replica of a new deployment, which is its only voter.
    First,
    /// A further replica, which takes no part until it is added to the replica set.
    Additional,
}

impl fmt::Display for FolderRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::First => "first",
            Self::Additional => "additional",
        })
    }
}

impl FromStr for FolderRole {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "first" => Ok(Self::First),
            "additional" => Ok(Self::Additional),
            _ => Err(ParseValueError::new("FolderRole", text, "first or additional")),
        }
    }
}

/// Creates the data folder with a random replica identity. Fails if the folder is already initialized.
///
/// The role is written before the folder counts as initialized, so that an interrupted creation can be repeated.
pub fn initialize_folder(path: &Path, role: FolderRole) -> anyhow::Result<ReplicaId> {
    let write_role = |path: &Path| write_role(path, role);
    let folder = DataFolder::create_with(path, ReplicaId(rand::random()), write_role)
        .with_context(|| format!("initialize data folder: {}", path.display()))?;
    Ok(folder.identity())
}

fn write_role(path: &Path, role: FolderRole) -> io::Result<()> {
    let marker = path.join(FIRST_REPLICA_MARKER);
    match role {
        FolderRole::First => File::create(&marker)?.sync_all()?,
        // An interrupted creation with the other role may have left it.
        FolderRole::Additional if marker.exists() => fs::remove_file(&marker)?,
        FolderRole::Additional => return Ok(()),
    }
    File::open(path)?.sync_all()
}

/// Returns the role for which a data folder was being created when that was interrupted, unless the role is not known. A
/// replica that was to be the first one has not run then, so no deployment has begun.
pub fn interrupted_role(path: &Path) -> Option<FolderRole> {
    let is_first = !has_folder(path) && path.join(FIRST_REPLICA_MARKER).exists();
    is_first.then_some(FolderRole::First)
}

/// Returns whether the path contains an initialized data folder.
pub fn has_folder(path: &Path) -> bool {
    DataFolder::exists(path)
}

/// An opened data folder.
pub(crate) struct OpenedFolder {
    pub(crate) replica: ReplicaId,
    pub(crate) is_first: bool,
    pub(crate) opened: OpenedLog,
}

/// Opens an initialized data folder and recovers its log.
pub(crate) fn open_folder(path: &Path) -> anyhow::Result<OpenedFolder> {
    let step = || format!("open data folder: {}", path.display());
    let folder = DataFolder::open(path).with_context(step)?;
    let replica = folder.identity();
    let opened = folder.into_log().with_context(step)?;
    Ok(OpenedFolder { replica, is_first: path.join(FIRST_REPLICA_MARKER).exists(), opened })
}
