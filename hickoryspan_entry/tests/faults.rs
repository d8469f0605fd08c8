//! Guards against wrong outcomes when targets or callers fail: an order that may have run must
//! never be reported as `not_run`, one that did not run must not be reported as `unknown`, and
//! searches must be cancelled when their caller disconnects.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use hickoryspan_core::membership::{PartitionRecord, TargetRecord, ViewChange};
use hickoryspan_core::types::{ConnectionCount, DocumentCount, KeyRange, SlotCount};
use hickoryspan_target::faults::{FaultEvent, FaultSettings};
use hickoryspan_target::record::RunEnd;
use hickoryspan_target::settings::TargetSettings;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinSet;

const SHORT_DEADLINE: Duration = Duration::from_millis(400);
/// Deadline that no test reaches.
const LONG_DEADLINE: Duration = Duration::from_secs(600);
/// Straggler factor that makes the service time longer than any test.
const STALL_FACTOR: f64 = 1e6;

/// Starts a fake target that answers each request with the given bytes, or closes the connection if
/// they are empty.
async fn start_fake_target(answer: String) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            connections.spawn(async move {
                let mut buffer = vec![0; 16 * 1024];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    if answer.is_empty() || stream.write_all(answer.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, tasks)
}

fn record(service: &str, address: SocketAddr) -> TargetRecord {
    TargetRecord {
        target: "fake".parse().unwrap(),
        incarnation: Default::default(),
        address,
        tenant: TENANT.parse().unwrap(),
        service: service.parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(8),
        partitions: vec![PartitionRecord {
            snapshot: SNAPSHOT,
            shard: "all".parse().unwrap(),
            range: KeyRange::FULL,
            documents: DocumentCount(10),
        }],
        draining: false,
    }
}

fn http_answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[rstest]
#[case::closed_mid_request(String::new(), "unknown")]
#[case::malformed(http_answer("200 OK", "{\"status\":\"fine\"}"), "unknown")]
#[case::no_result(http_answer("200 OK", "{\"status\":\"done\"}"), "unknown")]
#[case::status_above_all(http_answer("600 Odd", "{\"status\":\"done\",\"result\":1}"), "unknown")]
#[case::upgrade(
    http_answer("101 Switching Protocols", "{\"status\":\"done\",\"result\":1}"),
    "unknown"
)]
#[case::status_that_claims_no_run(http_answer("999 Odd", "{\"status\":\"shed\"}"), "unknown")]
#[case::not_http("nonsense\r\n\r\n".to_owned(), "unknown")]
#[case::too_large(http_answer("200 OK", &"x".repeat(2 * 1024 * 1024)), "unknown")]
#[case::shed(http_answer("503 Service Unavailable", "{\"status\":\"shed\"}"), "not_run")]
#[case::draining(http_answer("503 Service Unavailable", "{\"status\":\"draining\"}"), "not_run")]
#[case::late(http_answer("504 Gateway Timeout", "{\"status\":\"late\"}"), "not_run")]
#[case::error(http_answer("500 Internal Server Error", "{\"status\":\"error\"}"), "failed")]
#[tokio::test]
async fn the_outcome_of_an_order_follows_the_answer(
    #[case] answer_bytes: String,
    #[case] expected: &str,
) {
    let (address, tasks) = start_fake_target(answer_bytes).await;
    let control = FakeControl::start(view([record("press", address)], SHORT_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, []).await;
    let answer = order(entry.caller_address(), &order_headers("o1")).await;
    assert_eq!(answer.outcome(), expected, "{}", answer.body);
    entry.stop().await;
    drop(tasks);
    control.stop().await;
}

#[tokio::test]
async fn an_order_without_a_listening_target_is_not_run() {
    // A socket that is bound but does not listen refuses connections. It stays open, because the port could otherwise be
    // given to a listener of another test.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let control = FakeControl::start(view([record("press", address)], SHORT_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, []).await;
    let answer = order(entry.caller_address(), &order_headers("o1")).await;
    assert_eq!(answer.outcome(), "not_run", "{}", answer.body);
    entry.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn an_order_on_a_silent_target_is_unknown() {
    let press = start_press().await;
    let control = FakeControl::start(view(records([&press]), SHORT_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&press]).await;
    press.set_faults(FaultSettings { silent: true, ..FaultSettings::default() });
    let answer = order(entry.caller_address(), &order_headers("o1")).await;
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{}", answer.body);
    entry.stop().await;
    press.abort().await;
    control.stop().await;
}

#[rstest]
#[case::no_hits(http_answer("200 OK", "{\"status\":\"done\",\"snapshot\":7}"))]
#[case::hits_not_a_list(http_answer("200 OK", "{\"status\":\"done\",\"snapshot\":7,\"hits\":{}}"))]
#[case::other_snapshot(http_answer("200 OK", "{\"status\":\"done\",\"snapshot\":8,\"hits\":[1]}"))]
#[case::too_large(http_answer("200 OK", &"x".repeat(2 * 1024 * 1024)))]
#[tokio::test]
async fn a_search_never_counts_an_answer_that_breaks_the_api(#[case] answer_bytes: String) {
    let (address, tasks) = start_fake_target(answer_bytes).await;
    let control = FakeControl::start(view([record("history", address)], SHORT_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, []).await;
    let answer = search(entry.caller_address(), "1").await;
    assert_eq!(answer.body["coverage"], 0.0, "{}", answer.body);
    assert_eq!(answer.body["hits"], serde_json::json!([]), "{}", answer.body);
    assert_ne!(answer.outcome(), "complete");
    entry.stop().await;
    drop(tasks);
    control.stop().await;
}

#[tokio::test]
async fn a_caller_disconnect_cancels_the_search_over_a_free_connection() {
    let settings = TargetSettings { slots: SlotCount(8), ..TargetSettings::default() };
    let target = start_shard(0, 1, settings).await;
    let control = FakeControl::start(view(records([&target]), LONG_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    let address = entry.caller_address();
    while target.open_connections() < 2 {
        tokio::join!(search(address, "1"), search(address, "2"), search(address, "3"));
    }
    let earlier_runs = target.record_page().runs.len();
    target.set_faults(FaultSettings { straggler_factor: STALL_FACTOR, ..Default::default() });
    let caller = tokio::spawn(async move { search(address, "4").await.status });
    tokio::time::timeout(TEST_TIMEOUT, target.wait_in_flight(|count| count > 0)).await.unwrap();
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    tokio::time::timeout(TEST_TIMEOUT, target.wait_in_flight(|count| count == 0)).await.unwrap();
    let runs = target.record_page().runs;
    assert_eq!(runs[earlier_runs].end, Some(RunEnd::Cancelled), "{runs:?}");
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn an_order_continues_after_its_caller_disconnects_and_the_resend_gets_its_result() {
    let press = start_press().await;
    press.set_faults(FaultSettings { straggler_factor: 20.0, ..FaultSettings::default() });
    let control = FakeControl::start(view(records([&press]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&press]).await;
    let headers = order_headers("o1");
    let caller = tokio::spawn({
        let (address, headers) = (entry.caller_address(), headers.clone());
        async move { order(address, &headers).await.status }
    });
    tokio::time::timeout(TEST_TIMEOUT, press.wait_in_flight(|count| count > 0)).await.unwrap();
    caller.abort();
    let _ = caller.await;
    let answer = order(entry.caller_address(), &headers).await;
    assert_eq!(answer.outcome(), "complete", "{}", answer.body);
    assert_eq!(answer.body["result"]["request"], "o1", "{}", answer.body);
    assert_eq!(press.record_page().runs.len(), 1);
    entry.stop().await;
    press.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn a_connection_that_the_target_closed_is_not_used() {
    let settings = TargetSettings { restart_time: Duration::ZERO, ..TargetSettings::default() };
    let target = start_shard(0, 1, settings).await;
    let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    for query in 0..10 {
        let incarnation = target.to_record().incarnation;
        target.inject_event(FaultEvent::Crash);
        // The target drops its connections before its next incarnation starts, so an open
        // connection of the new incarnation shows that the entry has noticed the loss.
        let reconnected = async {
            while target.to_record().incarnation == incarnation || target.open_connections() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, reconnected)
            .await
            .expect("the entry did not reconnect in time");
        let answer = search(entry.caller_address(), &query.to_string()).await;
        assert_eq!(answer.outcome(), "complete", "{}", answer.body);
        assert_eq!(answer.body["attempts"], 1, "{}", answer.body);
    }
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn a_search_moves_from_silent_connections_to_new_ones() {
    const COUNT: u32 = 4;
    let mut targets = Vec::new();
    for index in 0..COUNT {
        targets.push(start_shard(index, COUNT, TargetSettings::default()).await);
    }
    let control = FakeControl::start(view(records(&targets), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, &targets).await;
    assert_eq!(search(entry.caller_address(), "1").await.outcome(), "complete");
    for target in &targets {
        target.inject_event(FaultEvent::SilenceConnections);
    }
    let answer = search(entry.caller_address(), "2").await;
    assert_eq!((answer.outcome(), &answer.body["coverage"]), ("complete", &1.0.into()));
    entry.stop().await;
    for target in targets {
        target.abort().await;
    }
    control.stop().await;
}

#[tokio::test]
async fn an_order_on_a_connection_that_went_silent_is_unknown_and_is_not_sent_again() {
    let press = start_press().await;
    let control = FakeControl::start(view(records([&press]), SHORT_DEADLINE)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&press]).await;
    press.inject_event(FaultEvent::SilenceConnections);
    let received = press.received_requests();
    let headers = order_headers("o1");
    let answer = order(entry.caller_address(), &headers).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    let resent = order(entry.caller_address(), &headers).await;
    assert_eq!(resent.outcome(), "unknown", "{}", resent.body);
    assert_eq!(press.received_requests() - received, 1);
    entry.stop().await;
    press.abort().await;
    control.stop().await;
}

#[tokio::test]
async fn a_draining_target_gets_no_new_work_once_the_entry_knows() {
    let mut replicas = Vec::new();
    for name in ["t-a", "t-b"] {
        let settings = TargetSettings::default();
        replicas.push(start_target(name, "history", partition(0, 1), settings).await);
    }
    let control = FakeControl::start(view(records(&replicas), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, &replicas).await;
    replicas[0].drain();
    control.publish(vec![ViewChange::PutTarget(replicas[0].to_record())]);
    let revision = control.revision().0;
    let mut answer = search(entry.caller_address(), "0").await;
    while answer.body["revision"] != revision {
        answer = search(entry.caller_address(), "0").await;
    }
    let received = replicas[0].received_requests();
    for query in 1..20 {
        let answer = search(entry.caller_address(), &query.to_string()).await;
        assert_eq!(answer.outcome(), "complete", "{}", answer.body);
    }
    assert_eq!(replicas[0].received_requests(), received);
    entry.stop().await;
    stop_all(replicas).await;
    control.stop().await;
}
