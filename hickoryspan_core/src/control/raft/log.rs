//! In-memory part of the log.

use std::collections::VecDeque;

use super::LogPosition;
use crate::control::interface::{LogEntry, LogIndex};
use crate::types::TermNumber;

/// Consecutive log entries that follow a base position. Earlier entries are included in a snapshot.
#[derive(Clone, Debug)]
pub struct LogBuffer {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
}

impl LogBuffer {
    /// Creates a log whose entries up to `base` are included in a snapshot.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Returns the position that precedes the first entry in memory.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the position of the last entry, or the base if there is none.
    pub fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| LogPosition { term: entry.term, index: entry.index })
    }

    /// Returns the term of an entry or of the base; `None` before the base and after the end.
    pub fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry, or `None` if it is not in memory.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index.0, self.last().index.0 + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from this index on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including this index.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = LogPosition { term: entry.term, index: entry.index };
            }
        }
    }

    /// Copies the entries from `first` to `last`, up to both limits. Returns at least one entry if there is one, even
    /// if it exceeds `max_bytes`.
    pub fn slice(
        &self,
        first: LogIndex,
        last: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut slice = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(entry) = self.get(index).filter(|_| index <= last) {
            bytes += entry.payload.len();
            if slice.len() >= max_entries || (bytes > max_bytes && !slice.is_empty()) {
                break;
            }
            slice.push(entry.clone());
            index = LogIndex(index.0 + 1);
        }
        slice
    }

    /// Returns the first index of the longest run of entries that ends at `last` and stays within both limits.
    pub fn tail_start(&self, last: LogIndex, max_entries: usize, max_bytes: usize) -> LogIndex {
        let mut start = LogIndex(last.0 + 1);
        let mut bytes = 0;
        while let Some(entry) = self.get(LogIndex(start.0 - 1)) {
            bytes += entry.payload.len();
            if bytes > max_bytes || (last.0 + 1 - start.0) as usize >= max_entries {
                break;
            }
            start = entry.index;
        }
        start
    }

    /// Returns the first index in memory that has the same term as the entry at `index`.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else { return index };
        let mut first = index;
        while first > self.base.index && self.term_at(LogIndex(first.0 - 1)) == Some(term) {
            first = LogIndex(first.0 - 1);
        }
        first
    }
}
