//! The entry's side of the directory links: takes over what control hosts report, and reports what the entry knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hickoryspan_core::gateway::documents::document::DocumentVersion;
use hickoryspan_core::gateway::documents::document_parts::DocumentPart;
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::membership::entry_list::EntryListChange;
use hickoryspan_core::gateway::membership::messages::{
    DirectoryRequest, DirectoryUpdate, EntryHost, LinkVersion,
};
use hickoryspan_core::gateway::membership::shared_table::SharedTable;
use hickoryspan_core::gateway::targets::directory::{
    DirectoryChange, TargetAnnouncement, TargetPhase,
};
use hickoryspan_core::gateway::targets::evacuations::EvacuationState;
use hickoryspan_core::types::MonotonicTime;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::directory_links::{KnownChanges, LinkHandler};
use crate::gateway_state::{GatewayState, SharedDecisions};
use crate::host_list::HostList;

/// Handles the entry's side of the directory links.
pub(crate) struct EntryLinkHandler {
    state: Arc<GatewayState>,
    hosts: HostList,
    ready: watch::Sender<bool>,
    stopping: CancellationToken,
    // The bound address, because the settings may leave the choice of the port to the system. `None` if this entry
    // takes no part in fan-outs of others.
    fanout_address: Option<SocketAddr>,
    // Whether the last report said that this entry lags.
    lagging: AtomicBool,
    host_reports: Mutex<BTreeMap<SocketAddr, HostReport>>,
    // Whether a control host has listed the live targets since the start.
    has_target_list: AtomicBool,
    // Whether a control host has named the evacuated failure domains since the start.
    has_evacuations: AtomicBool,
}

/// The last report of a linked control host.
#[derive(Clone, Copy)]
struct HostReport {
    /// Number of entries that are connected to it.
    entries: u32,
    /// Version of its active document.
    document: Option<DocumentVersion>,
    link_version: LinkVersion,
}

impl EntryLinkHandler {
    /// Creates the handler of an entry that knows nothing yet. `stopping` is cancelled when the entry stops.
    pub(crate) fn new(
        state: Arc<GatewayState>,
        hosts: HostList,
        stopping: CancellationToken,
        fanout_address: Option<SocketAddr>,
    ) -> Self {
        Self {
            state,
            hosts,
            ready: watch::Sender::new(false),
            stopping,
            fanout_address,
            lagging: AtomicBool::new(false),
            host_reports: Mutex::default(),
            has_target_list: AtomicBool::new(false),
            has_evacuations: AtomicBool::new(false),
        }
    }

