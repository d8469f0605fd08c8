//! An entry that takes groups of other entries and reacts to them as a test says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::support::{Deployment, TEST_TIMEOUT, credential};
use hickoryspan_core::gateway::membership::messages::{
    DirectoryRequest, DirectoryUpdate, EntryHost, LinkVersion,
};
use hickoryspan_core::types::{EntryId, FailureDomain};
use hickoryspan_gateway::{DirectoryLinks, DirectorySettings, KnownChanges, LinkHandler};
use hickoryspan_runtime::peer_link::PeerLink;
use serde::de::IgnoredAny;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// What the entry does with the first message on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReaction {
    /// It closes the link, as a stopping entry does that has not begun the task.
    Close,
    /// It drops the connection, as a process that ends suddenly.
    Drop,
    /// It answers nothing and keeps the link open, as a process that is stopped or cut off.
    Freeze,
}

/// A running peer. Dropping it closes its links.
pub struct ScriptedPeer {
    messages: Arc<AtomicUsize>,
    others: watch::Receiver<Vec<SocketAddr>>,
    // A link whose trigger is gone ends at once.
    _report_trigger: watch::Sender<u64>,
    _tasks: JoinSet<()>,
}

impl ScriptedPeer {
    pub async fn start(deployment: &Deployment, reaction: PeerReaction) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind the peer");
        let address = listener.local_addr().expect("the peer's address");
        let messages = Arc::new(AtomicUsize::new(0));
        let (other_sender, others) = watch::channel(Vec::new());
        let trigger = watch::Sender::new(0);
        let links = DirectoryLinks {
            hosts: deployment.hosts().clone(),
            own_address: None,
            settings: DirectorySettings::new(credential()),
            handler: Arc::new(PeerHandler { address, others: other_sender }),
            report_trigger: trigger.subscribe(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(links.run(CancellationToken::new()));
        tasks.spawn(serve(listener, reaction, Arc::clone(&messages)));
        Self { messages, others, _report_trigger: trigger, _tasks: tasks }
    }

    /// Opens a link to another entry, waiting until one is known.
    pub async fn connect(&self) -> PeerLink {
        let mut others = self.others.clone();
        let known = others.wait_for(|others| !others.is_empty());
        let known = tokio::time::timeout(TEST_TIMEOUT, known).await.expect("another entry");
        let address = known.expect("a running peer")[0];
        let link = PeerLink::connect(address, "/v1/fan-out", [], &credential()).await;
        link.expect("a link to the entry")
    }

    /// Returns the number of messages so far.
    pub fn messages(&self) -> usize {
        self.messages.load(Ordering::SeqCst)
    }
}

async fn serve(listener: TcpListener, reaction: PeerReaction, messages: Arc<AtomicUsize>) {
    let mut links = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        links.spawn(serve_link(stream, reaction, Arc::clone(&messages)));
    }
}

async fn serve_link(stream: TcpStream, reaction: PeerReaction, messages: Arc<AtomicUsize>) {
    let accepted = PeerLink::accept(stream, &credential()).await.expect("a link");
    // A link is closed when the sender of its messages is dropped.
    let (sender, outgoing) = mpsc::channel::<()>(1);
    let mut sender = Some(sender);
    let receive = |_: IgnoredAny| {
        messages.fetch_add(1, Ordering::SeqCst);
        match reaction {
            PeerReaction::Close => sender = None,
            PeerReaction::Drop => return false,
            PeerReaction::Freeze => {}
        }
        true
    };
    // The link may end in any way.
    let _ = accepted.link.run(outgoing, receive).await;
}

struct PeerHandler {
    address: SocketAddr,
    // Addresses at which the other entries take groups.
    others: watch::Sender<Vec<SocketAddr>>,
}

impl LinkHandler for PeerHandler {
    fn report(&self) -> DirectoryRequest {
        DirectoryRequest::Entry(EntryHost {
            entry: EntryId::new("peer").expect("a name"),
            caller_address: self.address,
            domain: FailureDomain::new("a").expect("a domain"),
            fanout_address: Some(self.address),
            open: true,
            lagging: false,
            link_version: LinkVersion::default(),
        })
    }

    fn news(&self, _host: SocketAddr, _known: &mut KnownChanges) -> Vec<DirectoryRequest> {
        Vec::new()
    }

    fn apply(&self, _from: SocketAddr, update: DirectoryUpdate) -> Option<DirectoryRequest> {
        if let DirectoryUpdate::Relays(peers) = update {
            let others = peers.into_iter().map(|peer| peer.address);
            self.others.send_replace(others.filter(|other| *other != self.address).collect());
        }
        None
    }

    fn on_link_up(&self, _from: SocketAddr, _queue: &mpsc::Sender<DirectoryRequest>) {}

    fn on_link_down(&self, _from: SocketAddr) {}
}
