//! The memory and the connections that the callers of a process may occupy together; see
//! docs/design/caller_memory.md.
//!
//! Bytes are charged as they arrive. If there is no room left, connections without a complete request are ended: first
//! those of the address that has held most for the longest time, and of these the one that has done so itself.

mod ledger;
mod request_charge;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Version;
use http::request::Parts;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::ledger::{HolderKind, Holding, Ledger, Pool, RequestSize, SMALL_REQUEST_BYTES};
pub use self::request_charge::{AnswerRoom, RequestCharge};
use crate::caller_stream::RECEIVE_BUFFER_BYTES;
use crate::exchange_progress::ExchangeProgress;

/// Size of the buffer that each connection has, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Memory of a connection apart from its requests and answers, in bytes: its buffer and that of the kernel, whose unread
/// bytes count as memory of the process.
const CONNECTION_BYTES: usize = MIN_BUFFER_BYTES + RECEIVE_BUFFER_BYTES as usize;
/// Memory of a connection with several requests at once, apart from these, in bytes: the tables and buffers of HTTP/2.
const MULTIPLEXED_BYTES: usize = 128 * 1024;
/// Memory of one of several requests on a connection apart from its head and its body, in bytes: its stream and its task.
const STREAM_BYTES: usize = 4 * 1024;
/// Part of the memory that connections may occupy apart from their requests and answers.
const CONNECTION_SHARE: f64 = 5.0 / 16.0;
/// Part of the memory for small requests.
const SMALL_SHARE: f64 = 1.0 / 8.0;
/// Part of the memory for larger requests.
const LARGE_SHARE: f64 = 3.0 / 16.0;
/// Part of the memory for answers.
const ANSWER_SHARE: f64 = 1.0 / 8.0;
/// Part of the room for requests that one address may occupy.
const ADDRESS_SHARE: f64 = 3.0 / 4.0;
/// Part of the room for larger requests that connections may hold while they are being ended.
const ENDING_DIVISOR: usize = 8;
/// Part of the connections that may be there in addition while they are being ended.
const ENDING_CONNECTIONS_DIVISOR: usize = 8;
/// Descriptors that are not used for connections of callers: files, and what the platform reserves for them.
pub const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that callers may occupy. The rest is for targets, links and the store.
const DESCRIPTOR_SHARE: f64 = 1.0 / 2.0;
/// How long a connection that is ended to make room may send the answer to its last request.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Part of the room for answers that is kept for answers as small as small requests.
const SMALL_ANSWER_DIVISOR: usize = 8;
/// Memory of a process whose settings state none, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 1024 * 1024 * 1024;
/// Descriptors of a process whose settings state none.
const DEFAULT_DESCRIPTORS: usize = 16 * 1024;

/// What the callers of a process may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBudgetSettings {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of requests up to 16 KiB.
    pub small_bytes: usize,
    /// Bytes of larger requests.
    pub large_bytes: usize,
    /// Bytes of answers.
    pub answer_bytes: usize,
}

impl CallerBudgetSettings {
    /// Divides the memory and the descriptors of a process.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let share = |share: f64| (memory_bytes as f64 * share) as usize;
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64 * DESCRIPTOR_SHARE;
        let connections = share(CONNECTION_SHARE) / CONNECTION_BYTES;
        Self {
            connections: connections.min(sockets as usize).max(1),
            small_bytes: share(SMALL_SHARE),
            large_bytes: share(LARGE_SHARE),
            answer_bytes: share(ANSWER_SHARE),
        }
    }

    /// Returns the number of connections with those that are being ended, which keep their descriptors for moments.
    pub fn descriptors(&self) -> usize {
        self.connections + (self.connections / ENDING_CONNECTIONS_DIVISOR).max(1)
    }
}

impl Default for CallerBudgetSettings {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    }
}

/// There is no room for more bytes, and no other connection may be ended for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room is left for callers")]
pub struct BudgetExhausted;

/// The room for all callers of a process.
#[derive(Debug)]
pub struct CallerBudget {
    settings: CallerBudgetSettings,
    ledger: Mutex<Ledger>,
    freed: Notify,
}

