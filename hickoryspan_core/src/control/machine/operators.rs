//! Handling of operators' commands and queries.

use std::sync::Arc;

use super::ControlMachine;
use super::leadership::{CommandWaiter, WaitingRead};
use crate::control::commands::{CommandBody, EntryProcess};
use crate::control::interface::{
    AdminCommand, AdminQuery, ControlAction, ControlReply, EntryStatus, QuarantineStatus,
    ReplyToken, StatusReport,
};
use crate::gateway::documents::document::ConfigurationDocument;
use crate::gateway::targets::evacuations::EvacuationOrder;
use crate::types::{ClockReading, RevisionNumber};

/// Maximum number of audit records in one reply.
const MAX_HISTORY: usize = 1_000;

impl ControlMachine {
    pub(super) fn handle_admin(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        command: AdminCommand,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        let body = CommandBody::Admin(command);
        if self.propose_for(now, body, CommandWaiter::Admin(token)).is_err() {
            self.reply_unavailable(token, actions);
        }
    }

    pub(super) fn handle_document(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        document: Arc<ConfigurationDocument>,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        self.propose_order(now, token, CommandBody::ReplaceDocument(document), actions);
    }

    pub(super) fn handle_evacuation(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        order: EvacuationOrder,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        self.propose_order(now, token, CommandBody::Evacuate(order), actions);
    }

    /// Proposes an order of which the acknowledgement must survive the loss of disks.
    fn propose_order(
        &mut self,
        now: ClockReading,
        token: ReplyToken,
        body: CommandBody,
        actions: &mut Vec<ControlAction>,
    ) {
        let enough_voters = self.has_enough_voters(now.monotonic);
        if !enough_voters || self.propose_for(now, body, CommandWaiter::Order(token)).is_err() {
            self.reply_unavailable(token, actions);
        }
    }

    pub(super) fn handle_query(
        &mut self,
        token: ReplyToken,
        query: AdminQuery,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.can_serve(token, actions) {
            return;
        }
        if self.wait_for_read(WaitingRead::Query(token, query)).is_err() {
            self.reply_unavailable(token, actions);
        }
    }

    pub(super) fn answer_query(
        &self,
        token: ReplyToken,
        query: AdminQuery,
        actions: &mut Vec<ControlAction>,
    ) {
        let view = self.state.view();
        let reply = match query {
            AdminQuery::Status => ControlReply::Status(Box::new(self.to_status())),
            AdminQuery::Sheet(number) => ControlReply::Sheet(self.state.sheets().document(number)),
            AdminQuery::History { limit } => {
                let limit = usize::try_from(limit).unwrap_or(MAX_HISTORY).min(MAX_HISTORY);
                ControlReply::History(self.state.audit().newest(limit))
            }
            AdminQuery::Document => ControlReply::Document(self.state.document().cloned()),
            AdminQuery::Targets => ControlReply::Targets(view.targets.values().cloned().collect()),
            AdminQuery::Quarantines => {
                let records = view.quarantines.iter();
                let records = records.map(|(fingerprint, record)| QuarantineStatus {
                    fingerprint: *fingerprint,
                    record: record.clone(),
                });
                ControlReply::Quarantines(records.collect())
            }
        };
        actions.push(ControlAction::Reply(token, reply));
    }

    fn to_status(&self) -> StatusReport {
        let view = self.state.view();
        let current = self.state.sheets().current();
        let records = view.entries.values().flat_map(|processes| processes.values());
        let reported = self.leadership.as_ref().map(|leadership| &leadership.reported);
        let entries = records.map(|record| {
            let (entry, incarnation) = (record.entry.clone(), record.incarnation);
            let process = EntryProcess { entry, incarnation };
            let revision = reported.and_then(|reported| reported.get(&process).copied());
            EntryStatus { record: record.clone(), revision }
        });
        StatusReport {
            replica: self.raft.identity(),
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            revision: view.revision,
            digest: view.digest,
            sheet: current.map(|(number, _)| *number),
            sheet_revision: current.map_or(RevisionNumber(0), |(_, sheet)| sheet.revision),
            replicas: self.raft.replica_set().0.records().cloned().collect(),
            entries: entries.collect(),
            targets: view.targets.len() as u64,
            claims: self.state.claims().len(),
            entry_lease: super::leadership::entry_lease(&self.settings),
            evacuations: self.state.evacuations().clone(),
        }
    }
}
