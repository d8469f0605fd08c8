//! Handles the outcomes of attempts and the events of connections.

use std::sync::Arc;
use std::time::Duration;

use crate::types::{AttemptId, ConnectionId, MonotonicTime, SnapshotVersion};

use super::arena::QueryKey;
use super::dispatch::PartitionRef;
use super::engine::FanoutEngine;
use super::interface::{
    AnswerStatus, AttemptFailure, EntryAction, EntryMetric, LoadReport, ResponseReason,
};
use super::plan::{EngineReport, OrderResult};
use super::queries::{AttemptState, CanaryStage, PartitionStatus};
use super::targets::ConnectionState;
use super::timers::TimerKey;

/// Answer to an attempt, as the driver reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptAnswer<'a> {
    /// Status that the target returned.
    pub status: AnswerStatus,
    /// Load that the target reported with the answer, if any.
    pub load: Option<LoadReport>,
    /// Snapshot that the target searched; `None` for orders.
    pub snapshot: Option<SnapshotVersion>,
    /// Body of the answer to an order.
    pub body: Option<&'a Arc<str>>,
}

impl FanoutEngine {
    /// Handles an answer. Answers to unknown or ended attempts are ignored.
    pub(super) fn handle_answer(
        &mut self,
        id: AttemptId,
        answer: AttemptAnswer<'_>,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.remove(id) else { return };
        self.dispatcher.fleet.release_connection(now, attempt.connection, actions);
        self.dispatcher.dirty_targets.push(attempt.target);
        self.record_answer_statistics(&attempt, &answer, now, actions);
        if attempt.abandoned {
            return;
        }
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let state = &mut query.partitions[attempt.partition as usize];
        if !state.remove_attempt(id) {
            return;
        }
        if answer.status.is_unexecuted() {
            query.unexecuted += 1;
        }
        if query.is_order() {
            let target = self.dispatcher.fleet.target(attempt.target).record.target.clone();
            let (status, body) = (answer.status, answer.body.cloned());
            let result = OrderResult::Answered { target, attempt: id, status, body };
            self.finish_order(attempt.query, result);
            return;
        }
        self.pass_canary(&attempt, answer.status);
        let Some(query) = self.queries.get(attempt.query) else { return };
        let version = query.layout.version;
        let place = PartitionRef { query: attempt.query, partition: attempt.partition };
        match answer.status {
            AnswerStatus::Done if version.is_none() || answer.snapshot == version => {
                self.accept(id, &attempt, now, actions);
            }
            AnswerStatus::Done | AnswerStatus::SnapshotGone => {
                actions.push(EntryAction::DiscardAttempt(id));
                self.remove_replica(&attempt, now);
                if self.is_unserved(place) && self.restart(place.query, now, actions) {
                    return;
                }
                self.after_failure(place, ResponseReason::SnapshotGone, now, actions);
            }
            status => {
                actions.push(EntryAction::DiscardAttempt(id));
                let cause = match status {
                    AnswerStatus::Shed => ResponseReason::Overloaded,
                    AnswerStatus::Late => ResponseReason::Deadline,
                    AnswerStatus::Draining => ResponseReason::NoTarget,
                    _ => ResponseReason::TargetFailure,
                };
                self.after_failure(place, cause, now, actions);
            }
        }
        self.launch_remaining(&attempt, now, actions);
    }

    /// Returns how long a sub-request waited for capacity before its first attempt. Admission needs
    /// this time: requests queue in the engine and not at the targets, so that the latency of the
    /// targets hardly shows an overload.
    fn waiting_time(&self, attempt: &AttemptState) -> Duration {
        let Some(query) = self.queries.get(attempt.query) else { return Duration::ZERO };
        let is_first = query
            .partitions
            .get(attempt.partition as usize)
            .is_some_and(|partition| partition.sent == 1);
        if is_first { attempt.started.since(query.started_at) } else { Duration::ZERO }
    }

