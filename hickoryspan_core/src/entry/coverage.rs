//! The share of a search's documents that its answers cover.

use std::collections::BTreeSet;

use crate::membership::PartitionRecord;
use crate::sheet::ShardScope;
use crate::types::CoverageShare;

/// Keys in the whole key space.
const KEY_SPACE: u128 = 1 << 64;

/// What a layout's partitions weigh together, with what no partition is known for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct CoverageBase {
    /// Weight of the scope, unknown parts included.
    total: f64,
    /// The number of known partitions.
    partitions: u32,
    /// Whether the known partitions are all of the scope.
    is_complete: bool,
}

/// Weights of partitions: documents, or shares of the key space while no partition holds a document.
pub(super) fn partition_weights(records: &[&PartitionRecord]) -> Vec<f64> {
    let empty = records.iter().all(|record| record.documents.0 == 0);
    let weight = |record: &&PartitionRecord| {
        if empty { record.range.share() } else { record.documents.0 as f64 }
    };
    records.iter().map(weight).collect()
}

impl CoverageBase {
    /// The base of partitions that do not overlap. Gaps in the key space count at the mean density; a listed
    /// shard without a known partition counts as a mean partition, because its range is unknown.
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

    /// The base of a search that one target answers wholly.
    pub fn single() -> Self {
        Self { total: 1.0, partitions: 1, is_complete: true }
    }
}

/// The partitions that count so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CoverageCounter {
    weight: f64,
    partitions: u32,
}

impl CoverageCounter {
    /// Counts one more partition; the caller counts each partition once.
    pub fn add(&mut self, weight: f64) {
        self.weight += weight;
        self.partitions += 1;
    }

    /// The share; exactly one only if all partitions count and no part of the scope is unknown.
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
