//! Ranks by which all processes order the same things alike, whatever release or processor they run on.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Follows each text, so that two texts cannot be taken for one. No text contains this byte, because it is not valid in
/// UTF-8.
const TEXT_END: u8 = 0xff;

/// Computes a rank from texts and numbers. The algorithm must not change, because releases that run side by side have to
/// agree; the hasher of the standard library promises that only for one release of the compiler.
#[derive(Default)]
pub struct StableRank(SipHasher13);

impl StableRank {
    /// Starts a rank.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a text.
    pub fn text(mut self, text: &str) -> Self {
        self.0.write(text.as_bytes());
        self.0.write_u8(TEXT_END);
        self
    }

    /// Adds a number.
    pub fn number(mut self, number: u64) -> Self {
        self.0.write(&number.to_le_bytes());
        self
    }

    /// Returns the rank of all that was added.
    pub fn finish(self) -> u64 {
        self.0.finish()
    }
}
