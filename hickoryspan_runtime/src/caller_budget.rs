//! The memory and the connections that the callers of a process may occupy together; see
//! docs/design/caller_memory.md.
//!
//! Bytes are charged as they arrive. If there is no room left, connections without a complete request are ended: first
//! those of the address that has held most for the longest time, and of these the one that has done so itself.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Version;
use http::request::Parts;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::caller_stream::RECEIVE_BUFFER_BYTES;

/// Largest size in bytes of a request that counts as small. Small requests have room of their own.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;
/// Size of the buffer that each connection has, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Memory of a connection apart from its requests and answers, in bytes: its buffer and that of the kernel, whose unread
/// bytes count as memory of the process.
const CONNECTION_BYTES: usize = MIN_BUFFER_BYTES + RECEIVE_BUFFER_BYTES as usize;
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
/// Descriptors that are not used for connections of callers: files, and what the platform reserves for them.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that callers may occupy. The rest is for targets, links and the store.
const DESCRIPTOR_SHARE: f64 = 2.0 / 3.0;
/// How long a connection that is ended to make room may send the answer to its last request.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time in which a caller may read an answer before its connection is ended for others. An answer that has just come would
/// otherwise be lost to the next one before it is sent.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Part of the room for answers that is kept for answers as small as small requests.
const SMALL_ANSWER_DIVISOR: usize = 8;
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Memory of a process whose settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 1024 * 1024 * 1024;
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

/// The kinds of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pool {
    Connections,
    Requests(RequestSize),
    Answers,
}

/// Small requests have room of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestSize {
    Small,
    Large,
}

/// What decides whose connection is ended. Many idle connections of one address go before an old one of another.
#[derive(Clone, Copy, Debug, Default)]
struct AddressRank {
    connections: usize,
    occupancy: f64,
}

impl AddressRank {
    fn compare(&self, other: &Self) -> Ordering {
        let connections = self.connections.cmp(&other.connections);
        connections.then(self.occupancy.total_cmp(&other.occupancy))
    }
}

/// What one connection occupies.
#[derive(Debug)]
struct Holding {
    peer: IpAddr,
    /// Bytes of requests, also of incomplete ones.
    request_bytes: usize,
    /// Bytes of answers that targets send or have sent.
    reserved_bytes: usize,
    /// Bytes of answers that the caller has not read.
    unsent_bytes: usize,
    /// What a connection that is being ended held, until its task drops it.
    ending_bytes: usize,
    /// Number of complete requests without an answer. A connection with any is not ended.
    running: usize,
    /// Start of the incomplete request, of the answer or of the idle time.
    since: Instant,
    evicted: CancellationToken,
}

impl Holding {
    fn size(&self) -> RequestSize {
        match self.request_bytes <= SMALL_REQUEST_BYTES {
            true => RequestSize::Small,
            false => RequestSize::Large,
        }
    }

    fn bytes_in(&self, pool: Pool) -> usize {
        match pool {
            Pool::Connections => CONNECTION_BYTES,
            Pool::Answers => self.answer_bytes(),
            Pool::Requests(size) if size == self.size() => self.request_bytes,
            Pool::Requests(_) => 0,
        }
    }

    fn answer_bytes(&self) -> usize {
        self.reserved_bytes + self.unsent_bytes
    }

    fn clear(&mut self) {
        self.ending_bytes = 0;
        self.request_bytes = 0;
        self.reserved_bytes = 0;
        self.unsent_bytes = 0;
    }

    fn is_evictable(&self) -> bool {
        self.running == 0 && !self.evicted.is_cancelled()
    }

    /// Bytes times the time for which they have been held. A caller that sends single bytes from time to time does not
    /// lower it.
    fn occupancy(&self, now: Instant, pool: Pool) -> f64 {
        self.bytes_in(pool) as f64
            * now.saturating_duration_since(self.since).as_secs_f64().max(1e-6)
    }
}

#[derive(Debug)]
struct Ledger {
    holdings: HashMap<u64, Holding>,
    next_number: u64,
    small_bytes: usize,
    large_bytes: usize,
    answer_bytes: usize,
    ending_bytes: usize,
    logged_at: Option<Instant>,
    unlogged: u64,
}

impl Ledger {
    fn request_sum(&mut self, size: RequestSize) -> &mut usize {
        match size {
            RequestSize::Small => &mut self.small_bytes,
            RequestSize::Large => &mut self.large_bytes,
        }
    }

    /// Changes a holding and keeps the sums.
    fn change(&mut self, number: u64, change: impl FnOnce(&mut Holding)) {
        let Some(holding) = self.holdings.get_mut(&number) else { return };
        let (size, request_bytes) = (holding.size(), holding.request_bytes);
        let (answer_bytes, ending_bytes) = (holding.answer_bytes(), holding.ending_bytes);
        change(holding);
        let (new_size, new_bytes) = (holding.size(), holding.request_bytes);
        let (new_answer_bytes, new_ending_bytes) = (holding.answer_bytes(), holding.ending_bytes);
        *self.request_sum(size) -= request_bytes;
        *self.request_sum(new_size) += new_bytes;
        self.answer_bytes = self.answer_bytes - answer_bytes + new_answer_bytes;
        self.ending_bytes = self.ending_bytes - ending_bytes + new_ending_bytes;
    }

