//! Tests that connections stay within their shares and are not reopened in a storm, that leaving
//! targets get no work, and that stalled connections are replaced.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hickoryspan_core::entry::engine::{EngineSettings, OrdinalShare};
use hickoryspan_core::entry::interface::{AnswerStatus, EntryEvent, ResponseReason};
use hickoryspan_core::entry::plan::EngineReport;
use hickoryspan_core::entry::plan::{OrderResult, SearchPlan};
use hickoryspan_core::types::{
    ConnectionCount, CoverageShare, IncarnationNumber, KeyRange, OrdinalNumber, SlotCount, TargetId,
};
use proptest::prelude::*;
use rstest::rstest;
use support::*;

proptest! {
    /// The entry hosts must together use all of a target's connections, and no more.
    #[test]
    fn shares_of_all_ordinals_sum_to_the_targets_connections(
        name in "[a-z]{1,12}",
        connections in 0u32..400,
        max_ordinals in 1u32..60,
    ) {
        let target: TargetId = name.parse().unwrap();
        let share = |ordinal| {
            let share = OrdinalShare { ordinal: OrdinalNumber(ordinal), max_ordinals };
            share.connections(&target, ConnectionCount(connections)).0
        };
        let shares: Vec<u32> = (0..u64::from(max_ordinals)).map(share).collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), connections);
        let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
        prop_assert!(most - least <= 1);
        prop_assert_eq!(share(u64::from(max_ordinals)), 0);
    }
}

fn share(ordinal: u64, max_ordinals: u32) -> Option<OrdinalShare> {
    Some(OrdinalShare { ordinal: OrdinalNumber(ordinal), max_ordinals })
}

#[test]
fn every_target_with_a_share_has_a_warm_connection() {
    let harness = EngineHarness::new(even_view(5, 2));
    for target in harness.view.targets.keys() {
        assert!(!harness.connections_of(target.as_str()).is_empty(), "{target} has no connection");
    }
}

#[test]
fn a_target_without_a_share_gets_neither_connection_nor_work() {
    let mut harness = EngineHarness::new(even_view(6, 1));
    // With four connections for 14 ordinals, this ordinal has a share of some targets only.
    harness.set_share(share(2, 14));
    harness.advance(ms(1000));
    let token = harness.search_all();
    harness.done_all();
    let with_share = harness.connections.values().map(|state| &state.target);
    let with_share: BTreeSet<_> = with_share.collect();
    assert!(with_share.len() < 6);
    let expected = with_share.len() as f64 / 6.0;
    assert!((harness.result(token).unwrap().coverage.value() - expected).abs() < 1e-9);
}

#[test]
fn a_smaller_share_closes_the_surplus_at_once() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    for _ in 0..3 {
        harness.search_all();
        harness.open_all();
        harness.advance(ms(1));
    }
    assert!(harness.connections.len() > 4);
    // `set_share` asserts that no target keeps more than its share.
    harness.set_share(share(0, 2));
    assert!(harness.connections.len() <= 4);
}

#[test]
fn without_a_share_all_connections_close_and_queries_end() {
    let mut harness = EngineHarness::new(even_view(3, 1));
    let search = harness.search_all();
    let order = harness.order(ms(500));
    harness.set_share(None);
    assert!(harness.connections.is_empty());
    assert_eq!(harness.result(search).unwrap().reason, Some(ResponseReason::CutOff));
    assert!(matches!(harness.order_result(order), Some(OrderResult::Lost { .. })));
    let refused = harness.search_all();
    assert_eq!(harness.result(refused).unwrap().reason, Some(ResponseReason::CutOff));
    let refused = harness.order(ms(500));
    assert_eq!(harness.order_result(refused), Some(OrderResult::NotSent(ResponseReason::CutOff)));
    harness.advance(ms(5000));
    assert!(harness.connections.is_empty());
}

#[test]
fn opens_are_limited_and_spread_when_targets_refuse() {
    let settings = EngineSettings::default();
    let mut harness = EngineHarness::unopened(even_view(20, 1), settings, 3);
    let end = harness.now + ms(10_000);
    loop {
        while let Some(connection) = harness.opening.first().copied() {
            harness.close(connection);
        }
        let Some(at) = harness.engine.next_wakeup().filter(|at| *at <= end) else { break };
        harness.now = harness.now.max(at);
        harness.event(EntryEvent::Tick);
    }
    let mut by_target: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (at, target) in &harness.opens {
        by_target.entry(target.clone()).or_default().push(*at);
    }
    for (target, times) in &by_target {
        // Doubling back-offs from 50 ms to 5 s allow about eight connection attempts in ten
        // seconds.
        assert!(times.len() <= 16, "{target}: {} opens", times.len());
    }
    // The second connection attempts to the targets are spread in time.
    let second: BTreeSet<_> = by_target.values().map(|times| times[1]).collect();
    assert!(second.len() > 10);
}

