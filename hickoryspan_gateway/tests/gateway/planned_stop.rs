//! Requests of callers while an entry stops as planned.
//!
//! Pattern: rolling restart. Callers keep the address of a stopping entry for some seconds and go on opening connections
//! to it, which the entry accepts until its last moments.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, exchange_on, get, route,
    to_service, to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn new_connection_during_a_stop_is_answered_and_closed() {
    let script = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"whole"));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    deployment.announce("t", "one", target.address).await;
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let stop = tokio::spawn(entry.drain());
    while readiness.is_ready() {
        tokio::task::yield_now().await;
    }
    // The entry accepts the connection before the request arrives on it.
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = exchange_on(&mut stream, &get("/one/")).await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"whole".as_slice()));
    assert_eq!(answer.header("connection"), Some("close"));
    // A connection without a request must not outlast the stop.
    let mut silent = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let mut buffer = [0; 1];
    let closed = tokio::time::timeout(TEST_TIMEOUT, silent.read(&mut buffer)).await;
    assert_eq!(closed.expect("the entry closes it").unwrap_or(0), 0);
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the stop ends").expect("no panic");
    deployment.stop().await;
}

async fn start_with_quick_target(accept: Duration) -> (Deployment, ScriptedTarget) {
    let script = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"whole"));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start_stopping(accept, TEST_TIMEOUT).await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

/// Guards against a stop that closes idle connections on which a request is on its way.
#[tokio::test]
async fn a_request_on_a_kept_connection_during_a_stop_is_answered() {
    let (mut deployment, _target) = start_with_quick_target(Duration::from_secs(2)).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    assert_eq!(exchange_on(&mut stream, &get("/one/")).await.header("connection"), None);
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let stop = tokio::spawn(entry.drain());
    while readiness.is_ready() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = exchange_on(&mut stream, &get("/one/")).await;
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the stop ends").expect("no panic");
    deployment.stop().await;
}

/// As many connections as the system lets wait.
const WAITING_CONNECTIONS: usize = 128;

/// Guards against a stop that resets the connections that it has not accepted yet, with the requests on them.
#[tokio::test]
async fn requests_on_connections_that_wait_to_be_accepted_are_answered() {
    let accept = Duration::from_millis(50);
    let (mut deployment, _target) = start_with_quick_target(accept).await;
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let stop = tokio::spawn(entry.drain());
    while readiness.is_ready() {
        tokio::task::yield_now().await;
    }
    // Blocking calls, so that the entry has accepted none of these connections when its time for that is over.
    std::thread::sleep(accept * 2);
    let connect = || {
        let mut stream = std::net::TcpStream::connect(deployment.address).expect("connect");
        stream.write_all(&get("/one/")).expect("send a request");
        stream.set_nonblocking(true).expect("a stream for the runtime");
        TcpStream::from_std(stream).expect("a stream of the runtime")
    };
    let mut streams: Vec<TcpStream> = (0..WAITING_CONNECTIONS).map(|_| connect()).collect();
    for stream in &mut streams {
        let answer = exchange_on(stream, b"").await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, b"whole".as_slice()));
    }
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the stop ends").expect("no panic");
    deployment.stop().await;
}

/// Time of the targets for a request, longer than a stopping entry waits for it.
const LONG_WORK: Duration = Duration::from_millis(1_500);

