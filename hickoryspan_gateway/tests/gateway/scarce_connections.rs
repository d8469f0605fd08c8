//! An entry that may have fewer connections to targets, or of callers, than there are requests.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_gateway::GatewaySettings;
use hickoryspan_runtime::caller_budget::{CallerBudget, CallerBudgetSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

/// Address of a caller beside the usual one.
const OTHER_CALLER: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), 0));
/// Longest time for anything that a test waits for.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against a request that its target never answers and that keeps requests for other targets waiting, and against
/// a target that counts as crashed because its request was ended for others.
#[tokio::test]
async fn a_long_use_is_ended_for_a_request_that_waits() {
    let adjust = |template| GatewaySettings { target_connections: 1, ..template };
    let mut deployment = Deployment::start_adjusted(0, RelaySettings::default(), adjust).await;
    let stuck = |request: &SeenRequest| match request.head.contains("/stuck/never") {
        true => TargetAction::SendWhen(CancellationToken::new(), Vec::new()),
        false => TargetAction::Send(request.answer("stamp", b"answer")),
    };
    let stuck = ScriptedTarget::start(Arc::new(stuck)).await;
    let quick = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"answer"));
    let quick = ScriptedTarget::start(Arc::new(quick)).await;
    let once = RepeatRule::AtMostOnce;
    let routes = vec![
        route("/stuck/", once, to_service("stuck")),
        route("/quick/", once, to_service("quick")),
    ];
    deployment.configure(routes).await;
    deployment.announce("stuck", "stuck", stuck.address).await;
    deployment.announce("quick", "quick", quick.address).await;
    let (never, next) = (get("/stuck/never"), get("/quick/"));
    let next = async {
        while stuck.count() == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        deployment.exchange(&next).await
    };
    let (never, next) = tokio::join!(deployment.exchange(&never), next);
    assert_eq!((never.status, next.status), (502, 200));
    // The target is not left out.
    assert_eq!(deployment.exchange(&get("/stuck/1")).await.status, 200);
    deployment.stop().await;
}

/// Guards against callers whose requests are never answered and who keep others from connecting.
#[tokio::test]
async fn a_long_run_is_ended_for_a_caller_that_has_less() {
    let settings = CallerBudgetSettings { connections: 2, ..CallerBudgetSettings::default() };
    let adjust =
        |template| GatewaySettings { caller_budget: CallerBudget::new(settings), ..template };
    let mut deployment = Deployment::start_adjusted(0, RelaySettings::default(), adjust).await;
    let script = |request: &SeenRequest| match request.head.contains("/one/never") {
        true => TargetAction::SendWhen(CancellationToken::new(), Vec::new()),
        false => TargetAction::Send(request.answer("stamp", b"answer")),
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let routes = vec![route("/one/", RepeatRule::AtMostOnce, to_service("one"))];
    // The target accepts both requests that are never answered, and the next one.
    deployment.configure_with(4, routes).await;
    deployment.announce("t", "one", target.address).await;
    let never = get("/one/never");
    let next = async {
        while target.count() < 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        // Closed without an answer until one of the others has run for long.
        loop {
            if let Some(status) = ask_from(OTHER_CALLER, deployment.address, "/one/1").await {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let (first, second) = (deployment.exchange(&never), deployment.exchange(&never));
    let next = tokio::time::timeout(LONGEST_WAIT, next);
    let (first, second, next) = tokio::join!(first, second, next);
    assert_eq!(next.ok(), Some(200));
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [502, 504]);
    deployment.stop().await;
}

/// Sends a request from an address and returns the status of the answer, if there is one.
async fn ask_from(source: SocketAddr, entry: SocketAddr, path: &str) -> Option<u16> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(source).ok()?;
    let mut stream = socket.connect(entry).await.ok()?;
    stream.write_all(&get(path)).await.ok()?;
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer[..count]);
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}
