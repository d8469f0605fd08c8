//! Queues of requests that wait for the capacity of a target.

use crate::types::MonotonicTime;

use super::dispatch::PartitionRef;
use super::engine::FanoutEngine;
use super::interface::{EntryAction, ResponseReason};
use super::queries::{AttemptKind, PartitionStatus};
use super::snapshots::ServiceIndex;
use super::targets::TargetIndex;

impl FanoutEngine {
    /// Sends waiting requests to targets that may have capacity, and opens missing connections.
    pub(super) fn serve_dirty_targets(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        while let Some(target) = self.dispatcher.dirty_targets.pop() {
            self.serve(target, now, actions);
            let dispatcher = &mut self.dispatcher;
            dispatcher.fleet.open_missing_connections(now, target, &mut dispatcher.timers, actions);
        }
    }

    pub(super) fn serve(
        &mut self,
        index: TargetIndex,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        loop {
            let target = self.dispatcher.fleet.target_mut(index);
            let Some(entry) = target.waiting.peek().map(|entry| entry.0) else { return };
            if !target.accepts_work() {
                self.requeue_elsewhere(index, now, actions);
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
                    dispatcher.fleet.schedule_target(index, paused_until, &mut dispatcher.timers);
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
                query.partitions[place.partition as usize].status = PartitionStatus::Suspended;
                if query.classify_at.is_none() {
                    query.fail(place.partition, ResponseReason::TargetFailure);
                    self.check_end(place.query, now, actions);
                }
                continue;
            }
            if query.end_at.since(now) < dispatcher.min_remaining_time(query.service)
                || query.end_at.since(now) < dispatcher.min_remaining_time_at(index)
            {
                query.fail(place.partition, ResponseReason::Deadline);
                self.check_end(place.query, now, actions);
                continue;
            }
            dispatcher.start(query, place, index, kind, now, actions);
            self.schedule_inspection(place.query, now);
        }
    }

    /// Moves the waiting requests of a target that accepts no work to the queues of other targets.
    /// Requests without another target fail or are retried.
    fn requeue_elsewhere(
        &mut self,
        index: TargetIndex,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        for entry in std::mem::take(&mut self.dispatcher.fleet.target_mut(index).waiting) {
            let entry = entry.0;
            let place = PartitionRef { query: entry.query, partition: entry.partition };
            if self.waiting_kind(place, entry.sequence).is_none() {
                continue;
            }
            let Some(query) = self.queries.get(place.query) else { continue };
            let dispatcher = &mut self.dispatcher;
            let group = query.layout.partitions[place.partition as usize].group;
            if dispatcher.directory.is_reachable(group, &dispatcher.fleet) {
                dispatcher.join_queues(query, place, now);
                continue;
            }
            dispatcher.end_wait(query, place.partition);
            if let Some(query) = self.queries.get_mut(place.query) {
                query.partitions[place.partition as usize].status = PartitionStatus::Suspended;
            }
            self.after_failure(place, ResponseReason::NoTarget, now, actions);
        }
    }

    /// Returns the kind of attempt for which a partition waits, or `None` if the wait has ended.
    pub(super) fn waiting_kind(&self, place: PartitionRef, sequence: u64) -> Option<AttemptKind> {
        let query = self.queries.get(place.query)?;
        let state = query.partitions.get(place.partition as usize)?;
        match state.status {
            PartitionStatus::Waiting(kind) if state.sequence == sequence => Some(kind),
            _ => None,
        }
    }

    /// Closes connections that a target must not keep, and handles the attempts on them.
    pub(super) fn close_surplus(
        &mut self,
        target: TargetIndex,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let attempts = self.dispatcher.fleet.close_surplus(target, actions);
        for attempt in attempts {
            self.end_closed_attempt(attempt, now, actions);
        }
    }

    /// Adds the waiting requests of the given services to the queues of targets that joined.
    pub(super) fn requeue_waiting(&mut self, services: &[ServiceIndex], now: MonotonicTime) {
        for key in self.queries.keys() {
            let Some(query) = self.queries.get(key) else { continue };
            if !services.contains(&query.service) {
                continue;
            }
            for (partition, state) in query.partitions.iter().enumerate() {
                if matches!(state.status, PartitionStatus::Waiting(_)) {
                    let place = PartitionRef { query: key, partition: partition as u32 };
                    self.dispatcher.join_queues(query, place, now);
                }
            }
        }
    }
}
