//! Spreading the view to entries: recent changes for deltas, and what each link holds
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

/// The changes of the last revisions, bounded by their number.
#[derive(Clone, Debug)]
pub struct DeltaHistory {
    base: RevisionNumber,
    steps: VecDeque<DeltaStep>,
    changes: usize,
    max_changes: usize,
}

impl DeltaHistory {
    /// Starts without changes at a revision.
    pub fn new(base: RevisionNumber, max_changes: usize) -> Self {
        Self { base, steps: VecDeque::new(), changes: 0, max_changes }
    }

    /// Adds the changes that led to the view's revision.
    pub fn push(&mut self, view: &MembershipView, changes: Vec<ViewChange>) {
        self.changes += changes.len();
        self.steps.push_back(DeltaStep { to: view.revision, changes, digest: view.digest });
        while self.changes > self.max_changes {
            let Some(step) = self.steps.pop_front() else { break };
            self.changes -= step.changes.len();
            self.base = step.to;
        }
    }

    /// The digest of a recent revision.
    pub fn digest_at(&self, revision: RevisionNumber) -> Option<StateDigest> {
        let index = self.steps.binary_search_by_key(&revision, |step| step.to).ok()?;
        self.steps.get(index).map(|step| step.digest)
    }

    /// What a link that holds `from` needs to reach the view: a delta, or the whole view if the history does
    /// not reach back; nothing if it is there already.
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

/// What the leader knows about an entry's link.
#[derive(Clone, Debug)]
pub struct LinkSession {
    /// The process at the other end.
    pub process: EntryProcess,
    /// The revision that was sent last; `None` until the process is welcome.
    pub sent: Option<RevisionNumber>,
    /// Whether the process reported that it is stopping.
    pub draining: bool,
}
