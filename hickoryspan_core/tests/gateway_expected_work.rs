//! Tests the estimate of a request's work, of what targets still have to do, and the choices that follow, without a network.

use std::time::Duration;

use hickoryspan_core::gateway::targets::cost_model::{
    AnsweredWork, CostModel, CostSource, RequestTraits, WorkEstimate,
};
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetPhase,
};
use hickoryspan_core::gateway::targets::outcomes::{AttemptOutcome, ReportedLoad};
use hickoryspan_core::gateway::targets::selection::{
    PlacedRequest, SelectionSettings, TargetPolicy, TargetSelector,
};
use hickoryspan_core::gateway::targets::work_left::{
    AssumedLoad, ExpectedStart, TargetWork, WorkTicket,
};
use hickoryspan_core::types::{
    FailureDomain, MonotonicTime, RequestFingerprint, ServiceId, TargetId, WallTime,
};
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn traits(account: &str, content: u64) -> RequestTraits {
    let mut fingerprint = [0; 32];
    fingerprint[..8].copy_from_slice(&content.to_le_bytes());
    RequestTraits {
        route: "list".into(),
        account: Some(account.into()),
        body_bytes: 0,
        fingerprint: RequestFingerprint(fingerprint),
        prior: millis(50),
    }
}

fn estimate(mean: u64) -> WorkEstimate {
    WorkEstimate { mean: millis(mean), high: millis(mean * 2), source: CostSource::Route }
}

/// A varying work of about `mean` milliseconds that does not depend on anything known before.
fn varied(mean: u64, index: u64) -> Duration {
    millis(mean) * (70 + (index * 37 % 61) as u32) / 100
}

/// Records a request that was sent just before its answer.
fn record(model: &mut CostModel, now: u64, traits: &RequestTraits, work: Duration) {
    let sent_at = at(now.saturating_sub(1));
    model.record(at(now), traits, AnsweredWork { sent_at, work });
}

// Guards against a first request that is taken to cost nothing.
#[test]
fn unknown_route_has_the_prior() {
    let estimate = CostModel::default().estimate(at(0), &traits("a", 1));
    assert_eq!((estimate.mean, estimate.source), (millis(50), CostSource::Prior));
}

// Pattern: heavy queries of one account. Guards against estimating all accounts of a route alike.
#[test]
fn heavy_account_is_told_from_the_others() {
    let mut model = CostModel::default();
    for index in 0..400 {
        let (account, mean) = if index % 4 == 0 { ("heavy", 120) } else { ("usual", 20) };
        record(&mut model, index * 20, &traits(account, index), varied(mean, index));
    }
    let now = at(8_000);
    let heavy = model.estimate(now, &traits("heavy", 1_000));
    let usual = model.estimate(now, &traits("usual", 1_001));
    assert_eq!(heavy.source, CostSource::Account);
    assert!((millis(100)..millis(130)).contains(&heavy.mean), "{heavy:?}");
    assert!((millis(16)..millis(24)).contains(&usual.mean), "{usual:?}");
    assert!(model.explained("list") > 0.6, "{}", model.explained("list"));
}

// Guards against estimates by keys that tell nothing, which only add error.
#[test]
fn keys_that_explain_nothing_are_not_used() {
    let mut model = CostModel::default();
    for index in 0..600 {
        let account = ["a", "b", "c"][(index * 7 % 3) as usize];
        record(&mut model, index * 20, &traits(account, index * 13 % 40), varied(30, index));
    }
    let estimate = model.estimate(at(12_000), &traits("a", 13));
    assert_eq!(estimate.source, CostSource::Route, "{estimate:?}");
    assert!(model.explained("list") < 0.1, "{}", model.explained("list"));
}

// Guards against counting a cost as predictable that only the first answers to the same wide request tell.
#[test]
fn answers_to_one_wide_request_do_not_predict_each_other() {
    let mut model = CostModel::default();
    for request in 0..40 {
        let sent_at = at(request * 1_000);
        let mean = if request % 3 == 0 { 100 } else { 20 };
        for shard in 0..30 {
            let work = varied(mean, shard);
            let now = at(request * 1_000 + 20 + shard);
            model.record(now, &traits("a", request), AnsweredWork { sent_at, work });
        }
    }
    assert!(model.explained("list") < 0.1, "{}", model.explained("list"));
    let next = model.estimate(at(41_000), &traits("a", 40));
    assert_eq!(next.source, CostSource::Route, "{next:?}");
}

