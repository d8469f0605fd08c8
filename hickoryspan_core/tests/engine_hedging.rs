//! Guards against hedges and retries that miss stragglers or multiply the load.

mod support;

use hickoryspan_core::entry::engine::EngineSettings;
use hickoryspan_core::entry::interface::{AnswerStatus, AttemptFailure, LoadReport};
use hickoryspan_core::entry::plan::SearchPlan;
use hickoryspan_core::types::{CoverageShare, KeyRange, SlotCount, SnapshotVersion};
use support::*;

#[test]
fn a_straggler_is_hedged_on_another_target_and_the_loser_is_cancelled() {
    let mut bench = EngineBench::new(even_view(4, 2));
    bench.warm_up(ms(5));
    let token = bench.search_all();
    let slow = bench.running_on("s0")[0];
    bench.advance(ms(4));
    for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
        if attempt != slow {
            bench.done(attempt);
        }
    }
    bench.advance(ms(4));
    let running = bench.running_on("s0");
    assert_eq!(running.len(), 2, "a hedge after the 95th percentile of 5 ms");
    let hedge = running[1];
    assert_ne!(bench.target_of(slow), bench.target_of(hedge));
    bench.done(hedge);
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!((result.attempts, result.extra_attempts), (5, 1));
    assert!(bench.attempts[&slow].cancelled && bench.discarded.contains(&slow));
    assert!(result.parts.contains(&hedge) && !result.parts.contains(&slow));
    bench.done(slow);
    assert_eq!(bench.engine.in_flight(), 0);
}

#[test]
fn nothing_is_hedged_without_another_target_or_when_switched_off() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    for (replicas, settings) in [(1, EngineSettings::default()), (2, settings)] {
        let mut bench = EngineBench::with_settings(even_view(4, replicas), settings);
        bench.warm_up(ms(5));
        bench.search_all();
        bench.advance(ms(100));
        assert_eq!(bench.extra, 0);
    }
}

#[test]
fn the_budget_holds_when_all_shards_are_slow_at_once() {
    let mut bench = EngineBench::new(even_view(40, 2));
    bench.warm_up(ms(5));
    let before = bench.sent.len();
    let mut first = 0;
    for _ in 0..100 {
        bench.search_all();
        first += 40;
        bench.advance(ms(80));
        bench.done_all();
    }
    let extra = bench.sent.len() - before - first;
    // 5% of the first attempts, and the tenant's burst of 20.
    assert!(extra <= first / 20 + 20, "{extra} extra attempts for {first}");
    assert!(extra > 0);
}

#[test]
fn without_budgets_every_straggler_is_hedged() {
    let mut settings = EngineSettings::default();
    settings.budgets.enabled = false;
    let mut bench = EngineBench::with_settings(even_view(40, 2), settings);
    bench.warm_up(ms(5));
    bench.search_all();
    bench.advance(ms(60));
    assert_eq!(bench.extra, 40);
}

#[test]
fn a_shed_request_is_retried_elsewhere_within_the_budget() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let token = bench.search_all();
    let shed = *bench.attempts.keys().next().unwrap();
    bench.answer(shed, AnswerStatus::Shed);
    let retry = *bench.attempts.keys().next().expect("a retry");
    assert_ne!(bench.target_of(shed), bench.target_of(retry));
    bench.done(retry);
    assert_eq!(bench.result(token).unwrap().extra_attempts, 1);
    for _ in 0..300 {
        bench.search_all();
        while let Some(attempt) = bench.attempts.keys().next().copied() {
            bench.answer(attempt, AnswerStatus::Shed);
        }
        bench.advance(ms(100));
    }
    // 5% of 300 first attempts, and the bursts of both targets, which are smaller than the tenant's.
    assert!(bench.extra <= 15 + 6, "{} retries of shed requests", bench.extra);
}

#[test]
fn waiting_retries_stay_within_the_budget() {
    let mut view = even_view(8, 2);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut settings = EngineSettings::default();
    settings.budgets.tenant_burst = 2.0;
    let mut bench = EngineBench::with_settings(view, settings);
    let failing = bench.search_all();
    bench.search_all();
    assert_eq!(bench.attempts.len(), 16);
    let first: Vec<_> =
        bench.sent.values().filter(|order| order.token == failing).cloned().collect();
    for order in first {
        bench.answer(order.attempt, AnswerStatus::Error);
    }
    bench.done_all();
    assert_eq!(bench.extra, 2, "all retries waited for the same tokens");
}

#[test]
fn the_budget_of_one_target_bounds_its_hedges() {
    let mut settings = EngineSettings::default();
    settings.budgets.target_burst = 2.0;
    // All first attempts stay on one target, so that all hedges draw on the other one's budget.
    settings.outliers.enabled = false;
    settings.routing.load_aware = false;
    let mut bench = EngineBench::with_settings(even_view(1, 2), settings);
    bench.warm_up(ms(5));
    for _ in 0..10 {
        bench.search_all();
        bench.advance(ms(60));
        bench.done_all();
    }
    assert_eq!(bench.extra, 2);
}

