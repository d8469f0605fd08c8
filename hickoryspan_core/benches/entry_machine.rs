//! Measures the cost of one search in the entry machine, by the number of searches in flight and of
//! unsettled orders.
//!
//! The engine is scripted, so that only the work of the machine itself is measured. Compare only
//! figures of the same run.

#[path = "../tests/entry_support/mod.rs"]
mod entry_support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

use entry_support::*;
use hickoryspan_core::entry::admission::AdmissionSettings;

/// Returns a ready machine that admits everything.
fn open_harness() -> EntryHarness {
    let admission = AdmissionSettings {
        initial_limit: 1e6,
        max_limit: 1e6,
        entry_limit: 1_000_000,
        ..AdmissionSettings::default()
    };
    let settings = EntrySettings { admission, ..EntrySettings::default() };
    let mut harness = EntryHarness::with_settings(1, settings, sheet(1e9, 1e9));
    harness.advance(millis(2000));
    harness
}

/// Runs one search from arrival to response. Reads the next wake-up time after each event, as a
/// driver does.
fn run_search(harness: &mut EntryHarness) {
    let token = harness.search();
    harness.machine.next_wakeup();
    harness.engine.script().searches.clear();
    harness.report(EngineReport::Search(token, search_result(1.0, &[token.0])));
    harness.machine.next_wakeup();
    harness.actions.clear();
}

fn searches_in_flight(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("search_by_searches_in_flight");
    for count in [0, 100, 1000] {
        let mut harness = open_harness();
        for _ in 0..count {
            harness.search();
        }
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| run_search(&mut harness));
        });
    }
    group.finish();
}

fn unsettled_orders(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("search_by_unsettled_orders");
    for count in [0, 100, 1000] {
        let mut harness = open_harness();
        for index in 0..count {
            let token = harness.order(&format!("order-{index}"));
            let verdict = ClaimVerdict::Granted;
            harness.control(ControlMessage::ClaimAnswer { token, verdict });
        }
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| run_search(&mut harness));
        });
    }
    group.finish();
}

criterion_group!(benches, searches_in_flight, unsettled_orders);
criterion_main!(benches);
