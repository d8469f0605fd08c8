//! Guards against a wrong report after a lost connection, a missing decision or a redirect.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use std::net::SocketAddr;

use hickoryspan_ctl::exit_status::ExitStatus;
use http::StatusCode;
use rstest::rstest;
use support::*;
use tokio::net::{TcpListener, TcpSocket};

/// Time for runs that end by themselves; a bound against endless tests.
const PATIENT: &str = "--timeout=2m";
/// Time for runs that must use up their time.
const SHORT: &str = "--timeout=3s";

fn accepted() -> Reaction {
    Reaction::Answer(StatusCode::OK, r#"{"accepted":{"revision":5}}"#.to_owned())
}

fn refusal(status: StatusCode) -> Reaction {
    Reaction::Answer(status, r#"{"error":"word","detail":"reason"}"#.to_owned())
}

async fn drain(addresses: &[SocketAddr], timeout: &str) -> Ended {
    ctl(addresses, &[timeout, "--command-id", "c-1", "drain", "target", "press-1"]).await
}

/// An address on which nothing listens; the bound socket keeps other tests from it.
fn closed_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

// A command that is repeated under another id runs twice.
#[tokio::test]
async fn a_lost_reply_is_repeated_with_the_same_command_id() {
    let first = StandIn::start(vec![Reaction::Close]).await;
    let second = StandIn::start(vec![accepted()]).await;
    let ended = drain(&[first.address, second.address], PATIENT).await;
    assert_eq!(ended.status, ExitStatus::Done, "{ended:?}");
    assert!(ended.results.contains("accepted at revision 5"), "{ended:?}");
    assert_eq!(first.bodies(), second.bodies());
    assert!(first.bodies()[0].contains(r#""command":"c-1""#), "{:?}", first.bodies());
}

// A report that a command was refused although it may run later makes the operator send another one.
#[rstest]
#[case::connections_lost(vec![Reaction::Close])]
#[case::no_decision(vec![refusal(StatusCode::SERVICE_UNAVAILABLE)])]
#[case::wrong_credential_after_a_lost_reply(
    vec![Reaction::Close, refusal(StatusCode::UNAUTHORIZED)]
)]
#[case::answer_of_another_release(
    vec![Reaction::Answer(StatusCode::OK, r#"{"postponed":{}}"#.to_owned())]
)]
#[tokio::test]
async fn an_undecided_command_is_reported_as_unknown(#[case] reactions: Vec<Reaction>) {
    let control = StandIn::start(reactions).await;
    let ended = drain(&[control.address], SHORT).await;
    assert_eq!(ended.status, ExitStatus::OutcomeUnknown, "{ended:?}");
    assert!(ended.notes.contains("may or may not have taken effect"), "{ended:?}");
    assert!(ended.notes.contains("--operator ana --command-id c-1"), "{ended:?}");
    assert!(ended.notes.contains(&control.address.to_string()), "{ended:?}");
}

// A report that the outcome is unknown although nothing was sent costs the operator a search for its effects.
#[tokio::test]
async fn a_command_that_was_never_sent_is_reported_as_such() {
    let (_socket, closed) = closed_address();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let looping = listener.local_addr().unwrap();
    let looping = StandIn::serve(listener, vec![Reaction::Redirect(looping)]);
    let ended = drain(&[closed, looping.address], SHORT).await;
    assert_eq!(ended.status, ExitStatus::Unreached, "{ended:?}");
    assert!(ended.notes.contains(&format!("control {closed}: connect")), "{ended:?}");
}

#[rstest]
#[case::wrong_credential(StatusCode::UNAUTHORIZED)]
#[case::malformed(StatusCode::BAD_REQUEST)]
#[case::too_large(StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn a_refused_request_ends_at_once_with_its_reason(#[case] status: StatusCode) {
    let control = StandIn::start(vec![refusal(status)]).await;
    let ended = drain(&[control.address], PATIENT).await;
    assert_eq!(ended.status, ExitStatus::Refused, "{ended:?}");
    assert!(ended.notes.contains("reason"), "{ended:?}");
    assert_eq!(control.bodies().len(), 1);
}

// A command that is not carried to the leader fails although the deployment works.
#[tokio::test]
async fn a_redirect_is_followed_with_the_same_command() {
    let leader = StandIn::start(vec![accepted()]).await;
    let follower = StandIn::start(vec![Reaction::Redirect(leader.address)]).await;
    let (_socket, closed) = closed_address();
    let ended = drain(&[closed, follower.address], PATIENT).await;
    assert_eq!(ended.status, ExitStatus::Done, "{ended:?}");
    assert_eq!(follower.bodies(), leader.bodies());
}

fn status_page(revision: Option<u64>) -> Reaction {
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
    Reaction::Answer(StatusCode::OK, report.to_string())
}

// A sheet that one entry does not run yet must not be reported as in force.
#[rstest]
#[case::behind_for_ever(SHORT, [None, Some(4)], ExitStatus::NotInForce)]
#[case::catches_up(PATIENT, [Some(4), Some(5)], ExitStatus::Done)]
#[tokio::test]
async fn waiting_names_the_entries_that_are_behind(
    #[case] timeout: &str,
    #[case] revisions: [Option<u64>; 2],
    #[case] expected: ExitStatus,
) {
    let [first, second] = revisions.map(status_page);
    let control = StandIn::start(vec![accepted(), first, second]).await;
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/examples/sheet.csv");
    let arguments = [timeout, "sheet", "apply", file, "--date", "2026-12-04", "--wait"];
    let ended = ctl(&[control.address], &arguments).await;
    assert_eq!(ended.status, expected, "{ended:?}");
    assert!(ended.notes.contains("missing: q-entry-3 (process 7)"), "{ended:?}");
}

// A question changes nothing; a report that its outcome is unknown makes the operator look for effects.
#[tokio::test]
async fn an_unanswered_question_has_no_unknown_outcome() {
    let control = StandIn::start(vec![refusal(StatusCode::SERVICE_UNAVAILABLE)]).await;
    let ended = ctl(&[control.address], &[SHORT, "status"]).await;
    assert_eq!(ended.status, ExitStatus::Unreached, "{ended:?}");
    assert!(ended.notes.contains("read status: no answer: "), "{ended:?}");
}
