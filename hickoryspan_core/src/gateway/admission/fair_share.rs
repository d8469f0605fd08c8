//! Divides what overload refuses between client accounts, so that those beyond their fair share are refused first
//! (`docs/design/accounts.md`).
//!
//! An entry goes by the requests that it has seen itself. Where it sees few of each account, it cannot tell a surge of
//! a small account from chance, and refuses all accounts more alike; an account with a large part of all requests shows
//! after few of them.

use std::collections::HashMap;
use std::time::Duration;

use super::overload::MAX_SHED_FRACTION;
use crate::types::{AccountId, CostUnits, MonotonicTime, ServiceId, ShareWeight};

/// Growth of the weight of new requests after which older ones are scaled down, and accounts that have become idle are
/// forgotten.
const MAX_SCALE: f64 = 4.0;
/// Number of decayed requests below which an account is forgotten.
const IDLE_REQUESTS: f64 = 0.25;
/// Steps of the bisection that finds the common level. Its error is far below that of the demand.
const LEVEL_STEPS: u32 = 30;

/// Settings of [`FairShares`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairShareSettings {
    /// Time after which a request counts half in the demand of its account.
    pub half_life: Duration,
    /// Number of requests of an account whose evidence is as strong as the assumption that it keeps to its share.
    pub assumed_requests: f64,
    /// Number of requests by which as many too many may have been refused before all are served, to make up for it.
    pub balance_requests: f64,
    /// Least part of its requests that an account gets, relative to the part that all accounts get together.
    pub min_relative_part: f64,
    /// Largest part of an account's requests that is refused.
    pub max_refused_part: f64,
}

impl Default for FairShareSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(10),
            assumed_requests: 1.0,
            balance_requests: 2.0,
            min_relative_part: 0.5,
            max_refused_part: MAX_SHED_FRACTION,
        }
    }
}

/// A request of an account.
#[derive(Clone, Copy, Debug)]
pub struct AccountRequest<'a> {
    /// The service that stands for the targets which the request needs.
    pub service: &'a ServiceId,
    /// The account that sent it.
    pub account: &'a AccountId,
    /// The weight of the account; positive.
    pub weight: ShareWeight,
    /// What the request costs its targets; positive.
    pub cost: CostUnits,
}

#[derive(Clone, Copy, Debug)]
struct AccountDemand {
    // Scaled as in `ServiceDemand`.
    cost: f64,
    weight: f64,
}

/// What accounts ask of one service. All sums decay: instead of older requests, newer ones are scaled by a weight that
/// grows with time.
#[derive(Clone, Debug)]
struct ServiceDemand {
    origin: MonotonicTime,
    accounts: HashMap<AccountId, AccountDemand>,
    requests: f64,
    cost: f64,
    // Cost of the requests whose account had not been seen before.
    first_cost: f64,
    // Cost of what was refused beyond the part of all requests that was to be refused.
    excess: f64,
}

impl ServiceDemand {
    fn new(now: MonotonicTime) -> Self {
        Self {
            origin: now,
            accounts: HashMap::new(),
            requests: 0.0,
            cost: 0.0,
            first_cost: 0.0,
            excess: 0.0,
        }
    }

