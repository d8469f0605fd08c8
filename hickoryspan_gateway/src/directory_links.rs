//! Outgoing directory links, one to each known control host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use hickoryspan_core::gateway::membership::messages::{
    DirectoryRequest, DirectoryUpdate, LinkVersion,
};
use hickoryspan_core::gateway::membership::report_history::{ReportHistory, ReportMessage};
use hickoryspan_core::gateway::membership::shared_table::ChangeNumber;
use hickoryspan_core::reconnect::{ReconnectDelay, ReconnectSettings};
use hickoryspan_runtime::peer_link::PeerLink;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::host_list::HostList;
use crate::settings::DirectorySettings;

/// Request path of directory links.
pub(crate) const DIRECTORY_PATH: &str = "/v1/directory";
/// Maximum number of messages in the queue of one link.
const QUEUE_CAPACITY: usize = 256;
/// Shortest interval of reports, so that many changes are sent together.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a connection after which a host is removed from the list. If it is still running, seeds and other hosts
/// add it again.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// The changes that were sent over one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownChanges {
    /// Last change of the requests that crash targets.
    pub suspicions: ChangeNumber,
    /// Last change of the targets' limits.
    pub limits: ChangeNumber,
    /// Last change of the counted requests of accounts.
    pub quotas: ChangeNumber,
}

/// Supplies the reports that are sent over directory links, and handles the updates that arrive.
pub trait LinkHandler: Send + Sync {
    /// Returns the report that is sent when a link is up, and periodically after that.
    fn report(&self) -> DirectoryRequest;
    /// Returns the version of the messages that the host at the other end understands, as far as it is known.
    fn link_version(&self, _host: SocketAddr) -> LinkVersion {
        LinkVersion::default()
    }
    /// Returns what else the host at the other end does not know yet, and advances `known` accordingly.
    fn news(&self, host: SocketAddr, known: &mut KnownChanges) -> Vec<DirectoryRequest>;
    /// Applies an update of the control host at `from`. A returned request is sent back to that host.
    fn apply(&self, from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest>;
    /// Called when the link to `from` is established. Messages in `queue` are sent over it.
    fn on_link_up(&self, from: SocketAddr, queue: &mpsc::Sender<DirectoryRequest>);
    /// Called when the link to `from` is lost.
    fn on_link_down(&self, from: SocketAddr);
}

/// Maintains a link to every host of a list.
pub struct DirectoryLinks {
    /// The hosts to connect to.
    pub hosts: HostList,
    /// The directory address of this process, to which no link is opened.
    pub own_address: Option<SocketAddr>,
    /// Timing and credential.
    pub settings: DirectorySettings,
    /// Supplies reports and handles updates.
    pub handler: Arc<dyn LinkHandler>,
    /// Triggers an immediate report whenever its value changes.
    pub report_trigger: watch::Receiver<u64>,
}

impl DirectoryLinks {
    /// Runs until `stop` is cancelled, then closes all links.
    pub async fn run(self, stop: CancellationToken) {
        let mut tasks = JoinSet::new();
        let links_up = Arc::new(AtomicUsize::new(0));
        let mut open: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
        let mut hosts = self.hosts.subscribe();
        loop {
            let wanted = hosts.borrow_and_update().clone();
            open.retain(|address, task| {
                let keep = wanted.contains(address);
                if !keep {
                    task.abort();
                }
                keep
            });
            for address in wanted {
                if Some(address) == self.own_address || open.contains_key(&address) {
                    continue;
                }
                let link = LinkTask {
                    address,
                    hosts: self.hosts.clone(),
                    settings: self.settings.clone(),
                    links_up: Arc::clone(&links_up),
                    handler: Arc::clone(&self.handler),
                    report_trigger: self.report_trigger.clone(),
                };
                open.insert(address, tasks.spawn(link.run()));
            }
            tokio::select! {
                () = stop.cancelled() => break,
                changed = hosts.changed() => {
                    if changed.is_err() {
                        break;
                    }
                }
                Some(_) = tasks.join_next() => {}
            }
        }
        tasks.shutdown().await;
    }
}

struct LinkTask {
    address: SocketAddr,
    hosts: HostList,
    settings: DirectorySettings,
    // Number of links of this process that are up.
    links_up: Arc<AtomicUsize>,
    handler: Arc<dyn LinkHandler>,
    report_trigger: watch::Receiver<u64>,
}

impl LinkTask {
    async fn run(mut self) {
        let mut delay = ReconnectDelay::new(ReconnectSettings::default());
        let mut last_up = Instant::now();
        while last_up.elapsed() < FORGET_AFTER {
            let started_at = Instant::now();
            let result = self.serve().await;
            if let Err(error) = result {
                spdlog::debug!("directory link: {}: {:#}", self.address, error);
            }
            if started_at.elapsed() > self.settings.receive_timeout {
                delay.reset();
                last_up = Instant::now();
            }
            let linked = self.links_up.load(Ordering::Relaxed) > 0;
            tokio::time::sleep(delay.after_failure(linked)).await;
        }
        self.hosts.remove(self.address);
    }

