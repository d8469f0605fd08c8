//! Requests that crash the targets that run them, sent through several real entries on loopback.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteRule};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;

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
            let target = ScriptedTarget::start(Arc::new(crash_or_answer)).await;
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

fn crash_or_answer(request: &SeenRequest) -> TargetAction {
    match request.head.contains("/crash/") {
        true => TargetAction::Crash,
        false => TargetAction::Send(request.answer("stamp", b"record")),
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

/// Guards against a request that crashes the same targets again and again: they start again, answer other requests, and
/// crash before they have announced their new processes.
#[tokio::test]
async fn a_request_that_crashes_targets_before_they_announce_their_restart_is_refused() {
    let mut crashing = CrashDeployment::start().await;
    // One target is left, so that each crash is one of a target that has crashed before.
    crashing.targets.truncate(1);
    let address = crashing.targets[0].address;
    let deployment = &mut crashing.deployment;
    deployment.configure(vec![route("/", RepeatRule::AtMostOnce, to_service("lone"))]).await;
    deployment.announce("lone-target", "lone", address).await;
    for attempt in 0..ALLOWED_CRASHES {
        let answer = deployment.exchange_at(attempt % ENTRIES, &get("/crash/plate")).await;
        assert_eq!(answer.status, 502, "attempt {attempt}");
        crashing.targets.clear();
        tokio::time::sleep(SPREAD_TIME).await;
        crashing.targets.push(ScriptedTarget::start_at(address, Arc::new(crash_or_answer)).await);
        for entry in 0..ENTRIES {
            // An entry may still hold a connection to the former process.
            let mut last = 0;
            for _ in 0..3 {
                last = deployment.exchange_at(entry, &get("/plain/plate")).await.status;
            }
            assert_eq!(last, 200, "entry {entry}");
        }
    }
    for entry in 0..ENTRIES {
        let answer = deployment.exchange_at(entry, &get("/crash/plate")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (503, b"poisoned".as_slice()));
    }
    crashing.deployment.stop().await;
}
