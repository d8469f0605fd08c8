//! State of the searches and orders in flight.

use std::sync::Arc;
use std::time::Duration;

use crate::sheet::{CompletionPolicy, ServiceKind, ShardScope};
use crate::types::{
    AttemptId, ConnectionId, CoverageShare, MonotonicTime, QueryToken, RequestFingerprint,
    SnapshotVersion,
};

use super::arena::QueryKey;
use super::coverage::CoverageCounter;
use super::crash_detection::DomainOutcomes;
use super::interface::ResponseReason;
use super::plan::SearchResult;
use super::snapshots::{SearchScope, ServiceIndex, SnapshotLayout};
use super::targets::TargetIndex;

/// Settings of deadlines and of waiting for capacity.
#[derive(Clone, Copy, Debug)]
pub struct QuerySettings {
    /// Time before its deadline at which a `DeadlineFirst` search ends, so that its response is on
    /// time.
    pub response_margin: Duration,
    /// Minimum time that any attempt is assumed to need.
    pub min_attempt_time: Duration,
    /// Maximum number of sub-requests of one service that wait for capacity.
    pub max_waiting: usize,
}

impl Default for QuerySettings {
    fn default() -> Self {
        Self {
            response_margin: Duration::from_millis(2),
            min_attempt_time: Duration::from_millis(1),
            max_waiting: 20_000,
        }
    }
}

/// Number of tried targets that a partition records, so that a retry goes to another one.
const MAX_TRIED_TARGETS: usize = 4;

/// Placeholder for a missing attempt; the arena never returns this key.
pub(super) const NO_ATTEMPT: AttemptId = AttemptId(0);

/// Reason for sending an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// First attempt of a partition, or its replacement if that was not sent.
    First,
    /// Attempt after a failure.
    Retry,
    /// Attempt beside a slow one.
    Hedge,
    /// Attempt that replaces one on a stalled connection. It may use the same target on another
    /// connection.
    Reroute,
}

impl AttemptKind {
    /// Returns whether the attempt is charged to the budgets of hedges and retries.
    pub fn is_extra(self) -> bool {
        self != Self::First
    }
}

/// Attempt that was sent and still occupies its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptState {
    /// Key of the query, which may already have ended.
    pub query: QueryKey,
    /// Index of the partition in the query's layout.
    pub partition: u32,
    /// Target of the attempt.
    pub target: TargetIndex,
    /// Connection that carries the attempt.
    pub connection: ConnectionId,
    /// Time at which the attempt was sent.
    pub started: MonotonicTime,
    /// Fingerprint of the request, for crash evidence.
    pub fingerprint: RequestFingerprint,
    /// Whether the answer no longer counts. The attempt still occupies its connection.
    pub abandoned: bool,
}

/// Progress of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartitionStatus {
    /// Not started, because the canary has not passed.
    Planned,
    /// Waiting for a target with capacity.
    Waiting(AttemptKind),
    /// At least one attempt is running.
    Running,
    /// Suspended until a lost connection is classified.
    Suspended,
    /// Retried at the given time.
    Backoff(MonotonicTime),
    /// An answer was accepted.
    Done,
    /// Ended without an answer.
    Failed(ResponseReason),
}

/// State of one partition of a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionState {
    /// Progress of the partition.
    pub status: PartitionStatus,
    /// Running attempts whose answers still count, or `NO_ATTEMPT`.
    pub attempts: [AttemptId; 2],
    /// Attempt whose answer was accepted, or `NO_ATTEMPT`.
    pub accepted: AttemptId,
    /// The most recently tried targets, oldest first.
    pub tried: [TargetIndex; MAX_TRIED_TARGETS],
    /// Number of valid elements of `tried`.
    pub tried_len: u8,
    /// Number of retries, hedges and reroutes.
    pub retries: u8,
    /// Number of attempts that were not sent.
    pub not_sent: u8,
    /// Number of attempts of which a byte may have been sent.
    pub sent: u32,
    /// Number of tries to send a hedge.
    pub hedge_tries: u8,
    /// Number of tries to reroute away from stalled connections.
    pub reroute_tries: u8,
    /// Sequence number of the current wait; queue entries with another one are stale.
    pub sequence: u64,
}

