//! A control host's count of the requests of all accounts with a quota (`docs/design/quotas.md`).

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use super::budget::EntryCount;
use super::demand_meter::DemandMeter;
use super::quota::{
    AccountCount, AccountUsage, CountingState, IDLE_MEMORY, PermitAnswer, PermitRequest,
    ProcessNumber, QuotaBounds, QuotaChange, QuotaCounts, QuotaSettings,
};
use super::usage_class::UsageClass;
use super::usage_window::UsageWindow;
use crate::entry::pacer::RetryPacer;
use crate::gateway::documents::accounts::{AccountQuota, ClientAccount};
use crate::types::{AccountId, MonotonicTime};

/// Time after which a request counts half in the usual rate of an account.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(20);
/// Time for which the shares of entries that are no longer heard are kept for them.
const ENTRY_MEMORY: Duration = Duration::from_secs(30);
/// Time after its last report after which a process of an entry is forgotten.
const PROCESS_MEMORY: Duration = Duration::from_secs(120);
/// Time after its start, or after it has found a leader again, in which entries link to this host and report what they
/// have admitted.
const LINK_TIME: Duration = Duration::from_millis(400);
/// Part of the entries that this host must hear to count before that time.
const LINKED_PART: f64 = 0.8;
/// Part of the entries of the last window that this host must hear to count at all. Below it, the others are more likely to
/// hear another host.
const ATTACHED_PART: f64 = 0.5;
/// Part of the margin that a host which has just started may give out in addition to the rate. It does not know what
/// was used before.
const START_PART: f64 = 1.0 / 3.0;
/// Multiple of the level for tight accounts at which an account is calm again.
const CALM_FACTOR: f64 = 1.5;

impl ProcessState {
    fn note(&mut self, now: MonotonicTime, count: AccountCount) -> CountChange {
        let AccountCount { account, admitted, recent, returned } = count;
        let reported = ReportedCount { admitted, returned, reported_at: now };
        let known = self.counts.insert(account.clone(), reported);
        // An entry that has not used an account for long counts from zero again.
        let known = known.filter(|known| known.admitted <= admitted && known.returned <= returned);
        let (new, returned) = match known {
            Some(known) => (admitted - known.admitted, returned - known.returned),
            // It is not known which requests were returned before this host heard of them.
            None => (admitted, 0),
        };
        // The first report of an older process, and the first one after a cut, contain requests that have left the window.
        CountChange { account, recent: new.min(recent), returned }
    }
}

/// Which entries a control host hears.
#[derive(Clone, Copy, Debug)]
struct EntryReach {
    /// Entries that report.
    heard: u32,
    /// Entries that reported some time ago and may run requests without being heard.
    lost: u32,
}