    /// Observes whether callers should be sent to the entry.
    pub(crate) fn subscribe_ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        if self.ready.send_replace(ready) != ready {
            self.state.trigger_report();
        }
    }

    fn is_lagging(&self) -> bool {
        let now = self.state.now();
        let lagging = self.state.decisions().lag.is_lagging(now);
        if self.lagging.swap(lagging, Ordering::Relaxed) != lagging {
            spdlog::info!("processor lag", kv: { lagging: = lagging });
        }
        lagging
    }

    fn lock_reports(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, HostReport>> {
        self.host_reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_heard(&self, from: SocketAddr) {
        let now = self.state.now();
        self.state.decisions().quotas.note_heard(now, from);
    }

    /// Returns the last report of a host; `None` if it has sent none on its current link.
    fn report_of(&self, host: SocketAddr) -> Option<HostReport> {
        self.lock_reports().get(&host).copied()
    }

    fn set_report(&self, from: SocketAddr, report: Option<HostReport>) {
        let mut reports = self.lock_reports();
        match report {
            Some(report) => reports.insert(from, report),
            None => reports.remove(&from),
        };
        let highest = reports.values().map(|report| report.entries).max();
        drop(reports);
        // A host that has just started reports too few entries, so the highest count is used. Without any link the last
        // count is kept.
        if let Some(count) = highest.filter(|count| *count > 0) {
            let mut decisions = self.state.decisions();
            decisions.entries = count;
            decisions.budget_entries.note(self.state.now(), count);
            decisions.quotas.set_entries(count);
            decisions.selector.limits_mut().set_entries(count);
        }
    }

    fn apply_targets(&self, from: SocketAddr, update: DirectoryUpdate) {
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        match update {
            DirectoryUpdate::Targets(targets) => {
                for announcement in targets {
                    self.apply_announcement(&mut decisions, now, from, announcement);
                }
            }
            DirectoryUpdate::Departures(departures) => {
                for departure in departures {
                    if decisions.directory.depart(now, &departure) {
                        self.state.pool.remove(&departure.target);
                        decisions.liveness.forget(&departure.target);
                    }
                }
            }
            DirectoryUpdate::Vouched(reported) => {
                for renewal in reported {
                    let known = decisions.directory.find(&renewal.target);
                    let is_known = known.is_some_and(|known| known.announcement.age >= renewal.age);
                    match is_known {
                        true => decisions.liveness.mark_alive(from, &renewal.target),
                        false => decisions.liveness.mark_undescribed(from, &renewal.target),
                    }
                }
                return;
            }
            DirectoryUpdate::Silent(expired) => {
                for renewal in expired {
                    if decisions.liveness.mark_expired(from, &renewal.target) {
                        decisions.directory.drop_expired(&renewal);
                    }
                }
            }
            DirectoryUpdate::Hosts { .. }
            | DirectoryUpdate::Unchanged
            | DirectoryUpdate::Renewals(_)
            | DirectoryUpdate::Relays(_)
            | DirectoryUpdate::Entries(_)
            | DirectoryUpdate::Suspicions(_)
            | DirectoryUpdate::Limits(_)
            | DirectoryUpdate::Demands(_)
            | DirectoryUpdate::Quotas(_)
            | DirectoryUpdate::Permits(_)
            | DirectoryUpdate::Evacuations(_)
            | DirectoryUpdate::Document(_)
            | DirectoryUpdate::Confirm(_) => return,
        }
        let decisions = &mut *decisions;
        let directory = &decisions.directory;
        if decisions.selector.count() > directory.count() {
            decisions.selector.retain(|target| directory.find(target).is_some());
        }
        decisions.groups.clear();
    }

    fn apply_announcement(
        &self,
        decisions: &mut SharedDecisions,
        now: MonotonicTime,
        from: SocketAddr,
        announcement: TargetAnnouncement,
    ) {
        let target = announcement.target.clone();
        let change = decisions.directory.announce(now, announcement);
        if change == DirectoryChange::Full {
            // It is described, so that the start of this entry does not wait for it.
            decisions.liveness.mark_alive(from, &target);
            metrics::counter!("hickoryspan_targets_left_out_total").increment(1);
            if self.state.admits_log_line(LogPriority::Ordinary) {
                spdlog::warn!("target left out", kv: { target: = target, from: = from });
            }
            return;
        }
        let Some(known) = decisions.directory.find(&target) else { return };
        decisions.liveness.mark_alive(from, &target);
        if change == DirectoryChange::Stale {
            return;
        }
        let announcement = known.announcement.clone();
        if announcement.phase != TargetPhase::Ready {
            self.state.pool.remove(&target);
        }
        decisions.selector.put(now, announcement);
    }

    /// Returns the request for what this entry lacks, as an answer to a report of the host at `from`, or `None` if
    /// nothing is missing. `offered` is the version of the active document of that host.
    fn next_request(
        &self,
        from: SocketAddr,
        offered: Option<DocumentVersion>,
    ) -> Option<DirectoryRequest> {
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        let held = decisions.version();
        if let Some(offered) = offered
            && decisions.document_fetch.should_request(now, held, offered, from)
        {
            return Some(DirectoryRequest::FetchDocument { held });
        }
        let unknown = decisions.liveness.take_fetches(now, from);
        (!unknown.is_empty()).then_some(DirectoryRequest::FetchTargets(unknown))
    }

    fn apply_entries(&self, from: SocketAddr, change: EntryListChange) {
        let mut decisions = self.state.decisions();
        decisions.entry_list.apply(from, change);
        let has_changed = decisions.update_entries(self.state.now());
        drop(decisions);
        if has_changed {
            self.state.open_fanout_links();
        }
    }

    fn apply_evacuations(&self, from: SocketAddr, evacuations: &EvacuationState) {
        self.has_evacuations.store(true, Ordering::Relaxed);
        let has_changed = self.state.decisions().set_evacuations(evacuations);
        if !has_changed {
            return;
        }
        spdlog::info!(
            "evacuations in force",
            kv: { revision: = evacuations.revision, domains: = evacuations, from: = from }
        );
        self.state.open_fanout_links();
    }

    /// Returns whether a control host has named the evacuated failure domains, if any linked host can.
    fn knows_evacuations(&self) -> bool {
        let is_later = |report: &HostReport| report.link_version >= LinkVersion::EVACUATIONS;
        self.has_evacuations.load(Ordering::Relaxed) || !self.lock_reports().values().any(is_later)
    }

    fn apply_update(&self, from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest> {
        match update {
            DirectoryUpdate::Hosts { controls, entries, document, link_version } => {
                self.hosts.add(controls);
                let is_first = self.report_of(from).is_none();
                self.set_report(from, Some(HostReport { entries, document, link_version }));
                self.note_heard(from);
                if is_first && self.state.decisions().quotas.has_counts() {
                    // Only now is it known that this host counts requests, and it should know of earlier ones soon.
                    self.state.trigger_report();
                }
                return self.next_request(from, document);
            }
            DirectoryUpdate::Unchanged => {
                self.note_heard(from);
                let document = self.report_of(from).and_then(|report| report.document);
                return self.next_request(from, document);
            }
            DirectoryUpdate::Document(part) => self.apply_document(from, &part),
            DirectoryUpdate::Confirm(_) => {}
            DirectoryUpdate::Entries(change) => self.apply_entries(from, change),
            DirectoryUpdate::Evacuations(evacuations) => self.apply_evacuations(from, &evacuations),
            // The list of open entries says the same.
            DirectoryUpdate::Relays(_) => {}
            DirectoryUpdate::Suspicions(records) => {
                let now = self.state.now();
                self.state.decisions().poison.merge_all(now, records);
            }
            DirectoryUpdate::Limits(records) => {
                let now = self.state.now();
                self.state.decisions().selector.limits_mut().table.merge_all(now, records);
            }
            DirectoryUpdate::Demands(totals) => {
                self.state.decisions().selector.limits_mut().set_totals(from, totals);
            }
            DirectoryUpdate::Quotas(change) => self.state.decisions().quotas.apply(from, change),
            DirectoryUpdate::Permits(answer) => {
                let now = self.state.now();
                self.state.decisions().quotas.add_permits(now, from, &answer);
                self.state.permits.complete(answer);
            }
            targets @ DirectoryUpdate::Vouched(_) => {
                self.has_target_list.store(true, Ordering::Relaxed);
                self.apply_targets(from, targets);
                return self.next_request(from, None);
            }
            targets => {
                self.apply_targets(from, targets);
                // After a start, the links are opened as soon as it is known where the targets are.
                if self.state.fanout.count_up() == 0 {
                    self.state.open_fanout_links();
                }
            }
        }
        None
    }

    /// Records whether this entry has learned what it needs to serve its first requests.
    fn note_start_progress(&self) {
        let decisions = self.state.decisions();
        let has_list = self.has_target_list.load(Ordering::Relaxed);
        let knows_targets = has_list && decisions.liveness.is_described();
        let is_informed = decisions.routes.is_some() && knows_targets;
        drop(decisions);
        if is_informed && self.knows_evacuations() {
            let since_start = self.state.now().since(MonotonicTime(0));
            spdlog::info!("ready for requests", kv: { after_ms: = since_start.as_millis() });
            self.state.informed.send_replace(true);
        }
    }

    fn apply_document(&self, from: SocketAddr, part: &DocumentPart) {
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        decisions.document_fetch.note_progress(now, from);
        let change = match decisions.document_parts.add(from, part) {
            Ok(None) => return,
            Ok(Some(change)) => change,
            Err(error) => {
                spdlog::warn!("directory link: {}: {}", from, error);
                decisions.document_fetch.note_end(from);
                return;
            }
        };
        decisions.document_fetch.note_end(from);
        let installed = decisions.install_change(&change);
        let has_routes = decisions.routes.is_some();
        drop(decisions);
        if installed {
            spdlog::info!(
                "document activated",
                kv: { version: = change.version, from: = from, routes: = change.routes.len() }
            );
        }
        if has_routes {
            self.set_ready(!self.stopping.is_cancelled());
        }
    }
}

impl LinkHandler for EntryLinkHandler {
    fn report(&self) -> DirectoryRequest {
        let settings = &self.state.settings;
        DirectoryRequest::Entry(EntryHost {
            entry: settings.entry.clone(),
            caller_address: settings.caller_address,
            domain: settings.domain.clone(),
            fanout_address: self.fanout_address,
            open: *self.ready.borrow(),
            lagging: self.is_lagging(),
            link_version: LinkVersion::CURRENT,
        })
    }

    fn link_version(&self, host: SocketAddr) -> LinkVersion {
        self.report_of(host).map(|report| report.link_version).unwrap_or_default()
    }

    fn apply(&self, from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest> {
        let request = self.apply_update(from, update);
        if !*self.state.informed.borrow() {
            self.note_start_progress();
        }
        request
    }

    fn news(&self, host: SocketAddr, known: &mut KnownChanges) -> Vec<DirectoryRequest> {
        let now = self.state.now();
        let counts_quotas = self.link_version(host) >= LinkVersion::QUOTAS;
        let mut decisions = self.state.decisions();
        let suspicions = decisions.poison.own_changed_since(now, known.suspicions);
        let limits = decisions.selector.limits().table.own_changed_since(now, known.limits);
        let demands =
            decisions.selector.limits().demands(now, decisions.selector.limited_services());
        let mut quotas = None;
        if counts_quotas {
            quotas = decisions.quotas.counts_since(now, host, known.quotas);
            known.quotas = decisions.quotas.newest();
        }
        known.suspicions = decisions.poison.newest();
        known.limits = decisions.selector.limits().table.newest();
        drop(decisions);
        let suspicions =
            (!suspicions.is_empty()).then_some(DirectoryRequest::Suspicions(suspicions));
        let limits = (!limits.is_empty()).then_some(DirectoryRequest::Limits(limits));
        let demands = (!demands.is_empty()).then_some(DirectoryRequest::Demands(demands));
        let quotas = quotas.map(DirectoryRequest::QuotaCounts);
        [suspicions, limits, demands, quotas].into_iter().flatten().collect()
    }

    fn on_link_up(&self, from: SocketAddr, queue: &mpsc::Sender<DirectoryRequest>) {
        self.state.decisions().liveness.add_host(from);
        self.state.permits.add(from, queue.clone());
    }

    fn on_link_down(&self, from: SocketAddr) {
        self.state.permits.remove(from);
        let mut decisions = self.state.decisions();
        decisions.liveness.remove_host(from);
        decisions.entry_list.remove_host(from);
        decisions.update_entries(self.state.now());
        decisions.selector.limits_mut().remove_host(from);
        decisions.quotas.remove_host(from);
        decisions.document_fetch.note_end(from);
        decisions.document_parts.forget(from);
        drop(decisions);
        self.set_report(from, None);
    }
}
