//! Tests that searches use the right snapshot, report the right coverage and never mix up answers.

mod support;

use hickoryspan_core::entry::engine::EngineSettings;
use hickoryspan_core::entry::interface::{AnswerStatus, AttemptWork, ResponseReason};
use hickoryspan_core::entry::plan::SearchPlan;
use hickoryspan_core::membership::MembershipView;
use hickoryspan_core::sheet::{CompletionPolicy, ServiceKind, ShardScope};
use hickoryspan_core::types::{CoverageShare, DocumentCount, KeyRange, SnapshotVersion};
use support::*;

#[test]
fn a_search_covers_every_partition_once_in_key_order() {
    let mut harness = EngineHarness::new(even_view(12, 2));
    let token = harness.search_all();
    let mut attempts: Vec<_> = harness.attempts.keys().copied().collect();
    attempts.reverse();
    for attempt in attempts {
        harness.done(attempt);
    }
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!(result.reason, None);
    assert_eq!((result.attempts, result.extra_attempts), (12, 0));
    let shards: Vec<_> = result.parts.iter().map(|part| harness.sent[part].work.clone()).collect();
    let expected: Vec<_> = (0..12)
        .map(|shard| AttemptWork::Search {
            shard: format!("s{shard}").parse().unwrap(),
            snapshot: SnapshotVersion(1),
        })
        .collect();
    assert_eq!(shards, expected);
}

#[test]
fn the_newest_fully_served_snapshot_is_pinned() {
    let mut view = even_view(3, 2);
    add_snapshot(&mut view, 2, 3, &[0, 1]);
    add_snapshot(&mut view, 3, 3, &[0]);
    let unserved = "t2-0".parse().unwrap();
    view.targets.get_mut(&unserved).unwrap().partitions.pop();
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().snapshot, Some(SnapshotVersion(2)));
}

#[test]
fn without_a_fully_served_snapshot_the_best_covered_one_is_used() {
    let mut view = even_view(4, 1);
    add_snapshot(&mut view, 2, 4, &[0]);
    // Snapshot 2 lacks three of four targets, and snapshot 1 lacks one.
    view.targets.remove(&"t3-0".parse().unwrap());
    for shard in [1, 2] {
        let name = format!("t{shard}-0").parse().unwrap();
        view.targets.get_mut(&name).unwrap().partitions.pop();
    }
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(1)));
    assert_eq!(result.coverage, CoverageShare::new(0.75));
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
}

#[test]
fn of_equally_covered_snapshots_the_newest_is_used() {
    let mut view = even_view(2, 1);
    add_snapshot(&mut view, 2, 2, &[0]);
    view.targets.remove(&"t1-0".parse().unwrap());
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().snapshot, Some(SnapshotVersion(2)));
}

#[test]
fn a_pinned_snapshot_is_kept_or_reported_gone() {
    let mut view = even_view(3, 1);
    add_snapshot(&mut view, 2, 3, &[0]);
    let mut harness = EngineHarness::new(view);
    let pinned = |harness: &EngineHarness, snapshot| {
        let pinned = Some(SnapshotVersion(snapshot));
        SearchPlan { pinned, ..plan(harness.now) }
    };
    let kept = harness.search(pinned(&harness, 1));
    harness.done_all();
    assert_eq!(harness.result(kept).unwrap().snapshot, Some(SnapshotVersion(1)));
    let gone = harness.search(pinned(&harness, 9));
    let result = harness.result(gone).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
    assert!(!result.may_have_run);
}

#[test]
fn an_answer_of_another_snapshot_is_rejected() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search_all();
    let wrong = harness.running_on("s0")[0];
    harness.answer_with(wrong, AnswerStatus::Done, Some(SnapshotVersion(2)), None);
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.parts.len(), 1);
    assert!(harness.discarded.contains(&wrong));
}

#[test]
fn duplicate_and_late_answers_do_not_count_again() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let first = harness.search_all();
    let old: Vec<_> = harness.attempts.keys().copied().collect();
    harness.done(old[0]);
    harness.done(old[0]);
    harness.advance(ms(500));
    assert_eq!(harness.result(first).unwrap().coverage, CoverageShare::new(0.5));
    let second = harness.search_all();
    harness.done(old[1]);
    harness.done(old[0]);
    assert_eq!(harness.result(second), None);
    harness.advance(ms(500));
    assert_eq!(harness.result(second).unwrap().parts.len(), 0);
}

#[test]
fn gaps_in_the_key_space_lower_the_coverage_at_mean_density() {
    let mut view = even_view(4, 1);
    let manifests = view.snapshots.get_mut(&service()).unwrap();
    let manifest = manifests.get_mut(&SnapshotVersion(1)).unwrap();
    manifest.partitions.remove(&"s2".parse().unwrap());
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert!((result.coverage.value() - 0.75).abs() < 1e-9);
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
}

