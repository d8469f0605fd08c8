//! Random histories of several replicas with lost, duplicated and reordered messages, partitions, crashes and
//! membership changes. They check that replicas agree, that acknowledged commands are durable, and that each claim is
//! granted once. An injected fault shows that the checks detect a violation.

mod control_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::commands;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;
use rand::RngExt;

/// Steps of one history; each takes up to 300 ms of simulated time.
const STEPS: u32 = 80;

struct OpenLink {
    node: ReplicaId,
    link: LinkId,
}

/// A cluster, its clients, and their pending requests.
struct History {
    cluster: Cluster,
    size: usize,
    next_replica: u64,
    next_sheet: u64,
    commands: BTreeMap<ReplyToken, AdminCommand>,
    claims: BTreeMap<QueryToken, (LinkId, ClaimKey)>,
    links: Vec<OpenLink>,
    incarnation: u64,
}

impl History {
    fn new(seed: u64, size: u64, acknowledge_early: bool) -> Self {
        let mut cluster = Cluster::voting(seed, size, |settings| {
            settings.snapshot_log_entries = 30;
            settings.raft.retained_entries = 5;
            settings.raft.snapshot_chunk_bytes = 2_000;
            settings.raft.max_append_entries = 8;
        });
        cluster.faults.drop_percent = cluster.rng.random_range(0..8);
        cluster.faults.duplicate_percent = cluster.rng.random_range(0..8);
        cluster.faults.max_delay_micros = cluster.rng.random_range(1_000..60_000);
        cluster.faults.max_disk_micros = [3_000, 30_000, 100_000][cluster.rng.random_range(0..3)];
        cluster.faults.acknowledge_early = acknowledge_early;
        Self {
            cluster,
            size: size as usize,
            next_replica: size + 1,
            next_sheet: 1,
            commands: BTreeMap::new(),
            claims: BTreeMap::new(),
            links: Vec::new(),
            incarnation: 0,
        }
    }

    fn pick(&mut self, ids: &[ReplicaId]) -> Option<ReplicaId> {
        let index = self.cluster.rng.random_range(0..ids.len().max(1));
        ids.get(index).copied()
    }

    fn pick_receiver(&mut self) -> Option<ReplicaId> {
        // Three of four requests go to the leader, if there is one.
        let leader = self.cluster.leader().filter(|_| self.cluster.rng.random_range(0..4) > 0);
        leader.or_else(|| self.pick(&self.cluster.up()))
    }

    fn step(&mut self) {
        match self.cluster.rng.random_range(0..100) {
            0..7 => self.crash_one(),
            7..19 => self.start_one(),
            19..23 => self.partition(),
            23..30 => self.cluster.heal(),
            30..33 => self.replace_replica(),
            33..35 => self.drain_one(),
            35..39 => self.change_disk(),
            39..55 => self.submit_sheet(),
            55..65 => self.announce_one(),
            65..75 => self.open_link(),
            _ => self.claim_one(),
        }
        let pause = self.cluster.rng.random_range(1_000..300_000);
        self.cluster.run(Duration::from_micros(pause));
    }

    fn crash_one(&mut self) {
        let up = self.cluster.up();
        if let Some(id) = self.pick(&up) {
            self.cluster.crash(id);
            self.links.retain(|open| open.node != id);
        }
    }

    fn start_one(&mut self) {
        let nodes = self.cluster.nodes.keys().copied();
        let down: Vec<ReplicaId> = nodes.filter(|id| !self.cluster.is_up(*id)).collect();
        if let Some(id) = self.pick(&down) {
            self.cluster.start(id);
        }
    }

    fn partition(&mut self) {
        let ids: Vec<ReplicaId> = self.cluster.nodes.keys().copied().collect();
        let (Some(one), Some(other)) = (self.pick(&ids), self.pick(&ids)) else { return };
        if self.cluster.rng.random() {
            self.cluster.isolate(one);
        } else {
            self.cluster.block(one, other);
        }
    }

    fn change_disk(&mut self) {
        let ids: Vec<ReplicaId> = self.cluster.nodes.keys().copied().collect();
        // A slow disk allows a crash after the other replicas have answered and before its own batch is durable.
        let speeds = [1_000, 30_000, 300_000];
        self.cluster.faults.max_disk_micros = speeds[self.cluster.rng.random_range(0..3)];
        let Some(id) = self.pick(&ids).filter(|_| self.cluster.rng.random()) else { return };
        let node = self.cluster.nodes.get_mut(&id);
        // With early acknowledgement, a full disk would leave a gap in the log, which a real store never does.
        let early = self.cluster.faults.acknowledge_early;
        node.into_iter().for_each(|node| node.disk.full = !node.disk.full && !early);
    }

