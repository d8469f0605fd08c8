//! Parses and validates the daily configuration sheet, a CSV file described in `docs/SHEET.md`, and compares two
//! sheets.
//!
//! Validation reports all faults of a file at once.

#![warn(missing_docs)]

mod cells;
mod closing;
mod date;
mod difference;
mod fault;
mod format;
mod header;
mod number;
mod reader;
mod row;
mod rules;
mod text;
mod writer;

pub use date::SheetDate;
pub use difference::{ChangeKind, SheetChange, SheetDifference, removals};
pub use fault::{FaultKind, SheetFault, SheetFaults, SheetPosition};
pub use reader::SheetReader;
pub use rules::{RowCount, SheetLimits, SheetRules, ValueRange};
pub use writer::write_sheet;
