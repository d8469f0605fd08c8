//! Refusals of requests; an order is reported as not run only if no earlier request with its key ran.
//!
//! A caller that resends an order names the same request, so `not_run` would be untrue if the first one ran through
//! any entry. See `docs/design/orders.md`.

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

/// Time for control to say whether a refused order ran before, if the order states no usable deadline.
const LOOKUP_TIME: Duration = Duration::from_secs(1);

/// The key and content of an order; nothing for other requests.
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
    /// Refuses a request that the configuration does not resolve.
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
            // Nothing is known here about the order that is asked about.
            response.outcome = RequestOutcome::Unknown;
        }
        let named = self.configuration.metric_names(request);
        let active = ActiveRequest {
            limit: LimitKey { tenant: request.tenant.clone(), caller: request.caller.clone() },
            // Names outside the sheet would let callers create any number of metrics.
            is_measured: named.is_some(),
            class: named.map_or_else(|| request.class.clone(), |(_, class)| class),
            arrival: now.monotonic,
            deadline: now.monotonic + LOOKUP_TIME,
            work: ActiveWork::Unpaid,
        };
        match order_content(request) {
            Some(order) => self.refuse_order(now, token, active, order, response, actions),
            None => self.finish(now, &active, token, response, actions),
        }
    }

    /// Refuses a request that was resolved, before anything was done for it.
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

    /// Refuses an order as soon as it is known that no earlier request with its key ran.
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
        let is_connected = matches!(self.session.lease_status(now.monotonic), LeaseStatus::Held(_));
        if !is_connected && self.orders.local_state(&key).is_none() {
            // An earlier request may have run through another entry, and nobody can be asked.
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

    /// The response to an order or lookup that ended; a refused order gets its refusal if it never ran.
    pub(super) fn settled_response(
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
