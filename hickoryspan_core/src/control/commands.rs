//! Commands of the replicated log. Every time and choice is in the command, so that all replicas decide alike.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::interface::{AdminCommand, AdminOutcome};
use super::raft::ReplicaSet;
use crate::gateway::document::{ConfigurationDocument, DocumentOutcome};
use crate::membership::{CrashEvidence, TargetRecord};
use crate::messages::{ClaimKey, ClaimVerdict, EntryRegistration, OrderOutcome};
use crate::types::{
    EntryId, IncarnationNumber, OrdinalNumber, RequestFingerprint, TargetId, WallTime,
};

/// First payload byte of a [`LogCommand`].
const COMMAND_TAG: u8 = 1;
/// First payload byte of a [`ReplicaSet`].
const REPLICA_SET_TAG: u8 = 2;

/// One process of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryProcess {
    /// The entry.
    pub entry: EntryId,
    /// The start of its process.
    pub incarnation: IncarnationNumber,
}

/// One process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetProcess {
    /// The target.
    pub target: TargetId,
    /// The start of its process.
    pub incarnation: IncarnationNumber,
}

/// A command with the wall time that the leader stamped on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogCommand {
    /// When the leader proposed it.
    pub at: WallTime,
    /// What it does.
    pub body: CommandBody,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandBody {
    /// Targets joined or changed.
    Announce(Vec<TargetRecord>),
    /// A target left.
    Withdraw(TargetProcess),
    /// Leases of targets ended.
    ExpireTargets(Vec<TargetProcess>),
    /// An entry process asks for an ordinal.
    RegisterEntry {
        /// The process.
        registration: EntryRegistration,
        /// The number of ordinals; takes effect only while no entry process is registered.
        max_ordinals: u32,
    },
    /// An entry process reports whether it is stopping.
    MarkEntry {
        /// The process.
        process: EntryProcess,
        /// Whether it is stopping.
        draining: bool,
    },
    /// Entry processes gave up their ordinals, or their leases ended.
    ReleaseEntries(Vec<EntryProcess>),
    /// An entry process claims an order.
    Claim {
        /// The process.
        process: EntryProcess,
        /// The order.
        key: ClaimKey,
        /// Its content.
        fingerprint: RequestFingerprint,
        /// The number of claims from which new ones are refused.
        capacity: u64,
    },
    /// An entry process records the end of an order.
    Settle {
        /// The process.
        process: EntryProcess,
        /// The order.
        key: ClaimKey,
        /// Its end.
        outcome: OrderOutcome,
    },
    /// Drops the claims issued at this time or earlier.
    AdvanceHorizon(WallTime),
    /// A target crashed while it ran these requests.
    ReportCrash {
        /// The crash.
        evidence: CrashEvidence,
        /// The requests.
        fingerprints: Vec<RequestFingerprint>,
    },
    /// A suspect request ran without a crash.
    ClearSuspect(RequestFingerprint),
    /// Drops the quarantine records that ended before the command's time.
    ExpireQuarantines,
    /// An operator's command.
    Admin(AdminCommand),
    /// A configuration document is submitted.
    ReplaceDocument(Arc<ConfigurationDocument>),
}

/// The result of an applied command, for whoever waits for it.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// Nobody waits for a result.
    Done,
    /// The reason for each refused announcement, in the order of the records.
    Announced(Vec<Result<(), Arc<str>>>),
    /// The target is gone, or the reason why it stays.
    Withdrawn(Result<(), Arc<str>>),
    /// The ordinal, or the reason why there is none.
    Registered(Result<OrdinalNumber, Arc<str>>),
    /// The decision on a claim.
    Claimed(ClaimVerdict),
    /// Whether the order has a recorded end.
    Settled(bool),
    /// The decision on an operator's command.
    Decided(AdminOutcome),
    /// The decision on a configuration document.
    DocumentDecided(DocumentOutcome),
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq)]
pub enum LogPayload {
    /// Opens a term.
    Noop,
    /// A command.
    Command(Box<LogCommand>),
    /// The replica set from this entry on.
    Replicas(ReplicaSet),
}

/// A payload that does not decode.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("decode {what}: {cause}")]
pub struct DecodeError {
    what: &'static str,
    cause: Box<str>,
}

impl LogPayload {
    /// The payload of a log entry.
    pub fn to_bytes(&self) -> Arc<[u8]> {
        match self {
            Self::Noop => Arc::from([]),
            Self::Command(command) => encode_tagged(COMMAND_TAG, command),
            Self::Replicas(set) => encode_tagged(REPLICA_SET_TAG, set),
        }
    }

    /// Reads a log entry's payload; the error names the part that does not decode.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.split_first() {
            None => Ok(Self::Noop),
            Some((&COMMAND_TAG, rest)) => decode("log command", rest).map(Self::Command),
            Some((&REPLICA_SET_TAG, rest)) => decode("replica set", rest).map(Self::Replicas),
            Some((tag, _)) => {
                Err(DecodeError { what: "log payload", cause: format!("unknown tag {tag}").into() })
            }
        }
    }

    /// Reads only a replica set; commands are skipped without decoding them.
    pub fn replica_set(bytes: &[u8]) -> Result<Option<ReplicaSet>, DecodeError> {
        match bytes.split_first() {
            Some((&REPLICA_SET_TAG, rest)) => decode("replica set", rest).map(Some),
            _ => Ok(None),
        }
    }
}

/// Encodes a value as CBOR.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector fails only for values that have no CBOR form, and these types all have one.
    ciborium::into_writer(value, &mut bytes).expect("control types have a CBOR form");
    bytes
}

/// Decodes a CBOR value; the error names `what`.
pub fn decode<T: for<'de> Deserialize<'de>>(
    what: &'static str,
    bytes: &[u8],
) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes)
        .map_err(|cause| DecodeError { what, cause: cause.to_string().into() })
}

fn encode_tagged(tag: u8, value: &impl Serialize) -> Arc<[u8]> {
    let mut bytes = vec![tag];
    ciborium::into_writer(value, &mut bytes).expect("control types have a CBOR form");
    bytes.into()
}
