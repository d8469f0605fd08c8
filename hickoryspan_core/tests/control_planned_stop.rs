//! Tests of control hosts that are stopped or replaced as planned, with a replica set that follows the reports of the
//! hosts: an acknowledged document survives the loss of as many disks as the deployment tolerates.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::sync::Arc;
use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::gateway::documents::document::{DocumentOutcome, DocumentVersion};
use hickoryspan_core::gateway::membership::members::MemberSettings;
use hickoryspan_core::types::ReplicaId;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rstest::rstest;

/// Interval at which control hosts report themselves.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a silent voter is replaced.
const REPLACE_AFTER: Duration = Duration::from_secs(2);
/// Time from its start within which a host must have caught up.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time in which a host must have stopped after the signal.
const STOP_TIME: Duration = Duration::from_secs(5);

/// A deployment whose hosts report themselves to each other.
struct Deployment {
    cluster: Cluster,
    next_version: u64,
    next_host: u64,
}

impl Deployment {
    fn start(seed: u64, voters: usize) -> Self {
        let mut deployment = Self::first_start(seed, voters, voters as u64);
        deployment.run(Duration::from_secs(2));
        deployment.send_document();
        assert_eq!(deployment.voters().len(), voters);
        deployment
    }

    /// Starts some of the hosts of a deployment for the first time, with the founder among them.
    fn first_start(seed: u64, voters: usize, hosts: u64) -> Self {
        let members =
            MemberSettings { voters, replace_after: REPLACE_AFTER, ..MemberSettings::default() };
        let cluster = Cluster::new(seed, hosts, |settings| settings.members = Some(members));
        Self { cluster, next_version: 0, next_host: hosts + 1 }
    }

    /// Sends a document to one host for some time. Returns whether it was acknowledged.
    fn offer_document(&mut self, host: ReplicaId, duration: Duration) -> bool {
        let end = self.cluster.now + duration.as_micros() as u64;
        while self.cluster.now < end {
            let token = ReplyToken(self.cluster.token());
            let document = Arc::new(document(self.next_version + 1));
            self.cluster.handle(host, ControlEvent::ReplaceDocument(token, document));
            self.run(Duration::from_millis(200));
            if let Some(ControlReply::DocumentDecided(_)) = self.cluster.reply(token) {
                return true;
            }
        }
        false
    }

    fn run(&mut self, duration: Duration) {
        let end = self.cluster.now + duration.as_micros() as u64;
        while self.cluster.now < end {
            for to in self.cluster.up() {
                for from in self.cluster.up() {
                    self.cluster.handle(to, ControlEvent::ReplicaSeen(Box::new(record(from))));
                }
            }
            let remaining = Duration::from_micros(end - self.cluster.now);
            self.cluster.run(REPORT_INTERVAL.min(remaining));
        }
    }

    fn voters(&self) -> Vec<ReplicaId> {
        let leader = self.cluster.leader().unwrap();
        self.cluster.machine(leader).raft().replica_set().0.voters().collect()
    }

    /// Adds a host and returns it after the time that it has to catch up.
    fn add_host(&mut self) -> ReplicaId {
        let host = replica(self.next_host);
        self.next_host += 1;
        self.cluster.nodes.insert(host, Node::default());
        self.cluster.start(host);
        self.run(CATCH_UP);
        host
    }

    /// Stops a host as planned. Returns how long it took.
    fn stop(&mut self, host: ReplicaId) -> Duration {
        let started = self.cluster.now;
        self.cluster.handle(host, ControlEvent::Drain);
        while self.cluster.is_up(host) {
            let elapsed = Duration::from_micros(self.cluster.now - started);
            assert!(elapsed < STOP_TIME, "{host} does not stop");
            self.run(Duration::from_millis(10));
        }
        Duration::from_micros(self.cluster.now - started)
    }

    /// Sends documents until one is acknowledged.
    fn send_document(&mut self) {
        self.next_version += 1;
        let document = Arc::new(document(self.next_version));
        for _ in 0..100 {
            let token = ReplyToken(self.cluster.token());
            if let Some(leader) = self.cluster.leader() {
                let event = ControlEvent::ReplaceDocument(token, Arc::clone(&document));
                self.cluster.handle(leader, event);
            }
            self.run(Duration::from_millis(200));
            if let Some(ControlReply::DocumentDecided(outcome)) = self.cluster.reply(token) {
                assert_eq!(*outcome, DocumentOutcome::Accepted);
                return;
            }
        }
        panic!("version {} is not acknowledged", self.next_version);
    }

