//! Tests in simulated time that hedges shorten the tail latency within their budget.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use hickoryspan_core::entry::engine::EngineSettings;
use hickoryspan_core::entry::interface::EntryEvent;
use hickoryspan_core::types::{AttemptId, CoverageShare, MonotonicTime};
use support::*;

const SHARDS: u32 = 40;
const QUERIES: usize = 2000;

#[derive(Debug)]
struct TailStatistics {
    median: Duration,
    tail: Duration,
    extra_share: f64,
    complete_share: f64,
}

/// Runs one query after the other. One sub-request in 100 takes 60 ms instead of 3 to 8 ms.
fn run(settings: EngineSettings) -> TailStatistics {
    let mut generator = ChaCha12Rng::seed_from_u64(21);
    let mut harness = EngineHarness::with_settings(even_view(SHARDS, 2), settings);
    let mut answers: BTreeSet<(MonotonicTime, AttemptId)> = BTreeSet::new();
    let (mut latencies, mut complete) = (Vec::new(), 0);
    for _ in 0..QUERIES {
        let started = harness.now;
        let token = harness.search_all();
        loop {
            for attempt in std::mem::take(&mut harness.new_attempts) {
                let is_slow = generator.random_range(0..100) == 0;
                let micros = if is_slow { 60_000 } else { generator.random_range(3000..8000) };
                let at = harness.now + Duration::from_micros(micros);
                answers.insert((at, attempt));
            }
            if let Some(result) = harness.result(token) {
                complete += usize::from(result.coverage == CoverageShare::FULL);
                break;
            }
            let next = answers.first().copied();
            let is_due = |at: &MonotonicTime| next.is_none_or(|(answer, _)| *at <= answer);
            let wakeup = harness.engine.next_wakeup().filter(is_due);
            harness.now = wakeup.or(next.map(|(at, _)| at)).expect("a next event").max(harness.now);
            match (wakeup, next) {
                (None, Some(key)) => {
                    answers.remove(&key);
                    harness.done(key.1);
                }
                _ => harness.event(EntryEvent::Tick),
            }
        }
        latencies.push(harness.now.since(started));
        harness.reports.clear();
        harness.now = harness.now + ms(2);
    }
    latencies.sort_unstable();
    TailStatistics {
        median: latencies[QUERIES / 2],
        tail: latencies[QUERIES * 99 / 100],
        extra_share: f64::from(harness.extra) / (QUERIES as f64 * f64::from(SHARDS)),
        complete_share: complete as f64 / QUERIES as f64,
    }
}

#[test]
fn hedging_shortens_the_tail_within_its_budget() {
    let hedged = run(EngineSettings::default());
    let mut settings = EngineSettings::default();
    settings.hedging.enabled = false;
    let plain = run(settings);
    println!("hedged {hedged:?}");
    println!("plain {plain:?}");
    assert_eq!(hedged.complete_share, 1.0);
    assert!(hedged.tail * 2 < plain.tail);
    assert!(hedged.median * 2 < plain.median * 3);
    assert!(hedged.extra_share <= 0.051);
}
