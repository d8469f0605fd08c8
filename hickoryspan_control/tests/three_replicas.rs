//! Tests three control replicas in one process over loopback: adding and replacing replicas, and leader failure.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hickoryspan_control::{ControlDaemon, FolderRole, initialize_folder};
use hickoryspan_core::control::interface::{
    AdminAction, AdminOutcome, AuditRecord, ReplicaRecord, StatusReport,
};
use hickoryspan_core::types::{ReplicaId, SheetNumber};
use http::Method;
use support::relay::StallingRelay;
use support::*;
use tempfile::TempDir;

/// Time after which a test fails instead of running forever.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The body of `GET /v1/admin/history`.
#[derive(serde::Deserialize)]
struct History {
    records: Vec<AuditRecord>,
}

struct Cluster {
    folder: TempDir,
    folders: BTreeMap<ReplicaId, PathBuf>,
    replicas: BTreeMap<ReplicaId, ControlDaemon>,
    /// Relays through which the other replicas connect to the peer ports of the added ones.
    relays: Vec<StallingRelay>,
}

impl Cluster {
    /// Starts a first replica and adds two more. All three are voters.
    async fn start(seed: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("1");
        let first = start_first_replica(&path, seed).await;
        let replica = first.record().replica;
        let mut cluster = Self {
            folder,
            folders: BTreeMap::from([(replica, path)]),
            replicas: BTreeMap::from([(replica, first)]),
            relays: Vec::new(),
        };
        for number in 2..=3 {
            cluster.add(number, seed).await;
        }
        cluster
    }

    async fn add(&mut self, number: u64, seed: u64) -> ReplicaId {
        let voters = self.voters().await;
        let folder = self.folder.path().join(number.to_string());
        initialize_folder(&folder, FolderRole::Additional).unwrap();
        let daemon = start_replica(&folder, ephemeral_addresses(), seed + number).await;
        let relay = StallingRelay::start(daemon.record().peer_address).await;
        let record =
            ReplicaRecord { peer_address: relay.address, voter: false, ..daemon.record().clone() };
        self.relays.push(relay);
        let id = format!("add-{number}");
        let replica = record.replica;
        let outcome = command(&self.addresses(), "ana", &id, AdminAction::AddReplica(record)).await;
        assert!(matches!(outcome, AdminOutcome::Accepted { .. }), "{outcome:?}");
        self.replicas.insert(replica, daemon);
        self.folders.insert(replica, folder);
        await_status(&self.addresses(), |report| voter_count(report) == voters + 1).await;
        replica
    }

    async fn voters(&self) -> usize {
        voter_count(&status(&self.addresses()).await)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.replicas.values().map(|daemon| daemon.record().http_address).collect()
    }

    /// Removes the leader from the cluster and returns its daemon, which is still running.
    async fn take_leader(&mut self) -> ControlDaemon {
        let leader = status(&self.addresses()).await.leader.unwrap();
        self.replicas.remove(&leader).unwrap()
    }

    async fn stop(self) {
        for daemon in self.replicas.into_values() {
            daemon.stop().await;
        }
    }
}

fn voter_count(report: &StatusReport) -> usize {
    report.replicas.iter().filter(|record| record.voter).count()
}

fn assert_accepted(outcome: &AdminOutcome) {
    assert!(matches!(outcome, AdminOutcome::Accepted { .. }), "{outcome:?}");
}

/// Asserts that each earlier command still has its first outcome and that the audit log contains each of them once.
async fn assert_outcomes_kept(addresses: &[SocketAddr], outcomes: &[AdminOutcome]) {
    for (index, outcome) in outcomes.iter().enumerate() {
        let number = index as u64 + 1;
        let again = command(addresses, "ana", &format!("c-{number}"), apply(sheet(number))).await;
        assert_eq!(again, *outcome, "sheet {number}");
    }
    let history: History =
        send_until_decided(addresses, Method::GET, "/v1/admin/history?limit=1000", Vec::new())
            .await;
    let sheets = history.records.iter().filter(|record| record.summary.starts_with("apply sheet"));
    assert_eq!(sheets.count(), outcomes.len());
}

// A sheet that was accepted before the leader failed must still be in force under its successor.
#[tokio::test]
async fn a_leader_failure_loses_no_accepted_sheet() {
    let mut cluster = Cluster::start(100).await;
    let mut outcomes = Vec::new();
    for number in 1..=5 {
        let id = format!("c-{number}");
        outcomes.push(command(&cluster.addresses(), "ana", &id, apply(sheet(number))).await);
    }
    cluster.take_leader().await.stop().await;
    for number in 6..=10 {
        let id = format!("c-{number}");
        outcomes.push(command(&cluster.addresses(), "ana", &id, apply(sheet(number))).await);
    }
    outcomes.iter().for_each(assert_accepted);
    assert_outcomes_kept(&cluster.addresses(), &outcomes).await;
    assert_eq!(status(&cluster.addresses()).await.sheet, Some(SheetNumber(10)));
    cluster.stop().await;
}

