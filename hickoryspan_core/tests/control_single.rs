//! Tests of a single control replica: sheets, members, claims, quarantines, leases and dissemination of the view.

// The lint allows `unwrap` in test functions but not in their helpers.
#![allow(clippy::unwrap_used)]

mod control_support;

use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::dissemination::DeltaHistory;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::membership::{CrashEvidence, MembershipView, QuarantineLevel, ViewChange};
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;

fn single() -> Cluster {
    let mut cluster = Cluster::new(7, 1, |_| {});
    cluster.await_leader();
    cluster
}

fn granted(messages: &[ControlMessage]) -> bool {
    let granted = |message: &ControlMessage| {
        matches!(message, ControlMessage::ClaimAnswer { verdict: ClaimVerdict::Granted, .. })
    };
    messages.iter().any(granted)
}

// A replica that replies before the entry is durable loses an accepted sheet in a crash.
#[test]
fn an_accepted_sheet_survives_a_restart() {
    let mut cluster = single();
    let outcome = cluster.admin_as("rosa", "c1", apply_sheet(3, "monday"));
    cluster.crash(replica(1));
    cluster.start(replica(1));
    assert_eq!(cluster.admin_as("rosa", "c1", apply_sheet(3, "monday")), outcome);
    assert_eq!(cluster.status().sheet, Some(SheetNumber(3)));
}

// A process that is welcomed before its ordinal is committed could share it with another process.
#[test]
fn processes_get_exclusive_ordinals_and_renewals() {
    let mut cluster = single();
    let (first, messages) = cluster.join("e1", 1);
    assert!(matches!(messages[..], [ControlMessage::Welcome { ordinal: OrdinalNumber(0), .. }]));
    let (_, messages) = cluster.join("e2", 1);
    assert!(matches!(messages[..], [ControlMessage::Welcome { ordinal: OrdinalNumber(1), .. }]));
    let messages = cluster.take_messages(first);
    assert!(matches!(messages[..], [ControlMessage::Delta { .. }]), "{messages:?}");
    let messages = cluster.send(first, renewal(9));
    assert!(matches!(messages[..], [ControlMessage::Renewed { sequence: 9, .. }]), "{messages:?}");
    let reply = cluster.announce(&target("t1", 1, 7));
    assert!(matches!(reply, ControlReply::Announced { .. }));
    assert_eq!(cluster.status().targets, 1);
}

// If two processes could claim the same order, it would run twice.
#[test]
fn a_claim_is_granted_once_and_its_first_outcome_stays() {
    let mut cluster = single();
    let (link, _) = cluster.join("e1", 1);
    let (other, _) = cluster.join("e2", 1);
    let key = claim_key("order-1", EPOCH);
    let claim = |token| EntryMessage::Claim {
        token: QueryToken(token),
        key: claim_key("order-1", EPOCH),
        fingerprint: fingerprint("tray"),
    };
    assert!(granted(&cluster.send(link, claim(1))));
    assert!(!granted(&cluster.send(other, claim(2))));
    assert!(!granted(&cluster.send(link, claim(3))));
    let outcome =
        OrderOutcome { outcome: RequestOutcome::Complete, target: None, body: Some("ok".into()) };
    let settle = EntryMessage::Settle { key: key.clone(), outcome: outcome.clone() };
    let messages = cluster.send(link, settle);
    assert_eq!(messages, [ControlMessage::Settled(key.clone())]);
    let failed = OrderOutcome { outcome: RequestOutcome::Failed, ..outcome.clone() };
    cluster.send(link, EntryMessage::Settle { key: key.clone(), outcome: failed });
    let messages = cluster.send(other, EntryMessage::Lookup { token: QueryToken(4), key });
    let verdict = LookupVerdict::Found(ClaimState::Settled(outcome));
    assert_eq!(
        messages,
        [ControlMessage::LookupAnswer {
            token: QueryToken(4),
            verdict,
            fingerprint: Some(fingerprint("tray"))
        }]
    );
    cluster.run(Duration::from_millis(1));
}

fn claim(request: &str, token: u64) -> EntryMessage {
    let (key, fingerprint) = (claim_key(request, EPOCH), fingerprint("tray"));
    EntryMessage::Claim { token: QueryToken(token), key, fingerprint }
}

