//! Faults of a sheet with their positions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest part of a cell that a fault repeats, in characters, so that reports stay short.
const MAX_FOUND_CHARACTERS: usize = 60;

/// A place in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetPosition {
    /// Line, counted from 1; blank lines count.
    pub line: u32,
    /// Cell of the line, counted from 1 as the columns of a spreadsheet.
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

/// What is wrong with a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The file has too many bytes or rows.
    TooLarge,
    /// The file is not text in an accepted encoding.
    NotText,
    /// A cell starts with a quote that does not end on its line.
    OpenQuote,
    /// The header line is missing or malformed.
    Header,
    /// The format version is not supported.
    FormatVersion,
    /// The sheet holds for another day.
    WrongDate,
    /// A column is unknown, missing or listed twice, or a cell lies outside all columns.
    Column,
    /// The kind of a row is unknown.
    UnknownKind,
    /// A tenant is unknown.
    UnknownTenant,
    /// A required tenant has no rows.
    MissingTenant,
    /// A cell that must have a value is blank.
    MissingValue,
    /// A cell that must be blank has a value.
    UnusedCell,
    /// A cell does not have the form that its column requires.
    MalformedValue,
    /// A number can be read in more than one way.
    AmbiguousNumber,
    /// A number is outside its accepted range.
    OutOfRange,
    /// A row is listed twice with equal content.
    DuplicateRow,
    /// A row gives other values for a name that an earlier row defines.
    Contradiction,
    /// A shard is listed twice in one cell.
    DuplicateShard,
    /// A search or order names a service that its tenant does not have.
    UnknownService,
    /// The closing row is missing.
    Truncated,
    /// The closing row is malformed.
    Closing,
    /// The closing row gives another number of rows than the file has.
    RowCount,
    /// A line follows the closing row.
    AfterClosing,
    /// The digest differs from the content, or a required digest is missing.
    Digest,
}

/// One fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetFault {
    /// Where it is.
    pub position: SheetPosition,
    /// What it is.
    pub kind: FaultKind,
    /// What was found.
    pub found: Box<str>,
    /// What would be accepted.
    pub accepted: Box<str>,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: found {}; accepted: {}", self.position, self.found, self.accepted)
    }
}

/// All faults of a refused sheet, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SheetFaults {
    /// The reported faults, at most [`SheetRules::max_faults`](crate::SheetRules::max_faults).
    pub shown: Vec<SheetFault>,
    /// The number of further faults.
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

/// Collects faults in bounded memory.
pub(crate) struct FaultList {
    shown: Vec<SheetFault>,
    omitted: usize,
    max_shown: usize,
}

impl FaultList {
    pub(crate) fn new(max_shown: usize) -> Self {
        // At least one fault is kept, because a refusal without a reason helps nobody.
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

/// A cell's text in quotes with control characters escaped, shortened to a bounded length.
pub(crate) fn quote(text: &str) -> String {
    let shown: String = text.chars().take(MAX_FOUND_CHARACTERS).collect();
    let suffix = if shown.len() < text.len() { " (shortened)" } else { "" };
    if text.is_empty() { "a blank cell".to_owned() } else { format!("{shown:?}{suffix}") }
}