// If a planned stop dropped the command in flight, its operator would believe that it was rejected.
#[tokio::test]
async fn a_drained_leader_hands_over_while_commands_arrive() {
    let mut cluster = Cluster::start(200).await;
    let leader = cluster.take_leader().await;
    let mut addresses = cluster.addresses();
    addresses.push(leader.record().http_address);
    let submit = async {
        let mut outcomes = Vec::new();
        for number in 1..=20 {
            let id = format!("c-{number}");
            outcomes.push(command(&addresses, "ana", &id, apply(sheet(number))).await);
        }
        outcomes
    };
    let (outcomes, ()) = tokio::join!(submit, leader.drain());
    outcomes.iter().for_each(assert_accepted);
    assert_outcomes_kept(&cluster.addresses(), &outcomes).await;
    cluster.stop().await;
}

// If a replacement replica voted before it has the whole state, the loss of a second host right after the repair would
// lose sheets.
#[tokio::test]
async fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut cluster = Cluster::start(300).await;
    let mut outcomes = Vec::new();
    for number in 1..=5 {
        let id = format!("c-{number}");
        outcomes.push(command(&cluster.addresses(), "ana", &id, apply(sheet(number))).await);
    }
    let lost = cluster.take_leader().await;
    let lost_replica = lost.record().replica;
    lost.stop().await;
    cluster.add(4, 300).await;
    let remove = AdminAction::RemoveReplica(lost_replica);
    assert_accepted(&command(&cluster.addresses(), "ana", "remove-1", remove).await);
    await_status(&cluster.addresses(), |report| report.replicas.len() == 3).await;

    cluster.take_leader().await.stop().await;
    let outcome = command(&cluster.addresses(), "ana", "c-6", apply(sheet(6))).await;
    outcomes.push(outcome);
    outcomes.iter().for_each(assert_accepted);
    assert_outcomes_kept(&cluster.addresses(), &outcomes).await;
    cluster.stop().await;
}

// A replica without a quorum must reject commands. Otherwise both sides of a network partition could accept
// contradicting sheets.
#[tokio::test]
async fn a_minority_accepts_nothing() {
    let mut cluster = Cluster::start(400).await;
    assert_accepted(&command(&cluster.addresses(), "ana", "c-1", apply(sheet(1))).await);
    cluster.take_leader().await.stop().await;
    let (_, stopped) = cluster.replicas.pop_first().unwrap();
    stopped.stop().await;
    let alone = cluster.addresses()[0];
    let body = serde_json::json!({
        "operator": "bo", "command": "c-1", "action": apply(sheet(2)),
    });
    let answer = send(
        alone,
        Method::POST,
        "/v1/admin/commands",
        Some(CREDENTIAL),
        serde_json::to_vec(&body).unwrap(),
    )
    .await
    .unwrap();
    let is_undecided = answer.status == http::StatusCode::SERVICE_UNAVAILABLE
        || answer.status == http::StatusCode::TEMPORARY_REDIRECT;
    assert!(is_undecided, "{}", answer.status);
    cluster.stop().await;
}

// A dead link that is never closed would separate two replicas forever, although a new link would work.
#[tokio::test]
async fn replicas_find_each_other_again_after_their_links_go_silent() {
    let cluster = Cluster::start(500).await;
    let mut outcomes = Vec::new();
    for number in 1..=3 {
        cluster.relays.iter().for_each(StallingRelay::stall_open_connections);
        let id = format!("c-{number}");
        outcomes.push(command(&cluster.addresses(), "ana", &id, apply(sheet(number))).await);
    }
    outcomes.iter().for_each(assert_accepted);
    assert_outcomes_kept(&cluster.addresses(), &outcomes).await;
    cluster.stop().await;
}

// A replica that answers before its vote is stored could vote twice in a term after a restart.
#[tokio::test]
async fn a_replica_with_a_broken_folder_stops_and_the_others_continue() {
    let mut cluster = Cluster::start(600).await;
    let leader = cluster.take_leader().await;
    let broken = cluster.replicas.keys().next().copied().unwrap();
    let broken = cluster.replicas.remove(&broken).unwrap();
    std::fs::remove_dir_all(&cluster.folders[&broken.record().replica]).unwrap();
    let leader_folder = cluster.folders[&leader.record().replica].clone();
    let addresses = [leader.record().peer_address, leader.record().http_address];
    leader.stop().await;
    // The following election needs the vote of the broken replica, which it cannot store.
    tokio::time::timeout(TEST_TIMEOUT, broken.stopped()).await.unwrap();
    broken.stop().await;
    let leader = restart_replica(&leader_folder, addresses, 604).await;
    cluster.replicas.insert(leader.record().replica, leader);
    assert_accepted(&command(&cluster.addresses(), "ana", "c-1", apply(sheet(1))).await);
    cluster.stop().await;
}