#[test]
fn few_connections_of_one_target_open_at_the_same_time() {
    let mut harness = EngineHarness::unopened(even_view(1, 1), EngineSettings::default(), 3);
    let tokens: Vec<_> = (0..6).map(|_| harness.search_all()).collect();
    harness.advance(ms(100));
    assert_eq!((tokens.len(), harness.opening.len()), (6, 2));
}

#[test]
fn lost_connections_reopen_at_a_limited_rate() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    let start = harness.opens.len();
    for _ in 0..1000 {
        harness.crash("t0-0");
        harness.advance(ms(10));
    }
    // Ten seconds with five connection attempts per second, plus the burst.
    assert!(harness.opens.len() - start <= 56, "{} opens", harness.opens.len() - start);
}

#[test]
fn a_departed_target_gets_no_work_and_its_connections_close_when_answered() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let token = harness.search_all();
    let attempt = *harness.attempts.keys().next().unwrap();
    let name = harness.target_of(attempt);
    harness.view.targets.remove(&name.parse().unwrap());
    harness.update_view();
    assert_eq!(harness.connections_of(&name).len(), 1, "only the busy connection is left");
    harness.done(attempt);
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    assert!(harness.connections_of(&name).is_empty());
    for _ in 0..10 {
        harness.search_all();
        harness.advance(ms(5));
        harness.done_all();
    }
}

#[test]
fn draining_targets_and_domains_get_no_new_work() {
    let mut harness = EngineHarness::new(even_view(1, 3));
    harness.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    harness.view.drained_domains.insert("d1".parse().unwrap());
    harness.update_view();
    assert!(harness.connections_of("t0-0").is_empty());
    for _ in 0..20 {
        let token = harness.search_all();
        let attempt = *harness.attempts.keys().next().unwrap();
        assert_eq!(harness.target_of(attempt), "t0-2");
        harness.done_all();
        assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    }
}

#[test]
fn a_target_that_answers_draining_gets_no_work_before_the_view_shows_it() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let token = harness.search_all();
    let attempt = *harness.attempts.keys().next().unwrap();
    let leaving = harness.target_of(attempt);
    harness.answer(attempt, AnswerStatus::Draining);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    for _ in 0..20 {
        harness.search_all();
        let attempt = *harness.attempts.keys().next().unwrap();
        assert_ne!(harness.target_of(attempt), leaving);
        harness.done_all();
    }
}

#[test]
fn a_new_incarnation_drops_the_old_connections() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    let old = harness.connections_of("t0-0");
    harness.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().incarnation =
        IncarnationNumber(2);
    harness.update_view();
    assert!(old.iter().all(|connection| !harness.connections.contains_key(connection)));
    harness.advance(ms(200));
    assert!(!harness.connections_of("t0-0").is_empty());
}

#[test]
fn a_search_moves_from_a_silent_connection_and_the_silent_one_is_closed() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    harness.warm_up(ms(5));
    let token = harness.search_all();
    let stalled = harness.running_on("s0")[0];
    let other = harness.running_on("s1")[0];
    harness.done(other);
    harness.advance(ms(300));
    let moved: Vec<_> =
        harness.running_on("s0").into_iter().filter(|attempt| *attempt != stalled).collect();
    assert_eq!(moved.len(), 1, "the attempt moved to another connection");
    assert_ne!(harness.sent[&moved[0]].connection, harness.sent[&stalled].connection);
    harness.done(moved[0]);
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    assert!(!harness.connections.contains_key(&harness.sent[&stalled].connection));
    assert_eq!(harness.stalled, ["t0-0".parse().unwrap()]);
}

#[test]
fn a_stalled_connection_is_replaced_when_the_share_allows_no_second_one() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().connections = ConnectionCount(1);
    let mut harness = EngineHarness::new(view);
    harness.warm_up(ms(5));
    let deadline = harness.now + ms(3000);
    let plan = SearchPlan { deadline, ..plan(harness.now) };
    let token = harness.search(plan);
    harness.advance(ms(1500));
    assert_eq!(harness.stalled.len(), 1);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[rstest]
#[case(60)]
#[case(2000)]
fn searches_recover_when_all_open_connections_stall_at_once(#[case] deadline: u64) {
    let mut harness = EngineHarness::new(even_view(6, 2));
    harness.warm_up(ms(5));
    let stalled: BTreeSet<_> = harness.connections.keys().copied().collect();
    let event = harness.now;
    let mut recovered_at = None;
    while recovered_at.is_none() && harness.now < event + ms(10_000) {
        let deadline = harness.now + ms(deadline);
        let token = harness.search(SearchPlan { deadline, ..plan(harness.now) });
        while harness.result(token).is_none() {
            harness.advance(ms(1));
            for sent in harness.attempts.values().cloned().collect::<Vec<_>>() {
                let is_stalled = stalled.contains(&sent.request.connection);
                if !is_stalled && harness.now.since(sent.sent_at) >= ms(5) {
                    harness.done(sent.request.attempt);
                }
            }
        }
        let is_full = harness.result(token).unwrap().coverage == CoverageShare::FULL;
        recovered_at = is_full.then_some(harness.now);
    }
    let time = recovered_at.expect("a full answer").since(event);
    println!("full answers after {time:?} with deadlines of {deadline} ms");
    assert!(time < ms(500), "full answers only after {time:?}");
}

