//! Checkers of the invariants in `docs/design.md`, section 1, over the record of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{CoverageShare, RevisionNumber, SnapshotVersion, TargetId, WallTime};
use hickoryspan_target::documents::DocumentHit;
use hickoryspan_target::record::{RunKind, RunRecord};

use crate::expectation::QueryExpectation;

/// Time after which a target that is leaving gets no new work.
pub const DEPARTURE_GRACE: Duration = Duration::from_secs(2);
/// Rounding error of a coverage that went through JSON.
const COVERAGE_TOLERANCE: f64 = 1e-9;

/// What a caller was told about one request.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerRecord {
    /// The request's id.
    pub request: Arc<str>,
    /// Whether it may run more than once.
    pub is_order: bool,
    /// The entry process that answered.
    pub entry: Arc<str>,
    /// When the request was sent.
    pub sent: Duration,
    /// When the answer had arrived.
    pub answered: Duration,
    /// The outcome; nothing if the connection failed before an answer.
    pub outcome: Option<RequestOutcome>,
    /// The snapshot that the answer names.
    pub snapshot: Option<SnapshotVersion>,
    /// The coverage that the answer states.
    pub coverage: CoverageShare,
    /// The configuration revision that the answer names.
    pub revision: RevisionNumber,
    /// The hits in the answer.
    pub hits: Vec<DocumentHit>,
    /// The right answer, for searches.
    pub expectation: Option<Arc<QueryExpectation>>,
}

/// One run on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// The target.
    pub target: TargetId,
    /// What ran.
    pub run: RunRecord,
}

/// Everything that the checkers look at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunHistory {
    /// What callers were told.
    pub answers: Vec<AnswerRecord>,
    /// What ran on targets.
    pub runs: Vec<TargetRun>,
    /// When targets announced that they leave.
    pub departures: BTreeMap<TargetId, WallTime>,
    /// Whether the run had only planned stops and no lost hosts, so that no connection may fail.
    pub has_only_planned_stops: bool,
}

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every response comes from one snapshot.
    OneSnapshot,
    /// The stated coverage is the true one.
    TrueCoverage,
    /// A response holds the whole answer to its own request and nothing else.
    OwnAnswer,
    /// What was said not to have run did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work.
    NoWorkForLeavers,
    /// A planned stop cuts no request.
    NothingCut,
    /// A configuration never reverts.
    NeverReverts,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request, target or entry.
    pub subject: Arc<str>,
    /// What was seen.
    pub detail: Arc<str>,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}: {}", self.invariant, self.subject, self.detail)
    }
}

fn report(
    invariant: Invariant,
    subject: impl fmt::Display,
    detail: impl fmt::Display,
) -> InvariantViolation {
    InvariantViolation {
        invariant,
        subject: subject.to_string().into(),
        detail: detail.to_string().into(),
    }
}

/// Runs all checkers.
pub fn check_history(history: &RunHistory) -> Vec<InvariantViolation> {
    let checkers = [
        check_snapshots,
        check_coverage,
        check_own_answers,
        check_not_run,
        check_at_most_once,
        check_departures,
        check_planned_stops,
        check_revisions,
    ];
    checkers.iter().flat_map(|checker| checker(history)).collect()
}

fn check_snapshots(history: &RunHistory) -> Vec<InvariantViolation> {
    let mixed = history.answers.iter().filter(|answer| {
        answer.hits.iter().any(|hit| Some(SnapshotVersion(hit.snapshot)) != answer.snapshot)
    });
    mixed
        .map(|answer| report(Invariant::OneSnapshot, &answer.request, "hits of another snapshot"))
        .collect()
}

/// The shards whose hits are all in the answer; shards without hits may or may not have answered.
struct AnsweredShards {
    present: f64,
    undecided: f64,
    total: f64,
}

fn answered_shards(answer: &AnswerRecord, expectation: &QueryExpectation) -> AnsweredShards {
    let returned: BTreeSet<&DocumentHit> = answer.hits.iter().collect();
    let mut shards =
        AnsweredShards { present: 0.0, undecided: 0.0, total: expectation.total().0 as f64 };
    for (shard, hits) in &expectation.hits {
        let documents = expectation.documents.get(shard).map_or(0.0, |count| count.0 as f64);
        if hits.is_empty() {
            shards.undecided += documents;
        } else if hits.iter().all(|hit| returned.contains(hit)) {
            shards.present += documents;
        }
    }
    shards
}

