//! Handling of announcements and withdrawals of targets.

use std::sync::Arc;

use super::ControlMachine;
use super::leadership::{AnnouncedTarget, CommandWaiter};
use crate::control::commands::{CommandBody, TargetProcess};
use crate::control::interface::{ControlAction, ControlReply, ReplyToken};
use crate::control::registry::check_announcement;
use crate::membership::TargetRecord;
use crate::types::{ClockReading, IncarnationNumber, MonotonicTime, TargetId};

/// Maximum number of announcement commands that are not yet applied. Further announcements are queued meanwhile and
/// batched into the next command.
const MAX_ANNOUNCEMENT_COMMANDS: usize = 2;
/// Once a command has this many partitions, no further target is added to it. This limits the size of a log entry.
const MAX_PARTITIONS_PER_COMMAND: usize = 4_096;
/// Maximum number of requests that wait for the announcement of one target. A target normally has one pending.
const MAX_TOKENS_PER_TARGET: usize = 8;

/// A new or changed announcement that is queued for the next command.
#[derive(Debug)]
pub(super) struct WaitingAnnouncement {
    pub record: TargetRecord,
    pub tokens: Vec<ReplyToken>,
}

impl ControlMachine {
    pub(super) fn handle_announcement(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        record: TargetRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        if let Err(reason) = check_announcement(&record) {
            actions.push(ControlAction::Reply(token, ControlReply::AnnounceRefused(reason)));
            return;
        }
        // An older process must not renew the lease of the registered one.
        let registered = self.state.view().targets.get(&record.target);
        if registered.is_some_and(|registered| registered.incarnation > record.incarnation) {
            let reason = "a newer incarnation is registered".into();
            actions.push(ControlAction::Reply(token, ControlReply::AnnounceRefused(reason)));
            return;
        }
        let lease = self.settings.target_lease;
        let unchanged = self.state.registry().is_unchanged(self.state.view(), &record);
        let max_waiting = self.settings.max_waiting_announcements;
        let Some(leadership) = &mut self.leadership else { return };
        let waiting = leadership.announcements.len();
        match leadership.announcements.get_mut(&record.target) {
            None if unchanged => {
                leadership.targets.renew(record.target, now.monotonic + lease);
                actions.push(ControlAction::Reply(token, ControlReply::Announced { lease }));
            }
            None if waiting >= max_waiting => self.reply_unavailable(token, actions),
            None => {
                let target = record.target.clone();
                if leadership.targets.is_held(&target, now.monotonic) {
                    // The announcement shows that the target is alive, even if the command is rejected later.
                    leadership.targets.renew(target.clone(), now.monotonic + lease);
                }
                let announcement = WaitingAnnouncement { record, tokens: vec![token] };
                leadership.announcements.insert(target, announcement);
            }
            Some(known) if known.record.incarnation > record.incarnation => {
                let reason = "a newer incarnation announced itself".into();
                actions.push(ControlAction::Reply(token, ControlReply::AnnounceRefused(reason)));
            }
            Some(known) if known.tokens.len() >= MAX_TOKENS_PER_TARGET => {
                self.reply_unavailable(token, actions);
            }
            Some(known) => {
                known.record = record;
                known.tokens.push(token);
            }
        }
    }

    /// Proposes queued announcements, many in one command.
    pub(super) fn propose_announcements(&mut self, now: ClockReading) {
        loop {
            let Some(leadership) = &mut self.leadership else { return };
            if leadership.announcements.is_empty() {
                return;
            }
            let waiters = leadership.waiters.values();
            let running = waiters
                .filter(|waiter| matches!(waiter, CommandWaiter::Announcements(_)))
                .take(MAX_ANNOUNCEMENT_COMMANDS)
                .count();
            if running >= MAX_ANNOUNCEMENT_COMMANDS {
                return;
            }
            let mut records = Vec::new();
            let mut targets = Vec::new();
            let mut partitions = 0;
            let max_records = self.settings.max_announcements_per_command;
            while records.len() < max_records && partitions < MAX_PARTITIONS_PER_COMMAND {
                let Some((target, waiting)) = leadership.announcements.pop_first() else { break };
                let incarnation = waiting.record.incarnation;
                partitions += waiting.record.partitions.len();
                records.push(waiting.record);
                targets.push(AnnouncedTarget { target, incarnation, tokens: waiting.tokens });
            }
            let body = CommandBody::Announce(records.clone());
            if self.propose_for(now, body, CommandWaiter::Announcements(Vec::new())).is_err() {
                return self.requeue_announcements(records, targets);
            }
            self.attach_targets(targets);
        }
    }

    fn attach_targets(&mut self, targets: Vec<AnnouncedTarget>) {
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(mut waiter) = leadership.waiters.last_entry() {
            waiter.insert(CommandWaiter::Announcements(targets));
        }
    }

    fn requeue_announcements(&mut self, records: Vec<TargetRecord>, targets: Vec<AnnouncedTarget>) {
        let Some(leadership) = &mut self.leadership else { return };
        for (record, target) in records.into_iter().zip(targets) {
            let waiting = WaitingAnnouncement { record, tokens: target.tokens };
            leadership.announcements.insert(target.target, waiting);
        }
    }

    pub(super) fn answer_announcements(
        &mut self,
        now: MonotonicTime,
        targets: Vec<AnnouncedTarget>,
        results: Vec<Result<(), Arc<str>>>,
        actions: &mut Vec<ControlAction>,
    ) {
        let lease = self.settings.target_lease;
        let Some(leadership) = &mut self.leadership else { return };
        for (announced, result) in targets.into_iter().zip(results) {
            let registered = self.state.view().targets.get(&announced.target);
            let is_current =
                registered.is_some_and(|record| record.incarnation == announced.incarnation);
            if is_current && result.is_ok() {
                leadership.targets.renew(announced.target, now + lease);
            }
            let reply = match result {
                Ok(()) => ControlReply::Announced { lease },
                Err(reason) => ControlReply::AnnounceRefused(reason),
            };
            for token in announced.tokens {
                actions.push(ControlAction::Reply(token, reply.clone()));
            }
        }
    }

    pub(super) fn handle_withdrawal(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        target: TargetId,
        incarnation: IncarnationNumber,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        self.drop_announcement(&target, incarnation, actions);
        let body = CommandBody::Withdraw(TargetProcess { target, incarnation });
        if self.propose_for(now, body, CommandWaiter::Withdrawal(token)).is_err() {
            self.reply_unavailable(token, actions);
        }
    }

    // A queued announcement must not register the target again after its withdrawal.
    fn drop_announcement(
        &mut self,
        target: &TargetId,
        incarnation: IncarnationNumber,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        let waiting = leadership.announcements.get(target);
        if waiting.is_none_or(|waiting| waiting.record.incarnation > incarnation) {
            return;
        }
        let Some(waiting) = leadership.announcements.remove(target) else { return };
        for token in waiting.tokens {
            let reply = ControlReply::AnnounceRefused("the target withdrew".into());
            actions.push(ControlAction::Reply(token, reply));
        }
    }

    /// Returns whether this replica serves requests. If it is not the leader, or its state is not complete yet, it
    /// replies to the request with an error.
    pub(super) fn can_serve(&self, token: ReplyToken, actions: &mut Vec<ControlAction>) -> bool {
        if self.is_serving() {
            return true;
        }
        if self.leadership.is_some() {
            self.reply_unavailable(token, actions);
        } else {
            let leader = self.raft.leader_record().cloned();
            actions.push(ControlAction::Reply(token, ControlReply::NotLeader(leader)));
        }
        false
    }
}
