//! Parses the closing row, whose row counts and digest detect truncated or damaged files.

use std::collections::{BTreeMap, BTreeSet};

use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{StateDigest, TenantId};

use crate::fault::{FaultKind, FaultList, SheetPosition, quote};
use crate::format::DIGEST_PREFIX;
use crate::number::read_number;
use crate::rules::{RowCount, SheetRules};
use crate::text::TextLine;

/// Number of rows by the text of the tenant cell.
pub(crate) type TenantCounts = BTreeMap<Box<str>, RowCount>;

/// Digest cell of the closing row.
pub(crate) struct DigestCell {
    position: SheetPosition,
    /// `None` if the digest is missing or malformed.
    digest: Option<StateDigest>,
}

/// Parses the closing row and compares it with the row counts of the file. Without counts, only the syntax is
/// checked.
pub(crate) fn read_closing(
    line: &TextLine,
    counts: Option<&TenantCounts>,
    rules: &SheetRules,
    faults: &mut FaultList,
) -> DigestCell {
    let filled = line.cells.iter().rposition(|cell| !cell.is_empty()).map_or(0, |last| last + 1);
    let has_digest = filled > 0 && line.cell(filled - 1).starts_with(DIGEST_PREFIX);
    let end = if has_digest { filled - 1 } else { filled };
    // Deleting or moving the digest in a spreadsheet leaves blank cells before it.
    let end =
        line.cells[..end].iter().rposition(|cell| !cell.is_empty()).map_or(0, |last| last + 1);
    let mut listed: BTreeSet<&str> = BTreeSet::new();
    for index in (1..end).step_by(2) {
        let tenant = line.cell(index);
        if tenant.parse::<TenantId>().is_err() || !listed.insert(tenant) {
            let accepted = "the name of a tenant, each once";
            faults.push(line.position(index), FaultKind::Closing, quote(tenant), accepted);
            continue;
        }
        if let Some(counts) = counts {
            let count = counts.get(tenant).copied().unwrap_or_default();
            check_count(line, index + 1, (tenant, count), faults);
        }
    }
    let counted = counts.into_iter().flat_map(BTreeMap::keys);
    let required = rules.required_tenants.iter().map(TenantId::as_str);
    let known: BTreeSet<&str> = counted.map(|name| &**name).chain(required).collect();
    for tenant in known.difference(&listed).filter(|tenant| tenant.parse::<TenantId>().is_ok()) {
        let found = format!("no number of rows of {tenant}");
        let accepted = "the name and number of rows of each tenant";
        faults.push(line.position(end), FaultKind::Closing, found, accepted);
    }
    read_digest(line, has_digest.then_some(filled - 1), rules, faults)
}

fn check_count(
    line: &TextLine,
    index: usize,
    (tenant, actual): (&str, RowCount),
    faults: &mut FaultList,
) {
    let cell = line.cell(index);
    if read_number(cell) == Ok(f64::from(actual.0)) {
        return;
    }
    let accepted = format!("{actual}, the number of rows of {tenant} in the file");
    faults.push(line.position(index), FaultKind::RowCount, quote(cell), accepted);
}

fn read_digest(
    line: &TextLine,
    index: Option<usize>,
    rules: &SheetRules,
    faults: &mut FaultList,
) -> DigestCell {
    let Some(index) = index else {
        let position = line.position(line.cells.len());
        if rules.require_digest {
            let accepted = format!("{DIGEST_PREFIX} and the digest of the content");
            faults.push(position, FaultKind::Digest, "no digest", accepted);
        }
        return DigestCell { position, digest: None };
    };
    let (cell, position) = (line.cell(index), line.position(index));
    let digest = cell[DIGEST_PREFIX.len()..].parse::<StateDigest>().ok();
    if digest.is_none() {
        let accepted = format!("{DIGEST_PREFIX} and 64 hexadecimal digits, or a blank cell");
        faults.push(position, FaultKind::Digest, quote(cell), accepted);
    }
    DigestCell { position, digest }
}

impl DigestCell {
    /// Compares the digest, if there is one, with the digest of the parsed document.
    pub(crate) fn check(&self, document: &SheetDocument, faults: &mut FaultList) {
        let actual = document.digest();
        let Some(digest) = self.digest.filter(|digest| *digest != actual) else {
            return;
        };
        let accepted =
            format!("{DIGEST_PREFIX}{actual}, or a blank cell if the sheet was edited on purpose");
        let found = format!("{DIGEST_PREFIX}{digest}");
        faults.push(self.position, FaultKind::Digest, found, accepted);
    }
}
