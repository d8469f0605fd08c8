//! Tests that the extra requests to one service stay within the budget that all entries share.

use std::time::Duration;

use hickoryspan_core::gateway::admission::budget::{BudgetSettings, EntryCount, RetryBudget};
use hickoryspan_core::types::MonotonicTime;
use rstest::rstest;

const ENTRIES: u32 = 7;

fn settings() -> BudgetSettings {
    BudgetSettings {
        window: Duration::from_secs(10),
        ratio: 0.2,
        fixed: 54.0,
        ..BudgetSettings::default()
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

#[test]
fn every_window_stays_within_the_shared_bound() {
    let mut budget = RetryBudget::new(at(0), settings());
    // 13 requests per second, each of which asks for three extra requests.
    let mut extras = Vec::new();
    for millis in (0..60_000).step_by(77) {
        budget.note_request(at(millis));
        for _ in 0..3 {
            if budget.try_take(at(millis), ENTRIES) {
                extras.push(millis);
            }
        }
    }
    let requests = 10_000 / 77 + 1;
    let bound = 0.2 * f64::from(requests) + 54.0 / f64::from(ENTRIES);
    for start in (0..50_000).step_by(100) {
        let inside = extras.iter().filter(|time| (start..start + 10_000).contains(*time)).count();
        assert!(inside as f64 <= bound, "{inside} in the window from {start} ms, bound {bound}");
    }
    assert!(extras.len() > 50, "the budget must also be usable: {}", extras.len());
}

#[test]
fn a_restart_does_not_give_the_whole_fixed_part_again() {
    let mut budget = RetryBudget::new(at(0), settings());
    let taken = (0..100).filter(|_| budget.try_take(at(0), ENTRIES)).count();
    assert!(taken as f64 <= 54.0 / f64::from(ENTRIES) / 2.0, "{taken}");
}

/// When an entry is down, in milliseconds.
struct Outage {
    entry: usize,
    from: u64,
    to: u64,
}

/// Returns the times of all requests and of all extra requests of a service, which asks for as many as it may have.
fn simulate(outages: &[Outage], length_millis: u64) -> (Vec<u64>, Vec<u64>) {
    let is_down = |entry: usize, millis: u64| {
        let during = |outage: &&Outage| (outage.from..outage.to).contains(&millis);
        outages.iter().filter(|outage| outage.entry == entry).any(|outage| during(&outage))
    };
    let mut budgets = vec![RetryBudget::new(at(0), settings()); ENTRIES as usize];
    let mut counts = vec![EntryCount::default(); ENTRIES as usize];
    let (mut requests, mut extras) = (Vec::new(), Vec::new());
    for millis in (0..length_millis).step_by(50) {
        let up = (0..budgets.len()).filter(|entry| !is_down(*entry, millis)).count();
        for (entry, budget) in budgets.iter_mut().enumerate() {
            if is_down(entry, millis) {
                *budget = RetryBudget::new(at(millis), settings());
                counts[entry] = EntryCount::default();
                continue;
            }
            counts[entry].note(at(millis), up as u32);
            let entries = counts[entry].highest(at(millis), settings().window);
            if (millis / 50 + entry as u64).is_multiple_of(7) {
                budget.note_request(at(millis));
                requests.push(millis);
            }
            while budget.try_take(at(millis), entries) {
                extras.push(millis);
            }
        }
    }
    (requests, extras)
}

fn assert_within_bound(requests: &[u64], extras: &[u64], length_millis: u64) {
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + 10_000).contains(*time)).count() as f64
    };
    for start in (10_000..length_millis - 10_000).step_by(100) {
        let counted = [start, start - 5_000, start - 10_000].map(|from| count(requests, from));
        let bound = 0.2 * counted.into_iter().fold(0.0, f64::max) + 54.0;
        let inside = count(extras, start);
        assert!(inside <= bound, "{inside} extra requests from {start} ms, bound {bound}");
    }
}

/// Guards against entries whose shares of the fixed part add up to more than the whole while some of them restart or are
/// gone.
#[rstest]
#[case::undisturbed(vec![])]
#[case::one_leaves(vec![Outage { entry: 0, from: 23_000, to: 60_000 }])]
#[case::most_restart_at_once((0..5).map(|entry| Outage { entry, from: 24_000, to: 25_000 }).collect())]
#[case::rolling((0..7).map(|entry| {
    let from = 22_000 + entry as u64 * 1_300;
    Outage { entry, from, to: from + 1_000 }
}).collect())]
#[case::twice(vec![
    Outage { entry: 0, from: 22_000, to: 23_000 },
    Outage { entry: 0, from: 26_000, to: 27_000 },
    Outage { entry: 1, from: 22_000, to: 23_000 },
    Outage { entry: 1, from: 26_000, to: 27_000 },
])]
fn all_entries_stay_within_the_bound_while_some_restart(#[case] outages: Vec<Outage>) {
    let (requests, extras) = simulate(&outages, 60_000);
    assert_within_bound(&requests, &extras, 60_000);
    assert!(extras.len() > 200, "the budget must also be usable: {}", extras.len());
}

/// Guards against a share that grows while a lost entry's extra requests still count.
#[test]
fn the_highest_count_of_the_last_window_counts() {
    let window = Duration::from_secs(10);
    let mut count = EntryCount::default();
    assert_eq!(count.highest(at(0), window), 1);
    count.note(at(0), 7);
    count.note(at(20_000), 6);
    assert_eq!(count.highest(at(29_000), window), 7);
    count.note(at(29_500), 5);
    assert_eq!(count.highest(at(30_100), window), 6);
    assert_eq!(count.highest(at(40_000), window), 5);
    count.note(at(41_000), 7);
    assert_eq!(count.highest(at(41_000), window), 7);
}
