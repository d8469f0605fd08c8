//! The number of log lines is bounded under load, and what is left out is counted.

use hickoryspan_core::gateway::line_budget::{LineBudget, LineKind, LineSettings};
use hickoryspan_core::types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

#[test]
fn ordinary_lines_leave_room_for_important_ones() {
    let LineSettings { lines, reserved } = LineSettings::default();
    let mut budget = LineBudget::default();
    let mut write = |kind, count: u32| {
        (0..count).filter(|_| budget.admit(at(1_500), kind).write).count() as u32
    };
    assert_eq!(write(LineKind::Ordinary, 10 * lines), lines - reserved);
    assert_eq!(write(LineKind::Important, 10 * lines), reserved);
}

#[test]
fn lines_that_were_left_out_are_reported_once() {
    let mut budget = LineBudget::default();
    let left_out = (0..500).filter(|_| !budget.admit(at(1_500), LineKind::Important).write).count();
    let verdict = budget.admit(at(2_600), LineKind::Important);
    assert!(verdict.write);
    assert_eq!(verdict.left_out as usize, left_out);
    assert_eq!(budget.admit(at(2_601), LineKind::Important).left_out, 0);
}
