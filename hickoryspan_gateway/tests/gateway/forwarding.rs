//! Requests through a real entry on loopback, to targets that work and to targets that fail.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;

const RECORD: usize = 16;

fn answering(stamp: &'static str, body: Vec<u8>) -> crate::support::TargetScript {
    Arc::new(move |request: &SeenRequest| TargetAction::Send(request.answer(stamp, &body)))
}

/// Starts a deployment with one route to one service, which these targets serve.
async fn start_single(repeat: RepeatRule, targets: &[&ScriptedTarget]) -> Deployment {
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", repeat, to_service("one"))]).await;
    for (index, target) in targets.iter().enumerate() {
        deployment.announce(&format!("t{index}"), "one", target.address).await;
    }
    deployment
}

#[tokio::test]
async fn a_request_and_its_answer_are_forwarded_unchanged() {
    let target = ScriptedTarget::start(answering("stamp-1", b"whole body".to_vec())).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&target]).await;
    let request =
        b"POST /one/a%20b?x=1&y HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\n\
        x-caller: kept\r\nconnection: x-hop\r\nx-hop: dropped\r\ntransfer-encoding: chunked\r\n\r\n\
        4\r\nbody\r\n0\r\n\r\n";
    let answer = deployment.exchange(request).await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"whole body".as_slice()));
    assert_eq!(answer.header("hs-stamp"), Some("stamp-1"));
    let seen = target.seen.lock().expect("requests")[0].clone();
    assert!(seen.head.starts_with("POST /one/a%20b?x=1&y HTTP/1.1"), "{}", seen.head);
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-caller"), Some("kept"));
    assert_eq!(seen.header("x-hop"), None);
    assert_eq!(seen.header("hs-request-id"), Some("r-1"));
    assert_eq!(seen.header("hs-target"), Some("t0"));
    assert_eq!(seen.header("host"), Some("search.example"));
    deployment.stop().await;
}

#[tokio::test]
async fn the_target_receives_the_remaining_time() {
    let target = ScriptedTarget::start(answering("s", vec![])).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&target]).await;
    deployment.exchange(&get("/one/")).await;
    let seen = target.seen.lock().expect("requests")[0].clone();
    let left: u64 = seen.header("hs-deadline-ms").and_then(|t| t.parse().ok()).expect("a deadline");
    assert!(left < 6_000, "{left}");
    deployment.stop().await;
}

#[tokio::test]
async fn shards_are_merged_and_missing_ones_are_counted() {
    let record = |byte: u8| [byte; RECORD];
    let first = [record(3), record(9)].concat();
    let left = ScriptedTarget::start(answering("stamp-a", first)).await;
    let right = ScriptedTarget::start(answering("stamp-b", [record(7), record(1)].concat())).await;
    let mut deployment = Deployment::start().await;
    let destination = to_shards(&["a", "b", "c"], 0.5);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("ta", "a", left.address).await;
    deployment.announce("tb", "b", right.address).await;
    let answer = deployment.exchange(&get("/all/q")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("hs-missing-parts"), Some("1"));
    assert_eq!(answer.header("hs-part-stamps"), Some("stamp-a, stamp-b"));
    assert_eq!(answer.body, [record(9), record(7), record(3)].concat());
    deployment.stop().await;
}

// Guards against answers with two parts of one shard, whose records then take the places of others.
#[tokio::test]
async fn a_shard_that_is_listed_twice_is_one_part() {
    let record = |byte: u8| [byte; RECORD];
    let first = [record(3), record(9)].concat();
    let left = ScriptedTarget::start(answering("stamp-a", first)).await;
    let right = ScriptedTarget::start(answering("stamp-b", record(7).to_vec())).await;
    let mut deployment = Deployment::start().await;
    let destination = to_shards(&["a", "b", "a"], 1.0);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("ta", "a", left.address).await;
    deployment.announce("tb", "b", right.address).await;
    let answer = deployment.exchange(&get("/all/q")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("hs-missing-parts"), Some("0"));
    assert_eq!(answer.header("hs-part-stamps"), Some("stamp-a, stamp-b"));
    assert_eq!(answer.body, [record(9), record(7), record(3)].concat());
    assert_eq!((left.count(), right.count()), (1, 1));
    deployment.stop().await;
}