#[test]
fn an_unanswered_connection_is_closed_after_its_search_ended() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    harness.warm_up(ms(5));
    let plan = SearchPlan { deadline: harness.now + ms(60), ..plan(harness.now) };
    harness.search(plan);
    let stalled = *harness.attempts.keys().next().unwrap();
    harness.advance(ms(1000));
    assert!(!harness.connections.contains_key(&harness.sent[&stalled].connection));
    assert_eq!(harness.stalled.len(), 1);
    let token = harness.search_all();
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn an_order_on_a_silent_connection_is_lost_and_not_resent() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    harness.warm_up(ms(5));
    let sent = harness.sent.len();
    let token = harness.order(ms(60_000));
    let attempt = *harness.attempts.keys().next().unwrap();
    harness.advance(ms(30_000));
    assert!(matches!(harness.order_result(token), Some(OrderResult::Lost { .. })));
    assert!(!harness.connections.contains_key(&harness.sent[&attempt].connection));
    assert_eq!(harness.sent.len(), sent + 1);
    assert_eq!(harness.stalled.len(), 1);
}

#[test]
fn at_most_the_slots_are_in_flight_and_the_earliest_deadline_is_served_first() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(2);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    harness.advance(ms(1));
    harness.search_all();
    harness.advance(ms(1));
    let late = harness.search_all();
    let plan = SearchPlan { deadline: harness.now + ms(100), ..plan(harness.now) };
    let early = harness.search(plan);
    harness.advance(ms(1));
    assert_eq!(harness.attempts.len(), 2);
    let running = *harness.attempts.keys().next().unwrap();
    harness.done(running);
    let newest = harness.attempts.values().max_by_key(|sent| sent.sent_at).unwrap();
    assert_eq!(newest.request.token, early);
    harness.done_all();
    assert_eq!(harness.result(late).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_waiting_request_that_cannot_finish_is_not_sent() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    let token = harness.search_all();
    harness.advance(ms(498));
    let result = harness.result(token).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::Deadline));
    assert!(!result.may_have_run);
}

#[test]
fn the_queue_of_waiting_requests_is_bounded() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut settings = EngineSettings::default();
    settings.queries.max_waiting = 3;
    let mut harness = EngineHarness::with_settings(view, settings);
    let tokens: Vec<_> = (0..5).map(|_| harness.search_all()).collect();
    let refused = harness.result(tokens[4]).expect("refused at once");
    assert_eq!(refused.reason, Some(ResponseReason::Overloaded));
    harness.done_all();
    assert!(tokens[..4].iter().all(|token| harness.result(*token).is_some()));
}

#[rstest]
#[case(false)]
#[case(true)]
fn a_request_does_not_wait_for_a_target_that_drains(#[case] has_newer_snapshot: bool) {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    let token = harness.search_all();
    if has_newer_snapshot {
        let mut record = target("new", "d0");
        record.partitions = vec![partition(2, "s0", KeyRange::FULL)];
        put(&mut harness.view, record);
    }
    harness.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    harness.update_view();
    harness.done_all();
    let result = harness.result(token).expect("a result before the deadline");
    if has_newer_snapshot {
        assert_eq!(result.coverage, CoverageShare::FULL);
    } else {
        assert_eq!(result.reason, Some(ResponseReason::NoTarget));
    }
}

#[test]
fn a_waiting_request_uses_a_target_that_joins() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    let token = harness.search_all();
    let mut record = target("new", "d0");
    record.partitions = vec![partition(1, "s0", KeyRange::FULL)];
    put(&mut harness.view, record);
    harness.update_view();
    harness.open_all();
    let moved = harness.attempts.values().find(|sent| sent.request.token == token).unwrap();
    assert_eq!(moved.request.target.as_str(), "new");
}

/// Guards against an overload that admission can't detect, because requests wait in the engine and
/// not at the targets.
#[test]
fn the_reported_latency_contains_the_wait_for_capacity() {
    let mut view = even_view(1, 1);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut harness = EngineHarness::new(view);
    let mut latencies = Vec::new();
    harness.search_all();
    harness.search_all();
    for _ in 0..2 {
        harness.advance(ms(10));
        let running = *harness.attempts.keys().next().expect("an attempt");
        harness.done(running);
    }
    for report in harness.reports.drain(..) {
        if let EngineReport::SubrequestLatency(_, latency) = report {
            latencies.push(latency);
        }
    }
    assert_eq!(latencies, [ms(10), ms(20)]);
}
