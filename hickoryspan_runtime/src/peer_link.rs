//! WebSocket links between the processes of a deployment, authenticated by the shared credential and carrying CBOR
//! frames.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use hickoryspan_wire::{
    EncodedFrame, InboundFrame, MAX_FRAME_BYTES, decode_message, encode_frame, encode_unsupported,
};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http as websocket_http;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

use crate::credential::SharedCredential;

/// Timeout for the TCP connection and the WebSocket handshake together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the TCP connection alone. The first packet to a host that is still starting is lost and would be
/// retransmitted only after a second, so a new attempt connects sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of outgoing bytes that are buffered for a slow peer. The link is closed if there are more.
const MAX_WRITE_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Size of the buffer into which each link reads. An entry has links to many others, and most messages are small.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// How long a link that this side closes waits for the other side to close it too.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Frame size in bytes above which decoding takes noticeably long, so that the receiver yields to other tasks after it.
const LARGE_FRAME_BYTES: usize = 4 * 1024;

/// Maximum number of queued replies to messages of unknown kinds.
const UNSUPPORTED_QUEUE_CAPACITY: usize = 16;

type LinkSink = SplitSink<WebSocketStream<TcpStream>, Message>;
type LinkStream = SplitStream<WebSocketStream<TcpStream>>;

/// An established link over which both sides send CBOR frames.
pub struct PeerLink {
    socket: WebSocketStream<TcpStream>,
    peer: SocketAddr,
}

/// An accepted link, with the path and the headers of its handshake.
pub struct AcceptedLink {
    /// Link for the exchange of messages.
    pub link: PeerLink,
    /// Requested path, which names the role of the peer.
    pub path: String,
    /// Headers of the handshake, which identify the peer.
    pub headers: HeaderMap,
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(MAX_WRITE_BYTES)
}

impl PeerLink {
    /// Connects to `address`. `path` names the role of the connecting process, and `headers` identify it.
    pub async fn connect(
        address: SocketAddr,
        path: &str,
        headers: impl IntoIterator<Item = (&'static str, String)>,
        credential: &SharedCredential,
    ) -> anyhow::Result<Self> {
        let mut request = format!("ws://{address}{path}")
            .into_client_request()
            .with_context(|| format!("connect peer link: {address}: build the request"))?;
        let fields = request.headers_mut();
        fields.insert(AUTHORIZATION, credential.to_header().parse()?);
        for (name, value) in headers {
            fields.insert(name, value.parse()?);
        }
        let open = async {
            let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
                .await
                .map_err(|_| Error::Io(std::io::ErrorKind::TimedOut.into()))??;
            stream.set_nodelay(true)?;
            let (socket, _) =
                client_async_with_config(request, stream, Some(socket_config())).await?;
            Ok::<_, Error>(socket)
        };
        let socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, open)
            .await
            .with_context(|| format!("connect peer link: {address}: timeout"))?
            .with_context(|| format!("connect peer link: {address}"))?;
        Ok(Self { socket, peer: address })
    }

