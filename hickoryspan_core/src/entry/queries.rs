//! Searches and orders in flight.

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
    /// How long before its deadline a `DeadlineFirst` search ends, so that its response is on time.
    pub response_margin: Duration,
    /// The shortest time in which an attempt is assumed to finish.
    pub min_budget: Duration,
    /// Sub-requests of one service that may wait for capacity.
    pub max_waiting: usize,
}

impl Default for QuerySettings {
    fn default() -> Self {
        Self {
            response_margin: Duration::from_millis(2),
            min_budget: Duration::from_millis(1),
            max_waiting: 20_000,
        }
    }
}

/// Targets remembered per partition, so that a retry goes elsewhere.
const MAX_TRIED_TARGETS: usize = 4;

/// An attempt that does not exist.
pub(super) const NO_ATTEMPT: AttemptId = AttemptId(0);

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// The first of a partition, or the first after one that was not sent.
    First,
    /// After a failure.
    Retry,
    /// While another one is slow.
    Hedge,
    /// While the connection of another one is suspect; may use the same target.
    Move,
}

impl AttemptKind {
    /// Whether it draws on the budgets.
    pub fn is_extra(self) -> bool {
        self != Self::First
    }
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptState {
    /// Its query; the query may have ended.
    pub query: QueryKey,
    /// Its partition in the query's layout.
    pub partition: u32,
    /// Its target.
    pub target: TargetIndex,
    /// Its connection.
    pub connection: ConnectionId,
    /// When it was sent.
    pub started: MonotonicTime,
    /// The request, for crash evidence.
    pub fingerprint: RequestFingerprint,
    /// Whether its answer no longer counts; it still occupies its connection.
    pub abandoned: bool,
}

/// What a partition waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartitionStatus {
    /// It is not started, because the canary has not passed.
    Planned,
    /// It waits for capacity.
    Waiting(AttemptKind),
    /// An attempt runs.
    Running,
    /// It waits until a lost connection is classified.
    Suspended,
    /// It is tried again later.
    Backoff(MonotonicTime),
    /// It was answered.
    Done,
    /// It will not be answered.
    Failed(ResponseReason),
}

/// One partition of a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionState {
    /// What it waits for.
    pub status: PartitionStatus,
    /// Attempts whose answer still counts.
    pub attempts: [AttemptId; 2],
    /// The attempt whose answer was accepted.
    pub accepted: AttemptId,
    /// Targets that were tried, the latest ones.
    pub tried: [TargetIndex; MAX_TRIED_TARGETS],
    /// How many of `tried` are set.
    pub tried_len: u8,
    /// Attempts after the first one.
    pub retries: u8,
    /// Attempts that were not sent.
    pub not_sent: u8,
    /// Attempts of which a byte may have been sent.
    pub sent: u32,
    /// How often a hedge was considered.
    pub hedge_tries: u8,
    /// How often a move away from silent connections was tried.
    pub move_tries: u8,
    /// The wait that is valid now.
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
            move_tries: 0,
            sequence: 0,
        }
    }
}

impl PartitionState {
    /// Targets that were tried.
    pub fn tried(&self) -> &[TargetIndex] {
        &self.tried[..usize::from(self.tried_len)]
    }

    /// Remembers a tried target; the oldest one is forgotten.
    pub fn record_tried(&mut self, target: TargetIndex) {
        if usize::from(self.tried_len) < MAX_TRIED_TARGETS {
            self.tried[usize::from(self.tried_len)] = target;
            self.tried_len += 1;
        } else {
            self.tried.rotate_left(1);
            self.tried[MAX_TRIED_TARGETS - 1] = target;
        }
    }

    /// Adds a running attempt.
    pub fn add_attempt(&mut self, attempt: AttemptId) {
        let free = self.attempts.iter().position(|other| *other == NO_ATTEMPT);
        self.attempts[free.unwrap_or(0)] = attempt;
    }

    /// Removes an attempt; whether it counted.
    pub fn remove_attempt(&mut self, attempt: AttemptId) -> bool {
        let place = self.attempts.iter_mut().find(|other| **other == attempt);
        place.map(|place| *place = NO_ATTEMPT).is_some()
    }

