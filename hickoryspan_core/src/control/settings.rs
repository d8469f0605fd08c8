//! Settings of a control replica.

use std::net::SocketAddr;
use std::time::Duration;

use super::interface::ReplicaRecord;
use super::raft::RaftSettings;
use crate::gateway::members::MemberSettings;
use crate::types::ReplicaId;

/// What the driver decides for one control replica.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Where other replicas and entries connect to this replica.
    pub peer_address: SocketAddr,
    /// Where operators and targets connect to this replica.
    pub http_address: SocketAddr,
    /// Whether an empty data folder starts a new cluster with this replica as its only voter.
    pub bootstrap: bool,
    /// Lets the replica set follow the control hosts that report themselves; without it, operators change it.
    pub members: Option<MemberSettings>,
    /// Timing and bounds of log replication.
    pub raft: RaftSettings,
    /// How long a target stays registered after its last announcement.
    pub target_lease: Duration,
    /// How long an entry process holds its ordinal after the send time of its last confirmed renewal.
    pub entry_lease: Duration,
    /// Added to a lease on the leader's side, for clock rates that differ.
    pub lease_guard: Duration,
    /// How long a granted limit share holds.
    pub share_lease: Duration,
    /// How often the leader looks for ended leases.
    pub sweep_interval: Duration,
    /// Targets of one failure domain that one sweep may remove.
    pub max_expiries_per_domain: usize,
    /// The number of ordinals for entry processes. The default has one for each of the 14 entry hosts of both
    /// tenants and six for new processes that overlap with old ones in restarts; it is below the 25 connections of
    /// the smallest targets, so that every entry has one to each.
    pub max_ordinals: u32,
    /// How long a claim is kept after it was issued.
    pub claim_retention: Duration,
    /// Claims beyond this number are refused. One takes about 300 bytes, and encoding a snapshot stops the
    /// replica for about 0.2 us per claim, which must stay well below the shortest election timeout.
    pub max_claims: u64,
    /// Longest answer of a target that is kept with an order's outcome, in bytes.
    pub max_outcome_bytes: usize,
    /// Targets whose changed announcements may wait for the log.
    pub max_waiting_announcements: usize,
    /// Announcements in one log entry, unless they have many partitions.
    pub max_announcements_per_command: usize,
    /// Changes kept for deltas; entries further behind get the whole view.
    pub max_delta_changes: usize,
    /// Hint for refused proposals.
    pub retry_after: Duration,
    /// Longest time that a planned stop waits for another leader.
    pub drain_timeout: Duration,
    /// Log bytes after which a snapshot is taken, if they also exceed the last snapshot's size.
    pub snapshot_log_bytes: u64,
    /// Log entries after which a snapshot is taken, whatever their size, so that restart time is bounded.
    pub snapshot_log_entries: u64,
}

impl ControlSettings {
    /// Default settings for a replica that listens on these addresses.
    pub fn new(peer_address: SocketAddr, http_address: SocketAddr) -> Self {
        Self {
            peer_address,
            http_address,
            bootstrap: false,
            members: None,
            raft: RaftSettings::default(),
            target_lease: Duration::from_secs(6),
            entry_lease: Duration::from_secs(5),
            lease_guard: Duration::from_secs(1),
            share_lease: Duration::from_secs(2),
            sweep_interval: Duration::from_millis(500),
            max_expiries_per_domain: 256,
            max_ordinals: 20,
            claim_retention: Duration::from_secs(48 * 60 * 60),
            max_claims: 1_000_000,
            max_outcome_bytes: 16 * 1024,
            max_waiting_announcements: 8_192,
            max_announcements_per_command: 128,
            max_delta_changes: 65_536,
            retry_after: Duration::from_millis(500),
            drain_timeout: Duration::from_secs(3),
            snapshot_log_bytes: 16 * 1024 * 1024,
            snapshot_log_entries: 100_000,
        }
    }

    /// This replica's record as a voter.
    pub fn to_record(&self, replica: ReplicaId) -> ReplicaRecord {
        ReplicaRecord {
            replica,
            peer_address: self.peer_address,
            http_address: self.http_address,
            voter: true,
        }
    }
}
