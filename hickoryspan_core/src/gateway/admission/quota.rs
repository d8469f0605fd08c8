//! What entries and control hosts know of quotas, and what they tell each other (`docs/design/quotas.md`).

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::usage_class::UsageClass;
use crate::gateway::documents::accounts::AccountQuota;
use crate::types::AccountId;

/// Part of the margin that widens the burst. Callers send at random times, and a burst of few requests would refuse
/// some of them below the rate.
const BURST_PART: f64 = 1.0 / 3.0;
/// Part of the margin for requests that are admitted before a hot account is known to be tight.
const NOTICE_PART: f64 = 1.0 / 3.0;
/// Multiple of its rate that a hot account may send.
const PEAK: f64 = 5.0;
/// Time in seconds from an admission to the time when all entries know its effect, with regular reports.
const REGULAR_NOTICE: f64 = 0.6;
/// The same with prompt reports.
const PROMPT_NOTICE: f64 = 0.25;
/// Standard deviations that are kept in addition to the mean use of entries out of touch, because callers choose entries at
/// random.
const UNHEARD_DEVIATIONS: f64 = 3.0;
/// Largest share of an entry as a multiple of an equal part.
const MAX_SHARE_FACTOR: f64 = 8.0;
/// Least number of requests that an entry admits before the control hosts know of them, so that requests that come
/// together by chance need no permits.
const LEAST_FREE: f64 = 2.0;
/// Time after which control hosts know of an admitted request.
pub const NOTICE_TIME: Duration = Duration::from_millis(250);
/// Multiple of its usual rate that an account may send while entries are out of touch with all control hosts.
const UNHEARD_PEAK: f64 = 8.0;
/// Time without a request of an account after which an entry forgets its count. Control hosts remember it for longer.
pub const IDLE_MEMORY: Duration = Duration::from_secs(60);
/// Part of the bound that entries may use which get no permits, all together.
const UNHEARD_PART: f64 = 0.5;

/// How quotas are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window in which the bound holds.
    pub window: Duration,
    /// Tolerated excess, as a part of what the rate and the burst allow in a window.
    pub overshoot: f64,
    /// Further tolerated requests in each window.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 }
    }
}

/// The figures that follow from a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Requests per second.
    pub rate: f64,
    /// Largest number of requests in a window.
    pub most: f64,
    /// Length of the window in seconds.
    pub window: f64,
    /// Difference between the largest number and what the rate and the burst allow.
    pub margin: f64,
    /// Part of the margin for requests that are admitted before an account is known to be tight.
    pub covered: f64,
    /// Requests that may come at once after a pause.
    pub capacity: f64,
    /// Level below which requests need permits.
    pub tight_below: f64,
    /// Whether entries report admitted requests without waiting for their regular report.
    pub is_prompt: bool,
}

impl QuotaBounds {
    /// Computes the figures of a quota.
    pub fn new(settings: &QuotaSettings, quota: &AccountQuota) -> Self {
        let rate = quota.rate.0;
        let window = settings.window.as_secs_f64();
        let allowed = rate * window + quota.burst;
        let margin = allowed * settings.overshoot + settings.slack;
        let capacity = (quota.burst + margin * BURST_PART).max(1.0);
        let covered = margin * NOTICE_PART;
        let exposure = |notice: f64| PEAK * rate * notice - covered;
        let is_prompt = exposure(REGULAR_NOTICE) > 1.0;
        let notice = if is_prompt { PROMPT_NOTICE } else { REGULAR_NOTICE };
        let tight_below = exposure(notice).min(capacity / 2.0).max(1.0);
        Self {
            rate,
            most: allowed + margin,
            window,
            margin,
            covered,
            capacity,
            tight_below,
            is_prompt,
        }
    }

    /// Returns the number of requests that one of several entries admits without permits before the control hosts know
    /// of them, while an account is calm.
    pub fn free_share(&self, entries: u32) -> f64 {
        let free = self.capacity / 2.0 + self.covered;
        (free / f64::from(entries.max(1))).max(LEAST_FREE)
    }

    /// Returns the number of requests that `lost` of several entries run in a window at most, as is likely, while they are out
    /// of touch with all control hosts.
    pub fn unheard_use(&self, entries: u32, lost: u32, usual: f64) -> f64 {
        let peak = usual * UNHEARD_PEAK * self.window;
        let part = f64::from(lost) / f64::from(entries.max(1));
        let mean = peak.min(self.most * UNHEARD_PART) * part;
        mean + UNHEARD_DEVIATIONS * mean.sqrt()
    }