    // Operators change the replica set only while all its replicas are running.
    fn replace_replica(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        let (set, committed) = self.cluster.machine(leader).raft().replica_set();
        let ids: Vec<ReplicaId> = set.records().map(|record| record.replica).collect();
        let whole = ids.len() == self.size && ids.iter().all(|id| self.cluster.is_up(*id));
        if !committed || !whole {
            return;
        }
        let added = replica(self.next_replica);
        self.next_replica += 1;
        self.cluster.nodes.insert(added, Node::default());
        self.cluster.start(added);
        self.submit(leader, "setup", AdminAction::AddReplica(record(added)));
        if let Some(removed) = self.pick(&ids) {
            self.submit(leader, "setup", AdminAction::RemoveReplica(removed));
        }
    }

    fn drain_one(&mut self) {
        if let Some(leader) = self.cluster.leader() {
            self.cluster.handle(leader, ControlEvent::Drain);
        }
    }

    fn submit(&mut self, node: ReplicaId, operator: &str, action: AdminAction) {
        let token = ReplyToken(self.cluster.token());
        let command = command(operator, &format!("c{}", token.0), action);
        self.commands.insert(token, command.clone());
        self.cluster.handle(node, ControlEvent::Admin(token, Box::new(command)));
    }

    // Two operators concurrently submit sheets with the same number and different content.
    fn submit_sheet(&mut self) {
        let number = self.next_sheet;
        self.next_sheet += self.cluster.rng.random_range(0..2);
        for operator in ["rosa", "ingrid"] {
            if let Some(node) = self.pick_receiver() {
                self.submit(node, operator, apply_sheet(number, operator));
            }
        }
    }

    fn announce_one(&mut self) {
        let name = format!("t{}", self.cluster.rng.random_range(0..4));
        let incarnation = self.cluster.now / 1_000_000;
        let snapshot = self.cluster.rng.random_range(1..4);
        let record = Box::new(target(&name, incarnation, snapshot));
        let token = ReplyToken(self.cluster.token());
        if let Some(node) = self.pick_receiver() {
            self.cluster.handle(node, ControlEvent::Announce(token, record));
        }
    }

    fn open_link(&mut self) {
        let Some(node) = self.pick_receiver() else { return };
        self.incarnation += 1;
        let link = LinkId(self.cluster.token());
        let registration = registration("e1", self.incarnation);
        let hello = EntryMessage::Hello { registration, revision: RevisionNumber(0) };
        self.cluster.handle(node, ControlEvent::Entry(link, hello));
        self.links.push(OpenLink { node, link });
    }

    fn claim_one(&mut self) {
        let Some(last) = self.links.len().checked_sub(1) else { return };
        let index = self.cluster.rng.random_range(last.saturating_sub(3)..=last);
        let OpenLink { node, link } = self.links[index];
        let key = claim_key(&format!("r{}", self.cluster.rng.random_range(0..8)), EPOCH);
        let token = QueryToken(self.cluster.token());
        self.claims.insert(token, (link, key.clone()));
        let fingerprint = fingerprint("tray");
        let claim = EntryMessage::Claim { token, key: key.clone(), fingerprint };
        self.cluster.handle(node, ControlEvent::Entry(link, renewal(token.0)));
        self.cluster.handle(node, ControlEvent::Entry(link, claim));
        if self.cluster.rng.random_range(0..4) == 0 {
            let outcome =
                OrderOutcome { outcome: RequestOutcome::Complete, target: None, body: None };
            let settle = EntryMessage::Settle { key, outcome };
            self.cluster.handle(node, ControlEvent::Entry(link, settle));
        }
    }

    /// Ends all faults, waits for recovery, and checks the replies to clients. The error is the first violation.
    fn finish(mut self) -> Result<(), String> {
        self.cluster.heal();
        self.cluster.faults.drop_percent = 0;
        self.cluster.nodes.values_mut().for_each(|node| node.disk.full = false);
        self.cluster.faults.max_disk_micros = 3_000;
        // A planned stop ends within this time.
        self.cluster.run(self.cluster.settings.drain_timeout);
        for id in self.cluster.nodes.keys().copied().collect::<Vec<_>>() {
            if !self.cluster.is_up(id) {
                self.cluster.start(id);
            }
        }
        for _ in 0..40 {
            self.cluster.run(Duration::from_millis(500));
            if self.cluster.leader().is_some() || self.cluster.violation.is_some() {
                break;
            }
        }
        self.cluster.run(Duration::from_secs(3));
        self.await_equal_positions();
        if let Some(violation) = &self.cluster.violation {
            return Err(violation.clone());
        }
        let leader = self.cluster.leader().ok_or("no leader although all replicas run")?;
        self.check_equal_states(leader)?;
        self.check_commands(leader)?;
        self.check_claims(leader)
    }

