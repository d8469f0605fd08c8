//! Tests the administration API of one control replica over loopback.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryspan_control::ROUTES;
use hickoryspan_core::control::interface::{AdminAction, AdminOutcome};
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{CostRate, SheetNumber};
use http::{Method, StatusCode};
use rstest::rstest;
use support::*;

/// Routes that need no credential, for health checks.
const OPEN_PATHS: [&str; 2] = ["/healthz", "/readyz"];

/// 100000/51 as a double. The JSON library does not parse it exactly without its feature `float_roundtrip`.
const UNEVEN_RATE: f64 = 1960.7843137254902;

fn sheet_without_caller(number: u64, caller: &str) -> SheetDocument {
    let mut sheet = sheet(number);
    let vestera = sheet.tenants.values_mut().last().unwrap();
    vestera.callers.retain(|name, _| name.as_str() != caller);
    sheet
}

// A client that lost the reply repeats the command and must get the first outcome. Otherwise its operator would believe
// that the sheet was rejected.
#[tokio::test]
async fn a_resend_gets_the_first_outcome_after_a_restart_and_newer_sheets() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path().join("data");
    let daemon = start_first_replica(&folder, 1).await;
    let address = [daemon.record().http_address];
    let first = command(&address, "ana", "c-1", apply(sheet(118))).await;
    assert!(matches!(first, AdminOutcome::Accepted { .. }), "{first:?}");
    assert_eq!(command(&address, "ana", "c-1", apply(sheet(118))).await, first);
    let newer = command(&address, "bo", "c-2", apply(dated_sheet(119, "2026-12-05"))).await;
    assert!(matches!(newer, AdminOutcome::Accepted { .. }), "{newer:?}");
    assert_eq!(command(&address, "ana", "c-1", apply(sheet(118))).await, first);
    daemon.stop().await;

    let daemon = start_replica(&folder, ephemeral_addresses(), 2).await;
    let address = [daemon.record().http_address];
    assert_eq!(command(&address, "ana", "c-1", apply(sheet(118))).await, first);
    assert_eq!(status(&address).await.sheet, Some(SheetNumber(119)));
    let reused = command(&address, "ana", "c-1", apply(sheet(120))).await;
    assert_eq!(reused, AdminOutcome::CommandConflict);
    daemon.drain().await;
}

// Without the name of the other operator, the one whose sheet was rejected cannot tell whose configuration is in force.
#[tokio::test]
async fn an_equal_number_with_other_content_names_who_won() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 3).await;
    let address = [daemon.record().http_address];
    command(&address, "ana", "c-1", apply(sheet(118))).await;
    let other = command(&address, "bo", "c-1", apply(dated_sheet(118, "2026-12-05"))).await;
    let AdminOutcome::NumberTaken { number, by, digest, .. } = other else { panic!("{other:?}") };
    assert_eq!((number, by.as_str()), (SheetNumber(118), "ana"));
    assert_eq!(digest, sheet(118).digest());
    let lower = command(&address, "bo", "c-2", apply(sheet(117))).await;
    assert_eq!(lower, AdminOutcome::NumberTooLow { current: SheetNumber(118) });
    daemon.stop().await;
}

// If two sheets with the same number were accepted, tenants would run on different configurations.
#[tokio::test]
async fn exactly_one_of_two_racing_operators_wins() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 4).await;
    let address = [daemon.record().http_address];
    for number in 1..=20 {
        let (ana, bo) = (dated_sheet(number, "2026-12-04"), dated_sheet(number, "2026-12-05"));
        let (ana_id, bo_id) = (format!("ana-{number}"), format!("bo-{number}"));
        let outcomes = tokio::join!(
            command(&address, "ana", &ana_id, apply(ana)),
            command(&address, "bo", &bo_id, apply(bo)),
        );
        match outcomes {
            (AdminOutcome::Accepted { .. }, AdminOutcome::NumberTaken { by, .. }) => {
                assert_eq!(by.as_str(), "ana");
            }
            (AdminOutcome::NumberTaken { by, .. }, AdminOutcome::Accepted { .. }) => {
                assert_eq!(by.as_str(), "bo");
            }
            other => panic!("sheet {number}: {other:?}"),
        }
    }
    daemon.stop().await;
}

// Without a confirmation, a sheet that lacks rows by mistake would take callers out of service.
#[tokio::test]
async fn a_shrinking_sheet_must_be_confirmed_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 5).await;
    let address = [daemon.record().http_address];
    command(&address, "ana", "c-1", apply(sheet(118))).await;
    let smaller = sheet_without_caller(119, "help-desk");
    let refused = command(&address, "ana", "c-2", apply(smaller.clone())).await;
    let name: Arc<str> = "caller vestera/help-desk".into();
    assert_eq!(refused, AdminOutcome::RemovalsUnconfirmed(vec![name.clone()]));
    assert_eq!(status(&address).await.sheet, Some(SheetNumber(118)));
    let sheet = Arc::new(smaller);
    let confirmed = AdminAction::ApplySheet { sheet, confirmed_removals: vec![name] };
    let outcome = command(&address, "ana", "c-3", confirmed).await;
    assert!(matches!(outcome, AdminOutcome::Accepted { .. }), "{outcome:?}");
    daemon.stop().await;
}

