//! Outgoing links to the other control replicas. Messages may be lost, but those of one link arrive in order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use hickoryspan_core::control::raft::ReplicaMessage;
use hickoryspan_core::reconnect::{ReconnectDelay, ReconnectSettings};
use hickoryspan_core::types::ReplicaId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// Maximum number of messages in the queue of one link. Further ones are dropped, because the replication protocol
/// retransmits what is still needed.
const QUEUE_CAPACITY: usize = 1024;
/// Longest delay after failed connections. It is short because an election may have to wait for it.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(80);
/// Interval between probes, which detect connections that are dead but were never closed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of unanswered probes after which a link is replaced. This takes 2 s, so that a burst of log entries queued
/// before a probe does not close the link.
const MAX_UNANSWERED_PROBES: u64 = 4;
/// Request path of replica links on the peer port.
pub(crate) const REPLICA_PATH: &str = "/v1/replica";
/// Header with the ID of the connecting replica.
pub(crate) const REPLICA_HEADER: &str = "hs-replica-id";

/// A message between replicas. The variant determines the kind of the frame; variants may be added later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReplicaFrame {
    /// A message of log replication.
    Replication(ReplicaMessage),
    /// Requests an answer over the same link. The probes of one link are numbered from 1.
    Probe(u64),
    /// Answers the probe with this number and all earlier ones.
    ProbeAnswer(u64),
}

struct ReplicaLink {
    address: SocketAddr,
    queue: mpsc::Sender<ReplicaFrame>,
}

/// The links to all replicas to which a message has been sent.
pub(crate) struct ReplicaLinks {
    local_id: ReplicaId,
    credential: SharedCredential,
    links: HashMap<ReplicaId, ReplicaLink>,
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl ReplicaLinks {
    /// Creates the links of the replica `local_id`; none is opened yet.
    pub(crate) fn new(local_id: ReplicaId, credential: SharedCredential) -> Self {
        Self {
            local_id,
            credential,
            links: HashMap::new(),
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Queues a message and opens a link if there is none to `address`. The message is dropped if the queue is full.
    pub(crate) fn send(&mut self, to: ReplicaId, address: SocketAddr, message: ReplicaMessage) {
        let is_current = self.links.get(&to).is_some_and(|link| link.address == address);
        if !is_current {
            self.open(to, address);
        }
        let Some(link) = self.links.get(&to) else { return };
        if link.queue.try_send(ReplicaFrame::Replication(message)).is_err() {
            spdlog::debug!("replica link: {}: queue full, message dropped", address);
        }
    }

    fn open(&mut self, to: ReplicaId, address: SocketAddr) {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let task = run_link(self.local_id, address, self.credential.clone(), messages);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
        self.links.insert(to, ReplicaLink { address, queue });
        while self.tasks.try_join_next().is_some() {}
    }

    /// Closes all links and joins their tasks.
    pub(crate) async fn close(&mut self) {
        self.links.clear();
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn run_link(
    local_id: ReplicaId,
    address: SocketAddr,
    credential: SharedCredential,
    mut messages: mpsc::Receiver<ReplicaFrame>,
) {
    let mut delay = ReconnectDelay::new(ReconnectSettings {
        max: MAX_RECONNECT_DELAY,
        max_unlinked: MAX_RECONNECT_DELAY,
        ..Default::default()
    });
    // The link is opened when there is a message to send, which then becomes the first message on it.
    while let Some(first) = messages.recv().await {
        let headers = [(REPLICA_HEADER, local_id.to_string())];
        match PeerLink::connect(address, REPLICA_PATH, headers, &credential).await {
            Ok(link) => {
                delay.reset();
                if let Err(error) = serve_link(link, first, &mut messages).await {
                    spdlog::info!("replica link: {}: {:#}", address, error);
                }
            }
            Err(error) => {
                spdlog::debug!("replica link: {:#}", error);
                tokio::time::sleep(delay.after_failure(false)).await;
                // Messages that were queued during the delay are outdated.
                while messages.try_recv().is_ok() {}
            }
        }
    }
}

async fn serve_link(
    link: PeerLink,
    first: ReplicaFrame,
    messages: &mut mpsc::Receiver<ReplicaFrame>,
) -> anyhow::Result<()> {
    let (sender, outgoing) = mpsc::channel(1);
    let (answered, answers) = watch::channel(0);
    let pump = link.run(outgoing, |frame| {
        if let ReplicaFrame::ProbeAnswer(number) = frame {
            answered.send_replace(number);
        }
        true
    });
    tokio::select! {
        ended = pump => ended,
        ended = send_frames(first, messages, &sender, &answers) => ended,
    }
}

async fn send_frames(
    first: ReplicaFrame,
    messages: &mut mpsc::Receiver<ReplicaFrame>,
    sender: &mpsc::Sender<ReplicaFrame>,
    answers: &watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    // After a suspension the process sends a single probe instead of all that it missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut next, mut probes) = (Some(first), 0_u64);
    loop {
        if let Some(frame) = next.take() {
            let send_timeout = PROBE_INTERVAL * MAX_UNANSWERED_PROBES as u32;
            let sent = tokio::time::timeout(send_timeout, sender.send(frame)).await;
            sent.context("the peer takes no data")?.context("the link ended")?;
        }
        next = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                if probes.saturating_sub(*answers.borrow()) >= MAX_UNANSWERED_PROBES {
                    bail!("{MAX_UNANSWERED_PROBES} probes are not answered");
                }
                probes += 1;
                Some(ReplicaFrame::Probe(probes))
            }
        };
    }
}
