//! Tests that a link requires the credential, loses no message, and survives a message of an unknown kind.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hickoryspan_core::messages::EntryMessage;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

fn credential(text: &str) -> SharedCredential {
    SharedCredential::new(text).unwrap()
}

#[tokio::test]
async fn a_wrong_credential_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &credential("the-right-credential")).await.is_err()
    };
    let wrong = credential("the-wrong-credential");
    let connect = PeerLink::connect(address, "/v1/entry", [], &wrong);
    let (refused, connected) = tokio::join!(accept, connect);
    assert!(refused);
    assert!(connected.is_err());
}

#[derive(Serialize, Deserialize)]
enum LaterMessage {
    Later(u64),
    #[serde(rename = "release")]
    Release,
}

#[tokio::test]
async fn messages_after_one_of_an_unknown_kind_still_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let secret = credential("the-right-credential");
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        let accepted = PeerLink::accept(stream, &secret).await.unwrap();
        assert_eq!(accepted.path, "/v1/entry");
        assert_eq!(accepted.headers["hs-entry-id"], "e1");
        let mut received = Vec::new();
        let (_sender, outgoing) = mpsc::channel::<EntryMessage>(1);
        let run = accepted.link.run(outgoing, |message: EntryMessage| {
            received.push(message);
            true
        });
        run.await.unwrap();
        received
    };
    let client = async {
        let headers = [("hs-entry-id", "e1".to_owned())];
        let link = PeerLink::connect(address, "/v1/entry", headers, &secret).await.unwrap();
        let (sender, outgoing) = mpsc::channel(4);
        sender.send(LaterMessage::Later(1)).await.unwrap();
        sender.send(LaterMessage::Release).await.unwrap();
        drop(sender);
        link.run(outgoing, |_: LaterMessage| true).await.unwrap();
    };
    let (received, ()) = tokio::join!(server, client);
    assert_eq!(received, vec![EntryMessage::Release]);
}

/// Guards against last messages that are lost when a link is closed: closing a connection with unread bytes of the peer
/// resets it, which discards what the peer has not received yet.
#[tokio::test]
async fn the_last_messages_before_a_close_arrive_although_the_peer_is_sending() {
    const MESSAGES: usize = 100;
    const MESSAGE_BYTES: usize = 64 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let secret = credential("the-right-credential");
    let closing = async {
        let (stream, _) = listener.accept().await.unwrap();
        let accepted = PeerLink::accept(stream, &secret).await.unwrap();
        let (sender, outgoing) = mpsc::channel(MESSAGES);
        for _ in 0..MESSAGES {
            sender.send(LargeMessage::Text("x".repeat(MESSAGE_BYTES))).await.unwrap();
        }
        drop(sender);
        accepted.link.run(outgoing, |_: EntryMessage| true).await.unwrap();
    };
    let receiving = async {
        let link = PeerLink::connect(address, "/v1/entry", [], &secret).await.unwrap();
        let (sender, outgoing) = mpsc::channel(1);
        let flood = async { while sender.send(EntryMessage::Release).await.is_ok() {} };
        let mut received = 0;
        let run = link.run(outgoing, |_: LargeMessage| {
            received += 1;
            true
        });
        tokio::select! {
            ended = run => ended.unwrap(),
            () = flood => {}
        }
        received
    };
    let ((), received) = tokio::join!(closing, receiving);
    assert_eq!(received, MESSAGES);
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LargeMessage {
    Text(String),
}
