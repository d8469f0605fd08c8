//! Orders run at most once, and callers get correct outcomes.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::orders::*;

fn verdict(harness: &mut EntryHarness, token: QueryToken, verdict: ClaimVerdict) {
    harness.control(ControlMessage::ClaimAnswer { token, verdict });
}

fn open(entry: &str, incarnation: u64) -> ClaimState {
    ClaimState::Open { entry: id(entry), incarnation: IncarnationNumber(incarnation) }
}

fn recorded(outcome: RequestOutcome, body: Option<&str>) -> ClaimState {
    let target = Some(id("t1"));
    ClaimState::Settled(OrderOutcome { outcome, target, body: body.map(Into::into) })
}

fn answered(status: AnswerStatus) -> OrderResult {
    let body = Some("printed".into());
    OrderResult::Answered { target: id("t1"), attempt: AttemptId(70), status, body }
}

fn claims(messages: &[EntryMessage]) -> usize {
    messages.iter().filter(|message| matches!(message, EntryMessage::Claim { .. })).count()
}

fn settles(messages: &[EntryMessage]) -> Vec<RequestOutcome> {
    let outcomes = messages.iter().filter_map(|message| match message {
        EntryMessage::Settle { outcome, .. } => Some(outcome.outcome),
        _ => None,
    });
    outcomes.collect()
}

fn lookup(harness: &mut EntryHarness, name: &str) -> QueryToken {
    let kind = RequestKind::Lookup { request: id(name), issued_at: WallTime(START_WALL_MS) };
    harness.request(kind, |_| {})
}

fn running_order() -> (EntryHarness, QueryToken) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    verdict(&mut harness, token, ClaimVerdict::Granted);
    (harness, token)
}

fn started(harness: &EntryHarness) -> usize {
    harness.engine.script().orders.len()
}

/// Guards against an attempt before the claim is granted, and against a response before the outcome is recorded.
#[test]
fn an_order_is_claimed_run_settled_and_answered() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    assert_eq!(claims(&harness.sent()), 1);
    assert_eq!(started(&harness), 0);
    verdict(&mut harness, token, ClaimVerdict::Granted);
    assert_eq!(started(&harness), 1);
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&harness.sent()), [RequestOutcome::Complete]);
    assert!(harness.response(token).is_none());
    harness.advance(millis(600));
    assert_eq!(settles(&harness.sent()), [RequestOutcome::Complete], "sent again");
    harness.control(ControlMessage::Settled(claim_key("a")));
    let response = harness.response(token).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.parts, [AttemptId(70)]);
    assert_eq!((response.coverage, response.attempts), (CoverageShare::FULL, 1));
}

/// Guards against outcomes that the attempt's result does not support.
#[rstest]
#[case::done(answered(AnswerStatus::Done), RequestOutcome::Complete)]
#[case::error(answered(AnswerStatus::Error), RequestOutcome::Failed)]
#[case::shed(answered(AnswerStatus::Shed), RequestOutcome::NotRun)]
#[case::draining(answered(AnswerStatus::Draining), RequestOutcome::NotRun)]
#[case::late(answered(AnswerStatus::Late), RequestOutcome::NotRun)]
#[case::snapshot_gone(answered(AnswerStatus::SnapshotGone), RequestOutcome::Unknown)]
#[case::not_sent(OrderResult::NotSent(ResponseReason::NoTarget), RequestOutcome::NotRun)]
#[case::lost(OrderResult::Lost { target: id("t1") }, RequestOutcome::Unknown)]
fn outcomes_match_the_result_of_the_attempt(
    #[case] result: OrderResult,
    #[case] outcome: RequestOutcome,
) {
    let (mut harness, token) = running_order();
    harness.sent();
    harness.report(EngineReport::Order(token, result));
    assert_eq!(settles(&harness.sent()), [outcome]);
    harness.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(harness.response(token).expect("a response").outcome, outcome);
}