    fn scale(&self, now: MonotonicTime, half_life: Duration) -> f64 {
        (now.since(self.origin).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    /// Lets the scale begin at one again.
    fn rescale(&mut self, now: MonotonicTime, scale: f64) {
        self.origin = now;
        self.requests /= scale;
        self.cost /= scale;
        self.first_cost /= scale;
        self.excess /= scale;
        let idle_cost = IDLE_REQUESTS * self.cost / self.requests.max(f64::MIN_POSITIVE);
        self.accounts.retain(|_, demand| {
            demand.cost /= scale;
            demand.cost > idle_cost
        });
    }

    fn note(&mut self, request: &AccountRequest<'_>, excess: f64, scale: f64) {
        let cost = request.cost.0 * scale;
        self.requests += scale;
        self.cost += cost;
        self.excess += excess * cost;
        match self.accounts.get_mut(request.account) {
            Some(demand) => {
                demand.cost += cost;
                demand.weight = request.weight.0;
            }
            None => {
                self.first_cost += cost;
                let demand = AccountDemand { cost, weight: request.weight.0 };
                self.accounts.insert(request.account.clone(), demand);
            }
        }
    }

    fn seen_cost(&self) -> f64 {
        self.accounts.values().map(|account| account.cost).sum()
    }

    /// Returns the part of an account's requests to refuse. `refused_part` of all requests is to be refused.
    fn refused_part(
        &self,
        settings: &FairShareSettings,
        request: &AccountRequest<'_>,
        refused_part: f64,
        scale: f64,
    ) -> f64 {
        let served = 1.0 - refused_part;
        let least = (settings.min_relative_part * served).max(1.0 - settings.max_refused_part);
        // What was refused too often or too rarely so far, because demand was not as it had been, is made up for.
        let excess_requests = self.excess / self.cost * self.requests / scale;
        let served = (served + excess_requests / settings.balance_requests).clamp(least, 1.0);
        let used = UsedShares {
            requests: self.requests / scale,
            seen_cost: self.seen_cost(),
            seen_weight: self.accounts.values().map(|account| account.weight).sum(),
            first_part: self.first_cost / self.cost,
            assumed_requests: settings.assumed_requests,
        };
        let common = common_level(&self.relative_demands(&used), served, least);
        let level = match self.accounts.get(request.account) {
            Some(account) => used.level(account.cost, account.weight),
            None => used.level(0.0, request.weight.0),
        };
        1.0 - (common / level).clamp(least, 1.0)
    }

    /// Returns the demands of all accounts that were seen, and of the others together.
    fn relative_demands(&self, used: &UsedShares) -> Vec<RelativeDemand> {
        let mean_weight = used.seen_weight / self.accounts.len() as f64;
        let unseen = RelativeDemand { part: used.first_part, level: used.level(0.0, mean_weight) };
        let seen = self.accounts.values().map(|account| RelativeDemand {
            part: (1.0 - used.first_part) * account.cost / used.seen_cost,
            level: used.level(account.cost, account.weight),
        });
        seen.chain([unseen]).collect()
    }
}

/// How much of the fair shares accounts use, as far as the requests seen tell.
struct UsedShares {
    requests: f64,
    seen_cost: f64,
    seen_weight: f64,
    first_part: f64,
    assumed_requests: f64,
}

impl UsedShares {
    /// Returns the demand of an account divided by its fair share. With few requests seen it is near one: the demand is
    /// estimated as if the account had sent `assumed_requests` more, in the time in which its share allows as many.
    fn level(&self, cost: f64, weight: f64) -> f64 {
        let sent = self.requests * cost / self.seen_cost;
        // The accounts that have been seen cause all demand but the first requests of others.
        let share = (1.0 - self.first_part) * weight / self.seen_weight;
        (sent + self.assumed_requests) / (self.requests * share + self.assumed_requests)
    }
}

/// The demand of one account in relation to its share.
struct RelativeDemand {
    // Part of all demand that comes from the account.
    part: f64,
    // Demand divided by the fair share.
    level: f64,
}

/// The demand of accounts that this entry has seen, and what follows from it under overload.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    settings: FairShareSettings,
    services: HashMap<ServiceId, ServiceDemand>,
}

impl FairShares {
    /// Creates an empty record of demand.
    pub fn new(settings: FairShareSettings) -> Self {
        Self { settings, services: HashMap::new() }
    }

    /// Returns the part of an account's requests to refuse, from 0 to 1, so that about `refused_part` of all requests
    /// is refused. Counts the request, whether it is then served or refused.
    pub fn refused_part(
        &mut self,
        now: MonotonicTime,
        request: &AccountRequest<'_>,
        refused_part: f64,
    ) -> f64 {
        let settings = self.settings;
        if !self.services.contains_key(request.service) {
            self.services.insert(request.service.clone(), ServiceDemand::new(now));
        }
        let Some(demand) = self.services.get_mut(request.service) else { return refused_part };
        let mut scale = demand.scale(now, settings.half_life);
        if scale > MAX_SCALE {
            demand.rescale(now, scale);
            scale = 1.0;
        }
        let refused_part = refused_part.clamp(0.0, settings.max_refused_part);
        let part = match refused_part > 0.0 && demand.seen_cost() > 0.0 {
            true => demand.refused_part(&settings, request, refused_part, scale),
            false => refused_part,
        };
        demand.note(request, part - refused_part, scale);
        part
    }

    /// Forgets services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| keep(service));
    }
}

/// Returns the level up to which demand is served, so that `served` of all demand is, with at least the part `least` of
/// each account.
fn common_level(demands: &[RelativeDemand], served: f64, least: f64) -> f64 {
    let served_at = |level: f64| -> f64 {
        demands.iter().map(|demand| demand.part * (level / demand.level).clamp(least, 1.0)).sum()
    };
    let (mut low, mut high) = (0.0, demands.iter().map(|demand| demand.level).fold(0.0, f64::max));
    for _ in 0..LEVEL_STEPS {
        let middle = (low + high) / 2.0;
        if served_at(middle) < served { low = middle } else { high = middle }
    }
    high
}
