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

/// How long the time at which a caller left the sheet is kept; any bucket is full again by then.
const REMOVED_LIFETIME: Duration = Duration::from_secs(3600);

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
    ordinals: f64,
    grant: LeasedGrant,
    tokens: f64,
    largest_cost: f64,
    updated: MonotonicTime,
    demand: f64,
    demand_updated: MonotonicTime,
    pacer: RetryPacer,
}

impl CallerBucket {
    /// A bucket starts with what it would have earned while nobody could spend it. More could exceed the limit, since
    /// an earlier holder of the ordinal may just have spent its burst; with less, callers with a low rate would be
    /// refused for seconds after each start of an entry.
    fn new(
        now: MonotonicTime,
        spec: &CallerSpec,
        max_ordinals: Option<u32>,
        unspent: Duration,
    ) -> Self {
        let mut bucket = Self {
            rate: 0.0,
            burst: 0.0,
            base: 0.0,
            ordinals: 1.0,
            grant: LeasedGrant { rate: 0.0, until: now },
            tokens: 0.0,
            largest_cost: 0.0,
            updated: now,
            demand: 0.0,
            demand_updated: now,
            pacer: RetryPacer::default(),
        };
        bucket.set_spec(now, spec, max_ordinals);
        bucket.earn(unspent);
        bucket
    }

    fn earn(&mut self, unspent: Duration) {
        let earned = self.base * unspent.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.capacity());
    }

    fn set_spec(&mut self, now: MonotonicTime, spec: &CallerSpec, max_ordinals: Option<u32>) {
        self.refill(now);
        self.rate = spec.rate.0;
        self.burst = spec.burst.0;
        self.set_base(max_ordinals);
        self.clip();
    }

    fn set_base(&mut self, max_ordinals: Option<u32>) {
        self.ordinals = f64::from(max_ordinals.unwrap_or(1).max(1));
        let rate = if max_ordinals.is_some() { self.rate } else { 0.0 };
        self.base = rate * BASE_FRACTION / self.ordinals;
    }

    /// Starts the bucket again, for a process that got or lost its ordinal.
    fn reset(&mut self, now: MonotonicTime, max_ordinals: Option<u32>, unspent: Duration) {
        self.grant = LeasedGrant { rate: 0.0, until: now };
        self.tokens = 0.0;
        self.updated = now;
        self.set_base(max_ordinals);
        self.earn(unspent);
    }

    fn current_rate(&self, now: MonotonicTime) -> f64 {
        self.base + if now < self.grant.until { self.grant.rate } else { 0.0 }
    }

    /// The burst is split evenly over the ordinals, so that the bursts of all entries sum up to the caller's. Grants
    /// add rate but no burst. A single request may exceed it, but only after its whole cost has been earned.
    fn capacity(&self) -> f64 {
        (self.burst / self.ordinals).max(self.largest_cost)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        let granted = self.grant.until.min(now).since(self.updated).as_secs_f64();
        self.tokens += self.base * passed + self.grant.rate * granted;
        self.updated = self.updated.max(now);
        self.clip();
    }

    fn clip(&mut self) {
        self.tokens = self.tokens.min(self.capacity());
    }

    fn set_grant(&mut self, now: MonotonicTime, rate: f64, until: MonotonicTime) {
        self.refill(now);
        // Control grants at most the pool; the bound holds even if it errs.
        let rate = rate.clamp(0.0, self.rate * (1.0 - BASE_FRACTION));
        self.grant = LeasedGrant { rate, until };
        self.clip();
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
    shared_since: MonotonicTime,
    /// Time before `shared_since` in which nobody held the ordinal.
    idle: Duration,
    buckets: BTreeMap<LimitKey, CallerBucket>,
    /// When callers left the sheet; what they spent before must not be earned again at once.
    removed: BTreeMap<LimitKey, MonotonicTime>,
}

impl CallerLimits {
    /// Limits without callers.
    pub fn new(settings: LimitSettings, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            generator,
            share: None,
            shared_since: MonotonicTime::default(),
            idle: Duration::ZERO,
            buckets: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
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
                    None => CallerBucket::new(now, spec, ordinals, self.unspent_time(now, &key)),
                };
                self.buckets.insert(key, bucket);
            }
        }
        self.removed
            .retain(|key, at| now.since(*at) < REMOVED_LIFETIME && !self.buckets.contains_key(key));
        self.removed.extend(old.into_keys().map(|key| (key, now)));
    }

    /// How long nobody can have spent this ordinal's part of a caller's limit.
    fn unspent_time(&self, now: MonotonicTime, key: &LimitKey) -> Duration {
        if self.share.is_none() {
            return Duration::ZERO;
        }
        let held = now.since(self.shared_since).saturating_add(self.idle);
        self.removed.get(key).map_or(held, |at| held.min(now.since(*at)))
    }

    /// Sets the ordinal whose base share this process holds, and how long nobody held it before.
    pub fn set_share(&mut self, now: MonotonicTime, share: Option<OrdinalShare>, idle: Duration) {
        if share == self.share {
            return;
        }
        self.share = share;
        self.shared_since = now;
        self.idle = idle;
        // What callers spent before they left a sheet was spent on another ordinal, or before its idle time.
        self.removed.clear();
        let ordinals = share.map(|share| share.max_ordinals);
        self.buckets.values_mut().for_each(|bucket| bucket.reset(now, ordinals, idle));
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
        bucket.clip();
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