/// Guards against a second run of an order that was already claimed, and against a change of its first outcome.
#[rstest]
#[case::settled(
    ClaimVerdict::Existing(recorded(RequestOutcome::Complete, Some("first"))),
    Some((RequestOutcome::Complete, None))
)]
#[case::conflict(ClaimVerdict::Conflict, refused(ResponseReason::Conflict))]
#[case::expired(ClaimVerdict::Expired, unknown(ResponseReason::Expired))]
#[case::open_elsewhere(ClaimVerdict::Existing(open("e1", 1)), None)]
#[case::open_in_an_earlier_process(ClaimVerdict::Existing(open("e0", 0)), None)]
fn orders_that_exist_are_not_run(
    #[case] answer: ClaimVerdict,
    #[case] expected: Option<OutcomeReason>,
) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    verdict(&mut harness, token, answer);
    assert_eq!(harness.outcome_of(token), expected);
    harness.advance(millis(2000));
    assert_eq!(started(&harness), 0);
    if expected.is_none() {
        assert_eq!(harness.outcome_of(token), unknown(ResponseReason::InProgress));
    }
}

/// Guards against a resend that does not get the outcome that another process records while it waits.
#[test]
fn an_order_of_another_process_is_polled_until_settled() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    verdict(&mut harness, token, ClaimVerdict::Existing(open("e1", 1)));
    harness.advance(millis(350));
    let polls = harness.sent();
    let polls = polls.iter().filter(|message| matches!(message, EntryMessage::Lookup { .. }));
    assert!((2..5).contains(&polls.count()));
    let found = LookupVerdict::Found(recorded(RequestOutcome::Complete, Some("first")));
    harness.control(ControlMessage::LookupAnswer { token, verdict: found, fingerprint: None });
    let response = harness.response(token).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.recorded_body.as_deref(), Some("first"));
}

/// Guards against an order that never runs because the answer that granted its claim was lost, although no other
/// process may run it.
#[test]
fn a_claim_whose_answer_was_lost_runs_after_the_resend() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    harness.sent();
    harness.event(EntryEvent::ControlClosed);
    harness.advance(millis(100));
    assert_eq!(claims(&harness.sent()), 1, "claimed again on the new link");
    verdict(&mut harness, token, ClaimVerdict::Existing(open("e0", 1)));
    assert_eq!(started(&harness), 1);
    verdict(&mut harness, token, ClaimVerdict::Granted);
    assert_eq!(started(&harness), 1, "a second answer starts nothing");
}

/// Guards against `not_run` for a claim that may have been granted, and against a start after the caller got
/// `unknown`, whether the grant becomes known from a late answer or from a lookup.
#[rstest]
#[case::late_answer(false)]
#[case::lookup(true)]
fn an_unanswered_claim_is_unknown_and_never_started(#[case] is_looked_up: bool) {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    harness.advance(millis(1500));
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::ControlUnavailable));
    assert!(harness.sent().iter().any(|message| matches!(message, EntryMessage::Lookup { .. })));
    if is_looked_up {
        let found = LookupVerdict::Found(open("e0", 1));
        harness.control(ControlMessage::LookupAnswer { token, verdict: found, fingerprint: None });
    } else {
        verdict(&mut harness, token, ClaimVerdict::Granted);
    }
    assert_eq!(started(&harness), 0);
    assert_eq!(settles(&harness.sent()), [RequestOutcome::NotRun]);
    harness.advance(millis(10_000));
    assert!(settles(&harness.sent()).len() >= 3, "repeated until it is recorded");
    let resend = harness.order("a");
    assert_eq!(started(&harness), 0);
    harness.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(harness.response(resend).expect("a response").outcome, RequestOutcome::NotRun);
    harness.advance(millis(10_000));
    assert!(settles(&harness.sent()).is_empty());
}

/// Guards against `not_run` for a resend whose first request ran elsewhere. If control cannot decide a claim, an
/// earlier claim may still exist.
#[test]
fn an_order_whose_claim_is_never_decided_is_unknown() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    let end = harness.now.monotonic + millis(1000);
    while harness.now.monotonic < end {
        if claims(&harness.sent()) > 0 {
            verdict(&mut harness, token, ClaimVerdict::Unavailable);
        }
        harness.advance(millis(10));
    }
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::ControlUnavailable));
    harness.advance(millis(5000));
    assert_eq!(claims(&harness.sent()), 0);
}

