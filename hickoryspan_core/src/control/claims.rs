//! Claims of orders, which make sure that an order runs at most once, and their outcomes (`docs/design.md`,
//! section 6.8).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::commands::EntryProcess;
use crate::messages::{
    ClaimKey, ClaimState, ClaimVerdict, LookupVerdict, OrderOutcome, RequestOutcome,
};
use crate::types::{CallerId, RequestFingerprint, RequestId, TenantId, WallTime};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ClaimRecord {
    // Serialized as bytes, because the text form takes twice the space.
    #[serde(with = "fingerprint_bytes")]
    fingerprint: RequestFingerprint,
    state: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct CallerKey {
    tenant: TenantId,
    caller: CallerId,
}

// The time must come first: in the derived order, the claims up to the horizon are then a contiguous range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct IssueKey {
    issued_at: WallTime,
    request: RequestId,
}

/// All claims that were issued after the horizon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct ClaimTable {
    horizon: WallTime,
    // Grouped by caller, so that the name of a caller is stored only once.
    claims: BTreeMap<CallerKey, BTreeMap<IssueKey, ClaimRecord>>,
    #[serde(skip)]
    open: BTreeMap<EntryProcess, BTreeSet<ClaimKey>>,
    #[serde(skip)]
    count: u64,
}

impl ClaimTable {
    /// Returns the number of claims in the table.
    pub fn len(&self) -> u64 {
        self.count
    }

    /// Returns whether the table has no claim.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the horizon. Claims that were issued at or before this time have been dropped.
    pub fn horizon(&self) -> WallTime {
        self.horizon
    }

    /// Rebuilds the fields that are not serialized.
    pub fn rebuild(&mut self) {
        self.open.clear();
        self.count = 0;
        for (caller, claims) in &self.claims {
            self.count += claims.len() as u64;
            for (issue, record) in claims {
                let ClaimState::Open { entry, incarnation } = &record.state else { continue };
                let process = EntryProcess { entry: entry.clone(), incarnation: *incarnation };
                self.open.entry(process).or_default().insert(join_key(caller, issue));
            }
        }
    }

    /// Grants the first claim of an order. Later claims with the same content return the state of the first one.
    pub fn claim(
        &mut self,
        process: &EntryProcess,
        key: &ClaimKey,
        fingerprint: RequestFingerprint,
        capacity: u64,
    ) -> ClaimVerdict {
        if key.issued_at <= self.horizon {
            return ClaimVerdict::Expired;
        }
        if let Some(record) = self.record(key) {
            if record.fingerprint != fingerprint {
                return ClaimVerdict::Conflict;
            }
            return ClaimVerdict::Existing(record.state.clone());
        }
        if self.count >= capacity {
            return ClaimVerdict::Unavailable;
        }
        let (caller, issue) = split_key(key);
        let state =
            ClaimState::Open { entry: process.entry.clone(), incarnation: process.incarnation };
        self.claims.entry(caller).or_default().insert(issue, ClaimRecord { fingerprint, state });
        self.open.entry(process.clone()).or_default().insert(key.clone());
        self.count += 1;
        ClaimVerdict::Granted
    }

    /// Records the outcome of an open claim of this process. The first recorded outcome is never replaced, because it
    /// may have been returned to a caller. Returns whether the claim is settled or has been dropped.
    pub fn settle(
        &mut self,
        process: &EntryProcess,
        key: &ClaimKey,
        outcome: OrderOutcome,
    ) -> bool {
        let own = self.open.get_mut(process).is_some_and(|keys| keys.remove(key));
        if own {
            if self.open.get(process).is_some_and(BTreeSet::is_empty) {
                self.open.remove(process);
            }
            self.set_settled(key, outcome);
        }
        let record = self.record(key);
        let settled = record.is_some_and(|record| matches!(record.state, ClaimState::Settled(_)));
        settled || key.issued_at <= self.horizon
    }

    /// Settles the open claims of a process that has ended. Their outcome is `Unknown`, because the orders may have
    /// run.
    pub fn abandon(&mut self, process: &EntryProcess) {
        for key in self.open.remove(process).unwrap_or_default() {
            let outcome =
                OrderOutcome { outcome: RequestOutcome::Unknown, target: None, body: None };
            self.set_settled(&key, outcome);
        }
    }

    /// Returns the state of an order.
    pub fn lookup(&self, key: &ClaimKey) -> LookupVerdict {
        if key.issued_at <= self.horizon {
            return LookupVerdict::Expired;
        }
        match self.record(key) {
            Some(record) => LookupVerdict::Found(record.state.clone()),
            None => LookupVerdict::Absent,
        }
    }

    /// Returns the fingerprint of the content with which an order was claimed.
    pub fn fingerprint(&self, key: &ClaimKey) -> Option<RequestFingerprint> {
        self.record(key).map(|record| record.fingerprint)
    }

    /// Drops the claims that were issued at or before `horizon`. An earlier horizon than the current one has no
    /// effect.
    pub fn advance_horizon(&mut self, horizon: WallTime) {
        if horizon <= self.horizon {
            return;
        }
        self.horizon = horizon;
        let mut dropped = 0;
        self.claims.retain(|_, claims| {
            let before = claims.len();
            claims.retain(|issue, _| issue.issued_at > horizon);
            dropped += (before - claims.len()) as u64;
            !claims.is_empty()
        });
        self.count -= dropped;
        self.open.retain(|_, keys| {
            keys.retain(|key| key.issued_at > horizon);
            !keys.is_empty()
        });
    }

    fn record(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        let (caller, issue) = split_key(key);
        self.claims.get(&caller)?.get(&issue)
    }

    fn set_settled(&mut self, key: &ClaimKey, outcome: OrderOutcome) {
        let (caller, issue) = split_key(key);
        let Some(claims) = self.claims.get_mut(&caller) else { return };
        let Some(record) = claims.get_mut(&issue) else { return };
        record.state = ClaimState::Settled(outcome);
    }
}

/// Removes the body of the outcome if it is longer than `max_bytes`.
pub fn bound_outcome(mut outcome: OrderOutcome, max_bytes: usize) -> OrderOutcome {
    if outcome.body.as_ref().is_some_and(|body: &Arc<str>| body.len() > max_bytes) {
        outcome.body = None;
    }
    outcome
}

fn split_key(key: &ClaimKey) -> (CallerKey, IssueKey) {
    let caller = CallerKey { tenant: key.tenant.clone(), caller: key.caller.clone() };
    (caller, IssueKey { issued_at: key.issued_at, request: key.request.clone() })
}

fn join_key(caller: &CallerKey, issue: &IssueKey) -> ClaimKey {
    ClaimKey {
        tenant: caller.tenant.clone(),
        caller: caller.caller.clone(),
        request: issue.request.clone(),
        issued_at: issue.issued_at,
    }
}

mod fingerprint_bytes {
    use std::sync::Arc;

    use serde::{Deserializer, Serializer, de::Error};

    use crate::control::bytes;
    use crate::types::RequestFingerprint;

    pub fn serialize<S: Serializer>(
        value: &RequestFingerprint,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&value.0)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestFingerprint, D::Error> {
        let bytes: Arc<[u8]> = bytes::deserialize(deserializer)?;
        let digest = bytes[..].try_into().map_err(|_| D::Error::custom("a digest has 32 bytes"))?;
        Ok(RequestFingerprint(digest))
    }
}
