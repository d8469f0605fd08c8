//! Orders: non-idempotent requests that run at most once.
//!
//! An order is claimed at control before its first byte is sent to a target, and its outcome is recorded there.
//!
//! See `docs/design/orders.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::membership::ServiceKey;
use crate::messages::{
    ClaimKey, ClaimState, ClaimVerdict, EntryMessage, LookupVerdict, OrderOutcome, RequestOutcome,
};
use crate::types::{
    EntryId, IncarnationNumber, MonotonicTime, QueryToken, RequestFingerprint, WallTime,
};

use super::interface::ResponseReason;
use super::order_run::{OrderRun, OrderWaiter, RunPhase, result_outcome};
use super::plan::{OrderPlan, OrderResult};

pub use super::order_run::OrderReply;

/// Settings of order handling.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Time by which an issue time may be ahead of this host's clock, to allow for clock skew of callers.
    pub max_clock_skew: Duration,
    /// Time without an answer after which a claim is sent again.
    pub claim_retry_interval: Duration,
    /// Delay before a claim or lookup that control could not decide is sent again.
    pub undecided_retry_interval: Duration,
    /// First interval between lookups of an order that another process has claimed. It doubles.
    pub initial_poll_interval: Duration,
    /// Upper limit of the intervals between lookups and between settle messages.
    pub max_retry_interval: Duration,
    /// Time without confirmation after which an outcome is sent again the first time. It doubles.
    pub initial_settle_interval: Duration,
    /// Time for which an unanswered claim is looked up after its last caller was answered.
    pub abandoned_claim_lifetime: Duration,
    /// Maximum number of orders tracked, unsettled ones included. Further orders are refused, because the state
    /// of a started order must be kept until its outcome is recorded.
    pub max_runs: usize,
    /// Maximum number of pending lookup requests.
    pub max_lookups: usize,
    /// Number of recorded outcomes kept in memory, so that resends are answered while control cannot be
    /// reached. With bodies of the maximum size this takes 16 MiB.
    pub max_recent_outcomes: usize,
    /// Maximum size of a recorded body, in bytes. Longer bodies are not recorded.
    pub max_body_bytes: usize,
    /// Time before the deadline at which a known outcome is sent to the caller even if it is not recorded yet, so
    /// that the response arrives in time.
    pub reply_margin: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            max_clock_skew: Duration::from_secs(60),
            claim_retry_interval: Duration::from_secs(1),
            undecided_retry_interval: Duration::from_millis(100),
            initial_poll_interval: Duration::from_millis(100),
            max_retry_interval: Duration::from_secs(2),
            initial_settle_interval: Duration::from_millis(500),
            // Several election timeouts, so that a claim in the log of a failed leader is decided by then.
            abandoned_claim_lifetime: Duration::from_secs(30),
            max_runs: 10_000,
            max_lookups: 1_000,
            max_recent_outcomes: 1_024,
            max_body_bytes: 16 * 1024,
            reply_margin: Duration::from_millis(10),
        }
    }
}

/// Effect of an order event, to be performed by the entry machine.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderEffect {
    /// Start the order's only attempt.
    Start(QueryToken, OrderPlan),
    /// Answer a caller.
    Reply(QueryToken, OrderReply),
}

/// Sends a message to control if the session is established. Returns whether the message was sent.
pub type ControlSender<'a> = &'a mut dyn FnMut(EntryMessage) -> bool;

/// A caller's order after admission.
#[derive(Clone, Debug)]
pub struct OrderRequest {
    /// Key under which the order is claimed.
    pub key: ClaimKey,
    /// Fingerprint of the order's content.
    pub fingerprint: RequestFingerprint,
    /// Service that runs the order.
    pub service: ServiceKey,
    /// Time by which the caller must get a response.
    pub deadline: MonotonicTime,
}

#[derive(Debug)]
struct RecentOutcome {
    fingerprint: RequestFingerprint,
    outcome: OrderOutcome,
}

/// A query for the outcome of an order.
#[derive(Clone, Debug)]
pub struct OrderLookup {
    /// Key of the order.
    pub key: ClaimKey,
    /// Fingerprint of the refused order that caused the lookup; `None` for a caller's lookup. A record with another
    /// fingerprint is a conflict.
    pub fingerprint: Option<RequestFingerprint>,
    /// Time by which the caller must get a response.
    pub deadline: MonotonicTime,
}

