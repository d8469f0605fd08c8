//! Targets that say with their answers that they leave, or that they want no requests for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, TargetScript, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use rstest::rstest;

const BODY: &[u8] = b"0123456789abcdef";
const REQUESTS: usize = 12;

/// Answers with this status line and these headers once `noticed` is set, and usually before that.
fn answering(
    noticed: Arc<AtomicBool>,
    status: &'static str,
    headers: &'static str,
) -> TargetScript {
    Arc::new(move |request: &SeenRequest| {
        let answer = String::from_utf8(request.answer("stamp", BODY)).expect("text");
        let answer = match noticed.load(Ordering::SeqCst) {
            true => answer.replacen("200 OK\r\n", &format!("{status}\r\n{headers}\r\n"), 1),
            false => answer,
        };
        TargetAction::Send(answer.into_bytes())
    })
}

struct Pair {
    deployment: Deployment,
    targets: Vec<ScriptedTarget>,
    noticed: Vec<Arc<AtomicBool>>,
}

async fn start(destination: RouteDestination, status: &'static str, headers: &'static str) -> Pair {
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, destination)]).await;
    let (mut targets, mut noticed) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let flag = Arc::new(AtomicBool::new(false));
        let script = answering(Arc::clone(&flag), status, headers);
        let target = ScriptedTarget::start(script).await;
        deployment.announce(&format!("t{number}"), "one", target.address).await;
        targets.push(target);
        noticed.push(flag);
    }
    Pair { deployment, targets, noticed }
}

/// Guards against requests to a target that has said that it leaves, while its announcements call it ready.
#[rstest]
#[case::with_an_answer("200 OK")]
#[case::with_a_missing_record("404 Not Found")]
#[case::with_an_error("500 Broken")]
#[case::with_a_rejection("503 Busy")]
#[tokio::test]
async fn a_leaving_target_gets_no_further_request(
    #[case] status: &'static str,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let Pair { deployment, targets, noticed } =
        start(destination, status, "hs-leaving: 1\r\nconnection: close").await;
    noticed[0].store(true, Ordering::SeqCst);
    while targets[0].count() == 0 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!(answer.header("hs-leaving"), None);
    }
    let before = targets[0].count();
    for _ in 0..REQUESTS {
        // The target goes on with its announcements.
        deployment.announce("t0", "one", targets[0].address).await;
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, BODY));
    }
    assert_eq!(targets[0].count(), before, "the leaving target got more requests");
    // With no target left, requests are refused at once.
    noticed[1].store(true, Ordering::SeqCst);
    deployment.exchange(&get("/one/")).await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!((answer.status, answer.body.as_slice()), (503, b"no_target".as_slice()));
    deployment.stop().await;
}

/// Guards against requests to targets that want none for a while, and against a refusal that does not say when they do.
#[rstest]
#[tokio::test]
async fn a_service_of_closed_targets_refuses_until_they_open(
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let Pair { deployment, targets, noticed } =
        start(destination, "503 Busy", "hs-not-run: 1\r\nretry-after: 30").await;
    noticed.iter().for_each(|flag| flag.store(true, Ordering::SeqCst));
    let first = deployment.exchange(&get("/one/")).await;
    assert_eq!(first.status, 503);
    let before: usize = targets.iter().map(ScriptedTarget::count).sum();
    for _ in 0..REQUESTS {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (503, b"no_target".as_slice()));
        let seconds: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!((20.0..=30.0).contains(&seconds), "{seconds}");
    }
    let after: usize = targets.iter().map(ScriptedTarget::count).sum();
    assert_eq!(after, before, "closed targets got more requests");
    deployment.stop().await;
}

/// Guards against closing a target for a time that it did not mean.
#[rstest]
#[case::a_date("retry-after: Sat, 05 Dec 2026 00:00:00 GMT")]
#[case::negative("retry-after: -5")]
#[case::zero("retry-after: 0")]
#[tokio::test]
async fn an_unusable_time_closes_no_target(#[case] header: &'static str) {
    let headers: &'static str = format!("hs-not-run: 1\r\n{header}").leak();
    let Pair { deployment, targets, noticed } = start(to_service("one"), "503 Busy", headers).await;
    noticed.iter().for_each(|flag| flag.store(true, Ordering::SeqCst));
    for _ in 0..3 {
        assert_eq!(deployment.exchange(&get("/one/")).await.status, 503);
    }
    noticed.iter().for_each(|flag| flag.store(false, Ordering::SeqCst));
    assert!(targets.iter().map(ScriptedTarget::count).sum::<usize>() >= 3);
    deployment.stop().await;
}
