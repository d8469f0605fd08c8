//! Guards against orders that run twice, and against outcomes that are told but are not true.

mod entry_support;

use entry_support::*;
use hickoryspan_core::entry::orders::*;

fn verdict(bench: &mut EntryBench, token: QueryToken, verdict: ClaimVerdict) {
    bench.control(ControlMessage::ClaimAnswer { token, verdict });
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

fn lookup(bench: &mut EntryBench, name: &str) -> QueryToken {
    let kind = RequestKind::Lookup { request: id(name), issued_at: WallTime(FULL_WALL) };
    bench.request(kind, |_| {})
}

fn running_order() -> (EntryBench, QueryToken) {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Granted);
    (bench, token)
}

fn started(bench: &EntryBench) -> usize {
    bench.engine.script().orders.len()
}

/// Guards against a byte that is sent before the claim is granted, and against a response before the
/// outcome is recorded.
#[test]
fn an_order_is_claimed_run_settled_and_answered() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    assert_eq!(claims(&bench.sent()), 1);
    assert_eq!(started(&bench), 0);
    verdict(&mut bench, token, ClaimVerdict::Granted);
    assert_eq!(started(&bench), 1);
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete]);
    assert!(bench.response(token).is_none());
    bench.advance(millis(600));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete], "sent again");
    bench.control(ControlMessage::Settled(claim_key("a")));
    let response = bench.response(token).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.parts, [AttemptId(70)]);
    assert_eq!((response.coverage, response.attempts), (CoverageShare::FULL, 1));
}

/// Guards against outcomes that claim more than is known.
#[rstest]
#[case::done(answered(AnswerStatus::Done), RequestOutcome::Complete)]
#[case::error(answered(AnswerStatus::Error), RequestOutcome::Failed)]
#[case::shed(answered(AnswerStatus::Shed), RequestOutcome::NotRun)]
#[case::draining(answered(AnswerStatus::Draining), RequestOutcome::NotRun)]
#[case::late(answered(AnswerStatus::Late), RequestOutcome::NotRun)]
#[case::senseless(answered(AnswerStatus::SnapshotGone), RequestOutcome::Unknown)]
#[case::not_sent(OrderResult::NotSent(ResponseReason::NoTarget), RequestOutcome::NotRun)]
#[case::lost(OrderResult::Lost { target: id("t1") }, RequestOutcome::Unknown)]
fn the_outcome_says_what_is_known(#[case] result: OrderResult, #[case] outcome: RequestOutcome) {
    let (mut bench, token) = running_order();
    bench.sent();
    bench.report(EngineReport::Order(token, result));
    assert_eq!(settles(&bench.sent()), [outcome]);
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(bench.response(token).expect("a response").outcome, outcome);
}

/// Guards against a second run of an order that was claimed before, and against a changed first outcome.
#[rstest]
#[case::settled(
    ClaimVerdict::Existing(recorded(RequestOutcome::Complete, Some("first"))),
    Some((RequestOutcome::Complete, None))
)]
#[case::conflict(ClaimVerdict::Conflict, refused(ResponseReason::Conflict))]
#[case::expired(ClaimVerdict::Expired, unknown(ResponseReason::Expired))]
#[case::open_elsewhere(ClaimVerdict::Existing(open("e1", 1)), None)]
#[case::open_in_an_earlier_process(ClaimVerdict::Existing(open("e0", 0)), None)]
fn orders_that_exist_are_not_run(#[case] answer: ClaimVerdict, #[case] expected: Option<Told>) {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, answer);
    assert_eq!(bench.told(token), expected);
    bench.advance(millis(2000));
    assert_eq!(started(&bench), 0);
    if expected.is_none() {
        assert_eq!(bench.told(token), unknown(ResponseReason::InProgress));
    }
}

