//! Tests that messages survive encoding and that two adjacent releases can exchange frames.

use hickoryspan_core::gateway::membership::messages::{DirectoryUpdate, TargetRenewal};
use hickoryspan_core::gateway::targets::directory::AnnouncementAge;
use hickoryspan_core::messages::{ControlMessage, EntryMessage};
use hickoryspan_core::types::{QueryToken, RevisionNumber, StateDigest, TargetId, WallTime};
use hickoryspan_wire::{
    FrameError, InboundFrame, MAX_FRAME_BYTES, decode_message, encode_frame, encode_message,
    encode_unsupported,
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

/// Pattern: 195 entries that are told of all targets after a common restart. Guards against lists that are sent with all
/// their field names.
#[test]
fn a_packed_frame_is_smaller_and_holds_the_same_message() {
    let message = a_long_list();
    let frame = encode_frame(&message).unwrap();
    let packed = frame.to_packed().unwrap();
    assert!(packed.bytes.len() * 3 < frame.bytes.len(), "{}", packed.bytes.len());
    assert_eq!(packed.kind, frame.kind);
    assert_eq!(decode_message(&packed.bytes), Ok(InboundFrame::Message(message)));
}

#[test]
fn a_damaged_packed_frame_is_refused() {
    let packed = encode_frame(&a_long_list()).unwrap().to_packed().unwrap();
    let half = &packed.bytes[..packed.bytes.len() / 2];
    assert!(matches!(decode_message::<DirectoryUpdate>(half), Err(FrameError::Decode(_))));
    let mut damaged = packed.bytes.to_vec();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 0xff;
    assert!(decode_message::<DirectoryUpdate>(&damaged).is_err());
}

/// Guards against a small frame that fills the memory when it is restored.
#[test]
fn a_packed_frame_cannot_be_longer_than_others() {
    let endless = TooLong::Body("x".repeat(MAX_FRAME_BYTES));
    let packed = encode_frame(&endless).unwrap().to_packed().unwrap();
    assert!(packed.bytes.len() < MAX_FRAME_BYTES / 100);
    let decoded = decode_message::<DirectoryUpdate>(&packed.bytes);
    assert!(matches!(decoded, Err(FrameError::TooLarge(_))));
}

#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
enum TooLong {
    Body(String),
}

fn a_long_list() -> DirectoryUpdate {
    let renewal = |number: u64| TargetRenewal {
        target: TargetId::new(format!("i-{:010x}", number * 7_919_191)).expect("a name"),
        age: AnnouncementAge { started: WallTime(1_700_000_000_000 + number), sequence: number },
    };
    DirectoryUpdate::Vouched((0..186).map(renewal).collect())
}
