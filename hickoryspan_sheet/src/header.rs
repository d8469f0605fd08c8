//! Parses the header line (sheet number, date and format version) and the line with the column names.

use std::collections::BTreeMap;

use hickoryspan_core::types::SheetNumber;

use crate::date::SheetDate;
use crate::fault::{FaultKind, FaultList, SheetPosition, quote};
use crate::format::{COLUMNS, FORMAT_VERSION, HEADER_KEYWORD, SheetColumn, list_names, value_of};
use crate::number::read_number;
use crate::rules::SheetRules;
use crate::text::TextLine;

/// Largest accepted sheet number. Larger values are usually dates or identifiers in the wrong cell.
const MAX_SHEET_NUMBER: f64 = 999_999_999.0;
/// Cell indices and labels of the header line. Each label except the first is followed by a cell with its value.
const LABELS: [(usize, &str); 4] = [(0, HEADER_KEYWORD), (1, "number"), (3, "date"), (5, "format")];
const NUMBER_INDEX: usize = 2;
const DATE_INDEX: usize = 4;
const FORMAT_INDEX: usize = 6;
const HEADER_CELLS: usize = 7;

/// Values of the header line; a value is `None` if its cell has a fault.
pub(crate) struct SheetHeader {
    pub(crate) number: Option<SheetNumber>,
    pub(crate) date: Option<SheetDate>,
}

/// Parses the header line. Returns `None` if a label or the format version is wrong, because the rest of the file
/// cannot be validated then.
pub(crate) fn read_header(
    line: &TextLine,
    rules: &SheetRules,
    faults: &mut FaultList,
) -> Option<SheetHeader> {
    let mut is_header = true;
    for (index, label) in LABELS {
        if !line.cell(index).eq_ignore_ascii_case(label) {
            let found = quote(line.cell(index));
            faults.push(line.position(index), FaultKind::Header, found, format!("{label:?}"));
            is_header = false;
        }
    }
    for (index, cell) in line.cells.iter().enumerate().skip(HEADER_CELLS) {
        if !cell.is_empty() {
            faults.push(line.position(index), FaultKind::Header, quote(cell), "a blank cell");
        }
    }
    if !is_header {
        return None;
    }
    let number = read_sheet_number(line, faults);
    let date = read_date(line, rules, faults);
    check_version(line, faults).then_some(SheetHeader { number, date })
}

fn read_sheet_number(line: &TextLine, faults: &mut FaultList) -> Option<SheetNumber> {
    let cell = line.cell(NUMBER_INDEX);
    match read_number(cell) {
        Ok(value) if value.fract() == 0.0 && (1.0..=MAX_SHEET_NUMBER).contains(&value) => {
            Some(SheetNumber(value as u64))
        }
        _ => {
            let accepted = format!("a whole number from 1 to {MAX_SHEET_NUMBER}");
            faults.push(line.position(NUMBER_INDEX), FaultKind::Header, quote(cell), accepted);
            None
        }
    }
}

fn read_date(line: &TextLine, rules: &SheetRules, faults: &mut FaultList) -> Option<SheetDate> {
    let (cell, position) = (line.cell(DATE_INDEX), line.position(DATE_INDEX));
    let Ok(date) = cell.parse::<SheetDate>() else {
        // 04/12 and 12/04 are both in use; only a date that starts with the year is unambiguous.
        faults.push(position, FaultKind::Header, quote(cell), "a calendar day as YYYY-MM-DD");
        return None;
    };
    let Some(expected) = rules.expected_date else {
        return Some(date);
    };
    let first = expected.minus_days(rules.days_before);
    let last = expected.plus_days(rules.days_after);
    if (first..=last).contains(&date) {
        return Some(date);
    }
    let accepted =
        if first == last { first.to_string() } else { format!("a day from {first} to {last}") };
    faults.push(position, FaultKind::WrongDate, quote(cell), accepted);
    None
}

fn check_version(line: &TextLine, faults: &mut FaultList) -> bool {
    let cell = line.cell(FORMAT_INDEX);
    if cell == FORMAT_VERSION.to_string() {
        return true;
    }
    let position = line.position(FORMAT_INDEX);
    faults.push(position, FaultKind::FormatVersion, quote(cell), FORMAT_VERSION.to_string());
    false
}

/// Mapping between cell indices and columns.
pub(crate) struct ColumnLayout {
    columns: Vec<Option<SheetColumn>>,
    indices: BTreeMap<SheetColumn, usize>,
}

impl ColumnLayout {
    /// Parses the line with the column names. Returns `None` if it does not start with `kind`, because the column names
    /// are then assumed to be missing.
    pub(crate) fn read(line: &TextLine, faults: &mut FaultList) -> Option<Self> {
        if value_of(&COLUMNS, line.cell(0)) != Some(SheetColumn::Kind) {
            let accepted = "\"kind\", the first of the column names";
            faults.push(line.position(0), FaultKind::Column, quote(line.cell(0)), accepted);
            return None;
        }
        let mut layout = Self { columns: Vec::new(), indices: BTreeMap::new() };
        for (index, cell) in line.cells.iter().enumerate() {
            let column = value_of(&COLUMNS, cell).filter(|known| layout.index_of(*known).is_none());
            if column.is_none() && !cell.is_empty() {
                let accepted = format!("each of these once: {}", list_names(&COLUMNS));
                faults.push(line.position(index), FaultKind::Column, quote(cell), accepted);
            }
            layout.columns.push(column);
            layout.indices.extend(column.map(|known| (known, index)));
        }
        layout.check_complete(line, faults);
        Some(layout)
    }

    fn check_complete(&self, line: &TextLine, faults: &mut FaultList) {
        for (name, column) in COLUMNS {
            if column != SheetColumn::Note && self.index_of(column).is_none() {
                let position = line.position(self.columns.len());
                let found = format!("no column {name}");
                faults.push(position, FaultKind::Column, found, "every column except note");
            }
        }
    }

    pub(crate) fn index_of(&self, column: SheetColumn) -> Option<usize> {
        self.indices.get(&column).copied()
    }

    /// Iterates over the cells of a line. The column is `None` for cells that belong to no column.
    pub(crate) fn cells<'a>(
        &'a self,
        line: &'a TextLine,
    ) -> impl Iterator<Item = (Option<SheetColumn>, &'a str, SheetPosition)> {
        line.cells.iter().enumerate().map(|(index, cell)| {
            let column = self.columns.get(index).copied().flatten();
            (column, &**cell, line.position(index))
        })
    }
}
