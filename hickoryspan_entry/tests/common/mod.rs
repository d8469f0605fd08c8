//! Test fixtures over loopback sockets: a fake control replica, targets of the crate
//! `hickoryspan_target`, entry daemons and a caller.

#![allow(dead_code, reason = "not every test file uses every helper")]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::membership::{
    EntryRecord, MembershipView, PartitionRecord, ServiceKey, TargetRecord, ViewChange,
};
use hickoryspan_core::messages::{
    ClaimKey, ClaimState, ClaimVerdict, ControlMessage, EntryMessage, EntryRegistration,
    LookupVerdict,
};
use hickoryspan_core::sheet::{
    CallerSpec, ClassSpec, CompletionPolicy, SearchSpec, ServiceKind, ServiceSpec, ShardScope,
    SheetDocument, TenantSheet,
};
use hickoryspan_core::types::{
    ConnectionCount, CostRate, CostUnits, CoverageShare, DocumentCount, KeyRange, OrdinalNumber,
    RevisionNumber, SheetNumber, SnapshotVersion,
};
use hickoryspan_entry::{EntryDaemon, EntryDaemonSettings, EntryHandle};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection};
use hickoryspan_runtime::peer_link::PeerLink;
use hickoryspan_target::settings::TargetSettings;
use hickoryspan_target::{TargetHandle, TargetServer};
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

pub const TENANT: &str = "quindio";
pub const SNAPSHOT: SnapshotVersion = SnapshotVersion(7);
pub const SEED: u64 = 7;
/// Timeout that ends a test that hangs. No test result depends on its value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

pub fn credential() -> SharedCredential {
    SharedCredential::new("a-credential-for-tests").unwrap()
}

/// Returns a sheet with a sharded service, a single service for orders, and two classes.
pub fn sheet(deadline: Duration) -> SheetDocument {
    let class = |priority, policy| ClassSpec {
        priority,
        deadline,
        policy,
        coverage_floor: CoverageShare::FULL,
    };
    let search = |service: &str, idempotent| SearchSpec {
        service: service.parse().unwrap(),
        scope: ShardScope::All,
        weight: CostUnits(1.0),
        idempotent,
    };
    let caller = CallerSpec { rate: CostRate(1e6), burst: CostUnits(1e6) };
    let tenant = TenantSheet {
        services: BTreeMap::from([
            ("history".parse().unwrap(), ServiceSpec { kind: ServiceKind::Sharded }),
            ("press".parse().unwrap(), ServiceSpec { kind: ServiceKind::Single }),
        ]),
        searches: BTreeMap::from([
            ("find".parse().unwrap(), search("history", true)),
            ("print".parse().unwrap(), search("press", false)),
        ]),
        callers: BTreeMap::from([("console".parse().unwrap(), caller)]),
        classes: BTreeMap::from([
            ("phone".parse().unwrap(), class(9, CompletionPolicy::DeadlineFirst)),
            ("thorough".parse().unwrap(), class(1, CompletionPolicy::CoverageFirst)),
        ]),
    };
    SheetDocument {
        number: SheetNumber(1),
        date: "2026-12-04".into(),
        tenants: BTreeMap::from([(TENANT.parse().unwrap(), tenant)]),
    }
}

/// Returns the partition of one of `count` equal shards. The number of documents grows with the
/// index.
pub fn partition(index: u32, count: u32) -> PartitionRecord {
    PartitionRecord {
        snapshot: SNAPSHOT,
        shard: format!("s{index:03}").parse().unwrap(),
        range: KeyRange::split_evenly(count)[index as usize],
        documents: DocumentCount(100 + u64::from(index)),
    }
}

/// Starts a target of the sharded service with one partition.
pub async fn start_shard(index: u32, count: u32, settings: TargetSettings) -> TargetHandle {
    start_target(&format!("t{index:03}"), "history", partition(index, count), settings).await
}

/// Starts a target of the single service, which runs orders.
pub async fn start_press() -> TargetHandle {
    start_target("press-1", "press", single_partition(), TargetSettings::default()).await
}