/// Guards against a resend that does not get the outcome which another process records meanwhile.
#[test]
fn an_order_of_another_process_is_polled_until_settled() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Existing(open("e1", 1)));
    bench.advance(millis(350));
    let polls = bench.sent();
    let polls = polls.iter().filter(|message| matches!(message, EntryMessage::Lookup { .. }));
    assert!((2..5).contains(&polls.count()));
    let found = LookupVerdict::Found(recorded(RequestOutcome::Complete, Some("first")));
    bench.control(ControlMessage::LookupAnswer { token, verdict: found, fingerprint: None });
    let response = bench.response(token).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.recorded_body.as_deref(), Some("first"));
}

/// Guards against a lost answer to a granted claim, after which the order would never run although nobody
/// else may run it.
#[test]
fn a_claim_whose_answer_was_lost_runs_after_the_resend() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.sent();
    bench.event(EntryEvent::ControlClosed);
    bench.advance(millis(100));
    assert_eq!(claims(&bench.sent()), 1, "claimed again on the new link");
    verdict(&mut bench, token, ClaimVerdict::Existing(open("e0", 1)));
    assert_eq!(started(&bench), 1);
    verdict(&mut bench, token, ClaimVerdict::Granted);
    assert_eq!(started(&bench), 1, "a second answer starts nothing");
}

/// Guards against `not_run` for a claim that may be granted, and against a start after the caller was told
/// that nobody knows, whether the grant is learned from a late answer or from a lookup.
#[rstest]
#[case::late_answer(false)]
#[case::lookup(true)]
fn an_unanswered_claim_is_unknown_and_never_started(#[case] is_looked_up: bool) {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.advance(millis(1500));
    assert_eq!(bench.told(token), unknown(ResponseReason::ControlUnavailable));
    assert!(bench.sent().iter().any(|message| matches!(message, EntryMessage::Lookup { .. })));
    if is_looked_up {
        let found = LookupVerdict::Found(open("e0", 1));
        bench.control(ControlMessage::LookupAnswer { token, verdict: found, fingerprint: None });
    } else {
        verdict(&mut bench, token, ClaimVerdict::Granted);
    }
    assert_eq!(started(&bench), 0);
    assert_eq!(settles(&bench.sent()), [RequestOutcome::NotRun]);
    bench.advance(millis(10_000));
    assert!(settles(&bench.sent()).len() >= 3, "repeated until it is recorded");
    let resend = bench.order("a");
    assert_eq!(started(&bench), 0);
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(bench.response(resend).expect("a response").outcome, RequestOutcome::NotRun);
    bench.advance(millis(10_000));
    assert!(settles(&bench.sent()).is_empty());
}

/// Guards against `not_run` for a resend whose first request ran elsewhere: a control that decides nothing does not
/// say that no earlier claim exists.
#[test]
fn a_claim_that_was_refused_each_time_is_unknown() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    let end = bench.now.monotonic + millis(1000);
    while bench.now.monotonic < end {
        if claims(&bench.sent()) > 0 {
            verdict(&mut bench, token, ClaimVerdict::Unavailable);
        }
        bench.advance(millis(10));
    }
    assert_eq!(bench.told(token), unknown(ResponseReason::ControlUnavailable));
    bench.advance(millis(5000));
    assert_eq!(claims(&bench.sent()), 0);
}

/// Guards against an order that starts on an ordinal whose lease has ended.
#[test]
fn a_grant_after_the_lease_is_not_started() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    bench.advance(millis(4000));
    let token = bench.request(
        RequestKind::Order { request: id("a"), issued_at: WallTime(FULL_WALL) },
        |request| request.class = id("batch"),
    );
    let connect = bench.connects().last().copied().expect("a new link");
    bench.event(EntryEvent::ControlOpened(connect));
    let welcome = bench.welcome(3);
    bench.event(welcome);
    bench.set_time(bench.now.monotonic + millis(1500));
    verdict(&mut bench, token, ClaimVerdict::Granted);
    assert_eq!(started(&bench), 0);
    assert_eq!(settles(&bench.sent()), [RequestOutcome::NotRun]);
}

