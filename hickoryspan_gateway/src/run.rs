//! Executes one request over its shards: carries out the steps of [`FanoutMachine`] with real attempts and timers.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hickoryspan_core::gateway::fanouts::fanout::{
    FanoutMachine, FanoutStep, LaunchReason, ShardIndex,
};
use hickoryspan_core::gateway::fanouts::relays::RetryVerdict;
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::targets::loss_witness::{LossVerdict, LossWitness};
use hickoryspan_core::gateway::targets::outcomes::AttemptFailure;
use hickoryspan_core::gateway::targets::poison::{NoticedCrash, SuspicionChange};
use hickoryspan_core::gateway::targets::selection::{ChosenTarget, PlacedRequest};
use hickoryspan_core::gateway::targets::send_check::SendBarrier;
use hickoryspan_core::gateway::targets::work_left::WorkTicket;
use hickoryspan_core::types::{MonotonicTime, ServiceId, TargetId};
use hickoryspan_runtime::http_client::HttpAnswer;

use crate::attempt::{AttemptReport, AttemptResult, GatewayJob, PlannedAttempt, run_attempt};
use crate::expected_work::{AttemptWork, ExpectedWork, expect_work};
use crate::fanout_links::GroupIndex;
use crate::fanout_messages::FanoutBatch;
use crate::gateway_state::GatewayState;
use crate::relayed_groups::{RelayProgress, RelayedGroups};
use crate::run_outcome::{
    AnswerRule, MissingShard, RunEnd, RunEvent, RunOutcome, RunSink, ShardAnswer,
};
use crate::target_pool::ConnectionNumber;

/// Time that the links get to send queued cancellations.
const CANCEL_FLUSH_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of times that one request is sent to one shard, including sends that the target did not run. Bounds
/// the work when a service sheds load.
const MAX_SHARD_SENDS: usize = 5;
/// Interval in which a run for another entry looks for the grant of second attempts.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Smallest number of attempts of one request whose start is measured. Fewer take too little time.
const MIN_LAG_ATTEMPTS: u32 = 8;
/// Maximum number of missing shards that a log line names.
const MAX_LOGGED_SHARDS: usize = 4;

type AttemptFuture = Pin<Box<dyn Future<Output = AttemptReport> + Send>>;

#[derive(Default)]
struct ShardAttempts {
    tried: Vec<TargetId>,
    // Whether the last attempt reached no target. The next one then needs no retry budget, because the service has
    // received nothing.
    unreached: bool,
    sends: usize,
    // Number of sends when the last target was noted as overdue.
    overdue_sends: usize,
    // Connections on which the request was sent.
    connections: Vec<ConnectionNumber>,
    // The last attempt as the selector counts it, if targets are chosen by work.
    ticket: Option<WorkTicket>,
}

struct FanoutRun {
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    services: Arc<[ServiceId]>,
    rule: AnswerRule,
    machine: FanoutMachine,
    shards: Vec<ShardAttempts>,
    pending: FuturesUnordered<AttemptFuture>,
    outcome: RunOutcome,
    relayed: RelayedGroups,
    sink: Option<RunSink>,
    witness: LossWitness,
    work: Option<ExpectedWork>,
    // Whether the suspicion of this request was noted before its end.
    suspected: bool,
    // The longest time between the launch of an attempt and its start.
    longest_start_delay: Duration,
}

/// Runs the request. Dropping the future cancels every attempt.
pub(crate) async fn run_fanout(
    state: Arc<GatewayState>,
    job: Arc<GatewayJob>,
    services: Arc<[ServiceId]>,
    machine: FanoutMachine,
    rule: AnswerRule,
    relayed: RelayedGroups,
    sink: Option<RunSink>,
) -> RunOutcome {
    let shards = services.iter().map(|_| ShardAttempts::default()).collect();
    let witness = LossWitness::new(services.len());
    let mut outcome = RunOutcome::new(services.len(), relayed.count());
    let work = expect_work(&state, &job);
    if let Some(work) = &work {
        work.record_metrics(&state);
        outcome.work.estimate = Some(work.estimate);
    }
    let pending = FuturesUnordered::new();
    let run = FanoutRun {
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
        witness,
        work,
        suspected: false,
        longest_start_delay: Duration::ZERO,
    };
    run.run_to_end().await
}

