//! Tests that all entries together keep to the quotas of accounts and refuse little below them, without a network.

mod judge;
mod model;

use std::time::Duration;

use hickoryspan_core::gateway::documents::accounts::AccountQuota;
use hickoryspan_core::types::RequestRate;
use judge::Verdict;
use model::{AccountPlan, Fault, Model, Scenario, TimedFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

/// Quota as a multiple of the usual rate.
const QUOTA_FACTOR: f64 = 1.6;
/// What a hot account sends, as a multiple of its usual rate.
const HOT_FACTOR: f64 = 7.5;
const HOT: std::ops::Range<Duration> = Duration::from_secs(6)..Duration::from_millis(12_500);
/// Number of accounts that become hot.
const HOT_ACCOUNTS: usize = 2;
const LENGTH: Duration = Duration::from_secs(20);

fn quota(rate: f64, burst_seconds: f64) -> AccountQuota {
    AccountQuota { rate: RequestRate(rate), burst: rate * burst_seconds + 1.0 }
}

/// Accounts whose rates fall as in a Zipf distribution; the hot ones are the first.
fn skewed_accounts(generator: &mut ChaCha12Rng, largest: f64, hot: usize) -> Vec<AccountPlan> {
    let burst_seconds = generator.random_range(0.5..3.0);
    let plan = |index: usize| {
        let usual_rate = largest / ((index + 1) as f64).powf(1.2);
        AccountPlan {
            usual_rate,
            hot: (index < hot).then_some((HOT, HOT_FACTOR)),
            quotas: vec![(Duration::ZERO, quota(usual_rate * QUOTA_FACTOR, burst_seconds))],
        }
    };
    (0..16).map(plan).collect()
}

fn draw_scenario(seed: u64, hot: usize) -> Scenario {
    let mut generator = ChaCha12Rng::seed_from_u64(seed ^ 0x5eed);
    let entries = if seed.is_multiple_of(3) { 81 } else { generator.random_range(5..=300) };
    let largest = if seed.is_multiple_of(3) { 10.0 } else { generator.random_range(1.0..60.0) };
    let accounts = skewed_accounts(&mut generator, largest, hot);
    Scenario {
        entries,
        hosts: 3,
        accounts,
        faults: Vec::new(),
        length: LENGTH,
        plant_lost_reports: false,
    }
}

/// Requests that ran or were refused below the limit.
#[derive(Default)]
struct Counts {
    within: usize,
    refused_below: usize,
}

impl Counts {
    fn add(&mut self, verdict: &Verdict) {
        self.within += verdict.within;
        self.refused_below += verdict.refused_below;
    }

    fn refused_part(&self) -> f64 {
        self.refused_below as f64 / self.within as f64
    }
}

/// The findings on all accounts of several scenarios.
#[derive(Default)]
struct Totals {
    hot: Counts,
    others: Counts,
    excess: f64,
    most_used: f64,
    // The seed with the largest excess.
    worst_seed: u64,
}

impl Totals {
    fn add(&mut self, seed: u64, verdicts: &[Verdict]) {
        for (account, verdict) in verdicts.iter().enumerate() {
            let counts = if account < HOT_ACCOUNTS { &mut self.hot } else { &mut self.others };
            counts.add(verdict);
            self.most_used = self.most_used.max(verdict.most_used);
            if verdict.excess > self.excess {
                self.excess = verdict.excess;
                self.worst_seed = seed;
            }
        }
    }
}

fn play(seeds: std::ops::Range<u64>, scenario: impl Fn(u64) -> Scenario) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let verdicts = Model::new(scenario(seed), seed).run();
        totals.add(seed, &verdicts);
    }
    // Shown with `--nocapture`.
    println!(
        "{}: refused below the limit {:.3} % of {} (first two accounts), {:.3} % of {} (others), \
         most in a window {:.2} of rate and burst, excess {:.1} (seed {})",
        std::thread::current().name().unwrap_or_default(),
        totals.hot.refused_part() * 100.0,
        totals.hot.within,
        totals.others.refused_part() * 100.0,
        totals.others.within,
        totals.most_used,
        totals.excess,
        totals.worst_seed
    );
    totals
}

/// Guards against refusals of callers that keep to their rate.
#[test]
fn steady_accounts_are_not_refused() {
    let totals = play(0..100, |seed| draw_scenario(seed, 0));
    assert_eq!(totals.excess, 0.0);
    assert!(totals.hot.refused_part() < 0.001);
    assert!(totals.others.refused_part() < 0.001);
}

/// Guards against entries that each let a hot account send.
#[test]
fn hot_accounts_are_held_to_their_limit() {
    let totals = play(1_000..1_150, |seed| draw_scenario(seed, HOT_ACCOUNTS));
    assert_eq!(totals.excess, 0.0);
    assert!(totals.hot.refused_part() < 0.01);
    assert!(totals.others.refused_part() < 0.001);
}

/// Guards against a judge that finds nothing: entries whose reports are lost admit too much.
#[test]
fn the_judge_finds_entries_whose_reports_are_lost() {
    let planted = |seed| Scenario { plant_lost_reports: true, ..draw_scenario(seed, HOT_ACCOUNTS) };
    let totals = play(0..10, planted);
    assert!(totals.excess > 10.0);
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    CutSomeEntries,
    CutAllEntries,
    RestartSomeEntries,
    RestartAllEntries,
    SlowEntries,
    LoseOneHost,
    LoseAllHosts,
    FreezeOneHost,
    Split,
    RestartEverything,
}

