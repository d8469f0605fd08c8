//! The target directory of one control host, and the links over which it is shared with entries and other control
//! hosts.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryspan_control::ControlHandle;
use hickoryspan_core::control::interface::ReplicaRecord;
use hickoryspan_core::gateway::documents::document::ConfigurationDocument;
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::membership::entry_list::OpenEntry;
use hickoryspan_core::gateway::membership::messages::{
    ConfirmNumber, DirectoryRequest, DirectoryUpdate, LinkVersion, TargetRenewal,
};
use hickoryspan_core::gateway::membership::report_history::ReportHistory;
use hickoryspan_core::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use hickoryspan_core::gateway::targets::directory::{
    DirectoryChange, TargetAnnouncement, TargetDeparture, TargetPhase,
};
use hickoryspan_core::gateway::targets::evacuations::EvacuationState;
use hickoryspan_core::types::MonotonicTime;
use hickoryspan_runtime::clock::SystemClock;
use hickoryspan_wire::EncodedFrame;
use tokio::sync::{Notify, mpsc, watch};

use crate::directory_cache::{CachedDirectory, DirectoryCache};
use crate::directory_links::{KnownChanges, LinkHandler};
use crate::host_list::HostList;
use crate::hub_state::{
    BATCH_DELAY, ChangeBatch, HubLink, HubState, LinkNumber, LinkPeer, ReportedDemands,
    last_change_of,
};
use crate::settings::DirectorySettings;

/// The result of an announcement or a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceVerdict {
    /// This host has recorded it, and the entries have confirmed it where that is required.
    Accepted,
    /// Too few entries confirmed it in time.
    Unconfirmed,
    /// This host knows no leader, so it may be partitioned from the other control hosts.
    Isolated,
    /// The target is new, and this host knows as many as its memory allows.
    Full,
}

/// How long a target that was loaded from disk stays known without an announcement.
const RESTORED_LEASE: Duration = Duration::from_millis(2_800);

// A flood of targets that are new or never existed must not suppress the lines about those that are known.
fn log_priority(is_known: bool) -> LogPriority {
    match is_known {
        true => LogPriority::Important,
        false => LogPriority::Ordinary,
    }
}

/// Returns the monotonic time plus one target lease. The offset keeps the announcement times of restored targets, which
/// lie before the start of this process, from being negative.
fn offset_now(clock: &SystemClock, settings: &DirectorySettings) -> MonotonicTime {
    clock.reading().monotonic + settings.target_lease
}

fn restore(cache: &DirectoryCache, now: MonotonicTime, settings: &DirectorySettings) -> HubState {
    let mut state = HubState::new(now, settings);
    let cached = match cache.load() {
        Ok(Some(cached)) => cached,
        Ok(None) => return state,
        Err(error) => {
            spdlog::warn!("{:#}", error);
            return state;
        }
    };
    let announced_at = now - settings.target_lease.saturating_sub(RESTORED_LEASE);
    spdlog::info!("targets restored", kv: { count: = cached.targets.len() });
    for departure in &cached.departures {
        state.directory.depart(now, departure);
    }
    for announcement in cached.targets {
        state.directory.restore(announced_at, announcement);
    }
    state.poison.merge_all(now, cached.suspicions);
    state
}

/// The target directory of one control host.
pub struct DirectoryHub {
    settings: DirectorySettings,
    clock: SystemClock,
    control: ControlHandle,
    record: ReplicaRecord,
    directory_address: SocketAddr,
    hosts: HostList,
    cache: DirectoryCache,
    state: Mutex<HubState>,
    confirmations: watch::Sender<u64>,
    changes_scheduled: Notify,
}

/// An accepted link. Dropping it removes the link from the hub.
pub(crate) struct HubLinkGuard {
    hub: Arc<DirectoryHub>,
    number: LinkNumber,
}

impl HubLinkGuard {
    pub(crate) fn number(&self) -> LinkNumber {
        self.number
    }
}

impl Drop for HubLinkGuard {
    fn drop(&mut self) {
        self.hub.lock().links.remove(&self.number);
    }
}

impl DirectoryHub {
    /// Creates the directory of the control host with this record. `hosts` is shared with the outgoing links, and known
    /// targets are saved in `folder`.
    pub fn new(
        settings: DirectorySettings,
        control: ControlHandle,
        record: ReplicaRecord,
        directory_address: SocketAddr,
        hosts: HostList,
        folder: impl Into<PathBuf>,
    ) -> Self {
        let cache = DirectoryCache::new(folder);
        let clock = SystemClock::start();
        let state = restore(&cache, offset_now(&clock, &settings), &settings);
        Self {
            settings,
            clock,
            control,
            record,
            directory_address,
            hosts,
            cache,
            state: Mutex::new(state),
            confirmations: watch::Sender::new(0),
            changes_scheduled: Notify::new(),
        }
    }