#[derive(Debug)]
struct PendingLookup {
    key: ClaimKey,
    fingerprint: Option<RequestFingerprint>,
    deadline: MonotonicTime,
    send_at: MonotonicTime,
    interval: Duration,
}

/// Tracks the orders and pending lookups of this process.
#[derive(Debug)]
pub struct OrderTracker {
    settings: OrderSettings,
    entry: EntryId,
    incarnation: IncarnationNumber,
    runs: BTreeMap<ClaimKey, OrderRun>,
    /// Keys of the runs, by the tokens used in claims, lookups and attempts.
    keys: BTreeMap<QueryToken, ClaimKey>,
    lookups: BTreeMap<QueryToken, PendingLookup>,
    recent: BTreeMap<ClaimKey, RecentOutcome>,
    /// Keys of `recent`, oldest first.
    recent_order: VecDeque<ClaimKey>,
    /// Next time at which a run or lookup needs attention.
    next_due: Option<MonotonicTime>,
}

impl OrderTracker {
    /// Creates a tracker without orders for the process with this entry id and incarnation.
    pub fn new(settings: OrderSettings, entry: EntryId, incarnation: IncarnationNumber) -> Self {
        Self {
            settings,
            entry,
            incarnation,
            runs: BTreeMap::new(),
            keys: BTreeMap::new(),
            lookups: BTreeMap::new(),
            recent: BTreeMap::new(),
            recent_order: VecDeque::new(),
            next_due: None,
        }
    }

    /// Returns the number of orders whose outcome is not recorded yet.
    pub fn unsettled(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of unanswered lookup requests.
    pub fn pending_lookups(&self) -> usize {
        self.lookups.len()
    }

    /// Returns whether an issue time is set and not too far ahead of the clock.
    pub fn accepts_issue_time(&self, now: WallTime, issued_at: WallTime) -> bool {
        let skew = u64::try_from(self.settings.max_clock_skew.as_millis()).unwrap_or(u64::MAX);
        issued_at.0 > 0 && issued_at.0 <= now.0.saturating_add(skew)
    }

    /// Returns whether the maximum number of orders is tracked.
    pub fn is_full(&self) -> bool {
        self.runs.len() >= self.settings.max_runs
    }

    /// Returns whether an order with this key would join a run or get an outcome that this process knows,
    /// instead of starting a new run.
    pub fn joins_known_order(&self, key: &ClaimKey) -> bool {
        if self.recent.contains_key(key) {
            return true;
        }
        self.runs.get(key).is_some_and(|run| !matches!(run.phase, RunPhase::Abandoned { .. }))
    }

    /// Accepts an order: joins it to the run with its key, or claims it at control.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        request: OrderRequest,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let waiter = OrderWaiter { token, deadline: request.deadline };
        if let Some(recent) = self.recent.get(&request.key) {
            let reply = if recent.fingerprint == request.fingerprint {
                OrderReply::recorded(recent.outcome.clone())
            } else {
                conflict_reply()
            };
            effects.push(OrderEffect::Reply(token, reply));
            return;
        }
        if let Some(run) = self.runs.get_mut(&request.key) {
            if run.fingerprint != request.fingerprint {
                effects.push(OrderEffect::Reply(token, run.conflict_reply()));
                return;
            }
            run.waiters.push(waiter);
            // An abandoned order was never started and no outcome was sent to control, so it may be claimed again.
            if let RunPhase::Abandoned { unanswered, .. } = run.phase {
                run.phase = RunPhase::Claiming { token, unanswered, send_at: now };
                self.keys.insert(token, request.key);
            }
        } else {
            self.keys.insert(token, request.key.clone());
            let run = OrderRun {
                fingerprint: request.fingerprint,
                service: request.service,
                waiters: vec![waiter],
                phase: RunPhase::Claiming { token, unanswered: 0, send_at: now },
            };
            self.runs.insert(request.key, run);
        }
        self.advance_all(now, send, effects);
    }

