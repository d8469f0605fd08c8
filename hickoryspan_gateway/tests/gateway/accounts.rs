//! Callers with and without keys of client accounts, through real entries on loopback.

use std::sync::Arc;
use std::time::Duration;

use crate::scripted_peer::{PeerReaction, ScriptedPeer};
use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, exchange_on, route,
    to_service, to_shards,
};
use bytes::Bytes;
use hickoryspan_core::gateway::documents::accounts::{ClientAccount, KeyDigest};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteRule};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::types::AccountId;
use rstest::rstest;
use serde::Serialize;
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const RECORD: &[u8] = b"0123456789abcdef";

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        account: AccountId::new(name).expect("a name"),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
    }
}

fn private_route() -> RouteRule {
    route("/one/", RepeatRule::Idempotent, to_service("one"))
}

fn public_route() -> RouteRule {
    RouteRule { public: true, ..route("/open/", RepeatRule::Idempotent, to_service("one")) }
}

fn request(path: &str, headers: &str) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\nhs-deadline-ms: 6000\r\n{headers}\r\n"
    )
    .into_bytes()
}

fn answering() -> crate::support::TargetScript {
    Arc::new(|request: &SeenRequest| TargetAction::Send(request.answer("stamp", RECORD)))
}

/// Starts a deployment with a private and a public route to one target.
async fn start(accounts: Option<Vec<ClientAccount>>, target: &ScriptedTarget) -> Deployment {
    let mut deployment = Deployment::start().await;
    deployment.accounts = accounts;
    deployment.configure(vec![private_route(), public_route()]).await;
    deployment.announce("t", "one", target.address).await;
    deployment
}

fn last_seen(target: &ScriptedTarget) -> SeenRequest {
    target.seen.lock().expect("requests").last().expect("a request").clone()
}

/// Repeats a request on one connection until it is answered with this status.
async fn await_status(stream: &mut TcpStream, request: &[u8], status: u16) {
    let answered = async {
        while exchange_on(stream, request).await.status != status {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, answered).await.expect("the configuration is in force");
}

/// Guards against requests that are served without a key that a configuration holds, and against a 401 that repeats a
/// key or lacks the challenge.
#[rstest]
#[case::no_key("")]
#[case::unknown_key("hs-key: k-9\r\n")]
#[case::empty_key("hs-key: \r\n")]
#[case::two_keys("hs-key: k-1\r\nhs-key: k-2\r\n")]
#[case::the_same_key_twice("hs-key: k-1\r\nhs-key: k-1\r\n")]
#[case::only_the_name_of_an_account("hs-account: a\r\n")]
#[tokio::test]
async fn a_request_without_one_known_key_gets_401(#[case] headers: &str) {
    let target = ScriptedTarget::start(answering()).await;
    let accounts = vec![account("a", &["k-1", "k-2"])];
    let deployment = start(Some(accounts), &target).await;
    let answer = deployment.exchange(&request("/one/", headers)).await;
    assert_eq!(answer.status, 401, "{answer:?}");
    assert!(answer.header("www-authenticate").is_some());
    assert_eq!(answer.body, b"unknown_key");
    assert_eq!(target.count(), 0);
    deployment.stop().await;
}

/// Guards against keys that are passed on, and against callers that name an account themselves or have the entry's own
/// header removed by naming it in `Connection`.
#[rstest]
#[case::key("/one/", "hs-key: k-1\r\n", Some("a"))]
#[case::other_key("/one/", "hs-key: k-2\r\n", Some("a"))]
#[case::forged_account("/one/", "hs-key: k-1\r\nhs-account: b\r\nhs-account: c\r\n", Some("a"))]
#[case::removed_account("/one/", "hs-key: k-1\r\nconnection: hs-account\r\n", Some("a"))]
#[case::public_route("/open/", "", None)]
#[case::public_route_forged("/open/", "hs-account: a\r\n", None)]
#[case::public_route_unknown_key("/open/", "hs-key: k-9\r\n", None)]
#[case::public_route_key("/open/", "hs-key: k-1\r\n", Some("a"))]
#[tokio::test]
async fn a_target_learns_the_account_and_not_the_key(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] expected: Option<&str>,
) {
    let target = ScriptedTarget::start(answering()).await;
    let accounts = vec![account("a", &["k-1", "k-2"]), account("b", &["k-3"])];
    let deployment = start(Some(accounts), &target).await;
    assert_eq!(deployment.exchange(&request(path, headers)).await.status, 200);
    let seen = last_seen(&target);
    assert_eq!(seen.header("hs-account"), expected);
    assert_eq!(seen.head.matches("hs-account").count(), usize::from(expected.is_some()));
    assert!(!seen.head.contains("hs-key") && !seen.head.contains("k-"), "{}", seen.head);
    deployment.stop().await;
}