// If JSON changed the last digit of a number, the sheet would get another digest and a repeated command would conflict.
#[tokio::test]
async fn numbers_survive_json_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 6).await;
    let address = [daemon.record().http_address];
    let mut sent = sheet(118);
    let callers = sent.tenants.values_mut().flat_map(|tenant| tenant.callers.values_mut());
    callers.for_each(|caller| caller.rate = CostRate(UNEVEN_RATE));
    command(&address, "ana", "c-1", apply(sent.clone())).await;
    let kept: SheetDocument =
        send_until_decided(&address, Method::GET, "/v1/admin/sheet?number=118", Vec::new()).await;
    assert_eq!(kept.digest(), sent.digest());
    daemon.stop().await;
}

// A route that does not check the credential lets anyone on the network read or change the configuration.
#[tokio::test]
async fn every_protected_route_refuses_a_wrong_credential() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 7).await;
    let address = daemon.record().http_address;
    status(&[address]).await;
    let wrong = [None, Some(""), Some("credential-of-the-test"), Some("credential-of-the-testz")];
    for (method, path) in ROUTES {
        let method: Method = method.parse().unwrap();
        for credential in wrong {
            let answer = send(address, method.clone(), path, credential, "{}").await.unwrap();
            let is_refused = answer.status == StatusCode::UNAUTHORIZED;
            assert_eq!(is_refused, !OPEN_PATHS.contains(&path), "{method} {path} {credential:?}");
            assert!(!String::from_utf8_lossy(&answer.body).contains(CREDENTIAL));
        }
        let answer = send(address, method.clone(), path, Some(CREDENTIAL), "{}").await.unwrap();
        assert_ne!(answer.status, StatusCode::UNAUTHORIZED, "{method} {path}");
    }
    daemon.stop().await;
}

// Reading a body without a limit would exhaust memory, and acting on a malformed one could change the wrong state.
#[rstest]
#[case::no_json("sheet;number;118", StatusCode::BAD_REQUEST)]
#[case::truncated(r#"{"operator":"ana","command":"c-1","action":{"drain"#, StatusCode::BAD_REQUEST)]
#[case::unknown_action(
    r#"{"operator":"ana","command":"c-1","action":{"erase_all":1}}"#,
    StatusCode::BAD_REQUEST
)]
#[case::bad_name(
    r#"{"operator":"ana maria","command":"c-1","action":{"drain_target":"t1"}}"#,
    StatusCode::BAD_REQUEST
)]
#[case::not_text("\u{0}\u{1}", StatusCode::BAD_REQUEST)]
#[case::empty("", StatusCode::BAD_REQUEST)]
#[case::oversize(" ".repeat(BODY_BYTES + 1), StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn malformed_and_oversize_bodies_are_refused(
    #[case] body: String,
    #[case] expected: StatusCode,
) {
    let folder = tempfile::tempdir().unwrap();
    let daemon = start_first_replica(&folder.path().join("data"), 8).await;
    let address = daemon.record().http_address;
    let before = status(&[address]).await;
    for path in ["/v1/admin/commands", "/v1/targets/announce", "/v1/targets/withdraw"] {
        let sent = send(address, Method::POST, path, Some(CREDENTIAL), body.clone()).await;
        assert_eq!(sent.unwrap().status, expected, "{path}");
    }
    for query in ["number=x", "number=1&x=2", "other=1", "number"] {
        let path = format!("/v1/admin/sheet?{query}");
        let sent = send(address, Method::GET, &path, Some(CREDENTIAL), "").await;
        assert_eq!(sent.unwrap().status, StatusCode::BAD_REQUEST, "{path}");
    }
    assert_eq!(status(&[address]).await.revision, before.revision);
    daemon.stop().await;
}

// An API page with other routes than the daemon serves would mislead authors of clients.
#[test]
fn the_openapi_page_lists_the_routes() {
    let page = include_str!("../../docs/openapi-admin.yaml");
    let page: serde_yaml_ng::Value = serde_yaml_ng::from_str(page).unwrap();
    let paths = page["paths"].as_mapping().unwrap();
    let listed: BTreeSet<(String, String)> = paths
        .iter()
        .flat_map(|(path, methods)| {
            methods.as_mapping().unwrap().keys().map(move |method| {
                (method.as_str().unwrap().to_uppercase(), path.as_str().unwrap().to_owned())
            })
        })
        .collect();
    let served: BTreeSet<(String, String)> =
        ROUTES.iter().map(|(method, path)| (method.to_string(), path.to_string())).collect();
    assert_eq!(listed, served);
    for (path, methods) in paths {
        for (method, operation) in methods.as_mapping().unwrap() {
            let is_open = operation["security"].as_sequence().is_some_and(Vec::is_empty);
            let path = path.as_str().unwrap();
            assert_eq!(is_open, OPEN_PATHS.contains(&path), "{method:?} {path}");
        }
    }
}
