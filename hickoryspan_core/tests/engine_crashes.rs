//! Tests that a request which crashes its targets is stopped and reported, and that requests are
//! not suspected because a failure domain was lost.

mod support;

use hickoryspan_core::entry::interface::{AnswerStatus, AttemptFailure, ResponseReason};
use hickoryspan_core::entry::plan::{EngineReport, FanoutMode, SearchPlan};
use hickoryspan_core::sheet::ShardScope;
use hickoryspan_core::types::{AttemptId, CoverageShare, QueryToken};
use rstest::rstest;
use support::*;

fn search_with(harness: &mut EngineHarness, number: u64) -> QueryToken {
    harness.search(SearchPlan { fingerprint: fingerprint(number), ..plan(harness.now) })
}

#[rstest]
#[case(Evidence::Restarted)]
#[case(Evidence::Gone)]
fn a_lost_connection_and_the_end_of_the_target_are_reported(#[case] evidence: Evidence) {
    let mut harness = EngineHarness::new(even_view(4, 2));
    search_with(&mut harness, 5);
    let lost = harness.running_on("s2")[0];
    let target = harness.target_of(lost);
    harness.crash(&target);
    harness.advance(ms(1000));
    assert!(harness.crashes().is_empty(), "a lost connection alone proves no crash");
    show_in_view(&mut harness, &target, evidence);
    assert_eq!(harness.crashes(), [(target.parse().unwrap(), vec![fingerprint(5)])]);
    harness.advance(ms(20_000));
    assert_eq!(harness.crashes().len(), 1, "reported once");
}

#[test]
fn one_crash_is_no_domain_loss_despite_answers_of_another_domain() {
    let mut harness = EngineHarness::new(even_view(6, 2));
    for shard in 0..3 {
        harness.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    harness.update_view();
    let token = search_with(&mut harness, 5);
    let sent = harness.sent.len();
    harness.done(harness.running_on("s0")[0]);
    harness.crash("t4-0");
    harness.advance(ms(50));
    harness.done_all();
    assert_eq!(harness.sent.len(), sent);
    assert!(harness.result(token).unwrap().coverage < CoverageShare::FULL);
    show_in_view(&mut harness, "t4-0", Evidence::Restarted);
    assert_eq!(harness.crashes().len(), 1);
}

#[test]
fn the_end_of_a_draining_target_proves_no_crash() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    search_with(&mut harness, 5);
    harness.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    harness.update_view();
    harness.crash("t0-0");
    harness.advance(ms(100));
    show_in_view(&mut harness, "t0-0", Evidence::Gone);
    assert!(harness.crashes().is_empty());
}

#[test]
fn all_requests_in_flight_on_the_target_are_reported() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    search_with(&mut harness, 5);
    let cancelled = search_with(&mut harness, 6);
    harness.cancel(cancelled);
    let answered = search_with(&mut harness, 7);
    let last = *harness.attempts.keys().max_by_key(|id| harness.sent[id].token).unwrap();
    harness.done(last);
    assert!(harness.result(answered).is_some());
    harness.crash("t0-0");
    harness.advance(ms(100));
    show_in_view(&mut harness, "t0-0", Evidence::Restarted);
    let (_, fingerprints) = harness.crashes().remove(0);
    assert_eq!(fingerprints.len(), 2);
    assert!(fingerprints.contains(&fingerprint(5)) && fingerprints.contains(&fingerprint(6)));
}

#[test]
fn a_crash_is_reported_if_the_new_incarnation_is_seen_before_the_loss() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    search_with(&mut harness, 5);
    show_in_view(&mut harness, "t0-0", Evidence::Restarted);
    harness.advance(ms(100));
    assert_eq!(harness.crashes(), [("t0-0".parse().unwrap(), vec![fingerprint(5)])]);
}

#[test]
fn no_crash_is_reported_without_a_request_in_flight_or_long_after_the_loss() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    harness.crash("t0-0");
    harness.advance(ms(100));
    show_in_view(&mut harness, "t0-0", Evidence::Restarted);
    search_with(&mut harness, 5);
    let lost = harness.running_on("s1")[0];
    harness.fail(lost, AttemptFailure::ConnectionLost);
    harness.advance(ms(60_000));
    show_in_view(&mut harness, "t1-0", Evidence::Restarted);
    assert!(harness.crashes().is_empty());
}

#[test]
fn after_a_lost_connection_a_search_sends_nothing_again() {
    let mut harness = EngineHarness::new(even_view(4, 2));
    harness.warm_up(ms(5));
    let token = harness.search_all();
    let sent = harness.sent.len();
    let lost = harness.running_on("s1")[0];
    let target = harness.target_of(lost);
    harness.crash(&target);
    let failing = harness.running_on("s2")[0];
    harness.answer(failing, AnswerStatus::Error);
    harness.advance(ms(100));
    assert_eq!(harness.sent.len(), sent, "neither a retry nor a hedge");
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::TargetFailure));
    assert!(result.may_have_run);
}