// Guards against memory that grows with the number of different requests.
#[test]
fn number_of_known_keys_is_bounded() {
    let mut model = CostModel::default();
    for index in 0..10_000 {
        record(&mut model, index, &traits(&format!("account-{index}"), index), millis(20));
    }
    assert!(model.count_keys() <= 2_048, "{}", model.count_keys());
}

// Guards against pauses of a target that are taken for work.
#[test]
fn a_pause_hardly_changes_the_estimate() {
    let mut model = CostModel::default();
    for index in 0..100 {
        record(&mut model, index * 20, &traits("a", index), varied(9, index));
    }
    record(&mut model, 2_000, &traits("a", 100), millis(250));
    let estimate = model.estimate(at(2_000), &traits("a", 101));
    assert!(estimate.mean < millis(11), "{estimate:?}");
}

// Guards against an entry that keeps the estimate of costs that have changed.
#[test]
fn estimate_follows_a_change_of_cost() {
    let mut model = CostModel::default();
    for index in 0..1_200 {
        let mean = if index < 600 { 20 } else { 60 };
        record(&mut model, index * 100, &traits("a", index), varied(mean, index));
    }
    let estimate = model.estimate(at(120_000), &traits("a", 2_000));
    assert!(estimate.mean > millis(45), "{estimate:?}");
}

// Guards against counting an overdue request as done.
#[test]
fn overdue_request_is_expected_to_last_longer_still() {
    let mut work = TargetWork::new(at(0));
    work.note_sent(at(0), WorkTicket(1), &estimate(20), ExpectedStart::default());
    let rest = |now| work.expected_rest(at(now), WorkTicket(1), 1.0).expect("in flight");
    assert!(rest(5) < rest(1), "work gets done");
    assert!(rest(100) >= millis(100), "{:?}", rest(100));
    let wait = work.expected_wait(at(100), 1, AssumedLoad::Usual);
    assert!(wait >= millis(100), "{wait:?}");
}

// Guards against a report that keeps requests away, or attracts a herd, after the target has worked it off.
#[test]
fn report_gives_way_to_the_usual_level() {
    let mut work = TargetWork::new(at(0));
    let load = |waiting| ReportedLoad { running: 2, waiting, slots: 2, latency_percent: 100 };
    for index in 0..100 {
        work.note_sent(at(index * 100), WorkTicket(index), &estimate(20), ExpectedStart::default());
        work.note_load(at(index * 100 + 20), load(0));
        work.note_ended(at(index * 100 + 20), WorkTicket(index));
    }
    work.note_load(at(10_000), load(8));
    let wait = |now| work.expected_wait(at(now), 2, AssumedLoad::Usual);
    assert!(wait(10_000) > millis(60), "{:?}", wait(10_000));
    assert!(wait(10_500) < millis(25), "{:?}", wait(10_500));
}

fn service() -> ServiceId {
    ServiceId::new("search").expect("a service name")
}

fn target(name: &str) -> TargetId {
    TargetId::new(name).expect("a target name")
}

fn announcement(name: &str, port: u16) -> TargetAnnouncement {
    TargetAnnouncement {
        target: target(name),
        age: AnnouncementAge { started: WallTime(1), sequence: 1 },
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        domain: FailureDomain::new("a").expect("a domain name"),
        slots: 1,
        phase: TargetPhase::Ready,
        cold: Duration::ZERO,
    }
}

/// Two targets with one slot each, compared by expected work.
fn pair() -> TargetSelector {
    let domain = FailureDomain::new("a").expect("a domain name");
    let settings =
        SelectionSettings { policy: TargetPolicy::ExpectedWork, ..SelectionSettings::default() };
    let mut selector = TargetSelector::new(settings, domain, ChaCha12Rng::seed_from_u64(41));
    for (name, port) in [("one", 9_001), ("two", 9_002)] {
        selector.put(at(0), announcement(name, port));
    }
    selector
}

