//! Accepted sheets, and the rules for accepting one: unique ascending numbers and confirmed removals
//! (`docs/design.md`, section 9).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::interface::AdminOutcome;
use crate::sheet::{SheetDocument, TenantSheet};
use crate::types::{OperatorId, RevisionNumber, SheetNumber, StateDigest, WallTime};

/// Number of accepted sheets whose content is kept, about one month. The digests of older sheets are kept
/// permanently.
const MAX_KEPT_DOCUMENTS: usize = 32;

/// Record of an accepted sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AcceptedSheet {
    /// Digest of the sheet's content.
    pub digest: StateDigest,
    /// Operator who submitted the sheet.
    pub by: OperatorId,
    /// Time at which the sheet was accepted.
    pub at: WallTime,
    /// Revision from which the sheet is in effect.
    pub revision: RevisionNumber,
}

/// Records of all accepted sheets, and the content of recent ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct SheetHistory {
    accepted: BTreeMap<SheetNumber, AcceptedSheet>,
    documents: BTreeMap<SheetNumber, Arc<SheetDocument>>,
}

impl SheetHistory {
    /// Returns the number and record of the current sheet, or `None` if none has been accepted.
    pub fn current(&self) -> Option<(&SheetNumber, &AcceptedSheet)> {
        self.accepted.last_key_value()
    }

    /// Returns the content of an accepted sheet; of the current one if no number is given. Returns `None` if the sheet
    /// is unknown or its content is no longer kept.
    pub fn document(&self, number: Option<SheetNumber>) -> Option<Arc<SheetDocument>> {
        match number {
            Some(number) => self.documents.get(&number).cloned(),
            None => self.documents.last_key_value().map(|(_, sheet)| sheet.clone()),
        }
    }

    /// Checks a submitted sheet. Returns `None` if it must be accepted, and otherwise the outcome for the operator.
    pub fn decide(&self, sheet: &SheetDocument, confirmed: &[Arc<str>]) -> Option<AdminOutcome> {
        if let Some(accepted) = self.accepted.get(&sheet.number) {
            if accepted.digest == sheet.digest() {
                return Some(AdminOutcome::Accepted { revision: accepted.revision });
            }
            return Some(AdminOutcome::NumberTaken {
                number: sheet.number,
                by: accepted.by.clone(),
                at: accepted.at,
                digest: accepted.digest,
            });
        }
        let (&current, _) = self.current()?;
        if sheet.number < current {
            return Some(AdminOutcome::NumberTooLow { current });
        }
        let removed = removed_names(self.documents.get(&current)?, sheet);
        let confirmed: BTreeSet<&str> = confirmed.iter().map(|name| &**name).collect();
        if removed.iter().all(|name| confirmed.contains(&**name)) {
            return None;
        }
        Some(AdminOutcome::RemovalsUnconfirmed(removed))
    }

    /// Adds an accepted sheet.
    pub fn accept(&mut self, sheet: Arc<SheetDocument>, record: AcceptedSheet) {
        self.accepted.insert(sheet.number, record);
        self.documents.insert(sheet.number, sheet);
        if self.documents.len() > MAX_KEPT_DOCUMENTS {
            self.documents.pop_first();
        }
    }
}

/// Returns the names that `new` no longer contains, such as `tenant vestera` or `service vestera/intake`.
pub fn removed_names(old: &SheetDocument, new: &SheetDocument) -> Vec<Arc<str>> {
    let empty = TenantSheet::default();
    let mut names = Vec::new();
    for (tenant, sheet) in &old.tenants {
        let kept = new.tenants.get(tenant);
        if kept.is_none() {
            names.push(format!("tenant {tenant}").into());
        }
        let kept = kept.unwrap_or(&empty);
        push_missing(&mut names, "service", tenant, &sheet.services, &kept.services);
        push_missing(&mut names, "search", tenant, &sheet.searches, &kept.searches);
        push_missing(&mut names, "caller", tenant, &sheet.callers, &kept.callers);
        push_missing(&mut names, "class", tenant, &sheet.classes, &kept.classes);
    }
    names
}

fn push_missing<K: Ord + Display, V>(
    names: &mut Vec<Arc<str>>,
    kind: &str,
    tenant: &impl Display,
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) {
    let missing = old.keys().filter(|name| !new.contains_key(name));
    names.extend(missing.map(|name| format!("{kind} {tenant}/{name}").into()));
}
