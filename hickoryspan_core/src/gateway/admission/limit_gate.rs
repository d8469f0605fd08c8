//! Divides the limits of targets among all entries and holds back what exceeds this entry's share.
//!
//! Each entry reports how many requests it has for the services with a limited target. Control hosts add the reports up,
//! and an entry uses the part of each limit that its requests are of all requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::demand_meter::DemandMeter;
use super::target_limits::LimitTable;
use crate::gateway::targets::directory::TargetProcess;
use crate::types::{MonotonicTime, RequestRate, ServiceId};

/// Time after which a request counts half in the measured demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(4);
/// Demand in requests per second that an entry without requests reports, so that a first request is not refused.
const IDLE_DEMAND: f64 = 0.05;
/// Part of a limit that is used, because the entries' views of the demand differ for a moment.
const USED_PART: f64 = 0.95;
/// Least rate in requests per second that is sent to a target, over all entries. Only a response shows that the limit
/// has ended.
const LEAST_RATE: f64 = 0.5;
/// Unused permits are kept for requests within this time, in seconds.
const BURST_SECONDS: f64 = 0.5;
/// Age after which an entry's report is ignored.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(2);

/// How many requests an entry, or all entries, have for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Requests per second, refused ones included.
    pub rate: RequestRate,
}

/// The demand of all entries for the services with limited targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DemandTotals {
    /// Number of entries whose reports are added up.
    pub reporters: u32,
    /// The totals of the services.
    pub demands: Vec<ServiceDemand>,
}

impl DemandTotals {
    /// Adds up the reports of entries.
    pub fn of<'a>(reports: impl IntoIterator<Item = &'a [ServiceDemand]>) -> Self {
        let mut reporters = 0;
        let mut totals: HashMap<&ServiceId, f64> = HashMap::new();
        for report in reports {
            reporters += 1;
            for demand in report {
                *totals.entry(&demand.service).or_default() += demand.rate.0;
            }
        }
        let to_demand = |(service, rate): (&ServiceId, f64)| ServiceDemand {
            service: service.clone(),
            rate: RequestRate(rate),
        };
        Self { reporters, demands: totals.into_iter().map(to_demand).collect() }
    }
}

/// Permits that are earned at a rate and kept up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitBucket {
    permits: f64,
    refilled_at: MonotonicTime,
}

impl PermitBucket {
    /// Creates a bucket with one permit.
    pub(super) fn full(now: MonotonicTime) -> Self {
        Self { permits: 1.0, refilled_at: now }
    }

    /// Adds what was earned since the last time, at this rate in permits per second.
    pub(super) fn refill(&mut self, now: MonotonicTime, rate: f64, capacity: f64) {
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.permits = (self.permits + earned).min(capacity);
        self.refilled_at = now;
    }

    pub(super) fn has_permit(&self) -> bool {
        self.permits >= 1.0
    }

    pub(super) fn take(&mut self) {
        self.permits -= 1.0;
    }
}

#[derive(Clone, Debug)]
struct HostTotals {
    reporters: u32,
    rates: HashMap<ServiceId, f64>,
}

/// This entry's shares of the limits of all targets.
#[derive(Clone, Debug, Default)]
pub struct LimitGate {
    /// The limits that this entry knows.
    pub table: LimitTable,
    entries: u32,
    meters: HashMap<ServiceId, DemandMeter>,
    totals: HashMap<SocketAddr, HostTotals>,
    buckets: HashMap<TargetProcess, PermitBucket>,
}

impl LimitGate {
    /// Sets the number of entries, among which limits are divided evenly as long as the demand is unknown.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Counts a request for a service with a limited target, whether it is sent or refused.
    pub fn note_request(&mut self, now: MonotonicTime, service: &ServiceId) {
        if !self.meters.contains_key(service) {
            self.meters.insert(service.clone(), DemandMeter::start(now, DEMAND_HALF_LIFE));
        }
        if let Some(meter) = self.meters.get_mut(service) {
            meter.note(now, 1.0);
        }
    }

