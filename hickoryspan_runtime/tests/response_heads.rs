//! Heads of responses beyond the buffer of a connection, which take room of their own.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_runtime::http_client::{HttpAnswer, HttpConnection, SendError};
use hickoryspan_runtime::response_budget::ResponseBudget;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Much longer than any step takes when it works.
const TIMEOUT: Duration = Duration::from_secs(20);
const BODY_BYTES: usize = 1_000;
/// Size of a head that takes the largest room, which is 64 KiB.
const LARGE_HEAD: usize = 40 * 1024;
/// Memory of a process in which there is room for two of them.
const MEMORY_BYTES: usize = 2 * 32 * 64 * 1024;

/// A peer that sends a head of this size to each request, but for its end, and the rest once `complete` is cancelled.
struct HeadPeer {
    address: SocketAddr,
    complete: CancellationToken,
    _task: JoinSet<()>,
}

impl HeadPeer {
    async fn start(head_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let complete = CancellationToken::new();
        let completed = complete.clone();
        let mut task = JoinSet::new();
        task.spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            while stream.read(&mut [0; 4_096]).await.is_ok_and(|count| count > 0) {
                let head = format!("HTTP/1.1 200 OK\r\nx-filler: {}", "x".repeat(head_bytes));
                let _ = stream.write_all(head.as_bytes()).await;
                completed.cancelled().await;
                let _ = stream.write_all(b"\r\ncontent-length: 2\r\n\r\nok").await;
            }
        });
        Self { address, complete, _task: task }
    }

    async fn send(&self, heads: &Arc<ResponseBudget>) -> Result<HttpAnswer, SendError> {
        let mut connection =
            HttpConnection::open_within(self.address, TIMEOUT, heads).await.unwrap();
        let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
        let sent = connection.send(request, BODY_BYTES);
        tokio::time::timeout(TIMEOUT, sent).await.expect("an end of the request")
    }

    async fn exchange(&self, heads: &Arc<ResponseBudget>) -> Result<HttpAnswer, SendError> {
        self.complete.cancel();
        self.send(heads).await
    }
}

/// Guards against room for large heads that a few peers keep by never completing theirs.
#[tokio::test]
async fn the_head_that_is_awaited_for_longest_makes_room() {
    let heads = ResponseBudget::for_heads(MEMORY_BYTES);
    let mut waiting = JoinSet::new();
    let mut peers = Vec::new();
    for _ in 0..2 {
        let peer = Arc::new(HeadPeer::start(LARGE_HEAD).await);
        let (sending, heads) = (Arc::clone(&peer), Arc::clone(&heads));
        waiting.spawn(async move { sending.send(&heads).await });
        peers.push(peer);
    }
    // Whether both have taken their room is not seen from here. A third one finds none once they have.
    let sound = async {
        while waiting.is_empty() || waiting.try_join_next().is_none() {
            let peer = HeadPeer::start(LARGE_HEAD).await;
            assert!(peer.exchange(&heads).await.is_ok());
        }
    };
    tokio::time::timeout(TIMEOUT, sound).await.expect("a head is given up");
    assert_eq!(waiting.len(), 1, "only one head made room");
    for peer in &peers {
        peer.complete.cancel();
    }
    assert!(waiting.join_next().await.unwrap().unwrap().is_ok());
}

/// Guards against complete heads that are kept beyond the room there is, and against room that is not given back.
#[tokio::test]
async fn a_complete_head_keeps_its_room_until_the_answer_is_dropped() {
    let heads = ResponseBudget::for_heads(MEMORY_BYTES);
    let mut answers = Vec::new();
    for _ in 0..2 {
        answers.push(HeadPeer::start(LARGE_HEAD).await.exchange(&heads).await.unwrap());
    }
    let refused = HeadPeer::start(LARGE_HEAD).await.exchange(&heads).await;
    assert!(matches!(refused, Err(SendError::NoRoom)), "{refused:?}");
    answers.pop();
    assert!(HeadPeer::start(LARGE_HEAD).await.exchange(&heads).await.is_ok());
}

/// Guards against usual heads that suffer from large ones.
#[tokio::test]
async fn a_small_head_needs_no_room() {
    let heads = ResponseBudget::for_heads(0);
    // One that is larger than all room gets it while it is alone.
    let large = HeadPeer::start(LARGE_HEAD).await.exchange(&heads).await;
    assert!(large.is_ok(), "{large:?}");
    assert!(HeadPeer::start(4 * 1024).await.exchange(&heads).await.is_ok());
    let refused = HeadPeer::start(LARGE_HEAD).await.exchange(&heads).await;
    assert!(matches!(refused, Err(SendError::NoRoom)), "{refused:?}");
}
