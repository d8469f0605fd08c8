//! The state of a control host's directory and of its links.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryspan_core::gateway::admission::limit_gate::{
    DEMAND_LIFETIME, DemandTotals, ServiceDemand,
};
use hickoryspan_core::gateway::admission::quota::{CountingState, PermitRequest, QuotaCounts};
use hickoryspan_core::gateway::admission::quota_ledger::QuotaLedger;
use hickoryspan_core::gateway::admission::target_limits::{LimitRecord, LimitTable};
use hickoryspan_core::gateway::fanouts::relays::RelayPeer;
use hickoryspan_core::gateway::log_limit::{LogLimiter, LogPriority};
use hickoryspan_core::gateway::membership::entry_list::{
    EntryListChange, OpenEntry, listed_entries,
};
use hickoryspan_core::gateway::membership::messages::{
    ConfirmNumber, DirectoryUpdate, EntryHost, LinkVersion, TargetRenewal,
};
use hickoryspan_core::gateway::membership::report_history::{ReportHistory, ReportMessage};
use hickoryspan_core::gateway::membership::shared_table::{ChangeNumber, SharedTable};
use hickoryspan_core::gateway::targets::directory::{
    KnownTarget, TargetAnnouncement, TargetDeparture, TargetDirectory, TargetPhase,
};
use hickoryspan_core::gateway::targets::evacuations::EvacuationState;
use hickoryspan_core::gateway::targets::poison::{PoisonTable, SuspicionRecord};
use hickoryspan_core::types::{FailureDomain, MonotonicTime, TargetId};
use hickoryspan_wire::{EncodedFrame, encode_frame};
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::mpsc;

use crate::document_history::DocumentHistory;
use crate::settings::DirectorySettings;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(pub(crate) u64);

/// Smallest size in bytes of a frame that is compressed.
const MIN_PACKED_BYTES: usize = 300;

/// Number of report intervals after which an entry that sends nothing is taken to count requests alone.
const QUOTA_HEARD_INTERVALS: f64 = 2.25;

/// Number of accounts whose use the metrics show.
const SHOWN_ACCOUNTS: usize = 5;

/// How long a change is delayed so that it is sent together with others.
pub(crate) const BATCH_DELAY: Duration = Duration::from_millis(20);

/// The kind of process at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkPeer {
    /// The peer has not identified itself yet and receives no updates.
    Unknown,
    Entry,
    Control,
}

pub(crate) struct HubLink {
    pub(crate) queue: mpsc::Sender<EncodedFrame>,
    pub(crate) peer: LinkPeer,
    pub(crate) entry: Option<EntryHost>,
    // The entries of its failure domain, as last sent to this entry if it is of the earlier release.
    pub(crate) relays: Vec<RelayPeer>,
    pub(crate) hosts_sent: ReportHistory<DirectoryUpdate>,
    pub(crate) last_received_at: MonotonicTime,
    pub(crate) demands: ReportedDemands,
    pub(crate) confirmed: ConfirmNumber,
}

/// The last report of an entry's demand for services with limited targets.
#[derive(Default)]
pub(crate) struct ReportedDemands {
    pub(crate) demands: Vec<ServiceDemand>,
    pub(crate) reported_at: MonotonicTime,
}

/// An encoded update, which is shared by all links that it is sent over.
#[derive(Clone)]
pub(crate) struct UpdateFrame {
    plain: EncodedFrame,
    // Compressed, for links whose peer understands that; `None` if it would not be smaller.
    packed: Option<EncodedFrame>,
}

impl UpdateFrame {
    /// Encodes an update. A failure would be a fault of this program; the update is left out then.
    pub(crate) fn new(update: &DirectoryUpdate) -> Option<Self> {
        let encoded = encode_frame(update).and_then(|plain| {
            let is_long = plain.bytes.len() >= MIN_PACKED_BYTES;
            let packed = is_long.then(|| plain.to_packed()).transpose()?;
            let is_smaller = |frame: &EncodedFrame| frame.bytes.len() < plain.bytes.len();
            Ok(Self { packed: packed.filter(is_smaller), plain })
        });
        encoded.inspect_err(|error| spdlog::error!("directory update: {}", error)).ok()
    }

