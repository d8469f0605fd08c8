//! Tests that messages survive encoding and that two adjacent releases can exchange frames.

use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::{QueryToken, RevisionNumber, StateDigest};
use hickoryspan_wire::{
    FrameError, InboundFrame, decode_message, encode_message, encode_unsupported,
};
use rstest::rstest;
use serde::Serialize;

#[rstest]
#[case(EntryMessage::Release)]
#[case(EntryMessage::Renew {
    sequence: 3,
    revision: RevisionNumber(9),
    digest: StateDigest::default(),
    draining: false,
    demand: Vec::new(),
})]
fn messages_round_trip(#[case] message: EntryMessage) {
    let bytes = encode_message(&message).unwrap();
    assert_eq!(decode_message(&bytes), Ok(InboundFrame::Message(message)));
}

/// Messages of a later release, with a new field in a known kind and with a new kind.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum LaterMessage {
    ClaimAnswer { token: QueryToken, verdict: &'static str, cost: u64 },
    Rebalance { weight: u64 },
}

#[test]
fn unknown_fields_are_ignored() {
    let later = LaterMessage::ClaimAnswer { token: QueryToken(4), verdict: "granted", cost: 7 };
    let bytes = encode_message(&later).unwrap();
    assert!(matches!(
        decode_message(&bytes),
        Ok(InboundFrame::Message(ControlMessage::ClaimAnswer { token: QueryToken(4), .. }))
    ));
}

#[test]
fn unknown_kinds_are_answered() {
    let bytes = encode_message(&LaterMessage::Rebalance { weight: 1 }).unwrap();
    let Ok(InboundFrame::<ControlMessage>::Unknown(kind)) = decode_message(&bytes) else {
        panic!("the unknown kind was decoded");
    };
    let answer = encode_unsupported(&kind).unwrap();
    assert_eq!(
        decode_message::<ControlMessage>(&answer),
        Ok(InboundFrame::Unsupported("rebalance".into()))
    );
}

#[rstest]
#[case(b"")]
#[case(b"GET / HTTP/1.1")]
#[case(b"\xff\xff\xff")]
fn junk_is_refused(#[case] bytes: &[u8]) {
    assert!(matches!(decode_message::<EntryMessage>(bytes), Err(FrameError::Decode(_))));
}
