//! Selects the entries that send parts of a wide fan-out, so that one request is not limited by the
//! processor of a single entry.
//!
//! The shards of a route are divided into groups (`fanout_groups`). For each group, every entry ranks
//! the entries of the group's failure domain in the same way, so that only a few entries keep
//! connections to the same targets. No entry is indispensable: if one fails, the next ones in the
//! ranking take over, and a group without a usable entry is sent by the entry that received the
//! request. See `docs/design/gateway.md`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fanout_groups::GroupKey;
use crate::gateway::stable_rank::StableRank;
use crate::types::{EntryId, FailureDomain, MonotonicTime};

/// Number of ranked entries that are considered. If none of them is usable, the entry that received
/// the request sends the group itself.
const MAX_RANK: usize = 4;
/// Largest number of doublings of a back-off. More would only overflow.
const MAX_DOUBLINGS: u32 = 6;

/// Extra time for the first batch in [`RelayMode::Full`]. Sending to the shards again costs a second
/// attempt that the other entry could make, so this is longer than the stalls of an entry under
/// load.
const FULL_GRACE: Duration = Duration::from_millis(120);
/// Extra time for the first batch in [`RelayMode::Probing`]. Sending to the shards again is safe,
/// because the other entry makes one attempt less.
const PROBING_GRACE: Duration = Duration::from_millis(16);

/// Time after the first batch for which second attempts wait for the grant.
const GRANT_PATIENCE: Duration = Duration::from_millis(60);

/// Settings for dividing a fan-out among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Smallest number of shards for which a route is divided. A narrower fan-out costs less than
    /// the messages between entries.
    pub min_shards: usize,
    /// Largest number of shards in one group.
    pub group_shards: usize,
    /// Number of top-ranked entries over which the requests of each group are spread.
    pub choices: usize,
    /// Smallest number of shards for which an entry of another failure domain is asked. Fewer parts
    /// are smaller than the messages to that entry.
    pub min_remote_shards: usize,
    /// How long an entry is not used after a timeout. The time doubles with each further timeout.
    pub backoff: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            min_shards: 48,
            group_shards: 10,
            choices: 2,
            min_remote_shards: 5,
            backoff: Duration::from_millis(300),
        }
    }
}

/// Prevents an entry that sends for another one from sending to a second target too early.
///
/// Until the requesting entry has received a first batch, it may consider this entry lost and make
/// one attempt on each shard itself. Second attempts therefore wait for its grant, which it sends
/// when it has received the batch and after which it makes no attempt itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryGate {
    // When the first batch was sent, which asks for the grant.
    asked_at: Option<MonotonicTime>,
    granted: bool,
}

/// Whether a second attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// It may.
    Allowed,
    /// The first batch must be sent now; the grant may follow.
    Ask,
    /// The grant may still come.
    Wait,
    /// The grant has not come in time.
    Refused,
}

impl RetryGate {
    /// Records that a batch was sent.
    pub fn note_batch(&mut self, now: MonotonicTime) {
        self.asked_at.get_or_insert(now);
    }

    /// Records the grant of the requesting entry.
    pub fn grant(&mut self) {
        self.granted = true;
    }

    /// Returns whether a second attempt may be made now.
    pub fn verdict(&mut self, now: MonotonicTime) -> RetryVerdict {
        if self.granted {
            return RetryVerdict::Allowed;
        }
        match self.asked_at {
            None => {
                self.asked_at = Some(now);
                RetryVerdict::Ask
            }
            Some(asked_at) if now.since(asked_at) < GRANT_PATIENCE => RetryVerdict::Wait,
            Some(_) => RetryVerdict::Refused,
        }
    }
}

/// An entry that accepts parts of fan-outs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayPeer {
    /// Name of the entry.
    pub entry: EntryId,
    /// Address at which it accepts parts of fan-outs.
    pub address: SocketAddr,
}

/// How far the entry that received a request relies on another one.
///
/// A slow entry cannot be distinguished from a lost one, and both entries together must not exceed
/// the maximum number of attempts on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// The entry answered last time. It makes all attempts, the second one only after a grant.
    Full,
    /// The entry timed out last time. It makes one attempt less, which is left to the entry that
    /// received the request.
    Probing,
}

impl RelayMode {
    /// Returns the number of attempts that the other entry may make on each shard.
    pub fn attempts(self, max_attempts: u32) -> u32 {
        match self {
            Self::Full => max_attempts,
            Self::Probing => max_attempts.saturating_sub(1).max(1),
        }
    }

    /// Returns how much later than planned the first batch may arrive before the other entry is
    /// abandoned.
    pub fn grace(self) -> Duration {
        match self {
            Self::Full => FULL_GRACE,
            Self::Probing => PROBING_GRACE,
        }
    }
}

/// The entry to which a group is assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAssignment {
    /// The entry.
    pub peer: RelayPeer,
    /// How far to rely on the entry.
    pub mode: RelayMode,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayBackoff {
    until: MonotonicTime,
    count: u32,
}

