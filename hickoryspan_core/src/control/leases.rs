//! Leases of targets and entries. They are volatile state of the leader (`docs/design.md`, section 5).

use std::collections::BTreeMap;
use std::time::Duration;

use super::commands::TargetProcess;
use super::registry::service_key;
use crate::membership::{MembershipView, ServiceKey};
use crate::types::{FailureDomain, MonotonicTime, TargetId};

#[derive(Clone, Copy, Debug)]
struct LeaseTimer {
    expires_at: MonotonicTime,
    // Set after the lease was extended once, because most leases of the same service had expired.
    deferred: bool,
}

/// Lease timers of members.
#[derive(Clone, Debug)]
pub struct LeaseTable<K>(BTreeMap<K, LeaseTimer>);

impl<K> Default for LeaseTable<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord + Clone> LeaseTable<K> {
    /// Extends a lease to this time. A lease that already ends later is left unchanged.
    pub fn renew(&mut self, member: K, expires_at: MonotonicTime) {
        let timer = self.0.entry(member).or_insert(LeaseTimer { expires_at, deferred: false });
        timer.expires_at = timer.expires_at.max(expires_at);
        timer.deferred = false;
    }

    /// Removes the lease of a member.
    pub fn remove(&mut self, member: &K) {
        self.0.remove(member);
    }

    /// Returns whether a member has an unexpired lease.
    pub fn is_held(&self, member: &K, now: MonotonicTime) -> bool {
        self.0.get(member).is_some_and(|timer| timer.expires_at > now)
    }

    /// Extends all leases by the time for which this process was stalled, because renewals that arrived meanwhile are
    /// still unread. After a stall that is longer than the lease, every lease runs for its full duration again.
    pub fn extend_after_stall(&mut self, now: MonotonicTime, stall: Duration, lease: Duration) {
        for timer in self.0.values_mut() {
            timer.expires_at = timer.expires_at + stall;
            if stall > lease {
                timer.expires_at = timer.expires_at.max(now + lease);
            }
        }
    }

    /// Returns the members whose leases have expired.
    pub fn expired(&self, now: MonotonicTime) -> impl Iterator<Item = &K> {
        self.0.iter().filter(move |(_, timer)| timer.expires_at <= now).map(|(member, _)| member)
    }
}

/// Returns the targets to remove in one sweep, up to `max_per_domain` of each failure domain. If the leases of more
/// than half of a service's targets have expired, they are first extended once, because the cause may be a fault of
/// the control replica.
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
        let most_expired = 2 * sweep.expired.len() > sweep.registered;
        for target in sweep.expired {
            if most_expired && defer(leases, &target, now + lease) {
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
