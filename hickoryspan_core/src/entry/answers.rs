//! What attempts and connections report.

use std::sync::Arc;

use std::time::Duration;

use crate::types::{AttemptId, ConnectionId, MonotonicTime, SnapshotVersion};

use super::dispatch::PartitionRef;
use super::engine::FanoutEngine;
use super::interface::{
    AnswerStatus, AttemptFailure, EntryAction, EntryMetric, LoadReport, ResponseReason,
};
use super::plan::{EngineReport, OrderResult};
use super::queries::{AttemptState, CanaryStage, PartitionStatus};
use super::slab::QueryKey;
use super::targets::ConnectionState;
use super::timers::TimerKey;

/// An answer as the driver reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptAnswer<'a> {
    /// How the attempt ended.
    pub status: AnswerStatus,
    /// The load that came with it.
    pub load: Option<LoadReport>,
    /// The snapshot that was searched.
    pub snapshot: Option<SnapshotVersion>,
    /// The text of an order's answer.
    pub body: Option<&'a Arc<str>>,
}

impl FanoutEngine {
    /// Handles an answer. An attempt that has ended, or was never sent, is unknown and its answer ignored.
    pub(super) fn handle_answer(
        &mut self,
        id: AttemptId,
        answer: AttemptAnswer<'_>,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.remove(id) else { return };
        self.dispatcher.fleet.release_connection(now, attempt.connection, actions);
        self.dispatcher.touched.push(attempt.target);
        self.learn_from_answer(&attempt, &answer, now, actions);
        if attempt.abandoned {
            return;
        }
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let state = &mut query.partitions[attempt.partition as usize];
        if !state.remove_attempt(id) {
            return;
        }
        if answer.status.ran_nothing() {
            query.ran_nothing += 1;
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
                self.leave_partition(&attempt, now);
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
        self.launch_rest(&attempt, now, actions);
    }

    /// How long a sub-request waited for capacity before its first attempt. Admission must see this time: the
    /// engine keeps the queue away from the targets, so that their own latency hardly shows an overload.
    fn waiting_time(&self, attempt: &AttemptState) -> Duration {
        let Some(query) = self.queries.get(attempt.query) else { return Duration::ZERO };
        let is_first = query
            .partitions
            .get(attempt.partition as usize)
            .is_some_and(|partition| partition.sent == 1);
        if is_first { attempt.started.since(query.begun) } else { Duration::ZERO }
    }

    /// Updates latency, load, limit and health from an answer.
    fn learn_from_answer(
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

    /// Counts an answer for its partition and gives up the other attempt.
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
            if elapsed >= self.dispatcher.silence(service) {
                self.dispatcher.close_silent(loser, actions);
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

    /// Ends partitions that would be tried again only for the coverage floor.
    fn end_backoffs(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else { return };
        for partition in 0..query.partitions.len() as u32 {
            let status = query.partitions[partition as usize].status;
            if matches!(status, PartitionStatus::Backoff(_)) {
                query.fail(partition, ResponseReason::TargetFailure);
            }
        }
    }

    /// Records that a target does not serve a partition any more.
    fn leave_partition(&mut self, attempt: &AttemptState, now: MonotonicTime) {
        let Some(query) = self.queries.get(attempt.query) else { return };
        let partition = &query.layout.partitions[attempt.partition as usize];
        let dispatcher = &mut self.dispatcher;
        if let (Some(version), Some(shard)) = (query.layout.version, &partition.shard) {
            let timers = &mut dispatcher.timers;
            dispatcher.fleet.deny(now, attempt.target, version, shard, timers);
        }
        let group = partition.group;
        dispatcher.directory.leave_partition(
            query.service,
            attempt.target,
            group,
            &dispatcher.fleet,
        );
    }

    /// Whether no target can get work of a partition.
    fn is_unserved(&self, place: PartitionRef) -> bool {
        let Some(query) = self.queries.get(place.query) else { return false };
        let group = query.layout.partitions[place.partition as usize].group;
        !self.dispatcher.directory.is_reachable(group, &self.dispatcher.fleet)
    }

    /// Reports a canary whose target survived.
    fn pass_canary(&mut self, attempt: &AttemptState, status: AnswerStatus) {
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let survived = matches!(status, AnswerStatus::Done | AnswerStatus::Error);
        if query.canary == CanaryStage::Testing && survived {
            query.canary = CanaryStage::Free;
            self.reports.push_back(EngineReport::CanaryPassed(query.fingerprint));
        }
    }

    /// Starts the partitions that waited for a canary.
    fn launch_rest(
        &mut self,
        attempt: &AttemptState,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        if query.canary == CanaryStage::Free && query.is_launch_pending {
            query.is_launch_pending = false;
            self.launch(attempt.query, now, actions);
        }
    }

    /// Handles the end of an attempt without an answer.
    pub(super) fn handle_failure(
        &mut self,
        id: AttemptId,
        failure: AttemptFailure,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.dispatcher.attempts.get(id).copied() else { return };
        if failure == AttemptFailure::ConnectionLost {
            self.record_loss(attempt.target, now);
        }
        self.dispatcher.attempts.remove(id);
        let dispatcher = &mut self.dispatcher;
        let generator = &mut dispatcher.generator;
        dispatcher.fleet.record_closed(now, attempt.connection, generator);
        if failure != AttemptFailure::ConnectionLost {
            // The connection is of no use any more, and it may still be open at the driver.
            actions.push(EntryAction::CloseConnection(attempt.connection));
        }
        let outliers = dispatcher.settings.outliers;
        // A connection that ended while it was idle says nothing about the target's health.
        if failure != AttemptFailure::NotSent {
            dispatcher.fleet.target_mut(attempt.target).health.record_failure(now, &outliers);
        }
        dispatcher.touched.push(attempt.target);
        if attempt.abandoned {
            return;
        }
        let domain = dispatcher.fleet.target(attempt.target).domain;
        let hold = dispatcher.settings.crashes.hold;
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
                query.classify_at = Some(now + hold);
                self.wake_query(attempt.query, now + hold);
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
            AttemptFailure::Malformed => {
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
        }
    }

    /// Handles an opened connection.
    pub(super) fn handle_opened(&mut self, id: ConnectionId, now: MonotonicTime) {
        if let Some(target) = self.dispatcher.fleet.record_opened(now, id) {
            self.dispatcher.touched.push(target);
        }
    }

    /// Handles a connection that ended or could not be opened.
    pub(super) fn handle_closed(
        &mut self,
        id: ConnectionId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(connection) = self.dispatcher.fleet.connections.get(id).copied() else { return };
        if let ConnectionState::Busy(attempt) = connection.state {
            // The driver reports attempts first; without such a report a byte may have been sent.
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
        dispatcher.touched.push(connection.target);
    }

    /// Closes the connection of a cancelled attempt that was never answered.
    pub(super) fn handle_unanswered(
        &mut self,
        id: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.dispatcher.attempts.get(id).is_some_and(|attempt| attempt.abandoned) {
            self.dispatcher.record_slow(id, now);
            self.dispatcher.close_silent(id, actions);
        }
    }

    /// Whether a timer still has an owner that waits for it.
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
    /// Whether the target stated that it ran nothing.
    fn ran_nothing(self) -> bool {
        matches!(self, Self::Shed | Self::Draining | Self::SnapshotGone | Self::Late)
    }
}
