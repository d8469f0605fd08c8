//! Tests the decisions of one request over many shards without a network: when it answers, waits,
//! retries and hedges.

use std::time::Duration;

use hickoryspan_core::gateway::fanouts::fanout::{
    FanoutMachine, FanoutSettings, FanoutStep, LaunchReason, RECORD_BYTES, ShardIndex,
    merge_records, records_above,
};
use hickoryspan_core::types::MonotonicTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

const HEDGE_AFTER: Duration = Duration::from_millis(10);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn settings(shards: usize, min_parts: usize) -> FanoutSettings {
    FanoutSettings {
        shards,
        min_parts,
        max_attempts: 2,
        answer_by: at(60),
        give_up_at: at(800),
        hedge_after: HEDGE_AFTER,
    }
}

/// Launches all due attempts and returns them.
fn launch_all(machine: &mut FanoutMachine, now: MonotonicTime) -> Vec<(ShardIndex, LaunchReason)> {
    let mut launched = Vec::new();
    while let FanoutStep::Launch(shard, reason) = machine.next_step(now) {
        machine.note_sent(now, shard);
        launched.push((shard, reason));
    }
    launched
}

#[test]
fn all_shards_are_sent_at_once() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    let launched = launch_all(&mut machine, at(0));
    assert_eq!(launched.len(), 20);
    assert!(launched.iter().all(|(_, reason)| *reason == LaunchReason::First));
}

#[test]
fn a_paused_shard_is_hedged_and_the_answer_is_complete() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    for shard in 0..19 {
        assert!(machine.note_part(ShardIndex(shard)));
    }
    assert_eq!(machine.next_step(at(5)), FanoutStep::Wait(at(10)));
    let hedges = launch_all(&mut machine, at(10));
    assert_eq!(hedges, [(ShardIndex(19), LaunchReason::Hedge)]);
    machine.note_part(ShardIndex(19));
    assert_eq!(machine.next_step(at(14)), FanoutStep::Answer);
    assert_eq!(machine.parts(), 20);
}

#[test]
fn a_hedge_that_finds_no_target_is_tried_again() {
    let mut machine = FanoutMachine::new(settings(1, 1));
    launch_all(&mut machine, at(0));
    assert_eq!(machine.next_step(at(10)), FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge));
    machine.postpone_hedge(at(10), ShardIndex(0));
    assert_eq!(machine.next_step(at(10)), FanoutStep::Wait(at(20)));
    assert_eq!(launch_all(&mut machine, at(20)), [(ShardIndex(0), LaunchReason::Hedge)]);
}

/// Guards against a hedge that is withheld for a whole delay although it pays a moment later.
#[test]
fn a_hedge_that_does_not_pay_yet_is_considered_again_soon() {
    let mut machine = FanoutMachine::new(settings(1, 1));
    launch_all(&mut machine, at(0));
    machine.reconsider_hedge(at(10), ShardIndex(0));
    let FanoutStep::Wait(until) = machine.next_step(at(10)) else { panic!("nothing is due") };
    assert!(at(11) < until && until <= at(13), "{until}");
    assert_eq!(machine.next_step(until), FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge));
}

/// Guards against requests that wait for a silent target until their deadline because the retry budget was used up for a
/// moment.
#[test]
fn a_hedge_that_the_budget_refuses_is_tried_again_while_it_can_be_in_time() {
    let mut machine = FanoutMachine::new(settings(1, 1));
    launch_all(&mut machine, at(0));
    for now in [10, 20, 30, 40] {
        let hedge = FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge);
        assert_eq!(machine.next_step(at(now)), hedge);
        machine.note_hedge_refused(at(now), ShardIndex(0));
        assert_eq!(machine.next_step(at(now)), FanoutStep::Wait(at(now + 10)));
    }
    assert_eq!(machine.next_step(at(50)), FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge));
    machine.note_hedge_refused(at(50), ShardIndex(0));
    // A target that is asked at 60 could not answer before the answer is due at 60.
    assert_eq!(machine.next_step(at(60)), FanoutStep::Wait(at(800)));
}

