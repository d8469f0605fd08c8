//! Starts and stops the tasks of one control replica.

use std::collections::HashMap;
use std::sync::Arc;

use anyhow::Context;
use hickoryspan_core::control::interface::{ControlEvent, ReplicaRecord};
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_runtime::clock::SystemClock;
use hickoryspan_runtime::http_server::HttpServer;
use hickoryspan_runtime::metrics_page::MetricsPage;
use hickoryspan_runtime::pending_link;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use xtra::Mailbox;

use crate::actor::{ControlActor, ControlInbox, run_timer};
use crate::control_handle::{ControlHandle, ControlView};
use crate::folder_setup::open_folder;
use crate::http_routes::ControlRoutes;
use crate::link_server::LinkServer;
use crate::persistence::PersistenceThread;
use crate::replica_links::ReplicaLinks;
use crate::settings::ControlDaemonSettings;

/// A running control replica.
pub struct ControlDaemon {
    record: ReplicaRecord,
    inbox: ControlInbox,
    tasks: JoinSet<()>,
    stop: CancellationToken,
    stopped: CancellationToken,
    views: watch::Receiver<ControlView>,
}

impl ControlDaemon {
    /// Opens the data folder, binds both ports and starts all tasks. An error names the step that failed.
    pub async fn start(settings: ControlDaemonSettings) -> anyhow::Result<Self> {
        let clock = SystemClock::start();
        let metrics = MetricsPage::install()?;
        let listener = pending_link::listen(settings.peer_address)
            .with_context(|| format!("bind peer port: {}", settings.peer_address))?;
        let server = HttpServer::bind(settings.http_address, settings.limits.clone()).await?;
        let peer_address = listener.local_addr().context("read the peer port's address")?;
        let http_address = server.local_address()?;

        let seed = settings.seed.unwrap_or_else(rand::random);
        let folder = open_folder(&settings.data_folder)?;
        let replica = folder.replica;
        let record = ReplicaRecord { replica, peer_address, http_address, voter: false };
        spdlog::info!(
            "control replica starts",
            kv: { replica: = replica, peer_address: = peer_address, http_address: = http_address }
        );
        let machine = ControlMachine::new(
            replica,
            folder.opened.recovered,
            ControlSettings {
                bootstrap: folder.is_first,
                members: settings.members,
                raft: settings.raft.clone(),
                ..ControlSettings::new(peer_address, http_address)
            },
            ChaCha12Rng::seed_from_u64(seed),
        );

        let (address, mailbox) = Mailbox::<ControlActor>::unbounded();
        let inbox = ControlInbox::new(address);
        let report_inbox = inbox.clone();
        let persistence = PersistenceThread::start(Box::new(folder.opened.log), move |event| {
            report_inbox.deliver_internal(event);
        })?;
        let (wakeup, wakeup_changes) = watch::channel(machine.next_wakeup());
        let (view, views) = watch::channel(ControlView::default());
        let (stop, stopped) = (CancellationToken::new(), CancellationToken::new());
        let actor = ControlActor {
            machine,
            clock,
            persistence,
            replica_links: ReplicaLinks::new(replica, settings.credential.clone()),
            entry_links: HashMap::new(),
            replies: HashMap::new(),
            wakeup,
            view,
            stopped: stopped.clone(),
            actions: Vec::new(),
        };
        let routes = ControlRoutes {
            inbox: inbox.clone(),
            credential: settings.credential.clone(),
            limits: settings.limits.clone(),
            metrics,
        };
        let links = LinkServer {
            listener,
            credential: settings.credential,
            inbox: inbox.clone(),
            handshakes: settings.handshakes,
        };

        let mut tasks = JoinSet::new();
        tasks.spawn(xtra::run(mailbox, actor));
        tasks.spawn(run_timer(clock, wakeup_changes, inbox.clone(), stop.clone()));
        tasks.spawn(links.serve(stop.clone()));
        tasks.spawn(server.serve(Arc::new(routes), stop.clone()));
        inbox.deliver_internal(ControlEvent::Tick);
        Ok(Self { record, inbox, tasks, stop, stopped, views })
    }

    /// Returns the replica's identity and bound addresses.
    pub fn record(&self) -> &ReplicaRecord {
        &self.record
    }

    /// Completes when the replica has stopped on its own, for example after a failed sync.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }

    /// Returns a handle with which interfaces of other crates send requests and read the published view.
    pub fn handle(&self) -> ControlHandle {
        ControlHandle { inbox: self.inbox.clone(), views: self.views.clone() }
    }

    /// Transfers leadership, finishes requests in flight and joins all tasks.
    pub async fn drain(self) {
        self.inbox.deliver_internal(ControlEvent::Drain);
        // The state machine limits the time for the leadership transfer, so no timeout is needed here.
        self.stopped.cancelled().await;
        self.stop().await;
    }

    /// Stops without a drain and joins all tasks. Everything that was acknowledged is durable.
    pub async fn stop(mut self) {
        self.stop.cancel();
        self.inbox.shut_down().await;
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended {
                spdlog::error!("control task failed: {}", error);
            }
        }
    }
}
