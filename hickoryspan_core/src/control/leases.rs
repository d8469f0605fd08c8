//! Lease timers of targets and entries: soft state of the leader (`docs/design.md`, section 5).

use std::collections::BTreeMap;
use std::time::Duration;

use super::commands::TargetProcess;
use super::registry::service_key;
use crate::membership::{MembershipView, ServiceKey};
use crate::types::{FailureDomain, MonotonicTime, TargetId};

#[derive(Clone, Copy, Debug)]
struct LeaseTimer {
    expires_at: MonotonicTime,
    // Set after the timer was prolonged instead of ending together with most of its service.
    deferred: bool,
}

/// Lease timers by member.
#[derive(Clone, Debug)]
pub struct LeaseTable<K>(BTreeMap<K, LeaseTimer>);

impl<K> Default for LeaseTable<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord + Clone> LeaseTable<K> {
    /// Prolongs a lease to this time; it never becomes shorter.
    pub fn renew(&mut self, member: K, expires_at: MonotonicTime) {
        let timer = self.0.entry(member).or_insert(LeaseTimer { expires_at, deferred: false });
        timer.expires_at = timer.expires_at.max(expires_at);
        timer.deferred = false;
    }

    /// Forgets a member.
    pub fn remove(&mut self, member: &K) {
        self.0.remove(member);
    }

    /// Whether a member has a lease that has not ended.
    pub fn is_held(&self, member: &K, now: MonotonicTime) -> bool {
        self.0.get(member).is_some_and(|timer| timer.expires_at > now)
    }

    /// Corrects for a time in which this process did not run: renewals that arrived meanwhile are still
    /// unread. A stall longer than the lease restarts every lease.
    pub fn extend_after_stall(&mut self, now: MonotonicTime, stall: Duration, lease: Duration) {
        for timer in self.0.values_mut() {
            timer.expires_at = timer.expires_at + stall;
            if stall > lease {
                timer.expires_at = timer.expires_at.max(now + lease);
            }
        }
    }

    /// The members whose lease has ended.
    pub fn expired(&self, now: MonotonicTime) -> impl Iterator<Item = &K> {
        self.0.iter().filter(move |(_, timer)| timer.expires_at <= now).map(|(member, _)| member)
    }
}

/// Chooses the targets that one sweep removes. If more than half of a service's targets would go at once,
/// their leases are first prolonged once, because the cause may be on this side.
pub fn sweep_targets(
    leases: &mut LeaseTable<TargetId>,
    view: &MembershipView,
    now: MonotonicTime,
    lease: Duration,
    max_per_domain: usize,
) -> Vec<TargetProcess> {
    let expired: Vec<TargetId> = leases.expired(now).cloned().collect();
    if expired.is_empty() {
        return Vec::new();
    }
    let mut services: BTreeMap<ServiceKey, ServiceSweep> = BTreeMap::new();
    for record in view.targets.values() {
        services.entry(service_key(record)).or_default().registered += 1;
    }
    for target in expired {
        let Some(record) = view.targets.get(&target) else {
            leases.remove(&target);
            continue;
        };
        services.entry(service_key(record)).or_default().expired.push(target);
    }
    let mut removed = Vec::new();
    let mut domains: BTreeMap<FailureDomain, usize> = BTreeMap::new();
    for sweep in services.into_values() {
        let most = 2 * sweep.expired.len() > sweep.registered;
        for target in sweep.expired {
            if most && defer(leases, &target, now + lease) {
                continue;
            }
            let Some(record) = view.targets.get(&target) else { continue };
            let count = domains.entry(record.failure_domain.clone()).or_default();
            if *count < max_per_domain {
                *count += 1;
                removed.push(TargetProcess { target, incarnation: record.incarnation });
            }
        }
    }
    removed
}

#[derive(Default)]
struct ServiceSweep {
    registered: usize,
    expired: Vec<TargetId>,
}

fn defer(leases: &mut LeaseTable<TargetId>, target: &TargetId, expires_at: MonotonicTime) -> bool {
    let Some(timer) = leases.0.get_mut(target) else { return false };
    if timer.deferred {
        return false;
    }
    *timer = LeaseTimer { expires_at, deferred: true };
    true
}
