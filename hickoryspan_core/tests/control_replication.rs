//! Tests of several control replicas: elections, membership changes, snapshots, leadership transfer and pledges.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::collections::BTreeMap;
use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::raft::{LogPosition, ReplicaBody, ReplicaMessage, RoundNumber};
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;
use rstest::rstest;

fn assert_no_violation(cluster: &Cluster) {
    assert_eq!(cluster.violation, None);
}

fn accepted(outcome: &AdminOutcome) -> bool {
    matches!(outcome, AdminOutcome::Accepted { .. })
}

// A cluster must elect a new leader after the loss of one, and keep accepted commands.
#[rstest]
#[case(3)]
#[case(5)]
fn a_new_leader_keeps_accepted_commands(#[case] count: u64) {
    let mut cluster = Cluster::voting(11, count, |_| {});
    let outcome = cluster.admin_as("rosa", "c1", apply_sheet(1, "monday"));
    assert!(accepted(&outcome));
    let leader = cluster.await_leader();
    cluster.crash(leader);
    cluster.run_until(Duration::from_secs(6), |cluster| cluster.leader().is_some());
    assert_ne!(cluster.await_leader(), leader);
    assert_eq!(cluster.admin_as("rosa", "c1", apply_sheet(1, "monday")), outcome);
    assert_no_violation(&cluster);
}

// An isolated leader must not answer reads, because the other replicas may have accepted newer commands.
#[test]
fn an_isolated_leader_steps_down_and_answers_no_read() {
    let mut cluster = Cluster::voting(12, 3, |_| {});
    let old = cluster.await_leader();
    cluster.isolate(old);
    let token = ReplyToken(cluster.token());
    cluster.handle(old, ControlEvent::Query(token, AdminQuery::Status));
    cluster.run(Duration::from_secs(5));
    assert!(matches!(cluster.reply(token), Some(ControlReply::Unavailable { .. })));
    assert!(!cluster.machine(old).raft().is_leader());
    assert_ne!(cluster.await_leader(), old);
    assert!(accepted(&cluster.admin("rosa", apply_sheet(1, "monday"))));
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.machine(old).state().view().revision, RevisionNumber(1));
    assert_no_violation(&cluster);
}

// The loss of a host right after another one was replaced must not lose an accepted sheet.
#[test]
fn a_second_loss_after_a_repair_loses_nothing() {
    let mut cluster = Cluster::voting(13, 3, |settings| {
        settings.snapshot_log_entries = 20;
        settings.raft.retained_entries = 5;
        settings.raft.snapshot_chunk_bytes = 512;
    });
    let mut outcomes = Vec::new();
    for number in 1..=60 {
        outcomes.push(cluster.admin_as("rosa", &format!("s{number}"), apply_sheet(number, "d")));
    }
    cluster.destroy(replica(3));
    assert!(accepted(&cluster.admin("rosa", AdminAction::RemoveReplica(replica(3)))));
    cluster.nodes.insert(replica(4), Node::default());
    cluster.start(replica(4));
    assert!(accepted(&cluster.admin("rosa", AdminAction::AddReplica(record(replica(4))))));
    cluster.run_until(Duration::from_secs(20), |cluster| {
        let Some(leader) = cluster.leader() else { return false };
        let (set, committed) = cluster.machine(leader).raft().replica_set();
        committed && set.is_voter(replica(4)) && set.find(replica(3)).is_none()
    });
    let leader = cluster.await_leader();
    let other = if leader == replica(4) { replica(1) } else { leader };
    cluster.destroy(other);
    for (number, outcome) in (1..=60).zip(outcomes) {
        let again = cluster.admin_as("rosa", &format!("s{number}"), apply_sheet(number, "d"));
        assert_eq!(again, outcome);
    }
    assert_no_violation(&cluster);
}