    pub(crate) fn settings(&self) -> &DirectorySettings {
        &self.settings
    }

    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonotonicTime {
        offset_now(&self.clock, &self.settings)
    }

    /// Returns the directory address of another control host. Ports are the same on all hosts.
    fn directory_of(&self, record: &ReplicaRecord) -> SocketAddr {
        SocketAddr::new(record.peer_address.ip(), self.directory_address.port())
    }

    pub(crate) fn open_link(self: &Arc<Self>, queue: mpsc::Sender<EncodedFrame>) -> HubLinkGuard {
        let now = self.now();
        let mut state = self.lock();
        let number = LinkNumber(state.next_link);
        state.next_link += 1;
        let link = HubLink {
            queue,
            peer: LinkPeer::Unknown,
            entry: None,
            relays: Vec::new(),
            hosts_sent: ReportHistory::default(),
            last_received_at: now,
            demands: ReportedDemands::default(),
            confirmed: ConfirmNumber(0),
        };
        state.links.insert(number, link);
        HubLinkGuard { hub: Arc::clone(self), number }
    }

    pub(crate) fn handle_request(&self, number: LinkNumber, request: DirectoryRequest) {
        let now = self.now();
        let mut state = self.lock();
        let Some(link) = state.links.get_mut(&number) else { return };
        link.last_received_at = now;
        match request {
            DirectoryRequest::Entry(entry) => {
                if link.entry.as_ref() != Some(&entry) {
                    spdlog::info!(
                        "entry report changed",
                        kv: { entry: = entry.entry, address: = entry.caller_address, open: = entry.open }
                    );
                }
                link.entry = Some(entry);
                self.send_full_state(&mut state, number, LinkPeer::Entry, now);
            }
            DirectoryRequest::Unchanged => {}
            DirectoryRequest::Control(record) => {
                self.send_full_state(&mut state, number, LinkPeer::Control, now);
                drop(state);
                self.hosts.add([self.directory_of(&record)]);
                self.control.note_replica(record);
            }
            DirectoryRequest::Confirm(confirmed) => {
                link.confirmed = link.confirmed.max(confirmed);
                self.confirmations.send_modify(|count| *count += 1);
            }
            DirectoryRequest::FetchDocument { held } => {
                for part in state.documents.change_since(held) {
                    state.send_to(number, &DirectoryUpdate::Document(part));
                }
            }
            DirectoryRequest::FetchTargets(targets) => {
                let announcements = state.announcements_of(now, &targets);
                state.send_to(number, &DirectoryUpdate::Targets(announcements));
            }
            DirectoryRequest::Suspicions(records) => state.merge_suspicions(now, records),
            DirectoryRequest::Limits(records) => state.merge_limits(now, records),
            DirectoryRequest::Demands(demands) => {
                link.demands = ReportedDemands { demands, reported_at: now };
            }
            DirectoryRequest::QuotaCounts(counts) => state.count_requests(now, counts),
            DirectoryRequest::AskPermits(request) => {
                state.quotas.note_leader(now, self.has_leader());
                state.answer_permits(now, number, &request);
            }
        }
    }

    /// Sends the current state over a link whose peer has just identified itself. Control hosts get all announcements.
    /// Entries get the known targets with the age of their last change, and fetch the announcements that they lack from
    /// one of the hosts.
    fn send_full_state(
        &self,
        state: &mut HubState,
        number: LinkNumber,
        peer: LinkPeer,
        now: MonotonicTime,
    ) {
        let Some(link) = state.links.get_mut(&number) else { return };
        if std::mem::replace(&mut link.peer, peer) == peer {
            return;
        }
        // The state sent below includes all earlier changes, so the link counts as having confirmed them.
        link.confirmed = state.confirm_number;
        let hosts = self.hosts_update(state, now);
        if let Some(link) = state.links.get_mut(&number) {
            link.hosts_sent.next(&hosts, LinkVersion::default());
        }
        state.send_to(number, &hosts);
        // Sent before the rest, so that an entry never serves with the rest alone.
        state.send_evacuations_to(number);
        match peer {
            LinkPeer::Entry => {
                for frame in &*state.initial_frames(now) {
                    state.send_frame(number, frame);
                }
                state.send_quotas(number);
            }
            LinkPeer::Control | LinkPeer::Unknown => {
                for update in state.known_state(now, peer) {
                    state.send_to(number, &update);
                }
            }
        }
    }

