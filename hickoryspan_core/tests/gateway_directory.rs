//! Tests how the directory handles announcements that arrive late, twice, via other hosts, or from
//! an earlier process.

use std::time::Duration;

use hickoryspan_core::gateway::membership::messages::TargetRenewal;
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, DirectoryChange, TargetAnnouncement, TargetDeparture, TargetDirectory,
    TargetPhase,
};
use hickoryspan_core::gateway::targets::liveness::LivenessTable;
use hickoryspan_core::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};

const LEASE: Duration = Duration::from_secs(6);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(seconds * 1_000_000)
}

fn target(name: &str) -> TargetId {
    TargetId::new(name).expect("a target name")
}

fn announcement(name: &str, started: u64, sequence: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        target: target(name),
        age: AnnouncementAge { started: WallTime(started), sequence },
        service: ServiceId::new("search").expect("a service name"),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: FailureDomain::new("a").expect("a domain name"),
        slots: 2,
        phase: TargetPhase::Ready,
        cold: Duration::ZERO,
    }
}

#[test]
fn a_late_announcement_does_not_undo_a_drain() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 1));
    let draining = TargetAnnouncement { phase: TargetPhase::Draining, ..announcement("t", 10, 3) };
    assert_eq!(directory.announce(at(2), draining), DirectoryChange::Changed);
    assert_eq!(directory.announce(at(3), announcement("t", 10, 2)), DirectoryChange::Stale);
    let known = directory.find(&target("t")).unwrap();
    assert_eq!(known.announcement.phase, TargetPhase::Draining);
}

#[test]
fn a_departed_target_does_not_come_back_by_a_delayed_announcement() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 1));
    let departure = TargetDeparture { target: target("t"), started: None };
    assert!(directory.depart(at(2), &departure));
    assert_eq!(directory.announce(at(3), announcement("t", 10, 9)), DirectoryChange::Stale);
    // A new process with the same name is accepted.
    assert_eq!(directory.announce(at(4), announcement("t", 11, 1)), DirectoryChange::Changed);
}

#[test]
fn a_delayed_departure_does_not_end_a_later_process() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 11, 1));
    let departure = TargetDeparture { target: target("t"), started: Some(WallTime(10)) };
    assert!(!directory.depart(at(2), &departure));
    assert!(directory.find(&target("t")).is_some());
}

#[test]
fn a_later_process_takes_the_address_of_an_earlier_one() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("old", 10, 5));
    directory.announce(at(2), announcement("new", 20, 1));
    assert!(directory.find(&target("old")).is_none());
    assert_eq!(directory.announce(at(3), announcement("old", 10, 6)), DirectoryChange::Stale);
    assert!(directory.find(&target("new")).is_some());
}

#[test]
fn a_renewal_needs_the_same_process_and_a_higher_number() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 5));
    let age = |started, sequence| AnnouncementAge { started: WallTime(started), sequence };
    assert!(!directory.renew(at(2), &target("t"), age(10, 5)));
    assert!(!directory.renew(at(2), &target("t"), age(9, 6)));
    assert!(directory.renew(at(2), &target("t"), age(10, 6)));
}

#[test]
fn an_unresponsive_target_is_removed_after_its_lease() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 1));
    assert!(directory.expire(at(7), LEASE).is_empty());
    let expired = directory.expire(at(8), LEASE);
    assert_eq!(expired.len(), 1);
    assert!(directory.find(&target("t")).is_none());
}

#[test]
fn a_lease_that_expired_at_another_host_does_not_outweigh_a_later_announcement() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 7));
    let age = AnnouncementAge { started: WallTime(10), sequence: 6 };
    assert!(!directory.drop_expired(&TargetRenewal { target: target("t"), age }));
    let age = AnnouncementAge { started: WallTime(10), sequence: 7 };
    assert!(directory.drop_expired(&TargetRenewal { target: target("t"), age }));
}

