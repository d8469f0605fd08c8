//! Guards against orders that run twice or are wrongly reported as not sent.

mod support;

use hickoryspan_core::entry::interface::{AnswerStatus, AttemptFailure, ResponseReason};
use hickoryspan_core::entry::plan::OrderResult;
use hickoryspan_core::membership::MembershipView;
use hickoryspan_core::types::{CoverageShare, SlotCount};
use rstest::rstest;
use support::*;

#[rstest]
#[case(AnswerStatus::Done)]
#[case(AnswerStatus::Shed)]
#[case(AnswerStatus::Error)]
#[case(AnswerStatus::Draining)]
fn an_answer_ends_an_order_without_another_attempt(#[case] status: AnswerStatus) {
    let mut bench = EngineBench::new(even_view(1, 3));
    let token = bench.order(ms(500));
    let attempt = *bench.attempts.keys().next().unwrap();
    bench.answer(attempt, status);
    bench.advance(ms(1000));
    assert_eq!(bench.sent.len(), 1);
    match bench.order_result(token) {
        Some(OrderResult::Answered { attempt: other, status: reported, .. }) => {
            assert_eq!((other, reported), (attempt, status));
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case(AttemptFailure::ConnectionLost)]
#[case(AttemptFailure::Malformed)]
fn an_order_is_lost_once_a_byte_was_written(#[case] failure: AttemptFailure) {
    let mut bench = EngineBench::new(even_view(1, 3));
    let token = bench.order(ms(500));
    let attempt = *bench.attempts.keys().next().unwrap();
    bench.fail(attempt, failure);
    bench.advance(ms(1000));
    assert_eq!(bench.sent.len(), 1);
    assert!(matches!(bench.order_result(token), Some(OrderResult::Lost { .. })));
}

#[test]
fn an_order_that_was_not_sent_moves_to_another_connection() {
    let mut bench = EngineBench::new(even_view(1, 3));
    let token = bench.order(ms(500));
    let first = *bench.attempts.keys().next().unwrap();
    bench.fail(first, AttemptFailure::NotSent);
    let second = *bench.attempts.keys().next().expect("another attempt");
    assert_ne!(bench.sent[&first].connection, bench.sent[&second].connection);
    bench.done(second);
    assert!(matches!(bench.order_result(token), Some(OrderResult::Answered { .. })));
}

#[test]
fn an_order_that_is_never_sent_is_reported_as_not_sent() {
    let mut bench = EngineBench::new(even_view(1, 3));
    let token = bench.order(ms(500));
    for _ in 0..10 {
        let running: Vec<_> = bench.attempts.keys().copied().collect();
        running.into_iter().for_each(|attempt| bench.fail(attempt, AttemptFailure::NotSent));
        bench.advance(ms(100));
    }
    assert!(matches!(bench.order_result(token), Some(OrderResult::NotSent(_))));
}

#[test]
fn an_unanswered_order_is_lost_at_its_deadline_and_not_cancelled() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let token = bench.order(ms(100));
    bench.advance(ms(100));
    assert!(matches!(bench.order_result(token), Some(OrderResult::Lost { .. })));
    assert!(bench.attempts.values().all(|sent| !sent.cancelled));
    let late = *bench.attempts.keys().next().unwrap();
    bench.done(late);
    assert_eq!(bench.reports.len(), 1, "a late answer changed the outcome");
}

#[test]
fn a_waiting_order_that_finds_no_capacity_was_not_sent() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut bench = EngineBench::new(view);
    bench.search_all();
    let token = bench.order(ms(200));
    bench.advance(ms(200));
    assert_eq!(bench.order_result(token), Some(OrderResult::NotSent(ResponseReason::Deadline)));
    assert_eq!(bench.sent.len(), 1);
}

#[test]
fn an_order_without_targets_was_not_sent() {
    let mut bench = EngineBench::new(MembershipView::default());
    let token = bench.order(ms(200));
    assert_eq!(bench.order_result(token), Some(OrderResult::NotSent(ResponseReason::NoTarget)));
}

#[test]
fn a_slow_order_is_not_hedged_and_goes_on_when_its_caller_leaves() {
    let mut bench = EngineBench::new(even_view(1, 3));
    bench.warm_up(ms(2));
    let sent = bench.sent.len();
    let token = bench.order(ms(900));
    bench.cancel(token);
    bench.advance(ms(800));
    assert_eq!(bench.sent.len(), sent + 1);
    let attempt = *bench.attempts.keys().next().unwrap();
    assert!(!bench.attempts[&attempt].cancelled);
    bench.done(attempt);
    assert!(matches!(bench.order_result(token), Some(OrderResult::Answered { .. })));
}

#[test]
fn an_order_that_loses_its_target_to_a_restart_is_lost() {
    let mut bench = EngineBench::new(even_view(1, 1));
    let token = bench.order(ms(900));
    let record = bench.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap();
    record.incarnation = record.incarnation.next();
    bench.update_view();
    assert!(matches!(bench.order_result(token), Some(OrderResult::Lost { .. })));
    bench.advance(ms(1000));
    assert_eq!(bench.sent.len(), 1);
    let search = bench.search_all();
    bench.done_all();
    assert_eq!(bench.result(search).unwrap().coverage, CoverageShare::FULL);
}
