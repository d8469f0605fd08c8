//! Runs one request over its shards: performs the steps of the gather machine with real attempts and timers.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hickoryspan_core::gateway::fanout::{FanoutMachine, FanoutStep, LaunchReason, ShardIndex};
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::outcomes::AttemptFailure;
use hickoryspan_core::gateway::poison::RunCounts;
use hickoryspan_core::gateway::relays::RetryGate;
use hickoryspan_core::gateway::selection::ChosenTarget;
use hickoryspan_core::types::{MonotonicTime, ServiceId, TargetId};
use hickoryspan_runtime::http_client::HttpAnswer;
use tokio::sync::mpsc;

use crate::attempt::{AttemptReport, AttemptResult, GatewayJob, run_attempt};
use crate::fanout_links::GroupIndex;
use crate::fanout_messages::FanoutBatch;
use crate::gateway_state::GatewayState;
use crate::relayed_groups::{RelayNews, RelayedGroups};

/// Time for the links to send cancellations.
const CANCEL_PAUSE: Duration = Duration::from_millis(1);
/// Targets asked for one shard of one request, whether or not they ran it; bounds the work for a service that sheds.
const MAX_TRIES: usize = 5;

type AttemptFuture = Pin<Box<dyn Future<Output = AttemptReport> + Send>>;

/// What an answer of a target must be to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerRule {
    /// Any final answer.
    Any,
    /// Only a success: a failure is not a part.
    SuccessOnly,
}

/// How the run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// There are enough answers.
    Answered,
    /// Enough answers are out of reach.
    Failed,
    /// The time is up.
    TimedOut,
}

/// The answer of one shard.
pub(crate) enum ShardAnswer {
    /// As the target sent it.
    Whole(HttpAnswer),
    /// Its stamp; its records are among the relayed ones.
    Relayed(Arc<str>),
}

/// What a run on behalf of another entry reports while it runs.
pub(crate) enum RunEvent {
    Part(ShardIndex, HttpAnswer),
    /// A second target is about to be asked, so that the first batch must leave.
    Repeats,
}

/// Takes the events of a run, which then leaves no answers in its outcome.
pub(crate) struct RunSink {
    pub(crate) events: mpsc::UnboundedSender<RunEvent>,
    pub(crate) gate: Arc<Mutex<RetryGate>>,
}

impl RunSink {
    /// Whether a second target may be asked.
    fn allows_repeat(&self, now: MonotonicTime) -> bool {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        let was_open = gate.is_open();
        let is_open = gate.open(now);
        if is_open && !was_open {
            self.send(RunEvent::Repeats);
        }
        is_open
    }

    fn send(&self, event: RunEvent) {
        // The receiver ends only together with the run.
        let _ = self.events.send(event);
    }
}

/// The answers of a run.
pub(crate) struct RunOutcome {
    pub(crate) end: RunEnd,
    /// One for each shard that answered.
    pub(crate) answers: Vec<Option<ShardAnswer>>,
    /// The greatest records of the parts that other entries sent.
    pub(crate) relayed_records: Vec<Bytes>,
    /// Shards to which nothing was sent.
    pub(crate) unsent: Vec<ShardIndex>,
    /// Targets that were lost, if none answered.
    pub(crate) lost: u32,
    /// Groups that other entries sent.
    pub(crate) relayed_groups: usize,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    /// A target's own failure, if it was the last thing heard.
    pub(crate) failure_answer: Option<HttpAnswer>,
    /// The attempts that were sent.
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(crate) last_failure: Option<AttemptFailure>,
}

#[derive(Default)]
struct ShardTries {
    tried: Vec<TargetId>,
    // Attempts that reached nobody, so that the next one is not a repetition for the service.
    unreached: bool,
    tries: usize,
}

struct GatherRun {
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    services: Arc<[ServiceId]>,
    rule: AnswerRule,
    machine: FanoutMachine,
    shards: Vec<ShardTries>,
    pending: FuturesUnordered<AttemptFuture>,
    outcome: RunOutcome,
    relayed: RelayedGroups,
    sink: Option<RunSink>,
    answered: u32,
    lost: u32,
}

/// Runs the request; dropping the future cancels every attempt.
pub(crate) async fn run_gather(
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    services: Arc<[ServiceId]>,
    machine: FanoutMachine,
    rule: AnswerRule,
    relayed: RelayedGroups,
    sink: Option<RunSink>,
) -> RunOutcome {
    let shards = services.iter().map(|_| ShardTries::default()).collect();
    let outcome = RunOutcome {
        end: RunEnd::Failed,
        answers: services.iter().map(|_| None).collect(),
        relayed_records: Vec::new(),
        unsent: Vec::new(),
        lost: 0,
        relayed_groups: relayed.count(),
        may_have_run: false,
        failure_answer: None,
        attempts: 0,
        hedges: 0,
        last_failure: None,
    };
    let pending = FuturesUnordered::new();
    let run = GatherRun {
        state,
        job,
        services,
        rule,
        machine,
        shards,
        pending,
        outcome,
        relayed,
        sink,
        answered: 0,
        lost: 0,
    };
    run.finish().await
}

