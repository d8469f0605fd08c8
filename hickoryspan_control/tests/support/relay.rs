//! A relay whose open connections can go silent while new ones work.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

pub struct SilentRelay {
    pub address: SocketAddr,
    silenced: watch::Sender<()>,
    _task: AbortOnDropHandle<()>,
}

impl SilentRelay {
    /// Forwards connections to `upstream`.
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (silenced, changes) = watch::channel(());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, upstream, changes.clone()));
            }
        });
        Self { address, silenced, _task: AbortOnDropHandle::new(task) }
    }

    /// From now on the open connections carry nothing more and stay open.
    pub fn silence_open_connections(&self) {
        self.silenced.send_replace(());
    }
}

async fn forward(mut near: TcpStream, upstream: SocketAddr, mut silenced: watch::Receiver<()>) {
    silenced.mark_unchanged();
    let Ok(mut far) = TcpStream::connect(upstream).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        _ = silenced.changed() => std::future::pending().await,
    }
}
