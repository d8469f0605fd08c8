//! Points in time. This crate reads no clock: the process that drives it passes the current time
//! with each event.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::quantity::ParseValueError;

/// Microseconds of a monotonic clock. The driving process chooses its origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for MonotonicTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for MonotonicTime {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseValueError::new("MonotonicTime", text, "whole microseconds"))
    }
}

/// Milliseconds since the Unix epoch, for records that operators and callers read.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for WallTime {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| ParseValueError::new("WallTime", text, "milliseconds since the epoch"))
    }
}

/// One reading of both clocks, which the driving process takes for each event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Used for leases, timeouts and rates. It never jumps.
    pub monotonic: MonotonicTime,
    /// Used only for records and retention, because the wall clock may jump.
    pub wall: WallTime,
}
