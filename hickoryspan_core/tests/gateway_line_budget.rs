//! The number of log lines is bounded under load, and what is left out is counted.

use hickoryspan_core::gateway::log_limit::{LogLimiter, LogLimits, LogPriority};
use hickoryspan_core::types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

#[test]
fn ordinary_lines_leave_room_for_important_ones() {
    let LogLimits { lines, reserved } = LogLimits::default();
    let mut budget = LogLimiter::default();
    let mut write = |kind, count: u32| {
        (0..count).filter(|_| budget.admit(at(1_500), kind).write).count() as u32
    };
    assert_eq!(write(LogPriority::Ordinary, 10 * lines), lines - reserved);
    assert_eq!(write(LogPriority::Important, 10 * lines), reserved);
}

#[test]
fn lines_that_were_left_out_are_reported_once() {
    let mut budget = LogLimiter::default();
    let left_out =
        (0..500).filter(|_| !budget.admit(at(1_500), LogPriority::Important).write).count();
    let verdict = budget.admit(at(2_600), LogPriority::Important);
    assert!(verdict.write);
    assert_eq!(verdict.suppressed as usize, left_out);
    assert_eq!(budget.admit(at(2_601), LogPriority::Important).suppressed, 0);
}
