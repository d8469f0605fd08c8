//! Collects a body in one buffer. The library's own collector keeps every piece apart, which takes far more memory than the
//! bytes of a body in small chunks.

use bytes::Bytes;

/// First size of the buffer, in bytes.
const FIRST_BYTES: usize = 4 * 1024;

/// A body that arrives in pieces. It grows in few steps, whose room is taken before.
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    /// Size of the whole body, or the largest that it may have.
    most_bytes: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of this size at most. It takes no memory yet.
    pub(crate) fn new(most_bytes: usize) -> Self {
        Self { bytes: Vec::new(), most_bytes }
    }

    /// Returns the size of the body with another piece of this size.
    pub(crate) fn length_with(&self, piece_bytes: usize) -> usize {
        self.bytes.len() + piece_bytes
    }

    /// Returns the memory that the body takes now, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the memory that a body of this size takes, in bytes; `None` if there is enough of it.
    pub(crate) fn next_capacity(&self, length: usize) -> Option<usize> {
        let most = self.most_bytes.max(length);
        let next = || length.next_power_of_two().max(FIRST_BYTES).min(most);
        (length > self.bytes.capacity()).then(next)
    }

    /// Adds a piece. The buffer takes `capacity` bytes of memory, if it is given.
    pub(crate) fn push(&mut self, piece: &[u8], capacity: Option<usize>) {
        if let Some(capacity) = capacity {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Returns the whole body.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }
}
