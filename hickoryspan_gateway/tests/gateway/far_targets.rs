//! Wide fan-outs over targets in another failure domain, which entries there send.
//!
//! Pattern: a deployment with most entries far from the targets. Guards against parts that cross the border one by one,
//! and against a request that depends on the other entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::scripted_peer::{PeerReaction, ScriptedPeer};
use crate::support::{
    CallerAnswer, Deployment, ScriptedTarget, SeenRequest, TargetAction, get, route, to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteRule};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::types::FailureDomain;
use hickoryspan_gateway::GatewaySettings;
use rstest::rstest;

const SHARDS: usize = 12;
const RECORD: usize = 16;
const GROUP_SHARDS: usize = 3;
/// Entries in the failure domain of the targets.
const NEAR: usize = 4;
/// Connections that each target accepts: enough for all requests of a test, through whichever entries they come.
const CONNECTIONS: u32 = 100;
const MAX_ATTEMPTS: u32 = 2;

/// What the targets of one shard do with a request.
type ShardScript = Arc<dyn Fn(usize, &SeenRequest) -> TargetAction + Send + Sync>;

struct FarDeployment {
    deployment: Deployment,
    // The targets of each shard.
    shards: Vec<Vec<ScriptedTarget>>,
}

fn answer_of(shard: usize, request: &SeenRequest) -> Vec<u8> {
    request.answer(&format!("stamp-{shard}"), &[shard as u8; RECORD])
}

fn at_once() -> ShardScript {
    Arc::new(|shard, request| TargetAction::Send(answer_of(shard, request)))
}

impl FarDeployment {
    /// Starts one entry far from the targets and `near` entries beside them. Each shard has one target.
    async fn start(near: usize, script: ShardScript) -> Self {
        Self::start_with_copies(near, 1, script).await
    }

    /// Starts the same with `copies` targets for each shard.
    async fn start_with_copies(near: usize, copies: usize, script: ShardScript) -> Self {
        let relays =
            RelaySettings { min_shards: 4, group_shards: GROUP_SHARDS, ..RelaySettings::default() };
        let far = |template| GatewaySettings {
            domain: FailureDomain::new("far").expect("a domain"),
            ..template
        };
        let mut deployment = Deployment::start_adjusted(0, relays, far).await;
        deployment.add_entries_near_targets(near).await;
        let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let shards: Vec<&str> = names.iter().map(String::as_str).collect();
        let route = RouteRule {
            max_attempts: MAX_ATTEMPTS,
            ..route("/all/", RepeatRule::Idempotent, to_shards(&shards, 1.0))
        };
        deployment.configure_with(CONNECTIONS, vec![route]).await;
        let mut by_shard = Vec::new();
        for (shard, name) in names.iter().enumerate() {
            let mut targets = Vec::new();
            for copy in 0..copies {
                let script = Arc::clone(&script);
                let target =
                    ScriptedTarget::start(Arc::new(move |request| script(shard, request))).await;
                let target_name = format!("target-{shard}-{copy}");
                deployment.announce(&target_name, name, target.address).await;
                targets.push(target);
            }
            by_shard.push(targets);
        }
        if near > 0 {
            deployment.await_links(near).await;
        }
        Self { deployment, shards: by_shard }
    }

    fn tasks_served(&self) -> Vec<u64> {
        let others = self.deployment.others.iter();
        others.map(|entry| entry.fanout_counts().tasks_served).collect()
    }

    /// Returns how often the targets of each shard have got a request.
    fn arrivals(&self) -> Vec<usize> {
        let of_shard =
            |targets: &Vec<ScriptedTarget>| targets.iter().map(ScriptedTarget::count).sum();
        self.shards.iter().map(of_shard).collect()
    }
}

fn assert_complete(answer: &CallerAnswer) {
    assert_eq!((answer.status, answer.header("hs-missing-parts")), (200, Some("0")));
    let mut stamps: Vec<&str> =
        answer.header("hs-part-stamps").expect("stamps").split(", ").collect();
    stamps.sort_unstable();
    let mut expected: Vec<String> = (0..SHARDS).map(|shard| format!("stamp-{shard}")).collect();
    expected.sort_unstable();
    assert_eq!(stamps, expected);
    let greatest: Vec<u8> = [11, 10, 9].into_iter().flat_map(|byte| [byte; RECORD]).collect();
    assert_eq!(answer.body, greatest);
}

