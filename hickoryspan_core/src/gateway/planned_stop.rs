//! Decides which requests an entry still takes after its planned stop has begun.

use std::time::Duration;

use super::documents::document::RepeatRule;
use crate::types::MonotonicTime;

/// Factor on the usual latency of a route that must fit into the remaining time. Few requests take longer.
const LATENCY_FACTOR: u32 = 2;

/// Whether a stopping entry takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopVerdict {
    /// The request will probably be answered before the entry ends.
    Take,
    /// The request is refused before anything is sent, so that the caller can send it to another entry at once.
    Refuse,
}

/// The end of a stopping entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the requests that are still in flight end without the answer of a target.
    pub finish_at: MonotonicTime,
}

impl StopSchedule {
    /// Returns whether work that ends at `end` at the latest certainly ends before the entry does.
    pub fn covers(&self, end: MonotonicTime) -> bool {
        end <= self.finish_at
    }

    /// Decides on a request that ends at `give_up_at` at the latest and usually takes `usual_latency`. A request that
    /// may run at most once is taken only if it certainly ends before the entry does: its caller could not send it
    /// again.
    pub fn verdict(
        &self,
        now: MonotonicTime,
        give_up_at: MonotonicTime,
        repeat: RepeatRule,
        usual_latency: Duration,
    ) -> StopVerdict {
        let fits = match repeat {
            RepeatRule::AtMostOnce => self.covers(give_up_at),
            RepeatRule::Idempotent => {
                let usual_end = now + usual_latency * LATENCY_FACTOR;
                self.covers(usual_end.min(give_up_at))
            }
        };
        if fits { StopVerdict::Take } else { StopVerdict::Refuse }
    }
}
