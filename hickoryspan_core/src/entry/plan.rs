//! Requests of the entry machine to the fan-out engine, and the reports of the engine.

use std::sync::Arc;
use std::time::Duration;

use crate::membership::{CrashEvidence, ServiceKey};
use crate::sheet::{CompletionPolicy, ServiceKind, ShardScope};
use crate::types::{
    AttemptId, CoverageShare, MonotonicTime, QueryToken, RequestFingerprint, SnapshotVersion,
    TargetId,
};

use super::interface::{AnswerStatus, ResponseReason};

/// Whether a search may use all of its targets at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FanoutMode {
    /// All partitions start at once, with hedges and retries.
    #[default]
    Normal,
    /// A single partition runs first, because the request is suspected of crashing targets.
    Canary,
}

/// Admitted search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchPlan {
    /// Service that runs the request.
    pub service: ServiceKey,
    /// How the service partitions its data.
    pub kind: ServiceKind,
    /// Shards that the search may span.
    pub scope: ShardScope,
    /// Snapshot of an earlier result page, which must be used again.
    pub pinned: Option<SnapshotVersion>,
    /// Fingerprint of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Time at which the caller must have the response.
    pub deadline: MonotonicTime,
    /// Whether the deadline or the coverage takes precedence.
    pub policy: CompletionPolicy,
    /// Coverage at which a `CoverageFirst` search may end instead of retrying further.
    pub coverage_floor: CoverageShare,
    /// Whether the search starts with a canary.
    pub mode: FanoutMode,
}

/// Order whose claim was granted.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderPlan {
    /// Service that runs the request.
    pub service: ServiceKey,
    /// Fingerprint of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Time at which the caller must have the response.
    pub deadline: MonotonicTime,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchResult {
    /// Snapshot of all parts; `None` if no snapshot was used.
    pub snapshot: Option<SnapshotVersion>,
    /// Share of the search's documents that the parts cover.
    pub coverage: CoverageShare,
    /// Attempts with accepted answers, in key order.
    pub parts: Vec<AttemptId>,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// Number of attempts beyond one for each started partition.
    pub extra_attempts: u32,
    /// Whether a byte of any attempt may have reached a target that did not report the attempt as
    /// not executed.
    pub may_have_run: bool,
    /// Why the coverage is not full; `None` if it is.
    pub reason: Option<ResponseReason>,
}

/// Result of an order's only attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The target answered.
    Answered {
        /// Target of the attempt.
        target: TargetId,
        /// Attempt that was answered.
        attempt: AttemptId,
        /// Status that the target returned.
        status: AnswerStatus,
        /// Body of the answer.
        body: Option<Arc<str>>,
    },
    /// No byte was sent to a target.
    NotSent(ResponseReason),
    /// A byte may have been sent, but no answer was received.
    Lost {
        /// Target of the attempt.
        target: TargetId,
    },
}

/// Report of the fan-out engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineReport {
    /// A search ended.
    Search(QueryToken, SearchResult),
    /// An order ended.
    Order(QueryToken, OrderResult),
    /// A target crashed while it ran these requests: a connection was lost mid-request, and then a
    /// new incarnation appeared or the target's lease ended.
    Crash {
        /// Target and incarnation that crashed.
        evidence: CrashEvidence,
        /// Requests that were in flight on the target when it crashed.
        fingerprints: Vec<RequestFingerprint>,
    },
    /// A canary ran without a crash of its target.
    CanaryPassed(RequestFingerprint),
    /// Latency of one sub-request of a service, including its wait for capacity. Used by admission.
    SubrequestLatency(ServiceKey, Duration),
}
