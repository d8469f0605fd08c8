//! The driver interface of the control machine.
//!
//! A driver sends one [`ControlEvent`] with a [`crate::types::ClockReading`] and performs the returned
//! [`ControlAction`]s in order.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::document::{ConfigurationDocument, DocumentOutcome};
use crate::membership::{EntryRecord, QuarantineRecord, TargetRecord};
use crate::messages::{ControlMessage, EntryMessage};
use crate::sheet::{SheetDocument, duration_millis};
use crate::types::{
    CommandId, EntryId, FailureDomain, IncarnationNumber, OperatorId, ParseValueError, ReplicaId,
    RequestFingerprint, RevisionNumber, SheetNumber, StateDigest, TargetId, TermNumber, WallTime,
};

/// A position in the replicated log; the first entry has index 1.
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

/// One entry of the replicated log; the payload is an encoded command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogEntry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that created it.
    pub term: TermNumber,
    /// The encoded command; empty for the entry that opens a term.
    #[serde(with = "super::bytes")]
    pub payload: Arc<[u8]>,
}

/// What a replica must remember before it answers a vote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct HardState {
    /// The newest term it knows.
    pub term: TermNumber,
    /// The replica that got its vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The replicated state at one position, which replaces the log up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotRecord {
    /// The last entry that the state contains.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: TermNumber,
    /// The encoded state, with the replica set.
    #[serde(with = "super::bytes")]
    pub state: Arc<[u8]>,
}

/// Everything that one call of the store makes durable, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries from this index on are dropped.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// The new hard state.
    pub hard_state: Option<HardState>,
}

/// What the store found at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

/// Makes batches durable; `hickoryspan_store` implements it with files.
pub trait DurableLog: Send {
    /// Returns only after everything in the batch is synced. After an error the log must not be used again.
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), PersistError>;
}

/// A failed write or sync; it names the step and the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PersistError {
    /// The disk has no room; nothing of the batch counts as durable, and what was there is intact.
    #[error("{step}: {file}: no space left")]
    NoSpace {
        /// The step that failed.
        step: &'static str,
        /// The file's name inside the data folder.
        file: Arc<str>,
    },
    /// Any other failure; the replica must stop.
    #[error("{step}: {file}: {cause}")]
    Broken {
        /// The step that failed.
        step: &'static str,
        /// The file's name inside the data folder.
        file: Arc<str>,
        /// The cause as the system reports it.
        cause: Arc<str>,
    },
}

/// A control replica as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaRecord {
    /// The identity of its data folder.
    pub replica: ReplicaId,
    /// Where other replicas and entries connect.
    pub peer_address: SocketAddr,
    /// Where operators and targets connect.
    pub http_address: SocketAddr,
    /// Whether it votes; a learner only follows.
    pub voter: bool,
}

/// Names a link from an entry process; the driver never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Names a request of an operator or target; the driver never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Orders the batches that the machine hands to the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistSequence(pub u64);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminAction {
    /// Replaces the configuration of both tenants.
    ApplySheet {
        /// The sheet.
        sheet: Arc<SheetDocument>,
        /// Names that the sheet no longer has and whose removal the operator confirms.
        confirmed_removals: Vec<Arc<str>>,
    },
    /// Stops new work for a target.
    DrainTarget(TargetId),
    /// Ends a target's drain.
    RestoreTarget(TargetId),
    /// Asks an entry to stop taking callers.
    DrainEntry(EntryId),
    /// Ends an entry's drain.
    RestoreEntry(EntryId),
    /// Stops new work for all targets of a failure domain.
    DrainDomain(FailureDomain),
    /// Ends a failure domain's drain.
    RestoreDomain(FailureDomain),
    /// Frees a quarantined request.
    LiftQuarantine(RequestFingerprint),
    /// Adds a replica as a learner; it is promoted when it has caught up.
    AddReplica(ReplicaRecord),
    /// Removes a replica.
    RemoveReplica(ReplicaId),
}

/// An operator's command; a resend carries the same operator and command id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdminCommand {
    /// Who asks.
    pub operator: OperatorId,
    /// The operator's name for the command.
    pub command: CommandId,
    /// What is asked.
    pub action: AdminAction,
}

/// The recorded decision on a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminOutcome {
    /// Applied.
    Accepted {
        /// The revision from which it holds.
        revision: RevisionNumber,
    },
    /// Another sheet with this number was accepted before.
    NumberTaken {
        /// The number.
        number: SheetNumber,
        /// Who submitted the accepted sheet.
        by: OperatorId,
        /// When it was accepted.
        at: WallTime,
        /// The accepted sheet's digest.
        digest: StateDigest,
    },
    /// The number is lower than that of the sheet in force.
    NumberTooLow {
        /// The number in force.
        current: SheetNumber,
    },
    /// The sheet removes names that the operator has not confirmed.
    RemovalsUnconfirmed(Vec<Arc<str>>),
    /// The command id was used before for another command.
    CommandConflict,
    /// The named target, entry, domain, fingerprint or replica does not exist, or the change is not allowed now.
    Rejected(Arc<str>),
}

