//! Ranges of the hashed key space that partitions cover.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::quantity::ParseValueError;

/// The keys from `first` to `last`, both included. The whole key space is `0` to `u64::MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range.
    pub first: u64,
    /// Last key of the range.
    pub last: u64,
}

impl KeyRange {
    /// The whole key space.
    pub const FULL: Self = Self { first: 0, last: u64::MAX };

    /// Returns the share of the whole key space that the range covers, from 0 to 1.
    pub fn share(self) -> f64 {
        if self.last < self.first {
            return 0.0;
        }
        ((self.last - self.first) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }

    /// Returns whether the two ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Divides the whole key space into `count` ranges of nearly equal size.
    pub fn split_evenly(count: u32) -> Vec<Self> {
        let count = u128::from(count.max(1));
        let space = u128::from(u64::MAX) + 1;
        let bound = |index: u128| index * space / count;
        (0..count)
            .map(|index| Self { first: bound(index) as u64, last: (bound(index + 1) - 1) as u64 })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:016x}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault = || ParseValueError::new("KeyRange", text, "two hexadecimal keys joined by -");
        let (first, last) = text.split_once('-').ok_or_else(fault)?;
        let first = u64::from_str_radix(first, 16).map_err(|_| fault())?;
        let last = u64::from_str_radix(last, 16).map_err(|_| fault())?;
        if last < first {
            return Err(fault());
        }
        Ok(Self { first, last })
    }
}
