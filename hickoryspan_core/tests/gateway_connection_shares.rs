//! Which target gets one of the connections that an entry may have to all of them.

use hickoryspan_core::gateway::targets::connection_shares::ConnectionShares;
use hickoryspan_core::types::TargetId;

fn target(number: usize) -> TargetId {
    TargetId::new(format!("t{number}")).expect("a name")
}

// Guards against a crowd of requests that one target never answers, and that keep requests for all others waiting.
#[test]
fn a_stuck_target_leaves_a_connection_for_each_other_one() {
    let mut shares = ConnectionShares::new(10);
    for number in 0..4 {
        assert!(shares.try_open(&target(number)));
        shares.close(&target(number));
    }
    let opened = (0..20).filter(|_| shares.try_open(&target(0))).count();
    assert_eq!(opened, 7);
    for number in 1..4 {
        assert!(shares.try_open(&target(number)));
    }
    assert_eq!(shares.total(), 10);
    // A second one for the others would be one too many.
    assert!(!shares.try_open(&target(1)));
    // One that closes goes to the target without any.
    shares.close(&target(1));
    assert!(!shares.try_open(&target(0)));
    assert!(shares.try_open(&target(1)));
}

// Guards against a single service that cannot use what nobody else needs.
#[test]
fn a_lone_target_gets_all() {
    let mut shares = ConnectionShares::new(10);
    assert_eq!((0..20).filter(|_| shares.try_open(&target(0))).count(), 10);
}

// Guards against an entry that opens nothing, because it knows more targets than it may have connections.
#[test]
fn more_targets_than_connections_share_what_there_is() {
    let mut shares = ConnectionShares::new(10);
    let opened = (0..20).filter(|number| shares.try_open(&target(*number))).count();
    assert_eq!(opened, 10);
    shares.close(&target(0));
    assert!(shares.try_open(&target(1)));
}

// Guards against targets that are gone and for which connections are kept free.
#[test]
fn forgotten_targets_need_no_connection() {
    let mut shares = ConnectionShares::new(10);
    for number in 0..6 {
        shares.try_open(&target(number));
        shares.close(&target(number));
    }
    shares.retain(|known| *known == target(0));
    assert_eq!((0..20).filter(|_| shares.try_open(&target(0))).count(), 10);
}
