//! Targets that this entry knows, and its connections to them.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use crate::membership::{MembershipView, TargetRecord};
use crate::types::{
    AttemptId, ConnectionCount, ConnectionId, FailureDomain, IncarnationNumber, MonotonicTime,
    RequestFingerprint, ShardId, SnapshotVersion, TargetId,
};

use super::arena::GenerationalArena;
use super::budgets::{BudgetSettings, RetryBudget};
use super::concurrency::ConcurrencyLimit;
use super::connections::{ConnectionSettings, OpenPacer, OrdinalShare};
use super::interface::EntryAction;
use super::outliers::TargetHealth;
use super::snapshots::ServiceIndex;
use super::targets::{
    ConnectionState, DeniedPartition, DomainIndex, ReportedLoad, TargetConnection, TargetIndex,
    TargetState,
};
use super::timers::{TimerKey, TimerQueue};

/// Time for which a target's answer that it is draining or lacks a partition counts without
/// confirmation by the view. The view follows within seconds, and an answer given by mistake must
/// not exclude the target permanently.
const REPORTED_STATE_LIFETIME: Duration = Duration::from_secs(10);

/// Changes to the targets that a new view brings.
#[derive(Debug, Default)]
pub(super) struct FleetChange {
    /// Services whose targets or served partitions changed.
    pub services: Vec<ServiceIndex>,
    /// Targets whose connections and waiting requests must be checked.
    pub dirty_targets: Vec<TargetIndex>,
    /// Targets with a new incarnation or address, whose connections must be dropped.
    pub restarted: Vec<RestartedTarget>,
    /// Targets that the view no longer contains.
    pub left: Vec<TargetIndex>,
}

/// Target that the view shows with a new incarnation or address.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartedTarget {
    /// Index of the target.
    pub target: TargetIndex,
    /// Incarnation before the change.
    pub former: IncarnationNumber,
}

/// All targets and the connections to them.
#[derive(Debug)]
pub(super) struct Fleet {
    targets: Vec<TargetState>,
    by_id: BTreeMap<TargetId, TargetIndex>,
    free: Vec<TargetIndex>,
    /// Connections to all targets.
    pub connections: GenerationalArena<ConnectionId, TargetConnection>,
    domains: Vec<FailureDomain>,
    /// Failure domain of this entry.
    pub home: DomainIndex,
    /// Connection share of this process; `None` if it may hold no connection.
    pub share: Option<OrdinalShare>,
    has_view: bool,
    settings: ConnectionSettings,
    budgets: BudgetSettings,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(home: FailureDomain, settings: ConnectionSettings, budgets: BudgetSettings) -> Self {
        Self {
            targets: Vec::new(),
            by_id: BTreeMap::new(),
            free: Vec::new(),
            connections: GenerationalArena::default(),
            domains: vec![home],
            home: DomainIndex(0),
            share: None,
            has_view: false,
            settings,
            budgets,
        }
    }

    /// Returns the state of a target.
    pub fn target(&self, index: TargetIndex) -> &TargetState {
        &self.targets[index.0 as usize]
    }

    /// Returns the state of a target.
    pub fn target_mut(&mut self, index: TargetIndex) -> &mut TargetState {
        &mut self.targets[index.0 as usize]
    }

    /// Returns all targets. Departed targets are included, also after their release until their
    /// index is reused.
    pub fn targets(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.iter()
    }

    /// Returns the indexes of all targets.
    pub fn indexes(&self) -> impl Iterator<Item = TargetIndex> + use<> {
        (0..self.targets.len() as u32).map(TargetIndex)
    }

    /// Returns the targets of a service that the view contains, sorted by name.
    pub fn targets_of(&self, service: ServiceIndex) -> Vec<TargetIndex> {
        let belongs = |index: &TargetIndex| {
            let target = self.target(*index);
            target.present && target.service == service
        };
        let mut targets: Vec<TargetIndex> = self.indexes().filter(belongs).collect();
        targets.sort_by(|a, b| self.target(*a).record.target.cmp(&self.target(*b).record.target));
        targets
    }

    fn domain(&mut self, name: &FailureDomain) -> DomainIndex {
        let known = self.domains.iter().position(|domain| domain == name);
        let position = known.unwrap_or_else(|| {
            self.domains.push(name.clone());
            self.domains.len() - 1
        });
        DomainIndex(position as u32)
    }

