//! Follows the request on a caller's connection, so that one that ends without a whole answer leaves a log line that
//! says how; see docs/OPERATIONS.md.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::types::MonotonicTime;
use http::HeaderValue;

use crate::gateway_state::GatewayState;

/// Number of open caller connections and of requests on them that have no answer yet.
#[derive(Debug, Default)]
pub(crate) struct CallerCounts {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl CallerCounts {
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangePhase {
    /// Its head was read, and there is no answer yet.
    Running,
    /// There is an answer, which may not have been sent completely.
    Answered,
}

impl ExchangePhase {
    fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Answered => "answered",
        }
    }
}

/// The last request on a connection.
struct CallerExchange {
    request: Option<HeaderValue>,
    phase: ExchangePhase,
    // Start of the phase.
    since: MonotonicTime,
}

/// Why a connection ended before its last answer was sent.
#[derive(Debug)]
enum ConnectionEnd {
    /// The HTTP library ended it, mostly because the caller closed it.
    Failed(hyper::Error),
    /// This entry closed it.
    Dropped,
}

/// An open connection of a caller.
pub(crate) struct CallerConnection {
    state: Arc<GatewayState>,
    exchange: Mutex<Option<CallerExchange>>,
}

impl CallerConnection {
    pub(crate) fn open(state: Arc<GatewayState>) -> Self {
        state.caller_counts.connections.fetch_add(1, Ordering::Relaxed);
        Self { state, exchange: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Option<CallerExchange>> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the head of a request was read.
    pub(crate) fn note_request(&self, request: Option<HeaderValue>) {
        self.state.caller_counts.requests.fetch_add(1, Ordering::Relaxed);
        let since = self.state.now();
        *self.lock() = Some(CallerExchange { request, phase: ExchangePhase::Running, since });
    }

    /// Notes that the request has an answer.
    pub(crate) fn note_answer(&self) {
        self.state.caller_counts.requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(exchange) = self.lock().as_mut() {
            exchange.phase = ExchangePhase::Answered;
            exchange.since = self.state.now();
        }
    }

    /// Notes the end of the connection. Without an error, all answers were sent.
    pub(crate) fn finish(&self, ended: Result<(), hyper::Error>) {
        match ended {
            Ok(()) => {
                self.lock().take_if(|exchange| exchange.phase == ExchangePhase::Answered);
            }
            Err(error) => self.note_end(&ConnectionEnd::Failed(error)),
        }
    }

    fn note_end(&self, end: &ConnectionEnd) {
        let Some(exchange) = self.lock().take() else { return };
        if exchange.phase == ExchangePhase::Running {
            self.state.caller_counts.requests.fetch_sub(1, Ordering::Relaxed);
        }
        let cause = match end {
            ConnectionEnd::Failed(error) if error.is_incomplete_message() => "caller closed",
            ConnectionEnd::Failed(_) => "connection failed",
            ConnectionEnd::Dropped => "closed by this entry",
        };
        let stopping = self.state.stop_schedule.get().is_some();
        metrics::counter!("hickoryspan_gateway_cut_requests_total", "phase" => exchange.phase.as_str(), "cause" => cause)
            .increment(1);
        // Callers leave all the time. What this entry cut must not be lost among them.
        let priority = match (end, stopping) {
            (ConnectionEnd::Failed(_), false) => LogPriority::Ordinary,
            _ => LogPriority::Important,
        };
        if !self.state.admits_log_line(priority) {
            return;
        }
        let request = exchange.request.as_ref().and_then(|value| value.to_str().ok());
        spdlog::info!(
            "request cut",
            kv: {
                request: = request.unwrap_or("-"),
                phase: = exchange.phase.as_str(),
                cause: = cause,
                stopping: = stopping,
                in_phase_ms: = self.state.now().since(exchange.since).as_millis()
            }
        );
        if let ConnectionEnd::Failed(error) = end {
            spdlog::debug!("caller port: {}", error);
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.note_end(&ConnectionEnd::Dropped);
        self.state.caller_counts.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
