//! Wide fan-outs that entries divide among themselves while some of these entries stop as planned.
//!
//! Pattern: rolling restart. An entry that stops has begun to send groups of shards for other entries, whose callers wait
//! for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::scripted_peer::{PeerReaction, ScriptedPeer};
use crate::support::{
    CallerAnswer, Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route,
    to_shards,
};
use futures::future::join_all;
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteRule};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_gateway::{GatewayEntry, GatewaySettings};
use rstest::rstest;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const SHARDS: usize = 12;
const RECORD: usize = 16;
/// Connections that each target accepts: enough for all requests of a test, through whichever entries they come.
const CONNECTIONS: u32 = 100;
/// Entries besides the first one.
const OTHERS: usize = 4;
/// Much longer than a stop takes that waits for nothing.
const LONG_AFTER_STOP: Duration = Duration::from_millis(400);

/// An objective that leaves more than a second between the end of a group and the time at which its first batch counts as
/// late, after which a second arrival is allowed. A busy machine stalls a process for hundreds of milliseconds.
const LONG_OBJECTIVE: Duration = Duration::from_secs(6);
/// Time between the answers to the requests of two entries, in which the first of them ends.
const BETWEEN_REQUESTS: Duration = Duration::from_millis(150);

/// What decides when the targets answer.
type Gates = Arc<Mutex<HashMap<GateKey, CancellationToken>>>;

/// A request, by its path, and a shard.
type GateKey = (String, usize);

/// A deployment with one target for each shard, which answer a request when the test lets them.
struct GatedDeployment {
    deployment: Deployment,
    targets: Vec<ScriptedTarget>,
    gates: Gates,
}

fn gate_of(gates: &Gates, path: &str, shard: usize) -> CancellationToken {
    let mut gates = gates.lock().expect("the gates");
    gates.entry((path.to_owned(), shard)).or_default().clone()
}

fn path_of(request: &SeenRequest) -> String {
    request.head.split(' ').nth(1).expect("a path").to_owned()
}

/// How a deployment differs from test to test.
#[derive(Clone, Copy)]
struct GatedSettings {
    /// Objective of the route. Groups send their first batch after about a third of it.
    objective: Duration,
    minimum_share: f64,
    max_attempts: u32,
    /// How long stopping entries accept requests, and when they end them.
    accept: Duration,
    finish: Duration,
    /// How long the targets take; `None` if they answer when the test lets them.
    work: Option<Duration>,
}

impl Default for GatedSettings {
    fn default() -> Self {
        Self {
            objective: Duration::from_secs(4),
            // An answer is whole or fails, so that no verdict depends on the time of the answer.
            minimum_share: 1.0,
            max_attempts: 2,
            accept: Duration::from_millis(50),
            finish: TEST_TIMEOUT * 10,
            work: None,
        }
    }
}

impl GatedSettings {
    fn route(&self, shards: &[&str]) -> RouteRule {
        let destination = to_shards(shards, self.minimum_share);
        RouteRule {
            objective: self.objective,
            max_attempts: self.max_attempts,
            ..route("/all/", RepeatRule::Idempotent, destination)
        }
    }
}

impl GatedDeployment {
    async fn start(others: usize, settings: GatedSettings) -> Self {
        let relays = RelaySettings { min_shards: 4, group_shards: 3, ..RelaySettings::default() };
        let adjust = |template| GatewaySettings {
            accept_after_stop: settings.accept,
            finish_after_stop: settings.finish,
            ..template
        };
        let mut deployment = Deployment::start_adjusted(others, relays, adjust).await;
        let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let shards: Vec<&str> = names.iter().map(String::as_str).collect();
        deployment.configure_with(CONNECTIONS, vec![settings.route(&shards)]).await;
        let gates = Gates::default();
        let mut targets = Vec::new();
        for (shard, name) in names.iter().enumerate() {
            let target = start_gated_target(shard, settings.work, &gates).await;
            deployment.announce(&format!("target-{shard}"), name, target.address).await;
            targets.push(target);
        }
        deployment.await_all_links().await;
        Self { deployment, targets, gates }
    }

    /// Lets the targets of these shards answer a request, also if it has not arrived yet.
    fn open(&self, path: &str, shards: impl IntoIterator<Item = usize>) {
        for shard in shards {
            gate_of(&self.gates, path, shard).cancel();
        }
    }

