//! Divides the shards of a wide fan-out into groups by where their targets are.
//!
//! Each group belongs to a failure domain that has a target of every shard in it, and is sent by an
//! entry there. The parts of the shards then stay in that failure domain, and only their merged
//! records and stamps cross its border. An entry takes as many groups of its own failure domain as
//! there are and covers the other shards with those of as few other failure domains as possible. The
//! groups of a failure domain are the same for all entries, so that only few entries keep
//! connections to the same targets. See `docs/design/gateway.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::fanout::ShardIndex;
use super::relays::RelaySettings;
use crate::gateway::stable_rank::StableRank;
use crate::types::{EntryId, FailureDomain, ServiceId};

/// Identifies a group among all groups of a deployment. The entries of the failure domain are ranked
/// by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// Failure domain of the group's targets and of the entries that send it.
    pub domain: FailureDomain,
    /// Position among the groups of this failure domain.
    pub position: usize,
}

/// Shards that are assigned to one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// Key by which the entries of the failure domain are ranked.
    pub key: GroupKey,
    /// Indexes of the shards in the route's list.
    pub shards: Vec<ShardIndex>,
}

/// What an entry knows of the failure domains when it divides a fan-out.
pub trait TargetPlaces {
    /// Returns the failure domains of a shard's usable targets.
    fn domains_of(&self, shard: &ServiceId) -> BTreeSet<&FailureDomain>;
    /// Returns whether another entry of the failure domain accepts groups.
    fn has_entries(&self, domain: &FailureDomain) -> bool;
}

/// Divides the shards of a route into groups for an entry in the failure domain `own`. Returns no
/// groups if the route has too few shards. Shards without a usable target in a failure domain that
/// has entries are in no group.
pub fn divide_shards(
    settings: &RelaySettings,
    entry: &EntryId,
    own: &FailureDomain,
    shards: &[ServiceId],
    places: &impl TargetPlaces,
) -> Vec<ShardGroup> {
    if shards.len() < settings.min_shards {
        return Vec::new();
    }
    let map = PlaceMap::new(own, shards, places);
    let mut left = map.all();
    let mut groups = Vec::new();
    for domain in map.cover(settings, entry, own) {
        let held: BTreeSet<ShardIndex> =
            left.iter().copied().filter(|shard| map.has_target(*shard, domain)).collect();
        left.retain(|shard| !held.contains(shard));
        groups.extend(map.groups_of(settings, domain, &held));
    }
    map.join_rest(&mut groups, left);
    groups
}

/// The failure domains of the targets of all shards.
struct PlaceMap<'a> {
    // The shards of each failure domain, in the order of their names.
    shards_in: BTreeMap<&'a FailureDomain, Vec<ShardIndex>>,
    domains_of: Vec<BTreeSet<&'a FailureDomain>>,
}

impl<'a> PlaceMap<'a> {
    fn new(own: &'a FailureDomain, shards: &[ServiceId], places: &'a impl TargetPlaces) -> Self {
        let is_usable = |domain: &&FailureDomain| *domain == own || places.has_entries(domain);
        let domains_of: Vec<BTreeSet<&FailureDomain>> = shards
            .iter()
            .map(|shard| places.domains_of(shard).into_iter().filter(is_usable).collect())
            .collect();
        let mut order: Vec<usize> = (0..shards.len()).collect();
        order.sort_by_key(|index| &shards[*index]);
        let mut shards_in: BTreeMap<&FailureDomain, Vec<ShardIndex>> = BTreeMap::new();
        for index in order {
            for domain in &domains_of[index] {
                shards_in.entry(domain).or_default().push(ShardIndex(index));
            }
        }
        Self { shards_in, domains_of }
    }

    /// Returns all shards that have a usable target.
    fn all(&self) -> BTreeSet<ShardIndex> {
        let indexes = (0..self.domains_of.len()).map(ShardIndex);
        indexes.filter(|shard| !self.domains_of[shard.0].is_empty()).collect()
    }

    fn has_target(&self, shard: ShardIndex, domain: &FailureDomain) -> bool {
        self.domains_of[shard.0].contains(domain)
    }

    fn count_in(&self, left: &BTreeSet<ShardIndex>, domain: &FailureDomain) -> usize {
        left.iter().filter(|shard| self.has_target(**shard, domain)).count()
    }

