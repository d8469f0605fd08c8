//! The directory of one control host: what targets announced here and elsewhere, and the links to all who need it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hickoryspan_control::ControlHandle;
use hickoryspan_core::control::interface::ReplicaRecord;
use hickoryspan_core::gateway::directory::{
    DirectoryChange, TargetAnnouncement, TargetDeparture, TargetDirectory, TargetPhase,
};
use hickoryspan_core::gateway::document::ConfigurationDocument;
use hickoryspan_core::gateway::messages::{
    ConfirmNumber, DirectoryRequest, DirectoryUpdate, EntryHost, TargetRenewal,
};
use hickoryspan_core::types::MonotonicTime;
use hickoryspan_runtime::clock::SystemClock;
use tokio::sync::{mpsc, watch};

use crate::directory_cache::{CachedDirectory, DirectoryCache};
use crate::directory_links::LinkReporter;
use crate::host_list::HostList;
use crate::settings::DirectorySettings;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceVerdict {
    /// It is known here, and to the entries that must know it.
    Taken,
    /// The entries that must know it did not confirm it in time.
    Unconfirmed,
    /// This host is cut off from the others.
    Isolated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(u64);

struct HubLink {
    queue: mpsc::Sender<DirectoryUpdate>,
    entry: Option<EntryHost>,
    heard_at: MonotonicTime,
    confirmed: ConfirmNumber,
}

#[derive(Default)]
struct HubState {
    directory: TargetDirectory,
    links: BTreeMap<LinkNumber, HubLink>,
    next_link: u64,
    renewals: Vec<TargetRenewal>,
    document: Option<Arc<ConfigurationDocument>>,
    confirm: ConfirmNumber,
    // Whether the file with the targets is out of date.
    unsaved: bool,
}

impl HubState {
    /// Sends an update over every link; a link whose queue is full ends, and its other end asks again.
    fn broadcast(&mut self, update: &DirectoryUpdate) {
        self.links.retain(|_, link| link.queue.try_send(update.clone()).is_ok());
    }

    fn entries(&self, now: MonotonicTime, settings: &DirectorySettings) -> Vec<&EntryHost> {
        let mut entries: BTreeMap<SocketAddr, &EntryHost> = BTreeMap::new();
        for link in self.links.values() {
            let Some(entry) = &link.entry else { continue };
            if now.since(link.heard_at) <= settings.silence_limit {
                entries.insert(entry.caller_address, entry);
            }
        }
        entries.into_values().collect()
    }
}

/// How long a target that was read back from disk is kept without an announcement.
const RESTORED_LEASE: Duration = Duration::from_millis(2_800);

/// The time, moved by one lease, so that a target can count as heard before the process started.
fn now_after(clock: &SystemClock, settings: &DirectorySettings) -> MonotonicTime {
    clock.reading().monotonic + settings.target_lease
}

fn restore(cache: &DirectoryCache, now: MonotonicTime, lease: Duration) -> HubState {
    let mut state = HubState::default();
    let cached = match cache.load() {
        Ok(Some(cached)) => cached,
        Ok(None) => return state,
        Err(error) => {
            spdlog::warn!("{:#}", error);
            return state;
        }
    };
    let heard_at = now - lease.saturating_sub(RESTORED_LEASE);
    spdlog::info!("targets restored", kv: { count: = cached.targets.len() });
    for departure in &cached.departures {
        state.directory.depart(now, departure);
    }
    for announcement in cached.targets {
        state.directory.restore(heard_at, announcement);
    }
    state
}

/// The directory of one control host.
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
}

