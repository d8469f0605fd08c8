//! Tests of a replica with real files across restarts and log compaction.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod support;

use std::path::Path;

use hickoryspan_core::control::interface::*;
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::control::settings::ControlSettings;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::*;
use hickoryspan_store::FileLog;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use support::*;

/// A replica with its files. Every batch is durable before the next event is handled.
struct Replica {
    machine: ControlMachine,
    log: FileLog,
    now: u64,
    replies: Vec<ControlReply>,
}

impl Replica {
    fn start(path: &Path, now: u64) -> Self {
        let opened = open(path).unwrap();
        let settings = ControlSettings {
            bootstrap: true,
            snapshot_log_entries: 150,
            ..ControlSettings::new(
                "127.0.0.1:7001".parse().unwrap(),
                "127.0.0.1:8001".parse().unwrap(),
            )
        };
        let generator = ChaCha12Rng::seed_from_u64(5);
        let machine = ControlMachine::new(IDENTITY, opened.recovered, settings, generator);
        let mut replica = Self { machine, log: opened.log, now, replies: Vec::new() };
        replica.handle(ControlEvent::Tick);
        replica
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            self.now += 1_000;
            let wall = WallTime(1_800_000_000_000 + self.now / 1_000);
            let now = ClockReading { monotonic: MonotonicTime(self.now), wall };
            let mut actions = Vec::new();
            self.machine.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    ControlAction::Persist(sequence, batch) => {
                        self.log.persist(&batch).unwrap();
                        events.push(ControlEvent::Persisted(sequence));
                    }
                    ControlAction::Reply(_, reply) => self.replies.push(reply),
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    fn request(&mut self, event: ControlEvent) -> ControlReply {
        self.handle(event);
        self.replies.pop().unwrap()
    }

    fn digest(&self) -> (RevisionNumber, StateDigest) {
        let view = self.machine.state().view();
        (view.revision, view.digest)
    }
}

fn drain_or_restore(number: u64) -> ControlEvent {
    let target = "t1".parse().unwrap();
    let action = match number % 2 {
        0 => AdminAction::DrainTarget(target),
        _ => AdminAction::RestoreTarget(target),
    };
    let (operator, command) = ("rosa".parse().unwrap(), format!("c{number}").parse().unwrap());
    ControlEvent::Admin(ReplyToken(number), Box::new(AdminCommand { operator, command, action }))
}

fn announcement() -> Box<TargetRecord> {
    Box::new(TargetRecord {
        target: "t1".parse().unwrap(),
        incarnation: IncarnationNumber(1),
        address: "127.0.0.1:9100".parse().unwrap(),
        tenant: "quindio".parse().unwrap(),
        service: "sales".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        partitions: Vec::new(),
        draining: false,
    })
}

// Replaying the log or loading a snapshot must restore the state that was replicated before the restart.
#[test]
fn a_restart_after_a_thousand_changes_gives_the_same_digest() {
    let folder = tempfile::tempdir().unwrap();
    drop(create(folder.path()));
    let mut replica = Replica::start(folder.path(), 0);
    replica.request(ControlEvent::Announce(ReplyToken(0), announcement()));
    let mut outcomes = Vec::new();
    for number in 0..1_000 {
        outcomes.push(replica.request(drain_or_restore(number)));
        if number % 333 == 332 {
            let (digest, now) = (replica.digest(), replica.now);
            drop(replica);
            replica = Replica::start(folder.path(), now);
            assert_eq!(replica.digest(), digest);
        }
    }
    assert_eq!(replica.digest().0, RevisionNumber(1_001));
    let now = replica.now;
    drop(replica);
    replica = Replica::start(folder.path(), now);
    for (number, outcome) in (0..1_000).zip(outcomes) {
        if number % 100 == 0 {
            assert_eq!(replica.request(drain_or_restore(number)), outcome, "command {number}");
        }
    }
    assert!(list(folder.path(), "log-").len() <= 2, "the log was not compacted");
}
