//! The names of the headers that the gateway reads and sets, and which headers end at a connection.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// The names of the gateway's own headers; a platform may have others.
#[derive(Clone, Debug)]
pub struct GatewayHeaders {
    /// Identifies one attempt of a caller; targets echo it.
    pub request: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline: HeaderName,
    /// The target that a request is meant for.
    pub expected_target: HeaderName,
    /// Proves which target an answer comes from.
    pub stamp: HeaderName,
    /// The stamps of the parts in an answer.
    pub part_stamps: HeaderName,
    /// The number of shards that are not in an answer.
    pub missing_parts: HeaderName,
    /// Set if a target did not run a request.
    pub not_run: HeaderName,
    /// A target's load: running, waiting and slots, and the pace of its host in percent.
    pub load: HeaderName,
}

impl Default for GatewayHeaders {
    fn default() -> Self {
        Self {
            request: HeaderName::from_static("hs-request-id"),
            deadline: HeaderName::from_static("hs-deadline-ms"),
            expected_target: HeaderName::from_static("hs-target"),
            stamp: HeaderName::from_static("hs-stamp"),
            part_stamps: HeaderName::from_static("hs-part-stamps"),
            missing_parts: HeaderName::from_static("hs-missing-parts"),
            not_run: HeaderName::from_static("hs-not-run"),
            load: HeaderName::from_static("hs-load"),
        }
    }
}

/// Header of older peers that also ends at a connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Header of older peers that also ends at a connection.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that concern one connection, and the length, which the HTTP library sets from the body.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
}
