//! Learns how much work a request is, from what is known of it before it is sent.
//!
//! Load: requests of one route whose costs differ by account, size or content. Work is measured as the time on a target at
//! usual speed, without the time in its queue. `docs/design/expected_cost.md` says what was weighed.

use std::collections::HashMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use crate::types::{MonotonicTime, RequestFingerprint};

/// Time after which an answer has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Largest weight of the past of a key, in answers, so that a change of cost shows.
const MAX_WEIGHT: f64 = 200.0;
/// Weight of the route's figure in that of a key, in answers.
const ROUTE_WEIGHT: f64 = 2.0;
/// Answers of a key from which on its figure is used.
const MIN_KEY_ANSWERS: f64 = 2.0;
/// Answers of known keys from which on the benefit of keys is judged.
const MIN_JUDGED_ANSWERS: f64 = 30.0;
/// Share of the variance that keys must explain to be used. Less is within the error of its own estimate.
const MIN_EXPLAINED: f64 = 0.15;
/// Weight that is left of the sums of squares after each answer.
const ERROR_DECAY: f64 = 0.995;
/// Largest work of one answer, relative to its route's typical work. More is a pause of the target, not work.
const MAX_RELATIVE_WORK: f64 = 8.0;
/// Smallest work of one answer in milliseconds, which bounds its logarithm.
const MIN_WORK_MILLIS: f64 = 0.05;
/// Standard deviations above the mean logarithm at which the high quantile lies: 95% of the answers are below.
const HIGH_DEVIATIONS: f64 = 1.645;
/// Assumed deviation of the logarithm of the work before it is measured.
const INITIAL_DEVIATION: f64 = 0.5;
/// Keys of one generation. Two generations are kept, so twice as many are known at most.
const GENERATION_KEYS: usize = 1_024;
/// Routes that are known at most. Those beyond it are estimated by their prior.
const MAX_ROUTES: usize = 4_096;

/// What is known of a request before it is sent.
#[derive(Clone, Debug)]
pub struct RequestTraits {
    /// Name of its route.
    pub route: Arc<str>,
    /// Account of its caller, if it is known.
    pub account: Option<Arc<str>>,
    /// Size of its body in bytes.
    pub body_bytes: usize,
    /// Fingerprint of its host, method, path and body.
    pub fingerprint: RequestFingerprint,
    /// Assumed work while nothing is known of the route.
    pub prior: Duration,
}

/// What an estimate is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CostSource {
    /// Nothing was observed yet.
    Prior,
    /// The answers of the route.
    Route,
    /// The answers to the account on this route.
    Account,
    /// The answers to bodies of this size on this route.
    Size,
    /// The answers to the same request.
    Content,
}

impl CostSource {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prior => "prior",
            Self::Route => "route",
            Self::Account => "account",
            Self::Size => "size",
            Self::Content => "content",
        }
    }

    /// Returns whether the estimate tells this request from others of its route.
    pub fn is_specific(self) -> bool {
        matches!(self, Self::Account | Self::Size | Self::Content)
    }
}

impl fmt::Display for CostSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The expected work of a request, as the time on a target at usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Mean work.
    pub mean: Duration,
    /// Work that 95% of such requests stay below.
    pub high: Duration,
    /// What the estimate is based on.
    pub source: CostSource,
}

impl WorkEstimate {
    /// Returns the time after which such a request is hedged. `route` is the delay for the route. A request that is known
    /// to be heavy is not late before it has taken its own time.
    pub fn hedge_delay(&self, route: Duration) -> Duration {
        if self.source.is_specific() { route.max(self.high) } else { route }
    }
}

/// The work of an answered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredWork {
    /// When the request was sent. What was learned since then does not count as known before.
    pub sent_at: MonotonicTime,
    /// Its work, as the time on a target at usual speed.
    pub work: Duration,
}

const KEY_SOURCES: [CostSource; 3] = [CostSource::Account, CostSource::Size, CostSource::Content];

