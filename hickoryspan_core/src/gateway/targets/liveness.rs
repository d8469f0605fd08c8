//! Tracks which targets each control host reports as alive to this entry.
//!
//! Control hosts send only changes: a target has announced itself, or has not announced itself for
//! a whole lease. A target counts as alive while at least one connected control host reports it, so
//! that neither a host on the minority side of a network partition nor one that has just started
//! can take a target out of use.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::types::{MonotonicTime, TargetId};

/// Time after which a target's announcement is requested from another host if the first one has not
/// sent it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Shorter lists of live targets are not pruned.
const MIN_PRUNED: usize = 64;

/// The targets that each connected control host reports as alive.
#[derive(Clone, Debug, Default)]
pub struct LivenessTable {
    by_host: BTreeMap<SocketAddr, BTreeSet<TargetId>>,
    // Live targets whose announcement is not known yet, with the time of the last request for it.
    undescribed: HashMap<TargetId, Option<MonotonicTime>>,
}

impl LivenessTable {
    /// Adds a control host whose link has been established.
    pub fn add_host(&mut self, host: SocketAddr) {
        self.by_host.insert(host, BTreeSet::new());
    }

    /// Removes a control host whose link has ended. Its reports no longer count.
    pub fn remove_host(&mut self, host: SocketAddr) {
        self.by_host.remove(&host);
        let by_host = &self.by_host;
        self.undescribed.retain(|target, _| by_host.values().any(|alive| alive.contains(target)));
    }

    /// Returns whether the announcements of all live targets are known here.
    pub fn is_described(&self) -> bool {
        self.undescribed.is_empty()
    }

    /// Returns whether any control host is connected.
    pub fn is_linked(&self) -> bool {
        !self.by_host.is_empty()
    }

    /// Records that a host reports a target as alive whose announcement is known here.
    pub fn mark_alive(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.undescribed.remove(target);
    }

    /// Records that a host reports a target as alive whose announcement is not known here yet.
    pub fn mark_undescribed(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.undescribed.entry(target.clone()).or_default();
    }

    /// Requests the announcement of a target again if a connected host reports it as alive.
    pub fn request(&mut self, target: TargetId) {
        if self.is_alive(&target) {
            self.undescribed.entry(target).or_default();
        }
    }

    /// Removes a target that has left, unless its announcement is awaited: that may be of its next process.
    pub fn forget(&mut self, target: &TargetId) {
        if self.undescribed.contains_key(target) {
            return;
        }
        for alive in self.by_host.values_mut() {
            alive.remove(target);
        }
    }

    /// Removes the described targets for which `is_needed` returns false from the lists that have grown to more than
    /// twice this number. Hosts do not report a target that another one replaces at its address.
    pub fn prune(&mut self, needed: usize, is_needed: impl Fn(&TargetId) -> bool) {
        let undescribed = &self.undescribed;
        let max_length = needed.saturating_mul(2).max(MIN_PRUNED);
        for alive in self.by_host.values_mut().filter(|alive| alive.len() > max_length) {
            alive.retain(|target| undescribed.contains_key(target) || is_needed(target));
        }
    }

    /// Records that a host no longer reports a target as alive. Returns true if no other connected
    /// host does either.
    pub fn mark_expired(&mut self, host: SocketAddr, target: &TargetId) -> bool {
        if let Some(alive) = self.by_host.get_mut(&host) {
            alive.remove(target);
        }
        let is_lost = !self.is_alive(target);
        if is_lost {
            self.undescribed.remove(target);
        }
        is_lost
    }

    /// Returns whether any connected host reports the target as alive.
    pub fn is_alive(&self, target: &TargetId) -> bool {
        self.by_host.values().any(|alive| alive.contains(target))
    }

    /// Returns the targets whose announcement should be requested from this host now. Each target
    /// is requested from one host at a time.
    pub fn take_fetches(&mut self, now: MonotonicTime, host: SocketAddr) -> Vec<TargetId> {
        let Some(alive) = self.by_host.get(&host) else { return Vec::new() };
        let mut fetches = Vec::new();
        for (target, requested_at) in &mut self.undescribed {
            let is_pending =
                requested_at.is_some_and(|requested_at| now.since(requested_at) < FETCH_TIMEOUT);
            if !is_pending && alive.contains(target) {
                *requested_at = Some(now);
                fetches.push(target.clone());
            }
        }
        fetches
    }
}
