//! Accepts directory links on a control host.

use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use hickoryspan_core::gateway::messages::DirectoryRequest;
use hickoryspan_runtime::peer_link::PeerLink;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::directory_hub::DirectoryHub;
use crate::directory_links::DIRECTORY_PATH;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of updates in the queue of one link. The link of a slower peer is closed; the peer reconnects and gets
/// the whole state again.
const QUEUE_CAPACITY: usize = 1024;

/// Serves the port for directory links.
pub struct DirectoryServer {
    /// The bound port.
    pub listener: TcpListener,
    /// The directory that all links share.
    pub hub: Arc<DirectoryHub>,
}

impl DirectoryServer {
    /// Runs until `stop` is cancelled, then closes all links.
    pub async fn run(self, stop: CancellationToken) {
        let mut links = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                () = self.hub.await_changes() => {
                    self.hub.send_changes();
                    continue;
                }
                accepted = self.listener.accept() => accepted,
            };
            while links.try_join_next().is_some() {}
            match accepted {
                Ok((stream, _)) => {
                    links.spawn(run_link(stream, Arc::clone(&self.hub)));
                }
                Err(error) => {
                    spdlog::warn!("directory port: accept: {}", error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        links.shutdown().await;
    }
}

async fn run_link(stream: TcpStream, hub: Arc<DirectoryHub>) {
    if let Err(error) = serve_link(stream, &hub).await {
        spdlog::debug!("directory port: {:#}", error);
    }
}

async fn serve_link(stream: TcpStream, hub: &Arc<DirectoryHub>) -> anyhow::Result<()> {
    let settings = hub.settings().clone();
    let accepted = PeerLink::accept(stream, &settings.credential).await?;
    let peer = accepted.link.peer();
    if accepted.path != DIRECTORY_PATH {
        bail!("{peer}: unknown path {:?}", accepted.path);
    }
    let (queue, outgoing) = mpsc::channel(QUEUE_CAPACITY);
    let link = hub.open_link(queue);
    let (received, mut last_received) = watch::channel(());
    let receive = |request: DirectoryRequest| {
        received.send_replace(());
        hub.handle_request(link.number(), request);
        true
    };
    let limit = settings.receive_timeout;
    let idle = async {
        while let Ok(Ok(())) = tokio::time::timeout(limit, last_received.changed()).await {}
    };
    tokio::select! {
        ended = accepted.link.run(outgoing, receive) => ended,
        () = idle => bail!("{peer}: nothing received for {limit:?}"),
    }
}
