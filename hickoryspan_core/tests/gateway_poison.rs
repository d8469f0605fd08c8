//! Tests the detection of requests that crash their targets, that all hosts count the same crashes, and that other lost
//! answers do not trigger it.

use std::collections::BTreeSet;
use std::time::Duration;

use hickoryspan_core::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use hickoryspan_core::gateway::targets::directory::TargetProcess;
use hickoryspan_core::gateway::targets::poison::{
    NoticedCrash, PoisonTable, SuspicionChange, SuspicionRecord, TargetCrash,
};
use hickoryspan_core::types::{MonotonicTime, RequestFingerprint, TargetId, WallTime};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

const FINGERPRINT: RequestFingerprint = RequestFingerprint([7; 32]);
const HOSTS: usize = 7;
const LIFETIME: Duration = Duration::from_secs(600);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(seconds * 1_000_000)
}

fn process(target: u32) -> TargetProcess {
    TargetProcess {
        target: TargetId::new(format!("target-{target}")).expect("a name"),
        started: WallTime(1),
    }
}

fn crash(target: u32) -> TargetCrash {
    let TargetProcess { target, started } = process(target);
    TargetCrash { target, started, restarts: 0 }
}

/// A crash that the table's own process noticed at this time.
fn noticed(crash: TargetCrash, lost_at: MonotonicTime) -> NoticedCrash {
    NoticedCrash { crash, lost_at: Some(lost_at) }
}

fn crashes(lost_at: MonotonicTime, targets: impl IntoIterator<Item = u32>) -> Vec<NoticedCrash> {
    targets.into_iter().map(|target| noticed(crash(target), lost_at)).collect()
}

/// Passes all changes of one table to another.
fn pass_on(now: MonotonicTime, from: &PoisonTable, to: &mut PoisonTable) {
    for record in from.changed_since(now, ChangeNumber::default()) {
        to.merge(now, record);
    }
}

#[test]
fn a_request_that_crashed_three_targets_is_refused() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), [1, 2]));
    assert!(!table.is_condemned(at(2), &FINGERPRINT));
    table.note_run(at(3), FINGERPRINT, false, crashes(at(3), [3]));
    assert!(table.is_condemned(at(4), &FINGERPRINT));
    assert!(!table.is_condemned(at(4), &RequestFingerprint([8; 32])));
}

/// Guards against several requests that were lost with one target being counted as several crashes.
#[test]
fn a_target_that_crashed_once_counts_once() {
    let mut table = PoisonTable::default();
    for second in 0..10 {
        table.note_run(at(second), FINGERPRINT, false, crashes(at(second), [1, 2]));
    }
    assert!(!table.is_condemned(at(10), &FINGERPRINT));
    let restarted = TargetCrash { started: WallTime(2), ..crash(1) };
    table.note_run(at(11), FINGERPRINT, false, [noticed(restarted, at(11))]);
    assert!(table.is_condemned(at(11), &FINGERPRINT));
}

#[test]
fn lost_answers_of_some_shards_condemn_no_request_that_others_answered() {
    let mut table = PoisonTable::default();
    for second in 0..20 {
        table.note_run(at(second), FINGERPRINT, true, crashes(at(second), 0..12));
    }
    assert!(!table.is_condemned(at(20), &FINGERPRINT));
}

#[test]
fn an_answer_ends_the_suspicion() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), [1, 2]));
    let change = table.note_run(at(2), FINGERPRINT, true, []);
    assert_eq!(change, SuspicionChange::Cleared);
    table.note_run(at(3), FINGERPRINT, false, crashes(at(3), [3, 4]));
    assert!(!table.is_condemned(at(4), &FINGERPRINT));
}

#[test]
fn a_refusal_ends_after_a_while() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..5));
    assert!(table.is_condemned(at(1) + LIFETIME - Duration::from_secs(1), &FINGERPRINT));
    assert!(!table.is_condemned(at(1) + LIFETIME + Duration::from_secs(1), &FINGERPRINT));
}

/// Guards against seven entries that let a request crash three targets each.
#[test]
fn crashes_seen_by_different_hosts_add_up() {
    let mut tables = vec![PoisonTable::default(); HOSTS];
    for (table, target) in tables.iter_mut().zip(0..3) {
        table.note_run(at(1), FINGERPRINT, false, [noticed(crash(target), at(1))]);
    }
    let mut hub = PoisonTable::default();
    for table in &tables {
        pass_on(at(2), table, &mut hub);
    }
    for table in &mut tables {
        pass_on(at(2), &hub, table);
        assert!(table.is_condemned(at(2), &FINGERPRINT));
    }
}

