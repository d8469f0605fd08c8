//! The shared credential that protects the administration and inter-process ports.

use std::fmt;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// Shortest accepted credential in bytes, so that it cannot be guessed over the network.
pub const MIN_CREDENTIAL_BYTES: usize = 16;

/// A secret that all processes of a deployment share; its text never appears in logs.
#[derive(Clone)]
pub struct SharedCredential(Arc<str>);

impl SharedCredential {
    /// Wraps the trimmed text; the error states the length rule without the text.
    pub fn new(text: &str) -> Result<Self, CredentialError> {
        let text = text.trim();
        if text.len() < MIN_CREDENTIAL_BYTES || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(CredentialError);
        }
        Ok(Self(text.into()))
    }

    /// The value of an `authorization` header.
    pub fn to_header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Whether the headers carry this credential; the comparison takes constant time for a given length.
    pub fn matches_headers(&self, headers: &HeaderMap) -> bool {
        let Some(value) = headers.get(AUTHORIZATION) else { return false };
        let expected = self.to_header();
        value.as_bytes().ct_eq(expected.as_bytes()).into()
    }
}

impl fmt::Debug for SharedCredential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedCredential(hidden)")
    }
}

/// The credential is too short or has characters that a header cannot carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a credential has at least {MIN_CREDENTIAL_BYTES} visible ASCII characters and no blank")]
pub struct CredentialError;
