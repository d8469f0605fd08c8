//! Tests that all entries together keep to the limit that a target names, without a network: entries with uneven demand
//! that restart, freeze, are cut off and join, while the limit rises, falls and ends.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use hickoryspan_core::gateway::admission::limit_gate::{DemandTotals, LimitGate, ServiceDemand};
use hickoryspan_core::gateway::admission::target_limits::{LimitRecord, LimitTable};
use hickoryspan_core::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use hickoryspan_core::gateway::targets::directory::TargetProcess;
use hickoryspan_core::types::{MonotonicTime, RequestRate, ServiceId, TargetId, WallTime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

/// Length of one step of the simulation.
const STEP_MILLIS: u64 = 5;
/// Time between a request and the response that names the limit.
const RESPONSE_MILLIS: u64 = 60;
/// Interval of the entries' reports and of the control host's totals.
const REPORT_MILLIS: u64 = 400;
/// Delay of what a control host passes on.
const SPREAD_MILLIS: u64 = 25;
/// Time from which the rule holds, after the first response with a limit or a disturbance of an entry.
const GRACE_MILLIS: u64 = 4_000;
const WINDOW_MILLIS: u64 = 4_000;
const HOST: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7_222);

/// A disturbance of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// It starts anew with nothing in memory.
    Restart,
    /// It does nothing.
    Freeze,
    /// It hears no control host, but sends on.
    Cut,
}

#[derive(Clone, Debug)]
struct Fault {
    entry: usize,
    during: Range<u64>,
    disturbance: Disturbance,
}

#[derive(Clone, Debug)]
struct Scenario {
    /// Requests per second of each entry. An entry starts at the given time.
    demands: Vec<(u64, f64)>,
    /// The limit from a time on.
    limits: Vec<(u64, Option<f64>)>,
    faults: Vec<Fault>,
    length_millis: u64,
}

struct SimulatedEntry {
    gate: LimitGate,
    known: ChangeNumber,
    demands: Vec<ServiceDemand>,
    heard_at: Option<u64>,
}

struct Simulation {
    scenario: Scenario,
    generator: ChaCha12Rng,
    entries: Vec<SimulatedEntry>,
    hub: LimitTable,
    // Time, receiver and content of what is under way.
    responses: Vec<(u64, usize, Option<RequestRate>)>,
    spread: Vec<(u64, usize, Vec<LimitRecord>)>,
    // Time and entry of each request that reached the target.
    arrivals: Vec<(u64, usize)>,
    refused: usize,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime((millis + 100_000) * 1_000)
}

fn service() -> ServiceId {
    ServiceId::new("records").expect("a name")
}

fn process() -> TargetProcess {
    TargetProcess { target: TargetId::new("one").expect("a name"), started: WallTime(1) }
}

impl SimulatedEntry {
    fn new(entries: usize) -> Self {
        let mut gate = LimitGate::default();
        gate.set_entries(u32::try_from(entries).expect("few entries"));
        Self { gate, known: ChangeNumber::default(), demands: Vec::new(), heard_at: None }
    }
}

impl Scenario {
    fn limit_at(&self, millis: u64) -> Option<f64> {
        self.limits.iter().rev().find(|(from, _)| *from <= millis).and_then(|(_, limit)| *limit)
    }

    fn first_limit(&self) -> u64 {
        self.limits.iter().find(|(_, limit)| limit.is_some()).expect("a limit").0
    }

    fn has(&self, millis: u64, entry: usize, disturbance: Disturbance) -> bool {
        self.faults.iter().any(|fault| {
            fault.entry == entry
                && fault.disturbance == disturbance
                && fault.during.contains(&millis)
        })
    }

    fn is_up(&self, millis: u64, entry: usize) -> bool {
        self.demands[entry].0 <= millis
            && !self.has(millis, entry, Disturbance::Freeze)
            && !self.has(millis, entry, Disturbance::Restart)
    }

    /// Returns whether the rule does not hold for an entry because it was disturbed a short time ago.
    fn is_excused(&self, millis: u64, entry: usize) -> bool {
        let (start, _) = self.demands[entry];
        let joined = start > 0 && millis < start + GRACE_MILLIS;
        joined
            || self.faults.iter().any(|fault| {
                fault.entry == entry
                    && (fault.during.start..fault.during.end + GRACE_MILLIS).contains(&millis)
            })
    }
}

impl Simulation {
    fn run(scenario: Scenario, seed: u64) -> Self {
        let count = scenario.demands.len();
        let mut simulation = Self {
            scenario,
            generator: ChaCha12Rng::seed_from_u64(seed),
            entries: (0..count).map(|_| SimulatedEntry::new(count)).collect(),
            hub: LimitTable::default(),
            responses: Vec::new(),
            spread: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
        };
        for millis in (0..simulation.scenario.length_millis).step_by(STEP_MILLIS as usize) {
            simulation.step(millis);
        }
        simulation
    }