impl CallerBudget {
    /// Creates a budget that nobody uses yet.
    pub fn new(settings: CallerBudgetSettings) -> Arc<Self> {
        Arc::new(Self { settings, ledger: Mutex::default(), freed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections, also of those that are being ended.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Admits a connection. If there are too many, another one without a complete request is ended, or one whose request
    /// runs for long, of an address that has far more. `None` if there is none, or if connections that are being ended still take too much room; the new one is then to be closed.
    pub fn open(self: &Arc<Self>, peer: SocketAddr) -> Option<Arc<CallerAccount>> {
        let now = Instant::now();
        let mut ledger = self.lock();
        let limit = self.settings.connections;
        // Ending more of them would free no descriptor yet.
        if ledger.connections >= self.settings.descriptors() {
            ledger.note_loss("connections");
            return None;
        }
        if ledger.connections >= limit && ledger.count_staying() >= limit {
            let chosen = ledger.choose(now, Pool::Connections, None);
            let chosen = chosen.or_else(|| {
                ledger.choose_running(now, Pool::Connections, peer.ip(), CONNECTION_BYTES)
            });
            match chosen {
                Some(number) => ledger.evict(number, "connections"),
                None => {
                    ledger.note_loss("connections");
                    return None;
                }
            }
        }
        let evicted = CancellationToken::new();
        let holding = Holding::new(HolderKind::Connection, peer.ip(), evicted.clone());
        let number = ledger.insert(holding);
        drop(ledger);
        Some(CallerAccount::new(self, number, evicted))
    }

    /// Charges work for a caller of another process, whose request has this many bytes here. It has no connection, so it
    /// is never ended to make room.
    pub fn begin_task(
        self: &Arc<Self>,
        peer: SocketAddr,
        bytes: usize,
    ) -> Result<Arc<RequestCharge>, BudgetExhausted> {
        let evicted = CancellationToken::new();
        let holding = Holding::new(HolderKind::Task, peer.ip(), evicted.clone());
        let number = self.lock().insert(holding);
        let account = CallerAccount::new(self, number, evicted);
        account.requests.fetch_add(1, Relaxed);
        let charge = RequestCharge::new(account, 0);
        charge.complete();
        charge.add(bytes)?;
        Ok(Arc::new(charge))
    }

    /// Makes room for what a connection holds now. A request that is larger than all room is kept while it is alone.
    fn make_room(&self, number: u64) -> Result<(), BudgetExhausted> {
        let now = Instant::now();
        let mut ledger = self.lock();
        let Some(holding) = ledger.holdings.get(&number) else { return Ok(()) };
        let (size, own, peer) = (holding.size(), holding.request_bytes, holding.peer);
        let pool = Pool::Requests(size);
        let limit = match size {
            RequestSize::Small => self.settings.small_bytes,
            RequestSize::Large => self.settings.large_bytes,
        };
        let address_limit = (limit as f64 * ADDRESS_SHARE) as usize;
        loop {
            let sum = *ledger.request_sum(size);
            // Mostly there is room, and the sum of an address need not be known.
            if sum == own || sum <= address_limit {
                return Ok(());
            }
            let of_address = ledger.holdings.values().filter(|holding| holding.peer == peer);
            let of_address: usize = of_address.map(|holding| holding.bytes_in(pool)).sum();
            let only = match (of_address > address_limit, sum > limit) {
                (false, false) => return Ok(()),
                (true, _) => Some(peer),
                (false, true) => None,
            };
            let mut chosen = ledger.choose(now, pool, only).filter(|chosen| *chosen != number);
            if chosen.is_none() && only.is_none() {
                chosen = ledger.choose_running(now, pool, peer, 0);
            }
            match chosen {
                Some(chosen) => ledger.evict(chosen, "requests"),
                None => {
                    ledger.note_loss("requests");
                    return Err(BudgetExhausted);
                }
            }
        }
    }

    /// Takes room for an answer if there is any. Connections whose callers do not read are ended for it.
    fn try_reserve_answer(&self, number: u64, bytes: usize) -> bool {
        let now = Instant::now();
        let limit = match bytes <= SMALL_REQUEST_BYTES {
            true => self.settings.answer_bytes,
            false => self.settings.answer_bytes - self.settings.answer_bytes / SMALL_ANSWER_DIVISOR,
        };
        let mut ledger = self.lock();
        while ledger.answer_bytes > 0 && ledger.answer_bytes + bytes > limit {
            match ledger.choose(now, Pool::Answers, None) {
                Some(chosen) => ledger.evict(chosen, "answers"),
                None => return false,
            }
        }
        ledger.change(number, |holding| holding.reserved_bytes += bytes);
        true
    }
}

/// The account of one connection. Dropping the last clone gives everything back.
#[derive(Debug)]
pub struct CallerAccount {
    budget: Arc<CallerBudget>,
    number: u64,
    evicted: CancellationToken,
    /// Bytes that have arrived of a request's head. Zero while there is a request.
    head_bytes: AtomicUsize,
    /// Number of requests without an answer.
    requests: AtomicUsize,
    progress: ExchangeProgress,
    /// Set if several requests share the connection. Their heads are charged when they are complete.
    multiplexed: AtomicBool,
}

impl CallerAccount {
    fn new(budget: &Arc<CallerBudget>, number: u64, evicted: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            budget: Arc::clone(budget),
            number,
            evicted,
            head_bytes: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            progress: ExchangeProgress::default(),
            multiplexed: AtomicBool::new(false),
        })
    }

    fn change(&self, change: impl FnOnce(&mut Holding)) {
        self.budget.lock().change(self.number, change);
    }

    /// Waits until the connection is to be ended because there is no room.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Waits until the connection must be closed to make room for others. Until then it may send its last answer.
    pub async fn await_end(&self) {
        self.evicted().await;
        // A connection without a request has nothing to send, and one with many holds too much until it has sent all.
        if self.requests.load(Relaxed) > 0 && !self.multiplexed.load(Relaxed) {
            tokio::time::sleep(LAST_ANSWER_TIME).await;
        }
    }

    /// Returns whether a part of a request's head has arrived.
    pub(crate) fn has_partial_head(&self) -> bool {
        self.head_bytes.load(Relaxed) > 0
    }

    /// Notes that bytes have arrived, which belong to a head if there is no request.
    pub(crate) fn note_read(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let is_head = self.requests.load(Relaxed) == 0;
        if bytes == 0 || !is_head || self.multiplexed.load(Relaxed) {
            return Ok(());
        }
        let bytes = self.head_bytes.fetch_add(bytes, Relaxed) + bytes;
        let now = Instant::now();
        self.change(|holding| {
            if holding.request_bytes == 0 {
                holding.since = now;
            }
            holding.request_bytes = buffer_bytes(bytes);
        });
        self.budget.make_room(self.number)
    }

    /// Notes that the head of a request has arrived. What it occupies belongs to the request from now on. For one of
    /// several requests on a connection there may be no room; see [`RequestCharge::admit`].
    pub fn begin_request(self: &Arc<Self>, parts: &Parts) -> Arc<RequestCharge> {
        self.progress.note_head();
        let head_bytes = self.head_bytes.swap(0, Relaxed);
        self.requests.fetch_add(1, Relaxed);
        let mut bytes = buffer_bytes(head_bytes);
        if parts.version == Version::HTTP_2 {
            let is_first = !self.multiplexed.swap(true, Relaxed);
            let connection_bytes = if is_first { MULTIPLEXED_BYTES } else { 0 };
            let fields = parts.headers.iter();
            let head: usize = fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
            let head = head + STREAM_BYTES;
            self.change(|holding| holding.request_bytes += connection_bytes + head);
            bytes += head;
        }
        Arc::new(RequestCharge::new(Arc::clone(self), bytes))
    }

    /// Notes that the request was read to its end and has an answer.
    pub fn end_request(&self) {
        self.progress.note_answer();
    }

    /// Waits until the connection, which speaks HTTP/1.1, is between two requests.
    pub async fn between_requests(&self) {
        self.progress.await_between().await;
    }

    /// Notes that the connection is being closed.
    pub(crate) fn note_shutdown(&self) {
        self.progress.note_shutdown();
    }

    /// Notes that all answers were sent.
    pub(crate) fn end_answers(&self) {
        self.progress.note_flush();
        let now = Instant::now();
        let mut has_freed = false;
        self.change(|holding| {
            if holding.unsent_bytes > 0 {
                holding.unsent_bytes = 0;
                holding.since = now;
                has_freed = true;
            }
        });
        if has_freed {
            self.budget.freed.notify_waiters();
        }
    }
}

/// Returns the size of the buffer that holds this many bytes of a head, in bytes. The buffer of a connection without a
/// request counts as part of the connection.
fn buffer_bytes(bytes: usize) -> usize {
    if bytes > MIN_BUFFER_BYTES { bytes.next_power_of_two() } else { bytes }
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.budget.lock().remove(self.number);
        self.budget.freed.notify_waiters();
    }
}
