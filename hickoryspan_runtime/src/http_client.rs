//! HTTP/1.1 client connections that know whether any byte of a request was written.
//!
//! The difference decides whether a caller may be told that a request was not run; see `docs/design.md`, section 6.8.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// A stream that counts the bytes handed to the operating system.
struct CountingStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
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

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A request that got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(Arc<str>),
    /// A byte was written, and the connection ended before the whole answer arrived.
    #[error("connection lost: {0}")]
    ConnectionLost(Arc<str>),
    /// The answer's body is larger than the limit.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

/// One open connection; requests on it run one after another. Dropping it ends the connection.
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    driver: AbortOnDropHandle<()>,
    ended: CancellationToken,
    peer: SocketAddr,
}

impl HttpConnection {
    /// Opens a connection within the timeout.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let written = Arc::new(AtomicU64::new(0));
        let counting = CountingStream { inner: stream, written: Arc::clone(&written) };
        let (sender, connection) =
            http1::handshake(TokioIo::new(counting)).await.map_err(io::Error::other)?;
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            let _guard = guard;
            if let Err(error) = connection.await {
                spdlog::debug!("HTTP connection: {}: {}", address, error);
            }
        }));
        Ok(Self { sender, written, driver, ended, peer: address })
    }

    /// The other side's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Cancelled when the connection has ended, also while no request is in flight.
    pub fn ended(&self) -> CancellationToken {
        self.ended.clone()
    }

    /// Waits until the connection can take a request, or has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Bytes written since the connection opened, for observers of a request in flight.
    pub fn written_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        answer_bytes: usize,
    ) -> Result<HttpAnswer, SendError> {
        let before = self.written.load(Ordering::Acquire);
        let failed = |written: &AtomicU64, error: &dyn std::fmt::Display| {
            let cause: Arc<str> = error.to_string().into();
            if written.load(Ordering::Acquire) == before {
                SendError::NotSent(cause)
            } else {
                SendError::ConnectionLost(cause)
            }
        };
        if let Err(error) = self.sender.ready().await {
            return Err(failed(&self.written, &error));
        }
        let response = match self.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return Err(failed(&self.written, &error)),
        };
        let (parts, body) = response.into_parts();
        match Limited::new(body, answer_bytes).collect().await {
            Ok(body) => Ok(HttpAnswer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            }),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err(SendError::TooLarge(answer_bytes))
            }
            Err(error) => Err(SendError::ConnectionLost(error.to_string().into())),
        }
    }

    /// Ends the connection and waits until its task ended.
    pub async fn close(self) {
        drop(self.sender);
        self.driver.abort();
        // An aborted task reports a cancellation, which is the expected end.
        let _ = self.driver.await;
    }
}