    fn hosts_update(&self, state: &HubState, now: MonotonicTime) -> DirectoryUpdate {
        let views = self.control.views();
        let view = views.borrow();
        let controls = view.replicas.iter().map(|record| self.directory_of(record));
        let controls = controls.chain([self.directory_address]).collect();
        let entries = state.entries(now, &self.settings).len();
        DirectoryUpdate::Hosts {
            controls,
            entries: u32::try_from(entries).unwrap_or(u32::MAX),
            document: state.documents.version(),
            link_version: LinkVersion::CURRENT,
        }
    }

    /// Returns whether this host knows a leader. Without one it may be partitioned from the other control hosts, so it
    /// must not accept announcements on behalf of all.
    pub fn has_leader(&self) -> bool {
        self.control.views().borrow().leader.is_some()
    }

    /// Records an announcement that came from `source`. If the target is draining or leaving, returns only after the
    /// entries have confirmed it.
    pub async fn announce(
        &self,
        source: IpAddr,
        announcement: TargetAnnouncement,
    ) -> AnnounceVerdict {
        let is_leaving = announcement.phase != TargetPhase::Ready;
        let now = self.now();
        let has_entries = !self.lock().entries(now, &self.settings).is_empty();
        // After a restart of all hosts, entries should learn the targets before a leader is elected.
        if !self.has_leader() && (is_leaving || !has_entries) {
            return AnnounceVerdict::Isolated;
        }
        {
            let mut state = self.lock();
            let priority = log_priority(state.directory.has_known(&announcement.target));
            if source != announcement.address.ip() && !state.admits_foreign(&announcement.target) {
                return AnnounceVerdict::Full;
            }
            match state.directory.announce(now, announcement.clone()) {
                DirectoryChange::Stale => {}
                DirectoryChange::Full => return AnnounceVerdict::Full,
                DirectoryChange::Renewed => {
                    let TargetAnnouncement { target, age, .. } = announcement;
                    state.renewals.push(TargetRenewal { target, age });
                }
                DirectoryChange::Changed => {
                    if state.admits_log_line(now, priority) {
                        spdlog::info!(
                            "target changed",
                            kv: {
                                target: = announcement.target,
                                service: = announcement.service,
                                address: = announcement.address,
                                phase: ? = announcement.phase,
                                cold_ms: = announcement.cold.as_millis()
                            }
                        );
                    }
                    state.unsaved = true;
                    state.changes.targets.push(announcement);
                    self.schedule_changes(&mut state);
                }
            }
        }
        if is_leaving { self.await_confirmations().await } else { AnnounceVerdict::Accepted }
    }

    /// Records a departure, and returns only after the entries have confirmed it. Anyone can report targets that never
    /// existed, so only some departures of unknown targets are sent to others. The rest are unconfirmed, and a true
    /// target reports its departure again.
    pub async fn depart(&self, departure: TargetDeparture) -> AnnounceVerdict {
        if !self.has_leader() {
            return AnnounceVerdict::Isolated;
        }
        let now = self.now();
        {
            let mut state = self.lock();
            let is_known = state.directory.has_known(&departure.target);
            let is_new = state.directory.depart(now, &departure);
            state.unsaved |= is_new;
            if is_new && state.admits_log_line(now, log_priority(is_known)) {
                spdlog::info!("target left", kv: { target: = departure.target });
            }
            if !is_known && !state.unknown_departures.admit(now) {
                metrics::counter!("hickoryspan_departures_not_sent_total").increment(1);
                return AnnounceVerdict::Unconfirmed;
            }
            // Of an unknown target the record may be there already and not have been sent.
            if is_new || (!is_known && departure.started.is_some()) {
                state.changes.departures.push(departure);
            }
        }
        self.await_confirmations().await
    }

    fn schedule_changes(&self, state: &mut HubState) {
        if state.changes.due_at.is_none() {
            state.changes.due_at = Some(Instant::now() + BATCH_DELAY);
            self.changes_scheduled.notify_one();
        }
    }

    /// Waits until a batch of changes is due. Cancel safe.
    pub(crate) async fn await_changes(&self) {
        loop {
            let due_at = self.lock().changes.due_at;
            match due_at {
                Some(due_at) => return tokio::time::sleep_until(due_at.into()).await,
                None => self.changes_scheduled.notified().await,
            }
        }
    }