/// Guards against records that depend on the order or number of their deliveries.
#[rstest]
fn records_merge_in_any_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mut tables = vec![PoisonTable::default(); HOSTS];
    for second in 0..200 {
        let host = generator.random_range(0..HOSTS);
        let fingerprint = RequestFingerprint([generator.random_range(0..4); 32]);
        let answered = generator.random_bool(0.2);
        let target = generator.random_range(0..5);
        tables[host].note_run(
            at(second),
            fingerprint,
            answered,
            [noticed(crash(target), at(second))],
        );
        let (from, to) = (generator.random_range(0..HOSTS), generator.random_range(0..HOSTS));
        let source = tables[from].clone();
        pass_on(at(second), &source, &mut tables[to]);
    }
    let all: Vec<SuspicionRecord> = tables
        .iter()
        .flat_map(|table| table.changed_since(at(200), ChangeNumber::default()))
        .collect();
    let mut merged = Vec::new();
    for _ in 0..HOSTS {
        let mut shuffled = [all.clone(), all.clone()].concat();
        shuffled.shuffle(&mut generator);
        let mut table = PoisonTable::default();
        for record in shuffled {
            table.merge(at(200), record);
        }
        let mut records = table.changed_since(at(200), ChangeNumber::default());
        records.sort_by_key(|record| record.fingerprint);
        let known: Vec<(RequestFingerprint, u32, BTreeSet<TargetCrash>)> =
            records.into_iter().map(|r| (r.fingerprint, r.clearances, r.crashes)).collect();
        merged.push(known);
    }
    assert!(merged.iter().all(|known| *known == merged[0]));
}

/// Guards against hosts that pass the same record to each other forever.
#[test]
fn a_known_record_is_no_change() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), [1, 2]));
    let changed = table.changed_since(at(2), ChangeNumber::default());
    assert_eq!(changed.len(), 1);
    let newest = table.newest();
    assert!(!table.merge(at(3), changed[0].clone()));
    assert!(table.changed_since(at(3), newest).is_empty());
}

/// Guards against a process that restarts with what it had saved and counts from zero, or extends the refusal.
#[test]
fn a_restored_record_keeps_its_age() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..3));
    let saved = table.changed_since(at(101), ChangeNumber::default());
    let mut restarted = PoisonTable::default();
    for record in saved {
        restarted.merge(at(5), record);
    }
    assert!(restarted.is_condemned(at(504), &FINGERPRINT));
    assert!(!restarted.is_condemned(at(506), &FINGERPRINT));
}

/// Guards against refusing requests whose connections were reset while their targets live on.
#[test]
fn a_target_that_answers_later_has_not_crashed() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..3));
    table.note_response(&process(0), at(0), at(0));
    assert!(table.is_condemned(at(2), &FINGERPRINT));
    table.note_response(&process(0), at(0), at(2));
    assert!(!table.is_condemned(at(2), &FINGERPRINT));
    let restarted = TargetCrash { started: WallTime(2), ..crash(0) };
    table.note_run(at(3), FINGERPRINT, false, [noticed(restarted, at(3))]);
    assert!(table.is_condemned(at(3), &FINGERPRINT));
}

/// Guards against a flood of suspects that drops the condemned ones or grows without bound.
#[test]
fn a_condemned_request_outlasts_many_suspects() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..3));
    // As many as seven entries may report in 30 s.
    for number in 0..6_720_u32 {
        let record = SuspicionRecord {
            fingerprint: numbered(number),
            clearances: 0,
            crashes: [crash(number)].into(),
            age: Duration::ZERO,
        };
        table.merge(at(2), record);
    }
    assert!(table.is_condemned(at(3), &FINGERPRINT));
    assert!(table.changed_since(at(3), ChangeNumber::default()).len() <= 1_024);
}

fn numbered(number: u32) -> RequestFingerprint {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&number.to_le_bytes());
    RequestFingerprint(bytes)
}

/// Guards against the loss of many targets that makes every entry send thousands of suspicions to all hosts, and against
/// a request that is not suspected because others were.
#[test]
fn the_loss_of_many_targets_begins_few_suspicions() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), [1, 2]));
    for number in 0..5_000 {
        table.note_run(at(2), numbered(number), false, [noticed(crash(number % 40), at(2))]);
    }
    assert!(table.changed_since(at(2), ChangeNumber::default()).len() <= 40);
    table.note_run(at(2), FINGERPRINT, false, [noticed(crash(3), at(2))]);
    assert!(table.is_condemned(at(2), &FINGERPRINT));
    let later = numbered(6_000);
    table.note_run(at(4), later, false, crashes(at(4), 0..3));
    assert!(table.is_condemned(at(4), &later));
}

/// Guards against a request that stays refused although its targets live on, because there were many suspects.
#[test]
fn a_target_that_answers_later_has_not_crashed_in_a_full_table_either() {
    let mut table = PoisonTable::default();
    for number in 0..1_024 {
        let record = SuspicionRecord {
            fingerprint: numbered(number),
            clearances: 0,
            crashes: [crash(1_000 + number)].into(),
            age: Duration::ZERO,
        };
        table.merge(at(1), record);
    }
    table.note_run(at(2), FINGERPRINT, false, crashes(at(2), 0..3));
    assert!(table.is_condemned(at(2), &FINGERPRINT));
    table.note_response(&process(0), at(1), at(3));
    assert!(!table.is_condemned(at(3), &FINGERPRINT));
}

