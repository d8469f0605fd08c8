//! Tests how the directory handles announcements that arrive late, twice, via other hosts, or from
//! an earlier process.

use std::time::Duration;

use hickoryspan_core::gateway::membership::messages::TargetRenewal;
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, DirectoryChange, TargetAnnouncement, TargetDeparture, TargetDirectory,
    TargetPhase,
};
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