// A leader must not count its own entry before it is durable, or the loss of one host could remove a committed entry.
#[test]
fn a_leader_counts_itself_only_after_its_sync() {
    let mut cluster = Cluster::voting(26, 3, |_| {});
    let leader = cluster.await_leader();
    let cut_off = cluster.up().into_iter().find(|id| *id != leader).unwrap();
    cluster.isolate(cut_off);
    cluster.nodes.get_mut(&leader).unwrap().disk_free_at = cluster.now + 300_000;
    let token = ReplyToken(cluster.token());
    let command = command("rosa", "c1", apply_sheet(1, "monday"));
    cluster.handle(leader, ControlEvent::Admin(token, Box::new(command)));
    cluster.run(Duration::from_millis(250));
    assert_eq!(cluster.reply(token), None);
    cluster.run(Duration::from_millis(100));
    assert!(matches!(cluster.reply(token), Some(ControlReply::Admin(_))));
    assert_no_violation(&cluster);
}

// A replica with an empty disk may have lost its vote of a term, and a second vote could elect a second leader.
#[test]
fn an_empty_disk_never_votes() {
    let mut cluster = Cluster::new(14, 2, |_| {});
    cluster.run(Duration::from_secs(1));
    let message = ReplicaMessage {
        term: TermNumber(9),
        address: record(replica(1)).peer_address,
        founder: None,
        body: ReplicaBody::Vote { last: Default::default(), transfer: false },
    };
    let mut actions = Vec::new();
    let now = cluster.clock();
    let node = cluster.nodes.get_mut(&replica(2)).unwrap();
    let machine = node.machine.as_mut().unwrap();
    machine.handle(now, ControlEvent::Replica(replica(1), message), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.machine(replica(2)).raft().term(), TermNumber(0));
}

// A candidate that lacks an accepted sheet must get no vote, not even in a leadership transfer, because as leader it
// would revert the sheet.
#[test]
fn a_candidate_with_a_shorter_log_gets_no_vote() {
    let mut cluster = Cluster::voting(27, 3, |_| {});
    assert!(accepted(&cluster.admin("rosa", apply_sheet(1, "monday"))));
    let leader = cluster.await_leader();
    let voter = cluster.up().into_iter().find(|id| *id != leader).unwrap();
    let candidate = cluster.up().into_iter().find(|id| ![leader, voter].contains(id)).unwrap();
    cluster.isolate(leader);
    let last = LogPosition { term: TermNumber(1), index: LogIndex(1) };
    let message = ReplicaMessage {
        term: TermNumber(40),
        address: record(candidate).peer_address,
        founder: Some(replica(1)),
        body: ReplicaBody::Vote { last, transfer: true },
    };
    cluster.handle(voter, ControlEvent::Replica(candidate, message));
    let machine = cluster.machine(voter);
    assert_eq!(machine.raft().term(), TermNumber(40));
    cluster.run(Duration::from_millis(20));
    let disk = &cluster.nodes[&voter].disk.state.hard_state;
    assert_eq!(*disk, HardState { term: TermNumber(40), voted_for: None });
}

// A leader that is removed must hand over first. If it alone had the entry that removes it, it would start no
// election, and its longer log would keep the others from winning one, so the cluster would have no leader for ever
// (found by a random history with 3 replicas and seed 2790).
#[test]
fn a_removed_leader_hands_over() {
    let mut cluster = Cluster::voting(28, 3, |_| {});
    let leader = cluster.await_leader();
    assert!(accepted(&cluster.admin("rosa", AdminAction::RemoveReplica(leader))));
    cluster.run_until(Duration::from_millis(400), |cluster| {
        let Some(other) = cluster.leader().filter(|other| *other != leader) else { return false };
        let (set, committed) = cluster.machine(other).raft().replica_set();
        committed && set.find(leader).is_none()
    });
    assert_no_violation(&cluster);
}

// A replacement must not reduce the number of voters while the new replica has not received the log.
#[test]
fn a_running_voter_stays_until_its_successor_votes() {
    let mut cluster = Cluster::voting(29, 3, |_| {});
    let removed = cluster.up().into_iter().find(|id| Some(*id) != cluster.leader()).unwrap();
    cluster.nodes.insert(replica(4), Node::default());
    assert!(accepted(&cluster.admin("rosa", AdminAction::AddReplica(record(replica(4))))));
    assert!(accepted(&cluster.admin("rosa", AdminAction::RemoveReplica(removed))));
    cluster.run(Duration::from_secs(3));
    let voters = |cluster: &mut Cluster| {
        let leader = cluster.await_leader();
        cluster.machine(leader).raft().replica_set().0.voters().collect::<Vec<_>>()
    };
    assert_eq!(voters(&mut cluster).len(), 3);
    cluster.start(replica(4));
    cluster.run(Duration::from_secs(3));
    let after = voters(&mut cluster);
    assert!(after.len() == 3 && after.contains(&replica(4)) && !after.contains(&removed));
    assert_no_violation(&cluster);
}

