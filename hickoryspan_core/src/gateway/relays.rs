//! Selects the entries that send parts of a wide fan-out, so that one request is not limited by the
//! processor of a single entry.
//!
//! The shards of a route are divided into groups of neighbouring shards. For each group, every
//! entry ranks the entries of its own failure domain in the same way, so that only a few entries
//! keep connections to the same targets. No entry is indispensable: if one fails, the next ones in
//! the ranking take over, and a group without a usable entry is sent by the entry that received the
//! request. See `docs/design/gateway.md`.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fanout::ShardIndex;
use crate::types::{EntryId, MonotonicTime, ServiceId};

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
    /// Smallest number of other entries in the failure domain for which a route is divided.
    pub min_peers: usize,
    /// How long an entry is not used after a timeout. The time doubles with each further timeout.
    pub backoff: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            min_shards: 48,
            group_shards: 10,
            choices: 2,
            min_peers: 4,
            backoff: Duration::from_millis(300),
        }
    }
}

/// Neighbouring shards that are assigned to one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// Key by which the entries are ranked for the group. It is the same for all routes over the
    /// same shards.
    pub key: ServiceId,
    /// Indexes of the shards in the route's list.
    pub shards: Vec<ShardIndex>,
}

/// Divides the shards of a route, in the order of their names, into groups of nearly equal size.
/// Returns no groups if the route has too few shards.
pub fn divide_shards(settings: &RelaySettings, shards: &[ServiceId]) -> Vec<ShardGroup> {
    if shards.len() < settings.min_shards {
        return Vec::new();
    }
    let mut order: Vec<usize> = (0..shards.len()).collect();
    order.sort_by_key(|index| &shards[*index]);
    let count = shards.len().div_ceil(settings.group_shards.max(1));
    let size = shards.len().div_ceil(count);
    let to_group = |members: &[usize]| ShardGroup {
        key: shards[members[0]].clone(),
        shards: members.iter().copied().map(ShardIndex).collect(),
    };
    order.chunks(size).map(to_group).collect()
}

/// The groups of the wide routes. Groups belong to a list of shards: a request from before a change of the configuration
/// has another list than one from after it.
#[derive(Clone, Debug, Default)]
pub struct GroupCache {
    groups: HashMap<Arc<str>, CachedGroups>,
}

#[derive(Clone, Debug)]
struct CachedGroups {
    shards: Arc<[ServiceId]>,
    groups: Arc<[ShardGroup]>,
}

impl GroupCache {
    /// Returns the groups of these shards of a route; empty if the route has too few to be divided.
    pub fn groups(
        &mut self,
        settings: &RelaySettings,
        route: &Arc<str>,
        shards: &Arc<[ServiceId]>,
    ) -> Arc<[ShardGroup]> {
        let cached = self.groups.get(route);
        if let Some(cached) = cached.filter(|cached| Arc::ptr_eq(&cached.shards, shards)) {
            return Arc::clone(&cached.groups);
        }
        let groups: Arc<[ShardGroup]> = divide_shards(settings, shards).into();
        let cached = CachedGroups { shards: Arc::clone(shards), groups: Arc::clone(&groups) };
        self.groups.insert(Arc::clone(route), cached);
        groups
    }

    /// Forgets the groups of all routes.
    pub fn clear(&mut self) {
        self.groups.clear();
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// The entries of one failure domain, as seen by one of them.
#[derive(Clone, Debug)]
pub struct RelaySelector {
    settings: RelaySettings,
    local_entry: EntryId,
    by_host: BTreeMap<SocketAddr, Vec<RelayPeer>>,
    peers: BTreeMap<EntryId, SocketAddr>,
    ranks: HashMap<ServiceId, Arc<[EntryId]>>,
    backoffs: HashMap<EntryId, RelayBackoff>,
}

impl RelaySelector {
    /// Creates a selector that knows only its own entry.
    pub fn new(settings: RelaySettings, local_entry: EntryId) -> Self {
        Self {
            settings,
            local_entry,
            by_host: BTreeMap::new(),
            peers: BTreeMap::new(),
            ranks: HashMap::new(),
            backoffs: HashMap::new(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Sets the open entries of this failure domain as reported by one control host. An entry is
    /// used while at least one host reports it.
    pub fn set_peers(&mut self, host: SocketAddr, peers: Vec<RelayPeer>) {
        self.by_host.insert(host, peers);
        self.merge_peers();
    }

    /// Removes the report of a control host whose link has ended. The report of the last host is
    /// kept.
    pub fn remove_host(&mut self, host: SocketAddr) {
        if self.by_host.len() > 1 {
            self.by_host.remove(&host);
            self.merge_peers();
        }
    }

    fn merge_peers(&mut self) {
        let named = self.by_host.values().flatten().filter(|peer| peer.entry != self.local_entry);
        let peers: BTreeMap<EntryId, SocketAddr> =
            named.map(|peer| (peer.entry.clone(), peer.address)).collect();
        if peers != self.peers {
            self.peers = peers;
            self.ranks.clear();
            let peers = &self.peers;
            self.backoffs.retain(|entry, _| peers.contains_key(entry));
        }
    }

    /// Returns the entry that sends this group, or `None` if this entry should send it itself.
    /// `draw` is a random number from 0 to 1.
    pub fn assign(
        &mut self,
        now: MonotonicTime,
        key: &ServiceId,
        draw: f64,
    ) -> Option<RelayAssignment> {
        if self.peers.len() < self.settings.min_peers {
            return None;
        }
        let rank = self.rank(key);
        let choices = self.settings.choices.clamp(1, MAX_RANK);
        let first = ((draw * choices as f64) as usize).min(choices - 1);
        let order = (first..choices).chain(0..first).chain(choices..MAX_RANK);
        let usable =
            order.filter_map(|index| rank.get(index)).find(|entry| !self.is_backed_off(now, entry));
        let entry = usable.filter(|entry| **entry != self.local_entry)?.clone();
        let address = *self.peers.get(&entry)?;
        let mode = match self.backoffs.contains_key(&entry) {
            true => RelayMode::Probing,
            false => RelayMode::Full,
        };
        Some(RelayAssignment { peer: RelayPeer { entry, address }, mode })
    }

    fn rank(&mut self, key: &ServiceId) -> Arc<[EntryId]> {
        if let Some(rank) = self.ranks.get(key) {
            return Arc::clone(rank);
        }
        let mut entries: Vec<&EntryId> = self.peers.keys().chain([&self.local_entry]).collect();
        entries.sort_by_cached_key(|entry| {
            // This hasher gives the same order in every process, unlike the randomly seeded hashers
            // of hash maps.
            let mut hasher = DefaultHasher::new();
            (key.as_str(), entry.as_str()).hash(&mut hasher);
            hasher.finish()
        });
        let rank: Arc<[EntryId]> = entries.into_iter().take(MAX_RANK).cloned().collect();
        self.ranks.insert(key.clone(), Arc::clone(&rank));
        rank
    }

    fn is_backed_off(&self, now: MonotonicTime, entry: &EntryId) -> bool {
        self.backoffs.get(entry).is_some_and(|backoff| backoff.until > now)
    }

    /// Returns the addresses at which the other entries accept parts of fan-outs.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.values().copied()
    }

    /// Returns the number of known entries in the failure domain, including this one.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
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