    // Waits until all voters have applied the same entries. Followers receive the commit index only with the next
    // heartbeat, and the leader may meanwhile propose to remove members whose leases have expired.
    fn await_equal_positions(&mut self) {
        for _ in 0..500 {
            let Some(leader) = self.cluster.leader() else { return };
            let raft = self.cluster.machine(leader).raft();
            let voters = raft.replica_set().0.voters();
            let others = voters.map(|voter| self.cluster.machine(voter).raft());
            let equal = { others }.all(|other| other.applied() == raft.applied());
            if equal {
                return;
            }
            self.cluster.run(Duration::from_millis(10));
        }
    }

    fn check_equal_states(&self, leader: ReplicaId) -> Result<(), String> {
        let leading = self.cluster.machine(leader);
        let expected = commands::encode(leading.state());
        let entries =
            leading.state().view().entries.values().flat_map(|processes| processes.values());
        let mut ordinals = BTreeSet::new();
        if !entries.map(|record| record.ordinal).all(|ordinal| ordinals.insert(ordinal)) {
            return Err("two processes hold one ordinal".into());
        }
        let (set, _) = leading.raft().replica_set();
        for record in set.records().filter(|record| record.voter) {
            let machine = self.cluster.machine(record.replica);
            if machine.raft().applied() != leading.raft().applied() {
                return Err(format!("replica {} lags", record.replica));
            }
            if commands::encode(machine.state()) != expected {
                return Err(format!("replica {} has another state", record.replica));
            }
        }
        Ok(())
    }

    fn check_commands(&self, leader: ReplicaId) -> Result<(), String> {
        let state = self.cluster.machine(leader).state();
        let mut accepted = BTreeMap::new();
        for (_, action) in &self.cluster.outputs {
            let ControlAction::Reply(token, ControlReply::Admin(outcome)) = action else {
                continue;
            };
            let Some(command) = self.commands.get(token) else { continue };
            if state.outcomes().find(command).as_ref() != Some(outcome) {
                return Err(format!("{token:?}: the reply {outcome:?} is not recorded"));
            }
            let AdminAction::ApplySheet { sheet, .. } = &command.action else { continue };
            if !matches!(outcome, AdminOutcome::Accepted { .. }) {
                continue;
            }
            let digest = sheet.digest();
            if *accepted.entry(sheet.number).or_insert(digest) != digest {
                return Err(format!("two sheets with number {} accepted", sheet.number));
            }
        }
        Ok(())
    }

    fn check_claims(&self, leader: ReplicaId) -> Result<(), String> {
        let claims = self.cluster.machine(leader).state().claims();
        let mut granted = BTreeMap::new();
        for (_, action) in &self.cluster.outputs {
            if let ControlAction::SendEntry(_, ControlMessage::Settled(key)) = action
                && matches!(claims.lookup(key), LookupVerdict::Found(ClaimState::Open { .. }))
            {
                return Err(format!("{key:?} was acknowledged as settled and is open"));
            }
            let ControlAction::SendEntry(_, ControlMessage::ClaimAnswer { token, verdict }) =
                action
            else {
                continue;
            };
            let (_, key) = &self.claims[token];
            if *verdict != ClaimVerdict::Granted {
                continue;
            }
            if let Some(other) = granted.insert(key, token) {
                return Err(format!("{key:?} granted to {other:?} and {token:?}"));
            }
            if !matches!(claims.lookup(key), LookupVerdict::Found(_)) {
                return Err(format!("{key:?} was granted and is lost"));
            }
        }
        Ok(())
    }
}

fn run_history(seed: u64, size: u64, acknowledge_early: bool) -> Result<(), String> {
    let mut history = History::new(seed, size, acknowledge_early);
    for _ in 0..STEPS {
        history.step();
        if let Some(violation) = &history.cluster.violation {
            return Err(violation.clone());
        }
    }
    history.finish()
}

// Set HICKORYSPAN_HISTORIES to run more histories, for example HICKORYSPAN_HISTORIES=5000.
fn run_histories(first: u64, usual: u64, size: u64) {
    let wanted = std::env::var("HICKORYSPAN_HISTORIES").ok();
    let count = wanted.and_then(|count| count.parse().ok()).unwrap_or(usual);
    for seed in first..first + count {
        if let Err(violation) = run_history(seed, size, false) {
            panic!("seed {seed}, {size} replicas: {violation}");
        }
    }
}

// Guards against replicas that disagree, lost replies, claims granted twice, and clusters that do not recover.
#[test]
fn three_replicas_agree() {
    run_histories(0, 120, 3);
}

// Like `three_replicas_agree`, but two quorums of five replicas may have a smaller share of the replicas in common.
#[test]
fn five_replicas_agree() {
    run_histories(100_000, 40, 5);
}

// The checks must detect an injected fault: batches that are acknowledged before they are durable.
#[test]
fn an_early_acknowledgement_is_detected() {
    let found = (0..60).find_map(|seed| run_history(seed, 3, true).err());
    assert!(found.is_some(), "no history detected the injected fault");
}
