//! Chooses the entries that send a part of a wide fan-out, so that one request does not wait for one entry's processor.
//!
//! The shards of a route are cut into groups of neighbours. Every entry ranks the entries of its own failure domain for each
//! group in the same way, so that few entries keep connections to the same targets, and loses nothing with any of them:
//! the next ones in the ranking take over, and a group without a usable entry is sent by the entry that has the request.
//! See `docs/design/gateway.md`.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fanout::ShardIndex;
use crate::types::{EntryId, MonotonicTime, ServiceId};

/// Entries of the ranking that are looked at; beyond them the request's own entry sends the group.
const MAX_RANK: usize = 4;
/// Doublings of a backoff; more would only overflow.
const MAX_DOUBLINGS: u32 = 6;

/// Patience with an entry whose attempts could add up with others: longer than an entry under load stands still.
const FULL_GRACE: Duration = Duration::from_millis(120);
/// Patience with an entry that was silent last time, whose part is sent again without harm.
const PROBING_GRACE: Duration = Duration::from_millis(16);

/// How a fan-out is divided among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Fewest shards of a route that is divided; a narrower one costs less than the messages between entries.
    pub min_shards: usize,
    /// The most shards in one group.
    pub group_shards: usize,
    /// Entries among which each group's requests are spread.
    pub choices: usize,
    /// Fewest other entries in the failure domain.
    pub min_peers: usize,
    /// How long an entry is not asked after it was silent; doubled each time that this happens again.
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

/// Neighbouring shards that one entry sends to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// Ranks the entries for the group; the same for all routes over the same shards.
    pub key: ServiceId,
    /// The shards.
    pub shards: Vec<ShardIndex>,
}

/// Cuts the shards of a route into groups of nearly equal size; nothing if they are too few to be divided.
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

/// Whether an entry that sends for another one may send to a second target.
///
/// Until the other entry hears a first batch, it may count this one as lost and send itself once to each shard. Second
/// attempts therefore begin only with the first batch, and not at all if it would leave too late, as after a stall.
#[derive(Clone, Copy, Debug)]
pub struct RetryGate {
    closes_at: MonotonicTime,
    open: bool,
}

impl RetryGate {
    /// A gate that must be opened until this time.
    pub fn new(closes_at: MonotonicTime) -> Self {
        Self { closes_at, open: false }
    }

    /// Opens the gate when the first batch leaves; false if it is too late for that.
    pub fn open(&mut self, now: MonotonicTime) -> bool {
        self.open |= now <= self.closes_at;
        self.open
    }

    /// Whether the first batch has left.
    pub fn is_open(&self) -> bool {
        self.open
    }
}

/// An entry that takes parts of fan-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayPeer {
    /// Its name.
    pub entry: EntryId,
    /// Where it takes parts.
    pub address: SocketAddr,
}

/// How far the entry that has a request relies on another one.
///
/// A slow entry cannot be told from a lost one, and both entries together must not exceed the attempts on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// It answered last time. It makes all attempts, and is given up only when it is surely lost.
    Full,
    /// It was silent last time. It makes one attempt less, which is left for the entry that has the request.
    Probing,
}

impl RelayMode {
    /// The attempts on each shard that the other entry may make.
    pub fn attempts(self, max_attempts: u32) -> u32 {
        match self {
            Self::Full => max_attempts,
            Self::Probing => max_attempts.saturating_sub(1).max(1),
        }
    }

    /// How much later than planned the first batch may arrive before the other entry is given up.
    pub fn grace(self) -> Duration {
        match self {
            Self::Full => FULL_GRACE,
            Self::Probing => PROBING_GRACE,
        }
    }
}

/// The entry that is asked to send a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAssignment {
    /// The entry.
    pub peer: RelayPeer,
    /// How far to rely on it.
    pub mode: RelayMode,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayBackoff {
    until: MonotonicTime,
    count: u32,
}

/// The entries of one failure domain, as one of them sees them.
#[derive(Clone, Debug)]
pub struct RelaySelector {
    settings: RelaySettings,
    own: EntryId,
    by_host: BTreeMap<SocketAddr, Vec<RelayPeer>>,
    peers: BTreeMap<EntryId, SocketAddr>,
    ranks: HashMap<ServiceId, Arc<[EntryId]>>,
    backoffs: HashMap<EntryId, RelayBackoff>,
}

impl RelaySelector {
    /// A selector that knows only the own entry.
    pub fn new(settings: RelaySettings, own: EntryId) -> Self {
        Self {
            settings,
            own,
            by_host: BTreeMap::new(),
            peers: BTreeMap::new(),
            ranks: HashMap::new(),
            backoffs: HashMap::new(),
        }
    }

    /// The settings.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Takes the open entries of the own failure domain from one control host. An entry counts while one host names it.
    pub fn set_peers(&mut self, host: SocketAddr, peers: Vec<RelayPeer>) {
        self.by_host.insert(host, peers);
        self.merge_peers();
    }

    /// The link to a control host ended. What the last one said is kept.
    pub fn remove_host(&mut self, host: SocketAddr) {
        if self.by_host.len() > 1 {
            self.by_host.remove(&host);
            self.merge_peers();
        }
    }

    fn merge_peers(&mut self) {
        let named = self.by_host.values().flatten().filter(|peer| peer.entry != self.own);
        let peers: BTreeMap<EntryId, SocketAddr> =
            named.map(|peer| (peer.entry.clone(), peer.address)).collect();
        if peers != self.peers {
            self.peers = peers;
            self.ranks.clear();
            let peers = &self.peers;
            self.backoffs.retain(|entry, _| peers.contains_key(entry));
        }
    }

    /// The entry that sends this group; nothing if the own entry should. `draw` is a random number from 0 to 1.
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
        let entry = usable.filter(|entry| **entry != self.own)?.clone();
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
        let mut entries: Vec<&EntryId> = self.peers.keys().chain([&self.own]).collect();
        entries.sort_by_cached_key(|entry| {
            // The same in every process, unlike the hash maps' own hashers.
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

    /// Where the other entries take parts.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.values().copied()
    }

    /// The number of entries that know each other here, the own one included.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// An entry sent what it was asked for.
    pub fn note_answer(&mut self, entry: &EntryId) {
        self.backoffs.remove(entry);
    }

    /// An entry sent nothing in time, or its link ended.
    pub fn note_timeout(&mut self, now: MonotonicTime, entry: &EntryId) {
        let backoff = self.backoffs.entry(entry.clone()).or_default();
        if backoff.until > now {
            return;
        }
        backoff.until = now + self.settings.backoff * 2_u32.pow(backoff.count.min(MAX_DOUBLINGS));
        backoff.count += 1;
    }
}
