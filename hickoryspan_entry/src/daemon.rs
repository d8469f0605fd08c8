//! Starts the tasks of an entry daemon and controls their shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context;
use hickoryspan_core::entry::interface::EntryIdentity;
use hickoryspan_core::entry::machine::EntryMachine;
use hickoryspan_core::messages::EntryRegistration;
use hickoryspan_core::types::EntryId;
use hickoryspan_runtime::clock::{SystemClock, incarnation_from_clock};
use hickoryspan_runtime::http_server::HttpServer;
use hickoryspan_runtime::metrics_page::MetricsPage;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use xtra::{Address, Mailbox};

use crate::admin_api::AdminApi;
use crate::caller_api::CallerApi;
use crate::controller::{BeginDrain, ControllerParts, EntryController};
use crate::filters::ControllerHandle;
use crate::readiness::ReadinessState;
use crate::settings::EntryDaemonSettings;
use crate::target_client::AnswerBudgets;
use crate::target_protocol::RequestBuilder;

/// Capacity of the controller's mailbox in messages. Senders wait while it is full.
const MAILBOX_CAPACITY: usize = 16 * 1024;
/// Time limit for the answers to interrupted requests.
const INTERRUPT_TIME: Duration = Duration::from_secs(1);

/// Entry daemon, started with [`EntryDaemon::start`].
#[derive(Clone, Copy, Debug)]
pub struct EntryDaemon;

impl EntryDaemon {
    /// Binds the caller and admin addresses and starts all tasks. An error names the step that
    /// failed and the address.
    pub async fn start(settings: EntryDaemonSettings) -> anyhow::Result<EntryHandle> {
        let callers =
            HttpServer::bind(settings.caller_address, settings.caller_limits.clone()).await?;
        let admin = HttpServer::bind(settings.admin_address, settings.admin_limits.clone()).await?;
        let caller_address = callers.local_address()?;
        let admin_address = admin.local_address()?;
        let incarnation = settings.incarnation.unwrap_or_else(incarnation_from_clock);
        let identity = EntryIdentity {
            registration: EntryRegistration {
                entry: settings.entry.clone(),
                incarnation,
                caller_address: settings.advertised_address.unwrap_or(caller_address),
                failure_domain: settings.failure_domain.clone(),
            },
            control_addresses: settings.control_addresses.clone(),
        };
        let seed = settings.seed.unwrap_or_else(rand::random);
        let generator = ChaCha12Rng::seed_from_u64(seed);
        let machine = EntryMachine::new(identity, settings.machine.clone(), generator);
        let requests = RequestBuilder::new(&settings.credential, &settings.entry, incarnation)
            .context("start entry: build the headers of requests to targets")?;
        let metrics = MetricsPage::install()?;
        let readiness = Arc::new(ReadinessState::default());
        let drained = CancellationToken::new();
        let (disconnect_sender, disconnects) = mpsc::unbounded_channel();
        let (controller, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
        let parts = ControllerParts {
            clock: SystemClock::start(),
            entry: settings.entry.clone(),
            credential: settings.credential.clone(),
            requests,
            target_client: Arc::new(settings.target_client.clone()),
            answers: AnswerBudgets::of_memory(settings.caller_limits.memory_bytes),
            readiness: Arc::clone(&readiness),
            drained: drained.clone(),
            disconnects,
        };
        let handle = ControllerHandle {
            controller: controller.clone(),
            disconnects: disconnect_sender,
            next_token: AtomicU64::new(1),
            entry: settings.entry.clone(),
        };
        let caller_api = CallerApi::new(handle, settings.caller_limits, settings.caller_requests);
        let admin_api = AdminApi {
            metrics,
            credential: settings.credential,
            readiness: Arc::clone(&readiness),
        };
        let stop = StopTokens::default();
        let actor = EntryController::new(machine, parts, controller.clone());
        let controller_stop = stop.controller.clone();
        let ended = CancellationToken::new();
        let ended_guard = ended.clone().drop_guard();
        let tasks = DaemonTasks {
            controller: spawn(async move {
                let _guard = ended_guard;
                actor.run(mailbox, controller_stop).await;
            }),
            callers: spawn(callers.serve(Arc::new(caller_api), stop.callers.clone())),
            admin: spawn(admin.serve(Arc::new(admin_api), stop.admin.clone())),
        };
        spdlog::info!(
            "entry {}: incarnation {}: callers {}, metrics and health {}, seed {}",
            settings.entry,
            incarnation,
            caller_address,
            admin_address,
            seed
        );
        let entry = settings.entry;
        Ok(EntryHandle {
            entry,
            caller_address,
            admin_address,
            controller,
            drained,
            ended,
            stop,
            tasks,
        })
    }
}

#[derive(Debug, Default)]
struct StopTokens {
    callers: CancellationToken,
    admin: CancellationToken,
    controller: CancellationToken,
}

struct DaemonTasks {
    controller: AbortOnDropHandle<()>,
    callers: AbortOnDropHandle<()>,
    admin: AbortOnDropHandle<()>,
}

/// Handle of a running entry daemon. Dropping it aborts all tasks without waiting for them.
pub struct EntryHandle {
    entry: EntryId,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    controller: Address<EntryController>,
    drained: CancellationToken,
    ended: CancellationToken,
    stop: StopTokens,
    tasks: DaemonTasks,
}

impl EntryHandle {
    /// Returns the bound address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address that serves metrics and health checks.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Starts the drain. [`drained`](Self::drained) waits until it is complete.
    pub async fn begin_drain(&self) {
        // Fails if the controller has ended, which `ended` reports.
        let _ = self.controller.send(BeginDrain).await;
    }

