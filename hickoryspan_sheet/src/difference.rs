//! Differences between two sheets.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::SheetNumber;
use serde::{Deserialize, Serialize};

use crate::writer::document_rows;

/// Change of a row. Values are formatted with their column names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The row exists only in the new sheet.
    Added {
        /// The values of the row.
        new: Arc<str>,
    },
    /// The row exists only in the old sheet.
    Removed {
        /// The values of the row.
        old: Arc<str>,
    },
    /// The row exists in both sheets with different values.
    Changed {
        /// The values in the old sheet.
        old: Arc<str>,
        /// The values in the new sheet.
        new: Arc<str>,
    },
}

/// A row that differs between two sheets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetChange {
    /// Path of the row, `tenant/kind/name`.
    pub path: Arc<str>,
    /// Whether the row was added, removed or changed, with its values.
    pub kind: ChangeKind,
}

impl fmt::Display for SheetChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.kind {
            ChangeKind::Added { new } => write!(formatter, "added {path}: {new}"),
            ChangeKind::Removed { old } => write!(formatter, "removed {path}: {old}"),
            ChangeKind::Changed { old, new } => {
                write!(formatter, "changed {path}: from {old} to {new}")
            }
        }
    }
}

/// All changes from one sheet to another, sorted by path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetDifference {
    /// The number of the old sheet.
    pub old_number: SheetNumber,
    /// The number of the new sheet.
    pub new_number: SheetNumber,
    /// The date of the old sheet.
    pub old_date: Arc<str>,
    /// The date of the new sheet.
    pub new_date: Arc<str>,
    /// The rows that were added, removed or changed.
    pub changes: Vec<SheetChange>,
}

impl SheetDifference {
    /// Compares two documents row by row.
    ///
    /// A search that becomes an order, or the reverse, counts as a removal and an addition, because callers use the two
    /// differently.
    pub fn between(old: &SheetDocument, new: &SheetDocument) -> Self {
        let (old_rows, new_rows) = (rows_by_path(old), rows_by_path(new));
        let mut changes: Vec<SheetChange> = old_rows
            .iter()
            .filter_map(|(path, values)| compare_row(path, values, new_rows.get(path)))
            .collect();
        let added = new_rows.iter().filter(|(path, _)| !old_rows.contains_key(*path));
        changes.extend(added.map(|(path, values)| SheetChange {
            path: path.clone(),
            kind: ChangeKind::Added { new: values.clone() },
        }));
        changes.sort_by(|first, second| first.path.cmp(&second.path));
        Self {
            old_number: old.number,
            new_number: new.number,
            old_date: old.date.clone(),
            new_date: new.date.clone(),
            changes,
        }
    }

    /// Returns the paths of the removed rows.
    pub fn removals(&self) -> Vec<Arc<str>> {
        let is_removal = |change: &&SheetChange| matches!(change.kind, ChangeKind::Removed { .. });
        self.changes.iter().filter(is_removal).map(|change| change.path.clone()).collect()
    }
}

impl fmt::Display for SheetDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sheet {} of {} to sheet {} of {}: {} changed rows",
            self.old_number,
            self.old_date,
            self.new_number,
            self.new_date,
            self.changes.len()
        )?;
        self.changes.iter().try_for_each(|change| write!(formatter, "\n{change}"))
    }
}

/// Returns the sorted paths (`tenant/kind/name`) of the rows that are in the old sheet but not in the new one.
pub fn removals(old: &SheetDocument, new: &SheetDocument) -> Vec<Arc<str>> {
    SheetDifference::between(old, new).removals()
}

fn rows_by_path(document: &SheetDocument) -> BTreeMap<Arc<str>, Arc<str>> {
    document_rows(document).map(|row| (row.path(), row.to_string().into())).collect()
}

fn compare_row(path: &Arc<str>, old: &Arc<str>, new: Option<&Arc<str>>) -> Option<SheetChange> {
    let kind = match new {
        Some(new) if new == old => return None,
        Some(new) => ChangeKind::Changed { old: old.clone(), new: new.clone() },
        None => ChangeKind::Removed { old: old.clone() },
    };
    Some(SheetChange { path: path.clone(), kind })
}
