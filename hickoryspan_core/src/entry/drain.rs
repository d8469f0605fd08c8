//! The planned stop: leave the address answers, serve until they have all ended, finish, and release.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Settings of a planned stop.
#[derive(Clone, Debug)]
pub struct DrainSettings {
    /// Time from the moment this entry sees its own drain in the view until every entry knows of it, or has
    /// lost its lease and gives only short answers: the default lease of 5 s and a margin.
    pub propagation_time: Duration,
    /// Longest wait for control to accept the drain; then the entry refuses new requests anyway.
    pub acceptance_timeout: Duration,
    /// Longest wait for outcomes of orders to be recorded; control then records them as unknown when the
    /// ordinal is released.
    pub settle_timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            propagation_time: Duration::from_secs(6),
            acceptance_timeout: Duration::from_secs(60),
            settle_timeout: Duration::from_secs(60),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainPhase {
    Serving,
    /// Told control; answers that name this entry are still in use.
    Leaving {
        since: MonotonicTime,
        accepted: Option<MonotonicTime>,
    },
    /// New requests are refused.
    Refusing {
        since: MonotonicTime,
        may_leave_orders: bool,
    },
    Stopped,
}

/// The progress of a planned stop.
#[derive(Debug)]
pub struct DrainControl {
    settings: DrainSettings,
    lifetime: Duration,
    phase: DrainPhase,
}

impl DrainControl {
    /// No stop is planned; answers of all entries hold for `lifetime`.
    pub fn new(settings: DrainSettings, lifetime: Duration) -> Self {
        Self { settings, lifetime, phase: DrainPhase::Serving }
    }

    /// A planned stop begins; repeated calls change nothing.
    pub fn begin(&mut self, now: MonotonicTime) {
        if self.phase == DrainPhase::Serving {
            self.phase = DrainPhase::Leaving { since: now, accepted: None };
        }
    }

    /// Whether a stop has begun.
    pub fn is_draining(&self) -> bool {
        self.phase != DrainPhase::Serving
    }

    /// Whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        matches!(self.phase, DrainPhase::Refusing { .. } | DrainPhase::Stopped)
    }

    /// Whether the stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.phase == DrainPhase::Stopped
    }

    /// Notes whether the view in force no longer offers this entry.
    pub fn observe(&mut self, now: MonotonicTime, is_offered: bool) {
        if let DrainPhase::Leaving { accepted, .. } = &mut self.phase
            && accepted.is_none()
            && !is_offered
        {
            *accepted = Some(now);
        }
    }

    /// Begins to refuse when no answer that names this entry can be in use; `own_end` is the end of the
    /// answers that it gave itself.
    pub fn advance(&mut self, now: MonotonicTime, own_end: Option<MonotonicTime>) {
        if self.serve_until(own_end).is_some_and(|until| now >= until) {
            self.phase = DrainPhase::Refusing { since: now, may_leave_orders: false };
        }
    }

    fn serve_until(&self, own_end: Option<MonotonicTime>) -> Option<MonotonicTime> {
        let DrainPhase::Leaving { since, accepted } = self.phase else { return None };
        let limit = since + self.settings.acceptance_timeout;
        let others =
            accepted.map_or(limit, |at| at + self.settings.propagation_time + self.lifetime);
        Some(others.max(own_end.unwrap_or_default()))
    }

    /// Completes the stop if nothing is left to do; true exactly once.
    pub fn complete(&mut self, now: MonotonicTime, has_requests: bool, has_orders: bool) -> bool {
        let DrainPhase::Refusing { since, may_leave_orders } = &mut self.phase else {
            return false;
        };
        *may_leave_orders = now.since(*since) >= self.settings.settle_timeout;
        if has_requests || (has_orders && !*may_leave_orders) {
            return false;
        }
        self.phase = DrainPhase::Stopped;
        true
    }

    /// When the next step is due, as far as it depends on time.
    pub fn next_wakeup(&self, own_end: Option<MonotonicTime>) -> Option<MonotonicTime> {
        match self.phase {
            DrainPhase::Serving | DrainPhase::Stopped => None,
            DrainPhase::Leaving { .. } => self.serve_until(own_end),
            DrainPhase::Refusing { since, may_leave_orders } => {
                (!may_leave_orders).then_some(since + self.settings.settle_timeout)
            }
        }
    }
}
