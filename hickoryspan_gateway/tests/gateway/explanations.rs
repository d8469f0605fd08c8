//! Explanations of where a request would go.

use std::sync::Arc;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service, to_shards,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::explanation::{ExplainQuestion, RequestExplanation};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::gateway::targets::selection::{SelectionSettings, TargetPolicy};
use hickoryspan_gateway::GatewaySettings;
use rstest::rstest;

/// Host that [`get`] names.
const HOST: &str = "search.example";

async fn start(policy: TargetPolicy) -> (Deployment, Vec<ScriptedTarget>) {
    let settings = |template| GatewaySettings {
        selection: SelectionSettings { policy, ..SelectionSettings::default() },
        ..template
    };
    let mut deployment = Deployment::start_adjusted(0, RelaySettings::default(), settings).await;
    let one = route("/one/", RepeatRule::Idempotent, to_service("one"));
    let all = route("/all/", RepeatRule::Idempotent, to_shards(&["one", "missing"], 1.0));
    deployment.configure(vec![one, all]).await;
    let mut targets = Vec::new();
    for index in 0..2 {
        let script = move |request: &SeenRequest| {
            TargetAction::Send(request.answer(&format!("stamp-{index}"), b"records"))
        };
        let target = ScriptedTarget::start(Arc::new(script)).await;
        deployment.announce(&format!("target-{index}"), "one", target.address).await;
        targets.push(target);
    }
    (deployment, targets)
}

fn explain(deployment: &Deployment, host: &str, path: &str) -> RequestExplanation {
    let entry = deployment.entry.as_ref().expect("an entry");
    let question =
        ExplainQuestion { method: "GET".into(), host: host.into(), path: path.into(), key: None };
    entry.explainer().explain(&question)
}

// Guards against an explanation that sends the request, counts it, or changes what the next one sees.
#[rstest]
#[tokio::test]
async fn explaining_changes_nothing(
    #[values(TargetPolicy::Latency, TargetPolicy::ExpectedWork)] policy: TargetPolicy,
) {
    let (deployment, targets) = start(policy).await;
    for _ in 0..4 {
        assert_eq!(deployment.exchange(&get("/one/x")).await.status, 200);
    }
    let sent =
        |targets: &[ScriptedTarget]| targets.iter().map(ScriptedTarget::count).sum::<usize>();
    let first = explain(&deployment, HOST, "/one/x");
    assert!(first.checks.iter().all(|check| check.passed), "{first:?}");
    assert_eq!(first.services[0].targets.len(), 2, "{first:?}");
    assert_eq!(first.work.is_some(), policy == TargetPolicy::ExpectedWork, "{first:?}");
    for _ in 0..50 {
        let again = explain(&deployment, HOST, "/one/x");
        assert_eq!(again.hedge_after_ms, first.hedge_after_ms);
        assert!(again.services[0].targets.iter().all(|target| target.in_flight == 0), "{again:?}");
    }
    assert_eq!(sent(&targets), 4, "only the requests were sent");
    deployment.stop().await;
}

// Guards against an explanation that claims a request would be served which the entry refuses.
#[tokio::test]
async fn refusals_are_explained_by_their_check() {
    let (deployment, _targets) = start(TargetPolicy::ExpectedWork).await;
    let failed = |explanation: &RequestExplanation| {
        let failed = explanation.checks.iter().find(|check| !check.passed);
        failed.map(|check| check.check.to_string())
    };
    let unknown = explain(&deployment, "no-such-host", "/one/x");
    assert_eq!(failed(&unknown).as_deref(), Some("route"), "{unknown:?}");
    let wide = explain(&deployment, HOST, "/all/x");
    assert_eq!(failed(&wide).as_deref(), Some("targets"), "{wide:?}");
    assert_ne!(deployment.exchange(&get("/all/x")).await.status, 200);
    deployment.stop().await;
}
