//! Detects requests that crash the targets that run them. Entries and control hosts exchange what they know of such
//! requests, so that all entries count the same crashes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::TargetProcess;
use crate::control::quarantine::QUARANTINE_MILLIS;
use crate::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use crate::types::{MonotonicTime, RequestFingerprint, TargetId, WallTime};

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

/// One end of a target's process while it ran a request. A target may start again and crash once more before it has
/// announced its new process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetCrash {
    /// The target.
    pub target: TargetId,
    /// Start time of its last announced process, by its own clock.
    pub started: WallTime,
    /// How often it had crashed and accepted connections again since that announcement.
    #[serde(default)]
    pub restarts: u32,
}

impl TargetCrash {
    /// Returns the range of all crashes of a process, in the order of the restarts.
    fn range_of(process: &TargetProcess) -> RangeInclusive<Self> {
        let crash =
            |restarts| Self { target: process.target.clone(), started: process.started, restarts };
        crash(0)..=crash(u32::MAX)
    }
}

/// A crash as a run noticed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticedCrash {
    /// The crash.
    pub crash: TargetCrash,
    /// When this process lost the connection; `None` if another entry lost it.
    pub lost_at: Option<MonotonicTime>,
}

/// What one process knows of a suspected request. Records of several processes merge in any order, any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SuspicionRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How often an answer has cleared the request. Crashes from before the last clearance do not count.
    pub clearances: u32,
    /// The crashes of targets that ran the request, since the last clearance.
    pub crashes: BTreeSet<TargetCrash>,
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
    crashes: BTreeSet<TargetCrash>,
    expires_at: MonotonicTime,
    changed: ChangeNumber,
    // The last change that this process noticed itself; zero if there is none.
    own_changed: ChangeNumber,
}

impl Suspicion {
    fn to_record(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> SuspicionRecord {
        let remaining = self.expires_at.since(now);
        SuspicionRecord {
            fingerprint,
            clearances: self.clearances,
            crashes: self.crashes.clone(),
            age: SUSPICION_LIFETIME.saturating_sub(remaining),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashState {
    // When it was noticed here or heard of.
    noted_at: MonotonicTime,
    // Whether this process noticed it, so that `noted_at` is exact.
    is_own: bool,
    // Set once an answer has shown that the process did not end.
    refuted: bool,
}

/// Suspected requests and the crashes that they may have caused.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<RequestFingerprint, Suspicion>,
    // Ordered, so that the crashes of one process are found without a search through all.
    crashes: BTreeMap<TargetCrash, CrashState>,
    newest: ChangeNumber,
    // Requests that this process began to suspect since `period_start`.
    new_suspects: u32,
    period_start: MonotonicTime,
}

impl PoisonTable {
    /// Records the results of a whole run. `crashes` are the crashes of targets that ran the request, from
    /// [`Self::identify_crash`]. A request that any target answered is not the cause. Returns what changed.
    pub fn note_run(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        answered: bool,
        crashes: impl IntoIterator<Item = NoticedCrash>,
    ) -> SuspicionChange {
        if answered {
            return self.clear(now, &fingerprint);
        }
        let noticed = crashes.into_iter().take(MAX_KEPT_CRASHES);
        let lost_at: BTreeMap<TargetCrash, Option<MonotonicTime>> =
            noticed.map(|noticed| (noticed.crash, noticed.lost_at)).collect();
        if lost_at.is_empty() {
            return SuspicionChange::None;
        }
        let clearances = self.suspects.get(&fingerprint).map(|suspicion| suspicion.clearances);
        if clearances.is_none() && !self.admits_suspect(now) {
            return SuspicionChange::None;
        }
        let clearances = clearances.unwrap_or_default();
        let crashes = lost_at.keys().cloned().collect();
        let record = SuspicionRecord { fingerprint, clearances, crashes, age: Duration::ZERO };
        if !self.merge_noticed(now, record, &lost_at) {
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
            own_changed: self.newest,
        };
        SuspicionChange::Cleared
    }

    /// Returns whether any crash is recorded.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Identifies the crash of a target whose connection, open since `connected_at`, was lost while it ran a request. A
    /// connection that was opened after an earlier crash shows that the target has started again since then.
    pub fn identify_crash(
        &self,
        process: &TargetProcess,
        connected_at: MonotonicTime,
    ) -> TargetCrash {
        let newest = self.crashes.range(TargetCrash::range_of(process)).next_back();
        let restarts = newest.map_or(0, |(crash, state)| {
            let has_restarted = connected_at > state.noted_at;
            crash.restarts.saturating_add(u32::from(has_restarted))
        });
        TargetCrash { target: process.target.clone(), started: process.started, restarts }
    }

    /// Records that a target answered a request that was sent to it at `sent_at`, over a connection that was open since
    /// `connected_at`. A connection does not outlast its process, so the process did not end in between. An answer over
    /// a newer connection may be that of another process of the target.
    pub fn note_response(
        &mut self,
        process: &TargetProcess,
        connected_at: MonotonicTime,
        sent_at: MonotonicTime,
    ) {
        for (_, state) in self.crashes.range_mut(TargetCrash::range_of(process)) {
            let lies_between = connected_at < state.noted_at && state.noted_at < sent_at;
            state.refuted |= state.is_own && lies_between;
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
        let counts = |crash: &&TargetCrash| self.crashes.get(*crash).is_none_or(|s| !s.refuted);
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
        let used: HashSet<&TargetCrash> =
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
        self.records(now, |suspicion| suspicion.changed > known)
    }

    fn own_changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<SuspicionRecord> {
        self.records(now, |suspicion| suspicion.own_changed > known)
    }

    fn merge(&mut self, now: MonotonicTime, record: SuspicionRecord) -> bool {
        self.merge_noticed(now, record, &BTreeMap::new())
    }
}

impl PoisonTable {
    fn records(
        &self,
        now: MonotonicTime,
        is_wanted: impl Fn(&Suspicion) -> bool,
    ) -> Vec<SuspicionRecord> {
        let current = self.suspects.iter().filter(|(_, suspicion)| now < suspicion.expires_at);
        let wanted = current.filter(|(_, suspicion)| is_wanted(suspicion));
        wanted.map(|(fingerprint, suspicion)| suspicion.to_record(now, *fingerprint)).collect()
    }

    /// Merges a record. `lost_at` says when this process noticed which of its crashes.
    fn merge_noticed(
        &mut self,
        now: MonotonicTime,
        record: SuspicionRecord,
        lost_at: &BTreeMap<TargetCrash, Option<MonotonicTime>>,
    ) -> bool {
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
            let own = lost_at.get(&crash).copied().flatten();
            let noted_at = own.unwrap_or(now);
            let state = CrashState { noted_at, is_own: own.is_some(), refuted: false };
            // Another request may have noticed the same crash.
            self.crashes.entry(crash).or_insert(state);
        }
        if !is_newer && !has_new_crash {
            return false;
        }
        self.newest.0 += 1;
        let heard = known.map(|known| known.own_changed).unwrap_or_default();
        let own_changed = if lost_at.is_empty() { heard } else { self.newest };
        let suspicion = Suspicion {
            clearances: record.clearances,
            crashes,
            expires_at,
            changed: self.newest,
            own_changed,
        };
        self.suspects.insert(record.fingerprint, suspicion);
        true
    }
}
