//! Tests that all entries together keep to what a cold target tolerates, without a network: 5 to 300 entries that are cut
//! off, freeze, restart, wait with their requests, and hear different lists of entries. The judge counts what the target
//! sees. `HICKORYSPAN_COLD_SEEDS` sets the number of seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use hickoryspan_core::gateway::admission::cold_targets::{ColdBounds, ColdGate, ColdTarget};
use hickoryspan_core::gateway::membership::entry_list::{EntryList, EntryListChange, OpenEntry};
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, DirectoryChange, TargetAnnouncement, TargetDirectory, TargetPhase,
    TargetProcess,
};
use hickoryspan_core::gateway::targets::outcomes::ReportedLoad;
use hickoryspan_core::gateway::targets::selection::{SelectionSettings, TargetSelector};
use hickoryspan_core::gateway::targets::send_check::SendBarrier;
use hickoryspan_core::types::{
    FailureDomain, MonotonicTime, RequestRate, ServiceId, TargetId, WallTime,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

/// Length of one step of the simulation.
const STEP_MILLIS: u64 = 5;
/// Interval at which a control host compares and sends its list.
const FLUSH_MILLIS: u64 = 400;
/// Silence after which either end gives up a link.
const SILENCE_MILLIS: u64 = 1_500;
/// Longest way of a message to an entry.
const SPREAD_MILLIS: u64 = 300;
/// Time that an entry needs to open its links.
const LINK_MILLIS: u64 = 100;
/// A target that stalls takes no connections from this time of each cycle to its end.
const STALL_FROM_MILLIS: u64 = 2_000;
const STALL_CYCLE_MILLIS: u64 = 8_000;
const WINDOW_MILLIS: u64 = 1_000;
const LENGTH_MILLIS: u64 = 24_000;
const HOSTS: usize = 2;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const DEFAULT_SEEDS: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// It starts anew with nothing in memory.
    Restart,
    /// It does nothing, and goes on where it was.
    Freeze,
    /// It hears no control host, but sends on.
    Cut,
    /// It hears only one of the control hosts, as when the core is split.
    Split,
}

#[derive(Clone, Debug)]
struct Fault {
    entry: usize,
    during: Range<u64>,
    disturbance: Disturbance,
}

/// A fault of the program that the judge must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// Each entry knows only itself.
    AloneInList,
    /// A request is sent however long it has waited.
    StalePermits,
}

#[derive(Clone, Debug)]
struct Scenario {
    entries: usize,
    rate: f64,
    /// Requests per second of all entries.
    demand: f64,
    faults: Vec<Fault>,
    /// Whether the target takes no connections at times, for which requests then wait.
    has_stalls: bool,
    planted: PlantedFault,
}

struct SimulatedEntry {
    gate: ColdGate,
    list: EntryList,
    /// When each host was last heard.
    heard: [Option<u64>; HOSTS],
    started: u64,
    weight: f64,
}

struct Simulation {
    scenario: Scenario,
    generator: ChaCha12Rng,
    entries: Vec<SimulatedEntry>,
    // What each host last sent to all entries.
    listed: [BTreeSet<OpenEntry>; HOSTS],
    // When each host last heard each entry.
    reported: [BTreeMap<usize, u64>; HOSTS],
    // Time, host, receiver and change of what is under way.
    spread: Vec<(u64, usize, usize, EntryListChange)>,
    // When each request is ready to be sent, its entry, and when its permit was taken.
    waiting: Vec<(u64, usize, u64)>,
    arrivals: Vec<u64>,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime((millis + 100_000) * 1_000)
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a domain name")
}

fn process() -> TargetProcess {
    TargetProcess { target: TargetId::new("one").expect("a name"), started: WallTime(1) }
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + u16::try_from(entry).expect("few entries")))
}

fn host(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_000 + u16::try_from(index).expect("few hosts")))
}

fn open_entry(entry: usize) -> OpenEntry {
    let domain = domain(DOMAINS[entry % DOMAINS.len()]);
    OpenEntry { caller_address: address(entry), domain, relay: None }
}

impl SimulatedEntry {
    fn new(entry: usize, started: u64, weight: f64) -> Self {
        let gate = ColdGate::new(address(entry), ColdBounds::default());
        Self { gate, list: EntryList::default(), heard: [None; HOSTS], started, weight }
    }

