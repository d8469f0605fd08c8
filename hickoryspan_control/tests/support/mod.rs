//! Runs control replicas in the test process and sends HTTP requests to them.

#![allow(dead_code, reason = "each test binary uses a part of the module")]
#![allow(clippy::unwrap_used, reason = "a failed helper has to fail its test")]

pub mod relay;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_control::{ControlDaemon, ControlDaemonSettings, FolderRole, initialize_folder};
use hickoryspan_core::control::interface::{AdminAction, AdminCommand, AdminOutcome, StatusReport};
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{CommandId, OperatorId, SheetNumber};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection};
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::process::LogSettings;
use hickoryspan_sheet::{SheetReader, SheetRules};
use http::header::{AUTHORIZATION, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

pub const CREDENTIAL: &str = "credential-of-the-tests";
/// Maximum size of a request body that the replicas under test accept.
pub const BODY_BYTES: usize = 64 * 1024;
/// Number of attempts before a test fails instead of running forever. Far more than an election takes.
const MAX_ATTEMPTS: usize = 600;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);
const ANSWER_BYTES: usize = 1024 * 1024;

pub async fn start_replica(folder: &Path, addresses: [SocketAddr; 2], seed: u64) -> ControlDaemon {
    ControlDaemon::start(settings(folder, addresses, seed)).await.unwrap()
}

/// Starts a replica at the addresses that it had before. Retries, because another test may use a port for a while.
pub async fn restart_replica(
    folder: &Path,
    addresses: [SocketAddr; 2],
    seed: u64,
) -> ControlDaemon {
    for _ in 0..MAX_ATTEMPTS {
        match ControlDaemon::start(settings(folder, addresses, seed)).await {
            Ok(daemon) => return daemon,
            Err(_) => tokio::time::sleep(ATTEMPT_PAUSE).await,
        }
    }
    panic!("no start at {addresses:?} after {MAX_ATTEMPTS} attempts");
}

fn settings(folder: &Path, addresses: [SocketAddr; 2], seed: u64) -> ControlDaemonSettings {
    ControlDaemonSettings {
        data_folder: folder.to_owned(),
        initialize: None,
        peer_address: addresses[0],
        http_address: addresses[1],
        credential: SharedCredential::new(CREDENTIAL).unwrap(),
        limits: HttpLimits {
            body_bytes: BODY_BYTES,
            drain_time: Duration::from_secs(1),
            ..Default::default()
        },
        logs: LogSettings::default(),
        members: None,
        raft: Default::default(),
        handshakes: DEFAULT_HANDSHAKES,
        seed: Some(seed),
    }
}

pub fn ephemeral_addresses() -> [SocketAddr; 2] {
    [SocketAddr::from(([127, 0, 0, 1], 0)); 2]
}

/// Initializes a folder and starts the first replica of a new deployment in it.
pub async fn start_first_replica(folder: &Path, seed: u64) -> ControlDaemon {
    initialize_folder(folder, FolderRole::First).unwrap();
    start_replica(folder, ephemeral_addresses(), seed).await
}

pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    credential: Option<&str>,
    body: impl Into<Bytes>,
) -> anyhow::Result<HttpAnswer> {
    let mut request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    if let Some(credential) = credential {
        request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
    }
    let mut connection = HttpConnection::open(address, Duration::from_secs(5)).await?;
    let request = request.body(Full::new(body.into()))?;
    let answer = connection.send(request, ANSWER_BYTES).await;
    connection.close().await;
    Ok(answer?)
}

/// Sends a request to all addresses in turn until one of them decides it, since the leader may change meanwhile.
pub async fn send_until_decided<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> T {
    for _ in 0..MAX_ATTEMPTS {
        for address in addresses {
            let sent = send(*address, method.clone(), path, Some(CREDENTIAL), body.clone()).await;
            match sent {
                Ok(answer)
                    if answer.status.is_server_error()
                        || answer.status == StatusCode::TEMPORARY_REDIRECT => {}
                Ok(answer) => return serde_json::from_slice(&answer.body).unwrap(),
                Err(_) => {}
            }
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
    panic!("{path}: no decision from {addresses:?} after {MAX_ATTEMPTS} attempts");
}

pub async fn command(
    addresses: &[SocketAddr],
    operator: &str,
    id: &str,
    action: AdminAction,
) -> AdminOutcome {
    let command = AdminCommand {
        operator: OperatorId::new(operator).unwrap(),
        command: CommandId::new(id).unwrap(),
        action,
    };
    let body = serde_json::to_vec(&command).unwrap();
    send_until_decided(addresses, Method::POST, "/v1/admin/commands", body).await
}

pub async fn status(addresses: &[SocketAddr]) -> StatusReport {
    send_until_decided(addresses, Method::GET, "/v1/admin/status", Vec::new()).await
}

/// Requests the status until it meets the condition.
pub async fn await_status(
    addresses: &[SocketAddr],
    condition: impl Fn(&StatusReport) -> bool,
) -> StatusReport {
    let mut report = status(addresses).await;
    for _ in 0..MAX_ATTEMPTS {
        if condition(&report) {
            return report;
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
        report = status(addresses).await;
    }
    panic!("condition not met after {MAX_ATTEMPTS} attempts: {report:?}");
}

/// The example sheet with another number.
pub fn sheet(number: u64) -> SheetDocument {
    let text = include_bytes!("../../../docs/examples/sheet.csv");
    let sheet = SheetReader::new(SheetRules::default()).read(text).unwrap();
    SheetDocument { number: SheetNumber(number), ..sheet }
}

/// The example sheet with another number and date, so that its content differs.
pub fn dated_sheet(number: u64, date: &str) -> SheetDocument {
    SheetDocument { date: date.into(), ..sheet(number) }
}

pub fn apply(sheet: SheetDocument) -> AdminAction {
    AdminAction::ApplySheet { sheet: Arc::new(sheet), confirmed_removals: Vec::new() }
}
