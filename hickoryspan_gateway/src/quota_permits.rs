//! Admits requests of accounts with a quota, with permits of control hosts where these are needed.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hickoryspan_core::gateway::admission::quota::{PermitAnswer, PermitNumber, PermitRequest};
use hickoryspan_core::gateway::admission::quota_gate::QuotaVerdict;
use hickoryspan_core::gateway::documents::accounts::{AccountQuota, ClientAccount};
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::gateway::membership::messages::DirectoryRequest;
use hickoryspan_core::types::MonotonicTime;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::GatewayJob;
use crate::fanout_links::lock;
use crate::gateway_state::GatewayState;

/// Time for the answer of a control host. A longer wait would cost more of a request's objective than a decision of the
/// entry itself is worse.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(30);
/// Time after its start in which this process may not have heard yet that a control host counts. After a common restart,
/// control hosts first elect a leader.
const START_TIME: Duration = Duration::from_secs(3);
/// Share of the time left for which a request waits for that. The rest is left for running it, or for another try.
const START_PATIENCE: f64 = 0.5;
/// Interval in which a request that waits looks for a control host that counts.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of times that a request asks for a permit. The first host may not answer, or another request of the entry may
/// take the permit.
const MAX_ASKS: usize = 2;

/// The links over which control hosts are asked for permits, and the requests that wait for their answers.
#[derive(Default)]
pub(crate) struct PermitLinks {
    queues: Mutex<BTreeMap<SocketAddr, mpsc::Sender<DirectoryRequest>>>,
    waiting: Mutex<HashMap<PermitNumber, oneshot::Sender<PermitAnswer>>>,
}

/// Removes a request that no longer waits, also when its caller has left.
struct WaitGuard<'a> {
    links: &'a PermitLinks,
    number: PermitNumber,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(&self.links.waiting).remove(&self.number);
    }
}

impl PermitLinks {
    pub(crate) fn add(&self, host: SocketAddr, queue: mpsc::Sender<DirectoryRequest>) {
        lock(&self.queues).insert(host, queue);
    }

    pub(crate) fn remove(&self, host: SocketAddr) {
        lock(&self.queues).remove(&host);
    }

    /// Passes an answer to the request that waits for it. Its permits are in the stock of the gate, which keeps them if
    /// that request has ended.
    pub(crate) fn complete(&self, answer: PermitAnswer) {
        let waiting = lock(&self.waiting).remove(&answer.number);
        if let Some(waiting) = waiting {
            // The request may have ended meanwhile.
            let _ = waiting.send(answer);
        }
    }

    /// Asks a control host for permits. Returns `None` if it does not answer in time. Cancel safe.
    async fn ask(&self, host: SocketAddr, request: PermitRequest) -> Option<PermitAnswer> {
        let queue = lock(&self.queues).get(&host).cloned()?;
        let (sender, receiver) = oneshot::channel();
        let guard = WaitGuard { links: self, number: request.number };
        lock(&self.waiting).insert(request.number, sender);
        queue.try_send(DirectoryRequest::AskPermits(request)).ok()?;
        let answer = tokio::time::timeout(PERMIT_TIMEOUT, receiver).await;
        drop(guard);
        answer.ok()?.ok()
    }
}

/// Decides whether a request may run under the quota of its account, and counts it if so. Otherwise returns when the
/// caller may try again.
pub(crate) async fn admit(state: &GatewayState, job: &GatewayJob) -> Result<(), Duration> {
    let Some(identity) = &job.identity else { return Ok(()) };
    let Some(quota) = &identity.account.quota else { return Ok(()) };
    await_counting(state, job).await;
    let verdict = decide(state, &identity.account, quota).await;
    if state.decisions().quotas.take_prompt(state.now()) {
        state.trigger_report();
    }
    match verdict {
        Ok(()) => Ok(()),
        Err(refusal) => {
            log_refusal(state, job, &identity.account, &refusal);
            Err(refusal.retry_after)
        }
    }
}

