//! Entries and control hosts that exchange messages with delays on a seeded clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use hickoryspan_core::gateway::admission::quota::{
    CountingState, PermitAnswer, PermitNumber, PermitRequest, QuotaChange, QuotaCounts,
    QuotaSettings,
};
use hickoryspan_core::gateway::admission::quota_gate::{QuotaGate, QuotaVerdict};
use hickoryspan_core::gateway::admission::quota_ledger::QuotaLedger;
use hickoryspan_core::gateway::documents::accounts::{AccountQuota, ClientAccount};
use hickoryspan_core::gateway::membership::shared_table::ChangeNumber;
use hickoryspan_core::types::{AccountId, MonotonicTime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::judge::{QuotaSpan, SentRequest, Verdict, judge};

/// Interval of the entries' reports and of the control hosts' flush.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without messages after which a link is closed.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a report after which an entry counts as out of touch.
const HEARD_TIME: Duration = Duration::from_millis(900);
/// Time from the opening of a link to the first report over it.
const LINK_REPORT_DELAY: Duration = Duration::from_millis(40);
/// Time after which an entry no longer waits for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(30);
/// Latest time at which a change of the quotas arrives at a host.
const PROPAGATION_MILLIS: u64 = 300;
/// How often a request asks for a permit.
const MAX_ASKS: u32 = 2;

/// What happens to some hosts for a time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No message passes between these entries and these control hosts.
    Cut { entries: Range<usize>, hosts: Range<usize> },
    /// The entries start anew at the beginning.
    RestartEntries(Range<usize>),
    /// Messages of the entries take this much longer.
    SlowEntries(Range<usize>, Duration),
    /// The control hosts are gone, and start anew at the end.
    LoseHosts(Range<usize>),
    /// The control hosts know no leader.
    Isolate(Range<usize>),
}

#[derive(Clone, Debug)]
pub struct TimedFault {
    pub during: Range<Duration>,
    pub fault: Fault,
}

/// An account and how it sends.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    pub usual_rate: f64,
    /// When it sends a multiple of its usual rate.
    pub hot: Option<(Range<Duration>, f64)>,
    pub quotas: Vec<(Duration, AccountQuota)>,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub entries: usize,
    pub hosts: usize,
    pub accounts: Vec<AccountPlan>,
    pub faults: Vec<TimedFault>,
    pub length: Duration,
    /// Entries report nothing, which the judge must find.
    pub plant_lost_reports: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    up: bool,
    // Messages of an earlier link are dropped.
    epoch: u32,
    known: ChangeNumber,
    // When the host last heard the entry.
    heard_at: MonotonicTime,
}

struct Entry {
    gate: QuotaGate,
    // Changes with each start.
    incarnation: u32,
    links: Vec<Link>,
    entries_seen: Vec<u32>,
    waiting: HashMap<PermitNumber, Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    account: usize,
    request: usize,
    asks: u32,
    host: SocketAddr,
}

struct Host {
    ledger: QuotaLedger,
    documents: usize,
}

#[derive(Debug)]
enum ToHost {
    Counts(QuotaCounts),
    Ask(PermitRequest),
}

#[derive(Debug)]
enum ToEntry {
    Change(QuotaChange, u32),
    Answer(PermitAnswer),
    Heartbeat,
}

/// The two ends of a link and its number.
#[derive(Clone, Copy, Debug)]
struct Path {
    entry: usize,
    host: usize,
    epoch: u32,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Report(usize),
    PromptReport(usize),
    Flush(usize),
    AtHost(Path, ToHost),
    AtEntry(Path, ToEntry),
    Timeout {
        entry: usize,
        incarnation: u32,
        number: PermitNumber,
    },
    LinkDown(usize, usize),
    LinkUp(usize, usize),
    FaultBegins(usize),
    FaultEnds(usize),
    /// A host learns of the quotas at their change with this number.
    Document {
        host: usize,
        number: usize,
    },
}

#[derive(Debug)]
struct Scheduled {
    at: MonotonicTime,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Model {
    scenario: Scenario,
    settings: QuotaSettings,
    names: Vec<AccountId>,
    now: MonotonicTime,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    entries: Vec<Entry>,
    hosts: Vec<Host>,
    active: Vec<bool>,
    requests: Vec<Vec<SentRequest>>,
    generator: ChaCha12Rng,
}

fn at(time: Duration) -> MonotonicTime {
    MonotonicTime(0) + time
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000 + host as u16)
}

