//! Completion of requests: processes reports of the engine and effects of orders, and responds to callers.

use crate::entry::admission::WorkOutcome;
use crate::entry::interface::{
    CallerResponse, EntryAction, EntryEvent, EntryMetric, ResponseReason,
};
use crate::entry::orders::{OrderEffect, OrderReply, OrderTracker};
use crate::entry::plan::{EngineReport, SearchResult};
use crate::entry::requests::ActiveRequest;
use crate::entry::responses::{blank_response, search_response};
use crate::messages::{EntryMessage, RequestOutcome};
use crate::types::{ClockReading, QueryToken};

use super::EntryMachine;

impl EntryMachine {
    pub(super) fn process_reports(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        while let Some(report) = self.engine.next_report() {
            match report {
                EngineReport::Search(token, result) => {
                    self.search_ended(now, token, result, actions);
                }
                EngineReport::Order(token, result) => {
                    self.with_orders(now, actions, |orders, send, effects| {
                        orders.run_ended(now.monotonic, token, result, send, effects);
                    });
                }
                EngineReport::SubrequestLatency(service, latency) => {
                    self.admission.record_latency(now.monotonic, &service, latency);
                }
                EngineReport::Crash { evidence, fingerprints } => {
                    self.quarantine.record_crash(now.monotonic, evidence, fingerprints);
                }
                EngineReport::CanaryPassed(fingerprint) => self.quarantine.record_pass(fingerprint),
            }
        }
    }

    pub(super) fn search_ended(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        result: SearchResult,
        actions: &mut Vec<EntryAction>,
    ) {
        let outcome = match result.reason {
            Some(ResponseReason::Deadline) => WorkOutcome::TimedOut,
            _ => WorkOutcome::InTime,
        };
        let Some(active) = self.end_work(now, token, outcome) else { return };
        let response = search_response(result, self.configuration.revision());
        self.finish(now, &active, token, response, actions);
    }

    /// Ends searches whose deadline passed without a report of the engine, so that every caller gets a response.
    pub(super) fn expire_searches(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        let is_due = self.deadlines.first().is_some_and(|(deadline, _)| *deadline <= now.monotonic);
        if !is_due {
            return;
        }
        // The engine may not have run since the deadline, and may hold partial results.
        self.engine.handle(now, &EntryEvent::Tick, actions);
        self.process_reports(now, actions);
        while let Some(&(deadline, token)) = self.deadlines.first() {
            if now.monotonic < deadline {
                return;
            }
            self.deadlines.pop_first();
            let Some(active) = self.end_work(now, token, WorkOutcome::TimedOut) else { continue };
            self.engine.cancel(now, token, actions);
            let reason = Some(ResponseReason::Deadline);
            let revision = self.configuration.revision();
            let response = blank_response(RequestOutcome::Failed, reason, revision);
            self.finish(now, &active, token, response, actions);
        }
    }

    /// Calls `act` on the order tracker and performs the effects that it returns.
    pub(super) fn with_orders(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<EntryAction>,
        act: impl FnOnce(&mut OrderTracker, &mut dyn FnMut(EntryMessage) -> bool, &mut Vec<OrderEffect>),
    ) {
        let mut effects = Vec::new();
        let session = &self.session;
        act(&mut self.orders, &mut |message| session.send(message, actions), &mut effects);
        for effect in effects {
            match effect {
                OrderEffect::Start(token, plan) => {
                    self.engine.start_order(now, token, plan, actions);
                }
                OrderEffect::Reply(token, reply) => self.order_ended(now, token, reply, actions),
            }
        }
    }

    pub(super) fn order_ended(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        reply: OrderReply,
        actions: &mut Vec<EntryAction>,
    ) {
        let outcome = match reply.reason {
            Some(ResponseReason::Deadline) => WorkOutcome::TimedOut,
            Some(_) => WorkOutcome::Neutral,
            None => WorkOutcome::InTime,
        };
        let Some(active) = self.end_work(now, token, outcome) else { return };
        let response = self.final_response(&active, reply);
        self.finish(now, &active, token, response, actions);
    }

    pub(super) fn finish(
        &mut self,
        now: ClockReading,
        active: &ActiveRequest,
        token: QueryToken,
        response: CallerResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        if active.is_measured {
            actions.push(EntryAction::RecordMetric(EntryMetric::Request {
                tenant: active.limit.tenant.clone(),
                class: active.class.clone(),
                outcome: response.outcome,
                latency: now.monotonic.since(active.arrival),
                coverage: response.coverage,
            }));
        }
        actions.push(EntryAction::Respond(token, Box::new(response)));
    }
}
