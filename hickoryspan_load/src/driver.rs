//! Runs a schedule of requests and faults against a local deployment and records the responses to callers and the runs
//! on targets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hickoryspan_core::membership::{PartitionRecord, TargetRecord};
use hickoryspan_core::messages::RequestOutcome;
use hickoryspan_core::types::{CoverageShare, RevisionNumber, SnapshotVersion};
use hickoryspan_local::{LocalDeployment, LostTarget};
use hickoryspan_runtime::clock::wall_time;
use hickoryspan_runtime::http_client::HttpConnection;
use hickoryspan_target::TargetHandle;
use hickoryspan_target::documents::DocumentHit;
use hickoryspan_target::faults::{FaultEvent, FaultSettings};
use http::Request;
use http::header::{CONTENT_TYPE, HOST};
use http_body_util::Full;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::arrivals::PlannedRequest;
use crate::expectation::QueryExpectation;
use crate::fault_plan::FaultKind;
use crate::invariants::{AnswerRecord, RunHistory, TargetRun};
use crate::profile::{TrafficKind, TrafficPlan};

/// Timeout for opening a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a response, longer than any caller waits. A request that exceeds it counts as unanswered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(70);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Interval at which callers refresh the entry addresses; well within the lifetime of an address response.
const ADDRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of hits that a stand-in target returns for one partition.
const MAX_HITS: u32 = 3;
/// Interval at which progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Response to one request with its measurements.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// Index of the request's plan in the traffic mix.
    pub traffic: usize,
    /// Time from the scheduled start to the response, so that delays in the load tool are included.
    pub latency: Duration,
    /// Number of attempts on targets.
    pub attempts: u32,
    /// Number of attempts beyond the first one of each partition.
    pub extra_attempts: u32,
    /// Response as the caller received it.
    pub answer: AnswerRecord,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// One sample per request.
    pub samples: Vec<AnswerSample>,
    /// Input of the invariant checkers.
    pub history: RunHistory,
    /// Highest ratio of open connections to the connection limit over all targets, at the end of the run.
    pub connection_share: f64,
}

/// Fields of a response body that the tool evaluates.
#[derive(Deserialize)]
struct AnswerBody {
    outcome: RequestOutcome,
    snapshot: Option<SnapshotVersion>,
    #[serde(default = "no_coverage")]
    coverage: CoverageShare,
    #[serde(default)]
    entry: String,
    #[serde(default)]
    attempts: u32,
    #[serde(default)]
    extra_load: u32,
    #[serde(default)]
    revision: RevisionNumber,
    #[serde(default)]
    hits: Vec<DocumentHit>,
}

fn no_coverage() -> CoverageShare {
    CoverageShare::NONE
}

/// State shared by all request tasks.
struct LoadContext {
    traffic: Vec<TrafficPlan>,
    partitions: Vec<Vec<PartitionRecord>>,
    addresses: Mutex<Vec<SocketAddr>>,
    start: Instant,
    run_name: String,
}

impl LoadContext {
    fn address(&self, generator: &mut ChaCha12Rng) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.choose(generator).copied()
    }

    fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