#[tokio::test]
async fn a_request_below_the_minimum_share_is_refused_before_any_target_is_asked() {
    let target = ScriptedTarget::start(answering("stamp-a", vec![])).await;
    let mut deployment = Deployment::start().await;
    let destination = to_shards(&["a", "b", "c"], 0.9);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("ta", "a", target.address).await;
    let answer = deployment.exchange(&get("/all/q")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(target.count(), 0);
    deployment.stop().await;
}

#[tokio::test]
async fn a_lost_idempotent_request_is_retried_on_another_target() {
    let lost = ScriptedTarget::start(Arc::new(|_| TargetAction::SendAndClose(vec![]))).await;
    let healthy = ScriptedTarget::start(answering("s", b"ok".to_vec())).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&lost, &healthy]).await;
    for _ in 0..6 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, b"ok".as_slice()));
    }
    deployment.stop().await;
}

#[tokio::test]
async fn a_lost_at_most_once_request_is_not_retried_and_not_reported_as_not_run() {
    let lost = || ScriptedTarget::start(Arc::new(|_| TargetAction::SendAndClose(vec![])));
    let (one, two) = (lost().await, lost().await);
    let deployment = start_single(RepeatRule::AtMostOnce, &[&one, &two]).await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(one.count() + two.count(), 1);
    deployment.stop().await;
}

#[tokio::test]
async fn a_request_that_a_target_did_not_run_is_sent_to_another() {
    let shed = b"HTTP/1.1 503 Busy\r\nhs-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_vec();
    let full = ScriptedTarget::start(Arc::new(move |_| TargetAction::Send(shed.clone()))).await;
    let healthy = ScriptedTarget::start(answering("s", b"ok".to_vec())).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&full, &healthy]).await;
    for _ in 0..4 {
        assert_eq!(deployment.exchange(&get("/one/")).await.status, 200);
    }
    deployment.stop().await;
}

#[tokio::test]
async fn a_request_that_no_target_ran_is_refused_with_retry_after() {
    let shed = b"HTTP/1.1 503 Busy\r\nhs-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_vec();
    let full = ScriptedTarget::start(Arc::new(move |_| TargetAction::Send(shed.clone()))).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&full]).await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    deployment.stop().await;
}

#[tokio::test]
async fn a_503_of_a_target_that_ran_the_request_is_not_forwarded() {
    let failed = b"HTTP/1.1 503 Broken\r\nhs-stamp: s\r\ncontent-length: 0\r\n\r\n".to_vec();
    let failing =
        ScriptedTarget::start(Arc::new(move |_| TargetAction::Send(failed.clone()))).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&failing]).await;
    assert_eq!(deployment.exchange(&get("/one/")).await.status, 502);
    deployment.stop().await;
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_forwarded() {
    let other_answer =
        b"HTTP/1.1 200 OK\r\nhs-request-id: other\r\nhs-stamp: s\r\ncontent-length: 3\r\n\r\nbad";
    let mismatched = Arc::new(|_: &SeenRequest| TargetAction::Send(other_answer.to_vec()));
    let target = ScriptedTarget::start(mismatched).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&target]).await;
    assert_eq!(deployment.exchange(&get("/one/")).await.status, 502);
    deployment.stop().await;
}

#[tokio::test]
async fn a_second_answer_to_one_request_is_discarded() {
    let twice = Arc::new(|request: &SeenRequest| {
        TargetAction::Send([request.answer("s", b"ok"), request.answer("s", b"extra")].concat())
    });
    let target = ScriptedTarget::start(twice).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&target]).await;
    for _ in 0..5 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, b"ok".as_slice()));
    }
    deployment.stop().await;
}

#[tokio::test]
async fn a_truncated_answer_is_not_forwarded() {
    let truncated =
        b"HTTP/1.1 200 OK\r\nhs-request-id: r-1\r\nhs-stamp: s\r\ncontent-length: 10\r\n\r\nhalf";
    let target =
        ScriptedTarget::start(Arc::new(|_| TargetAction::SendAndClose(truncated.to_vec()))).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&target]).await;
    assert_eq!(deployment.exchange(&get("/one/")).await.status, 502);
    deployment.stop().await;
}

