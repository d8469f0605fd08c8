//! The shard groups of one request that other entries send to.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::fanouts::fanout::{FanoutSettings, ShardIndex};
use hickoryspan_core::gateway::fanouts::fanout_groups::ShardGroup;
use hickoryspan_core::gateway::fanouts::relays::{RelayAssignment, RelayMode, RelayPeer};
use hickoryspan_core::types::{MonotonicTime, ServiceId};
use tokio::sync::mpsc;

use crate::attempt::GatewayJob;
use crate::fanout_links::{FanoutTaskHandle, GroupIndex, RelayEvent};
use crate::fanout_messages::{FanoutBatch, FanoutTask, HeaderField, TaskNumber, to_fields};
use crate::gateway_state::GatewayState;

/// Subtracted from the time for an answer: the round trip to another entry and the processing of its batches.
const RELAY_OVERHEAD: Duration = Duration::from_millis(6);
/// Share of the time for an answer within which another entry must send its first batch.
const FIRST_BATCH_SHARE: f64 = 0.35;
/// If a deadline is checked later than this, this entry was stalled itself, and the other entries get more time.
const MAX_OWN_DELAY: Duration = Duration::from_millis(5);
/// Time in which the links can read batches that have already arrived, before another entry counts as timed out.
const READ_DELAY: Duration = Duration::from_millis(3);

struct RelayedGroup {
    peer: RelayPeer,
    mode: RelayMode,
    shards: Vec<ShardIndex>,
    // `None` once the group has ended.
    handle: Option<FanoutTaskHandle>,
    // Whether second attempts are left to the other entry.
    granted: bool,
    // When the first batch must have arrived; `None` once it has, or once the deadline has passed.
    first_batch_deadline: Option<MonotonicTime>,
}

/// What a request receives from another entry.
pub(crate) enum RelayProgress {
    /// Parts arrived. If the batch is the last one, the other shards of the group will not answer.
    Parts {
        /// The shards of the group.
        shards: Vec<ShardIndex>,
        batch: FanoutBatch,
        /// Whether one more attempt on each shard without an answer is allowed after the last batch.
        may_resend: bool,
    },
    /// The other entry sent no batch in time. One more attempt on each shard is allowed.
    NoBatch(Vec<ShardIndex>),
    /// The other entry has sent to none of the shards.
    NotBegun(Vec<ShardIndex>),
    /// The link was lost after the first batch or after its deadline. The other entry may already have made all attempts
    /// that are allowed on these shards.
    LostAfterBatch(Vec<ShardIndex>),
}

/// The shard groups of one request that were handed to other entries.
pub(crate) struct RelayedGroups {
    state: Arc<GatewayState>,
    groups: Vec<RelayedGroup>,
    events: mpsc::UnboundedReceiver<RelayEvent>,
}

/// The fields that all tasks of one request have in common.
struct TaskTemplate<'a> {
    job: &'a GatewayJob,
    services: &'a [ServiceId],
    result_limit: usize,
    headers: Vec<HeaderField>,
    first_batch_in: Duration,
    answer_in: Duration,
    give_up_in: Duration,
}