impl Default for PartitionState {
    fn default() -> Self {
        Self {
            status: PartitionStatus::Planned,
            attempts: [NO_ATTEMPT; 2],
            accepted: NO_ATTEMPT,
            tried: [TargetIndex::default(); MAX_TRIED_TARGETS],
            tried_len: 0,
            retries: 0,
            not_sent: 0,
            sent: 0,
            hedge_tries: 0,
            reroute_tries: 0,
            sequence: 0,
        }
    }
}

impl PartitionState {
    /// Returns the most recently tried targets, oldest first.
    pub fn tried(&self) -> &[TargetIndex] {
        &self.tried[..usize::from(self.tried_len)]
    }

    /// Records a tried target, dropping the oldest one if the list is full.
    pub fn record_tried(&mut self, target: TargetIndex) {
        if usize::from(self.tried_len) < MAX_TRIED_TARGETS {
            self.tried[usize::from(self.tried_len)] = target;
            self.tried_len += 1;
        } else {
            self.tried.rotate_left(1);
            self.tried[MAX_TRIED_TARGETS - 1] = target;
        }
    }

    /// Adds a running attempt. The caller ensures that a slot is free.
    pub fn add_attempt(&mut self, attempt: AttemptId) {
        let free = self.attempts.iter().position(|other| *other == NO_ATTEMPT);
        self.attempts[free.unwrap_or(0)] = attempt;
    }

    /// Removes a running attempt. Returns whether it still counted.
    pub fn remove_attempt(&mut self, attempt: AttemptId) -> bool {
        let slot = self.attempts.iter_mut().find(|other| **other == attempt);
        slot.map(|slot| *slot = NO_ATTEMPT).is_some()
    }

    /// Returns the running attempts whose answers still count.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> + use<> {
        self.attempts.into_iter().filter(|attempt| *attempt != NO_ATTEMPT)
    }

    /// Returns the number of running attempts whose answers still count.
    pub fn running_len(&self) -> usize {
        self.running().count()
    }

    /// Returns whether the partition was answered or has failed.
    pub fn has_ended(&self) -> bool {
        matches!(self.status, PartitionStatus::Done | PartitionStatus::Failed(_))
    }
}

/// Progress of a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CanaryStage {
    /// No canary is needed, or the canary passed.
    NotNeeded,
    /// A single partition runs as the canary.
    Testing,
}

/// Type of a query.
#[derive(Clone, Debug)]
pub(super) enum QueryKind {
    /// Idempotent search.
    Search {
        /// How the service partitions its data.
        kind: ServiceKind,
        /// Shards that the search may span.
        scope: ShardScope,
        /// Snapshot of an earlier result page, which must be used again.
        pinned: Option<SnapshotVersion>,
        /// Whether the deadline or the coverage takes precedence.
        policy: CompletionPolicy,
        /// Coverage at which a `CoverageFirst` search may end instead of retrying further.
        floor: CoverageShare,
    },
    /// Non-idempotent request, which is sent at most once.
    Order,
}

