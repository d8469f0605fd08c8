//! Answers of a target that an entry collects for many callers at once: the daemon must live, stay within its memory, and
//! answer others. Nothing here depends on the speed of the machine. For runs by hand, `CALLER_CROWD_PROGRAM` names another
//! build.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;
#[path = "../../hickoryspan_runtime/tests/daemon_crowd/mod.rs"]
mod daemon_crowd;

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;
use futures::future::join_all;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::{ConnectionCount, SlotCount};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::daemon_crowd::Daemon;

/// Crowds run one at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

const CALLER_PORT: u16 = 7_201;
const ADMIN_PORT: u16 = 7_202;
/// Memory of the daemon in bytes. An idle one in a debug build takes about 15 MB of it.
const MEMORY_BYTES: usize = 48_000_000;
/// Requests that the faulty target takes at once, and connections to it.
const TARGET_CONNECTIONS: u32 = 800;
/// What the faulty target sends at once, in bytes: nearly the largest answer.
const FIRST_BYTES: usize = 1_000_000;
/// Size of each of its writes, in bytes.
const WRITE_BYTES: usize = 10_000;
/// Time without progress after which the daemon takes no more.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of faulty targets.
const TARGETS: usize = 8;
/// Number of searches at once.
const MEMBERS: usize = 400;
/// Time between the single bytes that it sends after that.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline that no test reaches.
const LONG_DEADLINE: Duration = Duration::from_secs(600);

/// Sends the beginning of an answer that has no end, and counts its bytes.
async fn answer_without_end(
    mut stream: TcpStream,
    head: &'static str,
    sent: Arc<AtomicUsize>,
) -> Option<()> {
    stream.read(&mut [0; 16 * 1024]).await.ok().filter(|count| *count > 0)?;
    stream.write_all(head.as_bytes()).await.ok()?;
    let block = [b' '; WRITE_BYTES];
    for _ in 0..FIRST_BYTES / WRITE_BYTES {
        stream.write_all(&block).await.ok()?;
        sent.fetch_add(WRITE_BYTES, Ordering::Relaxed);
    }
    loop {
        tokio::time::sleep(SLOW_INTERVAL).await;
        stream.write_all(b" ").await.ok()?;
    }
}

/// A target of which each answer begins and never ends.
struct FaultyTarget {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl FaultyTarget {
    async fn start(head: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::<AtomicUsize>::default();
        let count = Arc::clone(&sent);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(answer_without_end(stream, head, Arc::clone(&count)));
            }
        });
        Self { address, sent, _tasks: tasks }
    }

    /// Waits until the daemon takes no more bytes for a while.
    async fn settle(&self) {
        loop {
            let before = self.sent.load(Ordering::Relaxed);
            tokio::time::sleep(SETTLE_TIME).await;
            let sent = self.sent.load(Ordering::Relaxed);
            if sent == before {
                println!("{sent} bytes sent");
                return;
            }
        }
    }
}

/// Opens a connection and sends a search on it.
async fn send_search(callers: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(callers).await.ok()?;
    let body = r#"{"search":"find","query":1}"#;
    let fields = caller_headers().into_iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    let fields: String = fields.collect();
    let length = body.len();
    let request = format!(
        "POST /v1/search HTTP/1.1\r\nhost: entry\r\n{fields}content-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    Some(stream)
}

/// Returns the record of one of several replicas.
fn faulty_record((number, target): (usize, &FaultyTarget)) -> TargetRecord {
    TargetRecord {
        target: format!("faulty-{number}").parse().unwrap(),
        incarnation: Default::default(),
        address: target.address,
        tenant: TENANT.parse().unwrap(),
        service: "history".parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        slots: SlotCount(TARGET_CONNECTIONS),
        connections: ConnectionCount(TARGET_CONNECTIONS),
        partitions: vec![single_partition()],
        draining: false,
    }
}

fn start_daemon(control: SocketAddr) -> Daemon {
    let address = Daemon::own_address(203);
    let own = env!("CARGO_BIN_EXE_hickoryspan-entry").to_owned();
    let program = std::env::var("CALLER_CROWD_PROGRAM").unwrap_or(own);
    let mut command = Command::new(program);
    command
        .args(["--entry-id=e1", "--failure-domain=d1"])
        .arg(format!("--control-addresses={control}"))
        .arg(format!("--caller-address={address}:{CALLER_PORT}"))
        .arg(format!("--admin-address={address}:{ADMIN_PORT}"))
        .env("HICKORYSPAN_MEMORY_BYTES", MEMORY_BYTES.to_string())
        .env("HICKORYSPAN_CREDENTIAL", daemon_crowd::CREDENTIAL);
    Daemon::start(address, &mut command)
}

/// Guards against a daemon that keeps all that targets send and do not complete, until it is out of memory.
#[rstest]
#[case::without_a_length("HTTP/1.1 200 OK\r\n\r\n")]
#[case::with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_daemon_outlives_answers_without_end(#[case] head: &'static str) {
    let _one = ONE_CROWD.lock().await;
    let faulty = join_all((0..TARGETS).map(|_| FaultyTarget::start(head))).await;
    let press = start_press().await;
    let targets = records([&press]).into_iter().chain(faulty.iter().enumerate().map(faulty_record));
    let control = FakeControl::start(view(targets, LONG_DEADLINE)).await;
    let mut daemon = start_daemon(control.address);
    daemon.await_status(ADMIN_PORT, "GET /readyz", 200).await;
    let callers = SocketAddr::from((daemon.address, CALLER_PORT));
    let crowd = join_all((0..MEMBERS).map(|_| send_search(callers))).await;
    join_all(faulty.iter().map(FaultyTarget::settle)).await;
    let answer = order(callers, &order_headers("o1")).await;
    assert_eq!(answer.outcome(), "complete", "{}", answer.body);
    daemon.check(MEMORY_BYTES);
    drop((crowd, daemon));
    press.stop().await;
    control.stop().await;
}
