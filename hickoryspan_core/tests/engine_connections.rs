//! Guards against too many connections, reconnect storms, work for leaving targets and silent connections.

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
    /// Entry hosts together must not exceed a target's connections, nor leave some unused.
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
    let bench = EngineBench::new(even_view(5, 2));
    for target in bench.view.targets.keys() {
        assert!(!bench.connections_of(target.as_str()).is_empty(), "{target} has no connection");
    }
}

#[test]
fn a_target_without_a_share_gets_neither_connection_nor_work() {
    let mut bench = EngineBench::new(even_view(6, 1));
    // Four connections over 14 ordinals: this ordinal has a share at some of the targets only.
    bench.set_share(share(2, 14));
    bench.advance(ms(1000));
    let token = bench.search_all();
    bench.done_all();
    let with_share = bench.connections.values().map(|state| &state.target);
    let with_share: BTreeSet<_> = with_share.collect();
    assert!(with_share.len() < 6);
    let expected = with_share.len() as f64 / 6.0;
    assert!((bench.result(token).unwrap().coverage.value() - expected).abs() < 1e-9);
}

#[test]
fn a_smaller_share_closes_the_surplus_at_once() {
    let mut bench = EngineBench::new(even_view(2, 1));
    for _ in 0..3 {
        bench.search_all();
        bench.open_all();
        bench.advance(ms(1));
    }
    assert!(bench.connections.len() > 4);
    // check_shares of the bench fails if more than the share of two is left.
    bench.set_share(share(0, 2));
    assert!(bench.connections.len() <= 4);
}

#[test]
fn without_a_share_all_connections_close_and_queries_end() {
    let mut bench = EngineBench::new(even_view(3, 1));
    let search = bench.search_all();
    let order = bench.order(ms(500));
    bench.set_share(None);
    assert!(bench.connections.is_empty());
    assert_eq!(bench.result(search).unwrap().reason, Some(ResponseReason::CutOff));
    assert!(matches!(bench.order_result(order), Some(OrderResult::Lost { .. })));
    let refused = bench.search_all();
    assert_eq!(bench.result(refused).unwrap().reason, Some(ResponseReason::CutOff));
    let refused = bench.order(ms(500));
    assert_eq!(bench.order_result(refused), Some(OrderResult::NotSent(ResponseReason::CutOff)));
    bench.advance(ms(5000));
    assert!(bench.connections.is_empty());
}

#[test]
fn opens_are_limited_and_spread_when_targets_refuse() {
    let settings = EngineSettings::default();
    let mut bench = EngineBench::unopened(even_view(20, 1), settings, 3);
    let end = bench.now + ms(10_000);
    loop {
        while let Some(connection) = bench.opening.first().copied() {
            bench.close(connection);
        }
        let Some(at) = bench.engine.next_wakeup().filter(|at| *at <= end) else { break };
        bench.now = bench.now.max(at);
        bench.event(EntryEvent::Tick);
    }
    let mut by_target: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (at, target) in &bench.opens {
        by_target.entry(target.clone()).or_default().push(*at);
    }
    for (target, times) in &by_target {
        // Doubling waits from 50 ms to 5 s allow about eight opens in ten seconds.
        assert!(times.len() <= 16, "{target}: {} opens", times.len());
    }
    // The second opens of all targets do not fall on one moment.
    let second: BTreeSet<_> = by_target.values().map(|times| times[1]).collect();
    assert!(second.len() > 10);
}

#[test]
fn few_connections_of_one_target_open_at_the_same_time() {
    let mut bench = EngineBench::unopened(even_view(1, 1), EngineSettings::default(), 3);
    let tokens: Vec<_> = (0..6).map(|_| bench.search_all()).collect();
    bench.advance(ms(100));
    assert_eq!((tokens.len(), bench.opening.len()), (6, 2));
}

#[test]
fn lost_connections_reopen_at_a_limited_rate() {
    let mut bench = EngineBench::new(even_view(1, 1));
    let start = bench.opens.len();
    for _ in 0..1000 {
        bench.crash("t0-0");
        bench.advance(ms(10));
    }
    // Ten seconds at five opens per second, and the burst.
    assert!(bench.opens.len() - start <= 56, "{} opens", bench.opens.len() - start);
}

