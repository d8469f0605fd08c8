//! Which entry addresses a caller should use, and until when the answers given here may be used.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::membership::{EntryRecord, MembershipView};
use crate::types::{CallerId, EntryId, MonotonicTime};

use super::interface::AddressAnswer;

/// Settings of address answers.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// Addresses in an answer.
    pub count: usize,
    /// How long a caller may keep an answer.
    pub lifetime: Duration,
    /// The same while this entry cannot confirm its view, so that callers soon ask an entry that can.
    pub unconfirmed_lifetime: Duration,
    /// Weight of this entry while it sheds load, relative to the others, whose load is not known here.
    pub overloaded_weight: f64,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            count: 3,
            lifetime: Duration::from_secs(10),
            unconfirmed_lifetime: Duration::from_secs(1),
            overloaded_weight: 0.5,
        }
    }
}

/// What an entry knows about itself when it answers.
#[derive(Clone, Debug)]
pub struct OwnStatus {
    /// Its name.
    pub entry: EntryId,
    /// Where its callers connect.
    pub address: SocketAddr,
    /// Whether it sheds load.
    pub is_overloaded: bool,
    /// Whether it must be left out: it is stopping, or cannot confirm its state.
    pub is_leaving: bool,
    /// Whether its view is confirmed.
    pub is_confirmed: bool,
}

struct ScoredAddress<'a> {
    record: &'a EntryRecord,
    score: f64,
}

/// Answers which addresses to use, and remembers how long the answers hold.
#[derive(Debug)]
pub struct AddressSelector {
    settings: AddressSettings,
    handed_out: BTreeMap<SocketAddr, MonotonicTime>,
}

impl AddressSelector {
    /// A book that has handed out nothing.
    pub fn new(settings: AddressSettings) -> Self {
        Self { settings, handed_out: BTreeMap::new() }
    }

    /// How long a regular answer holds.
    pub fn lifetime(&self) -> Duration {
        self.settings.lifetime
    }

    /// Answers a caller and remembers the answer's end.
    pub fn answer(
        &mut self,
        now: MonotonicTime,
        view: &MembershipView,
        caller: &CallerId,
        own: &OwnStatus,
    ) -> AddressAnswer {
        let mut addresses = self.choose(view, caller, own);
        if addresses.is_empty() && !own.is_leaving {
            addresses.push(own.address);
        }
        let lifetime = if own.is_confirmed {
            self.settings.lifetime
        } else {
            self.settings.unconfirmed_lifetime
        };
        self.handed_out.retain(|_, end| *end > now);
        for address in &addresses {
            let end = self.handed_out.entry(*address).or_default();
            *end = (*end).max(now + lifetime);
        }
        AddressAnswer { addresses, lifetime }
    }

    /// Addresses of other entries, for a caller that is refused here.
    pub fn others(
        &self,
        view: &MembershipView,
        caller: &CallerId,
        own: &OwnStatus,
    ) -> Vec<SocketAddr> {
        self.choose(view, caller, &OwnStatus { is_leaving: true, ..own.clone() })
    }

    /// The end of the last answer that contains an address, if it is still to come.
    pub fn latest_expiry(&self, address: SocketAddr) -> Option<MonotonicTime> {
        self.handed_out.get(&address).copied()
    }

    /// Ranks the entries for the caller, then takes the best of each failure domain first.
    fn choose(&self, view: &MembershipView, caller: &CallerId, own: &OwnStatus) -> Vec<SocketAddr> {
        let mut ranked: Vec<ScoredAddress<'_>> = candidates(view)
            .filter(|record| !(own.is_leaving && record.entry == own.entry))
            .map(|record| {
                let is_overloaded = own.is_overloaded && record.entry == own.entry;
                let weight = if is_overloaded { self.settings.overloaded_weight } else { 1.0 };
                ScoredAddress { record, score: rendezvous_score(caller, &record.entry, weight) }
            })
            .collect();
        ranked.sort_by(|left, right| left.score.total_cmp(&right.score));
        let mut domains = BTreeSet::new();
        let (first, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|scored| domains.insert(scored.record.failure_domain.clone()));
        first
            .into_iter()
            .chain(rest)
            .take(self.settings.count)
            .map(|scored| scored.record.caller_address)
            .collect()
    }
}

/// The newest process of each entry that is not leaving. Entries in drained failure domains are used only if
/// there are no others.
fn candidates(view: &MembershipView) -> impl Iterator<Item = &EntryRecord> {
    let serving = || {
        view.entries
            .values()
            .filter_map(|incarnations| incarnations.values().rev().find(|record| !record.draining))
    };
    let is_drained = |record: &EntryRecord| view.drained_domains.contains(&record.failure_domain);
    let has_others = serving().any(|record| !is_drained(record));
    serving().filter(move |record| !has_others || !is_drained(record))
}

/// Weighted rendezvous hashing: the entry with the lowest score wins, with a probability in proportion to
/// its weight, and the loss of an entry moves only the callers that used it.
fn rendezvous_score(caller: &CallerId, entry: &EntryId, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.as_str().as_bytes());
    // A zero byte occurs in no identifier, so that different pairs never hash equal.
    hasher.update(&[0]);
    hasher.update(entry.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let uniform = (u64::from_le_bytes(bytes) as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / weight
}
