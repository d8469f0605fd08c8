//! A crowd of callers that send most of a body and stay: the daemon must live, stay within its memory, and answer others.
//! Nothing here depends on the speed of the machine. For runs by hand, `CALLER_CROWD_PROGRAM` names another build.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../hickoryspan_runtime/tests/daemon_crowd/mod.rs"]
mod daemon_crowd;

use std::net::SocketAddr;
use std::process::Command;

use rstest::rstest;
use tokio::sync::Mutex;

use crate::daemon_crowd::{CREDENTIAL, Daemon, Habit, send_crowd};

/// Crowds run one at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

const CALLER_PORT: u16 = 7_201;
const ADMIN_PORT: u16 = 7_202;
/// Memory of the daemon in bytes. An idle one in a debug build takes about 15 MB of it.
const MEMORY_BYTES: usize = 48_000_000;
const BODY_BYTES: usize = 262_144;

async fn start() -> Daemon {
    let address = Daemon::own_address(201);
    let own = env!("CARGO_BIN_EXE_hickoryspan-entry").to_owned();
    let program = std::env::var("CALLER_CROWD_PROGRAM").unwrap_or(own);
    let mut command = Command::new(program);
    command
        .args(["--entry-id=e1", "--failure-domain=d1", "--control-addresses=127.0.0.1:9"])
        .arg(format!("--caller-address={address}:{CALLER_PORT}"))
        .arg(format!("--admin-address={address}:{ADMIN_PORT}"))
        .arg(format!("--body-bytes={BODY_BYTES}"))
        .arg("--read-time=60s")
        .env("HICKORYSPAN_MEMORY_BYTES", MEMORY_BYTES.to_string())
        .env("HICKORYSPAN_CREDENTIAL", CREDENTIAL);
    let daemon = Daemon::start(address, &mut command);
    daemon.await_answer(ADMIN_PORT, "GET /healthz", "").await;
    daemon
}

/// Guards against a daemon that keeps all that callers send and do not complete.
#[rstest]
#[case::with_a_length(Habit::Length)]
#[case::in_chunks(Habit::Chunks)]
#[case::in_streams(Habit::Streams)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_daemon_outlives_a_crowd(#[case] habit: Habit) {
    let _one = ONE_CROWD.lock().await;
    let mut daemon = start().await;
    let address = SocketAddr::from((daemon.address, CALLER_PORT));
    let _crowd = send_crowd(address, habit, "/v1/search", BODY_BYTES).await;
    // Without control replicas the answer is a refusal.
    let body = format!(r#"{{"search":"find","query":"{}"}}"#, "x".repeat(BODY_BYTES - 100));
    daemon.await_answer(CALLER_PORT, "POST /v1/search", &body).await;
    daemon.check(MEMORY_BYTES);
}
