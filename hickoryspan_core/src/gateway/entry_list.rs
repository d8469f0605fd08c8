//! The entries that accept callers, as an entry learns them from the control hosts.
//!
//! Callers look up entries before they connect. If only control hosts answered, a silent control host would
//! delay every caller in its failure domain until the look-up times out. Entries therefore answer
//! look-ups too, which spreads them over more hosts. See `docs/design/platform.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::messages::EntryHost;
use crate::types::FailureDomain;

/// An entry that accepts callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenEntry {
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
}

/// Returns the entries to which callers are directed: the open ones that do not lag, or all open ones
/// if fewer than half of them do not lag, because the others could not carry the load.
pub fn listed_entries<'a>(hosts: impl IntoIterator<Item = &'a EntryHost>) -> BTreeSet<OpenEntry> {
    let open: Vec<&EntryHost> = hosts.into_iter().filter(|host| host.open).collect();
    let steady = open.iter().filter(|host| !host.lagging).count();
    let all = steady * 2 < open.len();
    open.into_iter()
        .filter(|host| all || !host.lagging)
        .map(|host| OpenEntry { caller_address: host.caller_address, domain: host.domain.clone() })
        .collect()
}

/// How the open entries known to a control host have changed since its last report on a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryListChange {
    /// Entries that accept callers now.
    pub opened: Vec<OpenEntry>,
    /// Entries that no longer do.
    pub closed: Vec<OpenEntry>,
}

impl EntryListChange {
    /// Returns the change from one set of open entries to another.
    pub fn between(before: &BTreeSet<OpenEntry>, after: &BTreeSet<OpenEntry>) -> Self {
        Self {
            opened: after.difference(before).cloned().collect(),
            closed: before.difference(after).cloned().collect(),
        }
    }

    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.opened.is_empty() && self.closed.is_empty()
    }
}

/// The open entries that the linked control hosts report.
///
/// An entry counts as open while any linked host reports it, because a host that has just started
/// does not know all entries yet. Without any link the last known entries are kept.
#[derive(Clone, Debug, Default)]
pub struct EntryList {
    reported: BTreeMap<SocketAddr, BTreeSet<OpenEntry>>,
    last_known: BTreeSet<OpenEntry>,
}

impl EntryList {
    /// Applies a change that the control host at `from` reports.
    pub fn apply(&mut self, from: SocketAddr, change: EntryListChange) {
        let reported = self.reported.entry(from).or_default();
        for entry in &change.closed {
            reported.remove(entry);
        }
        reported.extend(change.opened);
        self.last_known = self.reported.values().flatten().cloned().collect();
    }

    /// Forgets the reports of a control host whose link was lost.
    pub fn remove_host(&mut self, from: SocketAddr) {
        self.reported.remove(&from);
        if !self.reported.is_empty() {
            self.last_known = self.reported.values().flatten().cloned().collect();
        }
    }

    /// Returns whether callers are directed to other entries instead of the one at this address.
    pub fn prefers_others(&self, caller_address: SocketAddr) -> bool {
        let is_listed = self.last_known.iter().any(|entry| entry.caller_address == caller_address);
        !is_listed && !self.last_known.is_empty()
    }

    /// Returns the open entries.
    pub fn entries(&self) -> impl Iterator<Item = &OpenEntry> {
        self.last_known.iter()
    }
}
