//! One order in this process: the phases of its run and the replies to its callers.

use std::sync::Arc;
use std::time::Duration;

use crate::membership::ServiceKey;
use crate::messages::{OrderOutcome, RequestOutcome};
use crate::types::{AttemptId, MonotonicTime, QueryToken, RequestFingerprint};

use super::interface::{AnswerStatus, ResponseReason};
use super::plan::OrderResult;

/// Reply to a caller's order or lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// Outcome of the order.
    pub outcome: RequestOutcome,
    /// Reason why the outcome is not complete; `None` if it is complete or a recorded outcome has no reason.
    pub reason: Option<ResponseReason>,
    /// Attempt whose body the driver keeps for this caller.
    pub part: Option<AttemptId>,
    /// Recorded body, for callers whose own request was not the one that ran.
    pub recorded_body: Option<Arc<str>>,
    /// Number of attempts that this process sent for the caller's request.
    pub attempts: u32,
}

impl OrderReply {
    /// Creates a reply without a body.
    pub fn without_body(outcome: RequestOutcome, reason: ResponseReason) -> Self {
        Self { outcome, reason: Some(reason), part: None, recorded_body: None, attempts: 0 }
    }

    /// Creates a reply from a recorded outcome.
    pub(super) fn recorded(outcome: OrderOutcome) -> Self {
        Self {
            outcome: outcome.outcome,
            reason: None,
            part: None,
            recorded_body: outcome.body,
            attempts: 0,
        }
    }
}

/// A request that waits for the outcome of an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderWaiter {
    pub(super) token: QueryToken,
    pub(super) deadline: MonotonicTime,
}

/// Phase of a run; see `docs/design/orders.md`.
#[derive(Clone, Debug)]
pub(super) enum RunPhase {
    /// The claim awaits control's decision. The order is not started. `unanswered` counts claims without an answer.
    Claiming { token: QueryToken, unanswered: u32, send_at: MonotonicTime },
    /// The order's only attempt is running, for the request `primary`.
    Running { primary: QueryToken },
    /// The outcome is known and is being recorded at control.
    Settling {
        primary: Option<QueryToken>,
        reply: OrderReply,
        outcome: OrderOutcome,
        send_at: MonotonicTime,
        interval: Duration,
    },
    /// Another process holds the claim, so its outcome is polled.
    Polling { token: QueryToken, send_at: MonotonicTime, interval: Duration },
    /// All callers were answered while a claim was unanswered. If it was granted, the order is settled as not run.
    Abandoned {
        token: QueryToken,
        unanswered: u32,
        send_at: MonotonicTime,
        interval: Duration,
        until: MonotonicTime,
    },
}

/// One order with the requests that wait for its outcome.
#[derive(Debug)]
pub(super) struct OrderRun {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) service: ServiceKey,
    pub(super) waiters: Vec<OrderWaiter>,
    pub(super) phase: RunPhase,
}

impl OrderRun {
    /// Returns the time by which a waiter must be answered.
    pub(super) fn reply_deadline(&self, waiter: &OrderWaiter, margin: Duration) -> MonotonicTime {
        match self.phase {
            RunPhase::Settling { .. } => waiter.deadline - margin,
            _ => waiter.deadline,
        }
    }

    pub(super) fn is_due(&self, now: MonotonicTime, margin: Duration) -> bool {
        let is_expired = matches!(self.phase, RunPhase::Abandoned { until, .. } if now >= until);
        is_expired || self.waiters.iter().any(|waiter| now >= self.reply_deadline(waiter, margin))
    }

    pub(super) fn wakeups(&self, margin: Duration) -> impl Iterator<Item = MonotonicTime> + '_ {
        let send_at = match &self.phase {
            RunPhase::Claiming { send_at, .. }
            | RunPhase::Settling { send_at, .. }
            | RunPhase::Polling { send_at, .. } => Some(*send_at),
            RunPhase::Abandoned { send_at, until, .. } => Some((*send_at).min(*until)),
            RunPhase::Running { .. } => None,
        };
        self.waiters.iter().map(move |waiter| self.reply_deadline(waiter, margin)).chain(send_at)
    }

    /// Creates the reply to a request with the same key and another fingerprint. Only if this process holds the
    /// claim is it certain that the other request did not run.
    pub(super) fn conflict_reply(&self) -> OrderReply {
        let holds_claim =
            matches!(self.phase, RunPhase::Running { .. } | RunPhase::Settling { .. });
        let outcome = if holds_claim { RequestOutcome::NotRun } else { RequestOutcome::Unknown };
        OrderReply::without_body(outcome, ResponseReason::Conflict)
    }

    /// Creates the reply with the known outcome for one waiter. The driver has the answer's body only for the
    /// request that ran, so others get the recorded body.
    pub(super) fn known_reply(&self, token: QueryToken) -> OrderReply {
        let RunPhase::Settling { primary, reply, outcome, .. } = &self.phase else {
            return OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::InProgress);
        };
        if *primary == Some(token) {
            return reply.clone();
        }
        OrderReply { reason: reply.reason, ..OrderReply::recorded(outcome.clone()) }
    }

    /// Creates the reply for a waiter at its deadline. While the claim is unanswered, an earlier request with
    /// the same key may have run through another process, so the outcome is unknown and not "not run".
    pub(super) fn timeout_reply(&self, token: QueryToken) -> OrderReply {
        match &self.phase {
            RunPhase::Claiming { .. } | RunPhase::Abandoned { .. } => {
                let reason = ResponseReason::ControlUnavailable;
                OrderReply::without_body(RequestOutcome::Unknown, reason)
            }
            RunPhase::Running { .. } => OrderReply {
                attempts: 1,
                ..OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::Deadline)
            },
            RunPhase::Polling { .. } => {
                OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::InProgress)
            }
            RunPhase::Settling { .. } => self.known_reply(token),
        }
    }
}

/// Returns the outcome to record and the reply for the caller whose request ran.
pub(super) fn result_outcome(result: OrderResult) -> (OrderOutcome, OrderReply) {
    use RequestOutcome::{Complete, Failed, NotRun, Unknown};
    match result {
        OrderResult::NotSent(reason) => (
            OrderOutcome { outcome: NotRun, target: None, body: None },
            OrderReply::without_body(NotRun, reason),
        ),
        OrderResult::Lost { target } => (
            OrderOutcome { outcome: Unknown, target: Some(target), body: None },
            OrderReply {
                attempts: 1,
                ..OrderReply::without_body(Unknown, ResponseReason::TargetFailure)
            },
        ),
        OrderResult::Answered { target, attempt, status, body } => {
            let (outcome, reason) = match status {
                AnswerStatus::Done => (Complete, None),
                AnswerStatus::Error => (Failed, Some(ResponseReason::TargetFailure)),
                AnswerStatus::Shed => (NotRun, Some(ResponseReason::Overloaded)),
                AnswerStatus::Draining => (NotRun, Some(ResponseReason::NoTarget)),
                AnswerStatus::Late => (NotRun, Some(ResponseReason::Deadline)),
                // An order states no snapshot, so this answer violates the protocol.
                AnswerStatus::SnapshotGone => (Unknown, Some(ResponseReason::TargetFailure)),
            };
            let has_body = matches!(outcome, Complete | Failed);
            let reply = OrderReply {
                outcome,
                reason,
                part: has_body.then_some(attempt),
                recorded_body: None,
                attempts: 1,
            };
            let body = body.filter(|_| has_body);
            (OrderOutcome { outcome, target: Some(target), body }, reply)
        }
    }
}
