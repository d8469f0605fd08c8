//! Validation faults of a sheet and their positions in the file.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of characters of a cell that a fault quotes. Keeps reports short.
const MAX_FOUND_CHARACTERS: usize = 60;

/// Position of a cell in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetPosition {
    /// Line number, starting at 1. Blank lines are counted.
    pub line: u32,
    /// Number of the cell in its line, starting at 1 like the columns of a spreadsheet.
    pub column: u32,
}

impl SheetPosition {
    pub(crate) fn new(line: u32, column: u32) -> Self {
        Self { line, column }
    }
}

impl fmt::Display for SheetPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}", self.line, self.column)
    }
}

/// Kind of a validation fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The file exceeds the maximum size or the maximum number of rows.
    TooLarge,
    /// The file is not text in an accepted encoding, or contains a control character.
    NotText,
    /// A line has an unmatched quote.
    OpenQuote,
    /// The header line is missing or malformed.
    Header,
    /// The format version is not supported.
    FormatVersion,
    /// The date of the sheet is not an expected one.
    WrongDate,
    /// A column is unknown, missing or listed twice, or a cell has a value but no column.
    Column,
    /// The value of the `kind` column is unknown.
    UnknownKind,
    /// A row belongs to a tenant that the rules do not accept.
    UnknownTenant,
    /// A required tenant has no rows.
    MissingTenant,
    /// A required cell is blank.
    MissingValue,
    /// A cell has a value although rows of its kind do not use the column, or a note is just a number.
    UnusedCell,
    /// A value does not have the format that its column requires.
    MalformedValue,
    /// A separator in a number can be read as a decimal or as a thousands separator.
    AmbiguousNumber,
    /// A number is outside the range of its column.
    OutOfRange,
    /// A name is defined by two rows whose values do not differ, or cannot be compared.
    DuplicateRow,
    /// A name is defined by two rows with different values.
    Contradiction,
    /// A shard is listed twice in one cell.
    DuplicateShard,
    /// A search or order refers to a service that no row of its tenant defines.
    UnknownService,
    /// The file ends before the column names or the closing row.
    Truncated,
    /// The closing row is malformed.
    Closing,
    /// The row count of a tenant in the closing row differs from the number of its rows.
    RowCount,
    /// A line follows the closing row.
    AfterClosing,
    /// The digest is malformed, differs from the content, or is missing although it is required.
    Digest,
}

/// A validation fault at one position of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetFault {
    /// Position of the faulty cell.
    pub position: SheetPosition,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Description of the value that was found.
    pub found: Box<str>,
    /// Description of the values that are accepted at this position.
    pub accepted: Box<str>,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: found {}; accepted: {}", self.position, self.found, self.accepted)
    }
}

/// The faults of a rejected sheet, sorted by position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetFaults {
    /// The reported faults; at most [`SheetRules::max_faults`](crate::SheetRules::max_faults).
    pub shown: Vec<SheetFault>,
    /// Number of faults that were found but are not reported.
    pub omitted: usize,
}

impl fmt::Display for SheetFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "read sheet: {} faults", self.shown.len() + self.omitted)?;
        for fault in &self.shown {
            write!(formatter, "\n{fault}")?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(formatter, "\n{omitted} further faults are not shown"),
        }
    }
}

/// Collects faults up to a maximum and counts the rest, so that memory stays bounded.
pub(crate) struct FaultList {
    shown: Vec<SheetFault>,
    omitted: usize,
    max_shown: usize,
}

impl FaultList {
    pub(crate) fn new(max_shown: usize) -> Self {
        // Keeps at least one fault, so that every rejection states a reason.
        Self { shown: Vec::new(), omitted: 0, max_shown: max_shown.max(1) }
    }

    pub(crate) fn push(
        &mut self,
        position: SheetPosition,
        kind: FaultKind,
        found: impl Into<Box<str>>,
        accepted: impl Into<Box<str>>,
    ) {
        if self.shown.len() >= self.max_shown {
            self.omitted += 1;
            return;
        }
        let (found, accepted) = (found.into(), accepted.into());
        self.shown.push(SheetFault { position, kind, found, accepted });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.shown.is_empty()
    }

    pub(crate) fn into_faults(mut self) -> SheetFaults {
        self.shown.sort_by_key(|fault| (fault.position, fault.kind));
        SheetFaults { shown: self.shown, omitted: self.omitted }
    }
}

/// Quotes a text for a fault: escapes control characters and truncates it to [`MAX_FOUND_CHARACTERS`].
pub(crate) fn quote(text: &str) -> String {
    let shown: String = text.chars().take(MAX_FOUND_CHARACTERS).collect();
    let suffix = if shown.len() < text.len() { " (shortened)" } else { "" };
    if text.is_empty() { "a blank cell".to_owned() } else { format!("{shown:?}{suffix}") }
}
