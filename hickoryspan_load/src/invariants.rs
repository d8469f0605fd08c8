//! Checks the invariants in `docs/design.md`, section 1, against the history of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{CoverageShare, RevisionNumber, SnapshotVersion, TargetId, WallTime};
use hickoryspan_target::documents::DocumentHit;
use hickoryspan_target::record::{RunKind, RunRecord};

use crate::expectation::QueryExpectation;

/// Grace period after a target announced its departure, in which it may still receive new work.
pub const DEPARTURE_GRACE: Duration = Duration::from_secs(2);
/// Tolerance for the rounding error of a coverage value that was encoded as JSON.
const COVERAGE_TOLERANCE: f64 = 1e-9;

/// Response to one request as the caller received it.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerRecord {
    /// Request id.
    pub request: Arc<str>,
    /// Whether the request is a non-idempotent order.
    pub is_order: bool,
    /// Entry process that responded; empty without a response.
    pub entry: Arc<str>,
    /// Time at which the request was sent, relative to the start of the run.
    pub sent: Duration,
    /// Time at which the response was complete, relative to the start of the run.
    pub answered: Duration,
    /// Outcome; `None` if the connection failed before the response was complete.
    pub outcome: Option<RequestOutcome>,
    /// Snapshot stated in the response.
    pub snapshot: Option<SnapshotVersion>,
    /// Coverage stated in the response.
    pub coverage: CoverageShare,
    /// Configuration revision stated in the response.
    pub revision: RevisionNumber,
    /// Hits in the response.
    pub hits: Vec<DocumentHit>,
    /// Expected response; `None` for orders and unanswered searches.
    pub expectation: Option<Arc<QueryExpectation>>,
}

/// One run with the target that ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// Target that ran the request.
    pub target: TargetId,
    /// Log record of the run.
    pub run: RunRecord,
}

/// Input of the invariant checkers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunHistory {
    /// Responses that callers received.
    pub answers: Vec<AnswerRecord>,
    /// Runs on all targets.
    pub runs: Vec<TargetRun>,
    /// Time at which each departing target announced its departure.
    pub departures: BTreeMap<TargetId, WallTime>,
    /// Whether the run had only planned stops and no lost hosts, so that every request must get a response.
    pub has_only_planned_stops: bool,
}

/// Invariant of the system. Violations are printed with the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// All hits of a response belong to the stated snapshot.
    OneSnapshot,
    /// The stated coverage matches the shards whose hits are in the response, and only full coverage is complete.
    TrueCoverage,
    /// A response contains only hits of its own query, sorted and without duplicates; a complete response contains all.
    OwnAnswer,
    /// A request reported as not run did not run on any target.
    NotRunIsTrue,
    /// A non-idempotent order runs at most once.
    AtMostOnce,
    /// A departing target receives no new work after the grace period.
    NoWorkForLeavers,
    /// A planned stop leaves no request without a response.
    NothingCut,
    /// The configuration revision of an entry process never decreases.
    NeverReverts,
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Request id or target id that the violation concerns.
    pub subject: Arc<str>,
    /// Description of the observed fault.
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

/// Runs all checkers and returns every violation; a correct run has none.
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

/// Number of documents in the shards that responded, as derived from the hits of a response.
///
/// `present` counts the shards whose hits are all in the response. A shard without hits leaves no trace in the
/// response, so its documents count as `undecided`.
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
    let late_runs = history.runs.iter().filter(|run| {
        history.departures.get(&run.target).is_some_and(|left| run.run.started.0 > left.0 + bound)
    });
    late_runs
        .map(|run| report(Invariant::NoWorkForLeavers, &run.target, "new work after the bound"))
        .collect()
}

fn check_planned_stops(history: &RunHistory) -> Vec<InvariantViolation> {
    if !history.has_only_planned_stops {
        return Vec::new();
    }
    let unanswered = history.answers.iter().filter(|answer| answer.outcome.is_none());
    unanswered.map(|answer| report(Invariant::NothingCut, &answer.request, "no answer")).collect()
}

/// Checks that a request which was sent after a response of the same entry process arrived gets at least the revision
/// of that response.
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
