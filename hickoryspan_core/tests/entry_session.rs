//! The session with control: an ordinal is used only while it cannot belong to another process, and the
//! configuration is updated and never reverts to an older revision.

mod entry_support;

use entry_support::*;

const CUT_OFF: Option<OutcomeReason> = Some((RequestOutcome::NotRun, Some(ResponseReason::CutOff)));

fn last_renewal(harness: &mut EntryHarness) -> u64 {
    harness.sent().into_iter().filter_map(sequence_of).last().expect("a renewal")
}

fn sequence_of(message: EntryMessage) -> Option<u64> {
    match message {
        EntryMessage::Renew { sequence, .. } => Some(sequence),
        _ => None,
    }
}

fn not_leader(harness: &mut EntryHarness, pledge: Duration) {
    harness.control(ControlMessage::NotLeader { leader: None, pledge });
}

/// Guards against a lease that is counted from the answer, so that it would end later here than at control, and
/// against requests that run after its end.
#[test]
fn the_lease_counts_from_the_sending_of_the_renewal() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.advance(millis(1000));
    let sequence = last_renewal(&mut harness);
    let sent = harness.now.monotonic;
    harness.advance(millis(900));
    let renewed = harness.renewed(sequence);
    harness.event(renewed);
    harness.set_time(sent + LEASE - Duration::from_micros(1));
    assert_eq!(harness.probe_search(), None);
    harness.set_time(sent + LEASE);
    assert_eq!(harness.probe_search(), CUT_OFF);
    assert!(!harness.has_share());
    let token = harness.order("a");
    // An earlier request of the same order may have run through another entry.
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::CutOff));
    assert!(harness.sent().iter().all(|message| !matches!(message, EntryMessage::Claim { .. })));
}

/// Guards against losing the lease to an unresponsive connection although another replica answers.
#[test]
fn a_silent_link_is_replaced_before_the_lease_ends() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.advance(millis(2500));
    let connects = harness.connects();
    assert_eq!(connects.len(), 1, "one new link: {connects:?}");
    harness.auto_reply = true;
    harness.event(EntryEvent::ControlOpened(connects[0]));
    harness.advance(millis(10_000));
    assert!(harness.engine.script().shares.iter().all(Option::is_some));
}

/// Guards against treating a welcome message as a lease, which it does not state.
#[test]
fn a_welcome_alone_gives_no_share() {
    let mut harness = EntryHarness::new(1);
    harness.auto_reply = false;
    harness.advance(Duration::ZERO);
    let address = harness.connects()[0];
    harness.event(EntryEvent::ControlOpened(address));
    let welcome = harness.welcome(3);
    harness.event(welcome);
    assert!(harness.engine.script().shares.is_empty());
    assert_eq!(harness.probe_search(), CUT_OFF);
}

/// Runs for `time` without a leader, while the `pledging` replicas answer connections with pledges.
fn run_with_pledges(
    harness: &mut EntryHarness,
    pledging: &[usize],
    pledge: Duration,
    time: Duration,
) {
    let end = harness.now.monotonic + time;
    while harness.now.monotonic < end {
        harness.advance(millis(10));
        for address in harness.connects() {
            if pledging.iter().any(|index| control_addresses()[*index] == address) {
                harness.event(EntryEvent::ControlOpened(address));
                not_leader(harness, pledge);
            }
        }
    }
}

/// Guards against refusing searches, and against running orders, while control has no quorum.
#[rstest]
#[case::default(LEASE)]
#[case::short(millis(2500))]
fn pledges_of_a_majority_keep_searches_running(#[case] pledge: Duration) {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    run_with_pledges(&mut harness, &[0, 2], pledge, millis(60_000));
    assert!(harness.engine.script().shares.iter().all(Option::is_some));
    assert_eq!(harness.probe_search(), None);
    let token = harness.order("a");
    // An earlier request of the same order may have run through another entry.
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::CutOff));
    harness.advance(LEASE + millis(10));
    assert!(!harness.has_share(), "the pledges ended");
    assert_eq!(harness.probe_search(), CUT_OFF);
}

