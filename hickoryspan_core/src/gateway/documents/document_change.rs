//! Changes between configuration documents, and when an entry requests them.
//!
//! An entry has as many directory links as there are control hosts. Sending a whole document over
//! each of them would saturate the entry's network link if the configuration is large. Therefore
//! each link only announces the version in force, and the entry requests the difference to its own
//! version from a single host.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::accounts::ClientAccount;
use super::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, RouteDestination, RouteRule, ServiceRule,
};
use super::shard_list::ShardList;
use crate::types::{AccountId, MonotonicTime, ServiceId};

/// Time after which a document is requested from another host if the first one has not sent it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifies a route within a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteKey {
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Path prefix of the requests.
    pub path_prefix: Arc<str>,
}

impl RouteKey {
    fn of(route: &RouteRule) -> Self {
        Self { host: route.host.clone(), path_prefix: route.path_prefix.clone() }
    }
}

/// A new or changed route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteChange {
    /// The route, with an empty list of shards if its destination is sharded.
    pub rule: RouteRule,
    /// Index of its list in [`DocumentChange::shard_lists`], if it has one. Hundreds of routes may
    /// share a list of hundreds of shards; decoding it again for each of them would take a small
    /// entry a tenth of a second.
    pub shard_list: Option<usize>,
}

/// Collects the distinct lists of shards.
#[derive(Default)]
struct ListTable {
    lists: Vec<ShardList>,
}

impl ListTable {
    /// Moves the list of shards of a route to the table, unless the table has an equal one already.
    fn split(&mut self, route: &RouteRule) -> RouteChange {
        let mut rule = route.clone();
        let RouteDestination::Shards(spread) = &mut rule.destination else {
            return RouteChange { rule, shard_list: None };
        };
        let list = std::mem::take(&mut spread.shards);
        let known = self.lists.iter().position(|known| *known == list);
        let position = known.unwrap_or_else(|| {
            self.lists.push(list);
            self.lists.len() - 1
        });
        RouteChange { rule, shard_list: Some(position) }
    }
}

impl RouteChange {
    /// Returns the route with its list of shards, or `None` if the list is missing.
    fn join(&self, lists: &[ShardList]) -> Option<RouteRule> {
        let mut rule = self.rule.clone();
        if let (Some(position), RouteDestination::Shards(spread)) =
            (self.shard_list, &mut rule.destination)
        {
            spread.shards = lists.get(position)?.clone();
        }
        Some(rule)
    }
}

/// The difference between the accounts of two documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountChange {
    /// New or changed accounts.
    pub accounts: Vec<ClientAccount>,
    /// Removed accounts.
    pub dropped: Vec<AccountId>,
}

impl AccountChange {
    fn between(base: &[ClientAccount], next: &[ClientAccount]) -> Self {
        let by_name = |accounts: &'_ [ClientAccount]| -> HashMap<AccountId, usize> {
            let names = accounts.iter().map(|account| account.account.clone());
            names.enumerate().map(|(index, name)| (name, index)).collect()
        };
        let (old, new) = (by_name(base), by_name(next));
        let is_new = |account: &&ClientAccount| {
            old.get(&account.account).is_none_or(|index| base[*index] != **account)
        };
        let dropped = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
        Self { accounts: next.iter().filter(is_new).cloned().collect(), dropped }
    }

    fn apply(&self, base: &[ClientAccount]) -> Vec<ClientAccount> {
        let names = self.accounts.iter().map(|account| &account.account);
        let names: HashSet<&AccountId> = names.chain(&self.dropped).collect();
        let kept = base.iter().filter(|account| !names.contains(&account.account));
        kept.chain(&self.accounts).cloned().collect()
    }
}

/// The difference between two documents, without the submitted text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DocumentChange {
    /// Version to which the change applies; `None` if it contains the whole document.
    pub base: Option<DocumentVersion>,
    /// Version of the resulting document.
    pub version: DocumentVersion,
    /// New or changed routes.
    pub routes: Vec<RouteChange>,
    /// The distinct lists of shards of these routes.
    pub shard_lists: Vec<ShardList>,
    /// Removed routes.
    pub dropped_routes: Vec<RouteKey>,
    /// New or changed services.
    pub services: Vec<ServiceRule>,
    /// Removed services.
    pub dropped_services: Vec<ServiceId>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The difference of the accounts; `None` if the resulting document names none.
    #[serde(default)]
    pub accounts: Option<AccountChange>,
}

fn routes_by_key(document: &ConfigurationDocument) -> HashMap<RouteKey, &Arc<RouteRule>> {
    document.routes.iter().map(|route| (RouteKey::of(route), route)).collect()
}

fn services_by_name(document: &ConfigurationDocument) -> HashMap<&ServiceId, &ServiceRule> {
    document.services.iter().map(|rule| (&rule.service, rule)).collect()
}