    fn update(&mut self, now: u64, entry: usize, planted: PlantedFault) {
        let own = open_entry(entry);
        let is_linked = self.heard.iter().any(Option::is_some);
        match planted {
            PlantedFault::AloneInList => self.gate.set_entries(at(now), true, [&own]),
            _ => self.gate.set_entries(at(now), is_linked, self.list.entries()),
        }
    }
}

impl Scenario {
    fn has(&self, millis: u64, entry: usize, disturbance: Disturbance) -> bool {
        self.faults.iter().any(|fault| {
            fault.entry == entry
                && fault.disturbance == disturbance
                && fault.during.contains(&millis)
        })
    }

    fn is_up(&self, millis: u64, entry: usize) -> bool {
        !self.has(millis, entry, Disturbance::Freeze)
            && !self.has(millis, entry, Disturbance::Restart)
    }

    fn reaches(&self, millis: u64, entry: usize, host: usize) -> bool {
        // The split leaves the entries with even numbers on the side of the first host.
        let is_other_side = self.has(millis, entry, Disturbance::Split) && entry % HOSTS != host;
        !is_other_side && !self.has(millis, entry, Disturbance::Cut)
    }
}

impl Simulation {
    fn run(scenario: Scenario, seed: u64) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let weights: Vec<f64> =
            (0..scenario.entries).map(|_| generator.random_range(0.2..1.0_f64).powi(3)).collect();
        let total: f64 = weights.iter().sum();
        let weights = weights.into_iter().map(|weight| weight / total);
        let entries =
            weights.enumerate().map(|(entry, weight)| SimulatedEntry::new(entry, 0, weight));
        let mut simulation = Self {
            entries: entries.collect(),
            scenario,
            generator,
            listed: Default::default(),
            reported: Default::default(),
            spread: Vec::new(),
            waiting: Vec::new(),
            arrivals: Vec::new(),
        };
        for millis in (0..LENGTH_MILLIS).step_by(STEP_MILLIS as usize) {
            simulation.step(millis);
        }
        simulation
    }

    fn step(&mut self, millis: u64) {
        for entry in 0..self.entries.len() {
            if self.scenario.has(millis, entry, Disturbance::Restart) {
                let weight = self.entries[entry].weight;
                self.entries[entry] = SimulatedEntry::new(entry, millis, weight);
                self.waiting.retain(|(_, waiting, _)| *waiting != entry);
            }
        }
        // An entry that wakes up sends before it reads what the control hosts have sent.
        self.send_waiting(millis);
        self.receive_requests(millis);
        self.deliver_lists(millis);
        if millis.is_multiple_of(FLUSH_MILLIS) {
            self.keep_links(millis);
            self.flush(millis);
        }
    }

    fn receive_requests(&mut self, millis: u64) {
        let expected = self.scenario.demand * STEP_MILLIS as f64 / 1_000.0;
        let mut draw = self.generator.random::<f64>();
        // Of several requests in a step, all but one are drawn as certain.
        let mut left = expected;
        while left > 0.0 && draw < left {
            self.receive_request(millis);
            left -= 1.0;
            draw = self.generator.random();
        }
    }

    fn receive_request(&mut self, millis: u64) {
        let mut draw = self.generator.random::<f64>();
        let chosen = self.entries.iter().position(|entry| {
            draw -= entry.weight;
            draw < 0.0
        });
        let entry = chosen.unwrap_or(0);
        if !self.scenario.is_up(millis, entry) {
            return;
        }
        let domain = domain(DOMAINS[0]);
        let rate = RequestRate(self.scenario.rate);
        let target = ColdTarget { process: process(), domain: &domain, rate };
        let gate = &mut self.entries[entry].gate;
        if !gate.has_permit(at(millis), &target) {
            return;
        }
        gate.take_permit(&target.process);
        let is_stalled =
            self.scenario.has_stalls && millis % STALL_CYCLE_MILLIS >= STALL_FROM_MILLIS;
        let wait = match is_stalled {
            true => STALL_CYCLE_MILLIS - millis % STALL_CYCLE_MILLIS,
            false => self.generator.random_range(0..80),
        };
        self.waiting.push((millis + wait, entry, millis));
    }

    fn send_waiting(&mut self, millis: u64) {
        let scenario = &self.scenario;
        let is_due = |(ready_at, entry, _): &mut (u64, usize, u64)| {
            *ready_at <= millis && scenario.is_up(millis, *entry)
        };
        for (_, _, taken_at) in self.waiting.extract_if(.., is_due) {
            let is_fresh = ColdGate::is_fresh(at(millis), at(taken_at));
            if is_fresh || scenario.planted == PlantedFault::StalePermits {
                self.arrivals.push(millis);
            }
        }
    }

    fn deliver_lists(&mut self, millis: u64) {
        let scenario = &self.scenario;
        let is_due = |(due_at, _, receiver, _): &mut (u64, usize, usize, EntryListChange)| {
            *due_at <= millis && scenario.is_up(millis, *receiver)
        };
        for (_, from, receiver, change) in self.spread.extract_if(.., is_due) {
            let entry = &mut self.entries[receiver];
            // What was sent over a link that has ended does not arrive.
            if entry.heard[from].is_some() {
                entry.list.apply(host(from), change);
                entry.update(millis, receiver, scenario.planted);
            }
        }
    }

    /// Opens links, and ends those that are silent at either end.
    fn keep_links(&mut self, millis: u64) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if !self.scenario.is_up(millis, index) || millis < entry.started + LINK_MILLIS {
                continue;
            }
            for from in 0..HOSTS {
                let is_reached = self.scenario.reaches(millis, index, from);
                let is_silent =
                    entry.heard[from].is_some_and(|heard| millis - heard > SILENCE_MILLIS);
                if is_silent {
                    entry.heard[from] = None;
                    entry.list.remove_host(host(from));
                    entry.update(millis, index, self.scenario.planted);
                } else if is_reached {
                    let is_new = entry.heard[from].replace(millis).is_none();
                    self.reported[from].insert(index, millis);
                    if is_new {
                        entry.list.remove_host(host(from));
                        let change = EntryListChange::between(&BTreeSet::new(), &self.listed[from]);
                        entry.list.apply(host(from), change);
                        entry.update(millis, index, self.scenario.planted);
                    }
                }
            }
        }
    }

    fn flush(&mut self, millis: u64) {
        for from in 0..HOSTS {
            let reported = self.reported[from].iter();
            let current = reported.filter(|(_, heard)| millis - **heard <= SILENCE_MILLIS);
            let open: BTreeSet<_> = current.map(|(entry, _)| open_entry(*entry)).collect();
            let change = EntryListChange::between(&self.listed[from], &open);
            self.listed[from] = open;
            if change.is_empty() {
                continue;
            }
            for receiver in 0..self.entries.len() {
                if self.entries[receiver].heard[from].is_some() {
                    let delay = self.generator.random_range(1..SPREAD_MILLIS);
                    self.spread.push((millis + delay, from, receiver, change.clone()));
                }
            }
        }
    }

    /// Returns the largest number of requests in one second.
    fn most_in_a_second(&self) -> usize {
        let in_window = |start: &u64| {
            let window = *start..*start + WINDOW_MILLIS;
            self.arrivals.iter().filter(|time| window.contains(time)).count()
        };
        self.arrivals.iter().map(in_window).max().unwrap_or(0)
    }

    fn is_within_bounds(&self) -> bool {
        let ColdBounds { overshoot, slack } = ColdBounds::default();
        self.most_in_a_second() as f64 <= self.scenario.rate * overshoot + slack
    }
}

