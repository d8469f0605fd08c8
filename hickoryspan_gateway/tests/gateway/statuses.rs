//! Targets whose answers have a status that is none, or that come after interim answers. A caller must get no such answer.

use std::sync::Arc;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, TargetScript, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use rstest::rstest;

const BODY: &[u8] = &[7; 16];
/// Shards of a fan-out that is divided among the entries.
const SHARDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn sound() -> TargetScript {
    Arc::new(|request: &SeenRequest| TargetAction::Send(request.answer("sound", BODY)))
}

/// Answers with this status line, and otherwise as a sound target.
fn with_status(status: &'static str) -> TargetScript {
    Arc::new(move |request: &SeenRequest| {
        let answer = request.answer("faulty", BODY);
        let head_end = b"HTTP/1.1 200 OK".len();
        TargetAction::Send([b"HTTP/1.1 ", status.as_bytes(), &answer[head_end..]].concat())
    })
}

/// Guards against a caller that gets an answer whose status is none, and against a repeat of a request that may have run.
#[rstest]
#[tokio::test]
async fn a_status_that_is_none_is_no_answer(
    #[values("600 Odd", "999 Odd", "101 Switching Protocols", "000 Odd", "099 Odd", "20 Odd")]
    status: &'static str,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let target = ScriptedTarget::start(with_status(status)).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.header("hs-stamp"), None);
    assert_eq!(target.count(), 1);
    deployment.stop().await;
}

/// Guards against such an answer where another target may still answer, and against a target that counts as good because
/// it answers fast.
#[rstest]
#[tokio::test]
async fn another_target_answers_in_place_of_a_status_that_is_none(
    #[values("600 Odd", "999 Odd", "101 Switching Protocols")] status: &'static str,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let faulty = ScriptedTarget::start(with_status(status)).await;
    let other = ScriptedTarget::start(sound()).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("faulty", "one", faulty.address).await;
    deployment.announce("other", "one", other.address).await;
    for _ in 0..20 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, BODY), "{answer:?}");
    }
    assert!(faulty.count() < other.count(), "the faulty target is chosen as often");
    deployment.stop().await;
}

/// Guards against such an answer as a part of a fan-out whose groups other entries send.
#[rstest]
#[tokio::test]
async fn a_status_that_is_none_is_no_part_of_a_divided_fan_out(
    #[values("600 Odd", "999 Odd", "101 Switching Protocols")] status: &'static str,
) {
    let relays = RelaySettings { min_shards: 2, group_shards: 2, ..RelaySettings::default() };
    let mut deployment = Deployment::start_with(3, relays).await;
    let destination = to_shards(&SHARDS, 0.5);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    let mut targets = Vec::new();
    for shard in SHARDS {
        let script = if shard == "c" { with_status(status) } else { sound() };
        let target = ScriptedTarget::start(script).await;
        deployment.announce(&format!("target-{shard}"), shard, target.address).await;
        targets.push(target);
    }
    deployment.await_links(3).await;
    for _ in 0..4 {
        let answer = deployment.exchange(&get("/all/q")).await;
        assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("1")));
        assert!(!answer.header("hs-part-stamps").expect("stamps").contains("faulty"));
    }
    let served: u64 =
        deployment.others.iter().map(|entry| entry.fanout_counts().tasks_served).sum();
    assert!(served > 0, "another entry took a part");
    deployment.stop().await;
}

/// Guards against an interim answer that a caller gets in place of the answer.
#[tokio::test]
async fn interim_answers_are_passed_over() {
    let script = |request: &SeenRequest| {
        let interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
        TargetAction::Send([interim.as_slice(), &request.answer("stamp", BODY)].concat())
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    for _ in 0..2 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, BODY));
        assert_eq!(answer.header("link"), None);
    }
    deployment.stop().await;
}

/// Guards against bytes after an answer without a body that are taken for the next answer, by the entry or by the caller.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_body_keeps_its_frame(
    #[values("204 No Content", "304 Not Modified")] status: &'static str,
) {
    // The body that should not be there looks like an answer.
    let body =
        b"HTTP/1.1 200 OK\r\nhs-request-id: r-1\r\nhs-stamp: smuggled\r\ncontent-length: 0\r\n\r\n";
    let script = move |request: &SeenRequest| {
        let id = request.header("hs-request-id").unwrap_or("none");
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nhs-request-id: {id}\r\nhs-stamp: stamp\r\ncontent-length: {length}\r\n\r\n"
        );
        TargetAction::Send([head.as_bytes(), body].concat())
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    let mut caller = tokio::net::TcpStream::connect(deployment.address).await.expect("connect");
    for _ in 0..4 {
        let answer = crate::support::exchange_on(&mut caller, &get("/one/")).await;
        assert_eq!(answer.status.to_string(), status[..3], "{answer:?}");
        assert_eq!(answer.header("hs-stamp"), Some("stamp"));
        assert!(answer.body.is_empty());
    }
    deployment.stop().await;
}
