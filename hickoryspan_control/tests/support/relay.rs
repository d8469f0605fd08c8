//! A TCP relay that can stall its open connections while new ones work.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

pub struct StallingRelay {
    pub address: SocketAddr,
    stalled: watch::Sender<()>,
    _task: AbortOnDropHandle<()>,
}

impl StallingRelay {
    /// Starts a relay on a free port that forwards connections to `upstream`.
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stalled, changes) = watch::channel(());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, upstream, changes.clone()));
            }
        });
        Self { address, stalled, _task: AbortOnDropHandle::new(task) }
    }

    /// Stops forwarding on all open connections without closing them.
    pub fn stall_open_connections(&self) {
        self.stalled.send_replace(());
    }
}

async fn forward(mut client: TcpStream, upstream: SocketAddr, mut stalled: watch::Receiver<()>) {
    stalled.mark_unchanged();
    let Ok(mut server) = TcpStream::connect(upstream).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        _ = stalled.changed() => std::future::pending().await,
    }
}
