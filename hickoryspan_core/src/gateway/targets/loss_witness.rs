//! Judges lost connections by the other shards of the same request. If targets of several shards and failure domains are
//! lost within moments, and no shard has answered, the request is the likely cause, and second attempts would crash the
//! other targets too.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::types::{FailureDomain, MonotonicTime, TargetId};

/// Smallest number of shards that can judge a loss.
const MIN_SHARDS: usize = 4;
/// Number of lost targets from which the request is the likely cause, as many as condemn a request.
const MIN_LOSSES: usize = 3;
/// Number of failure domains of the lost targets. The loss of a single domain looks the same otherwise.
const MIN_DOMAINS: usize = 2;
/// How long a second attempt waits for the losses of other shards, unless a shard answers before. The first attempts of a
/// request leave together, but targets begin to run it one after the other, as their queues allow.
const SETTLE_TIME: Duration = Duration::from_millis(40);

/// What a request should do about a shard whose target was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossVerdict {
    /// A second attempt may be made.
    Retry,
    /// It is too early to tell.
    Wait(Duration),
    /// The request is the likely cause, so no second attempt may be made.
    Suspect,
}

/// The losses of one request.
#[derive(Clone, Debug)]
pub struct LossWitness {
    shards: usize,
    targets: BTreeSet<TargetId>,
    domains: BTreeSet<FailureDomain>,
    first_loss: Option<MonotonicTime>,
    answered: bool,
}

impl LossWitness {
    /// Creates the state of a request over this many shards.
    pub fn new(shards: usize) -> Self {
        Self {
            shards,
            targets: BTreeSet::new(),
            domains: BTreeSet::new(),
            first_loss: None,
            answered: false,
        }
    }

    /// Records that the connection to a target was lost while it ran the request.
    pub fn note_loss(&mut self, now: MonotonicTime, target: TargetId, domain: FailureDomain) {
        self.first_loss.get_or_insert(now);
        self.targets.insert(target);
        self.domains.insert(domain);
    }

    /// Records an answer of any shard, which shows that the request does not crash all targets.
    pub fn note_answer(&mut self) {
        self.answered = true;
    }

    /// Returns whether any shard has answered.
    pub fn has_answer(&self) -> bool {
        self.answered
    }

    /// Decides on a second attempt.
    pub fn verdict(&self, now: MonotonicTime) -> LossVerdict {
        let Some(first_loss) = self.first_loss else { return LossVerdict::Retry };
        if self.answered || self.shards < MIN_SHARDS {
            return LossVerdict::Retry;
        }
        if self.targets.len() >= MIN_LOSSES && self.domains.len() >= MIN_DOMAINS {
            return LossVerdict::Suspect;
        }
        let waited = now.since(first_loss);
        match SETTLE_TIME.checked_sub(waited).filter(|left| !left.is_zero()) {
            Some(left) => LossVerdict::Wait(left),
            None => LossVerdict::Retry,
        }
    }
}
