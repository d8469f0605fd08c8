//! Requests of callers while an entry stops as planned.
//!
//! Pattern: rolling restart. Callers keep the address of a stopping entry for some seconds and go on opening connections
//! to it, which the entry accepts until its last moments.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, exchange_on, get, route,
    to_service,
};
use hickoryspan_core::gateway::document::RepeatRule;
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
