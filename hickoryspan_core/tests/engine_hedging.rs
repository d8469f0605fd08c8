//! Tests that hedges and retries find stragglers without multiplying the load, and that slow or
//! failing targets get less work.

mod support;

use hickoryspan_core::entry::engine::EngineSettings;
use hickoryspan_core::entry::interface::{AnswerStatus, AttemptFailure, LoadReport};
use hickoryspan_core::entry::plan::SearchPlan;
use hickoryspan_core::types::{CoverageShare, KeyRange, SlotCount, SnapshotVersion};
use support::*;

#[test]
fn a_straggler_is_hedged_on_another_target_and_the_loser_is_cancelled() {
    let mut harness = EngineHarness::new(even_view(4, 2));
    harness.warm_up(ms(5));
    let token = harness.search_all();
    let slow = harness.running_on("s0")[0];
    harness.advance(ms(4));
    for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
        if attempt != slow {
            harness.done(attempt);
        }
    }
    harness.advance(ms(4));
    let running = harness.running_on("s0");
    assert_eq!(running.len(), 2, "a hedge after the 95th percentile of 5 ms");
    let hedge = running[1];
    assert_ne!(harness.target_of(slow), harness.target_of(hedge));
    harness.done(hedge);
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!((result.attempts, result.extra_attempts), (5, 1));
    assert!(harness.attempts[&slow].cancelled && harness.discarded.contains(&slow));
    assert!(result.parts.contains(&hedge) && !result.parts.contains(&slow));
    harness.done(slow);
    assert_eq!(harness.engine.in_flight(), 0);
}

#[test]
fn nothing_is_hedged_without_another_target_or_when_switched_off() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    for (replicas, settings) in [(1, EngineSettings::default()), (2, settings)] {
        let mut harness = EngineHarness::with_settings(even_view(4, replicas), settings);
        harness.warm_up(ms(5));
        harness.search_all();
        harness.advance(ms(100));
        assert_eq!(harness.extra, 0);
    }
}

#[test]
fn the_budget_holds_when_all_shards_are_slow_at_once() {
    let mut harness = EngineHarness::new(even_view(40, 2));
    harness.warm_up(ms(5));
    let before = harness.sent.len();
    let mut first = 0;
    for _ in 0..100 {
        harness.search_all();
        first += 40;
        harness.advance(ms(80));
        harness.done_all();
    }
    let extra = harness.sent.len() - before - first;
    // 5% of the first attempts, plus the tenant's burst of 20.
    assert!(extra <= first / 20 + 20, "{extra} extra attempts for {first}");
    assert!(extra > 0);
}

#[test]
fn without_budgets_every_straggler_is_hedged() {
    let mut settings = EngineSettings::default();
    settings.budgets.enabled = false;
    let mut harness = EngineHarness::with_settings(even_view(40, 2), settings);
    harness.warm_up(ms(5));
    harness.search_all();
    harness.advance(ms(60));
    assert_eq!(harness.extra, 40);
}

#[test]
fn a_shed_request_is_retried_elsewhere_within_the_budget() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let token = harness.search_all();
    let shed = *harness.attempts.keys().next().unwrap();
    harness.answer(shed, AnswerStatus::Shed);
    let retry = *harness.attempts.keys().next().expect("a retry");
    assert_ne!(harness.target_of(shed), harness.target_of(retry));
    harness.done(retry);
    assert_eq!(harness.result(token).unwrap().extra_attempts, 1);
    for _ in 0..300 {
        harness.search_all();
        while let Some(attempt) = harness.attempts.keys().next().copied() {
            harness.answer(attempt, AnswerStatus::Shed);
        }
        harness.advance(ms(100));
    }
    // 5% of 300 first attempts, plus the bursts of both targets, which are smaller than the
    // tenant's.
    assert!(harness.extra <= 15 + 6, "{} retries of shed requests", harness.extra);
}

#[test]
fn waiting_retries_stay_within_the_budget() {
    let mut view = even_view(8, 2);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut settings = EngineSettings::default();
    settings.budgets.tenant_burst = 2.0;
    let mut harness = EngineHarness::with_settings(view, settings);
    let failing = harness.search_all();
    harness.search_all();
    assert_eq!(harness.attempts.len(), 16);
    let first: Vec<_> =
        harness.sent.values().filter(|request| request.token == failing).cloned().collect();
    for request in first {
        harness.answer(request.attempt, AnswerStatus::Error);
    }
    harness.done_all();
    assert_eq!(harness.extra, 2, "all retries waited for the same tokens");
}

#[test]
fn the_budget_of_one_target_bounds_its_hedges() {
    let mut settings = EngineSettings::default();
    settings.budgets.target_burst = 2.0;
    // All first attempts go to one target, so that all hedges are charged to the budget of the
    // other one.
    settings.outliers.enabled = false;
    settings.routing.load_aware = false;
    let mut harness = EngineHarness::with_settings(even_view(1, 2), settings);
    harness.warm_up(ms(5));
    for _ in 0..10 {
        harness.search_all();
        harness.advance(ms(60));
        harness.done_all();
    }
    assert_eq!(harness.extra, 2);
}

