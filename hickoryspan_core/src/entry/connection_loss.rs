//! Classifies connections that were lost mid-request, and reports crashes of targets.

use crate::types::{AttemptId, ConnectionId, MonotonicTime};

use super::arena::QueryKey;
use super::crash_detection::{ConnectionLoss, is_domain_loss};
use super::dispatch::PartitionRef;
use super::engine::FanoutEngine;
use super::fleet::RestartedTarget;
use super::interface::{EntryAction, ResponseReason};
use super::plan::EngineReport;
use super::queries::{PartitionState, PartitionStatus};
use super::targets::TargetIndex;

impl FanoutEngine {
    /// Checks whether the lost connections of a query are explained by the loss of their failure
    /// domains. If so, removes the query from the crash evidence.
    ///
    /// Returns whether they are explained that way.
    pub(super) fn attribute_to_domain_loss(&mut self, key: QueryKey, now: MonotonicTime) -> bool {
        let Some(query) = self.queries.get(key) else { return false };
        let fingerprint = query.fingerprint;
        let dispatcher = &mut self.dispatcher;
        let crashes = dispatcher.settings.crashes;
        let mut outcomes = query.outcomes;
        // An attempt that still runs after the classification delay shows, like an answer, that its
        // target did not crash.
        for id in query.partitions.iter().flat_map(PartitionState::running) {
            let Some(attempt) = dispatcher.attempts.get(id) else { continue };
            if now.since(attempt.started) >= crashes.classification_delay {
                outcomes.record_answer(dispatcher.fleet.target(attempt.target).domain);
            }
        }
        let lost_with_domain = outcomes.lost_domains().all(|domain| {
            is_domain_loss(&dispatcher.fleet, &crashes, now, domain, &fingerprint, outcomes)
        });
        if lost_with_domain {
            for domain in outcomes.lost_domains() {
                dispatcher.fleet.remove_evidence(domain, &fingerprint);
            }
        }
        lost_with_domain
    }

    /// Decides whether the request caused its lost connections. Runs after the classification
    /// delay, so that related losses are known.
    pub(super) fn classify_losses(
        &mut self,
        key: QueryKey,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let lost_with_domain = self.attribute_to_domain_loss(key, now);
        let Some(query) = self.queries.get_mut(key) else { return };
        query.classify_at = None;
        query.crash_suspected = !lost_with_domain;
        for partition in 0..query.partitions.len() as u32 {
            let Some(query) = self.queries.get_mut(key) else { return };
            // `after_failure` may have restarted the search, which replaces the partitions.
            let Some(state) = query.partitions.get(partition as usize) else { return };
            let status = state.status;
            if matches!(status, PartitionStatus::Waiting(_)) && !lost_with_domain {
                // The waiting attempt could crash another target.
                self.dispatcher.end_wait(query, partition);
                query.fail(partition, ResponseReason::TargetFailure);
            }
            if status == PartitionStatus::Suspended {
                let place = PartitionRef { query: key, partition };
                self.after_failure(place, ResponseReason::TargetFailure, now, actions);
            }
        }
    }

    /// Returns the attempts on a target's connections.
    pub(super) fn attempts_on(&self, target: TargetIndex) -> Vec<AttemptId> {
        let fleet = &self.dispatcher.fleet;
        let attempt = |id: &ConnectionId| fleet.connections.get(*id)?.attempt();
        fleet.target(target).connections.iter().filter_map(attempt).collect()
    }

    /// Records the requests in flight on a target that lost a connection mid-request.
    pub(super) fn record_connection_loss(&mut self, index: TargetIndex, now: MonotonicTime) {
        let on_target = self.attempts_on(index);
        let dispatcher = &mut self.dispatcher;
        let lifetime = dispatcher.settings.crashes.evidence_lifetime;
        let target = dispatcher.fleet.target_mut(index);
        // Closed connections are expected from targets that are draining or have left, so they are
        // no evidence of a crash.
        if !target.present || target.record.draining {
            return;
        }
        let incarnation = target.record.incarnation;
        let loss = match target.loss.take() {
            Some(loss) if loss.incarnation == incarnation && now.since(loss.at) <= lifetime => loss,
            _ => ConnectionLoss::new(incarnation, now),
        };
        let loss = target.loss.insert(loss);
        loss.at = now;
        for attempt in on_target.into_iter().filter_map(|id| dispatcher.attempts.get(id)) {
            loss.add(attempt.fingerprint);
        }
        dispatcher.fleet.schedule_target(index, now + lifetime, &mut dispatcher.timers);
    }