impl TaskTemplate<'_> {
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
    /// Creates an empty set, for a request that this entry sends alone.
    pub(crate) fn empty(state: Arc<GatewayState>) -> Self {
        let (_, events) = mpsc::unbounded_channel();
        Self { state, groups: Vec::new(), events }
    }

    /// Sends groups to other entries, as far as usable ones are linked. The remaining shards are left to this entry.
    pub(crate) fn start(
        state: Arc<GatewayState>,
        job: &GatewayJob,
        services: &[ServiceId],
        shard_groups: &[ShardGroup],
        settings: &FanoutSettings,
        result_limit: usize,
    ) -> Self {
        let now = state.now();
        let (sender, events) = mpsc::unbounded_channel();
        let answer_in = settings.answer_by.since(now).saturating_sub(RELAY_OVERHEAD);
        let first_batch_in = answer_in.mul_f64(FIRST_BATCH_SHARE);
        let template = TaskTemplate {
            job,
            services,
            result_limit,
            headers: to_fields(&job.headers),
            first_batch_in,
            answer_in,
            give_up_in: settings.give_up_at.since(now).saturating_sub(RELAY_OVERHEAD),
        };
        let mut groups = Vec::new();
        for group in shard_groups {
            let Some(assigned) = state.decisions().assign_group(now, &group.key) else { continue };
            let RelayAssignment { peer, mode } = assigned;
            if !state.fanout.ensure_up(peer.address) {
                continue;
            }
            let task = FanoutTask {
                max_attempts: mode.attempts(settings.max_attempts),
                ..template.to_task(&group.shards)
            };
            let index = GroupIndex(groups.len());
            let handle = state.fanout.send(peer.address, task, index, sender.clone());
            if handle.is_some() {
                let shards = group.shards.clone();
                let first_batch_deadline = Some(now + first_batch_in + mode.grace());
                groups.push(RelayedGroup {
                    peer,
                    mode,
                    shards,
                    handle,
                    granted: false,
                    first_batch_deadline,
                });
            }
        }
        Self { state, groups, events }
    }

    /// Returns the shards that other entries send to.
    pub(crate) fn shards(&self) -> impl Iterator<Item = ShardIndex> + '_ {
        self.groups.iter().flat_map(|group| group.shards.iter().copied())
    }

    /// Returns the number of groups.
    pub(crate) fn count(&self) -> usize {
        self.groups.len()
    }

    /// Returns whether any group can still send batches.
    pub(crate) fn is_open(&self) -> bool {
        self.groups.iter().any(|group| group.handle.is_some())
    }

    /// Returns the earliest time at which the first batch of a group must have arrived.
    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        let open = self.groups.iter().filter(|group| group.handle.is_some());
        open.filter_map(|group| group.first_batch_deadline).min()
    }

    /// Waits for the next event of any group.
    pub(crate) async fn next_event(&mut self) -> Option<RelayEvent> {
        self.events.recv().await
    }

    /// Gives the links time to read batches that have already arrived, and extends the deadlines if this entry was
    /// stalled. After a stall, batches may still be in its socket buffers.
    pub(crate) async fn await_received_batches(&mut self, now: MonotonicTime) {
        let Some(deadline) =
            self.groups.iter().filter_map(|group| group.first_batch_deadline).min()
        else {
            return;
        };
        // After a stall of this entry, missing batches do not show that the other entries are late.
        if now.since(deadline) > MAX_OWN_DELAY {
            for group in &mut self.groups {
                let grace = group.mode.grace();
                group.first_batch_deadline =
                    group.first_batch_deadline.map(|at| at.max(now + grace));
            }
        }
        if self.find_timed_out(now).is_some() {
            tokio::time::sleep(READ_DELAY).await;
        }
    }

    /// Handles queued events until one of them brings progress; `None` if there is none.
    pub(crate) fn next_received(&mut self) -> Option<RelayProgress> {
        while let Ok(event) = self.events.try_recv() {
            if let Some(progress) = self.handle_event(event) {
                return Some(progress);
            }
        }
        None
    }

    /// Handles an event. Returns `None` if its group has ended.
    pub(crate) fn handle_event(&mut self, event: RelayEvent) -> Option<RelayProgress> {
        let now = self.state.now();
        match event {
            RelayEvent::Batch(index, batch) => {
                let group = &mut self.groups[index.0];
                let handle = group.handle.as_ref()?;
                let may_resend = batch.cut && !group.granted;
                if batch.last {
                    group.handle = None;
                } else if group.mode == RelayMode::Full && !group.granted {
                    group.granted = true;
                    handle.grant_retries();
                }
                if group.first_batch_deadline.take().is_some() {
                    self.state.decisions().relays.note_answer(&group.peer.entry);
                }
                Some(RelayProgress::Parts { shards: group.shards.clone(), batch, may_resend })
            }
            RelayEvent::NotBegun(index) => {
                let group = &mut self.groups[index.0];
                group.handle.take()?;
                group.first_batch_deadline = None;
                // It is about to end, so other requests use another entry at once.
                self.state.decisions().relays.note_timeout(now, &group.peer.entry);
                Some(RelayProgress::NotBegun(group.shards.clone()))
            }
            RelayEvent::Lost(index) => {
                let group = &mut self.groups[index.0];
                group.handle.take()?;
                self.state.decisions().relays.note_timeout(now, &group.peer.entry);
                let shards = group.shards.clone();
                Some(match group.first_batch_deadline.take() {
                    Some(_) => RelayProgress::NoBatch(shards),
                    None => RelayProgress::LostAfterBatch(shards),
                })
            }
        }
    }

    /// Returns a group whose first batch is overdue.
    pub(crate) fn find_timed_out(&self, now: MonotonicTime) -> Option<GroupIndex> {
        let is_late = |group: &RelayedGroup| {
            group.handle.is_some() && group.first_batch_deadline.is_some_and(|at| at <= now)
        };
        self.groups.iter().position(is_late).map(GroupIndex)
    }

    /// Returns the shards of a group.
    pub(crate) fn shards_of(&self, index: GroupIndex) -> &[ShardIndex] {
        &self.groups[index.0].shards
    }

    /// Makes other requests avoid the entry of a group that is overdue and replaces the link to it. The group itself is
    /// not ended, and late batches still count.
    pub(crate) fn note_timeout(&mut self, now: MonotonicTime, index: GroupIndex) {
        let group = &mut self.groups[index.0];
        group.first_batch_deadline = None;
        self.state.decisions().relays.note_timeout(now, &group.peer.entry);
        self.state.fanout.retire(group.peer.address);
    }

    /// Ends a group that is overdue and cancels its task.
    pub(crate) fn end_timed_out(&mut self, now: MonotonicTime, index: GroupIndex) -> RelayProgress {
        // The handle must be dropped first, so that the cancellation is queued before the link is retired.
        self.groups[index.0].handle = None;
        self.note_timeout(now, index);
        let group = &self.groups[index.0];
        spdlog::info!(
            "no fan-out batch from entry in time",
            kv: { peer: = group.peer.entry, address: = group.peer.address }
        );
        RelayProgress::NoBatch(group.shards.clone())
    }
}
