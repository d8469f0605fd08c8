//! Parses the cells of a row into typed values.

use std::str::FromStr;

use hickoryspan_core::sheet::ShardScope;
use hickoryspan_core::types::{ParseValueError, ShardId};

use crate::fault::{FaultKind, FaultList, SheetPosition, quote};
use crate::format::{ALL_SHARDS, RowKind, SheetColumn, list_names, value_of};
use crate::header::ColumnLayout;
use crate::number::{NumberError, read_number, write_number};
use crate::rules::ValueRange;
use crate::text::TextLine;

const ACCEPTED_IDENTIFIER: &str = "1 to 128 ASCII letters, digits and -_.:/";

/// The cells of a row. The parsing methods report a fault and return `None` if a cell is not valid.
pub(crate) struct RowCells<'a> {
    pub(crate) line: &'a TextLine,
    pub(crate) layout: &'a ColumnLayout,
    pub(crate) faults: &'a mut FaultList,
}

impl<'a> RowCells<'a> {
    /// Returns the text and position of a column's cell. Returns `None` without a fault if the file does not have the
    /// column, because [`ColumnLayout::read`] has already reported that.
    pub(crate) fn cell(&self, column: SheetColumn) -> Option<(&'a str, SheetPosition)> {
        let index = self.layout.index_of(column)?;
        Some((self.line.cell(index), self.line.position(index)))
    }

    fn required_cell(
        &mut self,
        column: SheetColumn,
        accepted: &str,
    ) -> Option<(&'a str, SheetPosition)> {
        let (text, position) = self.cell(column)?;
        if text.is_empty() {
            self.faults.push(position, FaultKind::MissingValue, quote(text), accepted);
            return None;
        }
        Some((text, position))
    }

    pub(crate) fn identifier<T: FromStr<Err = ParseValueError>>(
        &mut self,
        column: SheetColumn,
    ) -> Option<T> {
        let (text, position) = self.required_cell(column, ACCEPTED_IDENTIFIER)?;
        let Ok(identifier) = text.parse() else {
            let kind = FaultKind::MalformedValue;
            self.faults.push(position, kind, quote(text), ACCEPTED_IDENTIFIER);
            return None;
        };
        Some(identifier)
    }

    pub(crate) fn named_value<T: Copy>(
        &mut self,
        column: SheetColumn,
        table: &[(&str, T)],
        kind: FaultKind,
    ) -> Option<T> {
        let accepted = format!("one of {}", list_names(table));
        let (text, position) = self.required_cell(column, &accepted)?;
        let value = value_of(table, text);
        if value.is_none() {
            self.faults.push(position, kind, quote(text), accepted);
        }
        value
    }

    pub(crate) fn number(&mut self, column: SheetColumn, range: ValueRange) -> Option<f64> {
        let accepted = format!("a number {range}");
        let (text, position) = self.required_cell(column, &accepted)?;
        let (kind, accepted) = match read_number(text) {
            Ok(value) if range.contains(value) => return Some(value),
            Ok(_) => (FaultKind::OutOfRange, accepted),
            Err(NumberError::Malformed) if is_negative(text) => (FaultKind::OutOfRange, accepted),
            Err(NumberError::Malformed) => (FaultKind::MalformedValue, accepted),
            Err(NumberError::Ambiguous { decimal, grouped }) => {
                (FaultKind::AmbiguousNumber, describe_readings(decimal, grouped))
            }
        };
        self.faults.push(position, kind, quote(text), accepted);
        None
    }

    pub(crate) fn whole_number(&mut self, column: SheetColumn, range: ValueRange) -> Option<u64> {
        let value = self.number(column, range)?;
        if value.fract() != 0.0 {
            let (text, position) = self.cell(column)?;
            let accepted = format!("a whole number {range}");
            self.faults.push(position, FaultKind::MalformedValue, quote(text), accepted);
            return None;
        }
        Some(value as u64)
    }

    pub(crate) fn shards(&mut self, column: SheetColumn) -> Option<ShardScope> {
        let accepted = "\"all\", or shard names separated by spaces";
        let (text, position) = self.required_cell(column, accepted)?;
        if text.eq_ignore_ascii_case(ALL_SHARDS) {
            return Some(ShardScope::All);
        }
        let mut names: Vec<&str> = Vec::new();
        let mut shards = Vec::new();
        let faults = &mut *self.faults;
        for name in text.split_whitespace() {
            match name.parse::<ShardId>() {
                // In a list, "all" could mean all shards or a shard of this name.
                Ok(shard) if !name.eq_ignore_ascii_case(ALL_SHARDS) => shards.push(shard),
                _ => faults.push(position, FaultKind::MalformedValue, quote(name), accepted),
            }
            names.push(name);
        }
        let name_count = names.len();
        names.sort_unstable();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            let found = format!("shard {} twice", quote(pair[0]));
            faults.push(position, FaultKind::DuplicateShard, found, "each shard once");
        }
        names.dedup();
        let is_valid = shards.len() == name_count && names.len() == name_count;
        is_valid.then_some(ShardScope::Listed(shards))
    }

    /// Reports values in columns that rows of this kind do not use.
    pub(crate) fn check_unused(&mut self, kind: RowKind) {
        for (column, text, position) in self.layout.cells(self.line) {
            match column {
                _ if text.is_empty() => {}
                Some(SheetColumn::Kind | SheetColumn::Tenant | SheetColumn::Name) => {}
                Some(SheetColumn::Note) => check_note(text, position, self.faults),
                Some(used) if kind.columns().contains(&used) => {}
                Some(_) => {
                    let accepted = "a blank cell, because rows of this kind do not use the column";
                    self.faults.push(position, FaultKind::UnusedCell, quote(text), accepted);
                }
                None => {
                    let accepted = "a blank cell, because it lies outside all columns";
                    self.faults.push(position, FaultKind::Column, quote(text), accepted);
                }
            }
        }
    }
}

/// Rejects a number as a note. It is usually the fraction of an unquoted number with a decimal comma, which shifts
/// the cells after it.
fn check_note(text: &str, position: SheetPosition, faults: &mut FaultList) {
    if read_number(text).is_ok() {
        let accepted = "a note with words; quote numbers with a comma if commas separate cells";
        faults.push(position, FaultKind::UnusedCell, quote(text), accepted);
    }
}

fn is_negative(text: &str) -> bool {
    text.strip_prefix(['-', '\u{2212}']).is_some_and(|rest| read_number(rest).is_ok())
}

fn describe_readings(decimal: f64, grouped: f64) -> String {
    let (decimal, grouped) = (write_number(decimal), write_number(grouped));
    format!("{decimal} or {grouped}, whichever is meant, written so that it has one reading")
}
