//! Accepts directory links on a control host.

use std::sync::Arc;

use anyhow::bail;
use hickoryspan_core::gateway::membership::messages::DirectoryRequest;
use hickoryspan_runtime::pending_link::PendingLink;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::directory_hub::DirectoryHub;
use crate::directory_links::DIRECTORY_PATH;
use crate::link_listener::serve_links;

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
        let Self { listener, hub } = self;
        let changes = async {
            loop {
                hub.await_changes().await;
                hub.send_changes();
            }
        };
        let handshakes = hub.settings().handshakes;
        let links = serve_links(listener, handshakes, stop.clone(), stop, "directory", |pending| {
            serve_link(pending, Arc::clone(&hub))
        });
        tokio::select! {
            () = links => {}
            () = changes => {}
        }
    }
}

async fn serve_link(pending: PendingLink, hub: Arc<DirectoryHub>) -> anyhow::Result<()> {
    let settings = hub.settings().clone();
    let accepted = pending.accept(&settings.credential).await?;
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
        ended = accepted.link.run_encoded(outgoing, receive) => ended,
        () = idle => bail!("{peer}: nothing received for {limit:?}"),
    }
}
