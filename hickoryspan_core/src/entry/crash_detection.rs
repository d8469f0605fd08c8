//! Distinguishes requests that crash their targets from the loss of a failure domain or of the
//! network.
//!
//! A connection lost mid-request may mean that the request crashed its target. The loss of a
//! failure domain also closes many connections mid-request, but these carry unrelated requests. A
//! loss therefore counts as a domain loss if most targets of the domain lost connections within a
//! short window, and either some of these targets did not run the request at all, or the request
//! was answered in another failure domain without losses. A request that crashes every target it
//! reaches meets neither condition: it is in flight on each lost target, in every domain.

use std::time::Duration;

use crate::membership::CrashEvidence;
use crate::types::{IncarnationNumber, MonotonicTime, RequestFingerprint};

use super::fleet::Fleet;
use super::targets::{DomainIndex, TargetState};

/// Settings of crash detection.
#[derive(Clone, Copy, Debug)]
pub struct CrashSettings {
    /// Maximum time between losses that count as one incident.
    pub window: Duration,
    /// Delay before a loss is classified, so that related losses become known.
    pub classification_delay: Duration,
    /// Time after a loss within which a new incarnation or a departure proves a crash. Covers a
    /// lease and its announcement.
    pub evidence_lifetime: Duration,
    /// Minimum number of targets that must have losses for a domain loss.
    pub min_lost_targets: u32,
    /// Share of the domain's busy targets that must have losses for a domain loss. Intact targets
    /// show that the domain is up.
    pub min_lost_share: f64,
    /// Minimum share of the lost targets on which the request did not run, for the request to be
    /// ruled out as the cause.
    pub min_unrelated_share: f64,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            classification_delay: Duration::from_millis(25),
            evidence_lifetime: Duration::from_secs(10),
            min_lost_targets: 3,
            min_lost_share: 0.5,
            min_unrelated_share: 0.25,
        }
    }
}

/// Record of the connections that one target incarnation lost mid-request.
#[derive(Clone, Debug)]
pub(super) struct ConnectionLoss {
    /// Incarnation that lost the connections.
    pub incarnation: IncarnationNumber,
    /// Time of the last loss.
    pub at: MonotonicTime,
    /// Requests that were in flight on the target.
    pub fingerprints: Vec<RequestFingerprint>,
    /// Whether the view shows that the incarnation ended.
    pub confirmed: bool,
    /// Whether the crash was reported. The record is kept after that, because it helps to classify
    /// the losses of other targets.
    pub reported: bool,
}

impl ConnectionLoss {
    /// Creates a record without requests.
    pub fn new(incarnation: IncarnationNumber, at: MonotonicTime) -> Self {
        Self { incarnation, at, fingerprints: Vec::new(), confirmed: false, reported: false }
    }

    /// Adds a request that was in flight, unless it is already recorded.
    pub fn add(&mut self, fingerprint: RequestFingerprint) {
        if !self.fingerprints.contains(&fingerprint) {
            self.fingerprints.push(fingerprint);
        }
    }

    /// Returns the evidence for a crash of a target.
    pub fn evidence(&self, target: &TargetState) -> CrashEvidence {
        CrashEvidence { target: target.record.target.clone(), incarnation: self.incarnation }
    }
}

/// Failure domains that answered a request or lost connections with it. Bit n stands for domain n;
/// the last bit stands for all domains from 63 on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainOutcomes {
    answered: u64,
    lost: u64,
}

fn domain_bit(domain: DomainIndex) -> u64 {
    1 << domain.0.min(63)
}

impl DomainOutcomes {
    /// Records that a target of the domain answered.
    pub fn record_answer(&mut self, domain: DomainIndex) {
        self.answered |= domain_bit(domain);
    }

    /// Records that a target of the domain lost a connection mid-request.
    pub fn record_loss(&mut self, domain: DomainIndex) {
        self.lost |= domain_bit(domain);
    }

    /// Returns the domains that lost connections.
    pub fn lost_domains(self) -> impl Iterator<Item = DomainIndex> {
        (0..u64::BITS).filter(move |bit| self.lost >> bit & 1 == 1).map(DomainIndex)
    }

    fn ran_well_elsewhere(self, domain: DomainIndex) -> bool {
        self.answered & !self.lost & !domain_bit(domain) != 0
    }
}

/// Returns whether the connections that a failure domain lost around the given time were lost with
/// the domain, and not because of the request.
pub(super) fn is_domain_loss(
    fleet: &Fleet,
    settings: &CrashSettings,
    around: MonotonicTime,
    domain: DomainIndex,
    fingerprint: &RequestFingerprint,
    outcomes: DomainOutcomes,
) -> bool {
    let (mut lost, mut intact, mut unrelated) = (0u32, 0u32, 0u32);
    for target in fleet.targets().filter(|target| target.domain == domain) {
        let is_near = |at| around.since(at).max(at.since(around)) <= settings.window;
        if target.disconnected_at.is_some_and(is_near) {
            lost += 1;
            let ran = |loss: &ConnectionLoss| loss.fingerprints.contains(fingerprint);
            unrelated += u32::from(!target.loss.as_ref().is_some_and(ran));
        } else if target.in_flight > 0 {
            intact += 1;
        }
    }
    let most = f64::from(lost) > f64::from(lost + intact) * settings.min_lost_share;
    if lost < settings.min_lost_targets || !most {
        return false;
    }
    f64::from(unrelated) >= f64::from(lost) * settings.min_unrelated_share
        || outcomes.ran_well_elsewhere(domain)
}
