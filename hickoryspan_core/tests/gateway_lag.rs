//! Entries that get too little processor time.
//!
//! Pattern: some of the entry hosts are slowed down six times for several seconds beside ordinary traffic. Their
//! answers are late while the other entries have time to spare, and callers keep using them.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryspan_core::gateway::membership::entry_list::{
    EntryList, EntryListChange, OpenEntry, listed_entries,
};
use hickoryspan_core::gateway::membership::messages::{EntryHost, LinkVersion};
use hickoryspan_core::gateway::processor_lag::{LagMonitor, LagSettings};
use hickoryspan_core::types::{EntryId, FailureDomain, MonotonicTime};

/// Time to start one attempt on an entry with a quarter of a core.
const ORDINARY: Duration = Duration::from_micros(20);
const SLOWED: Duration = Duration::from_micros(120);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

/// Observes 20 requests a second.
fn observe(monitor: &mut LagMonitor, from: u64, to: u64, work: Duration) {
    for millis in (from..to).step_by(50) {
        monitor.observe(at(millis), work);
    }
}

fn settled_monitor() -> LagMonitor {
    let mut monitor = LagMonitor::new(LagSettings::default());
    observe(&mut monitor, 0, 5_000, ORDINARY);
    monitor
}

fn host(number: u8, open: bool, lagging: bool) -> EntryHost {
    EntryHost {
        entry: EntryId::new(format!("entry-{number}")).expect("a valid name"),
        caller_address: SocketAddr::from(([10, 1, 0, number], 8_000)),
        domain: FailureDomain::new("oficina").expect("a valid name"),
        fanout_address: None,
        open,
        lagging,
        link_version: LinkVersion::default(),
    }
}

fn address(number: u8) -> SocketAddr {
    host(number, true, false).caller_address
}

#[test]
fn slowed_entry_lags_within_half_a_second() {
    let mut monitor = settled_monitor();
    assert!(!monitor.is_lagging(at(5_000)));
    observe(&mut monitor, 5_000, 5_500, SLOWED);
    assert!(monitor.is_lagging(at(5_500)));
}

// The first requests open connections and take longer, which must not count as the usual time for ever.
#[test]
fn usual_time_follows_an_entry_that_warms_up() {
    let mut monitor = LagMonitor::new(LagSettings::default());
    observe(&mut monitor, 0, 2_500, SLOWED * 2);
    observe(&mut monitor, 2_500, 20_000, ORDINARY);
    observe(&mut monitor, 20_000, 20_500, SLOWED);
    assert!(monitor.is_lagging(at(20_500)));
}

// A pause of the process, or one request that opens many connections, is over before callers could leave.
#[test]
fn single_pause_is_no_lag() {
    let mut monitor = settled_monitor();
    monitor.observe(at(5_000), Duration::from_millis(400));
    assert!(!monitor.is_lagging(at(5_000)));
}

// A lagging entry gets few requests, so it must be tried again without proof that it has recovered.
#[test]
fn entry_without_requests_is_listed_again() {
    let mut monitor = settled_monitor();
    observe(&mut monitor, 5_000, 5_500, SLOWED);
    assert!(monitor.is_lagging(at(8_000)));
    assert!(!monitor.is_lagging(at(10_000)));
}

// While the host stays slow, the times for which it is listed become rarer.
#[test]
fn periods_of_lag_become_longer() {
    let mut monitor = settled_monitor();
    observe(&mut monitor, 5_000, 25_000, SLOWED);
    assert!((25_000..29_000).all(|millis| monitor.is_lagging(at(millis))));
    observe(&mut monitor, 60_000, 61_000, ORDINARY);
    observe(&mut monitor, 61_000, 61_500, SLOWED);
    assert!(!monitor.is_lagging(at(66_000)), "the first period is short again");
}

#[test]
fn callers_are_directed_to_steady_entries() {
    let hosts = [host(1, true, false), host(2, true, true), host(3, true, false)];
    let listed: Vec<SocketAddr> =
        listed_entries(&hosts).into_iter().map(|entry| entry.caller_address).collect();
    assert_eq!(listed, [address(1), address(3)]);
}

// When most entries lag, as in a burst or after a common restart, the few others could not carry the load.
#[test]
fn all_open_entries_are_listed_while_most_lag() {
    let hosts =
        [host(1, true, true), host(2, true, true), host(3, true, false), host(4, false, false)];
    let listed: Vec<SocketAddr> =
        listed_entries(&hosts).into_iter().map(|entry| entry.caller_address).collect();
    assert_eq!(listed, [address(1), address(2), address(3)]);
}

// A lagging entry closes connections only once others are listed in its place.
#[test]
fn entry_sends_callers_away_only_to_listed_entries() {
    let entry = |number| OpenEntry {
        caller_address: address(number),
        domain: FailureDomain::new("oficina").expect("a valid name"),
        relay: None,
    };
    let control = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let mut list = EntryList::default();
    assert!(!list.prefers_others(address(1)));
    list.apply(control, EntryListChange { opened: vec![entry(1), entry(2)], closed: vec![] });
    assert!(!list.prefers_others(address(1)));
    list.apply(control, EntryListChange { opened: vec![], closed: vec![entry(1)] });
    assert!(list.prefers_others(address(1)));
}
