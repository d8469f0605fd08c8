//! Tests that the number of log lines is bounded under load and that suppressed lines are counted.

use hickoryspan_core::gateway::log_limit::{LogLimiter, LogLimits, LogPriority};
use hickoryspan_core::types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

#[test]
fn ordinary_lines_leave_room_for_important_ones() {
    let LogLimits { max_lines, reserved_lines } = LogLimits::default();
    let mut limiter = LogLimiter::default();
    let mut write = |priority, count: u32| {
        (0..count).filter(|_| limiter.admit(at(1_500), priority).write).count() as u32
    };
    assert_eq!(write(LogPriority::Ordinary, 10 * max_lines), max_lines - reserved_lines);
    assert_eq!(write(LogPriority::Important, 10 * max_lines), reserved_lines);
}

#[test]
fn suppressed_lines_are_reported_once() {
    let mut limiter = LogLimiter::default();
    let suppressed =
        (0..500).filter(|_| !limiter.admit(at(1_500), LogPriority::Important).write).count();
    let verdict = limiter.admit(at(2_600), LogPriority::Important);
    assert!(verdict.write);
    assert_eq!(verdict.suppressed as usize, suppressed);
    assert_eq!(limiter.admit(at(2_601), LogPriority::Important).suppressed, 0);
}
