//! Limits the requests to targets that have just started, where their service states how many they tolerate.
//!
//! The bound is for all entries together, and holds for entries that are cut off too, so it cannot depend on what entries
//! tell each other. Each entry derives from the list of open entries which few of them send to a cold target; see
//! `docs/design/evacuations.md`, "Cold targets".

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::limit_gate::PermitBucket;
use crate::gateway::membership::entry_list::OpenEntry;
use crate::gateway::targets::directory::TargetProcess;
use crate::types::{FailureDomain, MonotonicTime, RequestRate, ServiceId};

/// Time after which an entry acts on a change of the list of open entries that gives it more to send. Entries that are in
/// touch have heard of the change by then.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest time from the choice of a cold target to the send. Requests that waited longer could arrive together.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// Part of the allowed rate that the senders of a target use. What the rate leaves of the bound allows for more senders.
const USED_PART: f64 = 0.3;
/// Sets of senders that fit into the bound side by side: entries of two parts of a split system have different lists, and
/// each part has senders of its own.
const SENDER_SETS: f64 = 2.0;
/// How long an entry remembers whether it sends to a target.
const VERDICT_TIME: Duration = Duration::from_millis(100);

/// How many requests a cold target gets in any second at most: its rate times `overshoot`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate that the target tolerates.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overshoot: 1.5, slack: 5.0 }
    }
}

impl ColdBounds {
    /// Returns how many entries send to one cold target. Each may have a request to send at any moment.
    fn senders(&self, rate: RequestRate) -> usize {
        // Requests that leave within a second may have got their permits a little earlier.
        let counted = 1.0 + MAX_SEND_DELAY.as_secs_f64();
        let allowed = self.slack + self.overshoot * rate.0;
        let earned = self.used_rate(rate) * counted;
        (allowed / SENDER_SETS - earned).max(1.0) as usize
    }

    /// Returns the rate in requests per second of all senders together.
    fn used_rate(&self, rate: RequestRate) -> f64 {
        rate.0 * (self.overshoot * USED_PART).min(1.0)
    }
}

/// An entry in the list of open entries, or one that was in it a short time ago.
#[derive(Clone, Debug)]
struct ListedEntry {
    domain: FailureDomain,
    listed_at: MonotonicTime,
    // `None` while it is listed.
    left_at: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct SenderVerdict {
    // Number of entries among which the rate is divided; `None` if this entry is not one of them.
    senders: Option<usize>,
    // Number of the list that it was derived from.
    list: u64,
    decided_at: MonotonicTime,
}

/// What this entry may send to one target.
#[derive(Clone, Copy, Debug)]
struct ColdShare {
    bucket: PermitBucket,
    verdict: SenderVerdict,
}

/// A cold target of a service that states a rate.
#[derive(Clone, Debug)]
pub struct ColdTarget<'a> {
    /// Its process.
    pub process: TargetProcess,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Requests per second that it tolerates from all entries together.
    pub rate: RequestRate,
}

/// This entry's part of the requests to cold targets.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    // `None` until the gate is set up; nothing is sent to cold targets then.
    own_address: Option<SocketAddr>,
    bounds: ColdBounds,
    rates: HashMap<ServiceId, RequestRate>,
    // By the address at which callers connect.
    entries: BTreeMap<SocketAddr, ListedEntry>,
    // Number of changes of the list.
    list: u64,
    is_linked: bool,
    targets: HashMap<TargetProcess, ColdShare>,
}

impl ColdGate {
    /// Creates the gate of the entry to which callers connect at this address.
    pub fn new(own_address: SocketAddr, bounds: ColdBounds) -> Self {
        Self { own_address: Some(own_address), bounds, ..Self::default() }
    }

    /// Sets how many requests per second cold targets of services tolerate. Services that are left out have no limit.
    pub fn set_rates(&mut self, rates: HashMap<ServiceId, RequestRate>) {
        self.rates = rates;
    }

    /// Returns how many requests per second a cold target of a service tolerates; `None` if any number.
    pub fn rate(&self, service: &ServiceId) -> Option<RequestRate> {
        self.rates.get(service).copied()
    }

    /// Returns whether any service states a rate. Otherwise there is nothing to ask for.
    pub fn is_active(&self) -> bool {
        !self.rates.is_empty()
    }

