//! Pattern: 195 entries in six failure domains and 87 shards, each with its targets in two of them.
//! Guards against parts of wide fan-outs that cross the border between failure domains one by one:
//! with a thousand bytes for each part they were most of the bytes between failure domains.

use std::collections::{BTreeMap, BTreeSet};

use hickoryspan_core::gateway::fanouts::fanout::ShardIndex;
use hickoryspan_core::gateway::fanouts::fanout_groups::{
    GroupKey, ShardGroup, TargetPlaces, divide_shards,
};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::types::{EntryId, FailureDomain, ServiceId};
use rstest::rstest;

const SHARDS: usize = 87;
const DOMAINS: usize = 6;
const ENTRIES_PER_DOMAIN: usize = 32;

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{number}")).expect("a name")
}

fn shard(number: usize) -> ServiceId {
    ServiceId::new(format!("shard-{number:03}")).expect("a name")
}

/// The failure domains of each shard's targets.
struct Places {
    of_shard: BTreeMap<ServiceId, Vec<FailureDomain>>,
    without_entries: Option<FailureDomain>,
}

impl Places {
    fn new(of_shard: impl Fn(usize) -> Vec<usize>) -> Self {
        let domains = |number| of_shard(number).into_iter().map(domain).collect();
        let of_shard = (0..SHARDS).map(|number| (shard(number), domains(number))).collect();
        Self { of_shard, without_entries: None }
    }

    /// Each shard has targets in two neighbouring failure domains.
    fn in_pairs() -> Self {
        Self::new(|number| vec![number % DOMAINS, (number + 1) % DOMAINS])
    }

    fn lose(&mut self, lost: usize, from: usize) {
        let targets = self.of_shard.get_mut(&shard(lost)).expect("a shard");
        targets.retain(|place| *place != domain(from));
    }
}

impl TargetPlaces for Places {
    fn domains_of(&self, shard: &ServiceId) -> BTreeSet<&FailureDomain> {
        self.of_shard.get(shard).into_iter().flatten().collect()
    }

    fn has_entries(&self, domain: &FailureDomain) -> bool {
        self.without_entries.as_ref() != Some(domain)
    }
}

fn entry(domain: usize, number: usize) -> EntryId {
    EntryId::new(format!("entry-{domain}-{number}")).expect("a name")
}

fn all_entries() -> impl Iterator<Item = (usize, EntryId)> {
    (0..DOMAINS).flat_map(|domain| (0..ENTRIES_PER_DOMAIN).map(move |n| (domain, entry(domain, n))))
}

fn divide(entry: &EntryId, own: usize, places: &Places) -> Vec<ShardGroup> {
    let shards: Vec<ServiceId> = (0..SHARDS).map(shard).collect();
    divide_shards(&RelaySettings::default(), entry, &domain(own), &shards, places)
}

fn shards_of(groups: &[ShardGroup]) -> Vec<ShardIndex> {
    let mut shards: Vec<ShardIndex> =
        groups.iter().flat_map(|group| group.shards.iter().copied()).collect();
    shards.sort_unstable();
    shards
}

fn domains_of(groups: &[ShardGroup]) -> BTreeSet<&FailureDomain> {
    groups.iter().map(|group| &group.key.domain).collect()
}

/// Counts the parts that cross a border between failure domains on their way from a target to the entry that sends the
/// group.
fn crossing_parts(groups: &[ShardGroup], places: &Places) -> usize {
    let crosses = |group: &ShardGroup, index: &ShardIndex| {
        !places.of_shard[&shard(index.0)].contains(&group.key.domain)
    };
    let of_group =
        |group: &ShardGroup| group.shards.iter().filter(|index| crosses(group, index)).count();
    groups.iter().map(of_group).sum()
}

#[test]
fn each_part_stays_in_the_failure_domain_of_its_target() {
    let places = Places::in_pairs();
    for (own, entry) in all_entries() {
        let groups = divide(&entry, own, &places);
        assert_eq!(shards_of(&groups), (0..SHARDS).map(ShardIndex).collect::<Vec<_>>());
        assert_eq!(crossing_parts(&groups, &places), 0);
        assert_eq!(domains_of(&groups).len(), DOMAINS / 2, "no failure domain more than needed");
        let largest = groups.iter().map(|group| group.shards.len()).max();
        assert!(largest <= Some(RelaySettings::default().group_shards));
        let held_here =
            |index: &ShardIndex| index.0 % DOMAINS == own || (index.0 + 1) % DOMAINS == own;
        let sent_here = groups.iter().filter(|group| group.key.domain == domain(own));
        let sent_here: usize = sent_here.map(|group| group.shards.len()).sum();
        assert_eq!(sent_here, (0..SHARDS).map(ShardIndex).filter(held_here).count());
    }
}