    /// Updates the latency, load, concurrency limit and health of a target from an answer.
    fn record_answer_statistics(
        &mut self,
        attempt: &AttemptState,
        answer: &AttemptAnswer<'_>,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let waited = self.waiting_time(attempt);
        let dispatcher = &mut self.dispatcher;
        let service = dispatcher.fleet.target(attempt.target).service;
        let latency = now.since(attempt.started);
        let settings = &dispatcher.settings;
        let quantiles = dispatcher.directory.service(service).latency.quantiles();
        let target = dispatcher.fleet.target_mut(attempt.target);
        if let Some(load) = answer.load {
            target.record_load(now, load);
        }
        match answer.status {
            AnswerStatus::Done => {
                target.limit.record_answer(
                    now,
                    attempt.started,
                    answer.load,
                    &settings.concurrency,
                );
                target.health.record_success();
                target.record_round_trip(latency);
                if attempt.abandoned {
                    return;
                }
                target.health.record_latency(now, latency, quantiles, &settings.outliers);
                let state = dispatcher.directory.service_mut(service);
                state.latency.record(latency);
                let key = state.key.clone();
                let service = key.clone();
                actions.push(EntryAction::RecordMetric(EntryMetric::Attempt { service, latency }));
                self.reports.push_back(EngineReport::SubrequestLatency(key, latency + waited));
            }
            AnswerStatus::Shed => {
                let typical = quantiles.median;
                target.limit.record_shed(now, attempt.started, typical, &settings.concurrency);
            }
            AnswerStatus::Draining => {
                dispatcher.fleet.mark_leaving(now, attempt.target, &mut dispatcher.timers);
                dispatcher.directory.refresh_reachable(service, &dispatcher.fleet);
                self.close_surplus(attempt.target, now, actions);
            }
            AnswerStatus::Error => target.health.record_failure(now, &settings.outliers),
            AnswerStatus::SnapshotGone | AnswerStatus::Late => {}
        }
    }

    /// Accepts an answer for its partition and abandons the partition's other attempt.
    fn accept(
        &mut self,
        id: AttemptId,
        attempt: &AttemptState,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let domain = self.dispatcher.fleet.target(attempt.target).domain;
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let needed_coverage = query.needs_coverage();
        let weight = query.layout.partitions[attempt.partition as usize].weight;
        let state = &mut query.partitions[attempt.partition as usize];
        let losers = state.attempts;
        state.attempts = Default::default();
        state.status = PartitionStatus::Done;
        state.accepted = id;
        query.open -= 1;
        query.coverage.add(weight);
        query.outcomes.record_answer(domain);
        let floor_reached = needed_coverage && !query.needs_coverage();
        let service = query.service;
        for loser in losers {
            let Some(other) = self.dispatcher.attempts.get(loser) else { continue };
            let elapsed = now.since(other.started);
            self.dispatcher.record_slow(loser, now);
            if elapsed >= self.dispatcher.stall_timeout(service) {
                self.dispatcher.close_stalled(loser, actions);
            } else {
                self.dispatcher.record_censored(loser, now);
                self.dispatcher.abandon(loser, true, now, actions);
            }
        }
        if floor_reached {
            self.end_backoffs(attempt.query);
        }
        self.check_end(attempt.query, now, actions);
    }

    /// Fails partitions in back-off. They would be retried only to reach the coverage floor, which
    /// is now reached.
    fn end_backoffs(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else { return };
        for partition in 0..query.partitions.len() as u32 {
            let status = query.partitions[partition as usize].status;
            if matches!(status, PartitionStatus::Backoff(_)) {
                query.fail(partition, ResponseReason::TargetFailure);
            }
        }
    }

    /// Records that a target no longer serves a partition.
    fn remove_replica(&mut self, attempt: &AttemptState, now: MonotonicTime) {
        let Some(query) = self.queries.get(attempt.query) else { return };
        let partition = &query.layout.partitions[attempt.partition as usize];
        let dispatcher = &mut self.dispatcher;
        if let (Some(version), Some(shard)) = (query.layout.version, &partition.shard) {
            let timers = &mut dispatcher.timers;
            dispatcher.fleet.record_denial(now, attempt.target, version, shard, timers);
        }
        let group = partition.group;
        dispatcher.directory.remove_replica(
            query.service,
            attempt.target,
            group,
            &dispatcher.fleet,
        );
    }

    /// Returns whether no target accepts work for a partition.
    fn is_unserved(&self, place: PartitionRef) -> bool {
        let Some(query) = self.queries.get(place.query) else { return false };
        let group = query.layout.partitions[place.partition as usize].group;
        !self.dispatcher.directory.is_reachable(group, &self.dispatcher.fleet)
    }

    /// Reports that a canary passed if its answer shows that the target did not crash.
    fn pass_canary(&mut self, attempt: &AttemptState, status: AnswerStatus) {
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let survived = matches!(status, AnswerStatus::Done | AnswerStatus::Error);
        if query.canary == CanaryStage::Testing && survived {
            query.canary = CanaryStage::NotNeeded;
            self.reports.push_back(EngineReport::CanaryPassed(query.fingerprint));
        }
    }

    /// Starts the partitions that waited for the canary to pass.
    fn launch_remaining(
        &mut self,
        attempt: &AttemptState,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        if query.canary == CanaryStage::NotNeeded && query.is_launch_pending {
            query.is_launch_pending = false;
            self.launch(attempt.query, now, actions);
        }
    }

