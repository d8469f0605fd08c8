//! Decides which fraction of the requests is shed while targets have queues.
//!
//! A request that would only wait in a queue is refused at once, so that the others are answered in
//! time. The decision is based on the queue lengths that targets report: queues build up only while
//! more requests arrive than can be served, whereas slow or lost targets alone cause no queues on
//! their neighbours.

/// Queued requests per slot up to which nothing is shed.
const QUEUE_THRESHOLD: f64 = 1.0;
/// Queued requests per slot, above the threshold, at which everything would be shed.
const QUEUE_RANGE: f64 = 2.0;
/// Largest fraction that is shed. Targets report their queues with their answers, so some requests
/// must always pass.
pub(super) const MAX_SHED_FRACTION: f64 = 0.9;
/// Relative increase of the shed fraction for each step to a less urgent priority.
const PRIORITY_STEP: f64 = 0.4;

/// The queue lengths of the shards of one request.
#[derive(Clone, Debug, Default)]
pub struct ShardQueues {
    queues: Vec<f64>,
}

impl ShardQueues {
    /// Takes the shortest queue of each shard that has a target, in queued requests per slot.
    pub fn new(queues: impl IntoIterator<Item = f64>) -> Self {
        let mut queues: Vec<f64> = queues.into_iter().collect();
        queues.sort_unstable_by(f64::total_cmp);
        Self { queues }
    }

    /// Returns the longest queue among the `min_parts` shards with the shortest queues, which an
    /// answer with the minimum number of parts has to wait for. Returns zero if fewer shards have a
    /// target.
    pub fn limiting_queue(&self, min_parts: usize) -> f64 {
        let index = min_parts.saturating_sub(1);
        self.queues.get(index).copied().unwrap_or_default()
    }
}

/// Returns the fraction of a route's requests to shed, from 0 to 1. `rank` is the priority of the
/// route; 0 is the most urgent.
pub fn shed_fraction(queue: f64, rank: u32) -> f64 {
    let fraction = ((queue - QUEUE_THRESHOLD) / QUEUE_RANGE).clamp(0.0, 1.0);
    (fraction * (1.0 + PRIORITY_STEP * f64::from(rank))).min(MAX_SHED_FRACTION)
}
