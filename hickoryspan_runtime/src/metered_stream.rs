//! The TCP stream of a client connection, which bounds what the peer may send for one response.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::partial_read::poll_read_part;
use crate::response_budget::{ResponseBudget, ResponseRoom};

/// Number of bytes that may arrive before and between responses, for example in response heads. A peer could otherwise
/// keep the process busy with interim responses that never end.
const MAX_EXTRA_BYTES: u64 = 512 * 1024;
/// Largest head of a response, and largest buffer of a connection, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Size in bytes of a head that needs no room of its own, because it fits in the buffer that each connection has. It is
/// also the largest read before the head is complete; the HTTP library would enlarge the buffer after larger ones.
const SMALL_HEAD_BYTES: usize = 8 * 1024;

/// Kind of the error of a read that finds no room for a head. It says nothing about the peer.
pub(crate) const NO_ROOM: ErrorKind = ErrorKind::OutOfMemory;
/// Kind of the error of a read after too many bytes.
const TOO_MANY_BYTES: ErrorKind = ErrorKind::InvalidData;

/// The head of a response while it is awaited.
#[derive(Default)]
struct AwaitedHead {
    bytes: usize,
    room: Option<LargeHead>,
}

/// The room of a head that is no longer small.
struct LargeHead {
    room: ResponseRoom,
    given_up: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl AwaitedHead {
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let Some(LargeHead { given_up, .. }) = &mut self.room else { return Ok(()) };
        match given_up.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::Error::new(NO_ROOM, "the room of the head is needed")),
            Poll::Pending => Ok(()),
        }
    }

    fn note_read(&mut self, bytes: usize, budget: &Arc<ResponseBudget>) -> io::Result<()> {
        self.bytes += bytes;
        if self.bytes <= SMALL_HEAD_BYTES {
            return Ok(());
        }
        let large = self.room.get_or_insert_with(|| {
            let room = budget.begin();
            let given_up = Box::pin(room.given_up().cancelled_owned());
            LargeHead { room, given_up }
        });
        // Interim responses may be longer together, but the library keeps no more of them.
        let buffer_bytes = self.bytes.next_power_of_two().min(MAX_HEAD_BYTES);
        large.room.grow_to(buffer_bytes).map_err(|error| io::Error::new(NO_ROOM, error))
    }
}

struct MeterState {
    /// Number of bytes that may still be read.
    readable: u64,
    head: Option<AwaitedHead>,
}

/// What the peer of a connection may still send.
pub(crate) struct ResponseMeter {
    state: Mutex<MeterState>,
    heads: Option<Arc<ResponseBudget>>,
}

impl ResponseMeter {
    /// Creates the meter of a connection without a request. Large heads take their room from `heads`, if it is given.
    pub(crate) fn new(heads: Option<Arc<ResponseBudget>>) -> Arc<Self> {
        let state = MeterState { readable: MAX_EXTRA_BYTES, head: None };
        Arc::new(Self { state: Mutex::new(state), heads })
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request is sent, whose response has a body of this many bytes at most as it is transferred.
    pub(crate) fn begin(&self, body_bytes: u64) {
        let head = Some(AwaitedHead::default());
        *self.lock() = MeterState { readable: body_bytes + MAX_EXTRA_BYTES, head };
    }

    /// Notes that the head has arrived. Returns its room if it is large.
    pub(crate) fn end_head(&self) -> Option<ResponseRoom> {
        let LargeHead { room, .. } = self.lock().head.take()?.room?;
        room.complete();
        Some(room)
    }

    /// Returns the largest number of bytes to read next.
    fn poll_limit(&self, context: &mut Context<'_>) -> io::Result<usize> {
        let mut state = self.lock();
        if state.readable == 0 {
            let message = "too many bytes without a complete response";
            return Err(io::Error::new(TOO_MANY_BYTES, message));
        }
        let Some(head) = &mut state.head else { return Ok(usize::MAX) };
        head.check(context)?;
        Ok(SMALL_HEAD_BYTES)
    }

    fn note_read(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        state.readable = state.readable.saturating_sub(bytes as u64);
        match (&mut state.head, &self.heads) {
            (Some(head), Some(budget)) => head.note_read(bytes, budget),
            _ => Ok(()),
        }
    }
}

/// A TCP stream that counts the bytes written to the operating system and limits the bytes read from it.
pub(crate) struct MeteredStream {
    pub(crate) inner: TcpStream,
    pub(crate) written: Arc<AtomicU64>,
    pub(crate) meter: Arc<ResponseMeter>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.meter.poll_limit(context)?;
        let read = ready!(poll_read_part(Pin::new(&mut self.inner), context, buffer, limit))?;
        Poll::Ready(self.meter.note_read(read))
    }
}

impl MeteredStream {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &result {
            self.written.fetch_add(*count as u64, Ordering::Release);
        }
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