    async fn serve(&mut self) -> anyhow::Result<()> {
        let credential = &self.settings.credential;
        let connect = PeerLink::connect(self.address, DIRECTORY_PATH, [], credential);
        let link = tokio::time::timeout(self.settings.receive_timeout, connect)
            .await
            .context("connect: timeout")??;
        let (queue, outgoing) = mpsc::channel(QUEUE_CAPACITY);
        let (received, mut last_received) = watch::channel(());
        let handler = Arc::clone(&self.handler);
        let (address, replies) = (self.address, queue.clone());
        let receive = move |update: DirectoryUpdate| {
            received.send_replace(());
            let reply = match update {
                DirectoryUpdate::Confirm(number) => Some(DirectoryRequest::Confirm(number)),
                update => handler.apply(address, update),
            };
            reply.is_none_or(|reply| replies.try_send(reply).is_ok())
        };
        let limit = self.settings.receive_timeout;
        let idle = async move {
            while let Ok(Ok(())) = tokio::time::timeout(limit, last_received.changed()).await {}
        };
        let up = LinkStateGuard::new(
            Arc::clone(&self.handler),
            address,
            &queue,
            Arc::clone(&self.links_up),
        );
        let reports = ReportTask { address, settings: &self.settings, handler: &*self.handler };
        let reports = reports.run(&mut self.report_trigger, queue);
        let ended = tokio::select! {
            ended = link.run(outgoing, receive) => ended,
            ended = reports => ended,
            () = idle => bail!("nothing received for {limit:?}"),
        };
        drop(up);
        ended
    }
}

/// Sends the reports of this process over one link.
struct ReportTask<'a> {
    address: SocketAddr,
    settings: &'a DirectorySettings,
    handler: &'a dyn LinkHandler,
}

impl ReportTask<'_> {
    async fn run(
        self,
        report_trigger: &mut watch::Receiver<u64>,
        queue: mpsc::Sender<DirectoryRequest>,
    ) -> anyhow::Result<()> {
        let mut known = KnownChanges::default();
        let mut history = ReportHistory::default();
        loop {
            let report = self.handler.report();
            let report = match history.next(&report, self.handler.link_version(self.address)) {
                ReportMessage::Full(report) => report,
                ReportMessage::Heartbeat => DirectoryRequest::Unchanged,
            };
            queue.send(report).await.context("the link ended")?;
            for request in self.handler.news(self.address, &mut known) {
                queue.send(request).await.context("the link ended")?;
            }
            tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            tokio::select! {
                () = tokio::time::sleep(self.settings.report_interval) => {}
                changed = report_trigger.changed() => changed.context("the process stops")?,
            }
        }
    }
}

struct LinkStateGuard {
    handler: Arc<dyn LinkHandler>,
    address: SocketAddr,
    links_up: Arc<AtomicUsize>,
}

impl LinkStateGuard {
    fn new(
        handler: Arc<dyn LinkHandler>,
        address: SocketAddr,
        queue: &mpsc::Sender<DirectoryRequest>,
        links_up: Arc<AtomicUsize>,
    ) -> Self {
        spdlog::info!("directory link up", kv: { peer: = address });
        links_up.fetch_add(1, Ordering::Relaxed);
        handler.on_link_up(address, queue);
        Self { handler, address, links_up }
    }
}

impl Drop for LinkStateGuard {
    fn drop(&mut self) {
        spdlog::info!("directory link down", kv: { peer: = self.address });
        self.links_up.fetch_sub(1, Ordering::Relaxed);
        self.handler.on_link_down(self.address);
    }
}