#[test]
fn an_incomplete_answer_is_sent_at_the_answer_time_and_not_before() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    launch_all(&mut machine, at(10));
    for shard in 0..18 {
        machine.note_part(ShardIndex(shard));
    }
    assert!(matches!(machine.next_step(at(59)), FanoutStep::Wait(_)));
    assert_eq!(machine.next_step(at(60)), FanoutStep::Answer);
}

#[test]
fn too_few_parts_at_the_answer_time_wait_only_for_the_minimum() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    launch_all(&mut machine, at(10));
    for shard in 0..17 {
        machine.note_part(ShardIndex(shard));
    }
    assert_eq!(machine.next_step(at(60)), FanoutStep::Wait(at(800)));
    machine.note_part(ShardIndex(17));
    assert_eq!(machine.next_step(at(61)), FanoutStep::Answer);
}

#[test]
fn lost_shards_are_not_waited_for() {
    // Both targets of two shards refuse connections, so no further parts can arrive from them.
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    for shard in 0..18 {
        machine.note_part(ShardIndex(shard));
    }
    for shard in [18, 19] {
        machine.note_failed(ShardIndex(shard), false);
        assert_eq!(
            machine.next_step(at(2)),
            FanoutStep::Launch(ShardIndex(shard), LaunchReason::Retry)
        );
        machine.note_unsent(ShardIndex(shard), true);
    }
    assert_eq!(machine.next_step(at(2)), FanoutStep::Answer);
    assert_eq!(machine.parts(), 18);
}

#[test]
fn a_request_that_cannot_reach_the_minimum_fails_at_once() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    for shard in 0..3 {
        machine.note_failed(ShardIndex(shard), true);
        machine.note_unsent(ShardIndex(shard), true);
    }
    assert_eq!(machine.next_step(at(3)), FanoutStep::Fail);
}

#[test]
fn a_request_that_runs_at_most_once_is_never_hedged_or_retried_after_it_ran() {
    let mut machine = FanoutMachine::new(FanoutSettings { max_attempts: 1, ..settings(1, 1) });
    launch_all(&mut machine, at(0));
    assert_eq!(machine.next_step(at(700)), FanoutStep::Wait(at(800)));
    machine.note_failed(ShardIndex(0), true);
    assert_eq!(machine.next_step(at(700)), FanoutStep::Fail);
}

#[test]
fn a_request_that_certainly_did_not_run_is_sent_elsewhere() {
    let mut machine = FanoutMachine::new(FanoutSettings { max_attempts: 1, ..settings(1, 1) });
    launch_all(&mut machine, at(0));
    machine.note_failed(ShardIndex(0), false);
    assert_eq!(launch_all(&mut machine, at(1)), [(ShardIndex(0), LaunchReason::Retry)]);
}

#[test]
fn a_request_fails_when_the_caller_stops_waiting() {
    let mut machine = FanoutMachine::new(settings(20, 18));
    launch_all(&mut machine, at(0));
    launch_all(&mut machine, at(10));
    assert_eq!(machine.next_step(at(800)), FanoutStep::Fail);
}

#[test]
fn a_second_answer_of_a_shard_is_not_counted() {
    let mut machine = FanoutMachine::new(settings(2, 2));
    launch_all(&mut machine, at(0));
    launch_all(&mut machine, at(10));
    assert!(machine.note_part(ShardIndex(0)));
    assert!(!machine.note_part(ShardIndex(0)));
    assert_eq!(machine.parts(), 1);
}

fn record(first: u8) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[0] = first;
    record
}

#[rstest]
#[case::limit_below_count(2, &[9, 7])]
#[case::limit_above_count(10, &[9, 7, 7, 3, 1])]
#[case::no_records_wanted(0, &[])]
fn merging_keeps_the_greatest_records_in_descending_order(
    #[case] limit: usize,
    #[case] expected: &[u8],
) {
    let first = [record(3), record(9), record(7)].concat();
    // The remainder is shorter than a record and must be ignored.
    let second = [record(7).as_slice(), &record(1), &[255; 5]].concat();
    let merged = merge_records([first.as_slice(), &second], limit);
    let expected: Vec<u8> = expected.iter().flat_map(|byte| record(*byte)).collect();
    assert_eq!(merged, expected);
}

