//! What targets say of themselves with their answers: that they leave, or that they want no requests for a while. It holds
//! for one process of a target, whatever announcements or other hosts say of it.

use std::collections::HashMap;
use std::time::Duration;

use super::directory::TargetProcess;
use crate::types::{MonotonicTime, WallTime};

/// How long a leaving process is remembered. It ends within minutes; a late announcement must not bring it back.
const LEAVE_MEMORY: Duration = Duration::from_secs(3_600);
/// The same for a process whose start is not known, which cannot be told from the next one of its target. As long as a
/// departure is remembered.
const UNKNOWN_LEAVE_MEMORY: Duration = Duration::from_secs(120);
/// Longest time for which a target may turn all requests away with one answer.
pub const MAX_CLOSED_TIME: Duration = Duration::from_secs(3_600);
/// Number of requests in flight to a target that has just opened again, until it answers one.
const FIRST_REQUESTS: u32 = 1;
/// Number of requests in flight from which a target that has opened again is used without limit.
const REOPENED_REQUESTS: u32 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct TargetNotice {
    leaving_until: Option<MonotonicTime>,
    closed_until: Option<MonotonicTime>,
    // Number of requests that may be in flight after the target has opened again.
    allowance: u32,
}

/// The notices of all targets.
#[derive(Clone, Debug, Default)]
pub struct NoticeTable {
    notices: HashMap<TargetProcess, TargetNotice>,
}

impl NoticeTable {
    /// Records that a process leaves. Returns whether this is new.
    pub fn note_leaving(&mut self, now: MonotonicTime, process: &TargetProcess) -> bool {
        let is_new = !self.is_leaving(now, process);
        let memory = match process.started {
            WallTime(0) => UNKNOWN_LEAVE_MEMORY,
            _ => LEAVE_MEMORY,
        };
        let notice = self.notices.entry(process.clone()).or_default();
        notice.leaving_until = Some(now + memory);
        is_new
    }

    /// Records that a process wants no requests for some time. The latest end of all such times holds. Returns whether
    /// the target was open before.
    pub fn note_closed(
        &mut self,
        now: MonotonicTime,
        process: &TargetProcess,
        time: Duration,
    ) -> bool {
        let is_new = self.closed_until(now, process).is_none();
        let until = now + time.min(MAX_CLOSED_TIME);
        let notice = self.notices.entry(process.clone()).or_default();
        notice.closed_until = notice.closed_until.max(Some(until));
        notice.allowance = FIRST_REQUESTS;
        is_new
    }

    /// Records that a process served a request that was sent after it had opened again.
    pub fn note_served(&mut self, now: MonotonicTime, process: &TargetProcess) {
        let Some(notice) = self.notices.get_mut(process) else { return };
        if notice.closed_until.is_none_or(|until| now < until) {
            return;
        }
        notice.allowance *= 2;
        if notice.allowance >= REOPENED_REQUESTS {
            notice.closed_until = None;
        }
    }

    /// Returns whether a process leaves.
    pub fn is_leaving(&self, now: MonotonicTime, process: &TargetProcess) -> bool {
        let notice = self.notices.get(process);
        notice.and_then(|notice| notice.leaving_until).is_some_and(|until| now < until)
    }

    /// Returns until when a process wants no requests; `None` if it takes them.
    pub fn closed_until(
        &self,
        now: MonotonicTime,
        process: &TargetProcess,
    ) -> Option<MonotonicTime> {
        let notice = self.notices.get(process)?;
        notice.closed_until.filter(|until| now < *until)
    }

    /// Returns whether one more request may be sent to a process that has this many in flight.
    pub fn admits(&self, now: MonotonicTime, process: &TargetProcess, in_flight: u32) -> bool {
        let Some(notice) = self.notices.get(process) else { return true };
        if notice.leaving_until.is_some_and(|until| now < until) {
            return false;
        }
        // All that has waited would otherwise arrive in the same moment.
        notice.closed_until.is_none_or(|until| now >= until && in_flight < notice.allowance)
    }

    /// Returns whether there is any notice.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Forgets notices that have ended, and those of former processes of a target.
    pub fn expire(
        &mut self,
        now: MonotonicTime,
        started: impl Fn(&TargetProcess) -> Option<WallTime>,
    ) {
        self.notices.retain(|process, notice| {
            let leaves = notice.leaving_until.is_some_and(|until| now < until);
            let is_former = started(process).is_some_and(|started| started > process.started);
            !is_former
                && (leaves
                    || notice.closed_until.is_some_and(|until| now < until + MAX_CLOSED_TIME))
        });
    }
}

/// Why the time of a `Retry-After` header is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryTimeError {
    /// It is not a number of seconds; dates are not used, because clocks differ.
    #[error("{0:?} is not a number of seconds")]
    NotSeconds(String),
    /// It is negative, infinite or not a number.
    #[error("{0:?} is not a possible time")]
    OutOfRange(String),
}

/// Reads the time of a `Retry-After` header in seconds, which may have a fraction. Longer times count as
/// [`MAX_CLOSED_TIME`].
pub fn read_retry_time(text: &str) -> Result<Duration, RetryTimeError> {
    let text = text.trim();
    let seconds: f64 = text.parse().map_err(|_| RetryTimeError::NotSeconds(text.to_owned()))?;
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(RetryTimeError::OutOfRange(text.to_owned()));
    }
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_CLOSED_TIME).min(MAX_CLOSED_TIME))
}
