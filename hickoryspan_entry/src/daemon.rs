//! A running entry daemon and the handle that controls it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

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
use crate::filters::CallerPort;
use crate::readiness::ReadinessState;
use crate::settings::EntryDaemonSettings;
use crate::target_protocol::RequestBuilder;

/// Messages that may wait for the controller; senders wait when it is full.
const MAILBOX_MESSAGES: usize = 16 * 1024;

/// Starts entry daemons.
#[derive(Clone, Copy, Debug)]
pub struct EntryDaemon;

impl EntryDaemon {
    /// Binds both addresses and starts all tasks; the error names the step and the address.
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
            .context("start entry: prepare requests to targets")?;
        let metrics = MetricsPage::install()?;
        let readiness = Arc::new(ReadinessState::default());
        let drained = CancellationToken::new();
        let (hangup_sender, hangups) = mpsc::unbounded_channel();
        let (controller, mailbox) = Mailbox::bounded(MAILBOX_MESSAGES);
        let parts = ControllerParts {
            clock: SystemClock::start(),
            entry: settings.entry.clone(),
            credential: settings.credential.clone(),
            requests,
            target_client: Arc::new(settings.target_client.clone()),
            readiness: Arc::clone(&readiness),
            drained: drained.clone(),
            hangups,
        };
        let port = CallerPort {
            controller: controller.clone(),
            hangups: hangup_sender,
            next_token: AtomicU64::new(1),
            entry: settings.entry.clone(),
        };
        let caller_api = CallerApi::new(port, settings.caller_limits, settings.caller_requests);
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

/// Controls a running entry daemon; dropping it cuts everything, without waiting for the tasks.
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
    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where metrics and health are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Begins the planned stop; `drained` tells when it is complete.
    pub async fn begin_drain(&self) {
        // A controller that has ended cannot drain, which `ended` tells.
        let _ = self.controller.send(BeginDrain).await;
    }

    /// Waits until the planned stop is complete: no request is in flight and no caller was told to come here.
    pub async fn drained(&self) {
        self.drained.cancelled().await;
    }

    /// Waits until the controller has ended, which happens before a stop only if it failed.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Performs a planned stop: cuts no request, and joins all tasks.
    pub async fn drain(self) {
        self.begin_drain().await;
        tokio::select! {
            () = self.drained() => {}
            () = self.ended() => spdlog::error!("entry {}: drain: the controller has ended", self.entry),
        }
        self.finish().await;
    }

    /// Ends a daemon whose planned stop is complete, and joins all tasks.
    pub async fn finish(self) {
        // The last responses may still be on their way to the callers.
        self.stop.callers.cancel();
        join(&self.entry, "callers", self.tasks.callers).await;
        self.stop.controller.cancel();
        self.stop.admin.cancel();
        join(&self.entry, "controller", self.tasks.controller).await;
        join(&self.entry, "admin", self.tasks.admin).await;
    }

    /// Ends at once: requests in flight are cut. Joins all tasks.
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
