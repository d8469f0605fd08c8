//! Requests that reach an entry before it knows what it needs to serve them.
//!
//! Pattern: all processes are back after a common loss of power, and callers that know the entries' addresses come at
//! once. Guards against refusals of requests that could be served a moment later, whose callers try only once more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;

/// Deadline of the request that is refused. Half of it is much longer than a refusal at once takes.
const DEADLINE: Duration = Duration::from_millis(2_000);

fn routes() -> Vec<hickoryspan_core::gateway::documents::document::RouteRule> {
    vec![route("/one/", RepeatRule::Idempotent, to_service("service"))]
}

async fn start_target() -> ScriptedTarget {
    let answer = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"answer"));
    ScriptedTarget::start(Arc::new(answer)).await
}

#[tokio::test]
async fn a_request_waits_for_the_configuration_and_the_targets() {
    let mut deployment = Deployment::start().await;
    let target = start_target().await;
    let address = deployment.address;
    let early = tokio::spawn(async move {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connect");
        let request = b"GET /one/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\n\
            hs-deadline-ms: 30000\r\n\r\n";
        crate::support::exchange_on(&mut stream, request).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!early.is_finished(), "nothing is known yet");
    deployment.announce("target", "service", target.address).await;
    deployment.configure(routes()).await;
    let answer = tokio::time::timeout(TEST_TIMEOUT, early).await.expect("an answer");
    assert_eq!(answer.expect("a caller").status, 200);
    assert_eq!(deployment.exchange(&get("/one/")).await.status, 200);
    deployment.stop().await;
}

#[tokio::test]
async fn a_request_is_refused_when_half_of_its_time_is_over() {
    let deployment = Deployment::start().await;
    let started_at = Instant::now();
    let millis = DEADLINE.as_millis();
    let request = format!(
        "GET /one/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\nhs-deadline-ms: {millis}\r\n\r\n"
    );
    let answer = deployment.exchange(request.as_bytes()).await;
    assert_eq!((answer.status, answer.body.as_slice()), (503, b"no_configuration".as_slice()));
    assert!(started_at.elapsed() >= DEADLINE / 2);
    let retry_after: f64 =
        answer.header("retry-after").and_then(|text| text.parse().ok()).expect("a time");
    assert!(retry_after < DEADLINE.as_secs_f64() / 2.0, "the caller can come back in time");
    deployment.stop().await;
}

/// Guards against requests that wait although it is known that there is no target.
#[tokio::test]
async fn a_request_without_a_target_is_refused_at_once() {
    let mut deployment = Deployment::start().await;
    deployment.configure(routes()).await;
    let far_deadline = b"GET /one/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\n\
        hs-deadline-ms: 600000\r\n\r\n";
    let answer = deployment.exchange(far_deadline).await;
    assert_eq!((answer.status, answer.body.as_slice()), (503, b"no_target".as_slice()));
    deployment.stop().await;
}
