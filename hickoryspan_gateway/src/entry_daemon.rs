//! Starts and stops a gateway entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::Context;
use hickoryspan_core::gateway::membership::entry_list::OpenEntry;
use hickoryspan_core::gateway::planned_stop::StopSchedule;
use hickoryspan_core::types::TargetId;
use hickoryspan_runtime::caller_stream::listen;
use hickoryspan_runtime::pending_link;
use hickoryspan_runtime::tasks::join_all;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller_server::{ShutdownSignals, serve_callers};
use crate::directory_links::{DirectoryLinks, LinkHandler};
use crate::entry_link_handler::EntryLinkHandler;
use crate::explainer::EntryExplainer;
use crate::fanout_server::serve_fanouts;
use crate::gateway_state::GatewayState;
use crate::host_list::HostList;
use crate::settings::GatewaySettings;

/// Time for sending the last answers of a planned stop, before connections that are still open are closed.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Interval between removals of expired targets and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Observes whether callers should be sent to an entry.
#[derive(Clone)]
pub struct ReadinessView(watch::Receiver<bool>);

impl ReadinessView {
    /// Returns whether the entry has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        *self.0.borrow()
    }
}

/// Answers which entries accept callers, as far as one entry knows.
#[derive(Clone)]
pub struct EntryListView {
    state: Arc<GatewayState>,
    readiness: ReadinessView,
}

impl EntryListView {
    /// Returns the open entries. This entry knows best whether it is open itself.
    pub fn open_entries(&self) -> Vec<OpenEntry> {
        let settings = &self.state.settings;
        let own_address = settings.caller_address;
        let is_listed = self.readiness.is_ready() && !self.state.should_leave_callers();
        let decisions = self.state.decisions();
        let others = decisions.entry_list.entries();
        let others = others.filter(|entry| entry.caller_address != own_address).cloned();
        let own =
            OpenEntry { caller_address: own_address, domain: settings.domain.clone(), relay: None };
        others.chain(is_listed.then_some(own)).collect()
    }
}

/// Counts of the work that an entry does for the fan-outs of other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutCounts {
    /// Number of established links to other entries.
    pub links_up: usize,
    /// Number of entries that usually send groups for this one and to which no link is established.
    pub links_missing: usize,
    /// Number of tasks of other entries since the start.
    pub tasks_served: u64,
}

/// A running entry.
pub struct GatewayEntry {
    state: Arc<GatewayState>,
    handler: Arc<EntryLinkHandler>,
    shutdown: ShutdownSignals,
    stop: CancellationToken,
    // Serve callers and the fan-outs of other entries.
    servers: JoinSet<()>,
    tasks: JoinSet<()>,
}