    /// The running attempts.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> + use<> {
        self.attempts.into_iter().filter(|attempt| *attempt != NO_ATTEMPT)
    }

    /// The number of running attempts.
    pub fn running_len(&self) -> usize {
        self.running().count()
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.status, PartitionStatus::Done | PartitionStatus::Failed(_))
    }
}

/// The progress of a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CanaryStage {
    /// None is needed, or it passed.
    NotNeeded,
    /// One partition runs alone.
    Testing,
}

/// What a query is.
#[derive(Clone, Debug)]
pub(super) enum QueryKind {
    /// An idempotent search.
    Search {
        /// How the service divides its data.
        kind: ServiceKind,
        /// The shards it may span.
        scope: ShardScope,
        /// The snapshot of an earlier page.
        pinned: Option<SnapshotVersion>,
        /// What to do when the time is nearly over.
        policy: CompletionPolicy,
        /// The coverage at which it may end.
        floor: CoverageShare,
    },
    /// A non-idempotent request.
    Order,
}

/// A search or order in flight.
#[derive(Debug)]
pub(super) struct QueryState {
    /// The caller's request.
    pub token: QueryToken,
    /// What it is.
    pub kind: QueryKind,
    /// Its service.
    pub service: ServiceIndex,
    /// The request's content.
    pub fingerprint: RequestFingerprint,
    /// When it began; its sub-requests may wait for capacity from then on.
    pub started_at: MonotonicTime,
    /// When it ends at the latest.
    pub end_at: MonotonicTime,
    /// The pinned partitions.
    pub layout: Arc<SnapshotLayout>,
    /// The state of each partition of the layout.
    pub partitions: Vec<PartitionState>,
    /// Partitions that have not ended.
    pub open: u32,
    /// What was answered.
    pub coverage: CoverageCounter,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Attempts known to have run nothing.
    pub unexecuted: u32,
    /// The canary.
    pub canary: CanaryStage,
    /// Whether the other partitions start when the canary has passed.
    pub is_launch_pending: bool,
    /// Whether a connection was lost mid-request; then nothing is sent again.
    pub crash_suspected: bool,
    /// When a lost connection is classified as a crash or a domain loss.
    pub classify_at: Option<MonotonicTime>,
    /// Where it was answered.
    pub outcomes: DomainOutcomes,
    /// Whether it was restarted on a newer snapshot.
    pub restarted: bool,
    /// The timer that is valid now.
    pub timer_at: Option<MonotonicTime>,
}

impl QueryState {
    /// Whether it is an order.
    pub fn is_order(&self) -> bool {
        matches!(self.kind, QueryKind::Order)
    }

    /// Whether more attempts may follow a failure.
    pub fn may_retry(&self) -> bool {
        !self.is_order() && !self.crash_suspected && self.classify_at.is_none()
    }

    /// Whether it keeps trying because its coverage floor has not been reached.
    pub fn needs_coverage(&self) -> bool {
        match &self.kind {
            QueryKind::Search { policy: CompletionPolicy::CoverageFirst, floor, .. } => {
                self.coverage.share(&self.layout.base) < *floor
            }
            _ => false,
        }
    }

    /// What it may span on a newer snapshot.
    pub fn scope(&self) -> Option<SearchScope<'_>> {
        match &self.kind {
            QueryKind::Search { kind, scope, pinned, .. } => {
                Some(SearchScope { kind: *kind, shards: scope, pinned: *pinned })
            }
            QueryKind::Order => None,
        }
    }

    /// Ends a partition without an answer.
    pub fn fail(&mut self, partition: u32, reason: ResponseReason) {
        let state = &mut self.partitions[partition as usize];
        if !state.has_ended() {
            state.status = PartitionStatus::Failed(reason);
            self.open -= 1;
        }
    }

    /// The result of a search that ends now; `ended_by` explains partitions that are still open.
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

    /// The most telling reason among the partitions without an answer.
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