    /// Takes over the list of open entries. Without a link to a control host it may be out of date, and this entry sends
    /// nothing to cold targets.
    pub fn set_entries<'a>(
        &mut self,
        now: MonotonicTime,
        is_linked: bool,
        listed: impl IntoIterator<Item = &'a OpenEntry>,
    ) {
        self.is_linked = is_linked;
        self.list += 1;
        let listed: BTreeMap<SocketAddr, &FailureDomain> =
            listed.into_iter().map(|entry| (entry.caller_address, &entry.domain)).collect();
        self.entries.retain(|address, entry| {
            if !listed.contains_key(address) {
                entry.left_at = entry.left_at.or(Some(now));
            }
            entry.left_at.is_none_or(|left_at| now.since(left_at) < SETTLE_TIME)
        });
        for (address, domain) in listed {
            let is_known = self.entries.get(&address).is_some_and(|entry| entry.left_at.is_none());
            if !is_known {
                let entry = ListedEntry { domain: domain.clone(), listed_at: now, left_at: None };
                self.entries.insert(address, entry);
            }
        }
    }

    /// Returns whether a request may be sent to a cold target now.
    pub fn has_permit(&mut self, now: MonotonicTime, target: &ColdTarget<'_>) -> bool {
        let known = self.targets.get(&target.process).copied();
        let verdict = known.map(|share| share.verdict).filter(|verdict| {
            verdict.list == self.list && now.since(verdict.decided_at) < VERDICT_TIME
        });
        let verdict = verdict.unwrap_or_else(|| SenderVerdict {
            senders: self.senders(now, target),
            list: self.list,
            decided_at: now,
        });
        let mut bucket = known.map_or_else(|| PermitBucket::full(now), |share| share.bucket);
        let part = verdict.senders.map_or(0.0, |senders| 1.0 / senders as f64);
        bucket.refill(now, self.bounds.used_rate(target.rate) * part, 1.0);
        let has_permit = verdict.senders.is_some() && bucket.has_permit();
        self.targets.insert(target.process.clone(), ColdShare { bucket, verdict });
        has_permit
    }

    /// Uses up a permit for a request to a target. It is not given back if the request is not sent, because the entry
    /// could collect such permits.
    pub fn take_permit(&mut self, process: &TargetProcess) {
        if let Some(share) = self.targets.get_mut(process) {
            share.bucket.take();
        }
    }

    /// Returns whether a permit that was taken at this time still allows to send.
    pub fn is_fresh(now: MonotonicTime, taken_at: MonotonicTime) -> bool {
        now.since(taken_at) <= MAX_SEND_DELAY
    }

    /// Forgets targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetProcess) -> bool) {
        self.targets.retain(|process, _| keep(process));
    }

    /// Returns the number of entries that send to a target, if this entry is one of them: the entries of the target's
    /// failure domain that rank highest. Whatever gives this entry more to send counts only after the settle time, whatever
    /// gives it less counts at once.
    fn senders(&self, now: MonotonicTime, target: &ColdTarget<'_>) -> Option<usize> {
        let own_address = self.own_address.filter(|_| self.is_linked)?;
        let own = self.entries.get(&own_address)?;
        if own.left_at.is_some() || now.since(own.listed_at) < SETTLE_TIME {
            return None;
        }
        let has_left = |entry: &ListedEntry| {
            entry.left_at.is_some_and(|left_at| now.since(left_at) >= SETTLE_TIME)
        };
        let current = || self.entries.iter().filter(|(_, entry)| !has_left(entry));
        // Without an entry in the target's failure domain, those of all domains send.
        let is_near = current().any(|(_, entry)| entry.domain == *target.domain);
        if is_near && own.domain != *target.domain {
            return None;
        }
        let candidates =
            || current().filter(|(_, entry)| !is_near || entry.domain == *target.domain);
        let own_rank = rank(&target.process, own_address);
        let is_ahead = |address: &SocketAddr| rank(&target.process, *address) > own_rank;
        let ahead = candidates().filter(|(address, _)| is_ahead(address)).count();
        let senders = self.bounds.senders(target.rate).min(candidates().count());
        (ahead < senders).then_some(senders)
    }
}

/// Returns the rank of an entry for a target, which all processes compute alike.
fn rank(process: &TargetProcess, entry: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(process.target.as_str().as_bytes());
    hasher.update(&process.started.0.to_le_bytes());
    hasher.update(entry.to_string().as_bytes());
    let mut number = [0; 8];
    number.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(number)
}