fn lookup(cluster: &mut Cluster, link: LinkId, request: &str) -> LookupVerdict {
    let token = QueryToken(cluster.token());
    let key = claim_key(request, EPOCH);
    let messages = cluster.send(link, EntryMessage::Lookup { token, key });
    messages
        .into_iter()
        .find_map(|message| match message {
            ControlMessage::LookupAnswer { verdict, .. } => Some(verdict),
            _ => None,
        })
        .unwrap()
}

fn settled_unknown(verdict: &LookupVerdict) -> bool {
    matches!(
        verdict,
        LookupVerdict::Found(ClaimState::Settled(OrderOutcome {
            outcome: RequestOutcome::Unknown,
            ..
        }))
    )
}

// A resent command must return its first outcome, regardless of later commands.
#[test]
fn resent_commands_get_the_first_outcome() {
    let mut cluster = single();
    let first = cluster.admin_as("rosa", "c1", apply_sheet(3, "monday"));
    let AdminOutcome::Accepted { revision } = first else { panic!("{first:?}") };
    let taken = cluster.admin_as("ingrid", "c1", apply_sheet(3, "other"));
    let AdminOutcome::NumberTaken { number, by, digest, .. } = &taken else { panic!("{taken:?}") };
    assert_eq!((number.0, by.as_str()), (3, "rosa"));
    assert_eq!(*digest, sheet(3, "monday").digest());
    cluster.admin("rosa", apply_sheet(4, "tuesday"));
    assert_eq!(cluster.admin_as("rosa", "c1", apply_sheet(3, "monday")), first);
    assert_eq!(cluster.admin_as("ingrid", "c1", apply_sheet(3, "other")), taken);
    let other_id = cluster.admin("ingrid", apply_sheet(3, "monday"));
    assert_eq!(other_id, AdminOutcome::Accepted { revision });
    let reused = cluster.admin_as("rosa", "c1", apply_sheet(5, "wednesday"));
    assert_eq!(reused, AdminOutcome::CommandConflict);
    let low = cluster.admin("rosa", apply_sheet(2, "sunday"));
    assert_eq!(low, AdminOutcome::NumberTooLow { current: SheetNumber(4) });
    assert_eq!(cluster.status().sheet, Some(SheetNumber(4)));
}

// A truncated export must not remove callers unless the operator confirms every removed name.
#[test]
fn removed_names_must_all_be_confirmed() {
    let mut cluster = single();
    cluster.admin("rosa", apply_sheet(1, "monday"));
    let mut smaller = (*sheet(2, "tuesday")).clone();
    smaller.tenants.clear();
    let smaller = std::sync::Arc::new(smaller);
    let apply = |confirmed: &[&str]| AdminAction::ApplySheet {
        sheet: smaller.clone(),
        confirmed_removals: confirmed.iter().map(|name| (*name).into()).collect(),
    };
    let all = ["tenant quindio", "caller quindio/desk"];
    let refused = AdminOutcome::RemovalsUnconfirmed(all.map(Into::into).into());
    assert_eq!(cluster.admin("rosa", apply(&[])), refused);
    assert_eq!(cluster.admin("rosa", apply(&["tenant quindio"])), refused);
    assert!(matches!(cluster.admin("rosa", apply(&all)), AdminOutcome::Accepted { .. }));
}

// A delayed announcement of an old process must not replace the running one or undo its withdrawal.
#[test]
fn older_incarnations_are_refused() {
    let mut cluster = single();
    assert!(matches!(cluster.announce(&target("t1", 5, 1)), ControlReply::Announced { .. }));
    assert!(matches!(cluster.announce(&target("t1", 4, 1)), ControlReply::AnnounceRefused(_)));
    let withdraw = |incarnation| {
        move |token| {
            let target = "t1".parse().unwrap();
            ControlEvent::Withdraw(token, target, IncarnationNumber(incarnation))
        }
    };
    assert!(matches!(cluster.ask(withdraw(4)), ControlReply::AnnounceRefused(_)));
    assert_eq!(cluster.ask(withdraw(5)), ControlReply::Withdrawn);
    assert!(matches!(cluster.announce(&target("t1", 5, 1)), ControlReply::AnnounceRefused(_)));
    assert!(matches!(cluster.announce(&target("t1", 6, 1)), ControlReply::Announced { .. }));
}

