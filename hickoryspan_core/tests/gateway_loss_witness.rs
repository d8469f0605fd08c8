//! Tests of requests over many shards that judge lost connections by their other shards.

use std::time::Duration;

use hickoryspan_core::gateway::targets::loss_witness::{LossVerdict, LossWitness};
use hickoryspan_core::types::{FailureDomain, MonotonicTime, TargetId};
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn lose(witness: &mut LossWitness, millis: u64, number: u64, domain: &str) {
    let target = TargetId::new(format!("t{number}")).expect("a name");
    witness.note_loss(at(millis), target, FailureDomain::new(domain).expect("a name"));
}

/// Guards against one request that takes the whole index with it: its first attempts crash one target of each shard, and
/// its second attempts the other.
#[test]
fn losses_in_several_domains_without_an_answer_hold_second_attempts_back() {
    let mut witness = LossWitness::new(20);
    lose(&mut witness, 100, 1, "a");
    assert_eq!(witness.verdict(at(101)), LossVerdict::Wait(Duration::from_millis(39)));
    lose(&mut witness, 101, 2, "a");
    lose(&mut witness, 102, 3, "b");
    assert_eq!(witness.verdict(at(102)), LossVerdict::Suspect);
    assert_eq!(witness.verdict(at(900)), LossVerdict::Suspect);
}

/// Guards against partial answers after the loss of a failure domain, of single targets, or of connections.
#[rstest]
#[case::one_domain(&["a", "a", "a", "a", "a"], false, 20)]
#[case::two_targets(&["a", "b"], false, 20)]
#[case::another_shard_answered(&["a", "b", "a", "b"], true, 20)]
#[case::few_shards(&["a", "b", "a"], false, 3)]
fn other_losses_are_retried(
    #[case] domains: &[&str],
    #[case] answered: bool,
    #[case] shards: usize,
) {
    let mut witness = LossWitness::new(shards);
    for (number, domain) in domains.iter().enumerate() {
        lose(&mut witness, 100, number as u64, domain);
    }
    if answered {
        witness.note_answer();
        assert_eq!(witness.verdict(at(100)), LossVerdict::Retry);
    }
    assert_eq!(witness.verdict(at(140)), LossVerdict::Retry);
}

/// Guards against several losses of one target that count as several targets.
#[test]
fn one_target_counts_once() {
    let mut witness = LossWitness::new(20);
    for millis in 100..104 {
        lose(&mut witness, millis, 1, "a");
    }
    lose(&mut witness, 104, 2, "b");
    assert_eq!(witness.verdict(at(140)), LossVerdict::Retry);
}