/// Guards against a change for deployments without accounts, whose targets may use headers of these names.
#[tokio::test]
async fn without_accounts_the_headers_are_forwarded_as_they_are() {
    let target = ScriptedTarget::start(answering()).await;
    let deployment = start(None, &target).await;
    let headers = "hs-key: k-1\r\nhs-account: b\r\n";
    assert_eq!(deployment.exchange(&request("/one/", headers)).await.status, 200);
    let seen = last_seen(&target);
    assert_eq!((seen.header("hs-key"), seen.header("hs-account")), (Some("k-1"), Some("b")));
    deployment.stop().await;
}

/// Guards against a 401, after which callers do not come back, from an entry that does not know the keys yet.
#[tokio::test]
async fn an_entry_without_a_document_answers_503() {
    let deployment = Deployment::start().await;
    let answer = deployment.exchange(&request("/one/", "hs-key: k-1\r\n")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    deployment.stop().await;
}

/// Guards against a key that is checked only when a connection is opened, and against accounts that stay as they were.
#[tokio::test]
async fn added_and_removed_keys_are_in_force_on_kept_connections() {
    let target = ScriptedTarget::start(answering()).await;
    let mut deployment = start(Some(vec![account("a", &["k-1"])]), &target).await;
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let (first, second) =
        (request("/one/", "hs-key: k-1\r\n"), request("/one/", "hs-key: k-2\r\n"));
    assert_eq!(exchange_on(&mut stream, &first).await.status, 200);
    assert_eq!(exchange_on(&mut stream, &second).await.status, 401);
    deployment.accounts = Some(vec![account("a", &["k-1", "k-2"])]);
    deployment.configure(vec![private_route()]).await;
    await_status(&mut stream, &second, 200).await;
    deployment.accounts = Some(vec![account("a", &["k-2"])]);
    deployment.configure(vec![private_route()]).await;
    await_status(&mut stream, &first, 401).await;
    assert_eq!(exchange_on(&mut stream, &second).await.status, 200);
    // An account without keys is no document without accounts.
    deployment.accounts = Some(vec![account("a", &[])]);
    deployment.configure(vec![private_route()]).await;
    await_status(&mut stream, &second, 401).await;
    deployment.accounts = None;
    deployment.configure(vec![private_route()]).await;
    await_status(&mut stream, &second, 200).await;
    deployment.stop().await;
}

/// What is sent while a request waits, and whether the request may then be sent.
#[derive(Clone, Copy, Debug)]
enum WaitingCase {
    KeyRemoved,
    KeyMoved,
    KeyKept,
    AccountsDropped,
    AccountsIntroduced,
    AccountsIntroducedOnPublicRoute,
    RouteNoLongerPublic,
}

impl WaitingCase {
    fn before(self) -> Option<Vec<ClientAccount>> {
        match self {
            Self::AccountsIntroduced | Self::AccountsIntroducedOnPublicRoute => None,
            _ => Some(vec![account("a", &["k-1"]), account("b", &[])]),
        }
    }

    fn after(self) -> Option<Vec<ClientAccount>> {
        match self {
            Self::KeyRemoved => Some(vec![account("a", &["k-2"])]),
            Self::KeyMoved => Some(vec![account("a", &[]), account("b", &["k-1"])]),
            Self::KeyKept | Self::RouteNoLongerPublic => Some(vec![account("a", &["k-1", "k-2"])]),
            Self::AccountsDropped => None,
            // The headers of the waiting request are as the caller sent them, with the key.
            Self::AccountsIntroduced | Self::AccountsIntroducedOnPublicRoute => {
                Some(vec![account("a", &["k-1"])])
            }
        }
    }

    fn headers(self) -> &'static str {
        match self {
            Self::RouteNoLongerPublic => "",
            _ => "hs-key: k-1\r\n",
        }
    }

    fn may_run(self) -> bool {
        matches!(self, Self::KeyKept | Self::AccountsDropped)
    }
}

