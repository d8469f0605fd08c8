//! Quarantine of requests that crash targets, from control's records and this entry's own observations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::membership::{CrashEvidence, MembershipView, QuarantineLevel};
use crate::messages::EntryMessage;
use crate::types::{ClockReading, MonotonicTime, RequestFingerprint};

/// Settings of the crash quarantine.
#[derive(Clone, Debug)]
pub struct QuarantineSettings {
    /// Time for which this entry suspects a request after a crash it observed. Control's record arrives within
    /// seconds; the rest covers times without a leader.
    pub local_lifetime: Duration,
    /// Maximum number of locally suspected requests. The oldest is dropped first.
    pub max_local_suspects: usize,
    /// Maximum number of reports kept until control confirms them. The oldest is dropped first.
    pub max_reports: usize,
    /// Retry delay for a request that is refused because a canary with its fingerprint is running, before jitter.
    pub canary_retry_delay: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            local_lifetime: Duration::from_secs(60),
            max_local_suspects: 10_000,
            max_reports: 1_000,
            canary_retry_delay: Duration::from_millis(500),
        }
    }
}

/// Restriction on running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// The request runs without restriction.
    Unrestricted,
    /// The request runs as a canary, on one target first.
    Suspect,
    /// The request is refused.
    Condemned,
}

#[derive(Debug)]
struct QueuedReport {
    message: EntryMessage,
    sent: Option<MonotonicTime>,
}

/// Quarantine state of this entry and its reports to control.
#[derive(Debug)]
pub struct CrashQuarantine {
    settings: QuarantineSettings,
    /// Requests suspected by this entry, with the end of the suspicion.
    local_suspects: BTreeMap<RequestFingerprint, MonotonicTime>,
    /// Requests that run as a canary at this entry.
    canaries: BTreeSet<RequestFingerprint>,
    reports: VecDeque<QueuedReport>,
}

impl CrashQuarantine {
    /// Creates a quarantine without local suspects.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            local_suspects: BTreeMap::new(),
            canaries: BTreeSet::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns the retry delay while a canary with the same fingerprint is running, before jitter.
    pub fn canary_retry_delay(&self) -> Duration {
        self.settings.canary_retry_delay
    }

    /// Returns the restriction on a request, from control's record in the view or a local suspicion.
    pub fn verdict(
        &self,
        now: ClockReading,
        view: &MembershipView,
        fingerprint: &RequestFingerprint,
    ) -> QuarantineVerdict {
        let record =
            view.quarantines.get(fingerprint).filter(|record| record.expires_at > now.wall);
        match record.map(|record| record.level) {
            Some(QuarantineLevel::Condemned) => QuarantineVerdict::Condemned,
            Some(QuarantineLevel::Suspect) => QuarantineVerdict::Suspect,
            None if self.is_suspected(now.monotonic, fingerprint) => QuarantineVerdict::Suspect,
            None => QuarantineVerdict::Unrestricted,
        }
    }

    fn is_suspected(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        self.local_suspects.get(fingerprint).is_some_and(|until| now < *until)
    }

    /// Begins a canary. Returns `false` if one with this fingerprint is running, because two at once could
    /// crash two targets.
    pub fn begin_canary(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.canaries.insert(fingerprint)
    }

    /// Ends the canary of this fingerprint.
    pub fn end_canary(&mut self, fingerprint: &RequestFingerprint) {
        self.canaries.remove(fingerprint);
    }

    /// Records the crash of a target. The requests that were in flight there become local suspects immediately,
    /// and a report to control is queued.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        evidence: CrashEvidence,
        fingerprints: Vec<RequestFingerprint>,
    ) {
        let until = now + self.settings.local_lifetime;
        self.local_suspects.retain(|_, end| now < *end);
        for fingerprint in &fingerprints {
            if self.local_suspects.len() >= self.settings.max_local_suspects {
                self.drop_oldest_suspect();
            }
            self.local_suspects.insert(*fingerprint, until);
        }
        self.queue(EntryMessage::ReportCrash { evidence, fingerprints });
    }

    /// Clears a request whose canary ran without a crash, locally and at control.
    pub fn record_pass(&mut self, fingerprint: RequestFingerprint) {
        self.local_suspects.remove(&fingerprint);
        self.queue(EntryMessage::ClearSuspect(fingerprint));
    }

    /// Returns the reports that have not been sent on the current connection, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonotonicTime) -> Vec<EntryMessage> {
        let unsent = self.reports.iter_mut().filter(|report| report.sent.is_none());
        unsent
            .map(|report| {
                report.sent = Some(now);
                report.message.clone()
            })
            .collect()
    }

    /// Returns whether there are unsent reports.
    pub fn has_unsent(&self) -> bool {
        self.reports.iter().any(|report| report.sent.is_none())
    }

    /// Drops reports that were sent before a confirmed renewal. Control received them, because messages on a
    /// connection arrive in order.
    pub fn confirm(&mut self, renewal_sent: MonotonicTime) {
        self.reports.retain(|report| report.sent.is_none_or(|sent| sent >= renewal_sent));
    }

    /// Marks all unconfirmed reports as unsent, so that they are sent again on the new connection.
    pub fn mark_all_unsent(&mut self) {
        self.reports.iter_mut().for_each(|report| report.sent = None);
    }

    fn queue(&mut self, message: EntryMessage) {
        if self.reports.len() >= self.settings.max_reports {
            self.reports.pop_front();
        }
        self.reports.push_back(QueuedReport { message, sent: None });
    }

    fn drop_oldest_suspect(&mut self) {
        let oldest =
            self.local_suspects.iter().min_by_key(|(_, until)| **until).map(|(key, _)| *key);
        if let Some(fingerprint) = oldest {
            self.local_suspects.remove(&fingerprint);
        }
    }
}