fn draw_fault(
    generator: &mut ChaCha12Rng,
    kind: FaultKind,
    scenario: &Scenario,
) -> Vec<TimedFault> {
    let begin = Duration::from_secs_f64(generator.random_range(4.0..11.0));
    let during = begin..begin + Duration::from_secs_f64(generator.random_range(0.5..6.0));
    let (entries, hosts) = (scenario.entries, scenario.hosts);
    let some = 0..(entries / generator.random_range(4..10)).max(1);
    let one = generator.random_range(0..hosts);
    let fault = match kind {
        FaultKind::CutSomeEntries => Fault::Cut { entries: some, hosts: 0..hosts },
        FaultKind::CutAllEntries => Fault::Cut { entries: 0..entries, hosts: 0..hosts },
        FaultKind::RestartSomeEntries => Fault::RestartEntries(some),
        FaultKind::RestartAllEntries => Fault::RestartEntries(0..entries),
        FaultKind::SlowEntries => Fault::SlowEntries(some, Duration::from_millis(40)),
        FaultKind::LoseOneHost => {
            // It may be the leader: the others elect one.
            let election = during.start..during.start + Duration::from_millis(800);
            let election = TimedFault { during: election, fault: Fault::Isolate(0..hosts) };
            return vec![election, TimedFault { during, fault: Fault::LoseHosts(one..one + 1) }];
        }
        FaultKind::LoseAllHosts => Fault::LoseHosts(0..hosts),
        FaultKind::FreezeOneHost => Fault::Cut { entries: 0..entries, hosts: one..one + 1 },
        FaultKind::Split => {
            // One host is on the side without a majority, with half of the entries.
            let cut = Fault::Cut { entries: 0..entries / 2, hosts: 1..hosts };
            let other = Fault::Cut { entries: entries / 2..entries, hosts: 0..1 };
            let faults = [cut, other, Fault::Isolate(0..1)];
            let timed = |fault| TimedFault { during: during.clone(), fault };
            return faults.into_iter().map(timed).collect();
        }
        FaultKind::RestartEverything => {
            // Processes are back within a second, and control hosts then elect a leader.
            let back = begin + Duration::from_secs_f64(generator.random_range(0.1..1.0));
            let led = back + Duration::from_secs_f64(generator.random_range(0.4..1.0));
            let started = back + Duration::from_secs_f64(generator.random_range(0.0..0.5));
            return vec![
                TimedFault { during: begin..back, fault: Fault::LoseHosts(0..hosts) },
                TimedFault { during: begin..led, fault: Fault::Isolate(0..hosts) },
                TimedFault { during: started..led, fault: Fault::RestartEntries(0..entries) },
            ];
        }
    };
    vec![TimedFault { during, fault }]
}

/// Guards against a failure that lets a hot account exceed its quota, or that costs callers more than it must.
#[rstest]
#[case(FaultKind::CutSomeEntries, 0.03, 0.02)]
#[case(FaultKind::CutAllEntries, 0.2, 0.12)]
#[case(FaultKind::RestartSomeEntries, 0.01, 0.002)]
#[case(FaultKind::RestartAllEntries, 0.03, 0.02)]
#[case(FaultKind::SlowEntries, 0.03, 0.002)]
#[case(FaultKind::LoseOneHost, 0.06, 0.03)]
#[case(FaultKind::LoseAllHosts, 0.25, 0.15)]
#[case(FaultKind::FreezeOneHost, 0.03, 0.002)]
#[case(FaultKind::Split, 0.1, 0.06)]
// All are back within 2.5 s of the 20 s that are played.
#[case(FaultKind::RestartEverything, 0.125, 0.125)]
fn quotas_hold_through_a_failure(
    #[case] kind: FaultKind,
    #[case] refused_hot: f64,
    #[case] refused_others: f64,
) {
    let first = 2_000 + 100 * kind as u64;
    let totals = play(first..first + 70, |seed| {
        let mut scenario = draw_scenario(seed, HOT_ACCOUNTS);
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        scenario.faults = draw_fault(&mut generator, kind, &scenario);
        scenario
    });
    assert_eq!(totals.excess, 0.0);
    assert!(totals.hot.refused_part() < refused_hot);
    assert!(totals.others.refused_part() < refused_others);
}

/// Guards against a changed limit that binds too late, or that refuses what it still allows.
#[rstest]
#[case(0.2)]
#[case(2.0)]
fn a_changed_limit_is_kept(#[case] factor: f64) {
    let first = 4_000 + (factor * 10.0) as u64 * 10;
    let totals = play(first..first + 60, |seed| {
        let mut scenario = draw_scenario(seed, HOT_ACCOUNTS);
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let at = Duration::from_secs_f64(generator.random_range(3.0..12.0));
        for plan in &mut scenario.accounts[..4] {
            let before = plan.quotas[0].1;
            let rate = RequestRate(before.rate.0 * factor);
            plan.quotas.push((at, AccountQuota { rate, burst: before.burst * factor }));
        }
        scenario
    });
    assert_eq!(totals.excess, 0.0);
    assert!(totals.hot.refused_part() < 0.01);
    assert!(totals.others.refused_part() < 0.001);
}
