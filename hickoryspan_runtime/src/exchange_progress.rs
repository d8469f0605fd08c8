//! How far the exchange of a request and its answer is on an HTTP/1.1 connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ExchangePhase {
    /// All earlier requests were read to their ends, and their answers were sent. A part of the next head may have arrived.
    #[default]
    Between,
    /// The head of a request has arrived.
    Begun,
    /// The request was read to its end and has an answer, which may not have been sent completely.
    Answered,
    /// The connection is being closed.
    Closing,
}

/// Tells when a connection is between two requests. Only then may its stream be taken from the HTTP library: later bytes
/// belong to no request that has begun, and nothing is left to be sent.
#[derive(Debug, Default)]
pub(crate) struct ExchangeProgress {
    phase: Mutex<ExchangePhase>,
    between: Notify,
}

impl ExchangeProgress {
    fn lock(&self) -> MutexGuard<'_, ExchangePhase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn advance(&self, from: ExchangePhase, to: ExchangePhase) -> bool {
        let mut phase = self.lock();
        let is_due = *phase == from;
        if is_due {
            *phase = to;
        }
        is_due
    }

    /// Notes that the head of a request has arrived, possibly before the answer to the one before it was sent.
    pub(crate) fn note_head(&self) {
        let mut phase = self.lock();
        if *phase != ExchangePhase::Closing {
            *phase = ExchangePhase::Begun;
        }
    }

    /// Notes that the request was read to its end and has an answer. Without this, the rest of its body could pass for the
    /// next request.
    pub(crate) fn note_answer(&self) {
        self.advance(ExchangePhase::Begun, ExchangePhase::Answered);
    }

    /// Notes that nothing is left to be sent.
    pub(crate) fn note_flush(&self) {
        if self.advance(ExchangePhase::Answered, ExchangePhase::Between) {
            self.between.notify_waiters();
        }
    }

    /// Notes that the connection is being closed.
    pub(crate) fn note_shutdown(&self) {
        *self.lock() = ExchangePhase::Closing;
    }

    /// Waits until the connection is between two requests.
    pub(crate) async fn await_between(&self) {
        loop {
            let mut between = std::pin::pin!(self.between.notified());
            between.as_mut().enable();
            if *self.lock() == ExchangePhase::Between {
                return;
            }
            between.await;
        }
    }
}
