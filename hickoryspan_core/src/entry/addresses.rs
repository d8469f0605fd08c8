//! Selection of entry addresses for callers, and the expiry times of the answers given here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::membership::{EntryRecord, MembershipView};
use crate::types::{CallerId, EntryId, MonotonicTime};

use super::interface::AddressAnswer;

/// Settings of address answers.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// Maximum number of addresses in an answer.
    pub count: usize,
    /// Time for which a caller may use an answer.
    pub lifetime: Duration,
    /// Lifetime of answers while this entry cannot confirm its view, so that callers soon ask an entry that can.
    pub unconfirmed_lifetime: Duration,
    /// Weight of this entry while it sheds load, relative to the other entries, whose load is unknown here.
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

/// Status of the entry that answers a caller.
#[derive(Clone, Debug)]
pub struct OwnStatus {
    /// Identifier of this entry.
    pub entry: EntryId,
    /// Address at which this entry serves callers.
    pub address: SocketAddr,
    /// Whether this entry has shed load recently.
    pub is_overloaded: bool,
    /// Whether this entry must be left out because it is draining or cannot confirm its state with control.
    pub is_excluded: bool,
    /// Whether this entry's view is confirmed by control.
    pub is_confirmed: bool,
}

struct ScoredAddress<'a> {
    record: &'a EntryRecord,
    score: f64,
}

/// Selects addresses for callers and tracks until when the given answers may be used.
#[derive(Debug)]
pub struct AddressSelector {
    settings: AddressSettings,
    /// Latest expiry of the answers that contain an address.
    expiries: BTreeMap<SocketAddr, MonotonicTime>,
}

impl AddressSelector {
    /// Creates a selector that has given no answers.
    pub fn new(settings: AddressSettings) -> Self {
        Self { settings, expiries: BTreeMap::new() }
    }

    /// Returns the lifetime of a regular answer.
    pub fn lifetime(&self) -> Duration {
        self.settings.lifetime
    }

    /// Selects addresses for a caller and records when the answer expires.
    pub fn answer(
        &mut self,
        now: MonotonicTime,
        view: &MembershipView,
        caller: &CallerId,
        own: &OwnStatus,
    ) -> AddressAnswer {
        let mut addresses = self.select(view, caller, own);
        if addresses.is_empty() && !own.is_excluded {
            addresses.push(own.address);
        }
        let lifetime = if own.is_confirmed {
            self.settings.lifetime
        } else {
            self.settings.unconfirmed_lifetime
        };
        self.expiries.retain(|_, end| *end > now);
        for address in &addresses {
            let end = self.expiries.entry(*address).or_default();
            *end = (*end).max(now + lifetime);
        }
        AddressAnswer { addresses, lifetime }
    }

    /// Returns addresses of other entries for a caller whose request is refused here.
    pub fn others(
        &self,
        view: &MembershipView,
        caller: &CallerId,
        own: &OwnStatus,
    ) -> Vec<SocketAddr> {
        self.select(view, caller, &OwnStatus { is_excluded: true, ..own.clone() })
    }

    /// Returns the latest expiry of the answers that contain an address, or `None` if there are no such answers.
    pub fn latest_expiry(&self, address: SocketAddr) -> Option<MonotonicTime> {
        self.expiries.get(&address).copied()
    }

    /// Ranks the entries for the caller, then selects the best entry of each failure domain before the
    /// remaining ones.
    fn select(&self, view: &MembershipView, caller: &CallerId, own: &OwnStatus) -> Vec<SocketAddr> {
        let mut ranked: Vec<ScoredAddress<'_>> = candidates(view)
            .filter(|record| !(own.is_excluded && record.entry == own.entry))
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

/// Returns the newest process of each entry that is not draining. Entries in drained failure domains are used
/// only if there are no others.
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

/// Score for weighted rendezvous hashing. The entry with the lowest score wins, with a probability proportional
/// to its weight, and the loss of an entry moves only the callers that used it.
fn rendezvous_score(caller: &CallerId, entry: &EntryId, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.as_str().as_bytes());
    // Identifiers contain no zero byte, so different pairs never produce the same input.
    hasher.update(&[0]);
    hasher.update(entry.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let uniform = (u64::from_le_bytes(bytes) as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / weight
}