/// Returns the only partition of the single service, which covers all keys.
pub fn single_partition() -> PartitionRecord {
    PartitionRecord {
        snapshot: SNAPSHOT,
        shard: "all".parse().unwrap(),
        range: KeyRange::FULL,
        documents: DocumentCount(1),
    }
}

pub async fn start_target(
    name: &str,
    service: &str,
    partition: PartitionRecord,
    settings: TargetSettings,
) -> TargetHandle {
    let settings = TargetSettings {
        target: name.parse().unwrap(),
        tenant: TENANT.parse().unwrap(),
        service: service.parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        credential: Some(credential()),
        connections: ConnectionCount(64),
        partitions: vec![partition],
        ..settings
    };
    TargetServer::start(settings).await.unwrap()
}

/// Returns a view at revision 1 with the given targets and with the manifests of their partitions.
pub fn view(targets: impl IntoIterator<Item = TargetRecord>, deadline: Duration) -> MembershipView {
    let mut view = MembershipView::default();
    let mut changes = vec![ViewChange::PutSheet(Arc::new(sheet(deadline)))];
    for record in targets {
        let key = ServiceKey { tenant: record.tenant.clone(), service: record.service.clone() };
        for partition in &record.partitions {
            changes.push(ViewChange::PutPartition(key.clone(), partition.clone()));
        }
        changes.push(ViewChange::PutTarget(record));
    }
    view.apply(RevisionNumber(1), changes);
    view
}

#[derive(Default)]
struct ControlState {
    claims: HashMap<ClaimKey, ClaimState>,
    released: bool,
}

/// Fake control that answers entries like the leader of the replicas, but without replication.
pub struct FakeControl {
    pub address: SocketAddr,
    view: Arc<Mutex<MembershipView>>,
    state: Arc<Mutex<ControlState>>,
    publish: watch::Sender<u64>,
    /// Counter that is incremented to drop all links.
    link_drops: watch::Sender<u64>,
    tasks: JoinSet<()>,
}

impl FakeControl {
    pub async fn start(view: MembershipView) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let view = Arc::new(Mutex::new(view));
        let publish = watch::Sender::new(0);
        let link_drops = watch::Sender::new(0);
        let mut tasks = JoinSet::new();
        let state = Arc::new(Mutex::new(ControlState::default()));
        tasks.spawn(run_control(
            listener,
            Arc::clone(&state),
            Arc::clone(&view),
            publish.clone(),
            link_drops.clone(),
        ));
        Self { address, view, state, publish, link_drops, tasks }
    }

    /// Applies changes and sends the full view to the connected entries.
    pub fn publish(&self, changes: Vec<ViewChange>) {
        {
            let mut view = self.view.lock().unwrap();
            let next = view.revision.next();
            view.apply(next, changes);
        }
        self.publish.send_modify(|count| *count += 1);
    }

    /// Returns the revision of the view. Each new link increments it.
    pub fn revision(&self) -> RevisionNumber {
        self.view.lock().unwrap().revision
    }

    /// Returns whether an entry has released its ordinal.
    pub fn has_released(&self) -> bool {
        self.state.lock().unwrap().released
    }

    /// Closes all links to entries. The entries may reconnect.
    pub fn drop_links(&self) {
        self.link_drops.send_modify(|count| *count += 1);
    }

    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn run_control(
    listener: TcpListener,
    state: Arc<Mutex<ControlState>>,
    view: Arc<Mutex<MembershipView>>,
    publish: watch::Sender<u64>,
    link_drops: watch::Sender<u64>,
) {
    let mut links = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        // Entries with a wrong credential are rejected.
        let Ok(accepted) = PeerLink::accept(stream, &credential()).await else { continue };
        let link = accepted.link;
        let mut dropped = link_drops.subscribe();
        let (view, state) = (Arc::clone(&view), Arc::clone(&state));
        let mut published = publish.subscribe();
        published.mark_unchanged();
        links.spawn(async move {
            let (sender, outgoing) = mpsc::channel(1024);
            let answers = sender.clone();
            let view_in_link = Arc::clone(&view);
            let pump = link.run(outgoing, move |message: EntryMessage| {
                for answer in answer(&state, &view_in_link, message) {
                    answers.try_send(answer).unwrap();
                }
                true
            });
            let push = async {
                while published.changed().await.is_ok() {
                    let view = view.lock().unwrap().clone();
                    sender.send(ControlMessage::View(Box::new(view))).await.unwrap();
                }
            };
            tokio::select! {
                _ = pump => {}
                () = push => {}
                _ = dropped.changed() => {}
            }
        });
    }
}

