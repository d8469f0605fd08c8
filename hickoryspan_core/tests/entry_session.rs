//! Guards against use of an ordinal that may belong to another process, and against configurations that go
//! backwards or are never updated.

mod entry_support;

use std::time::Duration;

use entry_support::*;
use hickoryspan_core::entry::interface::*;
use hickoryspan_core::membership::{MembershipView, ViewChange};
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;
use rstest::rstest;

const CUT_OFF: Option<Told> = Some((RequestOutcome::NotRun, Some(ResponseReason::CutOff)));

fn last_renewal(bench: &mut EntryBench) -> u64 {
    bench.sent().into_iter().filter_map(sequence_of).last().expect("a renewal")
}

fn sequence_of(message: EntryMessage) -> Option<u64> {
    match message {
        EntryMessage::Renew { sequence, .. } => Some(sequence),
        _ => None,
    }
}

fn not_leader(bench: &mut EntryBench, pledge: Duration) {
    bench.control(ControlMessage::NotLeader { leader: None, pledge });
}

/// Guards against a lease counted from the answer, which outlives control's own count.
#[test]
fn the_lease_counts_from_the_sending_of_the_renewal() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(1000));
    let sequence = last_renewal(&mut bench);
    let sent = bench.now.monotonic;
    bench.advance(millis(900));
    let renewed = bench.renewed(sequence);
    bench.event(renewed);
    bench.set_time(sent + LEASE - Duration::from_micros(1));
    assert_eq!(bench.probe_search(), None);
    bench.set_time(sent + LEASE);
    assert_eq!(bench.probe_search(), CUT_OFF);
    assert!(!bench.has_share());
}

/// Guards against orders and searches that run, or refer nobody elsewhere, after the lease ended.
#[test]
fn after_the_lease_everything_is_refused() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(6000));
    assert!(!bench.has_share());
    assert_eq!(bench.probe_search(), CUT_OFF);
    let token = bench.order("a");
    assert_eq!(bench.told(token), CUT_OFF);
    assert!(bench.sent().iter().all(|message| !matches!(message, EntryMessage::Claim { .. })));
}

/// Guards against a link that went silent and costs the lease although another replica answers.
#[test]
fn a_silent_link_is_replaced_before_the_lease_ends() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(2500));
    let connects = bench.connects();
    assert_eq!(connects.len(), 1, "one new link: {connects:?}");
    bench.answers = true;
    bench.event(EntryEvent::ControlOpened(connects[0]));
    bench.advance(millis(10_000));
    assert!(bench.engine.script().shares.iter().all(Option::is_some));
}

/// Guards against a welcome that is taken for a lease: it states none.
#[test]
fn a_welcome_alone_gives_no_share() {
    let mut bench = EntryBench::new(1);
    bench.answers = false;
    bench.advance(Duration::ZERO);
    let address = bench.connects()[0];
    bench.event(EntryEvent::ControlOpened(address));
    let welcome = bench.welcome(3);
    bench.event(welcome);
    assert!(bench.engine.script().shares.is_empty());
    assert_eq!(bench.probe_search(), CUT_OFF);
}

/// Cuts the leader off and lets the other replicas answer probes with pledges until `until`.
fn run_with_pledges(bench: &mut EntryBench, pledging: &[usize], until: Duration) {
    let end = bench.now.monotonic + until;
    while bench.now.monotonic < end {
        bench.advance(millis(10));
        for address in bench.connects() {
            if pledging.iter().any(|index| control_addresses()[*index] == address) {
                bench.event(EntryEvent::ControlOpened(address));
                not_leader(bench, LEASE);
            }
        }
    }
}

/// Guards against a stop of all searches while control has no quorum, and against orders in that time.
#[test]
fn pledges_of_a_majority_keep_searches_running() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    run_with_pledges(&mut bench, &[0, 2], millis(60_000));
    assert!(bench.engine.script().shares.iter().all(Option::is_some));
    assert_eq!(bench.probe_search(), None);
    let token = bench.order("a");
    assert_eq!(bench.told(token), CUT_OFF);
    bench.advance(LEASE + millis(10));
    assert!(!bench.has_share(), "the pledges ended");
    assert_eq!(bench.probe_search(), CUT_OFF);
}

/// Guards against pledges that prove nothing: those of a minority, and those that begin after a gap in which
/// the ordinal may have been given away.
#[rstest]
#[case::minority(&[1], 0)]
#[case::after_a_gap(&[0, 1], 6000)]
fn other_pledges_do_not_extend_the_lease(#[case] pledging: &[usize], #[case] gap: u64) {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(gap));
    bench.take();
    run_with_pledges(&mut bench, pledging, millis(10_000));
    assert_eq!(bench.probe_search(), CUT_OFF);
    assert!(!bench.has_share());
}

/// Guards against a loop of hints between replicas that disagree, and against a hint that is not followed.
#[test]
fn hints_are_followed_but_not_for_ever() {
    let mut bench = EntryBench::new(1);
    bench.answers = false;
    let hinted = address(7199);
    bench.advance(Duration::ZERO);
    let first = bench.connects()[0];
    bench.event(EntryEvent::ControlOpened(first));
    let hint = ControlMessage::NotLeader { leader: Some(hinted), pledge: Duration::ZERO };
    bench.control(hint.clone());
    assert_eq!(bench.connects(), [hinted]);
    let mut links = 0;
    for _ in 0..1000 {
        bench.advance(millis(10));
        for address in bench.connects() {
            links += 1;
            bench.event(EntryEvent::ControlOpened(address));
            bench.control(hint.clone());
        }
    }
    assert!(links < 100, "{links} links in 10 s");
}

