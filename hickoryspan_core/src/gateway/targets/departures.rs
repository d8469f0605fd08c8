//! Remembers which targets have left, in bounded memory.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::types::{MonotonicTime, TargetId, WallTime};

/// How long a departed target is remembered, so that a delayed announcement does not bring it back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);
/// Share of the departures that may be of targets that were never known here.
const UNKNOWN_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    started: WallTime,
    until: MonotonicTime,
    was_known: bool,
    number: u64,
}

/// The departures that are remembered. Anyone can report that a target left that never existed, so those of targets
/// that were never known have less room, of their own. Of each kind the oldest are dropped first.
#[derive(Clone, Debug)]
pub(super) struct DepartureRecords {
    max_known: usize,
    tombstones: HashMap<TargetId, Tombstone>,
    // By age, the oldest first.
    known: BTreeMap<u64, TargetId>,
    unknown: BTreeMap<u64, TargetId>,
    next_number: u64,
}

impl DepartureRecords {
    pub(super) fn new(max_known: usize) -> Self {
        Self {
            max_known,
            tombstones: HashMap::new(),
            known: BTreeMap::new(),
            unknown: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Records a departure. Returns whether there was no record of the target.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        target: &TargetId,
        started: WallTime,
        is_known: bool,
    ) -> bool {
        let earlier = self.remove(target);
        let was_known = is_known || earlier.is_some_and(|earlier| earlier.was_known);
        let number = self.next_number;
        self.next_number += 1;
        let until = now + TOMBSTONE_LIFETIME;
        self.tombstones.insert(target.clone(), Tombstone { started, until, was_known, number });
        let max_unknown = (self.max_known / UNKNOWN_DIVISOR).max(1);
        let (order, limit) = match was_known {
            true => (&mut self.known, self.max_known),
            false => (&mut self.unknown, max_unknown),
        };
        order.insert(number, target.clone());
        if order.len() > limit
            && let Some((_, oldest)) = order.pop_first()
        {
            self.tombstones.remove(&oldest);
        }
        earlier.is_none()
    }

    fn remove(&mut self, target: &TargetId) -> Option<Tombstone> {
        let tombstone = self.tombstones.remove(target)?;
        match tombstone.was_known {
            true => self.known.remove(&tombstone.number),
            false => self.unknown.remove(&tombstone.number),
        };
        Some(tombstone)
    }

    /// Returns whether this process of the target or a later one has left.
    pub(super) fn covers(&self, target: &TargetId, started: WallTime) -> bool {
        self.tombstones.get(target).is_some_and(|tombstone| tombstone.started >= started)
    }

    /// Returns whether the target was known when it left.
    pub(super) fn was_known(&self, target: &TargetId) -> bool {
        self.tombstones.get(target).is_some_and(|tombstone| tombstone.was_known)
    }

    /// Discards old records.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        for order in [&mut self.known, &mut self.unknown] {
            while let Some(oldest) = order.first_entry() {
                let tombstone = self.tombstones.get(oldest.get());
                if tombstone.is_some_and(|tombstone| tombstone.until > now) {
                    break;
                }
                self.tombstones.remove(&oldest.remove());
            }
        }
    }

    /// Returns the targets that have left, with the start of the process that did.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&TargetId, WallTime)> {
        self.tombstones.iter().map(|(target, tombstone)| (target, tombstone.started))
    }
}
