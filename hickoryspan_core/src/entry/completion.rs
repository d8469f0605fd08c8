//! Completion of searches and orders.

use crate::types::{AttemptId, MonotonicTime};

use super::arena::QueryKey;
use super::dispatch::PartitionRef;
use super::engine::FanoutEngine;
use super::interface::{EntryAction, ResponseReason};
use super::plan::{EngineReport, OrderResult};
use super::queries::{PartitionStatus, QueryState};
use super::targets::TargetIndex;

/// Maximum number of partition lists kept for reuse, so that starting a query usually allocates
/// none.
const MAX_POOLED_LISTS: usize = 64;

impl FanoutEngine {
    /// Finishes a query if all of its partitions have ended.
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

    /// Finishes a query and reports its result. `ended_by` is the reason for partitions that are
    /// still open.
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
            // The target keeps running the order; the engine only stops waiting for its answer.
            self.dispatcher.abandon(id, false, now, actions);
        }
        self.finish_order(key, result);
    }

    /// Removes an order and reports its result.
    pub(super) fn finish_order(&mut self, key: QueryKey, result: OrderResult) {
        let Some(query) = self.queries.remove(key) else { return };
        self.dispatcher.end_wait(&query, 0);
        self.by_token.remove(&query.token);
        self.reports.push_back(EngineReport::Order(query.token, result));
        self.recycle(query);
    }

    /// Removes a search and cancels its attempts. With `counts_slow`, unanswered attempts count
    /// towards the latency and health of their targets.
    pub(super) fn drop_query(
        &mut self,
        key: QueryKey,
        counts_slow: bool,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.queries.get(key).is_some_and(|query| query.classify_at.is_some()) {
            self.attribute_to_domain_loss(key, now);
        }
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

    pub(super) fn recycle(&mut self, query: QueryState) {
        if self.partition_pool.len() < MAX_POOLED_LISTS {
            let mut partitions = query.partitions;
            partitions.clear();
            self.partition_pool.push(partitions);
        }
    }

    /// Handles an attempt whose connection was closed by this engine.
    pub(super) fn end_closed_attempt(
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

    /// Returns the result of an order whose answer was lost.
    pub(super) fn lost_order(&self, target: TargetIndex) -> OrderResult {
        OrderResult::Lost { target: self.dispatcher.fleet.target(target).record.target.clone() }
    }
}