impl GatewayEntry {
    /// Binds the caller port and starts all tasks. `hosts` initially holds the seeds.
    pub async fn start(settings: GatewaySettings, hosts: HostList) -> anyhow::Result<Self> {
        let address = settings.caller_address;
        let listener = listen(address).with_context(|| format!("bind callers: {address}"))?;
        let fanouts = bind_fanouts(&settings)?;
        let fanout_address = match &fanouts {
            Some(listener) => Some(listener.local_addr().context("read the fan-out address")?),
            None => None,
        };
        let directory = settings.directory.clone();
        let state = Arc::new(GatewayState::new(settings, rand::random()));
        let shutdown = ShutdownSignals::default();
        let stop = CancellationToken::new();
        let handler = EntryLinkHandler::new(
            Arc::clone(&state),
            hosts.clone(),
            shutdown.drain.clone(),
            fanout_address,
        );
        let handler = Arc::new(handler);
        let links = DirectoryLinks {
            hosts,
            own_address: None,
            settings: directory,
            handler: Arc::clone(&handler) as Arc<dyn LinkHandler>,
            report_trigger: state.report_trigger.subscribe(),
        };
        let mut servers = JoinSet::new();
        servers.spawn(serve_callers(listener, Arc::clone(&state), shutdown.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(links.run(stop.clone()));
        tasks.spawn(sweep(Arc::clone(&state), stop.clone()));
        if let Some(listener) = fanouts {
            servers.spawn(serve_fanouts(listener, Arc::clone(&state), shutdown.clone()));
        }
        Ok(Self { state, handler, shutdown, stop, servers, tasks })
    }

    /// Returns a view of whether callers should be sent to this entry.
    pub fn readiness(&self) -> ReadinessView {
        ReadinessView(self.handler.subscribe_ready())
    }

    /// Returns a view of the entries that accept callers.
    pub fn entry_list(&self) -> EntryListView {
        EntryListView { state: Arc::clone(&self.state), readiness: self.readiness() }
    }

    /// Returns what explains the decisions of this entry.
    pub fn explainer(&self) -> EntryExplainer {
        EntryExplainer { state: Arc::clone(&self.state) }
    }

    /// Returns the counts of this entry's work for the fan-outs of other entries.
    pub fn fanout_counts(&self) -> FanoutCounts {
        let usual = self.state.usual_relays();
        FanoutCounts {
            links_up: self.state.fanout.count_up(),
            links_missing: usual
                .into_iter()
                .filter(|relay| !self.state.fanout.is_up(*relay))
                .count(),
            tasks_served: self.state.tasks_served.load(Ordering::Relaxed),
        }
    }

    /// Stops the entry without failing requests: callers are sent to other entries, then requests in flight are
    /// finished, also those that other entries handed over.
    pub async fn drain(mut self) {
        let started_at = Instant::now();
        let settings = &self.state.settings;
        let finish_at = self.state.now() + settings.finish_after_stop;
        // A stop begins only once, since it consumes the entry.
        let _ = self.state.stop_schedule.set(StopSchedule { finish_at });
        self.log_stop_phase("begins", started_at);
        self.handler.set_ready(false);
        self.shutdown.drain.cancel();
        tokio::time::sleep(settings.accept_after_stop).await;
        self.shutdown.close_listener.cancel();
        self.log_stop_phase("accepts no more connections", started_at);
        let remaining = settings.finish_after_stop.saturating_sub(started_at.elapsed());
        if tokio::time::timeout(remaining, join_all(&mut self.servers)).await.is_err() {
            self.log_stop_phase("requests in flight are ended", started_at);
            self.state.finish.cancel();
        }
        if tokio::time::timeout(LAST_ANSWER_TIME, join_all(&mut self.servers)).await.is_err() {
            self.log_stop_phase("open connections are closed", started_at);
            self.shutdown.abort.cancel();
        }
        join_all(&mut self.servers).await;
        self.log_stop_phase("no caller is left", started_at);
        self.state.fanout.shut_down().await;
        self.stop.cancel();
        join_all(&mut self.tasks).await;
    }

    /// Logs how many callers a phase of the stop meets.
    fn log_stop_phase(&self, phase: &'static str, started_at: Instant) {
        let counts = &self.state.caller_counts;
        spdlog::info!(
            "stop phase",
            kv: {
                phase: = phase,
                connections: = counts.connections(),
                requests: = counts.requests(),
                after_ms: = started_at.elapsed().as_millis()
            }
        );
    }
}

fn bind_fanouts(settings: &GatewaySettings) -> anyhow::Result<Option<TcpListener>> {
    let Some(address) = settings.fanout_address else { return Ok(None) };
    let listener = pending_link::listen(address);
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
        let liveness = &decisions.liveness;
        // An entry without any link cannot know which targets are alive, so it keeps all known targets and continues
        // to serve.
        let is_alive = |target: &TargetId| !liveness.is_linked() || liveness.is_alive(target);
        decisions.directory.keep_alive(now, is_alive);
        for expired in decisions.directory.expire(now, lease) {
            spdlog::info!("target lease expired", kv: { target: = expired.target });
            decisions.selector.remove(&expired.target);
            decisions.groups.clear();
        }
        for target in decisions.directory.take_left_out() {
            decisions.liveness.request(target);
        }
        let directory = &decisions.directory;
        let is_needed =
            |target: &TargetId| directory.find(target).is_some() || directory.is_left_out(target);
        decisions.liveness.prune(directory.count(), is_needed);
        decisions.poison.expire(now);
        decisions.selector.sweep_limits(now);
        metrics::gauge!("hickoryspan_gateway_cold_targets")
            .set(decisions.selector.cold_targets(now).count() as f64);
        decisions.selector.expire_notices(now);
        decisions.quotas.expire(now);
        drop(guard);
        state.open_fanout_links();
        state.pool.sweep(|target| state.is_known(target));
    }
}