/// Guards against a request that is sent on again and again, because answers of a target that has started again seemed to
/// show that it had not crashed.
#[test]
fn an_answer_over_a_newer_connection_refutes_no_crash() {
    let mut table = PoisonTable::default();
    table.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..3));
    // The target is back, and its first announcement has not arrived.
    table.note_response(&process(0), at(2), at(3));
    assert!(table.is_condemned(at(3), &FINGERPRINT));
}

/// Guards against a retry that ends long after the crash: connections that were opened in between belong to the next
/// process of the target.
#[test]
fn a_crash_counts_from_the_loss_of_its_connection_and_not_from_the_end_of_its_run() {
    let mut table = PoisonTable::default();
    table.note_run(at(5), FINGERPRINT, false, crashes(at(1), 0..3));
    table.note_response(&process(0), at(3), at(6));
    assert!(table.is_condemned(at(6), &FINGERPRINT));
}

/// Guards against a crash that another entry noticed and reported late: a connection to the next process is older than
/// the report.
#[test]
fn an_answer_refutes_no_crash_that_another_host_noticed() {
    let mut other = PoisonTable::default();
    other.note_run(at(1), FINGERPRINT, false, crashes(at(1), 0..3));
    let mut table = PoisonTable::default();
    pass_on(at(5), &other, &mut table);
    table.note_response(&process(0), at(3), at(6));
    assert!(table.is_condemned(at(6), &FINGERPRINT));
}

/// Guards against targets that crash again before they have announced their new process, or that never name the time of
/// their start: all these crashes would count as one.
#[rstest]
#[case::one_host_notices_all(1)]
#[case::each_is_noticed_by_another_host(3)]
fn a_target_that_crashes_after_each_restart_counts_each_time(#[case] hosts: usize) {
    let mut tables = vec![PoisonTable::default(); hosts];
    for round in 0..3_u64 {
        let now = at(10 * round + 5);
        let connected_at = at(10 * round + 4);
        let table = &mut tables[round as usize % hosts];
        assert!(!table.is_condemned(now, &FINGERPRINT), "round {round}");
        let crash = table.identify_crash(&process(1), connected_at);
        assert_eq!(crash.restarts, round as u32);
        table.note_run(now, FINGERPRINT, false, [noticed(crash, now)]);
        for from in 0..hosts {
            let source = tables[from].clone();
            tables.iter_mut().for_each(|table| pass_on(now, &source, table));
        }
    }
    assert!(tables.iter().all(|table| table.is_condemned(at(30), &FINGERPRINT)));
}

/// Guards against several lost requests of one crash that count as several crashes.
#[test]
fn requests_lost_on_older_connections_belong_to_the_same_crash() {
    let mut table = PoisonTable::default();
    let first = table.identify_crash(&process(1), at(1));
    table.note_run(at(5), FINGERPRINT, false, [noticed(first.clone(), at(5))]);
    assert_eq!(table.identify_crash(&process(1), at(4)), first);
}

/// Pattern: 195 entries and five control hosts, of which each tells all entries what one of them has noticed. Guards
/// against entries that send it back to all control hosts, which was a tenth of the bytes on the large site while targets
/// were lost.
#[test]
fn an_entry_tells_only_what_it_noticed_itself() {
    let fingerprint = |byte| RequestFingerprint([byte; 32]);
    let mut noticing = PoisonTable::default();
    let mut hearing = PoisonTable::default();
    noticing.note_run(at(0), fingerprint(1), false, crashes(at(0), [1]));
    let known = ChangeNumber::default();
    let told = noticing.own_changed_since(at(1), known);
    assert_eq!(told.len(), 1);
    hearing.merge_all(at(1), told);
    assert_eq!(hearing.own_changed_since(at(2), known), Vec::new());
    assert_eq!(hearing.changed_since(at(2), known).len(), 1, "a control host passes it on");

    // What is heard must not hide what was noticed before and has not been told yet.
    hearing.note_run(at(3), fingerprint(2), false, crashes(at(3), [2]));
    noticing.note_run(at(3), fingerprint(2), false, crashes(at(3), [3]));
    hearing.merge_all(at(4), noticing.own_changed_since(at(4), known));
    let told = hearing.own_changed_since(at(5), known);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].crashes.len(), 2);

    // An answer is noticed here too.
    let newest = hearing.newest();
    hearing.note_run(at(6), fingerprint(1), true, []);
    assert_eq!(hearing.own_changed_since(at(7), newest).len(), 1);
}
