//! Tests how documents and targets are distributed to the entries, with a large configuration that
//! changes often and control hosts that receive announcements from different targets. Guards against
//! the load that stopped the propagation of versions to 82 entries: five whole documents of 350
//! routes to each entry for every version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::documents::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, RepeatRule, RouteDestination, RouteRule,
    ServiceRule, ShardSpread,
};
use hickoryspan_core::gateway::documents::document_change::{DocumentChange, DocumentFetch};
use hickoryspan_core::gateway::documents::document_parts::{PartAssembly, encode_parts};
use hickoryspan_core::gateway::targets::liveness::LivenessTable;
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
        public: false,
    }
}

fn document(version: u64) -> ConfigurationDocument {
    ConfigurationDocument {
        version: DocumentVersion(version),
        routes: (0..ROUTES).map(|number| route(number, number % 4).into()).collect(),
        services: (0..4)
            .map(|n| ServiceRule { service: service(n), connections: 26, cold_rate: None })
            .collect(),
        limits: CallerLimits::default(),
        accounts: None,
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
fn only_the_changed_route_among_many_is_sent() {
    let old = document(4);
    let mut new = document(7);
    new.routes[17] = route(17, 3).into();
    let change = DocumentChange::between(Some(&old), &new);
    assert_eq!((change.routes.len(), change.services.len()), (1, 0));
    assert_eq!(change.apply(Some(&old)).map(sorted), Some(sorted(new)));
}

#[test]
fn dropped_routes_and_services_are_removed() {
    let old = document(4);
    let mut new = document(7);
    new.routes.remove(5);
    for rule in &mut new.routes {
        Arc::make_mut(rule).destination = to(2);
    }
    new.services.remove(3);
    new.limits.body_bytes = 7;
    let change = DocumentChange::between(Some(&old), &new);
    assert_eq!(change.apply(Some(&old)).map(sorted), Some(sorted(new)));
}

fn to(number: u64) -> RouteDestination {
    RouteDestination::Service(service(number))
}

#[test]
fn routes_over_the_same_shards_share_one_list() {
    let shards: Arc<[ServiceId]> = (0..90).map(service).collect();
    let mut new = document(7);
    for rule in &mut new.routes {
        let spread =
            ShardSpread { shards: shards.to_vec().into(), result_limit: 5, minimum_share: 0.9 };
        Arc::make_mut(rule).destination = RouteDestination::Shards(spread);
    }
    let change = DocumentChange::between(Some(&document(4)), &new);
    assert_eq!((change.routes.len(), change.shard_lists.len()), (350, 1));
    assert_eq!(change.apply(Some(&document(4))).map(sorted), Some(sorted(new)));
}

#[test]
fn without_a_base_the_whole_document_is_sent() {
    let change = DocumentChange::between(None, &document(7));
    assert_eq!(change.apply(None).map(sorted), Some(sorted(document(7))));
    assert_eq!(change.apply(Some(&document(4))).map(sorted), Some(sorted(document(7))));
}

#[test]
fn a_change_of_another_version_is_not_applied() {
    let change = DocumentChange::between(Some(&document(4)), &document(7));
    assert_eq!(change.apply(Some(&document(5))), None);
    assert_eq!(change.apply(None), None);
}

#[test]
fn a_large_change_arrives_in_parts_of_bounded_size() {
    let change = DocumentChange::between(None, &document(7));
    let parts = encode_parts(&change).expect("parts");
    assert_eq!(parts.len(), 6, "350 routes, 64 in a part");
    let mut assembly = PartAssembly::default();
    let (last, first) = parts.split_last().expect("parts");
    for part in first {
        assert_eq!(assembly.add(host(1), part), Ok(None));
    }
    assert_eq!(assembly.add(host(1), last), Ok(Some(change)));
}

#[test]
fn parts_of_two_hosts_or_two_versions_are_not_mixed() {
    let parts = |version| encode_parts(&DocumentChange::between(None, &document(version)));
    let (old, new) = (parts(7).expect("parts"), parts(9).expect("parts"));
    let mut assembly = PartAssembly::default();
    assert_eq!(assembly.add(host(1), &old[0]), Ok(None));
    assert!(assembly.add(host(2), &old[1]).is_err());
    assert!(assembly.add(host(1), &new[1]).is_err());
    assert!(assembly.add(host(1), &old[1]).is_err(), "a broken sequence starts over");
    assert_eq!(assembly.add(host(1), &old[0]), Ok(None));
}

#[test]
fn a_host_that_is_sending_is_not_replaced() {
    let mut fetch = DocumentFetch::default();
    let (current, offered) = (Some(DocumentVersion(4)), DocumentVersion(7));
    assert!(fetch.should_request(at(0), current, offered, host(1)));
    fetch.note_progress(at(400), host(1));
    assert!(!fetch.should_request(at(600), current, offered, host(2)));
}

#[test]
fn one_host_is_asked_at_a_time_and_another_one_if_it_does_not_answer() {
    let mut fetch = DocumentFetch::default();
    let current = Some(DocumentVersion(4));
    let offered = DocumentVersion(7);
    assert!(fetch.should_request(at(0), current, offered, host(1)));
    for number in 2..6 {
        assert!(!fetch.should_request(at(5), current, offered, host(number)));
    }
    assert!(fetch.should_request(at(600), current, offered, host(3)));
}

#[test]
fn a_lost_link_or_an_answer_allows_the_next_request() {
    let mut fetch = DocumentFetch::default();
    let (current, offered) = (Some(DocumentVersion(4)), DocumentVersion(7));
    assert!(fetch.should_request(at(0), current, offered, host(1)));
    fetch.note_end(host(2));
    assert!(!fetch.should_request(at(1), current, offered, host(2)));
    fetch.note_end(host(1));
    assert!(fetch.should_request(at(2), current, offered, host(2)));
}

#[test]
fn an_older_or_equal_version_is_never_asked_for() {
    let mut fetch = DocumentFetch::default();
    let current = Some(DocumentVersion(7));
    assert!(!fetch.should_request(at(0), current, DocumentVersion(7), host(1)));
    assert!(!fetch.should_request(at(0), current, DocumentVersion(6), host(1)));
}

#[test]
fn a_host_on_the_minority_side_of_a_partition_takes_no_target_out_of_use() {
    let mut table = LivenessTable::default();
    for number in [1, 2] {
        table.add_host(host(number));
        table.mark_alive(host(number), &target("t"));
    }
    assert!(!table.mark_expired(host(2), &target("t")));
    assert!(table.is_alive(&target("t")));
    assert!(table.mark_expired(host(1), &target("t")));
    assert!(!table.is_alive(&target("t")));
}

#[test]
fn the_loss_of_a_host_keeps_targets_that_others_report_as_alive() {
    let mut table = LivenessTable::default();
    for number in [1, 2] {
        table.add_host(host(number));
        table.mark_alive(host(number), &target("t"));
    }
    table.remove_host(host(1));
    assert!(table.is_alive(&target("t")));
    table.remove_host(host(2));
    assert!(!table.is_linked());
}

#[test]
fn an_unknown_target_is_requested_from_one_host_and_then_from_another() {
    let mut table = LivenessTable::default();
    for number in [1, 2] {
        table.add_host(host(number));
        table.mark_undescribed(host(number), &target("t"));
    }
    assert_eq!(table.take_fetches(at(0), host(1)), [target("t")]);
    assert!(table.take_fetches(at(1), host(2)).is_empty());
    assert_eq!(table.take_fetches(at(600), host(2)), [target("t")]);
    table.mark_alive(host(2), &target("t"));
    assert!(table.take_fetches(at(2_000), host(1)).is_empty());
}
