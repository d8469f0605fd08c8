//! Announces the target to the control replicas, renews the announcement and withdraws it on shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use hickoryspan_core::types::{IncarnationNumber, TargetId};
use hickoryspan_runtime::http_client::HttpConnection;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, LOCATION};
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::RngExt;
use serde::Serialize;

use crate::listener::StopTokens;
use crate::state::TargetState;

const ANNOUNCE_PATH: &str = "/v1/targets/announce";
const WITHDRAW_PATH: &str = "/v1/targets/withdraw";
/// Timeout for opening a connection to a control replica, and the same again for its response.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response from a control replica, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Maximum number of redirects followed in one call. The leader may change while a call is in progress.
const MAX_REDIRECTS: u32 = 3;
/// Initial back-off after a failure. It is doubled before each delay and reset after a success.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum back-off. It is short enough for several attempts within one lease.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct WithdrawBody<'a> {
    target: &'a TargetId,
    incarnation: IncarnationNumber,
}

/// Announces the target until shutdown, then withdraws it. An abrupt stop skips the withdrawal.
pub(crate) async fn run_announcer(
    state: Arc<TargetState>,
    advertised: SocketAddr,
    stop: StopTokens,
) {
    if state.settings.control_addresses.is_empty() {
        return;
    }
    let mut client = ControlClient { state, next_replica: 0, leader: None, connection: None };
    tokio::select! {
        biased;
        () = stop.abrupt.cancelled() => {}
        () = client.run(advertised, &stop) => {}
    }
    if let Some(connection) = client.connection.take() {
        connection.close().await;
    }
}

/// Client that sends the announcements of a target to the control replicas.
struct ControlClient {
    state: Arc<TargetState>,
    next_replica: usize,
    leader: Option<SocketAddr>,
    connection: Option<HttpConnection>,
}

impl ControlClient {
    async fn run(&mut self, advertised: SocketAddr, stop: &StopTokens) {
        let mut changes = self.state.watch_announcements();
        let mut backoff = MIN_BACKOFF;
        while !stop.graceful.is_cancelled() {
            changes.mark_unchanged();
            let delay = match self.announce(advertised).await {
                Ok(()) => {
                    backoff = MIN_BACKOFF;
                    self.state.settings.renewal
                }
                Err(error) => {
                    spdlog::warn!("announce target {}: {:#}", self.state.settings.target, error);
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    // Jitter prevents all targets from reconnecting at the same time after a leader is lost.
                    backoff.mul_f64(rand::rng().random_range(0.5..1.0))
                }
            };
            tokio::select! {
                () = stop.graceful.cancelled() => {}
                _ = changes.changed() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
        if let Err(error) = self.withdraw().await {
            spdlog::warn!("withdraw target {}: {:#}", self.state.settings.target, error);
        }
    }

    async fn announce(&mut self, advertised: SocketAddr) -> anyhow::Result<()> {
        if self.state.is_crashed() {
            return Ok(());
        }
        let record = self.state.to_record(advertised);
        self.call(ANNOUNCE_PATH, serde_json::to_vec(&record)?.into()).await
    }

    async fn withdraw(&mut self) -> anyhow::Result<()> {
        let incarnation = self.state.incarnation();
        let body = WithdrawBody { target: &self.state.settings.target, incarnation };
        let body = Bytes::from(serde_json::to_vec(&body)?);
        for _ in 1..self.state.settings.control_addresses.len() {
            if self.call(WITHDRAW_PATH, body.clone()).await.is_ok() {
                return Ok(());
            }
        }
        self.call(WITHDRAW_PATH, body).await
    }

    /// Sends a request and follows redirects to the leader.
    ///
    /// After a failure, the next call uses the next configured replica.
    async fn call(&mut self, path: &str, body: Bytes) -> anyhow::Result<()> {
        let mut result = Ok(Some(()));
        for _ in 0..=MAX_REDIRECTS {
            let address = self.address();
            result =
                self.exchange(address, path, body.clone()).await.map(|done| done.then_some(()));
            if !matches!(result, Ok(None)) {
                break;
            }
        }
        match result {
            Ok(Some(())) => Ok(()),
            Ok(None) => bail!("more than {MAX_REDIRECTS} redirects"),
            Err(error) => {
                self.leader = None;
                self.connection = None;
                self.next_replica += 1;
                Err(error)
            }
        }
    }

    fn address(&self) -> SocketAddr {
        let addresses = &self.state.settings.control_addresses;
        self.leader.unwrap_or_else(|| addresses[self.next_replica % addresses.len()])
    }

    /// Sends one request without following redirects.
    ///
    /// Returns `false` if the replica redirected to the leader, whose address is stored for the next request.
    async fn exchange(
        &mut self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<bool> {
        let mut request = Request::post(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(credential) = &self.state.settings.credential {
            request = request.header(AUTHORIZATION, credential.to_header());
        }
        let request = request.body(Full::new(body)).context("build the request")?;
        let mut connection = match self.connection.take() {
            Some(open) if open.peer() == address && !open.is_closed() => open,
            _ => HttpConnection::open(address, CONTROL_TIMEOUT)
                .await
                .with_context(|| format!("connect control: {address}"))?,
        };
        let answer =
            tokio::time::timeout(CONTROL_TIMEOUT, connection.send(request, MAX_RESPONSE_BYTES))
                .await
                .with_context(|| format!("call control: {address}{path}: timed out"))?
                .with_context(|| format!("call control: {address}{path}"))?;
        match answer.status {
            status if status.is_success() => {
                self.leader = Some(address);
                self.connection = Some(connection);
                Ok(true)
            }
            StatusCode::TEMPORARY_REDIRECT => {
                let location = answer.headers.get(LOCATION).and_then(|value| value.to_str().ok());
                let leader = location.and_then(parse_location);
                let leader = leader.with_context(|| {
                    format!("call control: {address}{path}: redirect without a valid location")
                })?;
                self.leader = Some(leader);
                Ok(false)
            }
            status => bail!(
                "call control: {address}{path}: status {status}: {}",
                String::from_utf8_lossy(&answer.body)
            ),
        }
    }
}

/// Parses the address in `http://address/path`; `None` if the host is not an IP address with a port.
fn parse_location(location: &str) -> Option<SocketAddr> {
    let uri: http::Uri = location.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}
