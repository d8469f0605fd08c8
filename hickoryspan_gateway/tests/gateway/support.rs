//! A control host, entries and scripted targets on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU16, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hickoryspan_control::{ControlDaemon, ControlDaemonSettings, FolderRole, initialize_folder};
use hickoryspan_core::control::interface::ControlReply;
use hickoryspan_core::gateway::documents::accounts::ClientAccount;
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, RepeatRule, RouteDestination, RouteRule,
    ServiceRule, ShardSpread,
};
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetDeparture, TargetPhase,
};
use hickoryspan_core::gateway::targets::evacuations::{
    EvacuationAction, EvacuationOrder, EvacuationState,
};
use hickoryspan_core::types::{EntryId, FailureDomain, RequestRate, ServiceId, TargetId, WallTime};
use hickoryspan_gateway::{
    DirectoryHub, DirectoryServer, DirectorySettings, GatewayEntry, GatewaySettings, HostList,
};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::logs::{LogFormat, LogLevel};
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::process::LogSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Much longer than any step takes when it works. A test fails when a step exceeds it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const DATA_FOLDER_SEED: u64 = 41;
/// Connections that each scripted target accepts, as configured for its service.
pub const TARGET_CONNECTIONS: u32 = 2;

/// Failure domain of all targets, and of entries unless a test says otherwise.
const TARGET_DOMAIN: &str = "a";

/// Function that determines how a scripted target reacts to a request.
pub type TargetScript = Arc<dyn Fn(&SeenRequest) -> TargetAction + Send + Sync>;

/// A request that a target received.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection at this target, in the order in which they were opened.
    pub connection: usize,
}

