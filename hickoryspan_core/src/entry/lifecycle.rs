//! The course of searches and orders: start, failures, timers and end.

use std::time::Duration;

use crate::types::{AttemptId, ConnectionId, CoverageShare, MonotonicTime, SnapshotVersion};

use super::crashes::is_domain_loss;
use super::dispatch::{DispatchOutcome, PartitionRef};
use super::engine::FanoutEngine;
use super::fleet::TargetIndex;
use super::interface::{EntryAction, ResponseReason};
use super::plan::{EngineReport, OrderResult, SearchResult};
use super::queries::{AttemptKind, CanaryStage, PartitionState, PartitionStatus, QueryState};
use super::slab::QueryKey;
use super::timers::TimerKey;

/// Lists of partitions that are kept for later queries, so that a query allocates nothing.
const MAX_SPARE_LISTS: usize = 64;

/// The shortest time between two looks at the partitions of a query, so that staggered attempts share one look.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// The wait before another attempt to move away from a suspect connection when there was no capacity.
const MOVE_INTERVAL: Duration = Duration::from_millis(20);

/// The result of a search that ends before anything was sent.
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

/// The reason of a partition for which no attempt could be sent.
fn refusal_reason(outcome: DispatchOutcome, cause: ResponseReason) -> ResponseReason {
    match outcome {
        DispatchOutcome::TooLate => ResponseReason::Deadline,
        DispatchOutcome::QueueFull => ResponseReason::Overloaded,
        _ => cause,
    }
}

