//! Targets that name a limit for all entries together, with several real entries on loopback.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::{
    CallerAnswer, Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;

const ENTRIES: usize = 3;
/// Requests per second that the target names.
const LIMIT: f64 = 4.0;
/// Interval between requests, all entries together; twelve times the limit.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the first response with a limit from which it must be kept.
const GRACE: Duration = Duration::from_secs(4);
/// Length of the window over which users count.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in one window that users allow: one and a half times the limit and five more.
const ALLOWED: usize = (1.5 * LIMIT * 4.0) as usize + 5;
/// Interval of the target's announcements; shorter than the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A refusal takes no longer than this, since nothing is waited for.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// A target that names its limit while `limited` is set, and notes when requests arrive.
struct LimitedTarget {
    target: ScriptedTarget,
    limited: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedTarget {
    async fn start() -> Self {
        let limited = Arc::new(AtomicBool::new(true));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (is_limited, noted) = (Arc::clone(&limited), Arc::clone(&arrivals));
        let target = ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
            noted.lock().expect("the arrivals").push(Instant::now());
            let answer = request.answer("stamp", b"record");
            TargetAction::Send(match is_limited.load(Ordering::SeqCst) {
                true => with_limit(&answer),
                false => answer,
            })
        }))
        .await;
        Self { target, limited, arrivals }
    }

    /// Returns the most arrivals in any window that begins between `from` and `to`.
    fn most_in_window(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("the arrivals");
        let starts = arrivals.iter().filter(|start| (from..to - WINDOW).contains(*start));
        let count = |start: &Instant| {
            arrivals.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
        };
        starts.map(count).max().unwrap_or(0)
    }
}

fn with_limit(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(answer.to_vec()).expect("text");
    text.replacen("\r\n", &format!("\r\nhs-limit: {LIMIT}\r\n"), 1).into_bytes()
}

async fn start(target: &LimitedTarget) -> Deployment {
    let mut deployment = Deployment::start_with(ENTRIES - 1, RelaySettings::default()).await;
    let rule = route("/", RepeatRule::AtMostOnce, to_service("records"));
    deployment.configure(vec![rule]).await;
    deployment.announce("target", "records", target.target.address).await;
    deployment
}

/// Sends requests through the entries in turn for this time.
async fn send_for(
    deployment: &Deployment,
    target: &LimitedTarget,
    time: Duration,
) -> Vec<CallerAnswer> {
    let started_at = Instant::now();
    let mut answers = Vec::new();
    let mut renewed_at = started_at;
    for entry in (0..ENTRIES).cycle() {
        if started_at.elapsed() >= time {
            break;
        }
        if renewed_at.elapsed() >= RENEWAL_INTERVAL {
            renewed_at = Instant::now();
            deployment.announce("target", "records", target.target.address).await;
        }
        let sent_at = Instant::now();
        let answer = deployment.exchange_at(entry, &get("/plate")).await;
        if answer.status == 503 {
            assert!(answer.header("retry-after").is_some());
            assert!(sent_at.elapsed() < REFUSAL_TIME, "a refusal took {:?}", sent_at.elapsed());
        }
        answers.push(answer);
        tokio::time::sleep(REQUEST_INTERVAL.saturating_sub(sent_at.elapsed())).await;
    }
    answers
}

/// Guards against entries that each send as much as a target takes from all of them, or that ignore its limit.
#[tokio::test]
async fn all_entries_together_keep_to_the_limit_of_a_target() {
    let target = LimitedTarget::start().await;
    let deployment = start(&target).await;
    let started_at = Instant::now();
    let answers = send_for(&deployment, &target, GRACE + WINDOW + Duration::from_secs(2)).await;
    let most = target.most_in_window(started_at + GRACE, Instant::now());
    assert!(most <= ALLOWED, "{most} requests in {WINDOW:?}, {ALLOWED} allowed");
    // Most of the limit is used, so that no caller is refused in vain.
    assert!(most as f64 >= LIMIT * 4.0 * 0.7, "{most} requests in {WINDOW:?}");
    assert!(answers.iter().all(|answer| matches!(answer.status, 200 | 503)));
    deployment.stop().await;
}

/// Guards against entries that keep refusing after the limit has ended, or that learn of it one by one.
#[tokio::test]
async fn callers_are_served_again_soon_after_the_limit_has_ended() {
    let target = LimitedTarget::start().await;
    let deployment = start(&target).await;
    let answers = send_for(&deployment, &target, Duration::from_secs(3)).await;
    assert!(answers.iter().any(|answer| answer.status == 503), "the limit is kept");
    target.limited.store(false, Ordering::SeqCst);
    send_for(&deployment, &target, Duration::from_secs(2)).await;
    let answers = send_for(&deployment, &target, Duration::from_secs(1)).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    deployment.stop().await;
}
