//! Tests of what targets say of themselves with their answers, without a network: that they leave, and that they want no
//! requests for a while.

use std::time::Duration;

use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetPhase, TargetProcess,
};
use hickoryspan_core::gateway::targets::outcomes::{AttemptFailure, AttemptOutcome};
use hickoryspan_core::gateway::targets::selection::{SelectionSettings, TargetSelector};
use hickoryspan_core::gateway::targets::send_check::SendBarrier;
use hickoryspan_core::gateway::targets::target_notices::{MAX_CLOSED_TIME, read_retry_time};
use hickoryspan_core::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rstest::rstest;

const MEDIAN: Duration = Duration::from_millis(8);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn service() -> ServiceId {
    ServiceId::new("search").expect("a name")
}

fn announcement(number: u64, started: u64, port: u16) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId::new(format!("t{number}")).expect("a name"),
        age: AnnouncementAge { started: WallTime(started), sequence: 1 },
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        domain: FailureDomain::new("a").expect("a name"),
        slots: 4,
        phase: TargetPhase::Ready,
        cold: Duration::ZERO,
    }
}

fn process(number: u64, started: u64) -> TargetProcess {
    let target = TargetId::new(format!("t{number}")).expect("a name");
    TargetProcess { target, started: WallTime(started) }
}

fn selector(seed: u64) -> TargetSelector {
    let domain = FailureDomain::new("a").expect("a name");
    let generator = ChaCha12Rng::seed_from_u64(seed);
    TargetSelector::new(SelectionSettings::default(), domain, generator)
}

/// Guards against a leaving target that gets requests again, because an announcement of the same process comes late, names
/// another address, or comes after it had been forgotten.
#[test]
fn a_leaving_process_gets_no_request_until_the_next_one_starts() {
    let mut selector = selector(1);
    selector.put(at(0), announcement(1, 10, 9_001));
    let chosen = selector.choose(at(1), &service(), &[]).expect("a target");
    assert!(selector.notices_mut().note_leaving(at(2), &process(1, 10)));
    assert_eq!(selector.check_target(at(2), &chosen, &service()), Err(SendBarrier::Leaving));
    assert_eq!(selector.choose(at(3), &service(), &[]), None);
    selector.put(at(4), announcement(1, 10, 9_001));
    selector.put(at(5), announcement(1, 10, 9_005));
    selector.remove(&chosen.target);
    selector.expire_notices(at(10_000));
    selector.put(at(10_001), announcement(1, 10, 9_001));
    assert_eq!(selector.choose(at(10_002), &service(), &[]), None);
    assert_eq!(selector.opens_at(at(10_002), &service()), None);
    selector.put(at(10_003), announcement(1, 11, 9_001));
    assert!(selector.choose(at(10_004), &service(), &[]).is_some());
}

/// Guards against requests to a target that has turned all away for a while, also after a shorter time was heard, and
/// against the burst of all that waited.
#[test]
fn a_closed_target_opens_at_the_latest_time_and_gradually() {
    let mut selector = selector(2);
    selector.put(at(0), announcement(1, 10, 9_001));
    selector.notices_mut().note_closed(at(0), &process(1, 10), Duration::from_secs(3));
    selector.notices_mut().note_closed(at(100), &process(1, 10), Duration::from_secs(1));
    // The same process at another address is as closed.
    selector.put(at(200), announcement(1, 10, 9_002));
    for now in [200, 1_500, 2_999] {
        assert_eq!(selector.choose(at(now), &service(), &[]), None, "{now} ms");
        assert_eq!(selector.opens_at(at(now), &service()), Some(at(3_000)));
    }
    let mut waves = Vec::new();
    for wave in 0..6 {
        let now = at(3_000 + wave * 100);
        let mut sent = Vec::new();
        while let Some(chosen) = selector.choose(now, &service(), &[]) {
            sent.push(chosen);
            if sent.len() == 40 {
                break;
            }
        }
        waves.push(sent.len());
        for chosen in sent.drain(..) {
            selector.finish(now, &chosen.target, AttemptOutcome::Success(MEDIAN), MEDIAN);
        }
        selector.notices_mut().note_served(now, &process(1, 10));
    }
    assert_eq!(waves, [1, 2, 4, 8, 40, 40]);
}

