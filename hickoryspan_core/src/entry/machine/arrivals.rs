//! Handling of requests from arrival until their work starts: limits, quarantine, admission and claims.

use std::time::Duration;

use rand::RngExt;

use crate::entry::admission::{AdmissionDecision, AdmissionRequest, WorkOutcome};
use crate::entry::interface::{
    CallerRequest, CallerResponse, EntryAction, RequestKind, ResponseReason,
};
use crate::entry::limits::LimitKey;
use crate::entry::orders::{OrderLookup, OrderRequest};
use crate::entry::plan::FanoutMode;
use crate::entry::quarantine::QuarantineVerdict;
use crate::entry::requests::{ActiveRequest, ActiveWork, ChargedWork, WorkPlan, make_plan};
use crate::entry::session::LeaseStatus;
use crate::messages::{ClaimKey, RequestOutcome};
use crate::types::{ClockReading, CostUnits, QueryToken, RequestFingerprint};

use super::EntryMachine;

impl EntryMachine {
    pub(super) fn on_request(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        match &request.kind {
            RequestKind::Lookup { .. } => self.on_lookup(now, token, request, actions),
            RequestKind::Search { .. } | RequestKind::Order { .. } => {
                self.on_search_or_order(now, token, request, actions);
            }
        }
    }

    pub(super) fn on_search_or_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let resolved = match self.configuration.resolve(&request) {
            Ok(resolved) => resolved,
            Err(reason) => return self.refuse_unresolved(now, token, &request, reason, actions),
        };
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            class: resolved.class.clone(),
            arrival: now.monotonic,
            deadline: now.monotonic + resolved.deadline,
            is_measured: true,
            work: ActiveWork::Uncharged,
        };
        let priority = resolved.class_spec.priority;
        let weight = resolved.weight;
        let plan = make_plan(&request, resolved, active.deadline);
        if let WorkPlan::Order(order) = &plan
            && self.orders.joins_known_order(&order.key)
        {
            // The first request with this key was charged and admitted. This check must precede all
            // refusals, because `not_run` would be wrong for an order that runs or ran here.
            let order = order.clone();
            self.insert_active(token, active, plan, CostUnits::default());
            return self.submit_order(now, token, order, actions);
        }
        let cost = match self.charge(now, &request, &active.limit, &plan, weight) {
            Ok(cost) => cost,
            Err(response) => {
                return self.refuse_request(now, token, &request, active, *response, actions);
            }
        };
        let service = plan.service().clone();
        let deadline = active.deadline;
        self.insert_active(token, active, plan, cost);
        let admission_request = AdmissionRequest { token, service, priority, deadline };
        let decision = self.admission.admit(now.monotonic, admission_request);
        self.perform_decision(now, decision, actions);
    }

    pub(super) fn insert_active(
        &mut self,
        token: QueryToken,
        active: ActiveRequest,
        plan: WorkPlan,
        cost: CostUnits,
    ) {
        let work = ActiveWork::Charged(Box::new(ChargedWork { plan, cost, started: None }));
        self.requests.insert(token, ActiveRequest { work, ..active });
    }

    /// Charges the cost of a request to its caller's limit, or returns the response that refuses the request.
    pub(super) fn charge(
        &mut self,
        now: ClockReading,
        request: &CallerRequest,
        key: &LimitKey,
        plan: &WorkPlan,
        weight: CostUnits,
    ) -> Result<CostUnits, Box<CallerResponse>> {
        if let Some(reason) = self.refusal_reason(now, request) {
            return Err(Box::new(self.refused_response(now, reason, &request.caller)));
        }
        if self.quarantine_verdict(now, &request.fingerprint) == QuarantineVerdict::Condemned {
            let reason = ResponseReason::Quarantined;
            return Err(Box::new(self.refused_response(now, reason, &request.caller)));
        }
        let cost = self.cost_of(plan, weight);
        self.limits.spend(now.monotonic, key, cost).map(|()| cost).map_err(|retry_after| {
            let reason = ResponseReason::LimitExceeded;
            let mut response = self.refused_response(now, reason, &request.caller);
            response.retry_after = Some(retry_after);
            Box::new(response)
        })
    }

    pub(super) fn cost_of(&self, plan: &WorkPlan, weight: CostUnits) -> CostUnits {
        match plan {
            WorkPlan::Search(plan) => {
                CostUnits(weight.0 * f64::from(self.engine.fanout_width(plan)))
            }
            WorkPlan::Order(_) => weight,
        }
    }

    pub(super) fn perform_decision(
        &mut self,
        now: ClockReading,
        decision: AdmissionDecision,
        actions: &mut Vec<EntryAction>,
    ) {
        match decision {
            AdmissionDecision::Start(token) => self.start_work(now, token, actions),
            AdmissionDecision::Wait(_) => {}
            AdmissionDecision::Shed(token, retry_after) => {
                let reason = ResponseReason::Overloaded;
                self.refuse_charged(now, token, reason, Some(retry_after), actions);
            }
        }
    }

    /// Refuses a charged request of which no attempt was sent, and refunds its cost.
    pub(super) fn refuse_charged(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        reason: ResponseReason,
        retry_after: Option<Duration>,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(active) = self.end_work(now, token, WorkOutcome::Neutral) else { return };
        if let ActiveWork::Charged(charged) = &active.work {
            self.limits.refund(now.monotonic, &active.limit, charged.cost);
        }
        let mut response = self.refused_response(now, reason, &active.limit.caller);
        response.retry_after = retry_after;
        let order = match &active.work {
            ActiveWork::Charged(charged) => charged.plan.to_order_content(),
            _ => None,
        };
        match order {
            Some(order) => self.refuse_order(now, token, active, order, response, actions),
            None => self.finish(now, &active, token, response, actions),
        }
    }

    pub(super) fn quarantine_verdict(
        &self,
        now: ClockReading,
        fingerprint: &RequestFingerprint,
    ) -> QuarantineVerdict {
        self.quarantine.verdict(now, self.configuration.view(), fingerprint)
    }

    pub(super) fn start_work(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(active) = self.requests.get_mut(&token) else { return };
        let deadline = active.deadline;
        let ActiveWork::Charged(charged) = &mut active.work else { return };
        charged.started = Some(now.monotonic);
        let mut plan = charged.plan.clone();
        // Lease and quarantine may have changed while the request waited for admission.
        if self.session.lease_status(now.monotonic) == LeaseStatus::Ended {
            return self.refuse_charged(now, token, ResponseReason::CutOff, None, actions);
        }
        let verdict = self.quarantine_verdict(now, plan.fingerprint());
        if verdict == QuarantineVerdict::Condemned {
            return self.refuse_charged(now, token, ResponseReason::Quarantined, None, actions);
        }
        if let WorkPlan::Search(search) = &mut plan
            && verdict == QuarantineVerdict::Suspect
        {
            if !self.quarantine.begin_canary(search.fingerprint) {
                let jitter = self.generator.random_range(1.0..2.0);
                let retry_after = Some(self.quarantine.canary_retry_delay().mul_f64(jitter));
                return self.refuse_charged(
                    now,
                    token,
                    ResponseReason::Quarantined,
                    retry_after,
                    actions,
                );
            }
            search.mode = FanoutMode::Canary;
            self.mark_as_canary(token);
        }
        match plan {
            WorkPlan::Search(plan) => {
                self.deadlines.insert((deadline, token));
                self.engine.start_search(now, token, plan, actions);
            }
            WorkPlan::Order(order) => self.submit_order(now, token, order, actions),
        }
    }

    pub(super) fn mark_as_canary(&mut self, token: QueryToken) {
        let active = self.requests.get_mut(&token);
        if let Some(ActiveWork::Charged(charged)) = active.map(|active| &mut active.work)
            && let WorkPlan::Search(plan) = &mut charged.plan
        {
            plan.mode = FanoutMode::Canary;
        }
    }

    pub(super) fn submit_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        order: OrderRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        self.with_orders(now, actions, |orders, send, effects| {
            orders.submit(now.monotonic, token, order, send, effects);
        });
    }

    /// Removes an active request and reports its outcome to admission control.
    pub(super) fn end_work(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        outcome: WorkOutcome,
    ) -> Option<ActiveRequest> {
        let active = self.requests.remove(&token)?;
        self.deadlines.remove(&(active.deadline, token));
        if let ActiveWork::Charged(charged) = &active.work
            && let Some(started) = charged.started
        {
            let latency = now.monotonic.since(started);
            self.admission.release(now.monotonic, charged.plan.service(), outcome, latency);
        }
        if let ActiveWork::Charged(charged) = &active.work
            && let WorkPlan::Search(plan) = &charged.plan
            && plan.mode == FanoutMode::Canary
        {
            self.quarantine.end_canary(&plan.fingerprint);
        }
        Some(active)
    }

    pub(super) fn process_decisions(&mut self, now: ClockReading, actions: &mut Vec<EntryAction>) {
        while let Some(decision) = self.admission.next_decision(now.monotonic) {
            self.perform_decision(now, decision, actions);
        }
    }

    /// Returns the reason to refuse a request that has not been charged yet, or `None` to accept it.
    pub(super) fn refusal_reason(
        &self,
        now: ClockReading,
        request: &CallerRequest,
    ) -> Option<ResponseReason> {
        let lease_status = self.session.lease_status(now.monotonic);
        if self.drain.is_refusing() {
            return Some(ResponseReason::Draining);
        }
        match &request.kind {
            RequestKind::Order { issued_at, .. } => {
                if !self.orders.accepts_issue_time(now.wall, *issued_at) {
                    Some(ResponseReason::Malformed)
                } else if !matches!(lease_status, LeaseStatus::Held(_)) {
                    Some(ResponseReason::CutOff)
                } else if self.orders.is_full() {
                    Some(ResponseReason::Overloaded)
                } else {
                    None
                }
            }
            _ => (lease_status == LeaseStatus::Ended).then_some(ResponseReason::CutOff),
        }
    }

    pub(super) fn on_lookup(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: CallerRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let (class, time) = match self.configuration.resolve_lookup(&request) {
            Ok(resolved) => resolved,
            Err(reason) => return self.refuse_unresolved(now, token, &request, reason, actions),
        };
        let RequestKind::Lookup { request: id, issued_at } = request.kind else { return };
        let deadline = now.monotonic + time;
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            class,
            arrival: now.monotonic,
            deadline,
            is_measured: true,
            work: ActiveWork::Uncharged,
        };
        let key =
            ClaimKey { tenant: request.tenant, caller: request.caller, request: id, issued_at };
        let is_ended = self.session.lease_status(now.monotonic) == LeaseStatus::Ended;
        let is_known = self.orders.local_state(&key).is_some();
        if !is_known && (is_ended || self.drain.is_refusing()) {
            let reason = if is_ended { ResponseReason::CutOff } else { ResponseReason::Draining };
            let mut response = self.refused_response(now, reason, &key.caller);
            // This entry knows nothing about the order, and control cannot be asked.
            response.outcome = RequestOutcome::Unknown;
            return self.finish(now, &active, token, response, actions);
        }
        self.requests.insert(token, active);
        self.with_orders(now, actions, |orders, send, effects| {
            let lookup = OrderLookup { key, fingerprint: None, deadline };
            orders.look_up(now.monotonic, token, lookup, send, effects);
        });
    }

    pub(super) fn on_disconnect(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(active) = self.requests.get(&token) else { return };
        if active.is_search() {
            let was_waiting = self.admission.cancel_waiting(token);
            let Some(active) = self.end_work(now, token, WorkOutcome::Neutral) else { return };
            match &active.work {
                ActiveWork::Charged(charged) if was_waiting => {
                    self.limits.refund(now.monotonic, &active.limit, charged.cost);
                }
                _ => self.engine.cancel(now, token, actions),
            }
        } else if matches!(active.work, ActiveWork::Uncharged | ActiveWork::Refused(_)) {
            self.orders.cancel_lookup(token);
            self.requests.remove(&token);
        }
        // An order continues. Its response tells the driver when the body is no longer needed.
    }
}
