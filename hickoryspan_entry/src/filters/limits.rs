//! Filter that limits the number of concurrent requests.

use std::sync::Arc;

use tokio::sync::Semaphore;

use super::{CONTINUE, CallerExchange, FilterFuture, RequestFilter};
use crate::errors::{CallerError, CallerErrorKind};

/// Rejects requests above the concurrency limit, so that memory use stays bounded.
pub(crate) struct LimitFilter {
    requests: Arc<Semaphore>,
}

impl LimitFilter {
    pub(crate) fn new(requests: usize) -> Self {
        Self { requests: Arc::new(Semaphore::new(requests)) }
    }
}

impl RequestFilter for LimitFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let Ok(permit) = Arc::clone(&self.requests).try_acquire_owned() else {
                let detail = "the entry holds as many requests as it may";
                return Err(CallerError::new(CallerErrorKind::TooManyRequests, detail));
            };
            exchange.permit = Some(permit);
            CONTINUE
        })
    }
}
