//! Rate limits on the cost that each caller may cause at targets.
//!
//! Half of a caller's rate is split evenly over the ordinals as base share; control grants the rest by demand.
//!
//! See `docs/design/limits_and_admission.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha12Rng;

use crate::messages::{CallerDemand, ShareGrant};
use crate::sheet::{CallerSpec, SheetDocument};
use crate::types::{CallerId, CostRate, CostUnits, MonotonicTime, TenantId};

use super::engine::OrdinalShare;
use super::pacer::RetryPacer;

/// Fraction of a caller's rate that is split evenly over the ordinals. Control grants the rest by demand.
pub const BASE_FRACTION: f64 = 0.5;

/// Time for which the removal of a caller from the sheet is remembered. Any bucket is full again by then.
const REMOVED_LIFETIME: Duration = Duration::from_secs(3600);

/// Settings of the rate limits.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Time constant for smoothing demand. Two renewal intervals, so that one second without requests does not
    /// end a grant.
    pub demand_window: Duration,
    /// Demand below this rate is not reported to control, because the base share covers it.
    pub min_demand: CostRate,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { demand_window: Duration::from_secs(2), min_demand: CostRate(0.01) }
    }
}

/// Identifies the limit of one caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitKey {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Client account to which the limit applies.
    pub caller: CallerId,
}

#[derive(Clone, Copy, Debug)]
struct LeasedGrant {
    rate: f64,
    until: MonotonicTime,
}

/// Token bucket with this process's part of one caller's limit. Rates are in cost units per second.
#[derive(Debug)]
struct CallerBucket {
    /// Caller's rate over all entries.
    rate: f64,
    /// Caller's burst over all entries, in cost units.
    burst: f64,
    /// This ordinal's part of the evenly split rate; zero while this process has no ordinal.
    base_rate: f64,
    /// Number of ordinals that the rate is split over.
    ordinals: f64,
    grant: LeasedGrant,
    tokens: f64,
    /// Highest cost of a single request so far.
    max_cost: f64,
    updated: MonotonicTime,
    /// Smoothed demand at `demand_updated`, which decays exponentially.
    demand: f64,
    demand_updated: MonotonicTime,
    pacer: RetryPacer,
}

impl CallerBucket {
    /// Creates a bucket with the tokens that it would have earned in `unspent`, the time in which no process
    /// could spend them. More tokens could exceed the limit, because an earlier holder of the ordinal may just
    /// have spent its burst. With fewer tokens, callers with a low rate would be refused for seconds after each
    /// start of an entry.
    fn new(
        now: MonotonicTime,
        spec: &CallerSpec,
        max_ordinals: Option<u32>,
        unspent: Duration,
    ) -> Self {
        let mut bucket = Self {
            rate: 0.0,
            burst: 0.0,
            base_rate: 0.0,
            ordinals: 1.0,
            grant: LeasedGrant { rate: 0.0, until: now },
            tokens: 0.0,
            max_cost: 0.0,
            updated: now,
            demand: 0.0,
            demand_updated: now,
            pacer: RetryPacer::default(),
        };
        bucket.set_spec(now, spec, max_ordinals);
        bucket.accrue(unspent);
        bucket
    }

    fn accrue(&mut self, unspent: Duration) {
        let earned = self.base_rate * unspent.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.capacity());
    }

    fn set_spec(&mut self, now: MonotonicTime, spec: &CallerSpec, max_ordinals: Option<u32>) {
        self.refill(now);
        self.rate = spec.rate.0;
        self.burst = spec.burst.0;
        self.set_base(max_ordinals);
        self.cap_tokens();
    }

    fn set_base(&mut self, max_ordinals: Option<u32>) {
        self.ordinals = f64::from(max_ordinals.unwrap_or(1).max(1));
        let rate = if max_ordinals.is_some() { self.rate } else { 0.0 };
        self.base_rate = rate * BASE_FRACTION / self.ordinals;
    }

    /// Resets the bucket after this process got or lost its ordinal.
    fn reset(&mut self, now: MonotonicTime, max_ordinals: Option<u32>, unspent: Duration) {
        self.grant = LeasedGrant { rate: 0.0, until: now };
        self.tokens = 0.0;
        self.updated = now;
        self.set_base(max_ordinals);
        self.accrue(unspent);
    }

    fn current_rate(&self, now: MonotonicTime) -> f64 {
        self.base_rate + if now < self.grant.until { self.grant.rate } else { 0.0 }
    }

    /// Returns the maximum number of tokens. The burst is split evenly over the ordinals, so that the bursts of all
    /// entries add up to the caller's. Grants add rate but no burst. A single request may cost more than this
    /// burst, but runs only after its whole cost has been earned.
    fn capacity(&self) -> f64 {
        (self.burst / self.ordinals).max(self.max_cost)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        let granted = self.grant.until.min(now).since(self.updated).as_secs_f64();
        self.tokens += self.base_rate * passed + self.grant.rate * granted;
        self.updated = self.updated.max(now);
        self.cap_tokens();
    }

    fn cap_tokens(&mut self) {
        self.tokens = self.tokens.min(self.capacity());
    }

    fn set_grant(&mut self, now: MonotonicTime, rate: f64, until: MonotonicTime) {
        self.refill(now);
        // Control grants at most the part of the rate that is not a base share. The clamp keeps the limit even if
        // control makes an error.
        let rate = rate.clamp(0.0, self.rate * (1.0 - BASE_FRACTION));
        self.grant = LeasedGrant { rate, until };
        self.cap_tokens();
    }

    fn record_demand(&mut self, now: MonotonicTime, cost: f64, window: Duration) {
        self.demand = self.demand_at(now, window) + cost / window.as_secs_f64();
        self.demand_updated = now;
    }

    fn demand_at(&self, now: MonotonicTime, window: Duration) -> f64 {
        let passed = now.since(self.demand_updated).as_secs_f64();
        self.demand * (-passed / window.as_secs_f64()).exp()
    }
}

