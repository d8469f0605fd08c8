//! The driver interface of the entry machine.
//!
//! A driver sends one [`EntryEvent`] with a [`crate::types::ClockReading`] and performs the returned
//! [`EntryAction`]s in order. Bodies of requests and answers stay with the driver.

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

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Runs an idempotent search.
    Search {
        /// The snapshot that an earlier page used.
        pinned: Option<SnapshotVersion>,
    },
    /// Runs a non-idempotent request at most once.
    Order {
        /// The caller's name for it.
        request: RequestId,
        /// When the caller first issued it.
        issued_at: WallTime,
    },
    /// Asks what became of an order.
    Lookup {
        /// The caller's name for it.
        request: RequestId,
        /// When the caller first issued it.
        issued_at: WallTime,
    },
}

/// A decoded request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// The class; the search's lowest priority class applies if it is absent from the sheet.
    pub class: ClassId,
    /// The search or order to run; unused by lookups.
    pub search: SearchId,
    /// The kind of request.
    pub kind: RequestKind,
    /// Digest of tenant, service, search and body.
    pub fingerprint: RequestFingerprint,
    /// The caller's remaining time, if it states one.
    pub deadline: Option<Duration>,
}

/// Load that a target reports with its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct LoadReport {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// How a target answered an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// It searched the whole partition, or ran the order.
    Done,
    /// It ran nothing, because it sheds load.
    Shed,
    /// It ran nothing, because it is leaving.
    Draining,
    /// It ran nothing, because it does not hold the partition of this snapshot.
    SnapshotGone,
    /// It ran nothing, because the remaining time was too short.
    Late,
    /// It ran or began to run the request, and reports an error.
    Error,
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was written.
    NotSent,
    /// The connection ended after a byte was written.
    ConnectionLost,
    /// The answer broke the protocol or exceeded the size limit.
    Malformed,
}

/// What an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptWork {
    /// Searches one partition.
    Search {
        /// The partition's shard.
        shard: ShardId,
        /// The pinned snapshot.
        snapshot: SnapshotVersion,
    },
    /// Runs a non-idempotent request.
    Order,
}

/// An attempt to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Identifies the attempt in all later events.
    pub attempt: AttemptId,
    /// The caller request whose body is sent.
    pub token: QueryToken,
    /// The open connection to use.
    pub connection: ConnectionId,
    /// The target at its other end.
    pub target: TargetId,
    /// What to run.
    pub work: AttemptWork,
    /// The time the target may take, return trip already subtracted.
    pub budget: Duration,
}

/// Why a response is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseReason {
    /// The tenant, caller, search or class is not in the sheet, or the search has the wrong kind.
    UnknownName,
    /// No sheet is in force yet.
    NoConfiguration,
    /// The caller's limit is used up.
    LimitExceeded,
    /// The entry sheds load of this class.
    Overloaded,
    /// The request crashed targets.
    Quarantined,
    /// The entry cannot confirm its state with control.
    CutOff,
    /// The entry is stopping.
    Draining,
    /// No target can serve the search now.
    NoTarget,
    /// The deadline passed or is too short.
    Deadline,
    /// Targets failed or were lost.
    TargetFailure,
    /// The pinned snapshot is no longer served.
    SnapshotGone,
    /// The same request id was used with another content.
    Conflict,
    /// The record of the order may have been dropped.
    Expired,
    /// Control did not decide in time.
    ControlUnavailable,
    /// Another entry may be running the order.
    InProgress,
    /// No such order was claimed.
    NotFound,
    /// A field of the request cannot be accepted.
    Malformed,
}

/// The response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerResponse {
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// Why it is not complete.
    pub reason: Option<ResponseReason>,
    /// The one snapshot from which all parts come.
    pub snapshot: Option<SnapshotVersion>,
    /// The share of the search's documents that the parts cover.
    pub coverage: CoverageShare,
    /// The attempts whose bodies make up the answer, in key order.
    pub parts: Vec<AttemptId>,
    /// The body recorded for an order that ended before.
    pub recorded_body: Option<Arc<str>>,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Attempts beyond one for each partition.
    pub extra_attempts: u32,
    /// When a refused caller should try again.
    pub retry_after: Option<Duration>,
    /// Other addresses for a caller that is refused here.
    pub other_addresses: Vec<SocketAddr>,
    /// The configuration revision under which it was decided.
    pub revision: RevisionNumber,
}

