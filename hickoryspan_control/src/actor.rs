//! The actor that owns the control state machine and performs the actions that it returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hickoryspan_core::control::interface::{
    ControlAction, ControlEvent, ControlReply, LinkId, ReplyToken,
};
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::messages::ControlMessage;
use hickoryspan_core::types::MonotonicTime;
use hickoryspan_runtime::clock::SystemClock;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use xtra::prelude::*;

use crate::control_handle::ControlView;
use crate::persistence::PersistenceThread;
use crate::replica_links::ReplicaLinks;

/// Maximum number of messages of links and of requests in the mailbox. Further ones are rejected, so that memory use
/// stays bounded.
const MAX_WAITING_EVENTS: usize = 16 * 1024;

/// Owns the state machine and passes it the events of its mailbox in order.
#[derive(xtra::Actor)]
pub(crate) struct ControlActor {
    pub(crate) machine: ControlMachine,
    pub(crate) clock: SystemClock,
    pub(crate) persistence: PersistenceThread,
    pub(crate) replica_links: ReplicaLinks,
    pub(crate) entry_links: HashMap<LinkId, mpsc::Sender<ControlMessage>>,
    pub(crate) replies: HashMap<ReplyToken, oneshot::Sender<ControlReply>>,
    pub(crate) wakeup: watch::Sender<Option<MonotonicTime>>,
    pub(crate) view: watch::Sender<ControlView>,
    /// Cancelled when the state machine has stopped.
    pub(crate) stopped: CancellationToken,
    pub(crate) actions: Vec<ControlAction>,
}

impl ControlActor {
    fn handle_event(&mut self, event: ControlEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(self.clock.reading(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.wakeup.send_replace(self.machine.next_wakeup());
        self.view.send_if_modified(|view| view.update_from(&self.machine));
    }

    fn perform(&mut self, action: ControlAction) {
        match action {
            ControlAction::Persist(sequence, batch) => self.persistence.persist(sequence, batch),
            ControlAction::SendReplica { to, address, message } => {
                self.replica_links.send(to, address, message);
            }
            ControlAction::SendEntry(link, message) => self.send_entry(link, message),
            ControlAction::CloseLink(link) => {
                self.entry_links.remove(&link);
            }
            ControlAction::Reply(token, reply) => {
                // The requester may have disconnected while its request was decided.
                let _ = self.replies.remove(&token).map(|reply_to| reply_to.send(reply));
            }
            ControlAction::Stop(reason) => {
                spdlog::critical!("control replica must stop: {}", reason);
                self.stopped.cancel();
            }
            ControlAction::Stopped => self.stopped.cancel(),
        }
    }

    fn send_entry(&mut self, link: LinkId, message: ControlMessage) {
        let Some(sender) = self.entry_links.get(&link) else { return };
        // Dropping the sender closes the link. The entry then reconnects and resynchronizes.
        if sender.try_send(message).is_err() {
            spdlog::warn!("entry link {}: queue full, closing", link.0);
            self.entry_links.remove(&link);
        }
    }
}

/// Passes an event to the state machine. The permit, if any, is released once it has been handled.
struct DeliverEvent(ControlEvent, Option<tokio::sync::OwnedSemaphorePermit>);

impl Handler<DeliverEvent> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: DeliverEvent, _context: &mut Context<Self>) {
        self.handle_event(message.0);
        drop(message.1);
    }
}

/// Passes a request to the state machine and registers the channel for its reply.
struct AskMachine {
    token: ReplyToken,
    event: ControlEvent,
    reply_to: oneshot::Sender<ControlReply>,
}

impl Handler<AskMachine> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: AskMachine, _context: &mut Context<Self>) {
        self.replies.retain(|_, reply_to| !reply_to.is_closed());
        self.replies.insert(message.token, message.reply_to);
        self.handle_event(message.event);
    }
}

/// Registers a new entry link.
struct OpenEntryLink(LinkId, mpsc::Sender<ControlMessage>);

impl Handler<OpenEntryLink> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: OpenEntryLink, _context: &mut Context<Self>) {
        self.entry_links.insert(message.0, message.1);
    }
}

