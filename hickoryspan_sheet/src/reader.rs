//! Reads a whole file and checks what concerns several rows.

use std::collections::BTreeMap;

use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{ServiceId, TenantId};

use crate::cells::RowCells;
use crate::closing::{DigestCell, TenantCounts, read_closing};
use crate::fault::{FaultKind, FaultList, SheetFaults, SheetPosition, quote};
use crate::format::{CLOSING_WORD, SheetColumn};
use crate::header::{ColumnOrder, read_header};
use crate::row::{NameGroup, RowKey, RowSpec, SheetRow, read_row};
use crate::rules::{RowCount, SheetRules};
use crate::text::{TextLine, TextTable, decode};

/// Lines besides the rows: the header line, the column names and the closing row.
const FRAME_LINES: u32 = 3;

/// Reads morning sheets; the format is described in `docs/SHEET.md`.
#[derive(Clone, Debug, Default)]
pub struct SheetReader {
    rules: SheetRules,
}

impl SheetReader {
    /// A reader that accepts what the rules allow.
    pub fn new(rules: SheetRules) -> Self {
        Self { rules }
    }

    /// Reads a file as a whole; a refusal states all faults with their positions.
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
        let max_lines = RowCount(self.rules.max_rows.0.saturating_add(FRAME_LINES));
        let table = TextTable::read(&text, max_lines, faults)?;
        let mut lines = table.lines.iter();
        let header = read_header(lines.next()?, &self.rules, faults)?;
        let Some(column_line) = lines.next() else {
            let accepted = "a line with the column names";
            faults.push(table.end, FaultKind::Truncated, "the end of the file", accepted);
            return None;
        };
        let order = ColumnOrder::read(column_line, faults)?;
        let mut content = SheetContent::new(&self.rules, &order, table.is_whole);
        for line in lines {
            content.read_line(line, faults);
        }
        content.check(table.end, faults);
        let mut document = SheetDocument { number: header.number?, ..SheetDocument::default() };
        document.date = header.date?.to_string().into();
        content.into_document(document, faults)
    }
}

/// The rows that were read so far.
struct SheetContent<'a> {
    rules: &'a SheetRules,
    order: &'a ColumnOrder,
    /// `None` if lines or the tenant column are missing, which is a fault of its own.
    counts: Option<TenantCounts>,
    rows: BTreeMap<RowKey, (SheetPosition, Option<RowSpec>)>,
    used_services: Vec<(TenantId, ServiceId, SheetPosition)>,
    closing: Option<DigestCell>,
}

impl<'a> SheetContent<'a> {
    fn new(rules: &'a SheetRules, order: &'a ColumnOrder, is_whole: bool) -> Self {
        let can_count = is_whole && order.index_of(SheetColumn::Tenant).is_some();
        Self {
            rules,
            order,
            counts: can_count.then(TenantCounts::new),
            rows: BTreeMap::new(),
            used_services: Vec::new(),
            closing: None,
        }
    }

    fn read_line(&mut self, line: &TextLine, faults: &mut FaultList) {
        if self.closing.is_some() {
            let found = quote(line.cell(0));
            faults.push(line.position(0), FaultKind::AfterClosing, found, "the end of the file");
            return;
        }
        if line.cell(0).eq_ignore_ascii_case(CLOSING_WORD) {
            self.closing = Some(read_closing(line, self.counts.as_ref(), self.rules, faults));
            return;
        }
        let mut cells = RowCells { line, order: self.order, faults };
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
            self.used_services.push((row.key.tenant.clone(), service, position));
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

    /// Checks what only the whole file shows.
    fn check(&self, end: SheetPosition, faults: &mut FaultList) {
        if self.closing.is_none() {
            let accepted = "a closing row that starts with \"end\"";
            faults.push(end, FaultKind::Truncated, "the end of the file", accepted);
        }
        for tenant in &self.rules.required_tenants {
            if self.counts.as_ref().is_some_and(|counts| !counts.contains_key(tenant.as_str())) {
                let found = format!("no row of tenant {tenant}");
                faults.push(end, FaultKind::MissingTenant, found, "rows of every required tenant");
            }
        }
        for (tenant, service, position) in &self.used_services {
            let key = RowKey {
                tenant: tenant.clone(),
                group: NameGroup::Services,
                name: service.as_str().into(),
            };
            if !self.rows.contains_key(&key) {
                let accepted = format!("a service that a row of tenant {tenant} defines");
                let found = quote(service.as_str());
                faults.push(*position, FaultKind::UnknownService, found, accepted);
            }
        }
    }

    /// Adds the rows to a document without tenants; `None` if a fault was found.
    fn into_document(
        self,
        mut document: SheetDocument,
        faults: &mut FaultList,
    ) -> Option<SheetDocument> {
        let closing = self.closing?;
        if !faults.is_empty() {
            return None;
        }
        for (key, (_, spec)) in self.rows {
            spec?.add_to(document.tenants.entry(key.tenant).or_default());
        }
        closing.check(&document, faults);
        Some(document)
    }
}