/// Guards against a revoked key whose requests reach a target because they waited for a connection, and against a
/// refusal that does not say that the request has not run.
#[rstest]
#[tokio::test]
async fn a_waiting_request_is_checked_against_the_accounts_in_force(
    #[values(
        WaitingCase::KeyRemoved,
        WaitingCase::KeyMoved,
        WaitingCase::KeyKept,
        WaitingCase::AccountsDropped,
        WaitingCase::AccountsIntroduced,
        WaitingCase::AccountsIntroducedOnPublicRoute,
        WaitingCase::RouteNoLongerPublic
    )]
    case: WaitingCase,
) {
    // One connection of the entry to the target, which the first request holds.
    let release = tokio_util::sync::CancellationToken::new();
    let held = release.clone();
    let target = ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
        TargetAction::SendWhen(held.clone(), request.answer("stamp", RECORD))
    }))
    .await;
    let mut deployment = Deployment::start().await;
    deployment.accounts = case.before();
    let stays_public = matches!(case, WaitingCase::AccountsIntroducedOnPublicRoute);
    let is_public = stays_public || matches!(case, WaitingCase::RouteNoLongerPublic);
    deployment.configure(vec![RouteRule { public: is_public, ..private_route() }]).await;
    deployment.announce("t", "one", target.address).await;
    let address = deployment.address;
    let send = || async move {
        let mut stream = TcpStream::connect(address).await.expect("connect to the entry");
        exchange_on(&mut stream, &request("/one/", case.headers())).await
    };
    let first = tokio::spawn(send());
    while target.count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let waiting = tokio::spawn(send());
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.accounts = case.after();
    let mut new_route = route("/new/", RepeatRule::Idempotent, to_service("absent"));
    new_route.public = true;
    let old_route = RouteRule { public: stays_public, ..private_route() };
    deployment.configure(vec![old_route, new_route]).await;
    // The entry has the new configuration once it knows the new route, which has no target.
    let mut probe = TcpStream::connect(address).await.expect("connect to the entry");
    await_status(&mut probe, &request("/new/", ""), 503).await;
    release.cancel();
    assert_eq!(first.await.expect("an exchange").status, 200);
    let answer = waiting.await.expect("an exchange");
    assert_eq!(answer.status, if case.may_run() { 200 } else { 503 }, "{case:?}: {answer:?}");
    assert_eq!(target.count(), if case.may_run() { 2 } else { 1 }, "{case:?}");
    deployment.stop().await;
}

/// Guards against keys in the groups that entries send for each other, and against groups without the account.
#[tokio::test]
async fn groups_sent_by_other_entries_carry_the_account_and_not_the_key() {
    let relays = RelaySettings { min_shards: 4, group_shards: 3, ..RelaySettings::default() };
    let mut deployment = Deployment::start_with(2, relays).await;
    deployment.accounts = Some(vec![account("a", &["k-1"])]);
    let names: Vec<String> = (0..12).map(|shard| format!("shard-{shard}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    let destination = to_shards(&shards, 1.0);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    let mut targets = Vec::new();
    for name in &names {
        let stamp = format!("stamp-{name}");
        let script =
            move |request: &SeenRequest| TargetAction::Send(request.answer(&stamp, RECORD));
        let target = ScriptedTarget::start(Arc::new(script)).await;
        deployment.announce(name, name, target.address).await;
        targets.push(target);
    }
    deployment.await_links(2).await;
    let headers = "hs-key: k-1\r\nhs-account: b\r\nconnection: hs-account\r\n";
    let answer = deployment.exchange(&request("/all/q", headers)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let tasks: u64 = deployment.others.iter().map(|entry| entry.fanout_counts().tasks_served).sum();
    assert!(tasks > 0, "other entries send groups");
    for target in &targets {
        for seen in target.seen.lock().expect("requests").iter() {
            assert_eq!(seen.header("hs-account"), Some("a"));
            assert!(!seen.head.contains("hs-key") && !seen.head.contains("k-1"), "{}", seen.head);
        }
    }
    deployment.stop().await;
}

/// A target with queues, from whose answers an entry learns that it must refuse a part of all requests.
async fn start_loaded_target(load: &'static str) -> ScriptedTarget {
    ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
        let answer = String::from_utf8(request.answer("stamp", RECORD)).expect("text");
        let loaded = answer.replacen("OK\r\n", &format!("OK\r\nhs-load: {load}\r\n"), 1);
        TargetAction::Send(loaded.into_bytes())
    }))
    .await
}

/// Sends requests with these keys one after the other, and returns how many of each key's were served.
async fn count_served<const KEYS: usize>(
    deployment: &Deployment,
    keys: [&str; KEYS],
    rounds: usize,
    sent_each_round: [usize; KEYS],
) -> [usize; KEYS] {
    let mut stream = TcpStream::connect(deployment.address).await.expect("connect to the entry");
    let mut served = [0; KEYS];
    for _ in 0..rounds {
        for (index, key) in keys.iter().enumerate() {
            let request = request("/one/", &format!("hs-key: {key}\r\n"));
            for _ in 0..sent_each_round[index] {
                let answer = exchange_on(&mut stream, &request).await;
                served[index] += usize::from(answer.status == 200);
            }
        }
    }
    served
}

