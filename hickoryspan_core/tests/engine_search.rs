//! Guards against searches with a wrong snapshot, wrong coverage or mixed-up answers.

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
    let mut bench = EngineBench::new(even_view(12, 2));
    let token = bench.search_all();
    let mut attempts: Vec<_> = bench.attempts.keys().copied().collect();
    attempts.reverse();
    for attempt in attempts {
        bench.done(attempt);
    }
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::FULL);
    assert_eq!(result.reason, None);
    assert_eq!((result.attempts, result.extra_attempts), (12, 0));
    let shards: Vec<_> = result.parts.iter().map(|part| bench.sent[part].work.clone()).collect();
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
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().snapshot, Some(SnapshotVersion(2)));
}

#[test]
fn without_a_fully_served_snapshot_the_best_covered_one_is_used() {
    let mut view = even_view(4, 1);
    add_snapshot(&mut view, 2, 4, &[0]);
    // Snapshot 2 lacks three of four targets, snapshot 1 lacks one.
    view.targets.remove(&"t3-0".parse().unwrap());
    for shard in [1, 2] {
        let name = format!("t{shard}-0").parse().unwrap();
        view.targets.get_mut(&name).unwrap().partitions.pop();
    }
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(1)));
    assert_eq!(result.coverage, CoverageShare::new(0.75));
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
}

#[test]
fn of_equally_covered_snapshots_the_newest_is_used() {
    let mut view = even_view(2, 1);
    add_snapshot(&mut view, 2, 2, &[0]);
    view.targets.remove(&"t1-0".parse().unwrap());
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().snapshot, Some(SnapshotVersion(2)));
}

#[test]
fn a_pinned_snapshot_is_kept_or_reported_gone() {
    let mut view = even_view(3, 1);
    add_snapshot(&mut view, 2, 3, &[0]);
    let mut bench = EngineBench::new(view);
    let pinned = |bench: &EngineBench, snapshot| {
        let pinned = Some(SnapshotVersion(snapshot));
        SearchPlan { pinned, ..plan(bench.now) }
    };
    let kept = bench.search(pinned(&bench, 1));
    bench.done_all();
    assert_eq!(bench.result(kept).unwrap().snapshot, Some(SnapshotVersion(1)));
    let gone = bench.search(pinned(&bench, 9));
    let result = bench.result(gone).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
    assert!(!result.may_have_run);
}

#[test]
fn an_answer_of_another_snapshot_is_rejected() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search_all();
    let wrong = bench.running_on("s0")[0];
    bench.answer_with(wrong, AnswerStatus::Done, Some(SnapshotVersion(2)), None);
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.parts.len(), 1);
    assert!(bench.discarded.contains(&wrong));
}

#[test]
fn duplicate_and_late_answers_do_not_count_again() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let first = bench.search_all();
    let old: Vec<_> = bench.attempts.keys().copied().collect();
    bench.done(old[0]);
    bench.done(old[0]);
    bench.advance(ms(500));
    assert_eq!(bench.result(first).unwrap().coverage, CoverageShare::new(0.5));
    let second = bench.search_all();
    bench.done(old[1]);
    bench.done(old[0]);
    assert_eq!(bench.result(second), None);
    bench.advance(ms(500));
    assert_eq!(bench.result(second).unwrap().parts.len(), 0);
}

#[test]
fn gaps_in_the_key_space_lower_the_coverage_at_mean_density() {
    let mut view = even_view(4, 1);
    let manifests = view.snapshots.get_mut(&service()).unwrap();
    let manifest = manifests.get_mut(&SnapshotVersion(1)).unwrap();
    manifest.partitions.remove(&"s2".parse().unwrap());
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert!((result.coverage.value() - 0.75).abs() < 1e-9);
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
}

#[test]
fn an_unanswered_partition_without_documents_prevents_full_coverage() {
    let mut view = even_view(2, 1);
    let manifests = view.snapshots.get_mut(&service()).unwrap();
    let manifest = manifests.get_mut(&SnapshotVersion(1)).unwrap();
    manifest.partitions.get_mut(&"s1".parse().unwrap()).unwrap().documents = DocumentCount(0);
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    let answered = bench.running_on("s0")[0];
    bench.done(answered);
    bench.advance(ms(500));
    let coverage = bench.result(token).unwrap().coverage;
    assert!(coverage < CoverageShare::FULL && coverage.value() > 0.99);
}

