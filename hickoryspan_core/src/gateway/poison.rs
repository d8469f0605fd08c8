//! Detects requests that crash the targets that run them. Entries and control hosts exchange what they know of such
//! requests, so that all entries count the same crashes.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::TargetProcess;
use super::shared_table::{ChangeNumber, SharedTable};
use crate::control::quarantine::QUARANTINE_MILLIS;
use crate::types::{MonotonicTime, RequestFingerprint};

/// Crashed targets after which a request counts as their cause and is refused.
const CONDEMNING_CRASHES: usize = 3;
/// Time for which a request stays suspected after its last crash.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(QUARANTINE_MILLIS);
/// Largest number of suspected requests, which bounds memory.
const MAX_SUSPECTS: usize = 1024;
/// Number of suspected requests that are kept when there are too many. Removing several at once saves searches.
const KEPT_SUSPECTS: usize = MAX_SUSPECTS / 8 * 7;
/// Largest number of crashes kept for one request. A request over many shards may crash hundreds of targets at once.
const MAX_KEPT_CRASHES: usize = 16;

/// Largest number of requests that an entry begins to suspect within one second. The loss of many targets ends thousands
/// of requests that crash nothing, and each suspicion is sent to all hosts.
const MAX_NEW_SUSPECTS: u32 = 32;
/// Period over which new suspects are counted.
const NEW_SUSPECT_PERIOD: Duration = Duration::from_secs(1);

/// What one process knows of a suspected request. Records of several processes merge in any order, any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SuspicionRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How often an answer has cleared the request. Crashes from before the last clearance do not count.
    pub clearances: u32,
    /// The processes that ended while they ran the request, since the last clearance.
    pub crashes: BTreeSet<TargetProcess>,
    /// Time since the last crash or clearance.
    pub age: Duration,
}

/// How a run changed what is known about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// Nothing changed.
    None,
    /// The request is suspected, with the number of crashes so far.
    Suspected(usize),
    /// An answer ended the suspicion.
    Cleared,
}

#[derive(Clone, Debug)]
struct Suspicion {
    clearances: u32,
    crashes: BTreeSet<TargetProcess>,
    expires_at: MonotonicTime,
    changed: ChangeNumber,
}

#[derive(Clone, Copy, Debug)]
struct CrashState {
    noted_at: MonotonicTime,
    // Set once the same process has answered a request that was sent to it later.
    refuted: bool,
}

/// Suspected requests and the crashes that they may have caused.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<RequestFingerprint, Suspicion>,
    crashes: HashMap<TargetProcess, CrashState>,
    newest: ChangeNumber,
    // Requests that this process began to suspect since `period_start`.
    new_suspects: u32,
    period_start: MonotonicTime,
}

impl PoisonTable {
    /// Records the results of a whole run. `crashes` are the targets whose connection was lost while they ran the
    /// request. A request that any target answered is not the cause. Returns what changed.
    pub fn note_run(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        answered: bool,
        crashes: impl IntoIterator<Item = TargetProcess>,
    ) -> SuspicionChange {
        if answered {
            return self.clear(now, &fingerprint);
        }
        let crashes: BTreeSet<TargetProcess> = crashes.into_iter().take(MAX_KEPT_CRASHES).collect();
        if crashes.is_empty() {
            return SuspicionChange::None;
        }
        let clearances = self.suspects.get(&fingerprint).map(|suspicion| suspicion.clearances);
        if clearances.is_none() && !self.admits_suspect(now) {
            return SuspicionChange::None;
        }
        let clearances = clearances.unwrap_or_default();
        let record = SuspicionRecord { fingerprint, clearances, crashes, age: Duration::ZERO };
        if !self.merge(now, record) {
            return SuspicionChange::None;
        }
        SuspicionChange::Suspected(self.count_crashes(&fingerprint))
    }

    fn admits_suspect(&mut self, now: MonotonicTime) -> bool {
        if now.since(self.period_start) >= NEW_SUSPECT_PERIOD {
            self.period_start = now;
            self.new_suspects = 0;
        }
        self.new_suspects += 1;
        self.new_suspects <= MAX_NEW_SUSPECTS
    }