impl GatherRun {
    async fn finish(mut self) -> RunOutcome {
        for shard in self.relayed.shards() {
            self.outcome.may_have_run = true;
            self.machine.note_relayed(shard);
        }
        loop {
            let now = self.state.now();
            match self.machine.next_step(now) {
                FanoutStep::Launch(shard, reason) => self.launch(shard, reason),
                FanoutStep::Answer => {
                    self.outcome.end = RunEnd::Answered;
                    break;
                }
                FanoutStep::Fail => {
                    let late = now >= self.job.give_up_at;
                    self.outcome.end = if late { RunEnd::TimedOut } else { RunEnd::Failed };
                    break;
                }
                FanoutStep::Wait(until) => {
                    let until = self.relayed.next_deadline().map_or(until, |at| at.min(until));
                    let until = self.state.clock.instant(until);
                    tokio::select! {
                        biased;
                        Some(report) = self.pending.next(), if !self.pending.is_empty() => {
                            self.take_report(report);
                        }
                        Some(event) = self.relayed.next_event(), if self.relayed.is_open() => {
                            if let Some(news) = self.relayed.take_event(event) {
                                self.take_news(news);
                            }
                        }
                        () = tokio::time::sleep_until(until.into()) => {
                            self.relayed.read_arrived(self.state.now()).await;
                            self.end_silent_groups().await;
                        }
                    }
                }
            }
        }
        self.outcome.unsent = self.find_unsent();
        if !self.pending.is_empty() {
            // What is cancelled here may run all the same.
            self.outcome.may_have_run = true;
        }
        let now = self.state.now();
        let run = RunCounts { answered: self.answered, lost: self.lost };
        self.state.decisions().poison.note_run(now, self.job.fingerprint, run);
        self.outcome.lost = if self.answered == 0 { self.lost } else { 0 };
        self.outcome
    }

    fn find_unsent(&self) -> Vec<ShardIndex> {
        let tries = self.shards.iter().enumerate();
        tries.filter(|(_, tries)| tries.tries == 0).map(|(index, _)| ShardIndex(index)).collect()
    }

    async fn end_silent_groups(&mut self) {
        while let Some(news) = self.relayed.take_arrived() {
            self.take_news(news);
        }
        let now = self.state.now();
        let mut ended = Vec::new();
        while let Some(index) = self.relayed.find_silent(now) {
            // What this entry cannot send itself is better waited for.
            if self.can_repeat(now, index) {
                ended.push(self.relayed.end_silent(now, index));
            } else {
                self.relayed.wait_longer(now, index);
            }
        }
        if ended.is_empty() {
            return;
        }
        // The cancellations leave before this entry is busy with the shards itself.
        tokio::time::sleep(CANCEL_PAUSE).await;
        for news in ended {
            self.take_news(news);
        }
    }

    /// Whether the budgets allow most of a group's shards to be sent to again.
    fn can_repeat(&self, now: MonotonicTime, index: GroupIndex) -> bool {
        let mut decisions = self.state.decisions();
        let entries = decisions.entries;
        let shards = self.relayed.shards_of(index);
        let has_room = |shard: &&ShardIndex| {
            decisions.budget(&self.state.settings, &self.services[shard.0]).has_room(now, entries)
        };
        shards.iter().filter(has_room).count() * 2 > shards.len()
    }

    fn take_news(&mut self, news: RelayNews) {
        match news {
            RelayNews::Parts(shards, batch) => self.take_batch(&shards, batch),
            RelayNews::Silent(shards) => {
                for shard in shards {
                    self.machine.note_failed(shard, true);
                }
            }
            RelayNews::LostLater(shards) => {
                for shard in shards {
                    self.machine.note_abandoned(shard);
                }
            }
        }
    }

    fn take_batch(&mut self, shards: &[ShardIndex], batch: FanoutBatch) {
        for part in batch.parts {
            let Some(shard) = shards.get(part.shard) else { continue };
            self.answered += 1;
            if self.machine.note_part(*shard) {
                self.outcome.answers[shard.0] = Some(ShardAnswer::Relayed(part.stamp));
            }
        }
        if !batch.records.is_empty() {
            self.outcome.relayed_records.push(batch.records);
        }
        if !batch.last {
            return;
        }
        self.lost += batch.lost;
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        for (shard, queue) in shards.iter().zip(batch.queues) {
            decisions.selector.note_queue(now, &self.services[shard.0], queue.map(f64::from));
        }
        drop(decisions);
        for shard in batch.unsent.iter().filter_map(|index| shards.get(*index)) {
            self.shards[shard.0].unreached = true;
            self.machine.note_failed(*shard, false);
        }
        let is_unsent = |index: usize| batch.unsent.contains(&index);
        for (index, shard) in shards.iter().enumerate() {
            if self.outcome.answers[shard.0].is_none() && !is_unsent(index) {
                self.machine.note_abandoned(*shard);
            }
        }
    }

