//! Lease timers of targets and entries: soft state of the leader (`docs/design.md`, section 5).

use std::collections::BTreeMap;
use std::time::Duration;

use super::commands::TargetProcess;
use super::registry::service_key;
use crate::membership::{MembershipView, ServiceKey};
use crate::types::{FailureDomain, MonotonicTime, TargetId};

#[derive(Clone, Copy, Debug)]
struct LeaseTimer {
    ends: MonotonicTime,
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
    pub fn renew(&mut self, member: K, ends: MonotonicTime) {
        let timer = self.0.entry(member).or_insert(LeaseTimer { ends, deferred: false });
        timer.ends = timer.ends.max(ends);
        timer.deferred = false;
    }

    /// Forgets a member.
    pub fn remove(&mut self, member: &K) {
        self.0.remove(member);
    }

    /// Whether a member has a lease that has not ended.
    pub fn is_held(&self, member: &K, now: MonotonicTime) -> bool {
        self.0.get(member).is_some_and(|timer| timer.ends > now)
    }

    /// Corrects for a time in which this process did not run: renewals that arrived meanwhile are still
    /// unread. A stall longer than the lease restarts every lease.
    pub fn absorb_stall(&mut self, now: MonotonicTime, stall: Duration, lease: Duration) {
        for timer in self.0.values_mut() {
            timer.ends = timer.ends + stall;
            if stall > lease {
                timer.ends = timer.ends.max(now + lease);
            }
        }
    }

    /// The members whose lease has ended.
    pub fn ended(&self, now: MonotonicTime) -> impl Iterator<Item = &K> {
        self.0.iter().filter(move |(_, timer)| timer.ends <= now).map(|(member, _)| member)
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
    let ended: Vec<TargetId> = leases.ended(now).cloned().collect();
    if ended.is_empty() {
        return Vec::new();
    }
    let mut services: BTreeMap<ServiceKey, ServiceSweep> = BTreeMap::new();
    for record in view.targets.values() {
        services.entry(service_key(record)).or_default().registered += 1;
    }
    for target in ended {
        let Some(record) = view.targets.get(&target) else {
            leases.remove(&target);
            continue;
        };
        services.entry(service_key(record)).or_default().ended.push(target);
    }
    let mut expired = Vec::new();
    let mut domains: BTreeMap<FailureDomain, usize> = BTreeMap::new();
    for sweep in services.into_values() {
        let most = 2 * sweep.ended.len() > sweep.registered;
        for target in sweep.ended {
            if most && defer(leases, &target, now + lease) {
                continue;
            }
            let Some(record) = view.targets.get(&target) else { continue };
            let count = domains.entry(record.failure_domain.clone()).or_default();
            if *count < max_per_domain {
                *count += 1;
                expired.push(TargetProcess { target, incarnation: record.incarnation });
            }
        }
    }
    expired
}

#[derive(Default)]
struct ServiceSweep {
    registered: usize,
    ended: Vec<TargetId>,
}

fn defer(leases: &mut LeaseTable<TargetId>, target: &TargetId, ends: MonotonicTime) -> bool {
    let Some(timer) = leases.0.get_mut(target) else { return false };
    if timer.deferred {
        return false;
    }
    *timer = LeaseTimer { ends, deferred: true };
    true
}