/// Guards against relying on pledges of a minority, or on pledges that begin after a gap in which another
/// process may have got the ordinal.
#[rstest]
#[case::minority(&[1], 0)]
#[case::after_a_gap(&[0, 1], 6000)]
fn other_pledges_do_not_extend_the_lease(#[case] pledging: &[usize], #[case] gap: u64) {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.advance(millis(gap));
    harness.take();
    run_with_pledges(&mut harness, pledging, LEASE, millis(10_000));
    assert_eq!(harness.probe_search(), CUT_OFF);
    assert!(!harness.has_share());
}

/// Answers every new connection for `time` and returns the addresses.
fn follow_links(
    harness: &mut EntryHarness,
    time: Duration,
    answer: impl Fn(&mut EntryHarness),
) -> Vec<SocketAddr> {
    let end = harness.now.monotonic + time;
    let mut links = Vec::new();
    while harness.now.monotonic < end {
        harness.advance(millis(10));
        for address in harness.connects() {
            links.push(address);
            harness.event(EntryEvent::ControlOpened(address));
            answer(harness);
        }
    }
    links
}

/// Guards against a redirect loop between replicas that disagree about the leader, and against ignored redirects.
#[test]
fn redirects_are_followed_up_to_a_limit() {
    let mut harness = EntryHarness::new(1);
    harness.auto_reply = false;
    let redirect =
        ControlMessage::NotLeader { leader: Some(address(7199)), pledge: Duration::ZERO };
    let links =
        follow_links(&mut harness, millis(10_000), |harness| harness.control(redirect.clone()));
    assert_eq!(links[1], address(7199));
    assert!((10..100).contains(&links.len()), "{} links in 10 s", links.len());
}

/// Guards against reconnection storms while no replica is usable, and against replicas that are never tried.
#[test]
fn failures_back_off() {
    let mut harness = EntryHarness::new(1);
    harness.auto_reply = false;
    let close = |harness: &mut EntryHarness| harness.event(EntryEvent::ControlClosed);
    let links = follow_links(&mut harness, millis(30_000), close);
    assert!((15..60).contains(&links.len()), "{} links in 30 s", links.len());
    assert!(control_addresses().iter().all(|address| links[..3].contains(address)));
}

/// Guards against using the lease of one ordinal for another.
#[test]
fn a_new_ordinal_needs_its_own_renewal() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    let welcome = harness.welcome(4);
    harness.event(welcome);
    assert!(!harness.has_share());
    let sequence = last_renewal(&mut harness);
    let renewed = harness.renewed(sequence);
    harness.event(renewed);
    let share = harness.engine.script().shares.last().copied().flatten();
    assert_eq!(share.map(|share| share.ordinal), Some(OrdinalNumber(4)));
}

/// Guards against using an ordinal after control revoked it.
#[test]
fn a_refusal_ends_the_share_at_once() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.control(ControlMessage::Refused("lease ended".into()));
    assert!(!harness.has_share());
    harness.auto_reply = true;
    harness.advance(millis(500));
    assert!(harness.has_share(), "the entry registered again");
}

fn delta(view: &MembershipView, from: u64, to: u64) -> (ControlMessage, MembershipView) {
    let mut after = view.clone();
    let changes = vec![ViewChange::DrainDomain(id(&format!("d{to}")), true)];
    after.apply(RevisionNumber(to), changes.clone());
    let (from, to) = (RevisionNumber(from), RevisionNumber(to));
    (ControlMessage::Delta { from, to, changes, digest: after.digest }, after)
}

fn resyncs(harness: &mut EntryHarness) -> usize {
    harness.sent().iter().filter(|message| **message == EntryMessage::Resync).count()
}

/// Guards against deltas that do not start at the view in force or do not result in control's state, and
/// against older full views.
#[test]
fn deltas_apply_only_to_the_revision_in_force() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    let (fitting, after) = delta(&harness.view, 5, 6);
    harness.control(fitting.clone());
    assert_eq!(harness.engine.script().revision, RevisionNumber(6));
    harness.control(fitting);
    assert_eq!(resyncs(&mut harness), 0, "a repeated delta is no gap");
    let (gap, _) = delta(&after, 7, 8);
    harness.control(gap.clone());
    harness.control(gap);
    assert_eq!(resyncs(&mut harness), 1, "a burst of deltas that do not apply causes one request");
    let older = Box::new(harness.view.clone());
    harness.control(ControlMessage::View(older));
    harness.advance(millis(1000));
    let digest = StateDigest([9; 32]);
    let (from, to) = (RevisionNumber(6), RevisionNumber(7));
    harness.control(ControlMessage::Delta { from, to, changes: Vec::new(), digest });
    assert_eq!(resyncs(&mut harness), 1, "the digest differs");
    assert_eq!(harness.engine.script().revision, RevisionNumber(6));
}

