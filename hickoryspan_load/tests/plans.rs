//! Tests that schedules are deterministic for a seed, that faults and policy variants round-trip as text, and that the
//! linear regression is exact for points on a line.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use hickoryspan_load::arrivals::plan_arrivals;
use hickoryspan_load::capacity::fit::{LineFit, SizePoint};
use hickoryspan_load::experiment::PolicyVariant;
use hickoryspan_load::fault_plan::FaultKind;
use hickoryspan_load::profile::LoadProfile;
use rstest::rstest;

#[test]
fn equal_seeds_give_equal_schedules_at_the_stated_rate() {
    let traffic = LoadProfile::Quindio.to_plan(41).unwrap().traffic;
    let duration = Duration::from_secs(100);
    let first = plan_arrivals(&traffic, 50.0, duration, 41).unwrap();
    assert_eq!(first, plan_arrivals(&traffic, 50.0, duration, 41).unwrap());
    assert_ne!(first, plan_arrivals(&traffic, 50.0, duration, 42).unwrap());
    // The number of arrivals has a mean of 5,000 and a standard deviation of 71, so the bounds are 4 deviations away.
    assert!((4700..5300).contains(&first.len()), "{}", first.len());
    assert!(first.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[rstest]
#[case("stragglers:0.02:10")]
#[case("stall:5s:10s")]
#[case("lose-replicas:4s")]
#[case("lose-domain:4s")]
#[case("silence:3s:0.5")]
#[case("rolling-restart:3s")]
fn faults_round_trip_as_text(#[case] text: &str) {
    assert_eq!(text.parse::<FaultKind>().unwrap().to_string(), text);
}

#[rstest]
#[case("stragglers:much:10")]
#[case("stall:5s")]
#[case("earthquake")]
fn invalid_faults_are_rejected(#[case] text: &str) {
    assert!(text.parse::<FaultKind>().is_err());
}

#[rstest]
#[case(PolicyVariant::Full)]
#[case(PolicyVariant::Baseline)]
#[case(PolicyVariant::NoHedging)]
#[case(PolicyVariant::RandomRouting)]
#[case(PolicyVariant::NoEjection)]
fn variants_round_trip_as_text(#[case] variant: PolicyVariant) {
    assert_eq!(variant.to_string().parse(), Ok(variant));
}

#[test]
fn a_line_is_fitted_exactly() {
    let points = [1.0, 2.0, 5.0].map(|size| SizePoint { size, value: 3.0 + 2.0 * size });
    let fit = LineFit::of(&points);
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.r_squared > 0.999);
}