    fn step(&mut self, millis: u64) {
        let due = |time: &u64| *time <= millis;
        for (_, entry, limit) in self.responses.extract_if(.., |(time, ..)| due(time)) {
            let state = &mut self.entries[entry];
            state.gate.table.note_response(at(millis), &process(), limit);
            state.heard_at = state.heard_at.or(limit.map(|_| millis));
        }
        for (_, entry, records) in self.spread.extract_if(.., |(time, ..)| due(time)) {
            self.entries[entry].gate.table.merge_all(at(millis), records);
        }
        for entry in 0..self.entries.len() {
            if self.scenario.has(millis, entry, Disturbance::Restart) {
                self.entries[entry] = SimulatedEntry::new(self.entries.len());
            }
            if self.scenario.is_up(millis, entry) {
                self.send_requests(millis, entry);
                self.report(millis, entry);
            }
        }
        if millis % REPORT_MILLIS == REPORT_MILLIS / 2 {
            self.send_totals(millis);
        }
    }

    fn send_requests(&mut self, millis: u64, entry: usize) {
        let (_, rate) = self.scenario.demands[entry];
        if !self.generator.random_bool((rate * STEP_MILLIS as f64 / 1_000.0).min(1.0)) {
            return;
        }
        let gate = &mut self.entries[entry].gate;
        gate.note_request(at(millis), &service());
        let share = gate.share(at(millis), &service());
        if !gate.has_permit(at(millis), &process(), share, self.generator.random()) {
            self.refused += 1;
            return;
        }
        gate.take_permit(&process());
        self.arrivals.push((millis, entry));
        let limit = self.scenario.limit_at(millis).map(RequestRate);
        self.responses.push((millis + RESPONSE_MILLIS, entry, limit));
    }

    fn is_linked(&self, millis: u64, entry: usize) -> bool {
        self.scenario.is_up(millis, entry) && !self.scenario.has(millis, entry, Disturbance::Cut)
    }

    fn report(&mut self, millis: u64, entry: usize) {
        if !self.is_linked(millis, entry) {
            return;
        }
        let state = &mut self.entries[entry];
        if millis.is_multiple_of(REPORT_MILLIS) && state.gate.is_active() {
            state.demands = state.gate.demands(at(millis), [&service()]);
        }
        if state.gate.table.newest() > state.known {
            let records = state.gate.table.changed_since(at(millis), state.known);
            state.known = state.gate.table.newest();
            let changed = self.hub.merge_all(at(millis), records);
            if !changed.is_empty() {
                for receiver in 0..self.entries.len() {
                    self.spread.push((millis + SPREAD_MILLIS, receiver, changed.clone()));
                }
            }
        }
    }

    fn send_totals(&mut self, millis: u64) {
        let linked: Vec<usize> =
            (0..self.entries.len()).filter(|entry| self.is_linked(millis, *entry)).collect();
        let reports = linked.iter().map(|entry| self.entries[*entry].demands.as_slice());
        let totals = DemandTotals::of(reports.filter(|demands| !demands.is_empty()));
        let up = u32::try_from(linked.len()).expect("few entries");
        if totals.reporters == 0 {
            return;
        }
        let records = self.hub.changed_since(at(millis), ChangeNumber::default());
        for entry in linked {
            let gate = &mut self.entries[entry].gate;
            gate.set_entries(up);
            gate.set_totals(HOST, totals.clone());
            // A host sends everything on a new link; known records change nothing.
            gate.table.merge_all(at(millis), records.clone());
        }
    }

    /// Checks the users' rule at every window that begins with an arrival.
    fn assert_limit_kept(&self, seed: u64) {
        let from = self.scenario.first_limit() + GRACE_MILLIS;
        for (start, _) in self.arrivals.iter().filter(|(time, _)| *time >= from) {
            let window = *start..*start + WINDOW_MILLIS;
            let times = window.clone().step_by(STEP_MILLIS as usize);
            // Where the target names no limit, any number is allowed.
            let Some(allowed) = times
                .map(|time| Some(self.scenario.limit_at(time)? * STEP_MILLIS as f64 / 1_000.0))
                .sum::<Option<f64>>()
            else {
                continue;
            };
            let counted = self.arrivals.iter().filter(|(time, entry)| {
                window.contains(time) && !self.scenario.is_excused(*time, *entry)
            });
            let counted = counted.count() as f64;
            assert!(
                counted <= 1.5 * allowed + 5.0,
                "seed {seed}: {counted} requests in the window from {start} ms, limit {allowed}"
            );
        }
    }

    fn arrivals_between(&self, during: Range<u64>) -> usize {
        self.arrivals.iter().filter(|(time, _)| during.contains(time)).count()
    }
}

fn steady(demands: &[f64], limit: f64) -> Scenario {
    Scenario {
        demands: demands.iter().map(|rate| (0, *rate)).collect(),
        limits: vec![(2_000, Some(limit))],
        faults: Vec::new(),
        length_millis: 24_000,
    }
}

