//! Messages between entry processes and control replicas, and the domain types they carry.
//!
//! The envelope and its encoding are in `hickoryspan_wire`; see `docs/design.md`, section 8.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::{CrashEvidence, MembershipView, ViewChange};
use crate::sheet::duration_millis;
use crate::types::{
    CallerId, CostRate, EntryId, FailureDomain, IncarnationNumber, OrdinalNumber, QueryToken,
    RequestFingerprint, RequestId, RevisionNumber, StateDigest, TargetId, TenantId, WallTime,
};

/// What became of a request, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer.
    Complete,
    /// A part of the answer, with its true coverage.
    Partial,
    /// Nothing ran on any target.
    NotRun,
    /// A target ran the request and reported an error, or no shard answered.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

/// Identifies an order for ever: resends carry the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimKey {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// The caller's name for the order.
    pub request: RequestId,
    /// When the caller first issued the order; compared with the claim horizon.
    pub issued_at: WallTime,
}

/// The recorded end of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OrderOutcome {
    /// What became of it.
    pub outcome: RequestOutcome,
    /// The target that ran it, if one was chosen.
    pub target: Option<TargetId>,
    /// The target's answer; answers longer than the configured limit are left out.
    pub body: Option<Arc<str>>,
}

/// The state of a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// An entry process may be running it.
    Open {
        /// The entry that claimed it.
        entry: EntryId,
        /// The entry's process.
        incarnation: IncarnationNumber,
    },
    /// It ended.
    Settled(OrderOutcome),
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The entry may run the order, once.
    Granted,
    /// The order was claimed before.
    Existing(ClaimState),
    /// The same key was claimed with another content.
    Conflict,
    /// The key is at or below the claim horizon: its record may have been dropped.
    Expired,
    /// The claim could not be decided, and was not granted.
    Unavailable,
}

/// The answer to a lookup of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LookupVerdict {
    /// The order's state.
    Found(ClaimState),
    /// No claim exists, and none was dropped: the order has not run so far.
    Absent,
    /// The key is at or below the claim horizon: its record may have been dropped.
    Expired,
    /// No quorum confirmed the read.
    Unavailable,
}

/// How an entry process introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRegistration {
    /// The entry's name.
    pub entry: EntryId,
    /// The start of its process.
    pub incarnation: IncarnationNumber,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
}

/// The cost rate that one caller asks of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerDemand {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// Cost units per second that arrived lately, granted or not.
    pub rate: CostRate,
}

/// A leased part of a caller's demand pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareGrant {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// Cost units per second granted on top of the base share.
    pub rate: CostRate,
}

/// A message from an entry process to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryMessage {
    /// Opens a session and asks for an ordinal; repeated with the same incarnation it keeps the ordinal.
    Hello {
        /// Who asks.
        registration: EntryRegistration,
        /// The revision it already holds in this process.
        revision: RevisionNumber,
    },
    /// Renews the ordinal's lease and reports the revision in force.
    Renew {
        /// Grows with each renewal of the process; the answer repeats it.
        sequence: u64,
        /// The revision in force.
        revision: RevisionNumber,
        /// The digest of that revision.
        digest: StateDigest,
        /// Whether the entry is stopping.
        draining: bool,
        /// Demand by caller since the last renewal; callers without demand are left out.
        demand: Vec<CallerDemand>,
    },
    /// Gives up the ordinal; the process uses no target connection any more.
    Release,
    /// Asks for the whole view, because a delta did not fit.
    Resync,
    /// Claims an order.
    Claim {
        /// Repeated by the answer.
        token: QueryToken,
        /// The order.
        key: ClaimKey,
        /// Its content.
        fingerprint: RequestFingerprint,
    },
    /// Records the end of an order that this process claimed.
    Settle {
        /// The order.
        key: ClaimKey,
        /// Its end.
        outcome: OrderOutcome,
    },
    /// Asks for the state of an order.
    Lookup {
        /// Repeated by the answer.
        token: QueryToken,
        /// The order.
        key: ClaimKey,
    },
    /// Reports a crash of a target and the requests it was running for this entry.
    ReportCrash {
        /// The target and its incarnation.
        evidence: CrashEvidence,
        /// The requests in flight on it.
        fingerprints: Vec<RequestFingerprint>,
    },
    /// Reports that a suspect request ran without a crash.
    ClearSuspect(RequestFingerprint),
}

/// A message from a control replica to an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage {
    /// The ordinal is committed, and the view is confirmed by a quorum.
    Welcome {
        /// The ordinal of this process.
        ordinal: OrdinalNumber,
        /// The number of ordinals, from which shares follow.
        max_ordinals: u32,
        /// How long nobody held the ordinal before this process; zero if that is not known.
        #[serde(with = "duration_millis", default)]
        idle: Duration,
        /// The view.
        view: Box<MembershipView>,
    },
    /// The whole view, for a process that keeps its ordinal.
    View(Box<MembershipView>),
    /// Changes from one revision to a later one.
    Delta {
        /// The revision to which the changes apply.
        from: RevisionNumber,
        /// The revision that results.
        to: RevisionNumber,
        /// The changes in order.
        changes: Vec<ViewChange>,
        /// The digest that results.
        digest: StateDigest,
    },
    /// Renews the ordinal's lease, counted from the send time of the renewal with this sequence.
    Renewed {
        /// The renewal that is answered.
        sequence: u64,
        /// The lease.
        #[serde(with = "duration_millis")]
        lease: Duration,
        /// The newest revision that the leader knows to be committed.
        committed: RevisionNumber,
        /// Leased parts of the demand pools; earlier grants end with their lease.
        shares: Vec<ShareGrant>,
        /// The lease of the grants, counted like the ordinal's lease.
        #[serde(with = "duration_millis")]
        share_lease: Duration,
    },
    /// Answers a claim.
    ClaimAnswer {
        /// The claim's token.
        token: QueryToken,
        /// The decision.
        verdict: ClaimVerdict,
    },
    /// The end of an order is recorded durably.
    Settled(ClaimKey),
    /// Answers a lookup.
    LookupAnswer {
        /// The lookup's token.
        token: QueryToken,
        /// The order's state.
        verdict: LookupVerdict,
        /// The content with which the order was claimed, if it was.
        #[serde(default)]
        fingerprint: Option<RequestFingerprint>,
    },
    /// This replica does not lead.
    NotLeader {
        /// The peer address of the leader, if known.
        leader: Option<SocketAddr>,
        /// How long this replica grants no vote, counted from the receipt of the entry's last message, in
        /// milliseconds; zero if it promises nothing. See `docs/design.md`, section 7.
        #[serde(with = "duration_millis")]
        pledge: Duration,
    },
    /// The ordinal's lease ended, or no ordinal is free.
    Refused(Arc<str>),
}
