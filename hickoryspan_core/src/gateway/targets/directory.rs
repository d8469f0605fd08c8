//! Directory of the targets that have announced themselves. No quorum is involved: every control
//! host forwards the announcements that it receives, and the newest start time and sequence number
//! of a target win everywhere.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::departures::DepartureRecords;
use crate::gateway::membership::messages::TargetRenewal;
use crate::sheet::duration_millis;
use crate::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};

/// Smallest rise of the remaining cold time that counts as a change. Announcements may be delayed on their way.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

/// Part of the room for targets that those at one IP address may have, so that a host that invents some leaves room.
const IP_ADDRESS_DIVISOR: usize = 16;
/// Number of targets that one IP address may have whatever the room is.
const MIN_AT_IP_ADDRESS: usize = 64;

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target accepts work.
    Ready,
    /// The target finishes its running work and accepts no more.
    Draining,
    /// The target is leaving or has left.
    Left,
}

/// Orders the announcements of one target: a later process start wins, then a higher sequence
/// number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct AnnouncementAge {
    /// Start time of the target's process, by its own clock.
    pub started: WallTime,
    /// Increases with each announcement of one process.
    pub sequence: u64,
}

/// One process of a target. A target that starts again under its name is another process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetProcess {
    /// The target.
    pub target: TargetId,
    /// Start time of the process, by its own clock.
    pub started: WallTime,
}

/// The properties that a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetAnnouncement {
    /// The target.
    pub target: TargetId,
    /// Start time and sequence number of the announcement.
    pub age: AnnouncementAge,
    /// The service that it implements.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it accepts new work.
    pub phase: TargetPhase,
    /// Remaining time for which it is slow after its start.
    #[serde(with = "duration_millis")]
    pub cold: Duration,
}

/// Notice that a target leaves. Its other properties are not part of the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetDeparture {
    /// The target.
    pub target: TargetId,
    /// Start time of the process that leaves, if it was reported.
    pub started: Option<WallTime>,
}

/// A known target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// Its newest announcement.
    pub announcement: TargetAnnouncement,
    /// Age of the last announcement that changed a property. A receiver that has this announcement
    /// or a later one knows all properties.
    pub changed: AnnouncementAge,
    /// When the newest announcement was received here.
    pub seen_at: MonotonicTime,
    /// Until when the target is slow after its start.
    pub cold_until: MonotonicTime,
}

impl KnownTarget {
    fn new(now: MonotonicTime, announcement: TargetAnnouncement, changed: AnnouncementAge) -> Self {
        let cold_until = now + announcement.cold;
        Self { announcement, changed, seen_at: now, cold_until }
    }

    /// Returns the announcement with the cold time that is left now.
    pub fn announcement_at(&self, now: MonotonicTime) -> TargetAnnouncement {
        let cold = self.cold_until.since(now);
        TargetAnnouncement { cold, ..self.announcement.clone() }
    }

    /// Returns whether the target is cold for clearly longer than it said before.
    fn has_become_cold(&self, now: MonotonicTime, announcement: &TargetAnnouncement) -> bool {
        now + announcement.cold > self.cold_until.max(now) + COLD_TOLERANCE
    }

    // A process serves one service for all its life, so this is the announcement of another writer. Targets that do not
    // name their start cannot be told from their next process.
    fn contradicts(&self, announcement: &TargetAnnouncement) -> bool {
        let started = announcement.age.started;
        started != WallTime(0)
            && started == self.announcement.age.started
            && announcement.service != self.announcement.service
    }
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The announcement is older than the known state.
    Stale,
    /// Only the sequence number and the remaining cold time changed.
    Renewed,
    /// The target is new, or a property changed.
    Changed,
    /// The target is new, and there is no room for it.
    Full,
}

/// All known targets.
#[derive(Clone, Debug)]
pub struct TargetDirectory {
    max_targets: usize,
    targets: BTreeMap<TargetId, KnownTarget>,
    // An address belongs to one target. Without this index, each announcement would be compared with all targets.
    by_address: HashMap<SocketAddr, TargetId>,
    // Number of targets at each IP address.
    at_ip_address: HashMap<IpAddr, usize>,
    departures: DepartureRecords,
    // Targets for which there was no room, at most as many as there may be known ones.
    left_out: BTreeSet<TargetId>,
}