    fn for_version(&self, version: LinkVersion) -> EncodedFrame {
        let packed = self.packed.as_ref().filter(|_| version >= LinkVersion::HEARTBEATS);
        packed.unwrap_or(&self.plain).clone()
    }
}

impl HubLink {
    fn version(&self) -> LinkVersion {
        self.entry.as_ref().map(|entry| entry.link_version).unwrap_or_default()
    }

    fn knows_evacuations(&self) -> bool {
        self.version() >= LinkVersion::EVACUATIONS
    }

    /// Returns whether the update could be queued.
    fn push(&self, frame: &UpdateFrame) -> bool {
        self.queue.try_send(frame.for_version(self.version())).is_ok()
    }
}

/// Changes that are sent together. Hundreds of targets may leave within a second. If each departure were sent
/// separately, every entry would be woken twice for it: by the change and by the request to confirm it.
#[derive(Default)]
pub(crate) struct ChangeBatch {
    pub(crate) targets: Vec<TargetAnnouncement>,
    pub(crate) departures: Vec<TargetDeparture>,
    // When the batch is sent; `None` while it is empty.
    pub(crate) due_at: Option<Instant>,
}

pub(crate) struct HubState {
    // What a new link of an entry is told, until something in it changes. After a common restart all entries open their
    // links within moments.
    pub(crate) initial: Option<Arc<[UpdateFrame]>>,
    pub(crate) changes: ChangeBatch,
    pub(crate) directory: TargetDirectory,
    pub(crate) links: BTreeMap<LinkNumber, HubLink>,
    pub(crate) next_link: u64,
    pub(crate) renewals: Vec<TargetRenewal>,
    // Targets that other control hosts reported as new or changed since the last flush.
    pub(crate) peer_changes: Vec<TargetRenewal>,
    // The open entries, as last sent to all entries.
    pub(crate) listed: BTreeSet<OpenEntry>,
    pub(crate) documents: DocumentHistory,
    // What entries reported of requests that crash targets.
    pub(crate) poison: PoisonTable,
    // What entries heard of the limits of targets.
    pub(crate) limits: LimitTable,
    // How many requests of accounts with a quota the entries have admitted.
    pub(crate) quotas: QuotaLedger,
    // The evacuated failure domains; `None` until this host's replica knows them.
    pub(crate) evacuations: Option<EvacuationState>,
    pub(crate) confirm_number: ConfirmNumber,
    // Whether the directory has changed since it was last saved.
    pub(crate) unsaved: bool,
    // Bounds the log lines about targets, because anyone can announce one.
    pub(crate) log_limiter: LogLimiter,
    // Targets that were announced here from another IP address than their own.
    foreign: BTreeSet<TargetId>,
    max_foreign: usize,
    // Bounds the departures of unknown targets that are sent to others.
    pub(crate) unknown_departures: DepartureAllowance,
}

/// Number of departures of unknown targets that a host sends to others in a second. It does not know a target that left
/// only if the announcement has not come through from another host, which concerns few.
const UNKNOWN_DEPARTURES: u32 = 32;
/// Part of the room for targets that are announced from other IP addresses than their own.
const FOREIGN_DIVISOR: usize = 4;
/// Number of such targets whatever the room is.
const MIN_FOREIGN: usize = 64;
const ALLOWANCE_PERIOD: Duration = Duration::from_secs(1);

/// Counts the departures of unknown targets in a second.
#[derive(Default)]
pub(crate) struct DepartureAllowance {
    started_at: MonotonicTime,
    count: u32,
}

impl DepartureAllowance {
    /// Returns whether one more departure is sent to others.
    pub(crate) fn admit(&mut self, now: MonotonicTime) -> bool {
        if now.since(self.started_at) >= ALLOWANCE_PERIOD {
            *self = Self { started_at: now, count: 0 };
        }
        let is_admitted = self.count < UNKNOWN_DEPARTURES;
        self.count += u32::from(is_admitted);
        is_admitted
    }
}

