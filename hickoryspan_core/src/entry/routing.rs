//! Selection of a target among those that serve a partition.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha12Rng;

use crate::types::MonotonicTime;

use super::fleet::Fleet;
use super::outliers::OutlierSettings;
use super::targets::TargetIndex;

/// Maximum number of candidates. More would not improve a choice between two random ones.
const MAX_CANDIDATES: usize = 16;

/// Settings of the target selection.
#[derive(Clone, Copy, Debug)]
pub struct RoutingSettings {
    /// Whether load and latency are compared. Otherwise the choice is random, for experiments.
    pub load_aware: bool,
    /// Whether targets in this entry's failure domain are preferred while they have capacity.
    pub prefer_home: bool,
    /// Age at which a load report is ignored.
    pub load_lifetime: Duration,
    /// Slow-start period, after which a new target gets its full share of the load.
    pub slow_start: Duration,
    /// Share of the full load with which a new target starts.
    pub slow_start_floor: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            load_aware: true,
            prefer_home: true,
            load_lifetime: Duration::from_secs(1),
            slow_start: Duration::from_secs(10),
            slow_start_floor: 0.1,
        }
    }
}

/// Constraints of a target selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteRequest<'a> {
    /// Current time.
    pub now: MonotonicTime,
    /// Targets that must not be chosen.
    pub exclude: &'a [TargetIndex],
    /// Whether the attempt is charged to the target's budget of hedges and retries.
    pub extra: bool,
    /// If given, only connections that were active at or after this time are used.
    pub active_since: Option<MonotonicTime>,
}

/// Bounded list of candidates, stored on the stack.
#[derive(Default)]
struct CandidateList {
    items: [TargetIndex; MAX_CANDIDATES],
    len: usize,
}

impl CandidateList {
    fn push(&mut self, target: TargetIndex) {
        if self.len < MAX_CANDIDATES {
            self.items[self.len] = target;
            self.len += 1;
        }
    }

    fn as_slice(&self) -> &[TargetIndex] {
        &self.items[..self.len]
    }
}

/// Selects the targets of attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetRouter {
    routing: RoutingSettings,
    outliers: OutlierSettings,
}

impl TargetRouter {
    /// Creates a router.
    pub fn new(routing: RoutingSettings, outliers: OutlierSettings) -> Self {
        Self { routing, outliers }
    }

    /// Selects a target with capacity, or returns `None`. Ties are broken at random.
    pub fn choose(
        &self,
        fleet: &Fleet,
        group: &[TargetIndex],
        request: &RouteRequest<'_>,
        generator: &mut ChaCha12Rng,
    ) -> Option<TargetIndex> {
        let applies_ejection = self.applies_ejection(fleet, group, request.now);
        let mut local = CandidateList::default();
        let mut remote = CandidateList::default();
        // Large groups are scanned from a random position, so that every target can become a
        // candidate.
        let start = match group.len() {
            0 => return None,
            len if len > MAX_CANDIDATES => generator.next_u32() as usize % len,
            _ => 0,
        };
        for index in group[start..].iter().chain(&group[..start]) {
            let target = fleet.target(*index);
            let usable = target.accepts_work()
                && target.has_capacity(request.now)
                && !(applies_ejection && target.health.is_unhealthy(request.now))
                && !request.exclude.contains(index)
                && (!request.extra || target.budget.allows())
                && request.active_since.is_none_or(|since| fleet.is_active_since(*index, since));
            if !usable {
                continue;
            }
            let warm = self.slow_start_weight(fleet, *index, request.now) >= 1.0;
            // Without this check, a straggler in this failure domain would get all work until it is
            // ejected.
            let is_slow = self.routing.load_aware && target.health.is_slow(request.now);
            if self.routing.prefer_home && warm && !is_slow && target.domain == fleet.home {
                local.push(*index);
            } else {
                remote.push(*index);
            }
        }
        let candidates = if local.len > 0 { local.as_slice() } else { remote.as_slice() };
        self.better_of_two(fleet, candidates, request, generator)
    }

    /// Returns whether unhealthy targets of the group are excluded. They are not if too many appear
    /// unhealthy.
    pub fn applies_ejection(
        &self,
        fleet: &Fleet,
        group: &[TargetIndex],
        now: MonotonicTime,
    ) -> bool {
        let count = |keep: &dyn Fn(&TargetIndex) -> bool| group.iter().filter(|i| keep(i)).count();
        let unhealthy = count(&|index| {
            let target = fleet.target(*index);
            target.accepts_work() && target.health.is_unhealthy(now)
        });
        if unhealthy == 0 {
            return false;
        }
        let all = count(&|index| fleet.target(*index).accepts_work());
        unhealthy as f64 <= all as f64 * self.outliers.max_ejected_share
    }

    fn better_of_two(
        &self,
        fleet: &Fleet,
        candidates: &[TargetIndex],
        request: &RouteRequest<'_>,
        generator: &mut ChaCha12Rng,
    ) -> Option<TargetIndex> {
        let count = candidates.len();
        if count <= 1 {
            return candidates.first().copied();
        }
        let bits = generator.next_u64();
        let first = (bits as u32) as usize % count;
        let second = (first + 1 + (bits >> 32) as usize % (count - 1)) % count;
        let (first, second) = (candidates[first], candidates[second]);
        if !self.routing.load_aware {
            return Some(first);
        }
        let is_slow = |index| fleet.target(index).health.is_slow(request.now);
        match (is_slow(first), is_slow(second)) {
            (true, false) => return Some(second),
            (false, true) => return Some(first),
            _ => {}
        }
        let latency = |index| fleet.target(index).health.latency(request.now);
        // Latencies are compared only if both are known. Any assumed value would favour or starve a
        // new target.
        let (latency_1, latency_2) = match (latency(first), latency(second)) {
            (Some(latency_1), Some(latency_2)) => (latency_1, latency_2),
            _ => (1.0, 1.0),
        };
        let score_1 = self.load_score(fleet, first, request.now) * latency_1.max(1.0);
        let score_2 = self.load_score(fleet, second, request.now) * latency_2.max(1.0);
        Some(if score_2 < score_1 { second } else { first })
    }

    /// Returns the load of a target in requests per slot, including the new request. It is scaled
    /// up for targets in slow start.
    fn load_score(&self, fleet: &Fleet, index: TargetIndex, now: MonotonicTime) -> f64 {
        let target = fleet.target(index);
        let load =
            f64::from(target.in_flight) + 1.0 + target.aged_load(now, self.routing.load_lifetime);
        load / f64::from(target.record.slots.0.max(1)) / self.slow_start_weight(fleet, index, now)
    }

    /// Returns the share of the full load that a target may get, which rises to one during slow
    /// start.
    fn slow_start_weight(&self, fleet: &Fleet, index: TargetIndex, now: MonotonicTime) -> f64 {
        let Some(since) = fleet.target(index).cold_since else { return 1.0 };
        let ramp = self.routing.slow_start.as_secs_f64().max(1e-6);
        let part = now.since(since).as_secs_f64() / ramp;
        part.clamp(self.routing.slow_start_floor.clamp(1e-3, 1.0), 1.0)
    }
}