#[test]
fn a_waiting_retry_is_not_sent_after_a_lost_connection() {
    let mut view = even_view(2, 2);
    view.targets.values_mut().for_each(|record| record.slots = SlotCount(1));
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    let other = harness.search_all();
    let failed = harness.running_on("s0").into_iter().find(|id| harness.sent[id].token == token);
    harness.answer(failed.unwrap(), AnswerStatus::Error);
    let lost = harness.running_on("s1").into_iter().find(|id| harness.sent[id].token == token);
    harness.crash(&harness.target_of(lost.unwrap()));
    let sent = harness.sent.len();
    harness.done_all();
    harness.advance(ms(100));
    assert!(harness.result(other).is_some());
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::NONE);
    assert_eq!(harness.sent.len(), sent);
}

#[test]
fn an_unsent_request_moves_without_drawing_on_the_budget() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let token = harness.search_all();
    let unsent = *harness.attempts.keys().next().unwrap();
    harness.fail(unsent, AttemptFailure::NotSent);
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!((result.attempts, result.extra_attempts, harness.extra), (1, 0, 0));
}

#[test]
fn the_home_failure_domain_is_preferred_while_it_has_capacity() {
    let mut view = even_view(1, 2);
    view.targets.get_mut(&"t0-0".parse().unwrap()).unwrap().slots = SlotCount(1);
    let mut harness = EngineHarness::new(view);
    harness.search_all();
    harness.search_all();
    let names: Vec<_> =
        harness.attempts.keys().map(|attempt| harness.target_of(*attempt)).collect();
    assert_eq!(names, ["t0-0", "t0-1"]);
}

#[test]
fn a_target_with_reported_load_gets_less_work_until_the_report_is_old() {
    let mut settings = EngineSettings::default();
    settings.routing.prefer_home = false;
    let mut harness = EngineHarness::with_settings(even_view(1, 2), settings);
    let mut counts = [0, 0];
    for _ in 0..200 {
        harness.search_all();
        let attempt = *harness.attempts.keys().next().unwrap();
        let is_loaded = harness.target_of(attempt) == "t0-0";
        counts[usize::from(is_loaded)] += 1;
        let running = if is_loaded { 4 } else { 1 };
        let load = Some(LoadReport { running, queued: 0 });
        harness.advance(ms(1));
        harness.answer_with(attempt, AnswerStatus::Done, Some(SnapshotVersion(1)), load);
    }
    assert!(counts[1] * 4 < counts[0], "{counts:?}");
    harness.advance(ms(2000));
    harness.search_all();
    harness.search_all();
    let names: Vec<_> =
        harness.attempts.keys().map(|attempt| harness.target_of(*attempt)).collect();
    assert!(names.contains(&"t0-0".to_owned()), "an old report excluded the target");
}

#[test]
fn an_implausible_load_report_is_tolerated() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    harness.search_all();
    let attempt = *harness.attempts.keys().next().unwrap();
    let load = Some(LoadReport { running: u32::MAX, queued: u32::MAX });
    harness.answer_with(attempt, AnswerStatus::Done, Some(SnapshotVersion(1)), load);
    let token = harness.search_all();
    harness.advance(ms(50));
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_failing_target_is_ejected_and_returns() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    for _ in 0..30 {
        harness.search_all();
        for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
            let fails = harness.target_of(attempt) == "t0-0";
            let status = if fails { AnswerStatus::Error } else { AnswerStatus::Done };
            harness.answer(attempt, status);
        }
        harness.done_all();
        harness.advance(ms(20));
    }
    let on_failing =
        harness.sent.values().filter(|request| request.target.as_str() == "t0-0").count();
    assert_eq!(on_failing, 5, "ejected after five failures in a row");
    harness.advance(ms(5000));
    harness.search_all();
    let attempt = *harness.attempts.keys().next().unwrap();
    assert_eq!(harness.target_of(attempt), "t0-0");
}

#[test]
fn a_target_that_misses_deadlines_gets_no_more_work() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    let mut harness = EngineHarness::with_settings(even_view(1, 2), settings);
    harness.warm_up(ms(5));
    for _ in 0..6 {
        let deadline = harness.now + ms(60);
        harness.search(SearchPlan { deadline, ..plan(harness.now) });
        let attempt = *harness.attempts.keys().next().unwrap();
        if harness.target_of(attempt) == "t0-1" {
            harness.done(attempt);
        }
        harness.advance(ms(100));
    }
    harness.search_all();
    let newest = harness.attempts.values().max_by_key(|sent| sent.sent_at).unwrap();
    assert_eq!(newest.request.target.as_str(), "t0-1");
}