#[derive(Debug)]
struct AccountState {
    quota: AccountQuota,
    bounds: QuotaBounds,
    level: f64,
    refilled_at: MonotonicTime,
    window: UsageWindow,
    usual: DemandMeter,
    usage_class: UsageClass,
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
        self.usual.note(now, count);
    }

    fn give_back(&mut self, now: MonotonicTime, count: f64) {
        self.refill(now);
        self.level = (self.level + count).min(self.bounds.capacity);
        self.window.take_back(count);
    }

    /// Returns how many requests may run now.
    fn available(&mut self, now: MonotonicTime, reach: &EntryReach) -> f64 {
        self.refill(now);
        self.level.min(self.room(now, reach))
    }

    /// Returns how many requests the window has room for, less what entries may run that this host does not hear.
    fn room(&mut self, now: MonotonicTime, reach: &EntryReach) -> f64 {
        let usual = self.usage_class.highest_rate();
        let unheard = self.bounds.unheard_use(reach.heard + reach.lost, reach.lost, usual);
        let window = Duration::from_secs_f64(self.bounds.window);
        self.bounds.most - unheard - self.window.count(now, window)
    }

    /// Returns when the caller of a refused request may try again.
    fn retry_delay(
        &mut self,
        now: MonotonicTime,
        reach: &EntryReach,
        generator: &mut ChaCha12Rng,
    ) -> Duration {
        let missing = 1.0 - self.level;
        let delay = self.pacer.retry_delay(now, 1.0, missing, self.bounds.rate, generator);
        if self.room(now, reach) >= 1.0 {
            return delay;
        }
        delay.max(self.window.time_to_room(now, Duration::from_secs_f64(self.bounds.window)))
    }

    fn update_tight(&mut self, now: MonotonicTime, reach: &EntryReach) {
        let QuotaBounds { tight_below, capacity, .. } = self.bounds;
        let calm_at = (tight_below * CALM_FACTOR).min(capacity);
        let border = if self.tight { calm_at } else { tight_below };
        self.refill(now);
        // Requests that are admitted before entries know that the account is tight must fit into the window.
        let room = self.room(now, reach) - self.bounds.covered;
        self.tight = self.level.min(room) < border;
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

#[derive(Clone, Copy, Debug)]
struct ReportedCount {
    admitted: u64,
    returned: u64,
    reported_at: MonotonicTime,
}

/// What a report adds to the count of an account.
struct CountChange {
    account: AccountId,
    recent: u64,
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
    // The same, of which less is remembered.
    recent_count: EntryCount,
    // Since when this host has known a leader, if it does.
    led_since: Option<MonotonicTime>,
    has_tightened: bool,
    told_counting: CountingState,
    told_tight: BTreeSet<AccountId>,
    told_usage: HashMap<AccountId, UsageClass>,
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
            recent_count: EntryCount::default(),
            led_since: None,
            has_tightened: false,
            told_counting: CountingState::default(),
            told_tight: BTreeSet::new(),
            told_usage: HashMap::new(),
            generator,
        }
    }

    /// Takes the quotas of the document in force.
    pub fn set_accounts(&mut self, now: MonotonicTime, accounts: &[ClientAccount]) {
        let limited =
            accounts.iter().filter_map(|account| Some((account.account.clone(), account.quota?)));
        self.quotas = limited.collect();
        if self.quotas.is_empty() {
            // Links that open while nothing is counted are told nothing, and must be told all when that changes.
            self.told_counting = CountingState::Isolated;
            self.told_tight.clear();
            self.told_usage.clear();
        }
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

    /// Records how many entries are linked to this host.
    pub fn note_entries(&mut self, now: MonotonicTime, entries: u32) {
        self.entries = entries;
        self.entry_count.note(now, entries);
        self.recent_count.note(now, entries);
    }

    /// Records whether this host knows a leader. Without one, other hosts may count without it.
    pub fn note_leader(&mut self, now: MonotonicTime, has_leader: bool) {
        self.led_since = has_leader.then(|| self.led_since.unwrap_or(now));
    }

    /// Returns whether this host counts the requests of all entries.
    pub fn counting(&mut self, now: MonotonicTime) -> CountingState {
        let Some(led_since) = self.led_since else { return CountingState::Isolated };
        let hears = |part: f64, highest: u32| f64::from(self.entries) >= part * f64::from(highest);
        let is_attached =
            hears(ATTACHED_PART, self.recent_count.highest(now, self.settings.window));
        let is_linked = hears(LINKED_PART, self.entry_count.highest(now, ENTRY_MEMORY));
        let age = now.since(self.started_at);
        let is_ready = age >= LINK_TIME && (is_linked || now.since(led_since) >= LINK_TIME);
        match (is_ready && is_attached, age < self.settings.window) {
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
        // A host that has just started does not know what was used before, apart from what entries report.
        let is_fresh = now.since(self.started_at) < self.settings.window;
        let level = if is_fresh { bounds.margin * START_PART } else { bounds.capacity };
        AccountState {
            quota,
            bounds,
            level: level.max(1.0).min(bounds.capacity),
            refilled_at: if is_fresh { self.started_at } else { now },
            window: UsageWindow::default(),
            // The time before the first request counts a little, so that one request does not make a high rate.
            usual: DemandMeter::start(now - self.settings.window, USUAL_HALF_LIFE),
            usage_class: UsageClass::default(),
            pacer: RetryPacer::default(),
            tight: false,
        }
    }

    /// Counts what a process of an entry reports.
    pub fn note_counts(&mut self, now: MonotonicTime, report: QuotaCounts) {
        let reach = self.reach(now);
        let process = self.processes.entry(report.process);
        let process =
            process.or_insert_with(|| ProcessState { counts: HashMap::new(), reported_at: now });
        process.reported_at = now;
        let changes: Vec<CountChange> =
            report.counts.into_iter().map(|count| process.note(now, count)).collect();
        for CountChange { account, recent, returned } in changes {
            self.ensure_state(now, &account);
            let Some(state) = self.accounts.get_mut(&account) else { continue };
            state.deduct(now, recent as f64);
            state.give_back(now, returned as f64);
            let was_tight = state.tight;
            state.update_tight(now, &reach);
            self.has_tightened |= state.tight && !was_tight;
        }
    }

    /// Returns whether an account became tight since the last call of [`Self::take_change`]. Entries should learn of it at
    /// once.
    pub fn has_tightened(&self) -> bool {
        self.has_tightened
    }

    fn reach(&mut self, now: MonotonicTime) -> EntryReach {
        let highest = self.entry_count.highest(now, ENTRY_MEMORY);
        EntryReach { heard: self.entries, lost: highest.saturating_sub(self.entries) }
    }

    /// Answers an entry that needs permits.
    pub fn grant(&mut self, now: MonotonicTime, request: &PermitRequest) -> PermitAnswer {
        let PermitRequest { number, account, wanted } = request.clone();
        let reach = self.reach(now);
        self.ensure_state(now, &account);
        let Some(state) = self.accounts.get_mut(&account) else {
            // The entry has another document; the one in force here sets no limit.
            let permits = wanted.max(1);
            let level = f64::from(permits);
            return PermitAnswer { number, account, permits, retry_after: Duration::ZERO, level };
        };
        let level = state.available(now, &reach);
        if level < 1.0 {
            let retry_after = state.retry_delay(now, &reach, &mut self.generator);
            return PermitAnswer { number, account, permits: 0, retry_after, level };
        }
        // What one entry keeps in stock is missing elsewhere.
        let stock = (level / (2.0 * f64::from(reach.heard.max(1)))).floor().max(1.0);
        let permits = (stock as u32).min(wanted.max(1));
        let was_tight = state.tight;
        state.deduct(now, f64::from(permits));
        state.update_tight(now, &reach);
        self.has_tightened |= state.tight && !was_tight;
        PermitAnswer { number, account, permits, retry_after: Duration::ZERO, level }
    }

    /// Returns what has changed since the last call, for the entries; `None` if nothing has.
    pub fn take_change(&mut self, now: MonotonicTime) -> Option<QuotaChange> {
        self.has_tightened = false;
        let counting = self.counting(now);
        let reach = self.reach(now);
        for state in self.accounts.values_mut() {
            state.update_tight(now, &reach);
            state.usage_class = state.usage_class.after(state.usual.rate(now));
        }
        let states = self.accounts.iter();
        let tight: BTreeSet<AccountId> =
            states.filter(|(_, state)| state.tight).map(|(account, _)| account.clone()).collect();
        let usage = self.take_usage(counting);
        if counting == self.told_counting && tight == self.told_tight && usage.is_empty() {
            return None;
        }
        let change = QuotaChange {
            counting,
            tightened: tight.difference(&self.told_tight).cloned().collect(),
            calmed: self.told_tight.difference(&tight).cloned().collect(),
            usage,
        };
        self.told_counting = counting;
        self.told_tight = tight;
        Some(change)
    }

    /// Returns the accounts whose usual rate is in another class than entries were told.
    fn take_usage(&mut self, counting: CountingState) -> Vec<AccountUsage> {
        if counting != CountingState::Complete {
            // What a host that has just started has counted says little.
            return Vec::new();
        }
        let (accounts, told) = (&self.accounts, &mut self.told_usage);
        let class_of =
            |account: &AccountId| accounts.get(account).map_or(UsageClass(0), |s| s.usage_class);
        let mut usage = Vec::new();
        told.retain(|account, class| {
            let now_in = class_of(account);
            if now_in != *class {
                usage.push(AccountUsage { account: account.clone(), class: now_in });
                *class = now_in;
            }
            now_in > UsageClass(0)
        });
        for (account, state) in accounts {
            if state.usage_class > UsageClass(0) && !told.contains_key(account) {
                told.insert(account.clone(), state.usage_class);
                usage.push(AccountUsage { account: account.clone(), class: state.usage_class });
            }
        }
        usage
    }

    /// Returns what all entries have been told, for a new link.
    pub fn told(&self) -> QuotaChange {
        let usage = self.told_usage.iter();
        let to_usage = |(account, class): (&AccountId, &UsageClass)| AccountUsage {
            account: account.clone(),
            class: *class,
        };
        QuotaChange {
            counting: self.told_counting,
            tightened: self.told_tight.iter().cloned().collect(),
            calmed: Vec::new(),
            usage: usage.map(to_usage).collect(),
        }
    }

    /// Returns the number of accounts whose requests need permits.
    pub fn tight_count(&self) -> usize {
        self.told_tight.len()
    }

    /// Returns the largest uses of accounts in the last window, in descending order, as parts of what their rates and
    /// bursts allow.
    pub fn largest_uses(&mut self, now: MonotonicTime, count: usize) -> Vec<f64> {
        let window = self.settings.window;
        let to_use = |state: &mut AccountState| {
            let allowed = state.bounds.most - state.bounds.margin;
            state.window.count(now, window) / allowed.max(f64::EPSILON)
        };
        let mut uses: Vec<f64> = self.accounts.values_mut().map(to_use).collect();
        uses.sort_by(|left, right| right.total_cmp(left));
        uses.truncate(count);
        uses
    }

    /// Forgets processes that are gone, and accounts with a full bucket, an empty window and hardly any use.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.processes.retain(|_, process| now.since(process.reported_at) < PROCESS_MEMORY);
        for process in self.processes.values_mut() {
            process.counts.retain(|_, count| now.since(count.reported_at) < IDLE_MEMORY * 2);
        }
        let window = self.settings.window;
        if now.since(self.started_at) < window {
            return;
        }
        self.accounts.retain(|_, state| {
            state.refill(now);
            state.level < state.bounds.capacity
                || state.window.count(now, window) > 0.0
                || state.usage_class > UsageClass(0)
        });
    }
}