/// Guards against two runs, or contradicting answers, for requests with one key inside one entry.
#[test]
fn concurrent_duplicates_share_one_run() {
    let mut bench = EntryBench::ready(1);
    let first = bench.order("a");
    let second = bench.order("a");
    let other = |bench: &mut EntryBench| {
        let kind = RequestKind::Order { request: id("a"), issued_at: WallTime(FULL_WALL) };
        let token = bench.request(kind, |request| request.fingerprint = fingerprint(2));
        bench.told(token)
    };
    // Until the claim is granted, the other content may be the one that ran.
    assert_eq!(other(&mut bench), unknown(ResponseReason::Conflict));
    let question = lookup(&mut bench, "a");
    assert_eq!(bench.told(question), unknown(ResponseReason::InProgress));
    assert_eq!(claims(&bench.sent()), 1);
    verdict(&mut bench, first, ClaimVerdict::Granted);
    assert_eq!(other(&mut bench), refused(ResponseReason::Conflict));
    let (token, _) = bench.engine.script().orders[0].clone();
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(started(&bench), 1);
    for waiter in [first, second] {
        let response = bench.response(waiter).expect("a response");
        assert_eq!(response.outcome, RequestOutcome::Complete);
        assert_eq!(!response.parts.is_empty(), waiter == token);
        assert_eq!(response.recorded_body.is_some(), waiter != token);
    }
}

/// Guards against orders that stop because their caller hung up.
#[test]
fn a_hangup_does_not_stop_an_order() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.event(EntryEvent::CallerDisconnected(token));
    verdict(&mut bench, token, ClaimVerdict::Granted);
    bench.event(EntryEvent::CallerDisconnected(token));
    assert!(bench.engine.script().cancelled.is_empty());
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete]);
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert!(bench.response(token).is_some(), "tells the driver to drop what it kept");
}

/// Guards against a known outcome that is withheld because control cannot record it.
#[test]
fn a_known_outcome_is_told_in_time_and_recorded_later() {
    let (mut bench, token) = running_order();
    bench.answers = false;
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    bench.advance(millis(989));
    assert!(bench.response(token).is_none());
    bench.advance(millis(2));
    assert_eq!(bench.told(token), Some((RequestOutcome::Complete, None)));
    bench.advance(millis(1200));
    bench.answers = true;
    bench.sent();
    let connect = bench.connects().last().copied().expect("a new link");
    bench.event(EntryEvent::ControlOpened(connect));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete]);
}

/// Guards against an order that runs beyond the deadline and whose caller waits, or is told a guess.
#[test]
fn a_running_order_is_unknown_at_its_deadline() {
    let (mut bench, token) = running_order();
    bench.advance(millis(1100));
    assert_eq!(bench.told(token), unknown(ResponseReason::Deadline));
    bench.sent();
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete]);
}

/// Guards against keys that would be dropped from the claim table at once, or kept for ever.
#[rstest]
#[case::ahead(FULL_WALL + 70_000, true)]
#[case::slightly_ahead(FULL_WALL + 50_000, false)]
#[case::zero(0, true)]
fn impossible_issue_times_are_refused(#[case] issued_at: u64, #[case] is_refused: bool) {
    let mut bench = EntryBench::ready(1);
    let issued_at = WallTime(issued_at);
    let token = bench.request(RequestKind::Order { request: id("a"), issued_at }, |_| {});
    let sent = bench.sent();
    bench.answer_lookups(&sent, &LookupVerdict::Absent);
    let expected = if is_refused { refused(ResponseReason::Malformed) } else { None };
    assert_eq!(bench.told(token), expected);
    assert_eq!(claims(&sent), usize::from(!is_refused));
}