/// Removes an entry link that has closed.
struct CloseEntryLink(LinkId);

impl Handler<CloseEntryLink> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: CloseEntryLink, _context: &mut Context<Self>) {
        self.entry_links.remove(&message.0);
        self.handle_event(ControlEvent::LinkClosed(message.0));
    }
}

/// Stops the actor after closing its links, and returns its persistence thread.
struct ShutDown;

impl Handler<ShutDown> for ControlActor {
    type Return = PersistenceThread;

    async fn handle(&mut self, _message: ShutDown, context: &mut Context<Self>) -> Self::Return {
        self.replica_links.close().await;
        self.entry_links.clear();
        self.replies.clear();
        context.stop_self();
        self.persistence.take()
    }
}

/// Delivers events to the actor from any task or thread.
#[derive(Clone)]
pub(crate) struct ControlInbox {
    address: Address<ControlActor>,
    permits: Arc<Semaphore>,
    next_token: Arc<AtomicU64>,
}

impl ControlInbox {
    /// Creates an inbox for the actor at `address`.
    pub(crate) fn new(address: Address<ControlActor>) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(MAX_WAITING_EVENTS)),
            next_token: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Queues an event from a link. Returns false if too many events are waiting or the actor has stopped; the caller
    /// then closes the link.
    pub(crate) fn try_deliver(&self, event: ControlEvent) -> bool {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return false };
        self.deliver(event, Some(permit))
    }

    /// Queues an event that this process raised itself. Such events are never rejected because too many are waiting.
    /// Returns false if the actor has stopped.
    pub(crate) fn deliver_internal(&self, event: ControlEvent) -> bool {
        self.deliver(event, None)
    }

    fn deliver(
        &self,
        event: ControlEvent,
        permit: Option<tokio::sync::OwnedSemaphorePermit>,
    ) -> bool {
        if !self.address.is_connected() {
            return false;
        }
        // The mailbox is unbounded, so the first poll of the future already queues the message.
        let send = self.address.send(DeliverEvent(event, permit)).detach();
        matches!(futures::FutureExt::now_or_never(send), Some(Ok(_)))
    }

    /// Sends a request and waits for the reply. Returns `None` if too many events are waiting or the daemon stops.
    pub(crate) async fn ask(
        &self,
        event: impl FnOnce(ReplyToken) -> ControlEvent,
    ) -> Option<ControlReply> {
        let _permit = self.permits.try_acquire().ok()?;
        let token = ReplyToken(self.next_token.fetch_add(1, Ordering::Relaxed));
        let (reply_to, reply) = oneshot::channel();
        let message = AskMachine { token, event: event(token), reply_to };
        self.address.send(message).await.ok()?;
        reply.await.ok()
    }

    /// Registers an entry link. Must complete before the link's first message is delivered.
    pub(crate) async fn open_entry_link(&self, link: LinkId, sender: mpsc::Sender<ControlMessage>) {
        // An error means that the daemon is stopping, which closes the link as well.
        let _ = self.address.send(OpenEntryLink(link, sender)).await;
    }

    /// Removes an entry link and notifies the state machine that it has closed.
    pub(crate) async fn close_entry_link(&self, link: LinkId) {
        let _ = self.address.send(CloseEntryLink(link)).await;
    }

    /// Stops the actor and waits until its links are closed and its persistence thread has ended.
    pub(crate) async fn shut_down(&self) {
        // An error means that the actor has ended, which joined the thread.
        if let Ok(persistence) = self.address.send(ShutDown).await {
            persistence.close().await;
        }
    }
}

/// Delivers `Tick` whenever the state machine's next wake-up time is reached, until `stop` is cancelled.
pub(crate) async fn run_timer(
    clock: SystemClock,
    mut wakeup: watch::Receiver<Option<MonotonicTime>>,
    inbox: ControlInbox,
    stop: CancellationToken,
) {
    loop {
        let next = *wakeup.borrow_and_update();
        let sleep = async {
            match next {
                Some(time) => tokio::time::sleep_until(clock.instant(time).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            changed = wakeup.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep => {
                if !inbox.deliver_internal(ControlEvent::Tick) || wakeup.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
