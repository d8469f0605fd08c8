//! Bounds the log lines about requests, so that logging costs little when it would be needed most.

use std::time::Duration;

use crate::types::MonotonicTime;

/// The time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// How many lines one process writes about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// Lines in one second.
    pub lines: u32,
    /// Lines in one second that are kept for refusals and failures.
    pub reserved: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self { lines: 120, reserved: 80 }
    }
}

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogPriority {
    /// A request that was answered, though late or in part.
    Ordinary,
    /// A request that was refused or failed, and attempts that failed.
    Important,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogVerdict {
    /// Write it.
    pub write: bool,
    /// Lines that were left out in the period that just ended; they are reported once.
    pub suppressed: u32,
}

/// Counts lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    settings: LogLimits,
    started_at: MonotonicTime,
    written: u32,
    suppressed: u32,
}

impl LogLimiter {
    /// Decides on one line.
    pub fn admit(&mut self, now: MonotonicTime, priority: LogPriority) -> LogVerdict {
        let mut suppressed = 0;
        if now.since(self.started_at) >= PERIOD {
            suppressed = std::mem::take(&mut self.suppressed);
            self.written = 0;
            self.started_at = now;
        }
        let bound = match priority {
            LogPriority::Ordinary => self.settings.lines - self.settings.reserved,
            LogPriority::Important => self.settings.lines,
        };
        let write = self.written < bound;
        self.written += u32::from(write);
        self.suppressed += u32::from(!write);
        LogVerdict { write, suppressed }
    }
}