#[test]
fn overlapping_partitions_of_a_split_are_not_counted_twice() {
    let mut view = even_view(2, 1);
    // s0 is being split: its halves are known beside it, and one half is not served yet.
    let halves = KeyRange::split_evenly(4);
    let mut record = target("h0", "d0");
    record.partitions = vec![partition(1, "h0", halves[0])];
    put(&mut view, record);
    let mut record = target("h1", "d0");
    record.partitions = vec![partition(1, "h1", halves[1])];
    put(&mut view, record);
    view.targets.remove(&"h1".parse().unwrap());
    let mut bench = EngineBench::new(view);
    let token = bench.search_all();
    assert_eq!(bench.attempts.len(), 2);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_partition_whose_range_changes_mid_query_is_not_counted_with_either_range() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search_all();
    let stale = bench.running_on("s0")[0];
    let quarter = KeyRange::split_evenly(4)[0];
    let mut record = bench.view.targets[&"t0-0".parse().unwrap()].clone();
    record.partitions = vec![partition(1, "s0", quarter)];
    put(&mut bench.view, record);
    bench.update_view();
    bench.done(stale);
    bench.done_all();
    bench.advance(ms(500));
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::new(0.5));
}

#[test]
fn a_moved_partition_is_found_at_its_new_target() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search_all();
    let denied = bench.running_on("s0")[0];
    let mut record = target("new", "d1");
    record.partitions = vec![partition(1, "s0", KeyRange::split_evenly(2)[0])];
    put(&mut bench.view, record);
    bench.update_view();
    bench.open_all();
    bench.answer(denied, AnswerStatus::SnapshotGone);
    assert_eq!(bench.target_of(bench.running_on("s0")[0]), "new");
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_search_restarts_once_when_its_snapshot_disappears() {
    let mut bench = EngineBench::new(even_view(3, 1));
    let token = bench.search_all();
    let first = bench.running_on("s0")[0];
    bench.done(first);
    let mut view = bench.view.clone();
    add_snapshot(&mut view, 2, 3, &[0]);
    bench.view = view;
    bench.update_view();
    let denied = bench.running_on("s1")[0];
    bench.answer(denied, AnswerStatus::SnapshotGone);
    assert!(bench.discarded.contains(&first), "a part of the former snapshot was kept");
    bench.advance(ms(1));
    for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
        bench.done(attempt);
    }
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(2)));
    assert_eq!(result.coverage, CoverageShare::FULL);
    for part in &result.parts {
        assert!(matches!(
            bench.sent[part].work,
            AttemptWork::Search { snapshot: SnapshotVersion(2), .. }
        ));
    }
}

#[test]
fn a_search_restarts_only_once() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search_all();
    for snapshot in [2, 3] {
        let mut view = bench.view.clone();
        add_snapshot(&mut view, snapshot, 2, &[0]);
        bench.view = view;
        bench.update_view();
        let denied = *bench.running_on("s0").last().unwrap();
        bench.answer(denied, AnswerStatus::SnapshotGone);
    }
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(2)));
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
}

#[test]
fn a_pinned_search_does_not_change_its_snapshot() {
    let mut view = even_view(2, 1);
    add_snapshot(&mut view, 2, 2, &[0]);
    let mut bench = EngineBench::new(view);
    let pinned = Some(SnapshotVersion(1));
    let plan = SearchPlan { pinned, ..plan(bench.now) };
    let token = bench.search(plan);
    let denied = bench.running_on("s0")[0];
    bench.answer(denied, AnswerStatus::SnapshotGone);
    bench.done_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.snapshot, Some(SnapshotVersion(1)));
    assert_eq!(result.coverage, CoverageShare::new(0.5));
    assert_eq!(result.reason, Some(ResponseReason::SnapshotGone));
}

#[test]
fn a_search_of_listed_shards_spans_only_these() {
    let mut bench = EngineBench::new(even_view(4, 1));
    let listed = |names: &[&str]| {
        ShardScope::Listed(names.iter().map(|name| name.parse().unwrap()).collect())
    };
    let known = SearchPlan { scope: listed(&["s3", "s1", "s3"]), ..plan(bench.now) };
    assert_eq!(bench.engine.fanout_width(&known), 2);
    let token = bench.search(known);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
    let missing = SearchPlan { scope: listed(&["s1", "s9"]), ..plan(bench.now) };
    let token = bench.search(missing);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::new(0.5));
}

#[test]
fn a_search_of_a_single_service_uses_one_target() {
    let mut bench = EngineBench::new(even_view(3, 1));
    let plan = SearchPlan { kind: ServiceKind::Single, ..plan(bench.now) };
    assert_eq!(bench.engine.fanout_width(&plan), 1);
    let token = bench.search(plan);
    assert_eq!(bench.attempts.len(), 1);
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}

