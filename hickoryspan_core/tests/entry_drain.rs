//! Guards against address answers that name entries which cannot serve, and against stops that cut requests.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::addresses::*;
use hickoryspan_core::entry::drain::{DrainControl, DrainSettings};

fn own(entry: &str) -> OwnStatus {
    OwnStatus {
        entry: id(entry),
        address: address(8000),
        is_overloaded: false,
        is_leaving: false,
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
    let mut book = AddressSelector::new(AddressSettings::default());
    (0..7000)
        .map(|caller| {
            let caller = id(&format!("caller-{caller}"));
            book.answer(MonotonicTime(1), view, &caller, own).addresses[0]
        })
        .collect()
}

fn counts(choices: &[SocketAddr]) -> BTreeMap<SocketAddr, usize> {
    choices.iter().fold(BTreeMap::new(), |mut counts, choice| {
        *counts.entry(*choice).or_default() += 1;
        counts
    })
}

/// Guards against callers that gather at few entries, or at one that sheds load, and against a change of
/// entries that moves them all.
#[test]
fn callers_spread_evenly_and_move_rarely() {
    let mut view = seven_entries();
    let before = first_choices(&view, &own("e0"));
    for (address, count) in counts(&before) {
        assert!((850..1150).contains(&count), "{address} has {count} of 7000 callers");
    }
    let loaded = OwnStatus { is_overloaded: true, ..own("e0") };
    let share = counts(&first_choices(&view, &loaded))[&address(8000)];
    // Half the weight of six others: one part in thirteen.
    assert!((400..680).contains(&share), "{share} of 7000 callers");
    view.apply(RevisionNumber(2), [ViewChange::RemoveEntry(id("e3"), IncarnationNumber(1))]);
    let after = first_choices(&view, &own("e0"));
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || *old == address(8003), "a caller of {old} moved to {new}");
    }
}

/// Guards against answers that one lost failure domain makes useless.
#[test]
fn answers_span_failure_domains() {
    let view = seven_entries();
    let mut book = AddressSelector::new(AddressSettings::default());
    for caller in 0..100 {
        let caller = id(&format!("caller-{caller}"));
        let answer = book.answer(MonotonicTime(1), &view, &caller, &own("e0"));
        let domains: BTreeSet<_> =
            answer.addresses.iter().map(|address| (address.port() - 8000) % 4).collect();
        assert_eq!((answer.addresses.len(), domains.len()), (3, 3));
        assert_eq!(answer.lifetime, millis(10_000));
    }
}

/// Guards against answers that name entries, or failure domains, that are being drained.
#[test]
fn draining_entries_and_domains_are_left_out() {
    let mut view = seven_entries();
    let draining = EntryRecord { draining: true, ..entry_record("e1", 8001, "south") };
    let changes = [ViewChange::PutEntry(draining), ViewChange::DrainDomain(id("east"), true)];
    view.apply(RevisionNumber(2), changes);
    let left: BTreeSet<_> = first_choices(&view, &own("e0")).into_iter().collect();
    assert_eq!(left, [8000, 8003, 8004, 8005].map(address).into());
}

/// Guards against an entry that cannot confirm its view, but hands it out for long.
#[test]
fn an_unconfirmed_entry_answers_briefly_and_without_itself() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(6000));
    let token = QueryToken(900);
    bench.event(EntryEvent::Addresses(token, id("desk")));
    let answer = address_answer(&mut bench);
    assert_eq!(answer.lifetime, millis(1000));
    assert!(!answer.addresses.is_empty() && !answer.addresses.contains(&address(8000)));
    let refused = bench.search();
    let response = bench.response(refused).expect("a response");
    assert_eq!(response.other_addresses, answer.addresses);
}

fn address_answer(bench: &mut EntryBench) -> AddressAnswer {
    bench.event(EntryEvent::Addresses(QueryToken(901), id("desk")));
    let answers = bench.take().into_iter().filter_map(|action| match action {
        EntryAction::RespondAddresses(_, answer) => Some(answer),
        _ => None,
    });
    answers.last().expect("an answer")
}

/// Lets control accept the drain: the view names the entry as draining.
fn accept_drain(bench: &mut EntryBench) {
    let record = EntryRecord { draining: true, ..entry_record("e0", 8000, "north") };
    let changes = vec![ViewChange::PutEntry(record)];
    let from = bench.view.revision;
    let to = from.next();
    bench.view.apply(to, changes.clone());
    let digest = bench.view.digest;
    bench.control(ControlMessage::Delta { from, to, changes, digest });
}

fn is_stopped(bench: &EntryBench) -> bool {
    bench.actions.iter().any(|action| matches!(action, EntryAction::Stopped))
}

/// Guards against a stop while callers still hold the address, and against requests that are cut.
#[test]
fn a_drain_serves_until_every_lifetime_ended() {
    let mut bench = EntryBench::ready(1);
    let early = bench.order("early");
    bench.control(ControlMessage::ClaimAnswer { token: early, verdict: ClaimVerdict::Granted });
    bench.take();
    bench.event(EntryEvent::Drain);
    let is_told = bench
        .sent()
        .into_iter()
        .any(|message| matches!(message, EntryMessage::Renew { draining, .. } if draining));
    assert!(is_told, "control is told at once");
    assert!(!address_answer(&mut bench).addresses.contains(&address(8000)));
    bench.advance(millis(3000));
    accept_drain(&mut bench);
    bench.advance(millis(15_990));
    assert_eq!(bench.probe_search(), None, "still served");
    let last = bench.search();
    bench.advance(millis(20));
    let refused = bench.search();
    let response = bench.response(refused).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::NotRun);
    assert_eq!(response.reason, Some(ResponseReason::Draining));
    assert!(!response.other_addresses.is_empty());
    assert!(!response.other_addresses.contains(&address(8000)));
    assert!(!is_stopped(&bench));
    bench.report(EngineReport::Search(last, search_result(1.0, &[1])));
    assert_eq!(bench.response(last).expect("a response").outcome, RequestOutcome::Complete);
    bench.advance(millis(2000));
    assert!(!is_stopped(&bench), "the order is not settled");
    let result = OrderResult::Lost { target: id("t1") };
    bench.report(EngineReport::Order(early, result));
    bench.take();
    bench.control(ControlMessage::Settled(claim_key("early")));
    assert!(is_stopped(&bench));
    assert!(!bench.has_share());
    assert_eq!(bench.sent(), [EntryMessage::Release]);
    assert_eq!(bench.machine.next_wakeup(), None);
}

/// Guards against a stop that never comes because control does not accept the drain or record outcomes.
#[test]
fn a_drain_without_control_ends() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    let token = bench.order("a");
    bench.control(ControlMessage::ClaimAnswer { token, verdict: ClaimVerdict::Granted });
    let result = OrderResult::Lost { target: id("t1") };
    bench.report(EngineReport::Order(token, result));
    bench.event(EntryEvent::Drain);
    bench.advance(millis(119_000));
    assert!(!is_stopped(&bench));
    bench.advance(millis(2000));
    assert!(is_stopped(&bench));
}

/// Guards against a last answer of this entry that outlives its service.
#[test]
fn own_answers_are_outlived() {
    let mut drain = DrainControl::new(DrainSettings::default(), millis(10_000));
    drain.begin(MonotonicTime(0));
    drain.observe(MonotonicTime(0), false);
    let own_end = Some(MonotonicTime(17_000_000));
    drain.advance(MonotonicTime(16_999_999), own_end);
    assert!(!drain.is_refusing());
    drain.advance(MonotonicTime(17_000_000), own_end);
    assert!(drain.is_refusing());
}
