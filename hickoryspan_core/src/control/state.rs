//! The replicated state. Replicas that have applied the same log entries have the same state (`docs/design.md`,
//! section 3).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::audit::{AuditTrail, OutcomeTable, summarize};
use super::claims::ClaimTable;
use super::commands::{CommandBody, CommandOutcome, EntryProcess, LogCommand};
use super::interface::{AdminAction, AdminCommand, AdminOutcome, AuditRecord, ReplicaRecord};
use super::quarantine::{self, RecentCrashes};
use super::raft::ReplicaSet;
use super::registry::{MemberRegistry, ViewEditor, find_entry};
use super::sheets::{AcceptedSheet, SheetHistory};
use crate::gateway::documents::document::{
    ConfigurationDocument, DocumentOutcome, decide_document,
};
use crate::gateway::targets::evacuations::{EvacuationOrder, EvacuationState};
use crate::membership::{MembershipView, ViewChange};
use crate::messages::{ClaimKey, ClaimVerdict};
use crate::sheet::SheetDocument;
use crate::types::{FailureDomain, OperatorId, ReplicaId, RequestFingerprint, WallTime};

/// Maximum number of replicas: five, and one that is replacing another.
const MAX_REPLICAS: usize = 6;

/// State that is rebuilt from the log on every replica and survives the loss of a minority of replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct ReplicatedState {
    view: MembershipView,
    sheets: SheetHistory,
    outcomes: OutcomeTable,
    audit: AuditTrail,
    claims: ClaimTable,
    registry: MemberRegistry,
    crashes: RecentCrashes,
    // The replicas that operators have configured. The leader changes the replica set step by step until it matches,
    // and a new leader continues.
    replicas: BTreeMap<ReplicaId, ReplicaRecord>,
    document: Option<Arc<ConfigurationDocument>>,
    evacuations: EvacuationState,
}

/// Result and view changes of an applied command.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand {
    /// Result for the client that waits for the command.
    pub outcome: CommandOutcome,
    /// Changes of the view to send to entries. They share one new revision; if there are none, the revision is
    /// unchanged.
    pub changes: Vec<ViewChange>,
}

impl ReplicatedState {
    /// Rebuilds the indexes that are not serialized. Must be called after decoding.
    pub fn rebuild(&mut self) {
        self.claims.rebuild();
        self.registry.rebuild(&self.view);
    }

    /// Returns the membership view that is sent to entries.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Returns the accepted sheets.
    pub fn sheets(&self) -> &SheetHistory {
        &self.sheets
    }

    /// Returns the audit records.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the claims of orders.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the state of targets and entries that is not part of the view.
    pub fn registry(&self) -> &MemberRegistry {
        &self.registry
    }

    /// Returns the recorded outcomes of operator commands.
    pub fn outcomes(&self) -> &OutcomeTable {
        &self.outcomes
    }

    /// Returns the replicas that operators have configured.
    pub fn replicas(&self) -> &BTreeMap<ReplicaId, ReplicaRecord> {
        &self.replicas
    }