// If a target's announcement ended an operator's drain, work would be sent to a host that is about to be stopped.
#[test]
fn an_operators_drain_survives_announcements() {
    let mut cluster = single();
    cluster.announce(&target("t1", 5, 1));
    cluster.admin("rosa", AdminAction::DrainTarget("t1".parse().unwrap()));
    let is_draining = |cluster: &Cluster| {
        cluster.machine(replica(1)).state().view().targets.values().all(|record| record.draining)
    };
    cluster.announce(&target("t1", 6, 2));
    assert!(is_draining(&cluster));
    cluster.admin("rosa", AdminAction::RestoreTarget("t1".parse().unwrap()));
    assert!(!is_draining(&cluster));
    let unknown = cluster.admin("rosa", AdminAction::DrainTarget("t9".parse().unwrap()));
    assert!(matches!(unknown, AdminOutcome::Rejected(_)));
}

// The manifest must keep all partitions of a snapshot while one of them has no target, or coverage would be
// overstated.
#[test]
fn a_manifest_stays_while_any_partition_is_served() {
    let mut cluster = single();
    let mut second = target("t2", 1, 1);
    second.partitions[0].shard = "s2".parse().unwrap();
    cluster.announce(&target("t1", 1, 1));
    cluster.announce(&second);
    let partitions = |cluster: &Cluster| {
        let view = cluster.machine(replica(1)).state().view();
        let manifests = view.snapshots.values().flat_map(|manifests| manifests.values());
        manifests.map(|manifest| manifest.partitions.len()).collect::<Vec<_>>()
    };
    let withdraw = |name: &str| {
        let target: TargetId = name.parse().unwrap();
        move |token| ControlEvent::Withdraw(token, target.clone(), IncarnationNumber(1))
    };
    cluster.ask(withdraw("t1"));
    assert_eq!(partitions(&cluster), [2]);
    cluster.ask(withdraw("t2"));
    assert!(partitions(&cluster).is_empty());
}

// Targets with different key ranges for one shard would mix two partitionings in one answer.
#[test]
fn a_contradicting_key_range_is_refused() {
    let mut cluster = single();
    cluster.announce(&target("t1", 1, 1));
    let mut other = target("t2", 1, 1);
    other.partitions[0].range = KeyRange { first: 0, last: 9 };
    assert!(matches!(cluster.announce(&other), ControlReply::AnnounceRefused(_)));
}

// A target that stops renewing must be removed, but if all targets of a service pause, they are removed only after a
// second lease.
#[test]
fn lost_targets_expire_and_mass_expiry_waits_one_lease() {
    let mut cluster = single();
    let names: Vec<String> = (0..4).map(|number| format!("t{number}")).collect();
    names.iter().for_each(|name| drop(cluster.announce(&target(name, 1, 1))));
    for _ in 0..5 {
        cluster.run(Duration::from_secs(2));
        names[1..].iter().for_each(|name| drop(cluster.announce(&target(name, 1, 1))));
    }
    assert_eq!(cluster.status().targets, 3);
    cluster.run(Duration::from_secs(8));
    assert_eq!(cluster.status().targets, 3, "expired without waiting");
    cluster.run(Duration::from_secs(6));
    assert_eq!(cluster.status().targets, 0);
}

// A leader that was stalled has not read the renewals that arrived meanwhile, so it must not expire any lease at once.
#[test]
fn a_stalled_leader_extends_leases_before_it_expires_any() {
    let mut cluster = single();
    cluster.announce(&target("t1", 1, 1));
    let (_, messages) = cluster.join("e1", 1);
    assert_eq!(messages.len(), 1);
    cluster.now += 30_000_000;
    cluster.run(Duration::from_secs(3));
    let status = cluster.status();
    assert_eq!((status.targets, status.entries.len()), (1, 1));
}

// An order of an expired process may have run, so its outcome is unknown; a late settlement must not replace it.
#[test]
fn claims_of_an_expired_process_become_unknown() {
    let mut cluster = single();
    let (link, _) = cluster.join("e1", 1);
    assert!(granted(&cluster.send(link, claim("order-1", 1))));
    cluster.run(Duration::from_secs(8));
    let refused = cluster.take_messages(link);
    assert!(refused.iter().any(|message| matches!(message, ControlMessage::Refused(_))));
    let (other, _) = cluster.join("e2", 1);
    assert!(settled_unknown(&lookup(&mut cluster, other, "order-1")));
    let (again, _) = cluster.join("e1", 1);
    let outcome = OrderOutcome { outcome: RequestOutcome::Complete, target: None, body: None };
    let key = claim_key("order-1", EPOCH);
    cluster.send(again, EntryMessage::Settle { key, outcome });
    assert!(settled_unknown(&lookup(&mut cluster, other, "order-1")));
}

