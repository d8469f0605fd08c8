//! Tests of the operator's orders to evacuate failure domains, without a network: the last order in the log wins, and
//! what was acknowledged survives resent orders, snapshots, restarts and the loss of hosts.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::collections::BTreeSet;
use std::time::Duration;

use ciborium::Value;
use control_support::*;
use hickoryspan_core::control::commands::{decode, encode};
use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_core::control::state::ReplicatedState;
use hickoryspan_core::gateway::targets::evacuations::{
    EvacuationAction, EvacuationOrder, EvacuationState,
};
use hickoryspan_core::types::FailureDomain;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rstest::rstest;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn start(domain: &str) -> EvacuationOrder {
    EvacuationOrder { domain: domain.parse().unwrap(), action: EvacuationAction::Start }
}

fn finish(domain: &str) -> EvacuationOrder {
    EvacuationOrder { domain: domain.parse().unwrap(), action: EvacuationAction::Finish }
}

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Sends an order until it is acknowledged.
fn order(cluster: &mut Cluster, order: &EvacuationOrder) -> EvacuationState {
    match cluster.ask(|token| ControlEvent::Evacuate(token, order.clone())) {
        ControlReply::Evacuated(state) => state,
        other => panic!("{other:?}"),
    }
}

fn few_entries(settings: &mut ControlSettings) {
    settings.snapshot_log_entries = 4;
}

/// Guards against a resent order that counts as a change, and against one that is refused.
#[test]
fn a_resent_order_is_acknowledged_and_changes_nothing() {
    let mut cluster = Cluster::voting(1, 3, |_| {});
    let first = order(&mut cluster, &start("a"));
    let resent = order(&mut cluster, &start("a"));
    assert_eq!(first.domains, domains(&["a"]));
    assert_eq!(resent, first);
    let finished = order(&mut cluster, &finish("a"));
    assert_eq!(finished.domains, domains(&[]));
    assert!(finished.revision > first.revision);
    assert_eq!(order(&mut cluster, &finish("a")), finished);
    assert_eq!(cluster.status().evacuations, finished);
}

/// Guards against orders that are acknowledged by a leader without a quorum.
#[test]
fn an_order_without_a_quorum_is_not_acknowledged() {
    let mut cluster = Cluster::voting(2, 3, |_| {});
    let leader = cluster.await_leader();
    let others: Vec<_> = cluster.up().into_iter().filter(|host| *host != leader).collect();
    for host in others {
        cluster.crash(host);
    }
    let token = ReplyToken(cluster.token());
    cluster.handle(leader, ControlEvent::Evacuate(token, start("a")));
    cluster.run(Duration::from_secs(10));
    let reply = cluster.reply(token);
    assert!(!matches!(reply, Some(ControlReply::Evacuated(_))), "{reply:?}");
}

/// Guards against evacuations that are lost when all hosts lose power at the same moment, from the log and from a
/// snapshot.
#[rstest]
fn an_evacuation_survives_a_common_loss_of_power(
    #[values(few_entries, |_: &mut ControlSettings| {})] settings: fn(&mut ControlSettings),
    #[values(3, 5)] hosts: u64,
) {
    let mut cluster = Cluster::voting(3, hosts, settings);
    order(&mut cluster, &start("b"));
    for _ in 0..8 {
        order(&mut cluster, &start("a"));
        order(&mut cluster, &finish("a"));
    }
    let last = order(&mut cluster, &start("c"));
    for host in cluster.up() {
        cluster.crash(host);
    }
    for host in (1..=hosts).map(replica) {
        cluster.start(host);
    }
    assert_eq!(cluster.status().evacuations, last);
    assert_eq!(last.domains, domains(&["b", "c"]));
    assert_eq!(cluster.violation, None);
}

/// Guards against a host that passes on what it had before a restart, although later orders were acknowledged, and against
/// a new leader that passes on its state before it knows what was committed.
#[rstest]
fn a_restarted_host_has_not_caught_up_before_it_knows_the_last_order(
    #[values(true, false)] loses_leader: bool,
    #[values(4, 5, 6, 7)] seed: u64,
) {
    let mut cluster = Cluster::voting(seed, 3, few_entries);
    order(&mut cluster, &start("a"));
    cluster.run(Duration::from_secs(1));
    let leader = cluster.await_leader();
    let late = cluster.up().into_iter().find(|host| *host != leader).unwrap();
    cluster.crash(late);
    let last = order(&mut cluster, &finish("a"));
    if loses_leader {
        cluster.crash(leader);
    }
    cluster.start(late);
    assert!(!cluster.machine(late).raft().has_caught_up());
    for _ in 0..10_000 {
        cluster.run(Duration::from_millis(1));
        let machine = cluster.machine(late);
        if machine.raft().has_caught_up() {
            assert_eq!(machine.state().evacuations(), &last);
            return;
        }
    }
    panic!("the host does not catch up");
}

/// Guards against a replica that cannot read the snapshot of an earlier release.
#[test]
fn a_snapshot_without_evacuations_is_read() {
    let Value::Map(fields) = decode("value", &encode(&ReplicatedState::default())).unwrap() else {
        panic!("the state is a map");
    };
    let evacuations = Value::Text("evacuations".to_owned());
    let earlier: Vec<_> = fields.into_iter().filter(|(name, _)| *name != evacuations).collect();
    let state: ReplicatedState = decode("state", &encode(&Value::Map(earlier))).unwrap();
    assert_eq!(state, ReplicatedState::default());
}

/// Guards against orders of faults in which an acknowledged order is lost, or an earlier order wins over a later one.
/// Replies may be lost, so an order that got none may or may not be in force, until the next one for its domain.
#[rstest]
fn the_last_acknowledged_order_for_each_domain_is_in_force(#[values(0, 1, 2, 3)] part: u64) {
    for seed in part * 10..part * 10 + 10 {
        play_random_faults(100 + seed);
    }
}

fn play_random_faults(seed: u64) {
    let mut cluster = Cluster::voting(seed, 5, few_entries);
    let mut expected = BTreeSet::new();
    for _ in 0..12 {
        let domain = DOMAINS[cluster.rng.random_range(0..DOMAINS.len())];
        let next = if cluster.rng.random_bool(0.5) { start(domain) } else { finish(domain) };
        if cluster.rng.random_bool(0.3) {
            // The reply to this one is lost, and the operator goes on with the opposite order.
            let leader = cluster.await_leader();
            let token = ReplyToken(cluster.token());
            let opposite = if next.action == EvacuationAction::Start { finish } else { start };
            cluster.handle(leader, ControlEvent::Evacuate(token, opposite(domain)));
            cluster.run(Duration::from_millis(300));
        }
        let down = cluster.rng.random_range(0..=2);
        let hosts = cluster.up().into_iter();
        for host in hosts.sample(&mut cluster.rng, down) {
            cluster.crash(host);
        }
        order(&mut cluster, &next);
        match next.action {
            EvacuationAction::Start => expected.insert(next.domain),
            EvacuationAction::Finish => expected.remove(&next.domain),
        };
        if cluster.rng.random_bool(0.3) {
            for host in cluster.up() {
                cluster.crash(host);
            }
        }
        for host in (1..=5).map(replica) {
            if !cluster.is_up(host) {
                cluster.start(host);
            }
        }
    }
    assert_eq!(cluster.status().evacuations.domains, expected, "seed {seed}");
    assert_eq!(cluster.violation, None, "seed {seed}");
}
