//! Log replication between control replicas (`docs/design.md`, section 4, and `docs/design/replication.md`).

mod election;
mod log;
mod node;
mod persistence;
mod progress;
mod replicas;
mod replication;
mod transfer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use log::LogBuffer;
pub use node::{ProposeError, RaftNode, ReadTicket};
pub use replicas::ReplicaSet;

use super::bytes;
use super::interface::{LogEntry, LogIndex};
use crate::sheet::duration_millis;
use crate::types::{ReplicaId, TermNumber};

/// A message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaMessage {
    /// The sender's term; for a pre-vote, the term that it would open.
    pub term: TermNumber,
    /// Where the sender can be answered, because a new replica knows no replica set yet.
    pub address: SocketAddr,
    /// The replica that initialised the sender's cluster; absent if the sender belongs to none yet.
    pub founder: Option<ReplicaId>,
    /// The content.
    pub body: ReplicaBody,
}

/// An entry's place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogPosition {
    // The term comes first, so that the derived order says which log is more up to date.
    /// The entry's term.
    pub term: TermNumber,
    /// The entry's index.
    pub index: LogIndex,
}

/// One round of heartbeats of one leader; it confirms the reads that arrived before it began.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RoundNumber(pub u64);

impl RoundNumber {
    /// The following round.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Where two logs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogConflict {
    /// The position that was refused.
    pub refused: LogIndex,
    /// The position from which the leader should try.
    pub hint: LogIndex,
}

/// The content of a message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaBody {
    /// Asks whether a vote could be won, without changing the receiver's state.
    PreVote {
        /// The sender's log.
        last: LogPosition,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote could be won.
        granted: bool,
        /// How long the receiver grants no real vote, because of a pledge.
        #[serde(with = "duration_millis")]
        pledged: Duration,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's log.
        last: LogPosition,
        /// Whether the leader asked the sender to stand.
        transfer: bool,
    },
    /// Answers a vote; sent only after it is durable.
    VoteAnswer {
        /// Whether the vote is the sender's.
        granted: bool,
    },
    /// Sends entries, or only confirms that the sender leads.
    Append {
        /// The entry before the first one sent.
        previous: LogPosition,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's committed position.
        commit: LogIndex,
        /// The leader's newest read round.
        round: RoundNumber,
    },
    /// Confirms the leader and reports what is durable.
    AppendAnswer {
        /// The newest read round seen from this leader.
        round: RoundNumber,
        /// Entries up to here equal the leader's and are durable.
        matched: LogIndex,
    },
    /// Refuses entries, because the log before them differs.
    AppendRefused {
        /// The newest read round seen from this leader.
        round: RoundNumber,
        /// Where the logs differ.
        conflict: LogConflict,
    },
    /// Sends a part of a snapshot.
    Snapshot {
        /// The last entry that the snapshot contains.
        last: LogPosition,
        /// The size of the whole state in bytes.
        size: u64,
        /// Where this part begins.
        offset: u64,
        /// The part.
        #[serde(with = "super::bytes")]
        part: Arc<[u8]>,
    },
    /// Asks for the next part of a snapshot.
    SnapshotAnswer {
        /// The snapshot's last entry.
        index: LogIndex,
        /// The bytes received.
        received: u64,
    },
    /// Asks the receiver to stand at once, because the leader is about to stop.
    TimeoutNow,
}

/// The bounds of a random time before an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionRange {
    /// The shortest time.
    pub min: Duration,
    /// The longest time.
    pub max: Duration,
}

/// Timing and bounds of log replication.
#[derive(Clone, Debug)]
pub struct RaftSettings {
    /// How often a leader contacts each replica.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election; also the window of check-quorum.
    pub election_min: Duration,
    /// Longest time without a leader before an election.
    pub election_max: Duration,
    /// The time before an election while a replica has heard no leader since its start; pre-votes keep a replica that
    /// starts alone from disturbing a leader.
    pub first_election: Option<ElectionRange>,
    /// How long one pledge holds; see `docs/design/replication.md`.
    pub pledge: Duration,
    /// Entries in one message.
    pub max_append_entries: usize,
    /// Payload bytes in one message, unless one entry alone is larger.
    pub max_append_bytes: usize,
    /// Unanswered messages with entries per replica.
    pub append_window: usize,
    /// Entries that may wait for their commit; more proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Payload bytes that may wait for their commit; more proposals are refused.
    pub max_uncommitted_bytes: u64,
    /// Payload bytes in one batch for the store.
    pub max_batch_bytes: usize,
    /// Size of a part of a snapshot.
    pub snapshot_part_bytes: usize,
    /// Largest snapshot that is accepted from a leader.
    pub max_snapshot_bytes: u64,
    /// Entries kept in memory behind a snapshot, for replicas that lag a little.
    pub retained_entries: u64,
    /// Payload bytes of these entries.
    pub retained_bytes: usize,
    /// Time before a batch that found no space is tried again.
    pub space_retry: Duration,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1_200),
            first_election: None,
            pledge: Duration::from_millis(1_500),
            max_append_entries: 512,
            max_append_bytes: 1 << 20,
            append_window: 2,
            max_uncommitted_entries: 4_096,
            max_uncommitted_bytes: 16 << 20,
            max_batch_bytes: 4 << 20,
            snapshot_part_bytes: 256 << 10,
            max_snapshot_bytes: 1 << 30,
            retained_entries: 4_096,
            retained_bytes: 8 << 20,
            space_retry: Duration::from_secs(1),
        }
    }
}
