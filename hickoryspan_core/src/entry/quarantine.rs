//! Requests that crash targets: what the view says about them, and what this entry saw itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::membership::{CrashEvidence, MembershipView, QuarantineLevel};
use crate::messages::EntryMessage;
use crate::types::{ClockReading, MonotonicTime, RequestFingerprint};

/// Settings of the quarantine.
#[derive(Clone, Debug)]
pub struct QuarantineSettings {
    /// How long this entry suspects a request on its own. Control's record takes over within seconds; the
    /// rest covers the time without a leader.
    pub local_lifetime: Duration,
    /// Requests suspected locally at once; the oldest suspicion is dropped first.
    pub max_local_suspects: usize,
    /// Reports kept until control confirmed them.
    pub max_reports: usize,
    /// When a request that waits for another one's canary should come again, before jitter.
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

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Without restriction.
    Free,
    /// On one target first.
    Suspect,
    /// Not at all.
    Condemned,
}

#[derive(Debug)]
struct SentReport {
    message: EntryMessage,
    sent: Option<MonotonicTime>,
}

/// The quarantine as this entry sees it.
#[derive(Debug)]
pub struct CrashQuarantine {
    settings: QuarantineSettings,
    local: BTreeMap<RequestFingerprint, MonotonicTime>,
    canaries: BTreeSet<RequestFingerprint>,
    reports: VecDeque<SentReport>,
}

impl CrashQuarantine {
    /// A quarantine without suspicions.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            local: BTreeMap::new(),
            canaries: BTreeSet::new(),
            reports: VecDeque::new(),
        }
    }

    /// When a request that waits for another one's canary should come again, before jitter.
    pub fn canary_retry_delay(&self) -> Duration {
        self.settings.canary_retry_delay
    }

    /// How a request may run now.
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
            None => QuarantineVerdict::Free,
        }
    }

    fn is_suspected(&self, now: MonotonicTime, fingerprint: &RequestFingerprint) -> bool {
        self.local.get(fingerprint).is_some_and(|until| now < *until)
    }

    /// Begins a canary; false if one of this request runs already, because two at once could crash two
    /// targets.
    pub fn begin_canary(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.canaries.insert(fingerprint)
    }

    /// The request that ran as a canary ended.
    pub fn end_canary(&mut self, fingerprint: &RequestFingerprint) {
        self.canaries.remove(fingerprint);
    }

    /// A target crashed: the requests in flight there are suspect here at once, and control is told.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        evidence: CrashEvidence,
        fingerprints: Vec<RequestFingerprint>,
    ) {
        let until = now + self.settings.local_lifetime;
        self.local.retain(|_, end| now < *end);
        for fingerprint in &fingerprints {
            if self.local.len() >= self.settings.max_local_suspects {
                self.drop_oldest();
            }
            self.local.insert(*fingerprint, until);
        }
        self.queue(EntryMessage::ReportCrash { evidence, fingerprints });
    }

    /// A canary ran without a crash.
    pub fn record_pass(&mut self, fingerprint: RequestFingerprint) {
        self.local.remove(&fingerprint);
        self.queue(EntryMessage::ClearSuspect(fingerprint));
    }

    /// The reports that are not sent yet on the current link; they count as sent from now on.
    pub fn take_unsent(&mut self, now: MonotonicTime) -> Vec<EntryMessage> {
        let unsent = self.reports.iter_mut().filter(|report| report.sent.is_none());
        unsent
            .map(|report| {
                report.sent = Some(now);
                report.message.clone()
            })
            .collect()
    }

    /// Whether reports wait for a link.
    pub fn has_unsent(&self) -> bool {
        self.reports.iter().any(|report| report.sent.is_none())
    }

    /// Control answered a renewal that was sent at this time, so it received everything sent before.
    pub fn confirm(&mut self, renewal_sent: MonotonicTime) {
        self.reports.retain(|report| report.sent.is_none_or(|sent| sent >= renewal_sent));
    }

    /// A new link began: what the old one did not confirm is sent again.
    pub fn reconnected(&mut self) {
        self.reports.iter_mut().for_each(|report| report.sent = None);
    }

    fn queue(&mut self, message: EntryMessage) {
        if self.reports.len() >= self.settings.max_reports {
            self.reports.pop_front();
        }
        self.reports.push_back(SentReport { message, sent: None });
    }

    fn drop_oldest(&mut self) {
        let oldest = self.local.iter().min_by_key(|(_, until)| **until).map(|(key, _)| *key);
        if let Some(fingerprint) = oldest {
            self.local.remove(&fingerprint);
        }
    }
}