    /// Sends the pending changes and requests a confirmation of everything sent so far.
    pub(crate) fn send_changes(&self) {
        let mut state = self.lock();
        let ChangeBatch { targets, departures, .. } = std::mem::take(&mut state.changes);
        if !targets.is_empty() {
            state.broadcast(&DirectoryUpdate::Targets(targets));
        }
        if !departures.is_empty() {
            state.broadcast(&DirectoryUpdate::Departures(departures));
        }
        state.confirm_number = ConfirmNumber(state.confirm_number.0 + 1);
        let confirm = DirectoryUpdate::Confirm(state.confirm_number);
        state.send_where(&confirm, |peer| peer == LinkPeer::Entry);
    }

    async fn await_confirmations(&self) -> AnnounceVerdict {
        let number = {
            let mut state = self.lock();
            self.schedule_changes(&mut state);
            ConfirmNumber(state.confirm_number.0 + 1)
        };
        let mut confirmations = self.confirmations.subscribe();
        let wait = async {
            while !self.is_confirmed(number) {
                if confirmations.changed().await.is_err() {
                    return;
                }
            }
        };
        match tokio::time::timeout(self.settings.confirm_timeout, wait).await {
            Ok(()) => AnnounceVerdict::Accepted,
            Err(_) if self.is_confirmed_by_half(number) => AnnounceVerdict::Accepted,
            Err(_) => AnnounceVerdict::Unconfirmed,
        }
    }

    fn is_confirmed(&self, number: ConfirmNumber) -> bool {
        let state = self.lock();
        let mut entries = state.links.values().filter(|link| link.entry.is_some());
        entries.all(|link| link.confirmed >= number)
    }

    // At the timeout half of the entries suffice, so that an entry that is stalled or gone does not keep a target from
    // leaving.
    fn is_confirmed_by_half(&self, number: ConfirmNumber) -> bool {
        let state = self.lock();
        let entries = || state.links.values().filter(|link| link.entry.is_some());
        let confirmed = entries().filter(|link| link.confirmed >= number).count();
        confirmed * 2 >= entries().count()
    }

    /// Returns the entries that accept callers.
    pub fn open_entries(&self) -> Vec<OpenEntry> {
        let now = self.now();
        self.lock().open_entries(now, &self.settings).into_iter().collect()
    }

    /// Saves the known targets to disk if they changed. Called periodically; blocks, so it must run on a thread of its
    /// own.
    pub fn save(&self) {
        let now = self.now();
        let directory = {
            let mut state = self.lock();
            if !std::mem::take(&mut state.unsaved) {
                return;
            }
            CachedDirectory {
                targets: state
                    .directory
                    .targets()
                    .map(|known| known.announcement_at(now))
                    .collect(),
                departures: state.directory.departures().collect(),
                suspicions: state.poison.changed_since(now, ChangeNumber::default()),
            }
        };
        if let Err(error) = self.cache.save(&directory) {
            spdlog::warn!("{:#}", error);
            self.lock().unsaved = true;
        }
    }

    /// Activates a document and notifies all linked entries of its version. Entries fetch the changes that they lack.
    pub fn set_document(&self, document: Arc<ConfigurationDocument>) {
        let mut state = self.lock();
        let version = document.version;
        let accounts = Arc::clone(&document);
        if !state.documents.push(document) {
            return;
        }
        let accounts = accounts.accounts.as_deref().unwrap_or_default();
        state.quotas.set_accounts(self.now(), accounts);
        spdlog::info!("document activated", kv: { version: = version });
        let hosts = self.hosts_update(&state, self.now());
        state.send_hosts(&hosts);
    }

    /// Takes over the evacuated failure domains that this host's replica has applied, and sends them to all entries.
    pub fn set_evacuations(&self, evacuations: &EvacuationState) {
        let mut state = self.lock();
        let has_changed = match &mut state.evacuations {
            Some(known) => known.advance(evacuations),
            None => {
                state.evacuations = Some(evacuations.clone());
                true
            }
        };
        if !has_changed {
            return;
        }
        spdlog::info!(
            "evacuations applied",
            kv: { revision: = evacuations.revision, domains: = evacuations }
        );
        state.send_evacuations(evacuations);
    }