/// Guards against an order that starts after the lease of the ordinal has ended.
#[test]
fn a_grant_after_the_lease_is_not_started() {
    let mut harness = EntryHarness::ready(1);
    harness.auto_reply = false;
    harness.advance(millis(4000));
    let token = harness.request(
        RequestKind::Order { request: id("a"), issued_at: WallTime(START_WALL_MS) },
        |request| request.class = id("batch"),
    );
    let connect = harness.connects().last().copied().expect("a new link");
    harness.event(EntryEvent::ControlOpened(connect));
    let welcome = harness.welcome(3);
    harness.event(welcome);
    harness.set_time(harness.now.monotonic + millis(1500));
    verdict(&mut harness, token, ClaimVerdict::Granted);
    assert_eq!(started(&harness), 0);
    assert_eq!(settles(&harness.sent()), [RequestOutcome::NotRun]);
}

/// Guards against two runs, or contradicting responses, for requests with the same key at one entry.
#[test]
fn concurrent_duplicates_share_one_run() {
    let mut harness = EntryHarness::ready(1);
    let first = harness.order("a");
    let second = harness.order("a");
    let other = |harness: &mut EntryHarness| {
        let kind = RequestKind::Order { request: id("a"), issued_at: WallTime(START_WALL_MS) };
        let token = harness.request(kind, |request| request.fingerprint = fingerprint(2));
        harness.outcome_of(token)
    };
    // Until the claim is granted, the request with the other fingerprint may be the one that ran.
    assert_eq!(other(&mut harness), unknown(ResponseReason::Conflict));
    let lookup_token = lookup(&mut harness, "a");
    assert_eq!(harness.outcome_of(lookup_token), unknown(ResponseReason::InProgress));
    assert_eq!(claims(&harness.sent()), 1);
    verdict(&mut harness, first, ClaimVerdict::Granted);
    assert_eq!(other(&mut harness), refused(ResponseReason::Conflict));
    let (token, _) = harness.engine.script().orders[0].clone();
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    harness.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(started(&harness), 1);
    for waiter in [first, second] {
        let response = harness.response(waiter).expect("a response");
        assert_eq!(response.outcome, RequestOutcome::Complete);
        assert_eq!(!response.parts.is_empty(), waiter == token);
        assert_eq!(response.recorded_body.is_some(), waiter != token);
    }
}

/// Guards against orders that stop because their caller disconnected.
#[test]
fn a_hangup_does_not_stop_an_order() {
    let mut harness = EntryHarness::ready(1);
    let token = harness.order("a");
    harness.event(EntryEvent::CallerDisconnected(token));
    verdict(&mut harness, token, ClaimVerdict::Granted);
    harness.event(EntryEvent::CallerDisconnected(token));
    assert!(harness.engine.script().cancelled.is_empty());
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&harness.sent()), [RequestOutcome::Complete]);
    harness.control(ControlMessage::Settled(claim_key("a")));
    assert!(harness.response(token).is_some(), "the driver drops the body only with the response");
}

/// Guards against withholding a known outcome because control cannot record it.
#[test]
fn a_known_outcome_is_reported_in_time_and_recorded_later() {
    let (mut harness, token) = running_order();
    harness.auto_reply = false;
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    harness.advance(millis(989));
    assert!(harness.response(token).is_none());
    harness.advance(millis(2));
    assert_eq!(harness.outcome_of(token), Some((RequestOutcome::Complete, None)));
    harness.advance(millis(1200));
    harness.auto_reply = true;
    harness.sent();
    let connect = harness.connects().last().copied().expect("a new link");
    harness.event(EntryEvent::ControlOpened(connect));
    assert_eq!(settles(&harness.sent()), [RequestOutcome::Complete]);
}

/// Guards against a missing or wrong response to the caller of an order that still runs at its deadline.
#[test]
fn a_running_order_is_unknown_at_its_deadline() {
    let (mut harness, token) = running_order();
    harness.advance(millis(1100));
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::Deadline));
    harness.sent();
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&harness.sent()), [RequestOutcome::Complete]);
}

/// Guards against issue times with which a key would be dropped from the claim table at once, or never.
#[rstest]
#[case::ahead(START_WALL_MS + 70_000, true)]
#[case::slightly_ahead(START_WALL_MS + 50_000, false)]
#[case::zero(0, true)]
fn impossible_issue_times_are_refused(#[case] issued_at: u64, #[case] is_refused: bool) {
    let mut harness = EntryHarness::ready(1);
    let issued_at = WallTime(issued_at);
    let token = harness.request(RequestKind::Order { request: id("a"), issued_at }, |_| {});
    let sent = harness.sent();
    harness.answer_lookups(&sent, &LookupVerdict::Absent);
    let expected = if is_refused { refused(ResponseReason::Malformed) } else { None };
    assert_eq!(harness.outcome_of(token), expected);
    assert_eq!(claims(&sent), usize::from(!is_refused));
}

