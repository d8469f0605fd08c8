//! Writes a document in its canonical form.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use hickoryspan_core::sheet::{SearchSpec, ShardScope, SheetDocument, TenantSheet};
use hickoryspan_core::types::{ShardId, TenantId};

use crate::format::{
    ALL_SHARDS, CLOSING_KEYWORD, COLUMNS, DIGEST_PREFIX, FORMAT_VERSION, HEADER_KEYWORD, POLICIES,
    ROW_KINDS, RowKind, SERVICE_KINDS, SheetColumn, name_of,
};
use crate::number::write_number;

/// Delimiter of the canonical form. With a semicolon, decimal commas added by hand need no quotes.
const DELIMITER: &str = ";";

/// A row in canonical form.
pub(crate) struct CanonicalRow<'a> {
    pub(crate) kind: RowKind,
    pub(crate) tenant: &'a TenantId,
    pub(crate) name: &'a str,
    /// Values in the order of [`RowKind::columns`].
    pub(crate) values: Vec<String>,
}

impl CanonicalRow<'_> {
    /// Returns `tenant/kind/name`, the name that operators use to confirm the removal of the row.
    pub(crate) fn path(&self) -> Arc<str> {
        format!("{}/{}/{}", self.tenant, name_of(&ROW_KINDS, self.kind), self.name).into()
    }

    fn cell(&self, column: SheetColumn) -> &str {
        match column {
            SheetColumn::Kind => name_of(&ROW_KINDS, self.kind),
            SheetColumn::Tenant => self.tenant.as_str(),
            SheetColumn::Name => self.name,
            _ => {
                let index = self.kind.columns().iter().position(|used| *used == column);
                index.and_then(|index| self.values.get(index)).map_or("", |value| value)
            }
        }
    }
}

/// Formats the values with their column names.
impl fmt::Display for CanonicalRow<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (column, value)) in self.kind.columns().iter().zip(&self.values).enumerate() {
            let space = if index == 0 { "" } else { ", " };
            write!(formatter, "{space}{} {value}", name_of(&COLUMNS, *column))?;
        }
        Ok(())
    }
}

/// Formats a document as canonical CSV, which [`SheetReader`](crate::SheetReader) parses back to an equal document.
///
/// The document must follow the reader's rules: values in range, deadlines in whole milliseconds, and
/// lists of shards that are not empty and contain no shard named `all`.
pub fn write_sheet(document: &SheetDocument) -> String {
    let header = [
        HEADER_KEYWORD.to_owned(),
        "number".to_owned(),
        document.number.to_string(),
        "date".to_owned(),
        document.date.to_string(),
        "format".to_owned(),
        FORMAT_VERSION.to_string(),
    ];
    let mut lines = vec![header.join(DELIMITER), COLUMNS.map(|(name, _)| name).join(DELIMITER)];
    let mut closing = CLOSING_KEYWORD.to_owned();
    for (tenant, sheet) in &document.tenants {
        let rows = tenant_rows(tenant, sheet);
        // Writing to a `String` cannot fail.
        let _ = write!(closing, "{DELIMITER}{tenant}{DELIMITER}{}", rows.len());
        lines.extend(
            rows.iter().map(|row| COLUMNS.map(|(_, column)| row.cell(column)).join(DELIMITER)),
        );
    }
    lines.push(format!("{closing}{DELIMITER}{DIGEST_PREFIX}{}", document.digest()));
    lines.push(String::new());
    lines.join("\n")
}

/// Iterates over all rows of a document in the order of the canonical form.
pub(crate) fn document_rows(document: &SheetDocument) -> impl Iterator<Item = CanonicalRow<'_>> {
    document.tenants.iter().flat_map(|(tenant, sheet)| tenant_rows(tenant, sheet))
}

fn tenant_rows<'a>(tenant: &'a TenantId, sheet: &'a TenantSheet) -> Vec<CanonicalRow<'a>> {
    let services = sheet.services.iter().map(|(id, spec)| {
        (RowKind::Service, id.as_str(), vec![name_of(&SERVICE_KINDS, spec.kind).to_owned()])
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
