//! Lifecycle of searches and orders: start, failures and timers.

use std::time::Duration;

use crate::types::{AttemptId, CoverageShare, MonotonicTime, SnapshotVersion};

use super::arena::QueryKey;
use super::dispatch::{DispatchOutcome, PartitionRef};
use super::engine::FanoutEngine;
use super::interface::{EntryAction, ResponseReason};
use super::plan::SearchResult;
use super::queries::{AttemptKind, CanaryStage, PartitionState, PartitionStatus};
use super::timers::TimerKey;

/// Minimum interval between two inspections of a query, so that staggered attempts share one
/// inspection.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of tries to hedge a sub-request while there is no capacity or budget. More would
/// cost processing time when all targets are slow.
const MAX_HEDGE_TRIES: u8 = 4;

/// Maximum number of tries to reroute a sub-request away from stalled connections.
const MAX_REROUTE_TRIES: u8 = 10;

/// Delay before the next try to reroute a sub-request when there was no capacity.
const REROUTE_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the result of a search that is refused before anything was sent.
pub(super) fn refused_search(
    snapshot: Option<SnapshotVersion>,
    reason: ResponseReason,
) -> SearchResult {
    SearchResult {
        snapshot,
        coverage: CoverageShare::NONE,
        parts: Vec::new(),
        attempts: 0,
        extra_attempts: 0,
        may_have_run: false,
        reason: Some(reason),
    }
}

/// Returns the failure reason of a partition for which no attempt could be sent.
fn refusal_reason(outcome: DispatchOutcome, cause: ResponseReason) -> ResponseReason {
    match outcome {
        DispatchOutcome::TooLate => ResponseReason::Deadline,
        DispatchOutcome::QueueFull => ResponseReason::Overloaded,
        _ => cause,
    }
}

impl FanoutEngine {
    /// Starts all partitions of a query, or a single one if the query needs a canary.
    pub(super) fn launch(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get(key) else { return };
        let count = query.partitions.len() as u32;
        match query.canary {
            CanaryStage::Testing => self.launch_canary(key, now, actions),
            CanaryStage::NotNeeded => {
                for partition in 0..count {
                    self.launch_partition(PartitionRef { query: key, partition }, now, actions);
                }
            }
        }
        self.schedule_inspection(key, now);
        self.check_end(key, now, actions);
    }

    /// Starts a single partition as the canary, trying the partitions in order. If none can be
    /// sent, all have failed and the search ends.
    fn launch_canary(&mut self, key: QueryKey, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let Some(query) = self.queries.get(key) else { return };
        for partition in 0..query.partitions.len() as u32 {
            let Some(query) = self.queries.get(key) else { return };
            if query.partitions[partition as usize].status == PartitionStatus::Planned {
                self.launch_partition(PartitionRef { query: key, partition }, now, actions);
            }
            let Some(query) = self.queries.get(key) else { return };
            if !query.partitions[partition as usize].has_ended() {
                return;
            }
        }
    }

    fn launch_partition(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(place.query) else { return };
        if query.partitions[place.partition as usize].status != PartitionStatus::Planned {
            return;
        }
        let outcome = self.dispatcher.dispatch(query, place, AttemptKind::First, now, actions);
        self.apply_outcome(place, outcome, ResponseReason::NoTarget, now);
    }

    /// Applies the result of a dispatch. A partition for which no attempt could be sent fails, or
    /// is retried after a back-off if the search still needs coverage.
    fn apply_outcome(
        &mut self,
        place: PartitionRef,
        outcome: DispatchOutcome,
        cause: ResponseReason,
        now: MonotonicTime,
    ) {
        let Some(query) = self.queries.get_mut(place.query) else { return };
        match outcome {
            DispatchOutcome::Started | DispatchOutcome::Waiting => {}
            DispatchOutcome::TooLate => query.fail(place.partition, ResponseReason::Deadline),
            _ if query.needs_coverage() && query.may_retry() => {
                let state = &mut query.partitions[place.partition as usize];
                state.retries = state.retries.saturating_add(1);
                let until = now + self.dispatcher.backoff(state.retries);
                state.status = PartitionStatus::Backoff(until);
            }
            _ => query.fail(place.partition, refusal_reason(outcome, cause)),
        }
        self.schedule_inspection(place.query, now);
    }

