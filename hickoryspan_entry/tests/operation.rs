//! Guards against an entry that mixes snapshots, does not recover from the loss of its control
//! link, or does not stop.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::*;
use hickoryspan_core::membership::{PartitionRecord, ServiceKey, ViewChange};
use hickoryspan_core::types::{DocumentCount, RevisionNumber, SnapshotVersion};
use hickoryspan_target::TargetHandle;
use hickoryspan_target::documents::find_hits;
use hickoryspan_target::settings::TargetSettings;
use http::{Request, Version};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::Value;
use tokio::net::TcpStream;

const LATER_SNAPSHOT: SnapshotVersion = SnapshotVersion(8);

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the condition was not met in time");
}

fn later_partition() -> PartitionRecord {
    PartitionRecord { snapshot: LATER_SNAPSHOT, documents: DocumentCount(70), ..partition(0, 1) }
}

fn publish_partitions(control: &FakeControl, target: &TargetHandle, records: &[PartitionRecord]) {
    target.set_partitions(records.to_vec());
    let record = target.to_record();
    let key = ServiceKey { tenant: record.tenant.clone(), service: record.service.clone() };
    let mut changes: Vec<ViewChange> = records
        .iter()
        .map(|partition| ViewChange::PutPartition(key.clone(), partition.clone()))
        .collect();
    if records.iter().all(|partition| partition.snapshot != SNAPSHOT) {
        changes.push(ViewChange::RemoveSnapshot(key, SNAPSHOT));
    }
    changes.push(ViewChange::PutTarget(record));
    control.publish(changes);
}

async fn search_page(address: std::net::SocketAddr, token: &Value) -> CallerAnswer {
    let body = format!(r#"{{"search":"find","query":5,"page_token":{token}}}"#);
    call(address, "POST", "/v1/search", &caller_headers(), &body).await
}

#[tokio::test]
async fn a_page_token_pins_the_snapshot_while_a_newer_one_is_served() {
    let target = start_shard(0, 1, TargetSettings::default()).await;
    let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    let address = entry.caller_address();
    let first = search(address, "5").await;
    assert_eq!(first.body["snapshot"], SNAPSHOT.0);
    let token = first.body["page_token"].clone();

    publish_partitions(&control, &target, &[partition(0, 1), later_partition()]);
    let mut newest = search(address, "5").await;
    while newest.body["snapshot"] != LATER_SNAPSHOT.0 {
        newest = search(address, "5").await;
    }
    let max_hits = TargetSettings::default().max_hits;
    let hits = find_hits(b"5", &later_partition(), max_hits);
    assert_eq!(newest.body["hits"], serde_json::to_value(hits).unwrap());
    let second = search_page(address, &token).await;
    assert_eq!(
        (&second.body["snapshot"], &second.body["hits"]),
        (&SNAPSHOT.0.into(), &first.body["hits"])
    );

    publish_partitions(&control, &target, &[later_partition()]);
    let mut gone = search_page(address, &token).await;
    while gone.outcome() == "complete" {
        assert_eq!(gone.body["snapshot"], SNAPSHOT.0, "{}", gone.body);
        gone = search_page(address, &token).await;
    }
    assert_eq!(gone.reason(), "snapshot_gone", "{}", gone.body);
    assert_eq!(gone.body["hits"], serde_json::json!([]));
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn a_lost_control_link_is_reopened_and_searches_continue() {
    let target = start_shard(0, 1, TargetSettings::default()).await;
    let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    let before = control.revision();
    assert_eq!(before, RevisionNumber(2));
    control.drop_links();
    assert_eq!(search(entry.caller_address(), "1").await.outcome(), "complete");
    wait_until(|| control.revision() > before).await;
    let mut answer = search(entry.caller_address(), "1").await;
    while answer.body["revision"] == before.0 {
        answer = search(entry.caller_address(), "1").await;
    }
    assert_eq!(answer.outcome(), "complete");
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn one_http2_connection_carries_many_requests() {
    let settings = TargetSettings {
        slots: hickoryspan_core::types::SlotCount(16),
        queue: hickoryspan_core::types::SlotCount(64),
        ..TargetSettings::default()
    };
    let target = start_shard(0, 1, settings).await;
    let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    let address = entry.caller_address();
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    let connection = tokio::spawn(connection);
    let calls = (0..20).map(|query| {
        let mut sender = sender.clone();
        let mut builder = Request::post(format!("http://{address}/v1/search"));
        for (name, value) in caller_headers() {
            builder = builder.header(name, value);
        }
        let body = Bytes::from(format!(r#"{{"search":"find","query":{query}}}"#));
        async move {
            let response =
                sender.send_request(builder.body(Full::new(body)).unwrap()).await.unwrap();
            assert_eq!((response.status().as_u16(), response.version()), (200, Version::HTTP_2));
            let body = response.into_body().collect().await.unwrap().to_bytes();
            let body: Value = serde_json::from_slice(&body).unwrap();
            let hits = find_hits(
                query.to_string().as_bytes(),
                &partition(0, 1),
                TargetSettings::default().max_hits,
            );
            assert_eq!(body["hits"], serde_json::to_value(hits).unwrap(), "{body}");
        }
    });
    futures::future::join_all(calls).await;
    drop(sender);
    connection.abort();
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}

#[tokio::test]
async fn a_stop_ends_although_a_request_is_in_flight() {
    let settings =
        TargetSettings { service_time: Duration::from_secs(20), ..TargetSettings::default() };
    let target = start_shard(0, 1, settings).await;
    let control = FakeControl::start(view(records([&target]), 2 * TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    let address = entry.caller_address();
    let request =
        build_request("POST", "/v1/search", &caller_headers(), r#"{"search":"find","query":1}"#);
    let mut caller = connect(address).await;
    let sent = tokio::spawn(async move { caller.send(request, 1024).await.map(|_| ()) });
    tokio::time::timeout(TEST_TIMEOUT, target.wait_in_flight(|count| count > 0)).await.unwrap();
    tokio::time::timeout(TEST_TIMEOUT, entry.stop()).await.unwrap();
    sent.await.unwrap().unwrap_err();
    assert!(
        hickoryspan_runtime::http_client::HttpConnection::open(address, TEST_TIMEOUT)
            .await
            .is_err()
    );
    wait_until(|| target.open_connections() == 0).await;
    target.abort().await;
    control.stop().await;
}