    fn launch(&mut self, shard: ShardIndex, reason: LaunchReason) {
        let now = self.state.now();
        let service = self.services[shard.0].clone();
        let tries = &mut self.shards[shard.0];
        let mut decisions = self.state.decisions();
        let entries = decisions.entries;
        if reason == LaunchReason::Hedge
            && let Some(slow) = tries.tried.last()
        {
            decisions.selector.note_overdue(now, slow);
        }
        let is_extra = reason != LaunchReason::First && !tries.unreached;
        if is_extra && !self.sink.as_ref().is_none_or(|sink| sink.allows_repeat(now)) {
            return self.machine.note_unsent(shard, true);
        }
        let useful = reason != LaunchReason::Hedge
            || decisions.selector.has_alternative(now, &service, &tries.tried);
        if tries.tries >= MAX_TRIES {
            return self.machine.note_unsent(shard, true);
        }
        if !useful {
            return self.machine.postpone_hedge(now, shard);
        }
        let chosen = decisions.selector.choose(now, &service, &tries.tried);
        let again = chosen.is_none() && reason == LaunchReason::Retry && !tries.unreached;
        let chosen = if again { decisions.selector.choose(now, &service, &[]) } else { chosen };
        let Some(chosen) = chosen else {
            return self.machine.note_unsent(shard, true);
        };
        let budget = decisions.budget(&self.state.settings, &service);
        if reason == LaunchReason::First {
            budget.note_request(now);
        } else if is_extra && !budget.try_take(now, entries) {
            decisions.selector.release(&chosen.target);
            metrics::counter!("hickoryspan_gateway_budget_refusals_total").increment(1);
            return self.machine.note_unsent(shard, false);
        }
        drop(decisions);
        tries.tried.push(chosen.target.clone());
        tries.tries += 1;
        tries.unreached = false;
        self.outcome.attempts += 1;
        self.outcome.hedges += u32::from(reason == LaunchReason::Hedge);
        self.machine.note_sent(now, shard);
        let (state, job) = (Arc::clone(&self.state), Arc::clone(&self.job));
        self.pending.push(Box::pin(run_attempt(state, job, service, shard, chosen)));
    }

    fn take_report(&mut self, report: AttemptReport) {
        let AttemptReport { shard, target, result } = report;
        match result {
            AttemptResult::Answer(answer)
                if self.rule == AnswerRule::Any || answer.status.is_success() =>
            {
                self.outcome.may_have_run = true;
                self.answered += 1;
                if self.machine.note_part(shard) {
                    self.keep_answer(shard, answer);
                }
            }
            AttemptResult::Answer(answer) => {
                self.note_failure(shard, AttemptFailure::Failed, Some(answer));
            }
            AttemptResult::Failure(failure, answer) => {
                self.log_failure(&target, failure);
                self.note_failure(shard, failure, answer);
            }
        }
    }

    fn keep_answer(&mut self, shard: ShardIndex, answer: HttpAnswer) {
        match &self.sink {
            Some(sink) => sink.send(RunEvent::Part(shard, answer)),
            None => self.outcome.answers[shard.0] = Some(ShardAnswer::Whole(answer)),
        }
    }

    fn log_failure(&self, target: &ChosenTarget, failure: AttemptFailure) {
        if !self.state.admits_line(LogPriority::Important) {
            return;
        }
        spdlog::info!(
            "attempt failed",
            kv: {
                request: = self.job.request_text(),
                route: = self.job.route.name,
                target: = target.target,
                address: = target.address,
                failure: = failure.as_str(),
                after_ms: = self.state.now().since(self.job.received_at).as_millis()
            }
        );
    }

    fn note_failure(
        &mut self,
        shard: ShardIndex,
        failure: AttemptFailure,
        answer: Option<HttpAnswer>,
    ) {
        let ran = !failure.is_not_run();
        self.outcome.may_have_run |= ran;
        self.outcome.last_failure = Some(failure);
        if answer.is_some() {
            self.outcome.failure_answer = answer;
        }
        self.lost += u32::from(failure == AttemptFailure::Lost);
        self.shards[shard.0].unreached = failure == AttemptFailure::Unreachable;
        self.machine.note_failed(shard, ran);
        metrics::counter!("hickoryspan_gateway_attempt_failures_total", "reason" => failure.as_str())
            .increment(1);
    }
}