#[tokio::test]
async fn requests_beyond_the_connection_share_wait_and_are_answered() {
    let slow = Arc::new(|request: &SeenRequest| {
        TargetAction::SendLater(Duration::from_millis(30), request.answer("s", b"ok"))
    });
    let target = ScriptedTarget::start(slow).await;
    let deployment = start_single(RepeatRule::AtMostOnce, &[&target]).await;
    // The entry uses one connection to the target, so five of the six requests wait until it is returned to the pool.
    let request = get("/one/");
    let all = futures::future::join_all((0..6).map(|_| deployment.exchange(&request)));
    let answers = tokio::time::timeout(TEST_TIMEOUT, all).await.expect("no request is stuck");
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    deployment.stop().await;
}

#[tokio::test]
async fn oversized_and_contradictory_requests_reach_no_target() {
    let target = ScriptedTarget::start(answering("s", vec![])).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&target]).await;
    let host = "host: search.example\r\nhs-request-id: r-1\r\n";
    let large = format!("POST /one/ HTTP/1.1\r\n{host}content-length: 99999999\r\n\r\n");
    assert_eq!(deployment.exchange(large.as_bytes()).await.status, 413);
    let lengths =
        format!("POST /one/ HTTP/1.1\r\n{host}content-length: 3\r\ncontent-length: 5\r\n\r\nabcde");
    assert_eq!(deployment.exchange(lengths.as_bytes()).await.status, 400);
    let chunk = format!("POST /one/ HTTP/1.1\r\n{host}transfer-encoding: chunked\r\n\r\nzz\r\n");
    assert_eq!(deployment.exchange(chunk.as_bytes()).await.status, 400);
    let header = format!("GET /one/ HTTP/1.1\r\n{host}x: {}\r\n\r\n", "y".repeat(64 * 1024));
    assert_eq!(deployment.exchange(header.as_bytes()).await.status, 431);
    assert_eq!(target.count(), 0);
    deployment.stop().await;
}

#[tokio::test]
async fn a_request_with_content_length_and_chunked_encoding_is_not_forwarded_unchanged() {
    let target = ScriptedTarget::start(answering("s", vec![])).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&target]).await;
    let smuggled = b"POST /one/ HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\n\
        content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /one/x HTTP/1.1\r\n\r\n";
    deployment.exchange(smuggled).await;
    for seen in target.seen.lock().expect("requests").iter() {
        assert!(
            seen.header("transfer-encoding").is_none() || seen.header("content-length").is_none()
        );
        assert!(!seen.head.contains("/one/x"), "{}", seen.head);
    }
    deployment.stop().await;
}

#[tokio::test]
async fn a_missing_route_or_configuration_is_reported_to_the_caller() {
    let deployment = Deployment::start().await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    deployment.stop().await;
    let target = ScriptedTarget::start(answering("s", vec![])).await;
    let deployment = start_single(RepeatRule::Idempotent, &[&target]).await;
    assert_eq!(deployment.exchange(&get("/other/")).await.status, 404);
    deployment.stop().await;
}

#[tokio::test]
async fn a_planned_stop_finishes_the_request_in_flight() {
    let slow = Arc::new(|request: &SeenRequest| {
        TargetAction::SendLater(Duration::from_millis(300), request.answer("s", b"ok"))
    });
    let target = ScriptedTarget::start(slow).await;
    let mut deployment = start_single(RepeatRule::AtMostOnce, &[&target]).await;
    let entry = deployment.entry.take().expect("an entry");
    let readiness = entry.readiness();
    let request = get("/one/");
    let (answer, ()) = tokio::join!(deployment.exchange(&request), async {
        while target.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let drained = tokio::time::timeout(TEST_TIMEOUT, entry.drain()).await;
        drained.expect("the stop ends when the request has its answer");
    });
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"ok".as_slice()));
    assert!(!readiness.is_ready());
    deployment.stop().await;
}