/// Guards against an ejection or a lasting bad mark for a target that only asked for a pause.
#[test]
fn a_rejection_with_a_time_is_no_sign_of_sickness() {
    let mut selector = selector(3);
    selector.put(at(0), announcement(1, 10, 9_001));
    selector.put(at(0), announcement(2, 10, 9_002));
    for _ in 0..20 {
        let target = process(1, 10).target;
        let outcome = AttemptOutcome::Failure(AttemptFailure::Closed);
        selector.finish(at(1), &target, outcome, MEDIAN);
    }
    let mut counts = [0, 0];
    for index in 0..200 {
        let chosen = selector.choose(at(2 + index), &service(), &[]).expect("a target");
        counts[usize::from(chosen.target == process(2, 10).target)] += 1;
        selector.finish(at(2 + index), &chosen.target, AttemptOutcome::Success(MEDIAN), MEDIAN);
    }
    assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
}

/// Guards against a time that ends the process, blocks a target for ever, or is taken for zero.
#[rstest]
#[case("3", Some(3_000))]
#[case(" 0.25 ", Some(250))]
#[case("0", Some(0))]
#[case("86400", Some(3_600_000))]
#[case("1e300", Some(3_600_000))]
#[case("-1", None)]
#[case("nan", None)]
#[case("inf", None)]
#[case("", None)]
#[case("Sat, 05 Dec 2026 00:00:00 GMT", None)]
fn retry_times_are_read_or_refused(#[case] text: &str, #[case] millis: Option<u64>) {
    assert_eq!(MAX_CLOSED_TIME, Duration::from_millis(3_600_000));
    assert_eq!(read_retry_time(text).ok(), millis.map(Duration::from_millis));
}

/// Guards against any order of answers, announcements, moves, restarts and forgotten targets after which a request reaches
/// a process that leaves or is closed.
#[rstest]
fn no_order_of_events_sends_to_a_leaving_or_closed_process(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mut selector = selector(seed);
    let mut starts = [10_u64; 3];
    let mut leaving = [false; 3];
    let mut closed_until = [0_u64; 3];
    for step in 0..4_000 {
        let now = step * 20;
        let index = generator.random_range(0..3);
        let number = index as u64;
        let started = starts[index];
        match generator.random_range(0..40) {
            0 => {
                selector.notices_mut().note_leaving(at(now), &process(number, started));
                leaving[index] = true;
            }
            1 => {
                let millis = generator.random_range(1..3_000);
                let time = Duration::from_millis(millis);
                selector.notices_mut().note_closed(at(now), &process(number, started), time);
                closed_until[index] = closed_until[index].max(now + millis);
            }
            2 => {
                starts[index] += 1;
                leaving[index] = false;
                closed_until[index] = 0;
                selector.put(at(now), announcement(number, starts[index], 9_000));
            }
            3 => selector.remove(&process(number, started).target),
            4 => selector.expire_notices(at(now)),
            5..15 => {
                let port = generator.random_range(9_000..9_003);
                selector.put(at(now), announcement(number, started, port));
            }
            _ => {
                let Some(chosen) = selector.choose(at(now), &service(), &[]) else { continue };
                let index = (0..3).find(|index| process(*index, 0).target == chosen.target);
                let index = index.expect("a known target") as usize;
                assert!(!leaving[index], "step {step}: {chosen:?} leaves");
                assert!(closed_until[index] <= now, "step {step}: {chosen:?} is closed");
                let outcome = AttemptOutcome::Success(MEDIAN);
                selector.finish(at(now), &chosen.target, outcome, MEDIAN);
                let process = process(index as u64, starts[index]);
                selector.notices_mut().note_served(at(now), &process);
            }
        }
    }
}
