//! Requests whose connection ends before their answer was sent.
//!
//! Pattern: a caller complains about a request that got no answer, and only logs and metrics can tell who ended it.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::{CallerLimits, RepeatRule};
use hickoryspan_runtime::metrics_page::MetricsPage;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn count_cuts(phase: &str, cause: &str) -> u64 {
    let page = MetricsPage::install().expect("metrics").render();
    let is_wanted = |line: &&str| {
        line.starts_with("hickoryspan_gateway_cut_requests_total")
            && line.contains(&format!("phase=\"{phase}\""))
            && line.contains(&format!("cause=\"{cause}\""))
    };
    let found = page.lines().find(is_wanted).and_then(|line| line.rsplit(' ').next());
    found.map_or(0, |count| count.parse().expect("a count"))
}

async fn await_cut(phase: &str, cause: &str, before: u64) {
    let counted = async {
        while count_cuts(phase, cause) <= before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, counted).await.expect("the cut is counted");
}

/// Guards against requests that vanish without a trace when their caller leaves.
#[tokio::test]
async fn a_request_whose_caller_leaves_is_counted_as_cut() {
    let script = |request: &SeenRequest| {
        TargetAction::SendLater(TEST_TIMEOUT, request.answer("stamp", b"late"))
    };
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    deployment.announce("t", "one", target.address).await;
    let before = count_cuts("running", "caller closed");
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    stream.write_all(&get("/one/")).await.expect("send a request");
    while target.count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    await_cut("running", "caller closed", before).await;
    deployment.stop().await;
}

/// Guards against answers that a stopping entry cuts without a trace.
#[tokio::test]
async fn an_answer_that_a_stop_cuts_is_counted_as_cut() {
    // More than the buffers of both ends of the connection hold.
    let body = vec![b'x'; 16 * 1024 * 1024];
    let script = move |request: &SeenRequest| TargetAction::Send(request.answer("stamp", &body));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let stop_times = (Duration::from_millis(200), Duration::from_millis(400));
    let mut deployment =
        Deployment::start_stopping_with_answers(stop_times.0, stop_times.1, 32 * 1024 * 1024).await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    deployment.announce("t", "one", target.address).await;
    let before = count_cuts("answered", "closed by this entry");
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    stream.write_all(&get("/one/")).await.expect("send a request");
    while target.count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let entry = deployment.entry.take().expect("an entry");
    tokio::time::timeout(TEST_TIMEOUT, entry.drain()).await.expect("the stop ends");
    await_cut("answered", "closed by this entry", before).await;
    drop(stream);
    deployment.stop().await;
}

/// Guards against answers that are cut because a configuration leaves callers no idle time.
#[tokio::test]
async fn an_answer_is_whole_although_callers_have_no_idle_time() {
    let body = vec![b'x'; 16 * 1024 * 1024];
    let script = move |request: &SeenRequest| TargetAction::Send(request.answer("stamp", &body));
    let target = ScriptedTarget::start(Arc::new(script)).await;
    let mut deployment = Deployment::start_stopping_with_answers(
        Duration::from_millis(50),
        TEST_TIMEOUT,
        32 * 1024 * 1024,
    )
    .await;
    deployment.limits = CallerLimits { idle_time: Duration::ZERO, ..CallerLimits::default() };
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    deployment.announce("t", "one", target.address).await;
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!((answer.status, answer.body.len()), (200, 16 * 1024 * 1024));
    deployment.stop().await;
}