// A released ordinal must be free at once, and a dropped claim must be reported as expired, not as absent.
#[test]
fn release_frees_the_ordinal_and_the_horizon_only_rises() {
    let mut cluster = Cluster::new(8, 1, |settings| {
        settings.max_ordinals = 1;
        settings.claim_retention = Duration::from_secs(3_600);
        settings.max_claims = 2;
    });
    let (link, _) = cluster.join("e1", 1);
    let (_, messages) = cluster.join("e2", 1);
    assert!(matches!(messages[..], [ControlMessage::Refused(_)]));
    for request in ["a", "b"] {
        assert!(granted(&cluster.send(link, claim(request, 1))));
    }
    let messages = cluster.send(link, claim("c", 2));
    let refused = ClaimVerdict::Unavailable;
    assert_eq!(messages, [ControlMessage::ClaimAnswer { token: QueryToken(2), verdict: refused }]);
    assert!(cluster.send(link, EntryMessage::Release).is_empty());
    let closed = |(_, action): &(_, ControlAction)| matches!(action, ControlAction::CloseLink(other) if *other == link);
    assert!(cluster.outputs.iter().any(closed));
    let (link, messages) = cluster.join("e2", 1);
    assert!(matches!(messages[..], [ControlMessage::Welcome { .. }]));
    assert!(settled_unknown(&lookup(&mut cluster, link, "a")));
    cluster.wall_offset += 2 * 3_600 * 1_000;
    cluster.run(Duration::from_secs(301));
    let (link, _) = cluster.join("e2", 2);
    assert_eq!(lookup(&mut cluster, link, "a"), LookupVerdict::Expired);
    cluster.wall_offset -= 2 * 3_600 * 1_000;
    cluster.run(Duration::from_secs(301));
    assert_eq!(cluster.status().claims, 0);
    let (link, _) = cluster.join("e2", 3);
    let messages = cluster.send(link, claim("a", 3));
    let expired = ClaimVerdict::Expired;
    assert_eq!(messages, [ControlMessage::ClaimAnswer { token: QueryToken(3), verdict: expired }]);
}

fn crash(target: &str, fingerprints: &[&str]) -> EntryMessage {
    let evidence =
        CrashEvidence { target: target.parse().unwrap(), incarnation: IncarnationNumber(1) };
    let fingerprints = fingerprints.iter().map(|text| fingerprint(text)).collect();
    EntryMessage::ReportCrash { evidence, fingerprints }
}

fn level(cluster: &Cluster, text: &str) -> Option<QuarantineLevel> {
    let view = cluster.machine(replica(1)).state().view();
    view.quarantines.get(&fingerprint(text)).map(|record| record.level)
}

fn cluster_with_targets() -> (Cluster, LinkId) {
    let mut cluster = single();
    (1..=5).for_each(|number| drop(cluster.announce(&target(&format!("t{number}"), 1, 1))));
    let (link, _) = cluster.join("e1", 1);
    (cluster, link)
}

// A request that crashes targets must be condemned, but only after crashes of two different targets.
#[test]
fn two_crashes_condemn_and_one_makes_suspect() {
    let (mut cluster, link) = cluster_with_targets();
    cluster.send(link, crash("t1", &["bad", "bystander"]));
    cluster.send(link, crash("t1", &["bad"]));
    assert_eq!(level(&cluster, "bad"), Some(QuarantineLevel::Suspect));
    cluster.run(Duration::from_secs(3));
    cluster.send(link, crash("t2", &["bad"]));
    assert_eq!(level(&cluster, "bad"), Some(QuarantineLevel::Condemned));
    cluster.send(link, EntryMessage::ClearSuspect(fingerprint("bad")));
    cluster.send(link, EntryMessage::ClearSuspect(fingerprint("bystander")));
    assert_eq!(level(&cluster, "bad"), Some(QuarantineLevel::Condemned));
    assert_eq!(level(&cluster, "bystander"), None);
    let lift = || AdminAction::LiftQuarantine(fingerprint("bad"));
    assert!(matches!(cluster.admin("rosa", lift()), AdminOutcome::Accepted { .. }));
    assert!(matches!(cluster.admin("rosa", lift()), AdminOutcome::Rejected(_)));
    assert_eq!(level(&cluster, "bad"), None);
}

