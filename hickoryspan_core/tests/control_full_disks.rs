//! Random histories of control hosts whose disks are full for some seconds each, one after another. Documents are sent all
//! the while.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::raft::ElectionRange;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_core::gateway::documents::document::{DocumentOutcome, DocumentVersion};
use hickoryspan_core::gateway::membership::members::MemberSettings;
use hickoryspan_core::types::ReplicaId;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rstest::rstest;

/// Environment variable with the number of histories of each kind.
const HISTORIES_VARIABLE: &str = "HICKORYSPAN_FULL_DISK_HISTORIES";
const DEFAULT_HISTORIES: u64 = 8;
/// Number of disks that become full, one after another.
const FULL_DISKS: usize = 8;
/// Time within which a change must be acknowledged, and a request be answered, on the users' platform.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which control hosts report themselves.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Steps of the operator and the faults.
const STEP: Duration = Duration::from_millis(50);
/// Time without a response after which the operator sends a change to another host.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
/// Number of changes that the operator has in progress at most.
const MAX_CHANGES: usize = 8;

/// Events beside the full disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// Hosts that are stopped by a kill and start again, never while a disk is full.
    Kills,
    /// Hosts that are replaced as planned.
    Replacements,
}

/// A change that the operator has sent and that is not acknowledged yet.
struct Change {
    /// The host that was asked last, with the token of the request.
    asked: Option<(ReplicaId, ReplyToken)>,
    next_at: u64,
    attempts: u32,
}

struct History {
    cluster: Cluster,
    beside: Beside,
    voters: usize,
    changes: BTreeMap<u64, Change>,
    next_version: u64,
    next_change_at: u64,
    next_announcement_at: u64,
    next_report_at: u64,
    next_host: u64,
    acknowledged: u64,
    // Requests that have no answer yet, with the time at which they were sent.
    unanswered: BTreeMap<ReplyToken, (ReplicaId, u64)>,
    last_leader: Option<ReplicaId>,
    turn: usize,
}

impl History {
    fn start(seed: u64, hosts: u64, voters: usize, beside: Beside) -> Self {
        let members = MemberSettings {
            voters,
            replace_after: Duration::from_secs(2),
            ..MemberSettings::default()
        };
        let mut cluster = Cluster::new(seed, hosts, |settings: &mut ControlSettings| {
            settings.members = Some(members);
            settings.raft.election_min = Duration::from_millis(400);
            settings.raft.election_max = Duration::from_millis(800);
            settings.raft.first_election = Some(ElectionRange::FIRST);
            settings.raft.pledge = Duration::ZERO;
            settings.snapshot_log_entries = 12;
            settings.raft.retained_entries = 3;
            settings.raft.snapshot_chunk_bytes = 500;
            settings.raft.max_append_entries = 4;
        });
        cluster.faults.max_disk_micros = [1_000, 20_000][cluster.rng.random_range(0..2)];
        let now = cluster.now;
        let mut history = Self {
            cluster,
            beside,
            voters,
            changes: BTreeMap::new(),
            next_version: 1,
            next_change_at: now,
            next_announcement_at: now,
            next_report_at: now,
            next_host: hosts + 1,
            acknowledged: 0,
            unanswered: BTreeMap::new(),
            last_leader: None,
            turn: 0,
        };
        history.run(Duration::from_secs(3), true);
        assert_eq!(history.set().1, voters, "the replica set is not complete");
        history
    }

    fn in_future(&self, delay: Duration) -> u64 {
        self.cluster.now + delay.as_micros() as u64
    }