    /// Accepts a link from a process that presents the credential. Others are refused with status 401.
    pub async fn accept(
        stream: TcpStream,
        credential: &SharedCredential,
    ) -> anyhow::Result<AcceptedLink> {
        let peer = stream.peer_addr().context("accept peer link: read the peer's address")?;
        stream.set_nodelay(true).context("accept peer link: set TCP_NODELAY")?;
        let mut path = String::new();
        let mut headers = HeaderMap::new();
        // The library's signature determines the error type and thus its size.
        #[allow(clippy::result_large_err)]
        let handshake = accept_hdr_async_with_config(
            stream,
            |request: &Request, response: Response| {
                path = request.uri().path().to_owned();
                headers = request.headers().clone();
                if credential.matches_headers(&headers) {
                    Ok(response)
                } else {
                    Err(unauthorized_response())
                }
            },
            Some(socket_config()),
        );
        let socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .with_context(|| format!("accept peer link: {peer}: timeout"))?
            .with_context(|| format!("accept peer link: {peer}"))?;
        Ok(AcceptedLink { link: Self { socket, peer }, path, headers })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sets the size of the kernel's receive buffer in bytes.
    pub(crate) fn set_receive_buffer(&self, bytes: usize) -> anyhow::Result<()> {
        let socket = SockRef::from(self.socket.get_ref());
        let set = socket.set_recv_buffer_size(bytes);
        set.with_context(|| format!("peer link: {}: set the receive buffer", self.peer))
    }

    /// Sends all messages from `outgoing` and passes every received message to `incoming`. Returns when either side
    /// closes the link, all senders of `outgoing` are dropped, or `incoming` returns false.
    ///
    /// Both directions run concurrently, so that two processes that send at the same time cannot block each other.
    pub async fn run<S: Serialize, R: DeserializeOwned>(
        self,
        outgoing: mpsc::Receiver<S>,
        incoming: impl FnMut(R) -> bool,
    ) -> anyhow::Result<()> {
        self.run_with(outgoing, |message| encode_frame(&message).context("encode"), incoming).await
    }

    /// Does the same as [`Self::run`] with messages that are encoded already, as those that go over many links.
    pub async fn run_encoded<R: DeserializeOwned>(
        self,
        outgoing: mpsc::Receiver<EncodedFrame>,
        incoming: impl FnMut(R) -> bool,
    ) -> anyhow::Result<()> {
        self.run_with(outgoing, Ok, incoming).await
    }

    async fn run_with<S, R: DeserializeOwned>(
        self,
        outgoing: mpsc::Receiver<S>,
        encode: impl Fn(S) -> anyhow::Result<EncodedFrame>,
        incoming: impl FnMut(R) -> bool,
    ) -> anyhow::Result<()> {
        let peer = self.peer;
        let (sink, mut stream) = self.socket.split();
        // Messages of unknown kinds are rare, so a short queue of replies is enough.
        let (replies, reply_queue) = mpsc::channel(UNSUPPORTED_QUEUE_CAPACITY);
        let result = tokio::select! {
            result = receive_frames(&mut stream, replies, incoming) => result,
            result = send_frames(sink, outgoing, encode, reply_queue) => match result {
                Ok(()) => {
                    await_close(&mut stream).await;
                    Ok(())
                }
                Err(error) => Err(error),
            }
        };
        result.with_context(|| format!("peer link: {peer}"))
    }
}

async fn send_frames<S>(
    mut sink: LinkSink,
    mut outgoing: mpsc::Receiver<S>,
    encode: impl Fn(S) -> anyhow::Result<EncodedFrame>,
    mut replies: mpsc::Receiver<Vec<u8>>,
) -> anyhow::Result<()> {
    loop {
        let bytes = tokio::select! {
            Some(bytes) = replies.recv() => Bytes::from(bytes),
            message = outgoing.recv() => match message {
                Some(message) => {
                    let frame = encode(message)?;
                    count_sent(&frame);
                    frame.bytes
                }
                None => break,
            },
        };
        sink.send(Message::Binary(bytes)).await.context("send")?;
    }
    sink.close().await.context("close")
}

/// Counts messages and bytes by kind, which shows what the links of a deployment carry. Each message is counted by its
/// sender only.
fn count_sent(frame: &EncodedFrame) {
    let kind = frame.kind.to_string();
    metrics::counter!("hickoryspan_link_messages_sent_total", "kind" => kind.clone()).increment(1);
    metrics::counter!("hickoryspan_link_bytes_sent_total", "kind" => kind)
        .increment(frame.bytes.len() as u64);
}

/// Reads until the peer has closed the link too. Closing a socket with unread bytes resets the connection, and the peer
/// then loses what it has not read yet.
async fn await_close(stream: &mut LinkStream) {
    let closed = async { while let Some(Ok(_)) = stream.next().await {} };
    if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        spdlog::debug!("peer link: the peer has not closed the link in time");
    }
}

async fn receive_frames<R: DeserializeOwned>(
    stream: &mut LinkStream,
    replies: mpsc::Sender<Vec<u8>>,
    mut incoming: impl FnMut(R) -> bool,
) -> anyhow::Result<()> {
    while let Some(message) = stream.next().await {
        let bytes = match message.context("receive")? {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Ok(()),
            Message::Ping(_) | Message::Pong(_) => continue,
            Message::Text(_) | Message::Frame(_) => bail!("receive: not a binary frame"),
        };
        match decode_message(&bytes).context("receive")? {
            InboundFrame::Message(message) => {
                if !incoming(message) {
                    return Ok(());
                }
                // Further large frames may already be in the socket, and other tasks need the thread in between.
                if bytes.len() > LARGE_FRAME_BYTES {
                    tokio::task::yield_now().await;
                }
            }
            InboundFrame::Unknown(kind) => {
                spdlog::warn!("peer link: unknown message kind {}", kind);
                replies.send(encode_unsupported(&kind)?).await.context("answer unknown kind")?;
            }
            InboundFrame::Unsupported(kind) => {
                spdlog::warn!("peer link: the peer does not support message kind {}", kind);
            }
        }
    }
    Ok(())
}

fn unauthorized_response() -> ErrorResponse {
    let mut response = ErrorResponse::new(Some("credential missing or wrong".to_owned()));
    *response.status_mut() = websocket_http::StatusCode::UNAUTHORIZED;
    response
}
