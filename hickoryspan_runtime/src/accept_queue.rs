//! The connections that wait to be accepted when a port is closed.

use tokio::net::{TcpListener, TcpStream};

/// A port that is being closed. It yields the connections that the system has established and that nobody has accepted:
/// closing the port resets them, also if their peers have sent requests already.
pub struct AcceptQueue {
    // `None` if the listener could not be taken from the runtime.
    listener: Option<std::net::TcpListener>,
}

impl AcceptQueue {
    /// Takes the listener, which is closed when the queue is dropped.
    pub fn close(listener: TcpListener) -> Self {
        // The runtime may not know yet that connections wait, so the system is asked directly.
        let listener = match listener.into_std() {
            Ok(listener) => Some(listener),
            Err(error) => {
                spdlog::warn!("accept the last connections: {}", error);
                None
            }
        };
        Self { listener }
    }
}

impl Iterator for AcceptQueue {
    type Item = TcpStream;

    fn next(&mut self) -> Option<Self::Item> {
        // The listener is in non-blocking mode, so an empty queue is an error.
        let (stream, _) = self.listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    }
}
