//! Events and actions of the control machine.
//!
//! The driver performs all I/O. It passes each [`ControlEvent`] to the machine with a
//! [`crate::types::ClockReading`] and performs the resulting [`ControlAction`]s in order.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::documents::document::{ConfigurationDocument, DocumentOutcome};
use crate::gateway::targets::evacuations::{EvacuationOrder, EvacuationState};
use crate::membership::{EntryRecord, QuarantineRecord, TargetRecord};
use crate::messages::{ControlMessage, EntryMessage};
use crate::sheet::{SheetDocument, duration_millis};
use crate::types::{
    CommandId, EntryId, FailureDomain, IncarnationNumber, OperatorId, ParseValueError, ReplicaId,
    RequestFingerprint, RevisionNumber, SheetNumber, StateDigest, TargetId, TermNumber, WallTime,
};

/// Index of an entry in the replicated log. The first entry has index 1; index 0 precedes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for LogIndex {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseValueError::new("LogIndex", text, "a whole number"))
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogEntry {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: TermNumber,
    /// Encoded command or replica set; empty for a no-op, with which a leader starts its term.
    #[serde(with = "super::bytes")]
    pub payload: Arc<[u8]>,
}

/// Raft state that must be durable before a replica answers a vote request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: TermNumber,
    /// Candidate that received its vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// Snapshot of the replicated state, which replaces the log up to its index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotRecord {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: TermNumber,
    /// Encoded replicated state and replica set.
    #[serde(with = "super::bytes")]
    pub state: Arc<[u8]>,
}

/// Changes that the store makes durable with one call, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Snapshot that replaces the log up to its index.
    pub snapshot: Option<SnapshotRecord>,
    /// Index from which stored entries are removed.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append to the log.
    pub entries: Vec<LogEntry>,
    /// New hard state, or `None` if it is unchanged.
    pub hard_state: Option<HardState>,
}

/// State that the store found at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Last durable hard state.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// Log entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Storage of the log. `hickoryspan_store` implements it with files.
pub trait DurableLog: Send {
    /// Writes a batch and returns when all of it is synced. After [`PersistError::Broken`] the log must not be used
    /// again.
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), PersistError>;
}

/// Failure to write or sync a batch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PersistError {
    /// The disk is full. Nothing of the batch is durable, and earlier data is intact.
    #[error("{step}: {file}: no space left")]
    NoSpace {
        /// The step that failed.
        step: &'static str,
        /// The file's name inside the data folder.
        file: Arc<str>,
    },
    /// Any other failure. The state of the log is unknown, so the replica must stop.
    #[error("{step}: {file}: {cause}")]
    Broken {
        /// The step that failed.
        step: &'static str,
        /// The file's name inside the data folder.
        file: Arc<str>,
        /// Error message of the operating system.
        cause: Arc<str>,
    },
}

/// Identity, addresses and role of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaRecord {
    /// Identity of the replica, which is stored in its data folder.
    pub replica: ReplicaId,
    /// Address for other replicas and entries.
    pub peer_address: SocketAddr,
    /// Address for operators and targets.
    pub http_address: SocketAddr,
    /// Whether the replica is a voter; otherwise it is a learner, which receives the log but does not vote.
    pub voter: bool,
}

/// Identifies the link of an entry process. The driver never reuses an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies a request of an operator or target. The driver never reuses a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Sequence number of a batch that the machine passes to the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistSequence(pub u64);

/// Action of an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminAction {
    /// Replaces the configuration of both tenants.
    ApplySheet {
        /// The new sheet.
        sheet: Arc<SheetDocument>,
        /// Names whose removal by the sheet the operator confirms.
        confirmed_removals: Vec<Arc<str>>,
    },
    /// Drains a target: it gets no new work.
    DrainTarget(TargetId),
    /// Ends a target's drain.
    RestoreTarget(TargetId),
    /// Drains an entry: callers are directed to other entries.
    DrainEntry(EntryId),
    /// Ends an entry's drain.
    RestoreEntry(EntryId),
    /// Drains a failure domain: its targets get no new work.
    DrainDomain(FailureDomain),
    /// Ends a failure domain's drain.
    RestoreDomain(FailureDomain),
    /// Ends the quarantine of a request.
    LiftQuarantine(RequestFingerprint),
    /// Adds a replica as a learner, which becomes a voter when it has caught up.
    AddReplica(ReplicaRecord),
    /// Removes a replica from the replica set.
    RemoveReplica(ReplicaId),
}