    fn draw(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.cluster.rng.random_range(millis))
    }

    /// Returns the leader with the numbers of voters and of running hosts.
    fn set(&self) -> (Option<ReplicaId>, usize, usize) {
        let leader = self.cluster.leader();
        let raft = leader.map(|leader| self.cluster.machine(leader).raft());
        let voters = raft.map_or(0, |raft| raft.replica_set().0.voters().count());
        (leader, voters, self.cluster.up().len())
    }

    fn run(&mut self, duration: Duration, sends: bool) {
        let end = self.in_future(duration);
        while self.cluster.now < end {
            if self.next_report_at <= self.cluster.now {
                self.next_report_at = self.in_future(REPORT_INTERVAL);
                self.report_hosts();
            }
            if sends && self.next_change_at <= self.cluster.now && self.changes.len() < MAX_CHANGES
            {
                let pause = self.draw(50..600);
                self.next_change_at = self.in_future(pause);
                self.add_change();
            }
            if sends && self.next_announcement_at <= self.cluster.now {
                let pause = self.draw(100..800);
                self.next_announcement_at = self.in_future(pause);
                self.announce();
            }
            self.operate();
            let left = Duration::from_micros(end - self.cluster.now);
            self.cluster.run(STEP.min(left));
            self.take_replies();
        }
    }

    fn report_hosts(&mut self) {
        for to in self.cluster.up() {
            for from in self.cluster.up() {
                self.cluster.handle(to, ControlEvent::ReplicaSeen(Box::new(record(from))));
            }
        }
    }

    fn add_change(&mut self) -> u64 {
        let version = self.next_version;
        self.next_version += self.cluster.rng.random_range(1..3);
        let change = Change { asked: None, next_at: self.cluster.now, attempts: 0 };
        self.changes.insert(version, change);
        version
    }

    fn announce(&mut self) {
        let (name, incarnation) = (self.cluster.rng.random_range(0..4), self.cluster.now);
        let Some(host) = self.pick_host() else { return };
        let token = ReplyToken(self.cluster.token());
        let record = Box::new(target(&format!("t{name}"), incarnation, 1));
        self.unanswered.insert(token, (host, self.cluster.now));
        self.cluster.handle(host, ControlEvent::Announce(token, record));
    }

    fn pick_host(&mut self) -> Option<ReplicaId> {
        let up = self.cluster.up();
        up.choose(&mut self.cluster.rng).copied()
    }

    /// Sends the changes that are due, each to a random host.
    fn operate(&mut self) {
        let now = self.cluster.now;
        let due = self.changes.iter().filter(|(_, change)| change.next_at <= now);
        for version in due.map(|(version, _)| *version).collect::<Vec<_>>() {
            if let Some(host) = self.pick_host() {
                self.ask(version, host);
            }
        }
    }

    fn ask(&mut self, version: u64, host: ReplicaId) {
        let token = ReplyToken(self.cluster.token());
        let next_at = self.in_future(OPERATOR_PATIENCE);
        let change = self.changes.get_mut(&version).unwrap();
        change.asked = Some((host, token));
        change.next_at = next_at;
        change.attempts += 1;
        self.unanswered.insert(token, (host, self.cluster.now));
        let document = Arc::new(document(version));
        self.cluster.handle(host, ControlEvent::ReplaceDocument(token, document));
    }

    fn take_replies(&mut self) {
        let mut replies = Vec::new();
        self.cluster.outputs.retain(|(_, action)| match action {
            ControlAction::Reply(token, reply) => {
                replies.push((*token, reply.clone()));
                false
            }
            _ => true,
        });
        for (token, reply) in replies {
            self.unanswered.remove(&token);
            self.take_reply(token, reply);
        }
        let now = self.cluster.now;
        let stopped = |host: &ReplicaId| !self.cluster.is_up(*host);
        self.unanswered.retain(|_, (host, _)| !stopped(host));
        for (token, (host, sent_at)) in &self.unanswered {
            let waited = Duration::from_micros(now - sent_at);
            assert!(waited <= ACK_TIMEOUT, "{host} does not answer {token:?}: {}", self.describe());
        }
    }

    fn take_reply(&mut self, token: ReplyToken, reply: ControlReply) {
        let asked = |change: &Change| change.asked.is_some_and(|(_, asked)| asked == token);
        let Some((version, attempts)) = self
            .changes
            .iter()
            .find(|(_, change)| asked(change))
            .map(|(version, change)| (*version, change.attempts))
        else {
            return;
        };
        match reply {
            ControlReply::DocumentDecided(DocumentOutcome::Conflict { .. }) => {
                panic!("version {version} is refused: {}", self.describe());
            }
            ControlReply::DocumentDecided(_) => {
                self.acknowledged = self.acknowledged.max(version);
                self.changes.remove(&version);
            }
            ControlReply::NotLeader(Some(leader)) if self.cluster.is_up(leader.replica) => {
                self.ask(version, leader.replica);
            }
            _ => {
                let backoff = Duration::from_millis(50 << attempts.min(4));
                let next_at = self.in_future(backoff);
                self.changes.get_mut(&version).unwrap().next_at = next_at;
            }
        }
    }

    /// Chooses a host whose disk becomes full: the leader, a follower, the newest leader or the next one in turn.
    fn pick_full(&mut self) -> ReplicaId {
        let up = self.cluster.up();
        let leader = self.cluster.leader();
        let followers: Vec<ReplicaId> =
            up.iter().copied().filter(|host| Some(*host) != leader).collect();
        self.turn += 1;
        match (self.cluster.rng.random_range(0..4), leader) {
            (0 | 1, Some(leader)) => leader,
            (2, _) => *followers.choose(&mut self.cluster.rng).unwrap(),
            _ => up[self.turn % up.len()],
        }
    }

    fn set_full(&mut self, host: ReplicaId, full: bool) {
        if let Some(node) = self.cluster.nodes.get_mut(&host) {
            node.disk.full = full;
            node.disk.partial = true;
        }
    }

    /// Fills the disk of one host for some seconds.
    fn fill_disk(&mut self) {
        // Sometimes right after an election, while the new leader is not serving yet.
        if self.cluster.rng.random_range(0..3) == 0 {
            let end = self.in_future(Duration::from_secs(2));
            while self.cluster.leader() == self.last_leader && self.cluster.now < end {
                self.run(Duration::from_millis(10), true);
            }
        }
        let host = self.pick_full();
        self.last_leader = self.cluster.leader();
        self.set_full(host, true);
        let mut left = self.draw(800..5_000);
        // Space comes and goes within a second.
        if self.cluster.rng.random_range(0..4) == 0 {
            for full in [false, true] {
                let part = self.draw(20..400);
                self.run(part, true);
                self.set_full(host, full);
                left = left.saturating_sub(part);
            }
        }
        self.run(left, true);
        self.set_full(host, false);
        let pause = [0, 5, 100, 1_500][self.cluster.rng.random_range(0..4)];
        self.run(Duration::from_millis(pause), true);
    }

    fn act_beside(&mut self) {
        match self.beside {
            Beside::Nothing => {}
            Beside::Kills => {
                let host = self.pick_host().unwrap();
                self.cluster.crash(host);
                let down = self.draw(100..2_000);
                self.run(down, true);
                self.cluster.start(host);
                let pause = self.draw(0..2_000);
                self.run(pause, true);
            }
            Beside::Replacements => self.replace_host(),
        }
    }

    /// Adds a host and stops another one as planned, while the disk of a third one may be full.
    fn replace_host(&mut self) {
        let leaving = self.pick_host().unwrap();
        let added = replica(self.next_host);
        self.next_host += 1;
        self.cluster.nodes.insert(added, Node::default());
        self.cluster.start(added);
        let full = self.pick_full();
        self.set_full(full, full != leaving);
        let pause = self.draw(1_000..4_000);
        self.run(pause, true);
        self.cluster.handle(leaving, ControlEvent::Drain);
        self.run(Duration::from_secs(1), true);
        self.set_full(full, false);
        self.run(Duration::from_secs(4), true);
        self.cluster.destroy(leaving);
        for change in self.changes.values_mut() {
            change.next_at = self.cluster.now;
        }
    }

    fn describe(&self) -> String {
        let hosts = self.cluster.nodes.iter().map(|(host, node)| {
            let Some(machine) = &node.machine else { return format!("{host} down") };
            let raft = machine.raft();
            let voters: Vec<_> = raft.replica_set().0.voters().map(|voter| voter.0).collect();
            let last = node.disk.state.entries.last().map_or(0, |entry| entry.index.0);
            format!(
                "{host}: leads {}, term {}, full {}, commit {}, disk {last}, idle {}, voters {voters:?}",
                raft.is_leader(),
                raft.term(),
                raft.is_disk_full(),
                raft.commit(),
                raft.is_idle(),
            )
        });
        let hosts: Vec<String> = hosts.collect();
        format!("at {} us: {:#?}", self.cluster.now, hosts)
    }

    /// All disks have room: everything that is open and one more change must be acknowledged in time, and the document
    /// must be read back.
    fn finish(&mut self) {
        let room_at = self.cluster.now;
        self.add_change();
        while !self.changes.is_empty() {
            let waited = Duration::from_micros(self.cluster.now - room_at);
            let open: Vec<&u64> = self.changes.keys().collect();
            assert!(waited <= ACK_TIMEOUT, "{open:?} not acknowledged: {}", self.describe());
            self.run(STEP, false);
        }
        self.check_document();
        self.run(Duration::from_secs(5), false);
        self.add_change();
        self.run(ACK_TIMEOUT, false);
        assert!(self.changes.is_empty(), "a later change is not acknowledged: {}", self.describe());
        self.check_document();
        assert_eq!(self.set().1, self.voters, "the set of voters changed: {}", self.describe());
        assert_eq!(self.cluster.violation, None);
    }

    fn check_document(&mut self) {
        let reply = self.cluster.ask(|token| ControlEvent::Query(token, AdminQuery::Document));
        let ControlReply::Document(document) = reply else { panic!("{reply:?}") };
        let version = document.as_ref().map(|document| document.version);
        assert_eq!(version, Some(DocumentVersion(self.acknowledged)), "{}", self.describe());
    }
}

