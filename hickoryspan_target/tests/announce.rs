//! Tests that announcements and withdrawals reach the leader despite redirects and failing control replicas, and that
//! changes are announced.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::membership::TargetRecord;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::{
    HttpHandler, HttpLimits, HttpServer, ResponseFuture, read_body, text_response,
};
use hickoryspan_target::{TargetHandle, TargetServer, TargetSettings};
use http::header::LOCATION;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Ends a test that hangs. No assertion depends on the value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn credential() -> SharedCredential {
    SharedCredential::new("a-credential-for-tests").unwrap()
}

/// Behavior of a simulated control replica.
enum Role {
    Leader(mpsc::UnboundedSender<(String, Value)>),
    Follower(SocketAddr),
    Failing,
}

impl HttpHandler for Role {
    fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move {
            assert!(credential().matches_headers(request.headers()));
            let path = request.uri().path().to_owned();
            let body = read_body(request.into_body(), &HttpLimits::default(), None).await.unwrap();
            match self {
                Self::Leader(received) => {
                    received.send((path, serde_json::from_slice(&body).unwrap())).unwrap();
                    text_response(StatusCode::OK, "{}")
                }
                Self::Follower(leader) => {
                    let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, "");
                    let location = format!("http://{leader}{path}").parse().unwrap();
                    response.headers_mut().insert(LOCATION, location);
                    response
                }
                Self::Failing => text_response(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
            }
        })
    }
}

struct TestControl {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl TestControl {
    async fn start(role: Role) -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let limits = HttpLimits { drain_time: Duration::ZERO, ..HttpLimits::default() };
        let server = HttpServer::bind(any, limits).await.unwrap();
        let address = server.local_address().unwrap();
        let stop = CancellationToken::new();
        let task = tokio::spawn(server.serve(Arc::new(role), stop.clone()));
        Self { address, stop, task }
    }

    async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

async fn start_target(controls: &[SocketAddr]) -> TargetHandle {
    let settings = TargetSettings {
        control_addresses: controls.to_vec(),
        credential: Some(credential()),
        // Renewals are too rare to occur in a test, so that only changes trigger further announcements.
        renewal: Duration::from_secs(600),
        ..TargetSettings::default()
    };
    TargetServer::start(settings).await.unwrap()
}

async fn next(received: &mut mpsc::UnboundedReceiver<(String, Value)>) -> (String, Value) {
    tokio::time::timeout(TEST_TIMEOUT, received.recv()).await.unwrap().unwrap()
}

#[tokio::test]
async fn announcements_reach_the_leader_despite_redirects_and_failing_replicas() {
    let (sender, mut received) = mpsc::unbounded_channel();
    let leader = TestControl::start(Role::Leader(sender)).await;
    let follower = TestControl::start(Role::Follower(leader.address)).await;
    let failing = TestControl::start(Role::Failing).await;
    let target = start_target(&[failing.address, follower.address]).await;
    let (path, body) = next(&mut received).await;
    assert_eq!(path, "/v1/targets/announce");
    let record: TargetRecord = serde_json::from_value(body).unwrap();
    assert_eq!(record, target.to_record());
    target.drain();
    let (_, body) = next(&mut received).await;
    assert_eq!(body["draining"], true);
    target.stop().await;
    let mut last = next(&mut received).await;
    while let Ok(later) = received.try_recv() {
        last = later;
    }
    assert_eq!(last.0, "/v1/targets/withdraw");
    assert_eq!(last.1["target"], record.target.as_str());
    assert_eq!(last.1["incarnation"], record.incarnation.0);
    for control in [leader, follower, failing] {
        control.stop().await;
    }
}

#[tokio::test]
async fn a_stop_completes_while_no_control_replica_responds() {
    let failing = TestControl::start(Role::Failing).await;
    let target = start_target(&[failing.address]).await;
    tokio::time::timeout(TEST_TIMEOUT, target.stop()).await.unwrap();
    failing.stop().await;
}
