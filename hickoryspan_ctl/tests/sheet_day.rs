//! Guards the operators' morning against one control replica over loopback.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use std::fs;
use std::net::SocketAddr;

use hickoryspan_control::{ControlDaemon, ControlDaemonSettings, FolderRole, initialize_folder};
use hickoryspan_core::control::interface::StatusReport;
use hickoryspan_core::types::SheetNumber;
use hickoryspan_ctl::exit_status::ExitStatus;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::process::LogSettings;
use support::*;
use tempfile::TempDir;

const SHEET: &str = include_str!("../../docs/examples/sheet.csv");

struct Morning {
    folder: TempDir,
    daemon: ControlDaemon,
}

impl Morning {
    async fn start(seed: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let data_folder = folder.path().join("data");
        initialize_folder(&data_folder, FolderRole::First).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let daemon = ControlDaemon::start(ControlDaemonSettings {
            data_folder,
            initialize: None,
            peer_address: address,
            http_address: address,
            credential: SharedCredential::new(CREDENTIAL).unwrap(),
            limits: HttpLimits::default(),
            logs: LogSettings::default(),
            members: None,
            raft: Default::default(),
            seed: Some(seed),
        });
        Self { folder, daemon: daemon.await.unwrap() }
    }

    async fn ctl(&self, arguments: &[&str]) -> Ended {
        ctl(&[self.daemon.record().http_address], arguments).await
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    async fn apply(&self, file: &str, id: &str, more: &[&str]) -> Ended {
        let arguments =
            ["--command-id", id, "sheet", "apply", file, "--date", "2026-12-04", "--wait"];
        self.ctl(&[&arguments, more].concat()).await
    }
}

fn renumbered(number: &str) -> String {
    SHEET.replace("sheet;number;118", &format!("sheet;number;{number}"))
}

fn without_help_desk(number: &str) -> String {
    let lines = renumbered(number);
    let kept: Vec<&str> =
        lines.lines().filter(|line| !line.starts_with("caller;vestera;help-desk")).collect();
    kept.join("\n").replace("vestera;19", "vestera;18")
}

#[tokio::test]
async fn a_sheet_is_checked_applied_shown_and_compared() {
    let morning = Morning::start(11).await;
    let file = morning.write("118.csv", SHEET);
    let check = ["sheet", "check", &file, "--date", "2026-12-04"];
    assert_eq!(morning.ctl(&check).await.status, ExitStatus::Done);
    let applied = morning.apply(&file, "c-1", &[]).await;
    assert_eq!(applied.status, ExitStatus::Done, "{applied:?}");
    assert!(applied.notes.contains("in force at all 0 entries"), "{applied:?}");
    let again = morning.apply(&file, "c-1", &[]).await;
    assert_eq!((again.status, again.results), (applied.status, applied.results));

    let file = morning.write("119.csv", &renumbered("119").replace("2400;4800", "2500;4800"));
    let check = ["sheet", "check", &file, "--date", "2026-12-04"];
    let checked = morning.ctl(&check).await;
    assert!(checked.results.contains("changed quindio/caller/sales-phone"), "{checked:?}");
    assert_eq!(morning.apply(&file, "c-2", &[]).await.status, ExitStatus::Done);

    let shown = morning.ctl(&["sheet", "show", "118"]).await;
    let shown = morning.write("shown.csv", &shown.results);
    let resent = morning.apply(&shown, "c-3", &[]).await;
    assert_eq!(resent.status, ExitStatus::Done, "{resent:?}");
    let diff = morning.ctl(&["sheet", "diff", "118", "119"]).await;
    assert!(diff.results.contains("1 changed rows"), "{diff:?}");
    let missing = morning.ctl(&["sheet", "diff", "118", "7"]).await;
    assert_eq!(missing.status, ExitStatus::Refused, "{missing:?}");
    let history = morning.ctl(&["sheet", "history"]).await;
    assert_eq!(history.results.lines().count(), 4, "{history:?}");
    let status = morning.ctl(&["--json", "status"]).await;
    let status: StatusReport = serde_json::from_str(&status.results).unwrap();
    assert_eq!(status.sheet, Some(SheetNumber(119)));
    morning.daemon.stop().await;
}

// A refusal that does not name the flag to add leaves the operator without a way on.
#[tokio::test]
async fn a_shrinking_sheet_is_confirmed_with_the_printed_flags() {
    let morning = Morning::start(12).await;
    let file = morning.write("118.csv", SHEET);
    morning.apply(&file, "c-1", &[]).await;
    let file = morning.write("119.csv", &without_help_desk("119"));
    let flag = "--confirm-removal 'caller vestera/help-desk'";
    let checked = morning.ctl(&["sheet", "check", &file, "--date", "2026-12-04"]).await;
    assert!(checked.results.contains(flag), "{checked:?}");
    let refused = morning.apply(&file, "c-2", &[]).await;
    assert_eq!(refused.status, ExitStatus::Refused, "{refused:?}");
    assert!(refused.notes.contains(flag), "{refused:?}");
    let confirmed =
        morning.apply(&file, "c-3", &["--confirm-removal", "caller vestera/help-desk"]).await;
    assert_eq!(confirmed.status, ExitStatus::Done, "{confirmed:?}");

    // docs/SHEET.md names removals as tenant/kind/name.
    let text = without_help_desk("120").replace("vestera;18", "vestera;17");
    let kept: Vec<&str> =
        text.lines().filter(|line| !line.starts_with("order;vestera;plate-pull")).collect();
    let file = morning.write("120.csv", &kept.join("\n"));
    let confirmed =
        morning.apply(&file, "c-4", &["--confirm-removal", "vestera/order/plate-pull"]).await;
    assert_eq!(confirmed.status, ExitStatus::Done, "{confirmed:?}");
    morning.daemon.stop().await;
}

#[tokio::test]
async fn a_conflict_names_the_winner_and_faults_are_listed_together() {
    let morning = Morning::start(13).await;
    let file = morning.write("118.csv", SHEET);
    morning.apply(&file, "c-1", &[]).await;
    let other = morning.write("other.csv", &SHEET.replace("2400;4800", "2500;4800"));
    let checked = morning.ctl(&["sheet", "check", &other, "--date", "2026-12-04"]).await;
    assert_eq!(checked.status, ExitStatus::Refused, "{checked:?}");
    let conflict = morning.apply(&other, "c-2", &[]).await;
    assert_eq!(conflict.status, ExitStatus::Refused, "{conflict:?}");
    assert!(conflict.results.contains("submitted by ana"), "{conflict:?}");

    let faulty = SHEET.replace("2400;4800", "2.400;x").replace("2026-12-04", "2026-12-03");
    let faulty = morning.write("faulty.csv", &faulty);
    let refused = morning.apply(&faulty, "c-3", &[]).await;
    assert_eq!(refused.status, ExitStatus::Refused, "{refused:?}");
    assert!(refused.results.contains("read sheet: 3 faults"), "{refused:?}");
    morning.daemon.stop().await;
}

#[tokio::test]
async fn members_that_do_not_exist_are_refused_by_name() {
    let morning = Morning::start(14).await;
    for kind in ["target", "entry", "domain"] {
        let ended = morning.ctl(&["drain", kind, "press-1"]).await;
        assert_eq!(ended.status, ExitStatus::Refused, "{ended:?}");
        assert!(ended.results.contains("press-1"), "{ended:?}");
        assert!(ended.notes.contains("command id "), "{ended:?}");
    }
    let fingerprint = "0".repeat(64);
    let lifted = morning.ctl(&["quarantine", "lift", &fingerprint]).await;
    assert_eq!(lifted.status, ExitStatus::Refused, "{lifted:?}");
    let removed = morning.ctl(&["replica", "remove", "7"]).await;
    assert_eq!(removed.status, ExitStatus::Refused, "{removed:?}");
    for question in [["targets"].as_slice(), &["quarantine", "list"], &["history", "--limit", "2"]]
    {
        let ended = morning.ctl(question).await;
        assert_eq!(ended.status, ExitStatus::Done, "{ended:?}");
    }
    morning.daemon.stop().await;
}
