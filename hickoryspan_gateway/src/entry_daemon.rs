//! Starts and stops a gateway entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use hickoryspan_core::gateway::directory::{DirectoryChange, TargetAnnouncement, TargetPhase};
use hickoryspan_core::gateway::document::DocumentVersion;
use hickoryspan_core::gateway::document_parts::DocumentPart;
use hickoryspan_core::gateway::messages::{DirectoryRequest, DirectoryUpdate, EntryHost};
use hickoryspan_core::gateway::relays::RelayPeer;
use hickoryspan_core::types::{MonotonicTime, TargetId};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller_server::{StopSteps, serve_callers};
use crate::directory_links::{DirectoryLinks, LinkReporter};
use crate::fanout_server::serve_fanouts;
use crate::gateway_state::{GatewayState, SharedDecisions};
use crate::host_list::HostList;
use crate::settings::GatewaySettings;

/// How often ended targets and idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether callers should be sent here.
#[derive(Clone)]
pub struct ReadinessView(watch::Receiver<bool>);

impl ReadinessView {
    /// Whether the entry has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        *self.0.borrow()
    }
}

/// The entry's end of the directory links.
struct EntryReporter {
    state: Arc<GatewayState>,
    hosts: HostList,
    ready: watch::Sender<bool>,
    urgent: watch::Sender<u64>,
    stopping: CancellationToken,
    // As it was bound, so that the settings may leave the port open.
    fanout_address: Option<SocketAddr>,
    // The number of entries that each linked control host counts.
    counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl EntryReporter {
    fn set_ready(&self, ready: bool) {
        if self.ready.send_replace(ready) != ready {
            self.urgent.send_modify(|count| *count += 1);
        }
    }

    fn count_entries(&self, from: SocketAddr, count: Option<u32>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match count {
            Some(count) => counts.insert(from, count),
            None => counts.remove(&from),
        };
        let known = counts.values().copied().max();
        drop(counts);
        // A host that just started counts few; an entry that is cut off keeps the last count.
        if let Some(known) = known.filter(|known| *known > 0) {
            self.state.decisions().entries = known;
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
                        self.state.pool.forget(&departure.target);
                    }
                }
            }
            DirectoryUpdate::Vouched(vouched) => {
                for renewal in vouched {
                    let known = decisions.directory.find(&renewal.target);
                    let is_known = known.is_some_and(|known| known.announcement.age >= renewal.age);
                    match is_known {
                        true => decisions.vouching.mark_alive(from, &renewal.target),
                        false => decisions.vouching.mark_undescribed(from, &renewal.target),
                    }
                }
                return;
            }
            DirectoryUpdate::Silent(silent) => {
                for renewal in silent {
                    if decisions.vouching.mark_expired(from, &renewal.target) {
                        decisions.directory.drop_expired(&renewal);
                    }
                }
            }
            DirectoryUpdate::Hosts { .. }
            | DirectoryUpdate::Renewals(_)
            | DirectoryUpdate::Relays(_)
            | DirectoryUpdate::Document(_)
            | DirectoryUpdate::Confirm(_) => return,
        }
        let decisions = &mut *decisions;
        let directory = &decisions.directory;
        if decisions.selector.count() > directory.count() {
            decisions.selector.retain(|target| directory.find(target).is_some());
        }
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
        let Some(known) = decisions.directory.find(&target) else { return };
        decisions.vouching.mark_alive(from, &target);
        if change == DirectoryChange::Stale {
            return;
        }
        let announcement = known.announcement.clone();
        if announcement.phase != TargetPhase::Ready {
            self.state.pool.forget(&target);
        }
        decisions.selector.put(now, announcement);
    }

    /// What to ask a host that has just said what it has.
    fn next_question(
        &self,
        from: SocketAddr,
        offered: Option<DocumentVersion>,
    ) -> Option<DirectoryRequest> {
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        let held = decisions.version();
        if let Some(offered) = offered
            && decisions.document_fetch.should_ask(now, held, offered, from)
        {
            return Some(DirectoryRequest::FetchDocument { held });
        }
        let unknown = decisions.vouching.take_fetches(now, from);
        (!unknown.is_empty()).then_some(DirectoryRequest::FetchTargets(unknown))
    }

    fn apply_relays(&self, from: SocketAddr, peers: Vec<RelayPeer>) {
        let mut decisions = self.state.decisions();
        decisions.relays.set_peers(from, peers);
        let addresses: Vec<SocketAddr> = decisions.relays.addresses().collect();
        drop(decisions);
        // A request uses only links that are up, so that all are opened before they are needed.
        for address in addresses {
            self.state.fanout.is_up(address);
        }
    }

    fn apply_document(&self, from: SocketAddr, part: &DocumentPart) {
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        decisions.document_fetch.note_progress(now, from);
        let change = match decisions.document_parts.take(from, part) {
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
        let known = decisions.routes.is_some();
        drop(decisions);
        if installed {
            spdlog::info!(
                "document in force",
                kv: { version: = change.version, from: = from, routes: = change.routes.len() }
            );
        }
        if known {
            self.set_ready(!self.stopping.is_cancelled());
        }
    }
}

impl LinkReporter for EntryReporter {
    fn report(&self) -> DirectoryRequest {
        let settings = &self.state.settings;
        DirectoryRequest::Entry(EntryHost {
            entry: settings.entry.clone(),
            caller_address: settings.caller_address,
            domain: settings.domain.clone(),
            fanout_address: self.fanout_address,
            open: *self.ready.borrow(),
        })
    }