/// Waits until a control host counts requests, if this process has just started. Its own share is next to nothing then, so
/// that nearly all requests of accounts with a quota would be refused.
async fn await_counting(state: &GatewayState, job: &GatewayJob) {
    let now = state.now();
    let until = now + job.give_up_at.since(now).mul_f64(START_PATIENCE);
    let until = until.min(MonotonicTime(0) + START_TIME);
    while state.now() < until && !state.decisions().quotas.is_counted() {
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
}

/// Why a request is beyond the quota of its account.
struct QuotaRefusal {
    retry_after: Duration,
    source: RefusalSource,
}

/// Who refused a request, with the figure that was too low.
enum RefusalSource {
    /// A control host, by what all entries together have used.
    Host { host: SocketAddr, level: f64 },
    /// This entry, by its own share of the limit.
    OwnShare(f64),
}

impl QuotaRefusal {
    fn of_host(host: SocketAddr, answer: &PermitAnswer) -> Self {
        let source = RefusalSource::Host { host, level: answer.level };
        Self { retry_after: answer.retry_after, source }
    }

    fn of_share(retry_after: Duration, share: f64) -> Self {
        Self { retry_after, source: RefusalSource::OwnShare(share) }
    }
}

async fn decide(
    state: &GatewayState,
    account: &ClientAccount,
    quota: &AccountQuota,
) -> Result<(), QuotaRefusal> {
    for _ in 0..MAX_ASKS {
        let verdict = state.decisions().quotas.decide(state.now(), &account.account, quota);
        let (host, request) = match verdict {
            QuotaVerdict::Admitted => return Ok(()),
            QuotaVerdict::Refused { retry_after, share } => {
                return Err(QuotaRefusal::of_share(retry_after, share));
            }
            QuotaVerdict::Ask(host, request) => (host, request),
        };
        match state.permits.ask(host, request).await {
            Some(answer) if answer.permits == 0 => {
                return Err(QuotaRefusal::of_host(host, &answer));
            }
            Some(_) => {}
            None => {
                metrics::counter!("hickoryspan_gateway_permit_timeouts_total").increment(1);
                // The next round asks another host.
                state.decisions().quotas.note_timeout(state.now(), host);
            }
        }
    }
    let verdict = state.decisions().quotas.decide_alone(state.now(), &account.account, quota);
    match verdict {
        QuotaVerdict::Refused { retry_after, share } => {
            Err(QuotaRefusal::of_share(retry_after, share))
        }
        QuotaVerdict::Admitted | QuotaVerdict::Ask(..) => Ok(()),
    }
}

fn log_refusal(
    state: &GatewayState,
    job: &GatewayJob,
    account: &ClientAccount,
    refusal: &QuotaRefusal,
) {
    let (by, counter) = match &refusal.source {
        RefusalSource::Host { host, .. } => (host.to_string(), "control"),
        RefusalSource::OwnShare(_) => ("own share".to_owned(), "own_share"),
    };
    metrics::counter!("hickoryspan_gateway_quota_refusals_total", "by" => counter).increment(1);
    if !state.admits_log_line(LogPriority::Important) {
        return;
    }
    let left = match refusal.source {
        RefusalSource::Host { level, .. } => level,
        RefusalSource::OwnShare(share) => share,
    };
    spdlog::info!(
        "request beyond the quota of its account",
        kv: {
            request: = job.request_text(),
            account: = account.account,
            version: = job.version,
            by: = by,
            left: = format!("{left:.2}"),
            retry_after_ms: = refusal.retry_after.as_millis()
        }
    );
}

/// Takes back the count of a request that is refused before a target got it.
pub(crate) fn give_back(state: &GatewayState, job: &GatewayJob) {
    let Some(identity) = &job.identity else { return };
    if identity.account.quota.is_some() {
        state.decisions().quotas.give_back(state.now(), &identity.account.account);
    }
}
