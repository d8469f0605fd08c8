//! The right answer to a generated query, computed from the stand-in targets' documents.

use std::collections::BTreeMap;

use hickoryspan_core::membership::PartitionRecord;
use hickoryspan_core::types::{DocumentCount, ShardId};
use hickoryspan_target::documents::{DocumentHit, find_hits};

/// What every partition of a service finds for one query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryExpectation {
    /// The hits by shard, in key order.
    pub hits: BTreeMap<ShardId, Vec<DocumentHit>>,
    /// The documents by shard.
    pub documents: BTreeMap<ShardId, DocumentCount>,
}

impl QueryExpectation {
    /// The expectation for the query's text over these partitions.
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

    /// The documents of all shards.
    pub fn total(&self) -> DocumentCount {
        self.documents.values().copied().sum()
    }
}
