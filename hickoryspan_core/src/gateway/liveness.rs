//! Which control hosts vouch for which targets, as one entry heard it.
//!
//! Control hosts tell entries only of changes: that they have heard a target, and that they have not heard it for a whole
//! lease. A target counts as alive while one linked host vouches for it, so that neither a host on the smaller side of a
//! cut nor one that has just started can take a target out of use.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::types::{MonotonicTime, TargetId};

/// Time after which another host is asked about a target that the first one has not described.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The targets that each linked control host vouches for.
#[derive(Clone, Debug, Default)]
pub struct LivenessTable {
    by_host: BTreeMap<SocketAddr, BTreeSet<TargetId>>,
    // Targets that a host vouches for and that are not described yet, with the time of the last question.
    undescribed: HashMap<TargetId, Option<MonotonicTime>>,
}

impl LivenessTable {
    /// A link to a host is up.
    pub fn add_host(&mut self, host: SocketAddr) {
        self.by_host.insert(host, BTreeSet::new());
    }

    /// A link to a host ended; what it alive for is open.
    pub fn remove_host(&mut self, host: SocketAddr) {
        self.by_host.remove(&host);
        let by_host = &self.by_host;
        self.undescribed.retain(|target, _| by_host.values().any(|alive| alive.contains(target)));
    }

    /// Whether any host is linked.
    pub fn is_linked(&self) -> bool {
        !self.by_host.is_empty()
    }

    /// A host vouches for a target that has been described already.
    pub fn mark_alive(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.undescribed.remove(target);
    }

    /// A host vouches for a target that nothing is known of here.
    pub fn mark_undescribed(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.undescribed.entry(target.clone()).or_default();
    }

    /// A host does not vouch for a target any more; true if no other linked host does.
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

    /// Whether a linked host vouches for the target.
    pub fn is_alive(&self, target: &TargetId) -> bool {
        self.by_host.values().any(|alive| alive.contains(target))
    }

    /// The targets to ask this host about now; each is asked of one host at a time.
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
