//! Generates documents. The hits of a query are a function of its text, so that a checker can compute the expected
//! response.

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::StateDigest;
use serde::{Deserialize, Serialize};

/// A document that matches a query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DocumentHit {
    /// Key of the document as 16 hexadecimal digits, so that the text order equals the key order.
    pub key: String,
    /// Snapshot that was searched.
    pub snapshot: u64,
    /// Prefix of the digest of query, shard and snapshot, and the index of the hit.
    pub text: String,
}

/// Number of characters of the digest in the text of a hit; enough to distinguish queries.
const DIGEST_CHARACTERS: usize = 12;

/// Returns the hits of `query` in a partition in key order.
///
/// Their number is derived from the digest; it is at most `max_hits` and at most the partition's document count.
pub fn find_hits(query: &[u8], partition: &PartitionRecord, max_hits: u32) -> Vec<DocumentHit> {
    let snapshot = partition.snapshot.0.to_le_bytes();
    let shard = partition.shard.as_str().as_bytes();
    let digest = StateDigest::of_parts([query, shard, snapshot.as_slice()]);
    let max_count = u64::from(max_hits).min(partition.documents.0);
    let count = u64::from(digest.0[0]) % (max_count + 1);
    let key_span = partition.range.last.saturating_sub(partition.range.first);
    let digest_text = digest.to_string();
    (0..count)
        .map(|index| DocumentHit {
            key: format!("{:016x}", partition.range.first + key_span / count * index),
            snapshot: partition.snapshot.0,
            text: format!("{}:{index}", &digest_text[..DIGEST_CHARACTERS]),
        })
        .collect()
}
