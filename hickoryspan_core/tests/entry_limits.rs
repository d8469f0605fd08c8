//! All entries together stay within a caller's limit, and retry delays do not cause new bursts.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::limits::{CallerLimits, LimitKey, LimitSettings};

const RATE: f64 = 1000.0;
const BURST: f64 = 500.0;
const ENTRIES: usize = MAX_ORDINALS as usize;

fn key() -> LimitKey {
    LimitKey { tenant: id("quindio"), caller: id("desk") }
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime(milliseconds * 1000)
}

fn limits(ordinal: usize, now: MonotonicTime, rate: f64, burst: f64) -> CallerLimits {
    let generator = ChaCha12Rng::seed_from_u64(ordinal as u64);
    let mut limits = CallerLimits::new(LimitSettings::default(), generator);
    limits.update_sheet(now, &sheet(rate, burst));
    let ordinal = OrdinalNumber(ordinal as u64);
    limits.set_share(
        now,
        Some(OrdinalShare { ordinal, max_ordinals: MAX_ORDINALS }),
        Duration::ZERO,
    );
    limits
}

fn grant(rate: f64) -> Vec<ShareGrant> {
    vec![ShareGrant { tenant: id("quindio"), caller: id("desk"), rate: CostRate(rate) }]
}

/// Model of control that never grants more than the shared part of the rate. Each element is the entry, rate and
/// end of a grant.
#[derive(Default)]
struct PoolLeader(Vec<(usize, f64, MonotonicTime)>);

impl PoolLeader {
    fn grant(&mut self, now: MonotonicTime, entry: usize, fraction: f64) -> f64 {
        self.0.retain(|(_, _, until)| *until > now);
        let mut used = [0.0_f64; ENTRIES];
        for (holder, rate, _) in self.0.iter().filter(|(holder, ..)| *holder != entry) {
            used[*holder] = used[*holder].max(*rate);
        }
        let rate = (RATE / 2.0 - used.iter().sum::<f64>()).max(0.0) * fraction;
        self.0.push((entry, rate, now + SHARE_LEASE));
        rate
    }
}

/// Returns the largest amount by which spending in any time window exceeded the rate.
fn largest_burst(spent: &[(MonotonicTime, f64)]) -> f64 {
    // Kadane's algorithm: tracks the largest excess of any window that ends at the current time.
    let mut excess = 0.0_f64;
    let mut largest = 0.0_f64;
    let mut last = MonotonicTime::default();
    for (time, cost) in spent {
        excess = (excess - RATE * time.since(last).as_secs_f64()).max(0.0) + cost;
        largest = largest.max(excess);
        last = *time;
    }
    largest
}

/// Guards against spending over all entries that exceeds rate and burst in some time window, for random grants,
/// delays and restarts.
#[test]
fn all_entries_together_stay_within_the_limit() {
    check_steps(11, 400, 12, 200, |steps| {
        let mut now = at(1);
        let mut leader = PoolLeader::default();
        let mut entries: Vec<_> =
            (0..ENTRIES).map(|ordinal| limits(ordinal, now, RATE, BURST)).collect();
        let mut arriving: Vec<(MonotonicTime, usize, f64, MonotonicTime)> = Vec::new();
        let mut spent = Vec::new();
        for (kind, entry, value) in steps {
            let entry = entry % ENTRIES;
            match kind {
                0..3 => now = now + millis(value % 900),
                3..8 => {
                    let cost = (1 + value % 17) as f64;
                    for _ in 0..value % 20 {
                        if entries[entry].spend(now, &key(), CostUnits(cost)).is_ok() {
                            spent.push((now, cost));
                        }
                    }
                }
                8..11 => {
                    // The renewal is sent now and reaches the leader at once, the earliest possible time. Its answer
                    // arrives after a delay.
                    let rate = leader.grant(now, entry, (value % 101) as f64 / 100.0);
                    arriving.push((now + millis(value % 1500), entry, rate, now + SHARE_LEASE));
                }
                _ => {
                    entries[entry] = limits(entry, now, RATE, BURST);
                    arriving.retain(|(_, other, ..)| *other != entry);
                }
            }
            arriving.retain(|(arrival, entry, rate, until)| {
                if *arrival <= now {
                    entries[*entry].set_grants(now, *until, &grant(*rate));
                }
                *arrival > now
            });
        }
        let burst = largest_burst(&spent);
        assert!(burst <= BURST + 1e-6, "a burst of {burst}");
    });
}

/// Guards against limits that hold only because too little is admitted: steady demand must get the whole rate.
#[test]
fn steady_demand_gets_the_whole_rate() {
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|ordinal| limits(ordinal, at(0), RATE, BURST)).collect();
    let mut spent = 0.0;
    for step in 0..30_000 {
        let now = at(step);
        for (ordinal, entry) in entries.iter_mut().enumerate() {
            if step % 1000 == 0 {
                // The leader sees demand only at the first two entries and grants them the shared half.
                let rate = if ordinal < 2 { RATE / 4.0 } else { 0.0 };
                entry.set_grants(now, now + SHARE_LEASE, &grant(rate));
            }
            spent += f64::from(u8::from(entry.spend(now, &key(), CostUnits(2.0)).is_ok())) * 2.0;
        }
    }
    assert!(spent >= 0.98 * 30.0 * RATE, "spent {spent} in 30 s");
}

