//! Decides for one request over many shards when to retry or hedge, when to wait and when to
//! answer.

use std::time::Duration;

use crate::types::MonotonicTime;

/// How often a hedge that would not pay is considered again within one hedge delay.
const HEDGE_CHECKS: u32 = 4;
/// Shortest time between two such checks, because each takes processor time.
const MIN_HEDGE_CHECK: Duration = Duration::from_millis(2);

/// Index of a shard in its route's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardIndex(pub usize);

/// Limits of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// Number of shards.
    pub shards: usize,
    /// Smallest number of parts in a successful answer.
    pub min_parts: usize,
    /// Largest number of targets that may be tried for each shard.
    pub max_attempts: u32,
    /// Time by which an answer must be sent to have its full value. From then on, an incomplete
    /// answer with the minimum number of parts is sent.
    pub answer_by: MonotonicTime,
    /// Time at which the caller stops waiting.
    pub give_up_at: MonotonicTime,
    /// Time without an answer after which another target is tried.
    pub hedge_after: Duration,
}

/// The reason for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchReason {
    /// The first attempt on the shard.
    First,
    /// An earlier attempt failed.
    Retry,
    /// An earlier attempt is slow.
    Hedge,
}

/// The next action for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FanoutStep {
    /// Send to another target of this shard, if there is one and the budget allows it.
    Launch(ShardIndex, LaunchReason),
    /// Answer with the parts received so far.
    Answer,
    /// Fail the request: the minimum number of parts cannot be reached, or the caller has stopped
    /// waiting.
    Fail,
    /// Wait for an attempt to end, at most until this time.
    Wait(MonotonicTime),
}

#[derive(Clone, Debug, Default)]
struct ShardProgress {
    attempts: u32,
    open: u32,
    done: bool,
    // Set if no further attempt will be made.
    exhausted: bool,
    must_retry: bool,
    // The earliest time of the retry, if it had to be postponed.
    retry_at: Option<MonotonicTime>,
    hedge_at: Option<MonotonicTime>,
}

/// The progress of one request over its shards.
#[derive(Clone, Debug)]
pub struct FanoutMachine {
    settings: FanoutSettings,
    shards: Vec<ShardProgress>,
    done: usize,
}

impl FanoutMachine {
    /// Creates the state of a request that has not been sent to any shard yet.
    pub fn new(settings: FanoutSettings) -> Self {
        let shards = vec![ShardProgress::default(); settings.shards];
        Self { settings, shards, done: 0 }
    }

    /// Returns the number of parts received so far.
    pub fn parts(&self) -> usize {
        self.done
    }

    /// Returns whether the parts received so far suffice for an answer.
    pub fn has_enough(&self) -> bool {
        self.done >= self.settings.min_parts
    }

    /// Records that an attempt was sent.
    pub fn note_sent(&mut self, now: MonotonicTime, shard: ShardIndex) {
        let hedge_after = self.settings.hedge_after;
        let max_attempts = self.settings.max_attempts;
        let progress = &mut self.shards[shard.0];
        progress.attempts += 1;
        progress.open += 1;
        progress.must_retry = false;
        progress.retry_at = None;
        progress.hedge_at = (progress.attempts < max_attempts).then(|| now + hedge_after);
    }

    /// Records that another entry sends to the shard. That entry also makes the hedges.
    pub fn note_relayed(&mut self, shard: ShardIndex) {
        let progress = &mut self.shards[shard.0];
        progress.attempts += 1;
        progress.open += 1;
        progress.must_retry = false;
        progress.hedge_at = None;
    }

    /// Records that the other entry will not deliver this part and that no further attempt may be
    /// made.
    pub fn note_abandoned(&mut self, shard: ShardIndex) {
        let progress = &mut self.shards[shard.0];
        progress.open = progress.open.saturating_sub(1);
        progress.exhausted |= progress.open == 0;
    }

    /// Records that no attempt can be sent now, or at any later time if `permanent` is set.
    pub fn note_unsent(&mut self, shard: ShardIndex, permanent: bool) {
        let progress = &mut self.shards[shard.0];
        progress.hedge_at = None;
        progress.must_retry = false;
        progress.exhausted |= permanent || progress.open == 0;
    }

    /// Postpones the hedge of a shard by the hedge delay, because no other target is suitable at
    /// the moment.
    pub fn postpone_hedge(&mut self, now: MonotonicTime, shard: ShardIndex) {
        self.shards[shard.0].hedge_at = Some(now + self.settings.hedge_after);
    }

    /// Postpones the hedge of a shard by a part of the hedge delay, because no other target would be done sooner. That
    /// changes as soon as the present one is late.
    pub fn reconsider_hedge(&mut self, now: MonotonicTime, shard: ShardIndex) {
        let delay = self.settings.hedge_after / HEDGE_CHECKS;
        self.shards[shard.0].hedge_at = Some(now + delay.max(MIN_HEDGE_CHECK));
    }

    /// Records that the retry budget refuses the hedge of a shard. It is tried again while a target asked then could still
    /// answer in time, because its first target may never answer.
    pub fn note_hedge_refused(&mut self, now: MonotonicTime, shard: ShardIndex) {
        let next = now + self.settings.hedge_after;
        let in_time = next + self.settings.hedge_after <= self.settings.answer_by;
        self.shards[shard.0].hedge_at = in_time.then_some(next);
    }

