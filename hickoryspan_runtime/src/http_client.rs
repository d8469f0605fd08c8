//! HTTP/1.1 client connections that track whether any byte of a request was written.
//!
//! A caller may be told that a request was not run only if none was written; see `docs/design.md`, section 6.8.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::body_buffer::BodyBuffer;
use crate::bounded_socket::connect;
use crate::caller_budget::{AnswerRoom, RequestCharge};
use crate::caller_stream::RECEIVE_BUFFER_BYTES;

/// Number of bytes that may arrive before and between responses, for example in response heads. A peer could otherwise
/// keep the process busy with interim responses that never end.
const MAX_EXTRA_BYTES: u64 = 512 * 1024;
/// Largest head of a response, and largest buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Statuses of final responses. The HTTP library also accepts 101, after which the connection has another protocol, and
/// numbers up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Factor by which chunked encoding may enlarge a response.
const CHUNK_OVERHEAD: u64 = 2;

/// Returns whether a connection failed because of what the peer sent, not because it ended. The HTTP library and
/// [`CountingStream`] report both as errors of input and output.
fn is_invalid_response(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let is_invalid = |kind| matches!(kind, ErrorKind::InvalidData | ErrorKind::InvalidInput);
    error.is_parse() || cause.is_some_and(|cause| is_invalid(cause.kind()))
}

/// A TCP stream that counts the bytes written to the operating system and limits the bytes read from it.
struct CountingStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
    // Number of bytes that may still be read.
    readable: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.readable.load(Ordering::Acquire) == 0 {
            let message = "too many bytes without a complete response";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, message)));
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = (buffer.filled().len() - filled_before) as u64;
        let left = self.readable.load(Ordering::Acquire).saturating_sub(read);
        self.readable.store(left, Ordering::Release);
        polled
    }
}

impl CountingStream {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &result {
            self.written.fetch_add(*count as u64, Ordering::Release);
        }
        result
    }
}

impl AsyncWrite for CountingStream {
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

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// A failure to send a request or to receive its response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written, so the peer cannot have run it.
    #[error("not sent: {0}")]
    NotSent(Arc<str>),
    /// At least one byte was written, and the connection ended before the complete response arrived. The peer may
    /// have run the request.
    #[error("connection lost: {0}")]
    ConnectionLost(Arc<str>),
    /// The body of the response exceeds this limit in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
    /// This process has no room for the body of the response. The peer may have run the request.
    #[error("no room for the answer")]
    NoRoom,
    /// The peer sent bytes that are no response, or too many before the end of one. It may have run the request, and its
    /// process has not ended.
    #[error("no response: {0}")]
    InvalidResponse(Arc<str>),
    /// The status of the response is not one of a final response. The peer may have run the request.
    #[error("{0} is not the status of an answer")]
    InvalidStatus(u16),
}

/// An open connection, which handles one request at a time. Dropping it closes the connection.
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    readable: Arc<AtomicU64>,
    driver: AbortOnDropHandle<()>,
    ended: CancellationToken,
    peer: SocketAddr,
}

