//! A stop of a replica whose disk does not complete a write.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use fail::FailScenario;
use hickoryspan_core::control::interface::AdminCommand;
use hickoryspan_core::types::{CommandId, OperatorId};
use http::{Method, StatusCode};
use support::*;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// Longest time for anything that the test waits for.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A replica whose only thread is not the one of the test.
struct ReplicaThread {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ReplicaThread {
    fn start(folder: PathBuf) -> Self {
        let (addresses, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            single_thread().block_on(async {
                let daemon = start_first_replica(&folder, 1).await;
                addresses.send(daemon.record().http_address).unwrap();
                stopped.await.unwrap();
                daemon.stop().await;
            });
        });
        Self { address: started.recv_timeout(TIMEOUT).unwrap(), stop, thread }
    }
}

fn single_thread() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn sheet_command() -> Vec<u8> {
    let command = AdminCommand {
        operator: OperatorId::new("ana").unwrap(),
        command: CommandId::new("c-1").unwrap(),
        action: apply(sheet(118)),
    };
    serde_json::to_vec(&command).unwrap()
}

// Guards against calls in flight that stay unanswered while a stop waits for a silent disk on the only thread.
#[test]
fn a_stop_answers_the_calls_in_flight_while_the_disk_is_silent() {
    let scenario = FailScenario::setup();
    let folder = tempfile::tempdir().unwrap();
    let replica = ReplicaThread::start(folder.path().join("replica"));
    let runtime = single_thread();
    runtime.block_on(status(&[replica.address]));
    let (reached, is_reached) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    fail::cfg_callback("segment_sync", move || {
        reached.send(()).unwrap();
        // An error means that the test has ended.
        let _ = released.lock().unwrap().recv();
    })
    .unwrap();
    let address = replica.address;
    let call = runtime.spawn(async move {
        let path = "/v1/admin/commands";
        send(address, Method::POST, path, Some(CREDENTIAL), sheet_command()).await
    });
    let answer = runtime.block_on(async {
        let is_reached = tokio::task::spawn_blocking(move || is_reached.recv_timeout(TIMEOUT));
        is_reached.await.unwrap().unwrap();
        replica.stop.send(()).unwrap();
        tokio::time::timeout(TIMEOUT, call).await
    });
    let answer = answer.expect("an answer").unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    drop(release);
    replica.thread.join().unwrap();
    scenario.teardown();
}
