//! Requests that wait in an entry for a connection to a target, while what was true when the target was chosen changes.
//! They must pass the same check as new requests when the connection is free.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    CallerAnswer, Deployment, ScriptedTarget, SeenRequest, TargetAction, TargetScript, exchange_on,
    get, route, to_service, to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use hickoryspan_core::gateway::targets::directory::TargetPhase;
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time for which the first request holds the only connection of the entry to the target.
const LONG_WORK: Duration = Duration::from_millis(700);
/// Time after which the waiting requests wait.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// What changes while requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Draining,
    Departed,
    Restarted,
    Moved,
    Rerouted,
    Evacuated,
    /// The answer to the first request says that the target leaves.
    Leaving,
    /// The answer to the first request asks for a pause.
    Closed,
    None,
}

fn slow_script(change: Change) -> TargetScript {
    Arc::new(move |request: &SeenRequest| {
        let answer = request.answer("stamp", b"0123456789abcdef");
        if !request.head.contains("/hold") {
            return TargetAction::Send(answer);
        }
        let text = String::from_utf8(answer).expect("text");
        let text = match change {
            Change::Leaving => text.replacen("OK\r\n", "OK\r\nhs-leaving: 1\r\n", 1),
            Change::Closed => text.replacen("200 OK\r\n", "503 Busy\r\nretry-after: 30\r\n", 1),
            _ => text,
        };
        TargetAction::SendLater(LONG_WORK, text.into_bytes())
    })
}

async fn apply(change: Change, deployment: &mut Deployment, target: &ScriptedTarget) {
    match change {
        Change::Draining => {
            deployment.announce_as("t", "one", target.address, 1, TargetPhase::Draining).await;
        }
        Change::Departed => deployment.depart("t").await,
        Change::Restarted => {
            deployment.announce_as("t", "one", target.address, 2, TargetPhase::Ready).await;
        }
        Change::Moved => deployment.announce("t", "one", "127.0.0.1:1".parse().expect("it")).await,
        Change::Rerouted => {
            let rule = route("/one/", RepeatRule::Idempotent, to_service("other"));
            deployment.configure(vec![rule]).await;
        }
        Change::Evacuated => deployment.evacuate().await,
        Change::Leaving | Change::Closed | Change::None => {}
    }
}

/// Guards against requests that reach a target long after it began to drain, left, moved, was evacuated or taken off their route,
/// because they were waiting for a connection.
#[rstest]
#[tokio::test]
async fn a_waiting_request_is_checked_again_before_it_is_sent(
    #[values(
        Change::Draining,
        Change::Departed,
        Change::Restarted,
        Change::Moved,
        Change::Rerouted,
        Change::Evacuated,
        Change::Leaving,
        Change::Closed,
        Change::None
    )]
    change: Change,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let target = ScriptedTarget::start(slow_script(change)).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    let mut exchanges = JoinSet::new();
    let mut send = |path: &'static str, address| {
        exchanges.spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("connect to the entry");
            (path, exchange_on(&mut stream, &get(path)).await)
        });
    };
    send("/one/hold", deployment.address);
    tokio::time::sleep(SETTLE_TIME).await;
    send("/one/waits-1", deployment.address);
    send("/one/waits-2", deployment.address);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(target.count(), 1, "the other requests wait for the connection");
    apply(change, &mut deployment, &target).await;
    let mut answers: Vec<(&str, CallerAnswer)> = Vec::new();
    while let Some(answer) = exchanges.join_next().await {
        answers.push(answer.expect("an exchange"));
    }
    // A target that has started again may run them, as its new process.
    let may_run = matches!(change, Change::None | Change::Restarted);
    let expected = if may_run { 200 } else { 503 };
    for (path, answer) in &answers {
        let expected = match (*path, change) {
            // The target may have run it, since it did not say that it had not.
            ("/one/hold", Change::Closed) => 502,
            ("/one/hold", _) => 200,
            _ => expected,
        };
        assert_eq!(answer.status, expected, "{change:?} {path}: {answer:?}");
    }
    assert_eq!(target.count(), if may_run { 3 } else { 1 }, "{change:?}");
    deployment.stop().await;
}
