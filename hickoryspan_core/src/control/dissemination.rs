//! Dissemination of the view to entries: recent changes for deltas, and the revision that each link has received
//! (`docs/design.md`, section 3).

use std::collections::VecDeque;

use super::commands::EntryProcess;
use crate::membership::{MembershipView, ViewChange};
use crate::messages::ControlMessage;
use crate::types::{RevisionNumber, StateDigest};

#[derive(Clone, Debug)]
struct DeltaStep {
    to: RevisionNumber,
    changes: Vec<ViewChange>,
    digest: StateDigest,
}

/// Changes of recent revisions, up to a maximum number of changes.
#[derive(Clone, Debug)]
pub struct DeltaHistory {
    base: RevisionNumber,
    steps: VecDeque<DeltaStep>,
    changes: usize,
    max_changes: usize,
}

impl DeltaHistory {
    /// Creates an empty history at a revision.
    pub fn new(base: RevisionNumber, max_changes: usize) -> Self {
        Self { base, steps: VecDeque::new(), changes: 0, max_changes }
    }

    /// Adds the changes that produced the current revision of the view.
    pub fn push(&mut self, view: &MembershipView, changes: Vec<ViewChange>) {
        self.changes += changes.len();
        self.steps.push_back(DeltaStep { to: view.revision, changes, digest: view.digest });
        while self.changes > self.max_changes {
            let Some(step) = self.steps.pop_front() else { break };
            self.changes -= step.changes.len();
            self.base = step.to;
        }
    }

    /// Returns the digest of a recent revision, or `None` if it is not in the history.
    pub fn digest_at(&self, revision: RevisionNumber) -> Option<StateDigest> {
        let index = self.steps.binary_search_by_key(&revision, |step| step.to).ok()?;
        self.steps.get(index).map(|step| step.digest)
    }

    /// Returns the message that updates a link from revision `from` to the view: a delta, or the whole view if the
    /// history does not reach back that far. Returns `None` if the link is up to date.
    pub fn update(&self, from: RevisionNumber, view: &MembershipView) -> Option<ControlMessage> {
        if from == view.revision {
            return None;
        }
        let whole = || Some(ControlMessage::View(Box::new(view.clone())));
        if from < self.base || from > view.revision {
            return whole();
        }
        let first = self.steps.partition_point(|step| step.to <= from);
        let steps = self.steps.range(first..);
        let changes: Vec<ViewChange> =
            steps.flat_map(|step| step.changes.iter().cloned()).collect();
        let (to, digest) = (view.revision, view.digest);
        Some(ControlMessage::Delta { from, to, changes, digest })
    }
}

/// State of an entry's link at the leader.
#[derive(Clone, Debug)]
pub struct LinkSession {
    /// The entry process that opened the link.
    pub process: EntryProcess,
    /// Last revision sent over the link; `None` until `Welcome` is sent.
    pub sent: Option<RevisionNumber>,
    /// Whether the process last reported that it is draining.
    pub draining: bool,
}
