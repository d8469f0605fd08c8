//! Guards against requests that crash every replica, and against suspecting requests because a failure domain was
//! lost.

mod support;

use hickoryspan_core::entry::interface::{AnswerStatus, AttemptFailure, ResponseReason};
use hickoryspan_core::entry::plan::{EngineReport, FanoutMode, SearchPlan};
use hickoryspan_core::sheet::ShardScope;
use hickoryspan_core::types::{AttemptId, CoverageShare, QueryToken};
use rstest::rstest;
use support::*;

fn search_with(bench: &mut EngineBench, number: u64) -> QueryToken {
    bench.search(SearchPlan { fingerprint: fingerprint(number), ..plan(bench.now) })
}

#[rstest]
#[case(Evidence::Restarted)]
#[case(Evidence::Gone)]
fn a_lost_connection_and_the_end_of_the_target_are_reported(#[case] evidence: Evidence) {
    let mut bench = EngineBench::new(even_view(4, 2));
    search_with(&mut bench, 5);
    let lost = bench.running_on("s2")[0];
    let target = bench.target_of(lost);
    bench.crash(&target);
    bench.advance(ms(1000));
    assert!(bench.crashes().is_empty(), "a lost connection alone proves no crash");
    show(&mut bench, &target, evidence);
    assert_eq!(bench.crashes(), [(target.parse().unwrap(), vec![fingerprint(5)])]);
    bench.advance(ms(20_000));
    assert_eq!(bench.crashes().len(), 1, "reported once");
}

#[test]
fn one_crash_counts_as_such_despite_answers_of_another_domain() {
    let mut bench = EngineBench::new(even_view(6, 2));
    for shard in 0..3 {
        bench.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    bench.update_view();
    let token = search_with(&mut bench, 5);
    let sent = bench.sent.len();
    bench.done(bench.running_on("s0")[0]);
    bench.crash("t4-0");
    bench.advance(ms(50));
    bench.done_all();
    assert_eq!(bench.sent.len(), sent);
    assert!(bench.result(token).unwrap().coverage < CoverageShare::FULL);
    show(&mut bench, "t4-0", Evidence::Restarted);
    assert_eq!(bench.crashes().len(), 1);
}

#[test]
fn the_end_of_a_draining_target_proves_no_crash() {
    let mut bench = EngineBench::new(even_view(2, 1));
    search_with(&mut bench, 5);
    bench.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    bench.update_view();
    bench.crash("t0-0");
    bench.advance(ms(100));
    show(&mut bench, "t0-0", Evidence::Gone);
    assert!(bench.crashes().is_empty());
}

#[test]
fn all_requests_in_flight_on_the_target_are_named() {
    let mut bench = EngineBench::new(even_view(1, 1));
    search_with(&mut bench, 5);
    let cancelled = search_with(&mut bench, 6);
    bench.cancel(cancelled);
    let answered = search_with(&mut bench, 7);
    let last = *bench.attempts.keys().max_by_key(|id| bench.sent[id].token).unwrap();
    bench.done(last);
    assert!(bench.result(answered).is_some());
    bench.crash("t0-0");
    bench.advance(ms(100));
    show(&mut bench, "t0-0", Evidence::Restarted);
    let (_, fingerprints) = bench.crashes().remove(0);
    assert_eq!(fingerprints.len(), 2);
    assert!(fingerprints.contains(&fingerprint(5)) && fingerprints.contains(&fingerprint(6)));
}

#[test]
fn an_incarnation_seen_before_the_loss_is_reported_too() {
    let mut bench = EngineBench::new(even_view(2, 1));
    search_with(&mut bench, 5);
    show(&mut bench, "t0-0", Evidence::Restarted);
    bench.advance(ms(100));
    assert_eq!(bench.crashes(), [("t0-0".parse().unwrap(), vec![fingerprint(5)])]);
}

#[test]
fn no_crash_is_reported_without_a_request_in_flight_or_long_after_the_loss() {
    let mut bench = EngineBench::new(even_view(2, 1));
    bench.crash("t0-0");
    bench.advance(ms(100));
    show(&mut bench, "t0-0", Evidence::Restarted);
    search_with(&mut bench, 5);
    let lost = bench.running_on("s1")[0];
    bench.fail(lost, AttemptFailure::ConnectionLost);
    bench.advance(ms(60_000));
    show(&mut bench, "t1-0", Evidence::Restarted);
    assert!(bench.crashes().is_empty());
}

#[test]
fn after_a_lost_connection_a_search_sends_nothing_again() {
    let mut bench = EngineBench::new(even_view(4, 2));
    bench.warm_up(ms(5));
    let token = bench.search_all();
    let sent = bench.sent.len();
    let lost = bench.running_on("s1")[0];
    let target = bench.target_of(lost);
    bench.crash(&target);
    let failing = bench.running_on("s2")[0];
    bench.answer(failing, AnswerStatus::Error);
    bench.advance(ms(100));
    assert_eq!(bench.sent.len(), sent, "neither a retry nor a hedge");
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::TargetFailure));
    assert!(result.may_have_run);
}

