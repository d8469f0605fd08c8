//! Decides which fraction of the requests is refused while targets have queues.
//!
//! A request that would only wait is refused at once, so that the others are answered in time. The decision follows the
//! queues that targets report: they exist only while more comes than can be served, whereas slow or lost targets alone
//! show none at their neighbours.

/// Waiting requests per slot up to which nothing is refused.
const QUEUE_THRESHOLD: f64 = 1.0;
/// Waiting requests per slot, beyond the free ones, at which everything would be refused.
const QUEUE_RANGE: f64 = 2.0;
/// The largest fraction that is refused, so that the queues go on being reported.
const MAX_SHED_FRACTION: f64 = 0.9;
/// How much more is refused for each step of a lower rank.
const PRIORITY_STEP: f64 = 0.4;

/// The queues of the shards of one request.
#[derive(Clone, Debug, Default)]
pub struct ShardQueues {
    queues: Vec<f64>,
}

impl ShardQueues {
    /// The shortest queue of each shard that has a target, in waiting requests per slot.
    pub fn new(queues: impl IntoIterator<Item = f64>) -> Self {
        let mut queues: Vec<f64> = queues.into_iter().collect();
        queues.sort_unstable_by(f64::total_cmp);
        Self { queues }
    }

    /// The queue that decides when the answer has its smallest number of parts.
    pub fn limiting_queue(&self, min_parts: usize) -> f64 {
        let index = min_parts.saturating_sub(1);
        self.queues.get(index).copied().unwrap_or_default()
    }
}

/// The fraction of the requests of a route that is refused, 0 to 1; rank 0 is the most urgent.
pub fn shed_fraction(queue: f64, rank: u32) -> f64 {
    let fraction = ((queue - QUEUE_THRESHOLD) / QUEUE_RANGE).clamp(0.0, 1.0);
    (fraction * (1.0 + PRIORITY_STEP * f64::from(rank))).min(MAX_SHED_FRACTION)
}