/// Guards against targets that get requests from most entries, each of which opens its own connections.
#[test]
fn the_groups_of_a_failure_domain_are_the_same_for_all_entries() {
    let places = Places::in_pairs();
    let mut group_of: BTreeMap<(FailureDomain, ShardIndex), BTreeSet<GroupKey>> = BTreeMap::new();
    for (own, entry) in all_entries() {
        for group in divide(&entry, own, &places) {
            for shard in group.shards {
                let place = (group.key.domain.clone(), shard);
                group_of.entry(place).or_default().insert(group.key.clone());
            }
        }
    }
    assert_eq!(group_of.len(), SHARDS * 2, "both targets of each shard are used");
    assert!(group_of.values().all(|keys| keys.len() == 1));
}

/// Guards against work that moves to one side when both can do it.
#[test]
fn entries_without_targets_nearby_use_all_failure_domains_that_have_some() {
    let places = Places::new(|_| vec![0, 1]);
    let mut chosen: BTreeMap<FailureDomain, usize> = BTreeMap::new();
    for (own, entry) in all_entries() {
        let groups = divide(&entry, own, &places);
        assert_eq!(shards_of(&groups).len(), SHARDS);
        let domains = domains_of(&groups);
        assert_eq!(domains.len(), 1);
        if own < 2 {
            assert_eq!(domains, BTreeSet::from([&domain(own)]));
        } else {
            *chosen.entry(domains.into_iter().next().expect("one").clone()).or_default() += 1;
        }
    }
    let total: usize = chosen.values().sum();
    assert!(chosen.values().all(|count| count * 3 > total), "{chosen:?}");
}

/// Guards against one more failure domain, with its messages, for the few shards that lost a target.
#[test]
fn a_few_lost_targets_add_no_groups() {
    let mut places = Places::in_pairs();
    let entry = entry(3, 0);
    let before = divide(&entry, 3, &places);
    for lost in [0, 1, 6, 7] {
        let of_lost = before.iter().find(|group| group.shards.contains(&ShardIndex(lost)));
        let from = of_lost.expect("a group").key.domain.clone();
        let number = (0..DOMAINS).find(|number| domain(*number) == from).expect("a domain");
        if number != 3 {
            places.lose(lost, number);
        }
    }
    let after = divide(&entry, 3, &places);
    assert_eq!(shards_of(&after).len(), SHARDS);
    assert!(domains_of(&after).len() <= domains_of(&before).len() + 1);
    assert!(crossing_parts(&after, &places) < RelaySettings::default().min_remote_shards);
}

#[test]
fn a_failure_domain_without_entries_is_covered_by_the_others() {
    let mut places = Places::in_pairs();
    places.without_entries = Some(domain(0));
    for (own, entry) in all_entries().filter(|(own, _)| *own != 0) {
        let groups = divide(&entry, own, &places);
        assert_eq!(shards_of(&groups).len(), SHARDS);
        assert!(!domains_of(&groups).contains(&domain(0)));
        assert_eq!(crossing_parts(&groups, &places), 0);
    }
}

#[rstest]
#[case::in_all_domains(Places::new(|_| (0..DOMAINS).collect()), 1)]
#[case::one_domain_elsewhere(Places::new(|_| vec![5]), 1)]
#[case::few_shards_elsewhere(Places::new(|number| vec![if number < 4 { 3 } else { 0 }]), 1)]
#[case::no_targets(Places::new(|_| Vec::new()), 0)]
fn no_more_failure_domains_than_needed_are_used(#[case] places: Places, #[case] domains: usize) {
    let groups = divide(&entry(0, 1), 0, &places);
    assert_eq!(domains_of(&groups).len(), domains);
    let expected = if domains == 0 { 0 } else { SHARDS };
    assert_eq!(shards_of(&groups).len(), expected);
}