impl Default for TargetDirectory {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl TargetDirectory {
    /// Creates an empty directory of this many targets at most. It remembers as many departures of them.
    pub fn new(max_targets: usize) -> Self {
        Self {
            max_targets,
            targets: BTreeMap::new(),
            by_address: HashMap::new(),
            at_ip_address: HashMap::new(),
            departures: DepartureRecords::new(max_targets),
            left_out: BTreeSet::new(),
        }
    }

    /// Applies an announcement and returns its effect.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        announcement: TargetAnnouncement,
    ) -> DirectoryChange {
        let target = &announcement.target;
        if self.departures.covers(target, announcement.age.started) {
            return DirectoryChange::Stale;
        }
        if self.is_address_taken(&announcement) {
            return DirectoryChange::Stale;
        }
        let Some(known) = self.targets.get_mut(target) else {
            if !self.has_room_for(announcement.address) {
                if self.left_out.len() < self.max_targets {
                    self.left_out.insert(announcement.target);
                }
                return DirectoryChange::Full;
            }
            self.insert(now, announcement);
            return DirectoryChange::Changed;
        };
        if known.announcement.age >= announcement.age {
            // The same announcement may arrive via several control hosts.
            return DirectoryChange::Stale;
        }
        if known.contradicts(&announcement) {
            return DirectoryChange::Stale;
        }
        let unchanged = TargetAnnouncement {
            age: announcement.age,
            cold: announcement.cold,
            ..known.announcement.clone()
        } == announcement
            && known.announcement.age.started == announcement.age.started;
        if unchanged && !known.has_become_cold(now, &announcement) {
            *known = KnownTarget::new(now, announcement, known.changed);
            return DirectoryChange::Renewed;
        }
        self.insert(now, announcement);
        DirectoryChange::Changed
    }

    /// Applies a renewal without any other change. Returns false if the target is unknown or the
    /// renewal is outdated.
    pub fn renew(&mut self, now: MonotonicTime, target: &TargetId, age: AnnouncementAge) -> bool {
        let Some(known) = self.targets.get_mut(target) else { return false };
        let current = known.announcement.age;
        if age.started != current.started || age.sequence <= current.sequence {
            return false;
        }
        known.announcement.age = age;
        known.seen_at = now;
        true
    }

    // A process that started later at the same address proves that the earlier one has ended.
    fn is_address_taken(&self, announcement: &TargetAnnouncement) -> bool {
        let holder = self.by_address.get(&announcement.address);
        let holder = holder.filter(|holder| **holder != announcement.target);
        let known = holder.and_then(|holder| self.targets.get(holder));
        known.is_some_and(|known| known.announcement.age.started > announcement.age.started)
    }

    // A new target at a known address replaces the one that was there.
    fn has_room_for(&self, address: SocketAddr) -> bool {
        if self.by_address.contains_key(&address) {
            return true;
        }
        let most_at_ip = (self.max_targets / IP_ADDRESS_DIVISOR).max(MIN_AT_IP_ADDRESS);
        let at_ip = self.at_ip_address.get(&address.ip()).copied().unwrap_or_default();
        self.targets.len() < self.max_targets && at_ip < most_at_ip
    }

    /// Notes the target at an address and returns the one that was there.
    fn hold_address(&mut self, address: SocketAddr, target: TargetId) -> Option<TargetId> {
        let earlier = self.by_address.insert(address, target);
        if earlier.is_none() {
            *self.at_ip_address.entry(address.ip()).or_default() += 1;
        }
        earlier
    }

    fn free_address(&mut self, address: SocketAddr) {
        if self.by_address.remove(&address).is_none() {
            return;
        }
        if let Some(count) = self.at_ip_address.get_mut(&address.ip()) {
            *count -= 1;
            if *count == 0 {
                self.at_ip_address.remove(&address.ip());
            }
        }
    }

    /// Returns whether the target was left out for lack of room and has not been taken out of that list since.
    pub fn is_left_out(&self, target: &TargetId) -> bool {
        self.left_out.contains(target)
    }