    /// Reads the document as an operator does, and checks that it is the one that was acknowledged last.
    fn check_document(&mut self) {
        for _ in 0..60 {
            let token = ReplyToken(self.cluster.token());
            if let Some(leader) = self.cluster.leader() {
                let event = ControlEvent::Query(token, AdminQuery::Document);
                self.cluster.handle(leader, event);
            }
            self.run(Duration::from_millis(200));
            if let Some(ControlReply::Document(document)) = self.cluster.reply(token) {
                let version = document.as_ref().map(|document| document.version);
                assert_eq!(version, Some(DocumentVersion(self.next_version)));
                assert_eq!(self.cluster.violation, None);
                return;
            }
        }
        panic!("the document cannot be read; running: {:?}", self.cluster.up());
    }

    /// Takes two hosts with their disks for good, first the leader, which has acknowledged the document.
    fn lose_two_disks(&mut self) {
        let leader = self.cluster.leader().unwrap();
        let other = self.cluster.up().into_iter().find(|host| *host != leader).unwrap();
        self.cluster.destroy(leader);
        self.cluster.destroy(other);
    }
}

/// Guards against a configuration that one host acknowledges alone at the first start, because it is cut off from the
/// others, and loses with its disk.
#[rstest]
fn a_host_that_starts_alone_acknowledges_nothing(#[values(81, 82, 83)] seed: u64) {
    let mut deployment = Deployment::first_start(seed, 5, 5);
    for other in (2..=5).map(replica) {
        deployment.cluster.block(replica(1), other);
        deployment.cluster.block(other, replica(1));
    }
    assert!(!deployment.offer_document(replica(1), Duration::from_secs(30)));
    deployment.cluster.heal();
    deployment.send_document();
    assert_eq!(deployment.voters().len(), 5);
    deployment.lose_two_disks();
    deployment.check_document();
}

/// Guards against a first start that waits for ever for hosts that may be lost.
#[test]
fn a_first_start_without_two_hosts_acknowledges_after_a_while() {
    let mut deployment = Deployment::first_start(84, 5, 3);
    deployment.run(Duration::from_secs(1));
    assert!(deployment.offer_document(replica(1), Duration::from_secs(20)));
    let mut alone = Deployment::first_start(85, 5, 2);
    assert!(!alone.offer_document(replica(1), Duration::from_secs(20)));
}

/// Guards against a configuration that is lost with two disks soon after a planned replacement, because the host that
/// has left still counted as a voter.
#[rstest]
fn two_disks_may_be_lost_right_after_a_planned_replacement(
    #[values(1, 2, 3, 4, 5)] leaving: u64,
    #[values(11, 12, 13)] seed: u64,
) {
    let mut deployment = Deployment::start(seed, 5);
    let successor = deployment.add_host();
    deployment.stop(replica(leaving));
    let voters = deployment.voters();
    assert!(voters.contains(&successor) && !voters.contains(&replica(leaving)), "{voters:?}");
    deployment.send_document();
    deployment.lose_two_disks();
    deployment.check_document();
}

/// Guards against planned replacements in quick succession that leave no quorum although nothing is lost.
#[rstest]
fn three_planned_replacements_leave_a_quorum(#[values(21, 22, 23, 24)] seed: u64) {
    let mut deployment = Deployment::start(seed, 5);
    for _ in 0..3 {
        deployment.add_host();
    }
    let leader = deployment.cluster.leader().unwrap();
    let others = (1..=5).map(replica).filter(|host| *host != leader).take(2);
    for host in others.chain([leader]).collect::<Vec<_>>() {
        deployment.stop(host);
        deployment.send_document();
    }
    assert_eq!(deployment.voters().len(), 5);
    deployment.lose_two_disks();
    deployment.check_document();
}