fn assert_few_attempts(far: &FarDeployment) {
    let arrivals = far.arrivals();
    assert!(
        arrivals.iter().all(|count| (1..=MAX_ATTEMPTS as usize).contains(count)),
        "{arrivals:?}"
    );
}

#[tokio::test]
async fn entries_beside_the_targets_send_all_groups() {
    let far = FarDeployment::start(NEAR, at_once()).await;
    let answer = far.deployment.exchange(&get("/all/")).await;
    assert_complete(&answer);
    assert_few_attempts(&far);
    let served: u64 = far.tasks_served().iter().sum();
    assert_eq!(served, (SHARDS / GROUP_SHARDS) as u64, "{:?}", far.tasks_served());
    far.deployment.stop().await;
}

#[tokio::test]
async fn a_lone_entry_beside_the_targets_sends_all_groups() {
    let far = FarDeployment::start(1, at_once()).await;
    assert_complete(&far.deployment.exchange(&get("/all/")).await);
    assert_eq!(far.tasks_served(), [(SHARDS / GROUP_SHARDS) as u64]);
    assert_few_attempts(&far);
    far.deployment.stop().await;
}

/// The only entry beside the targets does nothing: the entry with the request sends to all shards itself.
#[rstest]
#[case::silent(PeerReaction::Freeze)]
#[case::lost(PeerReaction::Drop)]
#[case::stopping(PeerReaction::Close)]
#[tokio::test]
async fn a_request_does_not_depend_on_the_entries_beside_the_targets(
    #[case] reaction: PeerReaction,
) {
    let far = FarDeployment::start(0, at_once()).await;
    let peer = ScriptedPeer::start(&far.deployment, reaction).await;
    far.deployment.await_links(1).await;
    assert_complete(&far.deployment.exchange(&get("/all/")).await);
    assert!(peer.messages() > 0, "the peer was asked");
    assert_few_attempts(&far);
    far.deployment.stop().await;
}

/// Guards against attempts that add up over the entry with the request and the one that sends its group: targets that
/// never answer make each of them want another attempt.
#[tokio::test]
async fn two_entries_together_never_exceed_the_attempts_on_a_shard() {
    let far = FarDeployment::start_with_copies(
        NEAR,
        3,
        Arc::new(|shard, request| {
            // Every third shard is silent, so that each group has one that is.
            let answer = answer_of(shard, request);
            match shard % 3 {
                0 => TargetAction::SendLater(Duration::from_secs(60), answer),
                _ => TargetAction::Send(answer),
            }
        }),
    )
    .await;
    let answer = far.deployment.exchange(&get("/all/")).await;
    assert_ne!(answer.status, 200, "a third of the shards is missing");
    let arrivals = far.arrivals();
    let silent = arrivals.iter().step_by(3);
    assert!(silent.copied().all(|count| count == MAX_ATTEMPTS as usize), "{arrivals:?}");
    assert_few_attempts(&far);
    far.deployment.stop().await;
}

/// Guards against second attempts that are lost with the grant.
#[tokio::test]
async fn a_shard_whose_first_attempt_fails_is_asked_again() {
    let seen = Arc::new(AtomicUsize::new(0));
    let first = Arc::clone(&seen);
    let far = FarDeployment::start(
        NEAR,
        Arc::new(move |shard, request| {
            if shard == 7 && first.fetch_add(1, Ordering::SeqCst) == 0 {
                return TargetAction::SendAndClose(Vec::new());
            }
            TargetAction::Send(answer_of(shard, request))
        }),
    )
    .await;
    assert_complete(&far.deployment.exchange(&get("/all/")).await);
    assert_eq!(seen.load(Ordering::SeqCst), MAX_ATTEMPTS as usize);
    far.deployment.stop().await;
}

/// The entries beside the targets are gone, and the far entry does not know it yet.
#[tokio::test]
async fn the_answer_is_complete_after_the_loss_of_all_entries_beside_the_targets() {
    let mut far = FarDeployment::start(NEAR, at_once()).await;
    far.deployment.others.clear();
    assert_complete(&far.deployment.exchange(&get("/all/")).await);
    assert_few_attempts(&far);
    far.deployment.stop().await;
}