    /// Returns how often each target has got a request.
    fn arrivals(&self, path: &str) -> Vec<usize> {
        let of_target = |target: &ScriptedTarget| {
            let seen = target.seen.lock().expect("the seen requests");
            seen.iter().filter(|request| path_of(request) == path).count()
        };
        self.targets.iter().map(of_target).collect()
    }

    /// Waits until a request is at all targets.
    async fn await_arrivals(&self, path: &str) {
        let arrived = async {
            while self.arrivals(path).contains(&0) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, arrived).await.expect("the request is at all targets");
    }
}

async fn start_gated_target(shard: usize, work: Option<Duration>, gates: &Gates) -> ScriptedTarget {
    let gates = Arc::clone(gates);
    ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
        let answer = request.answer(&format!("stamp-{shard}"), &[shard as u8; RECORD]);
        match work {
            Some(work) => TargetAction::SendLater(work, answer),
            None => TargetAction::SendWhen(gate_of(&gates, &path_of(request), shard), answer),
        }
    }))
    .await
}

/// Entries whose planned stops are in progress.
struct PlannedStops(JoinSet<()>);

impl PlannedStops {
    /// Begins the stops, and waits until they no longer wait for what can end at once.
    async fn begin(entries: impl IntoIterator<Item = GatewayEntry>) -> Self {
        let mut stops = JoinSet::new();
        for entry in entries {
            stops.spawn(entry.drain());
        }
        tokio::time::sleep(LONG_AFTER_STOP).await;
        Self(stops)
    }

    async fn end(mut self) {
        let ended = async { while self.0.join_next().await.is_some() {} };
        tokio::time::timeout(TEST_TIMEOUT, ended).await.expect("the stops end");
    }
}

fn stamps(answer: &CallerAnswer) -> Vec<String> {
    let stamps = answer.header("hs-part-stamps").expect("stamps");
    let mut stamps: Vec<String> = stamps.split(", ").map(str::to_owned).collect();
    stamps.sort();
    stamps
}

fn assert_whole(answer: &CallerAnswer) {
    assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("0")));
    let mut expected: Vec<String> = (0..SHARDS).map(|shard| format!("stamp-{shard}")).collect();
    expected.sort();
    assert_eq!(stamps(answer), expected);
}

/// Guards against groups that end with the stop of the entry that has begun them: before the first batch, all their shards
/// were sent to again, and after it their parts were missing.
#[rstest]
#[case::before_the_first_batch(Duration::from_secs(4))]
#[case::after_the_first_batch(Duration::from_millis(600))]
#[tokio::test]
async fn stopping_entries_finish_the_groups_that_they_have_begun(#[case] objective: Duration) {
    let settings = GatedSettings { objective, ..GatedSettings::default() };
    let mut gated = GatedDeployment::start(OTHERS, settings).await;
    let entries = std::mem::take(&mut gated.deployment.others);
    let request = get("/all/one");
    let stop = async {
        gated.await_arrivals("/all/one").await;
        // The first batch of the case with the shorter objective is sent meanwhile.
        tokio::time::sleep(LONG_AFTER_STOP).await;
        let stops = PlannedStops::begin(entries).await;
        gated.open("/all/one", 0..SHARDS);
        stops.end().await;
    };
    let (answer, ()) = tokio::join!(gated.deployment.exchange(&request), stop);
    assert_whole(&answer);
    assert_eq!(gated.arrivals("/all/one"), [1; SHARDS], "arrivals at each target");
    gated.deployment.stop().await;
}

/// Guards against entries that stop at the same time and cut each other's requests: the one whose callers are answered
/// first ended the groups that the callers of the others waited for.
#[tokio::test]
async fn entries_that_stop_at_the_same_time_answer_all_their_callers() {
    let settings = GatedSettings { objective: LONG_OBJECTIVE, ..GatedSettings::default() };
    let mut gated = GatedDeployment::start(OTHERS, settings).await;
    let paths: Vec<String> = (0..=OTHERS).map(|entry| format!("/all/{entry}")).collect();
    let mut entries = std::mem::take(&mut gated.deployment.others);
    entries.extend(gated.deployment.entry.take());
    let exchanges = paths.iter().enumerate().map(|(entry, path)| {
        let deployment = &gated.deployment;
        async move { deployment.exchange_at(entry, &get(path)).await }
    });
    let stop = async {
        for path in &paths {
            gated.await_arrivals(path).await;
        }
        let stops = PlannedStops::begin(entries).await;
        for path in &paths {
            gated.open(path, 0..SHARDS);
            tokio::time::sleep(BETWEEN_REQUESTS).await;
        }
        stops.end().await;
    };
    let (answers, ()) = tokio::join!(join_all(exchanges), stop);
    answers.iter().for_each(assert_whole);
    for path in &paths {
        assert_eq!(gated.arrivals(path), [1; SHARDS], "arrivals of {path} at each target");
    }
    gated.deployment.stop().await;
}