/// A command of an operator. A resent command has the same operator and command id, and returns the first outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdminCommand {
    /// Operator who submits the command.
    pub operator: OperatorId,
    /// Id that the operator chose for the command.
    pub command: CommandId,
    /// Action to perform.
    pub action: AdminAction,
}

/// Recorded outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminOutcome {
    /// The command was applied.
    Accepted {
        /// Revision from which it is in effect.
        revision: RevisionNumber,
    },
    /// A different sheet with this number was accepted before.
    NumberTaken {
        /// Number of the sheet.
        number: SheetNumber,
        /// Operator who submitted the accepted sheet.
        by: OperatorId,
        /// Time at which that sheet was accepted.
        at: WallTime,
        /// Digest of the accepted sheet.
        digest: StateDigest,
    },
    /// The number is lower than that of the current sheet.
    NumberTooLow {
        /// Number of the current sheet.
        current: SheetNumber,
    },
    /// The sheet removes these names, and the operator has not confirmed all of them.
    RemovalsUnconfirmed(Vec<Arc<str>>),
    /// The operator has used this command id for a different action.
    CommandConflict,
    /// The target, entry, failure domain, fingerprint or replica does not exist, or the change is not allowed now. The
    /// text is the reason.
    Rejected(Arc<str>),
}

/// A read-only query of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminQuery {
    /// Returns the state of replicas, entries and revisions.
    Status,
    /// Returns the accepted sheet with this number, or the current one.
    Sheet(Option<SheetNumber>),
    /// Returns the audit records, newest first.
    History {
        /// Maximum number of records to return.
        limit: u32,
    },
    /// Returns the registered targets.
    Targets,
    /// Returns the quarantined requests.
    Quarantines,
    /// Returns the current configuration document.
    Document,
}

/// Audit record of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditRecord {
    /// Time at which the leader received the command.
    pub at: WallTime,
    /// Operator who submitted the command.
    pub operator: OperatorId,
    /// Id that the operator chose for the command.
    pub command: CommandId,
    /// Description of the action.
    pub summary: Arc<str>,
    /// Outcome of the command.
    pub outcome: AdminOutcome,
}

/// Status of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryStatus {
    /// Record of the entry process.
    pub record: EntryRecord,
    /// Revision that the process last reported to this leader, or `None` if it has not reported one.
    pub revision: Option<RevisionNumber>,
}

/// Status of the cluster, as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatusReport {
    /// Replica that created the report.
    pub replica: ReplicaId,
    /// Current term of that replica.
    pub term: TermNumber,
    /// Current leader, if that replica knows it.
    pub leader: Option<ReplicaId>,
    /// Commit index of that replica.
    pub commit: LogIndex,
    /// Revision of its membership view.
    pub revision: RevisionNumber,
    /// Digest of the view at that revision.
    pub digest: StateDigest,
    /// Number of the current sheet, or `None` if none has been accepted.
    pub sheet: Option<SheetNumber>,
    /// Revision at which the current sheet was accepted; 0 if there is none.
    pub sheet_revision: RevisionNumber,
    /// Records of all replicas.
    pub replicas: Vec<ReplicaRecord>,
    /// Status of all entry processes.
    pub entries: Vec<EntryStatus>,
    /// Number of registered targets.
    pub targets: u64,
    /// Number of claims.
    pub claims: u64,
    /// Time for which an entry that is missing from this report may still be serving, in milliseconds.
    #[serde(with = "duration_millis")]
    pub entry_lease: Duration,
    /// Failure domains to whose targets the gateway sends nothing, by order of an operator.
    #[serde(default)]
    pub evacuations: EvacuationState,
}

