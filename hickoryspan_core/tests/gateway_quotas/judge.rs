//! Judges what callers sent and targets ran, without knowing how requests were admitted.

use std::time::Duration;

use hickoryspan_core::gateway::admission::quota::QuotaSettings;
use hickoryspan_core::gateway::documents::accounts::AccountQuota;
use hickoryspan_core::types::MonotonicTime;

/// Time after which a change of a quota is in force on all hosts.
const PROPAGATION: Duration = Duration::from_millis(500);

/// One request of an account.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub sent_at: MonotonicTime,
    /// When a target ran it; `None` if it was refused.
    pub ran_at: Option<MonotonicTime>,
}

/// The quota of an account from a time on.
#[derive(Clone, Copy, Debug)]
pub struct QuotaSpan {
    pub from: MonotonicTime,
    pub quota: AccountQuota,
}

/// The findings on one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Verdict {
    /// Largest excess over what users tolerate in a window; zero if they tolerate all windows.
    pub excess: f64,
    /// Largest number that ran in a window, as a part of what the rate and the burst allow.
    pub most_used: f64,
    /// Requests that ran, and those that were refused below the limit.
    pub within: usize,
    /// Requests that were refused although the rate and the burst allowed them.
    pub refused_below: usize,
}

/// Judges the requests of one account, in order of the times at which they were sent.
pub fn judge(settings: &QuotaSettings, spans: &[QuotaSpan], requests: &[SentRequest]) -> Verdict {
    let mut verdict = Verdict::default();
    judge_windows(settings, spans, requests, &mut verdict);
    judge_refusals(spans, requests, &mut verdict);
    verdict
}

fn judge_windows(
    settings: &QuotaSettings,
    spans: &[QuotaSpan],
    requests: &[SentRequest],
    verdict: &mut Verdict,
) {
    let window = settings.window;
    let mut ran: Vec<MonotonicTime> =
        requests.iter().filter_map(|request| request.ran_at).collect();
    ran.sort_unstable();
    let mut end = 0;
    for (first, start) in ran.iter().enumerate() {
        while end < ran.len() && ran[end].since(*start) < window {
            end += 1;
        }
        let count = (end - first) as f64;
        // A lower limit binds one window after it is in force.
        let quotas = quotas_between(spans, *start - window - PROPAGATION, *start + window);
        let allowed = quotas.map(|quota| quota.rate.0 * window.as_secs_f64() + quota.burst);
        let allowed = allowed.fold(0.0, f64::max);
        let tolerated = allowed * (1.0 + settings.overshoot) + settings.slack;
        verdict.excess = verdict.excess.max(count - tolerated);
        verdict.most_used = verdict.most_used.max(count / allowed);
    }
}

/// Compares with one exact token bucket for all entries, from which what ran is deducted: a request was refused below the
/// limit if the bucket had room for it and for another one, because requests that are sent together are decided in any order.
fn judge_refusals(spans: &[QuotaSpan], requests: &[SentRequest], verdict: &mut Verdict) {
    let mut level = f64::MAX;
    let mut refilled_at = MonotonicTime::default();
    for request in requests {
        let at = request.sent_at;
        let quotas = || quotas_between(spans, at - PROPAGATION, at);
        let rate = quotas().map(|quota| quota.rate.0).fold(f64::MAX, f64::min);
        let burst = quotas().map(|quota| quota.burst).fold(f64::MAX, f64::min);
        level = (level + rate * at.since(refilled_at).as_secs_f64()).min(burst);
        refilled_at = at;
        if request.ran_at.is_none() && level < 2.0 {
            continue;
        }
        level = (level - 1.0).max(0.0);
        verdict.within += 1;
        verdict.refused_below += usize::from(request.ran_at.is_none());
    }
}

fn quotas_between(
    spans: &[QuotaSpan],
    from: MonotonicTime,
    to: MonotonicTime,
) -> impl Iterator<Item = AccountQuota> {
    let ends = spans.iter().skip(1).map(|span| span.from).chain([MonotonicTime(u64::MAX)]);
    let overlap = spans.iter().zip(ends).filter(move |(span, end)| span.from <= to && *end > from);
    overlap.map(|(span, _)| span.quota)
}