/// Guards against requests that are never admitted because they cost more than the entry's share of the burst.
#[test]
fn a_request_above_the_burst_share_runs_after_it_is_earned() {
    let mut limits = limits(0, at(0), RATE, 14.0);
    let cost = CostUnits(100.0);
    assert!(limits.spend(at(1000), &key(), cost).is_err());
    let base = RATE / 2.0 / f64::from(MAX_ORDINALS);
    let earned = Duration::from_secs_f64(100.0 / base);
    assert!(limits.spend(at(1000) + earned - millis(100), &key(), cost).is_err());
    assert!(limits.spend(at(1000) + earned, &key(), cost).is_ok());
}

/// Guards against use of a grant after its lease.
#[test]
fn a_grant_ends_with_its_lease() {
    let mut limits = limits(0, at(0), RATE, 1e6);
    limits.set_grants(at(0), at(2000), &grant(500.0));
    let earned = 2.0 * 500.0 + 10.0 * RATE / 2.0 / f64::from(MAX_ORDINALS);
    assert!(limits.spend(at(10_000), &key(), CostUnits(earned + 1.0)).is_err());
    assert!(limits.spend(at(10_000), &key(), CostUnits(earned - 1.0)).is_ok());
}

/// Guards against a new burst after each restart or each change of the ordinal.
#[test]
fn a_process_starts_without_a_burst() {
    let mut limits = limits(0, at(1000), RATE, 1e6);
    assert!(limits.spend(at(1000), &key(), CostUnits(0.1)).is_err());
    assert!(limits.spend(at(9000), &key(), CostUnits(0.1)).is_ok());
    limits.set_share(at(9000), None, Duration::ZERO);
    let share = OrdinalShare { ordinal: OrdinalNumber(1), max_ordinals: MAX_ORDINALS };
    limits.set_share(at(9000), Some(share), Duration::ZERO);
    assert!(limits.spend(at(9000), &key(), CostUnits(0.1)).is_err());
}

/// Guards against wrong demand reports, which make control grant rate to the wrong entry.
#[test]
fn demand_includes_refused_requests() {
    let mut limits = limits(0, at(0), 1.0, 1.0);
    for step in 0..1000 {
        let _ = limits.spend(at(step * 10), &key(), CostUnits(3.0));
    }
    let demand = limits.demand(at(10_000));
    assert!((demand[0].rate.0 - 300.0).abs() < 15.0, "{demand:?}");
    assert!(limits.demand(at(40_000)).is_empty());
}

/// Guards against retry delays that make callers which were refused together retry together.
#[test]
fn retry_delays_reflect_the_deficit_and_spread() {
    let mut limits = limits(0, at(0), RATE, BURST);
    let rate = RATE / 2.0 / f64::from(MAX_ORDINALS);
    let mut delays: Vec<f64> = (0..20)
        .filter_map(|_| limits.spend(at(1), &key(), CostUnits(10.0)).err())
        .map(|delay| delay.as_secs_f64())
        .collect();
    assert_eq!(delays.len(), 20);
    delays.sort_by(f64::total_cmp);
    for (index, delay) in delays.iter().enumerate() {
        let earned = 10.0 * (index + 1) as f64 / rate;
        assert!(*delay >= 0.95 * earned.min(5.0), "delay {index} is {delay} s");
        assert!(*delay <= 7.5, "delay {index} is {delay} s");
    }
}

/// Guards against refusals that are charged to the caller or lack reason or retry delay, and against demand that is
/// not reported to control.
#[test]
fn the_machine_refuses_above_the_limit_and_reports_demand() {
    let mut harness =
        EntryHarness::with_settings(1, EntrySettings::default(), sheet(280.0, 2800.0));
    harness.engine.script().width = 5;
    harness.advance(millis(2000));
    harness.take();
    // The base share of 10 units/s has earned 20 units in two seconds. Each request costs five.
    let outcomes: Vec<_> = (0..8).map(|_| harness.probe_search()).collect();
    let refused = refused(ResponseReason::LimitExceeded);
    assert!(outcomes[..3].iter().all(Option::is_none), "{outcomes:?}");
    assert!(outcomes[5..].iter().all(|outcome| *outcome == refused), "{outcomes:?}");
    let token = harness.search();
    let response = harness.response(token).expect("a response");
    assert!(response.retry_after.is_some_and(|delay| delay >= millis(10)));
    harness.grants = grant(140.0);
    harness.advance(millis(1000));
    let demand = harness.sent().into_iter().find_map(|message| match message {
        EntryMessage::Renew { demand, .. } => Some(demand),
        _ => None,
    });
    assert!(demand.is_some_and(|demand| demand[0].rate.0 > 10.0));
    harness.advance(millis(500));
    assert_eq!(harness.probe_search(), None, "the grant admits more");
}

/// Guards against a new entry that refuses callers with a low rate for seconds, although their burst is unspent.
#[test]
fn the_first_holder_of_an_ordinal_may_spend_its_part_of_the_burst() {
    let never_held = Duration::from_secs(3600);
    let (rate, burst) = (25.5, 60.0);
    let mut spent = 0.0;
    for ordinal in 0..MAX_ORDINALS {
        let generator = ChaCha12Rng::seed_from_u64(u64::from(ordinal));
        let mut limits = CallerLimits::new(LimitSettings::default(), generator);
        limits.update_sheet(at(1), &sheet(rate, burst));
        let ordinal = OrdinalNumber(u64::from(ordinal));
        let share = OrdinalShare { ordinal, max_ordinals: MAX_ORDINALS };
        limits.set_share(at(1), Some(share), never_held);
        for _ in 0..100 {
            spent += if limits.spend(at(1), &key(), CostUnits(4.0)).is_ok() { 4.0 } else { 0.0 };
        }
    }
    assert_eq!(spent, 4.0 * f64::from(MAX_ORDINALS), "one order at each entry");
    assert!(spent <= burst);
}
