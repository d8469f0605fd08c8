//! The TCP stream of a caller's connection, which tells the caller budget what arrives and what was sent.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Sleep;

use crate::bounded_socket;
use crate::caller_budget::CallerAccount;
use crate::partial_read::poll_read_part;
use crate::write_timeout::WriteTimeoutStream;

/// Size of the kernel's receive buffer of a connection, in bytes. Unread bytes count as memory of the process.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Largest number of bytes that are read at once. The HTTP library enlarges the buffer of a connection after larger reads.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Binds a port for callers.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bounded_socket::listen(address, RECEIVE_BUFFER_BYTES)
}

/// Charges what arrives, and fails the connection if there is no room for it or if a head that has begun does not arrive
/// in time.
pub struct CallerStream {
    inner: WriteTimeoutStream,
    account: Arc<CallerAccount>,
    head_time: Duration,
    /// Runs while a part of a head has arrived.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes that were read and put back.
    unread: Bytes,
}

impl CallerStream {
    /// Wraps a stream whose writes fail if they are pending for longer than `write_time`. A head that has begun must
    /// arrive within `head_time`.
    pub fn new(
        inner: TcpStream,
        account: Arc<CallerAccount>,
        head_time: Duration,
        write_time: Duration,
    ) -> Self {
        let inner = WriteTimeoutStream::new(inner, write_time);
        Self { inner, account, head_time, head_timer: None, unread: Bytes::new() }
    }

    /// Changes the times that [`Self::new`] was given. A head that has begun to arrive and a pending write keep theirs.
    pub fn set_times(&mut self, head_time: Duration, write_time: Duration) {
        self.head_time = head_time;
        self.inner.set_timeout(write_time);
    }

    /// Puts back bytes that were read last. They are charged already.
    pub fn put_back(&mut self, bytes: Bytes) {
        self.unread = match self.unread.is_empty() {
            true => bytes,
            false => [bytes, std::mem::take(&mut self.unread)].concat().into(),
        };
    }

    fn check_head_time(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if !self.account.has_partial_head() {
            self.head_timer = None;
            return Ok(());
        }
        let time = self.head_time;
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(time)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_head_time(context)?;
        if !self.unread.is_empty() {
            let part = buffer.remaining().min(self.unread.len());
            buffer.put_slice(&self.unread.split_to(part));
            return Poll::Ready(Ok(()));
        }
        let inner = Pin::new(&mut self.inner);
        let read = ready!(poll_read_part(inner, context, buffer, MAX_READ_BYTES))?;
        Poll::Ready(self.account.note_read(read).map_err(io::Error::other))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        self.account.end_answers();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.account.note_shutdown();
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
