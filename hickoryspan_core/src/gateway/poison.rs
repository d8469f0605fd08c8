//! Requests that crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::{MonotonicTime, RequestFingerprint};

/// Lost connections without one success after which a request counts as the cause.
const MAX_LOST_CONNECTIONS: u32 = 3;
/// How long a suspicion is kept after its last loss.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(60);
/// Suspicions kept at once, which bounds memory.
const MAX_SUSPECTS: usize = 4096;

/// How the targets of one run ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Targets that answered.
    pub answered: u32,
    /// Targets whose connection was lost while they ran the request.
    pub lost: u32,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    losses: u32,
    last: MonotonicTime,
}

/// Losses by the content of requests.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<RequestFingerprint, Suspicion>,
}

impl PoisonTable {
    /// Learns from a whole run. A request that any target answered is not the cause of the losses.
    pub fn note_run(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        run: RunCounts,
    ) {
        if run.answered > 0 {
            self.suspects.remove(&fingerprint);
        } else if run.lost > 0 {
            self.note_losses(now, fingerprint, run.lost);
        }
    }

    fn note_losses(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint, lost: u32) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspicion| now.since(suspicion.last) < SUSPICION_LIFETIME);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let entry = self.suspects.entry(fingerprint);
        let suspicion = entry.or_insert(Suspicion { losses: 0, last: now });
        if now.since(suspicion.last) >= SUSPICION_LIFETIME {
            suspicion.losses = 0;
        }
        suspicion.losses += lost;
        suspicion.last = now;
    }

    /// Whether the request is refused.
    pub fn is_condemned(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(|suspicion| {
            suspicion.losses >= MAX_LOST_CONNECTIONS
                && now.since(suspicion.last) < SUSPICION_LIFETIME
        })
    }
}