// A removed replica that is still running must not depose the leader by starting elections in newer terms.
#[test]
fn a_removed_replica_does_not_depose_the_leader() {
    let mut cluster = Cluster::voting(15, 3, |_| {});
    let leader = cluster.await_leader();
    let removed = if leader == replica(3) { replica(2) } else { replica(3) };
    assert!(accepted(&cluster.admin("rosa", AdminAction::RemoveReplica(removed))));
    cluster.run(Duration::from_secs(1));
    let term = cluster.status().term;
    cluster.run(Duration::from_secs(20));
    let message = ReplicaMessage {
        term: TermNumber(40),
        address: record(removed).peer_address,
        founder: Some(replica(1)),
        body: ReplicaBody::Vote {
            last: LogPosition { term: TermNumber(39), index: LogIndex(9_999) },
            transfer: false,
        },
    };
    for id in cluster.up().into_iter().filter(|id| *id != removed) {
        cluster.handle(id, ControlEvent::Replica(removed, message.clone()));
    }
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.status().term, term);
    assert_no_violation(&cluster);
}

// A planned stop must not wait for an election timeout, because orders would be interrupted meanwhile.
#[test]
fn a_planned_stop_hands_over_leadership() {
    let mut cluster = Cluster::voting(16, 3, |_| {});
    let leader = cluster.await_leader();
    cluster.handle(leader, ControlEvent::Drain);
    cluster.run_until(Duration::from_millis(400), |cluster| {
        cluster.leader().is_some_and(|other| other != leader)
    });
    cluster.run(Duration::from_millis(500));
    assert!(!cluster.is_up(leader));
    assert_no_violation(&cluster);
}

// Without a quorum no member can renew its lease, so none may expire. A new leader has not seen earlier renewals, so
// it must start all leases anew.
#[test]
fn members_stay_while_there_is_no_quorum_and_after_a_leader_change() {
    let mut cluster = Cluster::voting(36, 3, |_| {});
    for number in 1..=3 {
        cluster.announce(&target(&format!("t{number}"), 1, 1));
    }
    cluster.join("e1", 1);
    let ids = cluster.up();
    ids.iter().for_each(|id| cluster.isolate(*id));
    cluster.run(Duration::from_secs(60));
    cluster.heal();
    cluster.await_leader();
    cluster.run(Duration::from_secs(4));
    let status = cluster.status();
    assert_eq!((status.targets, status.entries.len()), (3, 1));
    cluster.crash(status.replica);
    cluster.await_leader();
    cluster.run(Duration::from_secs(4));
    let status = cluster.status();
    assert_eq!((status.targets, status.entries.len()), (3, 1));
    cluster.run(Duration::from_secs(20));
    let status = cluster.status();
    assert_eq!((status.targets, status.entries.len()), (0, 0));
    assert_no_violation(&cluster);
}

// A full disk must not lose accepted commands, and the replica must recover when there is space again.
#[test]
fn a_full_disk_refuses_and_recovers() {
    let mut cluster = Cluster::voting(17, 3, |_| {});
    let full = cluster.await_leader();
    cluster.nodes.get_mut(&full).unwrap().disk.full = true;
    assert!(accepted(&cluster.admin_as("rosa", "c1", apply_sheet(1, "monday"))));
    assert_ne!(cluster.await_leader(), full);
    assert!(cluster.machine(full).raft().is_disk_full());
    cluster.nodes.get_mut(&full).unwrap().disk.full = false;
    cluster.run(Duration::from_secs(5));
    assert!(!cluster.machine(full).raft().is_disk_full());
    assert_eq!(cluster.machine(full).state().view().revision, RevisionNumber(1));
    assert_no_violation(&cluster);
}

