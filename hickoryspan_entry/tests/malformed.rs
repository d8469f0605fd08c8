//! Guards against malformed input that reaches a target, that is answered without a typed error, or
//! that keeps a connection open forever.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::*;
use hickoryspan_entry::EntryHandle;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_target::TargetHandle;
use hickoryspan_target::settings::TargetSettings;
use rstest::rstest;

const BODY_BYTES: usize = 1024;
const SEARCH: &str = r#"{"search":"find","query":1}"#;
const ORDER: &str = r#"{"order":"print","content":1}"#;
/// Read timeout of the entry, short because each test of a slow caller waits for it to expire.
const READ_TIME: Duration = Duration::from_millis(50);

struct TestSystem {
    target: TargetHandle,
    control: FakeControl,
    entry: EntryHandle,
}

impl TestSystem {
    async fn start(read_time: Duration) -> Self {
        let target = start_shard(0, 1, TargetSettings::default()).await;
        let control = FakeControl::start(view(records([&target]), TEST_TIMEOUT)).await;
        let limits = HttpLimits { body_bytes: BODY_BYTES, read_time, ..HttpLimits::default() };
        let entry = start_entry_with(&control, |settings| hickoryspan_entry::EntryDaemonSettings {
            caller_limits: limits.clone(),
            ..settings
        })
        .await;
        wait_ready(&entry, [&target]).await;
        Self { target, control, entry }
    }

    /// Checks that a valid search still works and is the only request that the target received,
    /// then stops all processes.
    async fn stop(self) {
        let answer = search(self.entry.caller_address(), "1").await;
        assert_eq!(answer.outcome(), "complete", "{}", answer.body);
        assert_eq!(self.target.received_requests(), 1);
        self.entry.stop().await;
        self.target.stop().await;
        self.control.stop().await;
    }
}

fn without(name: &str) -> Vec<(&'static str, String)> {
    order_headers("o1").into_iter().filter(|(header, _)| *header != name).collect()
}

fn with(name: &'static str, value: &str) -> Vec<(&'static str, String)> {
    let mut headers = without(name);
    headers.push((name, value.to_owned()));
    headers
}

fn twice(name: &'static str) -> Vec<(&'static str, String)> {
    let mut headers = order_headers("o1");
    headers.push((name, "x1".to_owned()));
    headers
}

