//! The link to one control replica.

use std::net::SocketAddr;

use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::EntryId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use tokio::sync::mpsc;
use xtra::Address;

use crate::controller::EntryController;

/// The path that names the role of this side.
const ENTRY_PATH: &str = "/v1/entry";
/// The header that names the entry.
const ENTRY_HEADER: &str = "hs-entry-id";
/// Messages that may wait for the link in each direction; a longer queue means that the other side is stuck.
pub(crate) const LINK_QUEUE: usize = 4096;

/// Counts the links of a process, so that reports of an earlier link are told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkNumber(pub(crate) u64);

/// What happened on a link.
pub(crate) enum LinkNotice {
    Opened(SocketAddr),
    Message(Box<ControlMessage>),
    Closed,
}

/// A message from a link's task to the controller.
pub(crate) struct LinkReport {
    pub(crate) link: LinkNumber,
    pub(crate) notice: LinkNotice,
}

/// A link that is to be opened.
pub(crate) struct LinkPlan {
    pub(crate) link: LinkNumber,
    pub(crate) address: SocketAddr,
    pub(crate) entry: EntryId,
    pub(crate) credential: SharedCredential,
}

/// Opens a link and carries messages until either side ends it; the end is reported last.
pub(crate) async fn run_link(
    plan: LinkPlan,
    outgoing: mpsc::Receiver<EntryMessage>,
    controller: Address<EntryController>,
) {
    let link = plan.link;
    if let Err(error) = carry_messages(plan, outgoing, &controller).await {
        spdlog::warn!("{:#}", error);
    }
    // Only a stop makes this fail, and then nobody needs the report.
    let _ = controller.send(LinkReport { link, notice: LinkNotice::Closed }).detach().await;
}

async fn carry_messages(
    plan: LinkPlan,
    outgoing: mpsc::Receiver<EntryMessage>,
    controller: &Address<EntryController>,
) -> anyhow::Result<()> {
    let LinkPlan { link, address, entry, credential } = plan;
    let headers = [(ENTRY_HEADER, entry.to_string())];
    let peer = PeerLink::connect(address, ENTRY_PATH, headers, &credential).await?;
    let opened = LinkReport { link, notice: LinkNotice::Opened(address) };
    drop(controller.send(opened).detach().await?);
    let (incoming, mut received) = mpsc::channel(LINK_QUEUE);
    // The block owns the sending half, so that `forward` hands over what arrived before the link ended, and ends.
    let pump = async move {
        let handle = |message: ControlMessage| match incoming.try_send(message) {
            Ok(()) => true,
            Err(_) => {
                spdlog::warn!("control link: {}: more than {} messages wait", address, LINK_QUEUE);
                false
            }
        };
        peer.run(outgoing, handle).await
    };
    let forward = async {
        while let Some(message) = received.recv().await {
            let notice = LinkNotice::Message(Box::new(message));
            if controller.send(LinkReport { link, notice }).detach().await.is_err() {
                return;
            }
        }
    };
    let (ended, ()) = tokio::join!(pump, forward);
    ended
}
