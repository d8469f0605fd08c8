//! The canonical text of a document.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use hickoryspan_core::sheet::{SearchSpec, ShardScope, SheetDocument, TenantSheet};
use hickoryspan_core::types::{ShardId, TenantId};

use crate::format::{
    ALL_SHARDS, CLOSING_WORD, COLUMNS, DIGEST_PREFIX, FORMAT_VERSION, HEADER_WORD, KINDS, POLICIES,
    RowKind, SheetColumn, TARGETS, name_of,
};
use crate::number::write_number;

/// A semicolon keeps decimal commas that people add by hand inside their cells.
const DELIMITER: &str = ";";

/// One row as the writer writes it.
pub(crate) struct CanonicalRow<'a> {
    pub(crate) kind: RowKind,
    pub(crate) tenant: &'a TenantId,
    pub(crate) name: &'a str,
    /// The values in the order of [`RowKind::columns`].
    pub(crate) values: Vec<String>,
}

impl CanonicalRow<'_> {
    /// The name by which operators confirm a removal: `tenant/kind/name`.
    pub(crate) fn path(&self) -> Arc<str> {
        format!("{}/{}/{}", self.tenant, name_of(&KINDS, self.kind), self.name).into()
    }

    fn cell(&self, column: SheetColumn) -> &str {
        match column {
            SheetColumn::Kind => name_of(&KINDS, self.kind),
            SheetColumn::Tenant => self.tenant.as_str(),
            SheetColumn::Name => self.name,
            _ => {
                let index = self.kind.columns().iter().position(|used| *used == column);
                index.and_then(|index| self.values.get(index)).map_or("", |value| value)
            }
        }
    }
}

/// The values with their column names.
impl fmt::Display for CanonicalRow<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (column, value)) in self.kind.columns().iter().zip(&self.values).enumerate() {
            let space = if index == 0 { "" } else { ", " };
            write!(formatter, "{space}{} {value}", name_of(&COLUMNS, *column))?;
        }
        Ok(())
    }
}

/// The canonical text of a document, which [`SheetReader`](crate::SheetReader) reads back to an equal one.
///
/// This holds for documents that keep the reader's rules: values in range, deadlines in whole
/// milliseconds, and lists of shards that are neither empty nor contain a shard named `all`.
pub fn write_sheet(document: &SheetDocument) -> String {
    let header = [
        HEADER_WORD.to_owned(),
        "number".to_owned(),
        document.number.to_string(),
        "date".to_owned(),
        document.date.to_string(),
        "format".to_owned(),
        FORMAT_VERSION.to_string(),
    ];
    let mut lines = vec![header.join(DELIMITER), COLUMNS.map(|(name, _)| name).join(DELIMITER)];
    let mut closing = CLOSING_WORD.to_owned();
    for (tenant, sheet) in &document.tenants {
        let rows = tenant_rows(tenant, sheet);
        // Writing to a string cannot fail.
        let _ = write!(closing, "{DELIMITER}{tenant}{DELIMITER}{}", rows.len());
        lines.extend(
            rows.iter().map(|row| COLUMNS.map(|(_, column)| row.cell(column)).join(DELIMITER)),
        );
    }
    lines.push(format!("{closing}{DELIMITER}{DIGEST_PREFIX}{}", document.digest()));
    lines.push(String::new());
    lines.join("\n")
}

/// All rows of a document in the order of the file.
pub(crate) fn document_rows(document: &SheetDocument) -> impl Iterator<Item = CanonicalRow<'_>> {
    document.tenants.iter().flat_map(|(tenant, sheet)| tenant_rows(tenant, sheet))
}

fn tenant_rows<'a>(tenant: &'a TenantId, sheet: &'a TenantSheet) -> Vec<CanonicalRow<'a>> {
    let services = sheet.services.iter().map(|(id, spec)| {
        (RowKind::Service, id.as_str(), vec![name_of(&TARGETS, spec.kind).to_owned()])
    });
    let searches = sheet
        .searches
        .iter()
        .map(|(id, spec)| (search_kind(spec), id.as_str(), search_values(spec)));
    let callers = sheet.callers.iter().map(|(id, spec)| {
        let values = vec![write_number(spec.rate.0), write_number(spec.burst.0)];
        (RowKind::Caller, id.as_str(), values)
    });
    let classes = sheet.classes.iter().map(|(id, spec)| {
        let values = vec![
            spec.priority.to_string(),
            spec.deadline.as_millis().to_string(),
            name_of(&POLICIES, spec.policy).to_owned(),
            write_number(spec.coverage_floor.value()),
        ];
        (RowKind::Class, id.as_str(), values)
    });
    services
        .chain(searches)
        .chain(callers)
        .chain(classes)
        .map(|(kind, name, values)| CanonicalRow { kind, tenant, name, values })
        .collect()
}

fn search_kind(spec: &SearchSpec) -> RowKind {
    if spec.idempotent { RowKind::Search } else { RowKind::Order }
}

fn search_values(spec: &SearchSpec) -> Vec<String> {
    let shards = match &spec.scope {
        ShardScope::All => ALL_SHARDS.to_owned(),
        ShardScope::Listed(shards) => {
            shards.iter().map(ShardId::as_str).collect::<Vec<_>>().join(" ")
        }
    };
    vec![spec.service.to_string(), shards, write_number(spec.weight.0)]
}
