//! Tests that each invariant checker detects a history that violates its invariant, and that a valid history has no
//! violations.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{
    CoverageShare, DocumentCount, IncarnationNumber, KeyRange, RevisionNumber, SnapshotVersion,
    WallTime,
};
use hickoryspan_load::expectation::QueryExpectation;
use hickoryspan_load::invariants::{AnswerRecord, Invariant, RunHistory, TargetRun, check_history};
use hickoryspan_target::record::{RunKind, RunRecord};
use rstest::rstest;

const SHARDS: u32 = 8;
const MAX_HITS: u32 = 3;

fn expectation(query: &[u8]) -> Arc<QueryExpectation> {
    let partitions: Vec<PartitionRecord> = KeyRange::split_evenly(SHARDS)
        .into_iter()
        .enumerate()
        .map(|(index, range)| PartitionRecord {
            snapshot: SnapshotVersion(1),
            shard: format!("s{index}").parse().unwrap(),
            range,
            documents: DocumentCount(100),
        })
        .collect();
    Arc::new(QueryExpectation::new(query, &partitions, MAX_HITS))
}

fn complete_answer() -> AnswerRecord {
    let expectation = expectation(b"query");
    AnswerRecord {
        request: "r1".into(),
        is_order: false,
        entry: "e1".into(),
        sent: Duration::from_millis(10),
        answered: Duration::from_millis(20),
        outcome: Some(RequestOutcome::Complete),
        snapshot: Some(SnapshotVersion(1)),
        coverage: CoverageShare::FULL,
        revision: RevisionNumber(7),
        hits: expectation.hits.values().flatten().cloned().collect(),
        expectation: Some(expectation),
    }
}

fn run(request: &str, kind: RunKind, started: u64) -> TargetRun {
    TargetRun {
        target: "t1".parse().unwrap(),
        run: RunRecord {
            request: request.into(),
            attempt: "1".into(),
            kind,
            shard: None,
            snapshot: None,
            incarnation: IncarnationNumber(1),
            started: WallTime(started),
            ended: None,
            end: None,
        },
    }
}

fn valid_history() -> RunHistory {
    let order = AnswerRecord {
        request: "o1".into(),
        is_order: true,
        hits: Vec::new(),
        expectation: None,
        ..complete_answer()
    };
    let refused = AnswerRecord {
        request: "n1".into(),
        outcome: Some(RequestOutcome::NotRun),
        coverage: CoverageShare::NONE,
        hits: Vec::new(),
        ..complete_answer()
    };
    RunHistory {
        answers: vec![complete_answer(), order, refused],
        runs: vec![run("r1", RunKind::Query, 1000), run("o1", RunKind::Order, 1000)],
        departures: [("t1".parse().unwrap(), WallTime(1000))].into(),
        has_only_planned_stops: true,
    }
}

fn overstate_coverage_of_a_missing_shard(history: &mut RunHistory) {
    let answer = &mut history.answers[0];
    let shards = &answer.expectation.as_ref().unwrap().hits;
    let lost = shards.values().find(|hits| !hits.is_empty()).unwrap().clone();
    answer.hits.retain(|hit| !lost.contains(hit));
    answer.outcome = Some(RequestOutcome::Partial);
    answer.coverage = CoverageShare::new(0.99);
}

#[test]
fn a_valid_history_has_no_violation() {
    assert_eq!(check_history(&valid_history()), []);
}

#[rstest]
#[case::other_snapshot(Invariant::OneSnapshot, |history: &mut RunHistory| {
    history.answers[0].snapshot = Some(SnapshotVersion(2));
})]
#[case::overstated_coverage(
    Invariant::TrueCoverage,
    overstate_coverage_of_a_missing_shard as fn(&mut RunHistory)
)]
#[case::partial_with_full_coverage(Invariant::TrueCoverage, |history: &mut RunHistory| {
    history.answers[0].outcome = Some(RequestOutcome::Partial);
})]
#[case::missing_hit(Invariant::OwnAnswer, |history: &mut RunHistory| {
    history.answers[0].hits.pop();
})]
#[case::repeated_hit(Invariant::OwnAnswer, |history: &mut RunHistory| {
    let hit = history.answers[0].hits[0].clone();
    history.answers[0].hits.insert(0, hit);
})]
#[case::not_run_but_ran(Invariant::NotRunIsTrue, |history: &mut RunHistory| {
    history.runs.push(run("n1", RunKind::Query, 1000));
})]
#[case::order_that_ran_twice(Invariant::AtMostOnce, |history: &mut RunHistory| {
    history.runs.push(run("o1", RunKind::Order, 1001));
})]
#[case::work_after_departure(Invariant::NoWorkForLeavers, |history: &mut RunHistory| {
    history.runs.push(run("r1", RunKind::Query, 3001));
})]
#[case::no_response(Invariant::NothingCut, |history: &mut RunHistory| {
    history.answers[2].outcome = None;
    history.answers[2].expectation = None;
})]
#[case::older_revision(Invariant::NeverReverts, |history: &mut RunHistory| {
    history.answers[1].sent = Duration::from_millis(30);
    history.answers[1].answered = Duration::from_millis(40);
    history.answers[1].revision = RevisionNumber(6);
})]
fn each_violation_is_reported(#[case] invariant: Invariant, #[case] corrupt: fn(&mut RunHistory)) {
    let mut history = valid_history();
    corrupt(&mut history);
    let violations = check_history(&history);
    assert!(!violations.is_empty());
    assert!(violations.iter().any(|violation| violation.invariant == invariant), "{violations:?}");
}
