//! The entries that accept callers, as an entry learns them from the control hosts.
//!
//! Callers look up entries before they connect. If only control hosts answered, a silent control host would
//! delay every caller in its failure domain until the look-up times out. Entries therefore answer
//! look-ups too, which spreads them over more hosts. See `docs/design/platform.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::messages::EntryHost;
use crate::gateway::fanouts::relays::RelayPeer;
use crate::types::FailureDomain;

/// An entry that accepts callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenEntry {
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: FailureDomain,
    /// Name and address of the entry for parts of wide fan-outs, if it accepts them and the sender's
    /// release reports it.
    #[serde(default)]
    pub relay: Option<RelayPeer>,
}

/// Returns the entries to which callers are directed: the open ones that do not lag, or all open ones
/// if fewer than half of them do not lag, because the others could not carry the load.
pub fn listed_entries<'a>(hosts: impl IntoIterator<Item = &'a EntryHost>) -> BTreeSet<OpenEntry> {
    let open: Vec<&EntryHost> = hosts.into_iter().filter(|host| host.open).collect();
    let steady = open.iter().filter(|host| !host.lagging).count();
    let all = steady * 2 < open.len();
    open.into_iter().filter(|host| all || !host.lagging).map(EntryHost::to_open_entry).collect()
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
    // By the address at which callers connect.
    last_known: BTreeMap<SocketAddr, OpenEntry>,
}

impl EntryList {
    /// Applies a change that the control host at `from` reports.
    pub fn apply(&mut self, from: SocketAddr, change: EntryListChange) {
        let reported = self.reported.entry(from).or_default();
        for entry in &change.closed {
            reported.remove(entry);
        }
        reported.extend(change.opened);
        self.merge();
    }

    fn merge(&mut self) {
        self.last_known.clear();
        for entry in self.reported.values().flatten() {
            let known =
                self.last_known.entry(entry.caller_address).or_insert_with(|| entry.clone());
            // Control hosts of an earlier release do not report how an entry takes parts of fan-outs.
            if known.relay.is_none() {
                known.relay.clone_from(&entry.relay);
            }
        }
    }

    /// Forgets the reports of a control host whose link was lost.
    pub fn remove_host(&mut self, from: SocketAddr) {
        self.reported.remove(&from);
        if !self.reported.is_empty() {
            self.merge();
        }
    }

    /// Returns whether callers are directed to other entries instead of the one at this address.
    pub fn prefers_others(&self, caller_address: SocketAddr) -> bool {
        !self.last_known.contains_key(&caller_address) && !self.last_known.is_empty()
    }

    /// Returns the open entries that accept parts of wide fan-outs, with their failure domains.
    pub fn relays(&self) -> impl Iterator<Item = (&FailureDomain, &RelayPeer)> {
        self.entries().filter_map(|entry| Some((&entry.domain, entry.relay.as_ref()?)))
    }

    /// Returns the open entries.
    pub fn entries(&self) -> impl Iterator<Item = &OpenEntry> {
        self.last_known.values()
    }
}
