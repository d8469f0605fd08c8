//! Computes the expected response to a generated query from the documents of the stand-in targets.

use std::collections::BTreeMap;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{DocumentCount, ShardId};
use hickoryspan_target::documents::{DocumentHit, find_hits};

/// Expected hits of one query in every partition of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryExpectation {
    /// Hits by shard, in key order.
    pub hits: BTreeMap<ShardId, Vec<DocumentHit>>,
    /// Number of documents by shard.
    pub documents: BTreeMap<ShardId, DocumentCount>,
}

impl QueryExpectation {
    /// Computes the expected hits of the query in these partitions.
    ///
    /// `max_hits` must equal the setting of the targets.
    pub fn new<'a>(
        query: &[u8],
        partitions: impl IntoIterator<Item = &'a PartitionRecord>,
        max_hits: u32,
    ) -> Self {
        let mut expectation = Self::default();
        for partition in partitions {
            let hits = find_hits(query, partition, max_hits);
            expectation.hits.insert(partition.shard.clone(), hits);
            expectation.documents.insert(partition.shard.clone(), partition.documents);
        }
        expectation
    }

    /// Returns the number of documents in all shards.
    pub fn total(&self) -> DocumentCount {
        self.documents.values().copied().sum()
    }
}
