//! Chooses among targets by when each is expected to have done a request, and decides whether a hedge pays.
//!
//! Load: requests of unequal work, and targets that are unequally fast and busy.

use std::time::Duration;

use super::cost_model::{AnsweredWork, RequestTraits, WorkEstimate};
use super::outcomes::AttemptOutcome;
use super::selection::{SelectionSettings, TargetPolicy, TargetSelector};
use super::target_state::TargetState;
use super::work_left::{AssumedLoad, WorkTicket};
use crate::types::{FailureDomain, MonotonicTime, ServiceId, TargetId};

/// A cancelled request tells that its target is slow if it has lasted this many times as long as expected.
const CANCELLED_OVERRUN: u32 = 2;

/// When a target is expected to have done a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedCompletion {
    /// Time until the request starts.
    pub wait: Duration,
    /// Time that it takes from then on.
    pub service: Duration,
    /// Factor for what else speaks against the target: failures, distance, an unanswered request.
    pub aversion: f64,
}

impl ExpectedCompletion {
    /// Returns the time until the request is done.
    pub fn total(&self) -> Duration {
        self.wait + self.service
    }

    /// Returns the cost by which targets are compared.
    pub fn cost(&self) -> f64 {
        self.total().as_secs_f64() * self.aversion
    }

    /// Returns by what this target is better than the next best one.
    fn reason_over(&self, next: &Self) -> ChoiceReason {
        let saved_wait = next.wait.as_secs_f64() - self.wait.as_secs_f64();
        let saved_service = next.service.as_secs_f64() - self.service.as_secs_f64();
        if saved_wait + saved_service <= 0.0 || next.aversion > self.aversion * 1.5 {
            return ChoiceReason::LessAverse;
        }
        if saved_wait > saved_service { ChoiceReason::LessWait } else { ChoiceReason::Faster }
    }
}

/// Why a target was preferred to the next best one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// There is no other.
    Only,
    /// It has less work left.
    LessWait,
    /// It works faster.
    Faster,
    /// It is nearer or has failed less often.
    LessAverse,
}

impl ChoiceReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Only => "only",
            Self::LessWait => "less_wait",
            Self::Faster => "faster",
            Self::LessAverse => "less_averse",
        }
    }

    /// Returns the reason for the first of the candidates, which are in order of cost.
    pub(super) fn of(candidates: &[ExpectedCompletion]) -> Self {
        match candidates {
            [best, next, ..] => best.reason_over(next),
            _ => Self::Only,
        }
    }
}

/// What the choice expected of a request on its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkPlacement {
    /// Identifies the request on its target.
    pub ticket: WorkTicket,
    /// When it was expected to be done.
    pub completion: ExpectedCompletion,
    /// Why the target was chosen.
    pub reason: ChoiceReason,
}

impl TargetState {
    /// Returns when a request of this work would be done.
    pub(super) fn completion(
        &self,
        now: MonotonicTime,
        settings: &SelectionSettings,
        domain: &FailureDomain,
        estimate: &WorkEstimate,
        assumed: AssumedLoad,
    ) -> ExpectedCompletion {
        let cold_factor = self.cold_factor(now, settings);
        let learned = self.work.speed_factor(now);
        let factor = learned.max(self.reported_latency(now, settings)) * cold_factor;
        let wait = self.work.expected_wait(now, self.announcement.slots, assumed);
        ExpectedCompletion {
            wait: wait.mul_f64(factor / learned),
            service: estimate.mean.mul_f64(factor),
            aversion: self.aversion(now, settings, domain),
        }
    }
}

impl TargetSelector {
    /// Returns the expected work of a request, or `None` if targets are not chosen by work.
    pub fn estimate(&self, now: MonotonicTime, traits: &RequestTraits) -> Option<WorkEstimate> {
        match self.settings.policy {
            TargetPolicy::Latency => None,
            TargetPolicy::ExpectedWork => Some(self.costs.estimate(now, traits)),
        }
    }

    /// Returns the share of the variance of a route's work that is known before its requests are sent.
    pub fn explained_variance(&self, route: &str) -> f64 {
        self.costs.explained(route)
    }

    /// Returns whether a hedge is likely to be answered before the attempt that is in flight. A request that is slow
    /// because it is heavy would be as slow elsewhere.
    pub fn hedge_pays(
        &self,
        now: MonotonicTime,
        service: &ServiceId,
        tried: &[TargetId],
        estimate: &WorkEstimate,
        in_flight: WorkTicket,
    ) -> bool {
        let Some(first) = tried.last().and_then(|target| self.targets.get(target)) else {
            return true;
        };
        self.states(service).any(|state| {
            let untried = self.is_open(now, state) && !tried.contains(&state.announcement.target);
            let knowledge = state.work.knowledge(now, state.announcement.slots);
            let Some(rest) = first.work.expected_rest(now, in_flight, knowledge) else {
                return true;
            };
            // Withholding a hedge that would pay makes an answer late; sending one that does not costs only budget.
            let assumed = AssumedLoad::None;
            let completion = state.completion(now, &self.settings, &self.domain, estimate, assumed);
            untried && state.ejected_until <= now && completion.wait + estimate.mean < rest
        })
    }

    /// Records that a request is no longer in flight on a target, and learns from its answer what such requests cost and
    /// how fast the target is. `outcome` is `None` if nothing was sent.
    pub fn end_work(
        &mut self,
        now: MonotonicTime,
        target: &TargetId,
        ticket: WorkTicket,
        traits: &RequestTraits,
        outcome: Option<AttemptOutcome>,
    ) {
        let settings = self.settings;
        let Some(state) = self.targets.get_mut(target) else { return };
        let cold_factor = state.cold_factor(now, &settings);
        let reported = state.reported_latency(now, &settings);
        let learned = state.work.speed_factor(now);
        let Some(ended) = state.work.note_ended(now, ticket) else { return };
        let expected = ended.expected.mul_f64(cold_factor);
        match outcome {
            Some(AttemptOutcome::Success(_)) => {
                state.work.note_speed(now, ended.served, expected);
                let work = ended.served.div_f64(learned.max(reported) * cold_factor);
                let answered = AnsweredWork { sent_at: ended.sent_at, work };
                self.costs.record(now, traits, answered);
            }
            Some(AttemptOutcome::Cancelled(_)) if ended.served > expected * CANCELLED_OVERRUN => {
                state.work.note_speed(now, ended.served, expected);
            }
            Some(AttemptOutcome::Cancelled(_) | AttemptOutcome::Failure(_)) | None => {}
        }
    }
}