impl DocumentChange {
    /// Creates a change of nothing but the version and the limits.
    pub(super) fn empty(version: DocumentVersion, limits: CallerLimits) -> Self {
        Self {
            base: None,
            version,
            routes: Vec::new(),
            shard_lists: Vec::new(),
            dropped_routes: Vec::new(),
            services: Vec::new(),
            dropped_services: Vec::new(),
            limits,
            accounts: None,
        }
    }

    /// Returns the change from `base`, or from no document at all, to `next`.
    pub fn between(base: Option<&ConfigurationDocument>, next: &ConfigurationDocument) -> Self {
        let old_routes = base.map(routes_by_key).unwrap_or_default();
        let old_services = base.map(services_by_name).unwrap_or_default();
        let new_routes = routes_by_key(next);
        let new_services = services_by_name(next);
        let is_changed =
            |route: &&Arc<RouteRule>| old_routes.get(&RouteKey::of(route)) != Some(route);
        let is_new = |rule: &&ServiceRule| old_services.get(&rule.service) != Some(rule);
        let old_accounts = base.and_then(|base| base.accounts.as_deref()).unwrap_or_default();
        let mut lists = ListTable::default();
        let routes = next.routes.iter().filter(is_changed);
        let routes = routes.map(|route| lists.split(route)).collect();
        let dropped_routes = old_routes.keys().filter(|key| !new_routes.contains_key(*key));
        let dropped_services =
            old_services.keys().filter(|name| !new_services.contains_key(**name));
        Self {
            base: base.map(|base| base.version),
            routes,
            shard_lists: lists.lists,
            dropped_routes: dropped_routes.cloned().collect(),
            services: next.services.iter().filter(is_new).cloned().collect(),
            dropped_services: dropped_services.map(|name| (*name).clone()).collect(),
            accounts: next
                .accounts
                .as_deref()
                .map(|next| AccountChange::between(old_accounts, next)),
            ..Self::empty(next.version, next.limits)
        }
    }

    /// Returns the document that results from the change, or `None` if the change does not apply to
    /// `current`. New and changed routes and services come last.
    pub fn apply(&self, current: Option<&ConfigurationDocument>) -> Option<ConfigurationDocument> {
        let base = match self.base {
            Some(version) => Some(current.filter(|current| current.version == version)?),
            None => None,
        };
        let changed = self.routes.iter().map(|route| route.join(&self.shard_lists).map(Arc::new));
        let changed = changed.collect::<Option<Vec<Arc<RouteRule>>>>()?;
        let keys = changed.iter().map(|route| RouteKey::of(route));
        let keys: HashSet<RouteKey> = keys.chain(self.dropped_routes.iter().cloned()).collect();
        let names = self.services.iter().map(|rule| &rule.service);
        let names: HashSet<&ServiceId> = names.chain(&self.dropped_services).collect();
        let old_routes = base.into_iter().flat_map(|base| &base.routes);
        let old_services = base.into_iter().flat_map(|base| &base.services);
        let old_accounts = base.and_then(|base| base.accounts.as_deref()).unwrap_or_default();
        let kept_routes = old_routes.filter(|route| !keys.contains(&RouteKey::of(route)));
        let kept_services = old_services.filter(|rule| !names.contains(&rule.service));
        Some(ConfigurationDocument {
            version: self.version,
            routes: kept_routes.chain(&changed).cloned().collect(),
            services: kept_services.chain(&self.services).cloned().collect(),
            limits: self.limits,
            accounts: self.accounts.as_ref().map(|change| change.apply(old_accounts)),
            source: Arc::from(""),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    from: SocketAddr,
    requested_at: MonotonicTime,
}

/// Tracks the host from which an entry has requested a newer document.
#[derive(Clone, Copy, Debug, Default)]
pub struct DocumentFetch {
    pending: Option<PendingFetch>,
}

impl DocumentFetch {
    /// Returns whether to request the document now from the host at `from`, which has the version
    /// `offered` in force. If so, the request counts as pending; only one is pending at a time.
    pub fn should_request(
        &mut self,
        now: MonotonicTime,
        current: Option<DocumentVersion>,
        offered: DocumentVersion,
        from: SocketAddr,
    ) -> bool {
        if current.is_some_and(|current| current >= offered) {
            return false;
        }
        let is_pending =
            self.pending.is_some_and(|fetch| now.since(fetch.requested_at) < FETCH_TIMEOUT);
        if is_pending {
            return false;
        }
        self.pending = Some(PendingFetch { from, requested_at: now });
        true
    }

    /// Records that a host has sent a part of the document, which restarts the timeout of the
    /// request.
    pub fn note_progress(&mut self, now: MonotonicTime, from: SocketAddr) {
        if let Some(fetch) = self.pending.as_mut().filter(|fetch| fetch.from == from) {
            fetch.requested_at = now;
        }
    }

    /// Ends the request to a host that has sent the document or whose link has ended.
    pub fn note_end(&mut self, from: SocketAddr) {
        if self.pending.is_some_and(|fetch| fetch.from == from) {
            self.pending = None;
        }
    }
}