impl HubState {
    /// Creates the state of a host that starts now and knows nothing.
    pub(crate) fn new(now: MonotonicTime, settings: &DirectorySettings) -> Self {
        let generator = ChaCha12Rng::seed_from_u64(rand::random());
        Self {
            initial: None,
            changes: ChangeBatch::default(),
            directory: TargetDirectory::new(settings.max_targets),
            links: BTreeMap::new(),
            next_link: 0,
            renewals: Vec::new(),
            peer_changes: Vec::new(),
            listed: BTreeSet::new(),
            documents: DocumentHistory::new(settings.document_bytes),
            poison: PoisonTable::default(),
            limits: LimitTable::default(),
            quotas: QuotaLedger::new(now, settings.quotas, generator),
            confirm_number: ConfirmNumber::default(),
            unsaved: false,
            log_limiter: LogLimiter::default(),
            foreign: BTreeSet::new(),
            max_foreign: (settings.max_targets / FOREIGN_DIVISOR).max(MIN_FOREIGN),
            unknown_departures: DepartureAllowance::default(),
            evacuations: None,
        }
    }

    /// Returns whether a target may be announced from another IP address than its own. Whoever invents targets can name any
    /// address, so that such targets have a part of the room only, and true ones that announce themselves find the rest.
    pub(crate) fn admits_foreign(&mut self, target: &TargetId) -> bool {
        if self.foreign.contains(target) || self.directory.find(target).is_some() {
            return true;
        }
        let has_room = self.foreign.len() < self.max_foreign;
        if has_room {
            self.foreign.insert(target.clone());
        }
        has_room
    }

    /// Gives back the room of such targets that are not known any more. Called from time to time, because a flood of
    /// announcements must not go through all of them each time.
    pub(crate) fn forget_foreign(&mut self) {
        let directory = &self.directory;
        self.foreign.retain(|target| directory.find(target).is_some());
    }

    /// Returns whether a log line about a target may be written. Logs the number of suppressed lines.
    pub(crate) fn admits_log_line(&mut self, now: MonotonicTime, priority: LogPriority) -> bool {
        let verdict = self.log_limiter.admit(now, priority);
        if verdict.suppressed > 0 {
            spdlog::warn!("target log lines suppressed", kv: { count: = verdict.suppressed });
        }
        verdict.write
    }

    /// Sends an update to every entry and control host.
    pub(crate) fn broadcast(&mut self, update: &DirectoryUpdate) {
        self.send_where(update, |peer| peer != LinkPeer::Unknown);
    }

    /// Sends an update to the selected peers. A link whose queue is full is closed; its peer reconnects and fetches the
    /// state again.
    pub(crate) fn send_where(
        &mut self,
        update: &DirectoryUpdate,
        receives: impl Fn(LinkPeer) -> bool,
    ) {
        // Whatever changes is sent to all links, and links that open later must get it with the initial state.
        self.initial = None;
        let Some(frame) = UpdateFrame::new(update) else { return };
        self.links.retain(|_, link| !receives(link.peer) || link.push(&frame));
    }

    /// Sends the known hosts and the version in force to every entry and control host, or a heartbeat where they have not
    /// changed. A link whose queue is full is closed.
    pub(crate) fn send_hosts(&mut self, hosts: &DirectoryUpdate) {
        let Some(unchanged) = UpdateFrame::new(&DirectoryUpdate::Unchanged) else { return };
        let Some(changed) = UpdateFrame::new(hosts) else { return };
        self.links.retain(|_, link| {
            if link.peer == LinkPeer::Unknown {
                return true;
            }
            let version = link.version();
            match link.hosts_sent.next(hosts, version) {
                ReportMessage::Full(_) => link.push(&changed),
                ReportMessage::Heartbeat => link.push(&unchanged),
            }
        });
    }

