//! State of one target as known to this entry.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::membership::{PartitionRecord, TargetRecord};
use crate::types::{
    AttemptId, ConnectionCount, ConnectionId, MonotonicTime, ShardId, SnapshotVersion,
};

use super::arena::QueryKey;
use super::budgets::RetryBudget;
use super::concurrency::ConcurrencyLimit;
use super::connections::OpenPacer;
use super::crash_detection::ConnectionLoss;
use super::interface::LoadReport;
use super::outliers::TargetHealth;
use super::snapshots::ServiceIndex;

/// Index of a target inside the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TargetIndex(pub u32);

/// Index of a failure domain inside the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DomainIndex(pub u32);

/// Assumed one-way network delay of an answer until a round trip was measured.
const DEFAULT_ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Maximum assumed one-way network delay of an answer. Longer measurements are due to the target
/// and not to the network.
const MAX_ONE_WAY_DELAY: Duration = Duration::from_millis(5);

/// Sub-request or order that waits for capacity. The earliest deadline is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingRequest {
    /// Time at which the query ends.
    pub deadline: MonotonicTime,
    /// Sequence number that distinguishes this wait from earlier ones of the same partition.
    pub sequence: u64,
    /// Key of the query.
    pub query: QueryKey,
    /// Index of the partition in the query's layout.
    pub partition: u32,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Being opened.
    Opening,
    /// Open and without an attempt.
    Idle,
    /// Open and occupied by an attempt.
    Busy(AttemptId),
}

/// Connection to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetConnection {
    /// Target of the connection.
    pub target: TargetIndex,
    /// State of the connection.
    pub state: ConnectionState,
    /// Time at which the connection attempt started.
    pub opened_at: MonotonicTime,
    /// Time at which the connection was last seen to work: when it opened, or when an answer
    /// arrived on it.
    pub last_active_at: MonotonicTime,
}

impl TargetConnection {
    /// Returns the attempt on the connection, or `None` if it is not busy.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self.state {
            ConnectionState::Busy(attempt) => Some(attempt),
            _ => None,
        }
    }
}

/// Load that a target reported, without this entry's own requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    others: f64,
    at: MonotonicTime,
}

/// Partition that a target announced but then reported as not served.
#[derive(Clone, Debug)]
pub(super) struct DeniedPartition {
    /// Snapshot of the partition.
    pub snapshot: SnapshotVersion,
    /// Shard of the partition.
    pub shard: ShardId,
    /// Time from which the partition is requested from the target again.
    pub until: MonotonicTime,
}

/// State of one target.
#[derive(Debug)]
pub(super) struct TargetState {
    /// Record from the membership view.
    pub record: TargetRecord,
    /// Service of the target.
    pub service: ServiceIndex,
    /// Failure domain of the target.
    pub domain: DomainIndex,
    /// Whether the current view contains the target.
    pub present: bool,
    /// Whether an operator has drained the target's failure domain.
    pub domain_drained: bool,
    /// Time until which the target counts as leaving because it answered that it is draining. Zero
    /// if it did not.
    pub leaving_until: MonotonicTime,
    /// Partitions that the target announced but then reported as not served.
    pub denied: Vec<DeniedPartition>,
    /// Number of connections that this entry may hold to the target.
    pub share: ConnectionCount,
    /// Idle connections, the most recently used one last.
    pub idle: Vec<ConnectionId>,
    /// All connections to the target.
    pub connections: Vec<ConnectionId>,
    /// Number of connections that are being opened.
    pub opening: u32,
    /// Paces the connection attempts.
    pub pacer: OpenPacer,
    /// Number of attempts in flight, including cancelled ones, because they may still occupy slots.
    pub in_flight: u32,
    /// Concurrency limit of the attempts in flight.
    pub limit: ConcurrencyLimit,
    /// Load that the target reported last.
    pub load: ReportedLoad,
    /// Health of the target as observed by this entry.
    pub health: TargetHealth,
    /// Time from which the target's slow start is counted; `None` for targets known since the first
    /// view.
    pub cold_since: Option<MonotonicTime>,
    /// Budget for hedges and retries on the target.
    pub budget: RetryBudget,
    /// Queue of requests that wait for the target. It may contain stale entries.
    pub waiting: BinaryHeap<Reverse<WaitingRequest>>,
    /// Connections that were lost while requests were in flight.
    pub loss: Option<ConnectionLoss>,
    /// Time at which a connection was last closed by the target's side.
    pub disconnected_at: Option<MonotonicTime>,
    /// Estimated one-way network delay of an answer; `None` until measured.
    pub one_way_delay: Option<Duration>,
    /// Time of the pending timer; timers with another time are stale.
    pub timer_at: Option<MonotonicTime>,
}

impl TargetState {
    /// Returns whether the target may get new work, if it has capacity.
    pub fn accepts_work(&self) -> bool {
        self.is_active() && self.leaving_until == MonotonicTime::default() && self.share.0 > 0
    }

    /// Returns whether the view contains the target and shows it as not draining.
    pub fn is_active(&self) -> bool {
        self.present && !self.record.draining && !self.domain_drained
    }

    /// Returns whether one more attempt can be sent now.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        !self.idle.is_empty() && self.limit.allows(self.in_flight, now)
    }

    /// Returns the announced partitions, without denied ones.
    pub fn served_partitions(&self) -> impl Iterator<Item = &PartitionRecord> {
        self.record.partitions.iter().filter(|record| {
            !self
                .denied
                .iter()
                .any(|denied| denied.snapshot == record.snapshot && denied.shard == record.shard)
        })
    }

    /// Returns the load by other entry hosts. The weight of a report decreases to zero over
    /// `lifetime`, because it describes the past.
    pub fn aged_load(&self, now: MonotonicTime, lifetime: Duration) -> f64 {
        let age = now.since(self.load.at).as_secs_f64() / lifetime.as_secs_f64().max(1e-6);
        self.load.others * (1.0 - age).max(0.0)
    }

    /// Records a load report. This entry's own requests are subtracted, because they are counted
    /// separately.
    pub fn record_load(&mut self, now: MonotonicTime, report: LoadReport) {
        let reported = report.running.saturating_add(report.queued);
        let others = reported.saturating_sub(self.in_flight);
        self.load = ReportedLoad { others: f64::from(others), at: now };
    }

    /// Returns the estimated one-way network delay of an answer.
    pub fn one_way_delay(&self) -> Duration {
        self.one_way_delay.unwrap_or(DEFAULT_ONE_WAY_DELAY)
    }

    /// Records a round trip. Half of the shortest one is an upper bound of the one-way network
    /// delay of an answer.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        let half = (round_trip / 2).min(MAX_ONE_WAY_DELAY);
        self.one_way_delay = Some(self.one_way_delay.map_or(half, |known| known.min(half)));
    }

    /// Returns whether the target has left and no connection or loss record of it remains.
    pub fn is_releasable(&self) -> bool {
        !self.present && self.connections.is_empty() && self.loss.is_none()
    }
}
