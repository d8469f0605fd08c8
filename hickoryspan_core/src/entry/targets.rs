//! What an entry knows about one target.

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

/// A target inside the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TargetIndex(pub u32);

/// A failure domain inside the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DomainIndex(pub u32);

/// The assumed return trip before a target was measured.
const DEFAULT_RETURN_TRIP: Duration = Duration::from_millis(1);

/// The longest assumed return trip; slower opens are due to the target and not to the network.
const MAX_RETURN_TRIP: Duration = Duration::from_millis(5);

/// A sub-request or order that waits for capacity; the earliest deadline is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingRequest {
    /// When its query ends.
    pub deadline: MonotonicTime,
    /// Distinguishes this wait from former ones of the same partition.
    pub sequence: u64,
    /// Its query.
    pub query: QueryKey,
    /// Its partition in the query's layout.
    pub partition: u32,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being opened.
    Opening,
    /// It is open and free.
    Idle,
    /// It carries an attempt.
    Busy(AttemptId),
}

/// A connection to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetConnection {
    /// The target.
    pub target: TargetIndex,
    /// What it does.
    pub state: ConnectionState,
    /// When its opening began.
    pub opened_at: MonotonicTime,
    /// When it last worked: it opened or carried an answer.
    pub last_active_at: MonotonicTime,
}

impl TargetConnection {
    /// The attempt on it, if any.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self.state {
            ConnectionState::Busy(attempt) => Some(attempt),
            _ => None,
        }
    }
}

/// The load that a target reported, without this entry's own requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    others: f64,
    at: MonotonicTime,
}

/// A partition that a target announced and then denied in an answer.
#[derive(Clone, Debug)]
pub(super) struct DeniedPartition {
    /// The partition's snapshot.
    pub snapshot: SnapshotVersion,
    /// The partition's shard.
    pub shard: ShardId,
    /// When the target is asked again.
    pub until: MonotonicTime,
}

/// What is known about one target.
#[derive(Debug)]
pub(super) struct TargetState {
    /// Its announced record.
    pub record: TargetRecord,
    /// Its service.
    pub service: ServiceIndex,
    /// Its failure domain.
    pub domain: DomainIndex,
    /// Whether the view names it.
    pub present: bool,
    /// Whether its failure domain is drained.
    pub domain_drained: bool,
    /// Until when its own answer that it drains counts.
    pub leaving_until: MonotonicTime,
    /// Partitions that it announced and then denied.
    pub denied: Vec<DeniedPartition>,
    /// The connections that this entry may hold.
    pub share: ConnectionCount,
    /// Idle connections; the last one answered most recently.
    pub idle: Vec<ConnectionId>,
    /// All connections.
    pub connections: Vec<ConnectionId>,
    /// Connections that are being opened.
    pub opening: u32,
    /// Limits the opens in time.
    pub pacer: OpenPacer,
    /// Attempts in flight, cancelled ones included, because they may still occupy slots.
    pub in_flight: u32,
    /// The limit of attempts in flight.
    pub limit: ConcurrencyLimit,
    /// The load that it reported.
    pub load: ReportedLoad,
    /// Its health as measured by this entry.
    pub health: TargetHealth,
    /// When this process was first seen; absent for targets known since the first view.
    pub cold_since: Option<MonotonicTime>,
    /// The budget of hedges and retries on it.
    pub budget: RetryBudget,
    /// Requests that wait for it.
    pub waiting: BinaryHeap<Reverse<WaitingRequest>>,
    /// Connections lost while requests were in flight.
    pub loss: Option<ConnectionLoss>,
    /// When it last ended a connection by itself.
    pub disconnected_at: Option<MonotonicTime>,
    /// The estimated time that an answer needs on the network.
    pub return_trip: Option<Duration>,
    /// The timer that is valid now.
    pub timer_at: Option<MonotonicTime>,
}

impl TargetState {
    /// Whether new work may be sent to it, apart from capacity.
    pub fn accepts_work(&self) -> bool {
        self.is_active() && self.leaving_until == MonotonicTime::default() && self.share.0 > 0
    }

    /// Whether it is a member that is not leaving.
    pub fn is_active(&self) -> bool {
        self.present && !self.record.draining && !self.domain_drained
    }

    /// Whether one more attempt can be sent now.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        !self.idle.is_empty() && self.limit.allows(self.in_flight, now)
    }

    /// The announced partitions, without denied ones.
    pub fn served_partitions(&self) -> impl Iterator<Item = &PartitionRecord> {
        self.record.partitions.iter().filter(|record| {
            !self
                .denied
                .iter()
                .any(|denied| denied.snapshot == record.snapshot && denied.shard == record.shard)
        })
    }

    /// The load of other entry hosts; a report loses its weight over `lifetime`, because it describes the past.
    pub fn aged_load(&self, now: MonotonicTime, lifetime: Duration) -> f64 {
        let age = now.since(self.load.at).as_secs_f64() / lifetime.as_secs_f64().max(1e-6);
        self.load.others * (1.0 - age).max(0.0)
    }

    /// Takes over a load report; this entry's own requests are counted separately.
    pub fn record_load(&mut self, now: MonotonicTime, report: LoadReport) {
        let reported = report.running.saturating_add(report.queued);
        let others = reported.saturating_sub(self.in_flight);
        self.load = ReportedLoad { others: f64::from(others), at: now };
    }

    /// The estimated time that an answer needs on the network.
    pub fn return_trip(&self) -> Duration {
        self.return_trip.unwrap_or(DEFAULT_RETURN_TRIP)
    }

    /// Half of the shortest round trip seen bounds the return trip from above.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        let half = (round_trip / 2).min(MAX_RETURN_TRIP);
        self.return_trip = Some(self.return_trip.map_or(half, |known| known.min(half)));
    }

    /// Whether the target is gone and nothing of it is left.
    pub fn is_releasable(&self) -> bool {
        !self.present && self.connections.is_empty() && self.loss.is_none()
    }
}
