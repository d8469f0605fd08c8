//! Tests how a query over 90 shards is divided among 89 small entries: which entry sends which
//! part, and which one takes over after a timeout. Guards against a fan-out that waits for the
//! processor of a single entry, and against a third attempt on a shard whose first two were made by
//! an entry that was considered lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::fanouts::fanout::{
    FanoutMachine, FanoutSettings, FanoutStep, LaunchReason, ShardIndex,
};
use hickoryspan_core::gateway::fanouts::fanout_groups::{
    GroupCache, GroupKey, ShardGroup, TargetPlaces, divide_shards,
};
use hickoryspan_core::gateway::fanouts::relays::{
    RelayAssignment, RelayMode, RelayPeer, RelaySelector, RelaySettings, RetryGate, RetryVerdict,
};
use hickoryspan_core::gateway::membership::entry_list::{EntryList, EntryListChange, OpenEntry};
use hickoryspan_core::types::{EntryId, FailureDomain, MonotonicTime, ServiceId};

const SHARDS: usize = 90;
/// Number of entries in one failure domain. An entry hands groups only to entries of its own
/// domain.
const ENTRIES: u8 = 22;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn entry(number: u8) -> EntryId {
    EntryId::new(format!("entry-{number}")).expect("an entry name")
}

fn peers(numbers: impl IntoIterator<Item = u8>) -> Vec<RelayPeer> {
    let peer = |number| RelayPeer { entry: entry(number), address: host(number) };
    numbers.into_iter().map(peer).collect()
}

fn shards(count: usize) -> Vec<ServiceId> {
    (0..count).map(|n| ServiceId::new(format!("shard-{n:03}")).expect("a service name")).collect()
}

fn own_domain() -> FailureDomain {
    FailureDomain::new("a").expect("a name")
}

fn key(position: usize) -> GroupKey {
    GroupKey { domain: own_domain(), position }
}

fn selector_with(own: u8, others: impl IntoIterator<Item = u8>) -> RelaySelector {
    let mut selector = RelaySelector::new(RelaySettings::default(), entry(own), own_domain());
    let domain = own_domain();
    let peers = peers(others);
    selector.set_peers(peers.iter().map(|peer| (&domain, peer)));
    selector
}

fn selector(own: u8) -> RelaySelector {
    selector_with(own, 0..ENTRIES)
}

/// All targets are in the failure domain of the entries.
struct OnePlace(FailureDomain);

impl TargetPlaces for OnePlace {
    fn domains_of(&self, _shard: &ServiceId) -> BTreeSet<&FailureDomain> {
        BTreeSet::from([&self.0])
    }

    fn has_entries(&self, _domain: &FailureDomain) -> bool {
        true
    }
}

fn divide(settings: &RelaySettings, list: &[ServiceId]) -> Vec<ShardGroup> {
    divide_shards(settings, &entry(0), &own_domain(), list, &OnePlace(own_domain()))
}

#[test]
fn every_shard_is_in_one_group_of_bounded_size() {
    let settings = RelaySettings::default();
    let groups = divide(&settings, &shards(SHARDS));
    assert!(groups.iter().all(|group| group.shards.len() <= settings.group_shards));
    let mut all: Vec<ShardIndex> = groups.into_iter().flat_map(|group| group.shards).collect();
    all.sort_unstable();
    assert_eq!(all, (0..SHARDS).map(ShardIndex).collect::<Vec<_>>());
}

#[test]
fn a_narrow_route_is_not_divided() {
    assert!(divide(&RelaySettings::default(), &shards(30)).is_empty());
}

#[test]
fn the_order_of_the_list_does_not_change_the_groups() {
    let settings = RelaySettings::default();
    let forward = shards(SHARDS);
    let backward: Vec<ServiceId> = forward.iter().rev().cloned().collect();
    let names = |list: &[ServiceId]| {
        let name_of = |shard: &ShardIndex| list[shard.0].clone();
        let groups = divide(&settings, list).into_iter();
        groups
            .map(|group| (group.key, group.shards.iter().map(name_of).collect::<Vec<_>>()))
            .collect::<Vec<_>>()
    };
    assert_eq!(names(&forward), names(&backward));
}

