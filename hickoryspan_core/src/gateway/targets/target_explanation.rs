//! Explains the choice among the targets of a service without making it.

use super::cost_model::WorkEstimate;
use super::selection::TargetSelector;
use super::target_state::TargetState;
use crate::gateway::explanation::{ExclusionReason, TargetExplanation};
use crate::types::{MonotonicTime, ServiceId};

impl TargetSelector {
    /// Returns what speaks for and against the targets of a service: those that are considered by cost, then the others.
    pub fn explain(
        &self,
        now: MonotonicTime,
        service: &ServiceId,
        estimate: Option<&WorkEstimate>,
    ) -> Vec<TargetExplanation> {
        let mut open = self.states(service).filter(|state| self.is_open(now, state));
        let healthy = open.any(|state| state.ejected_until <= now);
        let explained = self.states(service).map(|state| {
            let excluded = self.exclusion(now, state, healthy);
            self.explain_target(now, state, excluded, estimate)
        });
        let mut explained: Vec<TargetExplanation> = explained.collect();
        explained.sort_by(|left, right| {
            let excluded = left.excluded.is_some().cmp(&right.excluded.is_some());
            excluded.then(left.cost.total_cmp(&right.cost))
        });
        explained
    }

    fn exclusion(
        &self,
        now: MonotonicTime,
        state: &TargetState,
        healthy: bool,
    ) -> Option<ExclusionReason> {
        if !state.is_ready() {
            return Some(ExclusionReason::Draining);
        }
        if !self.is_usable(state) {
            return Some(ExclusionReason::Evacuated);
        }
        if self.notices.is_leaving(now, &state.process()) {
            return Some(ExclusionReason::Leaving);
        }
        if !self.is_open(now, state) {
            return Some(ExclusionReason::Closed);
        }
        (healthy && state.ejected_until > now).then_some(ExclusionReason::Ejected)
    }

    fn explain_target(
        &self,
        now: MonotonicTime,
        state: &TargetState,
        excluded: Option<ExclusionReason>,
        estimate: Option<&WorkEstimate>,
    ) -> TargetExplanation {
        let rated = self.rate(now, state, estimate);
        let millis = |time: std::time::Duration| time.as_secs_f64() * 1_000.0;
        TargetExplanation {
            target: state.announcement.target.clone(),
            domain: state.announcement.domain.clone(),
            excluded,
            cost: rated.cost,
            aversion: state.aversion(now, &self.settings, &self.domain),
            in_flight: state.in_flight,
            wait_ms: rated.completion.map(|completion| millis(completion.wait)),
            service_ms: rated.completion.map(|completion| millis(completion.service)),
            report_age_ms: state.load.map(|_| now.since(state.load_at).as_millis() as u64),
            cold: state.cold_until > now,
            overdue: state.overdue_until > now,
            limited: self.is_limited(state) || self.cold_rate(now, state).is_some(),
        }
    }
}
