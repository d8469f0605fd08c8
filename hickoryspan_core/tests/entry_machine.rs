//! Outcomes, responses and deadlines on the request path.

mod entry_support;

use entry_support::*;

/// Guards against an outcome or coverage that differs from the engine's result.
#[rstest]
#[case::full(search_result(1.0, &[7]), RequestOutcome::Complete)]
#[case::part(search_result(0.5, &[7]), RequestOutcome::Partial)]
#[case::nothing_ran(search_result(0.0, &[]), RequestOutcome::NotRun)]
#[case::ran_without_answer(
    SearchResult { may_have_run: true, attempts: 2, ..search_result(0.0, &[]) },
    RequestOutcome::Failed
)]
fn searches_are_answered_with_what_the_engine_found(
    #[case] result: SearchResult,
    #[case] outcome: RequestOutcome,
) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.search();
    harness.report(EngineReport::Search(token, result.clone()));
    let response = harness.response(token).expect("a response");
    assert_eq!(response.outcome, outcome);
    assert_eq!(response.coverage, result.coverage);
    assert_eq!(response.parts, result.parts);
    assert_eq!(response.attempts, result.attempts);
    assert_eq!(response.snapshot, result.snapshot);
    assert_eq!(response.revision, RevisionNumber(5));
    assert!(harness.take().iter().any(|action| matches!(
        action,
        EntryAction::RecordMetric(EntryMetric::Request { outcome: measured, .. }) if *measured == outcome
    )));
}

/// Guards against starting a search with an unknown name or with the name of an order.
#[rstest]
#[case::order_as_search("order", ResponseReason::UnknownName)]
#[case::unknown_search("nothing", ResponseReason::UnknownName)]
fn unknown_names_are_not_run(#[case] search: &str, #[case] reason: ResponseReason) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.request(RequestKind::Search { pinned: None }, |request| {
        request.search = id(search);
    });
    assert_eq!(harness.outcome_of(token), refused(reason));
    assert!(harness.engine.script().searches.is_empty());
}

/// Guards against requests that are run before the entry has a sheet.
#[test]
fn requests_before_the_first_view_are_not_run() {
    let mut harness = EntryHarness::new(1);
    harness.auto_reply = false;
    assert_eq!(harness.probe_search(), refused(ResponseReason::NoConfiguration));
}

/// Guards against deadlines that exceed the class's, ignore the caller's, or are too short to be met.
#[rstest]
#[case::class_default("phone", None, Some(1000))]
#[case::callers_own("phone", Some(300), Some(300))]
#[case::capped("phone", Some(60_000), Some(1000))]
#[case::absent_class_uses_the_lowest("other", None, Some(2000))]
#[case::zero("phone", Some(0), None)]
#[case::too_short("phone", Some(1), None)]
fn deadlines_follow_class_and_caller(
    #[case] class: &str,
    #[case] stated: Option<u64>,
    #[case] expected: Option<u64>,
) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.request(RequestKind::Search { pinned: None }, |request| {
        request.class = id(class);
        request.deadline = stated.map(millis);
    });
    let started = harness.engine.script().searches.first().cloned();
    let Some(expected) = expected else {
        assert_eq!(harness.outcome_of(token), refused(ResponseReason::Deadline));
        return assert!(started.is_none());
    };
    let (_, plan) = started.expect("a started search");
    assert_eq!(plan.deadline, harness.now.monotonic + millis(expected));
}

/// Guards against attempts that continue after the caller disconnected.
#[test]
fn a_disconnect_cancels_the_search() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.search();
    harness.event(EntryEvent::CallerDisconnected(token));
    assert_eq!(harness.engine.script().cancelled, [token]);
    harness.report(EngineReport::Search(token, search_result(1.0, &[7])));
    assert!(harness.response(token).is_none());
}

/// Guards against a caller that never gets a response because the engine never reports.
#[test]
fn a_search_without_a_report_ends_at_its_deadline() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.search();
    harness.advance(millis(1500));
    let failed = Some((RequestOutcome::Failed, Some(ResponseReason::Deadline)));
    assert_eq!(harness.outcome_of(token), failed);
    assert_eq!(harness.engine.script().cancelled, [token]);
}

/// Guards against partial results that are lost because another event is handled before the engine's wake-up.
#[test]
fn the_engine_reports_before_a_search_expires() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.search();
    let result =
        SearchResult { reason: Some(ResponseReason::Deadline), ..search_result(0.5, &[7]) };
    harness.engine.script().tick_reports.push_back(EngineReport::Search(token, result));
    harness.set_time(harness.now.monotonic + millis(1000));
    harness.event(EntryEvent::ConnectionOpened(ConnectionId(1)));
    assert_eq!(harness.response(token).expect("a response").outcome, RequestOutcome::Partial);
}

/// Guards against a machine that is not `Send`, so that no actor can own it, and against one that does not connect
/// when it runs with the fan-out engine.
#[test]
fn a_machine_with_the_real_engine_connects_at_its_first_wakeup() {
    fn assert_send(_: &impl Send) {}
    let generator = ChaCha12Rng::seed_from_u64(1);
    let mut machine = EntryMachine::new(identity("e0"), EntrySettings::default(), generator);
    assert_send(&machine);
    let now = ClockReading { monotonic: MonotonicTime(5), wall: WallTime(START_WALL_MS) };
    assert!(machine.next_wakeup().is_some_and(|wakeup| wakeup <= now.monotonic));
    let mut actions = Vec::new();
    machine.handle(now, EntryEvent::Tick, &mut actions);
    assert!(matches!(actions[..], [EntryAction::ConnectControl(_)]), "{actions:?}");
}
