//! Guards against wrong readiness reports and metrics. The metrics recorder is global to the
//! process, so this file contains only one test.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::*;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_target::settings::TargetSettings;

#[tokio::test]
async fn readiness_and_metrics_follow_the_state() {
    let target = start_shard(0, 1, TargetSettings::default()).await;
    let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
    let wrong = SharedCredential::new("another-credential-for-tests").unwrap();
    let rejected = start_entry_with(&control, |settings| hickoryspan_entry::EntryDaemonSettings {
        credential: wrong.clone(),
        ..settings
    })
    .await;
    assert_eq!(admin_get(rejected.admin_address(), "/healthz").await.0, 200);
    assert_eq!(admin_get(rejected.admin_address(), "/readyz").await.0, 503);
    assert_eq!(admin_get(rejected.admin_address(), "/metrics").await.0, 401);
    let refused = search(rejected.caller_address(), "1").await;
    assert_eq!((refused.status, refused.outcome()), (503, "not_run"), "{}", refused.body);
    rejected.stop().await;

    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target]).await;
    assert_eq!(search(entry.caller_address(), "1").await.outcome(), "complete");
    let (status, text) = admin_get(entry.admin_address(), "/metrics").await;
    assert_eq!(status, 200);
    for sample in [
        r#"hickoryspan_request_latency_seconds_bucket{tenant="quindio",class="phone",le="0.076"}"#,
        r#"hickoryspan_request_coverage_ratio_bucket{tenant="quindio",class="phone",le="0.999"} 0"#,
        r#"hickoryspan_requests_total{tenant="quindio",class="phone",outcome="complete"} 1"#,
        r#"hickoryspan_attempts_total{tenant="quindio",service="history"} 1"#,
        "hickoryspan_revision 2",
    ] {
        assert!(text.contains(sample), "{sample} is missing in {text}");
    }
    // The entry opens warm connections in the background, so the gauge and the target's count may
    // differ for a moment.
    let agree = async {
        loop {
            let (_, text) = admin_get(entry.admin_address(), "/metrics").await;
            let gauge = format!("hickoryspan_target_connections {}\n", target.open_connections());
            if text.contains(&gauge) {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, agree)
        .await
        .expect("the connection gauge did not match the target in time");
    entry.stop().await;
    target.stop().await;
    control.stop().await;
}