/// The answers to requests with one key.
#[derive(Clone, Copy, Debug)]
struct CostCell {
    weight: f64,
    mean: f64,
    log_mean: f64,
    log_variance: f64,
    created_at: MonotonicTime,
    at: MonotonicTime,
}

impl CostCell {
    fn new(now: MonotonicTime) -> Self {
        Self { weight: 0.0, mean: 0.0, log_mean: 0.0, log_variance: 0.0, created_at: now, at: now }
    }

    fn weight(&self, now: MonotonicTime) -> f64 {
        self.weight * 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, now: MonotonicTime, work: f64) {
        self.weight = self.weight(now).min(MAX_WEIGHT) + 1.0;
        self.at = now;
        let step = 1.0 / self.weight;
        let deviation = work.ln() - self.log_mean;
        self.mean += (work - self.mean) * step;
        self.log_mean += deviation * step;
        self.log_variance = (1.0 - step) * (self.log_variance + step * deviation * deviation);
    }

    /// Returns the figure of this key with a share of the route's figure, which weighs less the more answers there are.
    fn blended(&self, now: MonotonicTime, route: &Self) -> Self {
        let weight = self.weight(now);
        let share = weight / (weight + ROUTE_WEIGHT);
        let blend = |own: f64, route: f64| route + (own - route) * share;
        Self {
            mean: blend(self.mean, route.mean),
            log_mean: blend(self.log_mean, route.log_mean),
            log_variance: blend(self.log_variance, route.log_variance),
            ..*self
        }
    }

    fn estimate(&self, source: CostSource) -> WorkEstimate {
        // The variance of a few answers says little.
        let share = self.weight / (self.weight + ROUTE_WEIGHT);
        let initial = INITIAL_DEVIATION * INITIAL_DEVIATION;
        let variance = initial + (self.log_variance - initial) * share;
        let high = (self.log_mean + HIGH_DEVIATIONS * variance.sqrt()).exp();
        WorkEstimate { mean: to_time(self.mean), high: to_time(high.max(self.mean)), source }
    }
}

