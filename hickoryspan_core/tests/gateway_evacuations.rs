//! Tests of evacuated failure domains at an entry, without a network: nothing is sent to their targets, and an older state
//! never replaces a newer one.

use std::time::Duration;

use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetPhase,
};
use hickoryspan_core::gateway::targets::evacuations::{
    EvacuationAction, EvacuationOrder, EvacuationState,
};
use hickoryspan_core::gateway::targets::outcomes::{AttemptOutcome, ReportedLoad};
use hickoryspan_core::gateway::targets::selection::{SelectionSettings, TargetSelector};
use hickoryspan_core::gateway::targets::send_check::SendBarrier;
use hickoryspan_core::types::{FailureDomain, MonotonicTime, ServiceId, TargetId, WallTime};
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const SEED: u64 = 41;
const MEDIAN: Duration = Duration::from_millis(8);
const NOW: MonotonicTime = MonotonicTime(1_000_000);

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a domain name")
}

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).expect("a service name")
}

fn announcement(name: &str, service_name: &str, domain_name: &str) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId::new(name).expect("a target name"),
        age: AnnouncementAge { started: WallTime(1), sequence: 1 },
        service: service(service_name),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: domain(domain_name),
        slots: 2,
        phase: TargetPhase::Ready,
        cold: Duration::ZERO,
    }
}

/// Targets of the service `both` in the failure domains `a` and `b`, and one of the service `single` in `a`. The entry is
/// in `a`.
fn selector() -> TargetSelector {
    let generator = ChaCha12Rng::seed_from_u64(SEED);
    let mut selector = TargetSelector::new(SelectionSettings::default(), domain("a"), generator);
    for (name, service, domain) in
        [("a1", "both", "a"), ("a2", "both", "a"), ("b1", "both", "b"), ("a3", "single", "a")]
    {
        selector.put(NOW, announcement(name, service, domain));
    }
    selector
}

fn evacuated(orders: &[(EvacuationAction, &str)]) -> EvacuationState {
    let mut state = EvacuationState::default();
    for (action, name) in orders {
        state.apply(EvacuationOrder { domain: domain(name), action: *action });
    }
    state
}

/// Guards against first attempts, retries and hedges that reach a target of an evacuated domain, which is nearer and idle.
#[test]
fn no_attempt_goes_to_an_evacuated_domain() {
    let mut selector = selector();
    assert!(selector.set_evacuations(&evacuated(&[(EvacuationAction::Start, "a")])));
    let b1 = TargetId::new("b1").expect("a target name");
    let load = ReportedLoad { running: 2, waiting: 40, slots: 2, latency_percent: 900 };
    selector.note_load(NOW, &b1, load);
    for _ in 0..100 {
        let chosen = selector.choose(NOW, &service("both"), &[]).expect("a target");
        assert_eq!(chosen.target, b1);
        assert_eq!(selector.check_target(NOW, &chosen, &service("both")), Ok(()));
        selector.finish(NOW, &chosen.target, AttemptOutcome::Success(MEDIAN), MEDIAN);
    }
    assert!(!selector.has_alternative(NOW, &service("both"), std::slice::from_ref(&b1)));
    assert_eq!(selector.choose(NOW, &service("both"), &[b1]), None);
    assert_eq!(selector.count_open(NOW, &service("both")), 1);
}

/// Guards against requests that had chosen their target, and waited, when the evacuation came in force.
#[test]
fn a_request_that_waits_is_withheld_and_may_use_another_target() {
    let mut selector = selector();
    let chosen = selector.choose(NOW, &service("single"), &[]).expect("a target");
    selector.set_evacuations(&evacuated(&[(EvacuationAction::Start, "a")]));
    let barrier = selector.check_target(NOW, &chosen, &service("single"));
    assert_eq!(barrier, Err(SendBarrier::Evacuated));
    assert!(SendBarrier::Evacuated.allows_other_target());
}

/// Guards against requests that are held although no target may get them, and against groups of a wide fan-out that are
/// made where no target is used.
#[test]
fn a_service_without_another_domain_is_closed_and_opens_again() {
    let mut selector = selector();
    assert!(!selector.is_evacuated(&service("single")));
    selector.set_evacuations(&evacuated(&[(EvacuationAction::Start, "a")]));
    assert!(selector.is_evacuated(&service("single")) && !selector.is_evacuated(&service("both")));
    assert_eq!(selector.choose(NOW, &service("single"), &[]), None);
    assert_eq!(selector.count_open(NOW, &service("single")), 0);
    assert_eq!(selector.shortest_queue(NOW, &service("single")), None);
    assert!(selector.usable_domains(&service("single")).is_empty());
    let domains: Vec<_> = selector.usable_domains(&service("both")).into_iter().collect();
    assert_eq!(domains, [&domain("b")]);
    let finished = evacuated(&[(EvacuationAction::Start, "a"), (EvacuationAction::Finish, "a")]);
    assert!(selector.set_evacuations(&finished));
    assert!(selector.choose(NOW, &service("single"), &[]).is_some());
    assert!(!selector.is_evacuated(&service("none")), "a service without targets");
}

/// Guards against a control host that lags and brings an evacuation back, or takes one back, with its older state.
#[test]
fn an_older_state_never_replaces_a_newer_one() {
    let mut selector = selector();
    let first = evacuated(&[(EvacuationAction::Start, "a")]);
    let second = evacuated(&[(EvacuationAction::Start, "a"), (EvacuationAction::Finish, "a")]);
    assert!(selector.set_evacuations(&second));
    assert!(!selector.set_evacuations(&first));
    assert!(!selector.set_evacuations(&second), "the same state again");
    assert!(selector.evacuations().domains.is_empty());
    assert!(!selector.set_evacuations(&EvacuationState::default()));
}
