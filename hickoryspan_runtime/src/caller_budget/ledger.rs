//! What each connection of the callers of a process occupies, and the choice of the one to end.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use super::CONNECTION_BYTES;

/// Largest size in bytes of a request that counts as small. Small requests have room of their own.
pub(super) const SMALL_REQUEST_BYTES: usize = 16 * 1024;
/// Time in which a caller may read an answer before its connection is ended for others. An answer that has just come would
/// otherwise be lost to the next one before it is sent.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Time after which a request that runs may be ended for another caller. Few requests take so long.
const RUNNING_GRACE: Duration = Duration::from_secs(1);
/// How many times as much as another address an address must occupy for its running requests to be ended for that one.
const RUNNING_FACTOR: usize = 2;
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The kinds of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Connections,
    Requests(RequestSize),
    Answers,
}

/// Small requests have room of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestSize {
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

/// For whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HolderKind {
    /// A connection of a caller.
    Connection,
    /// Work for a caller of another process, which has no connection here.
    Task,
}

/// What one connection occupies.
#[derive(Debug)]
pub(super) struct Holding {
    pub(super) kind: HolderKind,
    pub(super) peer: IpAddr,
    /// Bytes of requests, also of incomplete ones.
    pub(super) request_bytes: usize,
    /// Bytes of answers that targets send or have sent.
    pub(super) reserved_bytes: usize,
    /// Bytes of answers that the caller has not read.
    pub(super) unsent_bytes: usize,
    /// What a connection that is being ended held, until its task drops it.
    pub(super) ending_bytes: usize,
    /// Number of complete requests without an answer. A connection with any is not ended.
    pub(super) running: usize,
    /// Start of the incomplete request, of the answer or of the idle time.
    pub(super) since: Instant,
    pub(super) evicted: CancellationToken,
}

impl Holding {
    /// Creates a holding that has nothing yet.
    pub(super) fn new(kind: HolderKind, peer: IpAddr, evicted: CancellationToken) -> Self {
        Self {
            kind,
            peer,
            request_bytes: 0,
            reserved_bytes: 0,
            unsent_bytes: 0,
            ending_bytes: 0,
            running: 0,
            since: Instant::now(),
            evicted,
        }
    }

    pub(super) fn size(&self) -> RequestSize {
        match self.request_bytes <= SMALL_REQUEST_BYTES {
            true => RequestSize::Small,
            false => RequestSize::Large,
        }
    }

    pub(super) fn bytes_in(&self, pool: Pool) -> usize {
        match pool {
            Pool::Connections if self.kind == HolderKind::Task => 0,
            Pool::Connections => CONNECTION_BYTES,
            Pool::Answers => self.answer_bytes(),
            Pool::Requests(size) if size == self.size() => self.request_bytes,
            Pool::Requests(_) => 0,
        }
    }

    fn answer_bytes(&self) -> usize {
        self.reserved_bytes + self.unsent_bytes
    }

    pub(super) fn clear(&mut self) {
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

#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) holdings: HashMap<u64, Holding>,
    /// Number of connections among the holdings.
    pub(super) connections: usize,
    next_number: u64,
    pub(super) small_bytes: usize,
    pub(super) large_bytes: usize,
    pub(super) answer_bytes: usize,
    pub(super) ending_bytes: usize,
    pub(super) logged_at: Option<Instant>,
    pub(super) unlogged: u64,
}

impl Ledger {
    pub(super) fn request_sum(&mut self, size: RequestSize) -> &mut usize {
        match size {
            RequestSize::Small => &mut self.small_bytes,
            RequestSize::Large => &mut self.large_bytes,
        }
    }

    /// Changes a holding and keeps the sums.
    pub(super) fn change(&mut self, number: u64, change: impl FnOnce(&mut Holding)) {
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

    /// Chooses the connection to end for room in a pool, of those without a complete request. Only connections of `only`
    /// are considered, if it is given.
    pub(super) fn choose(&self, now: Instant, pool: Pool, only: Option<IpAddr>) -> Option<u64> {
        self.choose_of(now, pool, |holding| {
            holding.is_evictable()
                && (pool != Pool::Answers
                    || now.saturating_duration_since(holding.since) >= ANSWER_GRACE)
                && only.is_none_or(|only| only == holding.peer)
        })
    }

    /// Chooses the connection to end for room in a pool, of those whose requests have run for long. Only connections of
    /// addresses that occupy far more than `newcomer` are considered, so that callers do not take turns in ending each
    /// other. `further_bytes` are what the newcomer needs beside what it holds.
    pub(super) fn choose_running(
        &self,
        now: Instant,
        pool: Pool,
        newcomer: IpAddr,
        further_bytes: usize,
    ) -> Option<u64> {
        let mut occupied: HashMap<IpAddr, usize> = HashMap::new();
        for holding in self.holdings.values().filter(|holding| !holding.evicted.is_cancelled()) {
            *occupied.entry(holding.peer).or_default() += holding.bytes_in(pool);
        }
        let own = occupied.get(&newcomer).copied().unwrap_or_default() + further_bytes;
        self.choose_of(now, pool, |holding| {
            holding.kind == HolderKind::Connection
                && holding.running > 0
                && !holding.evicted.is_cancelled()
                && now.saturating_duration_since(holding.since) >= RUNNING_GRACE
                && holding.peer != newcomer
                && occupied[&holding.peer] >= own * RUNNING_FACTOR
        })
    }

    /// Chooses one of the connections that may be ended: of the address that has occupied most for the longest time, the
    /// one that has done so itself.
    fn choose_of(
        &self,
        now: Instant,
        pool: Pool,
        may_end: impl Fn(&Holding) -> bool,
    ) -> Option<u64> {
        let is_candidate = |holding: &&Holding| holding.bytes_in(pool) > 0 && may_end(holding);
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

    /// Adds a holding and returns its number.
    pub(super) fn insert(&mut self, holding: Holding) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.connections += usize::from(holding.kind == HolderKind::Connection);
        self.holdings.insert(number, holding);
        number
    }

    /// Removes a holding with all that it has.
    pub(super) fn remove(&mut self, number: u64) {
        self.change(number, Holding::clear);
        let removed = self.holdings.remove(&number);
        let is_connection = removed.is_some_and(|holding| holding.kind == HolderKind::Connection);
        self.connections -= usize::from(is_connection);
    }

    /// Returns the number of connections that are not being ended.
    pub(super) fn count_staying(&self) -> usize {
        let stays = |holding: &&Holding| {
            holding.kind == HolderKind::Connection && !holding.evicted.is_cancelled()
        };
        self.holdings.values().filter(stays).count()
    }

    /// Ends a connection. What it occupies is free for others as soon as its task has dropped it; see
    /// [`RequestCharge::await_room`](super::RequestCharge::await_room).
    pub(super) fn evict(&mut self, number: u64, cause: &'static str) {
        self.change(number, |holding| {
            let ending_bytes = holding.request_bytes + holding.answer_bytes();
            holding.clear();
            holding.ending_bytes = ending_bytes;
            holding.evicted.cancel();
        });
        self.note_loss(cause);
    }

    pub(super) fn note_loss(&mut self, cause: &'static str) {
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
                connections: = self.connections,
                small_request_bytes: = self.small_bytes,
                large_request_bytes: = self.large_bytes,
                answer_bytes: = self.answer_bytes
            }
        );
    }
}