    /// Applies the targets of a view and returns what changed.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        view: &MembershipView,
        mut service_of: impl FnMut(&TargetRecord) -> ServiceIndex,
    ) -> FleetChange {
        let mut change = FleetChange::default();
        for index in self.indexes() {
            let target = &mut self.targets[index.0 as usize];
            if target.present && !view.targets.contains_key(&target.record.target) {
                target.present = false;
                change.services.push(target.service);
                change.dirty_targets.push(index);
                change.left.push(index);
            }
        }
        for record in view.targets.values() {
            let drained = view.drained_domains.contains(&record.failure_domain);
            match self.by_id.get(&record.target).copied() {
                Some(index) => {
                    self.update_target(now, index, record, drained, &mut service_of, &mut change)
                }
                None => {
                    let service = service_of(record);
                    let index = self.add_target(now, record, service, drained);
                    change.services.push(service);
                    change.dirty_targets.push(index);
                }
            }
        }
        self.has_view = true;
        change
    }

    fn update_target(
        &mut self,
        now: MonotonicTime,
        index: TargetIndex,
        record: &TargetRecord,
        drained: bool,
        service_of: &mut impl FnMut(&TargetRecord) -> ServiceIndex,
        change: &mut FleetChange,
    ) {
        let unchanged = |target: &TargetState| {
            target.present && target.domain_drained == drained && target.record == *record
        };
        if unchanged(self.target(index)) {
            return;
        }
        let domain = self.domain(&record.failure_domain);
        let share = self.share_of(record);
        let service = service_of(record);
        let target = &mut self.targets[index.0 as usize];
        change.services.extend([target.service, service]);
        change.dirty_targets.push(index);
        let restarted = target.record.incarnation != record.incarnation
            || target.record.address != record.address;
        if restarted {
            let former = target.record.incarnation;
            change.restarted.push(RestartedTarget { target: index, former });
            target.cold_since = Some(now);
            target.health = TargetHealth::default();
            target.limit = ConcurrencyLimit::new(record.slots);
            target.load = ReportedLoad::default();
        } else if !target.present {
            target.cold_since = Some(now);
        }
        target.limit.set_slots(record.slots);
        target.leaving_until = MonotonicTime::default();
        target.denied.clear();
        target.record = record.clone();
        target.service = service;
        target.domain = domain;
        target.present = true;
        target.domain_drained = drained;
        target.share = share;
    }

    fn add_target(
        &mut self,
        now: MonotonicTime,
        record: &TargetRecord,
        service: ServiceIndex,
        domain_drained: bool,
    ) -> TargetIndex {
        let state = TargetState {
            record: record.clone(),
            service,
            domain: self.domain(&record.failure_domain),
            present: true,
            domain_drained,
            leaving_until: MonotonicTime::default(),
            denied: Vec::new(),
            share: self.share_of(record),
            idle: Vec::new(),
            connections: Vec::new(),
            opening: 0,
            pacer: OpenPacer::new(now, &self.settings),
            in_flight: 0,
            limit: ConcurrencyLimit::new(record.slots),
            load: ReportedLoad::default(),
            health: TargetHealth::default(),
            // Targets of the first view were running before this process started, so they are not
            // cold.
            cold_since: self.has_view.then_some(now),
            budget: RetryBudget::of_target(&self.budgets),
            waiting: BinaryHeap::new(),
            loss: None,
            disconnected_at: None,
            one_way_delay: None,
            timer_at: None,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.targets[index.0 as usize] = state;
                index
            }
            None => {
                self.targets.push(state);
                TargetIndex(self.targets.len() as u32 - 1)
            }
        };
        self.by_id.insert(record.target.clone(), index);
        index
    }

    /// Frees the indexes of departed targets for reuse.
    pub fn release_departed(&mut self) {
        for index in self.indexes() {
            let target = &self.targets[index.0 as usize];
            let current = self.by_id.get(&target.record.target) == Some(&index);
            if current && target.is_releasable() {
                self.by_id.remove(&self.targets[index.0 as usize].record.target);
                self.free.push(index);
            }
        }
    }

    fn share_of(&self, record: &TargetRecord) -> ConnectionCount {
        let none = ConnectionCount(0);
        self.share.map_or(none, |share| share.connections(&record.target, record.connections))
    }

    /// Sets the connection share of this process and updates every target's share.
    pub fn set_share(&mut self, share: Option<OrdinalShare>) {
        self.share = share;
        for index in self.indexes() {
            let share = self.share_of(&self.target(index).record);
            self.target_mut(index).share = share;
        }
    }

    /// Records that a target answered that it is draining.
    pub fn mark_leaving(
        &mut self,
        now: MonotonicTime,
        index: TargetIndex,
        timers: &mut TimerQueue,
    ) {
        let until = now + REPORTED_STATE_LIFETIME;
        self.target_mut(index).leaving_until = until;
        self.schedule_target(index, until, timers);
    }

    /// Ends a target's leaving state if the view has not confirmed it in time. Returns whether it
    /// ended.
    pub fn expire_leaving(&mut self, now: MonotonicTime, index: TargetIndex) -> bool {
        let target = self.target_mut(index);
        let ended = target.leaving_until != MonotonicTime::default() && target.leaving_until <= now;
        if ended {
            target.leaving_until = MonotonicTime::default();
        }
        ended
    }

    /// Records that a target does not serve a partition that it announced.
    pub fn record_denial(
        &mut self,
        now: MonotonicTime,
        index: TargetIndex,
        snapshot: SnapshotVersion,
        shard: &ShardId,
        timers: &mut TimerQueue,
    ) {
        let until = now + REPORTED_STATE_LIFETIME;
        let denied = DeniedPartition { snapshot, shard: shard.clone(), until };
        self.target_mut(index).denied.push(denied);
        self.schedule_target(index, until, timers);
    }

    /// Removes denials that the view has not confirmed in time. Returns whether any was removed.
    pub fn expire_denials(&mut self, now: MonotonicTime, index: TargetIndex) -> bool {
        let denied = &mut self.target_mut(index).denied;
        let former = denied.len();
        denied.retain(|denied| denied.until > now);
        denied.len() < former
    }

    /// Takes an idle connection for an attempt. The most recently used one is taken, because it
    /// most likely still works.
    pub fn take_connection(
        &mut self,
        index: TargetIndex,
        attempt: AttemptId,
    ) -> Option<ConnectionId> {
        let target = &mut self.targets[index.0 as usize];
        let connection = target.idle.pop()?;
        target.in_flight += 1;
        let state = self.connections.get_mut(connection)?;
        state.state = ConnectionState::Busy(attempt);
        Some(connection)
    }

    /// Marks a connection as idle after its attempt was answered, or closes it if the target is
    /// leaving.
    pub fn release_connection(
        &mut self,
        now: MonotonicTime,
        id: ConnectionId,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.last_active_at = now;
        connection.state = ConnectionState::Idle;
        let target = &mut self.targets[connection.target.0 as usize];
        target.in_flight -= 1;
        if !target.is_active() {
            self.close_connection(id, actions);
        } else {
            target.idle.push(id);
        }
    }

    /// Marks a connection as open and idle. Returns its target, or `None` if the connection was not
    /// being opened.
    pub fn record_opened(&mut self, now: MonotonicTime, id: ConnectionId) -> Option<TargetIndex> {
        let connection = self.connections.get_mut(id)?;
        if connection.state != ConnectionState::Opening {
            return None;
        }
        connection.state = ConnectionState::Idle;
        connection.last_active_at = now;
        let target = &mut self.targets[connection.target.0 as usize];
        target.opening -= 1;
        target.pacer.record_opened();
        target.record_round_trip(now.since(connection.opened_at));
        target.idle.push(id);
        Some(connection.target)
    }

    /// Removes a connection that was closed by the other side or could not be opened, and returns
    /// its state.
    pub fn record_closed(
        &mut self,
        now: MonotonicTime,
        id: ConnectionId,
        generator: &mut ChaCha12Rng,
    ) -> Option<TargetConnection> {
        let connection = self.remove_connection(id)?;
        let failed = connection.state == ConnectionState::Opening;
        let target = &mut self.targets[connection.target.0 as usize];
        target.pacer.record_closed(now, failed, &self.settings, generator);
        if !failed && target.is_active() {
            target.disconnected_at = Some(now);
        }
        Some(connection)
    }

    fn remove_connection(&mut self, id: ConnectionId) -> Option<TargetConnection> {
        let connection = self.connections.remove(id)?;
        let target = &mut self.targets[connection.target.0 as usize];
        target.connections.retain(|other| *other != id);
        match connection.state {
            ConnectionState::Opening => target.opening -= 1,
            ConnectionState::Idle => target.idle.retain(|other| *other != id),
            ConnectionState::Busy(_) => target.in_flight -= 1,
        }
        Some(connection)
    }

    /// Closes a connection. Returns the attempt on it, whose outcome the driver no longer reports.
    pub fn close_connection(
        &mut self,
        id: ConnectionId,
        actions: &mut Vec<EntryAction>,
    ) -> Option<AttemptId> {
        let connection = self.remove_connection(id)?;
        actions.push(EntryAction::CloseConnection(id));
        connection.attempt()
    }

    /// Returns whether the connection that the next attempt would use was active at or after a
    /// time.
    pub fn is_active_since(&self, index: TargetIndex, since: MonotonicTime) -> bool {
        let next = self.target(index).idle.last().and_then(|id| self.connections.get(*id));
        next.is_some_and(|connection| connection.last_active_at >= since)
    }

    /// Closes idle connections of a target that were not active since a time. The cause that
    /// stalled another connection has most likely affected them too, and each one would cost a
    /// request to find out.
    pub fn close_inactive(
        &mut self,
        index: TargetIndex,
        since: MonotonicTime,
        actions: &mut Vec<EntryAction>,
    ) {
        for id in self.target(index).idle.clone() {
            if self.connections.get(id).is_some_and(|connection| connection.last_active_at < since)
            {
                self.close_connection(id, actions);
            }
        }
    }

    /// Closes connections beyond the target's share. If the target is leaving, closes all
    /// connections without an attempt. Returns the attempts whose connections were closed.
    pub fn close_surplus(
        &mut self,
        index: TargetIndex,
        actions: &mut Vec<EntryAction>,
    ) -> Vec<AttemptId> {
        let target = self.target(index);
        let is_active = target.is_active();
        let share = if self.share.is_none() { 0 } else { target.share.0 as usize };
        let mut order: BTreeMap<(u8, ConnectionId), ConnectionId> = BTreeMap::new();
        for id in &target.connections {
            let Some(connection) = self.connections.get(*id) else { continue };
            let rank = match connection.state {
                ConnectionState::Opening => 0,
                ConnectionState::Idle => 1,
                ConnectionState::Busy(_) => 2,
            };
            order.insert((rank, *id), *id);
        }
        let mut attempts = Vec::new();
        let mut surplus = target.connections.len().saturating_sub(share);
        // A departed target may keep connections beyond its share, because its attempts may still
        // be answered.
        if !target.present && self.share.is_some() {
            surplus = 0;
        }
        for ((rank, id), _) in order {
            if surplus > 0 || (!is_active && rank < 2) {
                surplus = surplus.saturating_sub(1);
                attempts.extend(self.close_connection(id, actions));
            }
        }
        attempts
    }

    /// Opens missing connections of a target as fast as its pacer permits.
    pub fn open_missing_connections(
        &mut self,
        now: MonotonicTime,
        index: TargetIndex,
        timers: &mut TimerQueue,
        actions: &mut Vec<EntryAction>,
    ) {
        loop {
            let target = &mut self.targets[index.0 as usize];
            if !target.accepts_work() {
                return;
            }
            // Beyond the spare ones, more connections than slots are useless, because the
            // concurrency limit is at most the number of slots.
            let spare = self.settings.warm as usize;
            let waiting = target.waiting.len().min(target.limit.max_in_flight() as usize);
            let wanted = (target.in_flight as usize + waiting.max(spare))
                .min(target.limit.max_in_flight() as usize + spare)
                .max(spare)
                .min(target.share.0 as usize);
            if target.connections.len() >= wanted || target.opening >= self.settings.max_opening {
                return;
            }
            if let Err(retry_at) = target.pacer.permit(now, &self.settings) {
                self.schedule_target(index, retry_at, timers);
                return;
            }
            target.opening += 1;
            let (id, address) = (target.record.target.clone(), target.record.address);
            let state = ConnectionState::Opening;
            let connection =
                TargetConnection { target: index, state, opened_at: now, last_active_at: now };
            let connection = self.connections.insert(connection);
            self.targets[index.0 as usize].connections.push(connection);
            let timeout = self.settings.open_timeout;
            actions.push(open_action(connection, id, address, timeout));
        }
    }

    /// Schedules the target's timer, unless it is already set to an earlier time.
    pub fn schedule_target(
        &mut self,
        index: TargetIndex,
        at: MonotonicTime,
        timers: &mut TimerQueue,
    ) {
        let target = self.target_mut(index);
        if target.timer_at.is_none_or(|scheduled| at < scheduled) {
            target.timer_at = Some(at);
            timers.schedule(at, TimerKey::Target(index));
        }
    }

    /// Returns whether the target's timer is set to this time.
    pub fn is_timer_valid(&self, index: TargetIndex, at: MonotonicTime) -> bool {
        self.target(index).timer_at == Some(at)
    }

    /// Clears a target's timer after it fired, and sets it to the next expiry of a leaving state or
    /// denial.
    pub fn take_timer(&mut self, index: TargetIndex, timers: &mut TimerQueue) {
        let target = self.target_mut(index);
        target.timer_at = None;
        let leaving = Some(target.leaving_until).filter(|until| *until != MonotonicTime::default());
        let denied = target.denied.iter().map(|denied| denied.until).min();
        if let Some(until) = leaving.into_iter().chain(denied).min() {
            self.schedule_target(index, until, timers);
        }
    }

    /// Removes a request from the evidence of a failure domain's targets, because the loss of the
    /// domain was not caused by the request.
    pub fn remove_evidence(&mut self, domain: DomainIndex, fingerprint: &RequestFingerprint) {
        let targets = self.targets.iter_mut().filter(|target| target.domain == domain);
        for loss in targets.filter_map(|target| target.loss.as_mut()) {
            loss.fingerprints.retain(|other| other != fingerprint);
        }
    }
}

fn open_action(
    connection: ConnectionId,
    target: TargetId,
    address: SocketAddr,
    timeout: Duration,
) -> EntryAction {
    EntryAction::OpenConnection { connection, target, address, timeout }
}