    /// Sends the evacuated failure domains to the entries that understand it.
    pub(crate) fn send_evacuations(&mut self, evacuations: &EvacuationState) {
        let update = DirectoryUpdate::Evacuations(evacuations.clone());
        let Some(frame) = UpdateFrame::new(&update) else { return };
        self.links.retain(|_, link| !link.knows_evacuations() || link.push(&frame));
    }

    /// Sends the evacuated failure domains over one link, if its peer is an entry that understands it.
    pub(crate) fn send_evacuations_to(&mut self, number: LinkNumber) {
        let is_understood = self.links.get(&number).is_some_and(HubLink::knows_evacuations);
        if is_understood && let Some(evacuations) = self.evacuations.clone() {
            self.send_to(number, &DirectoryUpdate::Evacuations(evacuations));
        }
    }

    /// Sends an update over one link, which is closed if its queue is full.
    pub(crate) fn send_to(&mut self, number: LinkNumber, update: &DirectoryUpdate) {
        if let Some(frame) = UpdateFrame::new(update) {
            self.send_frame(number, &frame);
        }
    }

    /// Does the same as [`Self::send_to`] with an encoded update.
    pub(crate) fn send_frame(&mut self, number: LinkNumber, frame: &UpdateFrame) {
        if self.links.get(&number).is_some_and(|link| !link.push(frame)) {
            self.links.remove(&number);
        }
    }

    /// Merges what another host knows of requests that crash targets, and passes on what was new.
    pub(crate) fn merge_suspicions(&mut self, now: MonotonicTime, records: Vec<SuspicionRecord>) {
        let changed = self.poison.merge_all(now, records);
        if changed.is_empty() {
            return;
        }
        for record in &changed {
            let condemned = self.poison.is_condemned(now, &record.fingerprint);
            spdlog::info!(
                "request suspicion merged",
                kv: {
                    fingerprint: = record.fingerprint,
                    crashes: = record.crashes.len(),
                    clearances: = record.clearances,
                    refused: = condemned
                }
            );
        }
        self.unsaved = true;
        self.broadcast(&DirectoryUpdate::Suspicions(changed));
    }

    /// Merges what another host heard of the limits of targets, and passes on what was new.
    pub(crate) fn merge_limits(&mut self, now: MonotonicTime, records: Vec<LimitRecord>) {
        let changed = self.limits.merge_all(now, records);
        if !changed.is_empty() {
            self.broadcast(&DirectoryUpdate::Limits(changed));
        }
    }

    /// Forgets the limits of targets that are gone.
    pub(crate) fn forget_limits(&mut self, now: MonotonicTime) {
        let directory = &self.directory;
        self.limits.retain(now, |process| {
            let known = directory.find(&process.target);
            known.is_some_and(|known| known.announcement.age.started == process.started)
        });
    }

    /// Sends the demand of all entries for services with limited targets, if there is any.
    pub(crate) fn send_demands(&mut self, now: MonotonicTime) {
        let reports = self.links.values().map(|link| &link.demands).filter(|report| {
            !report.demands.is_empty() && now.since(report.reported_at) < DEMAND_LIFETIME
        });
        let totals = DemandTotals::of(reports.map(|report| report.demands.as_slice()));
        if totals.reporters > 0 {
            let update = DirectoryUpdate::Demands(totals);
            self.send_where(&update, |peer| peer == LinkPeer::Entry);
        }
    }

    /// Counts what an entry has admitted. Entries learn at once which accounts became tight.
    pub(crate) fn count_requests(&mut self, now: MonotonicTime, counts: QuotaCounts) {
        self.quotas.note_counts(now, counts);
        if self.quotas.has_tightened() {
            self.send_quota_change(now);
        }
    }