/// Guards against reconnection storms while no replica can be reached.
#[test]
fn failures_back_off() {
    let mut bench = EntryBench::new(1);
    bench.answers = false;
    let mut links = Vec::new();
    for _ in 0..3000 {
        bench.advance(millis(10));
        for address in bench.connects() {
            links.push(address);
            bench.event(EntryEvent::ControlClosed);
        }
    }
    assert!((15..60).contains(&links.len()), "{} links in 30 s", links.len());
    assert!(control_addresses().iter().all(|address| links.contains(address)));
}

/// Guards against an ordinal that is used after control took it away.
#[test]
fn a_refusal_ends_the_share_at_once() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.control(ControlMessage::Refused("lease ended".into()));
    assert!(!bench.has_share());
    bench.answers = true;
    bench.advance(millis(500));
    assert!(bench.has_share(), "a new greeting was answered");
}

fn delta(view: &MembershipView, from: u64, to: u64) -> (ControlMessage, MembershipView) {
    let mut after = view.clone();
    let changes = vec![ViewChange::DrainDomain(id(&format!("d{to}")), true)];
    after.apply(RevisionNumber(to), changes.clone());
    let (from, to) = (RevisionNumber(from), RevisionNumber(to));
    (ControlMessage::Delta { from, to, changes, digest: after.digest }, after)
}

fn resyncs(bench: &mut EntryBench) -> usize {
    bench.sent().iter().filter(|message| **message == EntryMessage::Resync).count()
}

/// Guards against deltas that are applied to the wrong state, and against full views that are older.
#[test]
fn deltas_apply_only_to_the_revision_in_force() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    let (fitting, after) = delta(&bench.view, 5, 6);
    bench.control(fitting.clone());
    assert_eq!(bench.engine.script().revision, RevisionNumber(6));
    bench.control(fitting);
    assert_eq!(resyncs(&mut bench), 0, "a repeated delta is no gap");
    let (gap, _) = delta(&after, 7, 8);
    bench.control(gap.clone());
    bench.control(gap);
    assert_eq!(resyncs(&mut bench), 1, "a burst of unfit deltas asks once");
    let older = Box::new(bench.view.clone());
    bench.control(ControlMessage::View(older));
    assert_eq!(bench.engine.script().revision, RevisionNumber(6));
}

/// Guards against a state that differs from control's although the revision fits.
#[test]
fn a_wrong_digest_asks_for_the_whole_view() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    let (message, _) = delta(&bench.view, 5, 6);
    let ControlMessage::Delta { from, to, changes, .. } = message else { return };
    bench.control(ControlMessage::Delta { from, to, changes, digest: StateDigest([9; 32]) });
    assert_eq!(bench.engine.script().revision, RevisionNumber(5));
    assert_eq!(resyncs(&mut bench), 1);
}

/// Guards against a delta that got lost on a live link, after which nothing would ever arrive.
#[test]
fn a_lagging_view_is_fetched() {
    let mut bench = EntryBench::ready(1);
    bench.committed = Some(RevisionNumber(9));
    bench.view.apply(RevisionNumber(9), []);
    bench.advance(millis(2500));
    assert_eq!(bench.engine.script().revision, RevisionNumber(9));
}

/// Guards against a control group that lost committed state and would revert an accepted sheet.
#[test]
fn an_older_welcome_is_refused() {
    let mut bench = EntryBench::ready(1);
    bench.view.revision = RevisionNumber(4);
    bench.event(EntryEvent::ControlClosed);
    bench.advance(millis(8000));
    assert_eq!(bench.engine.script().revision, RevisionNumber(5));
    assert!(!bench.has_share());
}

/// Guards against any order of events in which a share outlives both the lease and the pledges, or in which
/// the revision decreases. The model: the latest end of anything control ever promised this process.
#[test]
fn no_order_of_events_overstretches_a_lease() {
    check_steps(7, 400, 6, 60, |steps| {
        let mut bench = EntryBench::ready(3);
        bench.answers = false;
        // The bench's last answered renewal was sent before now.
        let mut promised = bench.now.monotonic + LEASE;
        let mut revision = bench.engine.script().revision;
        for (kind, which, value) in steps {
            let now = bench.now.monotonic;
            match kind {
                0 => bench.advance(millis(value % 2500)),
                1 => {
                    let renewals = bench.sent().into_iter().filter_map(sequence_of).next();
                    bench.advance(millis(value % 1500));
                    if let Some(sequence) = renewals {
                        let renewed = bench.renewed(sequence);
                        bench.event(renewed);
                        promised = promised.max(now + LEASE);
                    }
                }
                2 => bench.event(EntryEvent::ControlClosed),
                3 => {
                    if let Some(address) = bench.connects().last().copied() {
                        bench.event(EntryEvent::ControlOpened(address));
                    }
                }
                4 => {
                    bench.view.revision = RevisionNumber(4 + value % 4);
                    let welcome = bench.welcome(3 + which as u64 % 2);
                    bench.event(welcome);
                }
                _ => {
                    not_leader(&mut bench, millis(value % 6000));
                    promised = promised.max(now + millis(value % 6000));
                }
            }
            bench.event(EntryEvent::Tick);
            assert!(!bench.has_share() || bench.now.monotonic < promised);
            let current = bench.engine.script().revision;
            assert!(current >= revision);
            revision = current;
        }
    });
}
