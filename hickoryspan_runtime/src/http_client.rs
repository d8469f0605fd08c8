//! HTTP/1.1 client connections that track whether any byte of a request was written.
//!
//! A caller may be told that a request was not run only if none was written; see `docs/design.md`, section 6.8.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::body_buffer::BodyBuffer;
use crate::body_room::TakenRoom;
use crate::bounded_socket::connect;
use crate::caller_budget::RequestCharge;
use crate::caller_stream::RECEIVE_BUFFER_BYTES;
use crate::metered_stream::{MAX_HEAD_BYTES, MeteredStream, NO_ROOM, ResponseMeter};
use crate::response_budget::{ResponseBudget, ResponseRoom};

/// Statuses of final responses. The HTTP library also accepts 101, after which the connection has another protocol, and
/// numbers up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Factor by which chunked encoding may enlarge a response.
const CHUNK_OVERHEAD: u64 = 2;

/// Returns why a response did not arrive, after a request was sent. The HTTP library and [`MeteredStream`] report what is
/// wrong with the peer's bytes as an error of input and output.
fn to_response_error(error: &hyper::Error) -> SendError {
    let cause: Arc<str> = error.to_string().into();
    let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    match io_error.map(io::Error::kind) {
        Some(NO_ROOM) => SendError::NoRoom,
        Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => SendError::InvalidResponse(cause),
        _ if error.is_parse() => SendError::InvalidResponse(cause),
        _ => SendError::ConnectionLost(cause),
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
    /// What the headers occupy, if they are large. It is given back with the last clone.
    _head_room: Option<Arc<ResponseRoom>>,
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
    /// This process has no room for the response. The peer may have run the request.
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
    meter: Arc<ResponseMeter>,
    driver: AbortOnDropHandle<()>,
    ended: CancellationToken,
    peer: SocketAddr,
}

impl HttpConnection {
    /// Opens a connection. `timeout` limits the time to establish the TCP connection.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::open_metered(address, timeout, ResponseMeter::new(None)).await
    }

    /// Opens a connection to a peer that may be faulty. Large heads of its responses take their room from `heads`.
    pub async fn open_within(
        address: SocketAddr,
        timeout: Duration,
        heads: &Arc<ResponseBudget>,
    ) -> io::Result<Self> {
        let meter = ResponseMeter::new(Some(Arc::clone(heads)));
        Self::open_metered(address, timeout, meter).await
    }

    async fn open_metered(
        address: SocketAddr,
        timeout: Duration,
        meter: Arc<ResponseMeter>,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, connect(address, RECEIVE_BUFFER_BYTES))
            .await
            .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let written = Arc::new(AtomicU64::new(0));
        let metered = MeteredStream {
            inner: stream,
            written: Arc::clone(&written),
            meter: Arc::clone(&meter),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(metered))
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
        Ok(Self { sender, written, meter, driver, ended, peer: address })
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
        let reading = ResponseReading {
            max_bytes: max_response_bytes,
            room: BodyRoom::Unbounded,
            reduce: None,
        };
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
        self.meter.begin(reading.max_bytes as u64 * CHUNK_OVERHEAD);
        let send_error = |written: &AtomicU64, error: &hyper::Error| {
            if written.load(Ordering::Acquire) == written_before {
                SendError::NotSent(error.to_string().into())
            } else {
                to_response_error(error)
            }
        };
        if let Err(error) = self.sender.ready().await {
            return Err(send_error(&self.written, &error));
        }
        let response = match self.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return Err(send_error(&self.written, &error)),
        };
        let head_room = self.meter.end_head().map(Arc::new);
        let (parts, body) = response.into_parts();
        if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
            return Err(SendError::InvalidStatus(parts.status.as_u16()));
        }
        let body = reading.collect(body).await?;
        let Parts { status, headers, .. } = parts;
        Ok(HttpAnswer { status, headers, body, _head_room: head_room })
    }

    /// Closes the connection and waits until its task has ended.
    pub async fn close(self) {
        drop(self.sender);
        self.driver.abort();
        // The task was aborted, so the expected result is a cancellation error.
        let _ = self.driver.await;
    }
}

/// Where the room for the body of a response comes from.
#[derive(Clone, Copy)]
pub enum BodyRoom<'a> {
    /// There is always enough.
    Unbounded,
    /// The body is charged to this request of a caller.
    Charged(&'a RequestCharge),
    /// From this budget, as long as any part of the body is kept.
    Budgeted(&'a Arc<ResponseBudget>),
}

/// How the body of a response is read.
#[derive(Clone, Copy)]
pub struct ResponseReading<'a> {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// Where its room comes from.
    pub room: BodyRoom<'a>,
    /// Returns what is needed of a whole body. The rest is not kept.
    pub reduce: Option<&'a (dyn Fn(Bytes) -> Bytes + Sync)>,
}

impl ResponseReading<'_> {
    async fn collect(self, body: Incoming) -> Result<Bytes, SendError> {
        let mut room = TakenRoom::new(self.room);
        let Some(given_up) = room.given_up() else { return self.read(body, &mut room).await };
        tokio::select! {
            biased;
            read = self.read(body, &mut room) => Ok(room.attach_to(read?)),
            () = given_up.cancelled() => Err(SendError::NoRoom),
        }
    }

    /// Reads the body into one buffer. Room for a body of known length is taken before any of it, so that responses of which
    /// each has arrived in part don't wait for each other.
    async fn read(self, mut body: Incoming, room: &mut TakenRoom<'_>) -> Result<Bytes, SendError> {
        let Self { max_bytes, reduce, .. } = self;
        // Zero if it is not known.
        let announced = body.size_hint().exact().unwrap_or(0);
        if announced > max_bytes as u64 {
            return Err(SendError::TooLarge(max_bytes));
        }
        let mut charged = announced as usize;
        room.grow_to(charged).await?;
        let mut buffer = BodyBuffer::new(if charged > 0 { charged } else { max_bytes });
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| to_response_error(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            let length = buffer.length_with(data.len());
            if length > max_bytes {
                return Err(SendError::TooLarge(max_bytes));
            }
            let capacity = buffer.next_capacity(length);
            if let Some(capacity) = capacity {
                charged = charged.max(capacity);
                room.grow_to(charged).await?;
            }
            buffer.push(&data, capacity);
        }
        let whole = buffer.into_bytes();
        let body = match reduce {
            Some(reduce) => reduce(whole),
            None => whole,
        };
        room.keep(if reduce.is_some() { body.len() } else { charged });
        Ok(body)
    }
}
