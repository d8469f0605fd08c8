//! State shared by the listener, the request handler and the announcer of a target.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryspan_core::entry::interface::LoadReport;
use hickoryspan_core::membership::{PartitionRecord, TargetRecord};
use hickoryspan_core::types::{IncarnationNumber, ShardId, SnapshotVersion};
use hickoryspan_runtime::clock::{incarnation_from_clock, wall_time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::faults::{FaultEvent, FaultSettings};
use crate::record::{RecordPage, RunEnd, RunLog, RunNumber, RunRecord};
use crate::settings::TargetSettings;

/// Sequence number of an accepted connection.
pub(crate) type ConnectionIndex = u64;

/// Reason why a request is not admitted to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitRefusal {
    Draining,
    Shed,
}

struct TargetCore {
    incarnation: IncarnationNumber,
    draining: bool,
    crashed: bool,
    partitions: Vec<PartitionRecord>,
    load: LoadReport,
    log: RunLog,
    attempts: HashMap<String, CancellationToken>,
    generator: ChaCha12Rng,
    cold_start: Instant,
    crash: CancellationToken,
    next_connection: ConnectionIndex,
    stalled_before: ConnectionIndex,
    open_connections: u32,
    received_requests: u64,
}

/// Shared state of one target.
pub(crate) struct TargetState {
    pub(crate) settings: TargetSettings,
    core: Mutex<TargetCore>,
    slots: Arc<Semaphore>,
    faults: watch::Sender<FaultSettings>,
    /// Number of changes that must be announced to control. The announcer waits for it to grow.
    announcements: watch::Sender<u64>,
    /// Number of queued and running requests.
    in_flight: watch::Sender<u32>,
}

impl TargetState {
    pub(crate) fn new(settings: TargetSettings) -> Arc<Self> {
        let core = TargetCore {
            incarnation: settings.incarnation.unwrap_or_else(incarnation_from_clock),
            draining: false,
            crashed: false,
            partitions: settings.partitions.clone(),
            load: LoadReport::default(),
            log: RunLog::new(settings.record_limit),
            attempts: HashMap::new(),
            generator: ChaCha12Rng::seed_from_u64(settings.seed),
            cold_start: Instant::now(),
            crash: CancellationToken::new(),
            next_connection: 0,
            stalled_before: 0,
            open_connections: 0,
            received_requests: 0,
        };
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(settings.slots.0 as usize)),
            settings,
            core: Mutex::new(core),
            faults: watch::Sender::new(FaultSettings::default()),
            announcements: watch::Sender::new(0),
            in_flight: watch::Sender::new(0),
        })
    }

    // A poisoned lock is ignored: after a panic in another task, counters are at worst off by one.
    fn core(&self) -> MutexGuard<'_, TargetCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn to_record(&self, address: std::net::SocketAddr) -> TargetRecord {
        let core = self.core();
        TargetRecord {
            target: self.settings.target.clone(),
            incarnation: core.incarnation,
            address,
            tenant: self.settings.tenant.clone(),
            service: self.settings.service.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            partitions: core.partitions.clone(),
            draining: core.draining,
        }
    }

    pub(crate) fn incarnation(&self) -> IncarnationNumber {
        self.core().incarnation
    }

    pub(crate) fn is_crashed(&self) -> bool {
        self.core().crashed
    }

    pub(crate) fn drain(&self) {
        self.core().draining = true;
        self.announce_change();
    }

    pub(crate) fn set_partitions(&self, partitions: Vec<PartitionRecord>) {
        self.core().partitions = partitions;
        self.announce_change();
    }

    fn announce_change(&self) {
        self.announcements.send_modify(|count| *count += 1);
    }

    pub(crate) fn watch_announcements(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }

    pub(crate) fn watch_faults(&self) -> watch::Receiver<FaultSettings> {
        self.faults.subscribe()
    }

    pub(crate) fn watch_in_flight(&self) -> watch::Receiver<u32> {
        self.in_flight.subscribe()
    }

    pub(crate) fn faults(&self) -> FaultSettings {
        self.faults.borrow().clone()
    }

    pub(crate) fn set_faults(&self, faults: FaultSettings) {
        self.faults.send_replace(faults);
    }

    pub(crate) fn inject_event(&self, event: FaultEvent) {
        let mut core = self.core();
        match event {
            FaultEvent::SilenceConnections => core.stalled_before = core.next_connection,
            FaultEvent::SlowStart => core.cold_start = Instant::now(),
            FaultEvent::Crash => {
                core.crashed = true;
                core.crash.cancel();
            }
        }
    }

    /// Returns the token that is cancelled when the current incarnation crashes.
    pub(crate) fn crash_token(&self) -> CancellationToken {
        self.core().crash.clone()
    }

    /// Starts the next incarnation after a simulated crash and announces it.
    pub(crate) fn restart(&self) {
        {
            let mut core = self.core();
            core.incarnation = core.incarnation.next().max(incarnation_from_clock());
            core.crashed = false;
            core.draining = false;
            core.attempts.clear();
            core.cold_start = Instant::now();
            core.crash = CancellationToken::new();
        }
        self.announce_change();
    }

    /// Registers a new connection. Returns `None` if the connection limit is reached.
    pub(crate) fn open_connection(&self) -> Option<ConnectionIndex> {
        let mut core = self.core();
        if core.open_connections >= self.settings.connections.0 {
            return None;
        }
        core.open_connections += 1;
        core.next_connection += 1;
        Some(core.next_connection - 1)
    }

    pub(crate) fn close_connection(&self) {
        self.core().open_connections -= 1;
    }

    pub(crate) fn open_connections(&self) -> u32 {
        self.core().open_connections
    }

    pub(crate) fn count_request(&self) {
        self.core().received_requests += 1;
    }

    pub(crate) fn received_requests(&self) -> u64 {
        self.core().received_requests
    }

    pub(crate) fn is_stalled(&self, connection: ConnectionIndex) -> bool {
        connection < self.core().stalled_before || self.faults.borrow().silent
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.faults.borrow().reported_load.unwrap_or_else(|| self.core().load)
    }

    pub(crate) fn find_partition(
        &self,
        shard: &ShardId,
        snapshot: SnapshotVersion,
    ) -> Option<PartitionRecord> {
        let core = self.core();
        let mut partitions = core.partitions.iter();
        partitions
            .find(|partition| partition.snapshot == snapshot && partition.shard == *shard)
            .cloned()
    }

    /// Samples a service time from the seeded log-normal distribution.
    ///
    /// The cold start factor and the straggler fault are applied to it.
    pub(crate) fn sample_service_time(&self) -> Duration {
        let straggler = self.faults.borrow().straggler_factor;
        let mut core = self.core();
        let spread = (self.settings.service_spread * sample_normal(&mut core.generator)).exp();
        let cold = self.cold_factor(core.cold_start.elapsed());
        self.settings.service_time.mul_f64((spread * cold * straggler).max(0.0))
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        if age >= self.settings.cold_time {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.settings.cold_time.as_secs_f64();
        1.0 + (self.settings.cold_factor - 1.0) * remaining
    }

    /// Admits a request to the queue. Dropping the ticket releases its place.
    pub(crate) fn admit(self: &Arc<Self>, attempt: &str) -> Result<QueueTicket, AdmitRefusal> {
        let mut core = self.core();
        if core.draining {
            return Err(AdmitRefusal::Draining);
        }
        let LoadReport { running, queued } = core.load;
        if running + queued >= self.settings.slots.0 + self.settings.queue.0 {
            return Err(AdmitRefusal::Shed);
        }
        core.load.queued += 1;
        let cancelled = CancellationToken::new();
        core.attempts.insert(attempt.to_owned(), cancelled.clone());
        drop(core);
        self.in_flight.send_modify(|count| *count += 1);
        Ok(QueueTicket {
            state: Arc::clone(self),
            attempt: attempt.to_owned(),
            cancelled,
            run: None,
            released: false,
        })
    }

    /// Cancels a queued or running attempt. Returns `false` if the attempt is unknown.
    pub(crate) fn cancel(&self, attempt: &str) -> bool {
        let Some(token) = self.core().attempts.get(attempt).cloned() else { return false };
        token.cancel();
        true
    }

    pub(crate) fn record_page(&self) -> RecordPage {
        self.core().log.to_page()
    }
}

