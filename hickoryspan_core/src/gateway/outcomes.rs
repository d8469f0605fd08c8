//! What became of one attempt to run a request on one target.

use std::time::Duration;

/// The load that a target reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes on the target's host at this moment, in percent of the usual time.
    pub latency_percent: u32,
}

/// Why an attempt did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection could be opened, and no byte was sent.
    Unreachable,
    /// The target said that it did not run the request, because it has no room.
    Shed,
    /// Another target has the address; the request did not run.
    OtherTarget,
    /// The target answered with a failure.
    Failed,
    /// The connection ended, or the answer was no usable answer to this request.
    Lost,
    /// There was no answer in time.
    Timeout,
}

impl AttemptFailure {
    /// Whether it is certain that the target did not run the request and never will.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Shed | Self::OtherTarget)
    }

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::OtherTarget => "other_target",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
        }
    }
}

/// The end of one attempt, as routing learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It succeeded after this time.
    Success(Duration),
    /// It did not succeed.
    Failure(AttemptFailure),
    /// It was cancelled after this time, because another attempt was faster or the caller left.
    Cancelled(Duration),
}
