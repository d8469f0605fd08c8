//! Guards against answers that violate an invariant of the design while targets fail at random: a
//! wrong hit, a wrong coverage, an order that runs twice, or one that ran and is reported as
//! `not_run`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use hickoryspan_core::membership::ViewChange;
use hickoryspan_target::TargetHandle;
use hickoryspan_target::documents::find_hits;
use hickoryspan_target::faults::{FaultEvent, FaultSettings};
use hickoryspan_target::settings::TargetSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;
use serde_json::Value;

const SHARDS: u32 = 6;
const REPLICAS: u32 = 2;
const PRESSES: u32 = 2;
const CALLERS: u32 = 8;
const REQUESTS: u32 = 25;
const DEADLINE: Duration = Duration::from_millis(250);

async fn start_targets() -> Vec<TargetHandle> {
    let settings = TargetSettings { restart_time: Duration::ZERO, ..TargetSettings::default() };
    let mut targets = Vec::new();
    for index in 0..SHARDS {
        for replica in 0..REPLICAS {
            let name = format!("t{index}-{replica}");
            let partition = partition(index, SHARDS);
            targets.push(start_target(&name, "history", partition, settings.clone()).await);
        }
    }
    for index in 0..PRESSES {
        let name = format!("press-{index}");
        targets.push(start_target(&name, "press", single_partition(), settings.clone()).await);
    }
    targets
}

/// Injects random faults until the task is aborted, and publishes new incarnations of targets as
/// control would.
async fn inject_faults(targets: Arc<Vec<TargetHandle>>, control: Arc<FakeControl>, seed: u64) {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    loop {
        let target = &targets[generator.random_range(0..targets.len())];
        let before = target.to_record().incarnation;
        match generator.random_range(0..6) {
            0 => target.inject_event(FaultEvent::Crash),
            1 => target.inject_event(FaultEvent::SilenceConnections),
            2 => {
                target.set_faults(FaultSettings { refuse_connections: true, ..Default::default() })
            }
            3 => target.set_faults(FaultSettings { straggler_factor: 40.0, ..Default::default() }),
            4 => target.set_faults(FaultSettings { fail_requests: true, ..Default::default() }),
            _ => target.set_faults(FaultSettings::default()),
        }
        tokio::time::sleep(Duration::from_millis(generator.random_range(1..30))).await;
        let record = target.to_record();
        if record.incarnation != before {
            control.publish(vec![ViewChange::PutTarget(record)]);
        }
    }
}

/// Checks that every hit is correct and in key order. The coverage must include the shards whose
/// hits are present, and may include the shards that have no hits for the query, but no others.
fn check_search(answer: &CallerAnswer, query: &str) {
    let body = &answer.body;
    assert!(matches!(answer.outcome(), "complete" | "partial" | "failed" | "not_run"), "{body}");
    let max_hits = TargetSettings::default().max_hits;
    let mut remaining_hits = body["hits"].as_array().unwrap().as_slice();
    let (mut min_documents, mut max_documents, mut total_documents) = (0, 0, 0);
    for index in 0..SHARDS {
        let partition = partition(index, SHARDS);
        let expected: Vec<Value> = find_hits(query.as_bytes(), &partition, max_hits)
            .into_iter()
            .map(|hit| serde_json::to_value(hit).unwrap())
            .collect();
        let documents = partition.documents.0;
        total_documents += documents;
        if expected.is_empty() {
            max_documents += documents;
        } else if let Some(after) = remaining_hits.strip_prefix(expected.as_slice()) {
            remaining_hits = after;
            min_documents += documents;
            max_documents += documents;
        }
    }
    assert!(remaining_hits.is_empty(), "unknown hits or hits out of order: {body}");
    let documents = body["coverage"].as_f64().unwrap() * total_documents as f64;
    let allowed = min_documents as f64 - 1e-6..=max_documents as f64 + 1e-6;
    assert!(allowed.contains(&documents), "{documents} documents are not in {allowed:?}: {body}");
    let is_full = body["coverage"] == 1.0;
    assert_eq!(answer.outcome() == "complete", is_full, "{body}");
}

/// Outcomes of orders as reported to the callers, by request id.
type OrderOutcomes = HashMap<String, String>;

async fn run_caller(address: std::net::SocketAddr, caller: u32) -> OrderOutcomes {
    let mut outcomes = OrderOutcomes::new();
    for number in 0..REQUESTS {
        if number % 3 == 0 {
            let request = format!("order-{caller}-{number}");
            let headers = order_headers(&request);
            let first = order(address, &headers).await;
            let resent = order(address, &headers).await;
            if first.outcome() == "complete" {
                assert_eq!(resent.body["result"], first.body["result"], "{}", resent.body);
            }
            outcomes.insert(request, resent.outcome().to_owned());
        } else {
            let query = format!(r#"{{"text":"{caller}-{number}"}}"#);
            check_search(&search(address, &query).await, &query);
        }
    }
    outcomes
}

fn check_orders(targets: &[TargetHandle], outcomes: &OrderOutcomes) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for run in targets.iter().flat_map(|target| target.record_page().runs) {
        if run.request.starts_with("order-") {
            *runs.entry(run.request).or_default() += 1;
        }
    }
    for (request, outcome) in outcomes {
        let count = runs.get(request).copied().unwrap_or_default();
        match outcome.as_str() {
            "complete" | "failed" => assert_eq!(count, 1, "{request} is {outcome}"),
            "not_run" => assert_eq!(count, 0, "{request} is {outcome}"),
            _ => assert!(count <= 1, "{request} is {outcome} and ran {count} times"),
        }
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_stay_true_while_targets_fail(#[case] seed: u64) {
    let targets = Arc::new(start_targets().await);
    let control = Arc::new(FakeControl::start(view(records(targets.iter()), DEADLINE)).await);
    let entry = start_entry(&control).await;
    wait_ready(&entry, targets.iter()).await;
    let faults = tokio::spawn(inject_faults(Arc::clone(&targets), Arc::clone(&control), seed));
    let address = entry.caller_address();
    let callers = (0..CALLERS).map(|caller| tokio::spawn(run_caller(address, caller)));
    let mut outcomes = OrderOutcomes::new();
    for caller_outcomes in futures::future::join_all(callers).await {
        outcomes.extend(caller_outcomes.unwrap());
    }
    faults.abort();
    let _ = faults.await;
    entry.stop().await;
    check_orders(&targets, &outcomes);
    for target in Arc::into_inner(targets).unwrap() {
        target.abort().await;
    }
    Arc::into_inner(control).unwrap().stop().await;
}
