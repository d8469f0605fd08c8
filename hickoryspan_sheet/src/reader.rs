//! Parses a sheet and checks the rules that span several rows.

use std::collections::BTreeMap;

use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{ServiceId, TenantId};

use crate::cells::RowCells;
use crate::closing::{DigestCell, TenantCounts, read_closing};
use crate::fault::{FaultKind, FaultList, SheetFaults, SheetPosition, quote};
use crate::format::{CLOSING_KEYWORD, SheetColumn};
use crate::header::{ColumnLayout, read_header};
use crate::row::{RowKey, RowNamespace, RowSpec, SheetRow, read_row};
use crate::rules::{RowCount, SheetRules};
use crate::text::{TextLine, TextTable, decode};

/// Number of lines that are not rows: the header line, the column names and the closing row.
const NON_ROW_LINES: u32 = 3;

/// Parser and validator of sheets in the format that `docs/SHEET.md` describes.
#[derive(Clone, Debug, Default)]
pub struct SheetReader {
    rules: SheetRules,
}

impl SheetReader {
    /// Creates a reader that applies the given rules.
    pub fn new(rules: SheetRules) -> Self {
        Self { rules }
    }

    /// Parses the contents of a file. The error lists all faults with their positions.
    pub fn read(&self, bytes: &[u8]) -> Result<SheetDocument, SheetFaults> {
        let mut faults = FaultList::new(self.rules.max_faults);
        match self.read_document(bytes, &mut faults) {
            Some(document) if faults.is_empty() => Ok(document),
            _ => Err(faults.into_faults()),
        }
    }

    fn read_document(&self, bytes: &[u8], faults: &mut FaultList) -> Option<SheetDocument> {
        if bytes.len() as u64 > self.rules.max_size.0 {
            let found = format!("a file of {} bytes", bytes.len());
            let accepted = format!("at most {} bytes", self.rules.max_size);
            faults.push(SheetPosition::new(1, 1), FaultKind::TooLarge, found, accepted);
            return None;
        }
        let text = decode(bytes, faults)?;
        let max_lines = RowCount(self.rules.max_rows.0.saturating_add(NON_ROW_LINES));
        let table = TextTable::read(&text, max_lines, faults)?;
        let mut lines = table.lines.iter();
        let header = read_header(lines.next()?, &self.rules, faults)?;
        let Some(column_line) = lines.next() else {
            let accepted = "a line with the column names";
            faults.push(table.end, FaultKind::Truncated, "the end of the file", accepted);
            return None;
        };
        let layout = ColumnLayout::read(column_line, faults)?;
        let mut builder = SheetBuilder::new(&self.rules, &layout, table.is_complete);
        for line in lines {
            builder.read_line(line, faults);
        }
        builder.check(table.end, faults);
        let mut document = SheetDocument { number: header.number?, ..SheetDocument::default() };
        document.date = header.date?.to_string().into();
        builder.into_document(document, faults)
    }
}

/// Collects the parsed rows and builds the document from them.
struct SheetBuilder<'a> {
    rules: &'a SheetRules,
    layout: &'a ColumnLayout,
    /// Row counts by tenant; `None` if they cannot be compared with the closing row, because a line could not be split
    /// or the tenant column is missing. Both are reported as faults of their own.
    counts: Option<TenantCounts>,
    /// Positions of the rows and their content, which is `None` for rows with faults.
    rows: BTreeMap<RowKey, (SheetPosition, Option<RowSpec>)>,
    service_references: Vec<(TenantId, ServiceId, SheetPosition)>,
    /// `None` until the closing row was parsed.
    digest_cell: Option<DigestCell>,
}

impl<'a> SheetBuilder<'a> {
    fn new(rules: &'a SheetRules, layout: &'a ColumnLayout, is_complete: bool) -> Self {
        let can_count = is_complete && layout.index_of(SheetColumn::Tenant).is_some();
        Self {
            rules,
            layout,
            counts: can_count.then(TenantCounts::new),
            rows: BTreeMap::new(),
            service_references: Vec::new(),
            digest_cell: None,
        }
    }

    fn read_line(&mut self, line: &TextLine, faults: &mut FaultList) {
        if self.digest_cell.is_some() {
            let found = quote(line.cell(0));
            faults.push(line.position(0), FaultKind::AfterClosing, found, "the end of the file");
            return;
        }
        if line.cell(0).eq_ignore_ascii_case(CLOSING_KEYWORD) {
            self.digest_cell = Some(read_closing(line, self.counts.as_ref(), self.rules, faults));
            return;
        }
        let mut cells = RowCells { line, layout: self.layout, faults };
        if let (Some(counts), Some((tenant, _))) =
            (&mut self.counts, cells.cell(SheetColumn::Tenant))
        {
            counts.entry(tenant.into()).or_default().0 += 1;
        }
        if let Some(row) = read_row(&mut cells, self.rules) {
            self.add_row(row, faults);
        }
    }

    fn add_row(&mut self, row: SheetRow, faults: &mut FaultList) {
        if let Some((service, position)) = row.service {
            self.service_references.push((row.key.tenant.clone(), service, position));
        }
        let Some((first, spec)) = self.rows.get(&row.key) else {
            self.rows.insert(row.key, (row.position, row.spec));
            return;
        };
        let is_contradiction = spec.is_some() && row.spec.is_some() && *spec != row.spec;
        let (kind, content) = match is_contradiction {
            true => (FaultKind::Contradiction, "with other values"),
            false => (FaultKind::DuplicateRow, "too"),
        };
        let found = format!("{}, which line {} lists {content}", quote(&row.key.name), first.line);
        faults.push(row.position, kind, found, "each name in one row");
    }

    /// Checks the rules that need all rows: the closing row, required tenants and references to services.
    fn check(&self, end: SheetPosition, faults: &mut FaultList) {
        if self.digest_cell.is_none() {
            let accepted = "a closing row that starts with \"end\"";
            faults.push(end, FaultKind::Truncated, "the end of the file", accepted);
        }
        for tenant in &self.rules.required_tenants {
            if self.counts.as_ref().is_some_and(|counts| !counts.contains_key(tenant.as_str())) {
                let found = format!("no row of tenant {tenant}");
                faults.push(end, FaultKind::MissingTenant, found, "rows of every required tenant");
            }
        }
        for (tenant, service, position) in &self.service_references {
            let key = RowKey {
                tenant: tenant.clone(),
                namespace: RowNamespace::Services,
                name: service.as_str().into(),
            };
            if !self.rows.contains_key(&key) {
                let accepted = format!("a service that a row of tenant {tenant} defines");
                let found = quote(service.as_str());
                faults.push(*position, FaultKind::UnknownService, found, accepted);
            }
        }
    }

    /// Adds the rows to a document without tenants and checks its digest. Returns `None` if a fault was found before.
    fn into_document(
        self,
        mut document: SheetDocument,
        faults: &mut FaultList,
    ) -> Option<SheetDocument> {
        let digest_cell = self.digest_cell?;
        if !faults.is_empty() {
            return None;
        }
        for (key, (_, spec)) in self.rows {
            spec?.add_to(document.tenants.entry(key.tenant).or_default());
        }
        digest_cell.check(&document, faults);
        Some(document)
    }
}
