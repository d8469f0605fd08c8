//! Raft log replication between control replicas (`docs/design.md`, section 4, and `docs/design/replication.md`).

mod election;
mod leave;
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
    /// The sender's term. A pre-vote carries the term that the sender would start as a candidate.
    pub term: TermNumber,
    /// Address for the reply. A new replica does not know the replica set and its addresses yet.
    pub address: SocketAddr,
    /// The replica that initialised the sender's cluster, or `None` if the sender has not joined one yet.
    pub founder: Option<ReplicaId>,
    /// The message itself.
    pub body: ReplicaBody,
}

/// Term and index of a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogPosition {
    // The term must come first: the derived order then tells which of two logs is more up to date.
    /// Term of the leader that created the entry.
    pub term: TermNumber,
    /// Index of the entry in the log.
    pub index: LogIndex,
}

/// Number of a heartbeat round of one leader. A quorum of answers to a round confirms all reads that arrived
/// before the round began.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RoundNumber(pub u64);

impl RoundNumber {
    /// Returns the number of the next round.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Point at which a follower's log does not match the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LogConflict {
    /// Index of the preceding entry that the follower rejected.
    pub refused: LogIndex,
    /// Next index that the leader should send.
    pub hint: LogIndex,
}

/// Body of a message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaBody {
    /// Asks whether the receiver would vote for the sender; changes no state at the receiver.
    PreVote {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Reply to `PreVote`.
    PreVoteAnswer {
        /// Whether the receiver would grant its vote.
        granted: bool,
        /// Remaining time during which a pledge keeps the receiver from granting a vote.
        #[serde(with = "duration_millis")]
        pledged: Duration,
    },
    /// Requests a vote.
    Vote {
        /// Last entry of the sender's log.
        last: LogPosition,
        /// Whether the current leader asked the sender to start this election.
        transfer: bool,
    },
    /// Reply to `Vote`; sent only after the vote is durable.
    VoteAnswer {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates log entries; without entries, a heartbeat.
    Append {
        /// Position of the entry that precedes `entries`.
        previous: LogPosition,
        /// Log entries to append; empty in heartbeats and probes.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's current heartbeat round.
        round: RoundNumber,
    },
    /// Acknowledges an append and reports which entries are durable.
    AppendAnswer {
        /// Highest heartbeat round received from this leader.
        round: RoundNumber,
        /// Entries up to this index match the leader's log and are durable.
        matched: LogIndex,
    },
    /// Rejects an append, because the preceding entry does not match.
    AppendRefused {
        /// Highest heartbeat round received from this leader.
        round: RoundNumber,
        /// The rejected position and a hint for the next attempt.
        conflict: LogConflict,
    },
    /// Sends one chunk of a snapshot.
    Snapshot {
        /// Last entry that the snapshot includes.
        last: LogPosition,
        /// Size of the complete snapshot in bytes.
        size: u64,
        /// Byte offset of this chunk.
        offset: u64,
        /// Bytes of the chunk.
        #[serde(with = "super::bytes")]
        part: Arc<[u8]>,
    },
    /// Acknowledges a snapshot chunk and requests the next one.
    SnapshotAnswer {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Number of bytes received so far.
        received: u64,
    },
    /// Asks the receiver to start an election at once, because the leader hands over leadership.
    TimeoutNow,
    /// Informs the leader that the sender is about to stop.
    Leave,
    /// Reply to `Leave`.
    LeaveAnswer {
        /// Whether the sender may stop: it is no voter any more, or no replica is there to take over its vote.
        released: bool,
    },
}

/// Range from which a random election timeout is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionRange {
    /// Lower bound.
    pub min: Duration,
    /// Upper bound.
    pub max: Duration,
}

impl ElectionRange {
    /// Range of the first election after a start. Shorter than later timeouts, because after a start of all hosts
    /// at once callers are refused until there is a leader. Several round trips and disk writes fit in it.
    pub const FIRST: Self = Self { min: Duration::from_millis(15), max: Duration::from_millis(60) };
}

/// Timeouts and limits of log replication.
#[derive(Clone, Debug)]
pub struct RaftSettings {
    /// Interval at which a leader sends heartbeats to each replica.
    pub heartbeat: Duration,
    /// Shortest election timeout. A leader that gets no answer from a quorum for this long steps down
    /// (check quorum).
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Election timeout of a replica that has not received anything from a leader since its start. It can be short,
    /// because pre-votes keep a restarted replica from deposing a running leader. `None` uses the usual timeout.
    pub first_election: Option<ElectionRange>,
    /// Duration of a pledge; see `docs/design/replication.md`.
    pub pledge: Duration,
    /// Maximum number of entries in one append message.
    pub max_append_entries: usize,
    /// Maximum payload bytes in one append message; a single larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages with entries per replica.
    pub append_window: usize,
    /// Maximum number of uncommitted entries; further proposals are rejected.
    pub max_uncommitted_entries: u64,
    /// Maximum payload bytes of uncommitted entries; further proposals are rejected.
    pub max_uncommitted_bytes: u64,
    /// Maximum payload bytes in one batch for the store.
    pub max_batch_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size in bytes of a snapshot that is accepted from a leader.
    pub max_snapshot_bytes: u64,
    /// Log size in bytes after which a snapshot is taken. If the last snapshot is larger, its size applies instead.
    pub snapshot_log_bytes: u64,
    /// Number of entries kept in memory after they are included in a snapshot, so that a replica that lags
    /// slightly does not need the snapshot.
    pub retained_entries: u64,
    /// Maximum payload bytes of the entries that are kept after a snapshot.
    pub retained_bytes: usize,
    /// Delay before a batch that failed for lack of disk space is retried.
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
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 1 << 30,
            snapshot_log_bytes: 16 << 20,
            retained_entries: 4_096,
            retained_bytes: 8 << 20,
            space_retry: Duration::from_secs(1),
        }
    }
}
