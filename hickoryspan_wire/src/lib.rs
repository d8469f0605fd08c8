//! Frames exchanged by the processes of a deployment: CBOR envelopes with a version and a message kind.
//!
//! Two adjacent releases can communicate: unknown fields are ignored, and a message of an unknown kind is answered
//! with a frame that its sender decodes as [`InboundFrame::Unsupported`], instead of closing the connection. See
//! `docs/design.md`, section 8.

#![warn(missing_docs)]

mod packing;

use std::sync::Arc;

use bytes::Bytes;
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the frame layout that this release writes.
pub const FRAME_VERSION: u16 = 1;
/// Oldest version of the frame layout that this release reads.
pub const OLDEST_FRAME_VERSION: u16 = 1;
/// Maximum frame size in bytes. A view of 8,200 targets takes a small part of it.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Kind of the frame that reports an unknown message kind to its sender.
const UNSUPPORTED_KIND: &str = "unsupported";
/// Kind of a frame whose body is another frame, compressed.
const PACKED_KIND: &str = "packed";

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct FrameEnvelope {
    version: u16,
    kind: Arc<str>,
    body: Value,
}

/// A received frame after decoding.
#[derive(Clone, Debug, PartialEq)]
pub enum InboundFrame<M> {
    /// A message that this release understands.
    Message(M),
    /// A well-formed frame whose kind or content this release does not know. The receiver should answer it with
    /// [`encode_unsupported`].
    Unknown(Arc<str>),
    /// Reply of a peer that received a message of this kind and does not know the kind.
    Unsupported(Arc<str>),
}

/// A frame that cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message cannot be represented as a frame.
    #[error("encode frame: {0}")]
    Encode(Arc<str>),
    /// The bytes are not a frame.
    #[error("decode frame: {0}")]
    Decode(Arc<str>),
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("decode frame: {0} bytes exceed the limit of {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The version of the frame layout is older than [`OLDEST_FRAME_VERSION`].
    #[error("decode frame: version {0} is older than {OLDEST_FRAME_VERSION}")]
    TooOld(u16),
}

/// An encoded message with its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedFrame {
    /// Kind of the message.
    pub kind: Arc<str>,
    /// The frame. Copies share it, so that one frame can be sent over many links.
    pub bytes: Bytes,
}

/// Encodes a message as one frame. The message must be an enum, whose variant becomes the kind.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    encode_frame(message).map(|frame| frame.bytes.into())
}

/// Does the same as [`encode_message`] and returns the kind of the message as well.
pub fn encode_frame(message: &impl Serialize) -> Result<EncodedFrame, FrameError> {
    let value = Value::serialized(message).map_err(|error| encode_error(&error))?;
    let (kind, body) = match value {
        Value::Text(kind) => (kind, Value::Null),
        Value::Map(mut fields) if fields.len() == 1 => match fields.pop() {
            Some((Value::Text(kind), body)) => (kind, body),
            _ => return Err(FrameError::Encode("message kind is not text".into())),
        },
        _ => return Err(FrameError::Encode("message is not an enum".into())),
    };
    let kind: Arc<str> = kind.into();
    let bytes = encode_envelope(Arc::clone(&kind), body)?.into();
    Ok(EncodedFrame { kind, bytes })
}

impl EncodedFrame {
    /// Returns the same message in a compressed frame. Only releases that know such frames may get it.
    pub fn to_packed(&self) -> Result<Self, FrameError> {
        let body = Value::Bytes(packing::compress(&self.bytes)?);
        let bytes = encode_envelope(PACKED_KIND.into(), body)?.into();
        Ok(Self { kind: Arc::clone(&self.kind), bytes })
    }
}

/// Encodes the reply to a frame whose `kind` is unknown.
pub fn encode_unsupported(kind: &str) -> Result<Vec<u8>, FrameError> {
    encode_envelope(UNSUPPORTED_KIND.into(), Value::Text(kind.to_owned()))
}

/// Decodes one frame. An unknown kind or content is not an error, but [`InboundFrame::Unknown`].
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<InboundFrame<M>, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let mut envelope = decode_envelope(bytes)?;
    if let (PACKED_KIND, Some(packed)) = (&*envelope.kind, envelope.body.as_bytes()) {
        envelope = decode_envelope(&packing::restore(packed)?)?;
    }
    if envelope.version < OLDEST_FRAME_VERSION {
        return Err(FrameError::TooOld(envelope.version));
    }
    if &*envelope.kind == UNSUPPORTED_KIND {
        let kind = envelope.body.as_text().unwrap_or_default();
        return Ok(InboundFrame::Unsupported(kind.into()));
    }
    let text = Value::Text(envelope.kind.to_string());
    let value = match envelope.body {
        Value::Null => text,
        body => Value::Map(vec![(text, body)]),
    };
    match value.deserialized() {
        Ok(message) => Ok(InboundFrame::Message(message)),
        Err(_) => Ok(InboundFrame::Unknown(envelope.kind)),
    }
}

fn decode_envelope(bytes: &[u8]) -> Result<FrameEnvelope, FrameError> {
    ciborium::from_reader(bytes).map_err(|error| FrameError::Decode(error.to_string().into()))
}

fn encode_envelope(kind: Arc<str>, body: Value) -> Result<Vec<u8>, FrameError> {
    let envelope = FrameEnvelope { version: FRAME_VERSION, kind, body };
    let mut bytes = Vec::new();
    ciborium::into_writer(&envelope, &mut bytes).map_err(|error| encode_error(&error))?;
    Ok(bytes)
}

fn encode_error(error: &impl ToString) -> FrameError {
    FrameError::Encode(error.to_string().into())
}