#[test]
fn a_departed_target_gets_no_work_and_its_connections_close_when_answered() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let token = bench.search_all();
    let attempt = *bench.attempts.keys().next().unwrap();
    let name = bench.target_of(attempt);
    bench.view.targets.remove(&name.parse().unwrap());
    bench.update_view();
    assert_eq!(bench.connections_of(&name).len(), 1, "only the busy connection is left");
    bench.done(attempt);
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    assert!(bench.connections_of(&name).is_empty());
    for _ in 0..10 {
        bench.search_all();
        bench.advance(ms(5));
        bench.done_all();
    }
}

#[test]
fn draining_targets_and_domains_get_no_new_work() {
    let mut bench = EngineBench::new(even_view(1, 3));
    bench.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    bench.view.drained_domains.insert("d1".parse().unwrap());
    bench.update_view();
    assert!(bench.connections_of("t0-0").is_empty());
    for _ in 0..20 {
        let token = bench.search_all();
        let attempt = *bench.attempts.keys().next().unwrap();
        assert_eq!(bench.target_of(attempt), "t0-2");
        bench.done_all();
        assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    }
}

#[test]
fn a_target_that_answers_draining_gets_no_work_before_the_view_shows_it() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let token = bench.search_all();
    let attempt = *bench.attempts.keys().next().unwrap();
    let leaving = bench.target_of(attempt);
    bench.answer(attempt, AnswerStatus::Draining);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    for _ in 0..20 {
        bench.search_all();
        let attempt = *bench.attempts.keys().next().unwrap();
        assert_ne!(bench.target_of(attempt), leaving);
        bench.done_all();
    }
}

#[test]
fn a_new_incarnation_drops_the_old_connections() {
    let mut bench = EngineBench::new(even_view(1, 1));
    let old = bench.connections_of("t0-0");
    bench.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().incarnation =
        IncarnationNumber(2);
    bench.update_view();
    assert!(old.iter().all(|connection| !bench.connections.contains_key(connection)));
    bench.advance(ms(200));
    assert!(!bench.connections_of("t0-0").is_empty());
}

#[test]
fn a_search_moves_from_a_silent_connection_and_the_silent_one_is_closed() {
    let mut bench = EngineBench::new(even_view(2, 1));
    bench.warm_up(ms(5));
    let token = bench.search_all();
    let silent = bench.running_on("s0")[0];
    let other = bench.running_on("s1")[0];
    bench.done(other);
    bench.advance(ms(300));
    let moved: Vec<_> =
        bench.running_on("s0").into_iter().filter(|attempt| *attempt != silent).collect();
    assert_eq!(moved.len(), 1, "the attempt moved to another connection");
    assert_ne!(bench.sent[&moved[0]].connection, bench.sent[&silent].connection);
    bench.done(moved[0]);
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    assert!(!bench.connections.contains_key(&bench.sent[&silent].connection));
    assert_eq!(bench.silent, ["t0-0".parse().unwrap()]);
}

#[test]
fn a_silent_connection_is_replaced_when_the_share_allows_no_second_one() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().connections = ConnectionCount(1);
    let mut bench = EngineBench::new(view);
    bench.warm_up(ms(5));
    let deadline = bench.now + ms(3000);
    let plan = SearchPlan { deadline, ..plan(bench.now) };
    let token = bench.search(plan);
    bench.advance(ms(1500));
    assert_eq!(bench.silent.len(), 1);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[rstest]
#[case(60)]
#[case(2000)]
fn searches_recover_when_all_open_connections_go_silent_at_once(#[case] deadline: u64) {
    let mut bench = EngineBench::new(even_view(6, 2));
    bench.warm_up(ms(5));
    let dead: BTreeSet<_> = bench.connections.keys().copied().collect();
    let event = bench.now;
    let mut recovered_at = None;
    while recovered_at.is_none() && bench.now < event + ms(10_000) {
        let deadline = bench.now + ms(deadline);
        let token = bench.search(SearchPlan { deadline, ..plan(bench.now) });
        while bench.result(token).is_none() {
            bench.advance(ms(1));
            for sent in bench.attempts.values().cloned().collect::<Vec<_>>() {
                let is_dead = dead.contains(&sent.order.connection);
                if !is_dead && bench.now.since(sent.sent_at) >= ms(5) {
                    bench.done(sent.order.attempt);
                }
            }
        }
        let is_full = bench.result(token).unwrap().coverage == CoverageShare::FULL;
        recovered_at = is_full.then_some(bench.now);
    }
    let time = recovered_at.expect("a full answer").since(event);
    println!("full answers after {time:?} with deadlines of {deadline} ms");
    assert!(time < ms(500), "full answers only after {time:?}");
}