    /// Returns the current configuration document, or `None` before the first one is accepted.
    pub fn document(&self) -> Option<&Arc<ConfigurationDocument>> {
        self.document.as_ref()
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &EvacuationState {
        &self.evacuations
    }

    fn evacuate(&mut self, order: EvacuationOrder) -> EvacuationState {
        self.evacuations.apply(order);
        self.evacuations.clone()
    }

    fn replace_document(&mut self, next: Arc<ConfigurationDocument>) -> DocumentOutcome {
        let outcome = decide_document(self.document.as_deref(), &next);
        if outcome == DocumentOutcome::Accepted {
            self.document = Some(next);
        }
        outcome
    }

    /// Initialises the configured replicas from the first committed replica set.
    pub fn note_replica_set(&mut self, set: &ReplicaSet) {
        if self.replicas.is_empty() {
            self.replicas = set.records().map(|record| (record.replica, record.clone())).collect();
        }
    }

    /// Applies one committed command. The result depends only on the state and the command.
    pub fn apply(&mut self, command: LogCommand) -> AppliedCommand {
        let LogCommand { at, body } = command;
        let mut view = std::mem::take(&mut self.view);
        let mut editor = ViewEditor::new(&mut view);
        let outcome = self.apply_body(&mut editor, at, body);
        let changes = editor.into_changes();
        self.view = view;
        AppliedCommand { outcome, changes }
    }

    fn apply_body(
        &mut self,
        editor: &mut ViewEditor<'_>,
        at: WallTime,
        body: CommandBody,
    ) -> CommandOutcome {
        match body {
            CommandBody::Announce(records) => {
                let announce = |record| self.registry.announce(editor, record);
                return CommandOutcome::Announced(records.into_iter().map(announce).collect());
            }
            CommandBody::Withdraw(process) => {
                let removed = self.registry.remove_target(editor, &process, at, true);
                return CommandOutcome::Withdrawn(removed);
            }
            CommandBody::ExpireTargets(processes) => {
                for process in processes {
                    // The removal fails if a newer process is registered, which has its own lease.
                    let _ = self.registry.remove_target(editor, &process, at, false);
                }
            }
            CommandBody::RegisterEntry { registration, max_ordinals } => {
                let ordinal = self.registry.register_entry(editor, &registration, max_ordinals);
                return CommandOutcome::Registered(ordinal);
            }
            CommandBody::MarkEntry { process, draining } => {
                self.registry.mark_entry(editor, &process, draining);
            }
            CommandBody::ReleaseEntries(processes) => {
                for process in processes {
                    self.registry.release_entry(editor, &process);
                    self.claims.abandon(&process);
                }
            }
            CommandBody::Claim { process, key, fingerprint, capacity } => {
                let verdict = self.claim(editor.view, &process, &key, fingerprint, capacity);
                return CommandOutcome::Claimed(verdict);
            }
            CommandBody::Settle { process, key, outcome } => {
                return CommandOutcome::Settled(self.claims.settle(&process, &key, outcome));
            }
            CommandBody::AdvanceHorizon(horizon) => self.claims.advance_horizon(horizon),
            CommandBody::ReportCrash { evidence, fingerprints } => {
                let domain = self.registry.failure_domain(editor.view, &evidence.target);
                self.crashes.report(editor, &evidence, domain, &fingerprints, at);
            }
            CommandBody::ClearSuspect(fingerprint) => {
                quarantine::clear_suspect(editor, fingerprint);
            }
            CommandBody::ExpireQuarantines => quarantine::expire(editor, at),
            CommandBody::Admin(command) => {
                return CommandOutcome::Decided(self.decide(editor, at, command));
            }
            CommandBody::ReplaceDocument(document) => {
                return CommandOutcome::DocumentDecided(self.replace_document(document));
            }
            CommandBody::Evacuate(order) => {
                return CommandOutcome::Evacuated(self.evacuate(order));
            }
        }
        CommandOutcome::Done
    }

    // A process without an ordinal has no lease that expires, so its claims would never be settled as unknown.
    fn claim(
        &mut self,
        view: &MembershipView,
        process: &EntryProcess,
        key: &ClaimKey,
        fingerprint: RequestFingerprint,
        capacity: u64,
    ) -> ClaimVerdict {
        if find_entry(view, process).is_none() {
            return ClaimVerdict::Unavailable;
        }
        self.claims.claim(process, key, fingerprint, capacity)
    }

    fn decide(
        &mut self,
        editor: &mut ViewEditor<'_>,
        at: WallTime,
        command: AdminCommand,
    ) -> AdminOutcome {
        if let Some(outcome) = self.outcomes.find(&command) {
            return outcome;
        }
        let outcome = match self.run_action(editor, at, &command.operator, &command.action) {
            Ok(()) => AdminOutcome::Accepted { revision: editor.view.revision },
            Err(outcome) => outcome,
        };
        self.outcomes.record(&command, outcome.clone());
        self.audit.push(AuditRecord {
            at,
            summary: summarize(&command.action).into(),
            operator: command.operator,
            command: command.command,
            outcome: outcome.clone(),
        });
        outcome
    }

    fn run_action(
        &mut self,
        editor: &mut ViewEditor<'_>,
        at: WallTime,
        operator: &OperatorId,
        action: &AdminAction,
    ) -> Result<(), AdminOutcome> {
        let result = match action {
            AdminAction::ApplySheet { sheet, confirmed_removals } => {
                return self.accept_sheet(editor, at, operator, sheet, confirmed_removals);
            }
            AdminAction::DrainTarget(target) => self.registry.drain_target(editor, target, true),
            AdminAction::RestoreTarget(target) => self.registry.drain_target(editor, target, false),
            AdminAction::DrainEntry(entry) => self.registry.drain_entry(editor, entry, true),
            AdminAction::RestoreEntry(entry) => self.registry.drain_entry(editor, entry, false),
            AdminAction::DrainDomain(domain) => drain_domain(editor, domain, true),
            AdminAction::RestoreDomain(domain) => drain_domain(editor, domain, false),
            AdminAction::LiftQuarantine(fingerprint) => {
                let was_quarantined = quarantine::lift(editor, *fingerprint);
                was_quarantined.then_some(()).ok_or_else(|| "the request is not quarantined".into())
            }
            AdminAction::AddReplica(record) => self.add_replica(record),
            AdminAction::RemoveReplica(replica) => self.remove_replica(*replica),
        };
        result.map_err(AdminOutcome::Rejected)
    }

    fn accept_sheet(
        &mut self,
        editor: &mut ViewEditor<'_>,
        at: WallTime,
        operator: &OperatorId,
        sheet: &Arc<SheetDocument>,
        confirmed_removals: &[Arc<str>],
    ) -> Result<(), AdminOutcome> {
        if let Some(outcome) = self.sheets.decide(sheet, confirmed_removals) {
            return Err(outcome);
        }
        editor.push(ViewChange::PutSheet(sheet.clone()));
        let record = AcceptedSheet {
            digest: sheet.digest(),
            by: operator.clone(),
            at,
            revision: editor.view.revision,
        };
        self.sheets.accept(sheet.clone(), record);
        Ok(())
    }

    fn add_replica(&mut self, record: &ReplicaRecord) -> Result<(), Arc<str>> {
        let known = self.replicas.contains_key(&record.replica);
        if !known && self.replicas.len() >= MAX_REPLICAS {
            return Err(format!("{MAX_REPLICAS} replicas exist already").into());
        }
        let mut others = self.replicas.values().filter(|other| other.replica != record.replica);
        if let Some(other) = others.find(|other| other.peer_address == record.peer_address) {
            let ReplicaRecord { replica, peer_address, .. } = other;
            return Err(format!("replica {replica} has the address {peer_address}").into());
        }
        self.replicas.insert(record.replica, record.clone());
        Ok(())
    }

    fn remove_replica(&mut self, replica: ReplicaId) -> Result<(), Arc<str>> {
        if !self.replicas.contains_key(&replica) {
            return Err(format!("replica {replica} does not exist").into());
        }
        if self.replicas.len() == 1 {
            return Err("the last replica cannot be removed".into());
        }
        self.replicas.remove(&replica);
        Ok(())
    }
}

fn drain_domain(
    editor: &mut ViewEditor<'_>,
    domain: &FailureDomain,
    draining: bool,
) -> Result<(), Arc<str>> {
    let drained = editor.view.drained_domains.contains(domain);
    if drained == draining && draining {
        return Ok(());
    }
    if drained == draining {
        return Err(format!("failure domain {domain} is not drained").into());
    }
    let view = &editor.view;
    let targets = view.targets.values().map(|record| &record.failure_domain);
    let entries = view.entries.values().flat_map(|processes| processes.values());
    let mut domains = targets.chain(entries.map(|record| &record.failure_domain));
    if draining && !domains.any(|known| known == domain) {
        return Err(format!("failure domain {domain} has no target or entry").into());
    }
    editor.push(ViewChange::DrainDomain(domain.clone(), draining));
    Ok(())
}