#[test]
fn connections_that_ended_while_idle_do_not_eject_a_target() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    for _ in 0..10 {
        harness.search_all();
        let attempt = *harness.attempts.keys().next().unwrap();
        assert_eq!(harness.target_of(attempt), "t0-0");
        while let Some(attempt) = harness.attempts.keys().next().copied() {
            match harness.target_of(attempt).as_str() {
                "t0-0" => harness.fail(attempt, AttemptFailure::NotSent),
                _ => harness.done(attempt),
            }
        }
        harness.advance(ms(500));
    }
}

#[test]
fn nothing_is_ejected_when_most_targets_fail() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    let mut refused = 0;
    for _ in 0..50 {
        let sent = harness.sent.len();
        harness.search_all();
        refused += usize::from(harness.sent.len() == sent);
        for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
            harness.answer(attempt, AnswerStatus::Error);
        }
        harness.advance(ms(600));
    }
    assert_eq!(refused, 0);
}

#[test]
fn a_target_far_slower_than_its_peers_is_ejected() {
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    settings.routing.load_aware = false;
    settings.routing.prefer_home = false;
    let mut harness = EngineHarness::with_settings(even_view(8, 2), settings);
    for _ in 0..80 {
        harness.search_all();
        harness.advance(ms(5));
        for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
            if harness.target_of(attempt) != "t0-0" {
                harness.done(attempt);
            }
        }
        harness.advance(ms(75));
        harness.done_all();
    }
    let on_slow = |harness: &EngineHarness| {
        harness.sent.values().filter(|request| request.target.as_str() == "t0-0").count()
    };
    let before = on_slow(&harness);
    for _ in 0..20 {
        harness.search_all();
        harness.advance(ms(5));
        harness.done_all();
    }
    assert_eq!(on_slow(&harness), before, "the slow target still gets work");
}

#[test]
fn a_cold_target_starts_slowly() {
    let mut settings = EngineSettings::default();
    settings.routing.prefer_home = false;
    let mut harness = EngineHarness::with_settings(even_view(1, 2), settings);
    harness.warm_up(ms(5));
    let mut record = target("cold", "d0");
    record.partitions = vec![partition(1, "s0", KeyRange::FULL)];
    put(&mut harness.view, record);
    harness.update_view();
    harness.open_all();
    let count = |harness: &mut EngineHarness| {
        let before = harness.sent.len();
        for _ in 0..300 {
            harness.search_all();
            harness.advance(ms(5));
            harness.done_all();
        }
        let new = harness.sent.values().skip(before);
        new.filter(|request| request.target.as_str() == "cold").count()
    };
    let cold = count(&mut harness);
    harness.advance(ms(10_000));
    let warm = count(&mut harness);
    assert!(cold * 2 < warm, "{cold} requests while cold, {warm} when warm");
}

#[test]
fn a_shedding_target_gets_fewer_requests_at_once_and_recovers() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    let flood = |harness: &mut EngineHarness| {
        let tokens: Vec<_> = (0..8).map(|_| harness.search_all()).collect();
        harness.advance(ms(1));
        (tokens, harness.attempts.len())
    };
    let (_, before) = flood(&mut harness);
    assert_eq!(before, 4);
    for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
        harness.answer(attempt, AnswerStatus::Shed);
    }
    harness.advance(ms(1));
    assert_eq!(harness.attempts.len(), 2, "the limit is halved once for one overload");
    // With a full limit, an increase of 0.1 per round trip leads from two back to four in 20 round
    // trips. With one request at a time, it takes three times as long.
    for _ in 0..60 {
        harness.advance(ms(5));
        harness.done_all();
        harness.search_all();
    }
    harness.done_all();
    let (_, after) = flood(&mut harness);
    assert_eq!(after, 4);
}

/// Guards against a straggler in the entry's own failure domain that gets all work of its shard.
#[test]
fn a_straggler_at_home_loses_its_preference_after_one_answer() {
    let mut harness = EngineHarness::new(even_view(1, 2));
    harness.warm_up(ms(5));
    let mut on_straggler = 0;
    for _ in 0..20 {
        harness.search_all();
        let first = *harness.attempts.keys().next().expect("an attempt");
        let is_straggler = harness.target_of(first) == "t0-0";
        on_straggler += u32::from(is_straggler);
        harness.advance(if is_straggler { ms(20) } else { ms(5) });
        // The hedge of a slow first attempt wins. Without a hedge, the first attempt is answered.
        let hedge = harness.attempts.keys().copied().find(|attempt| *attempt != first);
        harness.done(hedge.unwrap_or(first));
        // The straggler answers after its attempt was cancelled.
        harness.advance(ms(40));
        harness.done_all();
        harness.advance(ms(400));
    }
    // A slow answer suspends the preference for 2 s, and the third one in a row ejects the target
    // for 5 s.
    assert!(on_straggler <= 3, "{on_straggler} of 20 searches went to the straggler first");
}
