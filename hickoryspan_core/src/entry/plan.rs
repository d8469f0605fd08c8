//! What the entry machine asks of the fan-out engine, and what the engine reports back.

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
    /// All partitions at once, with hedges and retries.
    #[default]
    Normal,
    /// One partition on one target first, because the request is suspected of crashing targets.
    Canary,
}

/// An admitted search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchPlan {
    /// The service that runs it.
    pub service: ServiceKey,
    /// How the service divides its data.
    pub kind: ServiceKind,
    /// The shards it may span.
    pub scope: ShardScope,
    /// The snapshot that an earlier page used.
    pub pinned: Option<SnapshotVersion>,
    /// The request's content.
    pub fingerprint: RequestFingerprint,
    /// When the response must be given.
    pub deadline: MonotonicTime,
    /// What to do when the time is nearly over.
    pub policy: CompletionPolicy,
    /// The coverage at which a `CoverageFirst` search may end.
    pub coverage_floor: CoverageShare,
    /// Whether to begin with one target.
    pub mode: FanoutMode,
}

/// A claimed order.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderPlan {
    /// The service that runs it.
    pub service: ServiceKey,
    /// The request's content.
    pub fingerprint: RequestFingerprint,
    /// When the response must be given.
    pub deadline: MonotonicTime,
}

/// The end of a search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchResult {
    /// The one snapshot of all parts.
    pub snapshot: Option<SnapshotVersion>,
    /// The share of the search's documents that the parts cover.
    pub coverage: CoverageShare,
    /// The accepted attempts in key order.
    pub parts: Vec<AttemptId>,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Attempts beyond one for each partition.
    pub extra_attempts: u32,
    /// Whether a byte of any attempt may have reached a target that did not answer that it ran nothing.
    pub may_have_run: bool,
    /// Why it is not complete.
    pub reason: Option<ResponseReason>,
}

/// The end of an order's only attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The target answered.
    Answered {
        /// The target.
        target: TargetId,
        /// The attempt whose body is the answer.
        attempt: AttemptId,
        /// How it ended.
        status: AnswerStatus,
        /// The answer's text.
        body: Option<Arc<str>>,
    },
    /// No byte was sent.
    NotSent(ResponseReason),
    /// A byte was sent, and no answer came.
    Lost {
        /// The target.
        target: TargetId,
    },
}

/// A report of the fan-out engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineReport {
    /// A search ended.
    Search(QueryToken, SearchResult),
    /// An order ended.
    Order(QueryToken, OrderResult),
    /// A target crashed while it ran these requests: a connection was lost mid-request, and then a new
    /// incarnation appeared or the target's lease ended.
    Crash {
        /// The target and the incarnation that crashed.
        evidence: CrashEvidence,
        /// The requests in flight on it when it crashed.
        fingerprints: Vec<RequestFingerprint>,
    },
    /// A canary ran without a crash.
    CanaryPassed(RequestFingerprint),
    /// The latency of one sub-request of a service with its wait for capacity, for admission.
    SubrequestLatency(ServiceKey, Duration),
}
