//! How the limits that targets name restrict the selection.

use std::collections::BTreeSet;

use rand::RngExt;

use super::directory::TargetProcess;
use super::selection::TargetSelector;
use super::target_state::TargetState;
use crate::gateway::admission::limit_gate::LimitGate;
use crate::types::{MonotonicTime, ServiceId, TargetId};

impl TargetSelector {
    /// Returns the limits of the targets.
    pub fn limits(&self) -> &LimitGate {
        &self.limits
    }

    /// Returns the limits of the targets, to record what was heard of them.
    pub fn limits_mut(&mut self) -> &mut LimitGate {
        &mut self.limits
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
        !self.limits.is_active() || !self.permitted(now, service).is_empty()
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
            if self.limits.has_permit(now, &state.process(), share, draw) {
                permitted.push(target.clone());
            }
        }
        permitted
    }
}