// After a failed sync the state of the log is unknown, so the replica must stop.
#[test]
fn a_failed_sync_stops_the_replica() {
    let mut cluster = Cluster::voting(18, 3, |_| {});
    let leader = cluster.await_leader();
    cluster.nodes.get_mut(&leader).unwrap().disk.broken = true;
    assert!(accepted(&cluster.admin("rosa", apply_sheet(1, "monday"))));
    assert!(!cluster.is_up(leader));
    assert!(cluster.violation.as_ref().is_some_and(|text| text.contains("sync: log: injected")));
}

// The only replica of a cluster must recover from a full disk without a restart.
#[test]
fn a_single_replica_recovers_from_a_full_disk() {
    let mut cluster = Cluster::voting(23, 1, |_| {});
    cluster.nodes.get_mut(&replica(1)).unwrap().disk.full = true;
    let token = ReplyToken(cluster.token());
    let command = command("rosa", "c1", apply_sheet(1, "monday"));
    cluster.handle(replica(1), ControlEvent::Admin(token, Box::new(command)));
    cluster.run(Duration::from_secs(5));
    assert!(matches!(cluster.reply(token), Some(ControlReply::Unavailable { .. })));
    cluster.nodes.get_mut(&replica(1)).unwrap().disk.full = false;
    assert!(accepted(&cluster.admin_as("rosa", "c1", apply_sheet(1, "monday"))));
    assert_no_violation(&cluster);
}

// Promoting an unresponsive learner would raise the majority without adding a replica that answers.
#[test]
fn an_unresponsive_learner_is_not_promoted() {
    let mut cluster = Cluster::voting(24, 3, |_| {});
    cluster.nodes.insert(replica(4), Node::default());
    cluster.start(replica(4));
    cluster.isolate(replica(4));
    assert!(accepted(&cluster.admin("rosa", AdminAction::AddReplica(record(replica(4))))));
    cluster.run(Duration::from_secs(5));
    let leader = cluster.await_leader();
    assert!(!cluster.machine(leader).raft().replica_set().0.is_voter(replica(4)));
    cluster.heal();
    cluster.run_until(Duration::from_secs(5), |cluster| {
        cluster.machine(leader).raft().replica_set().0.is_voter(replica(4))
    });
    assert_no_violation(&cluster);
}

// Two clusters have different entries under the same indexes, so their replicas must not exchange entries.
#[test]
fn a_replica_of_another_cluster_is_ignored() {
    let mut cluster = Cluster::voting(25, 1, |_| {});
    let append = |founder: u64| ReplicaMessage {
        term: TermNumber(50),
        address: record(replica(9)).peer_address,
        founder: Some(replica(founder)),
        body: ReplicaBody::Append {
            previous: Default::default(),
            entries: Vec::new(),
            commit: LogIndex(0),
            round: RoundNumber(1),
        },
    };
    cluster.handle(replica(1), ControlEvent::Replica(replica(9), append(9)));
    assert!(cluster.machine(replica(1)).raft().is_leader());
    cluster.handle(replica(1), ControlEvent::Replica(replica(9), append(1)));
    assert!(!cluster.machine(replica(1)).raft().is_leader());
}

fn pledge(cluster: &mut Cluster, id: ReplicaId) -> Option<Duration> {
    let link = LinkId(cluster.token());
    cluster.handle(id, ControlEvent::Entry(link, EntryMessage::Resync));
    match cluster.take_messages(link)[..] {
        [ControlMessage::NotLeader { leader: None, pledge }] => Some(pledge),
        _ => None,
    }
}

