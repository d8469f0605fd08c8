//! What changed between two configuration documents, and when an entry asks for it.
//!
//! An entry has as many directory links as there are control hosts. A whole document on each of them would fill the
//! entry's network link whenever the configuration is large, so every link only names the version in force, and the
//! entry asks one host for the difference to the version that it has.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, RouteRule, ServiceRule,
};
use crate::types::{MonotonicTime, ServiceId};

/// Time after which another host is asked for a document that the first one has not sent.
const FETCH_PATIENCE: Duration = Duration::from_millis(500);

/// What makes a route unique within a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutePlace {
    /// The host that requests name.
    pub host: Arc<str>,
    /// The path prefix.
    pub path_prefix: Arc<str>,
}

impl RoutePlace {
    fn of(route: &RouteRule) -> Self {
        Self { host: route.host.clone(), path_prefix: route.path_prefix.clone() }
    }
}

/// The difference between two documents, without the text that was submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DocumentChange {
    /// The version that it applies to; nothing if it contains the whole document.
    pub base: Option<DocumentVersion>,
    /// The version that it leads to.
    pub version: DocumentVersion,
    /// Routes that are new or differ.
    pub routes: Vec<RouteRule>,
    /// Routes that are gone.
    pub dropped_routes: Vec<RoutePlace>,
    /// Services that are new or differ.
    pub services: Vec<ServiceRule>,
    /// Services that are gone.
    pub dropped_services: Vec<ServiceId>,
    /// What callers may send.
    pub limits: CallerLimits,
}

fn routes_by_place(document: &ConfigurationDocument) -> BTreeMap<RoutePlace, &RouteRule> {
    document.routes.iter().map(|route| (RoutePlace::of(route), route)).collect()
}

fn services_by_name(document: &ConfigurationDocument) -> BTreeMap<&ServiceId, &ServiceRule> {
    document.services.iter().map(|rule| (&rule.service, rule)).collect()
}

impl DocumentChange {
    /// What leads from `base`, or from nothing, to `next`.
    pub fn between(base: Option<&ConfigurationDocument>, next: &ConfigurationDocument) -> Self {
        let old_routes = base.map(routes_by_place).unwrap_or_default();
        let old_services = base.map(services_by_name).unwrap_or_default();
        let new_routes = routes_by_place(next);
        let new_services = services_by_name(next);
        let changed_route =
            |(place, route): (&RoutePlace, &&RouteRule)| old_routes.get(place) != Some(route);
        let changed_service =
            |(name, rule): (&&ServiceId, &&ServiceRule)| old_services.get(*name) != Some(rule);
        let routes = new_routes.iter().filter(|entry| changed_route(*entry));
        let services = new_services.iter().filter(|entry| changed_service(*entry));
        let dropped_routes = old_routes.keys().filter(|place| !new_routes.contains_key(*place));
        let dropped_services =
            old_services.keys().filter(|name| !new_services.contains_key(**name));
        Self {
            base: base.map(|base| base.version),
            version: next.version,
            routes: routes.map(|(_, route)| (*route).clone()).collect(),
            dropped_routes: dropped_routes.cloned().collect(),
            services: services.map(|(_, rule)| (*rule).clone()).collect(),
            dropped_services: dropped_services.map(|name| (*name).clone()).collect(),
            limits: next.limits,
        }
    }

    /// The document that this change leads to; nothing if `held` is not what it applies to.
    pub fn apply(&self, held: Option<&ConfigurationDocument>) -> Option<ConfigurationDocument> {
        let base = match self.base {
            Some(version) => Some(held.filter(|held| held.version == version)?),
            None => None,
        };
        let mut routes = base.map(routes_by_place).unwrap_or_default();
        let mut services = base.map(services_by_name).unwrap_or_default();
        routes.retain(|place, _| !self.dropped_routes.contains(place));
        services.retain(|name, _| !self.dropped_services.contains(*name));
        routes.extend(self.routes.iter().map(|route| (RoutePlace::of(route), route)));
        services.extend(self.services.iter().map(|rule| (&rule.service, rule)));
        Some(ConfigurationDocument {
            version: self.version,
            routes: routes.into_values().cloned().collect(),
            services: services.into_values().cloned().collect(),
            limits: self.limits,
            source: Arc::from(""),
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    from: SocketAddr,
    asked_at: MonotonicTime,
}

/// Which host an entry asks for a newer document.
#[derive(Clone, Copy, Debug, Default)]
pub struct DocumentFetch {
    pending: Option<PendingFetch>,
}

impl DocumentFetch {
    /// Whether to ask the host at `from`, which has the version `offered` in force. Only one host is asked at a time.
    pub fn should_ask(
        &mut self,
        now: MonotonicTime,
        held: Option<DocumentVersion>,
        offered: DocumentVersion,
        from: SocketAddr,
    ) -> bool {
        if held.is_some_and(|held| held >= offered) {
            return false;
        }
        let waits = self.pending.is_some_and(|fetch| now.since(fetch.asked_at) < FETCH_PATIENCE);
        if waits {
            return false;
        }
        self.pending = Some(PendingFetch { from, asked_at: now });
        true
    }

    /// A host sent what it was asked for, or its link ended.
    pub fn note_end(&mut self, from: SocketAddr) {
        if self.pending.is_some_and(|fetch| fetch.from == from) {
            self.pending = None;
        }
    }
}
