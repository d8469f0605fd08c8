//! Tests which requests a stopping entry takes.

use std::time::Duration;

use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::planned_stop::{StopSchedule, StopVerdict};
use hickoryspan_core::types::MonotonicTime;
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

/// Guards against requests that are taken shortly before the entry ends and then cut, in particular requests that may
/// not be sent again.
#[rstest]
#[case::whole_deadline_fits(1_000, 4_000, RepeatRule::AtMostOnce, 900, StopVerdict::Take)]
#[case::deadline_exceeds_the_stop(1_400, 4_000, RepeatRule::AtMostOnce, 10, StopVerdict::Refuse)]
#[case::late_and_long(4_500, 4_000, RepeatRule::AtMostOnce, 900, StopVerdict::Refuse)]
#[case::late_and_usually_short(4_500, 4_000, RepeatRule::Idempotent, 30, StopVerdict::Take)]
#[case::late_and_usually_long(4_500, 4_000, RepeatRule::Idempotent, 500, StopVerdict::Refuse)]
#[case::short_deadline(4_500, 700, RepeatRule::Idempotent, 500, StopVerdict::Take)]
#[case::after_the_end(5_400, 4_000, RepeatRule::Idempotent, 1, StopVerdict::Refuse)]
fn only_requests_that_can_end_in_time_are_taken(
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] repeat: RepeatRule,
    #[case] latency: u64,
    #[case] expected: StopVerdict,
) {
    let schedule = StopSchedule { finish_at: at(5_300) };
    let latency = Duration::from_millis(latency);
    assert_eq!(schedule.verdict(at(now), at(now + deadline), repeat, latency), expected);
}

/// Guards against groups of shards that a stopping entry begins for another one and cannot end.
#[rstest]
#[case::ends_before_the_entry(5_200, true)]
#[case::ends_with_the_entry(5_300, true)]
#[case::may_outlast_the_entry(5_301, false)]
fn only_work_that_certainly_ends_in_time_is_covered(#[case] end: u64, #[case] expected: bool) {
    assert_eq!(StopSchedule { finish_at: at(5_300) }.covers(at(end)), expected);
}