// The loss of a failure domain must not quarantine the requests that were running there.
#[test]
fn the_loss_of_a_failure_domain_is_no_evidence() {
    let (mut cluster, link) = cluster_with_targets();
    for name in ["t1", "t2", "t3", "t4"] {
        cluster.send(link, crash(name, &["innocent"]));
    }
    assert_eq!(level(&cluster, "innocent"), None);
    cluster.run(Duration::from_secs(4));
    cluster.send(link, crash("t1", &["innocent"]));
    assert_eq!(level(&cluster, "innocent"), None, "a late report of the same loss");
}

// A quarantine must expire, because the target's fault may have been repaired.
#[test]
fn quarantine_expires() {
    let (mut cluster, link) = cluster_with_targets();
    cluster.send(link, crash("t1", &["bad"]));
    cluster.run(Duration::from_secs(9 * 60));
    assert_eq!(level(&cluster, "bad"), Some(QuarantineLevel::Suspect));
    cluster.run(Duration::from_secs(2 * 60));
    assert_eq!(level(&cluster, "bad"), None);
}

// Applying the deltas in order, or the whole view, must give the leader's digest; otherwise an entry serves a state
// that never existed.
#[test]
fn deltas_and_views_lead_to_the_leaders_digest() {
    let mut cluster = Cluster::new(9, 1, |settings| settings.max_delta_changes = 6);
    cluster.await_leader();
    let (link, messages) = cluster.join("e1", 1);
    let [ControlMessage::Welcome { view, .. }] = &messages[..] else { panic!("{messages:?}") };
    let mut view = (**view).clone();
    for number in 1..30 {
        cluster.announce(&target(&format!("t{}", number % 3), 1, number));
        let mut messages = cluster.take_messages(link);
        messages.extend(cluster.send(link, renewal(number)));
        for message in messages {
            if let ControlMessage::Delta { from, to, changes, digest } = message {
                assert_eq!(from, view.revision);
                view.apply(to, changes);
                assert_eq!(view.digest, digest);
            }
        }
    }
    let messages = cluster.send(link, EntryMessage::Resync);
    let [ControlMessage::View(whole)] = &messages[..] else { panic!("{messages:?}") };
    assert_eq!(**whole, view);
}

// An entry that is further behind than the history needs the whole view, because a delta would leave a gap.
#[test]
fn an_entry_far_behind_gets_the_whole_view() {
    let mut view = MembershipView::default();
    let mut history = DeltaHistory::new(RevisionNumber(0), 3);
    for number in 1..=5 {
        let change = ViewChange::PutTarget(target("t1", number, 1));
        view.apply(RevisionNumber(number), [change.clone()]);
        history.push(&view, vec![change]);
    }
    let update = |from| history.update(RevisionNumber(from), &view);
    assert!(matches!(update(1), Some(ControlMessage::View(_))));
    assert!(matches!(update(2), Some(ControlMessage::Delta { changes, .. }) if changes.len() == 3));
    assert_eq!(update(5), None);
    assert!(matches!(update(9), Some(ControlMessage::View(_))));
}

// A flood of announcements must not let the log or memory use grow without bound.
#[test]
fn announcement_floods_are_bounded() {
    let mut cluster = Cluster::new(10, 1, |settings| settings.max_waiting_announcements = 4);
    let leader = cluster.await_leader();
    cluster.announce(&target("t0", 1, 1));
    let commit = cluster.status().commit;
    for _ in 0..100 {
        cluster.announce(&target("t0", 1, 1));
    }
    assert_eq!(cluster.status().commit, commit, "unchanged renewals reached the log");
    for number in 1..=100 {
        let token = ReplyToken(1_000_000 + number);
        let record = Box::new(target(&format!("t{number}"), 1, 1));
        cluster.handle(leader, ControlEvent::Announce(token, record));
    }
    cluster.run(Duration::from_secs(1));
    let replies = (1..=100).map(|number| cluster.reply(ReplyToken(1_000_000 + number)).unwrap());
    let announced = replies.filter(|reply| matches!(reply, ControlReply::Announced { .. })).count();
    assert!((1..100).contains(&announced), "{announced} of 100 were taken");
    assert!(cluster.status().commit.0 <= commit.0 + 4);
}