/// Guards against lookups whose outcome differs from control's record.
#[rstest]
#[case::settled(
    LookupVerdict::Found(recorded(RequestOutcome::Failed, None)),
    Some((RequestOutcome::Failed, None))
)]
#[case::open(LookupVerdict::Found(open("e1", 1)), unknown(ResponseReason::InProgress))]
#[case::absent(LookupVerdict::Absent, refused(ResponseReason::NotFound))]
#[case::expired(LookupVerdict::Expired, unknown(ResponseReason::Expired))]
#[case::unavailable(LookupVerdict::Unavailable, unknown(ResponseReason::ControlUnavailable))]
fn lookups_report_what_control_recorded(
    #[case] answer: LookupVerdict,
    #[case] expected: Option<OutcomeReason>,
) {
    let mut harness = EntryHarness::ready(1);
    let token = lookup(&mut harness, "a");
    harness.control(ControlMessage::LookupAnswer { token, verdict: answer, fingerprint: None });
    harness.advance(millis(1100));
    assert_eq!(harness.outcome_of(token), expected);
}

/// Guards against `not_run` for an order that ran at this entry before it lost control.
#[test]
fn a_cut_off_entry_still_reports_orders_that_it_ran() {
    let (mut harness, token) = running_order();
    harness.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    harness.control(ControlMessage::Settled(claim_key("a")));
    harness.auto_reply = false;
    harness.advance(millis(6000));
    let resend = harness.order("a");
    let response = harness.response(resend).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.recorded_body.as_deref(), Some("printed"));
    let token = lookup(&mut harness, "a");
    assert_eq!(harness.outcome_of(token), Some((RequestOutcome::Complete, None)));
    let other = lookup(&mut harness, "b");
    assert_eq!(harness.outcome_of(other), unknown(ResponseReason::CutOff));
}

enum Transit {
    ToControl(EntryMessage),
    ToEntry(ControlMessage),
}

type TrackerSender<'a> = &'a mut dyn FnMut(EntryMessage) -> bool;

/// Model of one entry, control's claim table, another entry that claims and runs the same orders, and a network
/// that loses and reorders messages.
struct OrderModel {
    now: MonotonicTime,
    orders: OrderTracker,
    table: BTreeMap<ClaimKey, ClaimState>,
    network: Vec<Transit>,
    running: Vec<QueryToken>,
    started: BTreeSet<ClaimKey>,
    /// Orders that a target ran or may have run for this entry.
    run_here: BTreeSet<ClaimKey>,
    run_elsewhere: BTreeSet<ClaimKey>,
    may_start: bool,
    keys: BTreeMap<QueryToken, ClaimKey>,
    waiting: BTreeSet<QueryToken>,
}

