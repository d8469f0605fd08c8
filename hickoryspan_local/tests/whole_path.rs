//! End-to-end tests that outcomes and coverage stay correct across caller, entry, control and target. All roles run as
//! in production, on the loopback interface.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hickoryspan_core::types::CoverageShare;
use hickoryspan_local::{LocalCaller, LocalDeployment, LocalSettings, ServicePlan};
use hickoryspan_runtime::clock::wall_time;
use hickoryspan_target::TargetHandle;
use hickoryspan_target::faults::FaultSettings;
use hickoryspan_target::record::RunKind;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

const SHARDS: u32 = 40;

async fn start() -> LocalDeployment {
    let services = vec![
        ServicePlan::new("quindio", "sales-console", SHARDS, 1).unwrap(),
        ServicePlan::new("quindio", "print-shop", 1, 4).unwrap(),
    ];
    let settings = LocalSettings { services, ..LocalSettings::from_example().unwrap() };
    LocalDeployment::start(settings).await.unwrap()
}

fn order_runs(targets: &[TargetHandle]) -> usize {
    let runs = targets.iter().flat_map(|target| target.record_page().runs);
    runs.filter(|run| run.kind == RunKind::Order).count()
}

fn coverage(body: &serde_json::Value) -> CoverageShare {
    CoverageShare::new(body["coverage"].as_f64().unwrap())
}

/// Uses the `office` class, whose deadline of 3 s keeps responses complete on a busy machine.
fn salesperson() -> LocalCaller {
    LocalCaller::new("quindio", "sales-phone", "office")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_target_is_missing_from_the_coverage() {
    let deployment = start().await;
    let entry = deployment.entries()[0].caller_address();
    let query = json!({ "farm": "El Roble" });
    let whole = salesperson().search(entry, "order-history", &query).await.unwrap();
    assert_eq!(whole.status, StatusCode::OK);
    assert_eq!(whole.body["outcome"], "complete", "{}", whole.body);
    assert_eq!(coverage(&whole.body), CoverageShare::FULL);

    let faults = FaultSettings { silent: true, ..Default::default() };
    deployment.targets()[7].set_faults(faults);
    let partial = salesperson().search(entry, "order-history", &query).await.unwrap();
    assert_eq!(partial.body["outcome"], "partial", "{}", partial.body);
    // All shards have the same number of documents, and one of 40 shards does not respond.
    let expected = f64::from(SHARDS - 1) / f64::from(SHARDS);
    assert!((coverage(&partial.body).value() - expected).abs() < 1e-9, "{}", partial.body);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_sent_again_elsewhere_runs_once_and_returns_the_first_outcome() {
    let deployment = start().await;
    let entries: Vec<_> = deployment.entries().iter().map(|entry| entry.caller_address()).collect();
    let caller = LocalCaller::new("quindio", "print-queue", "print");
    let issued_at = wall_time().0;
    let content = json!({ "trays": 500 });
    let first = caller
        .order_issued_at(entries[0], "print-order", "order-1", issued_at, &content)
        .await
        .unwrap();
    assert_eq!(first.body["outcome"], "complete", "{}", first.body);
    for entry in [entries[1], entries[0], entries[1]] {
        let again = caller
            .order_issued_at(entry, "print-order", "order-1", issued_at, &content)
            .await
            .unwrap();
        assert_eq!(again.body["outcome"], "complete", "{}", again.body);
        assert_eq!(again.body["result"], first.body["result"]);
        assert_eq!(again.body["attempts"], 0);
    }
    let other = json!({ "trays": 501 });
    let conflict = caller
        .order_issued_at(entries[1], "print-order", "order-1", issued_at, &other)
        .await
        .unwrap();
    assert_eq!(conflict.status, StatusCode::CONFLICT, "{}", conflict.body);
    assert_eq!(order_runs(deployment.targets()), 1);
    deployment.stop().await;
}

#[rstest]
#[case("nobody", "sales-phone", "phone", "order-history")]
#[case("quindio", "nobody", "phone", "order-history")]
#[case("quindio", "sales-phone", "phone", "no-such-search")]
#[case("quindio", "sales-phone", "phone", "print-order")]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_names_reach_no_target(
    #[case] tenant: &str,
    #[case] caller: &str,
    #[case] class: &str,
    #[case] search: &str,
) {
    let deployment = start().await;
    let entry = deployment.entries()[0].caller_address();
    let caller = LocalCaller::new(tenant, caller, class);
    let answer = caller.search(entry, search, &json!({ "farm": "El Roble" })).await.unwrap();
    assert!(answer.status.is_client_error(), "{} {}", answer.status, answer.body);
    assert_eq!(answer.body["outcome"], "not_run", "{}", answer.body);
    assert!(deployment.targets().iter().all(|target| target.record_page().runs.is_empty()));
    deployment.stop().await;
}