    /// Sends the collected renewals, changes and host addresses, and removes targets whose lease has expired. Must be
    /// called periodically.
    pub fn flush(&self) {
        let now = self.now();
        let mut state = self.lock();
        let renewals = std::mem::take(&mut state.renewals);
        if !renewals.is_empty() {
            let update = DirectoryUpdate::Renewals(renewals);
            state.send_where(&update, |peer| peer == LinkPeer::Control);
        }
        let peer_changes = std::mem::take(&mut state.peer_changes);
        if !peer_changes.is_empty() {
            let update = DirectoryUpdate::Vouched(peer_changes);
            state.send_where(&update, |peer| peer == LinkPeer::Entry);
        }
        let hosts = self.hosts_update(&state, now);
        state.send_hosts(&hosts);
        state.send_relays(now, &self.settings);
        state.send_entry_changes(now, &self.settings);
        state.poison.expire(now);
        state.forget_limits(now);
        state.send_demands(now);
        state.quotas.note_leader(now, self.has_leader());
        state.update_quotas(now, &self.settings);
        let expired = state.directory.expire(now, self.settings.target_lease);
        state.forget_foreign();
        if expired.is_empty() {
            return;
        }
        for renewal in &expired {
            if state.admits_log_line(now, LogPriority::Important) {
                spdlog::info!("target lease expired", kv: { target: = renewal.target });
            }
        }
        state.unsaved = true;
        state.send_where(&DirectoryUpdate::Silent(expired), |peer| peer == LinkPeer::Entry);
    }
}

impl LinkHandler for DirectoryHub {
    fn report(&self) -> DirectoryRequest {
        DirectoryRequest::Control(self.record.clone())
    }

    // Entries receive another host's announcements from that host directly. This host only reports that it knows these
    // targets too, so that the loss of the other host does not take them out of use.
    fn apply(&self, from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest> {
        let now = self.now();
        match update {
            DirectoryUpdate::Targets(targets) => {
                let mut state = self.lock();
                for announcement in targets {
                    let target = announcement.target.clone();
                    match state.directory.announce(now, announcement) {
                        DirectoryChange::Stale | DirectoryChange::Renewed => {}
                        DirectoryChange::Full => {
                            metrics::counter!("hickoryspan_targets_left_out_total").increment(1);
                            if state.admits_log_line(now, LogPriority::Ordinary) {
                                spdlog::warn!("target left out", kv: { target: = target, from: = from });
                            }
                        }
                        DirectoryChange::Changed => {
                            state.unsaved = true;
                            let change = state.directory.find(&target).map(last_change_of);
                            state.peer_changes.extend(change);
                        }
                    }
                }
            }
            DirectoryUpdate::Departures(departures) => {
                let mut state = self.lock();
                let new_departures: Vec<TargetDeparture> = departures
                    .into_iter()
                    .filter(|departure| state.directory.depart(now, departure))
                    .collect();
                if !new_departures.is_empty() {
                    state.unsaved = true;
                    let update = DirectoryUpdate::Departures(new_departures);
                    state.send_where(&update, |peer| peer == LinkPeer::Entry);
                }
            }
            DirectoryUpdate::Renewals(renewals) => {
                let mut state = self.lock();
                for renewal in renewals {
                    state.directory.renew(now, &renewal.target, renewal.age);
                }
            }
            DirectoryUpdate::Hosts { controls, .. } => self.hosts.add(controls),
            DirectoryUpdate::Suspicions(records) => self.lock().merge_suspicions(now, records),
            DirectoryUpdate::Limits(records) => self.lock().merge_limits(now, records),
            // Documents and evacuations come from the replicated log, confirmations concern only entries, and every control host tracks
            // the leases of the targets itself.
            DirectoryUpdate::Document(_)
            | DirectoryUpdate::Confirm(_)
            | DirectoryUpdate::Demands(_)
            | DirectoryUpdate::Quotas(_)
            | DirectoryUpdate::Permits(_)
            | DirectoryUpdate::Evacuations(_)
            | DirectoryUpdate::Vouched(_)
            | DirectoryUpdate::Relays(_)
            | DirectoryUpdate::Entries(_)
            | DirectoryUpdate::Unchanged
            | DirectoryUpdate::Silent(_) => {}
        }
        None
    }

    // The other control hosts receive the changes over the links that they open to this host.
    fn news(&self, _host: SocketAddr, _known: &mut KnownChanges) -> Vec<DirectoryRequest> {
        Vec::new()
    }

    fn on_link_up(&self, _from: SocketAddr, _queue: &mpsc::Sender<DirectoryRequest>) {}

    fn on_link_down(&self, _from: SocketAddr) {}
}
