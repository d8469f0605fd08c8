//! Limits on the cost that each caller places on targets: base share plus leased grant.
//!
//! See `docs/design/limits_and_admission.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use crate::messages::{CallerDemand, ShareGrant};
use crate::sheet::{CallerSpec, SheetDocument};
use crate::types::{CallerId, CostRate, CostUnits, MonotonicTime, TenantId};

use super::engine::OrdinalShare;
use super::pacing::RetryPacer;

/// Part of a caller's rate that is split evenly over the ordinals; control grants the rest by demand.
pub const BASE_FRACTION: f64 = 0.5;

/// Settings of the limits.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Time over which demand is smoothed; two renewals, so that one quiet second does not end a grant.
    pub demand_window: Duration,
    /// Demand below this rate is not reported, because the base share covers it.
    pub min_demand: CostRate,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { demand_window: Duration::from_secs(2), min_demand: CostRate(0.01) }
    }
}

/// Names a limit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitKey {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
}

#[derive(Clone, Copy, Debug)]
struct LeasedGrant {
    rate: f64,
    until: MonotonicTime,
}

/// The part of one caller's limit that this process holds.
#[derive(Debug)]
struct CallerBucket {
    rate: f64,
    burst: f64,
    base: f64,
    grant: LeasedGrant,
    tokens: f64,
    largest_cost: f64,
    updated: MonotonicTime,
    demand: f64,
    demand_updated: MonotonicTime,
    pacer: RetryPacer,
}

impl CallerBucket {
    /// A bucket starts empty: an earlier holder of the ordinal may just have spent its burst.
    fn new(now: MonotonicTime, spec: &CallerSpec, max_ordinals: Option<u32>) -> Self {
        let mut bucket = Self {
            rate: 0.0,
            burst: 0.0,
            base: 0.0,
            grant: LeasedGrant { rate: 0.0, until: now },
            tokens: 0.0,
            largest_cost: 0.0,
            updated: now,
            demand: 0.0,
            demand_updated: now,
            pacer: RetryPacer::default(),
        };
        bucket.set_spec(now, spec, max_ordinals);
        bucket
    }

    fn set_spec(&mut self, now: MonotonicTime, spec: &CallerSpec, max_ordinals: Option<u32>) {
        self.refill(now);
        self.rate = spec.rate.0;
        self.burst = spec.burst.0;
        self.set_base(max_ordinals);
        self.clip(now);
    }

    fn set_base(&mut self, max_ordinals: Option<u32>) {
        self.base = max_ordinals
            .map_or(0.0, |ordinals| self.rate * BASE_FRACTION / f64::from(ordinals.max(1)));
    }

    /// Empties the bucket, for a process that got or lost its ordinal.
    fn reset(&mut self, now: MonotonicTime, max_ordinals: Option<u32>) {
        self.grant = LeasedGrant { rate: 0.0, until: now };
        self.tokens = 0.0;
        self.updated = now;
        self.set_base(max_ordinals);
    }

    fn current_rate(&self, now: MonotonicTime) -> f64 {
        self.base + if now < self.grant.until { self.grant.rate } else { 0.0 }
    }

    /// The burst is shared like the rate, so that the bursts of all entries sum up to the caller's. A single
    /// request may exceed it, but only after its whole cost has been earned.
    fn capacity(&self, now: MonotonicTime) -> f64 {
        let share = if self.rate > 0.0 { self.current_rate(now) / self.rate } else { 0.0 };
        (self.burst * share).max(self.largest_cost)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        let granted = self.grant.until.min(now).since(self.updated).as_secs_f64();
        self.tokens += self.base * passed + self.grant.rate * granted;
        self.updated = self.updated.max(now);
        self.clip(now);
    }

    fn clip(&mut self, now: MonotonicTime) {
        self.tokens = self.tokens.min(self.capacity(now));
    }

    fn set_grant(&mut self, now: MonotonicTime, rate: f64, until: MonotonicTime) {
        self.refill(now);
        // Control grants at most the pool; the bound holds even if it errs.
        let rate = rate.clamp(0.0, self.rate * (1.0 - BASE_FRACTION));
        self.grant = LeasedGrant { rate, until };
        self.clip(now);
    }