// Proposals beyond the limit must be rejected with a retry delay instead of filling the memory.
#[test]
fn a_full_proposal_queue_refuses() {
    let mut cluster = Cluster::new(11, 1, |settings| settings.raft.max_uncommitted_entries = 8);
    let leader = cluster.await_leader();
    for number in 0..20 {
        let command = command("rosa", &format!("c{number}"), apply_sheet(number + 1, "day"));
        let token = ReplyToken(1_000_000 + number);
        cluster.handle(leader, ControlEvent::Admin(token, Box::new(command)));
    }
    cluster.run(Duration::from_secs(1));
    let replies = (0..20).map(|number| cluster.reply(ReplyToken(1_000_000 + number)).unwrap());
    let refused = replies.filter(|reply| matches!(reply, ControlReply::Unavailable { .. })).count();
    assert!((1..20).contains(&refused), "{refused} of 20 were refused");
}

// One sweep must not remove many targets of a failure domain, because the cause may be a fault of the control replica.
#[test]
fn a_sweep_removes_few_targets_of_one_failure_domain() {
    let mut cluster = Cluster::new(12, 1, |settings| settings.max_expiries_per_domain = 1);
    let names: Vec<String> = (0..5).map(|number| format!("t{number}")).collect();
    names.iter().for_each(|name| drop(cluster.announce(&target(name, 1, 1))));
    let mut counts = Vec::new();
    for _ in 0..80 {
        cluster.run(Duration::from_millis(100));
        names[2..].iter().for_each(|name| drop(cluster.announce(&target(name, 1, 1))));
        counts.push(cluster.machine(replica(1)).state().view().targets.len());
    }
    counts.dedup();
    assert_eq!(counts, [5, 4, 3]);
}

fn entry_draining(cluster: &Cluster) -> Vec<bool> {
    let view = cluster.machine(replica(1)).state().view();
    let processes = view.entries.values().flat_map(|processes| processes.values());
    processes.map(|record| record.draining).collect()
}

// A draining entry must be marked in the view until it reports otherwise; an operator's drain must also apply to later
// processes of the entry.
#[test]
fn an_entry_drains_by_itself_or_by_an_operator() {
    let mut cluster = single();
    let (link, _) = cluster.join("e1", 1);
    let report = |sequence, draining| match renewal(sequence) {
        EntryMessage::Renew { sequence, revision, digest, demand, .. } => {
            EntryMessage::Renew { sequence, revision, digest, draining, demand }
        }
        other => other,
    };
    cluster.send(link, report(1, true));
    assert_eq!(entry_draining(&cluster), [true]);
    cluster.send(link, report(2, false));
    assert_eq!(entry_draining(&cluster), [false]);
    let entry: EntryId = "e1".parse().unwrap();
    cluster.admin("rosa", AdminAction::DrainEntry(entry.clone()));
    cluster.send(link, report(3, false));
    cluster.join("e1", 2);
    assert_eq!(entry_draining(&cluster), [true, true]);
    cluster.admin("rosa", AdminAction::RestoreEntry(entry.clone()));
    assert_eq!(entry_draining(&cluster), [false, false]);
    let again = cluster.admin("rosa", AdminAction::RestoreEntry(entry));
    assert!(matches!(again, AdminOutcome::Rejected(_)));
}

// An older process that registers after a newer one would hold an ordinal that is not freed in time.
#[test]
fn an_older_process_does_not_join_after_a_newer_one() {
    let mut cluster = single();
    cluster.join("e1", 2);
    let (_, messages) = cluster.join("e1", 1);
    assert!(matches!(messages[..], [ControlMessage::Refused(_)]), "{messages:?}");
    let (_, messages) = cluster.join("e1", 2);
    let [ControlMessage::Welcome { ordinal, .. }] = messages[..] else { panic!("{messages:?}") };
    assert_eq!(ordinal, OrdinalNumber(0), "the process did not keep its ordinal");
}