/// Entries from 5 to 300, few of them more often, and any rate and demand.
fn draw_scenario(generator: &mut ChaCha12Rng, planted: PlantedFault) -> Scenario {
    let entries = (5.0 * 60.0_f64.powf(generator.random())) as usize;
    let rate = 0.5 * 60.0_f64.powf(generator.random());
    let demand = rate * generator.random_range(2.0..20.0);
    let has_stalls = generator.random();
    Scenario { entries, rate, demand, faults: Vec::new(), has_stalls, planted }
}

fn draw_faults(scenario: &mut Scenario, generator: &mut ChaCha12Rng) {
    for _ in 0..generator.random_range(1..=6) {
        let disturbance = match generator.random_range(0..4) {
            0 => Disturbance::Restart,
            1 => Disturbance::Freeze,
            2 => Disturbance::Cut,
            _ => Disturbance::Split,
        };
        let start = generator.random_range(0..18_000);
        let during = start..start + generator.random_range(200..6_000);
        // A split concerns all entries, the others one, some or all at the same moment.
        let share = match disturbance {
            Disturbance::Split => 1.0,
            _ => [0.01, 0.1, 0.5, 1.0][generator.random_range(0..4)],
        };
        let first = generator.random_range(0..scenario.entries);
        for entry in 0..scenario.entries {
            if entry == first || generator.random_bool(share) {
                scenario.faults.push(Fault { entry, during: during.clone(), disturbance });
            }
        }
    }
}