#[test]
fn an_unanswered_connection_is_closed_after_its_search_ended() {
    let mut bench = EngineBench::new(even_view(1, 1));
    bench.warm_up(ms(5));
    let plan = SearchPlan { deadline: bench.now + ms(60), ..plan(bench.now) };
    bench.search(plan);
    let silent = *bench.attempts.keys().next().unwrap();
    bench.advance(ms(1000));
    assert!(!bench.connections.contains_key(&bench.sent[&silent].connection));
    assert_eq!(bench.silent.len(), 1);
    let token = bench.search_all();
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn an_order_on_a_silent_connection_is_lost_and_not_resent() {
    let mut bench = EngineBench::new(even_view(1, 2));
    bench.warm_up(ms(5));
    let sent = bench.sent.len();
    let token = bench.order(ms(60_000));
    let attempt = *bench.attempts.keys().next().unwrap();
    bench.advance(ms(30_000));
    assert!(matches!(bench.order_result(token), Some(OrderResult::Lost { .. })));
    assert!(!bench.connections.contains_key(&bench.sent[&attempt].connection));
    assert_eq!(bench.sent.len(), sent + 1);
    assert_eq!(bench.silent.len(), 1);
}

#[test]
fn at_most_the_slots_are_in_flight_and_the_earliest_deadline_is_served_first() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(2);
    let mut bench = EngineBench::new(view);
    bench.search_all();
    bench.advance(ms(1));
    bench.search_all();
    bench.advance(ms(1));
    let late = bench.search_all();
    let plan = SearchPlan { deadline: bench.now + ms(100), ..plan(bench.now) };
    let early = bench.search(plan);
    bench.advance(ms(1));
    assert_eq!(bench.attempts.len(), 2);
    let running = *bench.attempts.keys().next().unwrap();
    bench.done(running);
    let newest = bench.attempts.values().max_by_key(|sent| sent.sent_at).unwrap();
    assert_eq!(newest.order.token, early);
    bench.done_all();
    assert_eq!(bench.result(late).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_waiting_request_that_cannot_finish_is_not_sent() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut bench = EngineBench::new(view);
    bench.search_all();
    let token = bench.search_all();
    bench.advance(ms(498));
    let result = bench.result(token).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::Deadline));
    assert!(!result.may_have_run);
}

#[test]
fn the_queue_of_waiting_requests_is_bounded() {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut settings = EngineSettings::default();
    settings.queries.max_waiting = 3;
    let mut bench = EngineBench::with_settings(view, settings);
    let tokens: Vec<_> = (0..5).map(|_| bench.search_all()).collect();
    let refused = bench.result(tokens[4]).expect("refused at once");
    assert_eq!(refused.reason, Some(ResponseReason::Overloaded));
    bench.done_all();
    assert!(tokens[..4].iter().all(|token| bench.result(*token).is_some()));
}

#[rstest]
#[case(false)]
#[case(true)]
fn a_request_does_not_wait_for_a_target_that_drains(#[case] has_newer_snapshot: bool) {
    let mut view = even_view(1, 1);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut bench = EngineBench::new(view);
    bench.search_all();
    let token = bench.search_all();
    if has_newer_snapshot {
        let mut record = target("new", "d0");
        record.partitions = vec![partition(2, "s0", KeyRange::FULL)];
        put(&mut bench.view, record);
    }
    bench.view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().draining = true;
    bench.update_view();
    bench.done_all();
    let result = bench.result(token).expect("an end before the deadline");
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
    let mut bench = EngineBench::new(view);
    bench.search_all();
    let token = bench.search_all();
    let mut record = target("new", "d0");
    record.partitions = vec![partition(1, "s0", KeyRange::FULL)];
    put(&mut bench.view, record);
    bench.update_view();
    bench.open_all();
    let moved = bench.attempts.values().find(|sent| sent.order.token == token).unwrap();
    assert_eq!(moved.order.target.as_str(), "new");
}

/// Guards against an overload that admission cannot see, because requests wait in the engine and not at the targets.
#[test]
fn the_reported_latency_contains_the_wait_for_capacity() {
    let mut view = even_view(1, 1);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut bench = EngineBench::new(view);
    let mut latencies = Vec::new();
    bench.search_all();
    bench.search_all();
    for _ in 0..2 {
        bench.advance(ms(10));
        let running = *bench.attempts.keys().next().expect("an attempt");
        bench.done(running);
    }
    for report in bench.reports.drain(..) {
        if let EngineReport::SubrequestLatency(_, latency) = report {
            latencies.push(latency);
        }
    }
    assert_eq!(latencies, [ms(10), ms(20)]);
}