/// Runs the schedule of requests and faults, stops the deployment and returns the results.
///
/// # Errors
///
/// Fails if a fault cannot be injected. Failed requests are part of the results.
pub async fn run_schedule(
    mut deployment: LocalDeployment,
    traffic: Vec<TrafficPlan>,
    requests: &[PlannedRequest],
    faults: &[FaultKind],
    seed: u64,
    run_name: &str,
) -> anyhow::Result<RunOutcome> {
    let context = Arc::new(LoadContext {
        partitions: traffic.iter().map(|plan| service_partitions(&deployment, plan)).collect(),
        traffic,
        addresses: Mutex::new(entry_addresses(&deployment)),
        start: Instant::now(),
        run_name: run_name.to_owned(),
    });
    let mut injector =
        FaultInjector { seed, drains: JoinSet::new(), lost: Vec::new(), start: context.start };
    let refresh = refresh_addresses(&context);
    let send = send_requests(Arc::clone(&context), requests, seed);
    let inject = async {
        let injected = injector.inject(&mut deployment, faults).await;
        injected.map(|()| &deployment)
    };
    let (samples, injected) = tokio::select! {
        results = async { tokio::join!(send, inject) } => results,
        () = refresh => anyhow::bail!("refresh addresses: the task ended before the requests"),
    };
    injected?;
    injector.join().await;
    let connection_share = connection_share(&deployment);
    let mut history = RunHistory {
        answers: samples.iter().map(|sample| sample.answer.clone()).collect(),
        has_only_planned_stops: faults.iter().all(|fault| {
            !matches!(fault, FaultKind::LoseDomain { .. } | FaultKind::LoseReplicas { .. })
        }),
        ..RunHistory::default()
    };
    for target in deployment.targets() {
        let name = target.to_record().target;
        let runs = target.record_page().runs;
        history.runs.extend(runs.into_iter().map(|run| TargetRun { target: name.clone(), run }));
    }
    for LostTarget { target, runs } in injector.lost {
        history.runs.extend(runs.into_iter().map(|run| TargetRun { target: target.clone(), run }));
    }
    deployment.stop().await;
    Ok(RunOutcome { samples, history, connection_share })
}

fn entry_addresses(deployment: &LocalDeployment) -> Vec<SocketAddr> {
    deployment.entries().iter().map(|entry| entry.caller_address()).collect()
}

fn service_partitions(deployment: &LocalDeployment, plan: &TrafficPlan) -> Vec<PartitionRecord> {
    let records = deployment.targets().iter().map(|target| target.to_record());
    let mut partitions: Vec<_> = records
        .filter(|record| {
            record.tenant.as_str() == plan.tenant && record.service.as_str() == plan.service
        })
        .flat_map(|record| record.partitions)
        .collect();
    partitions.sort_by_key(|partition| partition.range);
    partitions.dedup();
    partitions
}

fn connection_share(deployment: &LocalDeployment) -> f64 {
    let shares = deployment.targets().iter().map(|target| {
        let limit = f64::from(target.to_record().connections.0.max(1));
        f64::from(target.open_connections()) / limit
    });
    shares.fold(0.0, f64::max)
}

async fn refresh_addresses(context: &LoadContext) {
    let mut generator = ChaCha12Rng::seed_from_u64(0);
    loop {
        tokio::time::sleep(ADDRESS_INTERVAL).await;
        let Some(address) = context.address(&mut generator) else { continue };
        let mut found = Vec::new();
        for plan in &context.traffic {
            match fetch_addresses(address, plan).await {
                Ok(addresses) => found.extend(addresses),
                Err(error) => spdlog::info!("refresh addresses: entry {}: {:#}", address, error),
            }
        }
        found.sort_unstable();
        found.dedup();
        if !found.is_empty() {
            context.set_addresses(found);
        }
    }
}

#[derive(Deserialize)]
struct AddressBody {
    addresses: Vec<SocketAddr>,
}

async fn fetch_addresses(entry: SocketAddr, plan: &TrafficPlan) -> anyhow::Result<Vec<SocketAddr>> {
    let mut connection = HttpConnection::open(entry, CONNECT_TIMEOUT).await?;
    let request = Request::get("/v1/addresses")
        .header(HOST, entry.to_string())
        .header("hs-tenant", plan.tenant)
        .header("hs-caller", plan.caller)
        .body(Full::new(Bytes::new()))?;
    let answer = connection.send(request, MAX_RESPONSE_BYTES).await;
    connection.close().await;
    let body: AddressBody = serde_json::from_slice(&answer?.body)?;
    Ok(body.addresses)
}