    /// Chooses the connection to end for room in a pool: of the address that has occupied most for the longest time, the
    /// one that has done so itself. Only connections of `only` are considered, if it is given.
    fn choose(&self, now: Instant, pool: Pool, only: Option<IpAddr>) -> Option<u64> {
        let is_candidate = |holding: &&Holding| {
            holding.is_evictable()
                && (pool != Pool::Answers
                    || now.saturating_duration_since(holding.since) >= ANSWER_GRACE)
                && holding.bytes_in(pool) > 0
                && only.is_none_or(|only| only == holding.peer)
        };
        let mut addresses: HashMap<IpAddr, AddressRank> = HashMap::new();
        for holding in self.holdings.values().filter(is_candidate) {
            let rank = addresses.entry(holding.peer).or_default();
            rank.connections += usize::from(pool == Pool::Connections);
            rank.occupancy += holding.occupancy(now, pool);
        }
        let first = addresses.into_iter().max_by(|(_, left), (_, right)| left.compare(right));
        let (first, _) = first?;
        let of_address = self.holdings.iter().filter(|(_, holding)| holding.peer == first);
        let of_address = of_address.filter(|(_, holding)| is_candidate(holding));
        let chosen = of_address.max_by(|(_, left), (_, right)| {
            left.occupancy(now, pool).total_cmp(&right.occupancy(now, pool))
        });
        chosen.map(|(number, _)| *number)
    }

    /// Returns the number of connections that are not being ended.
    fn count_staying(&self) -> usize {
        self.holdings.values().filter(|holding| !holding.evicted.is_cancelled()).count()
    }

    /// Ends a connection. What it occupies is free for others as soon as its task has dropped it; see
    /// [`RequestCharge::await_room`].
    fn evict(&mut self, number: u64, cause: &'static str) {
        self.change(number, |holding| {
            let ending_bytes = holding.request_bytes + holding.answer_bytes();
            holding.clear();
            holding.ending_bytes = ending_bytes;
            holding.evicted.cancel();
        });
        self.note_loss(cause);
    }