    /// Postpones the next attempt on a shard, because it is not allowed yet.
    pub fn postpone_attempt(&mut self, now: MonotonicTime, shard: ShardIndex, delay: Duration) {
        let progress = &mut self.shards[shard.0];
        match progress.must_retry {
            true => progress.retry_at = Some(now + delay),
            false => progress.hedge_at = Some(now + delay),
        }
    }

    /// Records a received part. Returns false if the shard already had one.
    pub fn note_part(&mut self, shard: ShardIndex) -> bool {
        let progress = &mut self.shards[shard.0];
        progress.open = progress.open.saturating_sub(1);
        if progress.done {
            return false;
        }
        progress.done = true;
        self.done += 1;
        true
    }

    /// Records a failed attempt. `ran` tells whether it counts towards the maximum number of
    /// attempts.
    pub fn note_failed(&mut self, shard: ShardIndex, ran: bool) {
        let max_attempts = self.settings.max_attempts;
        let progress = &mut self.shards[shard.0];
        progress.open = progress.open.saturating_sub(1);
        if !ran {
            progress.attempts = progress.attempts.saturating_sub(1);
        }
        progress.must_retry = !progress.done && progress.attempts < max_attempts;
        if progress.open == 0 && !progress.must_retry {
            progress.exhausted = true;
        }
    }

    /// Returns the next step. A launch must be followed by [`Self::note_sent`] or
    /// [`Self::note_unsent`].
    pub fn next_step(&mut self, now: MonotonicTime) -> FanoutStep {
        let reachable = self.shards.iter().filter(|shard| shard.can_deliver()).count();
        if self.done == self.shards.len() {
            return FanoutStep::Answer;
        }
        let enough = self.has_enough();
        if enough && (reachable == self.done || now >= self.settings.answer_by) {
            return FanoutStep::Answer;
        }
        if reachable < self.settings.min_parts || now >= self.settings.give_up_at {
            return FanoutStep::Fail;
        }
        if let Some(launch) = self.next_launch(now) {
            return launch;
        }
        FanoutStep::Wait(self.next_wakeup(enough))
    }

    fn next_launch(&self, now: MonotonicTime) -> Option<FanoutStep> {
        let waiting = || self.shards.iter().enumerate().filter(|(_, shard)| !shard.done);
        let launch = |reason| move |(index, _)| FanoutStep::Launch(ShardIndex(index), reason);
        let never_sent = |shard: &ShardProgress| shard.attempts == 0 && !shard.exhausted;
        let first = waiting().find(|(_, shard)| never_sent(shard) && !shard.must_retry);
        let may_retry =
            |shard: &ShardProgress| shard.must_retry && shard.retry_at.is_none_or(|at| at <= now);
        let retry = || waiting().find(|(_, shard)| may_retry(shard));
        let is_due = |shard: &ShardProgress| shard.next_hedge().is_some_and(|at| at <= now);
        let hedge = || waiting().find(|(_, shard)| is_due(shard));
        first
            .map(launch(LaunchReason::First))
            .or_else(|| retry().map(launch(LaunchReason::Retry)))
            .or_else(|| hedge().map(launch(LaunchReason::Hedge)))
    }

    fn next_wakeup(&self, enough: bool) -> MonotonicTime {
        let bound = if enough { self.settings.answer_by } else { self.settings.give_up_at };
        let open = || self.shards.iter().filter(|shard| !shard.done);
        let hedges = open().filter_map(ShardProgress::next_hedge);
        let retries = open().filter(|shard| shard.must_retry).filter_map(|shard| shard.retry_at);
        hedges.chain(retries).fold(bound, MonotonicTime::min)
    }
}

impl ShardProgress {
    fn can_deliver(&self) -> bool {
        self.done || self.open > 0 || !self.exhausted
    }

    /// Returns the time of the next hedge. There is none without an open attempt, nor beside a retry, which asks another
    /// target anyway.
    fn next_hedge(&self) -> Option<MonotonicTime> {
        self.hedge_at.filter(|_| self.open > 0 && !self.must_retry)
    }
}

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts in descending order. A remainder shorter than
/// a record is ignored.
pub fn merge_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, limit: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > limit && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |left, right| right.cmp(left));
        records.truncate(limit);
    }
    records.sort_unstable_by(|left, right| right.cmp(left));
    records.truncate(limit);
    records.concat()
}

/// Returns those of `records`, which are in descending order, that can be among the `limit` greatest
/// beside the records in `sent`, which are in descending order too. The others would be left out of
/// the merged answer anyway.
pub fn records_above<'a>(records: &'a [u8], sent: &[u8], limit: usize) -> &'a [u8] {
    let mut ahead = sent.chunks_exact(RECORD_BYTES).peekable();
    let mut passed = 0;
    let mut count = 0;
    for record in records.chunks_exact(RECORD_BYTES) {
        while ahead.next_if(|sent| *sent > record).is_some() {
            passed += 1;
        }
        if passed + count >= limit {
            break;
        }
        count += 1;
    }
    &records[..count * RECORD_BYTES]
}
