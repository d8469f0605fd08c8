//! The outcome of one attempt to run a request on one target.

use std::time::Duration;

use super::send_check::SendBarrier;

/// The load that a target reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Current processing time on the target's host, in percent of the usual time.
    pub latency_percent: u32,
}

/// The reason why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// The last check before sending found a reason not to send, so nothing was sent.
    Withheld(SendBarrier),
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The target rejected the request without running it, because it has no capacity.
    Shed,
    /// The target rejected the request without running it and wants no more for a while.
    Closed,
    /// The address belongs to another target; the request did not run.
    OtherTarget,
    /// The target answered with an error.
    Failed,
    /// The connection ended without a complete answer.
    Lost,
    /// The target answered, but not with a valid answer to this request.
    Malformed,
    /// No answer arrived in time.
    Timeout,
    /// This entry ended the attempt, because it needed the room of the answer or the connection for others. The target may
    /// have run the request.
    Displaced,
}

impl AttemptFailure {
    /// Returns whether it is certain that the target did not run the request and never will.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Withheld(_) | Self::Unreachable | Self::Shed | Self::Closed | Self::OtherTarget
        )
    }

    /// Returns whether the target has received nothing, so that the next attempt is the first one at the service.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Withheld(_) | Self::Unreachable)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Withheld(barrier) => barrier.as_str(),
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Closed => "closed",
            Self::OtherTarget => "other_target",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Malformed => "malformed",
            Self::Timeout => "timeout",
            Self::Displaced => "displaced",
        }
    }
}

/// The outcome of one attempt, as target selection learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt succeeded after this time.
    Success(Duration),
    /// The attempt failed.
    Failure(AttemptFailure),
    /// The attempt was cancelled after this time, because another attempt was faster or the caller
    /// disconnected.
    Cancelled(Duration),
}
