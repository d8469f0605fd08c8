//! Interface between the entry machine and the engine that runs its searches and orders.

use std::fmt;

use crate::membership::MembershipView;
use crate::types::{ClockReading, MonotonicTime, QueryToken};

use super::engine::{FanoutEngine, OrdinalShare};
use super::interface::{EntryAction, EntryEvent};
use super::plan::{EngineReport, OrderPlan, SearchPlan};

/// Operations that the entry machine needs from an engine. Entry processes use [`FanoutEngine`].
pub trait SearchEngine: fmt::Debug + Send {
    /// See [`FanoutEngine::update_view`].
    fn update_view(
        &mut self,
        now: ClockReading,
        view: &MembershipView,
        actions: &mut Vec<EntryAction>,
    );

    /// See [`FanoutEngine::set_share`].
    fn set_share(
        &mut self,
        now: ClockReading,
        share: Option<OrdinalShare>,
        actions: &mut Vec<EntryAction>,
    );

    /// See [`FanoutEngine::start_search`].
    fn start_search(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: SearchPlan,
        actions: &mut Vec<EntryAction>,
    );

    /// See [`FanoutEngine::start_order`].
    fn start_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: OrderPlan,
        actions: &mut Vec<EntryAction>,
    );

    /// See [`FanoutEngine::cancel`].
    fn cancel(&mut self, now: ClockReading, token: QueryToken, actions: &mut Vec<EntryAction>);

    /// See [`FanoutEngine::handle`].
    fn handle(&mut self, now: ClockReading, event: &EntryEvent, actions: &mut Vec<EntryAction>);

    /// See [`FanoutEngine::next_report`].
    fn next_report(&mut self) -> Option<EngineReport>;

    /// See [`FanoutEngine::fanout_width`].
    fn fanout_width(&self, plan: &SearchPlan) -> u32;

    /// See [`FanoutEngine::next_wakeup`].
    fn next_wakeup(&self) -> Option<MonotonicTime>;

    /// See [`FanoutEngine::in_flight`].
    fn in_flight(&self) -> usize;
}

impl SearchEngine for FanoutEngine {
    fn update_view(
        &mut self,
        now: ClockReading,
        view: &MembershipView,
        actions: &mut Vec<EntryAction>,
    ) {
        FanoutEngine::update_view(self, now, view, actions);
    }

    fn set_share(
        &mut self,
        now: ClockReading,
        share: Option<OrdinalShare>,
        actions: &mut Vec<EntryAction>,
    ) {
        FanoutEngine::set_share(self, now, share, actions);
    }

    fn start_search(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: SearchPlan,
        actions: &mut Vec<EntryAction>,
    ) {
        FanoutEngine::start_search(self, now, token, plan, actions);
    }

    fn start_order(
        &mut self,
        now: ClockReading,
        token: QueryToken,
        plan: OrderPlan,
        actions: &mut Vec<EntryAction>,
    ) {
        FanoutEngine::start_order(self, now, token, plan, actions);
    }

    fn cancel(&mut self, now: ClockReading, token: QueryToken, actions: &mut Vec<EntryAction>) {
        FanoutEngine::cancel(self, now, token, actions);
    }

    fn handle(&mut self, now: ClockReading, event: &EntryEvent, actions: &mut Vec<EntryAction>) {
        FanoutEngine::handle(self, now, event, actions);
    }

    fn next_report(&mut self) -> Option<EngineReport> {
        FanoutEngine::next_report(self)
    }

    fn fanout_width(&self, plan: &SearchPlan) -> u32 {
        FanoutEngine::fanout_width(self, plan)
    }

    fn next_wakeup(&self) -> Option<MonotonicTime> {
        FanoutEngine::next_wakeup(self)
    }

    fn in_flight(&self) -> usize {
        FanoutEngine::in_flight(self)
    }
}