/// Guards against entries that together send more than a target takes, or so little that callers are refused in vain.
#[rstest]
#[case::even(&[3.0; 7], 4.0)]
#[case::uneven(&[9.0, 6.0, 2.0, 2.0, 1.0, 0.5, 0.5], 4.0)]
#[case::one_entry_has_most(&[20.0, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1], 5.0)]
#[case::small_limit(&[3.0; 7], 1.0)]
#[case::large_limit(&[40.0, 30.0, 20.0, 20.0, 10.0, 10.0, 10.0], 60.0)]
#[case::few_entries(&[10.0, 5.0], 3.0)]
#[case::single_entry(&[10.0], 3.0)]
fn the_limit_is_kept_and_used(#[case] demands: &[f64], #[case] limit: f64) {
    for seed in 0..20 {
        let simulation = Simulation::run(steady(demands, limit), seed);
        simulation.assert_limit_kept(seed);
        let from = 2_000 + GRACE_MILLIS;
        let used = simulation.arrivals_between(from..24_000) as f64;
        let possible = limit * 18.0;
        assert!(used >= possible * 0.7, "seed {seed}: {used} of {possible}");
    }
}

/// Guards against limits that are kept only while nothing else happens.
#[rstest]
#[case::restart(Disturbance::Restart, 500)]
#[case::freeze(Disturbance::Freeze, 3_000)]
#[case::cut(Disturbance::Cut, 5_000)]
fn the_limit_is_kept_while_entries_are_disturbed(
    #[case] disturbance: Disturbance,
    #[case] length: u64,
) {
    for seed in 0..30 {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let demands: Vec<f64> = (0..7).map(|_| generator.random_range(0.5..6.0)).collect();
        let mut scenario = steady(&demands, generator.random_range(1.5..12.0));
        for _ in 0..3 {
            let start = generator.random_range(2_000..18_000);
            let entry = generator.random_range(0..7);
            scenario.faults.push(Fault { entry, during: start..start + length, disturbance });
        }
        Simulation::run(scenario, seed).assert_limit_kept(seed);
    }
}

/// Guards against entries that join with a whole share of their own.
#[test]
fn the_limit_is_kept_while_entries_join() {
    for seed in 0..30 {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut scenario = steady(&[4.0; 8], generator.random_range(1.5..12.0));
        for demand in scenario.demands.iter_mut().take(4) {
            demand.0 = generator.random_range(3_000..12_000);
        }
        Simulation::run(scenario, seed).assert_limit_kept(seed);
    }
}

/// Guards against entries that stick to an older limit after it rose, fell or ended.
#[test]
fn the_limit_is_kept_while_it_changes() {
    for seed in 0..30 {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut scenario = steady(&[6.0, 5.0, 4.0, 3.0, 2.0, 1.0, 1.0], 12.0);
        scenario.limits.push((8_000, Some(generator.random_range(6.0..10.0))));
        scenario.limits.push((13_000, Some(generator.random_range(4.0..20.0))));
        scenario.limits.push((18_000, None));
        let simulation = Simulation::run(scenario, seed);
        simulation.assert_limit_kept(seed);
        let all = 22.0 * 3.0;
        let served = simulation.arrivals_between(20_000..23_000) as f64;
        assert!(served >= all * 0.6, "seed {seed}: {served} of {all} after the end of the limit");
    }
}

/// Guards against an older report that brings back a limit after its end.
#[test]
fn an_older_report_does_not_bring_back_a_limit() {
    let mut table = LimitTable::default();
    let limit = Some(RequestRate(3.0));
    assert!(table.note_response(at(1_000), &process(), limit));
    let old = table.changed_since(at(2_000), ChangeNumber::default());
    assert!(table.note_response(at(3_000), &process(), None));
    assert!(table.merge_all(at(3_100), aged(&old, 1_100)).is_empty());
    assert_eq!(table.find(&process()), None);
    let restarted = TargetProcess { started: WallTime(2), ..process() };
    assert_eq!(table.find(&restarted), None);
}

fn aged(records: &[LimitRecord], millis: u64) -> Vec<LimitRecord> {
    let older = |record: &LimitRecord| LimitRecord {
        age: record.age + Duration::from_millis(millis),
        ..record.clone()
    };
    records.iter().map(older).collect()
}

/// Guards against a target that names another limit with every response, so that all hosts are told all the time.
#[test]
fn small_changes_of_a_limit_are_used_and_not_told() {
    let mut table = LimitTable::default();
    let mut told = 0;
    for response in 0..1_000_u64 {
        let limit = RequestRate(10.0 + 0.5 * f64::from(response as u32 % 2));
        told += usize::from(table.note_response(at(response), &process(), Some(limit)));
        assert_eq!(table.find(&process()), Some(limit));
    }
    assert_eq!(told, 1);
    assert!(table.note_response(at(1_000), &process(), Some(RequestRate(5.0))));
    assert!(table.note_response(at(1_001), &process(), None));
}

/// Guards against a limit of zero that no response can end, because nothing is sent any more.
#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let simulation = Simulation::run(steady(&[3.0; 7], 0.0), 1);
    let arrived = simulation.arrivals_between(6_000..24_000);
    assert!((1..=18).contains(&arrived), "{arrived} requests in 18 s");
    assert!(simulation.refused > 0);
}