/// Guards against parts that are lost although they have arrived: a group that outlasts the stop of its entry ended without
/// its last batch, and all its shards were sent to again, also those that had answered.
#[tokio::test]
async fn a_group_that_outlasts_a_stop_ends_with_the_parts_that_it_has() {
    // One shard of each group; the groups are neighbours by name.
    let silent = [10, 3, 6, 9];
    // The stop ends before the first batch is due, so that all parts still wait for a batch.
    let settings = GatedSettings { finish: Duration::from_millis(500), ..GatedSettings::default() };
    let mut gated = GatedDeployment::start(OTHERS, settings).await;
    let entries = std::mem::take(&mut gated.deployment.others);
    gated.open("/all/one", (0..SHARDS).filter(|shard| !silent.contains(shard)));
    let request = get("/all/one");
    let stop = async {
        gated.await_arrivals("/all/one").await;
        PlannedStops::begin(entries).await.end().await;
        gated.open("/all/one", silent);
    };
    let (answer, ()) = tokio::join!(gated.deployment.exchange(&request), stop);
    assert_whole(&answer);
    for (shard, arrivals) in gated.arrivals("/all/one").into_iter().enumerate() {
        let allowed = if silent.contains(&shard) { 2 } else { 1 };
        assert!(arrivals <= allowed, "{arrivals} arrivals at the target of shard {shard}");
    }
    gated.deployment.stop().await;
}

/// Guards against groups that a stopping entry takes and then cuts: an entry without a link to a control host does not
/// learn of the stop and goes on handing groups over.
#[tokio::test]
async fn a_stopping_entry_begins_no_group_that_may_outlast_it() {
    let settings = GatedSettings {
        accept: Duration::from_millis(800),
        // Less than the deadline of the request, so that no group certainly ends before.
        finish: Duration::from_millis(1_000),
        ..GatedSettings::default()
    };
    let mut gated = GatedDeployment::start(OTHERS, settings).await;
    gated.deployment.lose_directory().await;
    let entries = std::mem::take(&mut gated.deployment.others);
    let request = get("/all/one");
    let stop = async {
        let stops = PlannedStops::begin(entries).await;
        gated.await_arrivals("/all/one").await;
        stops.end().await;
        gated.open("/all/one", 0..SHARDS);
    };
    let exchange = async {
        tokio::time::sleep(LONG_AFTER_STOP).await;
        gated.deployment.exchange(&request).await
    };
    let (answer, ()) = tokio::join!(exchange, stop);
    assert_whole(&answer);
    assert_eq!(gated.arrivals("/all/one"), [1; SHARDS], "arrivals at each target");
    gated.deployment.stop().await;
}

/// Sends requests until the peer has got a group of one. Each must be answered whole, with one arrival at each target.
async fn expect_whole_until_handed_over(gated: &GatedDeployment, peer: &ScriptedPeer) {
    let mut requests = 0;
    // Each group is handed to the peer in about half of all cases.
    while peer.messages() == 0 {
        let path = format!("/all/{requests}");
        gated.open(&path, 0..SHARDS);
        assert_whole(&gated.deployment.exchange(&get(&path)).await);
        assert_eq!(gated.arrivals(&path), [1; SHARDS], "arrivals of {path} at each target");
        requests += 1;
    }
}

/// Guards against parts that are missing because a group counts as sent that the other entry has not begun: it has closed
/// the link after its last group, while the task was on its way.
#[tokio::test]
async fn a_group_that_a_closing_entry_has_not_begun_is_sent_without_a_second_attempt() {
    let settings = GatedSettings { max_attempts: 1, ..GatedSettings::default() };
    let gated = GatedDeployment::start(0, settings).await;
    let peer = ScriptedPeer::start(&gated.deployment, PeerReaction::Close).await;
    gated.deployment.await_links(1).await;
    expect_whole_until_handed_over(&gated, &peer).await;
    gated.deployment.stop().await;
}