    /// Answers an entry that needs permits for requests of an account. Without a leader, other hosts may count without
    /// this one, so the entry has to decide itself.
    pub(crate) fn answer_permits(
        &mut self,
        now: MonotonicTime,
        number: LinkNumber,
        request: &PermitRequest,
    ) {
        if self.quotas.counting(now) == CountingState::Isolated {
            self.send_quota_change(now);
            return;
        }
        let answer = self.quotas.grant(now, request);
        self.send_to(number, &DirectoryUpdate::Permits(answer));
        if self.quotas.has_tightened() {
            self.send_quota_change(now);
        }
    }

    /// Sends what this host counts over a link that an entry has just opened.
    pub(crate) fn send_quotas(&mut self, number: LinkNumber) {
        let understands = |link: &HubLink| link.version() >= LinkVersion::QUOTAS;
        if self.quotas.is_active() && self.links.get(&number).is_some_and(understands) {
            self.send_to(number, &DirectoryUpdate::Quotas(self.quotas.told()));
        }
    }

    /// Notes which entries this host knows, and sends what that and the time change in its count.
    pub(crate) fn update_quotas(&mut self, now: MonotonicTime, settings: &DirectorySettings) {
        // An entry that has missed two reports may be cut off, and counts alone then.
        let heard_time = settings.report_interval.mul_f64(QUOTA_HEARD_INTERVALS);
        let links = self.links.values().filter(|link| link.entry.is_some());
        let heard = links.filter(|link| now.since(link.last_received_at) <= heard_time).count();
        self.quotas.note_entries(now, u32::try_from(heard).unwrap_or(u32::MAX));
        self.quotas.expire(now);
        self.send_quota_change(now);
        if self.quotas.is_active() {
            self.show_quotas(now);
        }
    }

    fn show_quotas(&mut self, now: MonotonicTime) {
        metrics::gauge!("hickoryspan_gateway_tight_accounts").set(self.quotas.tight_count() as f64);
        let uses = self.quotas.largest_uses(now, SHOWN_ACCOUNTS).into_iter();
        // Ranks without an account are shown as zero, not with their last value.
        let uses = uses.chain(std::iter::repeat(0.0)).take(SHOWN_ACCOUNTS);
        for (index, part) in uses.enumerate() {
            let rank = (index + 1).to_string();
            metrics::gauge!("hickoryspan_gateway_account_use", "rank" => rank).set(part);
        }
    }

    fn send_quota_change(&mut self, now: MonotonicTime) {
        if !self.quotas.is_active() {
            return;
        }
        let before = self.quotas.told().counting;
        let Some(change) = self.quotas.take_change(now) else { return };
        if change.counting != before {
            spdlog::info!(
                "quota counting changed",
                kv: { counting: = change.counting.as_str(), tight: = self.quotas.tight_count() }
            );
        }
        let Some(frame) = UpdateFrame::new(&DirectoryUpdate::Quotas(change)) else { return };
        self.links.retain(|_, link| {
            let receives = link.peer == LinkPeer::Entry && link.version() >= LinkVersion::QUOTAS;
            !receives || link.push(&frame)
        });
    }

    /// Notifies entries of the earlier release of changes among the entries of their failure domain.
    pub(crate) fn send_relays(&mut self, now: MonotonicTime, settings: &DirectorySettings) {
        let is_earlier = |host: &EntryHost| host.link_version < LinkVersion::HEARTBEATS;
        if !self.links.values().filter_map(|link| link.entry.as_ref()).any(is_earlier) {
            return;
        }
        let mut by_domain: BTreeMap<FailureDomain, Vec<RelayPeer>> = BTreeMap::new();
        for host in self.entries(now, settings).into_iter().filter(|host| host.open) {
            if let Some(address) = host.fanout_address {
                let peer = RelayPeer { entry: host.entry.clone(), address };
                by_domain.entry(host.domain.clone()).or_default().push(peer);
            }
        }
        self.links.retain(|_, link| {
            let Some(entry) = link.entry.as_ref().filter(|host| is_earlier(host)) else {
                return true;
            };
            let relays = by_domain.get(&entry.domain).cloned().unwrap_or_default();
            if link.relays == relays {
                return true;
            }
            link.relays.clone_from(&relays);
            let frame = UpdateFrame::new(&DirectoryUpdate::Relays(relays));
            frame.is_none_or(|frame| link.push(&frame))
        });
    }

