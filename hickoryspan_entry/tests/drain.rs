//! Guards against a shutdown that leaves a request without an answer, refuses callers to which the
//! entry's address is still advertised, or does not release the ordinal.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use hickoryspan_core::entry::addresses::AddressSettings;
use hickoryspan_core::entry::drain::DrainSettings;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::{ConnectionCount, SlotCount};
use hickoryspan_entry::EntryDaemonSettings;
use hickoryspan_runtime::http_client::HttpConnection;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Lifetime of advertised addresses, short so that the drain is fast.
const LIFETIME: Duration = Duration::from_millis(50);

/// Fake target that counts requests and delays all answers until the gate opens.
struct GatedTarget {
    record: TargetRecord,
    gate: watch::Sender<bool>,
    received: watch::Receiver<u32>,
    _tasks: JoinSet<()>,
}

impl GatedTarget {
    async fn start(service: &str, body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let record = gated_record(service, listener.local_addr().unwrap());
        let gate = watch::Sender::new(false);
        let (count, received) = watch::channel(0);
        let mut tasks = JoinSet::new();
        let opened = gate.subscribe();
        tasks.spawn(async move {
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let mut connections = JoinSet::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (mut opened, count, answer) = (opened.clone(), count.clone(), answer.clone());
                connections.spawn(async move {
                    let mut buffer = vec![0; 16 * 1024];
                    while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                        count.send_modify(|count| *count += 1);
                        opened.wait_for(|is_open| *is_open).await.unwrap();
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                });
            }
        });
        Self { record, gate, received, _tasks: tasks }
    }

    async fn wait_received(&self) {
        let mut received = self.received.clone();
        let waiting = received.wait_for(|count| *count > 0);
        tokio::time::timeout(TEST_TIMEOUT, waiting).await.unwrap().unwrap();
    }
}

fn gated_record(service: &str, address: SocketAddr) -> TargetRecord {
    TargetRecord {
        target: format!("gated-{service}").parse().unwrap(),
        incarnation: Default::default(),
        address,
        tenant: TENANT.parse().unwrap(),
        service: service.parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        slots: SlotCount(8),
        connections: ConnectionCount(16),
        partitions: vec![single_partition()],
        draining: false,
    }
}

/// Shortens the drain. Disables hedging and raises the stall timeout, because both would react to
/// the delayed answers.
fn drain_test_settings(mut settings: EntryDaemonSettings) -> EntryDaemonSettings {
    let machine = &mut settings.machine;
    machine.addresses = AddressSettings { lifetime: LIFETIME, ..AddressSettings::default() };
    machine.drain = DrainSettings { propagation_time: LIFETIME, ..DrainSettings::default() };
    machine.engine.hedging.enabled = false;
    machine.engine.connections.min_stall_timeout = 2 * TEST_TIMEOUT;
    settings
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing() {
    const HITS: &str = r#"{"status":"done","snapshot":7,"hits":[{"key":"00"}]}"#;
    const RESULT: &str = r#"{"status":"done","result":{"trays":12}}"#;
    let history = GatedTarget::start("history", HITS).await;
    let press = GatedTarget::start("press", RESULT).await;
    let targets = [history.record.clone(), press.record.clone()];
    let control = FakeControl::start(view(targets, 2 * TEST_TIMEOUT)).await;
    let entry = start_entry_with(&control, drain_test_settings).await;
    wait_ready(&entry, []).await;
    let address = entry.caller_address();
    let listed = call(address, "GET", "/v1/addresses", &caller_headers(), "").await;
    assert_eq!(listed.body["addresses"], serde_json::json!([address]));

    let searching = tokio::spawn(async move { search(address, "1").await });
    let ordering = tokio::spawn(async move { order(address, &order_headers("o1")).await });
    history.wait_received().await;
    press.wait_received().await;
    entry.begin_drain().await;
    assert_eq!(admin_get(entry.admin_address(), "/readyz").await.0, 503);

    // The drain waits for both requests. A later request is still accepted at first and then
    // rejected with a typed answer.
    let mut headers = caller_headers();
    headers.push(("hs-deadline-ms", "20".to_owned()));
    let body = r#"{"search":"find","query":2}"#;
    let refused = loop {
        let answer = call(address, "POST", "/v1/search", &headers, body).await;
        if answer.reason() == "draining" {
            break answer;
        }
    };
    assert_eq!((refused.status, refused.outcome()), (503, "not_run"), "{}", refused.body);
    assert!(!control.has_released());

    history.gate.send_replace(true);
    press.gate.send_replace(true);
    let search_answer = searching.await.unwrap();
    assert_eq!(
        (search_answer.status, search_answer.outcome()),
        (200, "complete"),
        "{}",
        search_answer.body
    );
    let order_answer = ordering.await.unwrap();
    assert_eq!(
        (order_answer.status, order_answer.outcome()),
        (200, "complete"),
        "{}",
        order_answer.body
    );
    assert_eq!(order_answer.body["result"]["trays"], 12);

    tokio::time::timeout(TEST_TIMEOUT, entry.drain()).await.unwrap();
    assert!(control.has_released());
    assert!(HttpConnection::open(address, TEST_TIMEOUT).await.is_err());
    control.stop().await;
}

// Guards against a second stop signal or a failed controller that cuts requests or calls a sent order `not_run`.
#[tokio::test]
async fn requests_in_flight_are_answered_as_unknown_when_the_controller_ends() {
    let history = GatedTarget::start("history", "").await;
    let press = GatedTarget::start("press", "").await;
    let targets = [history.record.clone(), press.record.clone()];
    let control = FakeControl::start(view(targets, 2 * TEST_TIMEOUT)).await;
    let entry = start_entry_with(&control, drain_test_settings).await;
    wait_ready(&entry, []).await;
    let address = entry.caller_address();
    let searching = tokio::spawn(async move { search(address, "1").await });
    let ordering = tokio::spawn(async move { order(address, &order_headers("o1")).await });
    history.wait_received().await;
    press.wait_received().await;
    tokio::time::timeout(TEST_TIMEOUT, entry.interrupt()).await.unwrap();
    for answer in [searching.await.unwrap(), ordering.await.unwrap()] {
        assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{}", answer.body);
        assert_eq!(answer.body["error"], "interrupted");
    }
    control.stop().await;
}
