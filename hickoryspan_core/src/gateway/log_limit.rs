//! Limits the number of log lines about requests, so that logging stays cheap under load.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Limits on the log lines that one process writes about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// Maximum number of lines per second.
    pub max_lines: u32,
    /// Number of these lines that are reserved for refusals and failures.
    pub reserved_lines: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self { max_lines: 120, reserved_lines: 80 }
    }
}

/// Importance of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogPriority {
    /// A request that was answered, even if late or partially.
    Ordinary,
    /// A refused or failed request, or a failed attempt.
    Important,
}

/// The decision on one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogVerdict {
    /// Whether to write the line.
    pub write: bool,
    /// Number of lines suppressed in the period that just ended. It is returned only once.
    pub suppressed: u32,
}

/// Counts log lines and decides which ones are written.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    limits: LogLimits,
    started_at: MonotonicTime,
    written: u32,
    suppressed: u32,
}

impl LogLimiter {
    /// Decides whether a line is written now.
    pub fn admit(&mut self, now: MonotonicTime, priority: LogPriority) -> LogVerdict {
        let mut suppressed = 0;
        if now.since(self.started_at) >= PERIOD {
            suppressed = std::mem::take(&mut self.suppressed);
            self.written = 0;
            self.started_at = now;
        }
        let bound = match priority {
            LogPriority::Ordinary => self.limits.max_lines - self.limits.reserved_lines,
            LogPriority::Important => self.limits.max_lines,
        };
        let write = self.written < bound;
        self.written += u32::from(write);
        self.suppressed += u32::from(!write);
        LogVerdict { write, suppressed }
    }
}