    /// Notifies all entries of changes among the open entries.
    pub(crate) fn send_entry_changes(&mut self, now: MonotonicTime, settings: &DirectorySettings) {
        let open = self.open_entries(now, settings);
        let change = EntryListChange::between(&self.listed, &open);
        if change.is_empty() {
            return;
        }
        self.listed = open;
        let update = DirectoryUpdate::Entries(change);
        self.send_where(&update, |peer| peer == LinkPeer::Entry);
    }

    /// Returns the entries to which callers are directed.
    pub(crate) fn open_entries(
        &self,
        now: MonotonicTime,
        settings: &DirectorySettings,
    ) -> BTreeSet<OpenEntry> {
        listed_entries(self.entries(now, settings))
    }

    /// Returns what a new link of an entry is told, encoded once for all links that open before something changes.
    pub(crate) fn initial_frames(&mut self, now: MonotonicTime) -> Arc<[UpdateFrame]> {
        if let Some(frames) = &self.initial {
            return Arc::clone(frames);
        }
        let updates = self.known_state(now, LinkPeer::Entry);
        let frames: Arc<[UpdateFrame]> = updates.iter().filter_map(UpdateFrame::new).collect();
        self.initial = Some(Arc::clone(&frames));
        frames
    }

    /// Returns what a peer must know when it opens a link, apart from the known hosts.
    pub(crate) fn known_state(&self, now: MonotonicTime, peer: LinkPeer) -> Vec<DirectoryUpdate> {
        // Entries must learn at once which targets drain or left; other announcements are sent on request.
        let is_sent = |known: &&KnownTarget| {
            peer == LinkPeer::Control || known.announcement.phase != TargetPhase::Ready
        };
        let announcements = self.directory.targets().filter(is_sent);
        let announcements = announcements.map(|known| known.announcement_at(now)).collect();
        let mut updates = vec![
            DirectoryUpdate::Departures(self.directory.departures().collect()),
            DirectoryUpdate::Targets(announcements),
        ];
        let suspicions = self.poison.changed_since(now, ChangeNumber::default());
        if !suspicions.is_empty() {
            updates.push(DirectoryUpdate::Suspicions(suspicions));
        }
        let limits = self.limits.changed_since(now, ChangeNumber::default());
        if !limits.is_empty() {
            updates.push(DirectoryUpdate::Limits(limits));
        }
        if peer == LinkPeer::Entry {
            updates.push(DirectoryUpdate::Vouched(self.last_changes()));
            let entries = EntryListChange::between(&BTreeSet::new(), &self.listed);
            updates.push(DirectoryUpdate::Entries(entries));
        }
        updates
    }

    /// Returns all known targets with the age of their last change.
    pub(crate) fn last_changes(&self) -> Vec<TargetRenewal> {
        self.directory.targets().map(last_change_of).collect()
    }

    pub(crate) fn announcements_of(
        &self,
        now: MonotonicTime,
        targets: &[TargetId],
    ) -> Vec<TargetAnnouncement> {
        let known = targets.iter().filter_map(|target| self.directory.find(target));
        known.map(|known| known.announcement_at(now)).collect()
    }

    pub(crate) fn entries(
        &self,
        now: MonotonicTime,
        settings: &DirectorySettings,
    ) -> Vec<&EntryHost> {
        let mut entries: BTreeMap<SocketAddr, &EntryHost> = BTreeMap::new();
        for link in self.links.values() {
            let Some(entry) = &link.entry else { continue };
            if now.since(link.last_received_at) <= settings.receive_timeout {
                entries.insert(entry.caller_address, entry);
            }
        }
        entries.into_values().collect()
    }
}

/// Returns a target with the age of its last change.
pub(crate) fn last_change_of(known: &KnownTarget) -> TargetRenewal {
    TargetRenewal { target: known.announcement.target.clone(), age: known.changed }
}