/// Guards against requests without a whole answer, and against shards that get more requests than allowed, after an entry
/// that takes groups has crashed (and restarted at once) or has been frozen or cut off silently.
#[rstest]
#[case::crashes(PeerReaction::Drop)]
#[case::is_frozen_or_cut_off(PeerReaction::Freeze)]
#[tokio::test]
async fn groups_of_a_lost_entry_are_sent_once_more(#[case] reaction: PeerReaction) {
    let objective = Duration::from_millis(600);
    let gated =
        GatedDeployment::start(0, GatedSettings { objective, ..GatedSettings::default() }).await;
    let peer = ScriptedPeer::start(&gated.deployment, reaction).await;
    gated.deployment.await_links(1).await;
    expect_whole_until_handed_over(&gated, &peer).await;
    gated.deployment.stop().await;
}

/// Calls one entry again and again until `done` is cancelled, and returns the paths. Every answer must be whole.
async fn call_until(
    gated: &GatedDeployment,
    entry: usize,
    done: &CancellationToken,
) -> Vec<String> {
    let mut paths = Vec::new();
    while !done.is_cancelled() {
        let path = format!("/all/{entry}-{}", paths.len());
        assert_whole(&gated.deployment.exchange_at(entry, &get(&path)).await);
        paths.push(path);
    }
    paths
}

/// Guards against missing parts and superfluous requests to targets while entries stop one after another: callers of the
/// others must not notice it, also if no control host tells the others of the stops.
#[rstest]
#[case::with_a_control_host(true)]
#[case::without_a_control_host(false)]
#[tokio::test]
async fn callers_of_other_entries_get_whole_answers_while_entries_stop(#[case] linked: bool) {
    let settings = GatedSettings {
        objective: LONG_OBJECTIVE,
        accept: Duration::from_millis(300),
        work: Some(Duration::from_millis(150)),
        ..GatedSettings::default()
    };
    let mut gated = GatedDeployment::start(OTHERS + 2, settings).await;
    if !linked {
        gated.deployment.lose_directory().await;
    }
    let stopped: Vec<GatewayEntry> = gated.deployment.others.drain(..3).collect();
    let done = CancellationToken::new();
    let callers = [0, 4, 5, 6].map(|entry| call_until(&gated, entry, &done));
    let stops = async {
        let mut stops = JoinSet::new();
        for entry in stopped {
            tokio::time::sleep(Duration::from_millis(100)).await;
            stops.spawn(entry.drain());
        }
        PlannedStops(stops).end().await;
        done.cancel();
    };
    let (paths, ()) = tokio::join!(join_all(callers), stops);
    for path in paths.iter().flatten() {
        assert_eq!(gated.arrivals(path), [1; SHARDS], "arrivals of {path} at each target");
    }
    gated.deployment.stop().await;
}

/// Guards against more attempts than allowed: a lost entry may have sent to the shards of its groups, unlike one that has
/// closed the link.
#[tokio::test]
async fn a_group_on_a_lost_link_counts_as_an_attempt() {
    let settings = GatedSettings { max_attempts: 1, ..GatedSettings::default() };
    let gated = GatedDeployment::start(0, settings).await;
    let peer = ScriptedPeer::start(&gated.deployment, PeerReaction::Drop).await;
    gated.deployment.await_links(1).await;
    let mut requests = 0;
    // Each group is handed to the peer in about half of all cases.
    while peer.messages() == 0 {
        let path = format!("/all/{requests}");
        gated.open(&path, 0..SHARDS);
        let answer = gated.deployment.exchange(&get(&path)).await;
        let expected = if peer.messages() == 0 { 200 } else { 502 };
        assert_eq!(answer.status, expected);
        requests += 1;
    }
    gated.deployment.stop().await;
}

/// Guards against a stop that waits for an entry that is frozen or cut off and therefore never closes its link.
#[tokio::test]
async fn a_silent_link_does_not_delay_a_stop() {
    let mut gated = GatedDeployment::start(0, GatedSettings::default()).await;
    let peer = ScriptedPeer::start(&gated.deployment, PeerReaction::Freeze).await;
    // It is neither read nor closed.
    let _link = peer.connect().await;
    let entry = gated.deployment.entry.take().expect("an entry");
    // The entry would wait for requests and groups in flight for a much longer time.
    tokio::time::timeout(TEST_TIMEOUT, entry.drain()).await.expect("the stop ends");
    gated.deployment.stop().await;
}
