//! An entry's decision on the requests of accounts with a quota (`docs/design/quotas.md`).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use super::quota::{
    AccountCount, CountingState, IDLE_MEMORY, NOTICE_TIME, PermitAnswer, PermitNumber,
    PermitRequest, ProcessNumber, QuotaBounds, QuotaChange, QuotaCounts, QuotaSettings, host_rank,
};
use super::usage_class::UsageClass;
use super::usage_window::UsageWindow;
use crate::gateway::documents::accounts::AccountQuota;
use crate::gateway::membership::shared_table::ChangeNumber;
use crate::types::{AccountId, MonotonicTime};

/// Time for which a permit that was not used at once is kept.
const STOCK_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which a control host that did not answer in time is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time without a message of a control host that counts after which requests need permits, also those of calm accounts.
/// Hosts report more often, so that either none is reached or this entry does not get to read.
const SILENCE_TIME: Duration = Duration::from_millis(500);
/// Part of its own share that a process may use at its start.
const START_PART: f64 = 0.1;
/// Shortest time between two reports that are sent before they are due.
const MIN_PROMPT_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the need for permits is estimated.
const STOCK_TIME: Duration = Duration::from_millis(400);
/// Largest number of permits that are asked for at once.
const MAX_WANTED: u32 = 64;
/// Latest retry of a request that is refused without an answer of a control host, which may be reached again by then.
const MAX_UNHEARD_DELAY: Duration = Duration::from_secs(1);

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// It may run, and has been counted.
    Admitted,
    /// It needs a permit of this control host.
    Ask(SocketAddr, PermitRequest),
    /// It is beyond the limit.
    Refused {
        /// When the caller may try again.
        retry_after: Duration,
        /// This entry's share of the limit in each window, which is used up.
        share: f64,
    },
}

#[derive(Clone, Debug, Default)]
struct HostState {
    counting: CountingState,
    tight: HashSet<AccountId>,
    has_reported_usage: bool,
    avoided_until: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct StoredPermits {
    count: u32,
    host: SocketAddr,
    expires_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostCount {
    // Permits of the host that requests have used.
    used: u64,
    // Permits of the host that expired.
    expired: u64,
}

/// What an entry may run without a control host, as a token bucket.
#[derive(Clone, Copy, Debug)]
struct OwnBucket {
    level: f64,
    refilled_at: MonotonicTime,
}

impl OwnBucket {
    fn refill(&mut self, now: MonotonicTime, rate: f64, capacity: f64) {
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + earned).min(capacity);
        self.refilled_at = now;
    }
}

#[derive(Debug)]
struct AccountState {
    admitted: u64,
    given_back: u64,
    by_host: BTreeMap<SocketAddr, HostCount>,
    stock: Vec<StoredPermits>,
    window: UsageWindow,
    // Requests that ran without a permit while the account was calm, and since when they are counted.
    free: u32,
    free_since: MonotonicTime,
    // In use since the last request that was calm or had a permit.
    own: Option<OwnBucket>,
    // Rounds the share of this process, from 0 to 1.
    phase: f64,
    used_at: MonotonicTime,
    changed: ChangeNumber,
}

impl AccountState {
    fn drop_stock(&mut self, keep: impl Fn(&StoredPermits) -> bool) -> bool {
        let before = self.stock.len();
        for permits in self.stock.iter().filter(|permits| !keep(permits)) {
            self.by_host.entry(permits.host).or_default().expired += u64::from(permits.count);
        }
        self.stock.retain(keep);
        self.stock.len() < before
    }