/// The entries that accept parts of fan-outs, as seen by one of them.
#[derive(Clone, Debug)]
pub struct RelaySelector {
    settings: RelaySettings,
    local_entry: EntryId,
    domain: FailureDomain,
    // Other entries by their failure domain.
    peers: BTreeMap<FailureDomain, BTreeMap<EntryId, SocketAddr>>,
    ranks: HashMap<GroupKey, Arc<[EntryId]>>,
    backoffs: HashMap<EntryId, RelayBackoff>,
}

impl RelaySelector {
    /// Creates a selector that knows only its own entry, which is in `domain`.
    pub fn new(settings: RelaySettings, local_entry: EntryId, domain: FailureDomain) -> Self {
        Self {
            settings,
            local_entry,
            domain,
            peers: BTreeMap::new(),
            ranks: HashMap::new(),
            backoffs: HashMap::new(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Sets the entries that accept parts of fan-outs. Returns whether they have changed.
    pub fn set_peers<'a>(
        &mut self,
        entries: impl IntoIterator<Item = (&'a FailureDomain, &'a RelayPeer)>,
    ) -> bool {
        let mut peers: BTreeMap<FailureDomain, BTreeMap<EntryId, SocketAddr>> = BTreeMap::new();
        for (domain, peer) in entries {
            if peer.entry != self.local_entry {
                let in_domain = peers.entry(domain.clone()).or_default();
                in_domain.insert(peer.entry.clone(), peer.address);
            }
        }
        if peers == self.peers {
            return false;
        }
        let former = std::mem::replace(&mut self.peers, peers);
        let is_same = |domain: &FailureDomain| former.get(domain) == self.peers.get(domain);
        self.ranks.retain(|key, _| is_same(&key.domain));
        let peers = &self.peers;
        let is_known =
            |entry: &EntryId| peers.values().any(|in_domain| in_domain.contains_key(entry));
        self.backoffs.retain(|entry, _| is_known(entry));
        true
    }

    /// Returns whether another entry of a failure domain accepts parts of fan-outs.
    pub fn has_entries(&self, domain: &FailureDomain) -> bool {
        self.peers.contains_key(domain)
    }

    /// Returns the entry that sends this group, or `None` if this entry should send it itself.
    /// `draw` is a random number from 0 to 1.
    pub fn assign(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        draw: f64,
    ) -> Option<RelayAssignment> {
        let rank = self.rank(key);
        let choices = self.settings.choices.clamp(1, MAX_RANK);
        let first = ((draw * choices as f64) as usize).min(choices - 1);
        let order = (first..choices).chain(0..first).chain(choices..MAX_RANK);
        let usable =
            order.filter_map(|index| rank.get(index)).find(|entry| !self.is_backed_off(now, entry));
        let entry = usable.filter(|entry| **entry != self.local_entry)?.clone();
        let address = *self.peers.get(&key.domain)?.get(&entry)?;
        let mode = match self.backoffs.contains_key(&entry) {
            true => RelayMode::Probing,
            false => RelayMode::Full,
        };
        Some(RelayAssignment { peer: RelayPeer { entry, address }, mode })
    }

    /// Returns the addresses of the entries that usually send this group.
    pub fn usual_addresses(&mut self, key: &GroupKey) -> Vec<SocketAddr> {
        let rank = self.rank(key);
        let Some(peers) = self.peers.get(&key.domain) else { return Vec::new() };
        let usual = rank.iter().take(self.settings.choices.max(1));
        usual.filter_map(|entry| peers.get(entry).copied()).collect()
    }

    fn rank(&mut self, key: &GroupKey) -> Arc<[EntryId]> {
        if let Some(rank) = self.ranks.get(key) {
            return Arc::clone(rank);
        }
        let local = (key.domain == self.domain).then_some(&self.local_entry);
        let peers = self.peers.get(&key.domain).into_iter().flat_map(BTreeMap::keys);
        let mut entries: Vec<&EntryId> = peers.chain(local).collect();
        entries.sort_by_cached_key(|entry| {
            let rank = StableRank::new().text(key.domain.as_str()).number(key.position as u64);
            rank.text(entry.as_str()).finish()
        });
        let rank: Arc<[EntryId]> = entries.into_iter().take(MAX_RANK).cloned().collect();
        self.ranks.insert(key.clone(), Arc::clone(&rank));
        rank
    }

    fn is_backed_off(&self, now: MonotonicTime, entry: &EntryId) -> bool {
        self.backoffs.get(entry).is_some_and(|backoff| backoff.until > now)
    }

    /// Records that an entry answered, which ends its back-off.
    pub fn note_answer(&mut self, entry: &EntryId) {
        self.backoffs.remove(entry);
    }

    /// Records that an entry sent nothing in time or that its link ended.
    pub fn note_timeout(&mut self, now: MonotonicTime, entry: &EntryId) {
        let backoff = self.backoffs.entry(entry.clone()).or_default();
        if backoff.until > now {
            return;
        }
        backoff.until = now + self.settings.backoff * 2_u32.pow(backoff.count.min(MAX_DOUBLINGS));
        backoff.count += 1;
    }
}
