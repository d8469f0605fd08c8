//! The groups of one request's shards that other entries send.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::fanout::{FanoutSettings, ShardIndex};
use hickoryspan_core::gateway::relays::{RelayAssignment, RelayMode, RelayPeer, ShardGroup};
use hickoryspan_core::types::{MonotonicTime, ServiceId};
use tokio::sync::mpsc;

use crate::attempt::GatewayJob;
use crate::fanout_links::{FanoutTicket, GroupIndex, RelayEvent};
use crate::fanout_messages::{FanoutBatch, FanoutTask, HeaderField, TaskNumber, to_fields};
use crate::gateway_state::GatewayState;

/// Taken off the time for an answer: the way to another entry and back, and the work with its batch.
const RELAY_WAY: Duration = Duration::from_millis(6);
/// The part of the time for an answer after which an entry shows that it is alive.
const FIRST_BATCH_PART: f64 = 0.35;
/// How late this entry may notice a silence for it to count.
const OWN_DELAY_LIMIT: Duration = Duration::from_millis(5);
/// How long the links are given to read batches before an entry counts as silent.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(3);

struct RelayedGroup {
    peer: RelayPeer,
    mode: RelayMode,
    shards: Vec<ShardIndex>,
    // Nothing once the group has ended.
    ticket: Option<FanoutTicket>,
    // When the first batch must be here; nothing once it is.
    silent_at: Option<MonotonicTime>,
}

/// What a request learns from another entry.
pub(crate) enum RelayNews {
    /// Parts are in; with `last`, the others will not come.
    Parts(Vec<ShardIndex>, FanoutBatch),
    /// The entry sent nothing. One more attempt on each shard is allowed.
    Silent(Vec<ShardIndex>),
    /// The entry was lost after its first batch. The shards may have been sent to as often as allowed.
    LostLater(Vec<ShardIndex>),
}

/// The groups of one request that are at other entries.
pub(crate) struct RelayedGroups {
    state: Arc<GatewayState>,
    groups: Vec<RelayedGroup>,
    events: mpsc::UnboundedReceiver<RelayEvent>,
}

/// What every task of one request has in common.
struct TaskFrame<'a> {
    job: &'a GatewayJob,
    services: &'a [ServiceId],
    result_limit: usize,
    headers: Vec<HeaderField>,
    first_batch_in: Duration,
    answer_in: Duration,
    give_up_in: Duration,
}

impl TaskFrame<'_> {
    fn to_task(&self, shards: &[ShardIndex]) -> FanoutTask {
        FanoutTask {
            number: TaskNumber::default(),
            route: self.job.route.name.clone(),
            objective: self.job.route.objective,
            max_attempts: 1,
            method: self.job.method.as_str().into(),
            target_path: self.job.target_path.as_str().into(),
            headers: self.headers.clone(),
            body: self.job.body.clone(),
            shards: shards.iter().map(|shard| self.services[shard.0].clone()).collect(),
            result_limit: self.result_limit,
            first_batch_in: self.first_batch_in,
            answer_in: self.answer_in,
            give_up_in: self.give_up_in,
        }
    }
}

impl RelayedGroups {
    /// No groups at other entries.
    pub(crate) fn none(state: Arc<GatewayState>) -> Self {
        let (_, events) = mpsc::unbounded_channel();
        Self { state, groups: Vec::new(), events }
    }

    /// Hands groups to other entries where there is a usable one.
    pub(crate) fn start(
        state: Arc<GatewayState>,
        job: &GatewayJob,
        services: &[ServiceId],
        divided: &[ShardGroup],
        settings: &FanoutSettings,
        result_limit: usize,
    ) -> Self {
        let now = state.now();
        let (sender, events) = mpsc::unbounded_channel();
        let answer_in = settings.answer_by.since(now).saturating_sub(RELAY_WAY);
        let first_batch_in = answer_in.mul_f64(FIRST_BATCH_PART);
        let frame = TaskFrame {
            job,
            services,
            result_limit,
            headers: to_fields(&job.headers),
            first_batch_in,
            answer_in,
            give_up_in: settings.give_up_at.since(now).saturating_sub(RELAY_WAY),
        };
        let mut groups = Vec::new();
        for group in divided {
            let Some(place) = state.decisions().place_group(now, &group.key) else { continue };
            let RelayAssignment { peer, mode } = place;
            if !state.fanout.is_up(peer.address) {
                continue;
            }
            let task = FanoutTask {
                max_attempts: mode.attempts(settings.max_attempts),
                ..frame.to_task(&group.shards)
            };
            let index = GroupIndex(groups.len());
            let ticket = state.fanout.send(peer.address, task, index, sender.clone());
            if ticket.is_some() {
                let shards = group.shards.clone();
                let silent_at = Some(now + first_batch_in + mode.grace());
                groups.push(RelayedGroup { peer, mode, shards, ticket, silent_at });
            }
        }
        Self { state, groups, events }
    }

