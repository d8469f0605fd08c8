//! Requests of callers that contradict themselves or cannot be understood.

use std::sync::Arc;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use rstest::rstest;

async fn start() -> (Deployment, ScriptedTarget) {
    let script = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"own"));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

/// Returns a request with another line in place of this header.
fn with_line(header: &str, line: &str) -> Vec<u8> {
    let text = String::from_utf8(get("/one/")).expect("a text");
    let old = text.lines().find(|line| line.starts_with(header)).expect("a header").to_owned();
    text.replace(&old, line).into_bytes()
}

/// Guards against a request that is for one host here and for another one elsewhere on its way.
#[rstest]
#[case::different("host: search.example\r\nhost: other.example")]
#[case::equal("host: search.example\r\nhost: search.example")]
#[case::odd_one_first("host: other.example\r\nHost: search.example")]
#[tokio::test]
async fn a_request_with_two_hosts_is_refused(#[case] hosts: &str) {
    let (deployment, target) = start().await;
    assert_eq!(deployment.exchange(&with_line("host", hosts)).await.status, 400);
    assert_eq!(target.count(), 0);
    deployment.stop().await;
}

/// Guards against a deadline that is not understood and taken for none, so that the target works on after the caller has
/// left.
#[rstest]
#[case::negative("-1")]
#[case::exponent("1e99")]
#[case::word("soon")]
#[case::empty("")]
#[case::fraction_only(".5")]
#[case::sign("+5000")]
#[case::two("5000\r\nhs-deadline-ms: 5000")]
#[tokio::test]
async fn a_request_with_a_malformed_deadline_is_refused(#[case] deadline: &str) {
    let (deployment, target) = start().await;
    let line = format!("hs-deadline-ms: {deadline}");
    assert_eq!(deployment.exchange(&with_line("hs-deadline-ms", &line)).await.status, 400);
    assert_eq!(target.count(), 0);
    deployment.stop().await;
}

/// Guards against a refusal of deadlines that can be understood. The timeout of the route limits them.
#[rstest]
#[case::fraction("5000.25", 5_000)]
#[case::spaces("  5000  ", 5_000)]
#[case::twenty_digits("99999999999999999999", 8_000)]
#[tokio::test]
async fn an_unusual_deadline_is_understood(#[case] deadline: &str, #[case] longest: u64) {
    let (deployment, target) = start().await;
    let line = format!("hs-deadline-ms: {deadline}");
    assert_eq!(deployment.exchange(&with_line("hs-deadline-ms", &line)).await.status, 200);
    let seen = target.seen.lock().expect("requests")[0].clone();
    let left: u64 = seen.header("hs-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!(left <= longest, "{left}");
    deployment.stop().await;
}
