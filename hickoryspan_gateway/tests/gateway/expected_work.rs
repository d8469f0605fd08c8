//! A gateway entry that chooses targets by expected work.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::gateway::targets::selection::{SelectionSettings, TargetPolicy};
use hickoryspan_gateway::GatewaySettings;

/// Starts an entry and one target of one service for each delay.
async fn start(delays: &[Duration]) -> (Deployment, Vec<ScriptedTarget>) {
    let settings = |template| GatewaySettings {
        selection: SelectionSettings {
            policy: TargetPolicy::ExpectedWork,
            ..SelectionSettings::default()
        },
        ..template
    };
    let mut deployment = Deployment::start_adjusted(0, RelaySettings::default(), settings).await;
    let routes = vec![route("/one/", RepeatRule::Idempotent, to_service("one"))];
    deployment.configure(routes).await;
    let mut targets = Vec::new();
    for (index, delay) in delays.iter().copied().enumerate() {
        let script = move |request: &SeenRequest| {
            TargetAction::SendLater(delay, request.answer(&format!("stamp-{index}"), b"records"))
        };
        let target = ScriptedTarget::start(Arc::new(script)).await;
        deployment.announce(&format!("target-{index}"), "one", target.address).await;
        targets.push(target);
    }
    (deployment, targets)
}

// Guards against an entry that does not learn from its answers, or that counts ended attempts as work.
#[tokio::test]
async fn slow_target_gets_few_requests() {
    let delays = [Duration::from_millis(40), Duration::from_millis(2)];
    let (deployment, targets) = start(&delays).await;
    for _ in 0..40 {
        let answer = deployment.exchange(&get("/one/x")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, b"records".as_slice()));
    }
    let (slow, quick) = (targets[0].count(), targets[1].count());
    assert!(slow < 15, "{slow} on the slow target, {quick} on the other");
    deployment.stop().await;
}

// Guards against a withheld hedge: a target that falls silent must not keep a request while another is idle.
#[tokio::test]
async fn silent_target_is_hedged() {
    let delays = [Duration::from_secs(60), Duration::from_millis(2)];
    let (deployment, _targets) = start(&delays).await;
    for _ in 0..6 {
        let answer = deployment.exchange(&get("/one/x")).await;
        assert_eq!(answer.status, 200);
    }
    deployment.stop().await;
}