    fn take_stored(&mut self) -> bool {
        let Some(permits) = self.stock.last_mut() else { return false };
        permits.count -= 1;
        self.by_host.entry(permits.host).or_default().used += 1;
        if permits.count == 0 {
            self.stock.pop();
        }
        true
    }
}

/// Decides on the requests of accounts with a quota that arrive at this entry.
#[derive(Debug)]
pub struct QuotaGate {
    settings: QuotaSettings,
    process: ProcessNumber,
    started_at: MonotonicTime,
    entries: u32,
    hosts: BTreeMap<SocketAddr, HostState>,
    // The usual rates that each control host has reported. They are needed most when no host is linked any more.
    usage: BTreeMap<SocketAddr, HashMap<AccountId, UsageClass>>,
    // The accounts that were tight when the last control host that counts was lost.
    last_tight: HashSet<AccountId>,
    // When a control host that counts was last heard.
    heard_at: MonotonicTime,
    accounts: HashMap<AccountId, AccountState>,
    newest: ChangeNumber,
    next_number: u64,
    // Whether a request was admitted that other hosts should learn of soon.
    report_wanted: bool,
    prompted_at: Option<MonotonicTime>,
    generator: ChaCha12Rng,
}

impl QuotaGate {
    /// Creates the gate of a process that starts now.
    pub fn new(now: MonotonicTime, settings: QuotaSettings, mut generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            process: ProcessNumber(generator.random()),
            started_at: now,
            entries: 1,
            hosts: BTreeMap::new(),
            usage: BTreeMap::new(),
            last_tight: HashSet::new(),
            heard_at: now,
            accounts: HashMap::new(),
            newest: ChangeNumber::default(),
            next_number: 0,
            report_wanted: false,
            prompted_at: None,
            generator,
        }
    }

    /// Sets the number of entries, among which a limit is divided as long as no control host answers.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Applies what a control host reports of its count.
    pub fn apply(&mut self, from: SocketAddr, change: QuotaChange) {
        if change.counting == CountingState::Isolated {
            self.keep_tight(from);
        }
        let host = self.hosts.entry(from).or_default();
        if change.counting == CountingState::Complete {
            let usage = self.usage.entry(from).or_default();
            if !std::mem::replace(&mut host.has_reported_usage, true) {
                usage.clear();
            }
            usage.extend(change.usage.into_iter().map(|usage| (usage.account, usage.class)));
            // What hosts that are gone have reported is needed only until another one reports.
            let hosts = &self.hosts;
            self.usage.retain(|host, _| hosts.contains_key(host));
        }
        let host = self.hosts.entry(from).or_default();
        host.counting = change.counting;
        for account in &change.calmed {
            host.tight.remove(account);
        }
        host.tight.extend(change.tightened);
    }

    /// Keeps the list of tight accounts if this host is the last one that counts.
    fn keep_tight(&mut self, host: SocketAddr) {
        let mut counting = self.counting_hosts();
        let is_last = counting.next().is_some_and(|(first, _)| first == host);
        if is_last && counting.next().is_none() {
            drop(counting);
            self.last_tight =
                self.hosts.get(&host).map(|host| host.tight.clone()).unwrap_or_default();
        }
    }

    fn is_tight(&self, account: &AccountId) -> bool {
        let mut hosts = self.counting_hosts().peekable();
        match hosts.peek() {
            Some(_) => hosts.any(|(_, host)| host.tight.contains(account)),
            None => self.last_tight.contains(account),
        }
    }

    /// Records that a control host has been heard.
    pub fn note_heard(&mut self, now: MonotonicTime, from: SocketAddr) {
        if self.counting_hosts().any(|(host, _)| host == from) {
            self.heard_at = now;
        }
    }

    /// Returns the highest usual rate of an account; `None` if no control host has reported any.
    fn usual_rate(&self, account: &AccountId) -> Option<f64> {
        let class = |usage: &HashMap<AccountId, UsageClass>| {
            usage.get(account).copied().unwrap_or_default()
        };
        self.usage.values().map(class).max().map(UsageClass::highest_rate)
    }

    /// Forgets a control host whose link was lost, and its permits.
    pub fn remove_host(&mut self, from: SocketAddr) {
        self.keep_tight(from);
        self.hosts.remove(&from);
        self.drop_stock(|permits| permits.host != from);
    }

