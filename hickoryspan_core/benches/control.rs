//! Time to apply commands, to encode and decode a snapshot, and to handle a leader's events; memory per claim.

// The lint against `unwrap` also applies to benchmarks.
#![allow(clippy::unwrap_used)]

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hickoryspan_core::control::commands::{self, CommandBody, EntryProcess, LogCommand};
use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_core::control::state::ReplicatedState;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::messages::{
    ClaimKey, EntryMessage, EntryRegistration, OrderOutcome, RequestOutcome,
};
use hickoryspan_core::types::*;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

/// Wall time at which the benchmarks start, in milliseconds since the Unix epoch.
const EPOCH: u64 = 1_800_000_000_000;
/// Number of claims over which the memory per claim is averaged.
const MEASURED_CLAIMS: u64 = 200_000;
/// Numbers of targets and entries that the design assumes.
const FLEET_TARGETS: u64 = 8_200;
const FLEET_ENTRIES: u64 = 1_600;
/// Size in bytes of the pages that `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

fn process() -> EntryProcess {
    EntryProcess { entry: "e1".parse().unwrap(), incarnation: IncarnationNumber(1) }
}

fn command(body: CommandBody) -> LogCommand {
    LogCommand { at: WallTime(EPOCH), body }
}

fn registered() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let registration = EntryRegistration {
        entry: process().entry,
        incarnation: process().incarnation,
        caller_address: "127.0.0.1:9000".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
    };
    state.apply(command(CommandBody::RegisterEntry { registration, max_ordinals: 14 }));
    state
}

fn claim_key(number: u64) -> ClaimKey {
    ClaimKey {
        tenant: "quindio".parse().unwrap(),
        caller: "print-desk".parse().unwrap(),
        request: format!("order-{number:012}").parse().unwrap(),
        issued_at: WallTime(EPOCH + number),
    }
}

fn claim(number: u64) -> LogCommand {
    command(CommandBody::Claim {
        process: process(),
        key: claim_key(number),
        fingerprint: RequestFingerprint::of_parts([number.to_le_bytes().as_slice()]),
        capacity: u64::MAX,
    })
}

fn settlement(number: u64) -> LogCommand {
    let body = Some(format!("{{\"job\":{number},\"state\":\"printed\"}}").into());
    let outcome = OrderOutcome { outcome: RequestOutcome::Complete, target: None, body };
    command(CommandBody::Settle { process: process(), key: claim_key(number), outcome })
}