    /// Looks up the outcome of an order, locally or at control.
    pub fn look_up(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        lookup: OrderLookup,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let OrderLookup { key, fingerprint, deadline } = lookup;
        let local_fingerprint = self.local_fingerprint(&key);
        if is_conflict(fingerprint, local_fingerprint) {
            effects.push(OrderEffect::Reply(token, conflict_reply()));
            return;
        }
        if let Some(reply) = self.local_state(&key) {
            effects.push(OrderEffect::Reply(token, reply));
            return;
        }
        if self.lookups.len() >= self.settings.max_lookups {
            let reply =
                OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::Overloaded);
            effects.push(OrderEffect::Reply(token, reply));
            return;
        }
        let interval = self.settings.initial_settle_interval;
        self.lookups
            .insert(token, PendingLookup { key, fingerprint, deadline, send_at: now, interval });
        self.advance_all(now, send, effects);
    }

    /// Drops a lookup whose caller disconnected.
    pub fn cancel_lookup(&mut self, token: QueryToken) {
        self.lookups.remove(&token);
    }

    /// Returns the fingerprint of an order whose recorded outcome this process still keeps.
    fn local_fingerprint(&self, key: &ClaimKey) -> Option<RequestFingerprint> {
        self.recent.get(key).map(|recent| recent.fingerprint)
    }

    /// Returns the reply that follows from this process's own state, or `None` if control must be asked.
    pub fn local_state(&self, key: &ClaimKey) -> Option<OrderReply> {
        if let Some(recent) = self.recent.get(key) {
            return Some(OrderReply::recorded(recent.outcome.clone()));
        }
        match &self.runs.get(key)?.phase {
            RunPhase::Settling { reply, outcome, .. } => {
                Some(OrderReply { reason: reply.reason, ..OrderReply::recorded(outcome.clone()) })
            }
            RunPhase::Claiming { .. } | RunPhase::Running { .. } => {
                let reason = ResponseReason::InProgress;
                Some(OrderReply::without_body(RequestOutcome::Unknown, reason))
            }
            RunPhase::Polling { .. } | RunPhase::Abandoned { .. } => None,
        }
    }

    /// Sends all unanswered messages again after a new session with control was established.
    pub fn resend_all(
        &mut self,
        now: MonotonicTime,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        for run in self.runs.values_mut() {
            match &mut run.phase {
                RunPhase::Claiming { send_at, .. }
                | RunPhase::Settling { send_at, .. }
                | RunPhase::Polling { send_at, .. }
                | RunPhase::Abandoned { send_at, .. } => *send_at = now,
                RunPhase::Running { .. } => {}
            }
        }
        for lookup in self.lookups.values_mut() {
            lookup.send_at = now;
        }
        self.advance_all(now, send, effects);
    }

    /// Handles control's answer to a claim. `may_start` states whether the lease of the ordinal is valid.
    pub fn claim_answered(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        verdict: ClaimVerdict,
        may_start: bool,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let Some(key) = self.keys.get(&token).cloned() else { return };
        let Some(run) = self.runs.get_mut(&key) else { return };
        match &mut run.phase {
            RunPhase::Claiming { unanswered, .. } | RunPhase::Abandoned { unanswered, .. } => {
                *unanswered = unanswered.saturating_sub(1);
            }
            _ => return,
        }
        match verdict {
            ClaimVerdict::Granted => self.claim_granted(now, &key, may_start, effects),
            ClaimVerdict::Existing(ClaimState::Open { entry, incarnation }) => {
                // The run is still in the claiming phase, so if this process holds the claim, the answer
                // that granted it was lost before the order started.
                if entry == self.entry && incarnation == self.incarnation {
                    self.claim_granted(now, &key, may_start, effects);
                } else {
                    self.begin_polling(now, &key, token);
                }
            }
            ClaimVerdict::Existing(ClaimState::Settled(outcome)) => {
                self.finish(&key, &OrderReply::recorded(outcome), effects);
            }
            ClaimVerdict::Conflict => {
                self.finish(&key, &conflict_reply(), effects);
            }
            ClaimVerdict::Expired => {
                let reason = ResponseReason::Expired;
                let reply = OrderReply::without_body(RequestOutcome::Unknown, reason);
                self.finish(&key, &reply, effects);
            }
            ClaimVerdict::Unavailable => match &mut run.phase {
                RunPhase::Claiming { send_at, .. } => {
                    *send_at = now + self.settings.undecided_retry_interval;
                }
                // No claim that may have been granted is left, so there is nothing to settle.
                RunPhase::Abandoned { unanswered: 0, .. } => self.remove(&key),
                _ => {}
            },
        }
        self.advance_all(now, send, effects);
    }

    /// Handles control's answer to a lookup.
    pub fn lookup_answered(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        verdict: LookupVerdict,
        fingerprint: Option<RequestFingerprint>,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let expected = self.lookups.get(&token).and_then(|lookup| lookup.fingerprint);
        if is_conflict(expected, fingerprint) {
            self.lookups.remove(&token);
            effects.push(OrderEffect::Reply(token, conflict_reply()));
        } else if self.lookups.contains_key(&token) {
            self.answer_lookup(now, token, verdict, effects);
        } else if let Some(key) = self.keys.get(&token).cloned() {
            self.answer_own_lookup(now, &key, verdict, effects);
        }
        self.advance_all(now, send, effects);
    }

    fn answer_lookup(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        verdict: LookupVerdict,
        effects: &mut Vec<OrderEffect>,
    ) {
        let without_body = OrderReply::without_body;
        let known = self.lookups.get(&token).and_then(|lookup| self.local_state(&lookup.key));
        let reply = match verdict {
            LookupVerdict::Found(ClaimState::Settled(outcome)) => OrderReply::recorded(outcome),
            LookupVerdict::Found(ClaimState::Open { .. }) => {
                without_body(RequestOutcome::Unknown, ResponseReason::InProgress)
            }
            // The order may have arrived here while the lookup was in flight.
            LookupVerdict::Absent => known
                .unwrap_or_else(|| without_body(RequestOutcome::NotRun, ResponseReason::NotFound)),
            LookupVerdict::Expired => {
                without_body(RequestOutcome::Unknown, ResponseReason::Expired)
            }
            LookupVerdict::Unavailable => {
                if let Some(lookup) = self.lookups.get_mut(&token) {
                    lookup.send_at = now + self.settings.undecided_retry_interval;
                }
                return;
            }
        };
        self.lookups.remove(&token);
        effects.push(OrderEffect::Reply(token, reply));
    }

    fn answer_own_lookup(
        &mut self,
        now: MonotonicTime,
        key: &ClaimKey,
        verdict: LookupVerdict,
        effects: &mut Vec<OrderEffect>,
    ) {
        let Some(run) = self.runs.get(key) else { return };
        let is_abandoned = match run.phase {
            RunPhase::Polling { .. } => false,
            RunPhase::Abandoned { .. } => true,
            _ => return,
        };
        match verdict {
            LookupVerdict::Found(ClaimState::Settled(outcome)) => {
                self.finish(key, &OrderReply::recorded(outcome), effects);
            }
            LookupVerdict::Found(ClaimState::Open { entry, incarnation }) => {
                let is_own = entry == self.entry && incarnation == self.incarnation;
                if is_abandoned && is_own {
                    self.settle_as_not_run(now, key, ResponseReason::ControlUnavailable);
                } else if is_abandoned {
                    self.remove(key);
                }
            }
            LookupVerdict::Expired => {
                let reply =
                    OrderReply::without_body(RequestOutcome::Unknown, ResponseReason::Expired);
                self.finish(key, &reply, effects);
            }
            // An unanswered claim may still be committed after this answer, so the lookups continue.
            LookupVerdict::Absent | LookupVerdict::Unavailable => {}
        }
    }

    /// Answers the waiting callers after control recorded the outcome.
    pub fn settled(&mut self, key: &ClaimKey, effects: &mut Vec<OrderEffect>) {
        let Some(run) = self.runs.get(key) else { return };
        let RunPhase::Settling { outcome, .. } = &run.phase else { return };
        let recent = RecentOutcome { fingerprint: run.fingerprint, outcome: outcome.clone() };
        self.keep_recent(key.clone(), recent);
        self.reply_all(key, effects);
        self.remove(key);
    }

    fn keep_recent(&mut self, key: ClaimKey, recent: RecentOutcome) {
        if self.recent_order.len() >= self.settings.max_recent_outcomes
            && let Some(oldest) = self.recent_order.pop_front()
        {
            self.recent.remove(&oldest);
        }
        self.recent_order.push_back(key.clone());
        self.recent.insert(key, recent);
    }

    /// Handles the result of an order's attempt and sends its outcome to control.
    pub fn run_ended(
        &mut self,
        now: MonotonicTime,
        token: QueryToken,
        result: OrderResult,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let Some(key) = self.keys.get(&token).cloned() else { return };
        let max_body_bytes = self.settings.max_body_bytes;
        let initial_settle_interval = self.settings.initial_settle_interval;
        let Some(run) = self.runs.get_mut(&key) else { return };
        let RunPhase::Running { primary } = run.phase else { return };
        let (mut outcome, reply) = result_outcome(result);
        outcome.body = outcome.body.filter(|body| body.len() <= max_body_bytes);
        run.phase = RunPhase::Settling {
            primary: Some(primary),
            reply,
            outcome,
            send_at: now,
            interval: initial_settle_interval,
        };
        self.advance_all(now, send, effects);
    }

    /// Sends messages that are due and answers callers whose deadline has passed.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        // This is called for every event. Visiting each run every time would let a large number of
        // unsettled orders slow down searches.
        if self.next_due.is_some_and(|due| now >= due) {
            self.advance_all(now, send, effects);
        }
    }

    fn advance_all(
        &mut self,
        now: MonotonicTime,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        let margin = self.settings.reply_margin;
        let late: Vec<ClaimKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_due(now, margin))
            .map(|(key, _)| key.clone())
            .collect();
        for key in late {
            self.expire_waiters(now, &key, effects);
        }
        self.send_due(now, &mut *send);
        self.send_due_lookups(now, send, effects);
        self.next_due = self.earliest_due();
    }

    /// Returns the time of the next wake-up, or `None` if nothing is pending. It may be earlier than needed, but
    /// never later.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        self.next_due
    }

    fn earliest_due(&self) -> Option<MonotonicTime> {
        let margin = self.settings.reply_margin;
        let runs = self.runs.values().flat_map(|run| run.wakeups(margin));
        let lookups = self.lookups.values().flat_map(|lookup| [lookup.deadline, lookup.send_at]);
        runs.chain(lookups).min()
    }

    fn claim_granted(
        &mut self,
        now: MonotonicTime,
        key: &ClaimKey,
        may_start: bool,
        effects: &mut Vec<OrderEffect>,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let waiter = run.waiters.iter().max_by_key(|waiter| waiter.deadline).copied();
        let is_abandoned = matches!(run.phase, RunPhase::Abandoned { .. });
        match waiter {
            Some(waiter) if may_start && !is_abandoned && now < waiter.deadline => {
                self.keys.insert(waiter.token, key.clone());
                run.phase = RunPhase::Running { primary: waiter.token };
                let plan = OrderPlan {
                    service: run.service.clone(),
                    fingerprint: run.fingerprint,
                    deadline: waiter.deadline,
                };
                effects.push(OrderEffect::Start(waiter.token, plan));
            }
            _ if !may_start => self.settle_as_not_run(now, key, ResponseReason::CutOff),
            _ if is_abandoned => {
                self.settle_as_not_run(now, key, ResponseReason::ControlUnavailable);
            }
            _ => self.settle_as_not_run(now, key, ResponseReason::Deadline),
        }
    }

    /// Settles an order that this process has claimed but not started, with the outcome "not run".
    fn settle_as_not_run(&mut self, now: MonotonicTime, key: &ClaimKey, reason: ResponseReason) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.phase = RunPhase::Settling {
            primary: None,
            reply: OrderReply::without_body(RequestOutcome::NotRun, reason),
            outcome: OrderOutcome { outcome: RequestOutcome::NotRun, target: None, body: None },
            send_at: now,
            interval: self.settings.initial_settle_interval,
        };
    }

    fn begin_polling(&mut self, now: MonotonicTime, key: &ClaimKey, token: QueryToken) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if matches!(run.phase, RunPhase::Abandoned { .. }) {
            self.remove(key);
            return;
        }
        let interval = self.settings.initial_poll_interval;
        run.phase = RunPhase::Polling { token, send_at: now + interval, interval };
    }

    fn finish(&mut self, key: &ClaimKey, reply: &OrderReply, effects: &mut Vec<OrderEffect>) {
        let waiters = self.runs.get_mut(key).map(|run| std::mem::take(&mut run.waiters));
        for waiter in waiters.into_iter().flatten() {
            effects.push(OrderEffect::Reply(waiter.token, reply.clone()));
        }
        self.remove(key);
    }

    fn reply_all(&mut self, key: &ClaimKey, effects: &mut Vec<OrderEffect>) {
        let Some(run) = self.runs.get_mut(key) else { return };
        for waiter in std::mem::take(&mut run.waiters) {
            effects.push(OrderEffect::Reply(waiter.token, run.known_reply(waiter.token)));
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        self.runs.remove(key);
        self.keys.retain(|_, other| other != key);
    }

    fn send_due(&mut self, now: MonotonicTime, send: ControlSender<'_>) {
        for (key, run) in &mut self.runs {
            match &mut run.phase {
                RunPhase::Claiming { token, unanswered, send_at } if now >= *send_at => {
                    *send_at = now + self.settings.claim_retry_interval;
                    // A claim that cannot be answered in time would not let the order start. It would only
                    // leave a claim whose outcome is unknown.
                    let deadline = run.waiters.iter().map(|waiter| waiter.deadline).max();
                    if deadline.is_none_or(|deadline| now + self.settings.reply_margin > deadline) {
                        continue;
                    }
                    let message = EntryMessage::Claim {
                        token: *token,
                        key: key.clone(),
                        fingerprint: run.fingerprint,
                    };
                    *unanswered += u32::from(send(message));
                }
                RunPhase::Settling { outcome, send_at, interval, .. } if now >= *send_at => {
                    *send_at = now + *interval;
                    *interval = (*interval * 2).min(self.settings.max_retry_interval);
                    send(EntryMessage::Settle { key: key.clone(), outcome: outcome.clone() });
                }
                RunPhase::Polling { token, send_at, interval }
                | RunPhase::Abandoned { token, send_at, interval, .. }
                    if now >= *send_at =>
                {
                    *send_at = now + *interval;
                    *interval = (*interval * 2).min(self.settings.max_retry_interval);
                    send(EntryMessage::Lookup { token: *token, key: key.clone() });
                }
                _ => {}
            }
        }
    }

    fn send_due_lookups(
        &mut self,
        now: MonotonicTime,
        send: ControlSender<'_>,
        effects: &mut Vec<OrderEffect>,
    ) {
        self.lookups.retain(|&token, lookup| {
            if now >= lookup.deadline {
                let reason = ResponseReason::ControlUnavailable;
                let reply = OrderReply::without_body(RequestOutcome::Unknown, reason);
                effects.push(OrderEffect::Reply(token, reply));
                return false;
            }
            if now >= lookup.send_at {
                lookup.send_at = now + lookup.interval;
                send(EntryMessage::Lookup { token, key: lookup.key.clone() });
            }
            true
        });
    }

    fn expire_waiters(
        &mut self,
        now: MonotonicTime,
        key: &ClaimKey,
        effects: &mut Vec<OrderEffect>,
    ) {
        let (initial_poll_interval, abandoned_claim_lifetime) =
            (self.settings.initial_poll_interval, self.settings.abandoned_claim_lifetime);
        let margin = self.settings.reply_margin;
        let Some(run) = self.runs.get_mut(key) else { return };
        let (late, waiting): (Vec<_>, Vec<_>) =
            run.waiters.iter().partition(|waiter| now >= run.reply_deadline(waiter, margin));
        run.waiters = waiting;
        for waiter in late {
            effects.push(OrderEffect::Reply(waiter.token, run.timeout_reply(waiter.token)));
        }
        if !run.waiters.is_empty() {
            return;
        }
        match run.phase {
            RunPhase::Claiming { unanswered: 0, .. } | RunPhase::Polling { .. } => self.remove(key),
            RunPhase::Claiming { token, unanswered, .. } => {
                run.phase = RunPhase::Abandoned {
                    token,
                    unanswered,
                    send_at: now + initial_poll_interval,
                    interval: initial_poll_interval,
                    until: now + abandoned_claim_lifetime,
                };
            }
            RunPhase::Abandoned { until, .. } if now >= until => self.remove(key),
            _ => {}
        }
    }
}

/// Returns whether both fingerprints are known and differ.
fn is_conflict(expected: Option<RequestFingerprint>, found: Option<RequestFingerprint>) -> bool {
    matches!((expected, found), (Some(expected), Some(found)) if expected != found)
}

/// Creates the reply to an order whose key was claimed for another fingerprint, so that this order did not run.
fn conflict_reply() -> OrderReply {
    OrderReply::without_body(RequestOutcome::NotRun, ResponseReason::Conflict)
}
