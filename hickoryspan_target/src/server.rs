//! Starts stand-in targets and controls them through a handle.

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

/// Starts stand-in targets in the current runtime.
#[derive(Clone, Copy, Debug)]
pub struct TargetServer;

impl TargetServer {
    /// Binds the listen address, starts to serve requests and announces the target.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound; the error names it.
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

/// Handle of a running target. Dropping it aborts the target without a withdrawal.
pub struct TargetHandle {
    state: Arc<TargetState>,
    address: SocketAddr,
    advertised: SocketAddr,
    stop: StopTokens,
    tasks: JoinSet<()>,
}

impl TargetHandle {
    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the membership record that the target currently announces.
    pub fn to_record(&self) -> TargetRecord {
        self.state.to_record(self.advertised)
    }

    /// Returns the log of all runs so far.
    pub fn record_page(&self) -> RecordPage {
        self.state.record_page()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.state.open_connections()
    }

    /// Returns the number of requests whose headers were received so far, including requests on stalled connections.
    pub fn received_requests(&self) -> u64 {
        self.state.received_requests()
    }

    /// Returns the number of queued and running requests.
    pub fn in_flight(&self) -> u32 {
        *self.state.watch_in_flight().borrow()
    }

    /// Waits until the number of queued and running requests satisfies the condition.
    pub async fn wait_in_flight(&self, condition: impl Fn(u32) -> bool) {
        let mut in_flight = self.state.watch_in_flight();
        // The sender cannot be dropped while this handle owns the state, so waiting does not fail.
        let _ = in_flight.wait_for(|count| condition(*count)).await;
    }

    /// Replaces the served partitions and announces the change.
    pub fn set_partitions(&self, partitions: Vec<PartitionRecord>) {
        self.state.set_partitions(partitions);
    }

    /// Returns the active faults.
    pub fn faults(&self) -> FaultSettings {
        self.state.faults()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.state.set_faults(faults);
    }

    /// Injects a one-time fault.
    pub fn inject_event(&self, event: FaultEvent) {
        self.state.inject_event(event);
    }

    /// Starts a drain: refuses new requests and announces the target as draining. Requests in flight continue.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Drains and withdraws the target, waits up to the drain time for requests in flight, and joins all tasks.
    pub async fn stop(mut self) {
        self.state.drain();
        self.stop.graceful.cancel();
        self.join().await;
    }

    /// Closes all connections without a withdrawal, as if the host were lost, and joins all tasks.
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
