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
const FETCH_PATIENCE: Duration = Duration::from_millis(500);

/// The targets that each linked control host vouches for.
#[derive(Clone, Debug, Default)]
pub struct VouchTable {
    by_host: BTreeMap<SocketAddr, BTreeSet<TargetId>>,
    // Targets that a host vouches for and that are not described yet, with the time of the last question.
    unknown: HashMap<TargetId, Option<MonotonicTime>>,
}

impl VouchTable {
    /// A link to a host is up.
    pub fn begin_host(&mut self, host: SocketAddr) {
        self.by_host.insert(host, BTreeSet::new());
    }

    /// A link to a host ended; what it vouched for is open.
    pub fn end_host(&mut self, host: SocketAddr) {
        self.by_host.remove(&host);
        let by_host = &self.by_host;
        self.unknown.retain(|target, _| by_host.values().any(|vouched| vouched.contains(target)));
    }

    /// Whether any host is linked.
    pub fn is_linked(&self) -> bool {
        !self.by_host.is_empty()
    }

    /// A host vouches for a target that has been described already.
    pub fn vouch(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.unknown.remove(target);
    }

    /// A host vouches for a target that nothing is known of here.
    pub fn vouch_unknown(&mut self, host: SocketAddr, target: &TargetId) {
        self.by_host.entry(host).or_default().insert(target.clone());
        self.unknown.entry(target.clone()).or_default();
    }

    /// A host does not vouch for a target any more; true if no other linked host does.
    pub fn withdraw(&mut self, host: SocketAddr, target: &TargetId) -> bool {
        if let Some(vouched) = self.by_host.get_mut(&host) {
            vouched.remove(target);
        }
        let orphaned = !self.is_vouched(target);
        if orphaned {
            self.unknown.remove(target);
        }
        orphaned
    }

    /// Whether a linked host vouches for the target.
    pub fn is_vouched(&self, target: &TargetId) -> bool {
        self.by_host.values().any(|vouched| vouched.contains(target))
    }

    /// The targets to ask this host about now; each is asked of one host at a time.
    pub fn take_questions(&mut self, now: MonotonicTime, host: SocketAddr) -> Vec<TargetId> {
        let Some(vouched) = self.by_host.get(&host) else { return Vec::new() };
        let mut questions = Vec::new();
        for (target, asked_at) in &mut self.unknown {
            let waits = asked_at.is_some_and(|asked_at| now.since(asked_at) < FETCH_PATIENCE);
            if !waits && vouched.contains(target) {
                *asked_at = Some(now);
                questions.push(target.clone());
            }
        }
        questions
    }
}
