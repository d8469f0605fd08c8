//! Requests that crash the targets that run them, sent through several real entries on loopback.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::document::{RepeatRule, RouteRule};
use hickoryspan_core::gateway::relays::RelaySettings;

/// Number of targets that may crash before every entry must refuse the request.
const ALLOWED_CRASHES: usize = 3;
/// Time within which all entries must know about the crashes; well below the 4 s that users allow.
const SPREAD_TIME: Duration = Duration::from_secs(1);
const ENTRIES: usize = 3;
const TARGETS: usize = 12;

/// A deployment of several entries whose targets end when they run a request below `/crash/`.
struct CrashDeployment {
    deployment: Deployment,
    targets: Vec<ScriptedTarget>,
}

impl CrashDeployment {
    async fn start() -> Self {
        let mut deployment = Deployment::start_with(ENTRIES - 1, RelaySettings::default()).await;
        deployment.configure(routes()).await;
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let target = ScriptedTarget::start(Arc::new(|request: &SeenRequest| {
                match request.head.contains("/crash/") {
                    true => TargetAction::Crash,
                    false => TargetAction::Send(request.answer("stamp", b"record")),
                }
            }))
            .await;
            deployment.announce(&format!("target-{number}"), "records", target.address).await;
            targets.push(target);
        }
        Self { deployment, targets }
    }

    fn crashed(&self) -> usize {
        let ran = |target: &&ScriptedTarget| {
            let seen = target.seen.lock().expect("the seen requests");
            seen.iter().any(|request| request.head.contains("/crash/"))
        };
        self.targets.iter().filter(ran).count()
    }

    /// Sends the request through the entries in turn until the allowed number of targets has crashed.
    async fn crash_allowed_targets(&self, path: &str) {
        for attempt in 0..ALLOWED_CRASHES {
            let answer = self.deployment.exchange_at(attempt % ENTRIES, &get(path)).await;
            assert_eq!(answer.status, 502);
        }
        assert_eq!(self.crashed(), ALLOWED_CRASHES);
        tokio::time::sleep(SPREAD_TIME).await;
    }

    async fn assert_refused_everywhere(&self, path: &str) {
        for entry in 0..self.deployment.entry_count() {
            let answer = self.deployment.exchange_at(entry, &get(path)).await;
            assert_eq!(answer.status, 503, "entry {entry}");
            assert!(answer.header("retry-after").is_some(), "entry {entry}");
        }
        assert_eq!(self.crashed(), ALLOWED_CRASHES);
    }
}

fn routes() -> Vec<RouteRule> {
    vec![route("/", RepeatRule::AtMostOnce, to_service("records"))]
}

/// Guards against entries that count crashed targets alone, so that each of them lets a request crash three targets.
#[tokio::test]
async fn a_request_that_crashed_three_targets_through_different_entries_is_refused_by_all() {
    let deployment = CrashDeployment::start().await;
    deployment.crash_allowed_targets("/crash/plate").await;
    deployment.assert_refused_everywhere("/crash/plate").await;
    let other = deployment.deployment.exchange_at(1, &get("/plain/plate")).await;
    assert_eq!(other.status, 200);
    deployment.deployment.stop().await;
}

/// Guards against an entry that starts after the crashes and counts from zero.
#[tokio::test]
async fn an_entry_that_joins_later_refuses_the_request_too() {
    let mut deployment = CrashDeployment::start().await;
    deployment.crash_allowed_targets("/crash/plate").await;
    deployment.deployment.add_entry().await;
    let joined = deployment.deployment.entry_count() - 1;
    let serves = async {
        while deployment.deployment.exchange_at(joined, &get("/plain/plate")).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, serves).await.expect("the new entry serves");
    deployment.assert_refused_everywhere("/crash/plate").await;
    deployment.deployment.stop().await;
}

/// Guards against a restart of all processes after which the request may crash three more targets.
#[tokio::test]
async fn all_entries_refuse_the_request_after_a_common_restart() {
    let mut deployment = CrashDeployment::start().await;
    deployment.crash_allowed_targets("/crash/plate").await;
    deployment.deployment.restart_all().await;
    deployment.deployment.configure(routes()).await;
    deployment.assert_refused_everywhere("/crash/plate").await;
    deployment.deployment.stop().await;
}
