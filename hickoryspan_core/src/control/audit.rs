//! Audit records and the recorded outcomes of operator commands.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::commands;
use super::interface::{AdminAction, AdminCommand, AdminOutcome, AuditRecord};
use crate::types::{CommandId, OperatorId, StateDigest};

/// Audit records kept, about 18 days at 1,100 changes a day; older ones are dropped.
const MAX_AUDIT_RECORDS: usize = 20_000;

/// The newest audit records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AuditTrail(VecDeque<AuditRecord>);

impl AuditTrail {
    /// Adds a record and drops the oldest one beyond the bound.
    pub fn push(&mut self, record: AuditRecord) {
        self.0.push_back(record);
        if self.0.len() > MAX_AUDIT_RECORDS {
            self.0.pop_front();
        }
    }

    /// The newest records first.
    pub fn newest(&self, limit: usize) -> Vec<AuditRecord> {
        self.0.iter().rev().take(limit).cloned().collect()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RecordedOutcome {
    digest: StateDigest,
    outcome: AdminOutcome,
}

/// The first outcome of every command; never dropped, because a resend must get the same outcome for ever.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OutcomeTable(BTreeMap<OperatorId, BTreeMap<CommandId, RecordedOutcome>>);

impl OutcomeTable {
    /// The outcome for a resend, or a conflict if the id was used for another action.
    pub fn find(&self, command: &AdminCommand) -> Option<AdminOutcome> {
        let recorded = self.0.get(&command.operator)?.get(&command.command)?;
        if recorded.digest != action_digest(&command.action) {
            return Some(AdminOutcome::CommandConflict);
        }
        Some(recorded.outcome.clone())
    }

    /// Records the first outcome of a command.
    pub fn record(&mut self, command: &AdminCommand, outcome: AdminOutcome) {
        let recorded = RecordedOutcome { digest: action_digest(&command.action), outcome };
        let commands = self.0.entry(command.operator.clone()).or_default();
        commands.entry(command.command.clone()).or_insert(recorded);
    }
}

fn action_digest(action: &AdminAction) -> StateDigest {
    StateDigest::of_parts([commands::encode(action).as_slice()])
}

/// An action in words.
pub fn summarize(action: &AdminAction) -> String {
    match action {
        AdminAction::ApplySheet { sheet, confirmed_removals } => format!(
            "apply sheet {} of {} with {} confirmed removals",
            sheet.number,
            sheet.date,
            confirmed_removals.len()
        ),
        AdminAction::DrainTarget(target) => format!("drain target {target}"),
        AdminAction::RestoreTarget(target) => format!("restore target {target}"),
        AdminAction::DrainEntry(entry) => format!("drain entry {entry}"),
        AdminAction::RestoreEntry(entry) => format!("restore entry {entry}"),
        AdminAction::DrainDomain(domain) => format!("drain failure domain {domain}"),
        AdminAction::RestoreDomain(domain) => format!("restore failure domain {domain}"),
        AdminAction::LiftQuarantine(fingerprint) => format!("lift quarantine of {fingerprint}"),
        AdminAction::AddReplica(record) => {
            format!("add replica {} at {}", record.replica, record.peer_address)
        }
        AdminAction::RemoveReplica(replica) => format!("remove replica {replica}"),
    }
}