impl FanoutEngine {
    /// Starts all partitions of a query, or one if it needs a canary.
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
            CanaryStage::Free => {
                for partition in 0..count {
                    self.launch_partition(PartitionRef { query: key, partition }, now, actions);
                }
            }
        }
        self.schedule_look(key, now);
        self.check_end(key, now, actions);
    }

    /// Starts the first partition that can run alone. If none can, the search ends.
    fn launch_canary(&mut self, key: QueryKey, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let Some(query) = self.queries.get(key) else { return };
        for partition in 0..query.partitions.len() as u32 {
            let Some(query) = self.queries.get(key) else { return };
            if query.partitions[partition as usize].status == PartitionStatus::Planned {
                self.launch_partition(PartitionRef { query: key, partition }, now, actions);
            }
            let Some(query) = self.queries.get(key) else { return };
            if !query.partitions[partition as usize].is_settled() {
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
        self.settle_outcome(place, outcome, ResponseReason::NoTarget, now);
    }

    /// Ends a partition for which no attempt could be sent, or lets it wait if its search wants coverage.
    fn settle_outcome(
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
            _ if query.wants_coverage() && query.may_retry() => {
                let state = &mut query.partitions[place.partition as usize];
                state.retries = state.retries.saturating_add(1);
                let until = now + self.dispatcher.backoff(state.retries);
                state.status = PartitionStatus::Backoff(until);
            }
            _ => query.fail(place.partition, refusal_reason(outcome, cause)),
        }
        self.schedule_look(place.query, now);
    }

    /// Reacts to the failure of an attempt: another one within the budget, or the end of the partition.
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
        let wants_coverage = query.wants_coverage();
        let judged = query.judge_at.is_some();
        let state = &mut query.partitions[place.partition as usize];
        if state.is_settled() || state.running_len() > 0 {
            return;
        }
        if judged {
            state.status = PartitionStatus::Held;
            return;
        }
        if !may_retry || (state.retries >= max_retries && !wants_coverage) {
            query.fail(place.partition, cause);
        } else {
            let kind = if state.sent == 0 { AttemptKind::First } else { AttemptKind::Retry };
            let outcome = self.dispatcher.dispatch(query, place, kind, now, actions);
            if outcome == DispatchOutcome::NoTarget && self.restart(place.query, now, actions) {
                return;
            }
            self.settle_outcome(place, outcome, cause, now);
        }
        self.after_canary(place, now, actions);
        self.check_end(place.query, now, actions);
    }

    /// Goes on when the partition of a canary ended without an answer.
    fn after_canary(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(place.query) else { return };
        if query.canary == CanaryStage::Free
            || !query.partitions[place.partition as usize].is_settled()
        {
            return;
        }
        if !query.suspected {
            self.launch_canary(place.query, now, actions);
            return;
        }
        for partition in 0..query.partitions.len() as u32 {
            query.fail(partition, ResponseReason::TargetFailure);
        }
    }

    /// Sends another attempt for a partition whose attempt was not sent; nothing ran, so it draws on no budget.
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
        self.settle_outcome(place, outcome, ResponseReason::NoTarget, now);
        self.check_end(place.query, now, actions);
    }

    /// Restarts a search on a newer snapshot that promises more coverage; once, and if time allows.
    pub(super) fn restart(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(query) = self.queries.get_mut(key) else { return false };
        let typical = self.dispatcher.quantiles(query.service).hedge;
        let allowed = !query.restarted
            && !query.is_pinned()
            && query.may_retry()
            && query.end_at.since(now) > typical;
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

    /// Makes sure that the query is looked at when its next attempt may need a hedge, or at its end.
    pub(super) fn schedule_look(&mut self, key: QueryKey, now: MonotonicTime) {
        let Some(query) = self.queries.get(key) else { return };
        let dispatcher = &self.dispatcher;
        let silence = dispatcher.silence(query.service);
        let delay = if query.is_order() {
            silence * dispatcher.settings.connections.silence_bound
        } else if dispatcher.settings.hedging.enabled {
            dispatcher.settings.hedging.delay(dispatcher.quantiles(query.service)).min(silence)
        } else {
            silence
        };
        self.wake_query(key, now + delay);
    }

    /// Sets the timer of a query, unless it fires earlier anyway.
    pub(super) fn wake_query(&mut self, key: QueryKey, at: MonotonicTime) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let at = at.min(query.end_at);
        if query.timer_at.is_none_or(|scheduled| at < scheduled) {
            query.timer_at = Some(at);
            self.dispatcher.timers.schedule(at, TimerKey::Query(key));
        }
    }

    /// Looks at the partitions of a query whose timer fired.
    pub(super) fn look(
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
        if query.judge_at.is_some_and(|at| at <= now) {
            self.judge(key, now, actions);
        }
        let mut next = MonotonicTime(u64::MAX);
        let count = self.queries.get(key).map_or(0, |query| query.partitions.len() as u32);
        for partition in 0..count {
            let place = PartitionRef { query: key, partition };
            let Some(at) = self.look_at_partition(place, now, actions) else { continue };
            next = next.min(at);
        }
        let judge_at = self.queries.get(key).and_then(|query| query.judge_at);
        next = next.min(judge_at.unwrap_or(next));
        self.wake_query(key, next.max(now + LOOK_INTERVAL));
        self.check_end(key, now, actions);
    }

    /// Does what is due for a partition; returns when to look at it again.
    fn look_at_partition(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let query = self.queries.get_mut(place.query)?;
        // A restart may have replaced the partitions since the look began.
        match query.partitions.get(place.partition as usize)?.status {
            PartitionStatus::Waiting(_) => {
                let least = self.dispatcher.least_time(query.service);
                if query.end_at.since(now) >= least {
                    return Some(query.end_at - least + LOOK_INTERVAL);
                }
                self.dispatcher.end_wait(query, place.partition);
                query.fail(place.partition, ResponseReason::Deadline);
                None
            }
            PartitionStatus::Backoff(until) if until > now => Some(until),
            PartitionStatus::Backoff(_) => {
                if query.wants_coverage() && query.may_retry() {
                    let sent = query.partitions[place.partition as usize].sent;
                    let kind = if sent == 0 { AttemptKind::First } else { AttemptKind::Retry };
                    let outcome = self.dispatcher.dispatch(query, place, kind, now, actions);
                    let restarts = outcome == DispatchOutcome::NoTarget;
                    if !(restarts && self.restart(place.query, now, actions)) {
                        self.settle_outcome(place, outcome, ResponseReason::NoTarget, now);
                    }
                } else {
                    query.fail(place.partition, ResponseReason::TargetFailure);
                }
                None
            }
            PartitionStatus::Running => self.look_at_attempts(place, now, actions),
            _ => None,
        }
    }

    /// Hedges slow attempts and closes silent connections.
    fn look_at_attempts(
        &mut self,
        place: PartitionRef,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) -> Option<MonotonicTime> {
        let query = self.queries.get(place.query)?;
        let silence = self.dispatcher.silence(query.service);
        let bound = silence * self.dispatcher.settings.connections.silence_bound;
        let is_order = query.is_order();
        let mut next = MonotonicTime(u64::MAX);
        for id in query.partitions[place.partition as usize].running() {
            let started = self.dispatcher.attempts.get(id)?.started;
            if now.since(started) >= bound {
                self.give_up_silent(place, id, now, actions);
                return Some(now + LOOK_INTERVAL);
            }
            next = next.min(started + bound);
        }
        if is_order {
            return Some(next);
        }
        let query = self.queries.get_mut(place.query)?;
        let state = &query.partitions[place.partition as usize];
        let mut running = state.running();
        let (Some(only), None) = (running.next(), running.next()) else { return Some(next) };
        if !query.may_retry() || query.canary == CanaryStage::Testing {
            return Some(next);
        }
        let started = self.dispatcher.attempts.get(only)?.started;
        let hedging = self.dispatcher.settings.hedging;
        if hedging.enabled && !state.hedge_considered {
            let due = started + hedging.delay(self.dispatcher.quantiles(query.service));
            if due > now {
                return Some(next.min(due));
            }
            query.partitions[place.partition as usize].hedge_considered = true;
            let hedge = AttemptKind::Hedge;
            if self.dispatcher.dispatch(query, place, hedge, now, actions)
                == DispatchOutcome::Started
            {
                return Some(next);
            }
        }
        let query = self.queries.get_mut(place.query)?;
        let state = &mut query.partitions[place.partition as usize];
        if state.move_considered {
            return Some(next);
        }
        let due = started + silence;
        if due > now {
            return Some(next.min(due));
        }
        state.move_considered = true;
        let target = state.tried().last().copied();
        let outcome = self.dispatcher.dispatch(query, place, AttemptKind::Move, now, actions);
        if outcome != DispatchOutcome::NoCapacity {
            return Some(next);
        }
        // A new connection may open in the meantime.
        self.dispatcher.touched.extend(target);
        let query = self.queries.get_mut(place.query)?;
        query.partitions[place.partition as usize].move_considered = false;
        Some(next.min(now + MOVE_INTERVAL))
    }

    /// Closes a connection that was silent beyond the bound.
    fn give_up_silent(
        &mut self,
        place: PartitionRef,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.get(id).copied() else { return };
        self.dispatcher.record_slow(id, now);
        self.dispatcher.close_silent(id, actions);
        let Some(query) = self.queries.get_mut(place.query) else { return };
        query.partitions[place.partition as usize].remove_attempt(id);
        if query.is_order() {
            self.finish_order(place.query, self.lost_order(attempt.target));
        } else {
            self.after_failure(place, ResponseReason::TargetFailure, now, actions);
        }
    }

    /// The result of an order whose answer cannot come any more.
    pub(super) fn lost_order(&self, target: TargetIndex) -> OrderResult {
        OrderResult::Lost { target: self.dispatcher.fleet.target(target).record.target.clone() }
    }

    /// Decides whether lost connections were the request's fault, after others had time to follow.
    fn judge(&mut self, key: QueryKey, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        query.judge_at = None;
        let outcomes = query.outcomes;
        let fingerprint = query.fingerprint;
        let dispatcher = &mut self.dispatcher;
        let crashes = dispatcher.settings.crashes;
        let excused = outcomes.lost_domains().all(|domain| {
            is_domain_loss(&dispatcher.fleet, &crashes, now, domain, &fingerprint, outcomes)
        });
        query.suspected = !excused;
        if excused {
            for domain in outcomes.lost_domains() {
                dispatcher.fleet.excuse(domain, &fingerprint);
            }
        }
        for partition in 0..query.partitions.len() as u32 {
            let Some(query) = self.queries.get_mut(key) else { return };
            // A restart replaces the partitions.
            let Some(state) = query.partitions.get(partition as usize) else { return };
            let status = state.status;
            if matches!(status, PartitionStatus::Waiting(_)) && !excused {
                // A first attempt could crash one more target.
                self.dispatcher.end_wait(query, partition);
                query.fail(partition, ResponseReason::TargetFailure);
            }
            if status == PartitionStatus::Held {
                let place = PartitionRef { query: key, partition };
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
        }
    }

    /// Ends a query if nothing is open.
    pub(super) fn check_end(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.queries.get(key).is_some_and(|query| query.open == 0) {
            self.finish(key, ResponseReason::Deadline, now, actions);
        }
    }

    /// Ends a query and reports it; `ended_by` explains what is still open.
    pub(super) fn finish(
        &mut self,
        key: QueryKey,
        ended_by: ResponseReason,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get(key) else { return };
        if !query.is_order() {
            let result = query.result(ended_by);
            let token = query.token;
            self.drop_query(key, true, now, actions);
            self.reports.push_back(EngineReport::Search(token, result));
            return;
        }
        let state = &query.partitions[0];
        let running = state.running().next();
        let result = match (running.and_then(|id| self.dispatcher.attempts.get(id)), state.status) {
            (Some(attempt), _) => self.lost_order(attempt.target),
            (None, PartitionStatus::Failed(reason)) => OrderResult::NotSent(reason),
            (None, _) => OrderResult::NotSent(ended_by),
        };
        if let Some(id) = running {
            // The order goes on at the target: it is not cancelled, only no longer awaited.
            self.dispatcher.abandon(id, false, now, actions);
        }
        self.finish_order(key, result);
    }

    /// Reports the end of an order.
    pub(super) fn finish_order(&mut self, key: QueryKey, result: OrderResult) {
        let Some(query) = self.queries.remove(key) else { return };
        self.dispatcher.end_wait(&query, 0);
        self.by_token.remove(&query.token);
        self.reports.push_back(EngineReport::Order(query.token, result));
        self.recycle(query);
    }

    /// Removes a search and cancels its attempts.
    pub(super) fn drop_query(
        &mut self,
        key: QueryKey,
        counts_slow: bool,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.remove(key) else { return };
        self.by_token.remove(&query.token);
        if query.open > 0 {
            for partition in 0..query.partitions.len() as u32 {
                self.dispatcher.end_wait(&query, partition);
                for attempt in query.partitions[partition as usize].running() {
                    if counts_slow {
                        self.dispatcher.record_slow(attempt, now);
                        self.dispatcher.record_censored(attempt, now);
                    }
                    self.dispatcher.abandon(attempt, true, now, actions);
                }
            }
        }
        self.recycle(query);
    }

    fn recycle(&mut self, query: QueryState) {
        if self.spare_partitions.len() < MAX_SPARE_LISTS {
            let mut partitions = query.partitions;
            partitions.clear();
            self.spare_partitions.push(partitions);
        }
    }

    /// Ends a query's attempt whose connection this engine closed.
    pub(super) fn attempt_closed(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.remove(id) else { return };
        if attempt.abandoned {
            return;
        }
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let state = &mut query.partitions[attempt.partition as usize];
        if !state.remove_attempt(id) {
            return;
        }
        if query.is_order() {
            self.finish_order(attempt.query, self.lost_order(attempt.target));
            return;
        }
        let place = PartitionRef { query: attempt.query, partition: attempt.partition };
        self.after_failure(place, ResponseReason::TargetFailure, now, actions);
    }

    /// Serves the waiting requests of targets that may have capacity, and opens connections that they lack.
    pub(super) fn serve_touched(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        while let Some(target) = self.dispatcher.touched.pop() {
            self.serve(target, now, actions);
            let dispatcher = &mut self.dispatcher;
            dispatcher.fleet.open_missing(now, target, &mut dispatcher.timers, actions);
        }
    }

    fn serve(&mut self, index: TargetIndex, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        loop {
            let target = self.dispatcher.fleet.target_mut(index);
            let Some(entry) = target.waiting.peek().map(|entry| entry.0) else { return };
            if !target.takes_work() {
                // Every waiting partition is in the queues of its other targets too.
                target.waiting.clear();
                return;
            }
            let place = PartitionRef { query: entry.query, partition: entry.partition };
            let Some(kind) = self.waiting_kind(place, entry.sequence) else {
                self.dispatcher.fleet.target_mut(index).waiting.pop();
                continue;
            };
            let target = self.dispatcher.fleet.target_mut(index);
            if !target.has_capacity(now) {
                let paused_until = target.limit.paused_until();
                if paused_until > now {
                    let dispatcher = &mut self.dispatcher;
                    dispatcher.fleet.wake_target(index, paused_until, &mut dispatcher.timers);
                }
                return;
            }
            target.waiting.pop();
            let allowed = !kind.is_extra() || target.budget.allows();
            let Some(query) = self.queries.get_mut(place.query) else { continue };
            let dispatcher = &mut self.dispatcher;
            if !allowed || !dispatcher.directory.serves(query, place.partition, index) {
                continue;
            }
            dispatcher.end_wait(query, place.partition);
            if kind.is_extra() && !query.may_retry() {
                query.partitions[place.partition as usize].status = PartitionStatus::Held;
                if query.judge_at.is_none() {
                    query.fail(place.partition, ResponseReason::TargetFailure);
                    self.check_end(place.query, now, actions);
                }
                continue;
            }
            if query.end_at.since(now) < dispatcher.least_time(query.service)
                || query.end_at.since(now) < dispatcher.least_time_at(index)
            {
                query.fail(place.partition, ResponseReason::Deadline);
                self.check_end(place.query, now, actions);
                continue;
            }
            dispatcher.start(query, place, index, kind, now, actions);
            self.schedule_look(place.query, now);
        }
    }

    /// The kind of attempt for which a partition still waits.
    fn waiting_kind(&self, place: PartitionRef, sequence: u64) -> Option<AttemptKind> {
        let query = self.queries.get(place.query)?;
        let state = query.partitions.get(place.partition as usize)?;
        match state.status {
            PartitionStatus::Waiting(kind) if state.sequence == sequence => Some(kind),
            _ => None,
        }
    }

    /// Closes what a target must not keep.
    pub(super) fn close_surplus(
        &mut self,
        target: TargetIndex,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let attempts = self.dispatcher.fleet.close_surplus(target, actions);
        for attempt in attempts {
            self.attempt_closed(attempt, now, actions);
        }
    }

    /// The attempts on a target's connections.
    pub(super) fn attempts_on(&self, target: TargetIndex) -> Vec<AttemptId> {
        let fleet = &self.dispatcher.fleet;
        let attempt = |id: &ConnectionId| fleet.connections.get(*id)?.attempt();
        fleet.target(target).connections.iter().filter_map(attempt).collect()
    }
}