/// Quarantine of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineStatus {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Level, expiry time and evidence of the quarantine.
    pub record: QuarantineRecord,
}

/// Reply to a request of an operator or target.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// The target is registered.
    Announced {
        /// Time until the registration expires unless it is renewed.
        lease: Duration,
    },
    /// The announcement or withdrawal was rejected for this reason, for example because a newer incarnation is
    /// registered.
    AnnounceRefused(Arc<str>),
    /// The target is no longer registered.
    Withdrawn,
    /// Outcome of a command.
    Admin(AdminOutcome),
    /// Reply to `AdminQuery::Status`.
    Status(Box<StatusReport>),
    /// Reply to `AdminQuery::Sheet`; `None` if the sheet is not known.
    Sheet(Option<Arc<SheetDocument>>),
    /// Reply to `AdminQuery::History`.
    History(Vec<AuditRecord>),
    /// Reply to `AdminQuery::Targets`.
    Targets(Vec<TargetRecord>),
    /// Reply to `AdminQuery::Quarantines`.
    Quarantines(Vec<QuarantineStatus>),
    /// Reply to `AdminQuery::Document`; `None` if no document has been accepted.
    Document(Option<Arc<ConfigurationDocument>>),
    /// Outcome of submitting a configuration document.
    DocumentDecided(DocumentOutcome),
    /// The evacuated failure domains after an order.
    Evacuated(EvacuationState),
    /// This replica is not the leader; contains the record of the leader if it is known.
    NotLeader(Option<ReplicaRecord>),
    /// The replica is overloaded or not ready, or it lost leadership before a quorum answered. A command may or may
    /// not take effect.
    Unavailable {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
}

/// An event for the control machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The time that `ControlMachine::next_wakeup` returned has come.
    Tick,
    /// A message arrived from another replica.
    Replica(ReplicaId, super::raft::ReplicaMessage),
    /// All batches up to this sequence are durable.
    Persisted(PersistSequence),
    /// A batch could not be written.
    PersistFailed(PersistError),
    /// A message arrived over an entry's link.
    Entry(LinkId, EntryMessage),
    /// An entry's link closed.
    LinkClosed(LinkId),
    /// A target announces itself.
    Announce(ReplyToken, Box<TargetRecord>),
    /// A target withdraws its registration.
    Withdraw(ReplyToken, TargetId, IncarnationNumber),
    /// An operator submits a command.
    Admin(ReplyToken, Box<AdminCommand>),
    /// An operator submits a query.
    Query(ReplyToken, AdminQuery),
    /// A client submits a configuration document.
    ReplaceDocument(ReplyToken, Arc<ConfigurationDocument>),
    /// An operator orders to start or finish the evacuation of a failure domain.
    Evacuate(ReplyToken, EvacuationOrder),
    /// A control host reports itself.
    ReplicaSeen(Box<ReplicaRecord>),
    /// A planned stop begins; a leader hands over leadership.
    Drain,
}

/// An action that the driver performs for the control machine.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Writes a batch and reports `Persisted` or `PersistFailed`. Batches must be written in order.
    Persist(PersistSequence, PersistBatch),
    /// Sends a message to another replica; it may be lost.
    SendReplica {
        /// Receiver of the message.
        to: ReplicaId,
        /// Peer address of the receiver.
        address: SocketAddr,
        /// The message to send.
        message: super::raft::ReplicaMessage,
    },
    /// Sends a message over an entry's link.
    SendEntry(LinkId, ControlMessage),
    /// Closes an entry's link.
    CloseLink(LinkId),
    /// Replies to an operator or target.
    Reply(ReplyToken, ControlReply),
    /// The replica must stop, for this reason.
    Stop(Arc<str>),
    /// The planned stop is complete.
    Stopped,
}
