//! Tests how overload is divided between client accounts, without a network: entries that each see a few requests of
//! many accounts, while the queues of their targets have them refuse a part of all requests. Requests come at random
//! times to random entries; the policy before, which refuses the same part of every account, decides about the same
//! requests with the same draws.

use std::ops::{AddAssign, Range};
use std::time::Duration;

use hickoryspan_core::gateway::admission::fair_share::{
    AccountRequest, FairShareSettings, FairShares,
};
use hickoryspan_core::gateway::admission::overload::shed_fraction;
use hickoryspan_core::types::{AccountId, CostUnits, MonotonicTime, ServiceId, ShareWeight};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

const SEEDS: Range<u64> = 1..21;
/// Priority of the route.
const RANK: u32 = 1;
/// Queued requests per slot by which less than half of all requests is refused.
const LONG_QUEUE: f64 = 1.6;
/// Time before the surge and the queues, in seconds.
const CALM_TIME: f64 = 40.0;
/// A large account and a small one of [`mixed_senders`].
const LARGE: usize = 0;
const SMALL: usize = 5;

/// An account and what its callers send to all entries together.
#[derive(Clone, Debug)]
struct Sender {
    account: AccountId,
    rate: f64,
    weight: ShareWeight,
    cost: CostUnits,
}

/// One account that sends many times its usual while targets have queues.
#[derive(Clone, Copy, Debug)]
struct Surge {
    sender: usize,
    times: f64,
}

#[derive(Clone, Debug)]
struct Load {
    entries: usize,
    senders: Vec<Sender>,
    surge: Option<Surge>,
    /// Time with queues, in seconds.
    overload: f64,
    /// Queued requests per slot at the targets meanwhile.
    queue: f64,
}

impl Load {
    fn rate(&self, sender: usize, is_overload: bool) -> f64 {
        let surge = self.surge.filter(|surge| is_overload && surge.sender == sender);
        self.senders[sender].rate * surge.map_or(1.0, |surge| surge.times)
    }
}

fn account(number: usize) -> AccountId {
    AccountId::new(format!("account-{number}")).expect("a name")
}

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).expect("a name")
}

fn senders(rates: impl IntoIterator<Item = f64>) -> Vec<Sender> {
    let to_sender = |(number, rate)| Sender {
        account: account(number),
        rate,
        weight: ShareWeight(1.0),
        cost: CostUnits(1.0),
    };
    rates.into_iter().enumerate().map(to_sender).collect()
}

/// Three large accounts and eighty small ones, with quotas in proportion to what they usually send.
fn mixed_senders(per_second: f64) -> Vec<Sender> {
    let large = std::iter::repeat_n(0.1 * per_second, 3);
    let small = std::iter::repeat_n(0.7 / 80.0 * per_second, 80);
    let weighted = |sender: Sender| Sender { weight: ShareWeight(sender.rate * 1.6), ..sender };
    senders(large.chain(small)).into_iter().map(weighted).collect()
}

/// What was sent and what each policy served of it, in cost.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: f64,
    before: f64,
    after: f64,
}

impl Tally {
    fn part_before(&self) -> f64 {
        self.before / self.sent
    }

    fn part_after(&self) -> f64 {
        self.after / self.sent
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.sent += other.sent;
        self.before += other.before;
        self.after += other.after;
    }
}

fn sum<'a>(tallies: impl IntoIterator<Item = &'a Tally>) -> Tally {
    tallies.into_iter().fold(Tally::default(), |mut sum, tally| {
        sum += *tally;
        sum
    })
}

/// Plays a load and adds what happened to each account under overload.
fn play(load: &Load, seed: u64, tallies: &mut [Tally]) {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mut entries = vec![FairShares::default(); load.entries];
    let service = service("shard-0");
    let mut time = 0.0;
    loop {
        let is_overload = time >= CALM_TIME;
        let rates: Vec<f64> =
            (0..load.senders.len()).map(|sender| load.rate(sender, is_overload)).collect();
        let total: f64 = rates.iter().sum();
        time -= (1.0 - generator.random::<f64>()).ln() / total;
        if time >= CALM_TIME + load.overload {
            return;
        }
        let mut pick = generator.random::<f64>() * total;
        let is_picked = |rate: &f64| {
            pick -= rate;
            pick < 0.0
        };
        let index = rates.iter().position(is_picked).unwrap_or(rates.len() - 1);
        let sender = &load.senders[index];
        let request = AccountRequest {
            service: &service,
            account: &sender.account,
            weight: sender.weight,
            cost: sender.cost,
        };
        let (entry, draw) = (generator.random_range(0..load.entries), generator.random::<f64>());
        let asked = if is_overload { shed_fraction(load.queue, RANK) } else { 0.0 };
        let now = MonotonicTime((time * 1e6) as u64);
        let refused = entries[entry].refused_part(now, &request, asked);
        let least = (0.5 * (1.0 - asked)).max(0.1);
        assert!(
            1.0 - refused > least - 1e-9,
            "{} gets {} of {asked}",
            sender.account,
            1.0 - refused
        );
        if is_overload {
            let cost = sender.cost.0;
            let served = |refused: f64| if draw < refused { 0.0 } else { cost };
            tallies[index] += Tally { sent: cost, before: served(asked), after: served(refused) };
        }
    }
}