fn seeds() -> u64 {
    let text = std::env::var("HICKORYSPAN_COLD_SEEDS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

/// Guards against entries that together send more than a cold target survives, in touch or not.
#[rstest]
fn no_cold_target_gets_more_than_it_tolerates(#[values(0, 1, 2, 3)] part: u64) {
    for seed in (part..seeds()).step_by(4) {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut scenario = draw_scenario(&mut generator, PlantedFault::None);
        draw_faults(&mut scenario, &mut generator);
        let simulation = Simulation::run(scenario, seed);
        assert!(
            simulation.is_within_bounds(),
            "seed {seed}: {} requests in a second, {:?}",
            simulation.most_in_a_second(),
            simulation.scenario
        );
    }
}

/// Guards against a judge that finds nothing.
#[rstest]
fn the_judge_finds_planted_faults(
    #[values(PlantedFault::AloneInList, PlantedFault::StalePermits)] planted: PlantedFault,
) {
    let found = (0..60).any(|seed| {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let mut scenario = draw_scenario(&mut generator, planted);
        scenario.demand = scenario.rate * 20.0;
        !Simulation::run(scenario, seed).is_within_bounds()
    });
    assert!(found, "{planted:?}");
}

/// Guards against cold targets that get next to nothing although callers wait for them, with many more entries than
/// requests a second, and with few.
#[rstest]
#[case::far_more_entries_than_requests(82, 2.0, 30.0)]
#[case::few_entries(5, 2.0, 20.0)]
#[case::large_rate(25, 20.0, 200.0)]
fn cold_targets_are_used(#[case] entries: usize, #[case] rate: f64, #[case] demand: f64) {
    let mut served = 0;
    for seed in 0..10 {
        let faults = Vec::new();
        let planted = PlantedFault::None;
        let has_stalls = false;
        let scenario = Scenario { entries, rate, demand, faults, has_stalls, planted };
        let simulation = Simulation::run(scenario, seed);
        assert!(simulation.is_within_bounds(), "seed {seed}");
        served += simulation.arrivals.iter().filter(|time| **time >= 4_000).count();
    }
    let possible = rate * 10.0 * (LENGTH_MILLIS - 4_000) as f64 / 1_000.0;
    assert!(served as f64 >= possible * 0.15, "{served} of {possible}");
}

fn announcement(name: &str, sequence: u64, cold: Duration) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId::new(name).expect("a target name"),
        age: AnnouncementAge { started: WallTime(1), sequence },
        service: ServiceId::new("search").expect("a service name"),
        address: ([127, 0, 0, 1], if name == "one" { 9_001 } else { 9_002 }).into(),
        domain: domain("a"),
        slots: 2,
        phase: TargetPhase::Ready,
        cold,
    }
}

/// Guards against a target that becomes cold again without the entries hearing of it, and against announcements that are
/// passed on later with the cold time of their arrival.
#[test]
fn a_target_that_becomes_cold_again_is_a_change() {
    let mut directory = TargetDirectory::default();
    let cold = Duration::from_secs(3);
    assert_eq!(directory.announce(at(0), announcement("one", 1, cold)), DirectoryChange::Changed);
    let left = announcement("one", 2, Duration::from_secs(2));
    assert_eq!(directory.announce(at(1_000), left), DirectoryChange::Renewed);
    let known = directory.find(&process().target).expect("the target");
    assert_eq!(known.announcement_at(at(2_500)).cold, Duration::from_millis(500));
    assert_eq!(known.announcement_at(at(9_000)).cold, Duration::ZERO);
    let warm = announcement("one", 3, Duration::ZERO);
    assert_eq!(directory.announce(at(9_000), warm), DirectoryChange::Renewed);
    let again = announcement("one", 4, cold);
    assert_eq!(directory.announce(at(10_000), again), DirectoryChange::Changed);
}