    /// Handles an attempt that ended without an answer.
    pub(super) fn handle_failure(
        &mut self,
        id: AttemptId,
        failure: AttemptFailure,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.get(id).copied() else { return };
        if failure == AttemptFailure::ConnectionLost {
            self.record_connection_loss(attempt.target, now);
        }
        self.dispatcher.attempts.remove(id);
        let dispatcher = &mut self.dispatcher;
        let generator = &mut dispatcher.generator;
        dispatcher.fleet.record_closed(now, attempt.connection, generator);
        if failure != AttemptFailure::ConnectionLost {
            // The connection can't be used again, but the driver may still hold it open.
            actions.push(EntryAction::CloseConnection(attempt.connection));
        }
        let outliers = dispatcher.settings.outliers;
        // A connection that closed while idle carries no information about the target's health.
        if failure != AttemptFailure::NotSent {
            dispatcher.fleet.target_mut(attempt.target).health.record_failure(now, &outliers);
        }
        dispatcher.dirty_targets.push(attempt.target);
        if attempt.abandoned {
            return;
        }
        let domain = dispatcher.fleet.target(attempt.target).domain;
        let delay = dispatcher.settings.crashes.classification_delay;
        let max_not_sent = dispatcher.settings.hedging.max_not_sent;
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let is_order = query.is_order();
        let state = &mut query.partitions[attempt.partition as usize];
        if !state.remove_attempt(id) {
            return;
        }
        let place = PartitionRef { query: attempt.query, partition: attempt.partition };
        match failure {
            AttemptFailure::NotSent => {
                state.sent -= 1;
                state.not_sent += 1;
                query.attempts -= 1;
                if state.not_sent >= max_not_sent {
                    query.fail(attempt.partition, ResponseReason::TargetFailure);
                    self.after_canary(place, now, actions);
                    self.check_end(attempt.query, now, actions);
                    return;
                }
                self.after_not_sent(place, now, actions);
            }
            _ if is_order => {
                let result = self.lost_order(attempt.target);
                self.finish_order(attempt.query, result);
            }
            AttemptFailure::ConnectionLost => {
                query.outcomes.record_loss(domain);
                query.classify_at = Some(now + delay);
                self.schedule_query(attempt.query, now + delay);
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
            AttemptFailure::Malformed => {
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
        }
    }

    /// Handles a connection that is now open.
    pub(super) fn handle_opened(&mut self, id: ConnectionId, now: MonotonicTime) {
        if let Some(target) = self.dispatcher.fleet.record_opened(now, id) {
            self.dispatcher.dirty_targets.push(target);
        }
    }

    /// Handles a connection that was closed or could not be opened.
    pub(super) fn handle_closed(
        &mut self,
        id: ConnectionId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(connection) = self.dispatcher.fleet.connections.get(id).copied() else { return };
        if let ConnectionState::Busy(attempt) = connection.state {
            // The driver reports the failure of the attempt first. Without that report, a byte of
            // the request may have been sent.
            self.handle_failure(attempt, AttemptFailure::ConnectionLost, now, actions);
            return;
        }
        let dispatcher = &mut self.dispatcher;
        dispatcher.fleet.record_closed(now, id, &mut dispatcher.generator);
        if connection.state == ConnectionState::Opening {
            let outliers = dispatcher.settings.outliers;
            let health = &mut dispatcher.fleet.target_mut(connection.target).health;
            health.record_failure(now, &outliers);
        }
        dispatcher.dirty_targets.push(connection.target);
    }

    /// Closes the connection of an abandoned attempt that was not answered in time.
    pub(super) fn handle_unanswered(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.dispatcher.attempts.get(id).is_some_and(|attempt| attempt.abandoned) {
            self.dispatcher.record_slow(id, now);
            self.dispatcher.close_stalled(id, actions);
        }
    }

    /// Returns whether the owner of a timer still exists and waits for it.
    pub(super) fn is_timer_valid(&self, key: TimerKey, at: MonotonicTime) -> bool {
        match key {
            TimerKey::Query(key) => {
                self.queries.get(key).is_some_and(|query| query.timer_at == Some(at))
            }
            TimerKey::Target(index) => self.dispatcher.fleet.is_timer_valid(index, at),
            TimerKey::Attempt(id) => self.dispatcher.attempts.get(id).is_some(),
        }
    }
}

impl AnswerStatus {
    /// Returns whether the status states that the target did not execute the request.
    fn is_unexecuted(self) -> bool {
        matches!(self, Self::Shed | Self::Draining | Self::SnapshotGone | Self::Late)
    }
}