#[test]
fn an_unanswered_partition_without_documents_prevents_full_coverage() {
    let mut view = even_view(2, 1);
    let manifests = view.snapshots.get_mut(&service()).unwrap();
    let manifest = manifests.get_mut(&SnapshotVersion(1)).unwrap();
    manifest.partitions.get_mut(&"s1".parse().unwrap()).unwrap().documents = DocumentCount(0);
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    let answered = harness.running_on("s0")[0];
    harness.done(answered);
    harness.advance(ms(500));
    let coverage = harness.result(token).unwrap().coverage;
    assert!(coverage < CoverageShare::FULL && coverage.value() > 0.99);
}

#[test]
fn overlapping_partitions_of_a_split_are_not_counted_twice() {
    let mut view = even_view(2, 1);
    // Shard s0 is being split. Its halves are listed beside it, and one half is not served yet.
    let halves = KeyRange::split_evenly(4);
    let mut record = target("h0", "d0");
    record.partitions = vec![partition(1, "h0", halves[0])];
    put(&mut view, record);
    let mut record = target("h1", "d0");
    record.partitions = vec![partition(1, "h1", halves[1])];
    put(&mut view, record);
    view.targets.remove(&"h1".parse().unwrap());
    let mut harness = EngineHarness::new(view);
    let token = harness.search_all();
    assert_eq!(harness.attempts.len(), 2);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_partition_whose_range_changes_mid_query_is_not_counted_with_either_range() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search_all();
    let stale = harness.running_on("s0")[0];
    let quarter = KeyRange::split_evenly(4)[0];
    let mut record = harness.view.targets[&"t0-0".parse().unwrap()].clone();
    record.partitions = vec![partition(1, "s0", quarter)];
    put(&mut harness.view, record);
    harness.update_view();
    harness.done(stale);
    harness.done_all();
    harness.advance(ms(500));
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::new(0.5));
}

#[test]
fn a_moved_partition_is_found_at_its_new_target() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search_all();
    let denied = harness.running_on("s0")[0];
    let mut record = target("new", "d1");
    record.partitions = vec![partition(1, "s0", KeyRange::split_evenly(2)[0])];
    put(&mut harness.view, record);
    harness.update_view();
    harness.open_all();
    harness.answer(denied, AnswerStatus::SnapshotGone);
    assert_eq!(harness.target_of(harness.running_on("s0")[0]), "new");
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_search_restarts_once_when_its_snapshot_disappears() {
    let mut harness = EngineHarness::new(even_view(3, 1));
    let token = harness.search_all();
    let first = harness.running_on("s0")[0];
    harness.done(first);
    let mut view = harness.view.clone();
    add_snapshot(&mut view, 2, 3, &[0]);
    harness.view = view;
    harness.update_view();
    let denied = harness.running_on("s1")[0];
    harness.answer(denied, AnswerStatus::SnapshotGone);
    assert!(harness.discarded.contains(&first), "a part of the former snapshot was kept");
    harness.advance(ms(1));
    for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
        harness.done(attempt);
    }
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(2)));
    assert_eq!(result.coverage, CoverageShare::FULL);
    for part in &result.parts {
        assert!(matches!(
            harness.sent[part].work,
            AttemptWork::Search { snapshot: SnapshotVersion(2), .. }
        ));
    }
}

#[test]
fn a_search_restarts_only_once() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search_all();
    for snapshot in [2, 3] {
        let mut view = harness.view.clone();
        add_snapshot(&mut view, snapshot, 2, &[0]);
        harness.view = view;
        harness.update_view();
        let denied = *harness.running_on("s0").last().unwrap();
        harness.answer(denied, AnswerStatus::SnapshotGone);
    }
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(2)));
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
}

#[test]
fn a_pinned_search_does_not_change_its_snapshot() {
    let mut view = even_view(2, 1);
    add_snapshot(&mut view, 2, 2, &[0]);
    let mut harness = EngineHarness::new(view);
    let pinned = Some(SnapshotVersion(1));
    let plan = SearchPlan { pinned, ..plan(harness.now) };
    let token = harness.search(plan);
    let denied = harness.running_on("s0")[0];
    harness.answer(denied, AnswerStatus::SnapshotGone);
    harness.done_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(1)));
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
}

#[test]
fn a_search_of_listed_shards_spans_only_these() {
    let mut harness = EngineHarness::new(even_view(4, 1));
    let listed = |names: &[&str]| {
        ShardScope::Listed(names.iter().map(|name| name.parse().unwrap()).collect())
    };
    let known = SearchPlan { scope: listed(&["s3", "s1", "s3"]), ..plan(harness.now) };
    assert_eq!(harness.engine.fanout_width(&known), 2);
    let token = harness.search(known);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
    let missing = SearchPlan { scope: listed(&["s1", "s9"]), ..plan(harness.now) };
    let token = harness.search(missing);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::new(0.5));
}

