//! Audit trail, and recorded outcomes that make operators' commands idempotent.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::commands;
use super::interface::{AdminAction, AdminCommand, AdminOutcome, AuditRecord};
use crate::types::{CommandId, OperatorId, StateDigest};

/// Maximum number of audit records, about 18 days at 1,100 changes a day; older records are dropped.
const MAX_AUDIT_RECORDS: usize = 20_000;

/// The most recent audit records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AuditTrail(VecDeque<AuditRecord>);

impl AuditTrail {
    /// Adds a record and drops the oldest one if the maximum is exceeded.
    pub fn push(&mut self, record: AuditRecord) {
        self.0.push_back(record);
        if self.0.len() > MAX_AUDIT_RECORDS {
            self.0.pop_front();
        }
    }

    /// Returns up to `limit` records, newest first.
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

/// First outcome of every command. Outcomes are never dropped, because a resent command must always return the same
/// outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OutcomeTable(BTreeMap<OperatorId, BTreeMap<CommandId, RecordedOutcome>>);

impl OutcomeTable {
    /// Returns the recorded outcome of a resent command, or a conflict if its id was used for another action. Returns
    /// `None` for a new command.
    pub fn find(&self, command: &AdminCommand) -> Option<AdminOutcome> {
        let recorded = self.0.get(&command.operator)?.get(&command.command)?;
        if recorded.digest != action_digest(&command.action) {
            return Some(AdminOutcome::CommandConflict);
        }
        Some(recorded.outcome.clone())
    }

    /// Records the outcome of a command, unless one is recorded already.
    pub fn record(&mut self, command: &AdminCommand, outcome: AdminOutcome) {
        let recorded = RecordedOutcome { digest: action_digest(&command.action), outcome };
        let commands = self.0.entry(command.operator.clone()).or_default();
        commands.entry(command.command.clone()).or_insert(recorded);
    }
}

fn action_digest(action: &AdminAction) -> StateDigest {
    StateDigest::of_parts([commands::encode(action).as_slice()])
}

/// Describes an action for the audit trail.
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
