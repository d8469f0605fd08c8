//! Classes of the usual rate of an account, which entries are told only when they change.

use serde::{Deserialize, Serialize};

/// Highest rate of the lowest class, in requests per second.
const LOWEST_RATE: f64 = 0.1;
/// A rate leaves its class upwards only beyond this multiple of its highest rate. Without a difference between the ways up
/// and down, a rate near a border would change its class all the time.
const RISE_FACTOR: f64 = 1.1;
/// A rate leaves its class downwards only below this part of its highest rate.
const FALL_FACTOR: f64 = 0.4;

/// A class of rates; each class goes up to twice the rate of the one below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageClass(pub u8);

impl UsageClass {
    /// Returns the highest rate of the class, in requests per second.
    pub fn highest_rate(self) -> f64 {
        LOWEST_RATE * 2.0_f64.powi(i32::from(self.0))
    }

    /// Returns the class after the rate has changed to this.
    pub fn after(self, rate: f64) -> Self {
        let is_kept = rate <= self.highest_rate() * RISE_FACTOR
            && (self.0 == 0 || rate >= self.highest_rate() * FALL_FACTOR);
        if is_kept {
            return self;
        }
        let mut class = Self(0);
        while class.highest_rate() < rate && class.0 < u8::MAX {
            class.0 += 1;
        }
        class
    }
}
