//! Accepts the links of other hosts.

use std::time::Duration;

use hickoryspan_runtime::pending_link::{HandshakeLimit, PendingLink};
use hickoryspan_runtime::tasks::join_all;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the accepted connections, of which `handshakes` at most have not shown the credential. Once `stop` is cancelled
/// no further ones are accepted, and once `abort` is cancelled those that have not ended by themselves are closed. `port`
/// names the port in the log.
pub(crate) async fn serve_links<F>(
    listener: TcpListener,
    handshakes: usize,
    stop: CancellationToken,
    abort: CancellationToken,
    port: &'static str,
    serve: impl Fn(PendingLink) -> F,
) where
    F: Future<Output = anyhow::Result<()>> + Send + 'static,
{
    let handshakes = HandshakeLimit::new(handshakes);
    let mut links = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        while links.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let Some(pending) = handshakes.admit(stream) else { continue };
                let served = serve(pending);
                links.spawn(async move {
                    if let Err(error) = served.await {
                        spdlog::debug!("{} port: {:#}", port, error);
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("{} port: accept: {}", port, error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tokio::select! {
        () = join_all(&mut links) => {}
        () = abort.cancelled() => {}
    }
    links.shutdown().await;
}