#[test]
fn a_restored_target_keeps_only_the_rest_of_its_lease() {
    let mut directory = TargetDirectory::default();
    directory.restore(at(4), announcement("t", 10, 7));
    assert!(directory.expire(at(10), LEASE).is_empty());
    assert_eq!(directory.expire(at(11), LEASE).len(), 1);
}

#[test]
fn a_renewal_does_not_count_as_a_change() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 1));
    let draining = TargetAnnouncement { phase: TargetPhase::Draining, ..announcement("t", 10, 3) };
    directory.announce(at(2), draining.clone());
    let renewed = AnnouncementAge { started: WallTime(10), sequence: 9 };
    directory.announce(at(3), TargetAnnouncement { age: renewed, ..draining });
    let known = directory.find(&target("t")).expect("the target");
    // An entry that has only the first announcement must request the drain that it missed.
    assert_eq!(known.changed, AnnouncementAge { started: WallTime(10), sequence: 3 });
    assert_eq!(known.announcement.age, renewed);
}

/// Guards against an announcement of another writer that moves a target of a running process to another service.
#[test]
fn a_process_does_not_change_its_service() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement("t", 10, 1));
    let service = ServiceId::new("other").expect("a service name");
    let odd = TargetAnnouncement { service: service.clone(), ..announcement("t", 10, 900) };
    assert_eq!(directory.announce(at(2), odd), DirectoryChange::Stale);
    assert_eq!(directory.announce(at(3), announcement("t", 10, 2)), DirectoryChange::Renewed);
    // The next process may serve another one.
    let next = TargetAnnouncement { service, ..announcement("t", 11, 1) };
    assert_eq!(directory.announce(at(4), next), DirectoryChange::Changed);
}

fn announcement_at(name: &str, port: u16) -> TargetAnnouncement {
    TargetAnnouncement { address: ([127, 0, 0, 1], port).into(), ..announcement(name, 10, 1) }
}

/// Guards against a flood of invented departures that makes a directory forget which true targets have left.
#[test]
fn departures_of_unknown_targets_do_not_displace_those_of_known_ones() {
    let mut directory = TargetDirectory::new(8);
    directory.announce(at(1), announcement("t", 10, 1));
    assert!(directory.depart(at(2), &TargetDeparture { target: target("t"), started: None }));
    for number in 0..100 {
        let invented = target(&format!("invented-{number}"));
        directory.depart(at(3), &TargetDeparture { target: invented, started: Some(WallTime(1)) });
    }
    assert_eq!(directory.departures().count(), 3);
    assert_eq!(directory.announce(at(4), announcement("t", 10, 9)), DirectoryChange::Stale);
    assert!(directory.has_known(&target("t")));
    assert!(!directory.has_known(&target("invented-99")));
    // The newest are kept, until they are old.
    let invented = announcement_at("invented-99", 1);
    let invented = TargetAnnouncement {
        age: AnnouncementAge { started: WallTime(1), sequence: 1 },
        ..invented
    };
    assert_eq!(directory.announce(at(4), invented), DirectoryChange::Stale);
    directory.expire(at(124), LEASE);
    assert_eq!(directory.departures().count(), 0);
}

/// Guards against a full directory that no longer renews the targets it knows, or keeps the room of one that has gone.
#[test]
fn a_full_directory_renews_its_targets_and_takes_others_when_there_is_room() {
    let mut directory = TargetDirectory::new(2);
    directory.announce(at(1), announcement_at("a", 1));
    directory.announce(at(1), announcement_at("b", 2));
    assert_eq!(directory.announce(at(2), announcement_at("c", 3)), DirectoryChange::Full);
    assert!(directory.take_left_out().is_empty());
    assert!(directory.is_left_out(&target("c")));
    let age = AnnouncementAge { started: WallTime(10), sequence: 2 };
    let renewed = TargetAnnouncement { age, ..announcement_at("a", 1) };
    assert_eq!(directory.announce(at(6), renewed), DirectoryChange::Renewed);
    // The next process at a known address needs no further room.
    let age = AnnouncementAge { started: WallTime(11), sequence: 1 };
    let next = TargetAnnouncement { age, ..announcement_at("d", 2) };
    assert_eq!(directory.announce(at(6), next), DirectoryChange::Changed);
    assert!(directory.find(&target("b")).is_none());
    assert!(directory.depart(at(7), &TargetDeparture { target: target("a"), started: None }));
    assert_eq!(directory.take_left_out(), [target("c")]);
    assert_eq!(directory.announce(at(8), announcement_at("c", 3)), DirectoryChange::Changed);
}

