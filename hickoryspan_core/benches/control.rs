//! Cost of applying commands, of a snapshot, and memory per claim.

// The lint does not see that a bench is no library code.
#![allow(clippy::unwrap_used)]

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hickoryspan_core::control::commands::{self, CommandBody, EntryProcess, LogCommand};
use hickoryspan_core::control::state::ReplicatedState;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::messages::{ClaimKey, EntryRegistration, OrderOutcome, RequestOutcome};
use hickoryspan_core::types::*;

const EPOCH: u64 = 1_800_000_000_000;
/// Claims from which the memory of one is computed.
const MANY_CLAIMS: u64 = 200_000;
/// Page size of `/proc/self/statm`, which counts pages.
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
    let state = settled(MANY_CLAIMS);
    let after = resident_bytes();
    let each = after.saturating_sub(before) / MANY_CLAIMS;
    let snapshot = commands::encode(&state).len() as u64 / MANY_CLAIMS;
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

criterion_group!(benches, bench_apply, bench_snapshot);
criterion_main!(benches);