#[test]
fn a_waiting_retry_is_not_sent_after_a_lost_connection() {
    let mut view = even_view(2, 2);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    let other = bench.search_all();
    let failed = bench.running_on("s0").into_iter().find(|id| bench.sent[id].token == token);
    bench.answer(failed.unwrap(), AnswerStatus::Error);
    let lost = bench.running_on("s1").into_iter().find(|id| bench.sent[id].token == token);
    bench.crash(&bench.target_of(lost.unwrap()));
    let sent = bench.sent.len();
    bench.done_all();
    bench.advance(ms(100));
    assert!(bench.result(other).is_some());
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::NONE);
    assert_eq!(bench.sent.len(), sent);
}

#[test]
fn an_unsent_request_moves_without_drawing_on_the_budget() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let token = bench.search_all();
    let unsent = *bench.attempts.keys().next().unwrap();
    bench.fail(unsent, AttemptFailure::NotSent);
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!((result.attempts, result.extra_attempts, bench.extra), (1, 0, 0));
}

#[test]
fn the_own_failure_domain_is_preferred_while_it_has_capacity() {
    let mut view = even_view(1, 2);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut bench = EngineBench::new(view);
    bench.search_all();
    bench.search_all();
    let names: Vec<_> = bench.attempts.keys().map(|attempt| bench.target_of(*attempt)).collect();
    assert_eq!(names, ["t0-0", "t0-1"]);
}

#[test]
fn a_target_with_reported_load_gets_less_work_until_the_report_is_old() {
    let mut settings = EngineSettings::default();
    settings.routing.prefer_home = false;
    let mut bench = EngineBench::with_settings(even_view(1, 2), settings);
    let mut counts = [0, 0];
    for _ in 0..200 {
        bench.search_all();
        let attempt = *bench.attempts.keys().next().unwrap();
        let is_loaded = bench.target_of(attempt) == "t0-0";
        counts[usize::from(is_loaded)] += 1;
        let running = if is_loaded { 4 } else { 1 };
        let load = Some(LoadReport { running, queued: 0 });
        bench.advance(ms(1));
        bench.answer_with(attempt, AnswerStatus::Done, Some(SnapshotVersion(1)), load);
    }
    assert!(counts[1] * 4 < counts[0], "{counts:?}");
    bench.advance(ms(2000));
    bench.search_all();
    bench.search_all();
    let names: Vec<_> = bench.attempts.keys().map(|attempt| bench.target_of(*attempt)).collect();
    assert!(names.contains(&"t0-0".to_owned()), "an old report excluded the target");
}

#[test]
fn an_implausible_load_report_is_tolerated() {
    let mut bench = EngineBench::new(even_view(1, 1));
    bench.search_all();
    let attempt = *bench.attempts.keys().next().unwrap();
    let load = Some(LoadReport { running: u32::MAX, queued: u32::MAX });
    bench.answer_with(attempt, AnswerStatus::Done, Some(SnapshotVersion(1)), load);
    let token = bench.search_all();
    bench.advance(ms(50));
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_failing_target_is_ejected_and_returns() {
    let mut bench = EngineBench::new(even_view(1, 2));
    for _ in 0..30 {
        bench.search_all();
        for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
            let fails = bench.target_of(attempt) == "t0-0";
            let status = if fails { AnswerStatus::Error } else { AnswerStatus::Done };
            bench.answer(attempt, status);
        }
        bench.done_all();
        bench.advance(ms(20));
    }
    let on_bad = bench.sent.values().filter(|order| order.target.as_str() == "t0-0").count();
    assert_eq!(on_bad, 5, "ejected after five failures in a row");
    bench.advance(ms(5000));
    bench.search_all();
    let attempt = *bench.attempts.keys().next().unwrap();
    assert_eq!(bench.target_of(attempt), "t0-0");
}

#[test]
fn a_target_that_misses_deadlines_gets_no_more_work() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    let mut bench = EngineBench::with_settings(even_view(1, 2), settings);
    bench.warm_up(ms(5));
    for _ in 0..6 {
        let deadline = bench.now + ms(60);
        bench.search(SearchPlan { deadline, ..plan(bench.now) });
        let attempt = *bench.attempts.keys().next().unwrap();
        if bench.target_of(attempt) == "t0-1" {
            bench.done(attempt);
        }
        bench.advance(ms(100));
    }
    bench.search_all();
    let newest = bench.attempts.values().max_by_key(|sent| sent.sent_at).unwrap();
    assert_eq!(newest.order.target.as_str(), "t0-1");
}