#[test]
fn all_entries_assign_a_group_to_the_same_few_entries() {
    let groups = divide(&RelaySettings::default(), &shards(SHARDS));
    let mut used: BTreeMap<GroupKey, Vec<EntryId>> = BTreeMap::new();
    for own in 0..ENTRIES {
        let mut selector = selector(own);
        for group in &groups {
            for draw in [0.1, 0.9] {
                let assignment = selector.assign(at(0), &group.key, draw);
                let assigned = assignment.map_or(entry(own), |assignment| assignment.peer.entry);
                used.entry(group.key.clone()).or_default().push(assigned);
            }
        }
    }
    for entries in used.values_mut() {
        entries.sort_unstable();
        entries.dedup();
        assert_eq!(entries.len(), RelaySettings::default().choices);
    }
}

#[test]
fn an_entry_that_timed_out_is_replaced_by_the_next_one_for_a_while() {
    let key = key(0);
    let own = (0..ENTRIES).find(|own| selector(*own).assign(at(0), &key, 0.0).is_some());
    let mut selector = selector(own.expect("an entry that is not the first one"));
    let first = selector.assign(at(0), &key, 0.0).expect("an assignment");
    assert_eq!(first.mode, RelayMode::Full);
    let probed = RelayAssignment { mode: RelayMode::Probing, ..first.clone() };
    let entry = &first.peer.entry;
    let is_elsewhere =
        |found: Option<RelayAssignment>| found.is_none_or(|relay| relay.peer.entry != *entry);
    selector.note_timeout(at(0), entry);
    assert!(is_elsewhere(selector.assign(at(1), &key, 0.0)));
    assert_eq!(selector.assign(at(301), &key, 0.0), Some(probed));
    selector.note_timeout(at(301), entry);
    assert!(is_elsewhere(selector.assign(at(800), &key, 0.0)));
    selector.note_answer(entry);
    assert_eq!(selector.assign(at(800), &key, 0.0), Some(first));
}

#[test]
fn both_entries_together_never_exceed_the_attempts_on_a_shard() {
    for max_attempts in 2..5 {
        let own_attempt = 1;
        assert_eq!(RelayMode::Probing.attempts(max_attempts) + own_attempt, max_attempts);
        assert_eq!(RelayMode::Full.attempts(max_attempts), max_attempts);
    }
    assert!(RelayMode::Full.grace() > RelayMode::Probing.grace() * 4);
}

#[test]
fn without_other_entries_this_entry_sends_all_groups() {
    let mut selector = selector_with(0, 0..1);
    assert_eq!(selector.assign(at(0), &key(0), 0.0), None);
}

/// Guards against a small deployment with many shards, in which the entry with a request sends to all of them itself.
#[test]
fn three_entries_share_the_groups() {
    let mut selector = selector_with(0, 0..3);
    let groups = divide(&RelaySettings::default(), &shards(SHARDS));
    let mut assign =
        |group: &ShardGroup| selector.assign(at(0), &group.key, 0.0).map(|found| found.peer.entry);
    let used: BTreeSet<Option<EntryId>> = groups.iter().map(&mut assign).collect();
    assert_eq!(used.len(), 3, "{used:?}");
}