/// Guards against lookups that report more, or less, than control knows.
#[rstest]
#[case::settled(
    LookupVerdict::Found(recorded(RequestOutcome::Failed, None)),
    Some((RequestOutcome::Failed, None))
)]
#[case::open(LookupVerdict::Found(open("e1", 1)), unknown(ResponseReason::InProgress))]
#[case::absent(LookupVerdict::Absent, refused(ResponseReason::NotFound))]
#[case::expired(LookupVerdict::Expired, unknown(ResponseReason::Expired))]
#[case::unavailable(LookupVerdict::Unavailable, unknown(ResponseReason::ControlUnavailable))]
fn lookups_tell_what_control_knows(#[case] answer: LookupVerdict, #[case] expected: Option<Told>) {
    let mut bench = EntryBench::ready(1);
    let token = lookup(&mut bench, "a");
    bench.control(ControlMessage::LookupAnswer { token, verdict: answer, fingerprint: None });
    bench.advance(millis(1100));
    assert_eq!(bench.told(token), expected);
}

/// Guards against `not_run` for an order that ran here, from an entry that is cut off now.
#[test]
fn a_cut_off_entry_still_knows_what_it_ran() {
    let (mut bench, token) = running_order();
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    bench.control(ControlMessage::Settled(claim_key("a")));
    bench.answers = false;
    bench.advance(millis(6000));
    let resend = bench.order("a");
    let response = bench.response(resend).expect("a response");
    assert_eq!(response.outcome, RequestOutcome::Complete);
    assert_eq!(response.recorded_body.as_deref(), Some("printed"));
    let token = lookup(&mut bench, "a");
    assert_eq!(bench.told(token), Some((RequestOutcome::Complete, None)));
    let other = lookup(&mut bench, "b");
    assert_eq!(bench.told(other), unknown(ResponseReason::CutOff));
}

enum Transit {
    ToControl(EntryMessage),
    ToEntry(ControlMessage),
}

type BookSender<'a> = &'a mut dyn FnMut(EntryMessage) -> bool;

/// One entry, control's claim table, another entry that claims and runs the same orders, and a network that
/// loses and reorders.
struct OrderModel {
    now: MonotonicTime,
    book: OrderTracker,
    table: BTreeMap<ClaimKey, ClaimState>,
    network: Vec<Transit>,
    running: Vec<QueryToken>,
    started: BTreeSet<ClaimKey>,
    /// Orders that a target ran, or may run.
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
            book: OrderTracker::new(OrderSettings::default(), id("e0"), IncarnationNumber(1)),
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
        act: impl FnOnce(&mut OrderTracker, MonotonicTime, BookSender<'_>, &mut Vec<OrderEffect>),
    ) {
        let mut effects = Vec::new();
        let network = &mut self.network;
        let mut send = |message| {
            network.push(Transit::ToControl(message));
            true
        };
        act(&mut self.book, self.now, &mut send, &mut effects);
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

    /// Every request gets one response, and it must be true. A refusal without control's decision speaks
    /// only about this entry, because an earlier request may have reached another one.
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
        self.act(|book, now, send, effects| book.submit(now, token, request, send, effects));
    }

    /// One message in transit arrives, or is lost; control refuses some claims.
    fn deliver(&mut self, index: usize, fate: u64) {
        if self.network.is_empty() {
            return;
        }
        let may_start = self.may_start;
        match self.network.remove(index % self.network.len()) {
            _ if fate < 2 => {}
            Transit::ToControl(message) => {
                let answer = self.control_answer(message, fate == 2);
                self.network.push(Transit::ToEntry(answer));
            }
            Transit::ToEntry(message) => self.act(|book, now, send, effects| match message {
                ControlMessage::ClaimAnswer { token, verdict } => {
                    book.claim_answered(now, token, verdict, may_start, send, effects);
                }
                ControlMessage::LookupAnswer { token, verdict, .. } => {
                    book.lookup_answered(now, token, verdict, None, send, effects);
                }
                ControlMessage::Settled(key) => book.settled(&key, effects),
                _ => {}
            }),
        }
    }