    /// Takes as many of the targets that were left out as there is room for now.
    pub fn take_left_out(&mut self) -> Vec<TargetId> {
        let room = self.max_targets.saturating_sub(self.targets.len());
        std::iter::from_fn(|| self.left_out.pop_first()).take(room).collect()
    }

    fn insert(&mut self, now: MonotonicTime, announcement: TargetAnnouncement) {
        let target = announcement.target.clone();
        self.left_out.remove(&target);
        self.remove(&target);
        if let Some(earlier) = self.hold_address(announcement.address, target.clone()) {
            self.targets.remove(&earlier);
        }
        let changed = announcement.age;
        self.targets.insert(target, KnownTarget::new(now, announcement, changed));
    }

    fn remove(&mut self, target: &TargetId) -> Option<KnownTarget> {
        let known = self.targets.remove(target)?;
        self.free_address(known.announcement.address);
        Some(known)
    }

    /// Removes a target and records its departure, so that delayed announcements are ignored.
    /// Returns true if anything changed.
    pub fn depart(&mut self, now: MonotonicTime, departure: &TargetDeparture) -> bool {
        let known = self.targets.get(&departure.target);
        let known_start = known.map(|known| known.announcement.age.started);
        let Some(started) = departure.started.or(known_start) else { return false };
        if known_start.is_some_and(|known| known > started) {
            return false;
        }
        self.left_out.remove(&departure.target);
        let is_known = known_start.is_some();
        let is_new = self.departures.record(now, &departure.target, started, is_known);
        self.remove(&departure.target).is_some() || is_new
    }

    /// Returns whether the target is known, or was when it left.
    pub fn has_known(&self, target: &TargetId) -> bool {
        self.targets.contains_key(target) || self.departures.was_known(target)
    }

    /// Removes and returns the targets whose lease has expired, and discards old departures.
    pub fn expire(&mut self, now: MonotonicTime, lease: Duration) -> Vec<TargetRenewal> {
        self.departures.expire(now);
        let expired: Vec<TargetRenewal> = self
            .targets
            .iter()
            .filter(|(_, known)| now.since(known.seen_at) > lease)
            .map(|(target, known)| TargetRenewal {
                target: target.clone(),
                age: known.announcement.age,
            })
            .collect();
        for renewal in &expired {
            self.remove(&renewal.target);
        }
        expired
    }

    /// Removes a target whose lease has expired at another host, unless a later announcement is
    /// known here. Returns whether it was removed.
    pub fn drop_expired(&mut self, expired: &TargetRenewal) -> bool {
        let known = self.targets.get(&expired.target);
        let outdated = known.is_some_and(|known| known.announcement.age <= expired.age);
        if outdated {
            self.remove(&expired.target);
        }
        outdated
    }

    /// Restores a target that was known before a restart, if there is room. Its lease is counted from `seen_at`.
    pub fn restore(&mut self, seen_at: MonotonicTime, announcement: TargetAnnouncement) {
        let target = announcement.target.clone();
        let changed = announcement.age;
        let address = announcement.address;
        let is_known = self.targets.contains_key(&target) || self.by_address.contains_key(&address);
        if is_known || !self.has_room_for(address) {
            return;
        }
        self.hold_address(address, target.clone());
        self.targets.insert(target, KnownTarget::new(seen_at, announcement, changed));
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &KnownTarget> {
        self.targets.values()
    }

    /// Returns the departures that are still remembered.
    pub fn departures(&self) -> impl Iterator<Item = TargetDeparture> + '_ {
        self.departures.iter().map(|(target, started)| TargetDeparture {
            target: target.clone(),
            started: Some(started),
        })
    }

    /// Returns the number of known targets.
    pub fn count(&self) -> usize {
        self.targets.len()
    }

    /// Returns a target by its name, if it is known.
    pub fn find(&self, target: &TargetId) -> Option<&KnownTarget> {
        self.targets.get(target)
    }

    /// Renews the leases of the targets for which `is_alive` returns true, because their leases are
    /// tracked elsewhere.
    pub fn keep_alive(&mut self, now: MonotonicTime, is_alive: impl Fn(&TargetId) -> bool) {
        for (target, known) in &mut self.targets {
            if is_alive(target) {
                known.seen_at = now;
            }
        }
    }
}
