//! Sizes, counts and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error for a text that is not a valid value of the named type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {text:?} is not valid; expected {expected}")]
pub struct ParseValueError {
    kind: &'static str,
    text: Box<str>,
    expected: &'static str,
}

impl ParseValueError {
    /// Maximum length of the rejected text that is kept, in characters, so that errors stay short.
    const MAX_SHOWN_CHARACTERS: usize = 160;

    /// Creates an error from the name of the type, the rejected text and a description of accepted
    /// values.
    pub fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        Self { kind, text: text.chars().take(Self::MAX_SHOWN_CHARACTERS).collect(), expected }
    }
}

// Every count needs the same parser, arithmetic and `Display`.
macro_rules! count_quantity {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseValueError::new(stringify!($name), text, "a whole number"))
            }
        }

        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                values.fold(Self::default(), |sum, value| sum + value)
            }
        }
    )*};
}

count_quantity! {
    /// A size in bytes.
    ByteCount(u64);
    /// Number of documents in a partition.
    DocumentCount(u64);
    /// Number of requests that a target can run at the same time.
    SlotCount(u32);
    /// Number of connections to a target.
    ConnectionCount(u32);
}

// Both real quantities need the same validating parser.
macro_rules! real_quantity {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub f64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse::<f64>() {
                    Ok(value) if value.is_finite() && value >= 0.0 => Ok(Self(value)),
                    _ => Err(ParseValueError::new(
                        stringify!($name), text, "a finite number of zero or more")),
                }
            }
        }
    )*};
}

real_quantity! {
    /// Cost of work on targets. One unit is the cost of one plain sub-request.
    CostUnits;
    /// Cost units per second.
    CostRate;
    /// Requests per second.
    RequestRate;
    /// How large the fair share of an account is, compared with those of other accounts.
    ShareWeight;
}

/// The share of a snapshot's documents that an answer covers, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CoverageShare(f64);

impl CoverageShare {
    /// No document is covered.
    pub const NONE: Self = Self(0.0);
    /// Every document is covered.
    pub const FULL: Self = Self(1.0);

    /// Creates a share, clamped to the range from 0 to 1. NaN counts as 0.
    pub fn new(value: f64) -> Self {
        if value.is_nan() { Self::NONE } else { Self(value.clamp(0.0, 1.0)) }
    }

    /// Returns the share as a number from 0 to 1.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CoverageShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for CoverageShare {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(value) if (0.0..=1.0).contains(&value) => Ok(Self(value)),
            _ => Err(ParseValueError::new("CoverageShare", text, "a number from 0 to 1")),
        }
    }
}
