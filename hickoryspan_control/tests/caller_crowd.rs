//! Crowds at the ports of a control daemon: it must live, stay within its memory, and answer others. Nothing here depends on
//! the speed of the machine. For runs by hand, `CALLER_CROWD_PROGRAM` names another build.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../hickoryspan_runtime/tests/daemon_crowd/mod.rs"]
mod daemon_crowd;

use std::net::SocketAddr;
use std::process::Command;

use rstest::rstest;
use tempfile::TempDir;
use tokio::sync::Mutex;

use crate::daemon_crowd::{CREDENTIAL, Daemon, Habit, send_crowd};

/// Crowds run one at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

const PEER_PORT: u16 = 7_211;
const HTTP_PORT: u16 = 7_212;
/// Memory of the daemon in bytes. An idle one in a debug build takes about 15 MB of it.
const MEMORY_BYTES: usize = 48_000_000;
const BODY_BYTES: usize = 262_144;

/// Starts the only replica of a new deployment.
async fn start(folder: &TempDir) -> Daemon {
    let address = Daemon::own_address(211);
    let program = || {
        let own = env!("CARGO_BIN_EXE_hickoryspan-control").to_owned();
        let mut command = Command::new(std::env::var("CALLER_CROWD_PROGRAM").unwrap_or(own));
        command
            .arg(format!("--data-folder={}", folder.path().join("replica").display()))
            .arg(format!("--peer-address={address}:{PEER_PORT}"))
            .arg(format!("--http-address={address}:{HTTP_PORT}"))
            .arg(format!("--max-body-bytes={BODY_BYTES}"))
            .arg("--read-time=60s")
            .env("HICKORYSPAN_MEMORY_BYTES", MEMORY_BYTES.to_string())
            .env("HICKORYSPAN_CREDENTIAL", CREDENTIAL);
        command
    };
    assert!(program().arg("--initialize=first").status().unwrap().success());
    let daemon = Daemon::start(address, &mut program());
    daemon.await_answer(HTTP_PORT, "GET /healthz", "").await;
    daemon
}

/// Guards against a daemon that keeps all that operators and targets send and do not complete, with the credential or
/// without it.
#[rstest]
#[case::with_a_length(HTTP_PORT, Habit::Length)]
#[case::in_chunks(HTTP_PORT, Habit::Chunks)]
#[case::in_streams(HTTP_PORT, Habit::Streams)]
#[case::at_the_peer_port(PEER_PORT, Habit::Length)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_daemon_outlives_a_crowd(#[case] port: u16, #[case] habit: Habit) {
    let _one = ONE_CROWD.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let mut daemon = start(&folder).await;
    let address = SocketAddr::from((daemon.address, port));
    let _crowd = send_crowd(address, habit, "/v1/admin/commands", BODY_BYTES).await;
    daemon.await_answer(HTTP_PORT, "GET /readyz", "").await;
    daemon.check(MEMORY_BYTES);
}
