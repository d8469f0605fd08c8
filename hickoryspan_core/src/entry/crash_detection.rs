//! Tells a request that crashes its targets from the loss of a failure domain or of the network.
//!
//! A connection lost mid-request may mean that the request crashed its target. The loss of a failure domain also ends
//! many connections mid-request, but of requests that have nothing in common. A loss therefore counts as a domain
//! loss if most targets of the domain lost connections within a short window and either some of them did not run the
//! request at all, or the request was answered in another failure domain where nothing was lost. A request that
//! crashes every target it reaches fits neither: it is in flight on each target that is lost, in every domain.

use std::time::Duration;

use crate::membership::CrashEvidence;
use crate::types::{IncarnationNumber, MonotonicTime, RequestFingerprint};

use super::fleet::Fleet;
use super::targets::{DomainIndex, TargetState};

/// Settings of the crash evidence.
#[derive(Clone, Copy, Debug)]
pub struct CrashSettings {
    /// Losses within this time belong together.
    pub window: Duration,
    /// How long a loss waits for others before it is classified.
    pub classification_delay: Duration,
    /// How long after a loss a new incarnation or a departure proves a crash: a lease and its announcement.
    pub evidence_lifetime: Duration,
    /// Targets that must be lost before a domain loss is considered.
    pub min_lost_targets: u32,
    /// The part of a domain's targets that must be lost; the rest shows that the domain is up.
    pub min_lost_share: f64,
    /// The part of the lost targets that did not run the request, above which it is not the cause.
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

/// Connections of one target incarnation that were lost mid-request.
#[derive(Clone, Debug)]
pub(super) struct ConnectionLoss {
    /// The incarnation that lost them.
    pub incarnation: IncarnationNumber,
    /// The last loss.
    pub at: MonotonicTime,
    /// The requests in flight on it.
    pub fingerprints: Vec<RequestFingerprint>,
    /// Whether the view showed that the incarnation ended.
    pub confirmed: bool,
    /// Whether the crash was reported. The record is kept, because it explains the losses of other targets.
    pub reported: bool,
}

impl ConnectionLoss {
    /// A record without requests.
    pub fn new(incarnation: IncarnationNumber, at: MonotonicTime) -> Self {
        Self { incarnation, at, fingerprints: Vec::new(), confirmed: false, reported: false }
    }

    /// Adds a request that was in flight.
    pub fn add(&mut self, fingerprint: RequestFingerprint) {
        if !self.fingerprints.contains(&fingerprint) {
            self.fingerprints.push(fingerprint);
        }
    }

    /// The evidence for a crash of a target.
    pub fn evidence(&self, target: &TargetState) -> CrashEvidence {
        CrashEvidence { target: target.record.target.clone(), incarnation: self.incarnation }
    }
}

/// Where a request was answered, for the comparison between failure domains; bit n stands for domain n.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainOutcomes {
    answered: u64,
    lost: u64,
}

fn domain_bit(domain: DomainIndex) -> u64 {
    1 << domain.0.min(63)
}

impl DomainOutcomes {
    /// A target of the domain answered.
    pub fn record_answer(&mut self, domain: DomainIndex) {
        self.answered |= domain_bit(domain);
    }

    /// A target of the domain lost a connection mid-request.
    pub fn record_loss(&mut self, domain: DomainIndex) {
        self.lost |= domain_bit(domain);
    }

    /// The domains that lost connections.
    pub fn lost_domains(self) -> impl Iterator<Item = DomainIndex> {
        (0..u64::BITS).filter(move |bit| self.lost >> bit & 1 == 1).map(DomainIndex)
    }

    fn ran_well_elsewhere(self, domain: DomainIndex) -> bool {
        self.answered & !self.lost & !domain_bit(domain) != 0
    }
}

/// Whether the losses of a failure domain around a time have another cause than the request.
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
