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
    let mut harness = EngineHarness::new(even_view(1, 3));
    let token = harness.order(ms(500));
    let attempt = *harness.attempts.keys().next().unwrap();
    harness.answer(attempt, status);
    harness.advance(ms(1000));
    assert_eq!(harness.sent.len(), 1);
    match harness.order_result(token) {
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
    let mut harness = EngineHarness::new(even_view(1, 3));
    let token = harness.order(ms(500));
    let attempt = *harness.attempts.keys().next().unwrap();
    harness.fail(attempt, failure);
    harness.advance(ms(1000));
    assert_eq!(harness.sent.len(), 1);
    assert!(matches!(harness.order_result(token), Some(OrderResult::Lost { .. })));
}

#[test]
fn an_order_that_was_not_sent_moves_to_another_connection() {
    let mut harness = EngineHarness::new(even_view(1, 3));
    let token = harness.order(ms(500));
    let first = *harness.attempts.keys().next().unwrap();
    harness.fail(first, AttemptFailure::NotSent);
    let second = *harness.attempts.keys().next().expect("another attempt");
    assert_ne!(harness.sent[&first].connection, harness.sent[&second].connection);
    harness.done(second);
    assert!(matches!(harness.order_result(token), Some(OrderResult::Answered { .. })));
}

#[test]
fn an_order_that_is_never_sent_is_reported_as_not_sent() {
    let mut harness = EngineHarness::new(even_view(1, 3));
    let token = harness.order(ms(500));
    for _ in 0..10 {
        let running: Vec<_> = harness.attempts.keys().copied().collect();
        running.into_iter().for_each(|attempt| harness.fail(attempt, AttemptFailure::NotSent));
        harness.advance(ms(100));
    }
    assert!(matches!(harness.order_result(token), Some(OrderResult::NotSent(_))));
}

#[test]
fn an_unanswered_order_is_lost_at_its_deadline_and_not_cancelled() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let token = harness.order(ms(100));
    harness.advance(ms(100));
    assert!(matches!(harness.order_result(token), Some(OrderResult::Lost { .. })));
    assert!(harness.attempts.values().all(|sent| !sent.cancelled));
    let late = *harness.attempts.keys().next().unwrap();
    harness.done(late);
    assert_eq!(harness.reports.len(), 1, "a late answer changed the outcome");
}

#[test]
fn a_waiting_order_that_finds_no_capacity_was_not_sent() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    let token = harness.order(ms(200));
    harness.advance(ms(200));
    assert_eq!(harness.order_result(token), Some(OrderResult::NotSent(ResponseReason::Deadline)));
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn an_order_without_targets_was_not_sent() {
    let mut harness = EngineHarness::new(MembershipView::default());
    let token = harness.order(ms(200));
    assert_eq!(harness.order_result(token), Some(OrderResult::NotSent(ResponseReason::NoTarget)));
}

#[test]
fn a_slow_order_is_not_hedged_and_goes_on_when_its_caller_leaves() {
    let mut harness = EngineHarness::new(even_view(1, 3));
    harness.warm_up(ms(2));
    let sent = harness.sent.len();
    let token = harness.order(ms(900));
    harness.cancel(token);
    harness.advance(ms(800));
    assert_eq!(harness.sent.len(), sent + 1);
    let attempt = *harness.attempts.keys().next().unwrap();
    assert!(!harness.attempts[&attempt].cancelled);
    harness.done(attempt);
    assert!(matches!(harness.order_result(token), Some(OrderResult::Answered { .. })));
}

#[test]
fn an_order_that_loses_its_target_to_a_restart_is_lost() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    let token = harness.order(ms(900));
    let record = harness.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap();
    record.incarnation = record.incarnation.next();
    harness.update_view();
    assert!(matches!(harness.order_result(token), Some(OrderResult::Lost { .. })));
    harness.advance(ms(1000));
    assert_eq!(harness.sent.len(), 1);
    let search = harness.search_all();
    harness.done_all();
    assert_eq!(harness.result(search).unwrap().coverage, CoverageShare::FULL);
}