    /// The shards that other entries send to.
    pub(crate) fn shards(&self) -> impl Iterator<Item = ShardIndex> + '_ {
        self.groups.iter().flat_map(|group| group.shards.iter().copied())
    }

    /// The number of groups.
    pub(crate) fn count(&self) -> usize {
        self.groups.len()
    }

    /// Whether anything may still come.
    pub(crate) fn is_open(&self) -> bool {
        self.groups.iter().any(|group| group.ticket.is_some())
    }

    /// When a group must have shown that it is alive.
    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        let open = self.groups.iter().filter(|group| group.ticket.is_some());
        open.filter_map(|group| group.silent_at).min()
    }

    /// Waits for the next event of an open group.
    pub(crate) async fn next_event(&mut self) -> Option<RelayEvent> {
        self.events.recv().await
    }

    /// Lets the links read what has arrived. This entry may be late itself, and then batches wait in its sockets.
    pub(crate) async fn read_arrived(&mut self, now: MonotonicTime) {
        let Some(late) = self.groups.iter().filter_map(|group| group.silent_at).min() else {
            return;
        };
        // If this entry stood still, the others' silence says nothing yet.
        if now.since(late) > OWN_DELAY_LIMIT {
            for group in &mut self.groups {
                let patience = group.mode.grace();
                group.silent_at = group.silent_at.map(|at| at.max(now + patience));
            }
        }
        if self.find_silent(now).is_some() {
            tokio::time::sleep(ARRIVAL_PAUSE).await;
        }
    }

    /// Takes an event that is here already.
    pub(crate) fn take_arrived(&mut self) -> Option<RelayNews> {
        while let Ok(event) = self.events.try_recv() {
            if let Some(news) = self.take_event(event) {
                return Some(news);
            }
        }
        None
    }

    /// Takes an event; nothing if its group has ended.
    pub(crate) fn take_event(&mut self, event: RelayEvent) -> Option<RelayNews> {
        let now = self.state.now();
        match event {
            RelayEvent::Batch(index, batch) => {
                let group = &mut self.groups[index.0];
                group.ticket.as_ref()?;
                if batch.last {
                    group.ticket = None;
                }
                if group.silent_at.take().is_some() {
                    self.state.decisions().relays.note_answer(&group.peer.entry);
                }
                Some(RelayNews::Parts(group.shards.clone(), batch))
            }
            RelayEvent::Lost(index) => {
                let group = &mut self.groups[index.0];
                group.ticket.take()?;
                self.state.decisions().relays.note_timeout(now, &group.peer.entry);
                let shards = group.shards.clone();
                Some(match group.silent_at.take() {
                    Some(_) => RelayNews::Silent(shards),
                    None => RelayNews::LostLater(shards),
                })
            }
        }
    }

    /// A group whose entry has been silent for too long.
    pub(crate) fn find_silent(&self, now: MonotonicTime) -> Option<GroupIndex> {
        let is_late = |group: &RelayedGroup| {
            group.ticket.is_some() && group.silent_at.is_some_and(|at| at <= now)
        };
        self.groups.iter().position(is_late).map(GroupIndex)
    }

    /// The shards of a group.
    pub(crate) fn shards_of(&self, index: GroupIndex) -> &[ShardIndex] {
        &self.groups[index.0].shards
    }

    /// Keeps other requests away from a silent entry and goes on waiting for it.
    pub(crate) fn wait_longer(&mut self, now: MonotonicTime, index: GroupIndex) {
        let group = &mut self.groups[index.0];
        group.silent_at = None;
        self.state.decisions().relays.note_timeout(now, &group.peer.entry);
        self.state.fanout.retire(group.peer.address);
    }

    /// Ends a group and its link.
    pub(crate) fn end_silent(&mut self, now: MonotonicTime, index: GroupIndex) -> RelayNews {
        // Dropping the ticket cancels the task before the link ends.
        self.groups[index.0].ticket = None;
        self.wait_longer(now, index);
        let group = &self.groups[index.0];
        spdlog::info!("entry silent", kv: { peer: = group.peer.entry, address: = group.peer.address });
        RelayNews::Silent(group.shards.clone())
    }
}
