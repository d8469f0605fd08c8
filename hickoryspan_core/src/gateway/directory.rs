//! The targets that announced themselves. No quorum takes part: every control host passes on what it hears, and the
//! newest start and sequence number of a target win everywhere.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::messages::TargetRenewal;
use crate::sheet::duration_millis;
use crate::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};

/// How long the end of a target is remembered, so that a delayed announcement does not bring it back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is leaving or has left.
    Left,
}

/// Orders the announcements of one target: a later start wins, then a higher sequence number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct AnnouncementAge {
    /// When the target's process started, by its own clock.
    pub started: WallTime,
    /// Rises with each announcement of one process.
    pub sequence: u64,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetAnnouncement {
    /// The target.
    pub target: TargetId,
    /// Which announcement this is.
    pub age: AnnouncementAge,
    /// The service that it implements.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// How much longer it stays slow after its start.
    #[serde(with = "duration_millis")]
    pub cold: Duration,
}

/// A target that says that it leaves; its other properties are not part of the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetDeparture {
    /// The target.
    pub target: TargetId,
    /// When the process that leaves started, if it said so.
    pub started: Option<WallTime>,
}

/// A known target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// Its newest announcement.
    pub announcement: TargetAnnouncement,
    /// The age of the last announcement that changed something; whoever has that one needs no later one.
    pub changed: AnnouncementAge,
    /// When the newest announcement was heard here.
    pub heard_at: MonotonicTime,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// It is older than what is known.
    Stale,
    /// Only the time and the sequence number changed.
    Renewed,
    /// The target is new, or a property changed.
    Changed,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    started: WallTime,
    until: MonotonicTime,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    targets: BTreeMap<TargetId, KnownTarget>,
    tombstones: HashMap<TargetId, Tombstone>,
}

impl TargetDirectory {
    /// Takes an announcement.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: TargetAnnouncement,
    ) -> DirectoryChange {
        let target = &announcement.target;
        if self.tombstones.get(target).is_some_and(|end| end.started >= announcement.age.started) {
            return DirectoryChange::Stale;
        }
        if self.is_address_taken(&announcement) {
            return DirectoryChange::Stale;
        }
        let Some(known) = self.targets.get_mut(target) else {
            self.insert(now, announcement);
            return DirectoryChange::Changed;
        };
        if known.announcement.age >= announcement.age {
            // The same announcement may arrive over several control hosts.
            return DirectoryChange::Stale;
        }
        let unchanged = TargetAnnouncement {
            age: announcement.age,
            cold: announcement.cold,
            ..known.announcement.clone()
        } == announcement
            && known.announcement.age.started == announcement.age.started;
        if unchanged {
            *known = KnownTarget { announcement, changed: known.changed, heard_at: now };
            return DirectoryChange::Renewed;
        }
        self.insert(now, announcement);
        DirectoryChange::Changed
    }

    /// Takes a renewal that changed nothing else; false if the target is not known or the renewal is old.
    pub fn renew(&mut self, now: MonotonicTime, target: &TargetId, age: AnnouncementAge) -> bool {
        let Some(known) = self.targets.get_mut(target) else { return false };
        let current = known.announcement.age;
        if age.started != current.started || age.sequence <= current.sequence {
            return false;
        }
        known.announcement.age = age;
        known.heard_at = now;
        true
    }

    // A process that started later at the same address shows that the earlier one is gone.
    fn is_address_taken(&self, announcement: &TargetAnnouncement) -> bool {
        self.targets.values().any(|known| {
            known.announcement.address == announcement.address
                && known.announcement.target != announcement.target
                && known.announcement.age.started > announcement.age.started
        })
    }

    fn insert(&mut self, now: MonotonicTime, announcement: TargetAnnouncement) {
        let address = announcement.address;
        self.targets.retain(|target, known| {
            known.announcement.address != address || *target == announcement.target
        });
        let target = announcement.target.clone();
        let changed = announcement.age;
        self.targets.insert(target, KnownTarget { announcement, changed, heard_at: now });
    }

    /// Takes a target out for good; true if something changed.
    pub fn depart(&mut self, now: MonotonicTime, departure: &TargetDeparture) -> bool {
        let known = self.targets.get(&departure.target);
        let known_start = known.map(|known| known.announcement.age.started);
        let Some(started) = departure.started.or(known_start) else { return false };
        if known_start.is_some_and(|known| known > started) {
            return false;
        }
        let until = now + TOMBSTONE_LIFETIME;
        let end = Tombstone { started, until };
        let is_new = self.tombstones.insert(departure.target.clone(), end).is_none();
        self.targets.remove(&departure.target).is_some() || is_new
    }

    /// Forgets targets that were not heard for the lease, and ends that are old enough.
    pub fn expire(&mut self, now: MonotonicTime, lease: Duration) -> Vec<TargetRenewal> {
        self.tombstones.retain(|_, end| end.until > now);
        let silent: Vec<TargetRenewal> = self
            .targets
            .iter()
            .filter(|(_, known)| now.since(known.heard_at) > lease)
            .map(|(target, known)| TargetRenewal {
                target: target.clone(),
                age: known.announcement.age,
            })
            .collect();
        for renewal in &silent {
            self.targets.remove(&renewal.target);
        }
        silent
    }

    /// Takes out a target that another host has not heard, unless a later announcement is known here.
    pub fn drop_expired(&mut self, silent: &TargetRenewal) -> bool {
        let known = self.targets.get(&silent.target);
        let outdated = known.is_some_and(|known| known.announcement.age <= silent.age);
        if outdated {
            self.targets.remove(&silent.target);
        }
        outdated
    }

    /// Takes back a target that was known before a restart; `heard_at` decides how long it is kept.
    pub fn restore(&mut self, heard_at: MonotonicTime, announcement: TargetAnnouncement) {
        let target = announcement.target.clone();
        let changed = announcement.age;
        self.targets.entry(target).or_insert(KnownTarget { announcement, changed, heard_at });
    }

    /// The known targets.
    pub fn targets(&self) -> impl Iterator<Item = &KnownTarget> {
        self.targets.values()
    }

    /// The departures that are still remembered.
    pub fn departures(&self) -> impl Iterator<Item = TargetDeparture> + '_ {
        self.tombstones.iter().map(|(target, end)| TargetDeparture {
            target: target.clone(),
            started: Some(end.started),
        })
    }

    /// The number of known targets.
    pub fn count(&self) -> usize {
        self.targets.len()
    }

    /// One target.
    pub fn find(&self, target: &TargetId) -> Option<&KnownTarget> {
        self.targets.get(target)
    }

    /// Counts these targets as heard now: somebody else counts their leases.
    pub fn keep_alive(&mut self, now: MonotonicTime, is_alive: impl Fn(&TargetId) -> bool) {
        for (target, known) in &mut self.targets {
            if is_alive(target) {
                known.heard_at = now;
            }
        }
    }
}
