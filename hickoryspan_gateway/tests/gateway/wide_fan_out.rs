//! Wide fan-outs that several real entries on loopback divide among themselves.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, exchange_on, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHARDS: usize = 12;
const RECORD: usize = 16;

fn relay_settings() -> RelaySettings {
    RelaySettings { min_shards: 4, group_shards: 3, ..RelaySettings::default() }
}

/// A deployment with one target for each shard. Shard N answers with one record that consists of the byte N.
struct WideDeployment {
    deployment: Deployment,
    targets: Vec<ScriptedTarget>,
}

impl WideDeployment {
    async fn start(others: usize, slow_shard: Option<usize>) -> Self {
        let mut deployment = Deployment::start_with(others, relay_settings()).await;
        let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let shards: Vec<&str> = names.iter().map(String::as_str).collect();
        let destination = to_shards(&shards, 0.5);
        deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
        let mut targets = Vec::new();
        for (shard, name) in names.iter().enumerate() {
            let delay = Duration::from_secs(if slow_shard == Some(shard) { 60 } else { 0 });
            let target = ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
                let body = [shard as u8; RECORD];
                let answer = request.answer(&format!("stamp-{shard}"), &body);
                match delay.is_zero() {
                    true => TargetAction::Send(answer),
                    false => TargetAction::SendLater(delay, answer),
                }
            }))
            .await;
            deployment.announce(&format!("target-{shard}"), name, target.address).await;
            targets.push(target);
        }
        deployment.await_links(others).await;
        Self { deployment, targets }
    }

    fn tasks_served(&self) -> u64 {
        self.deployment.others.iter().map(|entry| entry.fanout_counts().tasks_served).sum()
    }
}

fn stamps(answer: &crate::support::CallerAnswer) -> Vec<String> {
    let stamps = answer.header("hs-part-stamps").expect("stamps");
    let mut stamps: Vec<String> = stamps.split(", ").map(str::to_owned).collect();
    stamps.sort();
    stamps
}

fn all_stamps() -> Vec<String> {
    let mut stamps: Vec<String> = (0..SHARDS).map(|shard| format!("stamp-{shard}")).collect();
    stamps.sort();
    stamps
}

#[tokio::test]
async fn entries_share_a_fan_out_and_the_answer_is_complete() {
    let wide = WideDeployment::start(4, None).await;
    let answer = wide.deployment.exchange(&get("/all/x?y=1")).await;
    assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("0")));
    assert_eq!(stamps(&answer), all_stamps());
    let greatest: Vec<u8> = [11, 10, 9].into_iter().flat_map(|byte| [byte; RECORD]).collect();
    assert_eq!(answer.body, greatest);
    assert!(wide.tasks_served() > 0, "another entry took a part");
    for target in &wide.targets {
        assert_eq!(target.count(), 1);
        let seen = target.seen.lock().expect("requests")[0].clone();
        assert!(seen.head.starts_with("GET /all/x?y=1 HTTP/1.1"), "{}", seen.head);
        assert_eq!(seen.header("hs-request-id"), Some("r-1"));
        let left: u64 =
            seen.header("hs-deadline-ms").and_then(|t| t.parse().ok()).expect("a deadline");
        assert!(left <= 6_000, "{left}");
    }
    wide.deployment.stop().await;
}

#[tokio::test]
async fn a_missing_part_does_not_remove_the_other_parts_of_its_group() {
    let wide = WideDeployment::start(4, Some(7)).await;
    let answer = wide.deployment.exchange(&get("/all/")).await;
    assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("1")));
    let mut expected = all_stamps();
    expected.retain(|stamp| stamp != "stamp-7");
    assert_eq!(stamps(&answer), expected);
    wide.deployment.stop().await;
}

#[tokio::test]
async fn the_answer_is_complete_after_the_loss_of_the_other_entries() {
    let mut wide = WideDeployment::start(4, None).await;
    wide.deployment.others.clear();
    let answer = wide.deployment.exchange(&get("/all/")).await;
    assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("0")));
    assert_eq!(stamps(&answer), all_stamps());
    wide.deployment.stop().await;
}

/// Guards against requests that end without an answer after a change to fewer shards: a request whose body arrives during the
/// change still divides the former shards, and the groups that it leaves behind must not be used for the new ones.
#[tokio::test]
async fn a_request_from_before_a_change_leaves_no_groups_of_former_shards() {
    let mut wide = WideDeployment::start(4, None).await;
    let mut stream =
        TcpStream::connect(wide.deployment.address).await.expect("connect to the entry");
    let head = "POST /all/late HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\n\
        hs-deadline-ms: 6000\r\ncontent-length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.expect("send a part of the request");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let fewer: Vec<String> = (0..SHARDS / 2).map(|shard| format!("shard-{shard}")).collect();
    let fewer: Vec<&str> = fewer.iter().map(String::as_str).collect();
    let routes = vec![
        route("/all/", RepeatRule::Idempotent, to_shards(&fewer, 0.5)),
        route("/probe/", RepeatRule::Idempotent, to_service("shard-0")),
    ];
    wide.deployment.configure(routes).await;
    // The entry has the change as soon as it knows the new route.
    while wide.deployment.exchange(&get("/probe/")).await.status == 404 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let late = exchange_on(&mut stream, b"dy").await;
    assert_eq!(late.status, 200);
    for _ in 0..4 {
        let answer = wide.deployment.exchange(&get("/all/next")).await;
        assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("0")));
    }
    wide.deployment.stop().await;
}