/// Guards against three hosts that leave at the same moment and take the quorum with them.
#[rstest]
fn three_hosts_may_be_replaced_at_the_same_moment(#[values(31, 32, 33, 34)] seed: u64) {
    let mut deployment = Deployment::start(seed, 5);
    for _ in 0..3 {
        deployment.add_host();
    }
    for host in [1, 2, 3] {
        deployment.cluster.handle(replica(host), ControlEvent::Drain);
    }
    deployment.run(STOP_TIME);
    assert!((1..=3).all(|host| !deployment.cluster.is_up(replica(host))));
    deployment.send_document();
    deployment.lose_two_disks();
    deployment.check_document();
}

/// Guards against a host whose successor starts only after it has left, and which still counts as a voter when the
/// successor has had its time.
#[rstest]
fn a_successor_takes_over_within_the_time_that_it_has(
    #[values(true, false)] planned: bool,
    #[values(41, 42, 43)] seed: u64,
) {
    let mut deployment = Deployment::start(seed, 5);
    match planned {
        true => drop(deployment.stop(replica(4))),
        false => deployment.cluster.destroy(replica(4)),
    }
    deployment.cluster.destroy(replica(4));
    let successor = deployment.add_host();
    assert!(deployment.voters().contains(&successor));
    deployment.send_document();
    deployment.lose_two_disks();
    deployment.check_document();
}

/// Guards against a restart of each host in turn that takes votes away: with fewer voters, the disks that may be lost
/// could hold all copies of what is acknowledged.
#[test]
fn a_rolling_restart_keeps_all_votes_and_is_quick() {
    let mut deployment = Deployment::start(51, 5);
    for host in (1..=5).map(replica) {
        let elapsed = deployment.stop(host);
        assert!(elapsed < Duration::from_millis(500), "{host} took {elapsed:?} to stop");
        assert_eq!(
            deployment
                .cluster
                .machine(replica(host.0 % 5 + 1))
                .raft()
                .replica_set()
                .0
                .voters()
                .count(),
            5
        );
        deployment.cluster.start(host);
        deployment.run(Duration::from_secs(1));
    }
    assert_eq!(deployment.voters().len(), 5);
    deployment.check_document();
}

/// Guards against the only voter that leaves while its successor stands by as a learner.
#[test]
fn the_only_voter_hands_its_vote_to_its_successor() {
    let mut deployment = Deployment::start(61, 1);
    let successor = deployment.add_host();
    deployment.stop(replica(1));
    deployment.cluster.destroy(replica(1));
    assert_eq!(deployment.voters(), [successor]);
    deployment.check_document();
}

/// Guards against a stop that waits for ever when no leader can allow it.
#[test]
fn a_host_without_a_leader_stops_after_its_drain_timeout() {
    let mut deployment = Deployment::start(71, 5);
    let leader = deployment.cluster.leader().unwrap();
    let host = (1..=5).map(replica).find(|host| *host != leader).unwrap();
    deployment.cluster.isolate(host);
    deployment.stop(host);
}

/// Guards against orders of stops, restarts, replacements and losses within the tolerance that lose an acknowledged
/// document. A host counts as lost from its stop or loss until it, or its successor, has had its time to catch up.
#[rstest]
fn documents_survive_random_planned_and_unplanned_changes(#[values(0, 1, 2, 3)] part: u64) {
    for seed in part * 15..part * 15 + 15 {
        play_random_changes(1_000 + seed);
    }
}

fn play_random_changes(seed: u64) {
    let mut deployment = Deployment::start(seed, 5);
    for _ in 0..6 {
        let host = deployment.cluster.up().into_iter().choose(&mut deployment.cluster.rng).unwrap();
        match deployment.cluster.rng.random_range(0..5) {
            0 => {
                deployment.add_host();
                deployment.stop(host);
                deployment.cluster.destroy(host);
            }
            1 => {
                deployment.stop(host);
                deployment.cluster.destroy(host);
                deployment.add_host();
            }
            2 => {
                deployment.cluster.destroy(host);
                deployment.add_host();
            }
            3 => {
                deployment.stop(host);
                deployment.cluster.start(host);
                deployment.run(CATCH_UP);
            }
            _ => {
                deployment.cluster.crash(host);
                deployment.run(Duration::from_millis(700));
                deployment.cluster.start(host);
                deployment.run(CATCH_UP);
            }
        }
        deployment.send_document();
        let voters = deployment.voters();
        assert_eq!(voters.len(), 5, "seed {seed}: {voters:?}");
    }
    deployment.lose_two_disks();
    deployment.check_document();
}
