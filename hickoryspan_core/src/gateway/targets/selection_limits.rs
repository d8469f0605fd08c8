//! How the limits that targets name, and those of cold targets, restrict the selection.

use std::collections::BTreeSet;

use rand::RngExt;

use super::directory::TargetProcess;
use super::selection::TargetSelector;
use super::target_state::TargetState;
use crate::gateway::admission::cold_targets::{ColdGate, ColdTarget};
use crate::gateway::admission::limit_gate::LimitGate;
use crate::types::{MonotonicTime, RequestRate, ServiceId, TargetId};

impl TargetSelector {
    /// Returns the limits of the targets.
    pub fn limits(&self) -> &LimitGate {
        &self.limits
    }

    /// Returns the limits of the targets, to record what was heard of them.
    pub fn limits_mut(&mut self) -> &mut LimitGate {
        &mut self.limits
    }

    /// Replaces the gate of cold targets, which lets nothing through to begin with.
    pub fn set_cold_gate(&mut self, gate: ColdGate) {
        self.cold = gate;
    }

    /// Returns the gate of cold targets.
    pub fn cold_mut(&mut self) -> &mut ColdGate {
        &mut self.cold
    }

    /// Returns whether limits of targets, or of cold ones, may hold back requests.
    pub fn has_limits(&self) -> bool {
        self.limits.is_active() || self.cold.is_active()
    }

    /// Returns the targets that are cold and whose service states how many requests they tolerate.
    pub fn cold_targets(&self, now: MonotonicTime) -> impl Iterator<Item = &TargetId> {
        let states =
            self.targets.values().filter(move |state| self.cold_rate(now, state).is_some());
        states.map(|state| &state.announcement.target)
    }

    /// Returns how many requests a target tolerates while it is cold; `None` if any number.
    pub(super) fn cold_rate(&self, now: MonotonicTime, state: &TargetState) -> Option<RequestRate> {
        let is_cold = self.cold.is_active() && state.cold_until > now;
        is_cold.then(|| self.cold.rate(&state.announcement.service)).flatten()
    }

    /// Returns the services that have a limited target.
    pub fn limited_services(&self) -> BTreeSet<&ServiceId> {
        let states = self.limits.table.limited().filter_map(|process| self.find(process));
        states.map(|state| &state.announcement.service).collect()
    }

    fn find(&self, process: &TargetProcess) -> Option<&TargetState> {
        let state = self.targets.get(&process.target)?;
        (state.announcement.age.started == process.started).then_some(state)
    }

    /// Counts a request for a service if any of its targets is limited.
    pub fn note_request(&mut self, now: MonotonicTime, service: &ServiceId) {
        if self.states(service).any(|state| self.is_limited(state)) {
            self.limits.note_request(now, service);
        }
    }

    /// Forgets the limits of targets that are gone and the demand for services without a limited target.
    pub fn sweep_limits(&mut self, now: MonotonicTime) {
        let mut cold = std::mem::take(&mut self.cold);
        cold.retain(|process| self.find(process).is_some());
        self.cold = cold;
        if !self.limits.is_active() {
            return;
        }
        let limited: BTreeSet<ServiceId> = self.limited_services().into_iter().cloned().collect();
        let mut limits = std::mem::take(&mut self.limits);
        let is_known = |process: &TargetProcess| self.find(process).is_some();
        limits.retain(now, is_known, |service| limited.contains(service));
        self.limits = limits;
    }

    /// Returns whether a request may be sent to any usable target of a service now.
    pub fn has_permitted_target(&mut self, now: MonotonicTime, service: &ServiceId) -> bool {
        !self.has_limits() || !self.permitted(now, service).is_empty()
    }

    /// Returns the usable targets of a service to which a request may be sent now.
    pub(super) fn permitted(&mut self, now: MonotonicTime, service: &ServiceId) -> Vec<TargetId> {
        let share = self.limits.share(now, service);
        let mut permitted = Vec::new();
        for target in self.by_service.get(service).into_iter().flatten() {
            let Some(state) = self.targets.get(target) else { continue };
            if !self.is_open(now, state) {
                continue;
            }
            let draw = self.generator.random();
            let process = state.process();
            let cold_rate = self.cold_rate(now, state);
            let has_cold_permit = cold_rate.is_none_or(|rate| {
                let domain = &state.announcement.domain;
                self.cold.has_permit(now, &ColdTarget { process: process.clone(), domain, rate })
            });
            if has_cold_permit && self.limits.has_permit(now, &process, share, draw) {
                permitted.push(target.clone());
            }
        }
        permitted
    }
}
