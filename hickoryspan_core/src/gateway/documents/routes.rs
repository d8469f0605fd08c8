//! Selects a route by host and longest path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use super::accounts::{AccountTable, ClientAccount, KeyDigest};
use super::document::{ConfigurationDocument, RouteRule, WeightedService};
use crate::types::{RequestRate, ServiceId, ShareWeight};

/// Lookup table for the routes of one document.
#[derive(Debug)]
pub struct RouteTable {
    document: Arc<ConfigurationDocument>,
    // Route indexes by host name in lower case, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    connections: HashMap<ServiceId, u32>,
    cold_rates: HashMap<ServiceId, RequestRate>,
    // `None` if requests need no key.
    accounts: Option<AccountTable>,
}

impl RouteTable {
    /// Builds the table for a document.
    pub fn new(document: Arc<ConfigurationDocument>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            let length = |index: &usize| document.routes[*index].path_prefix.len();
            routes.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        let rules = document.services.iter();
        let connections = rules.map(|rule| (rule.service.clone(), rule.connections)).collect();
        let cold_rates = document
            .services
            .iter()
            .filter_map(|rule| Some((rule.service.clone(), rule.cold_rate?)));
        let cold_rates = cold_rates.collect();
        let accounts = document.accounts.as_deref().map(AccountTable::new);
        Self { document, by_host, connections, cold_rates, accounts }
    }

    /// Returns the document.
    pub fn document(&self) -> &Arc<ConfigurationDocument> {
        &self.document
    }

    /// Returns the route for a host name, given with or without a port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?.iter().map(|index| &self.document.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether requests need a key of an account, except on public routes.
    pub fn requires_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// Returns the account that holds a key.
    pub fn find_account(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.accounts.as_ref()?.find(key)
    }

    /// Returns how many requests per second cold targets of services tolerate, for those that state it.
    pub fn cold_rates(&self) -> &HashMap<ServiceId, RequestRate> {
        &self.cold_rates
    }

    /// Returns the weight of an account's fair share under overload; `None` if the document names no accounts.
    pub fn share_weight(&self, account: &ClientAccount) -> Option<ShareWeight> {
        Some(self.accounts.as_ref()?.share_weight(account))
    }

    /// Returns the number of connections that each target of a service accepts, or `None` if the
    /// document does not contain the service.
    pub fn connections(&self, service: &ServiceId) -> Option<u32> {
        self.connections.get(service).copied()
    }
}

/// Distributes the requests of a split by weight. It uses no randomness, so that short windows keep
/// the shares too.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<ServiceId, f64>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` if all weights are zero.
    pub fn next<'a>(&mut self, parts: &'a [WeightedService]) -> Option<&'a ServiceId> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        self.credits.retain(|service, _| parts.iter().any(|part| part.service == *service));
        for part in parts {
            *self.credits.entry(part.service.clone()).or_default() += part.weight / total;
        }
        let credit = |part: &&WeightedService| self.credits.get(&part.service).copied();
        let chosen = parts.iter().filter(|part| part.weight > 0.0).max_by(|left, right| {
            credit(left).partial_cmp(&credit(right)).unwrap_or(std::cmp::Ordering::Equal)
        })?;
        *self.credits.entry(chosen.service.clone()).or_default() -= 1.0;
        Some(&chosen.service)
    }

    /// Creates a distribution that starts at `phase`, a random number from 0 to 1, so that entries
    /// do not all send their first requests to the same service.
    pub fn with_phase(parts: &[WeightedService], phase: f64) -> Self {
        let credits = parts.iter().enumerate().map(|(index, part)| {
            let shift = if index == 0 { phase } else { 0.0 };
            (part.service.clone(), shift)
        });
        Self { credits: credits.collect() }
    }
}