fn play_all(load: &Load) -> Vec<Tally> {
    let mut tallies = vec![Tally::default(); load.senders.len()];
    for seed in SEEDS {
        play(load, seed, &mut tallies);
    }
    tallies
}

/// One account sends many times its usual. Guards against overload that all others pay for alike, also where an entry
/// sees less than a request a second of all accounts together, and against refusals beyond what the queues call for.
/// The last cases show what entries could do that knew of all requests.
#[rstest]
#[case::few_requests_large_account(81, 48.0, LARGE, 7.0, 6.0, 0.03)]
#[case::few_requests_small_account(81, 48.0, SMALL, 40.0, 6.0, 0.01)]
#[case::few_requests_for_longer(81, 48.0, LARGE, 7.0, 20.0, 0.08)]
#[case::more_requests_large_account(26, 200.0, LARGE, 7.0, 6.0, 0.12)]
#[case::more_requests_small_account(26, 200.0, SMALL, 40.0, 6.0, 0.07)]
#[case::all_requests_large_account(1, 48.0, LARGE, 7.0, 6.0, 0.12)]
#[case::all_requests_small_account(1, 48.0, SMALL, 40.0, 6.0, 0.07)]
fn an_account_that_surges_is_refused_before_the_others(
    #[case] entries: usize,
    #[case] per_second: f64,
    #[case] sender: usize,
    #[case] times: f64,
    #[case] overload: f64,
    #[case] least_gain: f64,
) {
    let senders = mixed_senders(per_second);
    let surge = Some(Surge { sender, times });
    let load = Load { entries, senders, surge, overload, queue: LONG_QUEUE };
    let tallies = play_all(&load);
    let surging = tallies[sender];
    let others = sum(tallies.iter().enumerate().filter(|(at, _)| *at != sender).map(|(_, t)| t));
    let all = sum(&tallies);
    println!(
        "{entries} entries, {per_second}/s, account {sender} times {times} for {overload} s, served before and after: \
         surging {:.3} {:.3}, others {:.3} {:.3}, all {:.3} {:.3}",
        surging.part_before(),
        surging.part_after(),
        others.part_before(),
        others.part_after(),
        all.part_before(),
        all.part_after(),
    );
    assert!(others.part_after() > others.part_before() + least_gain, "{others:?}");
    assert!(surging.part_after() < surging.part_before() - least_gain, "{surging:?}");
    assert!((all.part_after() - all.part_before()).abs() < 0.05, "{all:?}");
    assert!(surging.part_after() > 0.25 * all.part_after(), "{surging:?} {all:?}");
}

/// All accounts send more than there is room for, each as much as usual compared with the others. Guards against large
/// accounts that are refused for being large though their quotas say that they may be, and small ones for a single
/// request.
#[rstest]
#[case::few_requests(81, 48.0, 20.0)]
#[case::more_requests(26, 200.0, 6.0)]
fn accounts_that_keep_to_their_shares_are_served_alike(
    #[case] entries: usize,
    #[case] per_second: f64,
    #[case] overload: f64,
) {
    let senders = mixed_senders(per_second);
    let load = Load { entries, senders, surge: None, overload, queue: LONG_QUEUE };
    let tallies = play_all(&load);
    let (large, small) = (sum(&tallies[..3]), sum(&tallies[3..]));
    println!(
        "{entries} entries, {per_second}/s, no surge, served before and after: \
         large accounts {:.3} {:.3}, small {:.3} {:.3}",
        large.part_before(),
        large.part_after(),
        small.part_before(),
        small.part_after()
    );
    assert!((large.part_after() - small.part_after()).abs() < 0.1, "{large:?} {small:?}");
    assert!((sum(&tallies).part_after() - sum(&tallies).part_before()).abs() < 0.05);
}

