//! Guards against differences between `docs/openapi.yaml` and what the daemon serves.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::BTreeSet;

use common::*;
use hickoryspan_entry::{CALLER_ROUTES, HEALTH_ROUTES};
use hickoryspan_target::settings::TargetSettings;
use serde_json::Value;

const DESCRIPTION: &str = include_str!("../../docs/openapi.yaml");

fn description() -> Value {
    serde_yaml_ng::from_str(DESCRIPTION).unwrap()
}

/// Returns method and path of every described operation that entries serve.
fn described_routes(description: &Value) -> BTreeSet<(String, String)> {
    let mut routes = BTreeSet::new();
    for (path, operations) in description["paths"].as_object().unwrap() {
        for (method, operation) in operations.as_object().unwrap() {
            let tags = operation["tags"].as_array().unwrap();
            // Other tags mark the routes for operators, which control serves.
            if tags.contains(&"callers".into()) || tags.contains(&"health".into()) {
                routes.insert((method.to_uppercase(), path.clone()));
            }
        }
    }
    routes
}

#[test]
fn every_served_route_is_described_and_no_other() {
    let served: BTreeSet<(String, String)> = CALLER_ROUTES
        .iter()
        .chain(&HEALTH_ROUTES)
        .map(|(method, path)| ((*method).to_owned(), (*path).to_owned()))
        .collect();
    assert_eq!(described_routes(&description()), served);
}

#[test]
fn every_reference_has_a_definition() {
    fn check(value: &Value, description: &Value) {
        match value {
            Value::Object(fields) => {
                if let Some(reference) = fields.get("$ref") {
                    let pointer = reference.as_str().unwrap().trim_start_matches('#');
                    assert!(description.pointer(pointer).is_some(), "{pointer}");
                }
                fields.values().for_each(|field| check(field, description));
            }
            Value::Array(items) => items.iter().for_each(|item| check(item, description)),
            _ => {}
        }
    }
    let description = description();
    check(&description, &description);
}

fn string_list(schema: &Value, field: &str) -> BTreeSet<String> {
    let names = schema[field].as_array().unwrap();
    names.iter().map(|name| name.as_str().unwrap().to_owned()).collect()
}

fn field_names(body: &Value) -> BTreeSet<String> {
    body.as_object().unwrap().keys().cloned().collect()
}

#[tokio::test]
async fn described_routes_answer_and_their_fields_are_described() {
    let target = start_shard(0, 1, TargetSettings::default()).await;
    let press = start_press().await;
    let control = FakeControl::start(view(records([&target, &press]), TEST_TIMEOUT)).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, [&target, &press]).await;
    let address = entry.caller_address();
    let schemas = description()["components"]["schemas"].clone();
    let mut head = string_list(&schemas["AnswerHead"], "required");
    let headers = order_headers("o1");

    let ordered = order(address, &headers).await;
    let found = call(address, "GET", "/v1/orders/o1", &headers, "").await;
    head.insert("result".to_owned());
    for answer in [&ordered, &found] {
        assert_eq!(
            (answer.status, field_names(&answer.body)),
            (200, head.clone()),
            "{}",
            answer.body
        );
    }
    head.remove("result");
    head.extend(["hits".to_owned(), "page_token".to_owned()]);
    let searched = search(address, "1").await;
    assert_eq!((searched.status, field_names(&searched.body)), (200, head));

    let addresses = call(address, "GET", "/v1/addresses", &caller_headers(), "").await;
    assert_eq!(field_names(&addresses.body), string_list(&schemas["AddressAnswer"], "required"));
    assert!(addresses.body["addresses"].as_array().unwrap().contains(&address.to_string().into()));

    let refused = call(address, "GET", "/v1/nothing", &caller_headers(), "").await;
    assert_eq!(field_names(&refused.body), string_list(&schemas["ErrorAnswer"], "required"));

    for (_, path) in HEALTH_ROUTES {
        assert_eq!(admin_get(entry.admin_address(), path).await.0, 200, "{path}");
    }
    entry.stop().await;
    stop_all(vec![target, press]).await;
    control.stop().await;
}