    fn note_demand(&mut self, now: MonotonicTime, cost: f64, window: Duration) {
        self.demand = self.demand_at(now, window) + cost / window.as_secs_f64();
        self.demand_updated = now;
    }

    fn demand_at(&self, now: MonotonicTime, window: Duration) -> f64 {
        let passed = now.since(self.demand_updated).as_secs_f64();
        self.demand * (-passed / window.as_secs_f64()).exp()
    }
}

/// The limits of all callers at this entry.
#[derive(Debug)]
pub struct CallerLimits {
    settings: LimitSettings,
    generator: ChaCha12Rng,
    share: Option<OrdinalShare>,
    buckets: BTreeMap<LimitKey, CallerBucket>,
}

impl CallerLimits {
    /// Limits without callers.
    pub fn new(settings: LimitSettings, generator: ChaCha12Rng) -> Self {
        Self { settings, generator, share: None, buckets: BTreeMap::new() }
    }

    /// Takes over the callers and limits of a sheet; what known callers have earned is kept.
    pub fn update_sheet(&mut self, now: MonotonicTime, sheet: &SheetDocument) {
        let ordinals = self.share.map(|share| share.max_ordinals);
        let mut old = std::mem::take(&mut self.buckets);
        for (tenant, tenant_sheet) in &sheet.tenants {
            for (caller, spec) in &tenant_sheet.callers {
                let key = LimitKey { tenant: tenant.clone(), caller: caller.clone() };
                let bucket = match old.remove(&key) {
                    Some(mut bucket) => {
                        bucket.set_spec(now, spec, ordinals);
                        bucket
                    }
                    None => CallerBucket::new(now, spec, ordinals),
                };
                self.buckets.insert(key, bucket);
            }
        }
    }

    /// Sets the ordinal whose base share this process holds.
    pub fn set_share(&mut self, now: MonotonicTime, share: Option<OrdinalShare>) {
        if share == self.share {
            return;
        }
        self.share = share;
        let ordinals = share.map(|share| share.max_ordinals);
        self.buckets.values_mut().for_each(|bucket| bucket.reset(now, ordinals));
    }

    /// Takes over the grants that answer the newest renewal; callers that it leaves out have none.
    pub fn set_grants(&mut self, now: MonotonicTime, until: MonotonicTime, grants: &[ShareGrant]) {
        for (key, bucket) in &mut self.buckets {
            let grant = grants
                .iter()
                .find(|grant| grant.tenant == key.tenant && grant.caller == key.caller);
            bucket.set_grant(now, grant.map_or(0.0, |grant| grant.rate.0), until);
        }
    }

    /// Spends the cost of a request, or says when to try again. Demand counts either way.
    pub fn spend(
        &mut self,
        now: MonotonicTime,
        key: &LimitKey,
        cost: CostUnits,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(key) else { return Err(super::pacing::MAX_HINT) };
        bucket.note_demand(now, cost.0, self.settings.demand_window);
        bucket.refill(now);
        // Raised after the refill: what an idle bucket earned beyond its burst share stays lost.
        bucket.largest_cost = bucket.largest_cost.max(cost.0);
        if bucket.tokens >= cost.0 {
            bucket.tokens -= cost.0;
            return Ok(());
        }
        let missing = cost.0 - bucket.tokens;
        let rate = bucket.current_rate(now);
        Err(bucket.pacer.hint(now, cost.0, missing, rate, &mut self.generator))
    }

    /// Gives back the cost of a request for which nothing was sent.
    pub fn refund(&mut self, now: MonotonicTime, key: &LimitKey, cost: CostUnits) {
        let Some(bucket) = self.buckets.get_mut(key) else { return };
        bucket.refill(now);
        bucket.tokens += cost.0;
        bucket.clip(now);
    }

    /// The smoothed demand by caller.
    pub fn demand(&self, now: MonotonicTime) -> Vec<CallerDemand> {
        let window = self.settings.demand_window;
        self.buckets
            .iter()
            .map(|(key, bucket)| CallerDemand {
                tenant: key.tenant.clone(),
                caller: key.caller.clone(),
                rate: CostRate(bucket.demand_at(now, window)),
            })
            .filter(|demand| demand.rate >= self.settings.min_demand)
            .collect()
    }
}
