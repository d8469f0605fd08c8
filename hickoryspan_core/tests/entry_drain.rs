//! Address answers name only entries that can serve, and a graceful shutdown interrupts no requests.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::addresses::*;
use hickoryspan_core::entry::drain::{DrainControl, DrainSettings};

fn own(entry: &str) -> OwnStatus {
    OwnStatus {
        entry: id(entry),
        address: address(8000),
        is_overloaded: false,
        is_excluded: false,
        is_confirmed: true,
    }
}

fn seven_entries() -> MembershipView {
    view_of(&[
        ("e0", 8000, "north"),
        ("e1", 8001, "south"),
        ("e2", 8002, "east"),
        ("e3", 8003, "west"),
        ("e4", 8004, "north"),
        ("e5", 8005, "south"),
        ("e6", 8006, "east"),
    ])
}

fn first_choices(view: &MembershipView, own: &OwnStatus) -> Vec<SocketAddr> {
    let mut selector = AddressSelector::new(AddressSettings::default());
    (0..7000)
        .map(|caller| {
            let caller = id(&format!("caller-{caller}"));
            selector.answer(MonotonicTime(1), view, &caller, own).addresses[0]
        })
        .collect()
}

fn counts(choices: &[SocketAddr]) -> BTreeMap<SocketAddr, usize> {
    choices.iter().fold(BTreeMap::new(), |mut counts, choice| {
        *counts.entry(*choice).or_default() += 1;
        counts
    })
}

/// Guards against callers concentrated on few entries or on an overloaded one, and against a removed entry that
/// moves callers of other entries.
#[test]
fn callers_spread_evenly_and_move_rarely() {
    let mut view = seven_entries();
    let before = first_choices(&view, &own("e0"));
    for (address, count) in counts(&before) {
        assert!((850..1150).contains(&count), "{address} has {count} of 7000 callers");
    }
    let loaded = OwnStatus { is_overloaded: true, ..own("e0") };
    let share = counts(&first_choices(&view, &loaded))[&address(8000)];
    // Half the weight of each of the six others: one thirteenth of the callers.
    assert!((400..680).contains(&share), "{share} of 7000 callers");
    view.apply(RevisionNumber(2), [ViewChange::RemoveEntry(id("e3"), IncarnationNumber(1))]);
    let after = first_choices(&view, &own("e0"));
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || *old == address(8003), "a caller of {old} moved to {new}");
    }
}

/// Guards against answers whose addresses are all in one failure domain.
#[test]
fn answers_span_failure_domains() {
    let view = seven_entries();
    let mut selector = AddressSelector::new(AddressSettings::default());
    for caller in 0..100 {
        let caller = id(&format!("caller-{caller}"));
        let answer = selector.answer(MonotonicTime(1), &view, &caller, &own("e0"));
        let domains: BTreeSet<_> =
            answer.addresses.iter().map(|address| (address.port() - 8000) % 4).collect();
        assert_eq!((answer.addresses.len(), domains.len()), (3, 3));
        assert_eq!(answer.lifetime, millis(10_000));
    }
}

/// Guards against answers with draining entries or entries in drained failure domains.
#[test]
fn draining_entries_and_domains_are_left_out() {
    let mut view = seven_entries();
    let draining = EntryRecord { draining: true, ..entry_record("e1", 8001, "south") };
    let changes = [ViewChange::PutEntry(draining), ViewChange::DrainDomain(id("east"), true)];
    view.apply(RevisionNumber(2), changes);
    let left: BTreeSet<_> = first_choices(&view, &own("e0")).into_iter().collect();
    assert_eq!(left, [8000, 8003, 8004, 8005].map(address).into());
}

/// Guards against an entry that cannot confirm its view but gives out answers with the regular lifetime, or its own
/// address.
#[test]
fn an_unconfirmed_entry_answers_briefly_and_without_itself() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.advance(millis(6000));
    let token = QueryToken(900);
    harness.event(EntryEvent::Addresses(token, id("desk")));
    let answer = address_answer(&mut harness);
    assert_eq!(answer.lifetime, millis(1000));
    assert!(!answer.addresses.is_empty() && !answer.addresses.contains(&address(8000)));
    let refused = harness.search();
    let response = harness.response(refused).expect("a response");
    assert_eq!(response.other_addresses, answer.addresses);
}

