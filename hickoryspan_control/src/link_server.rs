//! Accepts links from entries and other replicas on the peer port.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, bail};
use hickoryspan_core::control::interface::{ControlEvent, LinkId};
use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::ReplicaId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::{AcceptedLink, PeerLink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::actor::ControlInbox;
use crate::replica_links::{REPLICA_HEADER, REPLICA_PATH, ReplicaFrame};

/// Path that an entry asks for on the peer port.
const ENTRY_PATH: &str = "/v1/entry";
/// Messages that may wait for one entry; a slower entry loses its link and asks again.
pub(crate) const ENTRY_QUEUE_MESSAGES: usize = 256;
/// Links at the same time, so that a flood of connections cannot exhaust file descriptors.
const MAX_LINKS: usize = 4096;
/// Answers to probes that may wait on one link.
const PROBE_ANSWERS: usize = 8;
/// Silence after which a replica's link is dropped, many probe intervals; it would hold one of the links for ever.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of file descriptors does not spin the processor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the peer port.
pub(crate) struct LinkServer {
    pub(crate) listener: TcpListener,
    pub(crate) credential: SharedCredential,
    pub(crate) inbox: ControlInbox,
}

impl LinkServer {
    /// Serves until `stop` is cancelled, then ends all links and joins their tasks.
    pub(crate) async fn serve(self, stop: CancellationToken) {
        let mut links = JoinSet::new();
        let permits = Arc::new(Semaphore::new(MAX_LINKS));
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
                spdlog::warn!("peer port: more than {} links", MAX_LINKS);
                continue;
            };
            let link = LinkId(next_link.fetch_add(1, Ordering::Relaxed));
            let (credential, inbox) = (self.credential.clone(), self.inbox.clone());
            let stop = stop.clone();
            links.spawn(async move {
                let serve = serve_link(stream, link, &credential, &inbox);
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
    stream: TcpStream,
    link: LinkId,
    credential: &SharedCredential,
    inbox: &ControlInbox,
) -> anyhow::Result<()> {
    let accepted = PeerLink::accept(stream, credential).await?;
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
    // Replication is answered over the link that this replica opens to the other one; probes over this one.
    let (sender, outgoing) = mpsc::channel(PROBE_ANSWERS);
    let (heard, mut last_heard) = watch::channel(());
    let receive = |frame| {
        heard.send_replace(());
        match frame {
            ReplicaFrame::Replication(message) => {
                inbox.try_deliver(ControlEvent::Replica(replica, message))
            }
            ReplicaFrame::Probe(number) => {
                // An answer that finds no room is covered by the next one.
                let _ = sender.try_send(ReplicaFrame::ProbeAnswer(number));
                true
            }
            ReplicaFrame::ProbeAnswer(_) => true,
        }
    };
    let silence = async {
        while let Ok(Ok(())) = tokio::time::timeout(MAX_SILENCE, last_heard.changed()).await {}
    };
    tokio::select! {
        ended = accepted.link.run(outgoing, receive) => ended,
        () = silence => bail!("{peer}: replica link: nothing received for {MAX_SILENCE:?}"),
    }
}

async fn serve_entry(link: PeerLink, id: LinkId, inbox: &ControlInbox) -> anyhow::Result<()> {
    let (sender, outgoing) = mpsc::channel::<ControlMessage>(ENTRY_QUEUE_MESSAGES);
    inbox.open_entry_link(id, sender).await;
    let receive = |message: EntryMessage| inbox.try_deliver(ControlEvent::Entry(id, message));
    link.run(outgoing, receive).await
}