    /// Retries a partition whose attempt failed if the budget allows, or fails the partition. While
    /// a lost connection waits for its classification, the partition is only suspended.
    pub(super) fn after_failure(
        &mut self,
        place: PartitionRef,
        cause: ResponseReason,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let max_retries = self.dispatcher.settings.hedging.max_retries;
        let Some(query) = self.queries.get_mut(place.query) else { return };
        let may_retry = query.may_retry();
        let needs_coverage = query.needs_coverage();
        let is_classifying = query.classify_at.is_some();
        let state = &mut query.partitions[place.partition as usize];
        if state.has_ended() || state.running_len() > 0 {
            return;
        }
        if is_classifying {
            state.status = PartitionStatus::Suspended;
            return;
        }
        if !may_retry || (state.retries >= max_retries && !needs_coverage) {
            query.fail(place.partition, cause);
        } else {
            let kind = if state.sent == 0 { AttemptKind::First } else { AttemptKind::Retry };
            let outcome = self.dispatcher.dispatch(query, place, kind, now, actions);
            if outcome == DispatchOutcome::NoTarget && self.restart(place.query, now, actions) {
                return;
            }
            self.apply_outcome(place, outcome, cause, now);
        }
        self.after_canary(place, now, actions);
        self.check_end(place.query, now, actions);
    }

    /// Continues after the canary's partition ended without an answer: with another canary, or by
    /// failing the search if the request is suspected of a crash.
    pub(super) fn after_canary(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(place.query) else { return };
        if query.canary == CanaryStage::NotNeeded
            || !query.partitions[place.partition as usize].has_ended()
        {
            return;
        }
        if !query.crash_suspected {
            self.launch_canary(place.query, now, actions);
            return;
        }
        for partition in 0..query.partitions.len() as u32 {
            query.fail(partition, ResponseReason::TargetFailure);
        }
    }

    /// Sends another attempt for a partition whose attempt was not sent. Nothing ran, so an order
    /// may be sent again and no budget is used.
    pub(super) fn after_not_sent(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(place.query) else { return };
        if !query.is_order() {
            self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            return;
        }
        let outcome = self.dispatcher.dispatch(query, place, AttemptKind::First, now, actions);
        self.apply_outcome(place, outcome, ResponseReason::NoTarget, now);
        self.check_end(place.query, now, actions);
    }

    /// Restarts a search on a newer snapshot with more reachable coverage. A search restarts at
    /// most once, only if time allows, and not if its caller pinned the snapshot.
    ///
    /// Returns whether the search was restarted.
    pub(super) fn restart(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(query) = self.queries.get_mut(key) else { return false };
        let typical = self.dispatcher.quantiles(query.service).hedge;
        let allowed = !query.restarted && query.may_retry() && query.end_at.since(now) > typical;
        let Some(scope) = query.scope().filter(|_| allowed) else { return false };
        let dispatcher = &mut self.dispatcher;
        let version = query.layout.version;
        let choice = dispatcher.directory.choose(query.service, &scope, version, &dispatcher.fleet);
        let Some(choice) = choice else { return false };
        if choice.reachable <= dispatcher.directory.reachable(&query.layout, &dispatcher.fleet) {
            return false;
        }
        for partition in 0..query.partitions.len() as u32 {
            dispatcher.end_wait(query, partition);
            let state = query.partitions[partition as usize];
            for attempt in state.running() {
                dispatcher.abandon(attempt, true, now, actions);
            }
            if state.status == PartitionStatus::Done {
                actions.push(EntryAction::DiscardAttempt(state.accepted));
            }
        }
        query.restarted = true;
        query.coverage = Default::default();
        query.layout = choice.layout;
        query.partitions.clear();
        query.partitions.resize(query.layout.partitions.len(), PartitionState::default());
        query.open = query.partitions.len() as u32;
        self.launch(key, now, actions);
        true
    }