/// A question of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminQuery {
    /// The state of replicas, entries and revisions.
    Status,
    /// The sheet in force, or the accepted sheet with this number.
    Sheet(Option<SheetNumber>),
    /// The accepted sheets and the audit records, newest first.
    History {
        /// The most records to return.
        limit: u32,
    },
    /// The targets.
    Targets,
    /// The quarantined requests.
    Quarantines,
    /// The configuration document in force.
    Document,
}

/// One audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditRecord {
    /// When the leader received the command.
    pub at: WallTime,
    /// Who asked.
    pub operator: OperatorId,
    /// The operator's name for the command.
    pub command: CommandId,
    /// What was asked, in words.
    pub summary: Arc<str>,
    /// The decision.
    pub outcome: AdminOutcome,
}

/// An entry process and the revision it reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryStatus {
    /// The entry.
    pub record: EntryRecord,
    /// The revision in force there, as last reported to this leader.
    pub revision: Option<RevisionNumber>,
}

/// The system's state as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatusReport {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// Its term.
    pub term: TermNumber,
    /// The leader it knows.
    pub leader: Option<ReplicaId>,
    /// Its committed position.
    pub commit: LogIndex,
    /// Its newest revision.
    pub revision: RevisionNumber,
    /// The digest of the view at that revision.
    pub digest: StateDigest,
    /// The number of the sheet in force.
    pub sheet: Option<SheetNumber>,
    /// The revision at which that sheet was accepted.
    pub sheet_revision: RevisionNumber,
    /// The replicas.
    pub replicas: Vec<ReplicaRecord>,
    /// The entries.
    pub entries: Vec<EntryStatus>,
    /// The number of targets.
    pub targets: u64,
    /// The number of claims held.
    pub claims: u64,
    /// How long a caller of this status may treat a missing entry as possibly serving, in milliseconds.
    #[serde(with = "duration_millis")]
    pub entry_lease: Duration,
}

/// A quarantined request, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineStatus {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its record.
    pub record: QuarantineRecord,
}

/// The answer to an operator or target.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// The announcement holds for this lease.
    Announced {
        /// The lease.
        lease: Duration,
    },
    /// The announcement is older than the registered incarnation, or malformed.
    AnnounceRefused(Arc<str>),
    /// The target is withdrawn.
    Withdrawn,
    /// The decision on a command.
    Admin(AdminOutcome),
    /// The state.
    Status(Box<StatusReport>),
    /// A sheet.
    Sheet(Option<Arc<SheetDocument>>),
    /// Audit records.
    History(Vec<AuditRecord>),
    /// Targets.
    Targets(Vec<TargetRecord>),
    /// Quarantined requests.
    Quarantines(Vec<QuarantineStatus>),
    /// The configuration document in force.
    Document(Option<Arc<ConfigurationDocument>>),
    /// The decision on a configuration document.
    DocumentDecided(DocumentOutcome),
    /// This replica does not lead.
    NotLeader(Option<ReplicaRecord>),
    /// No quorum answered, or too much is waiting; the command may or may not take effect.
    Unavailable {
        /// When to try again.
        retry_after: Duration,
    },
}

/// An event for the control machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The wake-up time has come.
    Tick,
    /// A message arrived from another replica.
    Replica(ReplicaId, super::raft::ReplicaMessage),
    /// All batches up to this sequence are durable.
    Persisted(PersistSequence),
    /// A batch could not be made durable.
    PersistFailed(PersistError),
    /// A message arrived over an entry's link.
    Entry(LinkId, EntryMessage),
    /// An entry's link closed.
    LinkClosed(LinkId),
    /// A target announces itself.
    Announce(ReplyToken, Box<TargetRecord>),
    /// A target leaves.
    Withdraw(ReplyToken, TargetId, IncarnationNumber),
    /// An operator's command.
    Admin(ReplyToken, Box<AdminCommand>),
    /// An operator's question.
    Query(ReplyToken, AdminQuery),
    /// A configuration document is submitted.
    ReplaceDocument(ReplyToken, Arc<ConfigurationDocument>),
    /// A control host reports itself.
    ReplicaSeen(Box<ReplicaRecord>),
    /// A planned stop: leadership is handed over.
    Drain,
}

/// An action for the driver of the control machine.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Makes a batch durable and reports `Persisted` or `PersistFailed`; batches are persisted in order.
    Persist(PersistSequence, PersistBatch),
    /// Sends a message to another replica; it may be lost.
    SendReplica {
        /// The receiver.
        to: ReplicaId,
        /// Its peer address.
        address: SocketAddr,
        /// The message.
        message: super::raft::ReplicaMessage,
    },
    /// Sends a message over an entry's link.
    SendEntry(LinkId, ControlMessage),
    /// Closes an entry's link.
    CloseLink(LinkId),
    /// Answers an operator or target.
    Reply(ReplyToken, ControlReply),
    /// The replica must stop, for this reason.
    Stop(Arc<str>),
    /// The planned stop is complete.
    Stopped,
}
