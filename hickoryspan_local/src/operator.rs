//! Client for sending operators' commands to the control replica of a local deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use hickoryspan_core::control::interface::{AdminAction, AdminCommand, AdminOutcome, StatusReport};
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection};
use http::header::{AUTHORIZATION, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// Timeout for opening a connection on the loopback interface.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client for the administration API of one control replica.
#[derive(Clone)]
pub struct LocalOperator {
    address: SocketAddr,
    credential: SharedCredential,
}

impl LocalOperator {
    /// Creates a client for the replica at this HTTP address.
    pub fn new(address: SocketAddr, credential: SharedCredential) -> Self {
        Self { address, credential }
    }

    async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> anyhow::Result<HttpAnswer> {
        let error_context = || format!("{method} {path}: control {}", self.address);
        let mut connection = HttpConnection::open(self.address, CONNECT_TIMEOUT)
            .await
            .with_context(error_context)?;
        let request = Request::builder()
            .method(method.clone())
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(AUTHORIZATION, self.credential.to_header())
            .body(Full::new(Bytes::from(body)))
            .with_context(error_context)?;
        let answer = connection.send(request, MAX_RESPONSE_BYTES).await.with_context(error_context);
        connection.close().await;
        answer
    }

    /// Runs a command and returns the outcome that control recorded for it.
    ///
    /// # Errors
    ///
    /// Fails if the replica cannot be reached or the command is not decided in time.
    pub async fn run(&self, command: &AdminCommand) -> anyhow::Result<AdminOutcome> {
        let body = serde_json::to_vec(command).context("encode command")?;
        let answer = self.send(Method::POST, "/v1/admin/commands", body).await?;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            bail!("run command {}: control {}: not decided in time", command.command, self.address);
        }
        serde_json::from_slice(&answer.body).with_context(|| {
            format!("run command {}: {}", command.command, String::from_utf8_lossy(&answer.body))
        })
    }

    /// Applies a sheet with the given command id and without confirmed removals.
    pub async fn apply_sheet(
        &self,
        command: &str,
        sheet: Arc<SheetDocument>,
    ) -> anyhow::Result<AdminOutcome> {
        let action = AdminAction::ApplySheet { sheet, confirmed_removals: Vec::new() };
        let command =
            AdminCommand { operator: "local".parse()?, command: command.parse()?, action };
        self.run(&command).await
    }

    /// Returns the status that the control replica reports.
    pub async fn status(&self) -> anyhow::Result<StatusReport> {
        let answer = self.send(Method::GET, "/v1/admin/status", Vec::new()).await?;
        if answer.status != StatusCode::OK {
            bail!("read status: control {}: status {}", self.address, answer.status);
        }
        serde_json::from_slice(&answer.body).context("decode status")
    }
}