/// The entry addresses that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses, best first, over several failure domains.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep them.
    pub lifetime: Duration,
}

/// An event for the entry machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// The wake-up time has come.
    Tick,
    /// A link to the control replica at this address opened.
    ControlOpened(SocketAddr),
    /// The link to control closed or could not be opened.
    ControlClosed,
    /// A message arrived from control.
    Control(ControlMessage),
    /// A caller's request arrived.
    Request(QueryToken, Box<CallerRequest>),
    /// The caller went away.
    CallerDisconnected(QueryToken),
    /// A caller asks which addresses to use.
    Addresses(QueryToken, CallerId),
    /// A connection to a target opened.
    ConnectionOpened(ConnectionId),
    /// A connection ended, or could not be opened; attempts on it are reported before.
    ConnectionClosed(ConnectionId),
    /// A target answered an attempt; its connection is free again.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        status: AnswerStatus,
        /// The load that came with the answer.
        load: Option<LoadReport>,
        /// The snapshot that the target says it searched.
        snapshot: Option<SnapshotVersion>,
        /// The answer's text, for orders whose outcome is recorded; absent for searches.
        body: Option<Arc<str>>,
    },
    /// An attempt ended without an answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        failure: AttemptFailure,
    },
    /// A planned stop begins.
    Drain,
}

/// An action for the driver of the entry machine.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Closes the link to control, if any, and opens one to this address.
    ConnectControl(SocketAddr),
    /// Sends a message over the link to control.
    SendControl(EntryMessage),
    /// Opens a connection to a target.
    OpenConnection {
        /// Names the connection in later events.
        connection: ConnectionId,
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
        /// When to give up opening.
        timeout: Duration,
    },
    /// Closes a connection; attempts on it are no longer reported.
    CloseConnection(ConnectionId),
    /// Sends an attempt.
    StartAttempt(AttemptRequest),
    /// Asks the target to stop working on an attempt, without closing its connection.
    CancelAttempt(AttemptId),
    /// Drops the body kept for an attempt; a later answer is reported but its body is not kept.
    DiscardAttempt(AttemptId),
    /// Answers a caller and drops everything kept for the request.
    Respond(QueryToken, Box<CallerResponse>),
    /// Answers an addresses request.
    RespondAddresses(QueryToken, AddressAnswer),
    /// Records one value for the metrics endpoint.
    RecordMetric(EntryMetric),
    /// The planned stop is complete; the process may end.
    Stopped,
}

/// A measurement for the metrics endpoint.
#[derive(Clone, Debug)]
pub enum EntryMetric {
    /// A request ended.
    Request {
        /// Its tenant.
        tenant: TenantId,
        /// Its class.
        class: ClassId,
        /// Its outcome.
        outcome: RequestOutcome,
        /// From arrival to response.
        latency: Duration,
        /// Its coverage.
        coverage: CoverageShare,
    },
    /// An attempt ended.
    Attempt {
        /// The service.
        service: ServiceKey,
        /// From sending to the answer.
        latency: Duration,
    },
    /// Hedges or retries were sent.
    ExtraAttempt {
        /// The service.
        service: ServiceKey,
    },
    /// A connection was retired because it had gone silent.
    SilentConnection {
        /// The target at its other end.
        target: TargetId,
    },
    /// The revision in force.
    Revision(RevisionNumber),
}

/// Who an entry process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// How it registers with control.
    pub registration: crate::messages::EntryRegistration,
    /// The control replicas' addresses from the settings.
    pub control_addresses: Vec<SocketAddr>,
}

impl EntryIdentity {
    /// The entry's name.
    pub fn entry(&self) -> &EntryId {
        &self.registration.entry
    }
}
