//! Connections to a port for links whose peers have not shown the credential yet.
//!
//! Strangers can open such connections too, so their number is limited. For further ones, those are ended that have waited
//! for longest, of the address that has most.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::bail;
use tokio::net::{TcpListener, TcpStream};

use crate::bounded_socket;
use crate::caller_budget::{CallerAccount, CallerBudget, CallerBudgetSettings};
use crate::credential::SharedCredential;
use crate::peer_link::{AcceptedLink, PeerLink};

/// Number of handshakes at one port, for processes whose settings state none. More than all replicas and entries of a
/// deployment that start at the same time.
pub const DEFAULT_HANDSHAKES: usize = 512;

/// Size of the kernel's receive buffer of a connection until its handshake has ended, in bytes. Handshakes are smaller, and
/// strangers may fill it before they are accepted.
const HANDSHAKE_BUFFER_BYTES: u32 = 4 * 1024;
/// Size of the kernel's receive buffer of a link that was accepted, in bytes. The kernel cannot use more, because it has
/// announced the range of its window with the smaller buffer.
const LINK_BUFFER_BYTES: usize = 64 * 1024;

/// Binds a port for links.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bounded_socket::listen(address, HANDSHAKE_BUFFER_BYTES)
}

/// The room for handshakes at one port.
pub struct HandshakeLimit(Arc<CallerBudget>);

impl HandshakeLimit {
    /// Creates the room for this many handshakes at the same time.
    pub fn new(handshakes: usize) -> Self {
        let settings =
            CallerBudgetSettings { connections: handshakes.max(1), ..Default::default() };
        Self(CallerBudget::new(settings))
    }

    /// Admits a connection; `None` if it is to be closed, because others are still being ended.
    pub fn admit(&self, stream: TcpStream) -> Option<PendingLink> {
        let account = self.0.open(stream.peer_addr().ok()?)?;
        Some(PendingLink { stream, account })
    }
}

/// A connection that counts towards the limit until its handshake has ended.
pub struct PendingLink {
    stream: TcpStream,
    account: Arc<CallerAccount>,
}

impl PendingLink {
    /// Accepts the link as [`PeerLink::accept`] does, unless its room is needed before.
    pub async fn accept(self, credential: &SharedCredential) -> anyhow::Result<AcceptedLink> {
        let Self { stream, account } = self;
        tokio::select! {
            biased;
            accepted = PeerLink::accept(stream, credential) => {
                let accepted = accepted?;
                accepted.link.set_receive_buffer(LINK_BUFFER_BYTES)?;
                Ok(accepted)
            }
            () = account.evicted() => bail!("accept peer link: ended to make room"),
        }
    }
}
