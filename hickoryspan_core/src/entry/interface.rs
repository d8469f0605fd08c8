//! The interface between the entry machine and its driver.
//!
//! The driver passes one [`EntryEvent`] with a [`crate::types::ClockReading`] and performs the returned
//! [`EntryAction`]s in order. The driver keeps the bodies of requests and answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::ServiceKey;
use crate::messages::{ControlMessage, EntryMessage, RequestOutcome};
use crate::types::{
    AttemptId, CallerId, ClassId, ConnectionId, CoverageShare, EntryId, QueryToken,
    RequestFingerprint, RequestId, RevisionNumber, SearchId, ShardId, SnapshotVersion, TargetId,
    TenantId, WallTime,
};

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Run an idempotent search.
    Search {
        /// Snapshot of the previous page, if the request continues a paged search.
        pinned: Option<SnapshotVersion>,
    },
    /// Run a non-idempotent request at most once.
    Order {
        /// Idempotency key that the caller chose.
        request: RequestId,
        /// Time at which the caller first issued the order; resends repeat it.
        issued_at: WallTime,
    },
    /// Query the recorded outcome of an order.
    Lookup {
        /// Idempotency key of the order.
        request: RequestId,
        /// Time at which the caller first issued the order.
        issued_at: WallTime,
    },
}

/// A caller's request after decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Client account that sent the request.
    pub caller: CallerId,
    /// Request class. If the sheet lacks it, the tenant's class with the lowest priority applies.
    pub class: ClassId,
    /// Name of the search or order in the sheet; unused by lookups.
    pub search: SearchId,
    /// Operation to perform.
    pub kind: RequestKind,
    /// Digest over tenant, service, search and body.
    pub fingerprint: RequestFingerprint,
    /// Time that the caller still waits for the response; `None` if the request states none.
    pub deadline: Option<Duration>,
}

/// Load figures that a target sends with its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct LoadReport {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that wait for a free slot.
    pub queued: u32,
}

/// Status of a target's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The target searched the whole partition, or ran the order.
    Done,
    /// The target ran nothing because it is shedding load.
    Shed,
    /// The target ran nothing because it is draining.
    Draining,
    /// The target ran nothing because it does not have the partition in the pinned snapshot.
    SnapshotGone,
    /// The target ran nothing because too little time was left before the deadline.
    Late,
    /// The target started the request and reported an error.
    Error,
}

/// Reason why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was written.
    NotSent,
    /// The connection closed after at least one byte was written, so the target may have run the request.
    ConnectionLost,
    /// The answer violated the protocol or exceeded the size limit.
    Malformed,
}

/// Work that an attempt asks a target to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptWork {
    /// Search one partition.
    Search {
        /// Shard that the partition belongs to.
        shard: ShardId,
        /// Snapshot to search.
        snapshot: SnapshotVersion,
    },
    /// Run a non-idempotent request.
    Order,
}

/// An attempt for the driver to send to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Identifies the attempt in all later events.
    pub attempt: AttemptId,
    /// Caller request whose body is sent.
    pub token: QueryToken,
    /// Open connection to send on.
    pub connection: ConnectionId,
    /// Target at the other end of the connection.
    pub target: TargetId,
    /// Work for the target.
    pub work: AttemptWork,
    /// Time that the target may spend; the time for the way back is already subtracted.
    pub budget: Duration,
}

/// Reason why a response is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseReason {
    /// The tenant, caller, search or class is not in the sheet, or the search has the wrong kind.
    UnknownName,
    /// This entry has not received a sheet yet.
    NoConfiguration,
    /// The caller exceeded its rate limit.
    LimitExceeded,
    /// The entry is overloaded and rejected the request.
    Overloaded,
    /// The request is quarantined because requests with its fingerprint crashed targets.
    Quarantined,
    /// The entry cannot reach control, so it may not run the request.
    CutOff,
    /// The entry is shutting down.
    Draining,
    /// No target is available for the request.
    NoTarget,
    /// The deadline passed, or was too short to start the request.
    Deadline,
    /// Targets failed, or connections to them were lost.
    TargetFailure,
    /// The pinned snapshot is no longer served.
    SnapshotGone,
    /// The request id was already used for a request with a different fingerprint.
    Conflict,
    /// The order is too old: control may already have dropped its record.
    Expired,
    /// Control did not answer in time.
    ControlUnavailable,
    /// The order has been claimed and may be running, possibly at another entry.
    InProgress,
    /// Control has no record of the order.
    NotFound,
    /// A field of the request is invalid.
    Malformed,
}