    /// Returns the number of requests that one of several entries may run in a window while it is out of touch with all
    /// control hosts. `usual` is the highest usual rate of the account, if it is known.
    ///
    /// All entries together stay within their part of the bound if the account sends its peak at random entries, and
    /// whatever it sends if its usual rate is unknown.
    pub fn unheard_share(&self, entries: u32, usual: Option<f64>) -> f64 {
        let entries = f64::from(entries.max(1));
        let bound = self.most * UNHEARD_PART / entries;
        let Some(usual) = usual else { return bound };
        let mean = usual * UNHEARD_PEAK * self.window / entries;
        if mean <= bound {
            return mean + 3.0 * mean.sqrt() + LEAST_FREE;
        }
        share_for_mean(mean, bound)
    }
}

/// Returns the share `k` for which the mean of `min(X, k)` is `bound`, where X is a number of requests with a Poisson
/// distribution of this mean, which is larger than the bound.
fn share_for_mean(mean: f64, bound: f64) -> f64 {
    let mut probability = (-mean).exp();
    let mut at_least_next = 1.0 - probability;
    let mut left = bound;
    let mut share = 0.0;
    while left > at_least_next && share < bound * MAX_SHARE_FACTOR {
        left -= at_least_next;
        share += 1.0;
        probability *= mean / share;
        at_least_next -= probability;
    }
    share + (left / at_least_next.max(f64::EPSILON)).min(1.0)
}

/// A process of an entry, which counts its requests from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProcessNumber(pub u64);

/// Number of a request for permits, which its answer repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PermitNumber(pub u64);

/// How many requests of an account a process of an entry has admitted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountCount {
    /// The account.
    pub account: AccountId,
    /// Admitted requests, without those that had a permit of the receiver.
    pub admitted: u64,
    /// Admitted requests in the last window, with all permits.
    pub recent: u64,
    /// Requests that were admitted and not sent to a target, and permits of the receiver that were not used.
    pub returned: u64,
}

/// The requests that a process of an entry has admitted. The first report on a link has all accounts that the process has
/// counted, later ones those that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaCounts {
    /// The process.
    pub process: ProcessNumber,
    /// Time since the start of the process.
    pub age: Duration,
    /// The accounts.
    pub counts: Vec<AccountCount>,
}

/// An entry needs permits for requests of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitRequest {
    /// Number of this request on its link.
    pub number: PermitNumber,
    /// The account.
    pub account: AccountId,
    /// Number of permits that the entry is likely to use soon.
    pub wanted: u32,
}

/// The answer to a request for permits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitAnswer {
    /// Number of the request.
    pub number: PermitNumber,
    /// The account.
    pub account: AccountId,
    /// Number of requests that the entry may run. None if the account is at its limit.
    pub permits: u32,
    /// When the caller may try again, if there are no permits.
    pub retry_after: Duration,
    /// Number of requests that all entries together may still run at once, for the log.
    pub level: f64,
}

/// Whether a control host counts the requests of accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CountingState {
    /// It knows no leader, so other hosts may count without it.
    #[default]
    Isolated,
    /// It has started less than a window ago.
    Fresh,
    /// It has counted for at least a window.
    Complete,
}

impl CountingState {
    /// Returns the name of the state for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Isolated => "isolated",
            Self::Fresh => "fresh",
            Self::Complete => "complete",
        }
    }
}

/// How much an account usually sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// The class of its rate.
    pub class: UsageClass,
}

/// What has changed in a control host's count since the last such message on a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaChange {
    /// Whether the host counts.
    pub counting: CountingState,
    /// Accounts whose requests need permits from now on.
    pub tightened: Vec<AccountId>,
    /// Accounts whose requests no longer do.
    pub calmed: Vec<AccountId>,
    /// Accounts whose usual rate is in another class than before. Others are in the lowest class.
    pub usage: Vec<AccountUsage>,
}

/// Returns the rank of a control host for an account. Entries of all releases must compute the same.
pub fn host_rank(account: &AccountId, host: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(host.to_string().as_bytes());
    let mut rank = [0; 8];
    rank.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(rank)
}
