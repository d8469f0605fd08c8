//! Tests of first starts that are interrupted while the data folder is created.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use hickoryspan_control::{FolderRole, has_folder, initialize_folder, interrupted_role};
use support::*;

/// Guards against a founder that becomes an additional replica for ever, so that no deployment begins, because its disk
/// took no more bytes, or its process ended, between two files of its new folder.
#[tokio::test]
async fn a_first_replica_is_first_after_an_interrupted_creation() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("replica");
    // A folder with the marker's name refuses the write of the marker.
    let obstacle = folder.join("first-replica");
    std::fs::create_dir_all(&obstacle).unwrap();
    initialize_folder(&folder, FolderRole::First).unwrap_err();
    assert!(!has_folder(&folder), "the folder counts as complete");
    std::fs::remove_dir(&obstacle).unwrap();
    let daemon = start_first_replica(&folder, 700).await;
    let report = status(&[daemon.record().http_address]).await;
    assert_eq!(report.leader, Some(daemon.record().replica));
    daemon.stop().await;
}

/// Guards against a founder that is forgotten because its platform names it only at the very first start, and against a
/// second deployment if an operator chooses another role after an interrupted creation.
#[test]
fn an_interrupted_creation_remembers_its_role_until_another_is_chosen() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("replica");
    assert_eq!(interrupted_role(&folder), None);
    // A folder with the name of the format file's temporary file refuses its write.
    let obstacle = folder.join("FORMAT.tmp");
    std::fs::create_dir_all(&obstacle).unwrap();
    initialize_folder(&folder, FolderRole::First).unwrap_err();
    assert_eq!(interrupted_role(&folder), Some(FolderRole::First));
    std::fs::remove_dir(&obstacle).unwrap();
    initialize_folder(&folder, FolderRole::Additional).unwrap();
    assert!(!folder.join("first-replica").exists());
    assert_eq!(interrupted_role(&folder), None);
}
