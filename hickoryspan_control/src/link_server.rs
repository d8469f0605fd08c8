//! Accepts the links of entries and other replicas on the peer port.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, bail};
use hickoryspan_core::control::interface::{ControlEvent, LinkId};
use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::ReplicaId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::{AcceptedLink, PeerLink};
use hickoryspan_runtime::pending_link::{HandshakeLimit, PendingLink};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::actor::ControlInbox;
use crate::replica_links::{REPLICA_HEADER, REPLICA_PATH, ReplicaFrame};

/// Request path of entry links on the peer port.
const ENTRY_PATH: &str = "/v1/entry";
/// Maximum number of messages in the queue of one entry link. The link of a slower entry is closed; the entry
/// reconnects and resynchronizes.
pub(crate) const ENTRY_QUEUE_CAPACITY: usize = 256;
/// Maximum number of concurrent links, so that a flood of connections cannot exhaust file descriptors.
const MAX_LINKS: usize = 4096;
/// Maximum number of probe answers in the queue of one replica link.
const PROBE_QUEUE_CAPACITY: usize = 8;
/// Time without received frames after which a replica's link is closed. It spans many probe intervals. A dead link
/// would otherwise count towards `MAX_LINKS` forever.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the peer port.
pub(crate) struct LinkServer {
    pub(crate) listener: TcpListener,
    pub(crate) credential: SharedCredential,
    pub(crate) inbox: ControlInbox,
    /// Connections that have not shown the credential yet.
    pub(crate) handshakes: usize,
}

impl LinkServer {
    /// Runs until `stop` is cancelled, then closes all links and joins their tasks.
    pub(crate) async fn serve(self, stop: CancellationToken) {
        let mut links = JoinSet::new();
        let permits = Arc::new(Semaphore::new(MAX_LINKS));
        let handshakes = HandshakeLimit::new(self.handshakes);
        let next_link = Arc::new(AtomicU64::new(1));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            while links.try_join_next().is_some() {}
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    spdlog::warn!("peer port: accept: {}", error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                spdlog::warn!("peer port: limit of {} links reached, connection closed", MAX_LINKS);
                continue;
            };
            let Some(pending) = handshakes.admit(stream) else { continue };
            let link = LinkId(next_link.fetch_add(1, Ordering::Relaxed));
            let (credential, inbox) = (self.credential.clone(), self.inbox.clone());
            let stop = stop.clone();
            links.spawn(async move {
                let serve = serve_link(pending, link, &credential, &inbox);
                let ended = tokio::select! {
                    () = stop.cancelled() => Ok(()),
                    ended = serve => ended,
                };
                if let Err(error) = ended {
                    spdlog::info!("peer port: {:#}", error);
                }
                inbox.close_entry_link(link).await;
                drop(permit);
            });
        }
        while links.join_next().await.is_some() {}
    }
}

async fn serve_link(
    pending: PendingLink,
    link: LinkId,
    credential: &SharedCredential,
    inbox: &ControlInbox,
) -> anyhow::Result<()> {
    let accepted = pending.accept(credential).await?;
    match accepted.path.as_str() {
        REPLICA_PATH => serve_replica(accepted, inbox).await,
        ENTRY_PATH => serve_entry(accepted.link, link, inbox).await,
        path => bail!("{}: unknown path {path:?}", accepted.link.peer()),
    }
}

async fn serve_replica(accepted: AcceptedLink, inbox: &ControlInbox) -> anyhow::Result<()> {
    let peer = accepted.link.peer();
    let replica: ReplicaId = accepted
        .headers
        .get(REPLICA_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .with_context(|| format!("{peer}: header {REPLICA_HEADER} missing or wrong"))?;
    // Replication messages are answered over the link that this replica opens to the peer, probes over this one.
    let (sender, outgoing) = mpsc::channel(PROBE_QUEUE_CAPACITY);
    let (received, mut last_received) = watch::channel(());
    let receive = |frame| {
        received.send_replace(());
        match frame {
            ReplicaFrame::Replication(message) => {
                inbox.try_deliver(ControlEvent::Replica(replica, message))
            }
            ReplicaFrame::Probe(number) => {
                // If the queue is full, the answer is dropped: a later one covers all earlier probes.
                let _ = sender.try_send(ReplicaFrame::ProbeAnswer(number));
                true
            }
            ReplicaFrame::ProbeAnswer(_) => true,
        }
    };
    let idle = async {
        while let Ok(Ok(())) = tokio::time::timeout(RECEIVE_TIMEOUT, last_received.changed()).await
        {
        }
    };
    tokio::select! {
        ended = accepted.link.run(outgoing, receive) => ended,
        () = idle => bail!("{peer}: replica link: nothing received for {RECEIVE_TIMEOUT:?}"),
    }
}

async fn serve_entry(link: PeerLink, id: LinkId, inbox: &ControlInbox) -> anyhow::Result<()> {
    let (sender, outgoing) = mpsc::channel::<ControlMessage>(ENTRY_QUEUE_CAPACITY);
    inbox.open_entry_link(id, sender).await;
    let receive = |message: EntryMessage| inbox.try_deliver(ControlEvent::Entry(id, message));
    link.run(outgoing, receive).await
}