#[test]
fn a_deadline_first_search_ends_before_its_deadline_with_what_it_has() {
    let mut bench = EngineBench::new(even_view(4, 1));
    let token = bench.search_all();
    let answered = bench.running_on("s1")[0];
    bench.done(answered);
    bench.advance(ms(499));
    let result = bench.result(token).expect("an end before the deadline");
    assert_eq!(result.coverage, CoverageShare::new(0.25));
    assert_eq!(result.reason, Some(ResponseReason::Deadline));
    assert!(result.may_have_run);
    assert!(bench.attempts.values().all(|sent| sent.cancelled));
}

#[test]
fn a_coverage_first_search_keeps_trying_until_its_floor() {
    let mut bench = EngineBench::new(even_view(4, 1));
    let plan = SearchPlan { policy: CompletionPolicy::CoverageFirst, ..plan(bench.now) };
    let token = bench.search(plan);
    for _ in 0..2 {
        let shed = bench.running_on("s0");
        for attempt in shed {
            bench.answer(attempt, AnswerStatus::Shed);
        }
        bench.advance(ms(60));
    }
    bench.done_all();
    bench.advance(ms(250));
    bench.done_all();
    let result = bench.result(token).expect("an end by the deadline");
    assert_eq!(result.coverage, CoverageShare::FULL);
}

#[test]
fn a_coverage_first_search_ends_when_only_needless_retries_are_left() {
    let mut settings = EngineSettings::default();
    settings.budgets.tenant_burst = 0.0;
    let mut bench = EngineBench::with_settings(even_view(4, 1), settings);
    let plan = SearchPlan {
        policy: CompletionPolicy::CoverageFirst,
        coverage_floor: CoverageShare::new(0.75),
        ..plan(bench.now)
    };
    let token = bench.search(plan);
    let failed = bench.running_on("s0")[0];
    bench.answer(failed, AnswerStatus::Error);
    assert_eq!(bench.result(token), None);
    bench.done_all();
    assert_eq!(bench.result(token).expect("an end at once").coverage, CoverageShare::new(0.75));
}

#[test]
fn a_search_without_time_or_targets_has_not_run() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let deadline = bench.now + ms(2);
    let token = bench.search(SearchPlan { deadline, ..plan(bench.now) });
    let result = bench.result(token).unwrap();
    assert_eq!((result.reason, result.attempts), (Some(ResponseReason::Deadline), 0));
    assert!(!result.may_have_run);
    bench.view = MembershipView::default();
    bench.update_view();
    let token = bench.search_all();
    let result = bench.result(token).unwrap();
    assert_eq!(result.reason, Some(ResponseReason::NoTarget));
    assert!(!result.may_have_run);
}

#[test]
fn a_search_that_every_target_sheds_has_not_run() {
    let mut bench = EngineBench::new(even_view(2, 1));
    let token = bench.search_all();
    for _ in 0..50 {
        for attempt in bench.attempts.keys().copied().collect::<Vec<_>>() {
            bench.answer(attempt, AnswerStatus::Shed);
        }
        bench.advance(ms(10));
    }
    let result = bench.result(token).unwrap();
    assert_eq!(result.coverage, CoverageShare::NONE);
    assert!(!result.may_have_run);
    assert!(result.extra_attempts <= 4);
}

#[test]
fn a_cancelled_search_cancels_its_attempts_and_reports_nothing() {
    let mut bench = EngineBench::new(even_view(3, 1));
    let token = bench.search_all();
    bench.cancel(token);
    assert!(bench.attempts.values().all(|sent| sent.cancelled));
    bench.done_all();
    bench.advance(ms(600));
    assert_eq!(bench.result(token), None);
    assert_eq!(bench.engine.in_flight(), 0);
}

#[test]
fn a_target_that_denied_a_partition_by_mistake_gets_it_again() {
    let mut bench = EngineBench::new(even_view(1, 1));
    bench.search_all();
    let denied = bench.running_on("s0")[0];
    bench.answer(denied, AnswerStatus::SnapshotGone);
    let token = bench.search_all();
    assert_eq!(bench.result(token).unwrap().reason, Some(ResponseReason::NoTarget));
    bench.advance(ms(11_000));
    let token = bench.search_all();
    bench.done_all();
    assert_eq!(bench.result(token).unwrap().coverage, CoverageShare::FULL);
}
