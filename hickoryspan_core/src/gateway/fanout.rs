//! Decides for one request over many shards when to send again, when to wait and when to answer.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Index of a shard in its route's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardIndex(pub usize);

/// The bounds of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FanoutSettings {
    /// The number of shards.
    pub shards: usize,
    /// The fewest parts of a successful answer.
    pub min_parts: usize,
    /// The most targets for each shard.
    pub max_attempts: u32,
    /// When an answer must leave to keep its full value.
    pub answer_by: MonotonicTime,
    /// When the caller stops waiting.
    pub give_up_at: MonotonicTime,
    /// How long an attempt may stay unanswered before another target is asked.
    pub hedge_after: Duration,
}

/// Why a shard is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchReason {
    /// The first attempt.
    First,
    /// An attempt failed.
    Retry,
    /// An attempt is slow.
    Hedge,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FanoutStep {
    /// Send to another target of this shard, if there is one and the budget allows it.
    Launch(ShardIndex, LaunchReason),
    /// Answer with the parts that are in.
    Answer,
    /// The parts cannot reach the minimum.
    Fail,
    /// Wait for an attempt to end, until this time at most.
    Wait(MonotonicTime),
}

#[derive(Clone, Debug, Default)]
struct ShardProgress {
    attempts: u32,
    open: u32,
    done: bool,
    // No further attempt will be made.
    exhausted: bool,
    must_retry: bool,
    hedge_at: Option<MonotonicTime>,
}

/// The progress of one request.
#[derive(Clone, Debug)]
pub struct FanoutMachine {
    settings: FanoutSettings,
    shards: Vec<ShardProgress>,
    done: usize,
}

impl FanoutMachine {
    /// A request of which nothing has been sent.
    pub fn new(settings: FanoutSettings) -> Self {
        let shards = vec![ShardProgress::default(); settings.shards];
        Self { settings, shards, done: 0 }
    }

    /// The number of parts that are in.
    pub fn parts(&self) -> usize {
        self.done
    }

    /// An attempt was sent.
    pub fn note_sent(&mut self, now: MonotonicTime, shard: ShardIndex) {
        let hedge_after = self.settings.hedge_after;
        let max_attempts = self.settings.max_attempts;
        let progress = &mut self.shards[shard.0];
        progress.attempts += 1;
        progress.open += 1;
        progress.must_retry = false;
        progress.hedge_at = (progress.attempts < max_attempts).then(|| now + hedge_after);
    }

    /// Another entry sends to the shard, and hedges there itself.
    pub fn note_relayed(&mut self, shard: ShardIndex) {
        let progress = &mut self.shards[shard.0];
        progress.attempts += 1;
        progress.open += 1;
        progress.must_retry = false;
        progress.hedge_at = None;
    }

    /// The other entry will not bring this part, and no further attempt may be made.
    pub fn note_abandoned(&mut self, shard: ShardIndex) {
        let progress = &mut self.shards[shard.0];
        progress.open = progress.open.saturating_sub(1);
        progress.exhausted |= progress.open == 0;
    }

    /// No attempt can be sent now; with `for_good`, none will be.
    pub fn note_unsent(&mut self, shard: ShardIndex, for_good: bool) {
        let progress = &mut self.shards[shard.0];
        progress.hedge_at = None;
        progress.must_retry = false;
        progress.exhausted |= for_good || progress.open == 0;
    }

    /// No other target is worth a hedge at this moment; it is looked for again after a while.
    pub fn postpone_hedge(&mut self, now: MonotonicTime, shard: ShardIndex) {
        self.shards[shard.0].hedge_at = Some(now + self.settings.hedge_after);
    }

    /// A part is in; false if the shard had one already.
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

    /// An attempt failed; `ran` tells whether it counts as one of the targets that the shard may reach.
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

    /// The next step. A launch must be answered by [`Self::note_sent`] or [`Self::note_unsent`].
    pub fn next_step(&mut self, now: MonotonicTime) -> FanoutStep {
        let possible = self.shards.iter().filter(|shard| shard.is_possible()).count();
        if self.done == self.shards.len() {
            return FanoutStep::Answer;
        }
        let enough = self.done >= self.settings.min_parts;
        if enough && (possible == self.done || now >= self.settings.answer_by) {
            return FanoutStep::Answer;
        }
        if possible < self.settings.min_parts || now >= self.settings.give_up_at {
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
        let retry = || waiting().find(|(_, shard)| shard.must_retry);
        let is_due = |shard: &ShardProgress| shard.hedge_at.is_some_and(|at| at <= now);
        let hedge = || waiting().find(|(_, shard)| shard.open > 0 && is_due(shard));
        first
            .map(launch(LaunchReason::First))
            .or_else(|| retry().map(launch(LaunchReason::Retry)))
            .or_else(|| hedge().map(launch(LaunchReason::Hedge)))
    }

    fn next_wakeup(&self, enough: bool) -> MonotonicTime {
        let bound = if enough { self.settings.answer_by } else { self.settings.give_up_at };
        let hedges = self.shards.iter().filter(|shard| !shard.done).filter_map(|s| s.hedge_at);
        hedges.fold(bound, MonotonicTime::min)
    }
}

impl ShardProgress {
    fn is_possible(&self) -> bool {
        self.done || self.open > 0 || !self.exhausted
    }
}

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// The greatest records of all parts, greatest first; a remainder shorter than a record is left out.
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