    /// Returns this entry's demand for these services.
    pub fn demands<'a>(
        &self,
        now: MonotonicTime,
        services: impl IntoIterator<Item = &'a ServiceId>,
    ) -> Vec<ServiceDemand> {
        let to_demand = |service: &ServiceId| ServiceDemand {
            service: service.clone(),
            rate: RequestRate(self.own_rate(now, service)),
        };
        services.into_iter().map(to_demand).collect()
    }

    fn own_rate(&self, now: MonotonicTime, service: &ServiceId) -> f64 {
        self.meters.get(service).map_or(0.0, |meter| meter.rate(now)).max(IDLE_DEMAND)
    }

    /// Records the demand of all entries, as a control host has added it up.
    pub fn set_totals(&mut self, from: SocketAddr, totals: DemandTotals) {
        let rates = totals.demands.into_iter().map(|demand| (demand.service, demand.rate.0));
        let totals = HostTotals { reporters: totals.reporters, rates: rates.collect() };
        self.totals.insert(from, totals);
    }

    /// Removes the totals of a control host that is no longer linked. Those of the last host are kept: without a link,
    /// the share stays what it was.
    pub fn remove_host(&mut self, host: SocketAddr) {
        if self.totals.len() > 1 {
            self.totals.remove(&host);
        }
    }

    /// Returns the part of each limit in this service that this entry may use, from 0 to 1.
    pub fn share(&self, now: MonotonicTime, service: &ServiceId) -> f64 {
        let own_rate = self.own_rate(now, service);
        let entries = f64::from(self.entries.max(1));
        let shares = self.totals.values().filter_map(|totals| {
            let total = totals.rates.get(service)?.max(own_rate);
            // Entries that have not reported yet may have as many requests as the others.
            let reported = (f64::from(totals.reporters) / entries).min(1.0);
            Some(own_rate / total * reported)
        });
        // A host that does not hear all entries would allow too much.
        shares.reduce(f64::min).unwrap_or(1.0 / entries)
    }

    /// Returns whether any target may be limited. Without limits there is nothing to ask for.
    pub fn is_active(&self) -> bool {
        !self.table.is_empty()
    }

    /// Returns whether a request may be sent to a target now. `share` is this entry's part of its limit, `draw` a random
    /// number from 0 to 1 for the first permit, so that not all entries send at the same moment.
    pub fn has_permit(
        &mut self,
        now: MonotonicTime,
        process: &TargetProcess,
        share: f64,
        draw: f64,
    ) -> bool {
        let Some(limit) = self.table.find(process) else {
            self.buckets.remove(process);
            return true;
        };
        let rate = limit.0.max(LEAST_RATE) * share * USED_PART;
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let fresh = PermitBucket { permits: draw, refilled_at: now };
        let bucket = self.buckets.entry(process.clone()).or_insert(fresh);
        bucket.refill(now, rate, capacity);
        bucket.has_permit()
    }

    /// Uses up a permit for a request to a target.
    pub fn take_permit(&mut self, process: &TargetProcess) {
        if let Some(bucket) = self.buckets.get_mut(process) {
            bucket.take();
        }
    }

    /// Returns the permit of a request that was not sent.
    pub fn return_permit(&mut self, process: &TargetProcess) {
        if let Some(bucket) = self.buckets.get_mut(process) {
            bucket.permits += 1.0;
        }
    }

    /// Forgets targets for which `keep` returns false, and services that have no limited target any more.
    pub fn retain(
        &mut self,
        now: MonotonicTime,
        keep: impl Fn(&TargetProcess) -> bool,
        limited: impl Fn(&ServiceId) -> bool,
    ) {
        self.table.retain(now, &keep);
        self.buckets.retain(|process, _| keep(process));
        self.meters.retain(|service, _| limited(service));
    }
}
