//! Shares of callers' rate limits that the leader leases to entries by demand. They are volatile state of the leader
//! (`docs/design.md`, section 5).

use std::collections::BTreeMap;
use std::time::Duration;

use super::commands::EntryProcess;
use crate::messages::{CallerDemand, ShareGrant};
use crate::sheet::SheetDocument;
use crate::types::{CallerId, CostRate, MonotonicTime, TenantId};

/// Fraction of a caller's limit that is granted by demand; the rest is divided evenly among the ordinals.
const POOL_FRACTION: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct TimedRate {
    rate: f64,
    until: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct CallerPool {
    demand: BTreeMap<EntryProcess, TimedRate>,
    // An entry uses one grant at a time, but it may not have received the latest one, so all unexpired grants are
    // kept.
    grants: BTreeMap<EntryProcess, Vec<TimedRate>>,
}

impl CallerPool {
    fn prune(&mut self, now: MonotonicTime) {
        self.demand.retain(|_, demand| demand.until > now);
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.until > now);
            !grants.is_empty()
        });
    }

    fn largest_grant(&self, process: &EntryProcess) -> f64 {
        let grants = self.grants.get(process).into_iter().flatten();
        grants.map(|grant| grant.rate).fold(0.0, f64::max)
    }

    fn grant(&self, process: &EntryProcess, pool: f64) -> f64 {
        let outstanding: f64 = self.grants.keys().map(|process| self.largest_grant(process)).sum();
        // After a sheet has lowered the limit, no new grants are given until enough old ones have expired.
        if outstanding > pool * (1.0 + f64::EPSILON * 64.0) {
            return 0.0;
        }
        let total: f64 = self.demand.values().map(|demand| demand.rate).sum();
        let own = self.demand.get(process).map_or(0.0, |demand| demand.rate);
        if total <= 0.0 || own <= 0.0 {
            return 0.0;
        }
        let free = pool - (outstanding - self.largest_grant(process));
        (pool * (own / total)).min(free).max(0.0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    tenant: TenantId,
    caller: CallerId,
}

/// Allocates shares of the demand pools of all callers. The demand pool of a caller is the part of its limit that is
/// granted by demand.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    grants_from: MonotonicTime,
    lease: Duration,
    guard: Duration,
    pools: BTreeMap<PoolKey, CallerPool>,
}

impl ShareAllocator {
    /// Creates the allocator of a new leader. It gives no grants until those of the previous leader have expired.
    pub fn new(now: MonotonicTime, lease: Duration, guard: Duration) -> Self {
        Self { grants_from: now + lease + guard, lease, guard, pools: BTreeMap::new() }
    }

    /// Records the demand that a process reports. Callers that are not in the sheet are ignored.
    pub fn record_demand(
        &mut self,
        now: MonotonicTime,
        process: &EntryProcess,
        demand: &[CallerDemand],
        sheet: Option<&SheetDocument>,
    ) {
        let until = now + self.lease;
        for CallerDemand { tenant, caller, rate } in demand {
            let usable = rate.0.is_finite() && rate.0 > 0.0;
            if !usable || pool_size(sheet, tenant, caller).is_none() {
                continue;
            }
            let pool = self
                .pools
                .entry(PoolKey { tenant: tenant.clone(), caller: caller.clone() })
                .or_default();
            pool.demand.insert(process.clone(), TimedRate { rate: rate.0, until });
        }
    }

    /// Grants shares to a process. The unexpired grants for a caller never exceed its pool in total.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        process: &EntryProcess,
        sheet: Option<&SheetDocument>,
    ) -> Vec<ShareGrant> {
        if now < self.grants_from {
            return Vec::new();
        }
        let until = now + self.lease + self.guard;
        let mut grants = Vec::new();
        self.pools.retain(|PoolKey { tenant, caller }, pool| {
            pool.prune(now);
            let size = pool_size(sheet, tenant, caller).unwrap_or(0.0);
            let rate = pool.grant(process, size);
            if rate > 0.0 {
                let outstanding = pool.grants.entry(process.clone()).or_default();
                outstanding.push(TimedRate { rate, until });
                let (tenant, caller) = (tenant.clone(), caller.clone());
                grants.push(ShareGrant { tenant, caller, rate: CostRate(rate) });
            }
            !pool.demand.is_empty() || !pool.grants.is_empty()
        });
        grants
    }
}

fn pool_size(sheet: Option<&SheetDocument>, tenant: &TenantId, caller: &CallerId) -> Option<f64> {
    let spec = sheet?.tenants.get(tenant)?.callers.get(caller)?;
    Some(spec.rate.0 * POOL_FRACTION)
}
