//! The names of the headers that the gateway reads and sets, and the removal of hop-by-hop headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// The names of the gateway's own headers. Adapters for other platforms may replace them.
#[derive(Clone, Debug)]
pub struct GatewayHeaders {
    /// ID of a caller's attempt, which targets echo.
    pub request: HeaderName,
    /// Milliseconds until the caller stops waiting.
    pub deadline: HeaderName,
    /// The target that a request is addressed to.
    pub expected_target: HeaderName,
    /// Stamp that proves which target a response comes from.
    pub stamp: HeaderName,
    /// The stamps of all parts of a merged answer.
    pub part_stamps: HeaderName,
    /// The number of shards that are missing from a merged answer.
    pub missing_parts: HeaderName,
    /// Present if a target did not run a request.
    pub not_run: HeaderName,
    /// Key of the caller's account. It never leaves the entry that the caller is connected to.
    pub key: HeaderName,
    /// Name of the account that holds the key, as targets learn it.
    pub account: HeaderName,
    /// Load of a target: running requests, queued requests, slots, and the processing time on its host in percent of
    /// the usual time.
    pub load: HeaderName,
    /// Requests per second that a target in need takes from all entries together, as a decimal number.
    pub limit: HeaderName,
    /// With the value 1 in responses of targets: the target leaves.
    pub leaving: HeaderName,
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
            key: HeaderName::from_static("hs-key"),
            account: HeaderName::from_static("hs-account"),
            load: HeaderName::from_static("hs-load"),
            limit: HeaderName::from_static("hs-limit"),
            leaving: HeaderName::from_static("hs-leaving"),
        }
    }
}

/// Obsolete hop-by-hop header that older peers still send.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Nonstandard hop-by-hop header of older clients.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, and the content length, which the HTTP library sets from the body.
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
