//! Deterministic simulation of a control cluster: network, disks and clock are driven by one seed.

// Each test file uses only some of the helpers. The lint allows `unwrap` in test functions but not in their helpers.
#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::control::raft::ReplicaMessage;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion,
};
use hickoryspan_core::membership::{PartitionRecord, TargetRecord};
use hickoryspan_core::messages::*;
use hickoryspan_core::sheet::{CallerSpec, SheetDocument, TenantSheet};
use hickoryspan_core::types::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Wall time at which a simulation starts, in milliseconds since the Unix epoch.
pub const EPOCH: u64 = 1_800_000_000_000;

/// Durable state of a replica, which survives a crash of its process.
#[derive(Default)]
pub struct Disk {
    pub state: RecoveredState,
    pub full: bool,
    /// Whether a full disk may still take the first steps of a batch.
    pub partial: bool,
    pub broken: bool,
}

impl Disk {
    /// Takes the first steps of a batch in the order of the store, and refuses the next one.
    fn persist_steps(&mut self, batch: &PersistBatch, steps: usize) {
        let snapshot = batch.snapshot.clone();
        let truncate_from = batch.truncate_from;
        let mut parts = Vec::new();
        if snapshot.is_some() {
            parts.push(PersistBatch { truncate_from, ..PersistBatch::default() });
            parts.push(PersistBatch { snapshot, ..PersistBatch::default() });
        }
        let entries = batch.entries.clone();
        parts.push(PersistBatch { truncate_from, entries, ..PersistBatch::default() });
        for part in parts.iter().take(steps) {
            self.persist(part);
        }
    }

    fn persist(&mut self, batch: &PersistBatch) {
        let state = &mut self.state;
        if let Some(snapshot) = &batch.snapshot {
            state.entries.retain(|entry| entry.index > snapshot.index);
            state.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = batch.truncate_from {
            state.entries.retain(|entry| entry.index < from);
        }
        for entry in &batch.entries {
            let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
            let last = state.entries.last().map_or(base, |entry| entry.index.0);
            assert_eq!(entry.index.0, last + 1, "a batch left a gap in the log");
            state.entries.push(entry.clone());
        }
        state.hard_state = batch.hard_state.unwrap_or(state.hard_state);
    }
}

#[derive(Default)]
pub struct Node {
    pub machine: Option<ControlMachine>,
    pub disk: Disk,
    // Number of the process, so that deliveries from before a crash do not reach the next process.
    process: u64,
    /// Time in microseconds at which the disk has written all batches so far.
    pub disk_free_at: u64,
}

enum Delivery {
    Message(ReplicaId, ReplicaId, Box<ReplicaMessage>),
    Durable(ReplicaId, u64, PersistSequence, PersistBatch),
    Acknowledged(ReplicaId, u64, PersistSequence),
}

/// Injected faults and delays of the network and the disks.
#[derive(Clone, Default)]
pub struct Faults {
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_micros: u64,
    pub max_disk_micros: u64,
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Additional delay of messages to one replica, up to this many microseconds.
    pub slow_to: Option<(ReplicaId, u64)>,
    /// Injected fault: batches are acknowledged before they are durable.
    pub acknowledge_early: bool,
}

pub struct Cluster {
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub now: u64,
    pub wall_offset: u64,
    pub faults: Faults,
    pub rng: ChaCha12Rng,
    pub outputs: Vec<(ReplicaId, ControlAction)>,
    pub settings: ControlSettings,
    /// The first violation of an invariant, if any was found.
    pub violation: Option<String>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    committed: BTreeMap<LogIndex, LogEntry>,
    checked: BTreeMap<ReplicaId, (LogIndex, RevisionNumber)>,
    digests: BTreeMap<RevisionNumber, StateDigest>,
    next_id: u64,
}

pub fn replica(number: u64) -> ReplicaId {
    ReplicaId(number)
}

pub fn record(id: ReplicaId) -> ReplicaRecord {
    let address = |port: u64| format!("127.0.0.1:{}", port + id.0).parse().unwrap();
    let (peer_address, http_address) = (address(7_000), address(8_000));
    ReplicaRecord { replica: id, peer_address, http_address, voter: false }
}

impl Cluster {
    /// Creates a cluster of one bootstrapped replica with number 1 and `count - 1` empty replicas.
    pub fn new(seed: u64, count: u64, adjust: impl Fn(&mut ControlSettings)) -> Self {
        let first = record(replica(1));
        let mut settings = ControlSettings::new(first.peer_address, first.http_address);
        adjust(&mut settings);
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            now: 1_000_000,
            wall_offset: EPOCH,
            faults: Faults { max_delay_micros: 3_000, max_disk_micros: 3_000, ..Faults::default() },
            rng: ChaCha12Rng::seed_from_u64(seed),
            outputs: Vec::new(),
            settings,
            violation: None,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            committed: BTreeMap::new(),
            checked: BTreeMap::new(),
            digests: BTreeMap::new(),
            next_id: 0,
        };
        for number in 1..=count {
            cluster.nodes.insert(replica(number), Node::default());
            cluster.start(replica(number));
        }
        cluster
    }