#[test]
fn connections_that_ended_while_idle_do_not_eject_a_target() {
    let mut bench = EngineBench::new(even_view(1, 2));
    for _ in 0..10 {
        bench.search_all();
        let attempt = *bench.attempts.keys().next().unwrap();
        assert_eq!(bench.target_of(attempt), "t0-0");
        while let Some(attempt) = bench.attempts.keys().next().copied() {
            match bench.target_of(attempt).as_str() {
                "t0-0" => bench.fail(attempt, AttemptFailure::NotSent),
                _ => bench.done(attempt),
            }
        }
        bench.advance(ms(500));
    }
}

#[test]
fn nothing_is_ejected_when_most_targets_fail() {
    let mut bench = EngineBench::new(even_view(1, 2));
    let mut refused = 0;
    for _ in 0..50 {
        let sent = bench.sent.len();
        bench.search_all();
        refused += usize::from(bench.sent.len() == sent);
        for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
            bench.answer(attempt, AnswerStatus::Error);
        }
        bench.advance(ms(600));
    }
    assert_eq!(refused, 0);
}

#[test]
fn a_target_far_slower_than_its_peers_is_ejected() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    settings.routing.load_aware = false;
    settings.routing.prefer_home = false;
    let mut bench = EngineBench::with_settings(even_view(8, 2), settings);
    for _ in 0..80 {
        bench.search_all();
        bench.advance(ms(5));
        for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
            if bench.target_of(attempt) != "t0-0" {
                bench.done(attempt);
            }
        }
        bench.advance(ms(75));
        bench.done_all();
    }
    let on_slow = |bench: &EngineBench| {
        bench.sent.values().filter(|order| order.target.as_str() == "t0-0").count()
    };
    let before = on_slow(&bench);
    for _ in 0..20 {
        bench.search_all();
        bench.advance(ms(5));
        bench.done_all();
    }
    assert_eq!(on_slow(&bench), before, "the slow target still gets work");
}

#[test]
fn a_cold_target_starts_slowly() {
    let mut settings = EngineSettings::default();
    settings.routing.prefer_home = false;
    let mut bench = EngineBench::with_settings(even_view(1, 2), settings);
    bench.warm_up(ms(5));
    let mut record = target("cold", "d0");
    record.partitions = vec![partition(1, "s0", KeyRange::FULL)];
    put(&mut bench.view, record);
    bench.update_view();
    bench.open_all();
    let count = |bench: &mut EngineBench| {
        let before = bench.sent.len();
        for _ in 0..300 {
            bench.search_all();
            bench.advance(ms(5));
            bench.done_all();
        }
        let new = bench.sent.values().skip(before);
        new.filter(|order| order.target.as_str() == "cold").count()
    };
    let cold = count(&mut bench);
    bench.advance(ms(10_000));
    let warm = count(&mut bench);
    assert!(cold * 2 < warm, "{cold} requests while cold, {warm} when warm");
}

#[test]
fn a_shedding_target_gets_fewer_requests_at_once_and_recovers() {
    let mut bench = EngineBench::new(even_view(1, 1));
    let flood = |bench: &mut EngineBench| {
        let tokens: Vec<_> = (0..8).map(|_| bench.search_all()).collect();
        bench.advance(ms(1));
        (tokens, bench.attempts.len())
    };
    let (_, before) = flood(&mut bench);
    assert_eq!(before, 4);
    for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
        bench.answer(attempt, AnswerStatus::Shed);
    }
    bench.advance(ms(1));
    assert_eq!(bench.attempts.len(), 2, "the limit is halved once for one overload");
    // A tenth of a request per round trip leads from two back to four in 20 round trips with a full limit; with one
    // request at a time it takes three times as long.
    for _ in 0..60 {
        bench.advance(ms(5));
        bench.done_all();
        bench.search_all();
    }
    bench.done_all();
    let (_, after) = flood(&mut bench);
    assert_eq!(after, 4);
}

/// Guards against a straggler of the entry's own failure domain that keeps all work of its shard.
#[test]
fn a_straggler_at_home_loses_its_preference_after_one_answer() {
    let mut bench = EngineBench::new(even_view(1, 2));
    bench.warm_up(ms(5));
    let mut on_straggler = 0;
    for _ in 0..20 {
        bench.search_all();
        let first = *bench.attempts.keys().next().expect("an attempt");
        let is_straggler = bench.target_of(first) == "t0-0";
        on_straggler += u32::from(is_straggler);
        bench.advance(if is_straggler { ms(20) } else { ms(5) });
        // The hedge of a slow first attempt wins; without one, the first attempt itself is answered.
        let hedge = bench.attempts.keys().copied().find(|attempt| *attempt != first);
        bench.done(hedge.unwrap_or(first));
        // The straggler answers late, after its attempt was cancelled.
        bench.advance(ms(40));
        bench.done_all();
        bench.advance(ms(400));
    }
    // A slow answer stops the preference for 2 s, and the third in a row ejects for 5 s.
    assert!(on_straggler <= 3, "{on_straggler} of 20 searches went to the straggler first");
}
