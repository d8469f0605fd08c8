//! Bounds the log lines about requests, so that logging costs little when it would be needed most.

use std::time::Duration;

use crate::types::MonotonicTime;

/// The time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// How many lines one process writes about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineSettings {
    /// Lines in one second.
    pub lines: u32,
    /// Lines in one second that are kept for refusals and failures.
    pub reserved: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self { lines: 120, reserved: 80 }
    }
}

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A request that was answered, though late or in part.
    Ordinary,
    /// A request that was refused or failed, and attempts that failed.
    Important,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineVerdict {
    /// Write it.
    pub write: bool,
    /// Lines that were left out in the period that just ended; they are reported once.
    pub left_out: u32,
}

/// Counts lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    settings: LineSettings,
    began_at: MonotonicTime,
    written: u32,
    left_out: u32,
}

impl LineBudget {
    /// Decides on one line.
    pub fn admit(&mut self, now: MonotonicTime, kind: LineKind) -> LineVerdict {
        let mut left_out = 0;
        if now.since(self.began_at) >= PERIOD {
            left_out = std::mem::take(&mut self.left_out);
            self.written = 0;
            self.began_at = now;
        }
        let bound = match kind {
            LineKind::Ordinary => self.settings.lines - self.settings.reserved,
            LineKind::Important => self.settings.lines,
        };
        let write = self.written < bound;
        self.written += u32::from(write);
        self.left_out += u32::from(!write);
        LineVerdict { write, left_out }
    }
}
