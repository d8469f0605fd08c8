//! WebSocket links between the system's own processes, with the shared credential and CBOR frames.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use hickoryspan_wire::{
    InboundFrame, MAX_FRAME_BYTES, decode_message, encode_message, encode_unsupported,
};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http as websocket_http;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

use crate::credential::SharedCredential;

/// Time for the TCP connection and the WebSocket handshake together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the TCP connection alone. The first packet to a host that is still starting is lost, and its repetition
/// after a second would come later than a new attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Outgoing bytes that may wait for a slow peer before the link is closed.
const MAX_WRITE_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Bytes of a frame whose decoding takes noticeably long.
const LARGE_FRAME_BYTES: usize = 4 * 1024;

/// Answers to unknown message kinds that may wait to be sent.
const UNSUPPORTED_QUEUE: usize = 16;

type LinkSink = SplitSink<WebSocketStream<TcpStream>, Message>;
type LinkStream = SplitStream<WebSocketStream<TcpStream>>;

/// A link over which both sides send CBOR frames.
pub struct PeerLink {
    socket: WebSocketStream<TcpStream>,
    peer: SocketAddr,
}

/// An accepted link, with what the other side said about itself.
pub struct AcceptedLink {
    /// The link.
    pub link: PeerLink,
    /// The path that it asked for, which names its role.
    pub path: String,
    /// The headers of its handshake.
    pub headers: HeaderMap,
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .write_buffer_size(0)
        .max_write_buffer_size(MAX_WRITE_BYTES)
}

impl PeerLink {
    /// Connects to `address`; `path` names the caller's role, `headers` say who it is.
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

    /// Accepts a link from a process that carries the credential; others get status 401.
    pub async fn accept(
        stream: TcpStream,
        credential: &SharedCredential,
    ) -> anyhow::Result<AcceptedLink> {
        let peer = stream.peer_addr().context("accept peer link: read the peer's address")?;
        stream.set_nodelay(true).context("accept peer link: set TCP_NODELAY")?;
        let mut path = String::new();
        let mut headers = HeaderMap::new();
        // The size of the error is set by the library's signature.
        #[allow(clippy::result_large_err)]
        let handshake = accept_hdr_async_with_config(
            stream,
            |request: &Request, response: Response| {
                path = request.uri().path().to_owned();
                headers = request.headers().clone();
                if credential.matches_headers(&headers) { Ok(response) } else { Err(refusal()) }
            },
            Some(socket_config()),
        );
        let socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .with_context(|| format!("accept peer link: {peer}: timeout"))?
            .with_context(|| format!("accept peer link: {peer}"))?;
        Ok(AcceptedLink { link: Self { socket, peer }, path, headers })
    }

    /// The other side's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends everything from `outgoing` and hands every received message to `incoming`, until either side closes
    /// the link, `outgoing` ends, or `incoming` returns false. Both directions run at once, so that two
    /// processes that send at the same time cannot block each other.
    pub async fn run<S: Serialize, R: DeserializeOwned>(
        self,
        outgoing: mpsc::Receiver<S>,
        incoming: impl FnMut(R) -> bool,
    ) -> anyhow::Result<()> {
        let peer = self.peer;
        let (sink, stream) = self.socket.split();
        // Answers to unknown kinds are rare, so a short queue is enough.
        let (answers, answer_queue) = mpsc::channel(UNSUPPORTED_QUEUE);
        let ended = tokio::select! {
            ended = send_frames(sink, outgoing, answer_queue) => ended,
            ended = receive_frames(stream, answers, incoming) => ended,
        };
        ended.with_context(|| format!("peer link: {peer}"))
    }
}

async fn send_frames<S: Serialize>(
    mut sink: LinkSink,
    mut outgoing: mpsc::Receiver<S>,
    mut answers: mpsc::Receiver<Vec<u8>>,
) -> anyhow::Result<()> {
    loop {
        let bytes = tokio::select! {
            Some(bytes) = answers.recv() => bytes,
            message = outgoing.recv() => match message {
                Some(message) => encode_message(&message).context("encode")?,
                None => break,
            },
        };
        sink.send(Message::Binary(Bytes::from(bytes))).await.context("send")?;
    }
    sink.close().await.context("close")
}

async fn receive_frames<R: DeserializeOwned>(
    mut stream: LinkStream,
    answers: mpsc::Sender<Vec<u8>>,
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
                // More large frames may wait in the socket, and others need the thread in between.
                if bytes.len() > LARGE_FRAME_BYTES {
                    tokio::task::yield_now().await;
                }
            }
            InboundFrame::Unknown(kind) => {
                spdlog::warn!("peer link: unknown message kind {}", kind);
                answers.send(encode_unsupported(&kind)?).await.context("answer unknown kind")?;
            }
            InboundFrame::Unsupported(kind) => {
                spdlog::warn!("peer link: the peer does not support message kind {}", kind);
            }
        }
    }
    Ok(())
}

fn refusal() -> ErrorResponse {
    let mut response = ErrorResponse::new(Some("credential missing or wrong".to_owned()));
    *response.status_mut() = websocket_http::StatusCode::UNAUTHORIZED;
    response
}