/// Guards against entries that are forgotten with one control host, and against back-offs that outlive their entry.
#[test]
fn an_entry_is_a_peer_while_it_is_in_the_list_of_open_entries() {
    let domain = own_domain();
    let open = |number| OpenEntry {
        caller_address: host(number),
        domain: domain.clone(),
        relay: Some(RelayPeer { entry: entry(number), address: host(number) }),
    };
    let opened = |numbers: std::ops::Range<u8>| EntryListChange {
        opened: numbers.map(open).collect(),
        closed: Vec::new(),
    };
    let mut list = EntryList::default();
    list.apply(host(200), opened(0..ENTRIES));
    list.apply(host(201), opened(0..2));
    let mut selector = RelaySelector::new(RelaySettings::default(), entry(0), own_domain());
    assert!(selector.set_peers(list.relays()));
    let assigned = |selector: &mut RelaySelector| -> BTreeSet<EntryId> {
        let keys = (0..40).map(key);
        keys.filter_map(|key| Some(selector.assign(at(0), &key, 0.0)?.peer.entry)).collect()
    };
    assert!(assigned(&mut selector).len() > 2);
    list.remove_host(host(200));
    assert!(selector.set_peers(list.relays()));
    assert_eq!(assigned(&mut selector), BTreeSet::from([entry(1)]));
    list.remove_host(host(201));
    assert!(!selector.set_peers(list.relays()), "without a control link the known peers are kept");
    assert_eq!(assigned(&mut selector), BTreeSet::from([entry(1)]));
}

#[test]
fn second_attempts_begin_only_after_a_grant() {
    let mut gate = RetryGate::default();
    assert_eq!(gate.verdict(at(20)), RetryVerdict::Ask);
    assert_eq!(gate.verdict(at(25)), RetryVerdict::Wait);
    gate.grant();
    assert_eq!(gate.verdict(at(26)), RetryVerdict::Allowed);
    assert_eq!(gate.verdict(at(900)), RetryVerdict::Allowed, "a grant is not taken back");
    let mut late = RetryGate::default();
    late.note_batch(at(20));
    assert_eq!(late.verdict(at(21)), RetryVerdict::Wait, "the batch has asked already");
    assert_eq!(late.verdict(at(200)), RetryVerdict::Refused, "without a grant there is none");
}

/// When a second attempt is allowed at the entry that sends for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryRule {
    /// As soon as the first batch was sent.
    WithFirstBatch,
    /// When the requesting entry has received that batch.
    AfterGrant,
}

/// Returns the most attempts on one shard over all orders of these steps of both entries, with messages that arrive late
/// or never: the other entry sends, asks, and sends again if it may; the requesting one receives, or gives the other up
/// and sends itself.
fn most_attempts(rule: RetryRule) -> u32 {
    let mut most = 0;
    // Times of the relaying entry's batch and of its arrival, and when the requesting entry gives up or loses the link.
    for (sent, arrives, gives_up) in (0..12)
        .flat_map(|sent| (sent..14).map(move |arrives| (sent, arrives)))
        .flat_map(|(sent, arrives)| (0..14).map(move |gives_up| (sent, arrives, gives_up)))
    {
        for (grant_delay, is_cancelled) in (0..4).flat_map(|delay| [(delay, true), (delay, false)])
        {
            let received = arrives < gives_up;
            let own_attempt = u32::from(!received);
            let mut gate = RetryGate::default();
            let mut second = 0;
            for now in 0..20 {
                if now == sent {
                    gate.note_batch(at(now));
                }
                if rule == RetryRule::AfterGrant && received && now == arrives + grant_delay {
                    gate.grant();
                }
                let allowed = match rule {
                    RetryRule::WithFirstBatch => now >= sent,
                    RetryRule::AfterGrant => gate.verdict(at(now)) == RetryVerdict::Allowed,
                };
                // A cancellation may arrive with the give-up or never.
                let is_running = !(is_cancelled && !received && now >= gives_up);
                second |= u32::from(allowed && is_running);
            }
            most = most.max(1 + second + own_attempt);
        }
    }
    most
}

/// Guards against three attempts on a shard when two are allowed: two by an entry whose batch is lost or late, and one by
/// the entry that waited for it.
#[test]
fn both_entries_together_keep_to_the_most_attempts() {
    assert_eq!(most_attempts(RetryRule::WithFirstBatch), 3, "the check finds the older fault");
    assert_eq!(most_attempts(RetryRule::AfterGrant), 2);
}

