//! The shards of a route.

use std::collections::HashSet;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::ServiceId;

/// The services of a route's shards, in the order in which the operator lists them. One that is listed again counts once:
/// two parts of one shard make an answer wrong.
///
/// Lists that earlier releases have stored or pass on may name a service twice, so this also holds for a list that is
/// decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<ServiceId>")]
pub struct ShardList(Arc<[ServiceId]>);

impl ShardList {
    /// Returns the list, which its clones share.
    pub fn as_shared(&self) -> &Arc<[ServiceId]> {
        &self.0
    }
}

impl Default for ShardList {
    fn default() -> Self {
        Self(Arc::from([]))
    }
}

impl FromIterator<ServiceId> for ShardList {
    fn from_iter<I: IntoIterator<Item = ServiceId>>(services: I) -> Self {
        let mut listed = HashSet::new();
        Self(services.into_iter().filter(|service| listed.insert(service.clone())).collect())
    }
}

impl From<Vec<ServiceId>> for ShardList {
    fn from(services: Vec<ServiceId>) -> Self {
        services.into_iter().collect()
    }
}

impl Deref for ShardList {
    type Target = [ServiceId];

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}