    /// Creates a cluster of `count` voters with a leader.
    pub fn voting(seed: u64, count: u64, adjust: impl Fn(&mut ControlSettings)) -> Self {
        let mut cluster = Self::new(seed, count, adjust);
        cluster.run(Duration::from_millis(300));
        for number in 2..=count {
            let outcome = cluster.admin("setup", AdminAction::AddReplica(record(replica(number))));
            assert!(matches!(outcome, AdminOutcome::Accepted { .. }), "{outcome:?}");
        }
        cluster.run_until(Duration::from_secs(10), |cluster| {
            let Some(leader) = cluster.leader() else { return false };
            let (set, committed) = cluster.machine(leader).raft().replica_set();
            committed && set.voters().count() as u64 == count
        });
        cluster
    }

    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(&id).unwrap();
        let own = record(id);
        let settings = ControlSettings {
            peer_address: own.peer_address,
            http_address: own.http_address,
            bootstrap: id == replica(1),
            ..self.settings.clone()
        };
        node.process += 1;
        let generator = ChaCha12Rng::seed_from_u64(seed);
        node.machine = Some(ControlMachine::new(id, node.disk.state.clone(), settings, generator));
        self.checked.remove(&id);
    }

    /// Crashes a process. A batch that is being written is randomly lost or kept.
    pub fn crash(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).unwrap();
        if node.machine.take().is_none() || node.disk.full || node.disk.broken {
            return;
        }
        for delivery in self.deliveries.values() {
            let Delivery::Durable(owner, process, _, batch) = delivery else { continue };
            if *owner == id && *process == node.process {
                if self.rng.random() {
                    return;
                }
                node.disk.persist(batch);
            }
        }
    }

    /// Removes a process and its disk.
    pub fn destroy(&mut self, id: ReplicaId) {
        self.nodes.remove(&id);
    }

    pub fn up(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().filter(|id| self.is_up(*id)).collect()
    }

    pub fn is_up(&self, id: ReplicaId) -> bool {
        self.nodes.get(&id).is_some_and(|node| node.machine.is_some())
    }

    pub fn machine(&self, id: ReplicaId) -> &ControlMachine {
        self.nodes[&id].machine.as_ref().unwrap()
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let machines = self.nodes.values().filter_map(|node| node.machine.as_ref());
        let leaders = machines.filter(|machine| machine.raft().is_ready_leader());
        leaders.max_by_key(|machine| machine.raft().term()).map(|machine| machine.raft().identity())
    }

    pub fn await_leader(&mut self) -> ReplicaId {
        self.run_until(Duration::from_secs(30), |cluster| cluster.leader().is_some());
        self.leader().unwrap()
    }

    /// Drops all messages from one replica to another.
    pub fn block(&mut self, from: ReplicaId, to: ReplicaId) {
        self.faults.blocked.insert((from, to));
    }

    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.block(id, other);
            self.block(other, id);
        }
    }

    pub fn heal(&mut self) {
        self.faults.blocked.clear();
    }

    pub fn clock(&self) -> ClockReading {
        let wall = WallTime(self.wall_offset + self.now / 1_000);
        ClockReading { monotonic: MonotonicTime(self.now), wall }
    }

    pub fn handle(&mut self, id: ReplicaId, event: ControlEvent) {
        let now = self.clock();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(machine) = &mut node.machine else { return };
        let process = node.process;
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        self.check(id);
        for action in actions {
            self.perform(id, process, action);
        }
    }

    fn perform(&mut self, id: ReplicaId, process: u64, action: ControlAction) {
        match action {
            ControlAction::SendReplica { to, message, address } => {
                assert_eq!(address, record(to).peer_address);
                self.transmit(id, to, message);
            }
            ControlAction::Persist(sequence, batch) => {
                // A disk writes one batch after the other.
                let node = self.nodes.get_mut(&id).unwrap();
                let free_at = node.disk_free_at.max(self.now);
                node.disk_free_at =
                    free_at + 200 + self.rng.random_range(0..=self.faults.max_disk_micros);
                let delay = node.disk_free_at - self.now;
                let early = self.faults.acknowledge_early;
                self.schedule(delay, Delivery::Durable(id, process, sequence, batch));
                if early {
                    self.schedule(1, Delivery::Acknowledged(id, process, sequence));
                }
            }
            ControlAction::Stop(reason) => {
                self.violation.get_or_insert(format!("replica {id} stopped: {reason}"));
                self.crash(id);
            }
            ControlAction::Stopped => {
                self.crash(id);
                self.outputs.push((id, action));
            }
            _ => self.outputs.push((id, action)),
        }
    }

    fn transmit(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        let copies = match self.rng.random_range(0..100) {
            roll if roll < self.faults.drop_percent => 0,
            roll if roll < self.faults.drop_percent + self.faults.duplicate_percent => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.faults.slow_to.filter(|(slow, _)| *slow == to);
            let extra = slow.map_or(0, |(_, micros)| self.rng.random_range(0..=micros));
            let delay = 100 + extra + self.rng.random_range(0..=self.faults.max_delay_micros);
            self.schedule(delay, Delivery::Message(from, to, Box::new(message.clone())));
        }
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + delay, self.next_id)));
        self.deliveries.insert(self.next_id, delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message(from, to, message) => {
                if !self.faults.blocked.contains(&(from, to)) {
                    self.handle(to, ControlEvent::Replica(from, *message));
                }
            }
            Delivery::Durable(id, process, sequence, batch) => {
                let early = self.faults.acknowledge_early;
                let Some(node) = self.nodes.get_mut(&id) else { return };
                if node.process != process || node.machine.is_none() {
                    return;
                }
                let file: Arc<str> = "log".into();
                let event = if node.disk.broken {
                    let cause = "injected".into();
                    ControlEvent::PersistFailed(PersistError::Broken { step: "sync", file, cause })
                } else if node.disk.full {
                    if node.disk.partial {
                        node.disk.persist_steps(&batch, self.rng.random_range(0..4));
                    }
                    ControlEvent::PersistFailed(PersistError::NoSpace { step: "write", file })
                } else {
                    node.disk.persist(&batch);
                    ControlEvent::Persisted(sequence)
                };
                if !early {
                    self.handle(id, event);
                }
            }
            Delivery::Acknowledged(id, process, sequence) => {
                if self.nodes.get(&id).is_some_and(|node| node.process == process) {
                    self.handle(id, ControlEvent::Persisted(sequence));
                }
            }
        }
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        self.run_while(end, |_| true);
    }

    /// Runs the simulation until a condition holds, and panics if that takes longer than `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit.as_micros() as u64;
        self.run_while(end, |cluster| !done(cluster));
        assert!(done(self), "not reached within {limit:?}; violation: {:?}", self.violation);
    }

    fn run_while(&mut self, end: u64, keep_running: impl Fn(&Self) -> bool) {
        while self.now < end && keep_running(self) {
            let wakeups = self.nodes.iter().filter_map(|(id, node)| {
                let wakeup = node.machine.as_ref()?.next_wakeup()?;
                Some((wakeup.0.max(self.now + 1), *id))
            });
            let tick = wakeups.min();
            let message = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick_at = tick.map_or(u64::MAX, |(at, _)| at);
            let next = tick_at.min(message.unwrap_or(u64::MAX));
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            match (tick, message) {
                (Some((at, id)), message) if message.is_none_or(|message| at < message) => {
                    self.handle(id, ControlEvent::Tick);
                }
                _ => {
                    let Some(Reverse((_, id))) = self.queue.pop() else { return };
                    let delivery = self.deliveries.remove(&id).unwrap();
                    self.deliver(delivery);
                }
            }
        }
    }

    /// Checks that committed entries agree, revisions never decrease, and digests of a revision are equal.
    fn check(&mut self, id: ReplicaId) {
        let Some(machine) = self.nodes[&id].machine.as_ref() else { return };
        let (raft, view) = (machine.raft(), machine.state().view());
        let (checked, revision) =
            self.checked.get(&id).copied().unwrap_or((LogIndex(0), RevisionNumber(0)));
        let mut violations = Vec::new();
        for index in checked.0 + 1..=raft.commit().0 {
            let Some(entry) = raft.entry(LogIndex(index)) else { continue };
            let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            if known != entry {
                violations.push(format!("replica {id} committed another entry {index}"));
            }
        }
        // An entry of an older term may still be overwritten, even if a majority has stored it.
        let newest = raft.entry(raft.commit()).map(|entry| entry.term);
        if raft.is_leader() && raft.commit() > checked && newest != Some(raft.term()) {
            violations.push(format!("replica {id} committed an entry of an older term"));
        }
        if view.revision < revision {
            violations.push(format!("replica {id}: revision fell to {}", view.revision));
        }
        let digest = self.digests.entry(view.revision).or_insert(view.digest);
        if *digest != view.digest {
            violations.push(format!("replica {id}: digest of {} differs", view.revision));
        }
        self.checked.insert(id, (raft.commit(), view.revision));
        if let Some(violation) = violations.into_iter().next() {
            self.violation.get_or_insert(violation);
        }
    }

    pub fn token(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns the reply to a request, if there is one.
    pub fn reply(&self, token: ReplyToken) -> Option<&ControlReply> {
        self.outputs.iter().find_map(|(_, action)| match action {
            ControlAction::Reply(found, reply) if *found == token => Some(reply),
            _ => None,
        })
    }

    /// Sends a request to the leader and waits for the reply. Retries after `Unavailable`, `NotLeader` or a timeout.
    pub fn ask(&mut self, event: impl Fn(ReplyToken) -> ControlEvent) -> ControlReply {
        for _ in 0..20 {
            let leader = self.await_leader();
            let token = ReplyToken(self.token());
            self.handle(leader, event(token));
            let end = self.now + 5_000_000;
            self.run_while(end, |cluster| cluster.reply(token).is_none());
            match self.reply(token).cloned() {
                Some(ControlReply::Unavailable { .. } | ControlReply::NotLeader(_)) | None => {
                    self.run(Duration::from_millis(500));
                }
                Some(reply) => return reply,
            }
        }
        panic!("no reply; violation: {:?}", self.violation);
    }

    /// Runs an operator's command with a new command id.
    pub fn admin(&mut self, operator: &str, action: AdminAction) -> AdminOutcome {
        let command = format!("c{}", self.token());
        self.admin_as(operator, &command, action)
    }

    pub fn admin_as(&mut self, operator: &str, id: &str, action: AdminAction) -> AdminOutcome {
        let command = command(operator, id, action);
        match self.ask(|token| ControlEvent::Admin(token, Box::new(command.clone()))) {
            ControlReply::Admin(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    pub fn status(&mut self) -> StatusReport {
        match self.ask(|token| ControlEvent::Query(token, AdminQuery::Status)) {
            ControlReply::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    pub fn announce(&mut self, target: &TargetRecord) -> ControlReply {
        self.ask(|token| ControlEvent::Announce(token, Box::new(target.clone())))
    }

    /// Removes and returns the messages to a link, oldest first.
    pub fn take_messages(&mut self, link: LinkId) -> Vec<ControlMessage> {
        let mut messages = Vec::new();
        self.outputs.retain(|(_, action)| match action {
            ControlAction::SendEntry(to, message) if *to == link => {
                messages.push(message.clone());
                false
            }
            _ => true,
        });
        messages
    }

    /// Opens a link from an entry process to the leader, and returns the link and the first messages to it.
    pub fn join(&mut self, entry: &str, incarnation: u64) -> (LinkId, Vec<ControlMessage>) {
        let leader = self.await_leader();
        let link = LinkId(self.token());
        let registration = registration(entry, incarnation);
        let hello = EntryMessage::Hello { registration, revision: RevisionNumber(0) };
        self.handle(leader, ControlEvent::Entry(link, hello));
        self.run(Duration::from_millis(100));
        let messages = self.take_messages(link);
        (link, messages)
    }

    pub fn send(&mut self, link: LinkId, message: EntryMessage) -> Vec<ControlMessage> {
        let leader = self.await_leader();
        self.handle(leader, ControlEvent::Entry(link, message));
        self.run(Duration::from_millis(100));
        self.take_messages(link)
    }
}

pub fn document(version: u64) -> ConfigurationDocument {
    ConfigurationDocument {
        version: DocumentVersion(version),
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: None,
        source: format!("version {version}").into(),
    }
}

pub fn command(operator: &str, id: &str, action: AdminAction) -> AdminCommand {
    let (operator, command) = (operator.parse().unwrap(), id.parse().unwrap());
    AdminCommand { operator, command, action }
}

pub fn registration(entry: &str, incarnation: u64) -> EntryRegistration {
    EntryRegistration {
        entry: entry.parse().unwrap(),
        incarnation: IncarnationNumber(incarnation),
        caller_address: "127.0.0.1:9000".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
    }
}

pub fn renewal(sequence: u64) -> EntryMessage {
    EntryMessage::Renew {
        sequence,
        revision: RevisionNumber(0),
        digest: StateDigest::default(),
        draining: false,
        demand: Vec::new(),
    }
}

pub fn claim_key(request: &str, issued_at: u64) -> ClaimKey {
    ClaimKey {
        tenant: "quindio".parse().unwrap(),
        caller: "print-desk".parse().unwrap(),
        request: request.parse().unwrap(),
        issued_at: WallTime(issued_at),
    }
}

pub fn fingerprint(text: &str) -> RequestFingerprint {
    RequestFingerprint::of_parts([text.as_bytes()])
}

pub fn sheet(number: u64, content: &str) -> Arc<SheetDocument> {
    let caller = CallerSpec { rate: CostRate(100.0), burst: CostUnits(10.0) };
    let callers = BTreeMap::from([("desk".parse().unwrap(), caller)]);
    let tenant = TenantSheet { callers, ..TenantSheet::default() };
    let tenants = BTreeMap::from([("quindio".parse().unwrap(), tenant)]);
    Arc::new(SheetDocument { number: SheetNumber(number), date: content.into(), tenants })
}

pub fn apply_sheet(number: u64, content: &str) -> AdminAction {
    AdminAction::ApplySheet { sheet: sheet(number, content), confirmed_removals: Vec::new() }
}

pub fn target(name: &str, incarnation: u64, snapshot: u64) -> TargetRecord {
    let partition = PartitionRecord {
        snapshot: SnapshotVersion(snapshot),
        shard: "s1".parse().unwrap(),
        range: KeyRange::FULL,
        documents: DocumentCount(10),
    };
    TargetRecord {
        target: name.parse().unwrap(),
        incarnation: IncarnationNumber(incarnation),
        address: "127.0.0.1:9100".parse().unwrap(),
        tenant: "quindio".parse().unwrap(),
        service: "sales".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        partitions: vec![partition],
        draining: false,
    }
}
