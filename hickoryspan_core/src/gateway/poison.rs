//! Detects requests that crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::{MonotonicTime, RequestFingerprint};

/// Lost connections without a single answer after which the request counts as their cause.
const MAX_LOST_CONNECTIONS: u32 = 3;
/// Time for which a request stays suspected after its last lost connection.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(60);
/// Largest number of suspected requests, which bounds memory.
const MAX_SUSPECTS: usize = 4096;

/// Results of the targets of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Number of targets that answered.
    pub answered: u32,
    /// Number of targets whose connection was lost while they ran the request.
    pub lost: u32,
}

/// How a run changed what is known about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// Nothing changed.
    None,
    /// The request is suspected, with the number of lost connections so far.
    Suspected(u32),
    /// An answer ended the suspicion.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    lost_connections: u32,
    last: MonotonicTime,
}

/// Lost connections by request fingerprint.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<RequestFingerprint, Suspicion>,
}

impl PoisonTable {
    /// Records the results of a whole run. A request that any target answered is not the cause of
    /// the lost connections. Returns what changed.
    pub fn note_run(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        run: RunCounts,
    ) -> SuspicionChange {
        if run.answered > 0 {
            let cleared = self.suspects.remove(&fingerprint).is_some();
            return if cleared { SuspicionChange::Cleared } else { SuspicionChange::None };
        }
        if run.lost == 0 {
            return SuspicionChange::None;
        }
        self.note_lost_connections(now, fingerprint, run.lost);
        let suspicion = self.suspects.get(&fingerprint);
        SuspicionChange::Suspected(suspicion.map_or(0, |suspicion| suspicion.lost_connections))
    }

    fn note_lost_connections(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        lost: u32,
    ) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspicion| now.since(suspicion.last) < SUSPICION_LIFETIME);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let entry = self.suspects.entry(fingerprint);
        let suspicion = entry.or_insert(Suspicion { lost_connections: 0, last: now });
        if now.since(suspicion.last) >= SUSPICION_LIFETIME {
            suspicion.lost_connections = 0;
        }
        suspicion.lost_connections += lost;
        suspicion.last = now;
    }

    /// Returns whether the request must be refused, because it has probably crashed several
    /// targets.
    pub fn is_condemned(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(|suspicion| {
            suspicion.lost_connections >= MAX_LOST_CONNECTIONS
                && now.since(suspicion.last) < SUSPICION_LIFETIME
        })
    }
}