/// An admitted request, which is queued or running.
pub(crate) struct QueueTicket {
    state: Arc<TargetState>,
    attempt: String,
    cancelled: CancellationToken,
    run: Option<(RunNumber, OwnedSemaphorePermit)>,
    released: bool,
}

impl QueueTicket {
    /// Returns the token that is cancelled when the entry cancels the attempt.
    pub(crate) fn cancelled(&self) -> CancellationToken {
        self.cancelled.clone()
    }

    /// Waits for a free slot. Returns `None` if the semaphore was closed.
    pub(crate) async fn wait(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.state.slots).acquire_owned().await.ok()
    }

    /// Marks the request as running and records the start of the run.
    pub(crate) fn start(&mut self, permit: OwnedSemaphorePermit, run: RunRecord) {
        let mut core = self.state.core();
        core.load.queued -= 1;
        core.load.running += 1;
        self.run = Some((core.log.start(run), permit));
    }

    /// Records the end of the run and releases the slot.
    pub(crate) fn finish(mut self, end: RunEnd) {
        self.release(end);
    }

    fn release(&mut self, end: RunEnd) {
        self.released = true;
        let mut core = self.state.core();
        match self.run.take() {
            Some((number, _permit)) => {
                core.load.running -= 1;
                core.log.finish(number, wall_time(), end);
            }
            None => core.load.queued -= 1,
        }
        core.attempts.remove(&self.attempt);
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        if !self.released {
            self.release(RunEnd::Abandoned);
        }
        self.state.in_flight.send_modify(|count| *count -= 1);
    }
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn sample_normal(generator: &mut ChaCha12Rng) -> f64 {
    let radius = (-2.0 * (1.0 - generator.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * generator.random::<f64>()).cos()
}
