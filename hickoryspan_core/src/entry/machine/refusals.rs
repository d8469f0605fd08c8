//! Refusal of requests. An order is reported as not run only if no earlier request with its key ran.
//!
//! A resent order has the same key as the first request, so `not_run` would be wrong if the first request ran
//! through any entry. See `docs/design/orders.md`.

use std::time::Duration;

use crate::entry::interface::{
    CallerRequest, CallerResponse, EntryAction, RequestKind, ResponseReason,
};
use crate::entry::limits::LimitKey;
use crate::entry::orders::{OrderLookup, OrderReply};
use crate::entry::requests::{ActiveRequest, ActiveWork, OrderContent};
use crate::entry::responses::order_response;
use crate::entry::session::LeaseStatus;
use crate::messages::{ClaimKey, RequestOutcome};
use crate::types::{ClockReading, QueryToken};

use super::EntryMachine;

/// Timeout for control's answer whether a refused order ran before, for requests that could not be resolved.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the key and fingerprint of an order, or `None` for other requests.
fn order_content(request: &CallerRequest) -> Option<OrderContent> {
    let RequestKind::Order { request: id, issued_at } = &request.kind else { return None };
    let key = ClaimKey {
        tenant: request.tenant.clone(),
        caller: request.caller.clone(),
        request: id.clone(),
        issued_at: *issued_at,
    };
    Some(OrderContent { key, fingerprint: request.fingerprint })
}

impl EntryMachine {
    /// Refuses a request for which the configuration has no valid service, class or deadline.
    pub(super) fn refuse_unresolved(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: &CallerRequest,
        reason: ResponseReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let mut response = self.refused_response(now, reason, &request.caller);
        if matches!(request.kind, RequestKind::Lookup { .. }) {
            // This entry knows nothing about the order, and control is not asked.
            response.outcome = RequestOutcome::Unknown;
        }
        let labels = self.configuration.metric_labels(request);
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            // Names that are not in the sheet would let callers create any number of time series.
            is_measured: labels.is_some(),
            class: labels.map_or_else(|| request.class.clone(), |(_, class)| class),
            arrival: now.monotonic,
            deadline: now.monotonic + LOOKUP_TIMEOUT,
            work: ActiveWork::Uncharged,
        };
        match order_content(request) {
            Some(order) => self.refuse_order(now, token, active, order, response, actions),
            None => self.finish(now, &active, token, response, actions),
        }
    }

    /// Refuses a resolved request that has not been charged.
    pub(super) fn refuse_request(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        request: &CallerRequest,
        active: ActiveRequest,
        response: CallerResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        match order_content(request) {
            Some(order) => self.refuse_order(now, token, active, order, response, actions),
            None => self.finish(now, &active, token, response, actions),
        }
    }

    /// Refuses an order, after control or local state confirms that no earlier request with its key ran.
    pub(super) fn refuse_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        active: ActiveRequest,
        order: OrderContent,
        mut response: CallerResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        let OrderContent { key, fingerprint } = order;
        let has_lease = matches!(self.session.lease_status(now.monotonic), LeaseStatus::Held(_));
        // Answers of control are no longer handled once the drain is complete.
        let can_ask = has_lease && !self.drain.is_stopped();
        if !can_ask && self.orders.local_state(&key).is_none() {
            // An earlier request may have run through another entry, and control cannot be asked.
            response.outcome = RequestOutcome::Unknown;
            return self.finish(now, &active, token, response, actions);
        }
        let deadline = active.deadline;
        let work = ActiveWork::Refused(Box::new(response));
        self.requests.insert(token, ActiveRequest { work, ..active });
        self.with_orders(now, actions, |orders, send, effects| {
            let lookup = OrderLookup { key, fingerprint: Some(fingerprint), deadline };
            orders.look_up(now.monotonic, token, lookup, send, effects);
        });
    }

    /// Creates the response to an order or lookup. A refused order gets its refusal only if it never ran.
    pub(super) fn final_response(
        &self,
        active: &ActiveRequest,
        reply: OrderReply,
    ) -> CallerResponse {
        let is_absent = reply.outcome == RequestOutcome::NotRun
            && reply.reason == Some(ResponseReason::NotFound);
        match &active.work {
            ActiveWork::Refused(response) if is_absent => (**response).clone(),
            _ => order_response(reply, self.configuration.revision()),
        }
    }
}
