//! Open-loop schedule of requests. It is fixed before the run, so that a slow system does not reduce the arrival rate.

use std::time::Duration;

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::profile::TrafficPlan;

/// A request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Scheduled time, relative to the start of the run.
    pub at: Duration,
    /// Index of the request's plan in the traffic mix.
    pub traffic: usize,
    /// Sequence number in the run, which determines the request's content.
    pub number: u64,
}

/// Schedules Poisson arrivals at a mean rate, as they come from many independent callers.
///
/// # Errors
///
/// Fails if the weights of the traffic mix are invalid.
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
        // Exponentially distributed interval. `uniform` is always below 1, so the logarithm is finite.
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