/// Guards against shedding that ranks requests by their route alone. The queue is so long that requests of the route's
/// priority are nearly all shed, and about half of those of the account's.
#[tokio::test]
async fn the_priority_of_an_account_goes_before_that_of_the_route() {
    let target = start_loaded_target("2,4,2").await;
    let urgent = ClientAccount { priority: Some(0), ..account("a", &["k-1"]) };
    let mut deployment = Deployment::start().await;
    deployment.accounts = Some(vec![urgent, account("b", &["k-2"])]);
    deployment.configure(vec![RouteRule { priority: 4, ..private_route() }]).await;
    deployment.announce("t", "one", target.address).await;
    let served = count_served(&deployment, ["k-1", "k-2"], 150, [1, 1]).await;
    assert!(served[0] > 2 * served[1], "{served:?}");
    deployment.stop().await;
}

/// One account sends nine of ten requests. Guards against overload that the other account pays for alike, and against
/// one that is refused altogether.
#[tokio::test]
async fn an_account_that_sends_most_requests_is_refused_first() {
    let target = start_loaded_target("2,4,2").await;
    let mut deployment = Deployment::start().await;
    deployment.accounts = Some(vec![account("a", &["k-1"]), account("b", &["k-2"])]);
    deployment.configure(vec![RouteRule { priority: 0, ..private_route() }]).await;
    deployment.announce("t", "one", target.address).await;
    let served = count_served(&deployment, ["k-1", "k-2"], 60, [9, 1]).await;
    let parts = [served[0] as f64 / 540.0, served[1] as f64 / 60.0];
    assert!(parts[1] > parts[0] + 0.2 && parts[0] > 0.25, "{parts:?}");
    deployment.stop().await;
}

/// A header in a message of a fan-out link.
#[derive(Serialize)]
struct HeaderField {
    name: &'static str,
    value: Bytes,
}

/// A group as another entry sends it. Times are in milliseconds.
#[derive(Serialize)]
struct GroupTask {
    number: u64,
    route: &'static str,
    objective: u64,
    max_attempts: u32,
    method: &'static str,
    target_path: &'static str,
    headers: Vec<HeaderField>,
    body: Bytes,
    shards: Vec<&'static str>,
    result_limit: usize,
    first_batch_in: u64,
    answer_in: u64,
    give_up_in: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum GroupRequest {
    Run(GroupTask),
}

fn group_with_key() -> GroupTask {
    let headers = [("host", "search.example"), ("hs-request-id", "r-1"), ("hs-key", "k-1")];
    let to_field = |(name, value)| HeaderField { name, value: Bytes::from_static(value) };
    GroupTask {
        number: 1,
        route: "wide",
        objective: 4_000,
        max_attempts: 1,
        method: "GET",
        target_path: "/all/q",
        headers: headers
            .map(|(name, value): (_, &str)| (name, value.as_bytes()))
            .map(to_field)
            .into(),
        body: Bytes::new(),
        shards: vec!["one"],
        result_limit: 3,
        first_batch_in: 1_000,
        answer_in: 2_000,
        give_up_in: 6_000,
    }
}

/// Guards against a key that an entry of an earlier release, or with an earlier configuration, passes on in a group.
#[rstest]
#[case::with_accounts(Some(vec![account("a", &["k-1"])]), None)]
#[case::without_accounts(None, Some("k-1"))]
#[tokio::test]
async fn a_key_in_the_group_of_another_entry_goes_no_further(
    #[case] accounts: Option<Vec<ClientAccount>>,
    #[case] expected: Option<&str>,
) {
    let target = ScriptedTarget::start(answering()).await;
    let deployment = start(accounts, &target).await;
    let peer = ScriptedPeer::start(&deployment, PeerReaction::Freeze).await;
    let link = peer.connect().await;
    let (requests, outgoing) = mpsc::channel(1);
    requests.send(GroupRequest::Run(group_with_key())).await.expect("a link");
    // The first reply ends the link.
    let replied = tokio::time::timeout(TEST_TIMEOUT, link.run(outgoing, |_: IgnoredAny| false));
    // The link may end in any way.
    let _ = replied.await.expect("a reply");
    assert_eq!(last_seen(&target).header("hs-key"), expected);
    deployment.stop().await;
}