fn address_answer(harness: &mut EntryHarness) -> AddressAnswer {
    harness.event(EntryEvent::Addresses(QueryToken(901), id("desk")));
    let answers = harness.take().into_iter().filter_map(|action| match action {
        EntryAction::RespondAddresses(_, answer) => Some(answer),
        _ => None,
    });
    answers.last().expect("an answer")
}

/// Makes control accept the drain by marking the entry as draining in the view.
fn accept_drain(harness: &mut EntryHarness) {
    let record = EntryRecord { draining: true, ..entry_record("e0", 8000, "north") };
    let changes = vec![ViewChange::PutEntry(record)];
    let from = harness.view.revision;
    let to = from.next();
    harness.view.apply(to, changes.clone());
    let digest = harness.view.digest;
    harness.control(ControlMessage::Delta { from, to, changes, digest });
}

fn is_stopped(harness: &EntryHarness) -> bool {
    harness.actions.iter().any(|action| matches!(action, EntryAction::Stopped))
}

/// Guards against a shutdown while callers may still use the address, and against interrupted requests.
#[test]
fn a_drain_serves_until_every_lifetime_ended() {
    let mut harness = EntryHarness::ready(1);
    let early = harness.order("early");
    harness.control(ControlMessage::ClaimAnswer { token: early, verdict: ClaimVerdict::Granted });
    harness.take();
    harness.event(EntryEvent::Drain);
    let is_notified = harness
        .sent()
        .into_iter()
        .any(|message| matches!(message, EntryMessage::Renew { draining, .. } if draining));
    assert!(is_notified, "control is notified at once");
    assert!(!address_answer(&mut harness).addresses.contains(&address(8000)));
    harness.advance(millis(3000));
    accept_drain(&mut harness);
    harness.advance(millis(15_990));
    assert_eq!(harness.probe_search(), None, "still served");
    let last = harness.search();
    harness.advance(millis(20));
    let refused = harness.search();
    let response = harness.response(refused).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::NotRun);
    assert_eq!(response.reason, Some(ResponseReason::Draining));
    assert!(!response.other_addresses.is_empty());
    assert!(!response.other_addresses.contains(&address(8000)));
    assert!(!is_stopped(&harness));
    harness.report(EngineReport::Search(last, search_result(1.0, &[1])));
    assert_eq!(harness.response(last).expect("a response").outcome, RequestOutcome::Complete);
    harness.advance(millis(2000));
    assert!(!is_stopped(&harness), "the order is not settled");
    let result = OrderResult::Lost { target: id("t1") };
    harness.report(EngineReport::Order(early, result));
    harness.take();
    harness.control(ControlMessage::Settled(claim_key("early")));
    assert!(is_stopped(&harness));
    assert!(!harness.has_share());
    assert_eq!(harness.sent(), [EntryMessage::Release]);
    assert_eq!(harness.machine.next_wakeup(), None);
}

/// Guards against a shutdown that never completes because control does not accept the drain or record outcomes.
#[test]
fn a_drain_without_control_ends() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    let token = harness.order("a");
    harness.control(ControlMessage::ClaimAnswer { token, verdict: ClaimVerdict::Granted });
    let result = OrderResult::Lost { target: id("t1") };
    harness.report(EngineReport::Order(token, result));
    harness.event(EntryEvent::Drain);
    harness.advance(millis(119_000));
    assert!(!is_stopped(&harness));
    harness.advance(millis(2000));
    assert!(is_stopped(&harness));
}

/// Guards against orders that end without an answer because a drained entry waits for control, whose answers it ignores.
#[test]
fn an_order_after_the_drain_is_answered_at_once() {
    let mut harness = EntryHarness::ready(1);
    harness.event(EntryEvent::Drain);
    accept_drain(&mut harness);
    harness.advance(millis(16_000));
    assert!(is_stopped(&harness));
    let late = harness.order("late");
    assert_eq!(harness.outcome_of(late), unknown(ResponseReason::Draining));
}

/// Guards against refusing requests before the entry's own last address answer has expired.
#[test]
fn requests_are_served_until_own_answers_expire() {
    let mut drain = DrainControl::new(DrainSettings::default(), millis(10_000));
    drain.begin(MonotonicTime(0));
    drain.observe_view(MonotonicTime(0), false);
    let own_expiry = Some(MonotonicTime(17_000_000));
    drain.advance(MonotonicTime(16_999_999), own_expiry);
    assert!(!drain.is_refusing());
    drain.advance(MonotonicTime(17_000_000), own_expiry);
    assert!(drain.is_refusing());
}
