//! Guards against answers with missing or misplaced parts, wrong coverage, and orders that run
//! twice.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::*;
use hickoryspan_target::documents::find_hits;
use hickoryspan_target::faults::FaultSettings;
use hickoryspan_target::record::RunKind;
use hickoryspan_target::settings::TargetSettings;
use serde_json::Value;

const SHARDS: u32 = 40;

async fn start_shards(count: u32) -> Vec<hickoryspan_target::TargetHandle> {
    let mut targets = Vec::new();
    for index in 0..count {
        targets.push(start_shard(index, count, TargetSettings::default()).await);
    }
    targets
}

fn expected_hits(query: &str, shards: impl IntoIterator<Item = u32>, count: u32) -> Vec<Value> {
    let max_hits = TargetSettings::default().max_hits;
    shards
        .into_iter()
        .flat_map(|index| find_hits(query.as_bytes(), &partition(index, count), max_hits))
        .map(|hit| serde_json::to_value(hit).unwrap())
        .collect()
}

#[tokio::test]
async fn a_search_over_40_targets_is_complete_and_in_key_order() {
    let targets = start_shards(SHARDS).await;
    let control = FakeControl::start(view(records(&targets), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, &targets).await;
    let query = r#"{"text":"tray 30"}"#;
    let answer = search(entry.caller_address(), query).await;
    assert_eq!((answer.status, answer.outcome()), (200, "complete"), "{}", answer.body);
    assert_eq!(answer.body["coverage"], 1.0);
    assert_eq!(answer.body["snapshot"], SNAPSHOT.0);
    assert_eq!(answer.body["attempts"], SHARDS);
    assert_eq!(answer.body["hits"], Value::Array(expected_hits(query, 0..SHARDS, SHARDS)));
    entry.stop().await;
    stop_all(targets).await;
    control.stop().await;
}

#[tokio::test]
async fn a_silent_target_makes_the_answer_partial_with_its_true_coverage() {
    const COUNT: u32 = SHARDS;
    let targets = start_shards(COUNT).await;
    let deadline = Duration::from_millis(400);
    let control = FakeControl::start(view(records(&targets), deadline)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, &targets).await;
    let silent = COUNT - 1;
    let faults = FaultSettings { silent: true, ..FaultSettings::default() };
    targets[silent as usize].set_faults(faults);
    let query = r#"{"text":"tray 12"}"#;
    let answer = search(entry.caller_address(), query).await;
    assert_eq!((answer.status, answer.outcome()), (200, "partial"), "{}", answer.body);
    let documents = |index| partition(index, COUNT).documents.0 as f64;
    let all: f64 = (0..COUNT).map(documents).sum();
    let expected = 1.0 - documents(silent) / all;
    let coverage = answer.body["coverage"].as_f64().unwrap();
    assert!((coverage - expected).abs() < 1e-9, "{coverage} is not {expected}");
    assert_eq!(answer.body["hits"], Value::Array(expected_hits(query, 0..silent, COUNT)));
    entry.stop().await;
    for target in targets {
        target.abort().await;
    }
    control.stop().await;
}

#[tokio::test]
async fn an_order_and_its_resend_run_once() {
    let press = start_press().await;
    let control = FakeControl::start(view(records([&press]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&press]).await;
    let headers = order_headers("order-1");
    let first = order(entry.caller_address(), &headers).await;
    assert_eq!((first.status, first.outcome()), (200, "complete"), "{}", first.body);
    assert_eq!(first.body["result"]["request"], "order-1");
    let second = order(entry.caller_address(), &headers).await;
    assert_eq!(second.outcome(), "complete", "{}", second.body);
    assert_eq!(second.body["result"], first.body["result"]);
    let found = call(entry.caller_address(), "GET", "/v1/orders/order-1", &headers, "").await;
    assert_eq!(found.body["result"], first.body["result"], "{}", found.body);
    let runs = press.record_page().runs;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!((runs[0].kind, runs[0].request.as_str()), (RunKind::Order, "order-1"));
    entry.stop().await;
    press.stop().await;
    control.stop().await;
}
