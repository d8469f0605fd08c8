//! Splits a change of a document into parts that are encoded once for all entries and decoded one
//! at a time.
//!
//! Decoding a change of two thousand routes at once would take an entry with an eighth of a core a
//! third of a second, during which it would answer no request.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::document::DocumentVersion;
use super::document_change::{AccountChange, DocumentChange};

/// Number of routes in one part.
const PART_ROUTES: usize = 64;
/// Number of accounts in one part.
const PART_ACCOUNTS: usize = 256;

/// Encoded CBOR that is sent as it is.
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
    /// Version of the document that results from the change.
    pub version: DocumentVersion,
    /// Zero-based index of the part.
    pub index: usize,
    /// Number of parts of the change.
    pub count: usize,
    content: EncodedBytes,
}

/// The reason why a part cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PartError {
    /// The part cannot be encoded.
    #[error("encode part of version {0}: {1}")]
    Encode(DocumentVersion, Arc<str>),
    /// The part cannot be decoded.
    #[error("decode part of version {0}: {1}")]
    Decode(DocumentVersion, Arc<str>),
    /// The part does not follow the previous one of the same change.
    #[error("part {1} of version {0} does not follow the previous part")]
    OutOfOrder(DocumentVersion, usize),
}

/// Splits a change into parts and encodes them.
pub fn encode_parts(change: &DocumentChange) -> Result<Vec<DocumentPart>, PartError> {
    let version = change.version;
    let accounts = change.accounts.as_ref().map_or(0, |change| change.accounts.len());
    let count = change.routes.len().div_ceil(PART_ROUTES);
    let count = count.max(accounts.div_ceil(PART_ACCOUNTS)).max(1);
    let to_part = |index: usize| {
        let routes = change.routes.iter().skip(index * PART_ROUTES).take(PART_ROUTES);
        let routes = routes.cloned().collect();
        let accounts = change.accounts.as_ref().map(|change| part_accounts(change, index));
        let content = match index {
            0 => DocumentChange { routes, accounts, ..change.clone() },
            _ => {
                DocumentChange { routes, accounts, ..DocumentChange::empty(version, change.limits) }
            }
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&content, &mut bytes)
            .map_err(|error| PartError::Encode(version, error.to_string().into()))?;
        Ok(DocumentPart { version, index, count, content: EncodedBytes(bytes.into()) })
    };
    (0..count).map(to_part).collect()
}

fn part_accounts(change: &AccountChange, index: usize) -> AccountChange {
    let accounts = change.accounts.iter().skip(index * PART_ACCOUNTS).take(PART_ACCOUNTS);
    let dropped = if index == 0 { change.dropped.clone() } else { Vec::new() };
    AccountChange { accounts: accounts.cloned().collect(), dropped }
}

#[derive(Clone, Debug)]
struct PartialChange {
    change: DocumentChange,
    next: usize,
}

/// Assembles changes from the parts that each host sends.
#[derive(Clone, Debug, Default)]
pub struct PartAssembly {
    by_host: BTreeMap<SocketAddr, PartialChange>,
}

impl PartAssembly {
    /// Adds a part. Returns the whole change once its last part has arrived.
    pub fn add(
        &mut self,
        host: SocketAddr,
        part: &DocumentPart,
    ) -> Result<Option<DocumentChange>, PartError> {
        let version = part.version;
        let content: DocumentChange = ciborium::from_reader(&*part.content.0)
            .map_err(|error| PartError::Decode(version, error.to_string().into()))?;
        let started = self.by_host.remove(&host).filter(|_| part.index > 0);
        let partial = match started {
            None if part.index == 0 => PartialChange { change: content, next: 1 },
            Some(mut started)
                if started.next == part.index && started.change.version == version =>
            {
                started.change.routes.extend(content.routes);
                if let (Some(accounts), Some(more)) =
                    (started.change.accounts.as_mut(), content.accounts)
                {
                    accounts.accounts.extend(more.accounts);
                }
                started.next += 1;
                started
            }
            _ => return Err(PartError::OutOfOrder(version, part.index)),
        };
        if partial.next == part.count {
            return Ok(Some(partial.change));
        }
        self.by_host.insert(host, partial);
        Ok(None)
    }

    /// Discards the parts received from a host whose link has ended.
    pub fn forget(&mut self, host: SocketAddr) {
        self.by_host.remove(&host);
    }
}
