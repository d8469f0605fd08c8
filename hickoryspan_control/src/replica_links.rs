//! Outgoing links to the other control replicas; messages may be lost, order on one link is kept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use hickoryspan_core::control::raft::ReplicaMessage;
use hickoryspan_core::types::ReplicaId;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::peer_link::PeerLink;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// Messages that may wait for one replica; later ones are dropped, because the protocol repeats what matters.
const QUEUE_MESSAGES: usize = 1024;
/// First pause after a failed connection.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest pause after failed connections; short, because an election waits for it.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Pause between probes, which find connections that went silent without an end.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Unanswered probes after which a link is replaced: 2 s, so that a burst of log entries before a probe does not end it.
const MAX_UNANSWERED_PROBES: u64 = 4;
/// Path that a replica asks for on the peer port.
pub(crate) const REPLICA_PATH: &str = "/v1/replica";
/// Header that names the connecting replica.
pub(crate) const REPLICA_HEADER: &str = "hs-replica-id";

/// What replicas send to each other. Frames take their kind from an enum, and further kinds may be added.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReplicaFrame {
    /// A message of log replication.
    Replication(ReplicaMessage),
    /// Asks for an answer over the same link; probes of one link are numbered from 1.
    Probe(u64),
    /// Answers the probe with this number and all earlier ones.
    ProbeAnswer(u64),
}

struct ReplicaLink {
    address: SocketAddr,
    queue: mpsc::Sender<ReplicaFrame>,
}

/// One link for each replica to which a message was sent.
pub(crate) struct ReplicaLinks {
    own: ReplicaId,
    credential: SharedCredential,
    links: HashMap<ReplicaId, ReplicaLink>,
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl ReplicaLinks {
    /// Links of the replica `own`.
    pub(crate) fn new(own: ReplicaId, credential: SharedCredential) -> Self {
        Self {
            own,
            credential,
            links: HashMap::new(),
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Queues a message; it is dropped if the queue is full.
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
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let task = run_link(self.own, address, self.credential.clone(), messages);
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
    own: ReplicaId,
    address: SocketAddr,
    credential: SharedCredential,
    mut messages: mpsc::Receiver<ReplicaFrame>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    // The first message of a link waits here until the link is open.
    while let Some(first) = messages.recv().await {
        let headers = [(REPLICA_HEADER, own.to_string())];
        match PeerLink::connect(address, REPLICA_PATH, headers, &credential).await {
            Ok(link) => {
                delay = MIN_RECONNECT_DELAY;
                if let Err(error) = forward(link, first, &mut messages).await {
                    spdlog::info!("replica link: {}: {:#}", address, error);
                }
            }
            Err(error) => {
                spdlog::debug!("replica link: {:#}", error);
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                // Messages that waited during the pause are out of date.
                while messages.try_recv().is_ok() {}
            }
        }
    }
}

async fn forward(
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
        ended = feed(first, messages, &sender, &answers) => ended,
    }
}

async fn feed(
    first: ReplicaFrame,
    messages: &mut mpsc::Receiver<ReplicaFrame>,
    sender: &mpsc::Sender<ReplicaFrame>,
    answers: &watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    // A process that was suspended sends one probe and not all that it missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut next, mut probes) = (Some(first), 0_u64);
    loop {
        if let Some(frame) = next.take() {
            let silence = PROBE_INTERVAL * MAX_UNANSWERED_PROBES as u32;
            let sent = tokio::time::timeout(silence, sender.send(frame)).await;
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
