//! A running stand-in target and the handle that controls it.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use hickoryspan_core::membership::{PartitionRecord, TargetRecord};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announce::run_announcer;
use crate::faults::{FaultEvent, FaultSettings};
use crate::listener::{StopTokens, run_listener};
use crate::record::RecordPage;
use crate::settings::TargetSettings;
use crate::state::TargetState;

/// Starts stand-in targets.
#[derive(Clone, Copy, Debug)]
pub struct TargetServer;

impl TargetServer {
    /// Binds the address, serves, and announces the target; the error names the address.
    pub async fn start(settings: TargetSettings) -> anyhow::Result<TargetHandle> {
        let bound = settings.listen_address;
        let listener =
            TcpListener::bind(bound).await.with_context(|| format!("start target: {bound}"))?;
        let address = listener.local_addr().context("start target: read the bound address")?;
        let advertised = settings.advertised_address.unwrap_or(address);
        let state = TargetState::new(settings);
        let stop = StopTokens::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(run_listener(Arc::clone(&state), listener, address, stop.clone()));
        tasks.spawn(run_announcer(Arc::clone(&state), advertised, stop.clone()));
        spdlog::info!("target {} listens on {}", state.settings.target, address);
        Ok(TargetHandle { state, address, advertised, stop, tasks })
    }
}

/// Controls a running target; dropping it ends the target without a withdrawal.
pub struct TargetHandle {
    state: Arc<TargetState>,
    address: SocketAddr,
    advertised: SocketAddr,
    stop: StopTokens,
    tasks: JoinSet<()>,
}

impl TargetHandle {
    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the target announces now.
    pub fn to_record(&self) -> TargetRecord {
        self.state.to_record(self.advertised)
    }

    /// Everything that ran so far.
    pub fn record(&self) -> RecordPage {
        self.state.record_page()
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> u32 {
        self.state.open_connections()
    }

    /// Requests of any kind whose headers arrived so far, also on silent connections.
    pub fn received_requests(&self) -> u64 {
        self.state.received_requests()
    }

    /// Requests that wait or run now.
    pub fn in_flight(&self) -> u32 {
        *self.state.watch_in_flight().borrow()
    }

    /// Waits until the number of requests that wait or run satisfies the condition.
    pub async fn wait_in_flight(&self, condition: impl Fn(u32) -> bool) {
        let mut in_flight = self.state.watch_in_flight();
        // The sender lives as long as the state, which this handle holds.
        let _ = in_flight.wait_for(|count| condition(*count)).await;
    }

    /// Replaces the partitions and announces the change.
    pub fn set_partitions(&self, partitions: Vec<PartitionRecord>) {
        self.state.set_partitions(partitions);
    }

    /// The faults in force.
    pub fn faults(&self) -> FaultSettings {
        self.state.faults()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.state.set_faults(faults);
    }

    /// Lets a fault occur once.
    pub fn inject_event(&self, event: FaultEvent) {
        self.state.inject_event(event);
    }

    /// Refuses new work and announces that; requests in flight go on.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Drains, withdraws the target, finishes the requests in flight within the drain time and joins all tasks.
    pub async fn stop(mut self) {
        self.state.drain();
        self.stop.graceful.cancel();
        self.join().await;
    }

    /// Drops all connections without a withdrawal, as a lost host does, and joins all tasks.
    pub async fn abort(mut self) {
        self.stop.abrupt.cancel();
        self.stop.graceful.cancel();
        self.join().await;
    }

    async fn join(&mut self) {
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended {
                spdlog::error!("target {}: a task failed: {}", self.state.settings.target, error);
            }
        }
    }
}
