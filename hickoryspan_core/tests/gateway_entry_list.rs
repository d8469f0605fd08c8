//! Look-ups of entries while control hosts are silent or restart.
//!
//! Pattern: a control host that is frozen or without power accepts no look-up and refuses none, so every caller that
//! asks it waits for a second. Entries answer look-ups too, from what the control hosts have reported.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hickoryspan_core::gateway::membership::entry_list::{EntryList, EntryListChange, OpenEntry};
use hickoryspan_core::types::FailureDomain;

fn control(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn entry(host: u8) -> OpenEntry {
    OpenEntry {
        caller_address: SocketAddr::from(([10, 1, 0, host], 8_000)),
        domain: FailureDomain::new("oficina").expect("a valid name"),
        relay: None,
    }
}

fn opened(hosts: impl IntoIterator<Item = u8>) -> EntryListChange {
    EntryListChange { opened: hosts.into_iter().map(entry).collect(), closed: Vec::new() }
}

fn closed(hosts: impl IntoIterator<Item = u8>) -> EntryListChange {
    EntryListChange { opened: Vec::new(), closed: hosts.into_iter().map(entry).collect() }
}

fn known(list: &EntryList) -> Vec<OpenEntry> {
    list.entries().cloned().collect()
}

#[test]
fn change_contains_only_differences() {
    let before: BTreeSet<OpenEntry> = [entry(1), entry(2)].into();
    let after: BTreeSet<OpenEntry> = [entry(2), entry(3)].into();
    let change = EntryListChange::between(&before, &after);
    assert_eq!(change, EntryListChange { opened: vec![entry(3)], closed: vec![entry(1)] });
    assert!(EntryListChange::between(&after, &after).is_empty());
}

// A control host that has just restarted reports the entries one by one, as they connect to it.
#[test]
fn restarted_control_host_hides_no_entry() {
    let mut list = EntryList::default();
    list.apply(control(1), opened([1, 2, 3]));
    list.apply(control(2), opened([]));
    assert_eq!(known(&list), [entry(1), entry(2), entry(3)]);
}

#[test]
fn closed_entry_disappears_once_all_hosts_report_it() {
    let mut list = EntryList::default();
    list.apply(control(1), opened([1, 2]));
    list.apply(control(2), opened([1, 2]));
    list.apply(control(1), closed([2]));
    list.apply(control(2), closed([2]));
    assert_eq!(known(&list), [entry(1)]);
}

#[test]
fn report_of_a_silent_control_host_ends_with_its_link() {
    let mut list = EntryList::default();
    list.apply(control(1), opened([1, 2]));
    list.apply(control(2), opened([1, 2]));
    list.apply(control(2), closed([2]));
    list.remove_host(control(1));
    assert_eq!(known(&list), [entry(1)]);
}

// During a loss of all control hosts, entries continue to answer look-ups with what they knew last.
#[test]
fn last_known_entries_remain_without_any_link() {
    let mut list = EntryList::default();
    list.apply(control(1), opened([1, 2]));
    list.remove_host(control(1));
    assert_eq!(known(&list), [entry(1), entry(2)]);
    list.apply(control(2), opened([3]));
    assert_eq!(known(&list), [entry(3)]);
}