// Operators must be able to read the audit trail, the current sheet and the targets.
#[test]
fn operators_can_read_the_audit_trail_the_sheet_and_the_targets() {
    let mut cluster = single();
    cluster.announce(&target("t1", 1, 1));
    cluster.admin_as("rosa", "c1", apply_sheet(3, "monday"));
    let drained = cluster.admin_as("ingrid", "c2", AdminAction::DrainDomain("a".parse().unwrap()));
    assert!(matches!(drained, AdminOutcome::Accepted { .. }));
    let unknown = cluster.admin("ingrid", AdminAction::DrainDomain("z".parse().unwrap()));
    assert!(matches!(unknown, AdminOutcome::Rejected(_)));
    let history = AdminQuery::History { limit: 2 };
    let reply = cluster.ask(|token| ControlEvent::Query(token, history.clone()));
    let ControlReply::History(records) = reply else { panic!("{reply:?}") };
    assert_eq!(records.len(), 2);
    assert_eq!(records[1].operator.as_str(), "ingrid");
    assert_eq!(&*records[1].summary, "drain failure domain a");
    let reply = cluster.ask(|token| ControlEvent::Query(token, AdminQuery::Sheet(None)));
    assert_eq!(reply, ControlReply::Sheet(Some(sheet(3, "monday"))));
    let reply = cluster.ask(|token| ControlEvent::Query(token, AdminQuery::Targets));
    assert!(matches!(reply, ControlReply::Targets(targets) if targets.len() == 1));
}

// Announcements of an old process must not renew the lease of a newer one that was lost.
#[test]
fn an_older_process_does_not_renew_the_lease_of_a_newer_one() {
    let mut cluster = single();
    ["t1", "t2", "t3"].iter().for_each(|name| drop(cluster.announce(&target(name, 5, 1))));
    for _ in 0..9 {
        cluster.run(Duration::from_secs(1));
        cluster.announce(&target("t1", 4, 1));
        ["t2", "t3"].iter().for_each(|name| drop(cluster.announce(&target(name, 5, 1))));
    }
    assert_eq!(cluster.status().targets, 2);
}

// `Refused` makes an entry close its connections, so a renewal on a link without a `Hello` must be redirected instead.
#[test]
fn a_renewal_on_an_unknown_link_is_redirected_to_the_leader() {
    let mut cluster = single();
    let messages = cluster.send(LinkId(99), renewal(1));
    let leader = Some(record(replica(1)).peer_address);
    assert_eq!(messages, [ControlMessage::NotLeader { leader, pledge: Duration::ZERO }]);
}

// A leader without other voters gets no answers, so old heartbeat rounds must be dropped without them, or its state
// grows with every read.
#[test]
fn reads_do_not_grow_the_state_of_a_single_voter() {
    let mut cluster = single();
    let size_after = |cluster: &mut Cluster, reads: u32| {
        for _ in 0..reads {
            cluster.status();
            cluster.run(Duration::from_millis(1));
        }
        cluster.outputs.clear();
        cluster.run(Duration::from_secs(1));
        format!("{:?}", cluster.machine(replica(1)).raft()).len()
    };
    let before = size_after(&mut cluster, 100);
    let after = size_after(&mut cluster, 1_000);
    assert!(after < before + 1_000, "from {before} to {after} characters");
}

// With a wrong idle time, a new holder of an ordinal could spend a share of a limit that the previous holder has just
// spent.
#[test]
fn a_welcome_reports_how_long_the_ordinal_was_free() {
    let idle_time = |messages: &[ControlMessage]| match messages {
        [ControlMessage::Welcome { idle, ordinal, .. }] => (*ordinal, *idle),
        other => panic!("{other:?}"),
    };
    let mut cluster = single();
    let (link, messages) = cluster.join("e1", 1);
    let (ordinal, idle) = idle_time(&messages);
    assert!(ordinal == OrdinalNumber(0) && idle >= Duration::from_secs(3600));
    let (_, messages) = cluster.join("e1", 1);
    assert_eq!(idle_time(&messages), (OrdinalNumber(0), Duration::ZERO), "the same process");
    cluster.send(link, EntryMessage::Release);
    // All other ordinals are assigned before the freed one.
    for number in 1..20 {
        let (_, messages) = cluster.join(&format!("f{number}"), 1);
        assert_eq!(idle_time(&messages).0, OrdinalNumber(number));
    }
    let (_, messages) = cluster.join("g1", 1);
    let (ordinal, idle) = idle_time(&messages);
    assert!(ordinal == OrdinalNumber(0) && idle < Duration::from_secs(3600), "{idle:?}");
}