    /// Returns failure domains that together hold the shards but for a few: the own one first, then
    /// as few others as possible. Each entry prefers others, so that the work is spread.
    fn cover(
        &self,
        settings: &RelaySettings,
        entry: &EntryId,
        own: &FailureDomain,
    ) -> Vec<&'a FailureDomain> {
        let mut left = self.all();
        let held_here = self.shards_in.keys().copied().find(|domain| *domain == own);
        left.retain(|shard| !self.has_target(*shard, own));
        let mut order: Vec<&FailureDomain> =
            self.shards_in.keys().copied().filter(|domain| *domain != own).collect();
        order.sort_by_cached_key(|domain| rank_of(entry, domain));
        let covers = order.iter().map(|first| self.cover_from(settings, &order, first, &left));
        let fewest = covers.min_by_key(Vec::len).unwrap_or_default();
        held_here.into_iter().chain(fewest).collect()
    }

    /// Returns a cover of these shards that begins with the failure domain `first`.
    fn cover_from(
        &self,
        settings: &RelaySettings,
        order: &[&'a FailureDomain],
        first: &'a FailureDomain,
        left: &BTreeSet<ShardIndex>,
    ) -> Vec<&'a FailureDomain> {
        let mut left = left.clone();
        let mut cover = Vec::new();
        let mut next = Some(first);
        while let Some(domain) =
            next.filter(|domain| self.count_in(&left, domain) >= settings.min_remote_shards.max(1))
        {
            left.retain(|shard| !self.has_target(*shard, domain));
            cover.push(domain);
            // The earliest of those that hold most.
            next = order.iter().rev().copied().max_by_key(|domain| self.count_in(&left, domain));
        }
        cover
    }

    /// Returns the groups of a failure domain, each with those of its shards that are in `wanted`.
    /// The borders between the groups depend on all shards there, so that they are the same for all
    /// entries.
    fn groups_of(
        &self,
        settings: &RelaySettings,
        domain: &FailureDomain,
        wanted: &BTreeSet<ShardIndex>,
    ) -> Vec<ShardGroup> {
        let shards = self.shards_in.get(domain).map_or(&[] as &[ShardIndex], Vec::as_slice);
        let count = shards.len().div_ceil(settings.group_shards.max(1)).max(1);
        let size = shards.len().div_ceil(count).max(1);
        let to_group = |(position, members): (usize, &[ShardIndex])| ShardGroup {
            key: GroupKey { domain: domain.clone(), position },
            shards: members.iter().copied().filter(|shard| wanted.contains(shard)).collect(),
        };
        let groups = shards.chunks(size).enumerate().map(to_group);
        groups.filter(|group| !group.shards.is_empty()).collect()
    }

    /// Adds the few shards that no failure domain of the cover holds to the smallest groups. Their
    /// entries reach all targets too.
    fn join_rest(&self, groups: &mut [ShardGroup], rest: BTreeSet<ShardIndex>) {
        for shard in rest {
            if let Some(smallest) = groups.iter_mut().min_by_key(|group| group.shards.len()) {
                smallest.shards.push(shard);
            }
        }
    }
}

fn rank_of(entry: &EntryId, domain: &FailureDomain) -> u64 {
    StableRank::new().text(entry.as_str()).text(domain.as_str()).finish()
}

/// The groups of the wide routes. Groups belong to a list of shards, which many routes may share: a
/// request from before a change of the configuration has another list than one from after it.
#[derive(Clone, Debug, Default)]
pub struct GroupCache {
    // By the address of the list, which the value keeps from being used again.
    groups: HashMap<usize, CachedGroups>,
}

#[derive(Clone, Debug)]
struct CachedGroups {
    _shards: Arc<[ServiceId]>,
    groups: Arc<[ShardGroup]>,
}

impl GroupCache {
    /// Returns the groups of these shards, which `divide` makes if they are not known yet.
    pub fn groups(
        &mut self,
        shards: &Arc<[ServiceId]>,
        divide: impl FnOnce(&[ServiceId]) -> Vec<ShardGroup>,
    ) -> Arc<[ShardGroup]> {
        let cached = self.groups.entry(shards.as_ptr() as usize).or_insert_with(|| CachedGroups {
            _shards: Arc::clone(shards),
            groups: divide(shards).into(),
        });
        Arc::clone(&cached.groups)
    }

    /// Forgets all groups, because the configuration, targets or entries have changed.
    pub fn clear(&mut self) {
        self.groups.clear();
    }
}
