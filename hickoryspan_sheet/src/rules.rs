//! What the reader accepts: size, tenants, date and the range of each value.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use hickoryspan_core::types::{ByteCount, ParseValueError, TenantId};

use crate::date::SheetDate;

/// A number of rows in a sheet.
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

/// The smallest and largest accepted value of a column, both included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// The smallest accepted value.
    pub smallest: f64,
    /// The largest accepted value.
    pub largest: f64,
}

impl ValueRange {
    pub(crate) fn contains(self, value: f64) -> bool {
        (self.smallest..=self.largest).contains(&value)
    }
}

impl fmt::Display for ValueRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "from {} to {}", self.smallest, self.largest)
    }
}

/// Accepted values by column.
#[derive(Clone, Debug, PartialEq)]
pub struct SheetLimits {
    /// Cost units of one sub-request.
    pub weight: ValueRange,
    /// Cost units per second of one caller.
    pub rate: ValueRange,
    /// Cost units that one caller may spend at once.
    pub burst: ValueRange,
    /// Milliseconds.
    pub deadline: ValueRange,
}

impl Default for SheetLimits {
    fn default() -> Self {
        // The lower bounds refuse zero and values that are written with the wrong unit. The upper
        // bounds lie far above the design scale of 330,000 queries/s on 340 searchers (1.1e8 cost
        // units per second), so that they refuse only misplaced digits.
        Self {
            weight: ValueRange { smallest: 0.001, largest: 10_000.0 },
            rate: ValueRange { smallest: 0.001, largest: 1e9 },
            burst: ValueRange { smallest: 0.001, largest: 1e9 },
            deadline: ValueRange { smallest: 1.0, largest: 600_000.0 },
        }
    }
}

/// What [`SheetReader`](crate::SheetReader) requires of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct SheetRules {
    /// Tenants that must have rows.
    pub required_tenants: BTreeSet<TenantId>,
    /// Whether rows of other tenants are accepted; refused by default, to find misspelt names.
    pub accept_other_tenants: bool,
    /// The day for which the sheet must hold; `None` accepts every day.
    pub expected_date: Option<SheetDate>,
    /// Days before `expected_date` that are accepted too.
    pub days_before: u32,
    /// Days after `expected_date` that are accepted too.
    pub days_after: u32,
    /// Whether a closing row without a digest is refused.
    pub require_digest: bool,
    /// Largest accepted file.
    pub max_size: ByteCount,
    /// Largest accepted number of rows between the column row and the closing row.
    pub max_rows: RowCount,
    /// Faults that are reported in full; further ones are only counted.
    pub max_faults: usize,
    /// Accepted values.
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
            // A row is about 100 bytes; lists of shards need more. The memory of one read grows with
            // the size of the file and its number of cells, so that both bounds limit it.
            max_size: ByteCount(1024 * 1024),
            max_rows: RowCount(5_000),
            max_faults: 100,
            limits: SheetLimits::default(),
        }
    }
}
