//! Tests that the stand-in target follows the API in `docs/TARGETS.md` and records every run. The invariant checkers
//! rely on both.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::entry::interface::LoadReport;
use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{
    ConnectionCount, DocumentCount, IncarnationNumber, KeyRange, SlotCount, SnapshotVersion,
};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection, SendError};
use hickoryspan_target::documents::find_hits;
use hickoryspan_target::faults::{FaultEvent, FaultSettings};
use hickoryspan_target::record::{RecordPage, RunEnd, RunKind};
use hickoryspan_target::settings::PartitionText;
use hickoryspan_target::{TargetHandle, TargetServer, TargetSettings};
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use serde_json::Value;

/// Ends a test that hangs. No assertion depends on the value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Straggler factor that makes the service time longer than any test.
const BLOCKING_FACTOR: f64 = 1e6;
const QUERY: &str = r#"{"text":"tray"}"#;

fn partition() -> PartitionRecord {
    PartitionRecord {
        snapshot: SnapshotVersion(3),
        shard: "s1".parse().unwrap(),
        range: KeyRange::FULL,
        documents: DocumentCount(100),
    }
}

fn credential() -> SharedCredential {
    SharedCredential::new("a-credential-for-tests").unwrap()
}

async fn start(settings: TargetSettings) -> TargetHandle {
    let settings = TargetSettings {
        credential: Some(credential()),
        partitions: vec![partition()],
        incarnation: Some(IncarnationNumber(5)),
        restart_time: Duration::ZERO,
        ..settings
    };
    TargetServer::start(settings).await.unwrap()
}

async fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::open(address, TEST_TIMEOUT).await.unwrap()
}

fn request(path: &str, headers: &[(&str, &str)], body: &'static str) -> Request<Full<Bytes>> {
    let method = if path == "/v1/record" { "GET" } else { "POST" };
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "target")
        .header("authorization", credential().to_header())
        .header("hs-request-id", "r1");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from_static(body.as_bytes()))).unwrap()
}

fn query(attempt: &str) -> Request<Full<Bytes>> {
    query_with(attempt, "3", "60000")
}