    /// Drops permits that were not used in time, which are returned with the next report, and the counts of accounts that
    /// have not sent for long.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.drop_stock(|permits| now < permits.expires_at);
        self.accounts.retain(|_, state| now.since(state.used_at) < IDLE_MEMORY);
    }

    fn drop_stock(&mut self, keep: impl Fn(&StoredPermits) -> bool) {
        for state in self.accounts.values_mut() {
            if state.drop_stock(&keep) {
                self.newest.0 += 1;
                state.changed = self.newest;
            }
        }
    }

    /// Stores the permits of an answer. The requests that wait for them use [`Self::decide`] again.
    pub fn add_permits(&mut self, now: MonotonicTime, from: SocketAddr, answer: &PermitAnswer) {
        if answer.permits == 0 {
            return;
        }
        let expires_at = now + STOCK_LIFETIME;
        let permits = StoredPermits { count: answer.permits, host: from, expires_at };
        self.state(now, &answer.account).stock.push(permits);
    }

    /// Records that a control host did not answer in time.
    pub fn note_timeout(&mut self, now: MonotonicTime, host: SocketAddr) {
        if let Some(host) = self.hosts.get_mut(&host) {
            host.avoided_until = Some(now + AVOID_TIME);
        }
    }

    fn state(&mut self, now: MonotonicTime, account: &AccountId) -> &mut AccountState {
        if !self.accounts.contains_key(account) {
            let state = AccountState {
                admitted: 0,
                given_back: 0,
                by_host: BTreeMap::new(),
                stock: Vec::new(),
                own: None,
                free: 0,
                free_since: MonotonicTime::default(),
                window: UsageWindow::default(),
                phase: self.generator.random(),
                used_at: now,
                changed: ChangeNumber::default(),
            };
            self.accounts.insert(account.clone(), state);
        }
        // The block above inserts a missing state.
        let state = self.accounts.get_mut(account).expect("the state exists");
        state.used_at = now;
        state
    }

    /// Returns the control hosts that count the requests of all entries.
    fn counting_hosts(&self) -> impl Iterator<Item = (SocketAddr, &HostState)> {
        let best = self.hosts.values().map(|host| host.counting).max().unwrap_or_default();
        let counts = move |host: &HostState| {
            host.counting == best && host.counting != CountingState::Isolated
        };
        self.hosts
            .iter()
            .filter(move |(_, host)| counts(host))
            .map(|(address, host)| (*address, host))
    }

    /// Returns whether any control host counts the requests of all entries.
    pub fn is_counted(&self) -> bool {
        self.counting_hosts().next().is_some()
    }

    /// Decides on a request of a caller.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        account: &AccountId,
        quota: &AccountQuota,
    ) -> QuotaVerdict {
        if self.counting_hosts().next().is_none() {
            return self.decide_alone(now, account, quota);
        }
        let bounds = QuotaBounds::new(&self.settings, quota);
        if !self.is_tight(account) && self.take_free(now, account, &bounds) {
            self.report_wanted |= bounds.is_prompt;
            self.count_admitted(now, account);
            self.state(now, account).own = None;
            return QuotaVerdict::Admitted;
        }
        if self.take_stored(now, account) {
            return QuotaVerdict::Admitted;
        }
        let usable = self
            .counting_hosts()
            .filter(|(_, host)| host.avoided_until.is_none_or(|until| now >= until));
        match usable.map(|(address, _)| address).max_by_key(|host| host_rank(account, *host)) {
            Some(host) => QuotaVerdict::Ask(host, self.permit_request(now, account)),
            None => self.decide_alone(now, account, quota),
        }
    }

    /// Decides on a request without a control host: the entry's own share of the limit in each window.
    pub fn decide_alone(
        &mut self,
        now: MonotonicTime,
        account: &AccountId,
        quota: &AccountQuota,
    ) -> QuotaVerdict {
        let bounds = QuotaBounds::new(&self.settings, quota);
        let window = self.settings.window;
        // The process before this one may have used the share of the last window.
        let started = now.since(self.started_at).as_secs_f64() / window.as_secs_f64();
        let usual = self.usual_rate(account);
        let part = started.clamp(START_PART, 1.0);
        let share = bounds.unheard_share(self.entries, usual) * part;
        let rate = bounds.rate / f64::from(self.entries.max(1));
        // A tight account has just used what it may.
        let start = if self.is_tight(account) { 0.0 } else { share };
        let jitter = self.generator.random_range(1.0..1.25);
        let state = self.state(now, account);
        let own = state.own.get_or_insert(OwnBucket { level: start, refilled_at: now });
        own.refill(now, rate, share);
        let has_room = state.window.count(now, window) + state.phase < share;
        if has_room && own.level > state.phase {
            own.level -= 1.0;
            self.report_wanted = true;
            self.count_admitted(now, account);
            return QuotaVerdict::Admitted;
        }
        let delay = state.window.time_to_room(now, window);
        let retry_after = if delay.is_zero() { window } else { delay };
        let retry_after = retry_after.min(MAX_UNHEARD_DELAY).mul_f64(jitter);
        QuotaVerdict::Refused { retry_after, share }
    }

    /// Returns whether a request of a calm account may run without a permit: if few have run since a control host was
    /// heard that may have known of them.
    fn take_free(&mut self, now: MonotonicTime, account: &AccountId, bounds: &QuotaBounds) -> bool {
        let share = bounds.free_share(self.entries);
        let heard_at = self.heard_at;
        if now.since(heard_at) > SILENCE_TIME {
            return false;
        }
        let state = self.state(now, account);
        if heard_at.since(state.free_since) >= NOTICE_TIME {
            state.free_since = now;
            state.free = 0;
        }
        state.free += 1;
        f64::from(state.free) <= share
    }

    fn count_admitted(&mut self, now: MonotonicTime, account: &AccountId) {
        self.newest.0 += 1;
        let newest = self.newest;
        let state = self.state(now, account);
        state.admitted += 1;
        state.window.add(now, 1.0);
        state.changed = newest;
    }

    fn take_stored(&mut self, now: MonotonicTime, account: &AccountId) -> bool {
        let state = self.state(now, account);
        // Expired permits that are dropped here are returned with the count of this request or the next one.
        state.drop_stock(|permits| now < permits.expires_at);
        let is_taken = state.take_stored();
        if is_taken {
            state.own = None;
            self.count_admitted(now, account);
        }
        is_taken
    }

    fn permit_request(&mut self, now: MonotonicTime, account: &AccountId) -> PermitRequest {
        self.next_number += 1;
        let number = PermitNumber(self.next_number);
        let window = self.settings.window;
        let recent = self.state(now, account).window.count(now, window);
        let soon = recent * STOCK_TIME.as_secs_f64() / window.as_secs_f64();
        let wanted = (soon as u32).saturating_add(1).min(MAX_WANTED);
        PermitRequest { number, account: account.clone(), wanted }
    }

    /// Takes back an admitted request that was refused before a target got it.
    pub fn give_back(&mut self, now: MonotonicTime, account: &AccountId) {
        self.newest.0 += 1;
        let newest = self.newest;
        let state = self.state(now, account);
        state.given_back += 1;
        state.window.take_back(1.0);
        state.changed = newest;
    }

    /// Returns whether the control hosts should get a report now.
    pub fn take_prompt(&mut self, now: MonotonicTime) -> bool {
        let is_early = self
            .prompted_at
            .is_some_and(|prompted_at| now.since(prompted_at) < MIN_PROMPT_INTERVAL);
        if !self.report_wanted || is_early {
            return false;
        }
        self.report_wanted = false;
        self.prompted_at = Some(now);
        true
    }

    /// Returns whether any request has been counted.
    pub fn has_counts(&self) -> bool {
        self.newest != ChangeNumber::default()
    }

    /// Returns the position of the last change.
    pub fn newest(&self) -> ChangeNumber {
        self.newest
    }

    /// Returns the counts that changed after the change `known`, for one control host; `None` if there are none.
    pub fn counts_since(
        &mut self,
        now: MonotonicTime,
        host: SocketAddr,
        known: ChangeNumber,
    ) -> Option<QuotaCounts> {
        if known == self.newest {
            return None;
        }
        let window = self.settings.window;
        let changed = self.accounts.iter_mut().filter(|(_, state)| state.changed > known);
        let to_count = |(account, state): (&AccountId, &mut AccountState)| {
            let by_host = state.by_host.get(&host).copied().unwrap_or_default();
            AccountCount {
                account: account.clone(),
                admitted: state.admitted - by_host.used,
                recent: state.window.count(now, window) as u64,
                returned: state.given_back + by_host.expired,
            }
        };
        let counts: Vec<AccountCount> = changed.map(to_count).collect();
        let age = now.since(self.started_at);
        (!counts.is_empty()).then_some(QuotaCounts { process: self.process, age, counts })
    }
}
