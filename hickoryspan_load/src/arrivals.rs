//! The schedule of requests, fixed before the run so that a slow system cannot slow the arrivals down.

use std::time::Duration;

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::profile::TrafficPlan;

/// A request at its scheduled time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Its place in the traffic mix.
    pub traffic: usize,
    /// Its number in the run, from which its content follows.
    pub number: u64,
}

/// Independent arrivals at a mean rate, as from many callers who do not know of each other.
pub fn plan_arrivals(
    traffic: &[TrafficPlan],
    requests_per_second: f64,
    duration: Duration,
    seed: u64,
) -> anyhow::Result<Vec<PlannedRequest>> {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mix = WeightedIndex::new(traffic.iter().map(|plan| plan.weight))?;
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        // The interval of a Poisson process; the uniform number is never 1, so the logarithm is finite.
        let uniform: f64 = generator.random();
        at -= (1.0 - uniform).ln() / requests_per_second;
        if at >= duration.as_secs_f64() {
            return Ok(requests);
        }
        requests.push(PlannedRequest {
            at: Duration::from_secs_f64(at),
            traffic: mix.sample(&mut generator),
            number: requests.len() as u64,
        });
    }
}
