//! Tests that the extra requests to one service stay within the budget that all entries share.

use std::time::Duration;

use hickoryspan_core::gateway::budget::{BudgetSettings, RetryBudget};
use hickoryspan_core::types::MonotonicTime;

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