    fn control_answer(&mut self, message: EntryMessage, is_refused: bool) -> ControlMessage {
        match message {
            EntryMessage::Claim { token, key, .. } => {
                let state = self.table.get(&key).cloned().map(ClaimVerdict::Existing);
                if state.is_none() && !is_refused {
                    self.table.insert(key, open("e0", 1));
                }
                let fallback =
                    if is_refused { ClaimVerdict::Unavailable } else { ClaimVerdict::Granted };
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
        self.act(|book, now, send, effects| book.run_ended(now, token, result, send, effects));
    }

    /// The other entry claims an order, or ends the one that it claimed.
    fn act_elsewhere(&mut self, key: ClaimKey) {
        let other = open("e1", 1);
        let state = self.table.entry(key.clone()).or_insert_with(|| other.clone());
        if *state == other && !self.run_elsewhere.insert(key) {
            *state = recorded(RequestOutcome::Complete, None);
        }
    }

    /// The lease ends, or is renewed: nobody knows what became of open orders.
    fn toggle_lease(&mut self) {
        self.may_start = !self.may_start;
        for state in self.table.values_mut().filter(|state| **state == open("e0", 1)) {
            *state = recorded(RequestOutcome::Unknown, None);
        }
    }

    fn pass(&mut self, time: u64) {
        self.now = self.now + millis(time);
        self.act(|book, now, send, effects| book.advance(now, send, effects));
    }
}

/// Guards against any order of losses, delays and resends in which an order runs twice, a response is
/// untrue, missing or repeated.
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
                21..24 => model.pass(value % 1500),
                24 => model.act(|book, now, send, effects| book.reconnected(now, send, effects)),
                25 => model.act_elsewhere(key),
                _ => model.toggle_lease(),
            }
        }
        model.pass(2000);
        assert!(model.waiting.is_empty(), "requests without a response");
    });
}

/// Guards against `not_run` for a resend that is refused although the first request ran through another entry.
#[rstest]
#[case::ran(LookupVerdict::Found(recorded(RequestOutcome::Complete, None)), Some((RequestOutcome::Complete, None)))]
#[case::runs(LookupVerdict::Found(open("e0", 1)), unknown(ResponseReason::InProgress))]
#[case::never_claimed(LookupVerdict::Absent, refused(ResponseReason::LimitExceeded))]
#[case::forgotten(LookupVerdict::Expired, unknown(ResponseReason::Expired))]
fn a_refused_order_is_not_run_only_if_it_was_never_claimed(
    #[case] verdict: LookupVerdict,
    #[case] expected: Option<Told>,
) {
    // The limit admits nothing.
    let mut bench = EntryBench::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    bench.advance(millis(2000));
    bench.take();
    let token = bench.order("a");
    assert_eq!(bench.told(token), None, "refused before control was asked");
    let sent = bench.sent();
    assert_eq!(claims(&sent), 0);
    bench.answer_lookups(&sent, &verdict);
    assert_eq!(bench.told(token), expected);
}

/// Guards against a refusal that waits for ever, or claims to know, while control is silent.
#[test]
fn a_refused_order_is_unknown_if_control_is_silent() {
    let mut bench = EntryBench::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    bench.advance(millis(2000));
    bench.take();
    let token = bench.order("a");
    bench.advance(millis(1100));
    assert_eq!(bench.told(token), unknown(ResponseReason::ControlUnavailable));
}

/// Guards against the outcome of another content: a key that was claimed with another one is a conflict.
#[test]
fn a_refused_order_with_another_content_is_a_conflict() {
    let mut bench = EntryBench::with_settings(1, EntrySettings::default(), sheet(0.001, 0.001));
    bench.advance(millis(2000));
    bench.take();
    let token = bench.order("a");
    let sent = bench.sent();
    let lookup = sent.iter().find_map(|message| match message {
        EntryMessage::Lookup { token, .. } => Some(*token),
        _ => None,
    });
    bench.control(ControlMessage::LookupAnswer {
        token: lookup.expect("a lookup"),
        verdict: LookupVerdict::Found(recorded(RequestOutcome::Complete, None)),
        fingerprint: Some(RequestFingerprint::of_parts([b"another".as_slice()])),
    });
    assert_eq!(bench.told(token), refused(ResponseReason::Conflict));
}
