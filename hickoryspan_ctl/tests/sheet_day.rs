//! Runs the operators' daily commands against a control replica on the loopback interface.

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
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::process::LogSettings;
use support::*;
use tempfile::TempDir;

const SHEET: &str = include_str!("../../docs/examples/sheet.csv");

/// A control replica and a folder for its data and the sheets.
struct TestDeployment {
    folder: TempDir,
    daemon: ControlDaemon,
}

impl TestDeployment {
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
            handshakes: DEFAULT_HANDSHAKES,
            seed: Some(seed),
        });
        Self { folder, daemon: daemon.await.unwrap() }
    }

    async fn ctl(&self, arguments: &[&str]) -> RunOutput {
        ctl(&[self.daemon.record().http_address], arguments).await
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    async fn apply(&self, file: &str, id: &str, more: &[&str]) -> RunOutput {
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
    let deployment = TestDeployment::start(11).await;
    let file = deployment.write("118.csv", SHEET);
    let check = ["sheet", "check", &file, "--date", "2026-12-04"];
    assert_eq!(deployment.ctl(&check).await.status, ExitStatus::Done);
    let applied = deployment.apply(&file, "c-1", &[]).await;
    assert_eq!(applied.status, ExitStatus::Done, "{applied:?}");
    assert!(applied.stderr.contains("in force at all 0 entries"), "{applied:?}");
    let again = deployment.apply(&file, "c-1", &[]).await;
    assert_eq!((again.status, again.stdout), (applied.status, applied.stdout));

    let file = deployment.write("119.csv", &renumbered("119").replace("2400;4800", "2500;4800"));
    let check = ["sheet", "check", &file, "--date", "2026-12-04"];
    let checked = deployment.ctl(&check).await;
    assert!(checked.stdout.contains("changed quindio/caller/sales-phone"), "{checked:?}");
    assert_eq!(deployment.apply(&file, "c-2", &[]).await.status, ExitStatus::Done);

    let shown = deployment.ctl(&["sheet", "show", "118"]).await;
    let shown = deployment.write("shown.csv", &shown.stdout);
    let resent = deployment.apply(&shown, "c-3", &[]).await;
    assert_eq!(resent.status, ExitStatus::Done, "{resent:?}");
    let diff = deployment.ctl(&["sheet", "diff", "118", "119"]).await;
    assert!(diff.stdout.contains("1 changed rows"), "{diff:?}");
    let missing = deployment.ctl(&["sheet", "diff", "118", "7"]).await;
    assert_eq!(missing.status, ExitStatus::Refused, "{missing:?}");
    let history = deployment.ctl(&["sheet", "history"]).await;
    assert_eq!(history.stdout.lines().count(), 4, "{history:?}");
    let status = deployment.ctl(&["--json", "status"]).await;
    let status: StatusReport = serde_json::from_str(&status.stdout).unwrap();
    assert_eq!(status.sheet, Some(SheetNumber(119)));
    deployment.daemon.stop().await;
}

// Guards against a rejection that does not tell the operator which flags confirm the removals.
#[tokio::test]
async fn a_shrinking_sheet_is_confirmed_with_the_printed_flags() {
    let deployment = TestDeployment::start(12).await;
    let file = deployment.write("118.csv", SHEET);
    deployment.apply(&file, "c-1", &[]).await;
    let file = deployment.write("119.csv", &without_help_desk("119"));
    let flag = "--confirm-removal 'caller vestera/help-desk'";
    let checked = deployment.ctl(&["sheet", "check", &file, "--date", "2026-12-04"]).await;
    assert!(checked.stdout.contains(flag), "{checked:?}");
    let refused = deployment.apply(&file, "c-2", &[]).await;
    assert_eq!(refused.status, ExitStatus::Refused, "{refused:?}");
    assert!(refused.stderr.contains(flag), "{refused:?}");
    let confirmed =
        deployment.apply(&file, "c-3", &["--confirm-removal", "caller vestera/help-desk"]).await;
    assert_eq!(confirmed.status, ExitStatus::Done, "{confirmed:?}");

    // The form of docs/SHEET.md, tenant/kind/name, is accepted as well.
    let text = without_help_desk("120").replace("vestera;18", "vestera;17");
    let kept: Vec<&str> =
        text.lines().filter(|line| !line.starts_with("order;vestera;plate-pull")).collect();
    let file = deployment.write("120.csv", &kept.join("\n"));
    let confirmed =
        deployment.apply(&file, "c-4", &["--confirm-removal", "vestera/order/plate-pull"]).await;
    assert_eq!(confirmed.status, ExitStatus::Done, "{confirmed:?}");
    deployment.daemon.stop().await;
}

#[tokio::test]
async fn a_conflict_names_the_operator_of_the_accepted_sheet_and_all_faults_are_listed() {
    let deployment = TestDeployment::start(13).await;
    let file = deployment.write("118.csv", SHEET);
    deployment.apply(&file, "c-1", &[]).await;
    let other = deployment.write("other.csv", &SHEET.replace("2400;4800", "2500;4800"));
    let checked = deployment.ctl(&["sheet", "check", &other, "--date", "2026-12-04"]).await;
    assert_eq!(checked.status, ExitStatus::Refused, "{checked:?}");
    let conflict = deployment.apply(&other, "c-2", &[]).await;
    assert_eq!(conflict.status, ExitStatus::Refused, "{conflict:?}");
    assert!(conflict.stdout.contains("submitted by ana"), "{conflict:?}");

    let faulty = SHEET.replace("2400;4800", "2.400;x").replace("2026-12-04", "2026-12-03");
    let faulty = deployment.write("faulty.csv", &faulty);
    let refused = deployment.apply(&faulty, "c-3", &[]).await;
    assert_eq!(refused.status, ExitStatus::Refused, "{refused:?}");
    assert!(refused.stdout.contains("read sheet: 3 faults"), "{refused:?}");
    deployment.daemon.stop().await;
}

#[tokio::test]
async fn members_that_do_not_exist_are_refused_by_name() {
    let deployment = TestDeployment::start(14).await;
    for kind in ["target", "entry", "domain"] {
        let output = deployment.ctl(&["drain", kind, "press-1"]).await;
        assert_eq!(output.status, ExitStatus::Refused, "{output:?}");
        assert!(output.stdout.contains("press-1"), "{output:?}");
        assert!(output.stderr.contains("command id "), "{output:?}");
    }
    let fingerprint = "0".repeat(64);
    let lifted = deployment.ctl(&["quarantine", "lift", &fingerprint]).await;
    assert_eq!(lifted.status, ExitStatus::Refused, "{lifted:?}");
    let removed = deployment.ctl(&["replica", "remove", "7"]).await;
    assert_eq!(removed.status, ExitStatus::Refused, "{removed:?}");
    for command in [["targets"].as_slice(), &["quarantine", "list"], &["history", "--limit", "2"]] {
        let output = deployment.ctl(command).await;
        assert_eq!(output.status, ExitStatus::Done, "{output:?}");
    }
    deployment.daemon.stop().await;
}
