//! Identifiers. Text identifiers are restricted so that they are safe in headers, logs and file names.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::quantity::ParseValueError;

/// Longest accepted text identifier, in bytes, so that a record's size stays bounded.
pub const MAX_IDENTIFIER_BYTES: usize = 128;

fn is_identifier_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'/')
}

fn check_identifier(kind: &'static str, text: &str) -> Result<(), ParseValueError> {
    if text.is_empty() || text.len() > MAX_IDENTIFIER_BYTES {
        return Err(ParseValueError::new(kind, text, "1 to 128 bytes"));
    }
    if !text.bytes().all(is_identifier_byte) {
        return Err(ParseValueError::new(kind, text, "ASCII letters, digits and -_.:/"));
    }
    Ok(())
}

// A macro is used because every identifier needs the same parser, `Display` and checked decoding.
macro_rules! text_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks the text and wraps it; the error names the accepted characters and length.
            pub fn new(text: impl Into<Arc<str>>) -> Result<Self, ParseValueError> {
                let text = text.into();
                check_identifier(stringify!($name), &text)?;
                Ok(Self(text))
            }

            /// The identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = ParseValueError;

            fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(identifier: $name) -> Self {
                identifier.0
            }
        }
    )*};
}

// A macro is used because every numeric identifier needs the same parser and `Display`.
macro_rules! number_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The following number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseValueError::new(stringify!($name), text, "a whole number"))
            }
        }
    )*};
}

text_identifier! {
    /// A target: one searcher process of a service, named by itself when it announces.
    TargetId;
    /// An entry host's process role; stable over restarts, unlike its incarnation.
    EntryId;
    /// A tenant (firm).
    TenantId;
    /// A caller: a process or group of processes that sends requests and has its own limit.
    CallerId;
    /// A class of requests with its own deadline, priority and coverage policy.
    ClassId;
    /// A service that targets implement.
    ServiceId;
    /// A named search that a tenant may run.
    SearchId;
    /// A shard of a service's index.
    ShardId;
    /// A failure domain: hosts that may fail together.
    FailureDomain;
    /// A caller's own name for a request; resends carry the same one.
    RequestId;
    /// An operator who issues administrative commands.
    OperatorId;
    /// An operator's own name for a command; resends carry the same one.
    CommandId;
}

number_identifier! {
    /// A start of a process; a later start has a larger number.
    IncarnationNumber;
    /// A version of a service's index; answers never mix two of them.
    SnapshotVersion;
    /// A revision of the state that entry hosts see; it only grows.
    RevisionNumber;
    /// The number on a morning sheet.
    SheetNumber;
    /// An exclusive index that an entry process leases; its connection shares follow from it.
    OrdinalNumber;
    /// A term of the replicated log.
    TermNumber;
    /// The random identity of a control replica's data folder.
    ReplicaId;
    /// One attempt to run a request on one target; never reused within a process.
    AttemptId;
    /// One connection to a target; never reused within a process.
    ConnectionId;
    /// One caller request inside an entry process; never reused within a process.
    QueryToken;
}

const DIGEST_BYTES: usize = 32;

fn write_hexadecimal(bytes: &[u8], formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
}

fn parse_hexadecimal(
    kind: &'static str,
    text: &str,
) -> Result<[u8; DIGEST_BYTES], ParseValueError> {
    let fault = || ParseValueError::new(kind, text, "64 hexadecimal digits");
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return Err(fault());
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| fault())?;
    }
    Ok(bytes)
}

// A macro is used because both digests need the same text form.
macro_rules! digest_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(pub [u8; DIGEST_BYTES]);

        impl $name {
            /// The digest of the parts; each part's length is hashed too, so that parts do not run together.
            pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
                let mut hasher = blake3::Hasher::new();
                for part in parts {
                    hasher.update(&(part.len() as u64).to_le_bytes());
                    hasher.update(part);
                }
                Self(*hasher.finalize().as_bytes())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_hexadecimal(&self.0, formatter)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_hexadecimal(stringify!($name), text).map(Self)
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = ParseValueError;

            fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for Arc<str> {
            fn from(digest: $name) -> Self {
                digest.to_string().into()
            }
        }
    )*};
}

digest_identifier! {
    /// Identifies requests with equal tenant, service, search and body, for crash quarantine.
    RequestFingerprint;
    /// Digest of a replicated state or of a sheet's content.
    StateDigest;
}
