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
use hickoryspan_runtime::process::LogSettings;
use hickoryspan_sheet::{SheetReader, SheetRules};
use hickoryspan_target::record::RunRecord;
use hickoryspan_target::{TargetHandle, TargetServer, TargetSettings};
use tempfile::TempDir;
use tokio::runtime::Handle;

use crate::operator::LocalOperator;
use crate::plan::{ServicePlan, TargetPlan, default_services};

/// The example sheet, which describes both tenants.
const EXAMPLE_SHEET: &[u8] = include_bytes!("../../docs/examples/sheet.csv");
/// Time between looks at the status while the deployment starts.
const STATUS_INTERVAL: Duration = Duration::from_millis(20);
/// Hexadecimal digits of the random credential of a local deployment.
const CREDENTIAL_DIGITS: usize = 32;
/// Largest accepted body of an operator's command, in bytes; a sheet as JSON is far smaller.
const MAX_CONTROL_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Where the roles run; separate runtimes let their processor time be told apart by thread name.
#[derive(Clone, Debug)]
pub struct RoleRuntimes {
    /// Runs the control replica.
    pub control: Handle,
    /// Runs the entries.
    pub entry: Handle,
    /// Runs the stand-in targets.
    pub target: Handle,
}

impl RoleRuntimes {
    /// All roles on the current runtime.
    ///
    /// # Panics
    ///
    /// Outside a runtime.
    pub fn current() -> Self {
        let handle = Handle::current();
        Self { control: handle.clone(), entry: handle.clone(), target: handle }
    }
}

/// What a local deployment runs.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// The number of entry processes.
    pub entries: usize,
    /// The services and their targets.
    pub services: Vec<ServicePlan>,
    /// The failure domains over which entries and targets are spread.
    pub failure_domains: Vec<FailureDomain>,
    /// The port of the first entry; the others follow. Zero takes free ports.
    pub first_port: u16,
    /// Longest time for the whole start.
    pub start_timeout: Duration,
    /// The policies of the entries.
    pub machine: EntrySettings,
    /// The configuration of both tenants.
    pub sheet: Arc<SheetDocument>,
    /// Seed of all generators.
    pub seed: u64,
}

impl LocalSettings {
    /// Two entries and the services of the example sheet.
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

/// A target that was ended without a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostTarget {
    /// Its name.
    pub target: TargetId,
    /// What had run on it.
    pub runs: Vec<RunRecord>,
}

/// A running deployment.
pub struct LocalDeployment {
    control: ControlDaemon,
    entries: Vec<EntryHandle>,
    targets: Vec<TargetHandle>,
    operator: LocalOperator,
    credential: SharedCredential,
    settings: LocalSettings,
    /// Entry processes started so far; each has its own seed.
    started: usize,
    // Removed when the deployment is dropped.
    _folder: TempDir,
}

fn random_credential() -> anyhow::Result<SharedCredential> {
    let text = format!("{:0width$x}", rand::random::<u128>(), width = CREDENTIAL_DIGITS);
    SharedCredential::new(&text).context("create credential")
}

/// The example sheet as a document; its date is not checked, because the example stays the same every day.
pub fn example_sheet() -> anyhow::Result<SheetDocument> {
    let reader = SheetReader::new(SheetRules::default());
    reader.read(EXAMPLE_SHEET).context("read example sheet")
}

impl LocalDeployment {
    /// Starts all roles, applies the sheet and waits until it is in force everywhere.
    pub async fn start(settings: LocalSettings) -> anyhow::Result<Self> {
        Self::start_on(settings, RoleRuntimes::current()).await
    }

    /// Starts all roles on the given runtimes.
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
        let started = settings.entries;
        let deployment = Self {
            control,
            entries,
            targets,
            operator,
            credential,
            settings,
            started,
            _folder: folder,
        };
        deployment.apply_sheet(sheet).await?;
        deployment.wait_in_force().await?;
        Ok(deployment)
    }

    async fn apply_sheet(&self, sheet: Arc<SheetDocument>) -> anyhow::Result<()> {
        match self.operator.apply_sheet("first-sheet", sheet).await? {
            AdminOutcome::Accepted { .. } => Ok(()),
            outcome => bail!("apply first sheet: {outcome:?}"),
        }
    }

    /// Starts a new process for the entry at `index` and returns the old one, which still serves; the caller drains
    /// it. This is how a planned restart overlaps the two.
    pub async fn replace_entry(&mut self, index: usize) -> anyhow::Result<EntryHandle> {
        let mut settings = entry_settings(&self.settings, index, &self.control, &self.credential)?;
        // The old process still holds the port.
        settings.caller_address.set_port(0);
        settings.incarnation = Some(incarnation_from_clock());
        settings.seed = Some(self.settings.seed.wrapping_add(1 + self.started as u64));
        self.started += 1;
        let entry = EntryDaemon::start(settings).await?;
        Ok(std::mem::replace(&mut self.entries[index], entry))
    }

    /// Waits until every entry reports the newest revision; an entry that is replaced counts with both processes.
    pub async fn wait_in_force(&self) -> anyhow::Result<()> {
        loop {
            let status = self.operator.status().await?;
            let has_targets = status.targets == self.targets.len() as u64;
            let in_force = status.entries.len() >= self.entries.len()
                && status.entries.iter().all(|entry| entry.revision == Some(status.revision));
            if has_targets && in_force {
                return Ok(());
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    }

    /// Ends the selected targets without a word, as lost hosts do, and returns what had run on them.
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
                runs: target.record().runs,
            })
            .collect();
        futures::future::join_all(lost.into_iter().map(TargetHandle::abort)).await;
        records
    }

    /// The operator's view of the deployment.
    pub fn operator(&self) -> &LocalOperator {
        &self.operator
    }

    /// The entries.
    pub fn entries(&self) -> &[EntryHandle] {
        &self.entries
    }

    /// The stand-in targets.
    pub fn targets(&self) -> &[TargetHandle] {
        &self.targets
    }

    /// Drains the entries, then ends targets and control; no request is cut.
    pub async fn drain(self) {
        let Self { control, entries, targets, .. } = self;
        futures::future::join_all(entries.into_iter().map(EntryHandle::drain)).await;
        futures::future::join_all(targets.into_iter().map(TargetHandle::stop)).await;
        control.drain().await;
    }

    /// Ends everything at once.
    pub async fn stop(self) {
        let Self { control, entries, targets, .. } = self;
        futures::future::join_all(entries.into_iter().map(EntryHandle::stop)).await;
        futures::future::join_all(targets.into_iter().map(TargetHandle::abort)).await;
        control.stop().await;
    }
}

// A new replica elects itself only after its election timeout.
async fn wait_for_leader(operator: &LocalOperator) {
    while operator.status().await.is_err() {
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

async fn spawn_on<T: Send + 'static>(
    runtime: &Handle,
    start: impl Future<Output = anyhow::Result<T>> + Send + 'static,
) -> anyhow::Result<T> {
    runtime.spawn(start).await.context("start role: the task ended")?
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
