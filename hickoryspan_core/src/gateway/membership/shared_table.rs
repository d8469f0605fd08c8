//! Tables whose records hosts exchange, each host sending others only what they do not know yet.

use crate::types::MonotonicTime;

/// Position of a change. A table numbers its changes in ascending order from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeNumber(pub u64);

/// A table that numbers its changes and merges the records of other hosts.
pub trait SharedTable {
    /// What hosts tell each other of one entry of the table.
    type Record;

    /// Returns the position of the last change.
    fn newest(&self) -> ChangeNumber;

    /// Returns the records that changed after the change `known`.
    fn changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<Self::Record>;

    /// Returns the records that this process itself changed after the change `known`. An entry tells control hosts
    /// only these: what it heard from one of them comes to the others from where it was noticed, and hundreds of
    /// entries would send it back to all.
    fn own_changed_since(&self, now: MonotonicTime, known: ChangeNumber) -> Vec<Self::Record>;

    /// Merges what another host knows, and returns whether that changed the table.
    fn merge(&mut self, now: MonotonicTime, record: Self::Record) -> bool;

    /// Merges records and returns those that changed here, as they are now.
    fn merge_all(
        &mut self,
        now: MonotonicTime,
        records: impl IntoIterator<Item = Self::Record>,
    ) -> Vec<Self::Record> {
        let before = self.newest();
        for record in records {
            self.merge(now, record);
        }
        if self.newest() == before {
            return Vec::new();
        }
        self.changed_since(now, before)
    }
}
