//! Measures the processor time of the entry and control roles, which are distinguished by thread name.

use std::fs;
use std::time::Duration;

use anyhow::Context;
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{ConnectionCount, CostRate, CostUnits, SlotCount};
use hickoryspan_local::{
    LocalCaller, LocalDeployment, LocalSettings, RoleRuntimes, ServicePlan, example_sheet,
};
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

const ENTRY_THREADS: &str = "role-entry";
const CONTROL_THREADS: &str = "role-control";
const TARGET_THREADS: &str = "role-target";
/// Number of worker threads in the runtime of each role.
const ROLE_THREADS: usize = 3;
/// Number of concurrent queries: enough to keep the entry busy, few enough that no queue forms at the targets.
const CONCURRENCY: usize = 4;
const NANOS_PER_MICRO: f64 = 1000.0;

/// Processor time at one fan-out width.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FanOutCost {
    /// Number of shards that each query is sent to.
    pub width: u32,
    /// Number of queries with a complete response.
    pub complete: u64,
    /// Number of queries sent.
    pub queries: u64,
    /// Processor time of the entry per query, in microseconds.
    pub entry_micros: f64,
    /// Processor time of the idle entry, in microseconds per second.
    pub idle_entry_micros: f64,
    /// Processor time of the control replica per target that renews its lease, in microseconds per second.
    pub control_micros_per_target: f64,
}

fn runtime(name: &str) -> anyhow::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(ROLE_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .with_context(|| format!("start runtime {name}"))
}

/// Returns the total processor time, in microseconds, of all threads of this process with the given name.
fn thread_micros(name: &str) -> anyhow::Result<f64> {
    let mut nanos = 0.0;
    for task in fs::read_dir("/proc/self/task").context("read threads")? {
        let folder = task.context("read thread")?.path();
        // A thread may end after the directory was listed.
        let Ok(found) = fs::read_to_string(folder.join("comm")) else { continue };
        if found.trim() != name {
            continue;
        }
        let Ok(text) = fs::read_to_string(folder.join("schedstat")) else { continue };
        let first = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        nanos += first.unwrap_or(0.0);
    }
    Ok(nanos / NANOS_PER_MICRO)
}

/// Measures the cost at one fan-out width, with one entry and one target per shard.
pub fn measure_fan_out(width: u32, queries: u64, seed: u64) -> anyhow::Result<FanOutCost> {
    let control = runtime(CONTROL_THREADS)?;
    let entry = runtime(ENTRY_THREADS)?;
    let target = runtime(TARGET_THREADS)?;
    let caller = runtime("role-caller")?;
    let runtimes = RoleRuntimes {
        control: control.handle().clone(),
        entry: entry.handle().clone(),
        target: target.handle().clone(),
    };
    caller.block_on(measure(width, queries, seed, runtimes))
}

async fn measure(
    width: u32,
    queries: u64,
    seed: u64,
    runtimes: RoleRuntimes,
) -> anyhow::Result<FanOutCost> {
    let service = ServicePlan {
        slots: SlotCount(CONCURRENCY as u32 * 2),
        connections: ConnectionCount(20 * CONCURRENCY as u32 * 2),
        service_time: Duration::from_millis(1),
        ..ServicePlan::new("quindio", "sales-console", width, 1)?
    };
    let settings = LocalSettings {
        entries: 1,
        services: vec![service],
        sheet: std::sync::Arc::new(unlimited_sheet()?),
        start_timeout: Duration::from_secs(60),
        seed,
        ..LocalSettings::from_example()?
    };
    let deployment = LocalDeployment::start_on(settings, runtimes).await?;
    // Warm up before measuring: this opens the connections and fills the latency estimates.
    run_queries(&deployment, queries / 4).await?;

    const IDLE: Duration = Duration::from_secs(5);
    let before_entry = thread_micros(ENTRY_THREADS)?;
    let before_control = thread_micros(CONTROL_THREADS)?;
    tokio::time::sleep(IDLE).await;
    let idle_entry_micros = (thread_micros(ENTRY_THREADS)? - before_entry) / IDLE.as_secs_f64();
    let idle_control = (thread_micros(CONTROL_THREADS)? - before_control) / IDLE.as_secs_f64();

    let before = thread_micros(ENTRY_THREADS)?;
    let complete = run_queries(&deployment, queries).await?;
    let entry_micros = (thread_micros(ENTRY_THREADS)? - before) / queries as f64;
    deployment.stop().await;
    Ok(FanOutCost {
        width,
        complete,
        queries,
        entry_micros,
        idle_entry_micros,
        control_micros_per_target: idle_control / f64::from(width),
    })
}

fn unlimited_sheet() -> anyhow::Result<SheetDocument> {
    let mut sheet = example_sheet()?;
    for tenant in sheet.tenants.values_mut() {
        for caller in tenant.callers.values_mut() {
            caller.rate = CostRate(1e9);
            caller.burst = CostUnits(1e9);
        }
    }
    Ok(sheet)
}

async fn run_queries(deployment: &LocalDeployment, queries: u64) -> anyhow::Result<u64> {
    let entry = deployment.entries()[0].caller_address();
    let mut tasks = JoinSet::new();
    for worker in 0..CONCURRENCY as u64 {
        tasks.spawn(async move {
            let caller = LocalCaller::new("quindio", "sales-phone", "office");
            let mut complete = 0;
            for number in (worker..queries).step_by(CONCURRENCY) {
                let query = json!({ "number": number });
                let answer = caller.search(entry, "order-history", &query).await?;
                complete += u64::from(answer.body["outcome"] == "complete");
            }
            Ok::<u64, anyhow::Error>(complete)
        });
    }
    let mut complete = 0;
    while let Some(ended) = tasks.join_next().await {
        complete += ended.context("run queries")??;
    }
    Ok(complete)
}