/// A selector of the only entry, with one cold target and, if wanted, one that is warm.
fn selector(has_warm: bool) -> TargetSelector {
    let generator = ChaCha12Rng::seed_from_u64(41);
    let mut selector = TargetSelector::new(SelectionSettings::default(), domain("a"), generator);
    let mut gate = ColdGate::new(address(0), ColdBounds::default());
    gate.set_entries(at(0), true, [&open_entry(0)]);
    gate.set_rates([(service(), RequestRate(2.0))].into());
    selector.set_cold_gate(gate);
    selector.put(at(3_000), announcement("one", 1, Duration::from_secs(20)));
    if has_warm {
        selector.put(at(3_000), announcement("two", 1, Duration::ZERO));
    }
    selector
}

fn service() -> ServiceId {
    ServiceId::new("search").expect("a service name")
}

/// Guards against requests that are held or sent though all targets are cold and have had what they tolerate.
#[test]
fn what_exceeds_the_rate_of_a_lone_cold_target_is_refused_at_once() {
    let mut selector = selector(false);
    let chosen = (0..1_000).filter(|step| {
        let now = at(3_000 + step * 10);
        let is_permitted = selector.has_permitted_target(now, &service());
        let chosen = selector.choose(now, &service(), &[]);
        assert_eq!(is_permitted, chosen.is_some());
        chosen.is_some()
    });
    let chosen = chosen.count();
    assert!((5..=20).contains(&chosen), "{chosen} requests in 10 s at 2 a second");
    // When it is warm, nothing holds requests back.
    assert!((0..100).all(|_| selector.choose(at(30_000), &service(), &[]).is_some()));
}

/// Guards against a warm target that is left out, and against hedges to a cold one.
#[test]
fn the_warm_target_of_a_service_takes_the_rest() {
    let mut selector = selector(true);
    let two = TargetId::new("two").expect("a target name");
    assert!(!selector.has_alternative(at(3_000), &service(), std::slice::from_ref(&two)));
    for step in 0..200 {
        assert!(selector.choose(at(3_000 + step), &service(), &[]).is_some());
    }
    assert_eq!(selector.cold_targets(at(3_000)).count(), 1);
}

/// Guards against overload that is not seen because the cold target of an overloaded service has no queue.
#[test]
fn the_queue_of_a_service_is_that_of_its_warm_targets() {
    let mut selector = selector(true);
    let two = TargetId::new("two").expect("a target name");
    let load = ReportedLoad { running: 2, waiting: 8, slots: 2, latency_percent: 100 };
    selector.note_load(at(3_000), &two, load);
    assert_eq!(selector.shortest_queue(at(3_100), &service()), Some(4.0));
}

/// Guards against requests that wait with their permits and reach the target together, and against one that was chosen for
/// a target before it became cold again.
#[test]
fn a_request_without_a_fresh_permit_is_withheld() {
    let mut selector = selector(false);
    let chosen = selector.choose(at(3_000), &service(), &[]).expect("a target");
    assert_eq!(selector.check_target(at(3_050), &chosen, &service()), Ok(()));
    assert_eq!(selector.check_target(at(3_200), &chosen, &service()), Err(SendBarrier::Cold));
    let chosen = selector.choose(at(30_000), &service(), &[]).expect("a warm target");
    assert_eq!(selector.check_target(at(30_500), &chosen, &service()), Ok(()));
    selector.put(at(30_600), announcement("one", 2, Duration::from_secs(3)));
    assert_eq!(selector.check_target(at(30_600), &chosen, &service()), Err(SendBarrier::Cold));
}

/// Guards against an effect on services that state no rate.
#[test]
fn a_service_without_a_rate_is_not_limited() {
    let mut selector = selector(false);
    selector.cold_mut().set_rates(Default::default());
    assert!(!selector.has_limits());
    assert!((0..100).all(|_| selector.choose(at(3_000), &service(), &[]).is_some()));
    assert_eq!(selector.cold_targets(at(3_000)).count(), 0);
}
