//! Task that runs the link to a control replica.

use std::net::SocketAddr;

use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::EntryId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use tokio::sync::mpsc;
use xtra::Address;

use crate::controller::EntryController;

/// Path of the link's handshake, which identifies this process as an entry.
const ENTRY_PATH: &str = "/v1/entry";
/// Header of the handshake with the id of the entry.
const ENTRY_HEADER: &str = "hs-entry-id";
/// Capacity of the link's message queue in each direction. A full queue means that the receiving
/// side has stalled.
pub(crate) const LINK_QUEUE_CAPACITY: usize = 4096;

/// Sequence number of a link within the process, used to ignore reports of earlier links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkNumber(pub(crate) u64);

/// Change of a link or a message from control.
pub(crate) enum LinkEvent {
    Opened(SocketAddr),
    Message(Box<ControlMessage>),
    Closed,
}

/// Message from the task of a link to the controller.
pub(crate) struct LinkReport {
    pub(crate) link: LinkNumber,
    pub(crate) event: LinkEvent,
}

/// Parameters of a link to open.
pub(crate) struct LinkConfig {
    pub(crate) link: LinkNumber,
    pub(crate) address: SocketAddr,
    pub(crate) entry: EntryId,
    pub(crate) credential: SharedCredential,
}

/// Opens a link and exchanges messages until either side closes it. [`LinkEvent::Closed`] is always
/// the last report.
pub(crate) async fn run_link(
    config: LinkConfig,
    outgoing: mpsc::Receiver<EntryMessage>,
    controller: Address<EntryController>,
) {
    let link = config.link;
    if let Err(error) = exchange_messages(config, outgoing, &controller).await {
        spdlog::warn!("{:#}", error);
    }
    // Fails only during shutdown, when the report is no longer needed.
    let _ = controller.send(LinkReport { link, event: LinkEvent::Closed }).detach().await;
}

async fn exchange_messages(
    config: LinkConfig,
    outgoing: mpsc::Receiver<EntryMessage>,
    controller: &Address<EntryController>,
) -> anyhow::Result<()> {
    let LinkConfig { link, address, entry, credential } = config;
    let headers = [(ENTRY_HEADER, entry.to_string())];
    let peer = PeerLink::connect(address, ENTRY_PATH, headers, &credential).await?;
    let opened = LinkReport { link, event: LinkEvent::Opened(address) };
    drop(controller.send(opened).detach().await?);
    let (incoming, mut received) = mpsc::channel(LINK_QUEUE_CAPACITY);
    // The block owns the sender. When the link closes, the sender is dropped, so that `forward`
    // delivers the remaining messages and ends.
    let pump = async move {
        let handle = |message: ControlMessage| match incoming.try_send(message) {
            Ok(()) => true,
            Err(_) => {
                spdlog::warn!(
                    "closing the link to control at {}: more than {} messages are queued",
                    address,
                    LINK_QUEUE_CAPACITY
                );
                false
            }
        };
        peer.run(outgoing, handle).await
    };
    let forward = async {
        while let Some(message) = received.recv().await {
            let event = LinkEvent::Message(Box::new(message));
            if controller.send(LinkReport { link, event }).detach().await.is_err() {
                return;
            }
        }
    };
    let (ended, ()) = tokio::join!(pump, forward);
    ended
}