#[test]
fn crashes_in_all_domains_do_not_count_as_a_domain_loss() {
    let mut harness = EngineHarness::new(even_view(12, 3));
    // Domain 0 is preferred. With four of its targets gone, other domains run the request too.
    for shard in 0..4 {
        harness.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    harness.update_view();
    let token = search_with(&mut harness, 5);
    let sent = harness.sent.len();
    let targets: Vec<_> = harness.attempts.keys().map(|id| harness.target_of(*id)).collect();
    for target in &targets {
        harness.crash(target);
        harness.advance(ms(1));
    }
    harness.advance(ms(200));
    assert_eq!(harness.sent.len(), sent);
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::NONE);
    for target in &targets {
        show_in_view(&mut harness, target, Evidence::Restarted);
    }
    harness.advance(ms(100));
    assert_eq!(harness.crashes().len(), targets.len());
}

#[test]
fn the_loss_of_a_domain_neither_stops_retries_nor_yields_crash_reports() {
    let mut harness = EngineHarness::new(even_view(12, 2));
    // The first search is answered, so that its targets are idle. The second spans only some of the
    // shards.
    harness.search_all();
    harness.done_all();
    let scope = (0..6).map(|shard| format!("s{shard}").parse().unwrap()).collect();
    let scope = ShardScope::Listed(scope);
    let token = harness.search(SearchPlan { scope, ..plan(harness.now) });
    let lost = lose_domain(&mut harness, "d0");
    harness.advance(ms(40));
    assert_eq!(harness.attempts.len(), 6, "retries in the other domain");
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    harness.advance(ms(5000));
    for target in &lost {
        harness.view.targets.remove(target);
    }
    harness.update_view();
    harness.advance(ms(5000));
    assert!(harness.crashes().is_empty());
}

#[rstest]
#[case(true)]
#[case(false)]
fn a_request_that_runs_in_another_domain_is_not_suspected_after_a_domain_loss(
    #[case] is_answered: bool,
) {
    let mut harness = EngineHarness::new(even_view(8, 2));
    for shard in 0..4 {
        harness.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    harness.update_view();
    harness.open_all();
    let token = harness.search_all();
    for attempt in harness.attempts.keys().copied().collect::<Vec<AttemptId>>() {
        if is_answered && harness.target_of(attempt).ends_with("-1") {
            harness.done(attempt);
        }
    }
    let lost = lose_domain(&mut harness, "d0");
    harness.advance(ms(40));
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    for target in &lost {
        show_in_view(&mut harness, target.as_str(), Evidence::Restarted);
    }
    harness.advance(ms(5000));
    assert!(harness.crashes().is_empty());
}

#[test]
fn a_canary_runs_alone_and_the_rest_follows() {
    let mut harness = EngineHarness::new(even_view(5, 2));
    harness.warm_up(ms(5));
    let token = harness.search(SearchPlan { mode: FanoutMode::Canary, ..plan(harness.now) });
    harness.advance(ms(100));
    assert_eq!(harness.attempts.len(), 1, "a canary is not hedged");
    let canary = *harness.attempts.keys().next().unwrap();
    harness.done(canary);
    assert!(harness.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
    assert_eq!(harness.attempts.len(), 4);
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!((result.coverage, result.attempts), (CoverageShare::FULL, 5));
}

#[test]
fn a_canary_that_loses_its_connection_ends_the_search() {
    let mut harness = EngineHarness::new(even_view(5, 2));
    let sent = harness.sent.len();
    let token = harness.search(SearchPlan { mode: FanoutMode::Canary, ..plan(harness.now) });
    let canary = *harness.attempts.keys().next().unwrap();
    let target = harness.target_of(canary);
    harness.crash(&target);
    harness.advance(ms(100));
    let result = harness.result(token).expect("a result without waiting for the deadline");
    assert_eq!(result.coverage, CoverageShare::NONE);
    assert!(result.may_have_run);
    assert_eq!(harness.sent.len(), sent + 1);
    assert!(!harness.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
}

#[test]
fn a_shed_canary_is_replaced_and_one_answered_with_an_error_passes() {
    let mut harness = EngineHarness::new(even_view(3, 1));
    let token = harness.search(SearchPlan { mode: FanoutMode::Canary, ..plan(harness.now) });
    let shed = *harness.attempts.keys().next().unwrap();
    harness.answer(shed, AnswerStatus::Shed);
    harness.advance(ms(60));
    assert_eq!(harness.attempts.len(), 1);
    let error = *harness.attempts.keys().next().unwrap();
    harness.answer(error, AnswerStatus::Error);
    assert!(harness.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
    for _ in 0..4 {
        harness.done_all();
        harness.advance(ms(60));
    }
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn an_unsent_canary_is_replaced_by_one_on_another_partition() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search(SearchPlan { mode: FanoutMode::Canary, ..plan(harness.now) });
    for _ in 0..20 {
        for attempt in harness.running_on("s0") {
            harness.fail(attempt, AttemptFailure::NotSent);
        }
        harness.advance(ms(20));
    }
    harness.done_all();
    assert_eq!(harness.result(token).expect("a result").coverage, CoverageShare::new(0.5));
}
