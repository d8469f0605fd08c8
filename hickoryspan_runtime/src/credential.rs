//! The shared credential that protects the administration and inter-process ports.

use std::fmt;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// Minimum length of a credential in bytes, so that it cannot be guessed over the network.
pub const MIN_CREDENTIAL_BYTES: usize = 16;

/// The secret shared by all processes of a deployment. Its text never appears in logs.
#[derive(Clone)]
pub struct SharedCredential(Arc<str>);

impl SharedCredential {
    /// Creates a credential from a text, whose surrounding white space is removed. The error states the accepted
    /// length and characters, but not the text.
    pub fn new(text: &str) -> Result<Self, CredentialError> {
        let text = text.trim();
        if text.len() < MIN_CREDENTIAL_BYTES || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(CredentialError);
        }
        Ok(Self(text.into()))
    }

    /// Returns the value of the `authorization` header that presents this credential.
    pub fn to_header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether the `authorization` header presents this credential. The comparison takes constant time for a
    /// given length.
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

/// The text is too short for a credential or contains characters that a header cannot represent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a credential has at least {MIN_CREDENTIAL_BYTES} visible ASCII characters and no blank")]
pub struct CredentialError;
