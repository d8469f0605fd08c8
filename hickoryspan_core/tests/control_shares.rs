//! Tests of the demand pools: the grants for a caller never exceed its limit, also after a change of leader or sheet.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::time::Duration;

use control_support::sheet;
use hickoryspan_core::control::commands::EntryProcess;
use hickoryspan_core::control::shares::ShareAllocator;
use hickoryspan_core::messages::CallerDemand;
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

const LEASE: Duration = Duration::from_secs(2);
const GUARD: Duration = Duration::from_secs(1);

fn process(number: u64) -> EntryProcess {
    let entry = format!("e{number}").parse().unwrap();
    EntryProcess { entry, incarnation: IncarnationNumber(1) }
}

fn with_rate(rate: f64) -> SheetDocument {
    let mut document = (*sheet(1, "day")).clone();
    let tenant = document.tenants.values_mut().next().unwrap();
    tenant.callers.values_mut().for_each(|caller| caller.rate = CostRate(rate));
    document
}

struct Renewal {
    now: MonotonicTime,
    number: u64,
    demand: f64,
}

fn renew(allocator: &mut ShareAllocator, document: &SheetDocument, renewal: &Renewal) -> f64 {
    let Renewal { now, number, demand } = renewal;
    let demand = CallerDemand {
        tenant: "quindio".parse().unwrap(),
        caller: "desk".parse().unwrap(),
        rate: CostRate(*demand),
    };
    allocator.record_demand(*now, &process(*number), &[demand], Some(document));
    let grants = allocator.grant(*now, &process(*number), Some(document));
    grants.iter().map(|grant| grant.rate.0).sum()
}

// Overlapping grants could let a caller exceed its limit. With random demand, and a sheet that lowers the limit
// halfway, the unexpired grants must never exceed the larger pool, nor the smaller one once the old grants have expired.
#[test]
fn unexpired_grants_never_exceed_the_pool() {
    for seed in 0..50 {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let (high, low) = (with_rate(100.0), with_rate(40.0));
        let mut allocator = ShareAllocator::new(MonotonicTime(0), LEASE, GUARD);
        // Process, end of the lease at the process, and rate of each grant that may be in use.
        let mut held: Vec<(u64, MonotonicTime, f64)> = Vec::new();
        let mut granted = 0.0;
        for step in 0..300_u64 {
            let now = MonotonicTime(step * 100_000);
            let lowered = step >= 150;
            let document = if lowered { &low } else { &high };
            let (number, demand) = (rng.random_range(0..5), rng.random_range(0.0..80.0));
            let rate = renew(&mut allocator, document, &Renewal { now, number, demand });
            assert!(rate == 0.0 || now >= MonotonicTime(0) + LEASE, "granted too early");
            held.retain(|(_, until, _)| *until > now);
            held.push((number, now + LEASE, rate));
            granted += rate;
            let largest = |number: u64| {
                let own = held.iter().filter(|(holder, _, _)| *holder == number);
                own.map(|(_, _, rate)| *rate).fold(0.0, f64::max)
            };
            let sum: f64 = (0..5).map(largest).sum();
            let old_grants_ended = step >= 150 + 20;
            let pool = if lowered && old_grants_ended { 20.0 } else { 50.0 };
            assert!(sum <= pool + 1e-9, "seed {seed}, step {step}: {sum} of {pool}");
        }
        assert!(granted > 0.0);
    }
}

// The pool must be granted completely, in proportion to the reported demand.
#[test]
fn grants_follow_demand() {
    let document = with_rate(100.0);
    let mut allocator = ShareAllocator::new(MonotonicTime(0), LEASE, GUARD);
    let mut rates = [0.0; 2];
    for second in 0..15 {
        for number in 0..2 {
            let now = MonotonicTime(second * 1_000_000 + number * 1_000);
            let demand = 30.0 - 20.0 * number as f64;
            let renewal = Renewal { now, number, demand };
            rates[number as usize] = renew(&mut allocator, &document, &renewal);
        }
    }
    assert!((rates[0] - 37.5).abs() < 1e-9 && (rates[1] - 12.5).abs() < 1e-9, "{rates:?}");
}
