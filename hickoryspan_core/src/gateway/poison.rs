//! Requests that crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::{MonotonicTime, RequestFingerprint};

/// Lost connections without one success after which a request counts as the cause.
const MAX_LOSSES: u32 = 3;
/// How long a suspicion is kept after its last loss.
const MEMORY: Duration = Duration::from_secs(60);
/// Suspicions kept at once, which bounds memory.
const MAX_SUSPECTS: usize = 4096;

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
    /// A target was lost while it ran the request.
    pub fn note_loss(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspicion| now.since(suspicion.last) < MEMORY);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let entry = self.suspects.entry(fingerprint);
        let suspicion = entry.or_insert(Suspicion { losses: 0, last: now });
        if now.since(suspicion.last) >= MEMORY {
            suspicion.losses = 0;
        }
        suspicion.losses += 1;
        suspicion.last = now;
    }

    /// A target answered the request.
    pub fn note_answer(&mut self, fingerprint: &RequestFingerprint) {
        if !self.suspects.is_empty() {
            self.suspects.remove(fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn is_condemned(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(|suspicion| {
            suspicion.losses >= MAX_LOSSES && now.since(suspicion.last) < MEMORY
        })
    }

    /// Whether the request was lost before; it then runs without hedges and retries.
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }
}