/// Guards against a view that stays outdated after a delta was lost on a working connection.
#[test]
fn a_lagging_view_is_fetched() {
    let mut harness = EntryHarness::ready(1);
    harness.view.apply(RevisionNumber(9), []);
    harness.advance(millis(2500));
    assert_eq!(harness.engine.script().revision, RevisionNumber(9));
}

/// Guards against reverting an accepted sheet when control has lost committed state.
#[test]
fn an_older_welcome_is_refused() {
    let mut harness = EntryHarness::ready(1);
    harness.view.revision = RevisionNumber(4);
    harness.event(EntryEvent::ControlClosed);
    harness.advance(millis(8000));
    assert_eq!(harness.engine.script().revision, RevisionNumber(5));
    assert!(!harness.has_share());
}

/// Guards against any sequence of events in which the ordinal is used beyond both lease and pledges, the revision
/// decreases, or a request gets no response or two. The model tracks the latest end of any lease or pledge.
#[test]
fn no_order_of_events_overstretches_a_lease_or_loses_a_response() {
    check_steps(7, 600, 14, 80, |steps| {
        let mut harness = EntryHarness::ready(3);
        harness.auto_reply = false;
        // The last answered renewal of the harness was sent before now.
        let mut promised = harness.now.monotonic + LEASE;
        let mut revision = harness.engine.script().revision;
        let mut requests = Vec::new();
        for (kind, which, value) in steps {
            let now = harness.now.monotonic;
            let picked = requests.get(which % requests.len().max(1)).copied();
            match kind {
                0 => harness.advance(millis(value % 2500)),
                1 => {
                    let renewals = harness.sent().into_iter().filter_map(sequence_of).next();
                    harness.advance(millis(value % 1500));
                    if let Some(sequence) = renewals {
                        let renewed = harness.renewed(sequence);
                        harness.event(renewed);
                        promised = promised.max(now + LEASE);
                    }
                }
                2 => harness.event(EntryEvent::ControlClosed),
                3 => {
                    if let Some(address) = harness.connects().last().copied() {
                        harness.event(EntryEvent::ControlOpened(address));
                    }
                }
                4 => {
                    harness.view.revision = RevisionNumber(4 + value % 4);
                    let welcome = harness.welcome(3 + which as u64 % 2);
                    harness.event(welcome);
                }
                5 => {
                    not_leader(&mut harness, millis(value % 6000));
                    promised = promised.max(now + millis(value % 6000));
                }
                6 | 7 => requests.push(harness.search()),
                8 => requests.push(harness.order(["a", "b"][which % 2])),
                9 if value % 50 == 0 => harness.event(EntryEvent::Drain),
                _ => random_progress(&mut harness, kind, picked, value),
            }
            harness.event(EntryEvent::Tick);
            assert!(!harness.has_share() || harness.now.monotonic < promised);
            let current = harness.engine.script().revision;
            assert!(current >= revision);
            revision = current;
        }
        harness.advance(millis(2500));
        for request in requests {
            // The harness asserts that there is no second response.
            assert!(harness.response(request).is_some(), "{request} has no response");
        }
    });
}

/// Delivers a random message of control or report of the engine for a request, which may have ended already.
fn random_progress(harness: &mut EntryHarness, kind: u8, picked: Option<QueryToken>, value: u64) {
    let Some(token) = picked else { return };
    let verdicts = [
        ClaimVerdict::Granted,
        ClaimVerdict::Unavailable,
        ClaimVerdict::Expired,
        ClaimVerdict::Conflict,
    ];
    let lost = OrderResult::Lost { target: id("t1") };
    match kind {
        10 => harness.report(EngineReport::Search(token, search_result(0.5, &[token.0]))),
        11 => harness.report(EngineReport::Order(token, lost)),
        12 => {
            let verdict = verdicts[value as usize % 4].clone();
            harness.control(ControlMessage::ClaimAnswer { token, verdict });
        }
        _ => harness.control(ControlMessage::Settled(claim_key(["a", "b"][value as usize % 2]))),
    }
}
