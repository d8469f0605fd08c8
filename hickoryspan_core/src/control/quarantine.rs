//! Quarantine of requests by evidence of crashed targets (`docs/design.md`, section 6.9).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::registry::ViewEditor;
use crate::membership::{CrashEvidence, QuarantineLevel, QuarantineRecord, ViewChange};
use crate::types::{FailureDomain, RequestFingerprint, TargetId, WallTime};

/// How long a request is held back after its last evidence, in milliseconds.
pub const QUARANTINE_MILLIS: u64 = 10 * 60 * 1_000;
/// Crashes of most targets of a failure domain within this time, in milliseconds, are its loss.
const DOMAIN_LOSS_MILLIS: u64 = 2_000;
/// Fewer crashes than this are evidence even if they are most of a small failure domain; with a lower
/// bound the crashes of one request on two targets would never count there.
const MIN_DOMAIN_LOSS: usize = 3;
/// How long a crash is remembered to discount late reports of it, in milliseconds.
const CRASH_MEMORY_MILLIS: u64 = 60_000;
/// Requests held back at once; reports about others are dropped, so that reports cannot fill the memory.
const MAX_QUARANTINES: usize = 10_000;
/// Crashes that condemn a request, on different targets.
const CONDEMNING_CRASHES: usize = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RecordedCrash {
    evidence: CrashEvidence,
    failure_domain: Option<FailureDomain>,
    at: WallTime,
    discounted: bool,
}

/// Crashes of the last minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentCrashes(Vec<RecordedCrash>);

impl RecentCrashes {
    /// Records a crash and holds back the requests that ran there.
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

/// Frees a suspect request that ran without a crash; a condemned one stays.
pub fn clear_suspect(editor: &mut ViewEditor<'_>, fingerprint: RequestFingerprint) {
    let record = editor.view.quarantines.get(&fingerprint);
    if record.is_some_and(|record| record.level == QuarantineLevel::Suspect) {
        editor.push(ViewChange::RemoveQuarantine(fingerprint));
    }
}

/// Frees a request; returns whether it was held back.
pub fn lift(editor: &mut ViewEditor<'_>, fingerprint: RequestFingerprint) -> bool {
    let quarantined = editor.view.quarantines.contains_key(&fingerprint);
    if quarantined {
        editor.push(ViewChange::RemoveQuarantine(fingerprint));
    }
    quarantined
}

/// Frees the requests whose time has ended.
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