    fn apply(&self, from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest> {
        match update {
            DirectoryUpdate::Hosts { controls, entries, document } => {
                self.hosts.add(controls);
                self.count_entries(from, Some(entries));
                return self.next_question(from, document);
            }
            DirectoryUpdate::Document(part) => self.apply_document(from, &part),
            DirectoryUpdate::Confirm(_) => {}
            DirectoryUpdate::Relays(peers) => self.apply_relays(from, peers),
            targets @ DirectoryUpdate::Vouched(_) => {
                self.apply_targets(from, targets);
                return self.next_question(from, None);
            }
            targets => self.apply_targets(from, targets),
        }
        None
    }

    fn note_link(&self, from: SocketAddr, up: bool) {
        let mut decisions = self.state.decisions();
        if up {
            decisions.vouching.add_host(from);
            return;
        }
        decisions.vouching.remove_host(from);
        decisions.relays.remove_host(from);
        decisions.document_fetch.note_end(from);
        decisions.document_parts.forget(from);
        drop(decisions);
        self.count_entries(from, None);
    }
}

/// How far an entry takes part in the fan-outs of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutCounts {
    /// Links to other entries that are up.
    pub links_up: usize,
    /// Tasks of other entries since the start.
    pub tasks_served: u64,
}

/// A running entry.
pub struct GatewayEntry {
    state: Arc<GatewayState>,
    reporter: Arc<EntryReporter>,
    steps: StopSteps,
    stop: CancellationToken,
    callers: JoinSet<()>,
    tasks: JoinSet<()>,
}

impl GatewayEntry {
    /// Binds the caller port and starts all tasks; `hosts` holds the seeds.
    pub async fn start(settings: GatewaySettings, hosts: HostList) -> anyhow::Result<Self> {
        let address = settings.caller_address;
        let listener =
            TcpListener::bind(address).await.with_context(|| format!("bind callers: {address}"))?;
        let fanouts = bind_fanouts(&settings).await?;
        let fanout_address = match &fanouts {
            Some(listener) => Some(listener.local_addr().context("read the fan-out address")?),
            None => None,
        };
        let directory = settings.directory.clone();
        let state = Arc::new(GatewayState::new(settings, rand::random()));
        let steps = StopSteps::default();
        let stop = CancellationToken::new();
        let reporter = Arc::new(EntryReporter {
            state: Arc::clone(&state),
            hosts: hosts.clone(),
            ready: watch::Sender::new(false),
            urgent: watch::Sender::new(0),
            stopping: steps.leave.clone(),
            fanout_address,
            counts: Mutex::default(),
        });
        let links = DirectoryLinks {
            hosts,
            own: None,
            settings: directory,
            reporter: Arc::clone(&reporter) as Arc<dyn LinkReporter>,
            urgent: reporter.urgent.subscribe(),
        };
        let mut callers = JoinSet::new();
        callers.spawn(serve_callers(listener, Arc::clone(&state), steps.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(links.run(stop.clone()));
        tasks.spawn(sweep(Arc::clone(&state), stop.clone()));
        if let Some(listener) = fanouts {
            tasks.spawn(serve_fanouts(listener, Arc::clone(&state), stop.clone()));
        }
        Ok(Self { state, reporter, steps, stop, callers, tasks })
    }

    /// Whether callers should be sent here.
    pub fn readiness(&self) -> ReadinessView {
        ReadinessView(self.reporter.ready.subscribe())
    }

    /// How far this entry takes part in wide fan-outs.
    pub fn fanout_counts(&self) -> FanoutCounts {
        FanoutCounts {
            links_up: self.state.fanout.count_up(),
            tasks_served: self.state.tasks_served.load(Ordering::Relaxed),
        }
    }

    /// A planned stop: callers are sent elsewhere, requests in flight finish.
    pub async fn drain(mut self) {
        let began = Instant::now();
        self.reporter.set_ready(false);
        self.steps.leave.cancel();
        let settings = &self.state.settings;
        tokio::time::sleep(settings.accept_after_stop).await;
        self.steps.close.cancel();
        let left = settings.finish_after_stop.saturating_sub(began.elapsed());
        let finish = async { while self.callers.join_next().await.is_some() {} };
        if tokio::time::timeout(left, finish).await.is_err() {
            self.steps.end.cancel();
        }
        while self.callers.join_next().await.is_some() {}
        self.state.fanout.shut_down().await;
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn bind_fanouts(settings: &GatewaySettings) -> anyhow::Result<Option<TcpListener>> {
    let Some(address) = settings.fanout_address else { return Ok(None) };
    let listener = TcpListener::bind(address).await;
    listener.map(Some).with_context(|| format!("bind fan-out links: {address}"))
}

async fn sweep(state: Arc<GatewayState>, stop: CancellationToken) {
    let lease = state.settings.directory.target_lease + SWEEP_INTERVAL * 2;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        let now = state.now();
        let mut guard = state.decisions();
        let decisions = &mut *guard;
        let vouching = &decisions.vouching;
        // Without any link nothing is known, so that an entry that is cut off serves with the targets that it has.
        let is_alive = |target: &TargetId| !vouching.is_linked() || vouching.is_alive(target);
        decisions.directory.keep_alive(now, is_alive);
        for silent in decisions.directory.expire(now, lease) {
            spdlog::info!("target silent", kv: { target: = silent.target });
            decisions.selector.remove(&silent.target);
        }
        drop(guard);
        state.pool.sweep(|target| state.is_known(target));
    }
}