// Entries serve their current state under a majority of pledges, so nothing may be committed meanwhile. Pledges must
// also not delay an election for long once the replicas reach each other again.
#[rstest]
fn nothing_is_committed_under_a_majority_of_pledges(#[values(19, 20, 21, 22)] seed: u64) {
    let mut cluster = Cluster::voting(seed, 3, |_| {});
    let ids: Vec<ReplicaId> = cluster.nodes.keys().copied().collect();
    let has_pledge_majority = |pledges: &BTreeMap<ReplicaId, u64>, now: u64| {
        pledges.values().filter(|until| **until > now).count() >= 2
    };
    ids.iter().for_each(|id| cluster.isolate(*id));
    cluster.run(Duration::from_secs(3));
    let mut pledges = BTreeMap::new();
    let mut covered = 0;
    for round in 0..100 {
        if round == 50 {
            cluster.heal();
        }
        for id in &ids {
            let given = pledge(&mut cluster, *id).filter(|pledge| !pledge.is_zero());
            if let Some(pledge) = given {
                pledges.insert(*id, cluster.now + pledge.as_micros() as u64);
            }
        }
        let commit =
            |cluster: &Cluster| ids.iter().map(|id| cluster.machine(*id).raft().commit()).max();
        let before = commit(&cluster);
        cluster.run(Duration::from_millis(100));
        if has_pledge_majority(&pledges, cluster.now) {
            covered += 1;
            assert_eq!(commit(&cluster), before, "a commit during a majority of pledges");
        }
    }
    assert!(covered >= 50, "a majority of pledges in only {covered} of 100 rounds");
    assert!(cluster.leader().is_some(), "pledges kept a leader away for 5 s");
    assert_no_violation(&cluster);
}

fn answers_append(cluster: &mut Cluster, id: ReplicaId, leader: ReplicaId) -> bool {
    let now = cluster.clock();
    let machine = cluster.nodes.get_mut(&id).unwrap().machine.as_mut().unwrap();
    let message = ReplicaMessage {
        term: machine.raft().term(),
        address: record(leader).peer_address,
        founder: Some(replica(1)),
        body: ReplicaBody::Append {
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit: LogIndex(0),
            round: RoundNumber(1),
        },
    };
    let mut actions = Vec::new();
    machine.handle(now, ControlEvent::Replica(leader, message), &mut actions);
    actions.iter().any(|action| matches!(action, ControlAction::SendReplica { .. }))
}

// A leader that becomes reachable again must not commit with replicas that have given a pledge.
#[test]
fn a_pledged_replica_acknowledges_no_leader() {
    let mut cluster = Cluster::voting(37, 3, |_| {});
    let leader = cluster.await_leader();
    let ids = cluster.up();
    let follower = *ids.iter().find(|id| **id != leader).unwrap();
    assert!(answers_append(&mut cluster, follower, leader));
    ids.iter().for_each(|id| cluster.isolate(*id));
    cluster.run(Duration::from_secs(3));
    let given = pledge(&mut cluster, follower).unwrap();
    cluster.run(given - Duration::from_millis(1));
    assert!(!answers_append(&mut cluster, follower, leader));
    cluster.run(Duration::from_millis(1));
    assert!(answers_append(&mut cluster, follower, leader));
}

// Delayed acknowledgements that were sent before a pledge must not complete a commit while it is valid.
#[test]
fn late_acknowledgements_commit_nothing_under_pledges() {
    let mut covered = 0;
    for seed in 0..60 {
        let mut cluster = Cluster::voting(100 + seed, 3, |_| {});
        let leader = cluster.await_leader();
        let ids: Vec<ReplicaId> = cluster.nodes.keys().copied().collect();
        cluster.faults.slow_to = Some((leader, 1_300_000));
        let token = ReplyToken(cluster.token());
        let command = command("rosa", "c1", apply_sheet(1, "monday"));
        cluster.handle(leader, ControlEvent::Admin(token, Box::new(command)));
        cluster.run(Duration::from_millis(30));
        // The followers receive nothing any more, but their delayed messages still arrive at the leader.
        for from in &ids {
            ids.iter().filter(|to| **to != leader).for_each(|to| cluster.block(*from, *to));
        }
        let mut pledges = BTreeMap::new();
        for _ in 0..80 {
            for id in ids.iter().filter(|id| **id != leader) {
                let given = pledge(&mut cluster, *id).filter(|pledge| !pledge.is_zero());
                if let Some(pledge) = given {
                    pledges.insert(*id, cluster.now + pledge.as_micros() as u64);
                }
            }
            let before = cluster.machine(leader).raft().commit();
            cluster.run(Duration::from_millis(20));
            if pledges.values().filter(|until| **until > cluster.now).count() == 2 {
                covered += 1;
                let after = cluster.machine(leader).raft().commit();
                assert_eq!(after, before, "seed {seed}: a commit under pledges");
            }
        }
        assert_no_violation(&cluster);
    }
    assert!(covered > 600, "a majority of pledges in only {covered} rounds");
}