/// Search or order in flight.
#[derive(Debug)]
pub(super) struct QueryState {
    /// Token of the caller's request.
    pub token: QueryToken,
    /// Type of the query.
    pub kind: QueryKind,
    /// Service that runs the query.
    pub service: ServiceIndex,
    /// Fingerprint of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Start time. Sub-requests may wait for capacity from then on.
    pub started_at: MonotonicTime,
    /// Time at which the query ends at the latest.
    pub end_at: MonotonicTime,
    /// Layout that the query keeps until it ends or restarts.
    pub layout: Arc<SnapshotLayout>,
    /// State of each partition, in the order of the layout.
    pub partitions: Vec<PartitionState>,
    /// Number of partitions that have not ended.
    pub open: u32,
    /// Coverage of the accepted answers.
    pub coverage: CoverageCounter,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// Number of attempts that targets reported as not executed.
    pub unexecuted: u32,
    /// Progress of the canary.
    pub canary: CanaryStage,
    /// Whether the other partitions are still to be started when the canary passes.
    pub is_launch_pending: bool,
    /// Whether a connection was lost mid-request without a domain loss to explain it. Then no
    /// further attempt is sent.
    pub crash_suspected: bool,
    /// Time at which a lost connection is classified as a crash or a domain loss.
    pub classify_at: Option<MonotonicTime>,
    /// Failure domains in which the query was answered or lost connections.
    pub outcomes: DomainOutcomes,
    /// Whether the search was already restarted on a newer snapshot.
    pub restarted: bool,
    /// Time of the pending timer; timers with another time are stale.
    pub timer_at: Option<MonotonicTime>,
}

impl QueryState {
    /// Returns whether the query is an order.
    pub fn is_order(&self) -> bool {
        matches!(self.kind, QueryKind::Order)
    }

    /// Returns whether a failed attempt may be followed by another one.
    pub fn may_retry(&self) -> bool {
        !self.is_order() && !self.crash_suspected && self.classify_at.is_none()
    }

    /// Returns whether a `CoverageFirst` search has not yet reached its coverage floor.
    pub fn needs_coverage(&self) -> bool {
        match &self.kind {
            QueryKind::Search { policy: CompletionPolicy::CoverageFirst, floor, .. } => {
                self.coverage.share(&self.layout.base) < *floor
            }
            _ => false,
        }
    }

    /// Returns the scope for choosing another layout; `None` for orders.
    pub fn scope(&self) -> Option<SearchScope<'_>> {
        match &self.kind {
            QueryKind::Search { kind, scope, pinned, .. } => {
                Some(SearchScope { kind: *kind, shards: scope, pinned: *pinned })
            }
            QueryKind::Order => None,
        }
    }

    /// Fails a partition, unless it has already ended.
    pub fn fail(&mut self, partition: u32, reason: ResponseReason) {
        let state = &mut self.partitions[partition as usize];
        if !state.has_ended() {
            state.status = PartitionStatus::Failed(reason);
            self.open -= 1;
        }
    }

    /// Returns the result of a search that ends now. `ended_by` is the reason for partitions that
    /// are still open.
    pub fn result(&self, ended_by: ResponseReason) -> SearchResult {
        let coverage = self.coverage.share(&self.layout.base);
        let started = self.partitions.iter().filter(|state| state.sent > 0).count();
        let parts = self.partitions.iter().filter(|state| state.status == PartitionStatus::Done);
        SearchResult {
            snapshot: self.layout.version,
            coverage,
            parts: parts.map(|state| state.accepted).collect(),
            attempts: self.attempts,
            extra_attempts: self.attempts.saturating_sub(started as u32),
            may_have_run: self.attempts > self.unexecuted,
            reason: (coverage != CoverageShare::FULL).then(|| self.reason(ended_by)),
        }
    }

    /// Returns the most important reason among the partitions without an answer.
    fn reason(&self, ended_by: ResponseReason) -> ResponseReason {
        let reasons = self.partitions.iter().filter_map(|state| match state.status {
            PartitionStatus::Done => None,
            PartitionStatus::Failed(reason) => Some(reason),
            _ => Some(ended_by),
        });
        let rank = |reason: &ResponseReason| match reason {
            ResponseReason::CutOff => 5,
            ResponseReason::TargetFailure => 4,
            ResponseReason::SnapshotGone => 3,
            ResponseReason::Overloaded => 2,
            ResponseReason::Deadline => 1,
            _ => 0,
        };
        reasons.max_by_key(rank).unwrap_or(ResponseReason::NoTarget)
    }
}