async fn send_requests(
    context: Arc<LoadContext>,
    requests: &[PlannedRequest],
    seed: u64,
) -> Vec<AnswerSample> {
    let mut generator = ChaCha12Rng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    let mut samples = Vec::with_capacity(requests.len());
    let mut next_progress = PROGRESS_INTERVAL;
    for request in requests {
        tokio::time::sleep_until(context.start + request.at).await;
        let entry = context.address(&mut generator);
        tasks.spawn(send_request(Arc::clone(&context), *request, entry));
        while let Some(Ok(sample)) = tasks.try_join_next() {
            samples.push(sample);
        }
        if request.at >= next_progress {
            eprintln!(
                "{}: {:?}: {} answered, {} waiting",
                context.run_name,
                next_progress,
                samples.len(),
                tasks.len()
            );
            next_progress += PROGRESS_INTERVAL;
        }
    }
    while let Some(ended) = tasks.join_next().await {
        match ended {
            Ok(sample) => samples.push(sample),
            Err(error) => spdlog::error!("send request: {}", error),
        }
    }
    samples
}

async fn send_request(
    context: Arc<LoadContext>,
    request: PlannedRequest,
    entry: Option<SocketAddr>,
) -> AnswerSample {
    let plan = &context.traffic[request.traffic];
    let id: Arc<str> = format!("{}-{}", context.run_name, request.number).into();
    let content = json!({ "number": request.number, "run": context.run_name });
    let sent = context.start.elapsed();
    let answer = match entry {
        Some(entry) => exchange(entry, plan, &id, &content).await,
        None => Err(anyhow::anyhow!("no entry address is known")),
    };
    let answered = context.start.elapsed();
    let is_order = plan.kind == TrafficKind::Order;
    let expectation = (!is_order).then(|| {
        let query = content.to_string();
        let partitions = &context.partitions[request.traffic];
        Arc::new(QueryExpectation::new(query.as_bytes(), partitions, MAX_HITS))
    });
    let (body, outcome) = match answer {
        Ok(body) => {
            let outcome = body.outcome;
            (body, Some(outcome))
        }
        Err(error) => {
            spdlog::warn!("request {}: {:#}", id, error);
            (empty_body(), None)
        }
    };
    AnswerSample {
        traffic: request.traffic,
        latency: answered.saturating_sub(request.at),
        attempts: body.attempts,
        extra_attempts: body.extra_load,
        answer: AnswerRecord {
            request: id,
            is_order,
            entry: body.entry.into(),
            sent,
            answered,
            outcome,
            snapshot: body.snapshot,
            coverage: body.coverage,
            revision: body.revision,
            hits: body.hits,
            expectation: expectation.filter(|_| outcome.is_some()),
        },
    }
}

fn empty_body() -> AnswerBody {
    AnswerBody {
        outcome: RequestOutcome::Unknown,
        snapshot: None,
        coverage: CoverageShare::NONE,
        entry: String::new(),
        attempts: 0,
        extra_load: 0,
        revision: RevisionNumber::default(),
        hits: Vec::new(),
    }
}

