//! Guards against requests that go on crashing targets, and against quarantine of harmless ones.

mod entry_support;

use entry_support::*;

fn quarantined(level: QuarantineLevel, lifetime_millis: u64) -> EntryBench {
    let mut bench = EntryBench::new(1);
    let record = QuarantineRecord {
        level,
        expires_at: WallTime(FULL_WALL + lifetime_millis),
        evidence: BTreeSet::new(),
    };
    bench.view.apply(RevisionNumber(6), [ViewChange::PutQuarantine(fingerprint(1), record)]);
    bench.advance(millis(2000));
    bench.take();
    bench
}

fn evidence() -> CrashEvidence {
    CrashEvidence { target: id("t1"), incarnation: IncarnationNumber(4) }
}

fn crash(bench: &mut EntryBench) {
    let fingerprints = vec![fingerprint(1)];
    bench.report(EngineReport::Crash { evidence: evidence(), fingerprints });
}

fn last_mode(bench: &EntryBench) -> Option<FanoutMode> {
    bench.engine.script().searches.last().map(|(_, plan)| plan.mode)
}

fn crash_reports(bench: &mut EntryBench) -> usize {
    let sent = bench.sent();
    sent.iter().filter(|message| matches!(message, EntryMessage::ReportCrash { .. })).count()
}

/// Guards against a suspect that runs everywhere at once, and against a condemned one that runs at all.
#[rstest]
#[case::suspect(QuarantineLevel::Suspect, 600_000, None, Some(FanoutMode::Canary))]
#[case::condemned(QuarantineLevel::Condemned, 600_000, refused(ResponseReason::Quarantined), None)]
#[case::expired(QuarantineLevel::Condemned, 1000, None, Some(FanoutMode::Normal))]
fn searches_follow_the_view(
    #[case] level: QuarantineLevel,
    #[case] lifetime: u64,
    #[case] response: Option<Told>,
    #[case] mode: Option<FanoutMode>,
) {
    let mut bench = quarantined(level, lifetime);
    assert_eq!(bench.probe_search(), response);
    assert_eq!(last_mode(&bench), mode);
}

/// Guards against a condemned order that is claimed, and against a suspect one that is held back although
/// it uses one target anyway.
#[rstest]
#[case::suspect(QuarantineLevel::Suspect, 1)]
#[case::condemned(QuarantineLevel::Condemned, 0)]
fn orders_follow_the_view(#[case] level: QuarantineLevel, #[case] claims: usize) {
    let mut bench = quarantined(level, 600_000);
    let token = bench.order("a");
    let sent = bench.sent();
    let claimed = sent.iter().filter(|message| matches!(message, EntryMessage::Claim { .. }));
    assert_eq!(claimed.count(), claims);
    bench.answer_lookups(&sent, &LookupVerdict::Absent);
    assert_eq!(bench.response(token).is_some(), claims == 0);
}

/// Guards against resends that crash further targets before control has answered.
#[test]
fn a_crash_makes_its_requests_suspect_at_once() {
    let mut bench = EntryBench::ready(1);
    crash(&mut bench);
    assert_eq!(crash_reports(&mut bench), 1);
    let first = bench.search();
    assert_eq!(last_mode(&bench), Some(FanoutMode::Canary));
    assert_eq!(bench.probe_search(), refused(ResponseReason::Quarantined), "one at a time");
    bench.report(EngineReport::CanaryPassed(fingerprint(1)));
    let cleared = EntryMessage::ClearSuspect(fingerprint(1));
    assert!(bench.sent().contains(&cleared));
    bench.report(EngineReport::Search(first, search_result(1.0, &[1])));
    assert_eq!(bench.probe_search(), None);
    assert_eq!(last_mode(&bench), Some(FanoutMode::Normal));
}

/// Guards against a canary that is remembered after its caller went away and blocks all later ones, and
/// against a local suspicion that outlives its reason.
#[test]
fn a_hung_up_canary_makes_room_for_the_next() {
    let mut bench = EntryBench::ready(1);
    crash(&mut bench);
    let first = bench.search();
    bench.event(EntryEvent::CallerDisconnected(first));
    assert_eq!(bench.probe_search(), None);
    assert_eq!(last_mode(&bench), Some(FanoutMode::Canary));
    bench.advance(millis(61_000));
    assert_eq!(bench.probe_search(), None);
    assert_eq!(last_mode(&bench), Some(FanoutMode::Normal));
}

/// Guards against crash reports that are lost with a link, and against reports that are repeated for ever.
#[test]
fn crash_reports_survive_a_lost_link() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    crash(&mut bench);
    assert_eq!(crash_reports(&mut bench), 1);
    bench.answers = true;
    bench.event(EntryEvent::ControlClosed);
    bench.advance(millis(200));
    assert_eq!(crash_reports(&mut bench), 1, "sent again on the new link");
    bench.advance(millis(3000));
    bench.event(EntryEvent::ControlClosed);
    bench.advance(millis(3000));
    assert_eq!(crash_reports(&mut bench), 0, "a later renewal was answered");
}
