//! Outgoing fan-out links. They are opened in the background and used only while they are up.
//!
//! A link is replaced when an entry does not answer on it in time, because its connection may be dead without being
//! closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::fanout_messages::{FanoutBatch, FanoutReply, FanoutRequest, FanoutTask, TaskNumber};

/// Request path of fan-out links.
pub(crate) const FANOUT_PATH: &str = "/v1/fan-out";
/// Maximum number of messages in the queue of one link. A full queue shows that the link is stalled.
const QUEUE_CAPACITY: usize = 256;
/// Longest time for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Index of a shard group within one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GroupIndex(pub(crate) usize);

/// An event of a shard group that another entry sends to.
pub(crate) enum RelayEvent {
    /// A batch of parts arrived.
    Batch(GroupIndex, FanoutBatch),
    /// The link was lost before the last batch.
    Lost(GroupIndex),
    /// The other entry closed the link after the last batch of all tasks that it had begun, and this one was not among
    /// them.
    NotBegun(GroupIndex),
}

struct TaskWaiter {
    group: GroupIndex,
    events: mpsc::UnboundedSender<RelayEvent>,
}

type WaiterMap = Arc<Mutex<HashMap<TaskNumber, TaskWaiter>>>;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct OpenLink {
    // `None` until the link is connected.
    queue: Option<mpsc::Sender<FanoutRequest>>,
    waiters: WaiterMap,
}

#[derive(Default)]
struct LinkTable {
    links: HashMap<SocketAddr, OpenLink>,
    tasks: JoinSet<()>,
}

/// The fan-out links of one entry.
pub(crate) struct FanoutLinks {
    credential: SharedCredential,
    next_number: AtomicU64,
    table: Arc<Mutex<LinkTable>>,
}

/// A task at another entry. Dropping the handle cancels the task unless it has ended.
pub(crate) struct FanoutTaskHandle {
    number: TaskNumber,
    queue: mpsc::Sender<FanoutRequest>,
    waiters: WaiterMap,
}

impl FanoutTaskHandle {
    /// Leaves second attempts to the other entry.
    pub(crate) fn grant_retries(&self) {
        // Without the grant, the other entry makes no second attempts.
        if self.queue.try_send(FanoutRequest::GrantRetries(self.number)).is_err() {
            spdlog::debug!("fan-out link: a grant could not be queued");
        }
    }
}

impl Drop for FanoutTaskHandle {
    fn drop(&mut self) {
        let is_pending = lock(&self.waiters).remove(&self.number).is_some();
        // A full queue means a stalled link, and closing that link also cancels the task.
        if is_pending && self.queue.try_send(FanoutRequest::Cancel(self.number)).is_err() {
            spdlog::debug!("fan-out link: a cancellation could not be queued");
        }
    }
}

impl FanoutLinks {
    pub(crate) fn new(credential: SharedCredential) -> Self {
        Self { credential, next_number: AtomicU64::new(0), table: Arc::default() }
    }

    /// Returns whether the link is up. If there is none, one is opened for later requests.
    pub(crate) fn ensure_up(&self, address: SocketAddr) -> bool {
        let mut table = lock(&self.table);
        match table.links.get(&address) {
            Some(link) => link.queue.is_some(),
            None => {
                self.open(&mut table, address);
                false
            }
        }
    }

    fn open(&self, table: &mut LinkTable, address: SocketAddr) {
        while table.tasks.try_join_next().is_some() {}
        let waiters = WaiterMap::default();
        let link = LinkTask {
            address,
            credential: self.credential.clone(),
            waiters: Arc::clone(&waiters),
            table: Arc::clone(&self.table),
        };
        table.tasks.spawn(link.run());
        table.links.insert(address, OpenLink { queue: None, waiters });
    }

    /// Returns whether the link is up.
    pub(crate) fn is_up(&self, address: SocketAddr) -> bool {
        lock(&self.table).links.get(&address).is_some_and(|link| link.queue.is_some())
    }