fn target(number: u64) -> TargetRecord {
    TargetRecord {
        target: format!("t{number}").parse().unwrap(),
        incarnation: IncarnationNumber(number),
        address: "127.0.0.1:9100".parse().unwrap(),
        tenant: "quindio".parse().unwrap(),
        service: "sales".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        partitions: Vec::new(),
        draining: false,
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn settled(count: u64) -> ReplicatedState {
    let mut state = registered();
    for number in 0..count {
        state.apply(claim(number));
        state.apply(settlement(number));
    }
    state
}

fn measure_memory() {
    let before = resident_bytes();
    let state = settled(MEASURED_CLAIMS);
    let after = resident_bytes();
    let each = after.saturating_sub(before) / MEASURED_CLAIMS;
    let snapshot = commands::encode(&state).len() as u64 / MEASURED_CLAIMS;
    println!("memory per settled claim: {each} bytes resident, {snapshot} bytes in a snapshot");
}

fn bench_apply(criterion: &mut Criterion) {
    measure_memory();
    let mut group = criterion.benchmark_group("apply");
    let mut state = settled(100_000);
    let mut next = 100_000;
    group.bench_function("claim and settle beside 100,000 claims", |bencher| {
        bencher.iter_batched(
            || {
                next += 1;
                [claim(next), settlement(next)]
            },
            |pair| pair.map(|command| black_box(state.apply(command))),
            BatchSize::SmallInput,
        );
    });
    let mut state = registered();
    let mut next = 0;
    group.bench_function("changed announcement among 1,000 targets", |bencher| {
        bencher.iter_batched(
            || {
                next += 1;
                let record = TargetRecord { target: target(next % 1_000).target, ..target(next) };
                command(CommandBody::Announce(vec![record]))
            },
            |command| black_box(state.apply(command)),
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn bench_snapshot(criterion: &mut Criterion) {
    let state = settled(10_000);
    let bytes = commands::encode(&state);
    let mut group = criterion.benchmark_group("snapshot of 10,000 claims");
    group.sample_size(20);
    group.bench_function("encode", |bencher| bencher.iter(|| commands::encode(black_box(&state))));
    group.bench_function("decode", |bencher| {
        bencher.iter(|| {
            let mut state: ReplicatedState = commands::decode("state", black_box(&bytes)).unwrap();
            state.rebuild();
            state
        });
    });
    group.finish();
}

/// A single replica whose batches become durable immediately.
struct Leader {
    machine: ControlMachine,
    now: u64,
}

impl Leader {
    fn new() -> Self {
        let address = "127.0.0.1:7001".parse().unwrap();
        let settings = ControlSettings {
            bootstrap: true,
            max_ordinals: FLEET_ENTRIES as u32,
            ..ControlSettings::new(address, address)
        };
        let generator = ChaCha12Rng::seed_from_u64(1);
        let recovered = RecoveredState::default();
        let mut leader = Self {
            machine: ControlMachine::new(ReplicaId(1), recovered, settings, generator),
            now: 0,
        };
        leader.handle(ControlEvent::Tick);
        leader
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            self.now += 10;
            let wall = WallTime(EPOCH + self.now / 1_000);
            let now = ClockReading { monotonic: MonotonicTime(self.now), wall };
            let mut actions = Vec::new();
            self.machine.handle(now, event, &mut actions);
            for action in actions {
                if let ControlAction::Persist(sequence, _) = action {
                    events.push(ControlEvent::Persisted(sequence));
                }
            }
        }
    }

    fn register_entry(&mut self, number: u64) {
        let registration = EntryRegistration {
            entry: format!("e{number}").parse().unwrap(),
            incarnation: IncarnationNumber(1),
            caller_address: "127.0.0.1:9000".parse().unwrap(),
            failure_domain: "a".parse().unwrap(),
        };
        let hello = EntryMessage::Hello { registration, revision: RevisionNumber(0) };
        self.handle(ControlEvent::Entry(LinkId(number), hello));
    }
}

// Measures the most frequent events of a leader with the number of targets and entries that the design assumes.
fn bench_leader(criterion: &mut Criterion) {
    let mut leader = Leader::new();
    (0..FLEET_TARGETS).for_each(|number| {
        leader.handle(ControlEvent::Announce(ReplyToken(number), Box::new(target(number))));
    });
    (0..FLEET_ENTRIES).for_each(|number| leader.register_entry(number));
    let mut group = criterion.benchmark_group("leader with 8,200 targets and 1,600 entries");
    let mut number = 0;
    group.bench_function("unchanged announcement", |bencher| {
        bencher.iter(|| {
            number = (number + 1) % FLEET_TARGETS;
            leader.handle(ControlEvent::Announce(ReplyToken(0), Box::new(target(number))));
        });
    });
    group.bench_function("renewal without change", |bencher| {
        bencher.iter(|| {
            number = (number + 1) % FLEET_ENTRIES;
            let renewal = EntryMessage::Renew {
                sequence: number,
                revision: leader.machine.state().view().revision,
                digest: leader.machine.state().view().digest,
                draining: false,
                demand: Vec::new(),
            };
            leader.handle(ControlEvent::Entry(LinkId(number), renewal));
        });
    });
    let mut incarnation = 10_000;
    group.bench_function("changed announcement, spread to all entries", |bencher| {
        bencher.iter(|| {
            incarnation += 1;
            let record = TargetRecord { target: target(7).target, ..target(incarnation) };
            leader.handle(ControlEvent::Announce(ReplyToken(0), Box::new(record)));
        });
    });
    group.finish();
}

criterion_group!(benches, bench_apply, bench_snapshot, bench_leader);
criterion_main!(benches);
