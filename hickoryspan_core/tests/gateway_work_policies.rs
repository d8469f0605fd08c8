//! Compares the target policies on the same requests, without a network: what callers of each class see under each load
//! pattern.

mod policy_support;

use hickoryspan_core::gateway::targets::selection::TargetPolicy;
use policy_support::{ClassLoad, ClassResult, Disturbance, Model, Pattern};
use rstest::rstest;

const SEEDS: [u64; 4] = [41, 42, 43, 44];

const NO_WAVE: (f64, f64) = (0.0, 10.0);

fn lists() -> ClassLoad {
    ClassLoad {
        route: "list",
        mean: 28.0,
        objective: 150.0,
        share: 0.63,
        heavy_account: (0.0, 1.0),
        burst: None,
    }
}

fn checks() -> ClassLoad {
    ClassLoad { route: "check", mean: 9.2, objective: 60.0, share: 0.37, ..lists() }
}

/// Few entries send many requests each: half of the capacity of the targets is used.
fn often() -> Pattern {
    Pattern {
        classes: vec![lists(), checks()],
        entries: 3,
        per_second: 140.0,
        seconds: 60.0,
        speeds: [1.0; 3],
        disturbances: Vec::new(),
        wave: NO_WAVE,
        cold: None,
    }
}

/// Many entries see each target seldom.
fn seldom() -> Pattern {
    Pattern { entries: 20, per_second: 15.0, seconds: 250.0, ..often() }
}

/// The entries that share a group of shards send at the usual rate of a wide route.
fn group() -> Pattern {
    Pattern { entries: 6, per_second: 40.0, seconds: 90.0, ..often() }
}

/// Many entries that see each target seldom fill half of the capacity together.
fn crowd() -> Pattern {
    Pattern { entries: 60, per_second: 140.0, seconds: 60.0, ..often() }
}

const UNEVEN: [f64; 3] = [0.8, 1.0, 1.3];
const PAUSES: Disturbance = Disturbance { every: 6.0, length: 0.25, factor: f64::INFINITY };
const NOISE: Disturbance = Disturbance { every: 4.0, length: 0.8, factor: 2.5 };

fn change(name: &str, base: Pattern) -> Pattern {
    let burst = Some((20.0, 40.0, 3.0));
    match name {
        "mixed" => base,
        "uneven" => Pattern { speeds: UNEVEN, ..base },
        "noise" => Pattern { speeds: UNEVEN, disturbances: vec![NOISE], ..base },
        "pauses" => Pattern { speeds: UNEVEN, disturbances: vec![PAUSES], ..base },
        "waves" => Pattern { speeds: UNEVEN, wave: (0.8, 10.0), ..base },
        "burst" => {
            let classes = vec![ClassLoad { burst, ..lists() }, checks()];
            Pattern { classes, speeds: UNEVEN, per_second: base.per_second * 0.7, ..base }
        }
        "cold" => Pattern { cold: Some((20.0, 20.0)), speeds: UNEVEN, ..base },
        "account" => {
            let classes = vec![ClassLoad { heavy_account: (0.1, 6.0), ..lists() }, checks()];
            Pattern { classes, speeds: UNEVEN, per_second: base.per_second * 0.7, ..base }
        }
        other => panic!("no pattern {other}"),
    }
}

fn run(pattern: &Pattern, policy: TargetPolicy) -> Vec<ClassResult> {
    let runs: Vec<Vec<ClassResult>> =
        SEEDS.iter().map(|seed| Model::new(pattern, policy, *seed).run()).collect();
    let count = runs.len() as f64;
    let mean = |class: usize, part: fn(&ClassResult) -> f64| {
        runs.iter().map(|run| part(&run[class])).sum::<f64>() / count
    };
    let classes = 0..pattern.classes.len();
    let results = classes.map(|class| ClassResult {
        p50: mean(class, |result| result.p50),
        p99: mean(class, |result| result.p99),
        in_time: mean(class, |result| result.in_time),
        extra: mean(class, |result| result.extra),
        explained: mean(class, |result| result.explained),
    });
    results.collect()
}

/// Largest increase of the share of late answers that is within the error of the comparison.
const MAX_LATE_INCREASE: f64 = 0.006;
/// Largest increase of the attempts beyond the first, per request.
const MAX_EXTRA_INCREASE: f64 = 0.05;

/// Runs both policies on the same requests and prints what callers saw.
fn compare(name: &str, shape: &str, base: Pattern) -> Vec<Comparison> {
    let pattern = change(name, base);
    let old = run(&pattern, TargetPolicy::Latency);
    let new = run(&pattern, TargetPolicy::ExpectedWork);
    let pairs = pattern.classes.iter().zip(old.into_iter().zip(new));
    let compared = pairs.map(|(class, (old, new))| {
        println!(
            "| {name} | {shape} | {} | {:.1} / {:.1} | {:.1} / {:.1} | {:.4} / {:.4} | {:.3} / {:.3} | {:.2} |",
            class.route,
            old.p50,
            new.p50,
            old.p99,
            new.p99,
            old.in_time,
            new.in_time,
            old.extra,
            new.extra,
            new.explained
        );
        Comparison { old, new }
    });
    compared.collect()
}

struct Comparison {
    old: ClassResult,
    new: ClassResult,
}

// Guards against a policy that makes answers late or adds load under any pattern, for entries that see a target often and
// for entries that see it seldom.
#[rstest]
fn expected_work_harms_no_class(
    #[values("mixed", "uneven", "noise", "pauses", "waves", "burst", "cold", "account")] name: &str,
    #[values("group", "seldom", "crowd")] shape: &str,
) {
    let base = match shape {
        "group" => group(),
        "seldom" => seldom(),
        _ => crowd(),
    };
    for Comparison { old, new } in compare(name, shape, base) {
        assert!(new.in_time >= old.in_time - MAX_LATE_INCREASE, "{old:?} {new:?}");
        assert!(new.extra <= old.extra + MAX_EXTRA_INCREASE, "{old:?} {new:?}");
    }
}

// Guards against a policy that is not worth its code: with the knowledge that few entries have, the light class is late
// less often under every pattern, with fewer hedges.
#[rstest]
fn expected_work_helps_entries_that_see_targets_often(
    #[values("mixed", "uneven", "noise", "pauses", "waves", "burst", "cold", "account")] name: &str,
) {
    let compared = compare(name, "often", often());
    let [lists, checks] = &compared[..] else { panic!("two classes") };
    assert!(1.0 - checks.new.in_time < 1.0 - checks.old.in_time, "{:?}", checks.new);
    assert!(checks.new.extra < checks.old.extra, "{:?}", checks.new);
    assert!(lists.new.in_time >= lists.old.in_time - MAX_LATE_INCREASE, "{:?}", lists.new);
}
