//! Tests which configuration documents are accepted, which one is in force, and where they route
//! requests.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::documents::document::{
    CallerLimits, ConfigurationDocument, DocumentOutcome, DocumentVersion, InvalidDocument,
    RepeatRule, RouteDestination, RouteRule, ServiceRule, ShardSpread, WeightedService,
    decide_document,
};
use hickoryspan_core::gateway::documents::document_change::DocumentChange;
use hickoryspan_core::gateway::documents::routes::{RouteTable, WeightedRoundRobin};
use hickoryspan_core::gateway::documents::shard_list::ShardList;
use hickoryspan_core::types::ServiceId;
use rstest::rstest;

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).expect("a service name")
}

fn route(name: &str, prefix: &str, destination: RouteDestination) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "search.example".into(),
        path_prefix: prefix.into(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_millis(400),
        objective: Duration::from_millis(40),
        priority: 1,
        destination,
        max_attempts: 2,
        public: false,
    }
}

fn document(version: u64, routes: Vec<RouteRule>) -> ConfigurationDocument {
    let names = ["a", "b"];
    ConfigurationDocument {
        version: DocumentVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: names
            .map(|name| ServiceRule { service: service(name), connections: 26, cold_rate: None })
            .into(),
        limits: CallerLimits::default(),
        accounts: None,
        source: format!("document {version}").into(),
    }
}

fn to(name: &str) -> RouteDestination {
    RouteDestination::Service(service(name))
}

fn weights(left: f64, right: f64) -> Vec<WeightedService> {
    vec![
        WeightedService { service: service("a"), weight: left },
        WeightedService { service: service("b"), weight: right },
    ]
}

#[test]
fn a_valid_document_is_accepted() {
    let routes = vec![route("r", "/a/", to("a")), route("s", "/a/b/", to("b"))];
    assert_eq!(document(1, routes).check(), Ok(()));
}

#[test]
fn invalid_documents_are_refused() {
    let unknown = document(1, vec![route("r", "/a/", to("c"))]);
    assert!(matches!(unknown.check(), Err(InvalidDocument::UnknownService { .. })));
    let duplicate = document(1, vec![route("r", "/a/", to("a")), route("s", "/a/", to("b"))]);
    assert!(matches!(duplicate.check(), Err(InvalidDocument::DuplicateRoute { .. })));
    let split = RouteDestination::Split(weights(0.0, 0.0));
    let zero_weight = document(1, vec![route("r", "/a/", split)]);
    assert!(matches!(zero_weight.check(), Err(InvalidDocument::ZeroWeight(_))));
    let zero_timeout = RouteRule { timeout: Duration::ZERO, ..route("r", "/a/", to("a")) };
    assert!(matches!(
        document(1, vec![zero_timeout]).check(),
        Err(InvalidDocument::ZeroTimeout(_))
    ));
    let spread = ShardSpread { shards: ShardList::default(), result_limit: 5, minimum_share: 0.5 };
    let no_shards = document(1, vec![route("r", "/a/", RouteDestination::Shards(spread))]);
    assert!(matches!(no_shards.check(), Err(InvalidDocument::EmptyShards(_))));
}

#[test]
fn the_highest_version_wins_and_resends_are_acknowledged() {
    let (old, new) = (document(5, vec![]), document(7, vec![]));
    assert_eq!(decide_document(None, &old), DocumentOutcome::Accepted);
    assert_eq!(decide_document(Some(&old), &new), DocumentOutcome::Accepted);
    let current = DocumentVersion(7);
    assert_eq!(decide_document(Some(&new), &new), DocumentOutcome::Overtaken { current });
    assert_eq!(decide_document(Some(&new), &old), DocumentOutcome::Overtaken { current });
}

#[test]
fn different_content_with_the_version_in_force_is_a_conflict() {
    let in_force = document(7, vec![]);
    let other = ConfigurationDocument { source: "other".into(), ..in_force.clone() };
    let current = DocumentVersion(7);
    assert_eq!(decide_document(Some(&in_force), &other), DocumentOutcome::Conflict { current });
}

// Guards against answers with two parts of one shard after an upgrade: earlier releases stored and passed on lists as they
// were submitted.
#[test]
fn a_list_of_an_earlier_release_names_each_shard_once() {
    let stored = serde_json::json!({
        "shards": ["b", "a", "b", "a"], "result_limit": 5, "minimum_share": 1.0
    });
    let spread: ShardSpread = serde_json::from_value(stored).expect("a list of shards");
    assert_eq!((&spread.shards[..], spread.min_parts()), (&[service("b"), service("a")][..], 2));

    let next = document(2, vec![route("r", "/a/", RouteDestination::Shards(spread))]);
    let change = DocumentChange::between(Some(&document(1, vec![])), &next);
    let mut passed_on = serde_json::to_value(change).expect("a change");
    passed_on["shard_lists"][0] = serde_json::json!(["b", "a", "b"]);
    let change: DocumentChange = serde_json::from_value(passed_on).expect("a change");
    let applied = change.apply(Some(&document(1, vec![]))).expect("the next document");
    assert_eq!(applied.routes, next.routes);
}

#[rstest]
#[case::exact(20, 0.75, 15)]
#[case::rounded_up(20, 0.89, 18)]
#[case::binary_form(20, 0.9, 18)]
#[case::one_at_least(3, 0.0, 1)]
fn the_minimum_share_gives_the_fewest_parts(
    #[case] shards: usize,
    #[case] minimum_share: f64,
    #[case] expected: usize,
) {
    let shards: Vec<ServiceId> = (0..shards).map(|number| service(&format!("s{number}"))).collect();
    let spread = ShardSpread { shards: shards.into(), result_limit: 5, minimum_share };
    assert_eq!(spread.min_parts(), expected);
}

#[rstest]
#[case::longest_prefix("search.example", "/a/b/c", Some("s"))]
#[case::shorter_prefix("search.example", "/a/c", Some("r"))]
#[case::port_and_case("SEARCH.example:8080", "/a/c", Some("r"))]
#[case::prefix_without_slash("search.example", "/a", None)]
#[case::other_host("other.example", "/a/c", None)]
fn host_and_longest_prefix_select_the_route(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![route("r", "/a/", to("a")), route("s", "/a/b/", to("b"))];
    let table = RouteTable::new(Arc::new(document(1, routes)));
    let found = table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found.as_deref(), expected);
}

#[test]
fn a_split_keeps_its_weights_over_short_windows() {
    let parts = weights(3.0, 1.0);
    let mut round_robin = WeightedRoundRobin::with_phase(&parts, 0.4);
    for _ in 0..10 {
        let chosen: Vec<_> =
            (0..8).filter_map(|_| round_robin.next(&parts)).map(ServiceId::as_str).collect();
        assert_eq!(chosen.iter().filter(|name| **name == "a").count(), 6);
    }
}

#[test]
fn a_service_with_zero_weight_gets_no_requests() {
    let parts = weights(1.0, 0.0);
    let mut round_robin = WeightedRoundRobin::with_phase(&parts, 0.9);
    assert!((0..20).filter_map(|_| round_robin.next(&parts)).all(|chosen| chosen.as_str() == "a"));
}