fn answer(
    state: &Mutex<ControlState>,
    view: &Mutex<MembershipView>,
    message: EntryMessage,
) -> Vec<ControlMessage> {
    let mut state = state.lock().unwrap();
    match message {
        EntryMessage::Hello { registration, .. } => {
            let view = welcome_view(&mut view.lock().unwrap(), &registration);
            vec![ControlMessage::Welcome {
                ordinal: OrdinalNumber(0),
                max_ordinals: 1,
                idle: std::time::Duration::ZERO,
                view: Box::new(view),
            }]
        }
        EntryMessage::Renew { sequence, draining, .. } => {
            let mut view = view.lock().unwrap();
            let renewed = ControlMessage::Renewed {
                sequence,
                lease: Duration::from_secs(60),
                committed: view.revision,
                shares: Vec::new(),
                share_lease: Duration::from_secs(60),
            };
            let drained = draining.then(|| mark_entries_draining(&mut view)).flatten();
            [renewed].into_iter().chain(drained).collect()
        }
        EntryMessage::Resync => vec![ControlMessage::View(Box::new(view.lock().unwrap().clone()))],
        EntryMessage::Claim { token, key, .. } => {
            let verdict = match state.claims.get(&key) {
                Some(existing) => ClaimVerdict::Existing(existing.clone()),
                None => {
                    let open = ClaimState::Open {
                        entry: "e1".parse().unwrap(),
                        incarnation: Default::default(),
                    };
                    state.claims.insert(key, open);
                    ClaimVerdict::Granted
                }
            };
            vec![ControlMessage::ClaimAnswer { token, verdict }]
        }
        EntryMessage::Settle { key, outcome } => {
            state.claims.insert(key.clone(), ClaimState::Settled(outcome));
            vec![ControlMessage::Settled(key)]
        }
        EntryMessage::Lookup { token, key } => {
            let verdict = match state.claims.get(&key) {
                Some(found) => LookupVerdict::Found(found.clone()),
                None => LookupVerdict::Absent,
            };
            vec![ControlMessage::LookupAnswer { token, verdict, fingerprint: None }]
        }
        EntryMessage::Release => {
            state.released = true;
            Vec::new()
        }
        EntryMessage::ReportCrash { .. } | EntryMessage::ClearSuspect(_) => Vec::new(),
    }
}

/// Marks all entries as draining. Returns the changed view, or `None` if they are already draining.
fn mark_entries_draining(view: &mut MembershipView) -> Option<ControlMessage> {
    let records = view.entries.values().flat_map(|incarnations| incarnations.values());
    let serving = records.filter(|record| !record.draining);
    let changes: Vec<ViewChange> = serving
        .map(|record| ViewChange::PutEntry(EntryRecord { draining: true, ..record.clone() }))
        .collect();
    if changes.is_empty() {
        return None;
    }
    let next = view.revision.next();
    view.apply(next, changes);
    Some(ControlMessage::View(Box::new(view.clone())))
}

fn welcome_view(view: &mut MembershipView, registration: &EntryRegistration) -> MembershipView {
    let record = EntryRecord {
        entry: registration.entry.clone(),
        incarnation: registration.incarnation,
        caller_address: registration.caller_address,
        failure_domain: registration.failure_domain.clone(),
        ordinal: OrdinalNumber(0),
        draining: false,
    };
    let next = view.revision.next();
    view.apply(next, [ViewChange::PutEntry(record)]);
    view.clone()
}