/// An accepted link; dropping it takes it out.
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
    /// The directory of the control host with this record; `hosts` is shared with its outgoing links, and known targets
    /// are kept in `folder`.
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
        let state = restore(&cache, now_after(&clock, &settings), settings.target_lease);
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
        }
    }

    pub(crate) fn settings(&self) -> &DirectorySettings {
        &self.settings
    }

    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonotonicTime {
        now_after(&self.clock, &self.settings)
    }

    /// Where another control host takes directory links, given its record: the ports are the same on all hosts.
    fn directory_of(&self, record: &ReplicaRecord) -> SocketAddr {
        SocketAddr::new(record.peer_address.ip(), self.directory_address.port())
    }

    pub(crate) fn open_link(
        self: &Arc<Self>,
        queue: mpsc::Sender<DirectoryUpdate>,
    ) -> HubLinkGuard {
        let now = self.now();
        let mut state = self.lock();
        let targets: Vec<TargetAnnouncement> =
            state.directory.targets().map(|known| known.announcement.clone()).collect();
        let departures: Vec<TargetDeparture> = state.directory.departures().collect();
        let mut updates = vec![
            self.to_hosts(&state, now),
            DirectoryUpdate::Departures(departures),
            DirectoryUpdate::Targets(targets),
        ];
        updates.extend(state.document.clone().map(DirectoryUpdate::Document));
        for update in updates {
            // The queue is new and longer than this list.
            let _ = queue.try_send(update);
        }
        let number = LinkNumber(state.next_link);
        state.next_link += 1;
        let link = HubLink { queue, entry: None, heard_at: now, confirmed: ConfirmNumber(0) };
        state.links.insert(number, link);
        HubLinkGuard { hub: Arc::clone(self), number }
    }

    pub(crate) fn take_request(&self, number: LinkNumber, request: DirectoryRequest) {
        let now = self.now();
        let mut state = self.lock();
        let Some(link) = state.links.get_mut(&number) else { return };
        link.heard_at = now;
        match request {
            DirectoryRequest::Entry(entry) => {
                if link.entry.as_ref() != Some(&entry) {
                    spdlog::info!(
                        "entry reported",
                        kv: { entry: = entry.entry, address: = entry.caller_address, open: = entry.open }
                    );
                }
                link.entry = Some(entry);
            }
            DirectoryRequest::Control(record) => {
                drop(state);
                self.hosts.add([self.directory_of(&record)]);
                self.control.note_replica(record);
            }
            DirectoryRequest::Confirm(confirmed) => {
                link.confirmed = link.confirmed.max(confirmed);
                self.confirmations.send_modify(|count| *count += 1);
            }
        }
    }

    fn to_hosts(&self, state: &HubState, now: MonotonicTime) -> DirectoryUpdate {
        let views = self.control.views();
        let view = views.borrow();
        let controls = view.replicas.iter().map(|record| self.directory_of(record));
        let controls = controls.chain([self.directory_address]).collect();
        let entries = state.entries(now, &self.settings).len();
        DirectoryUpdate::Hosts { controls, entries: u32::try_from(entries).unwrap_or(u32::MAX) }
    }

    /// Whether this host hears a leader; a host that does not must not vouch for anything.
    pub fn is_connected(&self) -> bool {
        self.control.views().borrow().leader.is_some()
    }

    /// Takes an announcement. One that ends a target's work is answered only when the entries have it.
    pub async fn announce(&self, announcement: TargetAnnouncement) -> AnnounceVerdict {
        let leaves = announcement.phase != TargetPhase::Ready;
        let now = self.now();
        let has_entries = !self.lock().entries(now, &self.settings).is_empty();
        // Right after a start of all hosts, entries should know the targets before there is a leader.
        if !self.is_connected() && (leaves || !has_entries) {
            return AnnounceVerdict::Isolated;
        }
        {
            let mut state = self.lock();
            match state.directory.announce(now, announcement.clone()) {
                DirectoryChange::Stale => {}
                DirectoryChange::Renewed => {
                    let TargetAnnouncement { target, age, .. } = announcement;
                    state.renewals.push(TargetRenewal { target, age });
                }
                DirectoryChange::Changed => {
                    spdlog::info!(
                        "target changed",
                        kv: {
                            target: = announcement.target,
                            service: = announcement.service,
                            address: = announcement.address,
                            phase: ? = announcement.phase
                        }
                    );
                    state.unsaved = true;
                    state.broadcast(&DirectoryUpdate::Targets(vec![announcement]));
                }
            }
        }
        if leaves { self.confirm().await } else { AnnounceVerdict::Taken }
    }

    /// Takes a departure; it is answered only when the entries have it.
    pub async fn depart(&self, departure: TargetDeparture) -> AnnounceVerdict {
        if !self.is_connected() {
            return AnnounceVerdict::Isolated;
        }
        let now = self.now();
        {
            let mut state = self.lock();
            if state.directory.depart(now, &departure) {
                spdlog::info!("target left", kv: { target: = departure.target });
                state.unsaved = true;
                state.broadcast(&DirectoryUpdate::Departures(vec![departure]));
            }
        }
        self.confirm().await
    }

    async fn confirm(&self) -> AnnounceVerdict {
        let number = {
            let mut state = self.lock();
            state.confirm = ConfirmNumber(state.confirm.0 + 1);
            let number = state.confirm;
            state.broadcast(&DirectoryUpdate::Confirm(number));
            number
        };
        let mut confirmations = self.confirmations.subscribe();
        let wait = async {
            while !self.is_confirmed(number) {
                if confirmations.changed().await.is_err() {
                    return;
                }
            }
        };
        match tokio::time::timeout(self.settings.confirm_time, wait).await {
            Ok(()) => AnnounceVerdict::Taken,
            Err(_) if self.is_mostly_confirmed(number) => AnnounceVerdict::Taken,
            Err(_) => AnnounceVerdict::Unconfirmed,
        }
    }

    fn is_confirmed(&self, number: ConfirmNumber) -> bool {
        let state = self.lock();
        let mut entries = state.links.values().filter(|link| link.entry.is_some());
        entries.all(|link| link.confirmed >= number)
    }

    // An entry that is stuck or gone must not keep a target from leaving.
    fn is_mostly_confirmed(&self, number: ConfirmNumber) -> bool {
        let state = self.lock();
        let entries = || state.links.values().filter(|link| link.entry.is_some());
        let confirmed = entries().filter(|link| link.confirmed >= number).count();
        confirmed * 2 >= entries().count()
    }

    /// The entries that take callers.
    pub fn open_entries(&self) -> Vec<EntryHost> {
        let now = self.now();
        let state = self.lock();
        let entries = state.entries(now, &self.settings);
        let open = entries.into_iter().filter(|entry| entry.open);
        open.cloned().collect()
    }

    /// Writes the known targets to disk if they changed; to be called regularly, off the thread that serves others.
    pub fn save(&self) {
        let directory = {
            let mut state = self.lock();
            if !std::mem::take(&mut state.unsaved) {
                return;
            }
            CachedDirectory {
                targets: state.directory.targets().map(|k| k.announcement.clone()).collect(),
                departures: state.directory.departures().collect(),
            }
        };
        if let Err(error) = self.cache.save(&directory) {
            spdlog::warn!("{:#}", error);
            self.lock().unsaved = true;
        }
    }

    /// Puts a document in force at all linked entries.
    pub fn set_document(&self, document: Arc<ConfigurationDocument>) {
        let mut state = self.lock();
        let current = state.document.as_ref().map(|document| document.version);
        if current.is_some_and(|current| current >= document.version) {
            return;
        }
        spdlog::info!("document in force", kv: { version: = document.version });
        state.document = Some(Arc::clone(&document));
        state.broadcast(&DirectoryUpdate::Document(document));
    }

    /// Passes on renewals and hosts, and forgets what ended; to be called regularly.
    pub fn flush(&self) {
        let now = self.now();
        let mut state = self.lock();
        let renewals = std::mem::take(&mut state.renewals);
        if !renewals.is_empty() {
            state.broadcast(&DirectoryUpdate::Renewals(renewals));
        }
        let hosts = self.to_hosts(&state, now);
        state.broadcast(&hosts);
        let silent = state.directory.expire(now, self.settings.target_lease);
        if silent.is_empty() {
            return;
        }
        for renewal in &silent {
            spdlog::info!("target silent", kv: { target: = renewal.target });
        }
        state.unsaved = true;
        state.broadcast(&DirectoryUpdate::Silent(silent));
    }
}