fn to_time(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Sums of squares of the logarithmic errors of the estimates by one kind of key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyErrors {
    answers: f64,
    // Errors of the route's figure and of the key's, for requests whose key was known.
    route: f64,
    key: f64,
}

impl KeyErrors {
    fn explained(&self) -> f64 {
        if self.answers < MIN_JUDGED_ANSWERS || self.route <= 0.0 {
            return 0.0;
        }
        1.0 - self.key / self.route
    }
}

#[derive(Clone, Debug)]
struct RouteCosts {
    cell: CostCell,
    errors: [KeyErrors; KEY_SOURCES.len()],
    // Sum of squares of the route's errors over all requests.
    total: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CostKey(u64);

/// The keys that were used last. A full generation replaces the one before it.
#[derive(Clone, Debug, Default)]
struct KeyTable {
    recent: HashMap<CostKey, CostCell>,
    older: HashMap<CostKey, CostCell>,
}

impl KeyTable {
    fn find(&self, key: CostKey) -> Option<&CostCell> {
        self.recent.get(&key).or_else(|| self.older.get(&key))
    }

    fn record(&mut self, now: MonotonicTime, key: CostKey, work: f64) {
        if !self.recent.contains_key(&key) && self.recent.len() >= GENERATION_KEYS {
            self.older = std::mem::take(&mut self.recent);
        }
        let older = &mut self.older;
        let cell = self.recent.entry(key);
        cell.or_insert_with(|| older.remove(&key).unwrap_or(CostCell::new(now))).record(now, work);
    }
}

/// The work of requests, by what is known of them before they are sent.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    routes: HashMap<Arc<str>, RouteCosts>,
    keys: KeyTable,
}

impl CostModel {
    /// Returns the expected work of a request.
    pub fn estimate(&self, now: MonotonicTime, traits: &RequestTraits) -> WorkEstimate {
        let Some(costs) = self.routes.get(&traits.route) else {
            return WorkEstimate {
                mean: traits.prior,
                high: traits.prior * 2,
                source: CostSource::Prior,
            };
        };
        let mut best = (MIN_EXPLAINED, CostSource::Route, costs.cell);
        for (source, errors) in KEY_SOURCES.into_iter().zip(&costs.errors) {
            let explained = errors.explained();
            if explained > best.0
                && let Some(cell) = self.known_cell(now, traits, source)
            {
                best = (explained, source, cell.blended(now, &costs.cell));
            }
        }
        best.2.estimate(best.1)
    }

    /// Records the work of an answered request.
    pub fn record(&mut self, now: MonotonicTime, traits: &RequestTraits, answered: AnsweredWork) {
        if !self.routes.contains_key(&traits.route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let work = (answered.work.as_secs_f64() * 1_000.0).max(MIN_WORK_MILLIS);
        // Other shards of a wide request tell its cost only after it was sent.
        let known = KEY_SOURCES.map(|source| {
            let cell = self.known_cell(now, traits, source)?;
            (cell.created_at < answered.sent_at).then_some(*cell)
        });
        let costs = self.routes.entry(traits.route.clone()).or_insert_with(|| RouteCosts {
            cell: CostCell::new(now),
            errors: Default::default(),
            total: 0.0,
        });
        let is_first = costs.cell.weight == 0.0;
        let typical = if is_first { work } else { costs.cell.log_mean.exp() };
        let work = work.min(typical * MAX_RELATIVE_WORK);
        if !is_first {
            costs.note_errors(now, work.ln(), known);
        }
        costs.cell.record(now, work);
        for source in KEY_SOURCES {
            if let Some(key) = key_of(traits, source) {
                self.keys.record(now, key, work);
            }
        }
    }

    /// Returns the share of the variance of a route's work that the best kind of key explains, counting requests whose
    /// key is not known as unexplained.
    pub fn explained(&self, route: &str) -> f64 {
        let Some(costs) = self.routes.get(route) else { return 0.0 };
        let judged = costs.errors.iter().filter(|errors| errors.answers >= MIN_JUDGED_ANSWERS);
        let saved = judged.map(|errors| errors.route - errors.key).fold(0.0, f64::max);
        if costs.total > 0.0 { saved / costs.total } else { 0.0 }
    }

    /// Returns the number of keys of accounts, sizes and contents that are known.
    pub fn count_keys(&self) -> usize {
        self.keys.recent.len() + self.keys.older.len()
    }

    fn known_cell(
        &self,
        now: MonotonicTime,
        traits: &RequestTraits,
        source: CostSource,
    ) -> Option<&CostCell> {
        let cell = self.keys.find(key_of(traits, source)?)?;
        (cell.weight(now) >= MIN_KEY_ANSWERS).then_some(cell)
    }
}

impl RouteCosts {
    fn note_errors(
        &mut self,
        now: MonotonicTime,
        log_work: f64,
        known: [Option<CostCell>; KEY_SOURCES.len()],
    ) {
        let square = |cell: &CostCell| (log_work - cell.log_mean).powi(2);
        self.total = self.total * ERROR_DECAY + square(&self.cell);
        for (errors, cell) in self.errors.iter_mut().zip(known) {
            errors.answers *= ERROR_DECAY;
            errors.route *= ERROR_DECAY;
            errors.key *= ERROR_DECAY;
            let Some(cell) = cell else { continue };
            errors.answers += 1.0;
            errors.route += square(&self.cell);
            errors.key += square(&cell.blended(now, &self.cell));
        }
    }
}

/// Returns the key of a request, or `None` if it has no such property.
fn key_of(traits: &RequestTraits, source: CostSource) -> Option<CostKey> {
    let mut hasher = DefaultHasher::new();
    (traits.route.as_ref(), source as u8).hash(&mut hasher);
    match source {
        CostSource::Account => traits.account.as_ref()?.hash(&mut hasher),
        // Sizes count as equal within a factor of two.
        CostSource::Size => traits.body_bytes.checked_ilog2()?.hash(&mut hasher),
        CostSource::Content => traits.fingerprint.0.hash(&mut hasher),
        CostSource::Prior | CostSource::Route => return None,
    }
    Some(CostKey(hasher.finish()))
}
