//! Answers that the entry gives itself, instead of forwarding one of a target.

use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::log_limit::LogPriority;
use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::attempt::GatewayJob;
use crate::gateway_state::GatewayState;
use crate::quota_permits::give_back;

/// Longest `Retry-After` of a refusal.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest `Retry-After` of a refusal.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Challenge of a 401, which RFC 9110 requires. No registered scheme describes a key in a header of its own.
const KEY_CHALLENGE: &str = "ApiKey";

pub(crate) type GatewayResponse = Response<Full<Bytes>>;

/// Why the entry answers a request itself instead of forwarding a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    NoConfiguration,
    NoHost,
    MalformedDeadline,
    NoRoute,
    UnknownKey,
    QuotaExceeded,
    BodyTooLarge,
    BodyTooSlow,
    BodyIncomplete,
    NoRoom,
    Poisoned,
    Stopping,
    NoTarget,
    Evacuated,
    Overloaded,
    Limited,
    MayHaveRun,
    TimedOut,
    StopTimedOut,
}

impl RefusalReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoHost => "no_host",
            Self::MalformedDeadline => "malformed_deadline",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::QuotaExceeded => "quota_exceeded",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoRoom => "no_room",
            Self::Poisoned => "poisoned",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::Evacuated => "evacuated",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
            Self::MayHaveRun => "may_have_run",
            Self::TimedOut => "timed_out",
            Self::StopTimedOut => "stop_timed_out",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NoTarget
            | Self::Evacuated
            | Self::Overloaded
            | Self::Limited
            | Self::NoRoom
            | Self::Stopping
            | Self::Poisoned => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoHost | Self::MalformedDeadline | Self::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::StopTimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Answers a request with the reason why no answer of a target is forwarded.
pub(crate) fn refuse(
    state: &GatewayState,
    request: &str,
    reason: RefusalReason,
    retry_after: Duration,
) -> GatewayResponse {
    if state.admits_log_line(LogPriority::Important) {
        let version = state.decisions().version();
        spdlog::info!(
            "request refused",
            kv: {
                request: = request,
                reason: = reason.as_str(),
                status: = reason.status().as_u16(),
                version: = version.map_or_else(|| "-".to_owned(), |version| version.to_string())
            }
        );
    }
    metrics::counter!("hickoryspan_gateway_refusals_total", "reason" => reason.as_str())
        .increment(1);
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_str().as_bytes())));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let is_retryable =
        matches!(reason.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    if is_retryable
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, seconds);
    }
    if reason.status() == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(KEY_CHALLENGE));
    }
    response
}

/// Refuses a request for which there is no target, or too few. It does not count towards the quota of its account.
pub(crate) fn refuse_without_target(state: &GatewayState, job: &GatewayJob) -> GatewayResponse {
    give_back(state, job);
    let decisions = state.decisions();
    let mut services = job.route.destination.services().into_iter();
    let is_evacuated = services.any(|service| decisions.selector.is_evacuated(service));
    drop(decisions);
    let reason = if is_evacuated { RefusalReason::Evacuated } else { RefusalReason::NoTarget };
    refuse_job(state, job, reason)
}

/// Refuses a request whose route is known.
pub(crate) fn refuse_job(
    state: &GatewayState,
    job: &GatewayJob,
    reason: RefusalReason,
) -> GatewayResponse {
    let delay = match reason {
        RefusalReason::NoTarget => reopening_delay(state, job),
        _ => None,
    };
    refuse(state, job.request_text(), reason, delay.unwrap_or_else(|| retry_delay(state, job)))
}

/// Returns when the first of the closed services of a request opens again, by what its targets said; `None` if none is
/// closed.
fn reopening_delay(state: &GatewayState, job: &GatewayJob) -> Option<Duration> {
    let now = state.now();
    let decisions = state.decisions();
    let services = job.route.destination.services().into_iter();
    let opens_at =
        services.filter_map(|service| decisions.selector.opens_at(now, service)).min()?;
    Some(opens_at.since(now))
}

/// Returns the `Retry-After` of a refusal: a quarter of the time that the caller still has, so that a retry can succeed
/// before its deadline, and so that retries are spread over time.
fn retry_delay(state: &GatewayState, job: &GatewayJob) -> Duration {
    let remaining = job.give_up_at.since(state.now());
    (remaining / 4).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
