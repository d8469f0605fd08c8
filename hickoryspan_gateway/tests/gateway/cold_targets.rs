//! Targets that tolerate few requests while they are cold.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::targets::directory::TargetPhase;
use hickoryspan_core::types::RequestRate;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service,
};

/// Time after which an entry counts as one that others know.
const SETTLE_TIME: Duration = Duration::from_millis(2_600);
const COLD_TIME: Duration = Duration::from_secs(60);
const REQUESTS: usize = 20;

async fn start_target() -> ScriptedTarget {
    let answer =
        |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"0123456789abcdef"));
    ScriptedTarget::start(Arc::new(answer)).await
}

/// Sends requests one after the other and returns their statuses.
async fn send_requests(deployment: &Deployment) -> Vec<u16> {
    let mut statuses = Vec::new();
    for _ in 0..REQUESTS {
        let answer = deployment.exchange(&get("/one/x")).await;
        if answer.status == 503 {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
        }
        statuses.push(answer.status);
    }
    statuses
}

/// Guards against a cold target that gets all requests, against requests that are held until it is warm, and against a
/// target that becomes cold again without the entry hearing of it.
#[tokio::test]
async fn a_cold_target_gets_few_requests_and_a_warm_one_the_rest() {
    let (cold, warm) = (start_target().await, start_target().await);
    let mut deployment = Deployment::start().await;
    deployment.cold_rate = Some(RequestRate(2.0));
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let ready = TargetPhase::Ready;
    deployment.announce_cold("c", "one", cold.address, 1, ready, COLD_TIME).await;
    let statuses = send_requests(&deployment).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!((1..REQUESTS / 2).contains(&served) && cold.count() == served, "{statuses:?}");
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");

    deployment.announce("w", "one", warm.address).await;
    assert_eq!(send_requests(&deployment).await, [200; REQUESTS]);
    assert!(warm.count() >= REQUESTS / 2, "{} at the warm target", warm.count());

    let before = warm.count();
    deployment.announce_cold("w", "one", warm.address, 1, ready, COLD_TIME).await;
    send_requests(&deployment).await;
    assert!(
        warm.count() - before < REQUESTS / 2,
        "{} after it became cold again",
        warm.count() - before
    );
    deployment.stop().await;
}
