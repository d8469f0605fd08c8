//! Targets that answer with figures beyond all reason, or that end in the middle of an answer. Callers must get the whole
//! answer or a failure that says so, and the entry must go on.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, TargetScript, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetPhase,
};
use hickoryspan_core::types::{FailureDomain, ServiceId, TargetId, WallTime};
use rstest::rstest;

const BODY: &[u8] = b"0123456789abcdef";

async fn start(
    destination: RouteDestination,
    script: TargetScript,
) -> (Deployment, ScriptedTarget) {
    let target = ScriptedTarget::start(script).await;
    let mut deployment = Deployment::start().await;
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    (deployment, target)
}

/// Guards against a figure in a header that ends the request, or every later one, without an answer.
#[rstest]
#[case::idle_time("keep-alive: timeout=18446744073709551615")]
#[case::negative_idle_time("keep-alive: timeout=-1")]
#[case::load("hs-load: 4294967295,4294967295,1")]
#[case::load_without_slots("hs-load: 4294967295,4294967295,0,4294967295")]
#[case::load_beyond_the_range("hs-load: 99999999999999999999,1,1")]
#[case::limit("hs-limit: 1e400")]
#[case::tiny_limit("hs-limit: 1e-300")]
#[case::limit_that_is_no_number("hs-limit: nan")]
#[tokio::test]
async fn an_unreasonable_header_does_not_end_a_request(
    #[case] header: &'static str,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let script = move |request: &SeenRequest| {
        let answer = request.answer("stamp", BODY);
        let text = String::from_utf8(answer).expect("text");
        let text = text.replacen("\r\n", &format!("\r\n{header}\r\n"), 1);
        TargetAction::Send(text.into_bytes())
    };
    let (deployment, _target) = start(destination, Arc::new(script)).await;
    let first = deployment.exchange(&get("/one/")).await;
    assert_eq!((first.status, first.body.as_slice()), (200, BODY));
    // The figures apply to later requests; a tiny limit may refuse them.
    let second = deployment.exchange(&get("/one/")).await;
    assert!(second.status == 200 || (header.contains("hs-limit") && second.status == 503));
    deployment.stop().await;
}

/// Guards against an answer that ends in its head or body and looks whole to the caller.
#[rstest]
#[case::with_a_length(false)]
#[case::in_chunks(true)]
#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success(
    #[case] chunked: bool,
    #[values(to_service("one"), to_shards(&["one"], 1.0))] destination: RouteDestination,
) {
    let length = whole_answer("r-1", chunked).len();
    let script = move |request: &SeenRequest| {
        let cut = request.head.split(' ').nth(1).and_then(|path| path.strip_prefix("/one/"));
        let cut: usize = cut.and_then(|text| text.parse().ok()).expect("a length");
        let id = request.header("hs-request-id").unwrap_or("none");
        TargetAction::SendAndClose(whole_answer(id, chunked)[..cut].to_vec())
    };
    let (deployment, _target) = start(destination, Arc::new(script)).await;
    for cut in 0..length {
        let answer = deployment.exchange(&get(&format!("/one/{cut}"))).await;
        assert!(answer.status >= 500, "cut at {cut}: {answer:?}");
    }
    let whole = deployment.exchange(&get(&format!("/one/{length}"))).await;
    assert_eq!((whole.status, whole.body.as_slice()), (200, BODY));
    deployment.stop().await;
}

fn whole_answer(id: &str, chunked: bool) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nhs-request-id: {id}\r\nhs-stamp: stamp\r\n");
    let (framing, start, end) = match chunked {
        true => ("transfer-encoding: chunked", "10\r\n", "\r\n0\r\n\r\n"),
        false => ("content-length: 16", "", ""),
    };
    let before = format!("{head}{framing}\r\n\r\n{start}");
    [before.as_bytes(), BODY, end.as_bytes()].concat()
}

/// Guards against an announcement with figures beyond all reason that ends an entry, or after which it follows no further
/// changes.
#[tokio::test]
async fn an_unreasonable_announcement_does_not_stop_an_entry() {
    let script = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", BODY));
    let (deployment, target) = start(to_service("one"), Arc::new(script)).await;
    for (index, address) in ["[fe80::1%7]:1", "[::1]:65535", "255.255.255.254:1"].iter().enumerate()
    {
        let odd = TargetAnnouncement {
            target: TargetId::new(format!("odd-{index}-{}", "x".repeat(40))).expect("a name"),
            age: AnnouncementAge { started: WallTime(u64::MAX), sequence: u64::MAX },
            service: ServiceId::new("odd").expect("a name"),
            address: address.parse().expect("an address"),
            domain: FailureDomain::new("elsewhere").expect("a name"),
            slots: u32::MAX,
            phase: TargetPhase::Ready,
            cold: Duration::from_millis(u64::MAX),
        };
        deployment.hub.announce(odd.address.ip(), odd).await;
    }
    // The entry follows changes that come after it.
    deployment.announce("later", "one", target.address).await;
    for _ in 0..4 {
        let answer = deployment.exchange(&get("/one/")).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, BODY));
    }
    let seen = target.seen.lock().expect("requests").clone();
    assert!(seen.iter().any(|request| request.header("hs-target") == Some("later")));
    deployment.stop().await;
}
