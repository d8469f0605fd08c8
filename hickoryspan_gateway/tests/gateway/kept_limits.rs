//! Connections that callers keep while a configuration with other limits for callers takes effect. They must be handled by
//! the limits in force, not by those of the moment at which they were accepted.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, exchange_on, get, route,
    to_service,
};
use hickoryspan_core::gateway::documents::document::{CallerLimits, RepeatRule, RouteRule};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Connections that the target accepts. One of them may be busy while limits change.
const CONNECTIONS: u32 = 8;
const SMALL_HEAD: usize = 16 * 1024;
const LARGE_HEAD: usize = 64 * 1024;
/// Size of a head between the two.
const HEAD_BYTES: usize = 20_000;
/// Idle time after a change, and timeout of a route. Much shorter than the timeout of a test.
const SHORT_TIME: Duration = Duration::from_secs(1);

fn routes() -> Vec<RouteRule> {
    let one = route("/one/", RepeatRule::Idempotent, to_service("one"));
    let hasty = route("/hasty/", RepeatRule::Idempotent, to_service("one"));
    vec![one, RouteRule { timeout: SHORT_TIME, ..hasty }]
}

fn limits(header_bytes: usize) -> CallerLimits {
    // Longer than the timeout of a test.
    let (header_time, idle_time) = (TEST_TIMEOUT, TEST_TIMEOUT * 10);
    CallerLimits { header_bytes, header_time, idle_time, ..CallerLimits::default() }
}

/// Starts a deployment with these limits. Its target answers requests whose path ends with `late` once `late` is cancelled.
async fn start(limits: CallerLimits, late: &CancellationToken) -> (Deployment, ScriptedTarget) {
    let late = late.clone();
    let script = move |request: &SeenRequest| {
        let answer = request.answer("stamp", b"own");
        match request.head.contains("/one/late ") {
            true => TargetAction::SendWhen(late.clone(), answer),
            false => TargetAction::Send(answer),
        }
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    deployment.limits = limits;
    deployment.configure_with(CONNECTIONS, routes()).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

/// Submits other limits and waits until the entry handles new connections by them.
async fn change(deployment: &mut Deployment, limits: CallerLimits, expected: u16) {
    deployment.limits = limits;
    deployment.configure_with(CONNECTIONS, routes()).await;
    let in_force = async {
        while deployment.exchange(&large_request("/one/")).await.status != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, in_force).await.expect("the limits are in force");
}

fn large_request(path: &str) -> Vec<u8> {
    let text = String::from_utf8(get(path)).expect("a text");
    let filler = "x".repeat(HEAD_BYTES);
    text.replacen("\r\n", &format!("\r\nx-filler: {filler}\r\n"), 1).into_bytes()
}

/// What a connection has had when the limits change.
#[derive(Clone, Copy, Debug)]
enum KeptState {
    New,
    Answered,
    RefusedEarly,
    HalfHead,
    HalfHeadAfterAnswer,
    InFlight,
}

/// Opens a connection and brings it into this state. Returns it with what is left to be sent of a large request.
async fn open(deployment: &Deployment, state: KeptState) -> (TcpStream, Vec<u8>) {
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect");
    let mut request = large_request("/one/");
    match state {
        KeptState::New | KeptState::HalfHead => {}
        KeptState::Answered | KeptState::HalfHeadAfterAnswer => {
            assert_eq!(exchange_on(&mut stream, &get("/one/")).await.status, 200);
        }
        KeptState::RefusedEarly => {
            assert_eq!(exchange_on(&mut stream, &get("/none/")).await.status, 404);
        }
        KeptState::InFlight => stream.write_all(&get("/one/late")).await.expect("send"),
    }
    if matches!(state, KeptState::HalfHead | KeptState::HalfHeadAfterAnswer) {
        let rest = request.split_off(HEAD_BYTES / 2);
        stream.write_all(&request).await.expect("send");
        request = rest;
    }
    (stream, request)
}

// Guards against a limit for heads that a kept connection keeps for ever, so that it refuses requests that the
// configuration allows.
#[rstest]
#[tokio::test]
async fn a_kept_connection_takes_larger_heads_once_they_are_allowed(
    #[values(
        KeptState::New,
        KeptState::Answered,
        KeptState::RefusedEarly,
        KeptState::HalfHead,
        KeptState::HalfHeadAfterAnswer,
        KeptState::InFlight
    )]
    state: KeptState,
) {
    let late = CancellationToken::new();
    let (mut deployment, _target) = start(limits(SMALL_HEAD), &late).await;
    let (mut stream, rest) = open(&deployment, state).await;
    change(&mut deployment, limits(LARGE_HEAD), 200).await;
    late.cancel();
    if matches!(state, KeptState::InFlight) {
        assert_eq!(exchange_on(&mut stream, &[]).await.status, 200);
    }
    assert_eq!(exchange_on(&mut stream, &rest).await.status, 200);
    // The next answer comes on the same connection, too.
    assert_eq!(exchange_on(&mut stream, &large_request("/one/")).await.status, 200);
    deployment.stop().await;
}

// Guards against heads that are accepted on kept connections though the configuration no longer allows them.
#[rstest]
#[tokio::test]
async fn a_kept_connection_refuses_larger_heads_once_they_are_not_allowed(
    #[values(KeptState::New, KeptState::Answered)] state: KeptState,
) {
    let (mut deployment, _target) = start(limits(LARGE_HEAD), &CancellationToken::new()).await;
    let (mut stream, rest) = open(&deployment, state).await;
    change(&mut deployment, limits(SMALL_HEAD), 431).await;
    assert_eq!(exchange_on(&mut stream, &rest).await.status, 431);
    deployment.stop().await;
}

// Guards against kept connections that stay open for the idle time of a former configuration.
#[rstest]
#[tokio::test]
async fn a_kept_connection_has_the_idle_time_in_force(
    #[values(KeptState::New, KeptState::Answered)] state: KeptState,
) {
    let (mut deployment, _target) = start(limits(SMALL_HEAD), &CancellationToken::new()).await;
    let (mut stream, _) = open(&deployment, state).await;
    let short =
        CallerLimits { header_time: SHORT_TIME, idle_time: SHORT_TIME, ..limits(LARGE_HEAD) };
    change(&mut deployment, short, 200).await;
    let closed = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut [0])).await;
    assert_eq!(closed.expect("the entry closes the connection").expect("an end"), 0);
    deployment.stop().await;
}

// Guards against the rest of a body that passes for a request: the limits change while a body arrives, and the request is
// refused before it is whole.
#[tokio::test]
async fn the_rest_of_a_body_is_no_request_after_a_change() {
    let (mut deployment, target) = start(limits(SMALL_HEAD), &CancellationToken::new()).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect");
    let rest = get("/one/smuggled");
    let length = rest.len();
    let head = format!(
        "POST /hasty/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-9\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("send a head");
    change(&mut deployment, limits(LARGE_HEAD), 200).await;
    assert_eq!(exchange_on(&mut stream, &[]).await.status, 408);
    // The entry may have closed the connection already.
    let _ = stream.write_all(&rest).await;
    let mut answers = Vec::new();
    let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut answers)).await;
    assert_eq!(String::from_utf8_lossy(&answers), "");
    let seen = target.seen.lock().expect("the seen requests").clone();
    assert!(seen.iter().all(|request| !request.head.contains("smuggled")), "{seen:?}");
    deployment.stop().await;
}
