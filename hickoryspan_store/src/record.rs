//! Records: length, checksum and payload.
//!
//! The checksum also covers the replica's identity and the record's offset, so that bytes of a payload that
//! look like a record, or a record of another folder, are not taken for one.

use hickoryspan_core::types::ReplicaId;

/// Bytes before the payload.
pub const HEADER_BYTES: usize = 8;
/// Largest payload; a longer length is a fault.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// What a position of a file holds.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadRecord<'a> {
    /// A valid record and the position after it.
    Valid { payload: &'a [u8], end: usize },
    /// The end of the file.
    End,
    /// No valid record.
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

/// The record of a payload at an offset.
pub fn to_record(identity: ReplicaId, offset: u64, payload: &[u8]) -> Vec<u8> {
    let offset = usize::try_from(offset).unwrap_or(usize::MAX);
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(identity, offset, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the record at an offset of a file's bytes.
pub fn read_record(identity: ReplicaId, bytes: &[u8], offset: usize) -> ReadRecord<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return ReadRecord::End;
    }
    let Some((header, rest)) = rest.split_first_chunk::<HEADER_BYTES>() else {
        return ReadRecord::Invalid("the record's header is cut off");
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return ReadRecord::Invalid("the record's length is impossible");
    }
    let Some(payload) = rest.get(..length) else {
        return ReadRecord::Invalid("the record is cut off");
    };
    if checksum(identity, offset, payload) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return ReadRecord::Invalid("the record's checksum differs");
    }
    ReadRecord::Valid { payload, end: offset + HEADER_BYTES + length }
}

/// Whether a valid record begins after this offset; the fault before it is then no torn tail.
pub fn has_later_record(identity: ReplicaId, bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len())
        .any(|later| matches!(read_record(identity, bytes, later), ReadRecord::Valid { .. }))
}
