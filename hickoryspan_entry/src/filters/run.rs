//! Filter that sends a prepared request to the controller and builds the response from its reply.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hickoryspan_core::types::{CallerId, EntryId, QueryToken, RequestId};
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

use super::{CallerExchange, CallerRoute, FilterFuture, FilterResult, PreparedCall, RequestFilter};
use crate::answers::{AnswerContext, ContentKind, build_addresses, build_answer};
use crate::controller::{AddressCall, CallerCall, EntryController};
use crate::errors::{CallerError, CallerErrorKind};

/// Connects the filter chain to the controller and allocates request tokens.
pub(crate) struct ControllerHandle {
    pub(crate) controller: Address<EntryController>,
    pub(crate) disconnects: mpsc::UnboundedSender<QueryToken>,
    pub(crate) next_token: AtomicU64,
    pub(crate) entry: EntryId,
}

impl ControllerHandle {
    fn allocate_token(&self) -> QueryToken {
        QueryToken(self.next_token.fetch_add(1, Ordering::Relaxed))
    }
}

/// Reports that the caller disconnected when the response future is dropped before the reply
/// arrives.
struct DisconnectGuard<'a> {
    token: Option<QueryToken>,
    disconnects: &'a mpsc::UnboundedSender<QueryToken>,
}

impl DisconnectGuard<'_> {
    fn disarm(mut self) {
        self.token = None;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            // Fails only if the controller has ended during shutdown, when nothing is left to
            // cancel.
            let _ = self.disconnects.send(token);
        }
    }
}

/// Last filter of the chain, which runs the request.
pub(crate) struct RunFilter {
    pub(crate) handle: Arc<ControllerHandle>,
}

fn stopping() -> CallerError {
    CallerError::new(CallerErrorKind::Stopping, "the entry stops")
}

/// Returns the error for a request that was in work when the controller ended. It may have been sent to a target.
fn interrupted() -> CallerError {
    CallerError::new(CallerErrorKind::Interrupted, "the entry stopped before the answer")
}

impl RunFilter {
    async fn run(&self, exchange: &mut CallerExchange) -> FilterResult {
        let call = exchange.call.take().ok_or_else(stopping)?;
        let request_id = exchange.request_id.as_ref().ok_or_else(stopping)?;
        match call {
            PreparedCall::Addresses(caller) => self.request_addresses(caller, request_id).await,
            PreparedCall::Request(request, content) => {
                let kind = match exchange.route {
                    Some(CallerRoute::Search) => ContentKind::Search,
                    _ => ContentKind::Order,
                };
                let (reply, reply_receiver) = oneshot::channel();
                let token = self.handle.allocate_token();
                let call = CallerCall { token, request, content, reply };
                let guard =
                    DisconnectGuard { token: Some(token), disconnects: &self.handle.disconnects };
                drop(self.handle.controller.send(call).detach().await.map_err(|_| stopping())?);
                let reply = reply_receiver.await.map_err(|_| interrupted())?;
                guard.disarm();
                let context = AnswerContext { entry: &self.handle.entry, request_id };
                Ok(ControlFlow::Break(build_answer(&reply, kind, context)))
            }
        }
    }

    async fn request_addresses(&self, caller: CallerId, request_id: &RequestId) -> FilterResult {
        let (reply, reply_receiver) = oneshot::channel();
        let call = AddressCall { token: self.handle.allocate_token(), caller, reply };
        drop(self.handle.controller.send(call).detach().await.map_err(|_| stopping())?);
        let answer = reply_receiver.await.map_err(|_| stopping())?;
        let context = AnswerContext { entry: &self.handle.entry, request_id };
        Ok(ControlFlow::Break(build_addresses(&answer, context)))
    }
}

impl RequestFilter for RunFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(self.run(exchange))
    }
}
