//! Tests the detection of requests that crash their targets, and that other lost answers do not
//! trigger it.

use std::time::Duration;

use hickoryspan_core::gateway::poison::{PoisonTable, RunCounts};
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint};

const FINGERPRINT: RequestFingerprint = RequestFingerprint([7; 32]);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(seconds * 1_000_000)
}

fn run(answered: u32, lost: u32) -> RunCounts {
    RunCounts { answered, lost }
}

#[test]
fn a_request_that_crashed_three_targets_is_refused() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, run(0, 2));
    assert!(!table.is_condemned(at(2), &FINGERPRINT));
    table.note_run(at(3), FINGERPRINT, run(0, 1));
    assert!(table.is_condemned(at(4), &FINGERPRINT));
    assert!(!table.is_condemned(at(4), &RequestFingerprint([8; 32])));
}

#[test]
fn lost_answers_of_some_shards_condemn_no_request_that_others_answered() {
    let mut table = PoisonTable::default();
    for second in 0..20 {
        table.note_run(at(second), FINGERPRINT, run(18, 12));
    }
    assert!(!table.is_condemned(at(20), &FINGERPRINT));
}

#[test]
fn an_answer_ends_the_suspicion() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, run(0, 2));
    table.note_run(at(2), FINGERPRINT, run(1, 0));
    table.note_run(at(3), FINGERPRINT, run(0, 2));
    assert!(!table.is_condemned(at(4), &FINGERPRINT));
}

#[test]
fn a_refusal_ends_after_a_while() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, run(0, 5));
    assert!(table.is_condemned(at(30), &FINGERPRINT));
    assert!(!table.is_condemned(at(1) + Duration::from_secs(61), &FINGERPRINT));
}