#[rstest]
#[case::unknown_route("POST", "/v1/find", order_headers("o1"), SEARCH, 404, "unknown_route")]
#[case::bad_order_id("GET", "/v1/orders/a%20b", order_headers("o1"), "", 404, "unknown_route")]
#[case::method("GET", "/v1/search", order_headers("o1"), "", 405, "method_not_allowed")]
#[case::delete("DELETE", "/v1/orders/o1", order_headers("o1"), "", 405, "method_not_allowed")]
#[case::no_tenant("POST", "/v1/search", without("hs-tenant"), SEARCH, 400, "missing_header")]
#[case::no_caller("POST", "/v1/search", without("hs-caller"), SEARCH, 400, "missing_header")]
#[case::no_id("POST", "/v1/orders", without("hs-request-id"), ORDER, 400, "missing_header")]
#[case::no_issue("POST", "/v1/orders", without("hs-issued-at"), ORDER, 400, "missing_header")]
#[case::lookup("GET", "/v1/orders/o1", without("hs-issued-at"), "", 400, "missing_header")]
#[case::addresses("GET", "/v1/addresses", without("hs-caller"), "", 400, "missing_header")]
#[case::bad_class("POST", "/v1/search", with("hs-class", "a b"), SEARCH, 400, "invalid_header")]
#[case::bad_issue("POST", "/v1/orders", with("hs-issued-at", "-1"), ORDER, 400, "invalid_header")]
#[case::bad_time("POST", "/v1/search", with("hs-deadline-ms", "1s"), SEARCH, 400, "invalid_header")]
#[case::past("POST", "/v1/search", with("hs-deadline-ms", "0"), SEARCH, 504, "deadline_passed")]
#[case::two_ids("POST", "/v1/orders", twice("hs-request-id"), ORDER, 400, "duplicate_header")]
#[case::two_tenants("POST", "/v1/search", twice("hs-tenant"), SEARCH, 400, "duplicate_header")]
#[case::media(
    "POST",
    "/v1/search",
    with("content-type", "a/b"),
    SEARCH,
    415,
    "unsupported_media_type"
)]
#[case::empty("POST", "/v1/search", order_headers("o1"), "", 400, "malformed_body")]
#[case::json("POST", "/v1/search", order_headers("o1"), "{\"search\":", 400, "malformed_body")]
#[case::no_query(
    "POST",
    "/v1/search",
    order_headers("o1"),
    r#"{"search":"find"}"#,
    400,
    "malformed_body"
)]
#[case::extra(
    "POST",
    "/v1/search",
    order_headers("o1"),
    r#"{"search":"find","query":1,"page":1}"#,
    400,
    "malformed_body"
)]
#[case::twice(
    "POST",
    "/v1/search",
    order_headers("o1"),
    r#"{"search":"find","query":1,"query":2}"#,
    400,
    "malformed_body"
)]
#[case::page(
    "POST",
    "/v1/search",
    order_headers("o1"),
    r#"{"search":"find","query":1,"page_token":"7"}"#,
    400,
    "malformed_page_token"
)]
#[case::order("POST", "/v1/orders", order_headers("o1"), SEARCH, 400, "malformed_body")]
#[tokio::test]
async fn a_malformed_request_gets_a_typed_error_and_reaches_no_target(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: Vec<(&'static str, String)>,
    #[case] body: &str,
    #[case] status: u16,
    #[case] error: &str,
) {
    let system = TestSystem::start(TEST_TIMEOUT).await;
    let answer = call(system.entry.caller_address(), method, path, &headers, body).await;
    assert_eq!((answer.status, answer.body["error"].as_str().unwrap()), (status, error));
    assert_eq!((answer.outcome(), answer.body["entry"].as_str().unwrap()), ("not_run", "e1"));
    system.stop().await;
}

#[rstest]
#[case::unknown_search("find-other", 404, "unknown_name")]
#[case::order_as_search("print", 404, "unknown_name")]
#[tokio::test]
async fn a_name_that_the_sheet_does_not_allow_reaches_no_target(
    #[case] name: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let system = TestSystem::start(TEST_TIMEOUT).await;
    let body = format!(r#"{{"search":"{name}","query":1}}"#);
    let address = system.entry.caller_address();
    let answer = call(address, "POST", "/v1/search", &caller_headers(), &body).await;
    assert_eq!((answer.status, answer.reason()), (status, reason), "{}", answer.body);
    assert_eq!(answer.outcome(), "not_run");
    system.stop().await;
}

#[tokio::test]
async fn a_large_body_is_refused() {
    let system = TestSystem::start(TEST_TIMEOUT).await;
    let body = format!(r#"{{"search":"find","query":"{}"}}"#, "x".repeat(BODY_BYTES));
    let address = system.entry.caller_address();
    let answer = call(address, "POST", "/v1/search", &caller_headers(), &body).await;
    assert_eq!((answer.status, &answer.body["error"]), (413, &"body_too_large".into()));
    system.stop().await;
}

#[rstest]
#[case::headers("POST /v1/search HTTP/1.1\r\nhost: e\r\n", "")]
#[case::no_byte("", "")]
#[case::preface_prefix("PRI", "")]
#[case::body(
    "POST /v1/search HTTP/1.1\r\nhost: e\r\nhs-tenant: quindio\r\nhs-caller: console\r\n\
     content-length: 20\r\n\r\n{\"search\"",
    "body_too_slow"
)]
#[case::large_headers("GET /v1/addresses HTTP/1.1\r\nhost: e\r\nhs-filler: ", "")]
#[case::not_http("\0\0\0\0\r\n\r\n", "400 Bad Request")]
#[case::two_lengths(
    "POST /v1/search HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{}",
    "400 Bad Request"
)]
#[tokio::test]
async fn the_connection_of_a_slow_or_broken_caller_is_closed(
    #[case] bytes: &str,
    #[case] expected: &str,
) {
    let system = TestSystem::start(READ_TIME).await;
    let answer = send_raw(system.entry.caller_address(), bytes.as_bytes()).await;
    assert!(answer.contains(expected), "{answer}");
    assert!(!answer.contains(" 200 "), "{answer}");
    system.stop().await;
}

#[tokio::test]
async fn headers_beyond_the_limit_are_refused() {
    let system = TestSystem::start(TEST_TIMEOUT).await;
    let filler = "x".repeat(2 * HttpLimits::default().header_bytes);
    let request = format!("GET /v1/addresses HTTP/1.1\r\nhost: e\r\nhs-filler: {filler}\r\n\r\n");
    let answer = send_raw(system.entry.caller_address(), request.as_bytes()).await;
    assert!(answer.contains("431"), "{answer}");
    system.stop().await;
}
