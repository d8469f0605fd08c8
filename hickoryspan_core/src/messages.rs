//! Messages between entry processes and control replicas, and the domain types that they carry.
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

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The answer is complete.
    Complete,
    /// The answer is partial; its actual coverage is reported.
    Partial,
    /// The request did not run on any target.
    NotRun,
    /// A target ran the request and reported an error, or no shard answered.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

/// Identifies an order permanently. Resends carry the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimKey {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Caller that issued the order.
    pub caller: CallerId,
    /// The caller's identifier of the order.
    pub request: RequestId,
    /// Time at which the caller first issued the order. It is compared with the claim horizon.
    pub issued_at: WallTime,
}

/// The recorded outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OrderOutcome {
    /// Outcome that is reported to the caller.
    pub outcome: RequestOutcome,
    /// The target that ran it, if one was chosen.
    pub target: Option<TargetId>,
    /// The target's answer. Answers longer than the configured limit are left out.
    pub body: Option<Arc<str>>,
}

/// The state of a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The order may be running at an entry process.
    Open {
        /// The entry that claimed it.
        entry: EntryId,
        /// Incarnation of the entry's process.
        incarnation: IncarnationNumber,
    },
    /// The order has ended.
    Settled(OrderOutcome),
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The entry may run the order once.
    Granted,
    /// The order was claimed before and has this state.
    Existing(ClaimState),
    /// The key was claimed before with different content.
    Conflict,
    /// The key is at or below the claim horizon, so its record may have been discarded.
    Expired,
    /// The claim could not be decided and was not granted.
    Unavailable,
}

/// The result of looking up an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LookupVerdict {
    /// The order was claimed and has this state.
    Found(ClaimState),
    /// No claim exists and none was discarded, so the order has not run so far.
    Absent,
    /// The key is at or below the claim horizon, so its record may have been discarded.
    Expired,
    /// The read was not confirmed by a quorum.
    Unavailable,
}

/// Identifies an entry process to the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRegistration {
    /// Name of the entry.
    pub entry: EntryId,
    /// Incarnation of its process.
    pub incarnation: IncarnationNumber,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomain,
}

/// The cost rate that one caller requests from one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerDemand {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// Caller whose demand is reported.
    pub caller: CallerId,
    /// Cost units per second that arrived recently, whether granted or not.
    pub rate: CostRate,
}

/// A leased share of a caller's demand pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareGrant {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// Caller to which the share is granted.
    pub caller: CallerId,
    /// Cost units per second that are granted in addition to the base share.
    pub rate: CostRate,
}

/// A message from an entry process to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryMessage {
    /// Opens a session and requests an ordinal. A repeated message of the same incarnation keeps
    /// the ordinal.
    Hello {
        /// The entry process.
        registration: EntryRegistration,
        /// The revision that this process already has.
        revision: RevisionNumber,
    },
    /// Renews the ordinal's lease and reports the revision that the process uses.
    Renew {
        /// Increases with each renewal of the process. The answer repeats it.
        sequence: u64,
        /// Revision that the process uses.
        revision: RevisionNumber,
        /// The digest of that revision.
        digest: StateDigest,
        /// Whether the entry is stopping.
        draining: bool,
        /// Demand by caller since the last renewal. Callers without demand are left out.
        demand: Vec<CallerDemand>,
    },
    /// Gives up the ordinal. The process no longer uses any connection to a target.
    Release,
    /// Requests the whole view, because a delta did not apply.
    Resync,
    /// Claims an order.
    Claim {
        /// The answer repeats this token.
        token: QueryToken,
        /// Key of the order.
        key: ClaimKey,
        /// Fingerprint of the order's content.
        fingerprint: RequestFingerprint,
    },
    /// Records the outcome of an order that this process claimed.
    Settle {
        /// Key of the order.
        key: ClaimKey,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// Requests the state of an order.
    Lookup {
        /// The answer repeats this token.
        token: QueryToken,
        /// Key of the order.
        key: ClaimKey,
    },
    /// Reports a crash of a target and the requests that it was running for this entry.
    ReportCrash {
        /// The target and the incarnation that crashed.
        evidence: CrashEvidence,
        /// The requests that were in flight on it.
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
        /// Number of ordinals, which determines the connection shares.
        max_ordinals: u32,
        /// How long no process held the ordinal before this one; zero if that is not known.
        #[serde(with = "duration_millis", default)]
        idle: Duration,
        /// Current membership view.
        view: Box<MembershipView>,
    },
    /// The whole view, for a process that keeps its ordinal.
    View(Box<MembershipView>),
    /// Changes from one revision to a later one.
    Delta {
        /// The revision to which the changes apply.
        from: RevisionNumber,
        /// The resulting revision.
        to: RevisionNumber,
        /// The changes in the order in which they apply.
        changes: Vec<ViewChange>,
        /// The resulting digest.
        digest: StateDigest,
    },
    /// Renews the lease of the ordinal, counted from the time at which the renewal with this
    /// sequence number was sent.
    Renewed {
        /// Sequence number of the renewal that is answered.
        sequence: u64,
        /// Duration of the lease.
        #[serde(with = "duration_millis")]
        lease: Duration,
        /// The newest revision that the leader knows to be committed.
        committed: RevisionNumber,
        /// Leased shares of the demand pools. Earlier grants end with their own lease.
        shares: Vec<ShareGrant>,
        /// Duration of the lease of the grants, counted like that of the ordinal.
        #[serde(with = "duration_millis")]
        share_lease: Duration,
    },
    /// Answers a claim.
    ClaimAnswer {
        /// Token of the claim.
        token: QueryToken,
        /// Decision on the claim.
        verdict: ClaimVerdict,
    },
    /// The outcome of an order has been recorded durably.
    Settled(ClaimKey),
    /// Answers a lookup.
    LookupAnswer {
        /// Token of the lookup.
        token: QueryToken,
        /// State of the order.
        verdict: LookupVerdict,
        /// Fingerprint of the content with which the order was claimed, if it was.
        #[serde(default)]
        fingerprint: Option<RequestFingerprint>,
    },
    /// This replica is not the leader.
    NotLeader {
        /// The peer address of the leader, if known.
        leader: Option<SocketAddr>,
        /// How long this replica grants no vote, counted from the receipt of the entry's last
        /// message, in milliseconds; zero if it makes no such pledge. See `docs/design.md`, section
        /// 7.
        #[serde(with = "duration_millis")]
        pledge: Duration,
    },
    /// The lease of the ordinal expired, or no ordinal is free.
    Refused(Arc<str>),
}
