//! Checks that the exit status is correct after lost connections, responses without a decision, and redirects.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use std::net::SocketAddr;

use hickoryspan_ctl::exit_status::ExitStatus;
use http::StatusCode;
use rstest::rstest;
use support::*;
use tokio::net::{TcpListener, TcpSocket};

/// Timeout for runs that finish on their own; only stops tests that hang.
const LONG_TIMEOUT: &str = "--timeout=2m";
/// Timeout for runs that must reach it.
const SHORT_TIMEOUT: &str = "--timeout=3s";

fn accepted() -> MockBehavior {
    MockBehavior::Answer(StatusCode::OK, r#"{"accepted":{"revision":5}}"#.to_owned())
}

fn refusal(status: StatusCode) -> MockBehavior {
    MockBehavior::Answer(status, r#"{"error":"word","detail":"reason"}"#.to_owned())
}

async fn drain(addresses: &[SocketAddr], timeout: &str) -> RunOutput {
    ctl(addresses, &[timeout, "--command-id", "c-1", "drain", "target", "press-1"]).await
}

/// Returns an address without a listener. The bound socket keeps other tests from using its port.
fn closed_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

// Guards against a retry with a new command id, which would run the command twice.
#[tokio::test]
async fn a_command_without_a_response_is_retried_with_the_same_command_id() {
    let first = MockControl::start(vec![MockBehavior::Close]).await;
    let second = MockControl::start(vec![accepted()]).await;
    let output = drain(&[first.address, second.address], LONG_TIMEOUT).await;
    assert_eq!(output.status, ExitStatus::Done, "{output:?}");
    assert!(output.stdout.contains("accepted at revision 5"), "{output:?}");
    assert_eq!(first.bodies(), second.bodies());
    assert!(first.bodies()[0].contains(r#""command":"c-1""#), "{:?}", first.bodies());
}

// Guards against reporting a rejection while the command may still run: the operator would submit another one.
#[rstest]
#[case::lost_connections(vec![MockBehavior::Close])]
#[case::no_decision(vec![refusal(StatusCode::SERVICE_UNAVAILABLE)])]
#[case::wrong_credential_after_a_lost_response(
    vec![MockBehavior::Close, refusal(StatusCode::UNAUTHORIZED)]
)]
#[case::response_of_another_release(
    vec![MockBehavior::Answer(StatusCode::OK, r#"{"postponed":{}}"#.to_owned())]
)]
#[tokio::test]
async fn a_command_without_a_decision_is_reported_as_outcome_unknown(
    #[case] behaviors: Vec<MockBehavior>,
) {
    let control = MockControl::start(behaviors).await;
    let output = drain(&[control.address], SHORT_TIMEOUT).await;
    assert_eq!(output.status, ExitStatus::OutcomeUnknown, "{output:?}");
    assert!(output.stderr.contains("may or may not have taken effect"), "{output:?}");
    assert!(output.stderr.contains("--operator ana --command-id c-1"), "{output:?}");
    assert!(output.stderr.contains(&control.address.to_string()), "{output:?}");
}

// Guards against reporting an unknown outcome when nothing was sent: the operator would look for effects in vain.
#[tokio::test]
async fn a_command_that_was_never_sent_is_reported_as_unavailable() {
    let (_socket, closed) = closed_address();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let looping = listener.local_addr().unwrap();
    let looping = MockControl::serve(listener, vec![MockBehavior::Redirect(looping)]);
    let output = drain(&[closed, looping.address], SHORT_TIMEOUT).await;
    assert_eq!(output.status, ExitStatus::Unavailable, "{output:?}");
    assert!(output.stderr.contains(&format!("control {closed}: connect")), "{output:?}");
}

#[rstest]
#[case::wrong_credential(StatusCode::UNAUTHORIZED)]
#[case::malformed(StatusCode::BAD_REQUEST)]
#[case::too_large(StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn a_refused_request_is_not_retried_and_its_reason_is_printed(#[case] status: StatusCode) {
    let control = MockControl::start(vec![refusal(status)]).await;
    let output = drain(&[control.address], LONG_TIMEOUT).await;
    assert_eq!(output.status, ExitStatus::Refused, "{output:?}");
    assert!(output.stderr.contains("reason"), "{output:?}");
    assert_eq!(control.bodies().len(), 1);
}

// Guards against commands that fail because they were sent to a follower.
#[tokio::test]
async fn a_redirect_is_followed_with_the_same_command() {
    let leader = MockControl::start(vec![accepted()]).await;
    let follower = MockControl::start(vec![MockBehavior::Redirect(leader.address)]).await;
    let (_socket, closed) = closed_address();
    let output = drain(&[closed, follower.address], LONG_TIMEOUT).await;
    assert_eq!(output.status, ExitStatus::Done, "{output:?}");
    assert_eq!(follower.bodies(), leader.bodies());
}

fn status_report(revision: Option<u64>) -> MockBehavior {
    let digest = "0".repeat(64);
    let entry = serde_json::json!({
        "entry": "q-entry-3", "incarnation": 7, "caller_address": "127.0.0.1:1",
        "failure_domain": "d1", "ordinal": 0, "draining": false,
    });
    let report = serde_json::json!({
        "replica": 1, "term": 1, "leader": 1, "commit": 9, "revision": 5, "digest": digest,
        "sheet": 118, "sheet_revision": 5, "replicas": [], "targets": 0, "claims": 0,
        "entries": [{"record": entry, "revision": revision}], "entry_lease": 6000,
    });
    MockBehavior::Answer(StatusCode::OK, report.to_string())
}

// A sheet must not be reported as in force while an entry has not reported its revision.
#[rstest]
#[case::never_catches_up(SHORT_TIMEOUT, [None, Some(4)], ExitStatus::NotInForce)]
#[case::catches_up(LONG_TIMEOUT, [Some(4), Some(5)], ExitStatus::Done)]
#[tokio::test]
async fn waiting_lists_the_entries_that_have_not_reported_the_revision(
    #[case] timeout: &str,
    #[case] revisions: [Option<u64>; 2],
    #[case] expected: ExitStatus,
) {
    let [first, second] = revisions.map(status_report);
    let control = MockControl::start(vec![accepted(), first, second]).await;
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/examples/sheet.csv");
    let arguments = [timeout, "sheet", "apply", file, "--date", "2026-12-04", "--wait"];
    let output = ctl(&[control.address], &arguments).await;
    assert_eq!(output.status, expected, "{output:?}");
    assert!(output.stderr.contains("missing: q-entry-3 (process 7)"), "{output:?}");
}

// Guards against reporting an unknown outcome for a read, which changes nothing: the operator would look for effects.
#[tokio::test]
async fn a_read_without_a_response_is_reported_as_unavailable() {
    let control = MockControl::start(vec![refusal(StatusCode::SERVICE_UNAVAILABLE)]).await;
    let output = ctl(&[control.address], &[SHORT_TIMEOUT, "status"]).await;
    assert_eq!(output.status, ExitStatus::Unavailable, "{output:?}");
    assert!(output.stderr.contains("read status: no answer: "), "{output:?}");
}
