//! Restart of all hosts at once.
//!
//! Pattern: after a loss of power all processes come up within half a second, one after the other. Until a majority of
//! the control hosts has elected a leader, entries have no configuration and refuse every request with a
//! `Retry-After` of 300 ms; callers come back only once.

mod control_support;

use std::time::Duration;

use control_support::{Cluster, replica};
use hickoryspan_core::control::raft::ElectionRange;
use hickoryspan_core::reconnect::{ReconnectDelay, ReconnectSettings};
use rstest::rstest;

/// Half of the `Retry-After`, so that the other half is left for the links of the entries.
const ELECTION_LIMIT: Duration = Duration::from_millis(150);

fn restarted_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::voting(seed, 5, |settings| {
        settings.raft.first_election = Some(ElectionRange::FIRST);
        settings.raft.pledge = Duration::ZERO;
    });
    for number in 1..=5 {
        cluster.crash(replica(number));
    }
    cluster.run(Duration::from_secs(1));
    cluster
}

#[rstest]
fn leader_stands_soon_after_the_third_host_starts(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = restarted_cluster(seed);
    cluster.start(replica(2));
    cluster.run(Duration::from_millis(60));
    cluster.start(replica(4));
    cluster.run(Duration::from_millis(250));
    assert_eq!(cluster.leader(), None, "two of five hosts are no majority");
    cluster.start(replica(1));
    cluster.run_until(ELECTION_LIMIT, |cluster| cluster.leader().is_some());
    assert!(cluster.leader().is_some(), "no leader within {ELECTION_LIMIT:?}");
    assert_eq!(cluster.violation, None);
}

// Several candidates at the same moment may split the vote. The next attempt must follow soon.
#[rstest]
fn leader_stands_soon_after_a_common_start(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = restarted_cluster(seed);
    for number in 1..=5 {
        cluster.start(replica(number));
    }
    cluster.run_until(ELECTION_LIMIT, |cluster| cluster.leader().is_some());
    assert!(cluster.leader().is_some(), "no leader within {ELECTION_LIMIT:?}");
    assert_eq!(cluster.violation, None);
}

// A restarted replica must not depose a running leader, however short its first election timeout is.
#[rstest]
fn restarted_follower_keeps_the_leader(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::voting(seed, 5, |settings| {
        settings.raft.first_election = Some(ElectionRange::FIRST);
    });
    let leader = cluster.await_leader();
    let follower = cluster.up().into_iter().find(|id| *id != leader).expect("five replicas run");
    cluster.crash(follower);
    cluster.run(Duration::from_millis(500));
    cluster.start(follower);
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.violation, None);
}

// An entry without any link tries again soon, since its control hosts may start at any moment.
#[test]
fn process_without_links_reconnects_within_a_tenth_of_a_second() {
    let mut delay = ReconnectDelay::new(ReconnectSettings::default());
    for _ in 0..10 {
        assert!(delay.after_failure(false) <= Duration::from_millis(100));
    }
}

// A host that is down for long is not asked at that rate by processes that have other links.
#[test]
fn delay_grows_while_another_link_is_up() {
    let mut delay = ReconnectDelay::new(ReconnectSettings::default());
    let delays: Vec<u128> = (0..7).map(|_| delay.after_failure(true).as_millis()).collect();
    assert_eq!(delays, [20, 40, 80, 160, 320, 640, 700]);
    assert_eq!(delay.after_failure(false).as_millis(), 100, "the last other link is lost");
    delay.reset();
    assert_eq!(delay.after_failure(true).as_millis(), 20);
}
