//! Cuts a change of a document into parts that are encoded once for all entries and decoded one at a time.
//!
//! A change of two thousand routes takes an entry with an eighth of a core a third of a second to decode, during which it
//! would answer nobody.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::document::DocumentVersion;
use super::document_change::DocumentChange;

/// Routes in one part.
const PART_ROUTES: usize = 64;

/// CBOR bytes that travel as they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedBytes(Arc<[u8]>);

impl Serialize for EncodedBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = EncodedBytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(EncodedBytes(bytes.into()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(EncodedBytes(bytes.into()))
    }
}

impl<'de> Deserialize<'de> for EncodedBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

/// One part of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DocumentPart {
    /// The version that the change leads to.
    pub version: DocumentVersion,
    /// Counts the parts of one change from zero.
    pub index: usize,
    /// The number of parts.
    pub count: usize,
    content: EncodedBytes,
}

/// Why a part cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PartError {
    /// It cannot be encoded.
    #[error("encode part of version {0}: {1}")]
    Encode(DocumentVersion, Arc<str>),
    /// It cannot be decoded.
    #[error("decode part of version {0}: {1}")]
    Decode(DocumentVersion, Arc<str>),
    /// It does not follow the one before it.
    #[error("part {1} of version {0} does not follow the last one")]
    OutOfOrder(DocumentVersion, usize),
}

/// Cuts and encodes a change.
pub fn encode_parts(change: &DocumentChange) -> Result<Vec<DocumentPart>, PartError> {
    let version = change.version;
    let count = change.routes.len().div_ceil(PART_ROUTES).max(1);
    let to_part = |index: usize| {
        let routes = change.routes.iter().skip(index * PART_ROUTES).take(PART_ROUTES);
        let routes = routes.cloned().collect();
        let content = match index {
            0 => DocumentChange { routes, ..change.clone() },
            _ => DocumentChange { routes, ..DocumentChange::empty(version, change.limits) },
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&content, &mut bytes)
            .map_err(|error| PartError::Encode(version, error.to_string().into()))?;
        Ok(DocumentPart { version, index, count, content: EncodedBytes(bytes.into()) })
    };
    (0..count).map(to_part).collect()
}

#[derive(Clone, Debug)]
struct PartialChange {
    change: DocumentChange,
    next: usize,
}

/// Puts the parts together that each host sends.
#[derive(Clone, Debug, Default)]
pub struct PartAssembly {
    by_host: BTreeMap<SocketAddr, PartialChange>,
}

impl PartAssembly {
    /// Takes a part; returns the whole change with the last one.
    pub fn take(
        &mut self,
        host: SocketAddr,
        part: &DocumentPart,
    ) -> Result<Option<DocumentChange>, PartError> {
        let version = part.version;
        let content: DocumentChange = ciborium::from_reader(&*part.content.0)
            .map_err(|error| PartError::Decode(version, error.to_string().into()))?;
        let begun = self.by_host.remove(&host).filter(|_| part.index > 0);
        let partial = match begun {
            None if part.index == 0 => PartialChange { change: content, next: 1 },
            Some(mut begun) if begun.next == part.index && begun.change.version == version => {
                begun.change.routes.extend(content.routes);
                begun.next += 1;
                begun
            }
            _ => return Err(PartError::OutOfOrder(version, part.index)),
        };
        if partial.next == part.count {
            return Ok(Some(partial.change));
        }
        self.by_host.insert(host, partial);
        Ok(None)
    }

    /// The link to a host ended.
    pub fn forget(&mut self, host: SocketAddr) {
        self.by_host.remove(&host);
    }
}