/// Sends one request on a new connection, so that a lost connection always belongs to exactly one request.
async fn exchange(
    entry: SocketAddr,
    plan: &TrafficPlan,
    id: &str,
    content: &serde_json::Value,
) -> anyhow::Result<AnswerBody> {
    let (path, body) = match plan.kind {
        TrafficKind::Search => ("/v1/search", json!({ "search": plan.name, "query": content })),
        TrafficKind::Order => ("/v1/orders", json!({ "order": plan.name, "content": content })),
    };
    let mut request = Request::post(path)
        .header(HOST, entry.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("hs-tenant", plan.tenant)
        .header("hs-caller", plan.caller)
        .header("hs-class", plan.class)
        .header("hs-request-id", id);
    if plan.kind == TrafficKind::Order {
        request = request.header("hs-issued-at", wall_time().to_string());
    }
    let request = request.body(Full::new(Bytes::from(body.to_string())))?;
    let error_context = || format!("exchange: entry {entry}");
    let mut connection =
        HttpConnection::open(entry, CONNECT_TIMEOUT).await.with_context(error_context)?;
    let answer =
        tokio::time::timeout(RESPONSE_TIMEOUT, connection.send(request, MAX_RESPONSE_BYTES)).await;
    connection.close().await;
    let answer = answer.with_context(error_context)?.with_context(error_context)?;
    serde_json::from_slice(&answer.body).with_context(|| {
        format!("exchange: entry {entry}: status {}: invalid response body", answer.status)
    })
}

/// Selects a random share of the targets. The count is rounded up, so that a small share selects at least one target.
fn choose_targets<'a>(
    deployment: &'a LocalDeployment,
    share: f64,
    generator: &mut ChaCha12Rng,
) -> Vec<&'a TargetHandle> {
    let targets = deployment.targets();
    let count = (share.clamp(0.0, 1.0) * targets.len() as f64).ceil() as usize;
    targets.sample(generator, count).collect()
}

/// Injects faults at their scheduled times.
struct FaultInjector {
    seed: u64,
    drains: JoinSet<()>,
    lost: Vec<LostTarget>,
    start: Instant,
}

impl FaultInjector {
    async fn inject(
        &mut self,
        deployment: &mut LocalDeployment,
        faults: &[FaultKind],
    ) -> anyhow::Result<()> {
        for fault in faults {
            self.inject_one(deployment, fault).await?;
        }
        Ok(())
    }

    async fn wait_until(&self, at: Duration) {
        tokio::time::sleep_until(self.start + at).await;
    }

    async fn inject_one(
        &mut self,
        deployment: &mut LocalDeployment,
        fault: &FaultKind,
    ) -> anyhow::Result<()> {
        let mut generator = ChaCha12Rng::seed_from_u64(self.seed);
        match *fault {
            FaultKind::Stragglers { share, factor } => {
                for target in choose_targets(deployment, share, &mut generator) {
                    let straggler_factor = factor;
                    target.set_faults(FaultSettings { straggler_factor, ..Default::default() });
                }
            }
            FaultKind::Stall { at, length } => {
                self.wait_until(at).await;
                // Slow enough that no response meets the deadline of any deadline-first class.
                let straggler_factor = 1000.0;
                for target in deployment.targets() {
                    target.set_faults(FaultSettings { straggler_factor, ..Default::default() });
                }
                self.wait_until(at + length).await;
                for target in deployment.targets() {
                    target.set_faults(FaultSettings::default());
                }
            }
            FaultKind::LoseReplicas { at } => {
                self.wait_until(at).await;
                let is_first = |record: &TargetRecord| record.target.as_str().ends_with("/0");
                self.lost.extend(deployment.lose_targets(is_first).await);
            }
            FaultKind::LoseDomain { at } => {
                self.wait_until(at).await;
                let domain = deployment.targets().first().map(|target| target.to_record());
                let domain = domain.context("lose domain: no target")?.failure_domain;
                let is_lost = |record: &TargetRecord| record.failure_domain == domain;
                self.lost.extend(deployment.lose_targets(is_lost).await);
            }
            FaultKind::SilenceConnections { at, share } => {
                self.wait_until(at).await;
                for target in choose_targets(deployment, share, &mut generator) {
                    target.inject_event(FaultEvent::SilenceConnections);
                }
            }
            FaultKind::RollingRestart { at } => {
                self.wait_until(at).await;
                for index in 0..deployment.entries().len() {
                    let old = deployment.replace_entry(index).await?;
                    deployment.wait_until_applied().await?;
                    self.drains.spawn(old.drain());
                    while self.drains.join_next().await.is_some() {}
                }
            }
        }
        Ok(())
    }

    async fn join(&mut self) {
        while self.drains.join_next().await.is_some() {}
    }
}