/// Guards against a request that wakes up again and again, because a hedge that came due while a retry is postponed
/// cannot be launched and still counts as the next thing to do.
#[test]
fn a_postponed_retry_is_not_kept_awake_by_a_refused_hedge() {
    let mut machine = FanoutMachine::new(settings(1, 1));
    launch_all(&mut machine, at(0));
    assert_eq!(machine.next_step(at(10)), FanoutStep::Launch(ShardIndex(0), LaunchReason::Hedge));
    machine.note_hedge_refused(at(10), ShardIndex(0));
    machine.note_failed(ShardIndex(0), true);
    assert_eq!(machine.next_step(at(15)), FanoutStep::Launch(ShardIndex(0), LaunchReason::Retry));
    machine.postpone_attempt(at(15), ShardIndex(0), Duration::from_millis(40));
    let FanoutStep::Wait(until) = machine.next_step(at(25)) else { panic!("a step at 25") };
    assert!(until > at(25), "waits until {until:?}, which has passed");
}

/// Guards against a request that blocks its thread: a due hedge beside a postponed retry is launched and postponed without
/// end.
#[test]
fn a_postponed_retry_does_not_launch_a_due_hedge_without_end() {
    let settings = FanoutSettings { max_attempts: 3, ..settings(1, 1) };
    let mut machine = FanoutMachine::new(settings);
    launch_all(&mut machine, at(0));
    launch_all(&mut machine, at(10));
    machine.note_failed(ShardIndex(0), true);
    for _ in 0..10 {
        match machine.next_step(at(20)) {
            FanoutStep::Launch(shard, _) => {
                machine.postpone_attempt(at(20), shard, Duration::from_millis(40));
            }
            FanoutStep::Wait(until) => {
                assert!(until > at(20), "waits until {until:?}, which has passed");
                return;
            }
            step => panic!("{step:?}"),
        }
    }
    panic!("the hedge is launched again and again at the same time");
}

/// Pattern: a group of shards that answers in several batches. Guards against bytes between failure domains for records
/// that cannot be in the merged answer, and against batches whose merged records differ from those of all parts.
#[test]
fn batches_without_superfluous_records_merge_to_the_same_answer() {
    let mut generator = ChaCha12Rng::seed_from_u64(41);
    for limit in [1, 3, 50] {
        for _ in 0..50 {
            let mut draw = |length: usize| -> Vec<u8> {
                (0..length * RECORD_BYTES).map(|_| generator.random_range(0..3)).collect()
            };
            let parts: Vec<Vec<u8>> = (0..9).map(|length| draw(length * 4)).collect();
            let expected = merge_records(parts.iter().map(Vec::as_slice), limit);
            let mut sent = Vec::new();
            let mut batches = Vec::new();
            for batch in parts.chunks(3) {
                let greatest = merge_records(batch.iter().map(Vec::as_slice), limit);
                let records = records_above(&greatest, &sent, limit).to_vec();
                sent = merge_records([records.as_slice(), &sent], limit);
                batches.push(records);
            }
            let merged = merge_records(batches.iter().map(Vec::as_slice), limit);
            assert_eq!(merged, expected);
        }
    }
}

#[test]
fn a_record_below_those_that_were_sent_is_left_out() {
    let of = |bytes: &[u8]| -> Vec<u8> { bytes.iter().flat_map(|b| [*b; RECORD_BYTES]).collect() };
    let sent = of(&[9, 8, 7]);
    assert_eq!(records_above(&of(&[6, 5]), &sent, 3), []);
    assert_eq!(records_above(&of(&[8, 7, 1]), &sent, 3), of(&[8]));
    assert_eq!(records_above(&of(&[6, 5]), &sent, 4), of(&[6]));
    assert_eq!(records_above(&of(&[6, 5]), &[], 1), of(&[6]));
}