impl LinkReporter for DirectoryHub {
    fn report(&self) -> DirectoryRequest {
        DirectoryRequest::Control(self.record.clone())
    }

    // What another host heard reaches the entries from that host itself.
    fn apply(&self, _from: SocketAddr, update: DirectoryUpdate) {
        let now = self.now();
        match update {
            DirectoryUpdate::Targets(targets) => {
                let mut state = self.lock();
                for announcement in targets {
                    let change = state.directory.announce(now, announcement);
                    state.unsaved |= change == DirectoryChange::Changed;
                }
            }
            DirectoryUpdate::Departures(departures) => {
                let mut state = self.lock();
                for departure in departures {
                    state.unsaved |= state.directory.depart(now, &departure);
                }
            }
            DirectoryUpdate::Renewals(renewals) => {
                let mut state = self.lock();
                for renewal in renewals {
                    state.directory.renew(now, &renewal.target, renewal.age);
                }
            }
            DirectoryUpdate::Hosts { controls, .. } => self.hosts.add(controls),
            // Documents come from the log, confirmations concern entries.
            // Every control host counts the silence of targets itself.
            DirectoryUpdate::Document(_)
            | DirectoryUpdate::Confirm(_)
            | DirectoryUpdate::Silent(_) => {}
        }
    }

    fn note_link(&self, _from: SocketAddr, _up: bool) {}
}
