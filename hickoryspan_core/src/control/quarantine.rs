//! Quarantine of requests that were running on targets when they crashed (`docs/design.md`, section 6.9).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::registry::ViewEditor;
use crate::membership::{CrashEvidence, QuarantineLevel, QuarantineRecord, ViewChange};
use crate::types::{FailureDomain, RequestFingerprint, TargetId, WallTime};

/// Duration of a quarantine after the last crash, in milliseconds.
pub const QUARANTINE_MILLIS: u64 = 10 * 60 * 1_000;
/// Crashes of most targets of a failure domain within this time, in milliseconds, count as loss of the domain.
const DOMAIN_LOSS_MILLIS: u64 = 2_000;
/// Minimum number of crashed targets for the loss of a failure domain. With a lower bound, the crashes that one request
/// causes on two targets would never count in a small domain.
const MIN_DOMAIN_LOSS: usize = 3;
/// Time for which a crash is remembered, in milliseconds, so that late reports of a discounted crash are ignored.
const CRASH_MEMORY_MILLIS: u64 = 60_000;
/// Maximum number of quarantined requests. Reports about further requests are dropped, to limit memory use.
const MAX_QUARANTINES: usize = 10_000;
/// Number of different targets on which a request must crash to be condemned.
const CONDEMNING_CRASHES: usize = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RecordedCrash {
    evidence: CrashEvidence,
    failure_domain: Option<FailureDomain>,
    at: WallTime,
    discounted: bool,
}

/// Crashes that were reported within the last minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentCrashes(Vec<RecordedCrash>);

impl RecentCrashes {
    /// Records a crash and quarantines the requests that were running on the target, unless the whole failure domain
    /// was lost.
    pub fn report(
        &mut self,
        editor: &mut ViewEditor<'_>,
        evidence: &CrashEvidence,
        failure_domain: Option<FailureDomain>,
        fingerprints: &[RequestFingerprint],
        at: WallTime,
    ) {
        let oldest = WallTime(at.0.saturating_sub(CRASH_MEMORY_MILLIS));
        self.0.retain(|crash| crash.at >= oldest);
        if !self.0.iter().any(|crash| crash.evidence == *evidence) {
            let evidence = evidence.clone();
            let failure_domain = failure_domain.clone();
            self.0.push(RecordedCrash { evidence, failure_domain, at, discounted: false });
        }
        if let Some(domain) = failure_domain {
            self.discount_domain_loss(editor, &domain, at);
        }
        let counts = self.0.iter().any(|crash| crash.evidence == *evidence && !crash.discounted);
        if !counts {
            return;
        }
        for fingerprint in fingerprints {
            add_evidence(editor, *fingerprint, evidence, at);
        }
    }

    fn discount_domain_loss(
        &mut self,
        editor: &mut ViewEditor<'_>,
        domain: &FailureDomain,
        at: WallTime,
    ) {
        let earliest = at.0.saturating_sub(DOMAIN_LOSS_MILLIS);
        let is_recent = |crash: &RecordedCrash| {
            crash.failure_domain.as_ref() == Some(domain) && crash.at.0 >= earliest
        };
        let crashed: BTreeSet<&TargetId> = self
            .0
            .iter()
            .filter(|crash| is_recent(crash))
            .map(|crash| &crash.evidence.target)
            .collect();
        let registered = editor.view.targets.values();
        let others = registered
            .filter(|record| record.failure_domain == *domain)
            .filter(|record| !crashed.contains(&record.target))
            .count();
        if crashed.len() < MIN_DOMAIN_LOSS || crashed.len() <= others {
            return;
        }
        for crash in self.0.iter_mut().filter(|crash| is_recent(crash) && !crash.discounted) {
            crash.discounted = true;
            remove_evidence(editor, &crash.evidence);
        }
    }
}

/// Ends the quarantine of a suspect request that has run without a crash. A condemned request stays quarantined.
pub fn clear_suspect(editor: &mut ViewEditor<'_>, fingerprint: RequestFingerprint) {
    let record = editor.view.quarantines.get(&fingerprint);
    if record.is_some_and(|record| record.level == QuarantineLevel::Suspect) {
        editor.push(ViewChange::RemoveQuarantine(fingerprint));
    }
}

/// Ends the quarantine of a request and returns whether it was quarantined.
pub fn lift(editor: &mut ViewEditor<'_>, fingerprint: RequestFingerprint) -> bool {
    let quarantined = editor.view.quarantines.contains_key(&fingerprint);
    if quarantined {
        editor.push(ViewChange::RemoveQuarantine(fingerprint));
    }
    quarantined
}

/// Ends all quarantines that have expired.
pub fn expire(editor: &mut ViewEditor<'_>, at: WallTime) {
    let records = editor.view.quarantines.iter();
    let expired: Vec<RequestFingerprint> = records
        .filter(|(_, record)| record.expires_at <= at)
        .map(|(fingerprint, _)| *fingerprint)
        .collect();
    for fingerprint in expired {
        editor.push(ViewChange::RemoveQuarantine(fingerprint));
    }
}

fn add_evidence(
    editor: &mut ViewEditor<'_>,
    fingerprint: RequestFingerprint,
    evidence: &CrashEvidence,
    at: WallTime,
) {
    let known = editor.view.quarantines.get(&fingerprint);
    let full = editor.view.quarantines.len() >= MAX_QUARANTINES;
    if known.is_some_and(|record| record.evidence.contains(evidence)) || known.is_none() && full {
        return;
    }
    let mut crashes = known.map(|record| record.evidence.clone()).unwrap_or_default();
    crashes.insert(evidence.clone());
    let expires_at = WallTime(at.0.saturating_add(QUARANTINE_MILLIS));
    let record = QuarantineRecord { level: to_level(&crashes), expires_at, evidence: crashes };
    editor.push(ViewChange::PutQuarantine(fingerprint, record));
}

fn remove_evidence(editor: &mut ViewEditor<'_>, evidence: &CrashEvidence) {
    let records = editor.view.quarantines.iter();
    let affected: Vec<_> = records
        .filter(|(_, record)| record.evidence.contains(evidence))
        .map(|(fingerprint, record)| (*fingerprint, record.clone()))
        .collect();
    for (fingerprint, mut record) in affected {
        record.evidence.remove(evidence);
        if record.evidence.is_empty() {
            editor.push(ViewChange::RemoveQuarantine(fingerprint));
            continue;
        }
        record.level = to_level(&record.evidence);
        editor.push(ViewChange::PutQuarantine(fingerprint, record));
    }
}

fn to_level(crashes: &BTreeSet<CrashEvidence>) -> QuarantineLevel {
    let targets: BTreeSet<&TargetId> = crashes.iter().map(|evidence| &evidence.target).collect();
    if targets.len() >= CONDEMNING_CRASHES {
        QuarantineLevel::Condemned
    } else {
        QuarantineLevel::Suspect
    }
}