impl OrderModel {
    fn new() -> Self {
        Self {
            now: MonotonicTime(1),
            orders: OrderTracker::new(OrderSettings::default(), id("e0"), IncarnationNumber(1)),
            table: BTreeMap::new(),
            network: Vec::new(),
            running: Vec::new(),
            started: BTreeSet::new(),
            run_here: BTreeSet::new(),
            run_elsewhere: BTreeSet::new(),
            may_start: true,
            keys: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    fn act(
        &mut self,
        act: impl FnOnce(&mut OrderTracker, MonotonicTime, TrackerSender<'_>, &mut Vec<OrderEffect>),
    ) {
        let mut effects = Vec::new();
        let network = &mut self.network;
        let mut send = |message| {
            network.push(Transit::ToControl(message));
            true
        };
        act(&mut self.orders, self.now, &mut send, &mut effects);
        for effect in effects {
            match effect {
                OrderEffect::Start(token, _) => {
                    let key = self.keys[&token].clone();
                    assert!(self.waiting.contains(&token), "the driver dropped the body");
                    assert!(self.started.insert(key.clone()), "{key:?} started twice");
                    assert!(!self.run_elsewhere.contains(&key), "{key:?} runs twice");
                    self.run_here.insert(key);
                    self.running.push(token);
                }
                OrderEffect::Reply(token, reply) => self.check_reply(token, &reply),
            }
        }
    }

    /// Checks that each request gets one response and that its outcome is correct. A refusal without control's
    /// decision covers only this entry, because an earlier request may have reached another one.
    fn check_reply(&mut self, token: QueryToken, reply: &OrderReply) {
        assert!(self.waiting.remove(&token), "answered twice");
        let key = &self.keys[&token];
        let (here, elsewhere) = (self.run_here.contains(key), self.run_elsewhere.contains(key));
        let is_refusal = reply.reason == Some(ResponseReason::ControlUnavailable);
        match reply.outcome {
            RequestOutcome::NotRun => {
                assert!(!here && (!elsewhere || is_refusal), "{key:?} has run")
            }
            RequestOutcome::Complete => assert!(here || elsewhere, "{key:?} has not run"),
            _ => {}
        }
    }

    fn submit(&mut self, token: QueryToken, key: ClaimKey) {
        self.keys.insert(token, key.clone());
        self.waiting.insert(token);
        let service = ServiceKey { tenant: id("quindio"), service: id("print") };
        let deadline = self.now + millis(1000);
        let request = OrderRequest { key, fingerprint: fingerprint(1), service, deadline };
        self.act(|orders, now, send, effects| orders.submit(now, token, request, send, effects));
    }

    /// Drops one message in transit if `choice` is below 2, and delivers it otherwise. If `choice` is 2, control
    /// cannot decide a claim.
    fn deliver(&mut self, index: usize, choice: u64) {
        if self.network.is_empty() {
            return;
        }
        let may_start = self.may_start;
        match self.network.remove(index % self.network.len()) {
            _ if choice < 2 => {}
            Transit::ToControl(message) => {
                let answer = self.control_answer(message, choice == 2);
                self.network.push(Transit::ToEntry(answer));
            }
            Transit::ToEntry(message) => self.act(|orders, now, send, effects| match message {
                ControlMessage::ClaimAnswer { token, verdict } => {
                    orders.claim_answered(now, token, verdict, may_start, send, effects);
                }
                ControlMessage::LookupAnswer { token, verdict, .. } => {
                    orders.lookup_answered(now, token, verdict, None, send, effects);
                }
                ControlMessage::Settled(key) => orders.settled(&key, effects),
                _ => {}
            }),
        }
    }

    fn control_answer(&mut self, message: EntryMessage, is_undecided: bool) -> ControlMessage {
        match message {
            EntryMessage::Claim { token, key, .. } => {
                let state = self.table.get(&key).cloned().map(ClaimVerdict::Existing);
                if state.is_none() && !is_undecided {
                    self.table.insert(key, open("e0", 1));
                }
                let fallback =
                    if is_undecided { ClaimVerdict::Unavailable } else { ClaimVerdict::Granted };
                ControlMessage::ClaimAnswer { token, verdict: state.unwrap_or(fallback) }
            }
            EntryMessage::Settle { key, outcome } => {
                if self.table.get(&key) == Some(&open("e0", 1)) {
                    self.table.insert(key.clone(), ClaimState::Settled(outcome));
                }
                ControlMessage::Settled(key)
            }
            EntryMessage::Lookup { token, key } => {
                let state = self.table.get(&key).cloned().map(LookupVerdict::Found);
                let verdict = state.unwrap_or(LookupVerdict::Absent);
                ControlMessage::LookupAnswer { token, verdict, fingerprint: None }
            }
            other => panic!("{other:?} is not part of the model"),
        }
    }

    fn end_run(&mut self, index: usize, kind: u64) {
        if self.running.is_empty() {
            return;
        }
        let token = self.running.remove(index % self.running.len());
        let result = match kind {
            0 => answered(AnswerStatus::Done),
            1 => answered(AnswerStatus::Shed),
            2 => OrderResult::NotSent(ResponseReason::NoTarget),
            _ => OrderResult::Lost { target: id("t1") },
        };
        if matches!(kind, 1 | 2) {
            self.run_here.remove(&self.keys[&token]);
        }
        self.act(|orders, now, send, effects| orders.run_ended(now, token, result, send, effects));
    }

    /// Makes the other entry claim an order, or complete the one that it claimed.
    fn act_elsewhere(&mut self, key: ClaimKey) {
        let other = open("e1", 1);
        let state = self.table.entry(key.clone()).or_insert_with(|| other.clone());
        if *state == other && !self.run_elsewhere.insert(key) {
            *state = recorded(RequestOutcome::Complete, None);
        }
    }

    /// Ends or renews the lease. Control then records open orders as unknown.
    fn toggle_lease(&mut self) {
        self.may_start = !self.may_start;
        for state in self.table.values_mut().filter(|state| **state == open("e0", 1)) {
            *state = recorded(RequestOutcome::Unknown, None);
        }
    }

    fn advance_time(&mut self, time: u64) {
        self.now = self.now + millis(time);
        self.act(|orders, now, send, effects| orders.advance(now, send, effects));
    }
}

/// Guards against any sequence of losses, delays and resends in which an order runs twice, or a response is wrong,
/// missing or repeated.
#[test]
fn no_loss_or_delay_runs_an_order_twice() {
    check_steps(13, 2000, 27, 120, |steps| {
        let mut model = OrderModel::new();
        for (token, (kind, index, value)) in steps.into_iter().enumerate() {
            let key = claim_key(["a", "b"][value as usize % 2]);
            match kind {
                0..4 => model.submit(QueryToken(token as u64), key),
                4..18 => model.deliver(index, value % 10),
                18..21 => model.end_run(index, value % 4),
                21..24 => model.advance_time(value % 1500),
                24 => model.act(|orders, now, send, effects| orders.resend_all(now, send, effects)),
                25 => model.act_elsewhere(key),
                _ => model.toggle_lease(),
            }
        }
        model.advance_time(2000);
        assert!(model.waiting.is_empty(), "requests without a response");
    });
}

/// Guards against `not_run` for a refused resend whose first request ran through another entry.
#[rstest]
#[case::ran(LookupVerdict::Found(recorded(RequestOutcome::Complete, None)), Some((RequestOutcome::Complete, None)))]
#[case::runs(LookupVerdict::Found(open("e0", 1)), unknown(ResponseReason::InProgress))]
#[case::never_claimed(LookupVerdict::Absent, refused(ResponseReason::LimitExceeded))]
#[case::expired(LookupVerdict::Expired, unknown(ResponseReason::Expired))]
fn a_refused_order_is_not_run_only_if_it_was_never_claimed(
    #[case] verdict: LookupVerdict,
    #[case] expected: Option<OutcomeReason>,
) {
    // The limit admits nothing.
    let mut harness = EntryHarness::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    harness.advance(millis(2000));
    harness.take();
    let token = harness.order("a");
    assert_eq!(harness.outcome_of(token), None, "refused before control was asked");
    let sent = harness.sent();
    assert_eq!(claims(&sent), 0);
    harness.answer_lookups(&sent, &verdict);
    assert_eq!(harness.outcome_of(token), expected);
}

/// Guards against a refusal that never comes, or states `not_run`, while control does not answer.
#[test]
fn a_refused_order_is_unknown_if_control_is_silent() {
    let mut harness = EntryHarness::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    harness.advance(millis(2000));
    harness.take();
    let token = harness.order("a");
    harness.advance(millis(1100));
    assert_eq!(harness.outcome_of(token), unknown(ResponseReason::ControlUnavailable));
}

/// Guards against answering a refused order with the outcome of an order with the same key and another fingerprint.
#[test]
fn a_refused_order_with_another_content_is_a_conflict() {
    let mut harness = EntryHarness::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    harness.advance(millis(2000));
    harness.take();
    let token = harness.order("a");
    let sent = harness.sent();
    let lookup = sent.iter().find_map(|message| match message {
        EntryMessage::Lookup { token, .. } => Some(*token),
        _ => None,
    });
    harness.control(ControlMessage::LookupAnswer {
        token: lookup.expect("a lookup"),
        verdict: LookupVerdict::Found(recorded(RequestOutcome::Complete, None)),
        fingerprint: Some(RequestFingerprint::of_parts([b"another".as_slice()])),
    });
    assert_eq!(harness.outcome_of(token), refused(ResponseReason::Conflict));
}