#[test]
fn crashes_in_all_domains_do_not_count_as_a_domain_loss() {
    let mut bench = EngineBench::new(even_view(12, 3));
    // Domain 0 is preferred; with four of its targets gone, other domains run the request too.
    for shard in 0..4 {
        bench.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    bench.update_view();
    let token = search_with(&mut bench, 5);
    let sent = bench.sent.len();
    let targets: Vec<_> = bench.attempts.keys().map(|id| bench.target_of(*id)).collect();
    for target in &targets {
        bench.crash(target);
        bench.advance(ms(1));
    }
    bench.advance(ms(200));
    assert_eq!(bench.sent.len(), sent);
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::NONE);
    for target in &targets {
        show(&mut bench, target, Evidence::Restarted);
    }
    bench.advance(ms(100));
    assert_eq!(bench.crashes().len(), targets.len());
}

#[test]
fn the_loss_of_a_domain_neither_stops_retries_nor_yields_crash_reports() {
    let mut bench = EngineBench::new(even_view(12, 2));
    // A first search is answered, so that its targets are idle; the second spans only some shards.
    bench.search_all();
    bench.done_all();
    let scope = (0..6).map(|shard| format!("s{shard}").parse().unwrap()).collect();
    let scope = ShardScope::Listed(scope);
    let token = bench.search(SearchPlan { scope, ..plan(bench.now) });
    let lost = lose_domain(&mut bench, "d0");
    bench.advance(ms(40));
    assert_eq!(bench.attempts.len(), 6, "retries in the other domain");
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    bench.advance(ms(5000));
    for target in &lost {
        bench.view.targets.remove(target);
    }
    bench.update_view();
    bench.advance(ms(5000));
    assert!(bench.crashes().is_empty());
}

#[rstest]
#[case(true)]
#[case(false)]
fn a_request_that_runs_in_another_domain_is_not_held_responsible_for_the_loss_of_one(
    #[case] is_answered: bool,
) {
    let mut bench = EngineBench::new(even_view(8, 2));
    for shard in 0..4 {
        bench.view.targets.remove(&format!("t{shard}-0").parse().unwrap());
    }
    bench.update_view();
    bench.open_all();
    let token = bench.search_all();
    for attempt in bench.attempts.keys().copied().collect::<Vec<AttemptId>>() {
        if is_answered && bench.target_of(attempt).ends_with("-1") {
            bench.done(attempt);
        }
    }
    let lost = lose_domain(&mut bench, "d0");
    bench.advance(ms(40));
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    for target in &lost {
        show(&mut bench, target.as_str(), Evidence::Restarted);
    }
    bench.advance(ms(5000));
    assert!(bench.crashes().is_empty());
}

#[test]
fn a_canary_runs_alone_and_the_rest_follows() {
    let mut bench = EngineBench::new(even_view(5, 2));
    bench.warm_up(ms(5));
    let token = bench.search(SearchPlan { mode: FanoutMode::Canary, ..plan(bench.now) });
    bench.advance(ms(100));
    assert_eq!(bench.attempts.len(), 1, "a canary is not hedged");
    let canary = *bench.attempts.keys().next().unwrap();
    bench.done(canary);
    assert!(bench.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
    assert_eq!(bench.attempts.len(), 4);
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!((result.coverage, result.attempts), (CoverageShare::FULL, 5));
}

#[test]
fn a_canary_that_loses_its_connection_ends_the_search() {
    let mut bench = EngineBench::new(even_view(5, 2));
    let sent = bench.sent.len();
    let token = bench.search(SearchPlan { mode: FanoutMode::Canary, ..plan(bench.now) });
    let canary = *bench.attempts.keys().next().unwrap();
    let target = bench.target_of(canary);
    bench.crash(&target);
    bench.advance(ms(100));
    let result = bench.result(token).expect("an end without waiting for the deadline");
    assert_eq!(result.coverage, CoverageShare::NONE);
    assert!(result.may_have_run);
    assert_eq!(bench.sent.len(), sent + 1);
    assert!(!bench.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
}

#[test]
fn a_canary_that_is_shed_moves_on_and_a_failed_one_passes() {
    let mut bench = EngineBench::new(even_view(3, 1));
    let token = bench.search(SearchPlan { mode: FanoutMode::Canary, ..plan(bench.now) });
    let shed = *bench.attempts.keys().next().unwrap();
    bench.answer(shed, AnswerStatus::Shed);
    bench.advance(ms(60));
    assert_eq!(bench.attempts.len(), 1);
    let error = *bench.attempts.keys().next().unwrap();
    bench.answer(error, AnswerStatus::Error);
    assert!(bench.reports.contains(&EngineReport::CanaryPassed(fingerprint(1))));
    for _ in 0..4 {
        bench.done_all();
        bench.advance(ms(60));
    }
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_canary_that_is_never_sent_lets_another_partition_try() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search(SearchPlan { mode: FanoutMode::Canary, ..plan(bench.now) });
    for _ in 0..20 {
        for attempt in bench.running_on("s0") {
            bench.fail(attempt, AttemptFailure::NotSent);
        }
        bench.advance(ms(20));
    }
    bench.done_all();
    assert_eq!(bench.result(token).expect("an end").coverage, CoverageShare::new(0.5));
}
