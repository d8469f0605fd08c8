//! Tests that several entry hosts which use the same target cause no standing queue there.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hickoryspan_core::entry::engine::{EngineSettings, OrdinalShare};
use hickoryspan_core::entry::interface::{AnswerStatus, EntryEvent, LoadReport};
use hickoryspan_core::types::{
    AttemptId, ConnectionCount, MonotonicTime, OrdinalNumber, SlotCount, SnapshotVersion,
};
use support::*;

const ENTRIES: u64 = 7;
const SLOTS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const STEP: Duration = Duration::from_micros(500);
const STEPS: u32 = 20_000;

/// Statistics of the target over a run.
#[derive(Debug, Default)]
struct TargetStatistics {
    queued: u64,
    busy: u64,
    shed: u64,
    done_by_entry: BTreeMap<usize, u64>,
}

/// Simulates one target with two slots and a bounded queue. Every entry always has requests for it.
fn run(settings: EngineSettings, max_queue: usize) -> TargetStatistics {
    let mut view = even_view(1, 1);
    for record in view.targets.values_mut() {
        record.slots = SlotCount(SLOTS as u32);
        record.connections = ConnectionCount(25);
    }
    let entry = |ordinal| {
        let mut harness = EngineHarness::unopened(view.clone(), settings, ordinal);
        harness.opens_at_once = true;
        let share = OrdinalShare { ordinal: OrdinalNumber(ordinal), max_ordinals: 14 };
        harness.set_share(Some(share));
        harness
    };
    let mut entries: Vec<EngineHarness> = (0..ENTRIES).map(entry).collect();
    let mut running: Vec<(MonotonicTime, usize, AttemptId)> = Vec::new();
    let mut queue: VecDeque<(usize, AttemptId)> = VecDeque::new();
    let mut statistics = TargetStatistics::default();
    for step in 0..STEPS {
        let now = entries[0].now + STEP;
        for (index, harness) in entries.iter_mut().enumerate() {
            harness.now = now;
            if harness.engine.next_wakeup().is_some_and(|at| at <= now) {
                harness.event(EntryEvent::Tick);
            }
            while harness.engine.in_flight() < 6 {
                harness.search_all();
            }
            for attempt in std::mem::take(&mut harness.new_attempts) {
                if queue.len() < max_queue {
                    queue.push_back((index, attempt));
                } else {
                    statistics.shed += 1;
                    harness.answer(attempt, AnswerStatus::Shed);
                }
            }
        }
        let (ended, others) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = others;
        for (_, index, attempt) in Vec::from_iter(ended) {
            let load = LoadReport { running: running.len() as u32, queued: queue.len() as u32 };
            let snapshot = Some(SnapshotVersion(1));
            entries[index].answer_with(attempt, AnswerStatus::Done, snapshot, Some(load));
            *statistics.done_by_entry.entry(index).or_default() += 1;
        }
        while running.len() < SLOTS {
            let Some((index, attempt)) = queue.pop_front() else { break };
            running.push((now + SERVICE_TIME, index, attempt));
        }
        // The first second is excluded, because the system has not reached its steady state.
        if step > 2000 {
            statistics.queued += queue.len() as u64;
            statistics.busy += running.len() as u64;
        }
    }
    statistics
}

#[test]
fn several_entries_keep_the_slots_busy_without_a_standing_queue() {
    let statistics = run(EngineSettings::default(), 100);
    let steps = f64::from(STEPS - 2000);
    let (queued, busy) = (statistics.queued as f64 / steps, statistics.busy as f64 / steps);
    println!("mean queue {queued:.2}, mean busy slots {busy:.2}, {statistics:?}");
    assert!(queued < 1.5, "{queued} requests wait at the target on average");
    assert!(busy > 1.5, "{busy} of {SLOTS} slots are busy on average");
    let done = statistics.done_by_entry.values();
    let (least, most) = (done.clone().min().unwrap(), done.max().unwrap());
    assert!(least * 4 > *most, "one entry gets four times the work of another");
}

#[test]
fn without_adaptation_the_same_load_queues() {
    let mut settings = EngineSettings::default();
    settings.concurrency.queue_factor = 1.0;
    let statistics = run(settings, 100);
    let queued = statistics.queued as f64 / f64::from(STEPS - 2000);
    println!("mean queue without adaptation {queued:.2}");
    assert!(queued > 4.0, "the load of this test is too low to show a queue: {queued}");
}

#[test]
fn shed_answers_alone_limit_the_load_too() {
    let statistics = run(EngineSettings::default(), 1);
    let done: u64 = statistics.done_by_entry.values().sum();
    println!("{done} done, {} shed", statistics.shed);
    assert!(statistics.shed * 2 < done, "{} shed for {done} done", statistics.shed);
}