    /// Returns the number of links that are up.
    pub(crate) fn count_up(&self) -> usize {
        lock(&self.table).links.values().filter(|link| link.queue.is_some()).count()
    }

    /// Sends a task if the link is up, and sets its number. Returns `None` if the task could not be queued.
    pub(crate) fn send(
        &self,
        address: SocketAddr,
        mut task: FanoutTask,
        group: GroupIndex,
        events: mpsc::UnboundedSender<RelayEvent>,
    ) -> Option<FanoutTaskHandle> {
        let table = lock(&self.table);
        let link = table.links.get(&address)?;
        let queue = link.queue.clone()?;
        let waiters = Arc::clone(&link.waiters);
        drop(table);
        let number = TaskNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        task.number = number;
        lock(&waiters).insert(number, TaskWaiter { group, events });
        if queue.try_send(FanoutRequest::Run(Box::new(task))).is_err() {
            lock(&waiters).remove(&number);
            return None;
        }
        Some(FanoutTaskHandle { number, queue, waiters })
    }

    /// Stops using a link on which an entry did not answer; the next request opens a new one. The old link closes once
    /// the queued cancellations are sent and no task waits on it.
    pub(crate) fn retire(&self, address: SocketAddr) {
        lock(&self.table).links.remove(&address);
    }

    /// Closes all links.
    pub(crate) async fn shut_down(&self) {
        let mut tasks = std::mem::take(&mut lock(&self.table).tasks);
        tasks.shutdown().await;
    }
}

fn fail_waiters(waiters: &WaiterMap, event: impl Fn(GroupIndex) -> RelayEvent) {
    for (_, waiter) in lock(waiters).drain() {
        // The request may have ended in the meantime.
        let _ = waiter.events.send(event(waiter.group));
    }
}

struct LinkTask {
    address: SocketAddr,
    credential: SharedCredential,
    waiters: WaiterMap,
    table: Arc<Mutex<LinkTable>>,
}

impl LinkTask {
    async fn run(self) {
        let ended = self.serve().await;
        if let Err(error) = &ended {
            spdlog::debug!("fan-out link: {}: {:#}", self.address, error);
        }
        let mut table = lock(&self.table);
        let is_current = |link: &OpenLink| Arc::ptr_eq(&link.waiters, &self.waiters);
        if table.links.get(&self.address).is_some_and(is_current) {
            table.links.remove(&self.address);
        }
        drop(table);
        match ended {
            Ok(()) => fail_waiters(&self.waiters, RelayEvent::NotBegun),
            Err(_) => fail_waiters(&self.waiters, RelayEvent::Lost),
        }
    }

    /// Serves the link until it ends. Succeeds if one side has closed it: this side when no task waits, the other one
    /// after the last batch of the last task that it has begun.
    async fn serve(&self) -> anyhow::Result<()> {
        let connect = PeerLink::connect(self.address, FANOUT_PATH, [], &self.credential);
        let link = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
        let (queue, outgoing) = mpsc::channel(QUEUE_CAPACITY);
        if let Some(open) = lock(&self.table).links.get_mut(&self.address) {
            open.queue = Some(queue);
        }
        spdlog::info!("fan-out link up", kv: { peer: = self.address });
        let ended = link.run(outgoing, |reply: FanoutReply| self.handle_reply(reply)).await;
        spdlog::info!("fan-out link down", kv: { peer: = self.address });
        ended
    }

    fn handle_reply(&self, reply: FanoutReply) -> bool {
        let FanoutReply::Batch(batch) = reply;
        let mut waiters = lock(&self.waiters);
        let number = batch.number;
        let last = batch.last;
        // A cancelled task has no waiter any more.
        if let Some(waiter) = waiters.get(&number) {
            let _ = waiter.events.send(RelayEvent::Batch(waiter.group, batch));
        }
        if last {
            waiters.remove(&number);
        }
        true
    }
}