    /// Schedules an inspection of the query for when its newest attempt may need a hedge or its
    /// connection may be stalled.
    pub(super) fn schedule_inspection(&mut self, key: QueryKey, now: MonotonicTime) {
        let Some(query) = self.queries.get(key) else { return };
        let dispatcher = &self.dispatcher;
        let stall_timeout = dispatcher.stall_timeout(query.service);
        let delay = if query.is_order() {
            stall_timeout * dispatcher.settings.connections.stall_close_factor
        } else if dispatcher.settings.hedging.enabled {
            dispatcher
                .settings
                .hedging
                .delay(dispatcher.quantiles(query.service))
                .min(stall_timeout)
        } else {
            stall_timeout
        };
        self.schedule_query(key, now + delay);
    }

    /// Schedules the timer of a query, unless it is already set to an earlier time.
    pub(super) fn schedule_query(&mut self, key: QueryKey, at: MonotonicTime) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let at = at.min(query.end_at);
        if query.timer_at.is_none_or(|scheduled| at < scheduled) {
            query.timer_at = Some(at);
            self.dispatcher.timers.schedule(at, TimerKey::Query(key));
        }
    }

    /// Inspects all partitions of a query whose timer fired.
    pub(super) fn inspect(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        query.timer_at = None;
        if now >= query.end_at {
            self.finish(key, ResponseReason::Deadline, now, actions);
            return;
        }
        if query.classify_at.is_some_and(|at| at <= now) {
            self.classify_losses(key, now, actions);
        }
        let mut next = MonotonicTime(u64::MAX);
        let count = self.queries.get(key).map_or(0, |query| query.partitions.len() as u32);
        for partition in 0..count {
            let place = PartitionRef { query: key, partition };
            let Some(at) = self.inspect_partition(place, now, actions) else { continue };
            next = next.min(at);
        }
        let classify_at = self.queries.get(key).and_then(|query| query.classify_at);
        next = next.min(classify_at.unwrap_or(next));
        self.schedule_query(key, next.max(now + INSPECTION_INTERVAL));
        self.check_end(key, now, actions);
    }

    /// Performs the action that is due for a partition. Returns the time of the next inspection, or
    /// `None` if none is needed.
    fn inspect_partition(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let query = self.queries.get_mut(place.query)?;
        // A restart may have replaced the partitions since the inspection began.
        match query.partitions.get(place.partition as usize)?.status {
            PartitionStatus::Waiting(_) => {
                let min_remaining = self.dispatcher.min_remaining_time(query.service);
                if query.end_at.since(now) >= min_remaining {
                    return Some(query.end_at - min_remaining + INSPECTION_INTERVAL);
                }
                self.dispatcher.end_wait(query, place.partition);
                query.fail(place.partition, ResponseReason::Deadline);
                None
            }
            PartitionStatus::Backoff(until) if until > now => Some(until),
            PartitionStatus::Backoff(_) => {
                if query.needs_coverage() && query.may_retry() {
                    let sent = query.partitions[place.partition as usize].sent;
                    let kind = if sent == 0 { AttemptKind::First } else { AttemptKind::Retry };
                    let outcome = self.dispatcher.dispatch(query, place, kind, now, actions);
                    let restarts = outcome == DispatchOutcome::NoTarget;
                    if !(restarts && self.restart(place.query, now, actions)) {
                        self.apply_outcome(place, outcome, ResponseReason::NoTarget, now);
                    }
                } else {
                    query.fail(place.partition, ResponseReason::TargetFailure);
                }
                None
            }
            PartitionStatus::Running => self.inspect_attempts(place, now, actions),
            _ => None,
        }
    }

    /// Hedges slow attempts and handles attempts on stalled connections. Returns the time of the
    /// next inspection.
    fn inspect_attempts(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let query = self.queries.get(place.query)?;
        let stall_timeout = self.dispatcher.stall_timeout(query.service);
        let close_timeout = stall_timeout * self.dispatcher.settings.connections.stall_close_factor;
        let is_order = query.is_order();
        let mut next = MonotonicTime(u64::MAX);
        for id in query.partitions[place.partition as usize].running() {
            let started = self.dispatcher.attempts.get(id)?.started;
            if now.since(started) >= close_timeout {
                self.fail_stalled(place, id, now, actions);
                return Some(now + INSPECTION_INTERVAL);
            }
            next = next.min(started + close_timeout);
        }
        if is_order {
            return Some(next);
        }
        let query = self.queries.get(place.query)?;
        if !query.may_retry() || query.canary == CanaryStage::Testing {
            return Some(next);
        }
        if query.partitions[place.partition as usize].running_len() == 1 {
            next = next.min(self.inspect_hedge(place, now, actions)?);
        }
        let query = self.queries.get(place.query)?;
        let attempts = query.partitions[place.partition as usize].running();
        let started = |id| Some(self.dispatcher.attempts.get(id)?.started);
        let stalled_at = attempts.filter_map(started).max()? + stall_timeout;
        if stalled_at > now {
            return Some(next.min(stalled_at));
        }
        Some(next.min(self.reroute_stalled(place, now, actions)?))
    }

    /// Hedges the only attempt of a partition when its hedge delay has passed. Returns the time of
    /// the next try.
    fn inspect_hedge(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let never = Some(MonotonicTime(u64::MAX));
        let hedging = self.dispatcher.settings.hedging;
        let query = self.queries.get_mut(place.query)?;
        let state = &mut query.partitions[place.partition as usize];
        if !hedging.enabled || state.hedge_tries >= MAX_HEDGE_TRIES {
            return never;
        }
        let started = self.dispatcher.attempts.get(state.running().next()?)?.started;
        let delay = hedging.delay(self.dispatcher.quantiles(query.service));
        let due = started + delay.mul_f64(1.0 + 0.5 * f64::from(state.hedge_tries));
        if due > now {
            return Some(due);
        }
        state.hedge_tries += 1;
        match self.dispatcher.dispatch(query, place, AttemptKind::Hedge, now, actions) {
            DispatchOutcome::NoCapacity | DispatchOutcome::NoBudget => Some(due + delay / 2),
            _ => never,
        }
    }

    /// Sends another attempt for a partition whose attempts are all on stalled connections. The
    /// first tries use only connections that were active since the oldest of these attempts was
    /// sent. Returns the time of the next try.
    fn reroute_stalled(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let query = self.queries.get_mut(place.query)?;
        let state = &mut query.partitions[place.partition as usize];
        if state.reroute_tries >= MAX_REROUTE_TRIES {
            return Some(MonotonicTime(u64::MAX));
        }
        state.reroute_tries += 1;
        if state.reroute_tries == 1 {
            for id in state.running() {
                self.dispatcher.close_inactive(id, actions);
            }
        }
        if state.running_len() == 2 {
            // A partition has at most two attempts that count, so the older one is abandoned. It
            // occupies its connection until the connection is closed as stalled.
            let start =
                |id: &AttemptId| self.dispatcher.attempts.get(*id).map(|other| other.started);
            let older = state.running().min_by_key(start)?;
            state.remove_attempt(older);
            self.dispatcher.abandon(older, true, now, actions);
        }
        let outcome = self.dispatcher.dispatch(query, place, AttemptKind::Reroute, now, actions);
        Some(if outcome == DispatchOutcome::Started {
            MonotonicTime(u64::MAX)
        } else {
            now + REROUTE_INTERVAL
        })
    }

    /// Closes a connection that has been stalled for too long and fails its attempt.
    fn fail_stalled(
        &mut self,
        place: PartitionRef,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.get(id).copied() else { return };
        self.dispatcher.record_slow(id, now);
        self.dispatcher.close_stalled(id, actions);
        let Some(query) = self.queries.get_mut(place.query) else { return };
        query.partitions[place.partition as usize].remove_attempt(id);
        if query.is_order() {
            self.finish_order(place.query, self.lost_order(attempt.target));
        } else {
            self.after_failure(place, ResponseReason::TargetFailure, now, actions);
        }
    }
}
