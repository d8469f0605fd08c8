//! Guards against orders that run twice, and against outcomes that are told but are not true.

mod entry_support;

use std::collections::{BTreeMap, BTreeSet};

use entry_support::*;
use hickoryspan_core::entry::interface::*;
use hickoryspan_core::entry::orders::*;
use hickoryspan_core::entry::plan::*;
use hickoryspan_core::membership::ServiceKey;
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;
use rstest::rstest;

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

fn unknown(reason: ResponseReason) -> Option<Told> {
    Some((RequestOutcome::Unknown, Some(reason)))
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
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Granted);
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
    bench.control(ControlMessage::LookupAnswer { token, verdict: found });
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
/// that nobody knows.
#[test]
fn an_unanswered_claim_is_unknown_and_never_started() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.advance(millis(1500));
    assert_eq!(bench.told(token), unknown(ResponseReason::ControlUnavailable));
    bench.sent();
    verdict(&mut bench, token, ClaimVerdict::Granted);
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

/// Guards against a claim that was committed for nobody and stays open.
#[test]
fn an_abandoned_claim_that_is_found_open_is_settled() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.advance(millis(1500));
    assert!(bench.sent().iter().any(|message| matches!(message, EntryMessage::Lookup { .. })));
    let found = LookupVerdict::Found(open("e0", 1));
    bench.control(ControlMessage::LookupAnswer { token, verdict: found });
    assert_eq!(settles(&bench.sent()), [RequestOutcome::NotRun]);
}

/// Guards against `unknown` where it is certain that nothing was claimed.
#[test]
fn a_claim_that_was_refused_each_time_is_not_run() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    let end = bench.now.monotonic + millis(1000);
    while bench.now.monotonic < end {
        if claims(&bench.sent()) > 0 {
            verdict(&mut bench, token, ClaimVerdict::Unavailable);
        }
        bench.advance(millis(10));
    }
    assert_eq!(bench.told(token), refused(ResponseReason::ControlUnavailable));
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

/// Guards against two runs, or two answers, for requests with one key inside one entry.
#[test]
fn concurrent_duplicates_share_one_run() {
    let mut bench = EntryBench::ready(1);
    let first = bench.order("a");
    let second = bench.order("a");
    let other = bench.request(
        RequestKind::Order { request: id("a"), issued_at: WallTime(FULL_WALL) },
        |request| request.fingerprint = fingerprint(2),
    );
    assert_eq!(bench.told(other), refused(ResponseReason::Conflict));
    assert_eq!(claims(&bench.sent()), 1);
    verdict(&mut bench, first, ClaimVerdict::Granted);
    let (token, _) = bench.engine.script().orders[0].clone();
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert_eq!(started(&bench), 1);
    for waiter in [first, second] {
        let response = bench.response(waiter).expect("a response");
        assert_eq!(response.outcome, RequestOutcome::Complete);
        let has_part = !response.parts.is_empty();
        assert_eq!(has_part, waiter == token);
        assert_eq!(response.recorded_body.is_some(), waiter != token);
    }
}

/// Guards against orders that stop because their caller hung up.
#[test]
fn a_hangup_does_not_stop_an_order() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    bench.event(EntryEvent::Hangup(token));
    verdict(&mut bench, token, ClaimVerdict::Granted);
    bench.event(EntryEvent::Hangup(token));
    assert!(bench.engine.script().cancelled.is_empty());
    bench.report(EngineReport::Order(token, answered(AnswerStatus::Done)));
    assert_eq!(settles(&bench.sent()), [RequestOutcome::Complete]);
    bench.control(ControlMessage::Settled(claim_key("a")));
    assert!(bench.response(token).is_some(), "tells the driver to drop what it kept");
}

/// Guards against a known outcome that is withheld because control cannot record it.
#[test]
fn a_known_outcome_is_told_in_time_and_recorded_later() {
    let mut bench = EntryBench::ready(1);
    bench.answers = false;
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Granted);
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
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Granted);
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
    let expected = if is_refused { refused(ResponseReason::Malformed) } else { None };
    assert_eq!(bench.told(token), expected);
    assert_eq!(claims(&bench.sent()), usize::from(!is_refused));
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
    bench.control(ControlMessage::LookupAnswer { token, verdict: answer });
    bench.advance(millis(1100));
    assert_eq!(bench.told(token), expected);
}

