//! Graceful shutdown of an entry.
//!
//! The entry asks control to mark it as draining, so that entries stop giving out its address. It serves new
//! requests until all answers with its address have expired, then refuses them, completes the rest and releases
//! its ordinal.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Settings of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct DrainSettings {
    /// Time from the drain's appearance in this entry's view until every other entry has seen it, too, or has
    /// lost its lease and gives only short-lived answers. The default lease of 5 s plus a margin.
    pub propagation_time: Duration,
    /// Timeout for control to accept the drain. After it, the entry refuses new requests anyway.
    pub acceptance_timeout: Duration,
    /// Timeout for recording outcomes of orders. After it, the ordinal is released, and control records the
    /// remaining outcomes as unknown.
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
    /// The drain was requested. Callers may still hold answers with this entry's address.
    Leaving {
        since: MonotonicTime,
        accepted: Option<MonotonicTime>,
    },
    /// New requests are refused while active ones and unsettled orders complete.
    Refusing {
        since: MonotonicTime,
        may_abandon_orders: bool,
    },
    Stopped,
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct DrainControl {
    settings: DrainSettings,
    lifetime: Duration,
    phase: DrainPhase,
}

impl DrainControl {
    /// Creates the state without a shutdown. `lifetime` is the time for which callers may use the entries' address
    /// answers.
    pub fn new(settings: DrainSettings, lifetime: Duration) -> Self {
        Self { settings, lifetime, phase: DrainPhase::Serving }
    }

    /// Begins the shutdown. Further calls have no effect.
    pub fn begin(&mut self, now: MonotonicTime) {
        if self.phase == DrainPhase::Serving {
            self.phase = DrainPhase::Leaving { since: now, accepted: None };
        }
    }

    /// Returns whether the shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.phase != DrainPhase::Serving
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        matches!(self.phase, DrainPhase::Refusing { .. } | DrainPhase::Stopped)
    }

    /// Returns whether the shutdown is complete.
    pub fn is_stopped(&self) -> bool {
        self.phase == DrainPhase::Stopped
    }

    /// Records the first time at which the view in force does not offer this entry's address.
    pub fn observe_view(&mut self, now: MonotonicTime, is_advertised: bool) {
        if let DrainPhase::Leaving { accepted, .. } = &mut self.phase
            && accepted.is_none()
            && !is_advertised
        {
            *accepted = Some(now);
        }
    }

    /// Starts to refuse requests once all answers with this entry's address have expired. `own_expiry` is the
    /// expiry of those that this entry gave itself.
    pub fn advance(&mut self, now: MonotonicTime, own_expiry: Option<MonotonicTime>) {
        if self.serve_until(own_expiry).is_some_and(|until| now >= until) {
            self.phase = DrainPhase::Refusing { since: now, may_abandon_orders: false };
        }
    }

    fn serve_until(&self, own_expiry: Option<MonotonicTime>) -> Option<MonotonicTime> {
        let DrainPhase::Leaving { since, accepted } = self.phase else { return None };
        let limit = since + self.settings.acceptance_timeout;
        let others =
            accepted.map_or(limit, |at| at + self.settings.propagation_time + self.lifetime);
        Some(others.max(own_expiry.unwrap_or_default()))
    }

    /// Completes the shutdown if no work is left, or only orders past the settle timeout. Returns `true`
    /// exactly once.
    pub fn complete(
        &mut self,
        now: MonotonicTime,
        has_requests: bool,
        has_unsettled_orders: bool,
    ) -> bool {
        let DrainPhase::Refusing { since, may_abandon_orders } = &mut self.phase else {
            return false;
        };
        *may_abandon_orders = now.since(*since) >= self.settings.settle_timeout;
        if has_requests || (has_unsettled_orders && !*may_abandon_orders) {
            return false;
        }
        self.phase = DrainPhase::Stopped;
        true
    }

    /// Returns the time of the next step, or `None` if no step depends on time.
    pub fn next_wakeup(&self, own_expiry: Option<MonotonicTime>) -> Option<MonotonicTime> {
        match self.phase {
            DrainPhase::Serving | DrainPhase::Stopped => None,
            DrainPhase::Leaving { .. } => self.serve_until(own_expiry),
            DrainPhase::Refusing { since, may_abandon_orders } => {
                (!may_abandon_orders).then_some(since + self.settings.settle_timeout)
            }
        }
    }
}
