//! Quarantine stops requests that crash targets, and no others.

mod entry_support;

use entry_support::*;

fn quarantined(level: QuarantineLevel, lifetime_millis: u64) -> EntryHarness {
    let mut harness = EntryHarness::new(1);
    let record = QuarantineRecord {
        level,
        expires_at: WallTime(START_WALL_MS + lifetime_millis),
        evidence: BTreeSet::new(),
    };
    harness.view.apply(RevisionNumber(6), [ViewChange::PutQuarantine(fingerprint(1), record)]);
    harness.advance(millis(2000));
    harness.take();
    harness
}

fn evidence() -> CrashEvidence {
    CrashEvidence { target: id("t1"), incarnation: IncarnationNumber(4) }
}

fn crash(harness: &mut EntryHarness) {
    let fingerprints = vec![fingerprint(1)];
    harness.report(EngineReport::Crash { evidence: evidence(), fingerprints });
}

fn last_mode(harness: &EntryHarness) -> Option<FanoutMode> {
    harness.engine.script().searches.last().map(|(_, plan)| plan.mode)
}

fn crash_reports(harness: &mut EntryHarness) -> usize {
    let sent = harness.sent();
    sent.iter().filter(|message| matches!(message, EntryMessage::ReportCrash { .. })).count()
}

/// Guards against a suspect search that runs without a canary, and against a condemned one that runs at all.
#[rstest]
#[case::suspect(QuarantineLevel::Suspect, 600_000, None, Some(FanoutMode::Canary))]
#[case::condemned(QuarantineLevel::Condemned, 600_000, refused(ResponseReason::Quarantined), None)]
#[case::expired(QuarantineLevel::Condemned, 1000, None, Some(FanoutMode::Normal))]
fn searches_follow_the_view(
    #[case] level: QuarantineLevel,
    #[case] lifetime: u64,
    #[case] response: Option<OutcomeReason>,
    #[case] mode: Option<FanoutMode>,
) {
    let mut harness = quarantined(level, lifetime);
    assert_eq!(harness.probe_search(), response);
    assert_eq!(last_mode(&harness), mode);
}

/// Guards against a condemned order that is claimed, and against refusing a suspect order, which runs on one target
/// anyway.
#[rstest]
#[case::suspect(QuarantineLevel::Suspect, 1)]
#[case::condemned(QuarantineLevel::Condemned, 0)]
fn orders_follow_the_view(#[case] level: QuarantineLevel, #[case] claims: usize) {
    let mut harness = quarantined(level, 600_000);
    let token = harness.order("a");
    let sent = harness.sent();
    let claimed = sent.iter().filter(|message| matches!(message, EntryMessage::Claim { .. }));
    assert_eq!(claimed.count(), claims);
    harness.answer_lookups(&sent, &LookupVerdict::Absent);
    assert_eq!(harness.response(token).is_some(), claims == 0);
}

/// Guards against resends that crash more targets before control's record arrives.
#[test]
fn a_crash_makes_its_requests_suspect_at_once() {
    let mut harness = EntryHarness::ready(1);
    crash(&mut harness);
    assert_eq!(crash_reports(&mut harness), 1);
    let first = harness.search();
    assert_eq!(last_mode(&harness), Some(FanoutMode::Canary));
    assert_eq!(harness.probe_search(), refused(ResponseReason::Quarantined), "one at a time");
    harness.report(EngineReport::CanaryPassed(fingerprint(1)));
    let cleared = EntryMessage::ClearSuspect(fingerprint(1));
    assert!(harness.sent().contains(&cleared));
    harness.report(EngineReport::Search(first, search_result(1.0, &[1])));
    assert_eq!(harness.probe_search(), None);
    assert_eq!(last_mode(&harness), Some(FanoutMode::Normal));
}

/// Guards against a canary that blocks later ones after its caller disconnected, and against a local suspicion that
/// does not expire.
#[test]
fn a_canary_ends_when_its_caller_disconnects() {
    let mut harness = EntryHarness::ready(1);
    crash(&mut harness);
    let first = harness.search();
    harness.event(EntryEvent::CallerDisconnected(first));
    assert_eq!(harness.probe_search(), None);
    assert_eq!(last_mode(&harness), Some(FanoutMode::Canary));
    harness.advance(millis(61_000));
    assert_eq!(harness.probe_search(), None);
    assert_eq!(last_mode(&harness), Some(FanoutMode::Normal));
}

/// Guards against crash reports that are lost with a connection, and against reports that are sent again after
/// control confirmed them.
#[test]
fn crash_reports_survive_a_lost_link() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    crash(&mut harness);
    assert_eq!(crash_reports(&mut harness), 1);
    harness.auto_reply = true;
    harness.event(EntryEvent::ControlClosed);
    harness.advance(millis(200));
    assert_eq!(crash_reports(&mut harness), 1, "sent again on the new link");
    harness.advance(millis(3000));
    harness.event(EntryEvent::ControlClosed);
    harness.advance(millis(3000));
    assert_eq!(crash_reports(&mut harness), 0, "a later renewal was answered");
}