    fn clear(&mut self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> SuspicionChange {
        let Some(suspicion) = self.suspects.get_mut(fingerprint) else {
            return SuspicionChange::None;
        };
        if suspicion.crashes.is_empty() {
            return SuspicionChange::None;
        }
        self.newest.0 += 1;
        *suspicion = Suspicion {
            clearances: suspicion.clearances.saturating_add(1),
            crashes: BTreeSet::new(),
            expires_at: now + SUSPICION_LIFETIME,
            changed: self.newest,
        };
        SuspicionChange::Cleared
    }

    /// Returns whether any crash is recorded.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Records that a process answered a request that was sent to it at `sent_at`, so that it did not end before.
    pub fn note_response(&mut self, process: &TargetProcess, sent_at: MonotonicTime) {
        if let Some(state) = self.crashes.get_mut(process) {
            state.refuted |= sent_at > state.noted_at;
        }
    }

    /// Returns whether the request must be refused, because it has probably crashed several targets.
    pub fn is_condemned(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        let is_current = |suspicion: &Suspicion| now < suspicion.expires_at;
        self.suspects.get(fingerprint).is_some_and(is_current)
            && self.count_crashes(fingerprint) >= CONDEMNING_CRASHES
    }

    /// Returns the number of crashes that count against a request.
    fn count_crashes(&self, fingerprint: &RequestFingerprint) -> usize {
        let crashes = self.suspects.get(fingerprint).into_iter().flat_map(|known| &known.crashes);
        let counts = |crash: &&TargetProcess| self.crashes.get(*crash).is_none_or(|s| !s.refuted);
        crashes.filter(counts).count()
    }

    /// Removes suspicions that have expired. Must be called periodically.
    pub fn expire(&mut self, now: MonotonicTime) {
        if self.suspects.is_empty() {
            return;
        }
        self.suspects.retain(|_, suspicion| now < suspicion.expires_at);
        self.remove_unused_crashes();
    }

    fn remove_unused_crashes(&mut self) {
        let used: HashSet<&TargetProcess> =
            self.suspects.values().flat_map(|known| &known.crashes).collect();
        self.crashes.retain(|crash, _| used.contains(crash));
    }

    fn remove_if_expired(&mut self, now: MonotonicTime, fingerprint: &RequestFingerprint) {
        if self.suspects.get(fingerprint).is_some_and(|known| known.expires_at <= now) {
            self.suspects.remove(fingerprint);
        }
    }

    fn make_room(&mut self, now: MonotonicTime) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspicion| now < suspicion.expires_at);
        // Condemned requests are the last to be dropped.
        let rank =
            |known: &Suspicion| (known.crashes.len() >= CONDEMNING_CRASHES, known.expires_at);
        let mut ranked: Vec<_> =
            self.suspects.iter().map(|(fingerprint, known)| (rank(known), *fingerprint)).collect();
        ranked.sort_unstable();
        let excess = ranked.len().saturating_sub(KEPT_SUSPECTS);
        for (_, fingerprint) in ranked.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
        self.remove_unused_crashes();
    }
}

impl SharedTable for PoisonTable {
    type Record = SuspicionRecord;

    fn newest(&self) -> ChangeNumber {
        self.newest
    }

    fn changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<SuspicionRecord> {
        let changed = self
            .suspects
            .iter()
            .filter(|(_, suspicion)| suspicion.changed > known && now < suspicion.expires_at);
        let to_record = |(fingerprint, suspicion): (&RequestFingerprint, &Suspicion)| {
            let remaining = suspicion.expires_at.since(now);
            SuspicionRecord {
                fingerprint: *fingerprint,
                clearances: suspicion.clearances,
                crashes: suspicion.crashes.clone(),
                age: SUSPICION_LIFETIME.saturating_sub(remaining),
            }
        };
        changed.map(to_record).collect()
    }

    fn merge(&mut self, now: MonotonicTime, record: SuspicionRecord) -> bool {
        let Some(remaining) = SUSPICION_LIFETIME.checked_sub(record.age) else { return false };
        let expires_at = now + remaining;
        self.remove_if_expired(now, &record.fingerprint);
        if !self.suspects.contains_key(&record.fingerprint) {
            self.make_room(now);
        }
        let known = self.suspects.get(&record.fingerprint);
        let (mut crashes, expires_at) = match known {
            Some(known) if known.clearances > record.clearances => return false,
            Some(known) if known.clearances == record.clearances => {
                (known.crashes.clone(), known.expires_at.max(expires_at))
            }
            Some(_) | None => (BTreeSet::new(), expires_at),
        };
        let is_newer = known.is_none_or(|known| known.clearances < record.clearances);
        let mut has_new_crash = false;
        for crash in record.crashes {
            if crashes.len() >= MAX_KEPT_CRASHES || !crashes.insert(crash.clone()) {
                continue;
            }
            has_new_crash = true;
            self.crashes.insert(crash, CrashState { noted_at: now, refuted: false });
        }
        if !is_newer && !has_new_crash {
            return false;
        }
        self.newest.0 += 1;
        let suspicion =
            Suspicion { clearances: record.clearances, crashes, expires_at, changed: self.newest };
        self.suspects.insert(record.fingerprint, suspicion);
        true
    }
}