impl SeenRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Builds an answer with status 200 that echoes the request ID and has a stamp.
    pub fn answer(&self, stamp: &str, body: &[u8]) -> Vec<u8> {
        let id = self.header("hs-request-id").unwrap_or("none");
        let length = body.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\nhs-request-id: {id}\r\nhs-stamp: {stamp}\r\ncontent-length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// How a target reacts to a request.
pub enum TargetAction {
    /// Sends these bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Sends these bytes after a delay and keeps the connection open.
    SendLater(Duration, Vec<u8>),
    /// Sends these bytes once the token is cancelled and keeps the connection open.
    SendWhen(CancellationToken, Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends the first bytes and then the second ones again and again, until the connection is closed.
    SendForever(Vec<u8>, Vec<u8>),
    /// Ends the target with all its connections, as a crash of its process does.
    Crash,
}

/// A running target. Dropping it closes its connections.
pub struct ScriptedTarget {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<SeenRequest>>>,
    /// Number of endless answers that were not cut off yet.
    pub endless: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl ScriptedTarget {
    pub async fn start(script: TargetScript) -> Self {
        Self::start_at(ANY_PORT, script).await
    }

    pub async fn start_at(address: SocketAddr, script: TargetScript) -> Self {
        let listener = TcpListener::bind(address).await.expect("bind a target");
        let address = listener.local_addr().expect("the target's address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        let requests = Arc::clone(&seen);
        let endless = Arc::new(AtomicUsize::new(0));
        let open = Arc::clone(&endless);
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            let crash = CancellationToken::new();
            for number in 0.. {
                let accepted = tokio::select! {
                    () = crash.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                let (open, crash) = (Arc::clone(&open), crash.clone());
                connections.spawn(serve(stream, number, script, requests, open, crash));
            }
        });
        Self { address, seen, endless, _tasks: tasks }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("the seen requests").len()
    }
}

async fn serve(
    mut stream: TcpStream,
    number: usize,
    script: TargetScript,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    endless: Arc<AtomicUsize>,
    crash: CancellationToken,
) {
    while let Some(request) = read_request(&mut stream).await {
        let request = SeenRequest { connection: number, ..request };
        let action = script(&request);
        seen.lock().expect("the seen requests").push(request);
        let sent = match action {
            TargetAction::Send(bytes) => stream.write_all(&bytes).await,
            TargetAction::SendLater(delay, bytes) => {
                tokio::time::sleep(delay).await;
                stream.write_all(&bytes).await
            }
            TargetAction::SendWhen(token, bytes) => {
                tokio::select! {
                    () = token.cancelled() => stream.write_all(&bytes).await,
                    // The entry has cancelled the request.
                    _ = stream.read_u8() => return,
                }
            }
            TargetAction::SendForever(first, repeated) => {
                endless.fetch_add(1, Ordering::SeqCst);
                let mut sent = stream.write_all(&first).await;
                while sent.is_ok() {
                    sent = stream.write_all(&repeated).await;
                }
                endless.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            TargetAction::Crash => return crash.cancel(),
            TargetAction::SendAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let mut request = SeenRequest { head, body: bytes[end..].to_vec(), connection: 0 };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while request.body.len() < length {
        if stream.read_buf(&mut request.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(request)
}

/// A control host with one replica, one entry, and possibly further entries.
pub struct Deployment {
    pub hub: Arc<DirectoryHub>,
    pub entry: Option<GatewayEntry>,
    /// Further entries, which take part in wide fan-outs.
    pub others: Vec<GatewayEntry>,
    pub address: SocketAddr,
    /// Limits for callers in the next configuration.
    pub limits: CallerLimits,
    /// Accounts in the next configuration.
    pub accounts: Option<Vec<ClientAccount>>,
    /// Requests per second that cold targets tolerate in the next configuration.
    pub cold_rate: Option<RequestRate>,
    // Caller addresses of all entries, in the order of their start.
    addresses: Vec<SocketAddr>,
    template: GatewaySettings,
    hosts: HostList,
    // Number of announcements so far, so that each is newer than the one before.
    announcements: AtomicU64,
    daemon: Option<ControlDaemon>,
    version: u64,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    folder: tempfile::TempDir,
}

/// The credential that all processes of the tests share.
pub fn credential() -> SharedCredential {
    SharedCredential::new("a-credential-for-tests").expect("a credential")
}

fn control_settings(folder: &Path) -> ControlDaemonSettings {
    ControlDaemonSettings {
        data_folder: folder.join("replica"),
        initialize: None,
        peer_address: ANY_PORT,
        http_address: ANY_PORT,
        credential: credential(),
        limits: HttpLimits::default(),
        logs: LogSettings { format: LogFormat::Text, level: LogLevel::Error },
        seed: Some(DATA_FOLDER_SEED),
        members: None,
        raft: Default::default(),
        handshakes: DEFAULT_HANDSHAKES,
    }
}

/// Returns an address that nothing else binds or connects from: a loopback address of its own, and a port below those that
/// the system gives out. A port that was free a moment ago may have been given to a connection since.
fn own_address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let port = 10_000 + (std::process::id() % 20_000) as u16;
    SocketAddr::from(([127, 128, high, low], port))
}

async fn flush_regularly(hub: Arc<DirectoryHub>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        hub.flush();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_hub(
    daemon: &ControlDaemon,
    folder: &Path,
    tasks: &mut JoinSet<()>,
    stop: &CancellationToken,
    settings: DirectorySettings,
) -> (Arc<DirectoryHub>, HostList) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a directory port");
    let directory = listener.local_addr().expect("the directory's address");
    let hosts = HostList::new([directory]);
    let hub = Arc::new(DirectoryHub::new(
        settings,
        daemon.handle(),
        daemon.record().clone(),
        directory,
        hosts.clone(),
        folder,
    ));
    hub.set_evacuations(&EvacuationState::default());
    tasks.spawn(DirectoryServer { listener, hub: Arc::clone(&hub) }.run(stop.clone()));
    tasks.spawn(flush_regularly(Arc::clone(&hub), stop.clone()));
    (hub, hosts)
}

impl Deployment {
    pub async fn start() -> Self {
        Self::start_with(0, RelaySettings::default()).await
    }

    /// Starts a deployment whose entry accepts connections for some time after a stop has begun, and waits for requests
    /// until `finish` after that.
    pub async fn start_stopping(accept: Duration, finish: Duration) -> Self {
        let settings = |template| GatewaySettings {
            accept_after_stop: accept,
            finish_after_stop: finish,
            ..template
        };
        Self::start_adjusted(0, RelaySettings::default(), settings).await
    }

    /// Starts a deployment as [`Self::start_stopping`] does, whose entry accepts answers of up to this size.
    pub async fn start_stopping_with_answers(
        accept: Duration,
        finish: Duration,
        answer_bytes: usize,
    ) -> Self {
        let settings = |template| GatewaySettings {
            accept_after_stop: accept,
            finish_after_stop: finish,
            answer_bytes,
            ..template
        };
        Self::start_adjusted(0, RelaySettings::default(), settings).await
    }

    /// Starts a deployment whose control host knows so many targets at most.
    pub async fn start_with_targets(max_targets: usize) -> Self {
        let settings = |template: GatewaySettings| {
            let directory = DirectorySettings { max_targets, ..template.directory };
            GatewaySettings { directory, ..template }
        };
        Self::start_adjusted(0, RelaySettings::default(), settings).await
    }

    /// Returns the size in bytes of what the directory has saved.
    pub fn saved_bytes(&self) -> u64 {
        std::fs::metadata(self.folder.path().join("targets")).map_or(0, |file| file.len())
    }

    /// Starts a deployment with `others` further entries.
    pub async fn start_with(others: usize, relays: RelaySettings) -> Self {
        Self::start_adjusted(others, relays, |template| template).await
    }

    /// Starts a deployment with `others` further entries, whose settings `adjust` changes.
    pub async fn start_adjusted(
        others: usize,
        relays: RelaySettings,
        adjust: impl FnOnce(GatewaySettings) -> GatewaySettings,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = control_settings(folder.path());
        initialize_folder(&settings.data_folder, FolderRole::First).expect("a data folder");
        let daemon = ControlDaemon::start(settings).await.expect("a control host");
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let address = own_address();
        let template = GatewaySettings {
            relays,
            fanout_address: Some(ANY_PORT),
            accept_after_stop: Duration::from_millis(50),
            // Longer than the timeout of a test, so that a stop that waits for this fails the test.
            finish_after_stop: TEST_TIMEOUT * 10,
            ..GatewaySettings::new(
                EntryId::new("entry").expect("a name"),
                address,
                FailureDomain::new(TARGET_DOMAIN).expect("a domain"),
                DirectorySettings::new(credential()),
            )
        };
        let template = adjust(template);
        let directory = template.directory.clone();
        let (hub, hosts) = start_hub(&daemon, folder.path(), &mut tasks, &stop, directory).await;
        let mut deployment = Self {
            hub,
            entry: None,
            others: Vec::new(),
            address,
            limits: CallerLimits::default(),
            accounts: None,
            cold_rate: None,
            addresses: Vec::new(),
            template,
            hosts,
            announcements: AtomicU64::new(1),
            daemon: Some(daemon),
            version: 0,
            stop,
            tasks,
            folder,
        };
        deployment.entry = Some(deployment.start_entry(address).await);
        for _ in 0..others {
            deployment.add_entry().await;
        }
        deployment
    }

    async fn start_entry(&mut self, caller_address: SocketAddr) -> GatewayEntry {
        let gateway = GatewaySettings {
            entry: EntryId::new(format!("entry-{}", self.addresses.len())).expect("a name"),
            caller_address,
            ..self.template.clone()
        };
        self.addresses.push(caller_address);
        GatewayEntry::start(gateway, self.hosts.clone()).await.expect("an entry")
    }

    /// Ends the directory and all entries at the same time, and starts them again with what the directory had saved.
    /// The routes must be configured again.
    pub async fn restart_all(&mut self) {
        self.hub.save();
        self.entry = None;
        self.others.clear();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.stop = CancellationToken::new();
        let daemon = self.daemon.as_ref().expect("a control host");
        let settings = self.template.directory.clone();
        let started =
            start_hub(daemon, self.folder.path(), &mut self.tasks, &self.stop, settings).await;
        (self.hub, self.hosts) = started;
        for _ in 0..std::mem::take(&mut self.addresses).len() {
            self.add_entry().await;
        }
    }

    /// Ends the directory, so that the entries keep what they know, and waits until they have noticed.
    pub async fn lose_directory(&mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Starts further entries in the failure domain of the targets, in which the first entry may not be.
    pub async fn add_entries_near_targets(&mut self, count: usize) {
        self.template.domain = FailureDomain::new(TARGET_DOMAIN).expect("a domain");
        for _ in 0..count {
            self.add_entry().await;
        }
    }

    /// Starts one more entry.
    pub async fn add_entry(&mut self) {
        let address = own_address();
        let entry = self.start_entry(address).await;
        self.others.push(entry);
    }

    /// Starts a further entry that knows so many targets at most.
    pub async fn add_entry_with_targets(&mut self, max_targets: usize) {
        let earlier = std::mem::replace(&mut self.template.directory.max_targets, max_targets);
        self.add_entry().await;
        self.template.directory.max_targets = earlier;
    }

    /// Returns the known control hosts.
    pub fn hosts(&self) -> &HostList {
        &self.hosts
    }

    /// Returns the number of entries that were started.
    pub fn entry_count(&self) -> usize {
        self.addresses.len()
    }

    /// Submits routes and waits until the entry is ready with them.
    pub async fn configure(&mut self, routes: Vec<RouteRule>) {
        self.configure_with(TARGET_CONNECTIONS, routes).await;
    }

    /// Does the same as [`Self::configure`] with targets that accept this number of connections.
    pub async fn configure_with(&mut self, connections: u32, routes: Vec<RouteRule>) {
        self.version += 1;
        let names: Vec<ServiceId> =
            routes.iter().flat_map(|route| route.destination.services()).cloned().collect();
        let cold_rate = self.cold_rate;
        let services =
            names.into_iter().map(|service| ServiceRule { service, connections, cold_rate });
        let document = Arc::new(ConfigurationDocument {
            version: DocumentVersion(self.version),
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services.collect(),
            limits: self.limits,
            accounts: self.accounts.clone(),
            source: format!("version {}", self.version).into(),
        });
        let handle = self.daemon.as_ref().expect("a control host").handle();
        let decided = async {
            loop {
                match handle.replace_document(Arc::clone(&document)).await {
                    Some(ControlReply::DocumentDecided(_)) => return,
                    // No leader is elected yet.
                    _ => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, decided).await.expect("the document is accepted");
        self.hub.set_document(document);
        for entry in self.entry.iter().chain(&self.others) {
            let readiness = entry.readiness();
            let ready = async {
                while !readiness.is_ready() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::time::timeout(TEST_TIMEOUT, ready).await.expect("the entry is ready");
        }
    }

    /// Announces a target and waits until the entry knows it. A departure is confirmed only after the entry has applied
    /// all earlier changes, so the call then waits for the departure of a target that does not exist.
    pub async fn announce(&self, name: &str, service: &str, address: SocketAddr) {
        self.announce_as(name, service, address, 1, TargetPhase::Ready).await;
    }

    /// Reports that a target leaves.
    pub async fn depart(&self, name: &str) {
        let target = TargetId::new(name).expect("a name");
        self.hub.depart(TargetDeparture { target, started: Some(WallTime(1)) }).await;
    }

    /// Evacuates the failure domain of the targets, and waits until the entries know it.
    pub async fn evacuate(&self) {
        let domain = FailureDomain::new(TARGET_DOMAIN).expect("a domain");
        let mut evacuations = EvacuationState::default();
        evacuations.apply(EvacuationOrder { domain, action: EvacuationAction::Start });
        self.hub.set_evacuations(&evacuations);
        self.depart("nobody").await;
    }

    /// Announces a process of a target that started at this time, as [`Self::announce`] does.
    pub async fn announce_as(
        &self,
        name: &str,
        service: &str,
        address: SocketAddr,
        started: u64,
        phase: TargetPhase,
    ) {
        self.announce_cold(name, service, address, started, phase, Duration::ZERO).await;
    }

    /// Announces a process of a target that is cold for this time, as [`Self::announce`] does.
    pub async fn announce_cold(
        &self,
        name: &str,
        service: &str,
        address: SocketAddr,
        started: u64,
        phase: TargetPhase,
        cold: Duration,
    ) {
        let sequence = self.announcements.fetch_add(1, Ordering::SeqCst);
        let announcement = TargetAnnouncement {
            target: TargetId::new(name).expect("a name"),
            age: AnnouncementAge { started: WallTime(started), sequence },
            service: ServiceId::new(service).expect("a service"),
            address,
            domain: FailureDomain::new(TARGET_DOMAIN).expect("a domain"),
            slots: 2,
            phase,
            cold,
        };
        self.hub.announce(address.ip(), announcement).await;
        let absent = TargetId::new("nobody").expect("a name");
        let departure = TargetDeparture { target: absent, started: Some(WallTime(1)) };
        self.hub.depart(departure).await;
    }

    /// Sends bytes on a new connection and reads one response.
    pub async fn exchange(&self, request: &[u8]) -> CallerAnswer {
        let mut stream = TcpStream::connect(self.address).await.expect("connect to the entry");
        exchange_on(&mut stream, request).await
    }

    /// Sends bytes on a new connection to one entry, counted in the order of their start, and reads one response.
    pub async fn exchange_at(&self, entry: usize, request: &[u8]) -> CallerAnswer {
        let stream = TcpStream::connect(self.addresses[entry]).await;
        exchange_on(&mut stream.expect("connect to the entry"), request).await
    }

    /// Waits until the first entry knows `count` others and has fan-out links to all that usually send groups for it.
    pub async fn await_links(&self, count: usize) {
        await_links_of(self.entry.as_ref().expect("an entry"), count).await;
    }

    /// Waits until each entry knows all others and has fan-out links to all that usually send groups for it.
    pub async fn await_all_links(&self) {
        for entry in self.entry.iter().chain(&self.others) {
            await_links_of(entry, self.others.len()).await;
        }
    }

    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        if let Some(daemon) = self.daemon.take() {
            daemon.stop().await;
        }
    }
}

async fn await_links_of(entry: &GatewayEntry, count: usize) {
    let linked = async {
        loop {
            let known = entry.entry_list().open_entries().len();
            let counts = entry.fanout_counts();
            let is_linked = counts.links_missing == 0 && (count == 0 || counts.links_up > 0);
            if known > count && is_linked {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, linked).await.expect("fan-out links are up");
}

/// A response that a caller received.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl CallerAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends bytes on an open connection and reads one response.
pub async fn exchange_on(stream: &mut TcpStream, request: &[u8]) -> CallerAnswer {
    stream.write_all(request).await.expect("send a request");
    let read = read_answer(stream);
    tokio::time::timeout(TEST_TIMEOUT, read).await.expect("an answer in time")
}

async fn read_answer(stream: &mut TcpStream) -> CallerAnswer {
    let seen = read_request(stream).await.expect("a response");
    let status = seen.head.split(' ').nth(1).and_then(|text| text.parse().ok());
    CallerAnswer { status: status.expect("a status"), head: seen.head, body: seen.body }
}

pub fn route(prefix: &str, repeat: RepeatRule, destination: RouteDestination) -> RouteRule {
    RouteRule {
        name: format!("route {prefix}").into(),
        host: "search.example".into(),
        path_prefix: prefix.into(),
        repeat,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(4),
        priority: 1,
        destination,
        max_attempts: 2,
        public: false,
    }
}

pub fn to_service(name: &str) -> RouteDestination {
    RouteDestination::Service(ServiceId::new(name).expect("a service"))
}

pub fn to_shards(names: &[&str], minimum_share: f64) -> RouteDestination {
    let shards = names.iter().map(|name| ServiceId::new(*name).expect("a service")).collect();
    RouteDestination::Shards(ShardSpread { shards, result_limit: 3, minimum_share })
}

pub fn get(path: &str) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\nhs-deadline-ms: 6000\r\n\r\n"
    )
    .into_bytes()
}
