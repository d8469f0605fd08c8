//! On-disk records: a header with length and checksum, followed by the payload.
//!
//! The checksum also covers the replica's identity and the offset of the record. Bytes inside a payload that look
//! like a record, and records of another data folder, therefore do not pass the check.

use hickoryspan_core::types::ReplicaId;

/// Size of the record header in bytes: payload length and CRC-32, four bytes each.
pub const HEADER_BYTES: usize = 8;
/// Maximum payload size in bytes; a record that states more is invalid.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Result of reading a record at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadRecord<'a> {
    /// A valid record: its payload and the offset after it.
    Valid { payload: &'a [u8], end: usize },
    /// The offset is the end of the file.
    End,
    /// No valid record begins at the offset; the text states the reason.
    Invalid(&'static str),
}

fn checksum(identity: ReplicaId, offset: usize, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&identity.0.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a payload as a record for an offset of a file.
pub fn to_record(identity: ReplicaId, offset: u64, payload: &[u8]) -> Vec<u8> {
    let offset = usize::try_from(offset).unwrap_or(usize::MAX);
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(identity, offset, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the record that begins at an offset of a file's content.
pub fn read_record(identity: ReplicaId, bytes: &[u8], offset: usize) -> ReadRecord<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return ReadRecord::End;
    }
    let Some((header, rest)) = rest.split_first_chunk::<HEADER_BYTES>() else {
        return ReadRecord::Invalid("record header is truncated");
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return ReadRecord::Invalid("record length is out of range");
    }
    let Some(payload) = rest.get(..length) else {
        return ReadRecord::Invalid("record is truncated");
    };
    if checksum(identity, offset, payload) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return ReadRecord::Invalid("record checksum does not match");
    }
    ReadRecord::Valid { payload, end: offset + HEADER_BYTES + length }
}

/// Returns whether a valid record begins after an offset. If so, a fault at the offset is corruption and not a
/// torn tail.
pub fn has_later_record(identity: ReplicaId, bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len())
        .any(|later| matches!(read_record(identity, bytes, later), ReadRecord::Valid { .. }))
}