impl FanoutRun {
    async fn run_to_end(mut self) -> RunOutcome {
        for shard in self.relayed.shards() {
            self.outcome.may_have_run = true;
            self.machine.note_relayed(shard);
        }
        let state = Arc::clone(&self.state);
        let finish = state.finish.cancelled();
        tokio::pin!(finish);
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
                            self.handle_report(report);
                        }
                        Some(event) = self.relayed.next_event(), if self.relayed.is_open() => {
                            if let Some(progress) = self.relayed.handle_event(event) {
                                self.apply_progress(progress);
                            }
                        }
                        () = finish.as_mut() => {
                            self.outcome.end = match self.machine.has_enough() {
                                true => RunEnd::Answered,
                                false => RunEnd::Stopped,
                            };
                            break;
                        }
                        () = tokio::time::sleep_until(until.into()) => {
                            self.relayed.await_received_batches(self.state.now()).await;
                            self.end_timed_out_groups().await;
                        }
                    }
                }
            }
        }
        self.outcome.unsent = self.unsent_shards();
        if self.sink.is_none() {
            self.outcome.missing = self.missing_shards();
        }
        if !self.pending.is_empty() {
            // Targets may still run the attempts that are cancelled here.
            self.outcome.may_have_run = true;
        }
        let now = self.state.now();
        self.observe_lag(now);
        // A run for another entry covers some of the shards only. The other entry knows whether any target answered.
        if self.sink.is_none() {
            self.note_crashes(now);
        }
        self.outcome
    }

    fn note_crashes(&self, now: MonotonicTime) {
        let crashes = self.outcome.crashes.iter().cloned();
        let fingerprint = self.job.fingerprint;
        let change = self.state.decisions().poison.note_run(
            now,
            fingerprint,
            self.witness.has_answer(),
            crashes,
        );
        let crashes = match change {
            SuspicionChange::None => return,
            SuspicionChange::Suspected(crashes) => crashes,
            SuspicionChange::Cleared => 0,
        };
        self.state.trigger_report();
        if self.state.admits_log_line(LogPriority::Important) {
            spdlog::info!(
                "request suspicion changed",
                kv: {
                    request: = self.job.request_text(),
                    fingerprint: = fingerprint,
                    crashes: = crashes
                }
            );
        }
    }

    /// Records the time that it took to start one attempt, as a measure of the processor time that this process gets.
    fn observe_lag(&self, now: MonotonicTime) {
        let started = self.outcome.attempts - self.outcome.hedges;
        if started >= MIN_LAG_ATTEMPTS {
            self.state.decisions().lag.observe(now, self.longest_start_delay / started);
        }
    }

    fn unsent_shards(&self) -> Vec<ShardIndex> {
        let attempts = self.shards.iter().enumerate();
        attempts
            .filter(|(_, attempts)| attempts.sends == 0)
            .map(|(index, _)| ShardIndex(index))
            .collect()
    }

    fn missing_shards(&self) -> Vec<MissingShard> {
        let answers = self.outcome.answers.iter().enumerate();
        let missing = answers.filter(|(_, answer)| answer.is_none()).take(MAX_LOGGED_SHARDS);
        missing
            .map(|(index, _)| MissingShard {
                service: self.services[index].clone(),
                target: self.shards[index].tried.last().cloned(),
            })
            .collect()
    }

    async fn end_timed_out_groups(&mut self) {
        while let Some(progress) = self.relayed.next_received() {
            self.apply_progress(progress);
        }
        let now = self.state.now();
        let mut ended = Vec::new();
        while let Some(index) = self.relayed.find_timed_out(now) {
            // Without retry budget this entry cannot send to these shards itself, so it keeps waiting for the other
            // entry.
            if self.has_resend_budget(now, index) {
                ended.push(self.relayed.end_timed_out(now, index));
            } else {
                self.relayed.note_timeout(now, index);
            }
        }
        if ended.is_empty() {
            return;
        }
        // Lets the links send the cancellations before the new attempts keep this thread busy.
        tokio::time::sleep(CANCEL_FLUSH_DELAY).await;
        for progress in ended {
            self.apply_progress(progress);
        }
    }

    /// Returns whether the retry budgets cover more than half of the shards of a group.
    fn has_resend_budget(&self, now: MonotonicTime, index: GroupIndex) -> bool {
        let mut decisions = self.state.decisions();
        let shards = self.relayed.shards_of(index);
        let has_room = |shard: &&ShardIndex| {
            decisions.has_extra_room(now, &self.state.settings, &self.services[shard.0])
        };
        shards.iter().filter(has_room).count() * 2 > shards.len()
    }

    fn apply_progress(&mut self, progress: RelayProgress) {
        match progress {
            RelayProgress::Parts { shards, batch, may_resend } => {
                self.handle_batch(&shards, batch, may_resend);
            }
            RelayProgress::NoBatch(shards) => {
                for shard in shards {
                    self.machine.note_failed(shard, true);
                }
            }
            RelayProgress::NotBegun(shards) => {
                for shard in shards {
                    self.note_not_begun(shard);
                }
            }
            RelayProgress::LostAfterBatch(shards) => {
                for shard in shards {
                    self.machine.note_abandoned(shard);
                }
            }
        }
    }

    /// Records that another entry has not sent to a shard, so that this entry sends to it without retry budget.
    fn note_not_begun(&mut self, shard: ShardIndex) {
        self.shards[shard.0].unreached = true;
        self.machine.note_failed(shard, false);
    }

    fn handle_batch(&mut self, shards: &[ShardIndex], batch: FanoutBatch, may_resend: bool) {
        for part in batch.parts {
            let Some(shard) = shards.get(part.shard) else { continue };
            self.witness.note_answer();
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
        let crashes = batch.crashes.into_iter();
        self.outcome.crashes.extend(crashes.map(|crash| NoticedCrash { crash, lost_at: None }));
        let now = self.state.now();
        let mut decisions = self.state.decisions();
        for (shard, queue) in shards.iter().zip(batch.queues) {
            decisions.selector.note_queue(now, &self.services[shard.0], queue.map(f64::from));
        }
        for process in &batch.leaving {
            decisions.selector.notices_mut().note_leaving(now, process);
        }
        drop(decisions);
        for shard in batch.unsent.iter().filter_map(|index| shards.get(*index)) {
            self.note_not_begun(*shard);
        }
        let is_unsent = |index: usize| batch.unsent.contains(&index);
        for (index, shard) in shards.iter().enumerate() {
            if self.outcome.answers[shard.0].is_some() || is_unsent(index) {
                continue;
            }
            match may_resend {
                true => self.machine.note_failed(*shard, true),
                false => self.machine.note_abandoned(*shard),
            }
        }
    }

    fn launch(&mut self, shard: ShardIndex, reason: LaunchReason) {
        let now = self.state.now();
        let service = self.services[shard.0].clone();
        if reason != LaunchReason::First {
            match self.witness.verdict(now) {
                LossVerdict::Retry => {}
                LossVerdict::Wait(delay) => {
                    return self.machine.postpone_attempt(now, shard, delay);
                }
                LossVerdict::Suspect => {
                    self.suspect(now);
                    return self.machine.note_unsent(shard, true);
                }
            }
        }
        let attempts = &mut self.shards[shard.0];
        let mut decisions = self.state.decisions();
        if reason == LaunchReason::First {
            decisions.selector.note_request(now, &service);
        }
        // A hedge that is due again says nothing new about the target.
        if reason == LaunchReason::Hedge
            && attempts.overdue_sends < attempts.sends
            && let Some(overdue) = attempts.tried.last()
        {
            attempts.overdue_sends = attempts.sends;
            decisions.selector.note_overdue(now, overdue);
        }
        let is_extra = reason != LaunchReason::First && !attempts.unreached;
        if reason != LaunchReason::First
            && decisions.poison.is_condemned(now, &self.job.fingerprint)
        {
            return self.machine.note_unsent(shard, true);
        }
        if reason == LaunchReason::Hedge
            && let (Some(work), Some(ticket)) = (&self.work, attempts.ticket)
            && decisions.selector.has_alternative(now, &service, &attempts.tried)
            && !decisions.selector.hedge_pays(
                now,
                &service,
                &attempts.tried,
                &work.estimate,
                ticket,
            )
        {
            metrics::counter!("hickoryspan_gateway_hedges_withheld_total").increment(1);
            return self.machine.reconsider_hedge(now, shard);
        }
        let sink = self.sink.as_ref().filter(|_| is_extra);
        match sink.map_or(RetryVerdict::Allowed, |sink| sink.retry_verdict(now)) {
            RetryVerdict::Allowed => {}
            RetryVerdict::Ask | RetryVerdict::Wait => {
                return self.machine.postpone_attempt(now, shard, GRANT_POLL_INTERVAL);
            }
            RetryVerdict::Refused => return self.machine.note_unsent(shard, true),
        }
        let can_hedge = reason != LaunchReason::Hedge
            || decisions.selector.has_alternative(now, &service, &attempts.tried);
        if attempts.sends >= MAX_SHARD_SENDS {
            return self.machine.note_unsent(shard, true);
        }
        if !can_hedge {
            return self.machine.postpone_hedge(now, shard);
        }
        let estimate = self.work.as_ref().map(|work| &work.estimate);
        let selector = &mut decisions.selector;
        let placed = selector.choose_placed(now, &service, &attempts.tried, estimate);
        let allow_tried = placed.is_none() && reason == LaunchReason::Retry && !attempts.unreached;
        let placed = match allow_tried {
            true => selector.choose_placed(now, &service, &[], estimate),
            false => placed,
        };
        let Some(PlacedRequest { target: chosen, placement }) = placed else {
            return self.machine.note_unsent(shard, true);
        };
        let attempt_work = placement.zip(self.work.as_ref()).map(|(placement, work)| AttemptWork {
            ticket: placement.ticket,
            traits: Arc::clone(&work.traits),
        });
        let settings = &self.state.settings;
        if reason == LaunchReason::First {
            decisions.budget(settings, &service).note_request(now);
        } else if is_extra && !decisions.try_take_extra(now, settings, &service) {
            decisions.selector.release(&chosen.target);
            if let Some(AttemptWork { ticket, traits }) = &attempt_work {
                decisions.selector.end_work(now, &chosen.target, *ticket, traits, None);
            }
            metrics::counter!("hickoryspan_gateway_budget_refusals_total").increment(1);
            return match reason {
                LaunchReason::Hedge => self.machine.note_hedge_refused(now, shard),
                _ => self.machine.note_unsent(shard, false),
            };
        }
        drop(decisions);
        if let Some(placement) = placement {
            let reason = placement.reason.as_str();
            metrics::counter!("hickoryspan_gateway_target_choices_total", "reason" => reason)
                .increment(1);
            attempts.ticket = Some(placement.ticket);
            self.outcome.work.placement = Some(placement);
        }
        attempts.tried.push(chosen.target.clone());
        attempts.sends += 1;
        attempts.unreached = false;
        self.outcome.attempts += 1;
        self.outcome.hedges += u32::from(reason == LaunchReason::Hedge);
        self.machine.note_sent(now, shard);
        let planned = PlannedAttempt {
            service,
            shard,
            target: chosen,
            work: attempt_work,
            avoided: attempts.connections.clone(),
            launched_at: now,
        };
        let (state, job) = (Arc::clone(&self.state), Arc::clone(&self.job));
        self.pending.push(Box::pin(run_attempt(state, job, planned)));
    }

    fn handle_report(&mut self, report: AttemptReport) {
        let AttemptReport { shard, target, start_delay, connection, result } = report;
        self.longest_start_delay = self.longest_start_delay.max(start_delay);
        self.shards[shard.0].connections.extend(connection.map(|used| used.number));
        match result {
            AttemptResult::Answer(answer)
                if self.rule == AnswerRule::Any || answer.status.is_success() =>
            {
                self.outcome.may_have_run = true;
                self.witness.note_answer();
                if self.machine.note_part(shard) {
                    self.record_answer(shard, answer);
                }
            }
            AttemptResult::Answer(answer) => {
                self.note_failure(shard, AttemptFailure::Failed, Some(answer));
            }
            AttemptResult::Failure(failure, answer) => {
                self.log_failure(&target, failure);
                if let AttemptFailure::Withheld(SendBarrier::Restarted | SendBarrier::Moved) =
                    failure
                {
                    // The same target may be chosen again, as it is now.
                    self.shards[shard.0].tried.retain(|tried| *tried != target.target);
                }
                if let Some(used) = connection.filter(|_| failure == AttemptFailure::Lost) {
                    self.note_crash(&target, used.connected_at);
                }
                self.note_failure(shard, failure, answer);
            }
        }
    }

    /// Makes the suspicion known before the request ends, so that no entry sends it on meanwhile.
    fn suspect(&mut self, now: MonotonicTime) {
        // Only the entry that has the whole request knows whether any target answered.
        if self.sink.is_none() && !std::mem::replace(&mut self.suspected, true) {
            self.note_crashes(now);
        }
    }

    fn note_crash(&mut self, target: &ChosenTarget, connected_at: MonotonicTime) {
        let now = self.state.now();
        let decisions = self.state.decisions();
        let crash = decisions.poison.identify_crash(&target.process(), connected_at);
        let domain = decisions.selector.domain_of(&target.target).cloned();
        drop(decisions);
        if let Some(domain) = domain {
            self.witness.note_loss(now, target.target.clone(), domain);
        }
        self.outcome.crashes.push(NoticedCrash { crash, lost_at: Some(now) });
    }

    fn record_answer(&mut self, shard: ShardIndex, answer: HttpAnswer) {
        match &self.sink {
            Some(sink) => sink.send(RunEvent::Part(shard, answer)),
            None => self.outcome.answers[shard.0] = Some(ShardAnswer::Direct(answer)),
        }
    }

    fn log_failure(&self, target: &ChosenTarget, failure: AttemptFailure) {
        if !self.state.admits_log_line(LogPriority::Important) {
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
        self.shards[shard.0].unreached = failure.is_unsent();
        self.machine.note_failed(shard, ran);
        if let AttemptFailure::Withheld(barrier) = failure
            && !barrier.allows_other_target()
        {
            self.machine.note_unsent(shard, true);
        }
        metrics::counter!("hickoryspan_gateway_attempt_failures_total", "reason" => failure.as_str())
            .increment(1);
    }
}
