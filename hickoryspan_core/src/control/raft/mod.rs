//! Log replication between control replicas (`docs/design.md`, section 4).

use serde::{Deserialize, Serialize};

/// A message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaMessage {}