    fn note_loss(&mut self, cause: &'static str) {
        metrics::counter!("hickoryspan_callers_ended_total", "cause" => cause).increment(1);
        let now = Instant::now();
        self.unlogged += 1;
        if self.logged_at.is_some_and(|logged| now.duration_since(logged) < LOG_INTERVAL) {
            return;
        }
        self.logged_at = Some(now);
        spdlog::warn!(
            "callers ended or refused for lack of room",
            kv: {
                cause: = cause,
                count: = std::mem::take(&mut self.unlogged),
                connections: = self.holdings.len(),
                small_request_bytes: = self.small_bytes,
                large_request_bytes: = self.large_bytes,
                answer_bytes: = self.answer_bytes
            }
        );
    }
}

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
        let ledger = Ledger {
            holdings: HashMap::new(),
            next_number: 0,
            small_bytes: 0,
            large_bytes: 0,
            answer_bytes: 0,
            ending_bytes: 0,
            logged_at: None,
            unlogged: 0,
        };
        Arc::new(Self { settings, ledger: Mutex::new(ledger), freed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections, also of those that are being ended.
    pub fn connections(&self) -> usize {
        self.lock().holdings.len()
    }

    /// Admits a connection. If there are too many, another one without a complete request is ended. `None` if there is
    /// none, or if connections that are being ended still take too much room; the new one is then to be closed.
    pub fn open(self: &Arc<Self>, peer: SocketAddr) -> Option<Arc<CallerAccount>> {
        let now = Instant::now();
        let mut ledger = self.lock();
        let limit = self.settings.connections;
        if ledger.holdings.len() >= limit && ledger.count_staying() >= limit {
            match ledger.choose(now, Pool::Connections, None) {
                Some(number) => ledger.evict(number, "connections"),
                None => {
                    ledger.note_loss("connections");
                    return None;
                }
            }
        }
        // Connections end within moments. Until then they keep their descriptors.
        if ledger.holdings.len() >= limit + (limit / 8).max(1) {
            ledger.note_loss("connections");
            return None;
        }
        let number = ledger.next_number;
        ledger.next_number += 1;
        let evicted = CancellationToken::new();
        ledger.holdings.insert(
            number,
            Holding {
                peer: peer.ip(),
                request_bytes: 0,
                reserved_bytes: 0,
                unsent_bytes: 0,
                ending_bytes: 0,
                running: 0,
                since: now,
                evicted: evicted.clone(),
            },
        );
        drop(ledger);
        Some(Arc::new(CallerAccount {
            budget: Arc::clone(self),
            number,
            evicted,
            head_bytes: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            multiplexed: AtomicBool::new(false),
        }))
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
            match ledger.choose(now, pool, only) {
                Some(chosen) if chosen != number => ledger.evict(chosen, "requests"),
                Some(_) | None => {
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
    /// Set if several requests share the connection. Their heads are charged when they are complete.
    multiplexed: AtomicBool,
}

impl CallerAccount {
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
        // A connection without a request has nothing to send.
        if self.requests.load(Relaxed) > 0 {
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

    /// Notes that the head of a request has arrived. What it occupies belongs to the request from now on.
    pub fn begin_request(self: &Arc<Self>, parts: &Parts) -> Arc<RequestCharge> {
        let head_bytes = self.head_bytes.swap(0, Relaxed);
        self.requests.fetch_add(1, Relaxed);
        let mut bytes = buffer_bytes(head_bytes);
        if parts.version == Version::HTTP_2 {
            self.multiplexed.store(true, Relaxed);
            let fields = parts.headers.iter();
            let head: usize = fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
            self.change(|holding| holding.request_bytes += head);
            bytes += head;
        }
        let state = ChargeState { bytes, reserved_bytes: 0, running: false };
        Arc::new(RequestCharge { account: Arc::clone(self), state: Mutex::new(state) })
    }

    /// Notes that all answers were sent.
    pub(crate) fn end_answers(&self) {
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
        let mut ledger = self.budget.lock();
        ledger.change(self.number, Holding::clear);
        ledger.holdings.remove(&self.number);
        drop(ledger);
        self.budget.freed.notify_waiters();
    }
}

#[derive(Debug)]
struct ChargeState {
    bytes: usize,
    reserved_bytes: usize,
    running: bool,
}

/// What one request occupies. It is given back when the charge is dropped.
#[derive(Debug)]
pub struct RequestCharge {
    account: Arc<CallerAccount>,
    state: Mutex<ChargeState>,
}

impl RequestCharge {
    fn lock(&self) -> MutexGuard<'_, ChargeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection is to be ended because there is no room.
    pub async fn evicted(&self) {
        self.account.evicted().await;
    }

    /// Returns whether the connection is being ended because there is no room.
    pub fn is_evicted(&self) -> bool {
        self.account.evicted.is_cancelled()
    }

    /// Charges further bytes of the request.
    pub fn add(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.lock().bytes += bytes;
        self.account.change(|holding| holding.request_bytes += bytes);
        self.account.budget.make_room(self.account.number)
    }

    /// Waits until connections that were ended have dropped most of what they held. Memory for bytes that were charged is
    /// taken only after that.
    pub async fn await_room(&self) {
        let budget = &self.account.budget;
        let most = budget.settings.large_bytes / ENDING_DIVISOR;
        loop {
            let mut freed = std::pin::pin!(budget.freed.notified());
            freed.as_mut().enable();
            if budget.lock().ending_bytes <= most {
                return;
            }
            freed.await;
        }
    }

    /// Notes that the request is complete. Its connection is not ended any more until it has an answer.
    pub fn complete(&self) {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.running, true) {
            self.account.change(|holding| holding.running += 1);
        }
    }

    /// Takes room for an answer of a target, or for a part of one. Waits for room if the request holds no other answer;
    /// otherwise requests could wait for each other.
    pub async fn reserve_answer(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let budget = &self.account.budget;
        loop {
            let mut freed = std::pin::pin!(budget.freed.notified());
            freed.as_mut().enable();
            if budget.try_reserve_answer(self.account.number, bytes) {
                self.lock().reserved_bytes += bytes;
                return Ok(());
            }
            if self.lock().reserved_bytes > 0 {
                budget.lock().note_loss("answers");
                return Err(BudgetExhausted);
            }
            // Unread answers may be given up after a while, which nothing announces.
            let _ = tokio::time::timeout(ANSWER_GRACE, freed).await;
        }
    }

    /// Notes that there is an answer of this size, which waits to be sent. The request occupies nothing any more.
    pub fn note_answer(&self, bytes: usize) {
        let now = Instant::now();
        self.give_back(|holding| {
            holding.unsent_bytes += bytes;
            holding.since = now;
        });
    }

    fn give_back(&self, then: impl FnOnce(&mut Holding)) {
        let mut state = self.lock();
        let ChargeState { bytes, reserved_bytes, running } = std::mem::replace(
            &mut *state,
            ChargeState { bytes: 0, reserved_bytes: 0, running: false },
        );
        drop(state);
        self.account.change(|holding| {
            // An evicted connection has given back everything already.
            holding.request_bytes = holding.request_bytes.saturating_sub(bytes);
            holding.reserved_bytes = holding.reserved_bytes.saturating_sub(reserved_bytes);
            holding.running -= usize::from(running);
            holding.ending_bytes = 0;
            then(holding);
        });
        self.account.budget.freed.notify_waiters();
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        self.account.requests.fetch_sub(1, Relaxed);
        self.give_back(|_| {});
    }
}