/// Guards against a postponed attempt that is forgotten or is made at once.
#[test]
fn a_postponed_attempt_is_made_later() {
    let mut machine = machine();
    for shard in 0..3 {
        machine.note_sent(at(0), ShardIndex(shard));
    }
    machine.note_failed(ShardIndex(1), true);
    let retry = FanoutStep::Launch(ShardIndex(1), LaunchReason::Retry);
    assert_eq!(machine.next_step(at(1)), retry);
    machine.postpone_attempt(at(1), ShardIndex(1), Duration::from_millis(2));
    assert_eq!(machine.next_step(at(1)), FanoutStep::Wait(at(3)));
    assert_eq!(machine.next_step(at(3)), retry);
    machine.note_sent(at(3), ShardIndex(1));
    let hedge = FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge);
    assert_eq!(machine.next_step(at(10)), hedge);
    machine.postpone_attempt(at(10), ShardIndex(0), Duration::from_millis(2));
    machine.postpone_attempt(at(10), ShardIndex(2), Duration::from_millis(2));
    assert_eq!(machine.next_step(at(10)), FanoutStep::Wait(at(12)));
    assert_eq!(machine.next_step(at(12)), hedge);
}

fn machine() -> FanoutMachine {
    FanoutMachine::new(FanoutSettings {
        shards: 3,
        min_parts: 2,
        max_attempts: 2,
        answer_by: at(60),
        give_up_at: at(800),
        hedge_after: Duration::from_millis(10),
    })
}

#[test]
fn relayed_shards_are_neither_sent_nor_hedged_here() {
    let mut machine = machine();
    (0..3).for_each(|shard| machine.note_relayed(ShardIndex(shard)));
    assert_eq!(machine.next_step(at(0)), FanoutStep::Wait(at(800)));
    assert_eq!(machine.next_step(at(30)), FanoutStep::Wait(at(800)));
    (0..2).for_each(|shard| assert!(machine.note_part(ShardIndex(shard))));
    assert_eq!(machine.next_step(at(31)), FanoutStep::Wait(at(60)));
    assert_eq!(machine.next_step(at(60)), FanoutStep::Answer);
}

#[test]
fn shards_of_an_entry_that_timed_out_are_sent_to_once_more() {
    let mut machine = machine();
    (0..3).for_each(|shard| machine.note_relayed(ShardIndex(shard)));
    machine.note_failed(ShardIndex(1), true);
    let retry = FanoutStep::Launch(ShardIndex(1), LaunchReason::Retry);
    assert_eq!(machine.next_step(at(20)), retry);
    machine.note_sent(at(20), ShardIndex(1));
    assert_eq!(machine.next_step(at(40)), FanoutStep::Wait(at(800)), "no third attempt is made");
}

#[test]
fn parts_that_another_entry_abandoned_do_not_delay_the_answer() {
    let mut machine = machine();
    (0..3).for_each(|shard| machine.note_relayed(ShardIndex(shard)));
    (0..2).for_each(|shard| assert!(machine.note_part(ShardIndex(shard))));
    machine.note_abandoned(ShardIndex(2));
    assert_eq!(machine.next_step(at(5)), FanoutStep::Answer);
}

/// Guards against groups of former shards after a change of the configuration, whose indexes do not fit the new ones.
#[test]
fn cached_groups_belong_to_their_list_of_shards() {
    let settings = RelaySettings { min_shards: 4, group_shards: 3, ..RelaySettings::default() };
    let (former, current): (Arc<[ServiceId]>, Arc<[ServiceId]>) =
        (shards(12).into(), shards(6).into());
    let mut cache = GroupCache::default();
    for list in [&former, &current, &former, &current, &current] {
        let groups = cache.groups(list, |list| divide(&settings, list));
        let count: usize = groups.iter().map(|group| group.shards.len()).sum();
        assert_eq!(count, list.len());
        assert!(groups.iter().flat_map(|group| &group.shards).all(|shard| shard.0 < list.len()));
    }
}
