//! One order in this process: the phases of its run, and what its callers are told.

use std::sync::Arc;
use std::time::Duration;

use crate::membership::ServiceKey;
use crate::messages::{OrderOutcome, RequestOutcome};
use crate::types::{AttemptId, MonotonicTime, QueryToken, RequestFingerprint};

use super::interface::{AnswerStatus, ResponseReason};
use super::plan::OrderResult;

/// What a caller is told about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// What became of it.
    pub outcome: RequestOutcome,
    /// Why it is not complete.
    pub reason: Option<ResponseReason>,
    /// The attempt whose body the driver holds for this caller.
    pub part: Option<AttemptId>,
    /// The recorded body, for callers whose own request was not the one that ran.
    pub recorded_body: Option<Arc<str>>,
    /// Attempts that this process sent.
    pub attempts: u32,
}

impl OrderReply {
    /// A reply without a body.
    pub fn without_body(outcome: RequestOutcome, reason: ResponseReason) -> Self {
        Self { outcome, reason: Some(reason), part: None, recorded_body: None, attempts: 0 }
    }

    /// A reply with a recorded outcome.
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

/// A request that waits for an order's outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderWaiter {
    pub(super) token: QueryToken,
    pub(super) deadline: MonotonicTime,
}

/// How far a run has come; see `docs/design/orders.md`.
#[derive(Clone, Debug)]
pub(super) enum RunPhase {
    /// Waits for control's decision; this process has not started the order.
    Claiming { token: QueryToken, unanswered: u32, send_at: MonotonicTime },
    /// The engine runs the only attempt.
    Running { primary: QueryToken },
    /// The outcome is known and is being recorded.
    Settling {
        primary: Option<QueryToken>,
        reply: OrderReply,
        outcome: OrderOutcome,
        send_at: MonotonicTime,
        interval: Duration,
    },
    /// Another process holds the claim.
    Polling { token: QueryToken, send_at: MonotonicTime, interval: Duration },
    /// Nobody waits any more, but a claim is unanswered: this process never starts it.
    Abandoned {
        token: QueryToken,
        unanswered: u32,
        send_at: MonotonicTime,
        interval: Duration,
        until: MonotonicTime,
    },
}

/// One order in this process, with the requests that wait for it.
#[derive(Debug)]
pub(super) struct OrderRun {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) service: ServiceKey,
    pub(super) waiters: Vec<OrderWaiter>,
    pub(super) phase: RunPhase,
}

impl OrderRun {
    /// When a waiter must be answered.
    pub(super) fn reply_time(&self, waiter: &OrderWaiter, margin: Duration) -> MonotonicTime {
        match self.phase {
            RunPhase::Settling { .. } => waiter.deadline - margin,
            _ => waiter.deadline,
        }
    }

    pub(super) fn is_due(&self, now: MonotonicTime, margin: Duration) -> bool {
        let is_over = matches!(self.phase, RunPhase::Abandoned { until, .. } if now >= until);
        is_over || self.waiters.iter().any(|waiter| now >= self.reply_time(waiter, margin))
    }

    pub(super) fn wakeups(&self, margin: Duration) -> impl Iterator<Item = MonotonicTime> + '_ {
        let send_at = match &self.phase {
            RunPhase::Claiming { send_at, .. }
            | RunPhase::Settling { send_at, .. }
            | RunPhase::Polling { send_at, .. } => Some(*send_at),
            RunPhase::Abandoned { send_at, until, .. } => Some((*send_at).min(*until)),
            RunPhase::Running { .. } => None,
        };
        self.waiters.iter().map(move |waiter| self.reply_time(waiter, margin)).chain(send_at)
    }

    /// The answer to a request with the same key and another content. Only a claim that is held here proves
    /// that the other content did not run.
    pub(super) fn conflict_reply(&self) -> OrderReply {
        let is_held = matches!(self.phase, RunPhase::Running { .. } | RunPhase::Settling { .. });
        let outcome = if is_held { RequestOutcome::NotRun } else { RequestOutcome::Unknown };
        OrderReply::without_body(outcome, ResponseReason::Conflict)
    }

    /// The known outcome, as told to one waiter; only the one whose request ran has the body at the driver.
    pub(super) fn known_reply(&self, token: QueryToken) -> OrderReply {
        let RunPhase::Settling { primary, reply, outcome, .. } = &self.phase else {
            return OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::InProgress);
        };
        if *primary == Some(token) {
            return reply.clone();
        }
        OrderReply { reason: reply.reason, ..OrderReply::recorded(outcome.clone()) }
    }

    /// What a waiter is told at its deadline. Without an answer to the claim, an earlier request with the same key
    /// may have run through another process, so the order is not reported as not run.
    pub(super) fn late_reply(&self, token: QueryToken) -> OrderReply {
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

/// The outcome to record and the reply for the caller whose request ran.
pub(super) fn judge_result(result: OrderResult) -> (OrderOutcome, OrderReply) {
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
                // An order names no snapshot, so this answer does not fit the request it answers.
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
