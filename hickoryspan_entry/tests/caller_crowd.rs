//! A crowd of callers that send most of a body and stay: the daemon must live, stay within its memory, and answer others.
//! Nothing here depends on the speed of the machine. For runs by hand, `CALLER_CROWD_PROGRAM` names another build.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/caller_crowds/multiplexed.rs"]
mod multiplexed;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Crowds run one at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

const CALLER_PORT: u16 = 7_201;
const ADMIN_PORT: u16 = 7_202;
/// Memory of the daemon in bytes. An idle one in a debug build takes about 15 MB of it.
const MEMORY_BYTES: usize = 48_000_000;
const BODY_BYTES: usize = 262_144;
/// Largest header that the daemon accepts, in bytes.
const HEADER_BYTES: usize = 16 * 1024;
/// The headers of a caller, which each request needs.
const CALLER_FIELDS: [(&str, &str); 4] =
    [("hs-tenant", "t"), ("hs-caller", "console"), ("hs-class", "phone"), ("hs-request-id", "r1")];
const MEMBERS: usize = 400;
/// Longest time for anything that the test waits for.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a member may not make progress before it counts as settled.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Bytes that each chunk holds.
const CHUNK_BYTES: usize = 8;

/// A running daemon. Dropping it kills the process.
struct Daemon {
    address: Ipv4Addr,
    child: Child,
}

impl Daemon {
    async fn start() -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, high, low, 201);
        let own = env!("CARGO_BIN_EXE_hickoryspan-entry").to_owned();
        let program = std::env::var("CALLER_CROWD_PROGRAM").unwrap_or(own);
        let child = Command::new(program)
            .args(["--entry-id=e1", "--failure-domain=d1", "--control-addresses=127.0.0.1:9"])
            .arg(format!("--caller-address={address}:{CALLER_PORT}"))
            .arg(format!("--admin-address={address}:{ADMIN_PORT}"))
            .arg(format!("--body-bytes={BODY_BYTES}"))
            .arg("--read-time=60s")
            .env("HICKORYSPAN_MEMORY_BYTES", MEMORY_BYTES.to_string())
            .env("HICKORYSPAN_CREDENTIAL", "a-credential-for-tests")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let daemon = Self { address, child };
        daemon.await_answer(ADMIN_PORT, "GET /healthz", "").await;
        daemon
    }

    /// Sends a request until it is answered, as callers do. Without control replicas the answer is a refusal.
    async fn await_answer(&self, port: u16, method_and_path: &str, body: &str) {
        let end_at = Instant::now() + TIMEOUT;
        while self.call(port, method_and_path, body).await.is_none() {
            assert!(Instant::now() < end_at, "no answer to {method_and_path}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn call(&self, port: u16, method_and_path: &str, body: &str) -> Option<()> {
        let mut stream = TcpStream::connect(SocketAddr::from((self.address, port))).await.ok()?;
        let head = head(method_and_path);
        let request =
            format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        // A request that made room for others was not served.
        let is_displaced = answer.starts_with("HTTP/1.1 408 ");
        (answer.starts_with("HTTP/1.1 ") && !is_displaced).then_some(())
    }

    /// Returns the peak of the resident memory in bytes.
    fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn head(method_and_path: &str) -> String {
    let fields = CALLER_FIELDS.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{method_and_path} HTTP/1.1\r\nhost: entry\r\n{}", fields.collect::<String>())
}

/// Sends as much of a request as the daemon reads and returns the connection.
async fn send(address: SocketAddr, request: Vec<u8>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut rest = request.as_slice();
    while !rest.is_empty() {
        match tokio::time::timeout(SETTLE_TIME, stream.write(rest)).await {
            Ok(Ok(count)) => rest = &rest[count..],
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}

/// What each member of the crowd sends.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// A body with a length but for its last byte.
    Length,
    /// A body in small chunks but for its last byte.
    Chunks,
    /// The headers of many streams of HTTP/2.
    Streams,
}

impl Habit {
    fn request(self) -> Vec<u8> {
        let path = "/v1/search";
        let head = head(&format!("POST {path}"));
        match self {
            Self::Length => {
                let body = "x".repeat(BODY_BYTES - 1);
                format!("{head}content-length: {BODY_BYTES}\r\n\r\n{body}").into_bytes()
            }
            Self::Chunks => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
                let chunks = chunk.repeat(BODY_BYTES / CHUNK_BYTES - 1);
                format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}").into_bytes()
            }
            Self::Streams => multiplexed::open_streams(path, HEADER_BYTES, &CALLER_FIELDS),
        }
    }
}

/// Guards against a daemon that keeps all that callers send and do not complete.
#[rstest]
#[case::with_a_length(Habit::Length)]
#[case::in_chunks(Habit::Chunks)]
#[case::in_streams(Habit::Streams)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_daemon_outlives_a_crowd(#[case] habit: Habit) {
    let _one = ONE_CROWD.lock().await;
    let mut daemon = Daemon::start().await;
    let request = habit.request();
    let address = SocketAddr::from((daemon.address, CALLER_PORT));
    let mut members = JoinSet::new();
    for _ in 0..MEMBERS {
        members.spawn(send(address, request.clone()));
    }
    let mut open = Vec::new();
    while let Some(ended) = members.join_next().await {
        open.extend(ended.unwrap());
    }
    let body = format!(r#"{{"search":"find","query":"{}"}}"#, "x".repeat(BODY_BYTES - 100));
    daemon.await_answer(CALLER_PORT, "POST /v1/search", &body).await;
    assert!(daemon.child.try_wait().unwrap().is_none(), "the daemon has ended");
    let memory = daemon.peak_memory();
    println!("{memory} bytes");
    assert!(memory < MEMORY_BYTES, "the daemon uses {memory} bytes of memory");
}
