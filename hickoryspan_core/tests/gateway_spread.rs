//! How documents and targets reach the entries: a large configuration that changes often, and hosts that hear different
//! targets. Guards against the load that broke the propagation of versions with 82 entries: five whole documents of 350
//! routes to each of them for every version.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryspan_core::gateway::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, RepeatRule, RouteDestination, RouteRule,
    ServiceRule,
};
use hickoryspan_core::gateway::document_change::{DocumentChange, DocumentFetch};
use hickoryspan_core::gateway::vouching::VouchTable;
use hickoryspan_core::types::{MonotonicTime, ServiceId, TargetId};

const ROUTES: u64 = 350;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn target(name: &str) -> TargetId {
    TargetId::new(name).expect("a target name")
}

fn service(number: u64) -> ServiceId {
    ServiceId::new(format!("service-{number}")).expect("a service name")
}

fn route(number: u64, destination: u64) -> RouteRule {
    RouteRule {
        name: format!("route-{number}").into(),
        host: "search.example".into(),
        path_prefix: format!("/{number}/").into(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_millis(400),
        objective: Duration::from_millis(40),
        priority: 1,
        destination: RouteDestination::Service(service(destination)),
        max_attempts: 2,
    }
}

fn document(version: u64) -> ConfigurationDocument {
    ConfigurationDocument {
        version: DocumentVersion(version),
        routes: (0..ROUTES).map(|number| route(number, number % 4)).collect(),
        services: (0..4).map(|n| ServiceRule { service: service(n), connections: 26 }).collect(),
        limits: CallerLimits::default(),
        source: format!("the text of version {version}").into(),
    }
}

fn sorted(mut document: ConfigurationDocument) -> ConfigurationDocument {
    document.routes.sort_by(|left, right| left.path_prefix.cmp(&right.path_prefix));
    document.services.sort_by(|left, right| left.service.cmp(&right.service));
    document.source = "".into();
    document
}

#[test]
fn one_changed_route_among_many_travels_alone() {
    let old = document(4);
    let mut new = document(7);
    new.routes[17] = route(17, 3);
    let change = DocumentChange::between(Some(&old), &new);
    assert_eq!((change.routes.len(), change.services.len()), (1, 0));
    assert_eq!(change.apply(Some(&old)), Some(sorted(new)));
}

#[test]
fn dropped_routes_and_services_are_gone_afterwards() {
    let old = document(4);
    let mut new = document(7);
    new.routes.remove(5);
    new.routes.iter_mut().for_each(|rule| rule.destination = to(2));
    new.services.remove(3);
    new.limits.body_bytes = 7;
    let change = DocumentChange::between(Some(&old), &new);
    assert_eq!(change.apply(Some(&old)), Some(sorted(new)));
}

fn to(number: u64) -> RouteDestination {
    RouteDestination::Service(service(number))
}

#[test]
fn without_a_base_the_whole_document_travels() {
    let change = DocumentChange::between(None, &document(7));
    assert_eq!(change.apply(None), Some(sorted(document(7))));
    assert_eq!(change.apply(Some(&document(4))), Some(sorted(document(7))));
}

#[test]
fn a_change_of_another_version_is_not_applied() {
    let change = DocumentChange::between(Some(&document(4)), &document(7));
    assert_eq!(change.apply(Some(&document(5))), None);
    assert_eq!(change.apply(None), None);
}

#[test]
fn one_host_is_asked_at_a_time_and_another_one_if_it_does_not_answer() {
    let mut fetch = DocumentFetch::default();
    let held = Some(DocumentVersion(4));
    let offered = DocumentVersion(7);
    assert!(fetch.should_ask(at(0), held, offered, host(1)));
    for number in 2..6 {
        assert!(!fetch.should_ask(at(5), held, offered, host(number)));
    }
    assert!(fetch.should_ask(at(600), held, offered, host(3)));
}

#[test]
fn a_lost_link_or_an_answer_frees_the_next_question() {
    let mut fetch = DocumentFetch::default();
    let (held, offered) = (Some(DocumentVersion(4)), DocumentVersion(7));
    assert!(fetch.should_ask(at(0), held, offered, host(1)));
    fetch.note_end(host(2));
    assert!(!fetch.should_ask(at(1), held, offered, host(2)));
    fetch.note_end(host(1));
    assert!(fetch.should_ask(at(2), held, offered, host(2)));
}

#[test]
fn an_older_or_equal_version_is_never_asked_for() {
    let mut fetch = DocumentFetch::default();
    let held = Some(DocumentVersion(7));
    assert!(!fetch.should_ask(at(0), held, DocumentVersion(7), host(1)));
    assert!(!fetch.should_ask(at(0), held, DocumentVersion(6), host(1)));
}

#[test]
fn a_host_on_the_smaller_side_of_a_cut_takes_no_target_out_of_use() {
    let mut table = VouchTable::default();
    for number in [1, 2] {
        table.begin_host(host(number));
        table.vouch(host(number), &target("t"));
    }
    assert!(!table.withdraw(host(2), &target("t")));
    assert!(table.is_vouched(&target("t")));
    assert!(table.withdraw(host(1), &target("t")));
    assert!(!table.is_vouched(&target("t")));
}

#[test]
fn the_loss_of_a_host_leaves_targets_that_others_vouch_for() {
    let mut table = VouchTable::default();
    for number in [1, 2] {
        table.begin_host(host(number));
        table.vouch(host(number), &target("t"));
    }
    table.end_host(host(1));
    assert!(table.is_vouched(&target("t")));
    table.end_host(host(2));
    assert!(!table.is_linked());
}

#[test]
fn an_unknown_target_is_asked_of_one_host_and_then_of_another() {
    let mut table = VouchTable::default();
    for number in [1, 2] {
        table.begin_host(host(number));
        table.vouch_unknown(host(number), &target("t"));
    }
    assert_eq!(table.take_questions(at(0), host(1)), [target("t")]);
    assert!(table.take_questions(at(1), host(2)).is_empty());
    assert_eq!(table.take_questions(at(600), host(2)), [target("t")]);
    table.vouch(host(2), &target("t"));
    assert!(table.take_questions(at(2_000), host(1)).is_empty());
}