fn play_history(seed: u64, hosts: u64, voters: usize, beside: Beside) {
    let mut history = History::start(seed, hosts, voters, beside);
    for _ in 0..FULL_DISKS {
        history.fill_disk();
        if history.cluster.rng.random_range(0..3) == 0 {
            history.act_beside();
        }
        assert_eq!(history.cluster.violation, None);
    }
    history.finish();
}

/// Guards against changes that are refused, lost or not answered although every disk has room again, because hosts do
/// not recover from a disk that was full for a while.
#[rstest]
#[case::five_voters(1_000, 5, 5, Beside::Nothing)]
#[case::five_voters_of_seven_hosts(2_000, 7, 5, Beside::Nothing)]
#[case::three_voters(3_000, 3, 3, Beside::Nothing)]
#[case::beside_kills(4_000, 5, 5, Beside::Kills)]
#[case::beside_replacements(5_000, 5, 5, Beside::Replacements)]
fn changes_are_accepted_after_full_disks(
    #[case] first_seed: u64,
    #[case] hosts: u64,
    #[case] voters: usize,
    #[case] beside: Beside,
) {
    let wanted = std::env::var(HISTORIES_VARIABLE).ok().and_then(|count| count.parse().ok());
    for seed in first_seed..first_seed + wanted.unwrap_or(DEFAULT_HISTORIES) {
        println!("seed {seed}, {hosts} hosts, {beside:?}");
        play_history(seed, hosts, voters, beside);
    }
}
