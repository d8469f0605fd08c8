//! Starts and stops all roles of a local deployment.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use hickoryspan_control::{ControlDaemon, ControlDaemonSettings, FolderRole, initialize_folder};
use hickoryspan_core::control::interface::AdminOutcome;
use hickoryspan_core::entry::machine::EntrySettings;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{FailureDomain, TargetId};
use hickoryspan_entry::{EntryDaemon, EntryDaemonSettings, EntryHandle};
use hickoryspan_runtime::clock::incarnation_from_clock;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::process::LogSettings;
use hickoryspan_sheet::{SheetReader, SheetRules};
use hickoryspan_target::record::RunRecord;
use hickoryspan_target::{TargetHandle, TargetServer, TargetSettings};
use tempfile::TempDir;
use tokio::runtime::Handle;

use crate::operator::LocalOperator;
use crate::plan::{ServicePlan, TargetPlan, default_services};

/// Example sheet with the configuration of both tenants.
const EXAMPLE_SHEET: &[u8] = include_bytes!("../../docs/examples/sheet.csv");
/// Interval at which the status is polled while waiting for the deployment.
const STATUS_INTERVAL: Duration = Duration::from_millis(20);
/// Number of hexadecimal digits in the random credential of a local deployment.
const CREDENTIAL_DIGITS: usize = 32;
/// Maximum body size of an operator's command, in bytes. A sheet as JSON is far smaller.
const MAX_CONTROL_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Runtimes for the roles. With separate runtimes, processor time can be attributed to a role by thread name.
#[derive(Clone, Debug)]
pub struct RoleRuntimes {
    /// Runtime of the control replica.
    pub control: Handle,
    /// Runtime of the entries.
    pub entry: Handle,
    /// Runtime of the stand-in targets.
    pub target: Handle,
}

impl RoleRuntimes {
    /// Returns the current runtime for all roles.
    ///
    /// # Panics
    ///
    /// Panics if called outside of a Tokio runtime.
    pub fn current() -> Self {
        let handle = Handle::current();
        Self { control: handle.clone(), entry: handle.clone(), target: handle }
    }
}

/// Settings of a local deployment.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Number of entries.
    pub entries: usize,
    /// Services with the layout of their targets.
    pub services: Vec<ServicePlan>,
    /// Failure domains across which entries and targets are distributed.
    pub failure_domains: Vec<FailureDomain>,
    /// Port of the first entry; the others use the following ports. 0 selects free ports.
    pub first_port: u16,
    /// Timeout for starting the whole deployment.
    pub start_timeout: Duration,
    /// Settings of the entries' state machines, such as their routing and hedging policies.
    pub machine: EntrySettings,
    /// Configuration sheet of both tenants.
    pub sheet: Arc<SheetDocument>,
    /// Seed of all random generators.
    pub seed: u64,
}

impl LocalSettings {
    /// Returns settings with two entries and a small version of the services in the example sheet.
    pub fn from_example() -> anyhow::Result<Self> {
        let domains = ["armenia-1", "armenia-2", "herning-1"];
        Ok(Self {
            entries: 2,
            services: default_services()?,
            failure_domains: domains.into_iter().map(str::parse).collect::<Result<_, _>>()?,
            first_port: 0,
            start_timeout: Duration::from_secs(30),
            machine: EntrySettings::default(),
            sheet: Arc::new(example_sheet()?),
            seed: 1,
        })
    }
}

/// A target that was aborted without a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Runs on the target before it was aborted.
    pub runs: Vec<RunRecord>,
}

/// A running local deployment.
pub struct LocalDeployment {
    control: ControlDaemon,
    entries: Vec<EntryHandle>,
    targets: Vec<TargetHandle>,
    operator: LocalOperator,
    credential: SharedCredential,
    settings: LocalSettings,
    /// Number of entry processes started so far, from which the seed of the next one is derived.
    started_entries: usize,
    // The folder is deleted when the deployment is dropped.
    _folder: TempDir,
}

fn random_credential() -> anyhow::Result<SharedCredential> {
    let text = format!("{:0width$x}", rand::random::<u128>(), width = CREDENTIAL_DIGITS);
    SharedCredential::new(&text).context("create credential")
}