async fn start_with_slow_target(
    repeat: RepeatRule,
    destination: RouteDestination,
    finish: Duration,
) -> (Deployment, ScriptedTarget) {
    let script = |request: &SeenRequest| {
        TargetAction::SendLater(LONG_WORK, request.answer("stamp", b"0123456789abcdef"))
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let accept = finish - Duration::from_millis(200);
    let mut deployment = Deployment::start_stopping(accept, finish).await;
    deployment.configure(vec![route("/one/", repeat, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

/// Guards against requests that are taken late in a planned stop, passed on, and cut at its end, in particular those
/// that may not be sent again.
#[rstest]
#[case::may_not_be_repeated(RepeatRule::AtMostOnce, to_service("one"))]
#[case::may_be_repeated(RepeatRule::Idempotent, to_service("one"))]
#[case::over_shards(RepeatRule::Idempotent, to_shards(&["one"], 1.0))]
#[tokio::test]
async fn a_request_that_cannot_end_before_the_entry_is_refused(
    #[case] repeat: RepeatRule,
    #[case] destination: RouteDestination,
) {
    let finish = Duration::from_millis(800);
    let (mut deployment, target) = start_with_slow_target(repeat, destination, finish).await;
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let stop = tokio::spawn(entry.drain());
    while readiness.is_ready() {
        tokio::task::yield_now().await;
    }
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let answer = exchange_on(&mut stream, &get("/one/")).await;
    assert_eq!((answer.status, answer.body.as_slice()), (503, b"stopping".as_slice()));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(target.count(), 0, "the request reached a target");
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the stop ends").expect("no panic");
    deployment.stop().await;
}

/// Guards against requests that were taken before a stop and end with their connection instead of an answer.
#[rstest]
#[case::may_not_be_repeated(RepeatRule::AtMostOnce, to_service("one"))]
#[case::over_shards(RepeatRule::Idempotent, to_shards(&["one"], 1.0))]
#[tokio::test]
async fn a_request_in_flight_at_the_end_of_a_stop_is_answered(
    #[case] repeat: RepeatRule,
    #[case] destination: RouteDestination,
) {
    let finish = Duration::from_millis(400);
    let (mut deployment, target) = start_with_slow_target(repeat, destination, finish).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let request = get("/one/");
    let exchange = exchange_on(&mut stream, &request);
    let entry = deployment.entry.take().expect("an entry");
    let stop = async {
        while target.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        entry.drain().await;
    };
    let (answer, ()) = tokio::join!(exchange, stop);
    assert_eq!((answer.status, answer.body.as_slice()), (504, b"stop_timed_out".as_slice()));
    deployment.stop().await;
}

/// Guards against a stop that throws away the parts that a fan-out has received.
#[tokio::test]
async fn a_fan_out_with_enough_parts_at_the_end_of_a_stop_is_answered_with_them() {
    let quick =
        |request: &SeenRequest| TargetAction::Send(request.answer("quick", b"0123456789abcdef"));
    let quick = ScriptedTarget::start(Arc::new(quick)).await;
    let finish = Duration::from_millis(400);
    let to_both = to_shards(&["one", "two"], 0.5);
    let (mut deployment, slow) =
        start_with_slow_target(RepeatRule::Idempotent, to_both, finish).await;
    deployment.announce("q", "two", quick.address).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let request = get("/one/");
    let exchange = exchange_on(&mut stream, &request);
    let entry = deployment.entry.take().expect("an entry");
    let stop = async {
        while slow.count() == 0 || quick.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        entry.drain().await;
    };
    let (answer, ()) = tokio::join!(exchange, stop);
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"0123456789abcdef".as_slice()));
    assert_eq!(answer.header("hs-part-stamps"), Some("quick"));
    deployment.stop().await;
}

fn connect_and_send(address: std::net::SocketAddr) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(address).expect("connect");
    stream.write_all(&get("/one/")).expect("send a request");
    stream.set_nonblocking(true).expect("a stream for the runtime");
    stream
}

/// Guards against a stop that resets the connections that the system has established and of which the runtime does not
/// know yet.
#[tokio::test]
async fn a_connection_that_comes_in_the_turn_of_the_close_is_answered() {
    let accept = Duration::from_millis(50);
    let (mut deployment, _target) = start_with_quick_target(accept).await;
    let address = deployment.address;
    // Clears the readiness of the port.
    let mut first = TcpStream::connect(address).await.expect("connect to the entry");
    exchange_on(&mut first, &get("/one/")).await;
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let stop = tokio::spawn(entry.drain());
    while readiness.is_ready() {
        tokio::task::yield_now().await;
    }
    // Both timers end in the same turn, and this future is polled before the stop.
    let timer = tokio::time::sleep(accept);
    let block = async { std::thread::sleep(accept * 2) };
    tokio::join!(biased; timer, block);
    let mut stream = TcpStream::from_std(connect_and_send(address)).expect("a stream");
    let answer = exchange_on(&mut stream, b"").await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"whole".as_slice()));
    tokio::time::timeout(TEST_TIMEOUT, stop).await.expect("the stop ends").expect("no panic");
    deployment.stop().await;
}

/// Guards against refusals that are lost because the connection is reset while the caller still sends its body.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    let (deployment, _target) = start_with_quick_target(Duration::from_millis(50)).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let bytes = 8 * 1024 * 1024;
    let head = format!(
        "POST /unknown/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\ncontent-length: {bytes}\r\n\r\n"
    );
    use tokio::io::AsyncWriteExt;
    stream.write_all(head.as_bytes()).await.expect("send the head");
    stream.write_all(&vec![b'x'; bytes]).await.expect("send the body");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(TEST_TIMEOUT, read).await.expect("an end in time").expect("no reset");
    assert!(answer.starts_with(b"HTTP/1.1 404 "), "{:?}", String::from_utf8_lossy(&answer));
    deployment.stop().await;
}
