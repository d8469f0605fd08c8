//! The last check before a request leaves for a target. A request may have waited since the target was chosen, for a
//! connection or a permit, and what was true then may no longer be.

/// Why a request is not sent to the target that was chosen for it. Nothing has been sent, so another target may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendBarrier {
    /// The target has left, or its lease has expired.
    Gone,
    /// The target has started again, and what was known of it belongs to its former process.
    Restarted,
    /// The target has another address or serves another service.
    Moved,
    /// The target finishes its running work and accepts no more.
    Draining,
    /// The target has said in an answer that it leaves.
    Leaving,
    /// The target has said in an answer that it wants no requests for a while.
    Closed,
    /// The target's failure domain is evacuated.
    Evacuated,
    /// The target is cold, and the request has no permit for it or waited too long with one.
    Cold,
    /// The configuration sends the request to other services now.
    Rerouted,
    /// The configuration no longer contains the key of the request.
    Revoked,
    /// The request has probably crashed several targets.
    Condemned,
    /// The caller does not wait any longer.
    DeadlinePassed,
}

impl SendBarrier {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Restarted => "restarted",
            Self::Moved => "moved",
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Closed => "closed",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::Rerouted => "rerouted",
            Self::Revoked => "revoked",
            Self::Condemned => "condemned",
            Self::DeadlinePassed => "deadline_passed",
        }
    }

    /// Returns whether another target may get the request. Otherwise no target should.
    pub fn allows_other_target(self) -> bool {
        !matches!(self, Self::Rerouted | Self::Revoked | Self::Condemned | Self::DeadlinePassed)
    }
}