/// Guards against `not_run` from a lookup that overtakes the claim of the same entry.
#[test]
fn a_lookup_of_an_order_in_this_entry_is_in_progress() {
    let mut bench = EntryBench::ready(1);
    bench.order("a");
    let token = lookup(&mut bench, "a");
    assert_eq!(bench.told(token), unknown(ResponseReason::InProgress));
}

/// Guards against `not_run` for an order that ran here, from an entry that is cut off now.
#[test]
fn a_cut_off_entry_still_knows_what_it_ran() {
    let mut bench = EntryBench::ready(1);
    let token = bench.order("a");
    verdict(&mut bench, token, ClaimVerdict::Granted);
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

/// Control's claim table, as the messages define it.
#[derive(Default)]
struct ClaimTable(BTreeMap<ClaimKey, ClaimState>);

impl ClaimTable {
    fn answer(&mut self, entry: usize, message: EntryMessage) -> Option<ControlMessage> {
        let own = open(&format!("e{entry}"), 1);
        match message {
            EntryMessage::Claim { token, key, .. } => {
                let verdict = match self.0.get(&key) {
                    Some(state) => ClaimVerdict::Existing(state.clone()),
                    None => {
                        self.0.insert(key, own);
                        ClaimVerdict::Granted
                    }
                };
                Some(ControlMessage::ClaimAnswer { token, verdict })
            }
            EntryMessage::Settle { key, outcome } => {
                if self.0.get(&key) == Some(&own) {
                    self.0.insert(key.clone(), ClaimState::Settled(outcome));
                }
                Some(ControlMessage::Settled(key))
            }
            EntryMessage::Lookup { token, key } => {
                let state = self.0.get(&key).cloned();
                let verdict = state.map_or(LookupVerdict::Absent, LookupVerdict::Found);
                Some(ControlMessage::LookupAnswer { token, verdict })
            }
            _ => None,
        }
    }

    /// The lease of an entry ended: nobody knows what became of its open orders.
    fn expire(&mut self, entry: usize) {
        let own = open(&format!("e{entry}"), 1);
        for state in self.0.values_mut().filter(|state| **state == own) {
            *state = recorded(RequestOutcome::Unknown, None);
        }
    }
}

enum Transit {
    ToControl(EntryMessage),
    ToEntry(ControlMessage),
}

type BookSender<'a> = &'a mut dyn FnMut(EntryMessage) -> bool;

/// Two entries, one claim table, and a network that loses and reorders.
struct OrderModel {
    now: MonotonicTime,
    books: Vec<OrderBook>,
    table: ClaimTable,
    network: Vec<(usize, Transit)>,
    running: Vec<(usize, QueryToken, ClaimKey)>,
    /// The entry that started an order.
    started: BTreeMap<ClaimKey, usize>,
    /// Started orders of which no target ran anything.
    spared: BTreeSet<ClaimKey>,
    may_start: [bool; 2],
    keys: BTreeMap<QueryToken, ClaimKey>,
    waiting: BTreeSet<QueryToken>,
}

impl OrderModel {
    fn new() -> Self {
        let book =
            |entry| OrderBook::new(OrderSettings::default(), id(entry), IncarnationNumber(1));
        Self {
            now: MonotonicTime(1),
            books: vec![book("e0"), book("e1")],
            table: ClaimTable::default(),
            network: Vec::new(),
            running: Vec::new(),
            started: BTreeMap::new(),
            spared: BTreeSet::new(),
            may_start: [true; 2],
            keys: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    fn act(
        &mut self,
        entry: usize,
        act: impl FnOnce(&mut OrderBook, MonotonicTime, BookSender<'_>, &mut Vec<OrderEffect>),
    ) {
        let mut effects = Vec::new();
        let network = &mut self.network;
        let mut send = |message| {
            network.push((entry, Transit::ToControl(message)));
            true
        };
        act(&mut self.books[entry], self.now, &mut send, &mut effects);
        for effect in effects {
            match effect {
                OrderEffect::Start(token, _) => {
                    let key = self.keys[&token].clone();
                    assert!(self.waiting.contains(&token), "the driver dropped the body");
                    let former = self.started.insert(key.clone(), entry);
                    assert!(former.is_none(), "{key:?} started twice");
                    self.running.push((entry, token, key));
                }
                OrderEffect::Reply(token, reply) => self.check_reply(entry, token, &reply),
            }
        }
    }

    /// Every request gets one response, and it must be true. A refusal without control's decision speaks
    /// only about this entry, because an earlier request may have reached another one.
    fn check_reply(&mut self, entry: usize, token: QueryToken, reply: &OrderReply) {
        assert!(self.waiting.remove(&token), "answered twice");
        let key = &self.keys[&token];
        let runner = self.started.get(key).filter(|_| !self.spared.contains(key));
        let is_refusal = reply.reason == Some(ResponseReason::ControlUnavailable);
        match reply.outcome {
            RequestOutcome::NotRun => {
                let is_true = runner.is_none() || (is_refusal && runner != Some(&entry));
                assert!(is_true, "{key:?} has run, but the caller was told not_run");
            }
            RequestOutcome::Complete => assert!(runner.is_some(), "{key:?} has not run"),
            _ => {}
        }
    }

    fn submit(&mut self, entry: usize, token: QueryToken, name: &str) {
        let key = claim_key(name);
        self.keys.insert(token, key.clone());
        self.waiting.insert(token);
        let request = OrderRequest {
            key,
            fingerprint: fingerprint(1),
            service: ServiceKey { tenant: id("quindio"), service: id("print") },
            deadline: self.now + millis(1000),
        };
        self.act(entry, |book, now, send, effects| {
            book.submit(now, token, request, send, effects);
        });
    }

    /// One message in transit arrives, or is lost; control refuses some claims.
    fn deliver(&mut self, index: usize, fate: u64) {
        if self.network.is_empty() {
            return;
        }
        let (entry, transit) = self.network.remove(index % self.network.len());
        let may_start = self.may_start[entry];
        match transit {
            _ if fate < 2 => {}
            Transit::ToControl(EntryMessage::Claim { token, .. }) if fate == 2 => {
                let verdict = ClaimVerdict::Unavailable;
                let answer = ControlMessage::ClaimAnswer { token, verdict };
                self.network.push((entry, Transit::ToEntry(answer)));
            }
            Transit::ToControl(message) => {
                let answer = self.table.answer(entry, message);
                self.network.extend(answer.map(|answer| (entry, Transit::ToEntry(answer))));
            }
            Transit::ToEntry(message) => {
                self.act(entry, |book, now, send, effects| match message {
                    ControlMessage::ClaimAnswer { token, verdict } => {
                        book.claim_answered(now, token, verdict, may_start, send, effects);
                    }
                    ControlMessage::Settled(key) => book.settled(&key, effects),
                    ControlMessage::LookupAnswer { token, verdict } => {
                        book.lookup_answered(now, token, verdict, send, effects);
                    }
                    _ => {}
                })
            }
        }
    }

    fn end_run(&mut self, index: usize, kind: u64) {
        if self.running.is_empty() {
            return;
        }
        let (entry, token, key) = self.running.remove(index % self.running.len());
        let result = match kind {
            0 => answered(AnswerStatus::Done),
            1 => answered(AnswerStatus::Shed),
            2 => OrderResult::NotSent(ResponseReason::NoTarget),
            _ => OrderResult::Lost { target: id("t1") },
        };
        if matches!(kind, 1 | 2) {
            self.spared.insert(key);
        }
        self.act(entry, |book, now, send, effects| {
            book.run_ended(now, token, result, send, effects);
        });
    }

    fn pass(&mut self, time: u64) {
        self.now = self.now + millis(time);
        for entry in 0..2 {
            self.act(entry, |book, now, send, effects| book.advance(now, send, effects));
        }
    }
}

/// Guards against any order of losses, delays and resends in which an order runs twice, a response is
/// untrue, missing or repeated.
#[test]
fn no_loss_or_delay_runs_an_order_twice() {
    check_steps(13, 2000, 26, 120, |steps| {
        let mut model = OrderModel::new();
        for (token, (kind, index, value)) in steps.into_iter().enumerate() {
            let entry = index % 2;
            match kind {
                0..4 => {
                    model.submit(entry, QueryToken(token as u64), ["a", "b"][value as usize % 2]);
                }
                4..18 => model.deliver(index, value % 10),
                18..21 => model.end_run(index, value % 4),
                21..24 => model.pass(value % 1500),
                24 => model.act(entry, |book, now, send, effects| {
                    book.reconnected(now, send, effects);
                }),
                _ => {
                    model.table.expire(entry);
                    model.may_start[entry] = !model.may_start[entry];
                }
            }
        }
        model.pass(2000);
        assert!(model.waiting.is_empty(), "requests without a response");
    });
}