impl Model {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        let settings = QuotaSettings::default();
        // All processes have run for a while, as far as no fault says otherwise.
        let now = at(settings.window * 2);
        let names = (0..scenario.accounts.len()).map(|index| format!("account-{index}"));
        let names = names.map(|name| AccountId::new(name).expect("a name")).collect();
        let new_seed = |generator: &mut ChaCha12Rng| ChaCha12Rng::seed_from_u64(generator.random());
        let entries = (0..scenario.entries).map(|_| Entry {
            gate: QuotaGate::new(at(Duration::ZERO), settings, new_seed(&mut generator)),
            incarnation: 0,
            links: vec![Link { up: true, heard_at: now, ..Link::default() }; scenario.hosts],
            entries_seen: vec![scenario.entries as u32; scenario.hosts],
            waiting: HashMap::new(),
        });
        let entries = entries.collect();
        let hosts = (0..scenario.hosts).map(|_| Host {
            ledger: QuotaLedger::new(at(Duration::ZERO), settings, new_seed(&mut generator)),
            documents: 0,
        });
        let hosts = hosts.collect();
        let mut model = Self {
            settings,
            names,
            now,
            queue: BinaryHeap::new(),
            scheduled: 0,
            entries,
            hosts,
            active: vec![false; scenario.faults.len()],
            requests: vec![Vec::new(); scenario.accounts.len()],
            generator,
            scenario,
        };
        model.schedule_start();
        model
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        let scheduled = Scheduled { at: self.now + delay, number: self.scheduled, event };
        self.queue.push(Reverse(scheduled));
    }

    fn random_time(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.generator.random())
    }

    fn schedule_start(&mut self) {
        for host in 0..self.hosts.len() {
            self.apply_document(host, 0);
            self.flush(host);
            let phase = self.random_time(REPORT_INTERVAL);
            self.schedule(phase, Event::Flush(host));
        }
        for entry in 0..self.entries.len() {
            let phase = self.random_time(REPORT_INTERVAL);
            self.schedule(phase, Event::Report(entry));
        }
        for account in 0..self.names.len() {
            self.schedule_arrival(account);
        }
        for (number, fault) in self.scenario.faults.clone().into_iter().enumerate() {
            self.schedule(fault.during.start, Event::FaultBegins(number));
            self.schedule(fault.during.end, Event::FaultEnds(number));
        }
        for (number, time) in self.document_times().into_iter().enumerate().skip(1) {
            for host in 0..self.hosts.len() {
                let delay = self.random_time(Duration::from_millis(PROPAGATION_MILLIS));
                self.schedule(time + delay, Event::Document { host, number });
            }
        }
    }

    fn document_times(&self) -> Vec<Duration> {
        let changes = self.scenario.accounts.iter().flat_map(|plan| &plan.quotas);
        let mut times: Vec<Duration> = changes.map(|(time, _)| *time).collect();
        times.sort_unstable();
        times.dedup();
        times
    }

    /// Returns the time since the model has started.
    fn elapsed(&self) -> Duration {
        self.now.since(at(self.settings.window * 2))
    }

    fn quota_at(&self, account: usize, time: Duration) -> AccountQuota {
        let quotas = self.scenario.accounts[account].quotas.iter();
        let current = quotas.take_while(|(from, _)| *from <= time).last();
        current.expect("a quota from the start").1
    }

    fn apply_document(&mut self, host: usize, number: usize) {
        let time = self.document_times()[number];
        let to_account = |(index, name): (usize, &AccountId)| ClientAccount {
            account: name.clone(),
            keys: Vec::new(),
            priority: None,
            quota: Some(self.quota_at(index, time)),
        };
        let accounts: Vec<ClientAccount> = self.names.iter().enumerate().map(to_account).collect();
        self.hosts[host].documents = number;
        let has_leader = self.has_leader(host);
        self.hosts[host].ledger.note_leader(self.now, has_leader);
        self.hosts[host].ledger.set_accounts(self.now, &accounts);
    }

    fn is_cut(&self, entry: usize, host: usize) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.active).filter(|(_, active)| **active);
        faults.into_iter().any(|(fault, _)| match &fault.fault {
            Fault::Cut { entries, hosts } => entries.contains(&entry) && hosts.contains(&host),
            Fault::LoseHosts(hosts) => hosts.contains(&host),
            _ => false,
        })
    }

    fn has_leader(&self, host: usize) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.active).filter(|(_, active)| **active);
        !faults.into_iter().any(|(fault, _)| match &fault.fault {
            Fault::Isolate(hosts) => hosts.contains(&host),
            _ => false,
        })
    }

    fn delay(&mut self, entry: usize) -> Duration {
        let faults = self.scenario.faults.iter().zip(&self.active).filter(|(_, active)| **active);
        let slowed = faults.filter_map(|(fault, _)| match &fault.fault {
            Fault::SlowEntries(entries, delay) if entries.contains(&entry) => Some(*delay),
            _ => None,
        });
        let slowed: Duration = slowed.sum();
        // The way, and the time until a busy host reads the message.
        let busy = -self.generator.random::<f64>().max(1e-9).ln() * 0.002;
        Duration::from_millis(1) + Duration::from_secs_f64(busy) + slowed
    }

    fn schedule_arrival(&mut self, account: usize) {
        let plan = &self.scenario.accounts[account];
        // Arrivals beyond the rate of the moment are dropped when they come.
        let factor = plan.hot.as_ref().map_or(1.0, |(_, factor)| *factor);
        let rate = plan.usual_rate * factor;
        let gap = -self.generator.random::<f64>().max(1e-12).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap.min(1e4)), Event::Arrival(account));
    }

    pub fn run(&mut self) -> Vec<Verdict> {
        let end = self.now + self.scenario.length;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        let start = self.settings.window * 2;
        let accounts = self.scenario.accounts.iter().zip(&self.requests);
        let verdicts = accounts.map(|(plan, requests)| {
            let spans = plan.quotas.iter();
            let spans: Vec<QuotaSpan> = spans
                .map(|(from, quota)| QuotaSpan { from: at(start + *from), quota: *quota })
                .collect();
            judge(&self.settings, &spans, requests)
        });
        verdicts.collect()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(account) => self.arrive(account),
            Event::Report(entry) => {
                self.report(entry);
                self.entries[entry].gate.expire(self.now);
                self.schedule(REPORT_INTERVAL, Event::Report(entry));
            }
            Event::PromptReport(entry) => self.report(entry),
            Event::Flush(host) => {
                self.flush(host);
                self.schedule(REPORT_INTERVAL, Event::Flush(host));
            }
            Event::AtHost(path, message) => self.receive_at_host(path, message),
            Event::AtEntry(path, message) => self.receive_at_entry(path, message),
            Event::Timeout { entry, incarnation, number } => {
                if self.entries[entry].incarnation == incarnation {
                    self.time_out(entry, number);
                }
            }
            Event::LinkDown(entry, host) => {
                if self.is_cut(entry, host) {
                    self.close_link(entry, host);
                }
            }
            Event::LinkUp(entry, host) => self.open_link(entry, host),
            Event::FaultBegins(number) => self.begin_fault(number),
            Event::FaultEnds(number) => self.end_fault(number),
            Event::Document { host, number } => {
                if self.hosts[host].documents < number {
                    self.apply_document(host, number);
                }
            }
        }
    }

    fn arrive(&mut self, account: usize) {
        self.schedule_arrival(account);
        let plan = &self.scenario.accounts[account];
        if let Some((during, factor)) = plan.hot.clone()
            && !during.contains(&self.elapsed())
            && self.generator.random::<f64>() * factor >= 1.0
        {
            return;
        }
        self.requests[account].push(SentRequest { sent_at: self.now, ran_at: None });
        let request = self.requests[account].len() - 1;
        let entry = self.generator.random_range(0..self.entries.len());
        self.decide(entry, account, request, 0);
    }

    fn decide(&mut self, entry: usize, account: usize, request: usize, asks: u32) {
        // An entry learns of a change later than its operator.
        let time = self.elapsed().saturating_sub(Duration::from_millis(PROPAGATION_MILLIS / 2));
        let quota = self.quota_at(account, time);
        let name = self.names[account].clone();
        let now = self.now;
        let gate = &mut self.entries[entry].gate;
        let verdict = match asks {
            0..MAX_ASKS => gate.decide(now, &name, &quota),
            _ => gate.decide_alone(now, &name, &quota),
        };
        match verdict {
            QuotaVerdict::Admitted => self.run_request(account, request),
            QuotaVerdict::Refused { .. } => {}
            QuotaVerdict::Ask(host, permit) => {
                let waiting = Waiting { account, request, asks: asks + 1, host };
                self.ask(entry, waiting, permit);
            }
        }
        if self.entries[entry].gate.take_prompt(now) {
            self.report(entry);
        }
    }

    fn run_request(&mut self, account: usize, request: usize) {
        let run_delay = self.random_time(Duration::from_millis(20));
        self.requests[account][request].ran_at = Some(self.now + run_delay);
    }

    fn ask(&mut self, entry: usize, waiting: Waiting, permit: PermitRequest) {
        let host = usize::from(waiting.host.port() - 7_000);
        let number = permit.number;
        let incarnation = self.entries[entry].incarnation;
        self.entries[entry].waiting.insert(number, waiting);
        self.send_to_host(entry, host, ToHost::Ask(permit));
        self.schedule(PERMIT_TIMEOUT, Event::Timeout { entry, incarnation, number });
    }

    fn time_out(&mut self, entry: usize, number: PermitNumber) {
        let Some(waiting) = self.entries[entry].waiting.remove(&number) else { return };
        self.entries[entry].gate.note_timeout(self.now, waiting.host);
        self.decide(entry, waiting.account, waiting.request, waiting.asks);
    }

    fn report(&mut self, entry: usize) {
        if self.scenario.plant_lost_reports {
            return;
        }
        for host in 0..self.hosts.len() {
            let is_cut = self.is_cut(entry, host);
            let Entry { gate, links, .. } = &mut self.entries[entry];
            if !links[host].up {
                continue;
            }
            if !is_cut {
                links[host].heard_at = self.now;
            }
            let counts = gate.counts_since(self.now, address(host), links[host].known);
            links[host].known = gate.newest();
            if let Some(counts) = counts {
                self.send_to_host(entry, host, ToHost::Counts(counts));
            }
        }
    }

    fn send_to_host(&mut self, entry: usize, host: usize, message: ToHost) {
        let epoch = self.entries[entry].links[host].epoch;
        let delay = self.delay(entry);
        self.schedule(delay, Event::AtHost(Path { entry, host, epoch }, message));
    }

    fn send_to_entry(&mut self, entry: usize, host: usize, message: ToEntry) {
        let link = self.entries[entry].links[host];
        if link.up {
            let path = Path { entry, host, epoch: link.epoch };
            let delay = self.delay(entry);
            self.schedule(delay, Event::AtEntry(path, message));
        }
    }

    fn is_current(&self, path: Path) -> bool {
        let link = self.entries[path.entry].links[path.host];
        link.up && link.epoch == path.epoch && !self.is_cut(path.entry, path.host)
    }

    fn receive_at_host(&mut self, path: Path, message: ToHost) {
        if !self.is_current(path) {
            return;
        }
        let ledger = &mut self.hosts[path.host].ledger;
        match message {
            ToHost::Counts(counts) => {
                ledger.note_counts(self.now, counts);
                if ledger.has_tightened() {
                    self.send_change(path.host);
                }
            }
            ToHost::Ask(_) if ledger.counting(self.now) == CountingState::Isolated => {}
            ToHost::Ask(request) => {
                let answer = ledger.grant(self.now, &request);
                let has_tightened = ledger.has_tightened();
                self.send_to_entry(path.entry, path.host, ToEntry::Answer(answer));
                if has_tightened {
                    self.send_change(path.host);
                }
            }
        }
    }

    fn linked_entries(&self, host: usize) -> u32 {
        let linked = |entry: &usize| {
            let link = &self.entries[*entry].links[host];
            link.up && self.now.since(link.heard_at) < HEARD_TIME
        };
        (0..self.entries.len()).filter(linked).count() as u32
    }

    fn flush(&mut self, host: usize) {
        let (entries, has_leader) = (self.linked_entries(host), self.has_leader(host));
        let ledger = &mut self.hosts[host].ledger;
        ledger.note_entries(self.now, entries);
        ledger.note_leader(self.now, has_leader);
        ledger.expire(self.now);
        self.send_change(host);
        for entry in 0..self.entries.len() {
            self.send_to_entry(entry, host, ToEntry::Heartbeat);
        }
    }

    fn send_change(&mut self, host: usize) {
        let Some(change) = self.hosts[host].ledger.take_change(self.now) else { return };
        let entries = self.linked_entries(host);
        for entry in 0..self.entries.len() {
            self.send_to_entry(entry, host, ToEntry::Change(change.clone(), entries));
        }
    }

    fn receive_at_entry(&mut self, path: Path, message: ToEntry) {
        if !self.is_current(path) {
            return;
        }
        let now = self.now;
        let entry = &mut self.entries[path.entry];
        match message {
            ToEntry::Change(change, entries) => {
                entry.gate.apply(address(path.host), change);
                entry.entries_seen[path.host] = entries;
                let highest = entry.entries_seen.iter().max().copied();
                entry.gate.set_entries(highest.unwrap_or(1));
            }
            ToEntry::Heartbeat => entry.gate.note_heard(now, address(path.host)),
            ToEntry::Answer(answer) => {
                entry.gate.add_permits(now, address(path.host), &answer);
                let Some(waiting) = entry.waiting.remove(&answer.number) else { return };
                if answer.permits > 0 {
                    self.decide(path.entry, waiting.account, waiting.request, waiting.asks);
                }
            }
        }
    }

    fn close_link(&mut self, entry: usize, host: usize) {
        let Entry { gate, links, .. } = &mut self.entries[entry];
        if !links[host].up {
            return;
        }
        links[host].up = false;
        links[host].epoch += 1;
        gate.remove_host(address(host));
    }

    fn open_link(&mut self, entry: usize, host: usize) {
        if self.is_cut(entry, host) {
            return;
        }
        self.close_link(entry, host);
        let link = &mut self.entries[entry].links[host];
        link.up = true;
        link.heard_at = self.now;
        link.known = ChangeNumber::default();
        let told = self.hosts[host].ledger.told();
        let entries = self.linked_entries(host);
        self.send_to_entry(entry, host, ToEntry::Change(told, entries));
        self.schedule(LINK_REPORT_DELAY, Event::PromptReport(entry));
    }

    fn reopen_links(&mut self, entries: Range<usize>, hosts: Range<usize>) {
        for entry in entries {
            for host in hosts.clone() {
                let delay = self.random_time(Duration::from_millis(400));
                self.schedule(delay, Event::LinkUp(entry, host));
            }
        }
    }

    fn begin_fault(&mut self, number: usize) {
        self.active[number] = true;
        match self.scenario.faults[number].fault.clone() {
            Fault::Cut { entries, hosts } => {
                for entry in entries {
                    for host in hosts.clone() {
                        self.schedule(LINK_TIMEOUT, Event::LinkDown(entry, host));
                    }
                }
            }
            Fault::LoseHosts(hosts) => {
                for entry in 0..self.entries.len() {
                    hosts.clone().for_each(|host| self.close_link(entry, host));
                }
            }
            Fault::RestartEntries(entries) => {
                for entry in entries.clone() {
                    self.restart_entry(entry);
                }
                self.reopen_links(entries, 0..self.hosts.len());
            }
            Fault::SlowEntries(..) | Fault::Isolate(_) => {}
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let seed = ChaCha12Rng::seed_from_u64(self.generator.random());
        let restarted = &mut self.entries[entry];
        restarted.gate = QuotaGate::new(self.now, self.settings, seed);
        // It learns the number of entries with its document, before its first request.
        restarted.gate.set_entries(restarted.entries_seen.iter().max().copied().unwrap_or(1));
        restarted.incarnation += 1;
        restarted.waiting.clear();
        for link in &mut restarted.links {
            link.up = false;
            link.epoch += 1;
        }
    }

    fn end_fault(&mut self, number: usize) {
        self.active[number] = false;
        let entries = 0..self.entries.len();
        match self.scenario.faults[number].fault.clone() {
            Fault::Cut { entries, hosts } => self.reopen_links(entries, hosts),
            Fault::LoseHosts(hosts) => {
                for host in hosts.clone() {
                    let seed = ChaCha12Rng::seed_from_u64(self.generator.random());
                    let documents = self.hosts[host].documents;
                    self.hosts[host].ledger = QuotaLedger::new(self.now, self.settings, seed);
                    self.apply_document(host, documents);
                }
                self.reopen_links(entries, hosts);
            }
            Fault::RestartEntries(_) | Fault::SlowEntries(..) | Fault::Isolate(_) => {}
        }
    }
}