/// Rate limits of all callers at this entry.
#[derive(Debug)]
pub struct CallerLimits {
    settings: LimitSettings,
    generator: ChaCha12Rng,
    share: Option<OrdinalShare>,
    share_since: MonotonicTime,
    /// Time before `share_since` in which no process held the ordinal.
    idle: Duration,
    buckets: BTreeMap<LimitKey, CallerBucket>,
    /// Times at which callers were removed from the sheet. If they are added again, tokens that they had spent
    /// before must not be available at once.
    removed: BTreeMap<LimitKey, MonotonicTime>,
}

impl CallerLimits {
    /// Creates limits without callers.
    pub fn new(settings: LimitSettings, generator: ChaCha12Rng) -> Self {
        Self {
            settings,
            generator,
            share: None,
            share_since: MonotonicTime::default(),
            idle: Duration::ZERO,
            buckets: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Applies the callers and limits of a sheet. Callers that were in the previous sheet keep their tokens.
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

    /// Returns the time for which no process can have spent this ordinal's part of a caller's limit.
    fn unspent_time(&self, now: MonotonicTime, key: &LimitKey) -> Duration {
        if self.share.is_none() {
            return Duration::ZERO;
        }
        let held = now.since(self.share_since).saturating_add(self.idle);
        self.removed.get(key).map_or(held, |at| held.min(now.since(*at)))
    }

    /// Sets the ordinal whose base share this process may use, and the time `idle` for which no process held it
    /// before.
    pub fn set_share(&mut self, now: MonotonicTime, share: Option<OrdinalShare>, idle: Duration) {
        if share == self.share {
            return;
        }
        self.share = share;
        self.share_since = now;
        self.idle = idle;
        // Removed callers spent their tokens on another ordinal, or before the idle time of this one.
        self.removed.clear();
        let ordinals = share.map(|share| share.max_ordinals);
        self.buckets.values_mut().for_each(|bucket| bucket.reset(now, ordinals, idle));
    }

    /// Applies the grants from the answer to the newest renewal. Callers without a grant in it lose theirs.
    pub fn set_grants(&mut self, now: MonotonicTime, until: MonotonicTime, grants: &[ShareGrant]) {
        for (key, bucket) in &mut self.buckets {
            let grant = grants
                .iter()
                .find(|grant| grant.tenant == key.tenant && grant.caller == key.caller);
            bucket.set_grant(now, grant.map_or(0.0, |grant| grant.rate.0), until);
        }
    }

    /// Takes the cost of a request from its caller's bucket, or returns the delay before a retry. Refused
    /// requests count as demand, too.
    pub fn spend(
        &mut self,
        now: MonotonicTime,
        key: &LimitKey,
        cost: CostUnits,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(key) else { return Err(super::pacer::MAX_DELAY) };
        bucket.record_demand(now, cost.0, self.settings.demand_window);
        bucket.refill(now);
        // Raised after the refill, so that an idle bucket does not keep tokens beyond its share of the burst.
        bucket.max_cost = bucket.max_cost.max(cost.0);
        if bucket.tokens >= cost.0 {
            bucket.tokens -= cost.0;
            return Ok(());
        }
        let missing = cost.0 - bucket.tokens;
        let rate = bucket.current_rate(now);
        Err(bucket.pacer.retry_delay(now, cost.0, missing, rate, &mut self.generator))
    }

    /// Refunds the cost of a request of which no attempt was sent.
    pub fn refund(&mut self, now: MonotonicTime, key: &LimitKey, cost: CostUnits) {
        let Some(bucket) = self.buckets.get_mut(key) else { return };
        bucket.refill(now);
        bucket.tokens += cost.0;
        bucket.cap_tokens();
    }

    /// Returns the smoothed demand of each caller that exceeds the minimum.
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