/// Response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerResponse {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Reason why the outcome is not complete; `None` if it is.
    pub reason: Option<ResponseReason>,
    /// Snapshot that all parts were read from.
    pub snapshot: Option<SnapshotVersion>,
    /// Share of the search's documents that the parts cover.
    pub coverage: CoverageShare,
    /// Attempts whose bodies make up the response, in key order.
    pub parts: Vec<AttemptId>,
    /// Body recorded for an order that had already ended.
    pub recorded_body: Option<Arc<str>>,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Number of attempts beyond the first one for each partition: hedges and retries.
    pub extra_attempts: u32,
    /// Delay after which a refused caller should retry.
    pub retry_after: Option<Duration>,
    /// Addresses of other entries for a caller that is refused here.
    pub other_addresses: Vec<SocketAddr>,
    /// Configuration revision that was in force for the decision.
    pub revision: RevisionNumber,
}

/// Entry addresses for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses in order of preference, spread over several failure domains.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the addresses.
    pub lifetime: Duration,
}

/// Input of the entry machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// The time returned by `next_wakeup` has come.
    Tick,
    /// The connection to the control replica at this address was opened.
    ControlOpened(SocketAddr),
    /// The connection to control closed or could not be opened.
    ControlClosed,
    /// Control sent a message.
    Control(ControlMessage),
    /// A caller's request arrived.
    Request(QueryToken, Box<CallerRequest>),
    /// The caller closed its connection before the response.
    CallerDisconnected(QueryToken),
    /// A caller asked for entry addresses.
    Addresses(QueryToken, CallerId),
    /// The connection to a target was opened.
    ConnectionOpened(ConnectionId),
    /// A connection to a target closed or could not be opened. The driver reports its attempts as failed first.
    ConnectionClosed(ConnectionId),
    /// A target answered an attempt. The connection is free for another one.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// Status of the answer.
        status: AnswerStatus,
        /// Load that the target reported with the answer.
        load: Option<LoadReport>,
        /// Snapshot that the target states it searched.
        snapshot: Option<SnapshotVersion>,
        /// Body of an order's answer, which is recorded with its outcome; `None` for searches.
        body: Option<Arc<str>>,
    },
    /// An attempt ended without an answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for the failure.
        failure: AttemptFailure,
    },
    /// A graceful shutdown was requested.
    Drain,
}

/// Output of the entry machine, to be performed by its driver.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Close the connection to control, if any, and connect to this address.
    ConnectControl(SocketAddr),
    /// Send a message to control.
    SendControl(EntryMessage),
    /// Open a connection to a target.
    OpenConnection {
        /// Identifies the connection in later events.
        connection: ConnectionId,
        /// Target to connect to.
        target: TargetId,
        /// Address of the target.
        address: SocketAddr,
        /// Connect timeout.
        timeout: Duration,
    },
    /// Close a connection to a target. No events of its attempts may follow.
    CloseConnection(ConnectionId),
    /// Send an attempt to a target.
    StartAttempt(AttemptRequest),
    /// Ask the target to stop working on an attempt, but keep the connection open.
    CancelAttempt(AttemptId),
    /// Drop the stored body of an attempt. An answer that arrives later is reported, but its body is dropped.
    DiscardAttempt(AttemptId),
    /// Answer a caller and drop all state of the request.
    Respond(QueryToken, Box<CallerResponse>),
    /// Answer a request for entry addresses.
    RespondAddresses(QueryToken, AddressAnswer),
    /// Record a value for the metrics endpoint.
    RecordMetric(EntryMetric),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}

/// A value for the metrics endpoint.
#[derive(Clone, Debug)]
pub enum EntryMetric {
    /// A request was answered.
    Request {
        /// Tenant of the caller.
        tenant: TenantId,
        /// Class that applied to the request.
        class: ClassId,
        /// Outcome of the request.
        outcome: RequestOutcome,
        /// Time from arrival to response.
        latency: Duration,
        /// Share of the documents that the response covers.
        coverage: CoverageShare,
    },
    /// A target answered an attempt.
    Attempt {
        /// Service of the target.
        service: ServiceKey,
        /// Time from sending the attempt to its answer.
        latency: Duration,
    },
    /// A hedge or retry was sent.
    ExtraAttempt {
        /// Service of the target.
        service: ServiceKey,
    },
    /// A connection was closed because its target stopped answering on it.
    SilentConnection {
        /// Target at the other end of the connection.
        target: TargetId,
    },
    /// A new configuration revision came into force.
    Revision(RevisionNumber),
}

/// Identity of an entry process and the control replicas that it connects to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Registration that is sent to control.
    pub registration: crate::messages::EntryRegistration,
    /// Addresses of the control replicas, from the settings.
    pub control_addresses: Vec<SocketAddr>,
}

impl EntryIdentity {
    /// Returns the identifier of the entry.
    pub fn entry(&self) -> &EntryId {
        &self.registration.entry
    }
}
