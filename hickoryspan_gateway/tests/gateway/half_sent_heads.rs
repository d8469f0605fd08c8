//! Callers that send a part of a head, and callers that keep a connection without one.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, exchange_on, get, route,
    to_service,
};
use hickoryspan_core::gateway::documents::document::{CallerLimits, RepeatRule};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for a head. Much shorter than the timeout of a test.
const HEADER_TIME: Duration = Duration::from_millis(200);

async fn start() -> (Deployment, ScriptedTarget) {
    let script = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"own"));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    deployment.limits = CallerLimits {
        header_time: HEADER_TIME,
        // Longer than the timeout of a test.
        idle_time: TEST_TIMEOUT * 10,
        ..CallerLimits::default()
    };
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

async fn await_close(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await;
    // A reset is an end too.
    let _ = closed.expect("the entry closes the connection");
}

/// Guards against a half-sent head that is held for the idle time, on a new connection and after an answer.
#[tokio::test]
async fn a_half_sent_head_is_held_for_the_header_time_only() {
    let (deployment, _target) = start().await;
    let mut new = TcpStream::connect(deployment.address).await.expect("connect");
    new.write_all(b"GET /one/ HTTP/1.1\r\nhost:").await.expect("send");
    let mut kept = TcpStream::connect(deployment.address).await.expect("connect");
    assert_eq!(exchange_on(&mut kept, &get("/one/")).await.status, 200);
    kept.write_all(b"GET /one/ HTTP/1.1\r\nhost:").await.expect("send");
    await_close(&mut new).await;
    await_close(&mut kept).await;
    deployment.stop().await;
}

/// Guards against kept connections that are closed after the time for a head, though no head has begun.
#[tokio::test]
async fn a_kept_connection_without_a_head_has_the_idle_time() {
    let (deployment, _target) = start().await;
    let mut kept = TcpStream::connect(deployment.address).await.expect("connect");
    for _ in 0..2 {
        assert_eq!(exchange_on(&mut kept, &get("/one/")).await.status, 200);
        tokio::time::sleep(HEADER_TIME * 3).await;
    }
    assert_eq!(exchange_on(&mut kept, &get("/one/")).await.status, 200);
    deployment.stop().await;
}