fn query_with(attempt: &str, snapshot: &str, deadline: &str) -> Request<Full<Bytes>> {
    let headers = [
        ("hs-attempt-id", attempt),
        ("hs-deadline-ms", deadline),
        ("hs-snapshot", snapshot),
        ("hs-shard", "s1"),
    ];
    request("/v1/query", &headers, QUERY)
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<HttpAnswer, SendError> {
    connect(address).await.send(request, 1024 * 1024).await
}

fn status(answer: &HttpAnswer) -> (u16, String) {
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    (answer.status.as_u16(), body["status"].as_str().unwrap().to_owned())
}

/// Starts a request in the background and waits until `count` requests are in flight at the target.
async fn start_request(
    target: &TargetHandle,
    count: u32,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<Result<HttpAnswer, SendError>> {
    let task = tokio::spawn(send(target.address(), request));
    tokio::time::timeout(TEST_TIMEOUT, target.wait_in_flight(|in_flight| in_flight == count))
        .await
        .unwrap();
    task
}

fn straggler() -> FaultSettings {
    FaultSettings { straggler_factor: BLOCKING_FACTOR, ..FaultSettings::default() }
}

#[tokio::test]
async fn a_query_returns_the_generated_hits_and_is_recorded() {
    let target = start(TargetSettings::default()).await;
    let answer = send(target.address(), query("a1")).await.unwrap();
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    let hits = find_hits(QUERY.as_bytes(), &partition(), TargetSettings::default().max_hits);
    assert_eq!(body["hits"], serde_json::to_value(hits).unwrap());
    assert_eq!((body["status"].as_str(), body["snapshot"].as_u64()), (Some("done"), Some(3)));
    assert_eq!(answer.headers["hs-load"], "running=0,queued=0");
    let page = send(target.address(), request("/v1/record", &[], "")).await.unwrap();
    let page: RecordPage = serde_json::from_slice(&page.body).unwrap();
    assert_eq!(page, target.record_page());
    let run = &page.runs[0];
    assert_eq!(
        (run.attempt.as_str(), run.kind, run.end),
        ("a1", RunKind::Query, Some(RunEnd::Done))
    );
    target.stop().await;
}

#[test]
fn hits_are_sorted_and_depend_on_query_shard_and_snapshot() {
    let hits = |query: &str, snapshot| {
        let partition = PartitionRecord { snapshot: SnapshotVersion(snapshot), ..partition() };
        find_hits(query.as_bytes(), &partition, 50)
    };
    assert!(hits("a", 1).is_sorted());
    assert_eq!(hits("a", 1), hits("a", 1));
    assert_ne!(hits("a", 1), hits("b", 1));
    assert_ne!(hits("a", 1), hits("a", 2));
}

#[rstest]
#[case::snapshot_gone(query_with("a1", "4", "60000"), (410, "snapshot_gone"))]
#[case::late(query_with("a1", "3", "0"), (504, "late"))]
#[case::no_attempt(request("/v1/query", &[("hs-deadline-ms", "1000")], ""), (400, "error"))]
#[case::no_deadline(request("/v1/execute", &[("hs-attempt-id", "a1")], ""), (400, "error"))]
#[tokio::test]
async fn a_refused_request_does_not_run(
    #[case] request: Request<Full<Bytes>>,
    #[case] expected: (u16, &str),
) {
    let target = start(TargetSettings::default()).await;
    let answer = send(target.address(), request).await.unwrap();
    let (code, name) = status(&answer);
    assert_eq!((code, name.as_str()), expected);
    assert!(target.record_page().runs.is_empty());
    assert_eq!(target.in_flight(), 0);
    target.stop().await;
}

#[tokio::test]
async fn a_request_without_the_credential_is_refused() {
    let target = start(TargetSettings::default()).await;
    let mut request = query("a1");
    request.headers_mut().remove("authorization");
    assert_eq!(send(target.address(), request).await.unwrap().status, 401);
    assert!(target.record_page().runs.is_empty());
    target.stop().await;
}

#[tokio::test]
async fn a_full_queue_sheds_before_running() {
    let settings =
        TargetSettings { slots: SlotCount(1), queue: SlotCount(1), ..TargetSettings::default() };
    let target = start(settings).await;
    target.set_faults(straggler());
    let running = start_request(&target, 1, query("a1")).await;
    let waiting = start_request(&target, 2, query("a2")).await;
    let shed = send(target.address(), query("a3")).await.unwrap();
    assert_eq!(status(&shed), (503, "shed".to_owned()));
    assert_eq!(shed.headers["hs-load"], "running=1,queued=1");
    // A cancelled request is shed if it is queued, and ends with an error if it is running.
    for attempt in ["a2", "a1"] {
        let cancel = request("/v1/cancel", &[("hs-attempt-id", attempt)], "");
        assert_eq!(status(&send(target.address(), cancel).await.unwrap()).1, "cancelled");
    }
    assert_eq!(status(&waiting.await.unwrap().unwrap()), (503, "shed".to_owned()));
    assert_eq!(status(&running.await.unwrap().unwrap()), (500, "error".to_owned()));
    let runs = target.record_page().runs;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!((runs[0].attempt.as_str(), runs[0].end), ("a1", Some(RunEnd::Cancelled)));
    target.stop().await;
}

#[tokio::test]
async fn a_run_ends_at_its_deadline() {
    let target = start(TargetSettings::default()).await;
    target.set_faults(straggler());
    let answer = send(target.address(), query_with("a1", "3", "20")).await.unwrap();
    assert_eq!(status(&answer), (500, "error".to_owned()));
    assert_eq!(target.record_page().runs[0].end, Some(RunEnd::DeadlinePassed));
    target.stop().await;
}

#[tokio::test]
async fn a_drain_refuses_new_requests_and_finishes_running_ones() {
    let target =
        start(TargetSettings { service_time: Duration::from_millis(50), ..Default::default() })
            .await;
    let running = start_request(&target, 1, query("a1")).await;
    let drain = request("/v1/drain", &[], "");
    assert_eq!(status(&send(target.address(), drain).await.unwrap()).1, "draining");
    assert!(target.to_record().draining);
    let refused = send(target.address(), query("a2")).await.unwrap();
    assert_eq!(status(&refused), (503, "draining".to_owned()));
    target.stop().await;
    assert_eq!(status(&running.await.unwrap().unwrap()), (200, "done".to_owned()));
}

#[tokio::test]
async fn a_request_with_the_marker_crashes_the_target_and_a_new_incarnation_serves() {
    let target = start(TargetSettings::default()).await;
    let marker = Some("tray".to_owned());
    target.set_faults(FaultSettings { crash_marker: marker, ..FaultSettings::default() });
    let lost = send(target.address(), query("a1")).await.unwrap_err();
    assert!(matches!(lost, SendError::ConnectionLost(_)), "{lost}");
    while target.to_record().incarnation == IncarnationNumber(5) {
        tokio::task::yield_now().await;
    }
    target.set_faults(FaultSettings::default());
    let answer = send(target.address(), query("a2")).await.unwrap();
    assert_eq!(status(&answer).1, "done");
    let runs = target.record_page().runs;
    let ends: Vec<Option<RunEnd>> = runs.iter().map(|run| run.end).collect();
    assert_eq!(ends, [Some(RunEnd::Abandoned), Some(RunEnd::Done)]);
    assert!(runs[0].incarnation < runs[1].incarnation);
    assert_eq!(target.in_flight(), 0);
    target.stop().await;
}

#[tokio::test]
async fn stalled_connections_never_respond_and_new_ones_work() {
    let target = start(TargetSettings::default()).await;
    let mut old = connect(target.address()).await;
    old.send(query("a1"), 1024 * 1024).await.unwrap();
    target.inject_event(FaultEvent::SilenceConnections);
    let received = target.received_requests();
    let stalled = tokio::spawn(async move { old.send(query("a2"), 1024 * 1024).await });
    while target.received_requests() == received {
        tokio::task::yield_now().await;
    }
    assert_eq!(status(&send(target.address(), query("a3")).await.unwrap()).1, "done");
    assert!(!stalled.is_finished());
    assert!(target.record_page().runs.iter().all(|run| run.attempt != "a2"));
    stalled.abort();
    target.abort().await;
}

#[tokio::test]
async fn refusing_connections_does_not_affect_open_ones() {
    let target = start(TargetSettings::default()).await;
    let mut open = connect(target.address()).await;
    open.send(query("a1"), 1024 * 1024).await.unwrap();
    let refuse = FaultSettings { refuse_connections: true, ..FaultSettings::default() };
    target.set_faults(refuse);
    while HttpConnection::open(target.address(), TEST_TIMEOUT).await.is_ok() {
        tokio::task::yield_now().await;
    }
    open.send(query("a2"), 1024 * 1024).await.unwrap();
    target.set_faults(FaultSettings::default());
    while HttpConnection::open(target.address(), TEST_TIMEOUT).await.is_err() {
        tokio::task::yield_now().await;
    }
    open.close().await;
    target.stop().await;
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let settings = TargetSettings { connections: ConnectionCount(1), ..TargetSettings::default() };
    let target = start(settings).await;
    let mut first = connect(target.address()).await;
    first.send(query("a1"), 1024 * 1024).await.unwrap();
    let second = connect(target.address()).await;
    tokio::time::timeout(TEST_TIMEOUT, second.ended().cancelled()).await.unwrap();
    first.send(query("a2"), 1024 * 1024).await.unwrap();
    first.close().await;
    target.stop().await;
}

#[tokio::test]
async fn faults_over_http_need_the_setting() {
    let body = r#"{"settings":{"reported_load":{"running":9,"queued":8}},"event":"slow_start"}"#;
    let closed = start(TargetSettings::default()).await;
    let refused = send(closed.address(), request("/v1/faults", &[], body)).await.unwrap();
    assert_eq!(refused.status, 404);
    closed.stop().await;
    let open = start(TargetSettings { allow_faults: true, ..TargetSettings::default() }).await;
    let accepted = send(open.address(), request("/v1/faults", &[], body)).await.unwrap();
    assert_eq!(accepted.status, 200);
    assert_eq!(open.faults().reported_load, Some(LoadReport { running: 9, queued: 8 }));
    let answer = send(open.address(), query("a1")).await.unwrap();
    assert_eq!(answer.headers["hs-load"], "running=9,queued=8");
    open.stop().await;
}

#[test]
fn partitions_round_trip_as_text() {
    let text = "3=s1=0000000000000000-00000000000000ff=12";
    let partition: PartitionText = text.parse().unwrap();
    assert_eq!(partition.to_string(), text);
    assert!("3=s1=ff-00=12".parse::<PartitionText>().is_err());
    assert!("3=s1=00-ff".parse::<PartitionText>().is_err());
}

// Guards against a stop that closes a connection while a request is on its way, so that its order counts as lost.
#[tokio::test]
async fn a_stop_refuses_a_request_that_is_on_its_way() {
    let target = start(TargetSettings::default()).await;
    let mut connection = connect(target.address()).await;
    let first = connection.send(query("a1"), 1024 * 1024).await.unwrap();
    assert_eq!(status(&first), (200, "done".to_owned()));
    let sent = connection.send(query("a2"), 1024 * 1024);
    let (refused, ()) = tokio::join!(sent, target.stop());
    assert_eq!(status(&refused.unwrap()), (503, "draining".to_owned()));
}
