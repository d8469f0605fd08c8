//! The TCP stream of a server connection. Its writes have a timeout, and its end does not cost the peer a response.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Bytes that are read and discarded at once after the last response.
const DISCARD_BYTES: usize = 4096;
/// How long a closing connection waits for more bytes of a peer that is still sending.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Fails the writes to a peer that has stopped reading, so that its connection does not occupy a connection slot and
/// the memory of a response forever. At the end, what the peer is still sending is read and discarded for as long, because
/// the system resets a connection that is closed with unread bytes, and the peer may then lose the last response.
pub struct WriteTimeoutStream {
    inner: TcpStream,
    timeout: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
    /// Set once the write side has been shut down.
    closing: Option<Closing>,
}

/// Limits of a connection that waits for the peer to close its side.
struct Closing {
    end_at: Instant,
    quiet: Pin<Box<Sleep>>,
}

impl Closing {
    fn begin(limit: Duration) -> Self {
        let now = Instant::now();
        let quiet = Box::pin(tokio::time::sleep(QUIET_TIME.min(limit)));
        Self { end_at: now + limit, quiet }
    }

    fn note_bytes(&mut self) {
        let quiet_at = (Instant::now() + QUIET_TIME).min(self.end_at);
        self.quiet.as_mut().reset(quiet_at);
    }
}

impl WriteTimeoutStream {
    /// Wraps a stream whose writes fail if they are pending for longer than `timeout`.
    pub fn new(inner: TcpStream, timeout: Duration) -> Self {
        Self { inner, timeout, timer: None, closing: None }
    }

    /// Changes the time after which a pending write fails. One that is pending already keeps the former time.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    fn apply_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards what the peer sends until it closes its side, stops sending or exceeds the timeout.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let timeout = self.timeout;
        let closing = self.closing.get_or_insert_with(|| Closing::begin(timeout));
        loop {
            if closing.quiet.as_mut().poll(context).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            closing.note_bytes();
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.apply_timeout(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.apply_timeout(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
        }
        self.poll_discard(context)
    }
}