fn check_coverage(history: &RunHistory) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    for answer in &history.answers {
        let (Some(expectation), Some(outcome)) = (&answer.expectation, answer.outcome) else {
            continue;
        };
        let shards = answered_shards(answer, expectation);
        let stated = answer.coverage.value() * shards.total;
        let tolerance = COVERAGE_TOLERANCE * shards.total.max(1.0);
        let lowest = shards.present - tolerance;
        let highest = shards.present + shards.undecided + tolerance;
        if !(lowest..=highest).contains(&stated) {
            let detail = format!("states {stated} documents, has {lowest} to {highest}");
            violations.push(report(Invariant::TrueCoverage, &answer.request, detail));
        }
        let is_full = answer.coverage.value() >= 1.0;
        if is_full != (outcome == RequestOutcome::Complete) {
            let detail = format!("{outcome:?} with coverage {}", answer.coverage);
            violations.push(report(Invariant::TrueCoverage, &answer.request, detail));
        }
    }
    violations
}

fn check_own_answers(history: &RunHistory) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    for answer in &history.answers {
        let Some(expectation) = &answer.expectation else { continue };
        let expected: BTreeSet<&DocumentHit> = expectation.hits.values().flatten().collect();
        let returned: BTreeSet<&DocumentHit> = answer.hits.iter().collect();
        if !returned.is_subset(&expected) {
            violations.push(report(Invariant::OwnAnswer, &answer.request, "hits of another query"));
        }
        if returned.len() != answer.hits.len() {
            violations.push(report(Invariant::OwnAnswer, &answer.request, "a hit stands twice"));
        }
        if !answer.hits.is_sorted_by(|left, right| left.key <= right.key) {
            violations.push(report(Invariant::OwnAnswer, &answer.request, "hits out of order"));
        }
        if answer.outcome == Some(RequestOutcome::Complete) && returned != expected {
            violations.push(report(
                Invariant::OwnAnswer,
                &answer.request,
                "complete without all hits",
            ));
        }
    }
    violations
}

fn check_not_run(history: &RunHistory) -> Vec<InvariantViolation> {
    let ran: BTreeSet<&str> = history.runs.iter().map(|run| run.run.request.as_str()).collect();
    let refused =
        history.answers.iter().filter(|answer| answer.outcome == Some(RequestOutcome::NotRun));
    refused
        .filter(|answer| ran.contains(&*answer.request))
        .map(|answer| report(Invariant::NotRunIsTrue, &answer.request, "it ran on a target"))
        .collect()
}

fn check_at_most_once(history: &RunHistory) -> Vec<InvariantViolation> {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for run in history.runs.iter().filter(|run| run.run.kind == RunKind::Order) {
        *counts.entry(&run.run.request).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(request, count)| {
            report(Invariant::AtMostOnce, request, format!("ran {count} times"))
        })
        .collect()
}

fn check_departures(history: &RunHistory) -> Vec<InvariantViolation> {
    let bound = u64::try_from(DEPARTURE_GRACE.as_millis()).unwrap_or(u64::MAX);
    let late = history.runs.iter().filter(|run| {
        history.departures.get(&run.target).is_some_and(|left| run.run.started.0 > left.0 + bound)
    });
    late.map(|run| report(Invariant::NoWorkForLeavers, &run.target, "new work after the bound"))
        .collect()
}

fn check_planned_stops(history: &RunHistory) -> Vec<InvariantViolation> {
    if !history.has_only_planned_stops {
        return Vec::new();
    }
    let cut = history.answers.iter().filter(|answer| answer.outcome.is_none());
    cut.map(|answer| report(Invariant::NothingCut, &answer.request, "no answer")).collect()
}

/// An answer that had arrived before another request was sent to the same entry process must not name a later
/// revision than the other one's answer.
fn check_revisions(history: &RunHistory) -> Vec<InvariantViolation> {
    let mut by_entry: BTreeMap<&str, Vec<&AnswerRecord>> = BTreeMap::new();
    for answer in history.answers.iter().filter(|answer| answer.outcome.is_some()) {
        by_entry.entry(&answer.entry).or_default().push(answer);
    }
    let mut violations = Vec::new();
    for answers in by_entry.values() {
        let mut by_arrival = answers.clone();
        by_arrival.sort_by_key(|answer| answer.answered);
        let mut by_sending = answers.clone();
        by_sending.sort_by_key(|answer| answer.sent);
        let mut arrived = by_arrival.into_iter().peekable();
        let mut newest = RevisionNumber::default();
        for answer in by_sending {
            while let Some(earlier) = arrived.next_if(|earlier| earlier.answered < answer.sent) {
                newest = newest.max(earlier.revision);
            }
            if answer.revision < newest {
                let detail = format!("revision {} after {newest}", answer.revision);
                violations.push(report(Invariant::NeverReverts, &answer.request, detail));
            }
        }
    }
    violations
}