#[test]
fn a_search_of_a_single_service_uses_one_target() {
    let mut harness = EngineHarness::new(even_view(3, 1));
    let plan = SearchPlan { kind: ServiceKind::Single, ..plan(harness.now) };
    assert_eq!(harness.engine.fanout_width(&plan), 1);
    let token = harness.search(plan);
    assert_eq!(harness.attempts.len(), 1);
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_deadline_first_search_ends_before_its_deadline_with_what_it_has() {
    let mut harness = EngineHarness::new(even_view(4, 1));
    let token = harness.search_all();
    let answered = harness.running_on("s1")[0];
    harness.done(answered);
    harness.advance(ms(499));
    let result = harness.result(token).expect("a result before the deadline");
    assert_eq!(result.coverage, CoverageShare::new(0.25));
    assert_eq!(result.reason, Some(ResponseReason::Deadline));
    assert!(result.may_have_run);
    assert!(harness.attempts.values().all(|sent| sent.cancelled));
}

#[test]
fn a_coverage_first_search_keeps_trying_until_its_floor() {
    let mut harness = EngineHarness::new(even_view(4, 1));
    let plan = SearchPlan { policy: CompletionPolicy::CoverageFirst, ..plan(harness.now) };
    let token = harness.search(plan);
    for _ in 0..2 {
        let shed = harness.running_on("s0");
        for attempt in shed {
            harness.answer(attempt, AnswerStatus::Shed);
        }
        harness.advance(ms(60));
    }
    harness.done_all();
    harness.advance(ms(250));
    harness.done_all();
    let result = harness.result(token).expect("a result by the deadline");
    assert_eq!(result.coverage, CoverageShare::FULL);
}

#[test]
fn a_coverage_first_search_ends_when_only_needless_retries_are_left() {
    let mut settings = EngineSettings::default();
    settings.budgets.tenant_burst = 0.0;
    let mut harness = EngineHarness::with_settings(even_view(4, 1), settings);
    let plan = SearchPlan {
        policy: CompletionPolicy::CoverageFirst,
        coverage_floor: CoverageShare::new(0.75),
        ..plan(harness.now)
    };
    let token = harness.search(plan);
    let failed = harness.running_on("s0")[0];
    harness.answer(failed, AnswerStatus::Error);
    assert_eq!(harness.result(token), None);
    harness.done_all();
    assert_eq!(harness.result(token).expect("a result at once").coverage, CoverageShare::new(0.75));
}

#[test]
fn a_search_without_time_or_targets_has_not_run() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let deadline = harness.now + ms(2);
    let token = harness.search(SearchPlan { deadline, ..plan(harness.now) });
    let result = harness.result(token).unwrap();
    assert_eq!((result.reason, result.attempts), (Some(ResponseReason::Deadline), 0));
    assert!(!result.may_have_run);
    harness.view = MembershipView::default();
    harness.update_view();
    let token = harness.search_all();
    let result = harness.result(token).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
    assert!(!result.may_have_run);
}

#[test]
fn a_search_that_every_target_sheds_has_not_run() {
    let mut harness = EngineHarness::new(even_view(2, 1));
    let token = harness.search_all();
    for _ in 0..50 {
        for attempt in harness.attempts.keys().copied().collect::<Vec<_>>() {
            harness.answer(attempt, AnswerStatus::Shed);
        }
        harness.advance(ms(10));
    }
    let result = harness.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::NONE);
    assert!(!result.may_have_run);
    assert!(result.extra_attempts <= 4);
}

#[test]
fn a_cancelled_search_cancels_its_attempts_and_reports_nothing() {
    let mut harness = EngineHarness::new(even_view(3, 1));
    let token = harness.search_all();
    harness.cancel(token);
    assert!(harness.attempts.values().all(|sent| sent.cancelled));
    harness.done_all();
    harness.advance(ms(600));
    assert_eq!(harness.result(token), None);
    assert_eq!(harness.engine.in_flight(), 0);
}

#[test]
fn a_target_that_denied_a_partition_by_mistake_gets_it_again() {
    let mut harness = EngineHarness::new(even_view(1, 1));
    harness.search_all();
    let denied = harness.running_on("s0")[0];
    harness.answer(denied, AnswerStatus::SnapshotGone);
    let token = harness.search_all();
    assert_eq!(harness.result(token).unwrap().reason, Some(ResponseReason::NoTarget));
    harness.advance(ms(11_000));
    let token = harness.search_all();
    harness.done_all();
    assert_eq!(harness.result(token).unwrap().coverage, CoverageShare::FULL);
}
