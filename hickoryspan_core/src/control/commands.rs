//! Commands of the replicated log. A command contains every time and setting that its application depends on, so
//! that all replicas compute the same state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::interface::{AdminCommand, AdminOutcome};
use super::raft::ReplicaSet;
use crate::gateway::documents::document::{ConfigurationDocument, DocumentOutcome};
use crate::gateway::targets::evacuations::{EvacuationOrder, EvacuationState};
use crate::membership::{CrashEvidence, TargetRecord};
use crate::messages::{ClaimKey, ClaimVerdict, EntryRegistration, OrderOutcome};
use crate::types::{
    EntryId, IncarnationNumber, OrdinalNumber, RequestFingerprint, TargetId, WallTime,
};

/// First byte of a payload that contains a [`LogCommand`].
const COMMAND_TAG: u8 = 1;
/// First byte of a payload that contains a [`ReplicaSet`].
const REPLICA_SET_TAG: u8 = 2;

/// A process of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryProcess {
    /// Identity of the entry, which survives restarts.
    pub entry: EntryId,
    /// Incarnation of the process; a later process has a higher one.
    pub incarnation: IncarnationNumber,
}

/// A process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetProcess {
    /// Identity of the target, which survives restarts.
    pub target: TargetId,
    /// Incarnation of the process; a later process has a higher one.
    pub incarnation: IncarnationNumber,
}

/// A command with the time of its proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogCommand {
    /// Wall clock time at which the leader proposed the command.
    pub at: WallTime,
    /// The command itself.
    pub body: CommandBody,
}

/// Body of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandBody {
    /// Registers targets or updates their records.
    Announce(Vec<TargetRecord>),
    /// Removes a target at its own request.
    Withdraw(TargetProcess),
    /// Removes targets whose leases have expired.
    ExpireTargets(Vec<TargetProcess>),
    /// Registers an entry process and assigns an ordinal to it.
    RegisterEntry {
        /// Registration data of the process.
        registration: EntryRegistration,
        /// Number of ordinals. A change takes effect only while no entry process is registered.
        max_ordinals: u32,
    },
    /// Records whether an entry process is draining.
    MarkEntry {
        /// The reporting process.
        process: EntryProcess,
        /// Whether the process is draining.
        draining: bool,
    },
    /// Frees the ordinals of entry processes that released them or whose leases have expired.
    ReleaseEntries(Vec<EntryProcess>),
    /// Claims the exclusive right to run an order.
    Claim {
        /// The claiming process.
        process: EntryProcess,
        /// Key of the order.
        key: ClaimKey,
        /// Digest of the order's content; a later claim with another content is a conflict.
        fingerprint: RequestFingerprint,
        /// Maximum number of claims; new claims beyond it are rejected.
        capacity: u64,
    },
    /// Records the outcome of an order.
    Settle {
        /// The process that holds the claim.
        process: EntryProcess,
        /// Key of the order.
        key: ClaimKey,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// Drops the claims that were issued at or before this time.
    AdvanceHorizon(WallTime),
    /// Reports a crash of a target and the requests that were running on it.
    ReportCrash {
        /// The target process that crashed.
        evidence: CrashEvidence,
        /// Fingerprints of the requests that were running.
        fingerprints: Vec<RequestFingerprint>,
    },
    /// Ends the quarantine of a suspect request that has run without a crash.
    ClearSuspect(RequestFingerprint),
    /// Drops the quarantine records that have expired at the command's time.
    ExpireQuarantines,
    /// Runs an operator's command.
    Admin(AdminCommand),
    /// Submits a configuration document.
    ReplaceDocument(Arc<ConfigurationDocument>),
    /// Starts or finishes the evacuation of a failure domain.
    Evacuate(EvacuationOrder),
}

/// Result of an applied command, for the client that waits for it.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The command has no result.
    Done,
    /// Result of each announcement, in the order of the records; the error is the reason for a rejection.
    Announced(Vec<Result<(), Arc<str>>>),
    /// The target is removed, or the reason why it remains registered.
    Withdrawn(Result<(), Arc<str>>),
    /// The assigned ordinal, or the reason for the rejection.
    Registered(Result<OrdinalNumber, Arc<str>>),
    /// Verdict on a claim.
    Claimed(ClaimVerdict),
    /// Whether an outcome of the order is recorded.
    Settled(bool),
    /// Outcome of an operator's command.
    Decided(AdminOutcome),
    /// Outcome of submitting a configuration document.
    DocumentDecided(DocumentOutcome),
    /// The evacuated failure domains after an order.
    Evacuated(EvacuationState),
}

/// Decoded payload of a log entry.
#[derive(Clone, Debug, PartialEq)]
pub enum LogPayload {
    /// No-op with which a leader starts its term.
    Noop,
    /// A command.
    Command(Box<LogCommand>),
    /// Replica set that is in effect from this entry on.
    Replicas(ReplicaSet),
}

/// Error in decoding a payload or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("decode {what}: {cause}")]
pub struct DecodeError {
    what: &'static str,
    cause: Box<str>,
}

impl LogPayload {
    /// Encodes the payload for a log entry.
    pub fn to_bytes(&self) -> Arc<[u8]> {
        match self {
            Self::Noop => Arc::from([]),
            Self::Command(command) => encode_tagged(COMMAND_TAG, command),
            Self::Replicas(set) => encode_tagged(REPLICA_SET_TAG, set),
        }
    }

    /// Decodes the payload of a log entry.
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

    /// Decodes the replica set in a payload. Returns `None` for other payloads, without decoding them.
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
    // Writing to a vector fails only for values that CBOR cannot represent, and these types have none.
    ciborium::into_writer(value, &mut bytes).expect("control types have a CBOR form");
    bytes
}

/// Decodes a CBOR value. `what` names the value in the error.
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
