//! Benchmarks of making batches durable and of recovering a log.

// The lint against `unwrap` also applies to benchmarks.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use hickoryspan_core::control::interface::{DurableLog, LogEntry, LogIndex, PersistBatch};
use hickoryspan_core::types::{ReplicaId, TermNumber};
use hickoryspan_store::{DataFolder, FileLog};

/// Payload size of an entry in bytes, about that of a claim.
const PAYLOAD_BYTES: usize = 250;
/// Number of entries in each batch of the log for the recovery benchmark.
const FILL_BATCH_ENTRIES: u64 = 1_000;

fn create(path: &Path) -> FileLog {
    DataFolder::create(path, ReplicaId(1)).unwrap().into_log().unwrap().log
}

fn batch(first: u64, count: u64) -> PersistBatch {
    let payload: Arc<[u8]> = vec![7; PAYLOAD_BYTES].into();
    let entry =
        |index| LogEntry { index: LogIndex(index), term: TermNumber(1), payload: payload.clone() };
    PersistBatch { entries: (first..first + count).map(entry).collect(), ..PersistBatch::default() }
}

fn bench_persist(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("append and sync");
    group.sample_size(30);
    for count in [1, 16, 256] {
        let folder = tempfile::tempdir().unwrap();
        let mut log = create(folder.path());
        let mut next = 1;
        group.throughput(Throughput::Elements(count));
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bencher, count| {
            bencher.iter(|| {
                log.persist(&batch(next, *count)).unwrap();
                next += count;
            });
        });
    }
    group.finish();
}

fn bench_recovery(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("open and read");
    group.sample_size(10);
    for count in [100, 1_000, 100_000] {
        let folder = tempfile::tempdir().unwrap();
        let mut log = create(folder.path());
        for first in (1..=count).step_by(FILL_BATCH_ENTRIES as usize) {
            log.persist(&batch(first, FILL_BATCH_ENTRIES.min(count + 1 - first))).unwrap();
        }
        drop(log);
        group.throughput(Throughput::Elements(count));
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bencher, count| {
            bencher.iter(|| {
                let opened = DataFolder::open(folder.path()).unwrap().into_log().unwrap();
                assert_eq!(opened.recovered.entries.len() as u64, *count);
                opened
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_persist, bench_recovery);
criterion_main!(benches);