/// Guards against an index of addresses that still names the earlier address of a target.
#[test]
fn the_earlier_address_of_a_target_is_free() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), announcement_at("a", 1));
    let age = AnnouncementAge { started: WallTime(20), sequence: 1 };
    let moved = TargetAnnouncement { age, ..announcement_at("a", 2) };
    assert_eq!(directory.announce(at(2), moved), DirectoryChange::Changed);
    assert_eq!(directory.announce(at(3), announcement_at("b", 1)), DirectoryChange::Changed);
    assert_eq!(directory.announce(at(4), announcement_at("c", 2)), DirectoryChange::Stale);
    assert_eq!(directory.count(), 2);
}

/// Guards against a live target that was left out for lack of room and is never requested again.
#[test]
fn live_targets_that_were_left_out_are_requested() {
    let host = ([127, 0, 0, 1], 1).into();
    let mut liveness = LivenessTable::default();
    liveness.add_host(host);
    liveness.mark_alive(host, &target("left-out"));
    assert!(liveness.take_fetches(at(1), host).is_empty());
    liveness.request(target("left-out"));
    liveness.request(target("gone"));
    assert_eq!(liveness.take_fetches(at(2), host), [target("left-out")]);
}

/// Guards against names of targets that have left or were replaced, which an entry would keep as long as a link lasts.
#[test]
fn targets_that_are_gone_do_not_stay_in_the_lists_of_live_ones() {
    let host = ([127, 0, 0, 1], 1).into();
    let mut liveness = LivenessTable::default();
    liveness.add_host(host);
    for number in 0..100 {
        liveness.mark_alive(host, &target(&format!("t-{number}")));
    }
    liveness.forget(&target("t-0"));
    assert!(!liveness.is_alive(&target("t-0")));
    // The next process of a target that leaves may have been reported already.
    liveness.mark_undescribed(host, &target("new"));
    liveness.forget(&target("new"));
    liveness.prune(1, |name| *name == target("t-1"));
    assert!(liveness.is_alive(&target("t-1")) && liveness.is_alive(&target("new")));
    assert!(!liveness.is_alive(&target("t-2")));
}

// Guards against one host that invents targets until there is no room for true ones.
#[test]
fn one_ip_address_does_not_take_all_room() {
    let mut directory = TargetDirectory::new(1_600);
    let at_port = |host: u8, port: u16| TargetAnnouncement {
        address: ([127, 0, 0, host], port).into(),
        ..announcement(&format!("t{host}-{port}"), 10, 1)
    };
    let known = (1..=200)
        .filter(|port| directory.announce(at(1), at_port(1, *port)) == DirectoryChange::Changed);
    assert_eq!(known.count(), 100);
    assert_eq!(directory.announce(at(1), at_port(2, 1)), DirectoryChange::Changed);
    // A new target at a known address needs no room, and one that leaves gives its own back.
    let next = TargetAnnouncement { target: target("next"), ..at_port(1, 1) };
    let next =
        TargetAnnouncement { age: AnnouncementAge { started: WallTime(11), sequence: 1 }, ..next };
    assert_eq!(directory.announce(at(1), next), DirectoryChange::Changed);
    directory.depart(at(1), &TargetDeparture { target: target("t1-2"), started: None });
    assert_eq!(directory.announce(at(1), at_port(1, 201)), DirectoryChange::Changed);
    assert_eq!(directory.announce(at(1), at_port(1, 202)), DirectoryChange::Full);
    // Leases that end do too.
    directory.expire(at(20), LEASE);
    assert_eq!(directory.announce(at(20), at_port(1, 202)), DirectoryChange::Changed);
}
