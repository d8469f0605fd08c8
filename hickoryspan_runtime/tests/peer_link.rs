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