impl HttpConnection {
    /// Opens a connection. `timeout` limits the time to establish the TCP connection.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, connect(address, RECEIVE_BUFFER_BYTES))
            .await
            .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let written = Arc::new(AtomicU64::new(0));
        let readable = Arc::new(AtomicU64::new(MAX_EXTRA_BYTES));
        let counting = CountingStream {
            inner: stream,
            written: Arc::clone(&written),
            readable: Arc::clone(&readable),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(counting))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            let _guard = guard;
            if let Err(error) = connection.await {
                spdlog::debug!("HTTP connection: {}: {}", address, error);
            }
        }));
        Ok(Self { sender, written, readable, driver, ended, peer: address })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns a token that is cancelled when the connection ends, also while no request is in flight.
    pub fn ended(&self) -> CancellationToken {
        self.ended.clone()
    }

    /// Waits until the connection can take a request. Returns false if it has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns the counter of bytes written since the connection opened, which shows whether a request in flight has
    /// been sent in part.
    pub fn written_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
    }

    /// Sends a request and reads the complete response, whose body may have at most `max_response_bytes` bytes. A peer
    /// that sends much more without completing the response is treated like one that closes the connection.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_response_bytes: usize,
    ) -> Result<HttpAnswer, SendError> {
        let reading = ResponseReading { max_bytes: max_response_bytes, charge: None, reduce: None };
        self.send_and_read(request, reading).await
    }

    /// Does the same as [`Self::send`], but reads the response as `reading` says. If there is no room for it, the
    /// connection ends.
    pub async fn send_and_read(
        &mut self,
        request: Request<Full<Bytes>>,
        reading: ResponseReading<'_>,
    ) -> Result<HttpAnswer, SendError> {
        let written_before = self.written.load(Ordering::Acquire);
        let max_bytes = reading.max_bytes as u64 * CHUNK_OVERHEAD + MAX_EXTRA_BYTES;
        self.readable.store(max_bytes, Ordering::Release);
        let send_error = |written: &AtomicU64, error: &hyper::Error| {
            let cause: Arc<str> = error.to_string().into();
            if written.load(Ordering::Acquire) == written_before {
                SendError::NotSent(cause)
            } else if is_invalid_response(error) {
                SendError::InvalidResponse(cause)
            } else {
                SendError::ConnectionLost(cause)
            }
        };
        if let Err(error) = self.sender.ready().await {
            return Err(send_error(&self.written, &error));
        }
        let response = match self.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return Err(send_error(&self.written, &error)),
        };
        let (parts, body) = response.into_parts();
        if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
            return Err(SendError::InvalidStatus(parts.status.as_u16()));
        }
        let body = reading.collect(body).await?;
        Ok(HttpAnswer { status: parts.status, headers: parts.headers, body })
    }

    /// Closes the connection and waits until its task has ended.
    pub async fn close(self) {
        drop(self.sender);
        self.driver.abort();
        // The task was aborted, so the expected result is a cancellation error.
        let _ = self.driver.await;
    }
}

/// How the body of a response is read.
#[derive(Clone, Copy)]
pub struct ResponseReading<'a> {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// The request that the body is charged to.
    pub charge: Option<&'a RequestCharge>,
    /// Returns what is needed of a whole body. The rest is not kept.
    pub reduce: Option<&'a (dyn Fn(Bytes) -> Bytes + Sync)>,
}

impl ResponseReading<'_> {
    /// Reads the body into one buffer. Room for a body of known length is taken before any of it, so that responses of which
    /// each has arrived in part don't wait for each other.
    async fn collect(self, mut body: Incoming) -> Result<Bytes, SendError> {
        let Self { max_bytes, charge, reduce } = self;
        // Zero if it is not known.
        let announced = body.size_hint().exact().unwrap_or(0);
        if announced > max_bytes as u64 {
            return Err(SendError::TooLarge(max_bytes));
        }
        let mut room = charge.map(AnswerRoom::new);
        let mut charged = announced as usize;
        reserve(room.as_mut(), charged).await?;
        let mut buffer = BodyBuffer::new(if charged > 0 { charged } else { max_bytes });
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                let cause = error.to_string().into();
                match is_invalid_response(&error) {
                    true => SendError::InvalidResponse(cause),
                    false => SendError::ConnectionLost(cause),
                }
            })?;
            let Ok(data) = frame.into_data() else { continue };
            let length = buffer.length_with(data.len());
            if length > max_bytes {
                return Err(SendError::TooLarge(max_bytes));
            }
            let capacity = buffer.next_capacity(length);
            if let Some(capacity) = capacity {
                reserve(room.as_mut(), capacity.saturating_sub(charged)).await?;
                charged = charged.max(capacity);
            }
            buffer.push(&data, capacity);
        }
        let whole = buffer.into_bytes();
        let body = match reduce {
            Some(reduce) => reduce(whole),
            None => whole,
        };
        if let Some(room) = room {
            room.keep(if reduce.is_some() { body.len() } else { charged });
        }
        Ok(body)
    }
}

async fn reserve(room: Option<&mut AnswerRoom<'_>>, bytes: usize) -> Result<(), SendError> {
    let Some(room) = room.filter(|_| bytes > 0) else { return Ok(()) };
    room.grow(bytes).await.map_err(|_| SendError::NoRoom)?;
    room.await_room().await;
    Ok(())
}
