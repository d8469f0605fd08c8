//! Hands a prepared request to the controller and answers with its reply.

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

/// The way from callers' requests to the controller.
pub(crate) struct CallerPort {
    pub(crate) controller: Address<EntryController>,
    pub(crate) hangups: mpsc::UnboundedSender<QueryToken>,
    pub(crate) next_token: AtomicU64,
    pub(crate) entry: EntryId,
}

impl CallerPort {
    fn take_token(&self) -> QueryToken {
        QueryToken(self.next_token.fetch_add(1, Ordering::Relaxed))
    }
}

/// Reports a hang-up when the response future is dropped before the reply arrived.
struct HangupGuard<'a> {
    token: Option<QueryToken>,
    hangups: &'a mpsc::UnboundedSender<QueryToken>,
}

impl HangupGuard<'_> {
    fn disarm(mut self) {
        self.token = None;
    }
}

impl Drop for HangupGuard<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            // The controller ends only at a stop, and then nothing is left to cancel.
            let _ = self.hangups.send(token);
        }
    }
}

/// The last filter.
pub(crate) struct RunFilter {
    pub(crate) port: Arc<CallerPort>,
}

fn stopping() -> CallerError {
    CallerError::new(CallerErrorKind::Stopping, "the entry stops")
}

impl RunFilter {
    async fn run(&self, exchange: &mut CallerExchange) -> FilterResult {
        let call = exchange.call.take().ok_or_else(stopping)?;
        let request_id = exchange.request_id.as_ref().ok_or_else(stopping)?;
        match call {
            PreparedCall::Addresses(caller) => self.ask_addresses(caller, request_id).await,
            PreparedCall::Work(request, content) => {
                let kind = match exchange.route {
                    Some(CallerRoute::Search) => ContentKind::Search,
                    _ => ContentKind::Order,
                };
                let (reply, replied) = oneshot::channel();
                let token = self.port.take_token();
                let call = CallerCall { token, request, content, reply };
                let guard = HangupGuard { token: Some(token), hangups: &self.port.hangups };
                drop(self.port.controller.send(call).detach().await.map_err(|_| stopping())?);
                let reply = replied.await.map_err(|_| stopping())?;
                guard.disarm();
                let context = AnswerContext { entry: &self.port.entry, request_id };
                Ok(ControlFlow::Break(build_answer(&reply, kind, context)))
            }
        }
    }

    async fn ask_addresses(&self, caller: CallerId, request_id: &RequestId) -> FilterResult {
        let (reply, replied) = oneshot::channel();
        let call = AddressCall { token: self.port.take_token(), caller, reply };
        drop(self.port.controller.send(call).detach().await.map_err(|_| stopping())?);
        let answer = replied.await.map_err(|_| stopping())?;
        let context = AnswerContext { entry: &self.port.entry, request_id };
        Ok(ControlFlow::Break(build_addresses(&answer, context)))
    }
}

impl RequestFilter for RunFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(self.run(exchange))
    }
}
