//! Share of a search's documents that its answers cover.

use std::collections::BTreeSet;

use crate::membership::PartitionRecord;
use crate::sheet::ShardScope;
use crate::types::CoverageShare;

/// Number of keys in the key space.
const KEY_SPACE: u128 = 1 << 64;

/// Total weight of a layout, including the parts of the scope without a known partition.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct CoverageBase {
    /// Weight of the scope, including its unknown parts.
    total: f64,
    /// Number of known partitions.
    partitions: u32,
    /// Whether the known partitions cover the whole scope.
    is_complete: bool,
}

/// Returns the weights of partitions: their numbers of documents, or their shares of the key space
/// if no partition contains a document.
pub(super) fn partition_weights(records: &[&PartitionRecord]) -> Vec<f64> {
    let empty = records.iter().all(|record| record.documents.0 == 0);
    let weight = |record: &&PartitionRecord| {
        if empty { record.range.share() } else { record.documents.0 as f64 }
    };
    records.iter().map(weight).collect()
}

impl CoverageBase {
    /// Computes the base of disjoint partitions. Gaps in the key space are weighted at the mean
    /// density. A listed shard without a known partition is weighted as a mean partition, because
    /// its range is unknown.
    pub fn new(records: &[&PartitionRecord], weights: &[f64], scope: &ShardScope) -> Self {
        let known: f64 = weights.iter().sum();
        let partitions = u32::try_from(records.len()).unwrap_or(u32::MAX);
        match scope {
            ShardScope::All => {
                let keys = |record: &&PartitionRecord| {
                    u128::from(record.range.last - record.range.first) + 1
                };
                let covered: u128 = records.iter().map(keys).sum();
                let gap = KEY_SPACE.saturating_sub(covered);
                let unknown =
                    if covered == 0 { 1.0 } else { known * (gap as f64 / covered as f64) };
                Self { total: known + unknown, partitions, is_complete: gap == 0 }
            }
            ShardScope::Listed(shards) => {
                let listed = shards.iter().collect::<BTreeSet<_>>().len();
                let missing = listed.saturating_sub(records.len());
                let mean = if records.is_empty() { 1.0 } else { known / records.len() as f64 };
                Self { total: known + mean * missing as f64, partitions, is_complete: missing == 0 }
            }
        }
    }

    /// Returns the base of a search that a single target answers completely.
    pub fn single() -> Self {
        Self { total: 1.0, partitions: 1, is_complete: true }
    }
}

/// Accumulates the weight of the answered partitions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CoverageCounter {
    weight: f64,
    partitions: u32,
}

impl CoverageCounter {
    /// Adds a partition. The caller must add each partition only once.
    pub fn add(&mut self, weight: f64) {
        self.weight += weight;
        self.partitions += 1;
    }

    /// Returns the covered share. It is exactly one only if all partitions were added and no part
    /// of the scope is unknown.
    pub fn share(&self, base: &CoverageBase) -> CoverageShare {
        if base.is_complete && base.partitions > 0 && self.partitions == base.partitions {
            return CoverageShare::FULL;
        }
        if base.total <= 0.0 {
            return CoverageShare::NONE;
        }
        CoverageShare::new((self.weight / base.total).min(1.0 - f64::EPSILON))
    }
}
