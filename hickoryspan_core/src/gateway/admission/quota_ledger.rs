//! A control host's count of the requests of all accounts with a quota (`docs/design/quotas.md`).

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use super::budget::EntryCount;
use super::quota::{
    CountingState, PermitAnswer, PermitRequest, ProcessNumber, QuotaBounds, QuotaChange,
    QuotaCounts, QuotaSettings,
};
use super::usage_window::UsageWindow;
use crate::entry::pacer::RetryPacer;
use crate::gateway::documents::accounts::{AccountQuota, ClientAccount};
use crate::types::{AccountId, MonotonicTime};

/// Time for which this host counts on after it has lost its leader. An election takes less.
const LEADER_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which the shares of entries that are no longer heard are kept for them.
const ENTRY_MEMORY: Duration = Duration::from_secs(30);
/// Time after its last report after which a process of an entry is forgotten.
const PROCESS_MEMORY: Duration = Duration::from_secs(120);
/// Part of the margin that a host which has just started may give out in addition to the rate. It does not know what
/// was used before.
const START_PART: f64 = 1.0 / 3.0;
/// Multiple of the level for tight accounts at which an account is calm again.
const CALM_FACTOR: f64 = 1.5;

#[derive(Debug)]
struct AccountState {
    quota: AccountQuota,
    bounds: QuotaBounds,
    level: f64,
    refilled_at: MonotonicTime,
    window: UsageWindow,
    pacer: RetryPacer,
    tight: bool,
}