    /// Reports a confirmed crash after the classification delay, so that related losses are known.
    /// Removes an expired record.
    pub(super) fn inspect_connection_loss(&mut self, index: TargetIndex, now: MonotonicTime) {
        let dispatcher = &mut self.dispatcher;
        let crashes = dispatcher.settings.crashes;
        let Some(loss) = dispatcher.fleet.target(index).loss.clone() else { return };
        if now.since(loss.at) >= crashes.evidence_lifetime {
            dispatcher.fleet.target_mut(index).loss = None;
            return;
        }
        let classified_at = loss.at + crashes.classification_delay;
        if !loss.confirmed || loss.reported {
            let ends_at = loss.at + crashes.evidence_lifetime;
            dispatcher.fleet.schedule_target(index, ends_at, &mut dispatcher.timers);
            return;
        }
        if now < classified_at {
            dispatcher.fleet.schedule_target(index, classified_at, &mut dispatcher.timers);
            return;
        }
        let target = dispatcher.fleet.target(index);
        let no_outcomes = Default::default();
        let mut fingerprints = loss.fingerprints.clone();
        fingerprints.retain(|fingerprint| {
            let fleet = &dispatcher.fleet;
            !is_domain_loss(fleet, &crashes, loss.at, target.domain, fingerprint, no_outcomes)
        });
        if !fingerprints.is_empty() {
            let evidence = loss.evidence(target);
            self.reports.push_back(EngineReport::Crash { evidence, fingerprints });
        }
        if let Some(loss) = &mut self.dispatcher.fleet.target_mut(index).loss {
            loss.reported = true;
        }
        let ends_at = loss.at + crashes.evidence_lifetime;
        let dispatcher = &mut self.dispatcher;
        dispatcher.fleet.schedule_target(index, ends_at, &mut dispatcher.timers);
    }

    /// Records that the view shows the end of the incarnation that lost connections.
    pub(super) fn confirm_connection_loss(&mut self, index: TargetIndex, now: MonotonicTime) {
        let lifetime = self.dispatcher.settings.crashes.evidence_lifetime;
        if let Some(loss) = &mut self.dispatcher.fleet.target_mut(index).loss {
            loss.confirmed |= now.since(loss.at) <= lifetime;
        }
        self.inspect_connection_loss(index, now);
    }

    /// Closes the connections of a target's former incarnation. Requests in flight on them count as
    /// lost mid-request.
    pub(super) fn drop_former_incarnation(
        &mut self,
        restarted: &RestartedTarget,
        now: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        let index = restarted.target;
        let attempts = self.attempts_on(index);
        let target = self.dispatcher.fleet.target_mut(index);
        let renewed = target.record.incarnation != restarted.former;
        if renewed && !attempts.is_empty() {
            let incarnation = restarted.former;
            let former = target.loss.take().filter(|loss| loss.incarnation == incarnation);
            let mut loss = former.unwrap_or_else(|| ConnectionLoss::new(incarnation, now));
            loss.at = now;
            target.disconnected_at = Some(now);
            for attempt in attempts.iter().filter_map(|id| self.dispatcher.attempts.get(*id)) {
                loss.add(attempt.fingerprint);
            }
            self.dispatcher.fleet.target_mut(index).loss = Some(loss);
        }
        let domain = self.dispatcher.fleet.target(index).domain;
        let delay = self.dispatcher.settings.crashes.classification_delay;
        for connection in self.dispatcher.fleet.target(index).connections.clone() {
            let Some(id) = self.dispatcher.fleet.close_connection(connection, actions) else {
                continue;
            };
            let attempt = self.dispatcher.attempts.get(id).copied();
            let key = attempt.filter(|attempt| renewed && !attempt.abandoned);
            if let Some(key) = key.map(|attempt| attempt.query)
                && let Some(query) = self.queries.get_mut(key)
                && !query.is_order()
            {
                query.outcomes.record_loss(domain);
                query.classify_at = Some(now + delay);
                self.schedule_query(key, now + delay);
            }
            self.end_closed_attempt(id, now, actions);
        }
        if renewed {
            self.confirm_connection_loss(index, now);
        }
    }
}
