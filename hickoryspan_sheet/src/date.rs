//! Calendar days in the form `YYYY-MM-DD`.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

use hickoryspan_core::types::{ParseValueError, WallTime};

const SECONDS_PER_DAY: u64 = 24 * 60 * 60;
const MILLISECONDS_PER_DAY: u64 = 1000 * SECONDS_PER_DAY;
/// Days from the Unix epoch to 9999-12-31, the last day with a four-digit year.
const LAST_DAY: u64 = 2_932_896;
const DATE_BYTES: usize = "YYYY-MM-DD".len();

/// A calendar day from 1970-01-01 to 9999-12-31, without a time zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SheetDate {
    days: u64,
}

impl SheetDate {
    /// Returns the day of a wall time in UTC.
    pub fn of_wall_time(time: WallTime) -> Self {
        Self { days: (time.0 / MILLISECONDS_PER_DAY).min(LAST_DAY) }
    }

    /// Adds a number of days; saturates at 9999-12-31.
    pub fn plus_days(self, count: u32) -> Self {
        Self { days: (self.days + u64::from(count)).min(LAST_DAY) }
    }

    /// Subtracts a number of days; saturates at 1970-01-01.
    pub fn minus_days(self, count: u32) -> Self {
        Self { days: self.days.saturating_sub(u64::from(count)) }
    }
}

impl fmt::Display for SheetDate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = UNIX_EPOCH + Duration::from_secs(self.days * SECONDS_PER_DAY);
        let text = humantime::format_rfc3339_seconds(start).to_string();
        formatter.write_str(text.get(..DATE_BYTES).unwrap_or_default())
    }
}

impl FromStr for SheetDate {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseValueError::new("SheetDate", text, "a calendar day as YYYY-MM-DD");
        if text.len() != DATE_BYTES {
            return Err(error());
        }
        let start = humantime::parse_rfc3339(&format!("{text}T00:00:00Z")).map_err(|_| error())?;
        let elapsed = start.duration_since(UNIX_EPOCH).map_err(|_| error())?;
        let date = Self { days: elapsed.as_secs() / SECONDS_PER_DAY };
        // Rejects other notations that `humantime` accepts.
        if date.to_string() == text { Ok(date) } else { Err(error()) }
    }
}