/// Starts an entry daemon that connects to `control`.
pub async fn start_entry(control: &FakeControl) -> EntryHandle {
    start_entry_with(control, |settings| settings).await
}

pub async fn start_entry_with(
    control: &FakeControl,
    change: impl Fn(EntryDaemonSettings) -> EntryDaemonSettings,
) -> EntryHandle {
    let settings = EntryDaemonSettings {
        entry: "e1".parse().unwrap(),
        control_addresses: vec![control.address],
        seed: Some(SEED),
        ..EntryDaemonSettings::with_credential(credential())
    };
    EntryDaemon::start(change(settings)).await.unwrap()
}

/// Answer of an entry: HTTP status and JSON body.
pub struct CallerAnswer {
    pub status: u16,
    pub body: Value,
}

impl CallerAnswer {
    fn new(answer: &HttpAnswer) -> Self {
        let body = serde_json::from_slice(&answer.body)
            .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&answer.body)));
        Self { status: answer.status.as_u16(), body }
    }

    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// Returns the headers of a valid search request.
pub fn caller_headers() -> Vec<(&'static str, String)> {
    vec![
        ("hs-tenant", TENANT.to_owned()),
        ("hs-caller", "console".to_owned()),
        ("hs-class", "phone".to_owned()),
    ]
}

pub async fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::open(address, TEST_TIMEOUT).await.unwrap()
}

pub fn build_request(
    method: &str,
    path: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path).header("host", "entry");
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap()
}

/// Sends one request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> CallerAnswer {
    let mut connection = connect(address).await;
    let request = build_request(method, path, headers, body);
    let sent = connection.send(request, ANSWER_BYTES);
    let answer = tokio::time::timeout(TEST_TIMEOUT, sent).await.unwrap().unwrap();
    connection.close().await;
    CallerAnswer::new(&answer)
}

pub async fn search(address: SocketAddr, query: &str) -> CallerAnswer {
    let body = format!(r#"{{"search":"find","query":{query}}}"#);
    call(address, "POST", "/v1/search", &caller_headers(), &body).await
}

/// Sends raw bytes and returns everything that is received until the peer closes the connection.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // The result is ignored, because a reset closes the connection too.
    let _ = tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("the connection was not closed in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the headers of an order that is issued now.
pub fn order_headers(request: &str) -> Vec<(&'static str, String)> {
    let mut headers = caller_headers();
    headers.push(("hs-request-id", request.to_owned()));
    headers.push(("hs-issued-at", hickoryspan_runtime::clock::wall_time().to_string()));
    headers
}

pub async fn order(address: SocketAddr, headers: &[(&'static str, String)]) -> CallerAnswer {
    let body = r#"{"order":"print","content":{"trays":12}}"#;
    call(address, "POST", "/v1/orders", headers, body).await
}

/// Waits until the entry is ready and has a connection to each target.
pub async fn wait_ready<'a>(
    entry: &EntryHandle,
    targets: impl IntoIterator<Item = &'a TargetHandle>,
) {
    let ready = async {
        while admin_get(entry.admin_address(), "/readyz").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        for target in targets {
            while target.open_connections() == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, ready)
        .await
        .expect("the entry did not become ready in time");
}

/// Sends a GET request with the credential and returns the status and the text.
pub async fn admin_get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut connection = connect(address).await;
    let headers = [("authorization", credential().to_header())];
    let request = build_request("GET", path, &headers, "");
    let answer = connection.send(request, ANSWER_BYTES).await.unwrap();
    connection.close().await;
    (answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned())
}

/// Returns the records of the targets, for [`view`].
pub fn records<'a>(targets: impl IntoIterator<Item = &'a TargetHandle>) -> Vec<TargetRecord> {
    targets.into_iter().map(TargetHandle::to_record).collect()
}

pub async fn stop_all(targets: Vec<TargetHandle>) {
    for target in targets {
        target.stop().await;
    }
}
