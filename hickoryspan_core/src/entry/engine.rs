//! The fan-out engine: runs admitted searches and claimed orders on targets.

use std::collections::VecDeque;

use rand_chacha::ChaCha12Rng;

use crate::membership::MembershipView;
use crate::types::{ClockReading, FailureDomain, MonotonicTime, OrdinalNumber, QueryToken};

use super::interface::{EntryAction, EntryEvent};
use super::plan::{EngineReport, OrderPlan, SearchPlan};

/// Settings of the fan-out engine.
#[derive(Clone, Debug, Default)]
pub struct EngineSettings {}

/// Which connections this process may open: its ordinal among all ordinals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalShare {
    /// The ordinal that this process leases.
    pub ordinal: OrdinalNumber,
    /// The number of ordinals.
    pub max_ordinals: u32,
}

/// Runs searches and orders on targets; pushes actions for the driver and reports for the entry machine.
#[derive(Debug)]
pub struct FanoutEngine {
    reports: VecDeque<EngineReport>,
}

impl FanoutEngine {
    /// An engine without members; it opens no connection before a share is given.
    pub fn new(
        _settings: EngineSettings,
        _failure_domain: FailureDomain,
        _generator: ChaCha12Rng,
    ) -> Self {
        Self { reports: VecDeque::new() }
    }

    /// Takes over a new view; targets that left or drain get no new work from now on.
    pub fn update_view(
        &mut self,
        _now: ClockReading,
        _view: &MembershipView,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// Sets the share of connections; without one, all connections are closed and nothing is sent.
    pub fn set_share(
        &mut self,
        _now: ClockReading,
        _share: Option<OrdinalShare>,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// Starts a search; its end is reported later or at once.
    pub fn start_search(
        &mut self,
        _now: ClockReading,
        _token: QueryToken,
        _plan: SearchPlan,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// Starts the only attempt of an order.
    pub fn start_order(
        &mut self,
        _now: ClockReading,
        _token: QueryToken,
        _plan: OrderPlan,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// Gives up a search: cancels its attempts and reports nothing more about it. An order goes on.
    pub fn cancel(
        &mut self,
        _now: ClockReading,
        _token: QueryToken,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// Handles connection and attempt events and the wake-up; other events are ignored.
    pub fn handle(
        &mut self,
        _now: ClockReading,
        _event: &EntryEvent,
        _actions: &mut Vec<EntryAction>,
    ) {
    }

    /// The next report, until there is none.
    pub fn next_report(&mut self) -> Option<EngineReport> {
        self.reports.pop_front()
    }

    /// The partitions that a search would span now, for its cost; zero if none is known.
    pub fn fanout_width(&self, _plan: &SearchPlan) -> u32 {
        0
    }

    /// When the engine wants to be woken.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        None
    }

    /// Searches and orders in flight.
    pub fn in_flight(&self) -> usize {
        0
    }
}