/// One of twenty accounts of equal weight sends nine tenths of all requests. Guards against an account that is starved
/// because it asks for too much: it is served more than a quarter as often as all, at any length of the queues.
#[rstest]
fn no_account_is_starved(#[values(1.2, 1.6, 2.2, 4.0)] queue: f64) {
    let senders = senders(std::iter::once(90.0).chain(std::iter::repeat_n(10.0 / 19.0, 19)));
    let load = Load { entries: 5, senders, surge: None, overload: 10.0, queue };
    let tallies = play_all(&load);
    let all = sum(&tallies);
    for tally in &tallies {
        assert!(tally.part_after() > 0.25 * all.part_after(), "{tally:?} {all:?}");
    }
}

/// Two of twenty accounts send as many requests as the others together, one of them ten times as costly. Guards against
/// shares by the number of requests, which would refuse both alike.
#[test]
fn shares_go_by_cost() {
    let mut senders = senders(std::iter::repeat_n(9.0, 2).chain(std::iter::repeat_n(1.0, 18)));
    for sender in &mut senders[1..] {
        sender.cost = CostUnits(0.1);
    }
    let load = Load { entries: 5, senders, surge: None, overload: 20.0, queue: LONG_QUEUE };
    let tallies = play_all(&load);
    let (costly, cheap, others) = (tallies[0], tallies[1], sum(&tallies[2..]));
    assert!(costly.part_after() < cheap.part_after() - 0.1, "{costly:?} {cheap:?}");
    assert!(cheap.part_after() < others.part_after() + 0.02, "{cheap:?} {others:?}");
}

fn request<'a>(service: &'a ServiceId, account: &'a AccountId) -> AccountRequest<'a> {
    AccountRequest { service, account, weight: ShareWeight(1.0), cost: CostUnits(1.0) }
}

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(seconds * 1_000_000)
}

/// Guards against an entry that refuses more or less than asked while it knows nothing yet, and against refusals
/// without queues.
#[test]
fn an_entry_without_a_record_refuses_all_accounts_alike() {
    let mut shares = FairShares::default();
    let (shard, first) = (service("shard-0"), account(0));
    assert_eq!(shares.refused_part(at(0), &request(&shard, &first), 0.4), 0.4);
    for _ in 0..100 {
        assert_eq!(shares.refused_part(at(1), &request(&shard, &first), 0.0), 0.0);
    }
}

/// Guards against an account that pays on one service for what it asks of another.
#[test]
fn services_are_counted_apart() {
    let mut shares = FairShares::default();
    let (busy, idle) = (service("shard-0"), service("archive"));
    let (surging, other) = (account(0), account(1));
    for _ in 0..100 {
        shares.refused_part(at(1), &request(&busy, &surging), 0.0);
    }
    for account in [&surging, &other].repeat(5) {
        shares.refused_part(at(1), &request(&idle, account), 0.0);
    }
    let on_busy = shares.clone().refused_part(at(1), &request(&busy, &surging), 0.4);
    let on_idle = shares.clone().refused_part(at(1), &request(&idle, &surging), 0.4);
    let other_on_idle = shares.refused_part(at(1), &request(&idle, &other), 0.4);
    assert!((on_idle - other_on_idle).abs() < 1e-6, "{on_idle} {other_on_idle}");
    assert!(on_busy > 0.39, "{on_busy}");
}

/// Guards against an account that pays for a surge long ago, and against a record that fails after a long silence.
#[rstest]
#[case::minutes(300)]
#[case::days(10 * 24 * 3_600)]
fn a_surge_is_forgotten(#[case] pause: u64) {
    let mut shares = FairShares::new(FairShareSettings {
        half_life: Duration::from_secs(10),
        ..Default::default()
    });
    let shard = service("shard-0");
    let accounts: Vec<AccountId> = (0..10).map(account).collect();
    for _ in 0..1_000 {
        shares.refused_part(at(1), &request(&shard, &accounts[0]), 0.0);
    }
    for account in accounts.iter().cycle().take(100) {
        shares.refused_part(at(pause), &request(&shard, account), 0.0);
    }
    let part = |account| shares.clone().refused_part(at(pause), &request(&shard, account), 0.4);
    let (surged, other) = (part(&accounts[0]), part(&accounts[1]));
    assert!((surged - other).abs() < 0.01, "{surged} {other}");
    assert!((surged - 0.4).abs() < 0.05, "{surged}");
}
