//! Generated documents: the hits of a query follow from its text, so that a checker can compute the right answer.

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::StateDigest;
use serde::{Deserialize, Serialize};

/// One document that a query found.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DocumentHit {
    /// The document's key as 16 hexadecimal digits, so that text order is key order.
    pub key: String,
    /// The snapshot that was searched.
    pub snapshot: u64,
    /// Names the query and the place among its hits.
    pub text: String,
}

/// Characters of the query's digest that a hit repeats; enough to tell queries apart.
const DIGEST_CHARACTERS: usize = 12;

/// The hits of `query` in a partition, in key order; at most `max_hits` and at most the partition's documents.
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
