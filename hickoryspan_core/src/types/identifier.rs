//! Typed identifiers. Text identifiers allow only characters that are safe in headers, logs and
//! file names.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::quantity::ParseValueError;

/// Maximum length of a text identifier in bytes, which bounds the size of records.
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

// Every identifier needs the same parser, `Display` and validation when it is decoded.
macro_rules! text_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates the text. The error names the accepted characters or length.
            pub fn new(text: impl Into<Arc<str>>) -> Result<Self, ParseValueError> {
                let text = text.into();
                check_identifier(stringify!($name), &text)?;
                Ok(Self(text))
            }

            /// Returns the text of the identifier.
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

// Every numeric identifier needs the same parser and `Display`.
macro_rules! number_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the following number.
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
    /// A target: one back end process of a service. It chooses its own name and announces it.
    TargetId;
    /// The entry process of a host. It stays the same across restarts, unlike the incarnation.
    EntryId;
    /// A tenant: a firm with its own services, searches and callers.
    TenantId;
    /// A client account: a customer whose callers send requests with its keys.
    AccountId;
    /// A caller: a process or group of processes that sends requests and has its own rate limit.
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
    /// The caller's identifier of a request. Resends carry the same one.
    RequestId;
    /// An operator who issues administrative commands.
    OperatorId;
    /// The operator's identifier of a command. Resends carry the same one.
    CommandId;
}

number_identifier! {
    /// Identifies one start of a process. A later start has a larger number.
    IncarnationNumber;
    /// Version of a service's index. An answer never mixes two versions.
    SnapshotVersion;
    /// Revision of the state that entry hosts see. It only increases.
    RevisionNumber;
    /// Number of a sheet, which holds the configuration of all tenants.
    SheetNumber;
    /// Exclusive index that an entry process leases. It determines the process's connection shares.
    OrdinalNumber;
    /// A term of the replicated log.
    TermNumber;
    /// Random identity of a control replica's data folder.
    ReplicaId;
    /// One attempt to run a request on one target. It is never reused within a process.
    AttemptId;
    /// One connection to a target. It is never reused within a process.
    ConnectionId;
    /// One request of a caller within an entry process. It is never reused within a process.
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

// Both digests need the same text form.
macro_rules! digest_identifier {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(pub [u8; DIGEST_BYTES]);

        impl $name {
            /// Returns the digest of the parts. Each part's length is hashed too, so that moving
            /// bytes from one part to the next changes the digest.
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
    /// Identifies requests with the same tenant, service, search and body, for crash quarantine.
    RequestFingerprint;
    /// Digest of a replicated state or of a sheet's content.
    StateDigest;
}