fn send(selector: &mut TargetSelector, now: u64, mean: u64) -> PlacedRequest {
    let placed = selector.choose_placed(at(now), &service(), &[], Some(&estimate(mean)));
    placed.expect("a target")
}

fn answer(selector: &mut TargetSelector, now: u64, placed: &PlacedRequest, time: u64) {
    let ticket = placed.placement.expect("placed by work").ticket;
    let outcome = AttemptOutcome::Success(millis(time));
    let traits = traits("a", now);
    selector.end_work(at(now), &placed.target.target, ticket, &traits, Some(outcome));
    selector.finish(at(now), &placed.target.target, outcome, millis(20));
}

// Guards against counting requests: a light request must not wait behind a heavy one because both targets have as many.
#[test]
fn light_request_avoids_the_target_with_heavy_work() {
    let mut selector = pair();
    let heavy = send(&mut selector, 0, 200);
    let light = send(&mut selector, 1, 10);
    assert_ne!(heavy.target.target, light.target.target);
    for now in 2..6 {
        let next = send(&mut selector, now, 10);
        assert_eq!(next.target.target, light.target.target, "40 ms of light work, 200 ms of heavy");
    }
}

// Pattern: uneven speeds. Guards against taking one heavy request for a slow target, and a slow target for usual.
#[test]
fn slow_target_is_learned_from_several_answers() {
    let mut selector = pair();
    let mut slow_choices = 0;
    for index in 0..200 {
        let now = index * 50;
        let placed = send(&mut selector, now, 20);
        let is_slow = placed.target.target == target("one");
        slow_choices += u64::from(is_slow);
        let time = if is_slow { 32 } else { 20 };
        answer(&mut selector, now + time, &placed, time);
    }
    assert!(slow_choices < 40, "{slow_choices} of 200 on the slow target");
}

// Pattern: heavy tails. Guards against doubling a request that is slow because it is heavy, on a busy alternative.
#[test]
fn hedge_is_withheld_if_the_other_target_is_busier() {
    let mut selector = pair();
    let first = send(&mut selector, 0, 20);
    let heavy = send(&mut selector, 0, 300);
    assert_ne!(first.target.target, heavy.target.target);
    let load = ReportedLoad { running: 1, waiting: 0, slots: 1, latency_percent: 100 };
    selector.note_load(at(30), &heavy.target.target, load);
    let ticket = first.placement.expect("placed by work").ticket;
    let tried = [first.target.target.clone()];
    let pays = |selector: &TargetSelector, now| {
        selector.hedge_pays(at(now), &service(), &tried, &estimate(20), ticket)
    };
    assert!(!pays(&selector, 30), "the other target has 270 ms to do");
    answer(&mut selector, 300, &heavy, 300);
    assert!(pays(&selector, 310), "the other target is idle");
}

// Pattern: pauses. Guards against withholding the hedge from a request whose target pauses while another is idle.
#[test]
fn hedge_pays_if_the_target_pauses() {
    let mut selector = pair();
    let first = send(&mut selector, 0, 20);
    let ticket = first.placement.expect("placed by work").ticket;
    let tried = [first.target.target.clone()];
    assert!(selector.hedge_pays(at(45), &service(), &tried, &estimate(20), ticket));
}

// Guards against a hedge for the sake of a target that accepts no requests.
#[test]
fn hedge_does_not_pay_on_a_target_that_drains() {
    let mut selector = pair();
    let first = send(&mut selector, 0, 20);
    let ticket = first.placement.expect("placed by work").ticket;
    let tried = [first.target.target.clone()];
    for (name, port) in [("one", 9_001), ("two", 9_002)] {
        if target(name) != tried[0] {
            let phase = TargetPhase::Draining;
            selector.put(at(10), TargetAnnouncement { phase, ..announcement(name, port) });
        }
    }
    assert!(!selector.hedge_pays(at(45), &service(), &tried, &estimate(20), ticket));
}

// Guards against hedging a request that is known to be heavy at the time at which usual ones of its route are late.
#[test]
fn heavy_request_is_hedged_later_than_its_route() {
    let heavy = WorkEstimate { source: CostSource::Account, ..estimate(120) };
    assert_eq!(heavy.hedge_delay(millis(40)), millis(240));
    assert_eq!(estimate(120).hedge_delay(millis(40)), millis(40));
}