impl AccountState {
    fn refill(&mut self, now: MonotonicTime) {
        let earned = self.bounds.rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + earned).min(self.bounds.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn deduct(&mut self, now: MonotonicTime, count: f64) {
        self.refill(now);
        // What exceeds the level stays in the window only: the margin covers it, and callers that keep to the rate
        // from now on should not be refused for it.
        self.level = (self.level - count).max(0.0);
        self.window.add(now, count);
    }

    fn give_back(&mut self, now: MonotonicTime, count: f64) {
        self.refill(now);
        self.level = (self.level + count).min(self.bounds.capacity);
        self.window.take_back(count);
    }

    fn update_tight(&mut self, now: MonotonicTime) {
        self.refill(now);
        let QuotaBounds { tight_below, capacity, .. } = self.bounds;
        let calm_at = (tight_below * CALM_FACTOR).min(capacity);
        self.tight = self.level < if self.tight { calm_at } else { tight_below };
    }

    fn set_quota(&mut self, now: MonotonicTime, settings: &QuotaSettings, quota: AccountQuota) {
        if self.quota == quota {
            return;
        }
        self.refill(now);
        let bounds = QuotaBounds::new(settings, &quota);
        if bounds.most < self.bounds.most {
            // A lower limit holds for the windows that begin from now on.
            self.window = UsageWindow::default();
        }
        let added = (bounds.capacity - self.bounds.capacity).max(0.0);
        self.level = (self.level + added).min(bounds.capacity);
        self.quota = quota;
        self.bounds = bounds;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ReportedCount {
    admitted: u64,
    returned: u64,
}

#[derive(Debug)]
struct ProcessState {
    counts: HashMap<AccountId, ReportedCount>,
    reported_at: MonotonicTime,
}

/// The count of one control host.
#[derive(Debug)]
pub struct QuotaLedger {
    settings: QuotaSettings,
    started_at: MonotonicTime,
    quotas: HashMap<AccountId, AccountQuota>,
    // Accounts without a state have a full bucket.
    accounts: HashMap<AccountId, AccountState>,
    processes: HashMap<ProcessNumber, ProcessState>,
    entries: u32,
    entry_count: EntryCount,
    leader_seen_at: Option<MonotonicTime>,
    told_counting: CountingState,
    told_tight: BTreeSet<AccountId>,
    generator: ChaCha12Rng,
}

impl QuotaLedger {
    /// Creates the ledger of a host that starts now.
    pub fn new(now: MonotonicTime, settings: QuotaSettings, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            started_at: now,
            quotas: HashMap::new(),
            accounts: HashMap::new(),
            processes: HashMap::new(),
            entries: 0,
            entry_count: EntryCount::default(),
            leader_seen_at: None,
            told_counting: CountingState::default(),
            told_tight: BTreeSet::new(),
            generator,
        }
    }

    /// Takes the quotas of the document in force.
    pub fn set_accounts(&mut self, now: MonotonicTime, accounts: &[ClientAccount]) {
        let limited =
            accounts.iter().filter_map(|account| Some((account.account.clone(), account.quota?)));
        self.quotas = limited.collect();
        let (quotas, settings) = (&self.quotas, &self.settings);
        self.accounts.retain(|account, state| match quotas.get(account) {
            Some(quota) => {
                state.set_quota(now, settings, *quota);
                true
            }
            None => false,
        });
    }

    /// Returns whether any account has a quota. Without one, nothing is counted or sent.
    pub fn is_active(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Records how many entries are linked to this host, and whether it knows a leader.
    pub fn note_hosts(&mut self, now: MonotonicTime, entries: u32, has_leader: bool) {
        self.entries = entries;
        self.entry_count.note(now, entries);
        if has_leader {
            self.leader_seen_at = Some(now);
        }
    }

    fn counting(&self, now: MonotonicTime) -> CountingState {
        let is_led = self.leader_seen_at.is_some_and(|seen_at| now.since(seen_at) < LEADER_GRACE);
        match (is_led, now.since(self.started_at) < self.settings.window) {
            (false, _) => CountingState::Isolated,
            (true, true) => CountingState::Fresh,
            (true, false) => CountingState::Complete,
        }
    }

    /// Ensures that the state of an account with a quota exists.
    fn ensure_state(&mut self, now: MonotonicTime, account: &AccountId) {
        let Some(quota) = self.quotas.get(account).filter(|_| !self.accounts.contains_key(account))
        else {
            return;
        };
        let state = self.new_state(now, *quota);
        self.accounts.insert(account.clone(), state);
    }

    fn new_state(&self, now: MonotonicTime, quota: AccountQuota) -> AccountState {
        let bounds = QuotaBounds::new(&self.settings, &quota);
        let since_start = now.since(self.started_at);
        let unknown = self.settings.window.saturating_sub(since_start);
        let (level, window) = if unknown.is_zero() {
            (bounds.capacity, UsageWindow::default())
        } else {
            let start = (bounds.margin * START_PART).max(1.0);
            let earned = bounds.rate * since_start.as_secs_f64();
            (start + earned, UsageWindow::filled(self.started_at, unknown, bounds.rate))
        };
        AccountState {
            quota,
            bounds,
            level: level.min(bounds.capacity),
            refilled_at: now,
            window,
            pacer: RetryPacer::default(),
            tight: false,
        }
    }

    /// Counts what a process of an entry reports.
    pub fn note_counts(&mut self, now: MonotonicTime, report: QuotaCounts) {
        let is_known = self.processes.contains_key(&report.process);
        // What an older process has admitted before this host started is not known to be recent.
        let is_older = report.age >= now.since(self.started_at);
        let process = self.processes.entry(report.process);
        let process =
            process.or_insert_with(|| ProcessState { counts: HashMap::new(), reported_at: now });
        process.reported_at = now;
        let mut changes = Vec::new();
        for count in report.counts {
            let known = process.counts.entry(count.account.clone()).or_default();
            let admitted = count.admitted.saturating_sub(known.admitted);
            let returned = count.returned.saturating_sub(known.returned);
            *known = ReportedCount { admitted: count.admitted, returned: count.returned };
            if is_known || !is_older {
                changes.push((count.account, admitted, returned));
            }
        }
        for (account, admitted, returned) in changes {
            self.ensure_state(now, &account);
            let Some(state) = self.accounts.get_mut(&account) else { continue };
            state.deduct(now, admitted as f64);
            state.give_back(now, returned as f64);
            state.update_tight(now);
        }
    }

    /// Answers an entry that needs permits.
    pub fn grant(&mut self, now: MonotonicTime, request: &PermitRequest) -> PermitAnswer {
        let PermitRequest { number, account, wanted } = request.clone();
        let entries = self.entries.max(1);
        let window = self.settings.window;
        let lost = self.entry_count.highest(now, ENTRY_MEMORY).max(entries) - entries;
        self.ensure_state(now, &account);
        let Some(state) = self.accounts.get_mut(&account) else {
            // The entry has another document; the one in force here sets no limit.
            let permits = wanted.max(1);
            let level = f64::from(permits);
            return PermitAnswer { number, account, permits, retry_after: Duration::ZERO, level };
        };
        state.refill(now);
        let reserve = state.bounds.unheard_share(entries + lost) * f64::from(lost);
        let room = state.bounds.most - reserve - state.window.count(now, window);
        let available = state.level.min(room);
        let level = available;
        let answer = if available >= 1.0 {
            // What one entry keeps in stock is missing elsewhere.
            let stock = (available / (2.0 * f64::from(entries))).floor().max(1.0);
            let permits = (stock as u32).min(wanted.max(1));
            state.deduct(now, f64::from(permits));
            PermitAnswer { number, account, permits, retry_after: Duration::ZERO, level }
        } else {
            let missing = 1.0 - state.level;
            let rate = state.bounds.rate;
            let delay = state.pacer.retry_delay(now, 1.0, missing, rate, &mut self.generator);
            let blocked = room < 1.0;
            let retry_after =
                if blocked { delay.max(state.window.time_to_room(now, window)) } else { delay };
            PermitAnswer { number, account, permits: 0, retry_after, level }
        };
        state.update_tight(now);
        answer
    }

    /// Returns what has changed since the last call, for the entries; `None` if nothing has.
    pub fn take_change(&mut self, now: MonotonicTime) -> Option<QuotaChange> {
        for state in self.accounts.values_mut() {
            state.update_tight(now);
        }
        let counting = self.counting(now);
        let states = self.accounts.iter();
        let tight: BTreeSet<AccountId> =
            states.filter(|(_, state)| state.tight).map(|(account, _)| account.clone()).collect();
        if counting == self.told_counting && tight == self.told_tight {
            return None;
        }
        let change = QuotaChange {
            counting,
            tightened: tight.difference(&self.told_tight).cloned().collect(),
            calmed: self.told_tight.difference(&tight).cloned().collect(),
        };
        self.told_counting = counting;
        self.told_tight = tight;
        Some(change)
    }

    /// Returns what all entries have been told, for a new link.
    pub fn told(&self) -> QuotaChange {
        QuotaChange {
            counting: self.told_counting,
            tightened: self.told_tight.iter().cloned().collect(),
            calmed: Vec::new(),
        }
    }

    /// Returns whether an account became tight since entries were told, which they should learn at once.
    pub fn has_tightened(&self) -> bool {
        self.accounts
            .iter()
            .any(|(account, state)| state.tight && !self.told_tight.contains(account))
    }

    /// Forgets processes that are gone, and accounts with a full bucket and an empty window.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.processes.retain(|_, process| now.since(process.reported_at) < PROCESS_MEMORY);
        let window = self.settings.window;
        if now.since(self.started_at) < window {
            return;
        }
        self.accounts.retain(|_, state| {
            state.refill(now);
            state.level < state.bounds.capacity || state.window.count(now, window) > 0.0
        });
    }
}