    /// Waits until the drain is complete: no request is in flight, and no caller still holds a
    /// valid address list that names this entry.
    pub async fn drained(&self) {
        self.drained.cancelled().await;
    }

    /// Waits until the controller has ended. Before a shutdown, this happens only if it failed.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Shuts down gracefully: drains without interrupting requests, and joins all tasks.
    pub async fn drain(self) {
        self.begin_drain().await;
        tokio::select! {
            () = self.drained() => {}
            () = self.ended() => spdlog::error!(
                "entry {}: drain failed: the controller has ended",
                self.entry
            ),
        }
        self.finish().await;
    }

    /// Shuts down a daemon whose drain is complete, and joins all tasks.
    pub async fn finish(self) {
        // Stop the caller server first and let it send the last responses.
        self.stop.callers.cancel();
        join(&self.entry, "callers", self.tasks.callers).await;
        self.stop.controller.cancel();
        self.stop.admin.cancel();
        join(&self.entry, "controller", self.tasks.controller).await;
        join(&self.entry, "admin", self.tasks.admin).await;
    }

    /// Shuts down without waiting for the requests in flight, which are answered with an unknown
    /// outcome, and joins all tasks.
    pub async fn interrupt(self) {
        self.stop.controller.cancel();
        self.stop.callers.cancel();
        self.stop.admin.cancel();
        join(&self.entry, "controller", self.tasks.controller).await;
        let callers = join(&self.entry, "callers", self.tasks.callers);
        if tokio::time::timeout(INTERRUPT_TIME, callers).await.is_err() {
            spdlog::warn!("entry {}: closing the connections of callers", self.entry);
        }
        join(&self.entry, "admin", self.tasks.admin).await;
    }

    /// Shuts down immediately, cutting requests in flight, and joins all tasks.
    pub async fn stop(self) {
        self.stop.controller.cancel();
        self.tasks.callers.abort();
        self.tasks.admin.abort();
        join(&self.entry, "controller", self.tasks.controller).await;
        join(&self.entry, "callers", self.tasks.callers).await;
        join(&self.entry, "admin", self.tasks.admin).await;
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

async fn join(entry: &EntryId, name: &str, task: AbortOnDropHandle<()>) {
    match task.await {
        Ok(()) => {}
        Err(error) if error.is_cancelled() => {}
        Err(error) => spdlog::error!("entry {}: task {}: {}", entry, name, error),
    }
}
