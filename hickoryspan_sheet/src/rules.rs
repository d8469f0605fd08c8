//! Validation rules of the reader: file size, tenants, date and value ranges.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use hickoryspan_core::types::{ByteCount, ParseValueError, TenantId};

use crate::date::SheetDate;

/// Number of rows in a sheet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowCount(pub u32);

impl fmt::Display for RowCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for RowCount {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseValueError::new("RowCount", text, "a whole number"))
    }
}

/// Inclusive range of the accepted values of a column.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// Smallest accepted value.
    pub min: f64,
    /// Largest accepted value.
    pub max: f64,
}

impl ValueRange {
    pub(crate) fn contains(self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}

impl fmt::Display for ValueRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "from {} to {}", self.min, self.max)
    }
}

/// Accepted ranges of the numeric columns.
#[derive(Clone, Debug, PartialEq)]
pub struct SheetLimits {
    /// Cost of one sub-request, in cost units.
    pub weight: ValueRange,
    /// Sustained rate of one caller, in cost units per second.
    pub rate: ValueRange,
    /// Burst of one caller, in cost units.
    pub burst: ValueRange,
    /// Deadline of a class, in milliseconds.
    pub deadline: ValueRange,
}

impl Default for SheetLimits {
    fn default() -> Self {
        // The lower bounds reject zero and values in the wrong unit. The upper bounds are far above
        // the design scale of 330,000 queries/s, each sent to 340 targets (1.1e8 cost units per
        // second), so that they only reject typing errors.
        Self {
            weight: ValueRange { min: 0.001, max: 10_000.0 },
            rate: ValueRange { min: 0.001, max: 1e9 },
            burst: ValueRange { min: 0.001, max: 1e9 },
            deadline: ValueRange { min: 1.0, max: 600_000.0 },
        }
    }
}

/// Validation rules that [`SheetReader`](crate::SheetReader) applies to a file.
#[derive(Clone, Debug, PartialEq)]
pub struct SheetRules {
    /// Tenants that must have at least one row.
    pub required_tenants: BTreeSet<TenantId>,
    /// Accepts rows of tenants that are not required. Off by default, so that misspelled tenants are found.
    pub accept_other_tenants: bool,
    /// Date that the sheet must have; `None` accepts every date.
    pub expected_date: Option<SheetDate>,
    /// Number of days before `expected_date` that are accepted as well.
    pub days_before: u32,
    /// Number of days after `expected_date` that are accepted as well.
    pub days_after: u32,
    /// Rejects a closing row without a digest.
    pub require_digest: bool,
    /// Maximum size of the file.
    pub max_size: ByteCount,
    /// Maximum number of rows between the column names and the closing row.
    pub max_rows: RowCount,
    /// Maximum number of faults that are reported in full; further faults are only counted.
    pub max_faults: usize,
    /// Accepted ranges of the numeric columns.
    pub limits: SheetLimits,
}

impl Default for SheetRules {
    fn default() -> Self {
        Self {
            required_tenants: ["quindio", "vestera"]
                .into_iter()
                .filter_map(|name| TenantId::new(name).ok())
                .collect(),
            accept_other_tenants: false,
            expected_date: None,
            days_before: 0,
            days_after: 0,
            require_digest: false,
            // A row takes about 100 bytes, more if it lists shards. The memory used by a read grows
            // with the file size and the number of cells, so both are limited.
            max_size: ByteCount(1024 * 1024),
            max_rows: RowCount(5_000),
            max_faults: 100,
            limits: SheetLimits::default(),
        }
    }
}
