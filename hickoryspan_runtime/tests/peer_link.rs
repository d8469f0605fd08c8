//! Guards against links that a stranger can open, that lose messages, or that end on an unknown message.

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
async fn messages_arrive_in_order_past_an_unknown_one() {
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
        let pump = accepted.link.run(outgoing, |message: EntryMessage| {
            received.push(message);
            true
        });
        pump.await.unwrap();
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
