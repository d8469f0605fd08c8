//! The part of the log that is in memory.

use std::collections::VecDeque;

use super::LogPosition;
use crate::control::interface::{LogEntry, LogIndex};
use crate::types::TermNumber;

/// Entries after a base position, without gaps.
#[derive(Clone, Debug)]
pub struct LogBuffer {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
}

impl LogBuffer {
    /// A log whose entries up to `base` are in a snapshot.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// The position before the first entry.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The last position.
    pub fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| LogPosition { term: entry.term, index: entry.index })
    }

    /// The term of an entry, or of the base; `None` before the base and after the end.
    pub fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index.0, self.last().index.0 + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from this index on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to this index.
    pub fn compact_to(&mut self, index: LogIndex) {
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = LogPosition { term: entry.term, index: entry.index };
            }
        }
    }

    /// Entries from `first` to `last`, bounded by number and payload bytes; at least one if there is any.
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

    /// The first of the entries that end at `last` and stay within both bounds.
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

    /// The first index whose term is that of the entry at `index`, as far as the buffer reaches.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else { return index };
        let mut first = index;
        while first > self.base.index && self.term_at(LogIndex(first.0 - 1)) == Some(term) {
            first = LogIndex(first.0 - 1);
        }
        first
    }
}