/// Parses the example sheet. Its date is not validated, because the file does not change from day to day.
pub fn example_sheet() -> anyhow::Result<SheetDocument> {
    let reader = SheetReader::new(SheetRules::default());
    reader.read(EXAMPLE_SHEET).context("read example sheet")
}

impl LocalDeployment {
    /// Starts all roles on the current runtime, applies the sheet and waits until all entries have applied it.
    pub async fn start(settings: LocalSettings) -> anyhow::Result<Self> {
        Self::start_on(settings, RoleRuntimes::current()).await
    }

    /// Like [`start`](Self::start), but starts the roles on the given runtimes.
    pub async fn start_on(settings: LocalSettings, runtimes: RoleRuntimes) -> anyhow::Result<Self> {
        let timeout = settings.start_timeout;
        tokio::time::timeout(timeout, Self::start_roles(settings, runtimes))
            .await
            .context("start local deployment: timeout")?
    }

    async fn start_roles(settings: LocalSettings, runtimes: RoleRuntimes) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir().context("create data folder")?;
        let credential = random_credential()?;
        let daemon = control_settings(&folder, &credential, settings.seed)?;
        let control = spawn_on(&runtimes.control, ControlDaemon::start(daemon)).await?;
        let operator = LocalOperator::new(control.record().http_address, credential.clone());
        wait_for_leader(&operator).await;
        let mut entries = Vec::new();
        for index in 0..settings.entries {
            let daemon = entry_settings(&settings, index, &control, &credential)?;
            entries.push(spawn_on(&runtimes.entry, EntryDaemon::start(daemon)).await?);
        }
        let mut targets = Vec::new();
        for service in &settings.services {
            for plan in service.targets(&settings.failure_domains)? {
                let target = target_settings(&settings, service, plan, &control, &credential);
                targets.push(spawn_on(&runtimes.target, TargetServer::start(target)).await?);
            }
        }
        let sheet = Arc::clone(&settings.sheet);
        let started_entries = settings.entries;
        let deployment = Self {
            control,
            entries,
            targets,
            operator,
            credential,
            settings,
            started_entries,
            _folder: folder,
        };
        deployment.apply_sheet(sheet).await?;
        deployment.wait_until_applied().await?;
        Ok(deployment)
    }

    async fn apply_sheet(&self, sheet: Arc<SheetDocument>) -> anyhow::Result<()> {
        match self.operator.apply_sheet("first-sheet", sheet).await? {
            AdminOutcome::Accepted { .. } => Ok(()),
            outcome => bail!("apply first sheet: {outcome:?}"),
        }
    }

    /// Starts a new process for the entry at `index` and returns the old one.
    ///
    /// The old process continues to serve until the caller of this method drains it, so that the two processes overlap
    /// as in a planned restart.
    pub async fn replace_entry(&mut self, index: usize) -> anyhow::Result<EntryHandle> {
        let mut settings = entry_settings(&self.settings, index, &self.control, &self.credential)?;
        // The port is still in use by the old process.
        settings.caller_address.set_port(0);
        settings.incarnation = Some(incarnation_from_clock());
        settings.seed = Some(self.settings.seed.wrapping_add(1 + self.started_entries as u64));
        self.started_entries += 1;
        let entry = EntryDaemon::start(settings).await?;
        Ok(std::mem::replace(&mut self.entries[index], entry))
    }

    /// Waits until all targets are registered and every entry process reports the latest revision.
    ///
    /// While an entry is being replaced, both of its processes must report it.
    pub async fn wait_until_applied(&self) -> anyhow::Result<()> {
        loop {
            let status = self.operator.status().await?;
            let has_targets = status.targets == self.targets.len() as u64;
            let is_applied = status.entries.len() >= self.entries.len()
                && status.entries.iter().all(|entry| entry.revision == Some(status.revision));
            if has_targets && is_applied {
                return Ok(());
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    }

    /// Aborts the selected targets without a withdrawal, as if their hosts were lost, and returns their runs.
    pub async fn lose_targets(
        &mut self,
        is_lost: impl Fn(&TargetRecord) -> bool,
    ) -> Vec<LostTarget> {
        let targets = std::mem::take(&mut self.targets);
        let (lost, kept): (Vec<_>, Vec<_>) =
            targets.into_iter().partition(|target| is_lost(&target.to_record()));
        self.targets = kept;
        let records = lost
            .iter()
            .map(|target| LostTarget {
                target: target.to_record().target,
                runs: target.record_page().runs,
            })
            .collect();
        futures::future::join_all(lost.into_iter().map(TargetHandle::abort)).await;
        records
    }

    /// Returns the client for operators' commands.
    pub fn operator(&self) -> &LocalOperator {
        &self.operator
    }

    /// Returns the handles of the current entry processes.
    pub fn entries(&self) -> &[EntryHandle] {
        &self.entries
    }

    /// Returns the handles of the stand-in targets that were not aborted.
    pub fn targets(&self) -> &[TargetHandle] {
        &self.targets
    }

    /// Drains the entries, then stops the targets and drains control, so that every request gets its response.
    pub async fn drain(self) {
        let Self { control, entries, targets, .. } = self;
        futures::future::join_all(entries.into_iter().map(EntryHandle::drain)).await;
        futures::future::join_all(targets.into_iter().map(TargetHandle::stop)).await;
        control.drain().await;
    }

    /// Stops all roles immediately; requests in flight are lost.
    pub async fn stop(self) {
        let Self { control, entries, targets, .. } = self;
        futures::future::join_all(entries.into_iter().map(EntryHandle::stop)).await;
        futures::future::join_all(targets.into_iter().map(TargetHandle::abort)).await;
        control.stop().await;
    }
}

// A single new replica becomes leader only after its election timeout.
async fn wait_for_leader(operator: &LocalOperator) {
    while operator.status().await.is_err() {
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

async fn spawn_on<T: Send + 'static>(
    runtime: &Handle,
    start: impl Future<Output = anyhow::Result<T>> + Send + 'static,
) -> anyhow::Result<T> {
    runtime.spawn(start).await.context("start role: the task panicked or was cancelled")?
}

fn control_settings(
    folder: &TempDir,
    credential: &SharedCredential,
    seed: u64,
) -> anyhow::Result<ControlDaemonSettings> {
    let data_folder = folder.path().join("control");
    initialize_folder(&data_folder, FolderRole::First)?;
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(ControlDaemonSettings {
        data_folder,
        initialize: None,
        peer_address: any_port,
        http_address: any_port,
        credential: credential.clone(),
        limits: HttpLimits { body_bytes: MAX_CONTROL_BODY_BYTES, ..Default::default() },
        logs: LogSettings::default(),
        members: None,
        raft: Default::default(),
        handshakes: DEFAULT_HANDSHAKES,
        seed: Some(seed),
    })
}

fn entry_settings(
    settings: &LocalSettings,
    index: usize,
    control: &ControlDaemon,
    credential: &SharedCredential,
) -> anyhow::Result<EntryDaemonSettings> {
    let domains = &settings.failure_domains;
    let port = match settings.first_port {
        0 => 0,
        first => first + u16::try_from(index).context("number of entries")?,
    };
    Ok(EntryDaemonSettings {
        entry: format!("entry-{}", index + 1).parse()?,
        failure_domain: domains[index % domains.len()].clone(),
        caller_address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        control_addresses: vec![control.record().peer_address],
        machine: settings.machine.clone(),
        seed: Some(settings.seed.wrapping_add(1 + index as u64)),
        ..EntryDaemonSettings::with_credential(credential.clone())
    })
}

fn target_settings(
    settings: &LocalSettings,
    service: &ServicePlan,
    plan: TargetPlan,
    control: &ControlDaemon,
    credential: &SharedCredential,
) -> TargetSettings {
    TargetSettings {
        target: plan.target,
        tenant: service.tenant.clone(),
        service: service.service.clone(),
        failure_domain: plan.failure_domain,
        control_addresses: vec![control.record().http_address],
        credential: Some(credential.clone()),
        slots: service.slots,
        connections: service.connections,
        partitions: vec![plan.partition],
        service_time: service.service_time,
        service_spread: service.service_spread,
        network_delay: service.network_delay,
        connection_cost: service.connection_cost,
        seed: settings.seed,
        ..TargetSettings::default()
    }
}
